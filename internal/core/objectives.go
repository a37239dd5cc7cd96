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
		c.jobs.PropagateObjectives(func(job *jobs.Job) units.Microseconds { return c.stepTime(shard, job) })
	}
}

// stepTime is how long a job is expected to take once it may start and has room:
// an image, and its tasks one after the other where the team's limit asks for it.
func (c *Core) stepTime(shard *ownedShard, j *jobs.Job) units.Microseconds {
	s := j.Spec()
	waves := int64(1)
	if t := c.teams[s.Team]; t != nil {
		for i, lim := range t.Limit {
			if lim > 0 && s.Demand[i] > 0 {
				waves = max(waves, (int64(s.Tasks)*s.Demand[i]+lim-1)/lim)
			}
		}
	}
	took := units.Microseconds(waves) * shard.demand.Runtime(s)
	if rate := c.slowestFetch(s); rate > 0 {
		took += units.Microseconds(s.ImageMB) * units.Second / units.Microseconds(rate)
	}
	return took
}

// slowestFetch is the rate at which the slowest machine type that a job may use
// fetches images.
func (c *Core) slowestFetch(s *jobs.Spec) int64 {
	rates := []int64{}
	for _, t := range c.types {
		if s.Demand.Fits(t.Capacity) && s.AllowsType(t.Name) && t.FetchMBs > 0 {
			rates = append(rates, t.FetchMBs)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return slices.Min(rates)
}
