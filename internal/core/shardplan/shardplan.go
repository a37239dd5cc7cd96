// Package shardplan decides how the machines, jobs and quotas of the cluster are divided
// into shards, and who owns each.
//
// The leader (package election) assigns a shard whose owner's membership has expired to
// another controller (assign.go), divides every team's limit among the shards in use
// (allocate.go) and asks the owner of several shards to give one up for a controller that
// owns none (rebalance.go). It does one of these at a time, and decides the next once the
// copy of the state service's keys shows what the last one stored.
//
// Every controller puts new jobs into the shard with the least work for its machines, and
// moves jobs that have not started from the shards that it owns (migrate.go); both go by the
// loads that it adds up for itself (load.go).
//
// It is pure: the time goes in by method calls, writes and requests come out by its Host.
package shardplan

import (
	"iter"
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the controller that plans. The planner calls it from Tick, Migrate and
// NewJobShard, and from a migration's Done; it calls back into none of them, but for
// ReadFresh, which calls its function later. The map is the host's own, to be read only.
type Host interface {
	// CacheAge is how long ago the state service last answered; complete is false while the
	// copy of its keys is taken anew.
	CacheAge() (age units.Microseconds, complete bool)
	// ActiveJobs are the jobs that are not over, in no order.
	ActiveJobs() iter.Seq[*jobs.Job]
	// MachineGroups are the stored machines of all shards, by key.
	MachineGroups() map[string]fleet.Group
	// Type is a machine type; nil: not known.
	Type(name string) *fleet.Type
	// Limit is a team's limit; 0 in what it does not limit.
	Limit(team string) binpack.Vec

	Members

	// OwnQuotaUses are the largest uses of a team's limit in the shards that this controller
	// owns, as far as they are known.
	OwnQuotaUses() iter.Seq2[int, float64]
	// RequestRelease asks a shard's owner, this controller or another, to give it up.
	RequestRelease(shard int, owner string)

	// Store queues a write with those that decide who may act.
	Store(w *store.Write)
	// Version is the version of a key in the copy of the state service's keys.
	Version(key string) uint64
	// ReadFresh calls a function once a read that began after this call has ended.
	ReadFresh(ended func(ok bool))
}

// Members is what is known of the controllers.
type Members interface {
	// Controllers returns the names of all controllers, in the same order on each of them.
	Controllers() []string
	// CurrentMember is the membership that a controller has; 0: none. MemberSince is when
	// that was learnt.
	CurrentMember(node string) uint64
	MemberSince(node string) units.Microseconds
	// MemberExpired reports whether a membership surely owns nothing any more, and seeks the
	// votes of a majority to make that sure.
	MemberExpired(node string, id uint64) bool
	// Responsive reports whether this controller hears from one, itself included.
	Responsive(node string) bool
	// UnreachableByWorkers reports whether a controller is known to be out of the workers' reach.
	UnreachableByWorkers(node string) bool
	// Outdated reports whether a controller runs a release that cannot own shards any more,
	// ToBeUpgraded whether it runs an older one than this controller does.
	Outdated(node string) bool
	ToBeUpgraded(node string) bool
	// Standby names the controller that knows all that runs in a shard; "": none does.
	Standby(shard int) string
}

// Config is what a planner is told at its start.
type Config struct {
	Size          int // controllers
	ShardMachines int // machines beyond which several shards share the work
	TxnOps        int // changes that one transaction may have
	ValueMax      int // bytes of a stored value
	Log           *slog.Logger
}

const (
	// planInterval is the least time between two looks at what is to be planned.
	planInterval = units.Second / 10
	// freshFor is how old the copy of the state service's keys may be for plans: an older
	// one shows expired memberships too late, and the guards of a write would fail.
	freshFor = units.Second
	// unshardedFor is for how long one shard must have been enough before the others are
	// closed.
	unshardedFor = 10 * units.Second
)

// Planner holds what a controller plans by.
type Planner struct {
	cfg     Config
	host    Host
	records *Records
	loads   loads

	// Of use only while this controller leads; all of it begins anew with each term.
	leadership     *election.Leadership
	nextPlanAt     units.Microseconds
	sharded        bool               // several shards share the work
	unshardedSince units.Microseconds // since when one shard would do
	uses           map[int]quotaUse
	targets        []float64          // parts of the limits that the shards should have
	nextTargetsAt  units.Microseconds // targets do not change before
	nextTransferAt units.Microseconds // no shard changes hands among living owners before
}

// New returns a planner that does not lead.
func New(cfg Config, records *Records, host Host) *Planner {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Planner{cfg: cfg, host: host, records: records, loads: loads{byShard: make([]load, cfg.Size)}}
}

// StartTerm says that this controller leads from now on. The plans of an earlier term are
// forgotten: another may have led meanwhile.
func (p *Planner) StartTerm(now units.Microseconds, leadership *election.Leadership) {
	p.leadership = leadership
	p.nextPlanAt, p.sharded, p.unshardedSince = 0, false, 0
	p.uses = map[int]quotaUse{}
	p.targets, p.nextTargetsAt = nil, 0
	p.nextTransferAt = now + transferInterval
}

// Tick does one thing that is due. Only the leader calls it: shards whose owner's
// membership has expired go to another first, then the quotas are divided, then shards are
// transferred between living owners.
func (p *Planner) Tick(now units.Microseconds) {
	// While the copy is taken anew it shows assignments as of another time than
	// memberships: a shard that was just assigned would seem to be an expired member's.
	age, complete := p.host.CacheAge()
	if now < p.nextPlanAt || !p.leadership.MayPlan(now) || !complete || age >= freshFor {
		return
	}
	p.nextPlanAt = now + planInterval
	p.measure(now)
	p.sharded = p.wantsShards(now)
	if p.assignShards() || p.allocateQuotas(now) {
		return
	}
	p.rebalance(now)
}

// shardCount is the number of shards there may be.
func (p *Planner) shardCount() int { return p.records.count(p.cfg.Size) }

// shardsInUse is the number of shards that should share the work.
func (p *Planner) shardsInUse() int {
	if p.sharded {
		return p.cfg.Size
	}
	return 1
}

// wantsShards reports whether there are more machines than one controller can answer; they
// are provisioned as work asks for them. Where a task needs more of a team's limit than a
// part of it, the limits stay whole.
func (p *Planner) wantsShards(now units.Microseconds) bool {
	if p.cfg.Size == 1 {
		return false
	}
	elsewhere := false
	for job := range p.host.ActiveJobs() {
		if p.needsWholeLimit(job.Spec()) {
			return false
		}
		elsewhere = elsewhere || job.Record.Shard != 0
	}
	machines := p.loads.machines()
	if machines > p.cfg.ShardMachines {
		p.unshardedSince = now
		return true
	}
	if machines > p.cfg.ShardMachines/2 || elsewhere {
		p.unshardedSince = now
	}
	sharded := p.sharded || p.records.Allocation(1).Fraction > 0 // an earlier leader's choice stands
	return sharded && now-p.unshardedSince < unshardedFor
}

// needsWholeLimit reports whether what a job starts at once does not fit into one shard's
// part of its team's limit.
func (p *Planner) needsWholeLimit(spec *jobs.Spec) bool {
	demand := spec.Demand
	if spec.Service {
		demand = demand.Times(int64(spec.Tasks))
	}
	return !quota.WithinLimit(p.host.Limit(spec.Team), demand.Times(int64(p.cfg.Size)))
}
