// Package shardplan decides how the machines, jobs and quotas of the cluster are divided into shards, and
// which controller owns each shard.
//
// The leader (package election) assigns a shard whose owner's membership has expired to another controller
// (assign.go), divides every team's limit among the shards in use (allocate.go) and asks the owner of several
// shards to release one for a controller that owns none (rebalance.go). It takes one of these steps at a
// time, and plans the next one once the watch cache shows what the last one stored.
//
// Every controller puts new jobs into the shard with the least work for its capacity, and migrates jobs that
// have not started from the shards that it owns (migrate.go). Both use the loads that the controller computes
// for itself (load.go).
//
// The package performs no I/O: the time is passed to its methods, and writes and requests leave through its
// Host.
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

// Host is the controller that plans. The planner calls it from Tick, Migrate and NewJobShard, and from the
// Done of a migration's write. The host calls none of these back; ReadFresh calls its function only later.
// The map of MachineGroups belongs to the host; the planner only reads it.
type Host interface {
	// CacheAge returns how long ago the state service last answered; complete is false while the watch cache
	// is being reloaded.
	CacheAge() (age units.Microseconds, complete bool)
	// ActiveJobs yields the jobs that have not ended, in no particular order.
	ActiveJobs() iter.Seq[*jobs.Job]
	// MachineGroups returns the stored machine groups of all shards, by key.
	MachineGroups() map[string]fleet.Group
	// Type returns a machine type; nil if it is not known.
	Type(name string) *fleet.Type
	// Limit returns a team's limit; 0 in the dimensions that it does not limit.
	Limit(team string) binpack.Vec

	Members

	// OwnQuotaUses yields the shards that this controller owns and the largest fraction of a team's limit in
	// use in each, as far as known.
	OwnQuotaUses() iter.Seq2[int, float64]
	// RequestRelease asks a shard's owner, this controller or another, to release it.
	RequestRelease(shard int, owner string)

	// Store queues a write among those that decide which controller may act.
	Store(w *store.Write)
	// Version returns the version of a key in the watch cache.
	Version(key string) uint64
	// ReadFresh calls a function when a read of the state service has ended that began after this call.
	ReadFresh(ended func(ok bool))
}

// Members is what is known of the controllers.
type Members interface {
	// Controllers returns the names of all controllers, in the same order on each of them.
	Controllers() []string
	// CurrentMember returns the id of a controller's membership; 0: none. MemberSince returns when this
	// controller learned of that membership.
	CurrentMember(node string) uint64
	MemberSince(node string) units.Microseconds
	// MemberExpired reports whether a membership certainly owns nothing any more. While that is not certain,
	// it collects the votes of a majority.
	MemberExpired(node string, id uint64) bool
	// Responsive reports whether this controller receives messages from a controller. It is true of itself.
	Responsive(node string) bool
	// UnreachableByWorkers reports whether it is known that workers cannot reach a controller.
	UnreachableByWorkers(node string) bool
	// ReachedByWorkers reports whether a worker of a shard is known to have reached a controller that does not
	// own the shard, within the last lease of the workers.
	ReachedByWorkers(node string, shard int) bool
	// Outdated reports whether a controller runs a release that can no longer own shards, ToBeUpgraded
	// whether it runs an older release than this controller.
	Outdated(node string) bool
	ToBeUpgraded(node string) bool
	// Standby returns the controller that holds a replica of everything that runs in a shard; "" if there is
	// none.
	Standby(shard int) string
}

// Config holds the settings of a Planner.
type Config struct {
	Size          int // number of controllers
	ShardMachines int // number of machines beyond which several shards share the work
	TxnOps        int // changes that one transaction may contain
	ValueMax      int // maximum size of a stored value in bytes
	Log           *slog.Logger
}

const (
	// planInterval is the minimum time between two planning steps.
	planInterval = units.Second / 10
	// maxCacheAge is how old the watch cache may be for planning. An older one shows expired memberships too
	// late, and the guards of a write would fail.
	maxCacheAge = units.Second
	// unshardDelay is how long one shard must have been enough before the others are closed.
	unshardDelay = 10 * units.Second
)

