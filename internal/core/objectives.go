package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// propagateObjectives propagates deadlines and priorities from waiting jobs back to
// the jobs that they depend on.
func (c *Core) propagateObjectives(shard *ownedShard) {
	if c.jobs.PropagationDue() {
		c.jobs.PropagateObjectives(func(job *jobs.Job) units.Microseconds { return c.expectedDuration(shard, job) })
	}
}

// expectedDuration returns how long a job is expected to take once its tasks can be placed: fetching its
// image, and running its tasks in as many consecutive waves as the team's limit requires.
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
	duration := units.Microseconds(waves) * shard.demand.Runtime(spec)
	if rate := c.slowestFetchRate(spec); rate > 0 {
		duration += units.Microseconds(spec.ImageMB) * units.Second / units.Microseconds(rate)
	}
	return duration
}

// slowestFetchRate returns the image fetch rate, in MB/s, of the slowest machine type
// that a job may use; 0 if no rate is known.
func (c *Core) slowestFetchRate(spec *jobs.Spec) int64 {
	rates := []int64{}
	for _, machineType := range c.types {
		if spec.Demand.Fits(machineType.Capacity) && spec.AllowsType(machineType.Name) && machineType.FetchMBs > 0 {
			rates = append(rates, machineType.FetchMBs)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return slices.Min(rates)
}
