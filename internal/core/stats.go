package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/zones"
)

// Stats is what an operator may want to watch of a controller.
type Stats struct {
	Seated     bool
	Leading    bool
	Full       bool   // memory is nearly full
	KnownJobs  int    // in memory, final ones included
	Keys       int    // in the copy
	KeptDone   int    // jobs that are over and not packed
	PackedIDs  int    // packed jobs that the filter holds
	Looked     uint64 // buckets read since the start
	Shed       uint64 // look-ups refused since the start
	ActiveJobs int    // of all blocks
	AwaitJobs  int    // of those, the ones that wait for others to be done
	Writes     int    // that wait for the state service
	Zones      []zones.View
	Blocks     []BlockStats
}

// BlockStats tells of a block that the controller holds.
type BlockStats struct {
	Block          int
	Jobs           int
	Waiting        int    // tasks
	Placed         int    // tasks
	Started        uint64 // tasks, since this controller has held it
	Unaccounted    int    // machines
	Follower       string // who knows all that is started here; "": nobody
	Ordinary, Spot PoolStats
}

// PoolStats tells of the machines of one kind.
type PoolStats struct {
	Machines, Booting, Idle int
	UsedCPUs, CPUs          int64
}

// Stats answers a request for the present figures.
func (c *Core) Stats(req ReqID) {
	s := Stats{Seated: c.seats.ID() != 0, Leading: c.leader != nil, Full: c.full, KnownJobs: len(c.jobs), ActiveJobs: len(c.active), AwaitJobs: c.graph.Waiting()}
	s.Keys, s.KeptDone, s.Looked, s.Shed = c.mirror.Keys(), c.old.packer.Len(), c.old.past.Looked, c.old.past.Shed
	_, s.PackedIDs = c.old.past.Whole()
	s.Zones = c.zones.Views()
	for _, l := range c.lanes {
		s.Writes += l.Len()
	}
	for _, k := range sortedBlocks(c.held) {
		s.Blocks = append(s.Blocks, c.held[k].stats())
	}
	c.reply(req, http.StatusOK, s)
}

func (bl *block) stats() BlockStats {
	s := BlockStats{Block: bl.n, Jobs: len(bl.queue.Jobs()), Unaccounted: len(bl.unaccounted), Started: bl.attempts, Follower: bl.follow.Follower()}
	for _, m := range bl.machines {
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
			p.CPUs += m.Type.Capacity[pack.CPU] / 1000
			p.UsedCPUs += m.Used()[pack.CPU] / 1000
		}
	}
	for _, j := range bl.queue.Jobs() {
		s.Waiting += j.Ready()
		s.Placed += j.Placed()
	}
	return s
}

// logFleet tells an operator what there is and what it does.
func (c *Core) logFleet(bl *block) {
	s := bl.stats()
	for _, p := range []struct {
		kind string
		PoolStats
	}{{"ordinary", s.Ordinary}, {"spot", s.Spot}} {
		c.log.Info("fleet", "kind", p.kind, "machines", p.Machines, "booting", p.Booting, "idle", p.Idle, "cpus_used", p.UsedCPUs, "cpus", p.CPUs)
	}
	c.log.Info("work", "jobs", s.Jobs, "tasks_waiting", s.Waiting, "tasks_placed", s.Placed)
}
