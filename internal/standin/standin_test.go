package standin

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
)

// drawJob draws a job of any kind that the worlds' machines can run.
func drawJob(t *rapid.T) *ledger.Spec {
	s := &ledger.Spec{
		Class:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
		Team:     rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
		Priority: ledger.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Tasks:    rapid.IntRange(1, 12).Draw(t, "tasks"),
		Demand:   pack.Vec{int64(rapid.IntRange(500, 8000).Draw(t, "cpu")), 0, int64(rapid.IntRange(500, 16000).Draw(t, "memory"))},
		AnyType:  true,
		Spot:     rapid.Bool().Draw(t, "spot"),
		OneZone:  rapid.IntRange(0, 4).Draw(t, "one") == 0,
		Spread:   rapid.IntRange(0, 4).Draw(t, "spread") == 0,
		Image:    rapid.SampledFrom([]string{"i", "j", "k"}).Draw(t, "image"),
		Estimate: 5 * second,
	}
	if s.OneZone {
		s.Spread = false
	}
	if rapid.IntRange(0, 3).Draw(t, "typed") == 0 {
		s.AnyType, s.Types = false, []string{"big"}
	}
	if rapid.IntRange(0, 4).Draw(t, "zoned") == 0 {
		s.Zone = "b"
	}
	return s
}

func play(t *rapid.T, opt Options) *World {
	opt.Seed = rapid.Uint64().Draw(t, "seed")
	opt.Nodes = rapid.IntRange(1, 3).Draw(t, "nodes")
	w := New(opt)
	for range rapid.IntRange(3, 14).Draw(t, "jobs") {
		at := unit.Seconds(float64(rapid.IntRange(0, 60).Draw(t, "at")))
		length := unit.Seconds(float64(rapid.IntRange(1, 20).Draw(t, "length")))
		var cancel unit.Micros
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
			cancel = unit.Seconds(float64(rapid.IntRange(0, 30).Draw(t, "cancel")))
		}
		w.Submit(at, drawJob(t), length, cancel)
	}
	w.Run(420 * second)
	return w
}

// TestRulesUnderTrouble plays drawn histories, with every trouble the protocol
// names, and checks that no rule is broken and that all work ends in time once
// the troubles are over.
func TestRulesUnderTrouble(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, Options{Trouble: true, TroubleTo: 120 * second})
		if len(w.Violations) > 0 {
			t.Fatalf("rules broken: %v", w.Violations)
		}
		if u := w.Unfinished(); len(u) > 0 {
			t.Fatalf("not over: %v\n%s", u, w.Explain(u[0]))
		}
		starts += w.Starts
	})
	if starts == 0 {
		t.Fatal("no task ever started")
	}
}

// TestBrokenControllerIsCaught shows that the checks can fail: controllers
// that do not see running tasks start them again elsewhere.
func TestBrokenControllerIsCaught(t *testing.T) {
	caught := false
	for seed := uint64(1); seed < 20 && !caught; seed++ {
		w := New(Options{Seed: seed, Nodes: 1, Tamper: func(r *fleet.Report) {
			var kept []fleet.Task
			for _, x := range r.Tasks {
				if x.State == fleet.Exited {
					kept = append(kept, x)
				}
			}
			r.Tasks = kept
		}})
		for range 8 {
			w.Submit(second, &ledger.Spec{Class: "x", Team: "red", Tasks: 6, Demand: pack.Vec{2000, 0, 2000},
				AnyType: true, Spot: true, Image: "i", Estimate: 10 * second}, 15*second, 0)
		}
		w.Run(60 * second)
		caught = len(w.Violations) > 0
	}
	if !caught {
		t.Fatal("a controller blind to running tasks broke no rule")
	}
}
