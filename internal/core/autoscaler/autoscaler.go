// Package autoscaler decides how many machines of which kind a shard should have: what to scale out
// by and which machines to scale in. It knows no single task, only groups of work that may use the
// same machines, and it owns what it remembers of their demand and of pools without capacity.
//
// It is pure: the work, the machines and the time go in by Plan, which returns its decisions.
package autoscaler

import (
	"math"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Pool is one kind of offer: a type in a zone, spot or ordinary.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Group is work that may use the same pools.
type Group struct {
	Class    string
	Types    string // names of the types its tasks fit and may use, joined by commas
	Zone     string // "" for any
	Spot     bool
	IdleTime bool // it uses the capacity that others leave, and scales out by the cheapest pools only
}

// withoutClass is the group without its class: all that may use the same pools.
func (g Group) withoutClass() Group {
	g.Class = ""
	return g
}

// usable reports whether a group's tasks, that may use some types, may run on machines of a pool.
func (g Group) usable(types []string, pool Pool) bool {
	if pool.Spot && !g.Spot || g.Zone != "" && g.Zone != pool.Zone {
		return false
	}
	return slices.Contains(types, pool.Type)
}

// Need is how much work a group has: tasks that would run at once if there were capacity, and their
// demands added up; those that wait and the time that they will take, one after the other; and how
// many of those that run complete in a second.
type Need struct {
	Tasks   int
	Running int // tasks placed at present
	Ready   int // tasks that wait
	Total   binpack.Vec
	Waiting units.Microseconds
	Slack   units.Microseconds // that those that wait may wait and still be in time, added up
	Rate    float64
	Types   []string
}

// Machine is what the autoscaler sees of a machine.
type Machine struct {
	Name     string
	Pool     Pool
	Idle     units.Microseconds // for how long it has run no task; 0: it runs some
	Booted   bool
	Age      units.Microseconds // since it was provisioned
	ZoneLost bool               // it does no work for now, and would if its zone came back
	Needed   bool               // set by Plan: the work at hand needs it
}

const (
	// minCharge is the time that every provisioned machine is charged for.
	minCharge = 60 * units.Second
	// minChargeMargin is how long before its end a machine may be scaled in: it takes as long
	// until the cloud has carried that out.
	minChargeMargin = 2 * units.Second
)

// Params are the tunables of scaling.
type Params struct {
	Headroom     float64            // capacity kept above average demand, as a part of it
	AverageOver  units.Microseconds // time over which demand is averaged
	WorkPerSlot  units.Microseconds // work that must wait for each slot of a machine to be worth its price
	ScaleInAfter units.Microseconds // idle time after which a machine is scaled in
}

// Increase asks for more machines of one pool.
type Increase struct {
	Pool  Pool
	Count int
}

// Scaler remembers the demand of groups, and which pools have no capacity.
type Scaler struct {
	params  Params
	averages   map[Group]*groupAverage
	backoffs map[Pool]poolBackoff
}

// groupAverage is what a group has needed lately.
type groupAverage struct {
	tasks     float64    // placed, on average
	demand    [3]float64 // of a task, on average
	types     []string
	updatedAt units.Microseconds
}

// poolBackoff is how a pool without capacity is left alone.
type poolBackoff struct {
	until   units.Microseconds
	backoff units.Microseconds
}

// Bounds of the time for which a pool is left alone that has no capacity; it doubles each time.
const (
	minBackoff = 5 * units.Second
	maxBackoff  = 40 * units.Second
)

// New returns a scaler that remembers nothing.
func New(params Params) *Scaler {
	return &Scaler{params: params, averages: map[Group]*groupAverage{}, backoffs: map[Pool]poolBackoff{}}
}

// Refused notes that the cloud has no more capacity in a pool; Provisioned clears it.
func (s *Scaler) Refused(now units.Microseconds, pool Pool) {
	r := s.backoffs[pool]
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.until = now + r.backoff
	s.backoffs[pool] = r
}

// Provisioned notes that the cloud provisioned machines of a pool.
func (s *Scaler) Provisioned(pool Pool) { delete(s.backoffs, pool) }

// updateAverages brings the averages up to date.
func (s *Scaler) updateAverages(now units.Microseconds, work map[Group]Need) {
	for group, need := range work {
		if need.Tasks > 0 && s.averages[group] == nil {
			s.averages[group] = &groupAverage{updatedAt: now}
		}
	}
	for group, usual := range s.averages {
		need := work[group]
		weight := 1 - math.Exp(-float64(now-usual.updatedAt)/float64(s.params.AverageOver))
		usual.tasks += (float64(need.Running) - usual.tasks) * weight
		usual.updatedAt = now
		if need.Tasks > 0 {
			usual.types = need.Types
			for resource := range usual.demand {
				usual.demand[resource] = float64(need.Total[resource]) / float64(need.Tasks)
			}
		} else if usual.tasks < 0.1 {
			delete(s.averages, group)
		}
	}
}

// slots is how many average tasks a capacity holds. Part of a task of each machine is expected to
// be lost to tasks of unlike sizes.
func slots(capacity binpack.Vec, demand [3]float64) float64 {
	tasks := math.Inf(1)
	for resource, each := range demand {
		if each > 0 {
			tasks = math.Min(tasks, float64(capacity[resource])/each)
		}
	}
	if math.IsInf(tasks, 1) || tasks < 0.7 {
		return 0
	}
	return tasks * tasks / (tasks + 0.3)
}
