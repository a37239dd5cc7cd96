package core

import (
	"cmp"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/quarantine"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/scheduler"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/shardstore"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
	"shalestage.example/shalestage/internal/core/units"
)

// ownedShard is what a controller knows and does while it owns a shard: machines,
// the jobs that run on them, and an allocation of the teams' quotas.
type ownedShard struct {
	number       int
	assignment   uint64 // version of the shard's record; guards every write
	fencingToken uint64
	ready        bool // enough is known to answer heartbeats
	releasing    bool // nothing is answered any more
	ownedSince   units.Microseconds
	attempts     uint64

	writer *shardstore.Writer // what is to be stored of it

	active      map[string]*jobs.Job
	reconciler  *reconcile.Reconciler
	quota       *quota.Tracker
	scheduler   *scheduler.Scheduler
	attribution *quarantine.Attribution

	demand          *demand.Estimator
	provisioner     *provisioner.Provisioner
	liveness        *liveness.Detector
	replication     *replication.Primary
	nextSweepAt     units.Microseconds
	nextMigrationAt units.Microseconds
	nextLogAt       units.Microseconds
}

func sortedShards(m map[int]*ownedShard) []int { return slices.Sorted(maps.Keys(m)) }

// own begins to own a shard. Heartbeats are answered once a read that began
// after the assignment was stored has shown everything that earlier owners stored.
func (c *Core) own(k int, g shardplan.Assignment) {
	shard := &ownedShard{number: k, assignment: g.Version, fencingToken: authority.FencingToken(g.Term, g.Number), ownedSince: c.now, active: map[string]*jobs.Job{},
		demand: demand.New(c.cfg.Objectives, c.cfg.SequentialFraction)}
	shard.quota = quota.New(quotaHost{c, shard})
	shard.reconciler = reconcile.New(reconcile.Config{Shard: k, FencingToken: shard.fencingToken, OwnedSince: c.now, Log: c.log}, reconcileHost{c, shard}, shard.quota)
	shard.scheduler = scheduler.New(scheduler.Config{Shard: k, Packing: c.cfg.Pack, HeartbeatDeadline: liveness.HeartbeatDeadline(c.cfg.HeartbeatInterval),
		Log: c.log, SkippedGuard: c.cfg.SkippedGuard}, schedulerHost{c, shard}, shard.quota, shard.demand, c.zones)
	shard.attribution = quarantine.New(schedulerHost{c, shard}, c.log)
	shard.provisioner = provisioner.New(provisioner.Config{Shard: k, FencingToken: shard.fencingToken, OwnedSince: c.now, ListLag: c.cfg.ListLag, AdoptAfter: reconcile.AdoptAfter, Lease: c.leaseBound(), HeartbeatInterval: c.cfg.HeartbeatInterval, Scale: c.cfg.Scale, Log: c.log}, provisionerHost{c, shard}, c.zones)
	shard.liveness = liveness.New(liveness.Config{HeartbeatInterval: c.cfg.HeartbeatInterval, OwnedSince: c.now, Zones: c.cfg.Zones, Log: c.log}, livenessHost{c, shard}, shard.provisioner, c.zones)
	shard.writer = c.newShardWriter(shard)
	shard.replication = replication.NewPrimary(k, shard.fencingToken, replicationHost{c, shard})
	c.owned[k] = shard
	c.reachability.ShardAcquired()
	c.zones.ShardAcquired()
	c.log.Info("shard owned", "shard", k, "token", shard.fencingToken)
	c.setRates()
	c.rebuild(shard)
}

// rebuild reads what a shard has, until that works.
func (c *Core) rebuild(shard *ownedShard) {
	c.readFresh(func(ok bool) {
		switch {
		case c.owned[shard.number] != shard: // released or lost meanwhile
		case ok:
			c.takeOver(shard)
		default:
			c.rebuild(shard)
		}
	})
}

// takeOver takes in the machines and jobs of a shard, and what its last owner knew. From then on
// heartbeats are answered.
func (c *Core) takeOver(shard *ownedShard) {
	snapshot := c.transfers.Take(shard.number, c.shardRecords.Assignment(shard.number).Assignment)
	for _, key := range sortedKeys(c.machineGroups) {
		if group := c.machineGroups[key]; group.Shard == shard.number {
			c.inheritGroup(shard, key, group, snapshot)
		}
	}
	c.inheritJobs(shard)
	restored := snapshot.Restore(transferHost{c, shard})
	shard.ready = true
	c.log.Info("shard ready", "shard", shard.number, "jobs", len(shard.active), "machines", len(shard.reconciler.Machines()), "restored", restored, "replicated", snapshot.Complete())
}

// inheritGroup takes in stored machines.
func (c *Core) inheritGroup(shard *ownedShard, key string, group fleet.Group, snapshot *transfer.Snapshot) {
	// An owner that took them for new would keep idle ones for their least charge once more.
	age := units.Microseconds(0)
	if group.ProvisionedAt > 0 {
		age = max(0, c.wall-group.ProvisionedAt)
	}
	for _, name := range group.Up {
		machine := c.newMachine(shard, name, key, group.Record(true), age)
		// An earlier owner may have started tasks there, and its last answer may have been
		// accepted just before this assignment.
		shard.reconciler.Inherit(c.now, machine, snapshot.Covers(name, key))
	}
	for _, name := range group.Booting {
		c.newMachine(shard, name, key, group.Record(false), age)
	}
}

