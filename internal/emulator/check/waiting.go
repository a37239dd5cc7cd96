package check

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxWait is how long a job may wait, once all faults are over, while a machine has free capacity
	// for it and its team is within its limit.
	maxWait = 90 * units.Second
	// maxWaitTransient is how long a job may wait if the fleet is full and free capacity is only
	// transient, see onlyTransient. The service puts a job first in its tier after two minutes; its
	// team's tasks that go before it need another two to end.
	maxWaitTransient = 240 * units.Second
	// fullShare defines when the fleet is full for a job: fewer than one in fullShare of the machines
	// that may run its tasks have capacity for one. With fullShare such machines or fewer, the fleet
	// is full only if none has capacity.
	fullShare = 20
	// WaitingCheckEvery is the approximate interval between calls of CheckWaiting.
	WaitingCheckEvery = 5 * units.Second
	// maxJobsChecked bounds the jobs that one call of CheckWaiting examines, so that its cost does not
	// grow with the number of jobs.
	maxJobsChecked = 200
)

// Unusable is the free capacity of a machine that cannot be used.
var Unusable = binpack.Vec{-1, -1, -1}

// AvailableMachine is a machine that is up, with its free capacity and the tasks placed on it, including those
// whose image is still being fetched.
type AvailableMachine struct {
	Machine
	Free  binpack.Vec
	Tasks []jobs.TaskID
}

// FaultsOver reports whether all faults are over.
func (c *Checker) FaultsOver(at units.Microseconds) bool { return at >= c.faultsOverAt }

// AtLimit reports whether one more task of a job would exceed its team's limit.
func (c *Checker) AtLimit(id string) bool {
	job := c.jobs[id]
	return job != nil && !withinLimit(c.usage[job.spec.Team].Add(job.spec.Demand), c.lowestLimit(job.spec.Team))
}

// CheckWaiting checks the waiting jobs against the free capacity of all available machines. Call it
// about every WaitingCheckEvery once all faults are over (TestLeftWaiting).
//
// A job violates the rule if for 90 s it has tasks to run but none on a machine, while at every check
// in that time some machine that may run it has free capacity for a task. If that capacity is only
// transient, the job violates the rule if it still has not started 240 s after it began to wait. A
// job with some tasks running does not count as waiting: a job whose tasks failed on a machine
// continues with only a few tasks.
func (c *Checker) CheckWaiting(at units.Microseconds, available []AvailableMachine) {
	c.Advance(at)
	c.dropFinished()
	placed, usage := c.placedTasks(available)
	c.rememberFree(at, available)
	for range min(maxJobsChecked, len(c.openJobs)) {
		c.nextOpen = (c.nextOpen + 1) % len(c.openJobs)
		job := c.openJobs[c.nextOpen]
		i := c.machineFor(job, available, placed[job.id], usage)
		if i < 0 {
			job.waitingSince = 0
			continue
		}
		if job.waitingSince == 0 {
			job.waitingSince = at
		}
		if at-job.waitingSince > maxWait && job.excusedSince == 0 && c.onlyTransient(job, available) {
			job.excusedSince = job.waitingSince
		}
		if since, left := c.isLeftWaiting(at, job, available); left {
			c.violated(at, LeftWaiting, job, available[i].Name, "a task of %s waits since %.1f, and %s has room for it", job.id, since.Seconds(), available[i].Name)
		}
	}
}

// placedTasks returns the tasks that run on a machine or wait there for their image, by job, and
// their total demand, by team.
func (c *Checker) placedTasks(available []AvailableMachine) (placed map[string]map[int]bool, usage map[string]binpack.Vec) {
	placed, usage = map[string]map[int]bool{}, map[string]binpack.Vec{}
	for _, m := range available {
		for _, id := range m.Tasks {
			job := c.jobs[id.Job]
			if job == nil {
				continue
			}
			if placed[id.Job] == nil {
				placed[id.Job] = map[int]bool{}
			}
			placed[id.Job][id.Task] = true
			usage[job.spec.Team] = usage[job.spec.Team].Add(job.spec.Demand)
		}
	}
	return placed, usage
}

// isLeftWaiting reports whether a job with free capacity at this check has waited for too long, and
// since when. Once its capacity was found to be transient, later checks without capacity do not reset
// the time; only a start does.
func (c *Checker) isLeftWaiting(at units.Microseconds, job *jobRecord, available []AvailableMachine) (since units.Microseconds, left bool) {
	if job.excusedSince > 0 && at-job.excusedSince > maxWaitTransient {
		return job.excusedSince, true
	}
	return job.waitingSince, at-job.waitingSince > maxWait && !c.onlyTransient(job, available)
}

// freeSnapshot is the free capacity by machine at one check.
type freeSnapshot struct {
	at   units.Microseconds
	free map[string]binpack.Vec
}

