// Package autoscaler decides how many machines of which pool a shard should have: how many to scale out
// by, and which machines to scale in. It does not know single tasks, only groups of work that may use the
// same machines. It remembers the average demand of groups, and the pools without capacity.
//
// The package does no I/O and reads no clock: the work, the machines and the time are passed to Plan,
// which returns its decisions.
package autoscaler

import (
	"math"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Pool identifies an offer of the cloud: a machine type in a zone, spot or on-demand.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Group identifies work that may use the same pools.
type Group struct {
	Class    string
	Types    string // names of the machine types that its tasks fit and may use, joined by commas
	Zones    string // names of the zones that its tasks may use, joined by commas; "" for any zone
	Spot     bool
	IdleTime bool // idle-time work: it uses the capacity that other work leaves, and scales out by the cheapest pools only
	Service  bool // replicas of services, which never complete
}

// pools returns the group that stands for all work that may use the same pools, of any class.
func (g Group) pools() Group {
	g.Class, g.Service = "", false
	return g
}

// usable reports whether a group's tasks, which may use the given types, may run on machines of a pool.
func (g Group) usable(types []string, pool Pool) bool {
	if pool.Spot && !g.Spot || !g.allowsZone(pool.Zone) {
		return false
	}
	return slices.Contains(types, pool.Type)
}

// allowsZone reports whether a group's tasks may run in a zone.
func (g Group) allowsZone(zone string) bool {
	if g.Zones == "" {
		return true
	}
	for name := range strings.SplitSeq(g.Zones, ",") {
		if name == zone {
			return true
		}
	}
	return false
}

// Need is the amount of work of a group: the tasks that would run at once if there were capacity, with
// their total demand; the waiting tasks, with their run times added up; and the number of running tasks
// that complete per second.
type Need struct {
	Tasks   int
	Running int // tasks placed at present
	Ready   int // tasks that wait to start
	// Replicas is how many of the ready tasks are replicas of services that may start at once. They
	// are work without an end, and have no part in Waiting.
	Replicas int
	Total    binpack.Vec
	// Demands are those of ready tasks that may start at once, each once and at most MaxDemands of them.
	Demands []binpack.Vec
	Waiting units.Microseconds
	Slack   units.Microseconds // time that waiting tasks may still wait and meet their deadlines, added up
	Rate    float64
	Types   []string
}

// MaxDemands bounds the demands that a Need lists.
const MaxDemands = 16

// AddDemand adds the demand of ready tasks to Demands.
func (n *Need) AddDemand(demand binpack.Vec) {
	if len(n.Demands) < MaxDemands && !slices.Contains(n.Demands, demand) {
		n.Demands = append(n.Demands, demand)
	}
}

// Replicas are replicas of services of one group on one machine.
type Replicas struct {
	Group  Group
	Count  int
	Demand binpack.Vec // of all of them
}

// Machine is a machine as the autoscaler sees it.
type Machine struct {
	Name     string
	Pool     Pool
	Idle     units.Microseconds // time without tasks; 0 if it has any
	Booted   bool
	Age      units.Microseconds // time since it was provisioned
	ZoneLost bool               // it is in a lost zone: it does no work now, but would if its zone recovered
	Replicas []Replicas         // they never complete, so what they use is never free
	Needed   bool               // set by Plan if the work at hand needs the machine
}

const (
	// minCharge is the time for which the cloud charges every machine at least.
	minCharge = 60 * units.Second
	// minChargeMargin is the time before the end of minCharge at which a machine may already be scaled
	// in: the cloud takes that long to carry it out.
	minChargeMargin = 2 * units.Second
)

// Params holds the tuning parameters of scaling.
type Params struct {
	Headroom     float64            // capacity kept above average demand, as a fraction of it
	AverageOver  units.Microseconds // time over which demand is averaged
	WorkPerSlot  units.Microseconds // waiting work per slot that makes a machine worth its price
	ScaleInAfter units.Microseconds // idle time after which a machine is scaled in
}

// Increase is a request for more machines of one pool.
type Increase struct {
	Pool  Pool
	Count int
}

// Scaler remembers the average demand of groups and the pools without capacity.
type Scaler struct {
	params   Params
	averages map[Group]*groupAverage
	backoffs map[Pool]poolBackoff
}

// groupAverage is the recent average demand of a group.
type groupAverage struct {
	tasks     float64    // average number of placed tasks
	demand    [3]float64 // average demand of a task
	types     []string
	updatedAt units.Microseconds
	// replicasWaitSince is since when replicas of services have waited all the time; 0: none waits.
	replicasWaitSince units.Microseconds
}

// poolBackoff is the backoff of a pool without capacity.
type poolBackoff struct {
	until units.Microseconds
	delay units.Microseconds
}

// Limits on the backoff of a pool without capacity, which doubles with every refusal.
const (
	minBackoff = 5 * units.Second
	maxBackoff = 40 * units.Second
)

// New returns a Scaler that remembers nothing.
func New(params Params) *Scaler {
	return &Scaler{params: params, averages: map[Group]*groupAverage{}, backoffs: map[Pool]poolBackoff{}}
}

// Refused records that the cloud has no more capacity in a pool, which is not tried again until its
// backoff has passed. Provisioned clears the backoff.
func (s *Scaler) Refused(now units.Microseconds, pool Pool) {
	backoff := s.backoffs[pool]
	backoff.delay = min(max(2*backoff.delay, minBackoff), maxBackoff)
	backoff.until = now + backoff.delay
	s.backoffs[pool] = backoff
}

// Provisioned records that the cloud has provisioned machines of a pool.
func (s *Scaler) Provisioned(pool Pool) { delete(s.backoffs, pool) }

// updateAverages updates the groups' averages, which decay exponentially over AverageOver.
func (s *Scaler) updateAverages(now units.Microseconds, work map[Group]Need) {
	for group, need := range work {
		if need.Tasks > 0 && s.averages[group] == nil {
			s.averages[group] = &groupAverage{updatedAt: now}
		}
	}
	for group, average := range s.averages {
		need := work[group]
		weight := 1 - math.Exp(-float64(now-average.updatedAt)/float64(s.params.AverageOver))
		average.tasks += (float64(need.Running) - average.tasks) * weight
		average.updatedAt = now
		if need.Tasks > 0 {
			average.types = need.Types
			for resource := range average.demand {
				average.demand[resource] = float64(need.Total[resource]) / float64(need.Tasks)
			}
		} else if average.tasks < 0.1 {
			delete(s.averages, group)
		}
	}
}

// slots returns the number of a group's average tasks that fit a machine's capacity. On each machine a
// fraction of a task is expected to be lost because tasks differ in size. Tasks that complete share what is
// left of a slot one after the other, but each replica of a service needs a whole one.
func (g Group) slots(capacity binpack.Vec, demand [3]float64) float64 {
	tasks := math.Inf(1)
	for resource, each := range demand {
		if each > 0 {
			tasks = math.Min(tasks, float64(capacity[resource])/each)
		}
	}
	switch {
	case math.IsInf(tasks, 1) || tasks < minTasksPerMachine:
		return 0
	case g.Service:
		return math.Floor(tasks + roundingTolerance)
	}
	return tasks * tasks / (tasks + 0.3)
}

const (
	// minTasksPerMachine is the number of average tasks below which a machine
	// counts as too small. It is below 1 as some tasks are smaller than the average.
	minTasksPerMachine = 0.7
	// roundingTolerance is the part of a task by which an average may be rounded up.
	roundingTolerance = 1e-6
)
