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

// loaded returns a world in which a team has more tasks than fit its limit of 40 CPUs.
func loaded(seed uint64, nodes, blockMachines int, opt Options) *World {
	opt.Seed = seed
	w := New(deployment(nodes, blockMachines), opt)
	for i := range 4 {
		w.submit(units.Microseconds(1+i)*second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 30, Demand: binpack.Vec{1000, 0, 2000},
			AnyType: true, Spot: true, Image: "i", Estimate: 10 * second}, 12*second, 0)
	}
	return w
}

// use is what blue's tasks use on machines.
func (w *World) use() int { return w.Site.Running() }

func (w *World) set(team string, cpus float64) *ConfigChange {
	w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: team, CPUsMax: cpus})
	w.Run(w.now + second/100)
	return w.Changes[len(w.Changes)-1]
}

// kept fails the test if a rule is broken.
func (w *World) kept(t *testing.T, what string) {
	t.Helper()
	if b := w.Check.Violations(); len(b) > 0 {
		t.Errorf("%s: %v", what, b)
	}
}

// TestLimitThatFalls lowers a limit below what runs, and raises it again: nothing new starts
// above it once that is confirmed, what runs goes on, and a limit that rose is used at once.
func TestLimitThatFalls(t *testing.T) {
	for seed := range uint64(4) {
		w := loaded(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		before, done := w.use(), w.starts
		x := w.set("blue", 10)
		w.Run(w.now + 3*second)
		if x.Confirmed == 0 || x.Confirmed-x.Asked > second || before < 20 {
			t.Fatalf("seed %d: %d tasks ran; %+v", seed, before, x)
		}
		if w.use() <= 10 || w.starts > done+15 {
			t.Errorf("seed %d: %d of %d tasks go on, %d have begun since", seed, w.use(), before, w.starts-done)
		}
		w.Run(w.now + 20*second)
		if n := w.use(); n > 10 || n < 5 {
			t.Errorf("seed %d: %d tasks run under a limit of 10", seed, n)
		}
		w.set("blue", 30)
		w.Run(w.now + 12*second)
		if n := w.use(); n <= 10 {
			t.Errorf("seed %d: %d tasks run once the limit is 30", seed, n)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.kept(t, fmt.Sprint("seed ", seed))
	}
}

// TestHolderThatCannotRead lowers a limit while the holder is cut off from the state service,
// which serves the others: the holder hears of it from them, starts nothing until it can read,
// and the change is not confirmed before.
func TestHolderThatCannotRead(t *testing.T) {
	for seed := range uint64(3) {
		w := loaded(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		n := w.Holder(0)
		w.State.RefuseClient(n.Name, w.now+15*second)
		w.Run(w.now + 2*second)
		other := w.Nodes[(n.index+1)%3].Name
		w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 10, Node: other})
		w.Run(w.now + 6*second)
		x := w.Changes[0]
		if x.Stored == 0 || x.Confirmed != 0 {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		w.Run(w.now + 12*second)
		if x.Confirmed == 0 {
			t.Errorf("seed %d: not confirmed once the holder can read: %+v", seed, x)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.kept(t, fmt.Sprint("seed ", seed))
	}
}

// TestSilentHolder lowers a limit while the holder reaches neither the others nor the state
// service, and still its machines: the change is confirmed once the holder's authority has
// surely ended, and no controller starts anything above it.
func TestSilentHolder(t *testing.T) {
	for seed := range uint64(3) {
		w := loaded(seed+1, 3, 0, Options{})
		w.Run(25 * second)
		n := w.Holder(0).Name
		for _, party := range []string{scenario.PartyPeers, scenario.PartyState} {
			w.Fault(scenario.Fault{Kind: scenario.Cut, Between: []string{n, party}, ForS: 60, Mode: "drop"})
		}
		w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 10, Node: w.Nodes[(w.node(n).index+1)%3].Name})
		w.Run(w.now + 20*second)
		x := w.Changes[0]
		if x.Stored == 0 || x.Confirmed != 0 {
			t.Fatalf("seed %d: %+v", seed, x)
		}
		w.Run(w.now + 20*second)
		if x.Confirmed == 0 || w.node(n).life == 0 {
			t.Errorf("seed %d: %+v", seed, x)
		}
		w.Run(300 * second)
		w.Check.Finish(w.now, true)
		w.kept(t, fmt.Sprint("seed ", seed))
	}
}

// TestRemovedTeamGoesOn removes a team: its known jobs end, and it is given no new ones.
func TestRemovedTeamGoesOn(t *testing.T) {
	w := loaded(1, 3, 0, Options{})
	w.Run(20 * second)
	w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", Remove: true})
	w.Run(22 * second)
	known := len(w.Crowd.Jobs())
	late := w.submit(23*second, &jobs.Spec{Class: "x", Team: "blue", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	w.Run(30 * second)
	for _, n := range w.Nodes {
		n.Crash() // all that a new process knows is stored
	}
	w.Run(300 * second)
	w.Check.Finish(w.now, true)
	w.kept(t, "removed")
	if x := w.Changes[0]; x.Confirmed == 0 || !late.GaveUp {
		t.Errorf("%+v; the later job was not refused: %+v", x, late)
	}
	for _, j := range w.Crowd.Jobs()[:known] {
		if j.Final != jobs.Done {
			t.Errorf("%s is %q", j.ID, j.Final)
		}
	}
}

// TestWrongConfigurationsAreCaught breaks the controllers, and expects the checker to notice.
func TestWrongConfigurationsAreCaught(t *testing.T) {
	// A controller says that it goes by a version which it does not go by yet.
	lies := func(m any) any {
		if s, ok := m.(core.PeerStatus); ok {
			s.Config = 99
			return s
		}
		return m
	}
	// And one that does not hear of the others.
	deaf := func(m any) any {
		switch x := lies(m).(type) {
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
		w := loaded(seed+1, 3, 0, Options{Break: Broken{Told: deaf}})
		w.Run(units.Microseconds(40+seed) * second / 2) // tasks end, and others start
		n := w.Holder(0)
		w.State.RefuseClient(n.Name, w.now+60*second)
		w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", CPUsMax: 5, Node: w.Nodes[(n.index+1)%3].Name})
		w.Run(120 * second)
		if slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.Quota }) {
			caught++
		}
	}
	if caught == 0 {
		t.Error("tasks started above a limit that was confirmed, and nobody noticed")
	}
	w := loaded(1, 3, 0, Options{Break: Broken{Answer: func(e user.Call) *core.Reply {
		if e.Kind == user.Submit && e.Spec.Class == "late" {
			return &core.Reply{Code: http.StatusCreated, Body: core.JobAnswer{ID: e.ID, Status: jobs.Pending}}
		}
		return nil
	}}})
	w.Run(20 * second)
	w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "blue", Remove: true})
	w.submit(30*second, &jobs.Spec{Class: "late", Team: "blue", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	w.Run(40 * second)
	if !slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.Outdated }) {
		t.Errorf("a job of a removed team is accepted, and nobody noticed: %v", w.Check.Violations())
	}
}

