// Package quota owns what counts against the teams' limits in one shard: the demand of all tasks
// that may run on its machines, by team, and, for as long as a failover is not reconciled, the
// capacity of the machines whose tasks are not known. It decides whether a team may start more.
//
// A team's limit holds for all shards together. Each shard has an allocation, a part of every
// limit, so that its owner can decide alone. As the parts of all shards add up to at most one and
// every task that may run is counted, the shards together never exceed a limit, whoever fails.
package quota

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
)

// Host is what a shard's owner knows that its quotas depend on. None of its methods may call the
// Tracker.
type Host interface {
	// Teams are the teams in force by name, those included that are removed and still have jobs.
	Teams() map[string]*configuration.Team
	// Allocation is the part of every limit that the shard may use: 0 to 1.
	Allocation() float64
	// MayStart reports whether the configuration in force lets a team start tasks in the shard: not
	// while a limit was lowered and other shards may still use what it was.
	MayStart(team string) bool
	// Machines are the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled names the machines on which tasks may run that this owner does not know of.
	Unreconciled() map[string]bool
}

// Tracker is what counts against the limits in one shard.
type Tracker struct {
	host  Host
	usage map[string]binpack.Vec // demand of tasks that may run, by team

	unreconciledCapacity binpack.Vec // of the unreconciled machines whose type is known
	unknownCapacity      bool        // there are others
	unreconciledStale    bool        // both are to be added up anew
}

// New returns the tracker of a shard in which nothing runs.
func New(host Host) *Tracker {
	return &Tracker{host: host, usage: map[string]binpack.Vec{}}
}

// Charge counts the demand of a task that may run from now on.
func (t *Tracker) Charge(team string, demand binpack.Vec) {
	t.usage[team] = t.usage[team].Add(demand)
}

// Release takes back the demand of a task that surely runs no more.
func (t *Tracker) Release(team string, demand binpack.Vec) {
	t.usage[team] = t.usage[team].Sub(demand)
}

// Usage is the demand of a team's tasks that may run in the shard.
func (t *Tracker) Usage(team string) binpack.Vec { return t.usage[team] }

// UnreconciledChanged notes that the set of unreconciled machines has changed, or the type of one
// of them became known.
func (t *Tracker) UnreconciledChanged() { t.unreconciledStale = true }

// Allows reports whether a team may start tasks of a demand beside what it uses. Until all machines
// are reconciled, those that are not may be full of its tasks; where the capacity of one of them is
// not known, a team that has a limit starts nothing.
func (t *Tracker) Allows(team string, demand binpack.Vec) bool {
	settings := t.host.Teams()[team]
	if settings == nil || !t.host.MayStart(team) {
		return false
	}
	if t.unreconciledStale {
		t.addUnreconciled()
	}
	if t.unknownCapacity && settings.Limit != (binpack.Vec{}) {
		return false
	}
	use := t.usage[team].Add(demand).Add(t.unreconciledCapacity)
	return WithinLimit(t.Allocation(settings.Limit), use)
}

// addUnreconciled adds up the capacity of the unreconciled machines.
func (t *Tracker) addUnreconciled() {
	t.unreconciledCapacity, t.unknownCapacity, t.unreconciledStale = binpack.Vec{}, false, false
	machines := t.host.Machines()
	for name := range t.host.Unreconciled() {
		if machine := machines[name]; machine != nil && machine.Type != nil {
			t.unreconciledCapacity = t.unreconciledCapacity.Add(machine.Type.Capacity)
		} else {
			t.unknownCapacity = true
		}
	}
}

// Allocation is the shard's part of a team's limit.
func (t *Tracker) Allocation(limit binpack.Vec) binpack.Vec {
	fraction := t.host.Allocation()
	for i := range limit {
		if part := int64(float64(limit[i]) * fraction); limit[i] > 0 {
			limit[i] = max(part, 1) // 0 would mean no limit
		}
	}
	return limit
}

// TeamsOverAllocation names the teams that use more than the shard's part of their limit, sorted: their limit
// was lowered, or the allocation was.
func (t *Tracker) TeamsOverAllocation() []string {
	var names []string
	teams := t.host.Teams()
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if !WithinLimit(t.Allocation(teams[name].Limit), t.usage[name]) {
			names = append(names, name)
		}
	}
	return names
}

// MaxUtilization is the largest fraction of any team's whole limit that is in use in the shard: its
// allocation may shrink no further than that.
func (t *Tracker) MaxUtilization() float64 {
	largest := 0.0
	for name, team := range t.host.Teams() {
		for i, limit := range team.Limit {
			if limit > 0 {
				largest = max(largest, float64(t.usage[name][i])/float64(limit))
			}
		}
	}
	return largest
}

// ExceedsNominal reports whether a team uses more CPUs or GPUs than the shard's part of its nominal
// quota (the setting "guarantee"). A team that is not known has none.
func (t *Tracker) ExceedsNominal(team string) bool {
	settings := t.host.Teams()[team]
	if settings == nil {
		return true
	}
	fraction, use := t.host.Allocation(), t.usage[team]
	return float64(use[binpack.CPU]) > fraction*float64(settings.Guarantee[binpack.CPU]) ||
		float64(use[binpack.GPU]) > fraction*float64(settings.Guarantee[binpack.GPU])
}

// WithinLimit reports whether a use stays within a limit, of which 0 means none.
func WithinLimit(limit, use binpack.Vec) bool {
	for i, most := range limit {
		if most > 0 && use[i] > most {
			return false
		}
	}
	return true
}
