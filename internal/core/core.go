// Package core decides everything that a controller does. It is pure: events
// and the present time go in by method calls, effects come out of Drain. It
// has no clock, no goroutine and no randomness of its own.
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
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/membership"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/rollback"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
	"shalestage.example/shalestage/internal/core/zones"
)

// Team holds a team's guarantee and limit, in thousandths; 0 means none.
type Team = configuration.Team

// Objective is one of the users' aims for a class of jobs.
type Objective = demand.Objective

// ListedMachine is a machine on the cloud's list.
type ListedMachine = provisioner.ListedMachine

// TickInterval is how often the outer layers let time pass.
const TickInterval = liveness.TickInterval

// Config is what the core is given at its start.
type Config struct {
	Node              string
	Size              int
	Peers             []string
	Zones             []string
	HomeZone          string            // this controller's zone
	PeerZones         map[string]string // of the other controllers, by name
	Teams             []Team
	Objectives        []Objective
	Lease             units.Microseconds // a worker's lease
	HeartbeatInterval units.Microseconds
	LeaderTTL         units.Microseconds
	CancelWithin      units.Microseconds // cancelled work must be gone after this
	ListLag           units.Microseconds
	TxnOps            int     // the least that the state service will ever take
	ValueKB           float64 // decides what the keys of finished tasks mean
	ValueMax          int     // bytes; the least that the state service will ever take
	StateRate         float64
	WriteRate         float64
	// What the rates are once the state service has refused something as too much.
	NextStateRate, NextWriteRate float64
	CloudRate                    float64
	Pack                         binpack.Params
	Scale                        autoscaler.Params
	// ShardMachines is the number of machines beyond which several shards divide the work.
	ShardMachines      int
	SequentialFraction float64 // part of a job's time that the autoscaler counts on for tasks one after the other
	// KeepFinished is how many jobs that are over are kept in memory before the oldest are
	// archived (0: all), and ArchiveSettleTime for how long every controller must have run a
	// release that can read archived ones before the first is.
	KeepFinished      int
	ArchiveSettleTime units.Microseconds
	Log               *slog.Logger
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard
}

// RequestID names a request that waits for an answer.
type RequestID = admission.RequestID

// Effect is something for the outer layers to do.
type Effect any

// Effects. Each request to an outside service is answered by the method named
// in its comment, exactly once, whatever happens.
type (
	// Reply answers a user's request or a worker's heartbeat.
	Reply struct {
		Request RequestID
		Code    int
		Body    any // JobAnswer, HeartbeatResponse, Stats, Redirect or Problem
		// RetryAfter tells a user when to come back; 0: not said.
		RetryAfter units.Microseconds
	}
	// List reads a page of the state service's keys (OnList).
	List = watchcache.List
	// Watch waits for changes of them (OnChanges).
	Watch = watchcache.Watch
	// Commit sends a transaction (OnCommit).
	Commit struct {
		Queue QueueID
		Txn   *store.Txn
	}
	// Abandon gives up waiting for a transaction's answer; the Commit is still answered.
	Abandon struct{ Txn *store.Txn }
	// OpenLease asks for the lease of this controller's membership (OnLease).
	OpenLease = membership.OpenLease
	// RenewLease extends it (OnRenew).
	RenewLease = membership.RenewLease
	// CloseLease ends it; no answer.
	CloseLease = membership.CloseLease
	// FetchTypes reads the price list (OnTypes).
	FetchTypes struct{}
	// ScaleOut provisions machines (OnScaleOut).
	ScaleOut = provisioner.ScaleOut
	// ScaleIn deprovisions machines (OnScaleIn).
	ScaleIn = provisioner.ScaleIn
	// ListMachines reads a page of the cloud's machine list (OnListMachines).
	ListMachines = provisioner.ListMachines
	// CloudBudget sets this node's part of the cloud's request budget; no answer.
	CloudBudget struct{ Fraction float64 }
)

// Bodies of replies.
type (
	// JobAnswer tells a job's state.
	JobAnswer = admission.JobAnswer
	// HeartbeatResponse answers a heartbeat.
	HeartbeatResponse struct {
		FencingToken uint64
		Commands     []fleet.Command
	}
	// Redirect sends a worker to another node, if Node is known.
	Redirect struct{ Node string }
	// Problem says why a request was refused.
	Problem struct{ Text string }
)

