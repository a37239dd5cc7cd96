package sim

import (
	"fmt"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/scenario"
)

// effect executes an effect of the core.
func (n *Node) effect(e core.Effect) {
	life := n.life // before sending, which may let faults begin that end the process
	n.w.sending(e)
	n.countEffect(e)
	switch e := e.(type) {
	case core.Reply:
		n.reply(e)
	case core.SendPeer:
		n.sendPeer(e)
	case core.Probe:
		n.contact(life, e)
	default:
		if !n.stateEffect(life, e) && !n.cloudEffect(life, e) {
			panic(fmt.Sprintf("effect %T", e))
		}
	}
}

// reply brings an answer to whoever asked, if it still waits.
func (n *Node) reply(e core.Reply) {
	w := n.w
	if o, ok := e.Body.(core.HeartbeatResponse); ok && w.opt.Break.Orders != nil {
		w.opt.Break.Orders(n.Name, &o)
		e.Body = o
	}
	w.ordered(e)
	if f := n.asked[e.Request]; f != nil {
		delete(n.asked, e.Request)
		n.sent(func() { f(e) })
	}
}

// sendPeer sends a message to another controller.
func (n *Node) sendPeer(e core.SendPeer) {
	w := n.w
	if p := w.opt.Break.Peer; p != nil && !p(e.Message) {
		return
	}
	if t := w.opt.Break.Told; t != nil {
		e.Message = t(e.Message)
	}
	n.sent(func() {
		o := w.node(e.Node)
		w.net.send(n.Name, o.Name, func() {
			if o.life != 0 {
				o.awake(func() {
					w.opt.Traffic.Start(w.now, o.Name, "do peer")
					o.core.OnPeer(o.local(), n.Name, e.Message)
					o.carryOut()
				})
			}
		})
	})
}

// contact shows a token to a worker.
func (n *Node) contact(life int, e core.Probe) {
	w := n.w
	zone := ""
	if m := w.Site.Cloud.Machine(e.Machine); m != nil {
		zone = scenario.ZoneParty(m.Zone)
	}
	done := func(o store.Outcome, r *fleet.Heartbeat) {
		n.back(life, func() { n.core.OnProbe(n.local(), e, o, r) })
	}
	n.sent(func() {
		if n.local() >= n.core.ValidUntil() {
			done(store.Refused, nil)
			return
		}
		sent := w.now
		w.net.request(n.Name, zone, second, func(answer func(func())) {
			w.requestArrives(sent)
			r, _, taken, found := w.Site.HandleDirect(w.now, e.Machine, e.FencingToken, e.Incarnation, nil)
			w.takeSite()
			if !found || w.noise && w.chance(0.02) {
				return
			}
			if k := w.Site.Worker(e.Machine); k != nil && k.OutboundCut(w.now) {
				w.happened(scenario.MuteReached)
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
