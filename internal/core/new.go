package core

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/membership"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/rollback"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
	"shalestage.example/shalestage/internal/core/zones"
)

// New returns a Core that has not received any event yet.
func New(cfg Config) *Core {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.ValueMax == 0 {
		cfg.ValueMax = int(cfg.ValueKB * 1024)
	}
	core := &Core{
		cfg:           cfg,
		log:           cfg.Log,
		teams:         map[string]*Team{},
		types:         map[string]*fleet.Type{},
		shardRecords:  shardplan.NewRecords(),
		machineGroups: map[string]fleet.Group{},
		machineShard:  map[string]int{},
		transfers:     transfer.NewReceiver(cfg.Node, cfg.ProcessID),
		owned:         map[int]*ownedShard{},
	}
	for i := range cfg.Teams {
		core.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	core.createJobs()
	core.createState()
	core.createMembership()
	core.createPeers()
	core.createQueues()
	core.setRates()
	return core
}

// progressLayout returns the layout of stored progress records.
func (c *Core) progressLayout() jobs.ProgressLayout {
	layout := jobs.ProgressLayout{TasksPerRecord: jobs.TasksPerRecord(c.cfg.ValueKB)}
	layout.Pieces = jobs.TasksPerRecord(float64(c.cfg.ValueMax)/1024) < layout.TasksPerRecord
	return layout
}

// createJobs creates what keeps jobs, accepts them and archives them.
func (c *Core) createJobs() {
	layout := c.progressLayout()
	c.jobs = registry.New(registry.Config{
		Layout:    layout,
		TxnOps:    c.cfg.TxnOps,
		OrphanAge: c.cfg.ArchiveSettleTime,
		Log:       c.log,
	}, jobsHost{c})
	c.admission = admission.New(admission.Config{
		ValueMax:     c.cfg.ValueMax,
		TxnOps:       c.cfg.TxnOps,
		SkippedGuard: c.cfg.SkippedGuard,
		Log:          c.log,
	}, admissionHost{c})
	c.archive = archive.NewManager(archive.Config{
		Node:          c.cfg.Node,
		Release:       peering.ReleaseArchive,
		KeepFinished:  c.cfg.KeepFinished,
		MinAge:        2*c.leaseBound() + c.cfg.CancelWithin,
		MaxValueBytes: c.cfg.ValueMax,
		TxnOps:        c.cfg.TxnOps,
		Layout:        layout,
		Log:           c.log,
	}, archiveHost{c})
	c.cancellations = cancellations.New(cancellations.Config{Peers: len(c.cfg.Peers)})
}

// createState creates what reads the state service and recovers from its rollback.
func (c *Core) createState() {
	c.cache = watchcache.New(watchcache.Config{
		Controllers:  c.cfg.Size,
		Rate:         c.cfg.StateRate,
		NextRate:     c.cfg.NextStateRate,
		MaxStaleness: min(maxCacheAge, c.cancellationGrace()/4),
		Log:          c.log,
	}, cacheHost{c})
	c.rollback = rollback.New(rollbackHost{c}, c.log)
}

// createMembership creates what decides who leads and who owns which shard.
func (c *Core) createMembership() {
	grace := c.cancellationGrace()
	c.membership = membership.New(membership.Config{
		Node:              c.cfg.Node,
		Size:              c.cfg.Size,
		Release:           peering.Release,
		TTL:               c.cfg.LeaderTTL,
		UnvotedExpiry:     grace,
		MajorityExtension: min(grace, majorityExtensionTTLs*c.cfg.LeaderTTL),
		Log:               c.log,
		SkippedGuard:      c.cfg.SkippedGuard,
	}, membershipHost{c})
	c.election = election.New(election.Config{Node: c.cfg.Node, Log: c.log}, electionHost{c})
	c.planner = shardplan.New(shardplan.Config{
		Size:          c.cfg.Size,
		ShardMachines: c.cfg.ShardMachines,
		TxnOps:        c.cfg.TxnOps,
		ValueMax:      c.cfg.ValueMax,
		Log:           c.log,
	}, c.shardRecords, plannerHost{c})
}

// createPeers creates what depends on the other controllers, on zones and on workers that reach this one.
func (c *Core) createPeers() {
	c.peers = peering.NewDirectory(peering.Config{Node: c.cfg.Node, Peers: c.cfg.Peers, Log: c.log})
	c.forwarder = peering.NewForwarder(c.cfg.ProcessID, c.cfg.SkippedGuard)
	c.config = configuration.New(configuration.Config{
		Node:               c.cfg.Node,
		Initial:            configuration.Content{Teams: c.cfg.Teams, Objectives: c.cfg.Objectives},
		Peers:              c.cfg.Peers,
		MaxValueBytes:      c.cfg.ValueMax,
		TxnOps:             c.cfg.TxnOps,
		IsolatedStartLimit: c.cancellationGrace() + units.Second,
		Log:                c.log,
	}, configurationHost{c})
	c.zones = zones.New(zones.Config{
		Zones:             c.cfg.Zones,
		Home:              c.cfg.HomeZone,
		HeartbeatInterval: c.cfg.HeartbeatInterval,
		Log:               c.log,
	})
	c.reachability = liveness.NewReachability(c.cfg.HeartbeatInterval)
	c.newestHeartbeats = liveness.NewestHeartbeats{}
	c.redirectedAt = map[int]units.Microseconds{}
}

// createQueues creates the queues of transactions.
func (c *Core) createQueues() {
	for i := range c.queues {
		c.queues[i] = &store.WriteQueue{MaxOps: c.cfg.TxnOps, MaxBytes: store.MaxTxnBytes, MaxQueue: maxUserWrites}
	}
	c.queues[ControlQueue].MaxQueue = maxControlWrites
	c.queues[ArchiveQueue].MaxQueue = 1
}
