// Package core implements a controller's decisions as a deterministic state machine.
// Callers pass in events and the current time by method calls and collect the resulting
// effects from Drain. The package has no clock, no goroutines and no randomness of its own.
package core

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/membership"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/rollback"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
	"shalestage.example/shalestage/internal/core/zones"
)

// Team is a team's guarantee and limit, in thousandths; 0 means none.
type Team = configuration.Team

// Objective is a service-level objective for a class of jobs.
type Objective = demand.Objective

// ListedMachine is a machine in the cloud's machine list.
type ListedMachine = provisioner.ListedMachine

// TickInterval is the interval at which callers call Tick.
const TickInterval = liveness.TickInterval

// Config configures a Core.
type Config struct {
	Node string
	// ProcessID is a random number that tells this process of the controller from earlier ones, whose
	// requests other controllers may still answer.
	ProcessID         uint64
	Size              int      // number of controllers, this one included
	Peers             []string // names of the other controllers
	Zones             []string
	HomeZone          string            // this controller's zone
	PeerZones         map[string]string // of the other controllers, by name
	Teams             []Team
	Objectives        []Objective
	Lease             units.Microseconds // the lease of a worker machine
	HeartbeatInterval units.Microseconds
	LeaderTTL         units.Microseconds
	CancelWithin      units.Microseconds // time within which cancelled tasks must have stopped
	ListLag           units.Microseconds
	TxnOps            int     // operations in a transaction; the lowest limit that the state service will ever have
	ValueKB           float64 // KiB; sets how many tasks one progress record covers
	ValueMax          int     // bytes in a value; the lowest limit that the state service will ever have; 0: ValueKB
	StateRate         float64
	WriteRate         float64
	// The rates that apply once the state service has refused a request as over its limit.
	NextStateRate, NextWriteRate float64
	CloudRate                    float64
	Pack                         binpack.Params
	Scale                        autoscaler.Params
	// ShardMachines is the number of machines above which the work is split into several shards.
	ShardMachines      int
	SequentialFraction float64 // fraction of a job's time within which the autoscaler lets its tasks run one after the other
	// KeepFinished is the number of finished jobs kept in memory before the oldest are
	// archived; 0 keeps all. ArchiveSettleTime is how long every controller must have run
	// a release that can read archived jobs before the first job is archived.
	KeepFinished      int
	ArchiveSettleTime units.Microseconds
	Log               *slog.Logger
	// SkippedGuard names a safety check to leave out; only tests set it.
	SkippedGuard guard.Guard
}

// RequestID identifies a request that waits for an answer.
type RequestID = admission.RequestID

// Effect is an action for the caller to carry out.
type Effect any

// Effects. The caller answers each request to an external service exactly once, also when the request fails, by
// calling the method named in the effect's comment.
type (
	// Reply answers a user's request or a worker machine's heartbeat.
	Reply struct {
		Request RequestID
		Code    int
		Body    any // JobAnswer, HeartbeatResponse, Stats, Redirect or Problem
		// RetryAfter tells the user when to retry; 0 if not given.
		RetryAfter units.Microseconds
	}
	// List reads a page of the state service's keys (OnList).
	List = watchcache.List
	// Watch waits for changes of those keys (OnChanges).
	Watch = watchcache.Watch
	// Commit sends a transaction (OnCommit).
	Commit struct {
		Queue QueueID
		Txn   *store.Txn
	}
	// Abandon stops waiting for a transaction's answer. The Commit itself is still answered.
	Abandon struct{ Txn *store.Txn }
	// OpenLease requests the lease of this controller's membership (OnLease).
	OpenLease = membership.OpenLease
	// RenewLease extends that lease (OnRenew).
	RenewLease = membership.RenewLease
	// CloseLease ends that lease. It has no answer.
	CloseLease = membership.CloseLease
	// FetchTypes reads the price list (OnTypes).
	FetchTypes struct{}
	// ScaleOut provisions machines (OnScaleOut).
	ScaleOut = provisioner.ScaleOut
	// ScaleIn deprovisions machines (OnScaleIn).
	ScaleIn = provisioner.ScaleIn
	// ListMachines reads the cloud's machine list (OnListMachines).
	ListMachines = provisioner.ListMachines
	// CloudBudget sets this node's fraction of the cloud's request budget. It has no answer.
	CloudBudget struct{ Fraction float64 }
)

// Bodies of replies.
type (
	// JobAnswer is a job's state.
	JobAnswer = admission.JobAnswer
	// HeartbeatResponse answers a heartbeat.
	HeartbeatResponse struct {
		FencingToken uint64
		Commands     []fleet.Command
	}
	// Redirect sends a worker machine to another node; Node is empty if the right node is not known.
	Redirect struct{ Node string }
	// Problem is the reason why a request was refused.
	Problem struct{ Text string }
)

// QueueID identifies a queue of transactions.
type QueueID int

// Queues of transactions. There are separate queues for users' changes, for changes by the leader and by shard
// owners, and for the archiving of finished jobs, so that none of them waits for another.
const (
	UserQueue QueueID = iota
	ControlQueue
	ArchiveQueue // background writes that no request depends on
	queueCount
)

