package sim

import (
	"fmt"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/scenario"
)

// execute executes an effect of the core.
func (n *Node) execute(effect core.Effect) {
	incarnation := n.incarnation // taken before recordEffect, which may inject a fault that ends the process
	n.world.recordEffect(effect)
	n.countEffect(effect)
	switch effect := effect.(type) {
	case core.Reply:
		n.reply(effect)
	case core.SendPeer:
		n.sendPeer(effect)
	case core.Probe:
		n.probe(incarnation, effect)
	default:
		if !n.stateEffect(incarnation, effect) && !n.cloudEffect(incarnation, effect) {
			panic(fmt.Sprintf("unknown effect %T", effect))
		}
	}
}

// reply passes a reply to the sender of its request, if that still waits.
func (n *Node) reply(reply core.Reply) {
	w := n.world
	if o, ok := reply.Body.(core.HeartbeatResponse); ok && w.options.Mutation.Commands != nil {
		w.options.Mutation.Commands(n.Name, &o)
		reply.Body = o
	}
	w.reportOrderedStarts(reply)
	if f := n.pending[reply.Request]; f != nil {
		delete(n.pending, reply.Request)
		n.transmit(func() { f(reply) })
	}
}

// sendPeer sends a message to another controller.
func (n *Node) sendPeer(send core.SendPeer) {
	w := n.world
	if allow := w.options.Mutation.DeliverPeer; allow != nil && !allow(send.Message) {
		return
	}
	if replace := w.options.Mutation.PeerMessage; replace != nil {
		send.Message = replace(send.Message)
	}
	n.transmit(func() {
		peer := w.node(send.Node)
		w.net.send(n.Name, peer.Name, func() {
			peer.receivePeer(n.Name, send.Message)
			w.repeatLater(peer, func() { peer.receivePeer(n.Name, send.Message) })
		})
	})
}

// receivePeer passes another controller's message to the core, if the process runs.
func (n *Node) receivePeer(from string, message any) {
	if n.incarnation == 0 {
		return
	}
	n.whenRunning(func() {
		n.recordLateAnswer(message)
		n.world.options.Traffic.Start(n.world.now, n.Name, "do peer")
		n.core.OnPeer(n.steadyClock(), from, message)
		n.executeEffects()
	})
}

// maxForwardedRequests is more than the number of requests that a process forwards in a run.
const maxForwardedRequests = 1 << 32

// recordLateAnswer records an answer to a request that an earlier process of this node forwarded. The
// numbers of this one's requests follow its process ID.
func (n *Node) recordLateAnswer(message any) {
	if answer, ok := message.(core.ForwardedResponse); ok && answer.ID-n.processID() > maxForwardedRequests {
		n.world.recordEvent(scenario.LateAnswer)
	}
}

// probe sends a fencing token to a worker, which responds with a heartbeat. It is sent only while the
// controller's authority is valid.
func (n *Node) probe(incarnation int, probe core.Probe) {
	w := n.world
	zone := ""
	if m := w.Site.Cloud.Machine(probe.Machine); m != nil {
		zone = scenario.ZoneParty(m.Zone)
	}
	done := func(o store.Outcome, r *fleet.Heartbeat) {
		n.deliver(incarnation, func() { n.core.OnProbe(n.steadyClock(), probe, o, r) })
	}
	n.transmit(func() {
		if n.steadyClock() >= n.core.ValidUntil() {
			done(store.Refused, nil)
			return
		}
		sent := w.now
		w.net.request(n.Name, zone, second, func(answer func(func())) {
			w.recordHeldRequest(sent)
			r, taken, found := n.sendDirect(probe.Machine, probe.FencingToken, probe.Incarnation, nil)
			if !found || w.noise && w.chance(0.02) {
				return
			}
			if k := w.Site.Worker(probe.Machine); k != nil && k.OutboundCut(w.now) {
				w.recordEvent(scenario.MuteReached)
			}
			o := store.Failed
			if taken {
				o = store.OK
			}
			answer(func() { done(o, r) })
		}, func(f func()) {
			if f == nil {
				done(store.Unknown, nil)
			} else {
				f()
			}
		})
	})
}
