package sim

import (
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// TestFollowerGoesOn ends holders without a word while tasks start many times a second and
// a third of all messages about starts are lost: whoever followed holds the block next,
// nothing is unaccounted for, nothing runs twice, and all that ran goes on.
func TestStandbyTakesOverAfterCrash(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := shortTaskWorld(seed)
		w.options.Mutation.DeliverPeer = func(m any) bool {
			switch m.(type) {
			case core.ReplicationMessage, core.ReplicationAck:
				return w.rng.IntN(3) > 0
			}
			return true
		}
		w.Run(60 * second)
		known := 0
		for range 6 {
			old := w.ShardOwner(0)
			next := old.core.Standby(0)
			w.InjectFault(scenario.Fault{Kind: scenario.ControllerCrash, Node: "holder"})
			for until := w.now + 8*second; w.now < until && (w.ShardOwner(0) == nil || w.ShardOwner(0) == old); {
				w.Run(w.now + 20*millis)
			}
			n := w.ShardOwner(0)
			if n == nil || n == old && next != "" {
				t.Fatalf("seed %d: held by %v, and %q followed", seed, n, next)
			}
			if next != "" && n.Name == next {
				known++
				if u := n.core.Unreconciled(0); u > 0 {
					t.Errorf("seed %d: %s followed, and %d machines are unaccounted for", seed, next, u)
				}
			}
			w.Run(w.now + units.Microseconds(6+w.rng.IntN(6))*second)
		}
		if b := w.Check.Violations(); len(b) > 0 {
			t.Errorf("seed %d: %v", seed, b)
		}
		if known < 4 {
			t.Errorf("seed %d: of 6 holders %d were followed", seed, known)
		}
	}
}
