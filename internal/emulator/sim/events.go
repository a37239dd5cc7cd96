package sim

import (
	"math/rand/v2"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

// recordEvent counts an event and reports it to OnEvent, which serves to draw faults at events.
func (w *World) recordEvent(event string) {
	w.eventCounts[event]++
	if w.options.OnEvent != nil {
		w.options.OnEvent(w.now, event)
	}
}

// recordEffect records the events of an effect that a controller is about to execute.
func (w *World) recordEffect(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Reply:
		if o, ok := effect.Body.(core.HeartbeatResponse); ok {
			for _, c := range o.Commands {
				if c.Op == fleet.Start {
					w.recordEvent(scenario.StartSent)
					return
				}
			}
		}
	case core.SendPeer:
		if _, ok := effect.Message.(core.SnapshotMessage); ok {
			w.recordEvent(scenario.SnapshotSent)
		}
	case core.List:
		w.recordEvent(scenario.ListingSent)
	case core.Probe:
		w.recordEvent(scenario.TokenPresented)
	}
}

// recordCommit records the events of a transaction that has been committed.
func (w *World) recordCommit(txn kv.Txn) {
	for _, c := range txn.Changes {
		switch {
		case strings.HasPrefix(c.Key, "shalestage/block/"):
			w.recordEvent(scenario.GrantStored)
			w.userFaults.lastAssignmentAt = w.now
			w.recordAssignmentToken(c.Value)
			w.recordAssignment(c)
		case c.Key == "shalestage/term":
			w.recordEvent(scenario.LeaderChanged)
			w.deliverKeptHeartbeats()
		case strings.HasPrefix(c.Key, "shalestage/progress/") && c.Value != nil:
			w.recordEvent(scenario.CompletionStored)
		case strings.HasPrefix(c.Key, "shalestage/follow/"):
			w.recordEvent(scenario.StandbyStored)
		}
	}
}

// EventCount returns how often an event has occurred so far.
func (w *World) EventCount(event string) int { return w.eventCounts[event] }

// DrawFault draws a fault of any kind at the given time in seconds.
func DrawFault(rng *rand.Rand, atS float64) scenario.Fault {
	return drawShape(rng.IntN(len(faultShapes)), atS, rng)
}