// QueueID names a queue of transactions.
type QueueID int

// Queues: users' changes, those of the leader and of owners, and the archiving of finished jobs
// do not wait for each other.
const (
	UserQueue QueueID = iota
	ControlQueue
	ArchiveQueue // what nobody waits for
	queueCount
)

const (
	// userWrites bounds the users' changes that wait for the state service, some seconds' worth
	// of what it takes. It is a guard against overload: users beyond are told to come back.
	userWrites = 256
	// controlWrites bounds those of the leader and of owners, which are bounded by jobs and
	// machines.
	controlWrites = 1 << 16
)

// Core is one controller's whole state.
type Core struct {
	cfg     Config
	log     *slog.Logger
	now     units.Microseconds // steady
	wall    units.Microseconds // time of day
	effects []Effect
	teams   map[string]*Team
	config  *configuration.Manager // teams and objectives as they are in force
	cache   *watchcache.Cache      // the copy of the state service's keys
	queues  [queueCount]*store.WriteQueue

	jobs          *registry.Registry
	admission     *admission.Handler
	types         map[string]*fleet.Type
	shardRecords  *shardplan.Records     // assignments and quota allocations as stored
	machineGroups map[string]fleet.Group // stored machines, by key
	machineShard  map[string]int         // shard of each stored machine

	archive       *archive.Keeper
	rollback      *rollback.Recovery
	cancellations *cancellations.Tracker // which cancellations are known, and up to when all are
	membership    *membership.Registry
	election      *election.Election
	planner       *shardplan.Planner
	owned         map[int]*ownedShard   // shards that this node owns
	emptySince    units.Microseconds    // since when it owns nothing while it retires
	retiringSince units.Microseconds    // since when this node's process is about to end on purpose; 0: it is not
	reachability  liveness.Reachability // whether workers reach this node
	zones         *zones.View
	typesAt       units.Microseconds
	cloudPart     float64
	peers         *peering.Directory
	forwarder     *peering.Forwarder // users' requests that go from controller to controller
	nextStatusAt  units.Microseconds // when this controller's status is next sent

	transfers *transfer.Receiver // what is known of shards that this node may own next
}

