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

// TestDrawAtEvents checks faults that are drawn at events. One seed gives the same faults each time, and each
// later fault begins close to its event in a run with the earlier faults.
func TestDrawAtEvents(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/drawn-meet.toml")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for seed := uint64(1); seed <= 4; seed++ {
		fixed, triggered := DrawAtEvents(s, sim.Options{Seed: seed})
		repeated, _ := DrawAtEvents(s, sim.Options{Seed: seed})
		if !reflect.DeepEqual(fixed.Faults, repeated.Faults) || len(triggered) != len(fixed.Faults)-1 || fixed.Draw.Meet != 0 {
			t.Fatalf("seed %d: %v and %v; drawn at events: %v", seed, fixed.Faults, repeated.Faults, triggered)
		}
		for i, drawn := range triggered {
			before := *fixed
			before.Faults = fixed.Faults[:i+1]
			at := fixed.Faults[i+1].AtS
			var occurrences []float64
			w := sim.New(&before, sim.Options{Seed: seed, Noise: true, OnEvent: func(at units.Microseconds, event string) {
				if event == drawn.Event {
					occurrences = append(occurrences, at.Seconds())
				}
			}})
			w.Run(units.Seconds(at + 1))
			if !slices.ContainsFunc(occurrences, func(x float64) bool { return x > at-maxOffsetS-0.002 && x < at+maxOffsetS+0.002 }) {
				t.Errorf("seed %d: %s at %g, but no %s near it", seed, drawn.Kind, at, drawn.Event)
			}
			seen[drawn.Kind+drawn.Event] = true
		}
	}
	if len(seen) < 5 {
		t.Errorf("only %d different combinations of fault and event", len(seen))
	}
}

// TestExpectedEvents checks that an expected event that happens too seldom is reported.
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

// TestStaleHeartbeatsDetected treats every heartbeat as the newest one. One of the runs must violate a rule.
func TestStaleHeartbeatsDetected(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/meet-old-reports.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 10; seed++ {
		n := uint64(0)
		v := Simulate("meet-old-reports.toml", s, sim.Options{Seed: seed, Mutation: sim.Mutation{Heartbeat: func(r *fleet.Heartbeat) {
			n++
			r.Incarnation, r.Seq = 1, n
		}}})
		if len(v.Violations) > 0 {
			return
		}
	}
	t.Error("ten runs that accept stale heartbeats violate no rule")
}
