package sim

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// limitedTeamWorld returns a world in which a team has more tasks than fit its limit of 40 CPUs.
func limitedTeamWorld(seed uint64, nodes, blockMachines int, opt Options) *World {
	opt.Seed = seed
	w := New(deployment(nodes, blockMachines), opt)
	for i := range 4 {
		w.submitJob(units.Microseconds(1+i)*second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 30, Demand: binpack.Vec{1000, 0, 2000},
			AnyType: true, Spot: true, Image: "i", Estimate: 10 * second}, 12*second, 0)
	}
	return w
}

// runningTasks returns the number of running tasks, all of team blue, which use one CPU each.
func (w *World) runningTasks() int { return w.Site.Running() }

// setLimit starts an operator's change of a team's limit.
func (w *World) setLimit(team string, cpus float64) *ConfigChange {
	w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: team, CPUsMax: cpus})
	w.Run(w.now + second/100)
	return w.ConfigChanges[len(w.ConfigChanges)-1]
}

// checkNoViolations fails the test if a rule was violated.
func (w *World) checkNoViolations(t *testing.T, what string) {
	t.Helper()
	if b := w.Check.Violations(); len(b) > 0 {
		t.Errorf("%s: %v", what, b)
	}
}

// TestLoweredTeamLimit guards against wrong enforcement of a changed team limit. The limit is lowered below
// the current usage and raised again later. Running tasks must continue, no task may start above the limit
// once the change is confirmed, and the raised limit must be used at once.
func TestLoweredTeamLimit(t *testing.T) {
	for seed := range uint64(4) {
		w := limitedTeamWorld(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		before, done := w.runningTasks(), w.starts
		x := w.setLimit("blue", 10)
		w.Run(w.now + 3*second)
		if x.ConfirmedAt == 0 || x.ConfirmedAt-x.RequestedAt > second || before < 20 {
			t.Fatalf("seed %d: %d tasks ran before the change, want at least 20, and a confirmation within 1 s: %+v", seed, before, x)
		}
		if w.runningTasks() <= 10 || w.starts > done+15 {
			t.Errorf("seed %d: %d of %d tasks still run, %d have started since", seed, w.runningTasks(), before, w.starts-done)
		}
		w.Run(w.now + 20*second)
		if n := w.runningTasks(); n > 10 || n < 5 {
			t.Errorf("seed %d: %d tasks run under a limit of 10", seed, n)
		}
		w.setLimit("blue", 30)
		w.Run(w.now + 12*second)
		if n := w.runningTasks(); n <= 10 {
			t.Errorf("seed %d: %d tasks run after the limit was raised to 30", seed, n)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.checkNoViolations(t, fmt.Sprint("seed ", seed))
	}
}

// TestConfigChangeWithOwnerRefusedByStateService guards against starts above a lowered limit. The limit is
// lowered while the state service refuses the shard owner alone. The owner learns of the change from its
// peers, starts nothing until it can read the new version, and the change must not be confirmed before.
func TestConfigChangeWithOwnerRefusedByStateService(t *testing.T) {
	for seed := range uint64(3) {
		w := limitedTeamWorld(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		n := w.ShardOwner(0)
		w.State.RefuseClient(n.Name, w.now+15*second)
		w.Run(w.now + 2*second)
		other := w.Nodes[(n.index+1)%3].Name
		w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 10, Node: other})
		w.Run(w.now + 6*second)
		x := w.ConfigChanges[0]
		if x.StoredAt == 0 || x.ConfirmedAt != 0 {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		w.Run(w.now + 12*second)
		if x.ConfirmedAt == 0 {
			t.Errorf("seed %d: not confirmed after the owner can read again: %+v", seed, x)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.checkNoViolations(t, fmt.Sprint("seed ", seed))
	}
}

// TestConfigChangeWithIsolatedOwner guards against confirming a change too early, or never, while the shard
// owner reaches neither its peers nor the state service, but still reaches its machines. The change must be
// confirmed only when the owner's authority has certainly ended, and no controller may start tasks above the
// new limit.
func TestConfigChangeWithIsolatedOwner(t *testing.T) {
	for seed := range uint64(3) {
		w := limitedTeamWorld(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		n := w.ShardOwner(0).Name
		for _, party := range []string{scenario.PartyPeers, scenario.PartyState} {
			w.InjectFault(scenario.Fault{Kind: scenario.Cut, Between: []string{n, party}, ForS: 60, Mode: "drop"})
		}
		w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 10, Node: w.Nodes[(w.node(n).index+1)%3].Name})
		w.Run(w.now + 20*second)
		x := w.ConfigChanges[0]
		if x.StoredAt == 0 || x.ConfirmedAt != 0 {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		w.Run(w.now + 20*second)
		if x.ConfirmedAt == 0 || w.node(n).incarnation == 0 {
			t.Errorf("seed %d: %+v", seed, x)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.checkNoViolations(t, fmt.Sprint("seed ", seed))
	}
}

// TestRemovedTeamFinishesKnownJobs guards against losing the jobs of a removed team. Its accepted jobs must
// finish, also after a restart of all controllers, and new jobs must be refused.
func TestRemovedTeamFinishesKnownJobs(t *testing.T) {
	w := limitedTeamWorld(1, 3, 0, Options{})
	w.Run(20 * second)
	w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", Remove: true})
	w.Run(22 * second)
	known := len(w.Users.Jobs())
	late := w.submitJob(23*second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	w.Run(30 * second)
	for _, n := range w.Nodes {
		n.Crash() // the new processes know only what is stored
	}
	w.Run(300 * second)
	w.Check.Finish(w.now, true)
	w.checkNoViolations(t, "removed team")
	if x := w.ConfigChanges[0]; x.ConfirmedAt == 0 || !late.GaveUp {
		t.Errorf("not confirmed, or the later job was not refused: %+v; %+v", x, late)
	}
	for _, j := range w.Users.Jobs()[:known] {
		if j.FinalStatus != jobs.Done {
			t.Errorf("%s has status %q, want done", j.ID, j.FinalStatus)
		}
	}
}

// TestCheckerDetectsStaleConfiguration guards against a checker that misses starts above a confirmed limit,
// or accepted jobs of a removed team. Mutated controllers do both.
func TestCheckerDetectsStaleConfiguration(t *testing.T) {
	// Controllers report a configuration version that they do not use yet.
	claimNewerVersion := func(m any) any {
		if s, ok := m.(core.PeerStatus); ok {
			s.Config = 99
			return s
		}
		return m
	}
	// In addition, they do not learn of newer versions from their peers.
	hideNewerVersions := func(m any) any {
		switch x := claimNewerVersion(m).(type) {
		case core.PeerStatus:
			x.ConfigKnown = 0
			return x
		case core.PeerLeaseGrant:
			x.ConfigKnown = 0
			return x
		}
		return m
	}
	caught := 0
	for seed := range uint64(6) {
		w := limitedTeamWorld(seed+1, 3, 0, Options{Mutation: Mutation{PeerMessage: hideNewerVersions}})
		w.Run(units.Microseconds(40+seed) * second / 2) // tasks are ending and others starting
		n := w.ShardOwner(0)
		w.State.RefuseClient(n.Name, w.now+60*second)
		w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 5, Node: w.Nodes[(n.index+1)%3].Name})
		w.Run(120 * second)
		if slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.Quota }) {
			caught++
		}
	}
	if caught == 0 {
		t.Error("starts above a confirmed limit were not detected")
	}
	w := limitedTeamWorld(1, 3, 0, Options{Mutation: Mutation{UserReply: func(e user.Call) *core.Reply {
		if e.Kind == user.Submit && e.Spec.Class == "late" {
			return &core.Reply{Code: http.StatusCreated, Body: core.JobAnswer{ID: e.ID, Status: jobs.Pending}}
		}
		return nil
	}}})
	w.Run(20 * second)
	w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", Remove: true})
	w.submitJob(30*second, &jobs.Spec{Class: "late", Team: "blue", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	w.Run(40 * second)
	if !slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.Outdated }) {
		t.Errorf("the accepted job of a removed team was not detected: %v", w.Check.Violations())
	}
}

// TestNoConfigStoredWithoutChange guards against writing configuration records without a change by an
// operator.
func TestNoConfigStoredWithoutChange(t *testing.T) {
	w := limitedTeamWorld(1, 3, 0, Options{})
	w.Run(60 * second)
	w.State.ForEach(func(it kv.Item) {
		if len(it.Key) > 18 && it.Key[:18] == "shalestage/config/" {
			t.Errorf("%s is stored without a change", it.Key)
		}
	})
}

// manyTeams returns a deployment with 340 teams.
func manyTeams(valueKB float64, ops int) *scenario.Scenario {
	s := deployment(3, 0)
	s.State.ValueKB, s.State.TxnOps, s.State.Next = valueKB, ops, scenario.Limits{}
	for i := range 337 {
		s.Teams = append(s.Teams, scenario.Team{Name: "team-" + strconv.Itoa(i), CPUsMax: 100})
	}
	return s
}

// TestConfigChangeRate guards against a growing queue of configuration changes. Operators change a limit
// among 340 teams 50 times a second for 10 s, and at the rate of 10,000 changes a day. The time until a
// change is stored and confirmed, and the number of written versions, must stay bounded.
func TestConfigChangeRate(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		name  string
		value float64
		ops   int
		count int
		every float64
	}{{"50 a second", 8, 12, 500, 0.02}, {"50 a second", 2, 4, 500, 0.02}, {"10,000 a day", 8, 12, 100, 8.64}} {
		w := New(manyTeams(testCase.value, testCase.ops), Options{Seed: 1})
		w.Run(10 * second)
		before := w.State.Rev()
		w.InjectFault(scenario.Fault{Kind: scenario.ConfigSet, Team: "team-7", CPUsMax: 20, Count: testCase.count, EveryS: testCase.every})
		w.Run(w.now + units.Seconds(float64(testCase.count)*testCase.every) + 10*second)
		var times []units.Microseconds
		refused, last := 0, uint64(0)
		for _, change := range w.ConfigChanges {
			refused += change.FailedTries
			if change.ConfirmedAt != 0 {
				times = append(times, change.ConfirmedAt-change.RequestedAt)
				last = max(last, change.Version)
			}
		}
		slices.Sort(times)
		at := func(p float64) float64 { return times[min(len(times)-1, int(p*float64(len(times))))].Seconds() }
		if len(times) == 0 {
			t.Fatalf("%s: none of %d changes confirmed", testCase.name, len(w.ConfigChanges))
		}
		t.Logf("%s, values of %g KiB: %d of %d confirmed, %d refused, %d versions in %d transactions; s until confirmed: p50 %.2f, p99 %.2f, max %.2f",
			testCase.name, testCase.value, len(times), len(w.ConfigChanges), refused, last, w.State.Rev()-before, at(0.5), at(0.99), at(1))
		if len(times)+refused < testCase.count || at(1) > 10 || w.ConfigChanges[testCase.count-1].ConfirmedAt == 0 {
			t.Errorf("%s: %d confirmed, %d refused, max %.2f s", testCase.name, len(times), refused, at(1))
		}
		if last > uint64(float64(testCase.count)*testCase.every*4*3)+uint64(testCase.count)/4 {
			t.Errorf("%s: too many versions: %d", testCase.name, last)
		}
		w.checkNoViolations(t, testCase.name)
	}
}
