package sim

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// answering returns a mutation that replies to requests of one kind without processing them.
func answering(k user.Kind, code int, s jobs.Status) Mutation {
	return Mutation{UserReply: func(e user.Call) *core.Reply {
		if e.Kind != k {
			return nil
		}
		return &core.Reply{Code: code, Body: core.JobAnswer{ID: e.ID, Status: s}}
	}}
}

// withoutStarts returns a mutation of commands that never starts the tasks of a job.
func withoutStarts(job string) func(node string, o *core.HeartbeatResponse) {
	return func(_ string, o *core.HeartbeatResponse) {
		o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool { return c.Op == fleet.Start && c.ID.Job == job })
	}
}

// TestCheckerDetectsEveryRuleViolation guards against a checker that reports nothing. For every rule, it runs
// mutated controllers or a faulty environment that violates the rule, and expects a report of the violation
// with its history.
func TestCheckerDetectsEveryRuleViolation(t *testing.T) {
	t.Parallel()
	freeze := scenario.Fault{Kind: scenario.ControllerFreeze, Node: "holder", AtS: 25, ForS: 4}
	cases := map[string]struct {
		b     Mutation
		fault scenario.Fault
	}{
		check.RanTwice: {b: Mutation{Heartbeat: func(r *fleet.Heartbeat) {
			r.Tasks = slices.DeleteFunc(r.Tasks, func(x fleet.Task) bool { return x.State != fleet.Exited })
		}}},
		check.Quota:        {b: Mutation{Settings: func(s *config.Settings) { s.Deployment.Teams[0].CPUsMax = 0 }}},
		check.WrongPlace:   {b: Mutation{JobSpec: func(s *jobs.Spec) { s.Zone, s.Spread = "", false }}},
		check.RanCancelled: {b: answering(user.Cancel, http.StatusOK, jobs.Cancelled)},
		check.Forgotten:    {b: answering(user.Poll, http.StatusNotFound, "")},
		check.Invented:     {b: answering(user.Poll, http.StatusOK, jobs.Pending)},
		check.NotDone:      {b: answering(user.Poll, http.StatusOK, jobs.Done)},
		check.WentBack:     {b: answering(user.Poll, http.StatusOK, jobs.Cancelled)},
		check.NothingRan:   {b: answering(user.Submit, http.StatusCreated, jobs.Pending)},
		check.Lost:         {b: answering(user.Submit, http.StatusCreated, jobs.Pending)},
		check.TooEarly:     {b: Mutation{JobSpec: func(s *jobs.Spec) { s.Awaits = nil }}},
		check.Orphaned: {b: Mutation{UserReply: func(e user.Call) *core.Reply {
			if e.Kind == user.Poll && e.ID == "wk-000005" {
				return &core.Reply{Code: http.StatusOK, Body: core.JobAnswer{ID: e.ID, Status: jobs.Pending}}
			}
			return nil
		}}},
		// The owner's clock is several times too slow, so that it assumes its authority long after the others
		// have ended it.
		check.TwoHolders: {fault: scenario.Fault{Kind: scenario.Cut, Between: []string{"node-0", scenario.PartyState}, AtS: 25, ForS: 60, Mode: "drop"},
			b: Mutation{ClockRate: func(node int) float64 { return []float64{0.3, 1, 1}[node] }}},
		// The limits of the state service are lower than any that the controllers were configured with.
		check.TooLarge: {fault: scenario.Fault{Kind: scenario.StateLimits, ValueKB: 0.1}},
		check.Impossible: {fault: scenario.Fault{Kind: scenario.OddRequests, AtS: 5, ForS: 60}, b: Mutation{UserReply: func(e user.Call) *core.Reply {
			if e.Kind == user.Submit && (e.Spec == nil || strings.HasPrefix(e.ID, "wk-8")) {
				return &core.Reply{Code: http.StatusCreated, Body: core.JobAnswer{ID: e.ID, Status: jobs.Pending}}
			}
			return nil
		}}},
		check.LeftWaiting:   {b: Mutation{Commands: withoutStarts("wk-000002")}},
		check.Unprovisioned: {b: Mutation{Commands: withoutStarts("wk-000006")}},
		check.NominalQuota:  {b: Mutation{Commands: withoutStarts("wk-000009")}},
		check.Outdated:      {fault: scenario.Fault{Kind: scenario.ConfigSet, Team: "red", Remove: true, AtS: 25}, b: answering(user.Submit, http.StatusCreated, jobs.Pending)},
	}
	for _, rule := range check.Rules {
		testCase, ok := cases[rule]
		if !ok {
			t.Errorf("%s: no case violates this rule", rule)
			continue
		}
		caught := false
		for seed := uint64(1); seed <= 20 && !caught; seed++ {
			sc := deployment(3, 0)
			sc.Users.Strangers = 0.2
			sc.Faults = []scenario.Fault{testCase.fault}
			if testCase.fault.Kind == "" {
				sc.Faults = []scenario.Fault{freeze}
			}
			w := New(sc, Options{Seed: seed, Mutation: testCase.b})
			spec := func(team string, tasks int) *jobs.Spec {
				return &jobs.Spec{Class: "x", Team: team, Priority: jobs.Normal, Tasks: tasks, Demand: binpack.Vec{2000, 0, 1000}, AnyType: true, Spot: true,
					Image: "i", Estimate: 10 * second}
			}
			for range 3 {
				w.submitJob(second, spec("red", 8), 20*second, 0)
			}
			zoned := spec("blue", 8)
			zoned.Zone = "b"
			zonedJob := w.submitJob(second, zoned, 100*second, 20*second)
			spread := spec("green", 4)
			spread.Spread = true
			spreadJob := w.submitJob(second, spread, 30*second, 0)
			dependent := spec("blue", 2)
			w.submitJob(second, dependent, units.Second, 0, zonedJob, spreadJob)
			service := spec("green", 2)
			service.Service, service.Estimate = true, 0
			w.submitJob(second, service, 0, 0)
			w.submitJob(60*second, spec("red", 1), units.Second, 0)
			w.submitJob(70*second, spec("green", 2), 300*second, 0)
			w.submitJob(80*second, spec("blue", 2), 10*second, 0)
			w.Run(240 * second)
			w.Check.Finish(w.now, true)
			for _, b := range w.Check.Violations() {
				if b.Rule == rule {
					caught = true
					if len(b.History) == 0 {
						t.Errorf("%s: the violation has no history", rule)
					}
				}
			}
		}
		if !caught {
			t.Errorf("%s: the violation was not detected", rule)
		}
	}
}

