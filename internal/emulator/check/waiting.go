package check

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxWait is for how long a job may wait, once all faults are over, while a machine has free
	// capacity for it and its team is under its limit.
	maxWait = 90 * units.Second
	// maxWaitPassing is for how long it may if the fleet is full and there is passing room only, see
	// onlyPassing. The service puts a job first in its tier after two minutes; its team's tasks
	// that go before it need another two to end.
	maxWaitPassing = 240 * units.Second
	// fullShare says when a fleet is full for a job: of the machines that may run its tasks, fewer
	// than one in so many has room. If they are so many or fewer, the fleet is full only if none has.
	fullShare = 20
	// WaitingCheckEvery is about the time between two calls of CheckWaiting.
	WaitingCheckEvery = 5 * units.Second
	// maxJobsChecked bounds how many jobs a call of CheckWaiting goes through, so that its cost does
	// not grow with them.
	maxJobsChecked = 200
)

// AvailableMachine is a machine that works and can be reached, with its free capacity and the tasks
// on it, those too that wait for their images.
type AvailableMachine struct {
	Machine
	Free  binpack.Vec
	Tasks []jobs.TaskID
}

// FaultsOver reports whether all faults are over.
func (c *Checker) FaultsOver(at units.Microseconds) bool { return at >= c.faultsOverAt }

// AtLimit reports whether a job's team has no room for one more task of it under its limit.
func (c *Checker) AtLimit(id string) bool {
	job := c.jobs[id]
	return job != nil && !withinLimit(c.usage[job.spec.Team].Add(job.spec.Demand), c.lowestLimit(job.spec.Team))
}

// CheckWaiting checks the waiting jobs against all machines that are up. It is to be called about
// every WaitingCheckEvery, once all faults are over (TestLeftWaiting).
//
// A job is left waiting if for 90 s none of its tasks is on a machine, though one is to run, and
// at each look within that time a machine has room on which it may start. If that room is passing,
// it is left waiting if it still has not begun 240 s after it began to wait. A job of which some
// tasks run does not wait: those that failed on a machine go on with a few tasks.
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
		if at-job.waitingSince > maxWait && job.excusedSince == 0 && c.onlyPassing(job, available) {
			job.excusedSince = job.waitingSince
		}
		if since, left := c.isLeftWaiting(at, job, available); left {
			c.violated(at, LeftWaiting, job, available[i].Name, "a task of %s waits since %.1f, and %s has room for it", job.id, since.Seconds(), available[i].Name)
		}
	}
}

// placedTasks returns the tasks that are on a machine or wait there for an image, by job, and what
// they use, by team.
func (c *Checker) placedTasks(available []AvailableMachine) (placed map[string]map[int]bool, usage map[string]binpack.Vec) {
	placed, usage = map[string]map[int]bool{}, map[string]binpack.Vec{}
	for _, r := range available {
		for _, id := range r.Tasks {
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

// isLeftWaiting reports whether a job that has room at this look is left waiting, and since when. Once its
// room has been passing it need not have some at each look any more: that time is not forgiven
// until it begins.
func (c *Checker) isLeftWaiting(at units.Microseconds, job *jobRecord, available []AvailableMachine) (since units.Microseconds, left bool) {
	if job.excusedSince > 0 && at-job.excusedSince > maxWaitPassing {
		return job.excusedSince, true
	}
	return job.waitingSince, at-job.waitingSince > maxWait && !c.onlyPassing(job, available)
}

// freeSnapshot is the free room by machine at a look.
type freeSnapshot struct {
	at   units.Microseconds
	free map[string]binpack.Vec
}

// rememberFree keeps the free room of a look for as long as a job may wait, and drops that of
// older looks.
func (c *Checker) rememberFree(at units.Microseconds, available []AvailableMachine) {
	c.freeSnapshots = slices.DeleteFunc(c.freeSnapshots, func(l freeSnapshot) bool { return at-l.at > maxWait })
	free := make(map[string]binpack.Vec, len(available))
	for _, r := range available {
		free[r.Name] = r.Free
	}
	c.freeSnapshots = append(c.freeSnapshots, freeSnapshot{at, free})
}

// onlyPassing reports whether the room for a waiting job is no more than what other work leaves free
// for moments: the fleet is full for the job, and no machine has had room for it at every look of
// the last 90 s. Of thousands of full machines some are always between the end of a task and the
// start of the next, others at each look.
func (c *Checker) onlyPassing(job *jobRecord, available []AvailableMachine) bool {
	mayRun, haveRoom := 0, 0
	for _, r := range available {
		if !job.mayRun(r) || !c.fitsType(job.spec.Demand, r.Type) {
			continue
		}
		mayRun++
		if !job.spec.Demand.Fits(r.Free) {
			continue
		}
		haveRoom++
		if c.freeThroughout(job, r.Name) {
			return false
		}
	}
	return haveRoom*fullShare < mayRun
}

// fitsType reports whether a demand fits an empty machine of a type, as far as that is known.
func (c *Checker) fitsType(demand binpack.Vec, name string) bool {
	i := slices.IndexFunc(c.config.Types, func(t Type) bool { return t.Name == name })
	return i < 0 || demand.Fits(c.config.Types[i].Capacity)
}

// freeThroughout reports whether a machine has had room for a task of a job at every look of the last
// 90 s.
func (c *Checker) freeThroughout(job *jobRecord, machine string) bool {
	for _, l := range c.freeSnapshots {
		free, up := l.free[machine]
		if !up || !job.spec.Demand.Fits(free) {
			return false
		}
	}
	return true
}

// dropFinished drops the jobs that are over from those that are looked at, once they are half of
// them, so that it costs no more than each job's end.
func (c *Checker) dropFinished() {
	if len(c.openJobs) < 2*c.openAfterSweep+64 {
		return
	}
	c.openJobs = slices.DeleteFunc(c.openJobs, func(job *jobRecord) bool { return job.finalStatus != "" })
	c.openAfterSweep = len(c.openJobs)
}

// machineFor returns a machine on which a waiting task of a job could start, -1 if there is none, or
// none waits.
func (c *Checker) machineFor(job *jobRecord, available []AvailableMachine, placed map[int]bool, usage map[string]binpack.Vec) int {
	if _, asked := c.cancellation(job, nil); asked || job.finalStatus != "" || job.malformed || job.failsAlways {
		return -1
	}
	for _, a := range job.dependencies {
		if a.completed.Len() < a.spec.Tasks {
			return -1
		}
	}
	if len(placed) > 0 || !job.incomplete() || !withinLimit(usage[job.spec.Team].Add(job.spec.Demand), c.lowestLimit(job.spec.Team)) {
		return -1
	}
	return slices.IndexFunc(available, func(r AvailableMachine) bool { return job.couldStart(r) })
}

// incomplete reports whether a task of a job, none of which is on a machine, is to run.
func (job *jobRecord) incomplete() bool { return job.completed.Len() < job.spec.Tasks }

// couldStart reports whether one more task of a job could start on a machine.
func (job *jobRecord) couldStart(machine AvailableMachine) bool {
	return job.spec.Demand.Fits(machine.Free) && job.mayRun(machine)
}

// mayRun reports whether one more task of a job may be on a machine, whatever room it has.
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
