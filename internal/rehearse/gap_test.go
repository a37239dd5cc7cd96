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

// gap plays rehearsals/gap.toml with so many controllers; several share the work where
// blockMachines is not 0.
func gap(t *testing.T, seed uint64, count int, blockMachines float64, b sim.Broken) Verdict {
	s, err := scenario.Load("../../rehearsals/gap.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Controllers.Count, s.Controllers.BlockMachines = count, blockMachines
	return Simulate("gap.toml", s, sim.Options{Seed: seed, Break: b})
}

// TestGap has one controller refused alone, others confirm cancellations, and then the state
// service down for all, for more or less than cancel_s: one, three and five controllers, one
// block and several. What was cancelled is gone in time.
func TestGap(t *testing.T) {
	for _, c := range []struct {
		count  int
		blocks float64
	}{{1, 0}, {3, 4}, {5, 0}, {5, 4}} {
		for seed := uint64(1); seed <= 3; seed++ {
			if v := gap(t, seed, c.count, c.blocks, sim.Broken{}); !v.Passed {
				t.Errorf("%d controllers, seed %d: %v %v", c.count, seed, v.Violations, v.Missed)
			}
		}
	}
}

// TestGapUntold takes away what controllers tell each other of cancellations: then a holder
// must stop answering its workers in time by itself. With that bound taken out as well, the
// checker must notice.
func TestGapUntold(t *testing.T) {
	silent := func(m any) any {
		if p, ok := m.(core.PeerLeaseGrant); ok {
			p.Told = cancellations.Update{}
			return p
		}
		return m
	}
	caught := false
	for seed := uint64(1); seed <= 6; seed++ {
		if v := gap(t, seed, 3, 0, sim.Broken{Told: silent}); !v.Passed {
			t.Errorf("seed %d: %v %v", seed, v.Violations, v.Missed)
		}
		v := gap(t, seed, 3, 0, sim.Broken{Told: silent, Settings: func(s *config.Settings) { s.Deployment.Workers.CancelS *= 10 }})
		caught = caught || slices.ContainsFunc(v.Violations, func(b Violation) bool { return b.Rule == check.RanCancelled })
	}
	if !caught {
		t.Error("nobody noticed that the bound was taken out")
	}
}
