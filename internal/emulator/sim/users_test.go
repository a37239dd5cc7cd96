package sim

import (
	"net/http"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// runUserFault runs a small deployment with short and long jobs and one fault.
func runUserFault(seed uint64, f scenario.Fault, b Mutation) *World {
	sc := deployment(3, 0)
	sc.Users.LateRetries = 0.3
	sc.Faults = []scenario.Fault{f}
	w := New(sc, Options{Seed: seed, Mutation: b})
	for i := range 24 {
		length := 4 * second
		if i%3 == 0 {
			length = 150 * second
		}
		w.submitJob(units.Microseconds(1+i)*second, &jobs.Spec{Class: "x", Team: "blue", Priority: jobs.Normal, Tasks: 1 + i%3, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true,
			Spot: true, Image: "i", Estimate: length}, length, 0)
	}
	w.Run(240 * second)
	return w
}

// violates reports whether a rule is violated with at least one of the seeds.
func violates(rule string, seeds uint64, f scenario.Fault, b Mutation) bool {
	for seed := uint64(1); seed <= seeds; seed++ {
		if slices.ContainsFunc(runUserFault(seed, f, b).Check.Violations(), func(x check.Violation) bool { return x.Rule == rule }) {
			return true
		}
	}
	return false
}

// answeringAfter returns a mutation that replies to requests of one kind without processing them, after the
// first ones.
func answeringAfter(k user.Kind, after, code int, s jobs.Status) Mutation {
	n := 0
	return Mutation{UserReply: func(e user.Call) *core.Reply {
		if e.Kind != k {
			return nil
		}
		if n++; n <= after {
			return nil
		}
		return &core.Reply{Code: code, Body: core.JobAnswer{ID: e.ID, Status: s}}
	}}
}

// TestUserFaults guards against rule violations by each of the users' faults, and against faults that do not
// occur.
func TestUserFaults(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		f     scenario.Fault
		event string
		least int
	}{
		{scenario.Fault{Kind: scenario.CancelNow, AtS: 40, Count: 5, HangS: 20}, scenario.CancelUnreached, 2},
		{scenario.Fault{Kind: scenario.CancelAtEnd, AtS: 5, ForS: 60, Share: 0.5}, scenario.CancelledAtEnd, 4},
		{scenario.Fault{Kind: scenario.OddRequests, AtS: 5, ForS: 60}, scenario.OddRequest, 40},
		{scenario.Fault{Kind: scenario.CloseLooks, AtS: 1, ForS: 60}, scenario.CloseLook, 200},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			w := runUserFault(seed, testCase.f, Mutation{})
			for _, b := range w.Check.Violations() {
				t.Errorf("%s, seed %d: %s", testCase.f.Kind, seed, b)
			}
			if got := w.EventCount(testCase.event); got < testCase.least {
				t.Errorf("%s, seed %d: %s happened %d times, want %d", testCase.f.Kind, seed, testCase.event, got, testCase.least)
			}
		}
	}
}

// TestCheckerDetectsStaleAnswers guards against a checker that misses stale replies. While users query within
// milliseconds of each change of a job, one kind of request gets replies that are older than what users were
// told before: the checker must report that.
func TestCheckerDetectsStaleAnswers(t *testing.T) {
	t.Parallel()
	closeLooks := scenario.Fault{Kind: scenario.CloseLooks, AtS: 1, ForS: 60}
	for name, testCase := range map[string]struct {
		rule string
		b    Mutation
	}{
		"submission repeated, new":     {check.WentBack, answeringAfter(user.Submit, 0, http.StatusCreated, jobs.Pending)},
		"submission repeated, older":   {check.WentBack, answeringAfter(user.Submit, 30, http.StatusOK, jobs.Pending)},
		"submission repeated, refused": {check.Forgotten, answeringAfter(user.Submit, 30, http.StatusUnprocessableEntity, "")},
		"cancellation, unknown":        {check.Forgotten, answeringAfter(user.Cancel, 0, http.StatusNotFound, "")},
		"cancellation, older":          {check.WentBack, answeringAfter(user.Cancel, 0, http.StatusOK, jobs.Running)},
		"question, unknown":            {check.Forgotten, answeringAfter(user.Poll, 30, http.StatusNotFound, "")},
		"question, older":              {check.WentBack, answeringAfter(user.Poll, 100, http.StatusOK, jobs.Pending)},
		"reads that bring nothing new": {check.Forgotten, Mutation{StaleReads: true}},
	} {
		if !violates(testCase.rule, 3, closeLooks, testCase.b) {
			t.Errorf("%s: three runs do not violate %s", name, testCase.rule)
		}
	}
}

// TestCheckerDetectsCancelledTaskOnHungMachine guards against a checker that misses running tasks of
// cancelled jobs. Their machines hang, resume within their leases and get no stop commands: the checker must
// report that.
func TestCheckerDetectsCancelledTaskOnHungMachine(t *testing.T) {
	hang := scenario.Fault{Kind: scenario.CancelNow, AtS: 40, Count: 8, HangS: 6}
	withoutStops := Mutation{Commands: func(_ string, o *core.HeartbeatResponse) {
		o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool { return c.Op == fleet.Stop })
	}}
	if !violates(check.RanCancelled, 3, hang, withoutStops) {
		t.Error("three runs in which tasks of cancelled jobs continue violate nothing")
	}
}

// TestStartsAfterCancellationAreCounted guards against missing tasks that start after a user was told that
// their job is cancelled.
func TestStartsAfterCancellationAreCounted(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := runUserFault(seed, scenario.Fault{Kind: scenario.CloseLooks, AtS: 1, ForS: 60}, answering(user.Cancel, http.StatusOK, jobs.Cancelled))
		if w.Check.StartsCancelled() > 0 && w.EventCount(scenario.StartCancelled) == w.Check.StartsCancelled() {
			return
		}
	}
	t.Error("in three runs with cancellations that are not stored, no start of a cancelled task was counted")
}
