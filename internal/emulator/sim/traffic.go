package sim

import (
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/peer"
	"shalestage.example/shalestage/internal/wire"
)

// countHeartbeat counts a worker's heartbeat to a controller.
func (w *World) countHeartbeat(n *Node, heartbeat *fleet.Heartbeat) {
	if tally := w.options.Traffic; tally.AdvanceTo(w.now) {
		tally.JSON(n.Name, "in report", wire.EncodeHeartbeat(heartbeat, nil))
	}
}

// countCall counts a user's request to a controller. Only submissions have a body.
func (w *World) countCall(n *Node, call user.Call) {
	tally := w.options.Traffic
	if !tally.AdvanceTo(w.now) {
		return
	}
	if call.Kind != user.Submit {
		tally.Message(n.Name, "in poll or cancel", 0)
		return
	}
	b, err := wire.EncodeSubmission(call.ID, call.Spec)
	if err != nil {
		panic(err) // cannot happen: the spec was built by this program
	}
	tally.Message(n.Name, "in submission", len(b))
}

// countEffect counts the message that an effect sends.
func (n *Node) countEffect(effect core.Effect) {
	tally := n.world.options.Traffic
	if !tally.AdvanceTo(n.world.now) {
		return
	}
	switch effect := effect.(type) {
	case core.Reply:
		n.countReply(effect)
	case core.SendPeer:
		b, err := peer.Encode(n.Name, effect.Message)
		if err != nil {
			tally.Message(n.Name, "out peer, too long", 0)
			return
		}
		tally.Message(n.Name, "out peer", len(b))
		tally.Message(effect.Node, "in peer", len(b))
	case core.Commit:
		tally.Message(n.Name, "out transaction", transactionBytes(effect.Txn))
		for range effect.Txn.Changes {
			tally.Message(n.Name, "out change", 0)
		}
	case core.Watch:
		tally.Message(n.Name, "out watch", 0)
	case core.List, core.ScanKeys:
		tally.Message(n.Name, "out listing", 0)
	case core.ReadKey:
		tally.Message(n.Name, "out read", 0)
	case core.OpenLease, core.RenewLease, core.CloseLease:
		tally.Message(n.Name, "out lease", 0)
	case core.FetchTypes, core.ScaleOut, core.ScaleIn, core.ListMachines:
		tally.Message(n.Name, "out cloud", 0)
	case core.Probe:
		tally.Message(n.Name, "out contact", 0)
	}
}

// countReply counts a reply to a worker or user.
func (n *Node) countReply(r core.Reply) {
	tally := n.world.options.Traffic
	response, toWorker := r.Body.(core.HeartbeatResponse)
	if !toWorker {
		tally.Message(n.Name, "out answer", 0)
		return
	}
	commands := []wire.Command{}
	for _, c := range response.Commands {
		commands = append(commands, wire.EncodeCommand(c))
		if c.Op == fleet.Start {
			tally.Message(n.Name, "out start", 0)
		}
	}
	tally.JSON(n.Name, "out orders", commands)
}

// transactionBytes returns the approximate encoded size of a transaction: keys, values and overhead.
func transactionBytes(txn *store.Txn) int {
	const overhead = 30 // field names and a version
	n := 0
	for _, g := range txn.Guards {
		n += len(g.Key) + overhead
	}
	for _, c := range txn.Changes {
		n += len(c.Key) + len(c.Value) + overhead
	}
	return n
}

// countItems counts a page of a listing that a controller receives.
func (n *Node) countItems(items []kv.Item) {
	if tally := n.world.options.Traffic; tally.AdvanceTo(n.world.now) {
		bytes := 0
		for _, it := range items {
			bytes += len(it.Key) + len(it.Value)
		}
		tally.Message(n.Name, "in listing", bytes)
	}
}

// countChanges counts a response to a watch, and its changes by key group.
func (n *Node) countChanges(events []kv.Event) {
	tally := n.world.options.Traffic
	if !tally.AdvanceTo(n.world.now) || len(events) == 0 {
		return
	}
	bytes := 0
	for _, e := range events {
		bytes += len(e.Key) + len(e.Value)
		tally.Message(n.Name, "in change of "+strings.TrimPrefix(store.KeyGroup(e.Key), core.Root), len(e.Key)+len(e.Value))
	}
	tally.Message(n.Name, "in watch", bytes)
}
