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

// ownedShard is a shard that this controller owns: its machines, the jobs that run on
// them, and its allocation of the teams' quotas.
type ownedShard struct {
	number       int
	assignment   uint64 // version of the assignment record; every write is conditional on it
	fencingToken uint64
	ready        bool // the shard's state is loaded, so that heartbeats can be answered
	releasing    bool // heartbeats are no longer answered
	// unreached is stored with the release, see authority.Assignment.
	unreached  []string
	ownedSince units.Microseconds
	attempts   uint64

	writer *shardstore.Writer // stores the shard's changes

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

// acquireShard makes this controller the owner of a shard. Heartbeats are answered once a read that began
// after the assignment was stored has returned everything that earlier owners stored.
func (c *Core) acquireShard(number int, assignment shardplan.Assignment) {
	shard := &ownedShard{
		number:       number,
		assignment:   assignment.Version,
		fencingToken: authority.FencingToken(assignment.Term, assignment.Number),
		ownedSince:   c.now,
		active:       map[string]*jobs.Job{},
		demand:       demand.New(c.cfg.Objectives, c.cfg.SequentialFraction),
	}
	c.createScheduling(shard)
	c.createFleet(shard)
	shard.writer = c.newShardWriter(shard)
	shard.replication = replication.NewPrimary(number, shard.fencingToken, replicationHost{c, shard})
	c.owned[number] = shard
	c.reachability.ShardAcquired()
	c.zones.ShardAcquired()
	c.log.Info("shard owned", "shard", number, "token", shard.fencingToken)
	c.setRates()
	c.loadShard(shard)
}

// createScheduling creates what decides which tasks run on a shard's machines.
func (c *Core) createScheduling(shard *ownedShard) {
	shard.quota = quota.New(quotaHost{c, shard})
	shard.reconciler = reconcile.New(reconcile.Config{
		Shard:        shard.number,
		FencingToken: shard.fencingToken,
		OwnedSince:   c.now,
		Counters:     &c.heartbeats,
		Log:          c.log,
	}, reconcileHost{c, shard}, shard.quota)
	shard.scheduler = scheduler.New(scheduler.Config{
		Shard:             shard.number,
		Packing:           c.cfg.Pack,
		HeartbeatDeadline: liveness.HeartbeatDeadline(c.cfg.HeartbeatInterval),
		Log:               c.log,
		SkippedGuard:      c.cfg.SkippedGuard,
	}, schedulerHost{c, shard}, shard.quota, shard.demand, c.zones)
	shard.attribution = quarantine.New(schedulerHost{c, shard}, c.log)
}

// createFleet creates what provisions a shard's machines and detects those that are lost.
func (c *Core) createFleet(shard *ownedShard) {
	shard.provisioner = provisioner.New(provisioner.Config{
		Shard:             shard.number,
		FencingToken:      shard.fencingToken,
		OwnedSince:        c.now,
		ListLag:           c.cfg.ListLag,
		AdoptAfter:        reconcile.AdoptAfter,
		Lease:             c.leaseBound(),
		HeartbeatInterval: c.cfg.HeartbeatInterval,
		Scale:             c.cfg.Scale,
		Log:               c.log,
	}, provisionerHost{c, shard}, c.zones)
	shard.liveness = liveness.New(liveness.Config{
		HeartbeatInterval: c.cfg.HeartbeatInterval,
		OwnedSince:        c.now,
		Zones:             c.cfg.Zones,
		Log:               c.log,
	}, livenessHost{c, shard}, shard.provisioner, c.zones)
}

// loadShard reads the shard's stored state and takes the shard over. It retries until a read succeeds.
func (c *Core) loadShard(shard *ownedShard) {
	c.readFresh(func(ok bool) {
		switch {
		case c.owned[shard.number] != shard: // released or lost in the meantime
		case ok:
			c.takeOver(shard)
		default:
			c.loadShard(shard)
		}
	})
}

// takeOver adds the stored machines and jobs to a shard and restores the last owner's
// snapshot or replicated state. From then on heartbeats are answered.
func (c *Core) takeOver(shard *ownedShard) {
	snapshot := c.transfers.TakeSnapshot(shard.number, c.shardRecords.Assignment(shard.number).Assignment)
	for _, key := range sortedKeys(c.machineGroups) {
		if group := c.machineGroups[key]; group.Shard == shard.number {
			c.inheritGroup(shard, key, group, snapshot)
		}
	}
	c.inheritJobs(shard)
	restored := snapshot.Restore(transferHost{c, shard})
	shard.ready = true
	c.log.Info("shard ready", "shard", shard.number, "jobs", len(shard.active), "machines", len(shard.reconciler.Machines()), "restored", restored, "replicated", snapshot.Complete(),
		"token", shard.fencingToken, "revision", c.cache.Revision, "read_age_s", (c.now - c.cache.AsOf()).Seconds())
}

// inheritGroup adds the machines of a stored group to a shard. The snapshot says for
// which of them the last owner's state is known.
func (c *Core) inheritGroup(shard *ownedShard, key string, group fleet.Group, snapshot *transfer.Snapshot) {
	// An owner that treated the machines as new would keep idle ones for their minimum billing period again.
	age := units.Microseconds(0)
	if group.ProvisionedAt > 0 {
		age = max(0, c.wall-group.ProvisionedAt)
	}
	for _, name := range group.Up {
		machine := c.newMachine(shard, name, key, group.Record(true), age)
		// An earlier owner may have started tasks on the machine, and the machine may have accepted that
		// owner's last heartbeat response just before this assignment.
		shard.reconciler.Inherit(c.now, machine, snapshot.Covers(name, key))
	}
	for _, name := range group.Booting {
		c.newMachine(shard, name, key, group.Record(false), age)
	}
}

// inheritJobs adds a shard's active jobs that have no open dependencies.
func (c *Core) inheritJobs(shard *ownedShard) {
	for _, job := range c.jobs.ActiveByID() {
		if job.Record.Shard == shard.number && job.OpenDependencies == 0 {
			job.Reset()
			shard.addJob(job)
			// Only the last owner knew whether any of the job's tasks were started.
			job.SetUnreconciled(len(shard.reconciler.Unreconciled()) > 0)
		}
	}
}

// releaseShard gives up a shard while this node's membership is still valid, so that
// the leader can assign the shard to another controller. From now on no heartbeat of
// the shard is answered, whether or not the release is stored soon.
func (c *Core) releaseShard(shard *ownedShard, why string) {
	if shard.releasing {
		return
	}
	c.log.Warn("releasing a shard", "shard", shard.number, "why", why, "unreached", shard.unreached)
	shard.releasing = true
	shard.replication.Close(c.now)
	c.sendSnapshot(shard)
	c.storeRelease(shard)
}

// storeRelease stores that this controller has released a shard, unless the assignment has changed since.
func (c *Core) storeRelease(shard *ownedShard) {
	current := c.shardRecords.Assignment(shard.number)
	if current.Version != shard.assignment {
		return
	}
	released := authority.Assignment{Term: current.Term, Number: current.Number, ReleasedBy: c.cfg.Node, Unreached: shard.unreached}
	shard.writer.StoreRelease(store.Change{Key: keys.Assignment(shard.number), Value: store.Value(released)})
}

// leaseBound is the time after which the tasks of a machine that gets no heartbeat response are certain to have
// stopped: the lease, allowing for clock drift, plus 200 ms.
func (c *Core) leaseBound() units.Microseconds {
	return units.MaxWithDrift(c.cfg.Lease) + units.Second/5
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Owns reports whether this controller may answer the heartbeats of a shard's machines at the given time.
func (c *Core) Owns(now units.Microseconds, number int) bool {
	shard := c.owned[number]
	return shard != nil && shard.ready && !shard.releasing && now < c.ValidUntil()
}

func (shard *ownedShard) addJob(job *jobs.Job) {
	if shard.active[job.ID] == job {
		return
	}
	if old := shard.active[job.ID]; old != nil {
		shard.scheduler.Remove(old)
	}
	shard.active[job.ID] = job
	shard.scheduler.Add(job)
}

// jobFinished removes a job that is done or cancelled. Its tasks on machines keep counting against the team's
// quota until the machines' heartbeats no longer list them.
func (shard *ownedShard) jobFinished(c *Core, job *jobs.Job, status jobs.Status) {
	shard.dropJob(job)
	spec := job.Spec()
	c.log.Info("job finished", "job", job.ID, "status", status, "class", spec.Class, "tasks", spec.Tasks,
		"took_s", (c.wall - job.Since).Seconds(), "waited_s", (job.Since - job.Record.Submitted).Seconds(), "deadline_s", spec.Deadline.Seconds())
}

// dropJob removes a job that has finished or moved to another shard.
func (shard *ownedShard) dropJob(job *jobs.Job) {
	shard.scheduler.Remove(cmp.Or(shard.active[job.ID], job))
	delete(shard.active, job.ID)
}

// tickShard does an owner's periodic work.
func (c *Core) tickShard(shard *ownedShard) {
	if shard.releasing {
		if shard.reconciler.PendingOverdue(c.now) {
			c.redirectPending(shard) // the release is taking too long
		}
		c.storeRelease(shard)
		return
	}
	if c.retiringSince != 0 {
		c.releaseShard(shard, "this controller is about to end")
		return
	}
	if !c.Owns(c.now, shard.number) {
		return
	}
	if authority.AttemptsUsedUp(shard.attempts) { // after some 16.8 million starts; the next assignment has its own numbers
		c.releaseShard(shard, "the attempt numbers of its assignment are used up")
		return
	}
	if c.unreachable(shard) {
		c.releaseUnreached()
		return
	}
	if shard.scheduler.Tick() {
		for _, job := range shard.scheduler.Jobs() {
			if job.AllFinished() && c.guardEnabled(guard.CompleteAfterFailover) {
				// This is checked regularly and not only when the last task finishes: an earlier owner may
				// have stored that task and failed before it could store the job as finished.
				shard.writer.CloseJob(job)
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

// releaseUnreached releases all shards because no worker reaches this controller.
func (c *Core) releaseUnreached() {
	c.reachability.ShardsReleased(c.now)
	for _, number := range sortedShards(c.owned) {
		shard := c.owned[number]
		if !shard.releasing {
			shard.unreached = c.unreachedOwners(number)
		}
		c.releaseShard(shard, "no worker can reach this node")
	}
}

// setRates sets this controller's share of the request budgets of the state service
// and the cloud, by the share of open shards that it owns.
func (c *Core) setRates() {
	open, owned := 0, 0
	for _, k := range c.shardRecords.Open() {
		open++
		if c.owned[k] != nil {
			owned++
		}
	}
	fraction := 1.0
	if open > 0 {
		fraction = max(float64(owned), 0.5) / float64(max(open, owned))
	}
	// Submissions come in bursts that seldom coincide with the owners' changes, so the
	// rates of the queues may add up to more than the budget.
	c.queues[UserQueue].Rate = c.cfg.WriteRate / float64(2*c.cfg.Size)
	c.queues[ControlQueue].Rate = c.cfg.WriteRate * 0.8 * fraction
	c.queues[ArchiveQueue].Rate = c.cfg.WriteRate * archive.WriteShare
	if fraction != c.cloudFraction {
		c.cloudFraction = fraction
		c.emit(CloudBudget{fraction})
	}
}
