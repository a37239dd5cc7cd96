package sim

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

// TestDrawnFaultsAreValid guards against drawn faults that a scenario file could not contain, and against
// fault kinds that are never drawn.
func TestDrawnFaultsAreValid(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[string]bool{}
	for shape := range faultShapes {
		for range 20 {
			f := drawShape(shape, 1, rng)
			seen[f.Kind] = true
			if field, err := f.Check(3); err != nil {
				t.Errorf("%s: %s: %v", f, field, err)
			}
		}
	}
	for _, kind := range []string{scenario.MachineMute, scenario.QuickBoots, scenario.StateUnanswered, scenario.LateReports, scenario.RepeatedRequests} {
		if !seen[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// TestMuteMachines checks the fault that stops messages from machines to controllers for longer than the
// lease: tasks must stop at the end of the lease, while direct requests still reach the machines.
func TestMuteMachines(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.submitJob(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 300*second, 0)
	w.Run(60 * second)
	if w.Site.Running() == 0 {
		t.Fatal("no task runs")
	}
	w.InjectFault(scenario.Fault{Kind: scenario.MachineMute, Share: 1, ForS: 30})
	reached := 0
	for _, m := range w.Site.Cloud.Alive() {
		if _, _, taken, found := w.Site.HandleDirect(w.now, m.Name, 1<<60, w.Site.Worker(m.Name).Incarnation(), nil); found && taken {
			reached++
		}
	}
	w.Run(w.now + 20*second)
	if reached == 0 || w.Site.Running() > 0 {
		t.Errorf("%d machines were reached, %d tasks still run after the end of the leases", reached, w.Site.Running())
	}
}

// TestQuickBoots checks the fault that shortens boot times: new machines must be up within two seconds.
func TestQuickBoots(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.InjectFault(scenario.Fault{Kind: scenario.QuickBoots, ForS: 60})
	w.submitJob(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 100*second, 0)
	w.Run(60 * second)
	for _, m := range w.Site.Cloud.Billed() {
		if up := m.UpAt - m.CreatedAt; up > 2*second {
			t.Errorf("%s took %v to boot", m.Name, up)
		}
	}
	if w.Site.Cloud.CreatedCount() == 0 {
		t.Error("no machine was created")
	}
}

// TestLateTransactionDelay checks that transactions are applied 2 to 12 s late if only a share of them is
// affected.
func TestLateTransactionDelay(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.InjectFault(scenario.Fault{Kind: scenario.StateLate, ForS: 10, Share: 0.4})
	for range 1000 {
		if d := w.lateDelay(); d < 2*second || d > 12*second {
			t.Fatalf("delay of %v", d)
		}
	}
}

// TestKeptHeartbeatsReachNextOwner checks the fault that delivers copies of heartbeats to the next shard
// owner: controllers must receive the copies after the next assignment, and none before.
func TestKeptHeartbeatsReachNextOwner(t *testing.T) {
	count := 0
	w := New(deployment(3, 0), Options{Seed: 1, OnEvent: func(_ units.Microseconds, event string) {
		if event == scenario.ReportToNext {
			count++
		}
	}})
	w.submitJob(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 100*second, 0)
	w.Run(40 * second)
	w.InjectFault(scenario.Fault{Kind: scenario.LateReports, Share: 1, ForS: 20, ForNext: true})
	w.Run(w.now + 10*second)
	if count > 0 || len(w.interactions.kept) == 0 {
		t.Fatalf("%d copies were delivered before the assignment, %d are kept", count, len(w.interactions.kept))
	}
	w.InjectFault(scenario.Fault{Kind: scenario.ControllerCrash, Node: "holder"})
	w.Run(w.now + 30*second)
	if count == 0 || len(w.Check.Violations()) > 0 {
		t.Errorf("%d copies were delivered to the next owner; %v", count, w.Check.Violations())
	}
}

// missingGuard is a rehearsal of interacting faults, run with controllers that lack one of the protocol's
// guards.
type missingGuard struct {
	scenario string
	guard    string
	mutate   func(w *World) // sets the mutation of the world before the run
	rule     string         // that is violated then
	seeds    uint64         // number of seeds of which one must violate the rule
}

// TestRemovedGuardsAreDetected guards against rehearsals of interacting faults that test nothing. Each case
// removes one guard of the protocol: the rehearsal must detect a rule violation.
func TestRemovedGuardsAreDetected(t *testing.T) {
	t.Parallel()
	reportAs := func(change func(w *World, r *fleet.Heartbeat)) func(*World) {
		return func(w *World) { w.options.Mutation.Heartbeat = func(r *fleet.Heartbeat) { change(w, r) } }
	}
	heartbeatNumber := uint64(0)
	for _, testCase := range []missingGuard{
		{"meet-lost-answers", "no answer counts as unknown", func(w *World) {
			w.options.Mutation.Outcome = func(_ store.Txn, o store.Outcome) store.Outcome {
				if o == store.Unknown {
					return store.OK
				}
				return o
			}
		}, check.Forgotten, 6},
		{"meet-lost-answers", "a read that began after the question", func(w *World) {
			w.options.Mutation.ServeFreshRead = func() bool { return false }
		}, check.Forgotten, 6},
		{"meet-quick-machines", "machines are stored as up before anything starts there", func(w *World) {
			w.options.Mutation.Commit = func(t *kv.Txn) {
				t.Changes = slices.DeleteFunc(t.Changes, func(testCase kv.Change) bool {
					return strings.HasPrefix(testCase.Key, "shalestage/machine/") && strings.Contains(string(testCase.Value), `"up"`)
				})
			}
		}, check.RanTwice, 3},
		{"meet-report-to-next", "a report under an older token proves nothing", reportAs(func(w *World, r *fleet.Heartbeat) {
			r.FencingToken = w.interactions.latestToken
		}), check.RanTwice, 12},
		{"meet-held-reports", "the token, and the order of a machine's messages", reportAs(func(w *World, r *fleet.Heartbeat) {
			heartbeatNumber++
			r.Incarnation, r.Seq, r.FencingToken = 1, heartbeatNumber, w.interactions.latestToken
		}), check.RanTwice, 3},
		{"meet-mute-machines", "tasks may run until their lease must have run out", func(w *World) {
			w.options.Mutation.Settings = func(s *config.Settings) { s.Deployment.Workers.LeaseS *= 0.3 }
		}, check.RanTwice, 3},
		{"meet-ten-leaders", "authority ends by the steady clock", func(w *World) {
			w.options.Mutation.ClockRate = func(int) float64 { return 0.5 }
		}, check.TwoHolders, 12},
		{"meet-overload", "a team's limit", func(w *World) {
			w.options.Mutation.Settings = func(s *config.Settings) { s.Deployment.Teams[0].CPUsMax = 0 }
		}, check.Quota, 12},
	} {
		t.Run(testCase.scenario+"/"+testCase.guard, func(t *testing.T) {
			s, err := scenario.Load("../../../rehearsals/" + testCase.scenario + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			for seed := uint64(1); seed <= testCase.seeds; seed++ {
				if violatesWith(s, seed, testCase.mutate, testCase.rule) {
					t.Logf("seed %d violates %s", seed, testCase.rule)
					return
				}
			}
			t.Errorf("%d runs without the guard do not violate %s", testCase.seeds, testCase.rule)
		})
	}
}

// violatesWith runs a scenario with mutated controllers and reports whether they violate the rule. It stops
// at the first violation.
func violatesWith(s *scenario.Scenario, seed uint64, breaks func(*World), rule string) bool {
	first := &World{}
	breaks(first) // settings and clocks are needed before New
	w := New(s, Options{Seed: seed, Mutation: first.options.Mutation})
	breaks(w)
	for at := 10 * second; at <= units.Seconds(s.DurationS); at += 10 * second {
		w.Run(at)
		if slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == rule }) {
			return true
		}
	}
	return false
}
