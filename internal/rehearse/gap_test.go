package rehearse

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// runGap runs rehearsals/gap.toml with count controllers. The machines are divided into shards if
// blockMachines is not 0.
func runGap(t *testing.T, seed uint64, count int, blockMachines float64, b sim.Mutation) Verdict {
	s, err := scenario.Load("../../rehearsals/gap.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Controllers.Count, s.Controllers.BlockMachines = count, blockMachines
	return Simulate("gap.toml", s, sim.Options{Seed: seed, Mutation: b})
}

// TestCancellationsAcrossOutage guards against tasks that run for longer than allowed after their job was
// cancelled. The state service refuses one controller, the others confirm cancellations, and then the state
// service is down for all, for more or less than cancel_s. It runs with one, three and five controllers, and
// with one shard and several.
func TestCancellationsAcrossOutage(t *testing.T) {
	for _, c := range []struct {
		count  int
		blocks float64
	}{{1, 0}, {3, 4}, {5, 0}, {5, 4}} {
		for seed := uint64(1); seed <= 3; seed++ {
			if v := runGap(t, seed, c.count, c.blocks, sim.Mutation{}); !v.Passed {
				t.Errorf("%d controllers, seed %d: %v %v", c.count, seed, v.Violations, v.Missed)
			}
		}
	}
}

// TestCancellationsWithoutPeers removes the cancellations from the messages between controllers. A shard
// owner must then stop answering its workers in time by itself. If that bound is removed as well, the checker
// must report a violation.
func TestCancellationsWithoutPeers(t *testing.T) {
	silent := func(m any) any {
		if p, ok := m.(core.PeerLeaseGrant); ok {
			p.Told = cancellations.Update{}
			return p
		}
		return m
	}
	caught := false
	for seed := uint64(1); seed <= 6; seed++ {
		if v := runGap(t, seed, 3, 0, sim.Mutation{PeerMessage: silent}); !v.Passed {
			t.Errorf("seed %d: %v %v", seed, v.Violations, v.Missed)
		}
		v := runGap(t, seed, 3, 0, sim.Mutation{PeerMessage: silent, Settings: func(s *config.Settings) { s.Deployment.Workers.CancelS *= 10 }})
		caught = caught || slices.ContainsFunc(v.Violations, func(b Violation) bool { return b.Rule == check.RanCancelled })
	}
	if !caught {
		t.Error("no violation is reported although the bound is removed")
	}
}