// inheritJobs takes in the active jobs of a shard that wait for no others.
func (c *Core) inheritJobs(shard *ownedShard) {
	for _, job := range c.jobs.ActiveByID() {
		if job.Record.Shard == shard.number && job.OpenDependencies == 0 {
			job.Reset()
			shard.addJob(job)
			// Whether any of its tasks were ever started only the last owner knew.
			job.SetUnreconciled(len(shard.reconciler.Unreconciled()) > 0)
		}
	}
}

// release gives a shard up while this node's membership stands, so that the leader
// can assign it to another. Nothing is answered from now on, whether or not the
// release gets stored soon.
func (c *Core) release(shard *ownedShard, why string) {
	if shard.releasing {
		return
	}
	c.log.Warn("releasing a shard", "shard", shard.number, "why", why)
	shard.releasing = true
	shard.replication.Close(c.now)
	c.sendSnapshot(shard)
	c.storeRelease(shard)
}

func (c *Core) storeRelease(shard *ownedShard) {
	current := c.shardRecords.Assignment(shard.number)
	if current.Version != shard.assignment {
		return
	}
	released := authority.Assignment{Term: current.Term, Number: current.Number, ReleasedBy: c.cfg.Node}
	shard.writer.StoreRelease(store.Change{Key: keys.Assignment(shard.number), Value: store.Value(released)})
}

// leaseBound is the time after which tasks of a machine that gets no answer
// are surely gone.
func (c *Core) leaseBound() units.Microseconds {
	return units.MaxWithDrift(c.cfg.Lease) + units.Second/5
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Owns reports whether this controller may answer workers of a shard at present.
func (c *Core) Owns(now units.Microseconds, k int) bool {
	shard := c.owned[k]
	return shard != nil && shard.ready && !shard.releasing && now < c.ValidUntil()
}

func (shard *ownedShard) addJob(j *jobs.Job) {
	if shard.active[j.ID] == j {
		return
	}
	if old := shard.active[j.ID]; old != nil {
		shard.scheduler.Remove(old)
	}
	shard.active[j.ID] = j
	shard.scheduler.Add(j)
}

// jobOver forgets a job that is done or cancelled. Its tasks on machines keep
// counting against the team until the machines' heartbeats no longer show them.
func (shard *ownedShard) jobOver(c *Core, j *jobs.Job, s jobs.Status) {
	shard.dropJob(j)
	spec := j.Spec()
	c.log.Info("job over", "job", j.ID, "status", s, "class", spec.Class, "tasks", spec.Tasks,
		"took_s", (c.wall - j.Since).Seconds(), "waited_s", (j.Since - j.Record.Submitted).Seconds(), "deadline_s", spec.Deadline.Seconds())
}

// dropJob forgets a job that is over or another shard's now.
func (shard *ownedShard) dropJob(j *jobs.Job) {
	shard.scheduler.Remove(cmp.Or(shard.active[j.ID], j))
	delete(shard.active, j.ID)
}

// tickShard does what an owner does as time passes.
func (c *Core) tickShard(shard *ownedShard) {
	if shard.releasing {
		if shard.reconciler.PendingOverdue(c.now) {
			c.redirectPending(shard) // it takes longer than it should
		}
		c.storeRelease(shard)
		return
	}
	if c.retiringSince != 0 {
		c.release(shard, "this controller is about to end")
		return
	}
	if !c.Owns(c.now, shard.number) {
		return
	}
	if authority.AttemptsUsedUp(shard.attempts) { // after some 16.8 million starts; the next assignment has numbers of its own
		c.release(shard, "the attempt numbers of its assignment are used up")
		return
	}
	if c.unreachable(shard) {
		c.reachability.ShardsReleased(c.now)
		for _, k := range sortedShards(c.owned) {
			c.release(c.owned[k], "no worker can reach this node")
		}
		return
	}
	if shard.scheduler.Tick() {
		for _, j := range shard.scheduler.Jobs() {
			if j.AllFinished() && c.guarded(guard.CompleteAfterFailover) {
				// Not only when its last task ends: an earlier owner may have
				// stored that and ended before it could store the job's end.
				shard.writer.CloseJob(j)
			}
		}
	}
	if c.now >= shard.nextSweepAt {
		shard.nextSweepAt = c.now + units.Second/4
		shard.liveness.Sweep(c.now)
	}
	if c.now >= shard.nextMigrationAt {
		shard.nextMigrationAt = c.now + units.Second/2
		if len(shard.reconciler.Unreconciled()) == 0 {
			c.planner.Migrate(c.now, migratingShard{c, shard}, shard.scheduler.Jobs())
		}
	}
	shard.reconciler.SendProbes(c.now)
	c.tickCloud(shard)
}

// setRates divides the budgets of the outside services by the open shards that
// this controller owns.
func (c *Core) setRates() {
	open, mine := 0, 0
	for _, k := range c.shardRecords.Open() {
		open++
		if c.owned[k] != nil {
			mine++
		}
	}
	part := 1.0
	if open > 0 {
		part = max(float64(mine), 0.5) / float64(max(open, mine))
	}
	// Submissions come in bursts that seldom meet the owners' changes: together
	// the queues may ask for more than the budget.
	c.queues[UserQueue].Rate = c.cfg.WriteRate / float64(2*c.cfg.Size)
	c.queues[ControlQueue].Rate = c.cfg.WriteRate * 0.8 * part
	c.queues[ArchiveQueue].Rate = c.cfg.WriteRate * archive.WriteShare
	if part != c.cloudPart {
		c.cloudPart = part
		c.emit(CloudBudget{part})
	}
}