// TestNothingIsStoredWithoutAChange plays a calm time: no key of the configuration is written.
func TestNothingIsStoredWithoutAChange(t *testing.T) {
	w := loaded(1, 3, 0, Options{})
	w.Run(60 * second)
	w.State.ForEach(func(it kv.Item) {
		if len(it.Key) > 18 && it.Key[:18] == "shalestage/config/" {
			t.Errorf("%s is stored", it.Key)
		}
	})
}

// manyTeams is a deployment with 340 teams.
func manyTeams(valueKB float64, ops int) *scenario.Scenario {
	s := deployment(3, 0)
	s.State.ValueKB, s.State.TxnOps, s.State.Next = valueKB, ops, scenario.Limits{}
	for i := range 337 {
		s.Teams = append(s.Teams, scenario.Team{Name: "team-" + strconv.Itoa(i), CPUsMax: 100})
	}
	return s
}

// TestChangesAtRate has operators change a limit among 340 teams 50 times a second for 10 s,
// and as often as in a day of 10,000: how long until a change is stored and confirmed. The
// queue and what is written stay bounded.
func TestChangesAtRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		value float64
		ops   int
		count int
		every float64
	}{{"50 a second", 8, 12, 500, 0.02}, {"50 a second", 2, 4, 500, 0.02}, {"10,000 a day", 8, 12, 100, 8.64}} {
		w := New(manyTeams(c.value, c.ops), Options{Seed: 1})
		w.Run(10 * second)
		before := w.State.Rev()
		w.Fault(scenario.Fault{Kind: scenario.ConfigSet, Team: "team-7", CPUsMax: 20, Count: c.count, EveryS: c.every})
		w.Run(w.now + units.Seconds(float64(c.count)*c.every) + 10*second)
		var took []units.Microseconds
		refused, last := 0, uint64(0)
		for _, x := range w.Changes {
			refused += x.Refused
			if x.Confirmed != 0 {
				took = append(took, x.Confirmed-x.Asked)
				last = max(last, x.Version)
			}
		}
		slices.Sort(took)
		at := func(p float64) float64 { return took[min(len(took)-1, int(p*float64(len(took))))].Seconds() }
		if len(took) == 0 {
			t.Fatalf("%s: none of %d confirmed", c.name, len(w.Changes))
		}
		t.Logf("%s, values of %g KiB: %d of %d confirmed, %d refused, %d versions in %d transactions; s until confirmed: p50 %.2f, p99 %.2f, max %.2f",
			c.name, c.value, len(took), len(w.Changes), refused, last, w.State.Rev()-before, at(0.5), at(0.99), at(1))
		if len(took)+refused < c.count || at(1) > 10 || w.Changes[c.count-1].Confirmed == 0 {
			t.Errorf("%s: %d confirmed, %d refused, max %.2f s", c.name, len(took), refused, at(1))
		}
		if last > uint64(float64(c.count)*c.every*4*3)+uint64(c.count)/4 {
			t.Errorf("%s: %d versions", c.name, last)
		}
		w.kept(t, c.name)
	}
}
