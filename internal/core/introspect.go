package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/introspect"
	"shalestage.example/shalestage/internal/core/units"
)

// Figures of a controller, see package introspect.
type (
	// Stats are those of the controller.
	Stats = introspect.Stats
	// ShardStats are those of a shard that it owns.
	ShardStats = introspect.ShardStats
	// PoolStats are those of the machines of one kind.
	PoolStats = introspect.PoolStats
)

// Stats answers a request for the present figures.
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
		Zones:        c.zones.Stats(),
	}
	for _, queue := range c.queues {
		stats.Writes += queue.Len()
	}
	for _, number := range sortedShards(c.owned) {
		stats.Shards = append(stats.Shards, c.owned[number].stats())
	}
	c.reply(req, http.StatusOK, stats)
}

// stats returns the present figures of a shard.
func (shard *ownedShard) stats() ShardStats {
	stats := ShardStats{
		Shard:        shard.number,
		Started:      shard.attempts,
		Unreconciled: len(shard.reconciler.Unreconciled()),
		Standby:      shard.replication.Standby(),
	}
	stats.AddMachines(shard.reconciler.Machines())
	stats.AddJobs(shard.scheduler.Jobs())
	return stats
}

// Explain says in a few lines why a job is where it is, for operators' logs
// and for failed tests.
func (c *Core) Explain(id string) string {
	job := c.jobs.Get(id)
	if job == nil {
		return id + ": not known"
	}
	number := job.Record.Shard
	state := introspect.JobState{Now: c.now, Job: job}
	shard := c.owned[number]
	if shard == nil {
		state.Other = &introspect.ElsewhereView{
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

// StopReplication has nobody stand by for the shards that this node owns, for a moment.
func (c *Core) StopReplication(now units.Microseconds) {
	c.advance(now)
	for _, shard := range c.owned {
		shard.replication.Stop(c.now)
	}
}

// Standby names who stands by for an owned shard.
func (c *Core) Standby(number int) string {
	if shard := c.owned[number]; shard != nil {
		return shard.replication.Standby()
	}
	return ""
}

// Leads reports whether this node assigns shards to the controllers.
func (c *Core) Leads() bool { return c.election.Leads() }

// Placed counts the tasks that may be running on an owned shard's machines.
func (c *Core) Placed(number int) int {
	count := 0
	if shard := c.owned[number]; shard != nil {
		for _, machine := range shard.reconciler.Machines() {
			count += len(machine.Tasks)
		}
	}
	return count
}

// Quarantined counts the machines of an owned shard that are quarantined.
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

// Unreconciled counts the machines of an owned shard on which earlier owners'
// tasks may run.
func (c *Core) Unreconciled(number int) int {
	if shard := c.owned[number]; shard != nil {
		return len(shard.reconciler.Unreconciled())
	}
	return 0
}
