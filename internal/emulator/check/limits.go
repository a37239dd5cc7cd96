package check

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Limits may change while the service runs. From when a change is stored controllers may apply it,
// and until it is confirmed they may apply those before: whichever is higher counts. From its
// confirmation on no start above it is ordered. What was ordered before may come to its machine
// later, and what runs may go on.

// configVersion is a version of the configuration as it was stored.
type configVersion struct {
	version   uint64
	confirmed units.Microseconds // MaxTime: not yet
	limits    map[string]binpack.Vec
	removed   map[string]bool // teams that take no new jobs
}

// versionRetention is for how long versions are kept that others have replaced: a start may take
// that long, with its image.
const versionRetention = 600 * units.Second

// Limits is the content of a version, as far as rules depend on it.
type Limits struct {
	Teams   []Team
	Removed []string // of these, teams that take no new jobs
}

// ConfigStored says that a version of the configuration is stored. One that is stored again
// counts once, unless it holds something else.
func (c *Checker) ConfigStored(at units.Microseconds, version uint64, l Limits) {
	c.Advance(at)
	last := c.versions[len(c.versions)-1]
	if last.version >= version && (last.version > version || sameLimits(last, l)) {
		return
	}
	v := &configVersion{version: version, confirmed: units.MaxTime, limits: map[string]binpack.Vec{}, removed: map[string]bool{}}
	for _, t := range l.Teams {
		v.limits[t.Name] = t.Limit
	}
	for _, t := range l.Removed {
		v.removed[t] = true
	}
	c.versions = append(c.versions, v)
	c.note(at, nil, "", true, "configuration %d is stored", version)
}

func sameLimits(v *configVersion, l Limits) bool {
	for _, t := range l.Teams {
		if lim, ok := v.limits[t.Name]; !ok || lim != t.Limit {
			return false
		}
	}
	return len(l.Teams) == len(v.limits) && len(l.Removed) == len(v.removed)
}

// ConfigConfirmed says that an operator was answered that a version is confirmed.
func (c *Checker) ConfigConfirmed(at units.Microseconds, version uint64) {
	c.Advance(at)
	for _, v := range c.versions {
		if v.version <= version {
			v.confirmed = min(v.confirmed, at)
		}
	}
	c.note(at, nil, "", true, "configuration %d is confirmed", version)
	for len(c.versions) > 1 && c.versions[1].confirmed < at-versionRetention {
		c.versions = c.versions[1:]
	}
}

// StartOrdered says that a controller decided to start a task.
func (c *Checker) StartOrdered(at units.Microseconds, id jobs.TaskID) { c.startOrders[id] = at }

// eachEffectiveVersion calls f with the versions that a controller may have applied at a time, the
// newest first.
func (c *Checker) eachEffectiveVersion(at units.Microseconds, f func(*configVersion)) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		f(c.versions[i])
		if c.versions[i].confirmed <= at {
			return // all before are replaced
		}
	}
}

// highestLimit returns the highest limit that a team may have had at a time; 0 is none.
func (c *Checker) highestLimit(team string, at units.Microseconds) binpack.Vec {
	highest := binpack.Vec{}
	c.eachEffectiveVersion(at, func(v *configVersion) {
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
	c.eachEffectiveVersion(c.now, func(v *configVersion) {
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
	c.eachEffectiveVersion(c.now, func(v *configVersion) {
		_, there := v.limits[team]
		known = known || there
	})
	return known
}

// startOrderedAt returns when the last of a team's tasks that have come to a machine, this one
// included, was ordered: the controller that ordered it counted all that was ordered before.
func (c *Checker) startOrderedAt(at units.Microseconds, team string, id jobs.TaskID) units.Microseconds {
	if t, ok := c.startOrders[id]; ok {
		at = t
		delete(c.startOrders, id)
	}
	at = max(at, c.lastOrder[team])
	c.lastOrder[team] = at
	return at
}

// checkTeamNotRemoved checks that a job that was submitted at a time, and accepted, is of a team that
// took new jobs by some version that may have counted then or since.
func (c *Checker) checkTeamNotRemoved(at, made units.Microseconds, job *jobRecord) {
	removed := true
	c.eachEffectiveVersion(made, func(v *configVersion) { removed = removed && v.removed[job.spec.Team] })
	if removed {
		c.violated(at, Outdated, job, "", "%s is accepted for team %s, whose removal was confirmed before it was submitted", job.id, job.spec.Team)
	}
}
