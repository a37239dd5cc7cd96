package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/zones"
)

// Stats is what an operator may want to watch of a controller.
type Stats struct {
	Member       bool
	Leading      bool
	Full         bool   // memory is nearly full
	KnownJobs    int    // in memory, final ones included
	Keys         int    // in the copy
	FinishedJobs int    // jobs that are over and not packed
	ArchivedIDs  int    // packed jobs that the filter holds
	ArchiveReads uint64 // buckets read since the start
	ArchiveShed  uint64 // look-ups refused since the start
	ActiveJobs   int    // of all blocks
	BlockedJobs  int    // of those, the ones that wait for others to be done
	Writes       int    // that wait for the state service
	Zones        []zones.ZoneStats
	Shards       []ShardStats
}

// ShardStats tells of a block that the controller holds.
type ShardStats struct {
	Shard          int
	Jobs           int
	Waiting        int    // tasks
	Placed         int    // tasks
	Started        uint64 // tasks, since this controller has held it
	Unreconciled   int    // machines
	Standby        string // who knows all that is started here; "": nobody
	Ordinary, Spot PoolStats
}

// PoolStats tells of the machines of one kind.
type PoolStats struct {
	Machines, Booting, Idle int
	UsedCPUs, CPUs          int64
}

// Stats answers a request for the present figures.
func (c *Core) Stats(req RequestID) {
	s := Stats{Member: c.membership.ID() != 0, Leading: c.election.Leads(), Full: c.admission.MemoryFull(), KnownJobs: c.jobs.Len(), ActiveJobs: c.jobs.ActiveLen(), BlockedJobs: c.jobs.Blocked()}
	archived := c.archive.Stats()
	s.Keys, s.FinishedJobs, s.ArchivedIDs, s.ArchiveReads, s.ArchiveShed = c.cache.Keys(), archived.Finished, archived.ArchivedIDs, archived.Reads, archived.Refused
	s.Zones = c.zones.Stats()
	for _, l := range c.queues {
		s.Writes += l.Len()
	}
	for _, k := range sortedShards(c.owned) {
		s.Shards = append(s.Shards, c.owned[k].shardStats())
	}
	c.reply(req, http.StatusOK, s)
}

func (shard *ownedShard) shardStats() ShardStats {
	s := ShardStats{Shard: shard.number, Jobs: len(shard.scheduler.Jobs()), Unreconciled: len(shard.reconciler.Unreconciled()), Started: shard.attempts, Standby: shard.replication.Standby()}
	for _, m := range shard.reconciler.Machines() {
		p := &s.Ordinary
		if m.Record.Spot {
			p = &s.Spot
		}
		p.Machines++
		if m.LastSeen == 0 {
			p.Booting++
		} else if len(m.Tasks) == 0 {
			p.Idle++
		}
		if m.Type != nil {
			p.CPUs += m.Type.Capacity[binpack.CPU] / 1000
			p.UsedCPUs += m.Used()[binpack.CPU] / 1000
		}
	}
	for _, j := range shard.scheduler.Jobs() {
		s.Waiting += j.Ready()
		s.Placed += j.Placed()
	}
	return s
}

// logFleet tells an operator what there is and what it does.
func (c *Core) logFleet(shard *ownedShard) {
	s := shard.shardStats()
	for _, p := range []struct {
		kind string
		PoolStats
	}{{"ordinary", s.Ordinary}, {"spot", s.Spot}} {
		c.log.Info("fleet", "kind", p.kind, "machines", p.Machines, "booting", p.Booting, "idle", p.Idle, "cpus_used", p.UsedCPUs, "cpus", p.CPUs)
	}
	c.log.Info("work", "jobs", s.Jobs, "tasks_waiting", s.Waiting, "tasks_placed", s.Placed)
}