// New returns a controller's core that has seen nothing yet.
func New(cfg Config) *Core {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	core := &Core{cfg: cfg, log: cfg.Log, teams: map[string]*Team{},
		types: map[string]*fleet.Type{}, shardRecords: shardplan.NewRecords(),
		machineGroups: map[string]fleet.Group{}, machineShard: map[string]int{},
		transfers: transfer.NewReceiver(cfg.Node),
		owned:     map[int]*ownedShard{}}
	if core.cfg.ValueMax == 0 {
		core.cfg.ValueMax = int(cfg.ValueKB * 1024)
	}
	layout := jobs.ProgressLayout{TasksPerRecord: jobs.TasksPerRecord(cfg.ValueKB)}
	layout.Pieces = jobs.TasksPerRecord(float64(core.cfg.ValueMax)/1024) < layout.TasksPerRecord
	core.jobs = registry.New(registry.Config{Layout: layout, TxnOps: cfg.TxnOps, OrphanAge: cfg.ArchiveSettleTime, Log: cfg.Log}, jobsHost{core})
	core.admission = admission.New(admission.Config{ValueMax: core.cfg.ValueMax, TxnOps: cfg.TxnOps, SkippedGuard: cfg.SkippedGuard, Log: cfg.Log}, admissionHost{core})
	for i := range cfg.Teams {
		core.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	core.cache = watchcache.New(watchcache.Config{Size: cfg.Size, Rate: cfg.StateRate, NextRate: cfg.NextStateRate, Fresh: min(freshFor, core.extension()/4), Log: cfg.Log}, cacheHost{core})
	core.archive = archive.NewKeeper(archive.Config{Node: cfg.Node, Release: peering.ReleaseArchive, KeepFinished: cfg.KeepFinished, MinAge: 2*core.leaseBound() + cfg.CancelWithin,
		ValueMax: core.cfg.ValueMax, TxnOps: cfg.TxnOps, Layout: layout, Log: cfg.Log}, archiveHost{core})
	core.election = election.New(election.Config{Node: cfg.Node, Log: cfg.Log}, electionHost{core})
	core.planner = shardplan.New(shardplan.Config{Size: cfg.Size, ShardMachines: cfg.ShardMachines, TxnOps: cfg.TxnOps, ValueMax: core.cfg.ValueMax, Log: cfg.Log}, core.shardRecords, plannerHost{core})
	core.membership = membership.New(membership.Config{Node: cfg.Node, Size: cfg.Size, Release: peering.Release, TTL: cfg.LeaderTTL, UnvotedExpiry: core.extension(), MajorityExtension: min(core.extension(), shortFor*cfg.LeaderTTL), Log: cfg.Log, SkippedGuard: cfg.SkippedGuard}, membershipHost{core})
	core.rollback = rollback.New(rollbackHost{core}, cfg.Log)
	core.cancellations = cancellations.New(cancellations.Config{Peers: len(cfg.Peers)})
	core.peers = peering.NewDirectory(peering.Config{Node: cfg.Node, Peers: cfg.Peers, Log: cfg.Log})
	core.forwarder = peering.NewForwarder()
	core.config = configuration.New(configuration.Config{Node: cfg.Node, Initial: configuration.Content{Teams: cfg.Teams, Objectives: cfg.Objectives},
		Peers: cfg.Peers, MaxValueBytes: core.cfg.ValueMax, TxnOps: cfg.TxnOps, IsolatedStartLimit: core.extension() + units.Second, Log: cfg.Log}, configurationHost{core})
	core.zones = zones.New(zones.Config{Zones: cfg.Zones, Home: cfg.HomeZone, HeartbeatInterval: cfg.HeartbeatInterval, Log: cfg.Log})
	core.reachability = liveness.NewReachability(cfg.HeartbeatInterval, core.leaseBound())
	for i := range core.queues {
		core.queues[i] = &store.WriteQueue{MaxOps: cfg.TxnOps, MaxBytes: store.TxnBytes, MaxQueue: userWrites}
	}
	core.queues[ControlQueue].MaxQueue = controlWrites
	core.queues[ArchiveQueue].MaxQueue = 1
	core.setRates()
	return core
}

// Drain returns the effects since the last call.
func (c *Core) Drain() []Effect {
	c.pump()
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// pump sends what is due, in this order: transactions that are proven to be stored end; owned
// shards answer pending heartbeats, tell their standbys and queue what is to be stored; then
// transactions and reads of the state service go.
func (c *Core) pump() {
	c.concludeCommits()
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
			txn.Known = c.cache.HighestRevision()
			c.emit(Commit{QueueID(id), txn})
		}
	}
	c.cache.Pump(c.now)
	c.archive.Pump(c.now)
}

// guarded reports whether a check is made: all are, but for the one that a test leaves out.
func (c *Core) guarded(g guard.Guard) bool { return c.cfg.SkippedGuard != g }

// advance moves time on; time never goes back.
func (c *Core) advance(now units.Microseconds) { c.now = max(c.now, now) }

// Tick lets time pass. wall is the time of day.
func (c *Core) Tick(now, wall units.Microseconds) {
	c.advance(now)
	c.reachability.Tick(c.now)
	c.zones.Tick(c.now)
	c.wall = wall
	c.cache.Tick(c.now, wall)
	c.tickPeers()
	c.membership.Tick(c.now)
	c.tickLead()
	c.config.Tick(c.now, c.wall, c.election.Leads())
	c.tickTypes()
	c.peers.NoteOlderReleases(c.now)
	c.archive.Tick(c.now)
	for _, number := range sortedShards(c.owned) {
		if shard := c.owned[number]; shard != nil { // one shard's step may give up others
			c.tickShard(shard)
		}
	}
}

// Keys of the state service, see package keys.
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
	leaderKeyFirst   = keys.Leader
	termKey          = keys.Term
)

// Root is the prefix of every key that the service uses.
const Root = keys.Root
