package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/introspect"
	"shalestage.example/shalestage/internal/core/units"
)

// Statistics of a controller; see package introspect.
type (
	// Stats are the statistics of a controller.
	Stats = introspect.Stats
	// ShardStats are the statistics of an owned shard.
	ShardStats = introspect.ShardStats
	// PoolStats are the statistics of one kind of machine, ordinary or spot.
	PoolStats = introspect.PoolStats
)

// Stats answers a request for the current statistics.
func (c *Core) Stats(req RequestID) {
	archived := c.archive.Stats()
	stats := Stats{
		Member:       c.membership.ID() != 0,
		Leading:      c.election.Leads(),
		Full:         c.admission.MemoryFull(),
		KnownJobs:    c.jobs.Len(),
		Keys:         c.cache.Len(),
		FinishedJobs: archived.Finished,
		ArchivedIDs:  archived.ArchivedIDs,
		ArchiveReads: archived.Reads,
		ArchiveShed:  archived.Refused,
		ActiveJobs:   c.jobs.ActiveLen(),
		BlockedJobs:  c.jobs.BlockedLen(),
		Term:         c.election.Record().Term,
		Revision:     c.cache.Revision,
		StateAge:     c.now - c.cache.AsOf(),
		Heartbeats:   c.heartbeats,
		Zones:        c.zones.Stats(),
	}
	for _, queue := range c.queues {
		stats.Writes += queue.Len()
	}
	for _, number := range sortedShards(c.owned) {
		stats.Shards = append(stats.Shards, c.owned[number].stats(c.now))
	}
	c.reply(req, http.StatusOK, stats)
}

// stats returns the current statistics of a shard.
func (shard *ownedShard) stats(now units.Microseconds) ShardStats {
	stats := ShardStats{
		Shard:        shard.number,
		FencingToken: shard.fencingToken,
		OwnedFor:     now - shard.ownedSince,
		Started:      shard.attempts,
		Unreconciled: len(shard.reconciler.Unreconciled()),
		Standby:      shard.replication.Standby(),
	}
	stats.AddMachines(shard.reconciler.Machines())
	stats.AddJobs(shard.scheduler.Jobs())
	return stats
}

// Explain describes in a few lines why a job is in its current state, for operators' logs and for failed tests.
func (c *Core) Explain(id string) string {
	job := c.jobs.Get(id)
	if job == nil {
		return id + ": not known"
	}
	number := job.Record.Shard
	state := introspect.JobState{Now: c.now, Job: job}
	shard := c.owned[number]
	if shard == nil {
		state.Other = &introspect.RemoteShard{
			Assignment: c.shardRecords.Assignment(number),
			Leader:     c.election.Record().Node,
			Membership: c.membership.Describe(c.now),
			Cache:      c.cache.Describe(),
			Writes:     c.queues[ControlQueue].Len(),
		}
		return introspect.Explain(state)
	}
	state.Shard = &introspect.OwnedShard{
		Number:       number,
		FencingToken: shard.fencingToken,
		Allocation:   c.shardRecords.Allocation(number).Fraction,
		Releasing:    shard.releasing,
		Unreconciled: len(shard.reconciler.Unreconciled()),
		Provisioning: shard.provisioner.OpenRequests(),
		CloudReady:   shard.provisioner.Ready(c.now),
		Machines:     shard.reconciler.Machines(),
	}
	if spec := job.Spec(); spec != nil {
		state.Shard.Usage = shard.quota.Usage(spec.Team)
	}
	return introspect.Explain(state)
}

// StopReplication stops replication to the standbys of all owned shards. Replication starts again by itself.
func (c *Core) StopReplication(now units.Microseconds) {
	c.advance(now)
	for _, shard := range c.owned {
		shard.replication.RemoveStandby(c.now)
	}
}

// Standby returns the standby of an owned shard, or "" if there is none.
func (c *Core) Standby(number int) string {
	if shard := c.owned[number]; shard != nil {
		return shard.replication.Standby()
	}
	return ""
}

// Leads reports whether this node is the leader, which assigns shards to controllers.
func (c *Core) Leads() bool { return c.election.Leads() }

// Placed returns the number of tasks that may be running on an owned shard's machines.
func (c *Core) Placed(number int) int {
	count := 0
	if shard := c.owned[number]; shard != nil {
		for _, machine := range shard.reconciler.Machines() {
			count += len(machine.Tasks)
		}
	}
	return count
}

// Quarantined returns the number of quarantined machines in an owned shard.
func (c *Core) Quarantined(number int) int {
	count := 0
	if shard := c.owned[number]; shard != nil {
		for _, machine := range shard.reconciler.Machines() {
			if machine.Quarantined {
				count++
			}
		}
	}
	return count
}

// Unreconciled returns the number of machines in an owned shard on which tasks of earlier owners may still run.
func (c *Core) Unreconciled(number int) int {
	if shard := c.owned[number]; shard != nil {
		return len(shard.reconciler.Unreconciled())
	}
	return 0
}
