package check

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Limits that change while the service runs. From when a change is stored controllers may go
// by it, and until it is confirmed they may go by those before: whichever is higher counts.
// From its confirmation on nothing is started above it. What was ordered before may come to
// its machine later, and what runs may go on.

// limitsOf is a version of the configuration as it was stored.
type limitsOf struct {
	version   uint64
	confirmed units.Microseconds // Never: not yet
	limits    map[string]binpack.Vec
	removed   map[string]bool // teams that take no new jobs
}

// keptFor is for how long versions count that others have replaced: an order may be that long
// on its way, with an image.
const keptFor = 600 * units.Second

// Limits is the content of a version, as far as rules depend on it.
type Limits struct {
	Teams   []Team
	Removed []string // of these, teams that take no new jobs
}

// Configured says that a version of the configuration is stored. One that is stored again
// counts once, unless it holds something else.
func (c *Checker) Configured(at units.Microseconds, version uint64, l Limits) {
	c.Advance(at)
	last := c.versions[len(c.versions)-1]
	if last.version >= version && (last.version > version || sameLimits(last, l)) {
		return
	}
	v := &limitsOf{version: version, confirmed: units.Never, limits: map[string]binpack.Vec{}, removed: map[string]bool{}}
	for _, t := range l.Teams {
		v.limits[t.Name] = t.Limit
	}
	for _, t := range l.Removed {
		v.removed[t] = true
	}
	c.versions = append(c.versions, v)
	c.note(at, nil, "", true, "configuration %d is stored", version)
}

func sameLimits(v *limitsOf, l Limits) bool {
	for _, t := range l.Teams {
		if lim, ok := v.limits[t.Name]; !ok || lim != t.Limit {
			return false
		}
	}
	return len(l.Teams) == len(v.limits) && len(l.Removed) == len(v.removed)
}

// Confirmed says that an operator was told that a version is confirmed.
func (c *Checker) Confirmed(at units.Microseconds, version uint64) {
	c.Advance(at)
	for _, v := range c.versions {
		if v.version <= version {
			v.confirmed = min(v.confirmed, at)
		}
	}
	c.note(at, nil, "", true, "configuration %d is confirmed", version)
	for len(c.versions) > 1 && c.versions[1].confirmed < at-keptFor {
		c.versions = c.versions[1:]
	}
}

// Ordered says that a controller decided to start a task.
func (c *Checker) Ordered(at units.Microseconds, id jobs.TaskID) { c.ordered[id] = at }

// counting calls f with the versions that a controller may have gone by at a time.
func (c *Checker) counting(at units.Microseconds, f func(*limitsOf)) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		f(c.versions[i])
		if c.versions[i].confirmed <= at {
			return // all before are replaced
		}
	}
}

// limitAt returns the highest limit that a team may have had at a time; 0 is none.
func (c *Checker) limitAt(team string, at units.Microseconds) binpack.Vec {
	highest := binpack.Vec{}
	c.counting(at, func(v *limitsOf) {
		lim, ok := v.limits[team]
		for i := range lim {
			if ok && lim[i] == 0 {
				highest[i] = math.MaxInt64
			}
			highest[i] = max(highest[i], lim[i])
		}
	})
	for i := range highest {
		if highest[i] == math.MaxInt64 {
			highest[i] = 0
		}
	}
	return highest
}

// lowestLimit returns the lowest limit that a team may have at present; 0 is none.
func (c *Checker) lowestLimit(team string) binpack.Vec {
	lowest := binpack.Vec{}
	c.counting(c.now, func(v *limitsOf) {
		for i, lim := range v.limits[team] {
			if lim > 0 && (lowest[i] == 0 || lim < lowest[i]) {
				lowest[i] = lim
			}
		}
	})
	return lowest
}

// knownTeam reports whether there may be a team at present.
func (c *Checker) knownTeam(team string) bool {
	known := false
	c.counting(c.now, func(v *limitsOf) {
		_, there := v.limits[team]
		known = known || there
	})
	return known
}

// orderedAt returns when the last of a team's tasks that have come to a machine, this one
// included, was ordered: whoever ordered it counted all that was ordered before.
func (c *Checker) orderedAt(at units.Microseconds, team string, id jobs.TaskID) units.Microseconds {
	if t, ok := c.ordered[id]; ok {
		at = t
		delete(c.ordered, id)
	}
	at = max(at, c.lastOrder[team])
	c.lastOrder[team] = at
	return at
}

// acceptedFor checks that a job that was submitted at a time, and accepted, is of a team that
// took new jobs by some version that may have counted then or since.
func (c *Checker) acceptedFor(at, made units.Microseconds, j *job) {
	removed := true
	c.counting(made, func(v *limitsOf) { removed = removed && v.removed[j.spec.Team] })
	if removed {
		c.breaks(at, Outdated, j, "", "%s is accepted for team %s, whose removal was confirmed before it was submitted", j.id, j.spec.Team)
	}
}
