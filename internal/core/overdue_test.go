package core

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestLargestJobBegins has a team at its limit whose small jobs keep coming. The least
// remaining work put the large one off for as long as they came, and what its tasks need was
// never free at once. Once it has waited for long its first task goes ahead of all else, the
// limit is kept free for it meanwhile, and then it has no more right than before.
func TestLargestJobBegins(t *testing.T) {
	job := func(tasks int, cpu int64) jobs.Record {
		return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
			Spec: &jobs.Spec{Team: "t", Tasks: tasks, AnyType: true, Demand: binpack.Vec{cpu, 0, 1}, Estimate: 20 * units.Second}}
	}
	values := map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000000": job(200, 4000),
	}
	for i := 1; i <= 24/(beginTasks-1); i++ {
		values[jobPrefix+fmt.Sprintf("wk-%06d", i)] = job(beginTasks-1, 1000)
	}
	c := holding(t, values)
	c.cfg.Pack = binpack.Params{Fairness: 0.25, EpsilonScale: 3, ImagePenalty: 0.5}
	c.allocations[0] = quotaAllocation{fraction: 1}
	c.teams["t"].Limit = binpack.Vec{8000, 0, 0}
	shard := c.owned[0]
	shard.unreconciled = map[string]bool{}
	shard.quota.UnreconciledChanged()
	m := shard.machines["n-1"]
	m.Type = c.types["big"]
	for j := range c.jobs.Active() {
		j.AwaitsReconciliation = false
	}
	// fill gives the machine work and returns how many tasks are of the large job.
	fill := func() (large, all int) {
		c.sortJobs(shard)
		c.rank(shard)
		for _, cmd := range c.fill(shard, m) {
			if all++; cmd.ID.Job == "wk-000000" {
				large++
			}
		}
		return large, all
	}
	// end ends n of the small tasks on the machine.
	end := func(n int) {
		for _, id := range m.TaskIDs() {
			if n > 0 && id.Job != "wk-000000" {
				c.taskRemoved(shard, m, id)
				n--
			}
		}
	}
	if large, all := fill(); large != 0 || all != 8 {
		t.Fatalf("%d tasks of the large job among the first %d", large, all)
	}
	c.wall += beginWithin + units.Second
	end(3)
	if _, all := fill(); all != 0 {
		t.Errorf("%d small tasks take what is kept for the large job", all)
	}
	c.wall += keepRoomFor
	if _, all := fill(); all != 3 {
		t.Errorf("%d small tasks begin, want 3: room was kept for long enough", all)
	}
	end(3)
	c.wall -= keepRoomFor
	end(5)
	if large, all := fill(); large != 1 || all != 5 {
		t.Errorf("%d tasks of the large job among %d, want its first alone beside small ones", large, all)
	}
	end(1)
	if large, all := fill(); large != 0 || all != 1 {
		t.Errorf("%d tasks of the large job among %d, though it has begun", large, all)
	}
}
