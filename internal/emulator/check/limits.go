package check

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Limits may change while the service runs. Once a new version is stored, controllers may apply it;
// until it is confirmed, they may still apply an earlier one. In between, the highest of these limits
// is the bound. After the confirmation no controller may order a start above the new limit. A start
// ordered before may reach its machine later, and running tasks may continue.

// configVersion is a stored version of the configuration.
type configVersion struct {
	version   uint64
	confirmed units.Microseconds // MaxTime: not yet
	limits    map[string]binpack.Vec
	removed   map[string]bool // teams that accept no new jobs
}

// versionRetention is how long replaced versions are kept: the time from the order of a start until
// the task runs may be that long, because its image is fetched first.
const versionRetention = 600 * units.Second

// Limits is the part of a configuration that the rules depend on.
type Limits struct {
	Teams   []Team
	Removed []string // names of those teams that accept no new jobs
}

// ConfigStored records that a version of the configuration is stored. Storing the same version again
// has no effect unless its content differs.
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

// ConfigConfirmed records that an operator was told that a version is confirmed.
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

// StartOrdered records that a controller decided to start a task.
func (c *Checker) StartOrdered(at units.Microseconds, id jobs.TaskID) { c.startOrders[id] = at }

// eachEffectiveVersion calls f with every version that a controller may have applied at a time or
// later, the newest first.
func (c *Checker) eachEffectiveVersion(at units.Microseconds, f func(*configVersion)) {
	for i := len(c.versions) - 1; i >= 0; i-- {
		f(c.versions[i])
		if c.versions[i].confirmed <= at {
			return // all earlier versions are replaced
		}
	}
}

// highestLimit returns, per resource, the highest limit of a team that a controller may have applied
// at a time or later; 0 means unlimited.
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

// lowestLimit returns, per resource, the lowest limit of a team that a controller may apply now; 0
// means unlimited.
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

// knownTeam reports whether a version that a controller may apply now has the team.
func (c *Checker) knownTeam(team string) bool {
	known := false
	c.eachEffectiveVersion(c.now, func(v *configVersion) {
		_, there := v.limits[team]
		known = known || there
	})
	return known
}

// startOrderedAt returns the latest order time of all tasks of a team that have started, including
// this one; at is the default for a task whose order was not recorded. The limit at that time is the
// bound, because the controller that gave the order counted all starts ordered before.
func (c *Checker) startOrderedAt(at units.Microseconds, team string, id jobs.TaskID) units.Microseconds {
	if t, ok := c.startOrders[id]; ok {
		at = t
		delete(c.startOrders, id)
	}
	at = max(at, c.lastOrder[team])
	c.lastOrder[team] = at
	return at
}

// checkTeamNotRemoved checks that the team of an accepted job, submitted at made, accepts new jobs in
// at least one version that a controller may have applied then or later.
func (c *Checker) checkTeamNotRemoved(at, made units.Microseconds, job *jobRecord) {
	removed := true
	c.eachEffectiveVersion(made, func(v *configVersion) { removed = removed && v.removed[job.spec.Team] })
	if removed {
		c.violated(at, Outdated, job, "", "%s is accepted for team %s, whose removal was confirmed before it was submitted", job.id, job.spec.Team)
	}
}
