package rehearse

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TestMeet draws troubles by their meeting: one seed draws the same ones, and each begins close
// to an event of the kind that is told, which the play with those before it shows.
func TestMeet(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/drawn-meet.toml")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for seed := uint64(1); seed <= 4; seed++ {
		fixed, met := DrawAtEvents(s, sim.Options{Seed: seed})
		again, _ := DrawAtEvents(s, sim.Options{Seed: seed})
		if !reflect.DeepEqual(fixed.Faults, again.Faults) || len(met) != len(fixed.Faults)-1 || fixed.Draw.Meet != 0 {
			t.Fatalf("seed %d: %v and %v; met %v", seed, fixed.Faults, again.Faults, met)
		}
		for i, m := range met {
			before := *fixed
			before.Faults = fixed.Faults[:i+1]
			at := fixed.Faults[i+1].AtS
			var moments []float64
			w := sim.New(&before, sim.Options{Seed: seed, Noise: true, Event: func(at units.Microseconds, event string) {
				if event == m.Event {
					moments = append(moments, at.Seconds())
				}
			}})
			w.Run(units.Seconds(at + 1))
			if !slices.ContainsFunc(moments, func(x float64) bool { return x > at-offBy-0.002 && x < at+offBy+0.002 }) {
				t.Errorf("seed %d: %s at %g, and there is no %s near", seed, m.Kind, at, m.Event)
			}
			seen[m.Kind+m.Event] = true
		}
	}
	if len(seen) < 5 {
		t.Errorf("only %d different meetings", len(seen))
	}
}

// TestExpectedEvents expects events of a play: those that happen too seldom are told.
func TestExpectedEvents(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/base.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Expect.Events = map[string]int{scenario.CancelReported: 2, scenario.StartSent: 100_000}
	v := Simulate("base.toml", s, sim.Options{Seed: 1})
	if v.Passed || len(v.Missed) != 1 || !strings.Contains(v.Missed[0], "events.start_sent: happened ") {
		t.Errorf("%+v", v)
	}
}

// TestOldReportsTaken has every report taken for the newest: the plays must notice that.
func TestOldReportsTaken(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/meet-old-reports.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 10; seed++ {
		n := uint64(0)
		v := Simulate("meet-old-reports.toml", s, sim.Options{Seed: seed, Break: sim.Broken{Report: func(r *fleet.Heartbeat) {
			n++
			r.Incarnation, r.Seq = 1, n
		}}})
		if len(v.Violations) > 0 {
			return
		}
	}
	t.Error("ten plays in which old reports are taken for new break nothing")
}
