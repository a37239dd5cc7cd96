// Package quota accounts for the usage that counts against the teams' limits in one
// shard. Usage is the demand of all tasks that may run on the shard's machines, by
// team. Until a failover is reconciled, it also includes the capacity of the machines
// whose tasks are not known. The package decides whether a team may start more tasks.
//
// A team's limit applies to all shards together. Each shard has an allocation, a
// fraction of every limit, so that its owner can decide without asking others. The
// allocations of all shards add up to at most 1, and every task that may run is counted.
// Therefore the shards together never exceed a limit, whichever controller fails.
package quota

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
)

// Host provides the state of the shard's owner that quotas
// depend on. Its methods must not call the Tracker.
type Host interface {
	// Teams returns the teams in force by name, including removed teams that still have jobs.
	Teams() map[string]*configuration.Team
	// Allocation returns the fraction of every limit that the shard may use, from 0 to 1.
	Allocation() float64
	// MayStart reports whether the configuration in force allows a team to start tasks in the shard.
	// It does not after a limit was lowered, for as long as other shards may still use the old limit.
	MayStart(team string) bool
	// Machines returns the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled returns the names of the machines that may run tasks unknown to this owner.
	Unreconciled() map[string]bool
}

// Tracker counts the usage against the limits in one shard.
type Tracker struct {
	host  Host
	usage map[string]binpack.Vec // demand of tasks that may run, by team

	unreconciledCapacity binpack.Vec // of the unreconciled machines whose type is known
	unknownCapacity      bool        // there are unreconciled machines whose type is not known
	unreconciledStale    bool        // the two fields above must be recomputed
}

// New returns the tracker of a shard in which nothing runs.
func New(host Host) *Tracker {
	return &Tracker{host: host, usage: map[string]binpack.Vec{}}
}

// Charge adds the demand of a task that may run from now on.
func (t *Tracker) Charge(team string, demand binpack.Vec) {
	t.usage[team] = t.usage[team].Add(demand)
}

// Release subtracts the demand of a task that is known to have ended.
func (t *Tracker) Release(team string, demand binpack.Vec) {
	t.usage[team] = t.usage[team].Sub(demand)
}

// Usage returns the demand of a team's tasks that may run in the shard.
func (t *Tracker) Usage(team string) binpack.Vec { return t.usage[team] }

// UnreconciledChanged records that the set of unreconciled machines
// has changed, or that the type of one of them became known.
func (t *Tracker) UnreconciledChanged() { t.unreconciledStale = true }

// Allows reports whether a team may start tasks of the given demand in addition to its usage. Each
// unreconciled machine may be full of the team's tasks, so its whole capacity counts as usage of
// every team. If the capacity of one of them is not known, a team that has a limit may start nothing.
func (t *Tracker) Allows(team string, demand binpack.Vec) bool {
	settings := t.host.Teams()[team]
	if settings == nil || !t.host.MayStart(team) {
		return false
	}
	if t.unreconciledStale {
		t.sumUnreconciled()
	}
	if t.unknownCapacity && settings.Limit != (binpack.Vec{}) {
		return false
	}
	total := t.usage[team].Add(demand).Add(t.unreconciledCapacity)
	return WithinLimit(t.Allocation(settings.Limit), total)
}

// Fits reports whether a usage is within the shard's part of a team's limit.
func (t *Tracker) Fits(team string, usage binpack.Vec) bool {
	settings := t.host.Teams()[team]
	return settings != nil && WithinLimit(t.Allocation(settings.Limit), usage)
}

// sumUnreconciled adds up the capacity of the unreconciled machines.
func (t *Tracker) sumUnreconciled() {
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

// Allocation returns the shard's part of a team's limit.
func (t *Tracker) Allocation(limit binpack.Vec) binpack.Vec {
	fraction := t.host.Allocation()
	for i := range limit {
		if part := int64(float64(limit[i]) * fraction); limit[i] > 0 {
			limit[i] = max(part, 1) // 0 would mean no limit
		}
	}
	return limit
}

// TeamsOverAllocation returns the names of the teams that use more than the shard's part
// of their limit, sorted. This happens after the limit or the allocation was lowered.
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

// MaxUtilization returns the largest fraction of any team's total limit that
// is in use in the shard. The shard's allocation must not shrink below it.
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
// quota (the setting "guarantee"). For an unknown team, which has no quota, it returns true.
func (t *Tracker) ExceedsNominal(team string) bool {
	settings := t.host.Teams()[team]
	if settings == nil {
		return true
	}
	fraction, used := t.host.Allocation(), t.usage[team]
	return float64(used[binpack.CPU]) > fraction*float64(settings.Guarantee[binpack.CPU]) ||
		float64(used[binpack.GPU]) > fraction*float64(settings.Guarantee[binpack.GPU])
}

// WithinLimit reports whether a usage stays within a limit.
// A limit of 0 means that the resource is not limited.
func WithinLimit(limit, usage binpack.Vec) bool {
	for i, bound := range limit {
		if bound > 0 && usage[i] > bound {
			return false
		}
	}
	return true
}