// Planner plans shards, quotas and migrations for a controller. Create it with New.
type Planner struct {
	cfg     Config
	host    Host
	records *Records
	loads   loads

	// Used only while this controller leads, and reset with each term.
	leadership     *election.Leadership
	nextPlanAt     units.Microseconds
	sharded        bool               // several shards share the work
	unshardedSince units.Microseconds // since when one shard is enough
	uses           map[int]quotaUse   // reported quota uses by shard
	targets        []float64          // fractions of the limits that the shards should have
	nextTargetsAt  units.Microseconds // targets do not change before this time
	nextTransferAt units.Microseconds // no shard is transferred between live owners before this time
}

// New returns a planner that is not the leader's.
func New(cfg Config, records *Records, host Host) *Planner {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Planner{cfg: cfg, host: host, records: records, loads: loads{byShard: make([]load, cfg.Size)}}
}

// StartTerm makes this controller's planner the leader's. It discards the plans of an earlier term, as
// another controller may have led in between.
func (p *Planner) StartTerm(now units.Microseconds, leadership *election.Leadership) {
	p.leadership = leadership
	p.nextPlanAt, p.sharded, p.unshardedSince = 0, false, 0
	p.uses = map[int]quotaUse{}
	p.targets, p.nextTargetsAt = nil, 0
	p.nextTransferAt = now + transferInterval
}

// Tick takes one step that is due. Only the leader calls it. Shards whose owner's membership has expired are
// reassigned first, then quotas are allocated, then shards are transferred between live owners.
func (p *Planner) Tick(now units.Microseconds) {
	// While the watch cache is being reloaded, it shows assignments and memberships as of different times: a
	// shard that was just assigned would seem to belong to an expired member.
	age, complete := p.host.CacheAge()
	if now < p.nextPlanAt || !p.leadership.MayPlan(now) || !complete || age >= maxCacheAge {
		return
	}
	p.nextPlanAt = now + planInterval
	p.measure(now)
	p.sharded = p.shouldShard(now)
	if p.assignShards() || p.allocateQuotas(now) {
		return
	}
	p.rebalance(now)
}

// shardCount returns the number of shards that may exist.
func (p *Planner) shardCount() int { return p.records.count(p.cfg.Size) }

// shardsInUse returns the number of shards that should share the work.
func (p *Planner) shardsInUse() int {
	if p.sharded {
		return p.cfg.Size
	}
	return 1
}

// shouldShard reports whether there are more machines than one controller can serve; their number follows the
// amount of work. Once there are several shards, they stay in use until one shard has been enough for
// unshardDelay. If a task needs more of a team's limit than one shard's fraction, the limits are not divided.
func (p *Planner) shouldShard(now units.Microseconds) bool {
	if p.cfg.Size == 1 {
		return false
	}
	jobsElsewhere := false
	for job := range p.host.ActiveJobs() {
		if p.needsWholeLimit(job.Spec()) {
			return false
		}
		jobsElsewhere = jobsElsewhere || job.Record.Shard != 0
	}
	machines := p.loads.machines()
	if machines > p.cfg.ShardMachines {
		p.unshardedSince = now
		return true
	}
	if machines > p.cfg.ShardMachines/2 || jobsElsewhere {
		p.unshardedSince = now
	}
	sharded := p.sharded || p.records.Allocation(1).Fraction > 0 // an earlier leader's decision stays in force
	return sharded && now-p.unshardedSince < unshardDelay
}

// needsWholeLimit reports whether the tasks that a job starts at once do not fit into one shard's fraction of
// its team's limit.
func (p *Planner) needsWholeLimit(spec *jobs.Spec) bool {
	demand := spec.Demand
	if spec.Service {
		demand = demand.Times(int64(spec.Tasks))
	}
	return !quota.WithinLimit(p.host.Limit(spec.Team), demand.Times(int64(p.cfg.Size)))
}
