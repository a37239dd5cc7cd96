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
	// leftForPassing is for how long it may if the fleet is full and there is passing room only, see
	// passing. The service puts a job first in its tier after two minutes; its team's tasks
	// that go before it need another two to end.
	leftForPassing = 240 * units.Second
	// fullShare says when a fleet is full for a job: of the machines that may run its tasks, fewer
	// than one in so many has room. If they are so many or fewer, the fleet is full only if none has.
	fullShare = 20
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
// at each look within that time a machine has room on which it may start. If that room is passing,
// it is left waiting if it still has not begun 240 s after it began to wait. A job of which some
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
	c.rememberFree(at, rooms)
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
		if at-j.waits > leftFor && j.excused == 0 && c.passing(j, rooms) {
			j.excused = j.waits
		}
		if since, left := c.isLeft(at, j, rooms); left {
			c.breaks(at, LeftWaiting, j, rooms[i].Name, "a task of %s waits since %.1f, and %s has room for it", j.id, since.Seconds(), rooms[i].Name)
		}
	}
}

// isLeft reports whether a job that has room at this look is left waiting, and since when. Once its
// room has been passing it need not have some at each look any more: that time is not forgiven
// until it begins.
func (c *Checker) isLeft(at units.Microseconds, j *job, rooms []Room) (since units.Microseconds, left bool) {
	if j.excused > 0 && at-j.excused > leftForPassing {
		return j.excused, true
	}
	return j.waits, at-j.waits > leftFor && !c.passing(j, rooms)
}

// freeAt is the free room by machine at a look.
type freeAt struct {
	at   units.Microseconds
	free map[string]binpack.Vec
}

// rememberFree keeps the free room of a look for as long as a job may wait, and drops that of
// older looks.
func (c *Checker) rememberFree(at units.Microseconds, rooms []Room) {
	c.looks = slices.DeleteFunc(c.looks, func(l freeAt) bool { return at-l.at > leftFor })
	free := make(map[string]binpack.Vec, len(rooms))
	for _, r := range rooms {
		free[r.Name] = r.Free
	}
	c.looks = append(c.looks, freeAt{at, free})
}

// passing reports whether the room for a waiting job is no more than what other work leaves free
// for moments: the fleet is full for the job, and no machine has had room for it at every look of
// the last 90 s. Of thousands of full machines some are always between the end of a task and the
// start of the next, others at each look.
func (c *Checker) passing(j *job, rooms []Room) bool {
	mayRun, haveRoom := 0, 0
	for _, r := range rooms {
		if !j.mayRun(r) || !c.fitsType(j.spec.Demand, r.Type) {
			continue
		}
		mayRun++
		if !j.spec.Demand.Fits(r.Free) {
			continue
		}
		haveRoom++
		if c.lasting(j, r.Name) {
			return false
		}
	}
	return haveRoom*fullShare < mayRun
}

// fitsType reports whether a demand fits an empty machine of a type, as far as that is known.
func (c *Checker) fitsType(demand binpack.Vec, name string) bool {
	i := slices.IndexFunc(c.cfg.Types, func(t Type) bool { return t.Name == name })
	return i < 0 || demand.Fits(c.cfg.Types[i].Capacity)
}

// lasting reports whether a machine has had room for a task of a job at every look of the last
// 90 s.
func (c *Checker) lasting(j *job, machine string) bool {
	for _, l := range c.looks {
		free, up := l.free[machine]
		if !up || !j.spec.Demand.Fits(free) {
			return false
		}
	}
	return true
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
func (j *job) couldStart(r Room) bool { return j.spec.Demand.Fits(r.Free) && j.mayRun(r) }

// mayRun reports whether one more task of a job may be on a machine, whatever room it has.
func (j *job) mayRun(r Room) bool {
	s := j.spec
	switch {
	case !s.Allows(r.Type, r.Zone, r.Spot):
		return false
	case s.OneZone && len(j.zones) > 0 && j.zones[r.Zone] == 0:
		return false
	}
	return !s.Spread || j.zones[r.Zone] < (s.Tasks+1)/2
}
