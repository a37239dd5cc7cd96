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

// gotReport counts a worker's report.
func (w *World) gotReport(n *Node, r *fleet.Heartbeat) {
	if t := w.opt.Traffic; t.AdvanceTo(w.now) {
		t.JSON(n.Name, "in report", wire.EncodeHeartbeat(r, nil))
	}
}

// gotCall counts a user's call; those but submissions have no body.
func (w *World) gotCall(n *Node, e user.Call) {
	t := w.opt.Traffic
	if !t.AdvanceTo(w.now) {
		return
	}
	if e.Kind != user.Submit {
		t.Message(n.Name, "in poll or cancel", 0)
		return
	}
	b, err := wire.EncodeSubmission(e.ID, e.Spec)
	if err != nil {
		panic(err) // the types are the program's own
	}
	t.Message(n.Name, "in submission", len(b))
}

// countEffect counts what a controller sends.
func (n *Node) countEffect(e core.Effect) {
	t := n.w.opt.Traffic
	if !t.AdvanceTo(n.w.now) {
		return
	}
	switch e := e.(type) {
	case core.Reply:
		n.countReply(e)
	case core.SendPeer:
		b, err := peer.Encode(n.Name, e.Message)
		if err != nil {
			t.Message(n.Name, "out peer, too long", 0)
			return
		}
		t.Message(n.Name, "out peer", len(b))
		t.Message(e.Node, "in peer", len(b))
	case core.Commit:
		t.Message(n.Name, "out transaction", transactionBytes(e.Txn))
		for range e.Txn.Changes {
			t.Message(n.Name, "out change", 0)
		}
	case core.Watch:
		t.Message(n.Name, "out watch", 0)
	case core.List, core.ScanKeys:
		t.Message(n.Name, "out listing", 0)
	case core.ReadKey:
		t.Message(n.Name, "out read", 0)
	case core.OpenLease, core.RenewLease, core.CloseLease:
		t.Message(n.Name, "out lease", 0)
	case core.FetchTypes, core.ScaleOut, core.ScaleIn, core.ListMachines:
		t.Message(n.Name, "out cloud", 0)
	case core.Probe:
		t.Message(n.Name, "out contact", 0)
	}
}

// countReply counts an answer to a worker or a user.
func (n *Node) countReply(r core.Reply) {
	t := n.w.opt.Traffic
	o, toWorker := r.Body.(core.HeartbeatResponse)
	if !toWorker {
		t.Message(n.Name, "out answer", 0)
		return
	}
	commands := []wire.Command{}
	for _, c := range o.Commands {
		commands = append(commands, wire.EncodeCommand(c))
		if c.Op == fleet.Start {
			t.Message(n.Name, "out start", 0)
		}
	}
	t.JSON(n.Name, "out orders", commands)
}

// transactionBytes is about how long a transaction is: keys, values and what goes around them.
func transactionBytes(x *store.Txn) int {
	const around = 30 // names of the fields, a version
	n := 0
	for _, g := range x.Guards {
		n += len(g.Key) + around
	}
	for _, c := range x.Changes {
		n += len(c.Key) + len(c.Value) + around
	}
	return n
}

// countItems counts a page of a listing.
func (n *Node) countItems(items []kv.Item) {
	if t := n.w.opt.Traffic; t.AdvanceTo(n.w.now) {
		bytes := 0
		for _, it := range items {
			bytes += len(it.Key) + len(it.Value)
		}
		t.Message(n.Name, "in listing", bytes)
	}
}

// countChanges counts an answer to a watch, and its changes by folder.
func (n *Node) countChanges(events []kv.Event) {
	t := n.w.opt.Traffic
	if !t.AdvanceTo(n.w.now) || len(events) == 0 {
		return
	}
	bytes := 0
	for _, e := range events {
		bytes += len(e.Key) + len(e.Value)
		t.Message(n.Name, "in change of "+strings.TrimPrefix(store.KeyGroup(e.Key), core.Root), len(e.Key)+len(e.Value))
	}
	t.Message(n.Name, "in watch", bytes)
}
