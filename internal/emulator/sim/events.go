package sim

import (
	"math/rand/v2"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

// happened counts an event, and tells whoever draws faults by their events of it.
func (w *World) happened(event string) {
	w.eventCounts[event]++
	if w.opt.Event != nil {
		w.opt.Event(w.now, event)
	}
}

// sending notes what a controller is about to send.
func (w *World) sending(e core.Effect) {
	switch e := e.(type) {
	case core.Reply:
		if o, ok := e.Body.(core.HeartbeatResponse); ok {
			for _, c := range o.Commands {
				if c.Op == fleet.Start {
					w.happened(scenario.StartSent)
					return
				}
			}
		}
	case core.SendPeer:
		if _, ok := e.Message.(core.SnapshotMessage); ok {
			w.happened(scenario.SnapshotSent)
		}
	case core.List:
		w.happened(scenario.ListingSent)
	case core.Probe:
		w.happened(scenario.TokenPresented)
	}
}

// stored notes what a transaction has stored.
func (w *World) stored(t kv.Txn) {
	for _, c := range t.Changes {
		switch {
		case strings.HasPrefix(c.Key, "shalestage/block/"):
			w.happened(scenario.GrantStored)
			w.users.granted = w.now
			w.granted(c.Value)
			w.blockStored(c)
		case c.Key == "shalestage/term":
			w.happened(scenario.LeaderChanged)
			w.deliverKept()
		case strings.HasPrefix(c.Key, "shalestage/progress/") && c.Value != nil:
			w.happened(scenario.CompletionStored)
		case strings.HasPrefix(c.Key, "shalestage/follow/"):
			w.happened(scenario.StandbyStored)
		}
	}
}

// EventCount returns how often an event has happened so far.
func (w *World) EventCount(event string) int { return w.eventCounts[event] }

// DrawFault draws a fault of any kind that comes at a time.
func DrawFault(rng *rand.Rand, atS float64) scenario.Fault {
	return draw(rng.IntN(len(shapes)), atS, rng)
}
