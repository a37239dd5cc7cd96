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

// crowded plays a small deployment with short and long jobs and one fault.
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

// broke reports whether a rule was broken in one of some seeds.
func violates(rule string, seeds uint64, f scenario.Fault, b Mutation) bool {
	for seed := uint64(1); seed <= seeds; seed++ {
		if slices.ContainsFunc(runUserFault(seed, f, b).Check.Violations(), func(x check.Violation) bool { return x.Rule == rule }) {
			return true
		}
	}
	return false
}

// answers returns a program that answers one kind of calls wrongly after so many.
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

// TestUserTroubles plays each of the users' troubles: it comes about, and breaks nothing.
func TestUserFaults(t *testing.T) {
	for _, c := range []struct {
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
			w := runUserFault(seed, c.f, Mutation{})
			for _, b := range w.Check.Violations() {
				t.Errorf("%s, seed %d: %s", c.f.Kind, seed, b)
			}
			if got := w.EventCount(c.event); got < c.least {
				t.Errorf("%s, seed %d: %s happened %d times, want %d", c.f.Kind, seed, c.event, got, c.least)
			}
		}
	}
}

// TestOlderAnswersAreNoticed answers each kind of calls with something older than what users
// were told, in close looks: the checker must notice.
func TestCheckerDetectsStaleAnswers(t *testing.T) {
	looks := scenario.Fault{Kind: scenario.CloseLooks, AtS: 1, ForS: 60}
	for name, c := range map[string]struct {
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
		if !violates(c.rule, 3, looks, c.b) {
			t.Errorf("%s: three plays break no %s", name, c.rule)
		}
	}
}

// TestCancelledOnHangingMachine has tasks of cancelled jobs on machines that hang, go on
// within their leases and are told no stop: the checker must notice.
func TestCheckerDetectsCancelledTaskOnHungMachine(t *testing.T) {
	hang := scenario.Fault{Kind: scenario.CancelNow, AtS: 40, Count: 8, HangS: 6}
	noStops := Mutation{Commands: func(_ string, o *core.HeartbeatResponse) {
		o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool { return c.Op == fleet.Stop })
	}}
	if !violates(check.RanCancelled, 3, hang, noStops) {
		t.Error("three plays with tasks that go on break nothing")
	}
}

// TestStartsAfterCancelCounted has tasks start after their job's cancellation was told: they
// are counted.
func TestStartsAfterCancellationAreCounted(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := runUserFault(seed, scenario.Fault{Kind: scenario.CloseLooks, AtS: 1, ForS: 60}, answering(user.Cancel, http.StatusOK, jobs.Cancelled))
		if w.Check.StartsCancelled() > 0 && w.EventCount(scenario.StartCancelled) == w.Check.StartsCancelled() {
			return
		}
	}
	t.Error("three plays whose cancellations are not stored start nothing that is cancelled")
}
