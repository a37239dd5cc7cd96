package check

import (
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TaskStarted records that a task runs on a machine, with its image fetched.
func (c *Checker) TaskStarted(at units.Microseconds, machine Machine, id jobs.TaskID) {
	c.Advance(at)
	c.starts++
	job := c.jobs[id.Job]
	if job == nil {
		c.violated(at, Invented, nil, machine.Name, "%s runs on %s, and nobody has submitted its job", id, machine.Name)
		return
	}
	c.note(at, job, machine.Name, false, "%s begins on %s (%s, zone %s, spot %v)", id, machine.Name, machine.Type, machine.Zone, machine.Spot)
	for _, a := range job.dependencies {
		if a.completed.Len() < a.spec.Tasks {
			c.violated(at, TooEarly, job, machine.Name, "%s begins before %s is done", id, a.id)
		}
	}
	if other, ok := job.running[id.Task]; ok {
		c.violated(at, RanTwice, job, machine.Name, "%s begins on %s while it is on %s", id, machine.Name, other.Name)
		return
	}
	spec := job.spec
	if !spec.Allows(machine.Type, machine.Zone, machine.Spot) {
		c.violated(at, WrongPlace, job, machine.Name, "%s begins on %s: %s, zone %s, spot %v", id, machine.Name, machine.Type, machine.Zone, machine.Spot)
	}
	off, _ := c.cancellation(job, nil)
	if off > 0 {
		c.startsCancelled++
	}
	if off > 0 && at > off+c.config.CancelIn {
		c.violated(at, RanCancelled, job, machine.Name, "%s begins on %s, and its cancellation was told at %.1f", id, machine.Name, off.Seconds())
	}
	if job.firstStart == 0 {
		job.firstStart = at
	}
	if job.running == nil {
		job.running, job.runningByZone = map[int]Machine{}, map[string]int{}
	}
	job.running[id.Task] = machine
	job.runningByZone[machine.Zone]++
	job.waitingSince, job.excusedSince = 0, 0
	if spec.OneZone && len(job.runningByZone) > 1 || spec.Spread && job.runningByZone[machine.Zone] > (spec.Tasks+1)/2 {
		c.violated(at, WrongPlace, job, machine.Name, "%s begins on %s: tasks by zone %v", id, machine.Name, job.runningByZone)
	}
	usage := c.usage[spec.Team].Add(spec.Demand)
	c.usage[spec.Team] = usage
	limit := c.highestLimit(spec.Team, c.startOrderedAt(at, spec.Team, id))
	for r, lim := range limit {
		if lim > 0 && usage[r] > lim {
			c.violated(at, Quota, job, machine.Name, "team %s uses %v, its limit is %v", spec.Team, usage, limit)
		}
	}
}

// TaskEnded records that a task no longer runs on a machine, and whether it completed.
func (c *Checker) TaskEnded(at units.Microseconds, machine Machine, id jobs.TaskID, completed bool) {
	c.Advance(at)
	job := c.jobs[id.Job]
	if job == nil {
		return
	}
	c.note(at, job, machine.Name, false, "%s ends on %s, completed %v", id, machine.Name, completed)
	if completed {
		job.completed.Add(id.Task)
	}
	if on, ok := job.running[id.Task]; ok && on.Name == machine.Name {
		delete(job.running, id.Task)
		if job.runningByZone[machine.Zone]--; job.runningByZone[machine.Zone] == 0 {
			delete(job.runningByZone, machine.Zone)
		}
		if len(job.running) == 0 {
			job.running, job.runningByZone = nil, nil
		}
		c.usage[job.spec.Team] = c.usage[job.spec.Team].Sub(job.spec.Demand)
	}
}

// AllMachinesLost records that all machines are lost at once, with the tasks on them.
func (c *Checker) AllMachinesLost(at units.Microseconds) {
	c.Advance(at)
	c.Note(at, "all machines are gone")
	clear(c.usage)
	for _, job := range c.jobs {
		job.running, job.runningByZone = nil, nil
	}
}

// scheduleCancelCheck schedules the check that no task of a cancelled job or of its dependents still
// runs once the cancellation deadline has passed.
func (c *Checker) scheduleCancelCheck(at units.Microseconds, job *jobRecord, seen map[*jobRecord]bool) {
	if seen[job] {
		return
	}
	seen[job] = true
	c.cancelDeadlines.Add(at+c.config.CancelIn+1, job)
	for _, d := range job.dependents {
		c.scheduleCancelCheck(at, d, seen)
	}
}

// cancellation returns the time of the first reply that said that a job or one of its dependencies is
// cancelled, 0 if there was none, and whether a user has requested the cancellation of any of them.
// seen breaks cycles; callers pass nil.
func (c *Checker) cancellation(job *jobRecord, seen map[*jobRecord]bool) (at units.Microseconds, asked bool) {
	at, asked = job.cancelledAt, job.cancelRequested
	if len(job.dependencies) == 0 {
		return at, asked
	}
	if seen[job] {
		return 0, false
	}
	if seen == nil {
		seen = map[*jobRecord]bool{}
	}
	seen[job] = true
	for _, a := range job.dependencies {
		t, yes := c.cancellation(a, seen)
		asked = asked || yes
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at, asked
}

// sortedTasks returns the task numbers in ascending order.
func sortedTasks(on map[int]Machine) []int {
	var out []int
	for t := range on {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}