// rememberFree stores the free capacity at this check and drops snapshots older than maxWait.
func (c *Checker) rememberFree(at units.Microseconds, available []AvailableMachine) {
	c.freeSnapshots = slices.DeleteFunc(c.freeSnapshots, func(old freeSnapshot) bool { return at-old.at > maxWait })
	free := make(map[string]binpack.Vec, len(available))
	for _, m := range available {
		free[m.Name] = m.Free
	}
	c.freeSnapshots = append(c.freeSnapshots, freeSnapshot{at, free})
}

// onlyTransient reports whether the free capacity for a waiting job is only transient: the fleet is
// full for the job, and no machine has had capacity for it at every check of the last 90 s. Among
// thousands of full machines there are always some between the end of one task and the start of the
// next, and different ones at each check.
func (c *Checker) onlyTransient(job *jobRecord, available []AvailableMachine) bool {
	allowed, withCapacity := 0, 0
	for _, m := range available {
		if !job.mayRun(m) || !c.fitsType(job.spec.Demand, m.Type) {
			continue
		}
		allowed++
		if !job.spec.Demand.Fits(m.Free) {
			continue
		}
		withCapacity++
		if c.freeThroughout(job, m.Name) {
			return false
		}
	}
	return withCapacity*fullShare < allowed
}

// fitsType reports whether a demand fits an empty machine of a type; true if the type is unknown.
func (c *Checker) fitsType(demand binpack.Vec, name string) bool {
	capacity, known := c.capacityOf(name)
	return !known || demand.Fits(capacity)
}

// capacityOf returns the capacity of a machine type, or false if the type is unknown.
func (c *Checker) capacityOf(name string) (capacity binpack.Vec, known bool) {
	i := slices.IndexFunc(c.config.Types, func(t Type) bool { return t.Name == name })
	if i < 0 {
		return binpack.Vec{}, false
	}
	return c.config.Types[i].Capacity, true
}

// freeThroughout reports whether a machine has had free capacity for a task of a job at every check of
// the last 90 s.
func (c *Checker) freeThroughout(job *jobRecord, machine string) bool {
	for _, snapshot := range c.freeSnapshots {
		free, up := snapshot.free[machine]
		if !up || !job.spec.Demand.Fits(free) {
			return false
		}
	}
	return true
}

// dropFinished removes jobs with a final status from openJobs. It does so only after openJobs has
// doubled, so that its amortized cost per job is constant.
func (c *Checker) dropFinished() {
	if len(c.openJobs) < 2*c.openAfterSweep+64 {
		return
	}
	c.openJobs = slices.DeleteFunc(c.openJobs, func(job *jobRecord) bool { return job.finalStatus != "" })
	c.openAfterSweep = len(c.openJobs)
}

// machineFor returns the index of a machine on which a waiting task of a job could start, -1 if there
// is no such machine or no task is waiting.
func (c *Checker) machineFor(job *jobRecord, available []AvailableMachine, placed map[int]bool, usage map[string]binpack.Vec) int {
	if len(placed) > 0 || !c.mayStart(job, usage) {
		return -1
	}
	return slices.IndexFunc(available, func(m AvailableMachine) bool { return job.couldStart(m) })
}

// mayStart reports whether a job is to run and has tasks that have not completed, what it needs is done, and its
// team's limit allows one more of its tasks. usage is the demand of the tasks on machines, by team.
func (c *Checker) mayStart(job *jobRecord, usage map[string]binpack.Vec) bool {
	if _, asked := c.cancellation(job, nil); asked || job.finalStatus != "" || job.malformed || job.failsAlways || !job.incomplete() {
		return false
	}
	if slices.ContainsFunc(job.dependencies, func(needed *jobRecord) bool { return needed.incomplete() }) {
		return false
	}
	return withinLimit(usage[job.spec.Team].Add(job.spec.Demand), c.lowestLimit(job.spec.Team))
}

// incomplete reports whether a job has tasks that have not completed.
func (job *jobRecord) incomplete() bool { return job.completed.Len() < job.spec.Tasks }

// couldStart reports whether one more task of a job could start on a machine.
func (job *jobRecord) couldStart(machine AvailableMachine) bool {
	return job.spec.Demand.Fits(machine.Free) && job.mayRun(machine)
}

// mayRun reports whether the constraints of a job allow one more task on a machine, regardless of its
// free capacity.
func (job *jobRecord) mayRun(machine AvailableMachine) bool {
	spec := job.spec
	switch {
	case !spec.Allows(machine.Type, machine.Zone, machine.Spot):
		return false
	case spec.OneZone && len(job.runningByZone) > 0 && job.runningByZone[machine.Zone] == 0:
		return false
	}
	return !spec.Spread || job.runningByZone[machine.Zone] < (spec.Tasks+1)/2
}
