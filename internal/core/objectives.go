package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// propagateObjectives lets deadlines and priorities pass back from jobs that wait to those that
// they depend on.
func (c *Core) propagateObjectives(shard *ownedShard) {
	if c.jobs.PropagationDue() {
		c.jobs.PropagateObjectives(func(job *jobs.Job) units.Microseconds { return c.expectedDuration(shard, job) })
	}
}

// expectedDuration is how long a job is expected to take once it may start and has room:
// an image, and its tasks one after the other where the team's limit asks for it.
func (c *Core) expectedDuration(shard *ownedShard, job *jobs.Job) units.Microseconds {
	spec := job.Spec()
	waves := int64(1)
	if team := c.teams[spec.Team]; team != nil {
		for i, limit := range team.Limit {
			if limit > 0 && spec.Demand[i] > 0 {
				waves = max(waves, (int64(spec.Tasks)*spec.Demand[i]+limit-1)/limit)
			}
		}
	}
	took := units.Microseconds(waves) * shard.demand.Runtime(spec)
	if rate := c.slowestFetchRate(spec); rate > 0 {
		took += units.Microseconds(spec.ImageMB) * units.Second / units.Microseconds(rate)
	}
	return took
}

// slowestFetchRate is the rate at which the slowest machine type that a job may use
// fetches images.
func (c *Core) slowestFetchRate(spec *jobs.Spec) int64 {
	rates := []int64{}
	for _, t := range c.types {
		if spec.Demand.Fits(t.Capacity) && spec.AllowsType(t.Name) && t.FetchMBs > 0 {
			rates = append(rates, t.FetchMBs)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return slices.Min(rates)
}