const (
	// maxUserWrites bounds the queue of users' changes, as overload protection. It holds what the state service
	// accepts in some seconds. Users whose changes do not fit are told to retry later.
	maxUserWrites = 256
	// maxControlWrites bounds the queue of the leader's and the owners' changes. Their
	// number is itself bounded by the numbers of jobs and machines.
	maxControlWrites = 1 << 16
)

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	log     *slog.Logger
	now     units.Microseconds // monotonic clock
	wall    units.Microseconds // wall clock
	effects []Effect
	teams   map[string]*Team
	config  *configuration.Manager // teams and objectives in force
	cache   *watchcache.Cache      // watch cache of the state service's keys
	queues  [queueCount]*store.WriteQueue

	jobs          *registry.Registry
	admission     *admission.Handler
	types         map[string]*fleet.Type
	shardRecords  *shardplan.Records     // assignments and quota allocations as stored
	machineGroups map[string]fleet.Group // stored machine groups, by key
	machineShard  map[string]int         // shard of each stored machine

	archive          *archive.Manager
	rollback         *rollback.Recovery
	cancellations    *cancellations.Tracker // which cancellations are known, and up to when all of them are
	membership       *membership.Registry
	election         *election.Election
	planner          *shardplan.Planner
	owned            map[int]*ownedShard   // shards that this node owns
	emptySince       units.Microseconds    // since when it has owned no shard while retiring; 0: not so
	retiringSince    units.Microseconds    // since when this node is retiring; 0: it is not
	reachability     liveness.Reachability // whether worker machines can reach this node
	newestHeartbeats liveness.NewestHeartbeats
	redirectedAt     map[int]units.Microseconds // when this controller last redirected a worker, by the machine's stored shard
	heartbeats       reconcile.Counters         // answers to heartbeats and probes
	zones            *zones.View
	nextTypeFetchAt  units.Microseconds
	cloudFraction    float64
	peers            *peering.Directory
	forwarder        *peering.Forwarder // users' requests that controllers forward to each other
	nextStatusAt     units.Microseconds // when this controller next sends its status

	transfers *transfer.Receiver // snapshots and replicated state of shards that this node may own next
}

// Drain returns the effects that have accumulated since the last call, in order.
func (c *Core) Drain() []Effect {
	c.pump()
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// pump emits what is due, in this order. It first ends the transactions that are proven to be stored. Then
// owned shards answer pending heartbeats, replicate to their standbys and queue their writes. Last it sends
// the transactions and the reads to the state service.
func (c *Core) pump() {
	c.resolveCommits()
	for _, number := range sortedShards(c.owned) {
		shard := c.owned[number]
		if !c.Owns(c.now, number) {
			continue
		}
		shard.reconciler.OfferWork(c.now, shard.scheduler.RankDue())
		shard.replication.Tick(c.now, len(shard.reconciler.Unreconciled()) == 0)
		shard.writer.Flush()
	}
	for id, queue := range c.queues {
		if txn := queue.Next(c.now); txn != nil {
			txn.KnownRevision = c.cache.HighestRevision()
			c.emit(Commit{QueueID(id), txn})
		}
	}
	c.cache.Pump(c.now)
	c.archive.Pump(c.now)
}

// guardEnabled reports whether a safety check is made. All checks are, except the one that a test leaves out.
func (c *Core) guardEnabled(g guard.Guard) bool { return c.cfg.SkippedGuard != g }

// advance sets the current time. The time never decreases.
func (c *Core) advance(now units.Microseconds) { c.now = max(c.now, now) }

// Tick does the periodic work that is due at now, which is a monotonic time. wall is the wall-clock time.
func (c *Core) Tick(now, wall units.Microseconds) {
	c.advance(now)
	c.reachability.Tick(c.now)
	c.zones.Tick(c.now)
	c.wall = wall
	c.cache.Tick(c.now, wall)
	c.tickPeers()
	c.membership.Tick(c.now)
	c.tickLeadership()
	c.config.Tick(c.now, c.wall, c.election.Leads())
	c.tickTypes()
	c.peers.TrackOlderReleases(c.now)
	c.archive.Tick(c.now)
	for _, number := range sortedShards(c.owned) {
		if shard := c.owned[number]; shard != nil { // ticking one shard may release others
			c.tickShard(shard)
		}
	}
}

// Keys of the state service; see package keys.
const (
	root             = keys.Root
	jobPrefix        = keys.JobPrefix
	chunkPrefix      = keys.ChunkPrefix
	progressPrefix   = keys.ProgressPrefix
	machinePrefix    = keys.MachinePrefix
	typePrefix       = keys.TypePrefix
	memberPrefix     = keys.MemberPrefix
	assignmentPrefix = keys.AssignmentPrefix
	allocationPrefix = keys.AllocationPrefix
	standbyPrefix    = keys.StandbyPrefix
	leaderKey        = keys.Leader
	termKey          = keys.Term
)

// Root is the prefix of every key in the state service that the scheduler uses.
const Root = keys.Root
