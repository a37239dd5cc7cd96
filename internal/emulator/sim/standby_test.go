package sim

import (
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// TestStandbyTakesOverAfterCrash guards against losing state in a failover to a standby. Shard owners crash
// while many tasks start each second and a third of the replication messages are lost. The standby must
// become the next owner with all machines reconciled, no task may run twice, and running tasks must continue.
func TestStandbyTakesOverAfterCrash(t *testing.T) {
	t.Parallel()
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
		takeovers := 0
		for range 6 {
			old := w.ShardOwner(0)
			next := old.core.Standby(0)
			w.InjectFault(scenario.Fault{Kind: scenario.ControllerCrash, Node: "holder"})
			for until := w.now + 8*second; w.now < until && (w.ShardOwner(0) == nil || w.ShardOwner(0) == old); {
				w.Run(w.now + 20*millis)
			}
			n := w.ShardOwner(0)
			if n == nil || n == old && next != "" {
				t.Fatalf("seed %d: shard owned by %v, but the standby was %q", seed, n, next)
			}
			if next != "" && n.Name == next {
				takeovers++
				if u := n.core.Unreconciled(0); u > 0 {
					t.Errorf("seed %d: standby %s took over with %d machines not reconciled", seed, next, u)
				}
			}
			w.Run(w.now + units.Microseconds(6+w.rng.IntN(6))*second)
		}
		if b := w.Check.Violations(); len(b) > 0 {
			t.Errorf("seed %d: %v", seed, b)
		}
		if takeovers < 4 {
			t.Errorf("seed %d: in 6 failovers a standby took over %d times", seed, takeovers)
		}
	}
}
