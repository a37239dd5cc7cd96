package core

import (
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
)

// TestOwedTeam has two teams whose guarantees are more than the machines can give together.
// The one with work of high priority used to get all of it for as long as it had any, as all
// was within its guarantee, and nothing of the other's ever began. Now each has its part, once
// its work has waited, and what runs of that is not stopped for the other.
func TestOwedTeam(t *testing.T) {
	job := func(team string, tasks int, p ledger.Priority) ledger.Record {
		return ledger.Record{Status: ledger.Pending, Tasks: tasks, Submitted: 1000 * unit.Second,
			Spec: &ledger.Spec{Team: team, Priority: p, Tasks: tasks, AnyType: true, Demand: pack.Vec{1000, 0, 1}, Estimate: 20 * unit.Second}}
	}
	c := holding(t, map[string]any{
		machPrefix + "r-1":      fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": job("rich", 30, ledger.High),
		jobPrefix + "wk-000002": job("poor", 10, ledger.Low),
	})
	c.cfg.Teams = []Team{{Name: "rich", Guarantee: pack.Vec{30_000, 0, 0}}, {Name: "poor", Guarantee: pack.Vec{10_000, 0, 0}}}
	for i := range c.cfg.Teams {
		c.teams[c.cfg.Teams[i].Name] = &c.cfg.Teams[i]
	}
	bl := c.held[0]
	bl.machines["n-1"].Type = c.types["big"] // 16 CPUs: 12 for the one, 4 for the other
	for _, j := range c.active {
		j.Held = false
	}
	first := func() string {
		c.sortJobs(bl)
		c.rank(bl)
		return bl.queue.Ranked()[0].Job.Spec().Team
	}
	if got := first(); got != "rich" {
		t.Errorf("%s goes first though nothing has waited", got)
	}
	c.wall += preemptAfter + unit.Second
	poor, rich := c.jobs["wk-000002"], c.jobs["wk-000001"]
	for k, want := range []int64{0, 4000, 8000} {
		bl.usage["poor"], bl.usage["rich"] = pack.Vec{want, 0, 0}, pack.Vec{12_000, 0, 0}
		if got := first(); (got == "poor") != (k == 0) {
			t.Errorf("with %d in use %s goes first", want, got)
		}
		if got := c.mayStop(bl, rich, poor); got != (k == 2) {
			t.Errorf("with %d in use, stopped for the other: %v", want, got)
		}
	}
	bl.machines["n-2"] = &fleet.Machine{Name: "n-2", Type: &fleet.Type{Capacity: pack.Vec{30_000, 0, 0}}, Tasks: map[ledger.TaskID]fleet.Attempt{}}
	if bl.usage["poor"] = (pack.Vec{}); first() != "rich" {
		t.Error("there is room for all guarantees, and priority does not count")
	}
}