// TestUnansweredPollsAfterFaultsAreViolations guards against a checker that excuses unanswered polls for
// ever. All polls fail. That is allowed during a fault such as an outage, but not once all faults are over,
// even if the polls of all jobs fail alike.
func TestUnansweredPollsAfterFaultsAreViolations(t *testing.T) {
	for _, testCase := range []struct {
		outage float64
		want   bool
	}{{1, true}, {240, false}} {
		sc := deployment(3, 0)
		sc.Faults = []scenario.Fault{{Kind: scenario.StateOutage, AtS: 20, ForS: testCase.outage}}
		w := New(sc, Options{Seed: 1, Mutation: Mutation{UserReply: func(e user.Call) *core.Reply {
			if e.Kind == user.Poll {
				return &core.Reply{Code: http.StatusServiceUnavailable}
			}
			return nil
		}}})
		w.submitJob(second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 2, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: 10 * second}, 10*second, 0)
		w.Run(230 * second)
		if got := slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.Forgotten }); got != testCase.want {
			t.Errorf("outage of %g s: violation of check.Forgotten reported %v, want %v", testCase.outage, got, testCase.want)
		}
	}
}

// TestSameSeedSameHistory guards against nondeterminism of the simulation. It runs a scenario with faults of
// every kind twice for each seed: both digests must be equal, and those of different seeds must differ.
func TestSameSeedSameHistory(t *testing.T) {
	t.Parallel()
	digest := func(seed uint64) string {
		sc := deployment(3, 2)
		sc.Cloud.SpotPerHour = 20
		sc.Draw = scenario.Draw{FromS: 3, ToS: 100, GapS: 4}
		w := New(sc, Options{Seed: seed})
		for i := range 10 {
			w.submitJob(units.Microseconds(i)*5*second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: binpack.Vec{2000, 0, 1000}, AnyType: true, Spot: true,
				Image: "i", Estimate: 10 * second, Checkpoint: second}, 10*second, 0)
		}
		return w.RunScenario().Digest
	}
	seen := map[string]bool{}
	for seed := range uint64(8) {
		a, b := digest(seed+1), digest(seed+1)
		if a != b {
			t.Errorf("seed %d: digests %s and %s differ", seed+1, a, b)
		}
		seen[a] = true
	}
	if len(seen) != 8 {
		t.Errorf("8 seeds gave %d histories", len(seen))
	}
}
