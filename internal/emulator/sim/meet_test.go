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

// TestDrawnFaultsAreSound draws faults of all shapes: each could stand in a file.
func TestDrawnFaultsAreSound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[string]bool{}
	for shape := range shapes {
		for range 20 {
			f := draw(shape, 1, rng)
			seen[f.Kind] = true
			if field, err := f.Check(3); err != nil {
				t.Errorf("%s: %s: %v", f, field, err)
			}
		}
	}
	for _, kind := range []string{scenario.MachineMute, scenario.QuickBoots, scenario.StateUnanswered, scenario.LateReports} {
		if !seen[kind] {
			t.Errorf("%s is never drawn", kind)
		}
	}
}

// TestMuteMachines keeps all machines from every controller for longer than their lease:
// their tasks end with it, while direct commands still reach them.
func TestMuteMachines(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.submit(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 300*second, 0)
	w.Run(60 * second)
	if w.Site.Running() == 0 {
		t.Fatal("nothing runs")
	}
	w.Fault(scenario.Fault{Kind: scenario.MachineMute, Share: 1, ForS: 30})
	reached := 0
	for _, m := range w.Site.Cloud.Alive() {
		if _, _, taken, found := w.Site.HandleDirect(w.now, m.Name, 1<<60, w.Site.Worker(m.Name).Incarnation(), nil); found && taken {
			reached++
		}
	}
	w.Run(w.now + 20*second)
	if reached == 0 || w.Site.Running() > 0 {
		t.Errorf("%d machines were reached, %d tasks run after the leases", reached, w.Site.Running())
	}
}

// TestQuickBoots rents machines: they are up within two seconds.
func TestQuickBoots(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.Fault(scenario.Fault{Kind: scenario.QuickBoots, ForS: 60})
	w.submit(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 100*second, 0)
	w.Run(60 * second)
	for _, m := range w.Site.Cloud.Billed() {
		if up := m.UpAt - m.CreatedAt; up > 2*second {
			t.Errorf("%s was up after %v", m.Name, up)
		}
	}
	if w.Site.Cloud.CreatedCount() == 0 {
		t.Error("nothing was rented")
	}
}

// TestLateBy draws how late a share of the transactions is.
func TestLateBy(t *testing.T) {
	w := New(deployment(3, 0), Options{Seed: 1})
	w.Fault(scenario.Fault{Kind: scenario.StateLate, ForS: 10, Share: 0.4})
	for range 1000 {
		if d := w.lateBy(); d < 2*second || d > 12*second {
			t.Fatalf("%v late", d)
		}
	}
}

// TestKeptReports keeps copies of reports until the next holder: they reach controllers after
// it has its grant, and none of them before.
func TestKeptReports(t *testing.T) {
	count := 0
	w := New(deployment(3, 0), Options{Seed: 1, Event: func(_ units.Microseconds, event string) {
		if event == scenario.ReportToNext {
			count++
		}
	}})
	w.submit(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 100*second, 0)
	w.Run(40 * second)
	w.Fault(scenario.Fault{Kind: scenario.LateReports, Share: 1, ForS: 20, ForNext: true})
	w.Run(w.now + 10*second)
	if count > 0 || len(w.meetings.kept) == 0 {
		t.Fatalf("%d came before, %d are kept", count, len(w.meetings.kept))
	}
	w.Fault(scenario.Fault{Kind: scenario.ControllerCrash, Node: "holder"})
	w.Run(w.now + 30*second)
	if count == 0 || len(w.Check.Violations()) > 0 {
		t.Errorf("%d reports came to the next; %v", count, w.Check.Violations())
	}
}

// unguarded is a rehearsal of a meeting, played by a program without what guards it.
type unguarded struct {
	file    string
	without string
	breaks  func(w *World) // told of the world before it begins
	rule    string         // that is then broken
	seeds   uint64         // within so many
}

// TestMeetingsWithoutTheirGuards takes out what guards a meeting: the rehearsal must notice.
func TestMeetingsWithoutTheirGuards(t *testing.T) {
	reportAs := func(change func(w *World, r *fleet.Heartbeat)) func(*World) {
		return func(w *World) { w.opt.Break.Report = func(r *fleet.Heartbeat) { change(w, r) } }
	}
	number := uint64(0)
	for _, c := range []unguarded{
		{"meet-lost-answers", "no answer counts as unknown", func(w *World) {
			w.opt.Break.Outcome = func(_ store.Txn, o store.Outcome) store.Outcome {
				if o == store.Unknown {
					return store.OK
				}
				return o
			}
		}, check.Forgotten, 6},
		{"meet-lost-answers", "a read that began after the question", func(w *World) {
			w.opt.Break.Read = func() bool { return false }
		}, check.Forgotten, 6},
		{"meet-quick-machines", "machines are stored as up before anything starts there", func(w *World) {
			w.opt.Break.Commit = func(t *kv.Txn) {
				t.Changes = slices.DeleteFunc(t.Changes, func(c kv.Change) bool {
					return strings.HasPrefix(c.Key, "shalestage/machine/") && strings.Contains(string(c.Value), `"up"`)
				})
			}
		}, check.RanTwice, 3},
		{"meet-report-to-next", "a report under an older token proves nothing", reportAs(func(w *World, r *fleet.Heartbeat) {
			r.FencingToken = w.meetings.latest
		}), check.RanTwice, 12},
		{"meet-held-reports", "the token, and the order of a machine's messages", reportAs(func(w *World, r *fleet.Heartbeat) {
			number++
			r.Incarnation, r.Seq, r.FencingToken = 1, number, w.meetings.latest
		}), check.RanTwice, 3},
		{"meet-mute-machines", "tasks may run until their lease must have run out", func(w *World) {
			w.opt.Break.Settings = func(s *config.Settings) { s.Deployment.Workers.LeaseS *= 0.3 }
		}, check.RanTwice, 3},
		{"meet-ten-leaders", "authority ends by the steady clock", func(w *World) {
			w.opt.Break.Clock = func(int) float64 { return 0.5 }
		}, check.TwoHolders, 12},
		{"meet-overload", "a team's limit", func(w *World) {
			w.opt.Break.Settings = func(s *config.Settings) { s.Deployment.Teams[0].CPUsMax = 0 }
		}, check.Quota, 12},
	} {
		t.Run(c.file+"/"+c.without, func(t *testing.T) {
			s, err := scenario.Load("../../../rehearsals/" + c.file + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			for seed := uint64(1); seed <= c.seeds; seed++ {
				if played(s, seed, c.breaks, c.rule) {
					t.Logf("seed %d breaks %s", seed, c.rule)
					return
				}
			}
			t.Errorf("%d plays without it break no %s", c.seeds, c.rule)
		})
	}
}

// played plays a scenario by a broken program until it breaks a rule, and reports whether it
// does.
func played(s *scenario.Scenario, seed uint64, breaks func(*World), rule string) bool {
	first := &World{}
	breaks(first) // settings and clocks matter from the beginning
	w := New(s, Options{Seed: seed, Break: first.opt.Break})
	breaks(w)
	for at := 10 * second; at <= units.Seconds(s.DurationS); at += 10 * second {
		w.Run(at)
		if slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == rule }) {
			return true
		}
	}
	return false
}
