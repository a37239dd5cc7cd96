package check

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// leftFor is for how long a job may wait, once all troubles are over, while a machine
	// that fits has room and its team is under its limit.
	leftFor = 90 * units.Second
	// LookEvery is the time between two looks at the room on machines, about.
	LookEvery = 5 * units.Second
	// lookJobs bounds how many jobs a look goes through.
	lookJobs = 200
)

// Room is a machine that works and can be reached, with what it has left. Taken are the tasks
// on it, those that wait for their images too.
type Room struct {
	Machine
	Free  binpack.Vec
	Taken []jobs.TaskID
}

// Settled reports whether all troubles are over.
func (c *Checker) Settled(at units.Microseconds) bool { return at >= c.calm }

// AtLimit reports whether a job's team has no room for one more task of it under its limit.
func (c *Checker) AtLimit(id string) bool {
	j := c.jobs[id]
	return j != nil && !within(c.use[j.spec.Team].Add(j.spec.Demand), c.lowestLimit(j.spec.Team))
}

// Look holds the waiting jobs against all machines that are up. It is to be called about
// every LookEvery, once all troubles are over.
// A job is left waiting if for 90 s none of its tasks is on a machine, though one is to run, and
// at each look within that time a machine has room on which it may start. A job of which some
// tasks run does not wait: those that failed on a machine go on with a few tasks.
func (c *Checker) Look(at units.Microseconds, rooms []Room) {
	c.Advance(at)
	c.closeOver()
	placed := map[string]map[int]bool{} // tasks that are on a machine or wait there for an image, by job
	use := map[string]binpack.Vec{}
	for _, r := range rooms {
		for _, id := range r.Taken {
			j := c.jobs[id.Job]
			if j == nil {
				continue
			}
			if placed[id.Job] == nil {
				placed[id.Job] = map[int]bool{}
			}
			placed[id.Job][id.Task] = true
			use[j.spec.Team] = use[j.spec.Team].Add(j.spec.Demand)
		}
	}
	for range min(lookJobs, len(c.open)) {
		c.next = (c.next + 1) % len(c.open)
		j := c.open[c.next]
		i := c.left(j, rooms, placed[j.id], use)
		if i < 0 {
			j.waits = 0
			continue
		}
		if j.waits == 0 {
			j.waits = at
		}
		if at-j.waits > leftFor {
			c.breaks(at, LeftWaiting, j, rooms[i].Name, "a task of %s waits since %.1f, and %s has room for it", j.id, j.waits.Seconds(), rooms[i].Name)
		}
	}
}

// closeOver drops the jobs that are over from those that are looked at, once they are half of
// them, so that it costs no more than each job's end.
func (c *Checker) closeOver() {
	if len(c.open) < 2*c.kept+64 {
		return
	}
	c.open = slices.DeleteFunc(c.open, func(j *job) bool { return j.final != "" })
	c.kept = len(c.open)
}

// left returns a machine on which a waiting task of a job could start, -1 if there is none, or
// none waits.
func (c *Checker) left(j *job, rooms []Room, placed map[int]bool, use map[string]binpack.Vec) int {
	if _, asked := c.off(j, nil); asked || j.final != "" || j.malformed || j.mistaken {
		return -1
	}
	for _, a := range j.needs {
		if a.done.Len() < a.spec.Tasks {
			return -1
		}
	}
	if len(placed) > 0 || !j.waiting() || !within(use[j.spec.Team].Add(j.spec.Demand), c.lowestLimit(j.spec.Team)) {
		return -1
	}
	return slices.IndexFunc(rooms, func(r Room) bool { return j.couldStart(r) })
}

// waiting reports whether a task of a job, none of which is on a machine, is to run.
func (j *job) waiting() bool { return j.done.Len() < j.spec.Tasks }

// couldStart reports whether one more task of a job could start on a machine.
func (j *job) couldStart(r Room) bool {
	s := j.spec
	switch {
	case !s.Allows(r.Type, r.Zone, r.Spot) || !s.Demand.Fits(r.Free):
		return false
	case s.OneZone && len(j.zones) > 0 && j.zones[r.Zone] == 0:
		return false
	}
	return !s.Spread || j.zones[r.Zone] < (s.Tasks+1)/2
}
