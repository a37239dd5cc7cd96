package check

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// maxBoots is how many of the longest usual boot times a replica may wait in addition to maxWait. Some
// machines take several times as long to boot, and one that never comes up has to be replaced first.
const maxBoots = 6

// CheckProvisioning checks that work gets machines. pools are the pools in which the cloud has
// capacity at present. Call it about every WaitingCheckEvery once all faults are over (TestUnprovisioned).
//
// A service violates the rule if one of its replicas is on no machine at every check of maxWait plus maxBoots
// boot times, while at each of them the cloud has capacity for it and its team is within its limit. Tasks that
// complete leave their slots to others, so an array may wait for a slot. A replica leaves its slot to nobody. So an
// array violates the rule if it has no task on a machine, and no machine has room for one beside the replicas there.
// It may wait for a lease more, as its tasks may have been on a machine that is gone.
func (c *Checker) CheckProvisioning(at units.Microseconds, available []AvailableMachine, pools []Machine) {
	c.Advance(at)
	placed, usage := c.placedTasks(available)
	longestBoot := units.Microseconds(0)
	for _, machineType := range c.config.Types {
		longestBoot = max(longestBoot, machineType.Boot)
	}
	for range min(maxJobsChecked, len(c.openJobs)) {
		c.nextService = (c.nextService + 1) % len(c.openJobs)
		job := c.openJobs[c.nextService]
		waits := job.lacksPlace(len(placed[job.id])) && c.mayStart(job, usage) && c.poolFor(job, pools)
		if !waits || !job.spec.Service && c.roomComes(job, available) {
			job.unprovisionedSince = 0
			continue
		}
		if job.unprovisionedSince == 0 {
			job.unprovisionedSince = at
		}
		allowed := maxWait + maxBoots*longestBoot
		if !job.spec.Service {
			allowed += c.config.Lease
		}
		if at-job.unprovisionedSince > allowed {
			c.violated(at, Unprovisioned, job, "", "%d of %d tasks of %s are on machines since %.1f, and the cloud has room for more",
				len(placed[job.id]), job.spec.Tasks, job.id, job.unprovisionedSince.Seconds())
		}
	}
}

// roomComes reports whether a machine that may run a job has room for one of its tasks, or will have it once the tasks
// of arrays there have completed.
func (c *Checker) roomComes(job *jobRecord, available []AvailableMachine) bool {
	return slices.ContainsFunc(available, func(machine AvailableMachine) bool {
		if !job.mayRun(machine) {
			return false
		}
		room, known := c.capacityOf(machine.Type)
		if !known {
			return true
		}
		for _, id := range machine.Tasks {
			if other := c.jobs[id.Job]; other != nil && other.spec.Service {
				room = room.Sub(other.spec.Demand)
			}
		}
		return job.spec.Demand.Fits(room)
	})
}

// poolFor reports whether one more task of a job may run on a machine of one of the pools.
func (c *Checker) poolFor(job *jobRecord, pools []Machine) bool {
	return slices.ContainsFunc(pools, func(pool Machine) bool {
		return job.mayRun(AvailableMachine{Machine: pool}) && c.fitsType(job.spec.Demand, pool.Type)
	})
}
