package core

import (
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestOwedTeam has two teams whose guarantees are more than the machines can give together.
// The one with work of high priority used to get all of it for as long as it had any, as all
// was within its guarantee, and nothing of the other's ever began. Now each has its part, once
// its work has waited, and what runs of that is not stopped for the other.
func TestOwedTeam(t *testing.T) {
	job := func(team string, tasks int, p jobs.Priority) jobs.Record {
		return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
			Spec: &jobs.Spec{Team: team, Priority: p, Tasks: tasks, AnyType: true, Demand: binpack.Vec{1000, 0, 1}, Estimate: 20 * units.Second}}
	}
	c := holding(t, map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": job("rich", 30, jobs.High),
		jobPrefix + "wk-000002": job("poor", 10, jobs.Low),
	})
	c.cfg.Teams = []Team{{Name: "rich", Guarantee: binpack.Vec{30_000, 0, 0}}, {Name: "poor", Guarantee: binpack.Vec{10_000, 0, 0}}}
	for i := range c.cfg.Teams {
		c.teams[c.cfg.Teams[i].Name] = &c.cfg.Teams[i]
	}
	shard := c.owned[0]
	shard.machines["n-1"].Type = c.types["big"] // 16 CPUs: 12 for the one, 4 for the other
	for j := range c.jobs.Active() {
		j.AwaitsReconciliation = false
	}
	first := func() string {
		c.sortJobs(shard)
		c.rank(shard)
		return shard.queue.Ranked()[0].Job.Spec().Team
	}
	if got := first(); got != "rich" {
		t.Errorf("%s goes first though nothing has waited", got)
	}
	setUsage := func(team string, cpu int64) {
		shard.quota.Release(team, shard.quota.Usage(team))
		shard.quota.Charge(team, binpack.Vec{cpu, 0, 0})
	}
	c.wall += preemptAfter + units.Second
	poor, rich := c.jobs.Get("wk-000002"), c.jobs.Get("wk-000001")
	for k, want := range []int64{0, 4000, 8000} {
		setUsage("poor", want)
		setUsage("rich", 12_000)
		if got := first(); (got == "poor") != (k == 0) {
			t.Errorf("with %d in use %s goes first", want, got)
		}
		if got := c.mayPreempt(shard, rich, poor); got != (k == 2) {
			t.Errorf("with %d in use, stopped for the other: %v", want, got)
		}
	}
	shard.machines["n-2"] = &fleet.Machine{Name: "n-2", Type: &fleet.Type{Capacity: binpack.Vec{30_000, 0, 0}}, Tasks: map[jobs.TaskID]fleet.Attempt{}}
	if setUsage("poor", 0); first() != "rich" {
		t.Error("there is room for all guarantees, and priority does not count")
	}
}
