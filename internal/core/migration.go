package core

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
)

const (
	// movesAtOnce bounds the jobs that are moved to other blocks in a round.
	movesAtOnce = 8
	// unevenBy is how much more work for its room a block must have than another
	// before jobs move.
	unevenBy = 1.3
)

// migrateJobs gives jobs of which nothing is placed to a block that has less work
// for its room. Such a job runs on none of this block's machines, and on no
// other's: so another holder may start it, once that is stored.
func (c *Core) migrateJobs(shard *ownedShard) {
	if len(shard.unreconciled) > 0 {
		return
	}
	c.measureLoads()
	to := c.leastLoaded()
	if to == shard.number || to >= len(c.shardLoads) || shard.number >= len(c.shardLoads) {
		return
	}
	closed := c.allocations[shard.number].fraction < 1e-9
	moved := 0
	ordered := shard.scheduler.Jobs()
	for i := len(ordered) - 1; i >= 0 && moved < movesAtOnce; i-- {
		j := ordered[i]
		// The order may be from before a job went to another block: moved once more
		// from here, under this grant, it could be running there.
		if j.Record.Shard != shard.number || !j.Active() || j.Migrating || !j.Migratable() {
			continue
		}
		w := workOf(j)
		from, into := c.shardLoads[shard.number], c.shardLoads[to]
		into.work += w
		if !closed && c.weight(from) < unevenBy*c.weight(into) || len(j.Record.Encode()) > c.cfg.ValueMax {
			continue
		}
		moved++
		c.shardLoads[shard.number].work -= w
		c.shardLoads[to].work += w
		c.migrateJob(shard, j, to)
	}
}

// migrateJob stores that a job belongs to another block. Until the outcome is
// certain the job is neither started here nor is the try given up: a
// transaction that comes late would move a job that runs.
func (c *Core) migrateJob(shard *ownedShard, j *jobs.Job, to int) {
	j.Migrating = true
	key := jobPrefix + j.ID
	rec := j.Record
	rec.Shard = to
	value := rec.Encode()
	c.queues[ControlQueue].Add(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: j.Version}, {Key: assignmentKey(shard.number), Version: shard.assignment}},
		Changes: []store.Change{{Key: key, Value: value}},
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || c.owned[shard.number] != shard || !j.Active() || j.Record.Shard != shard.number {
				return // whoever holds the job's block now starts anew
			}
			c.readFresh(func(bool) {
				switch {
				case c.owned[shard.number] != shard || !j.Active() || j.Record.Shard != shard.number:
				case (o == store.Failed || o == store.TooLarge) && j.Version == c.cache.Version(key):
					j.Migrating = false // that transaction can never be carried out
				default:
					c.migrateJob(shard, j, to)
				}
			})
		},
	})
}

// leastLoaded returns the block to which a new job should go: the one with the
// least work for its room among those that may use a part of the limits. Where
// one block can carry all, that is the first.
func (c *Core) leastLoaded() int {
	if c.machines() <= c.cfg.ShardMachines/2 {
		return 0
	}
	best := 0
	for k := range c.shardLoads {
		if c.allocations[k].fraction > 1e-9 && c.weight(c.shardLoads[k]) < c.weight(c.shardLoads[best]) {
			best = k
		}
	}
	return best
}

// weight is a block's work for its room. A block that has little room yet can
// rent some.
func (c *Core) weight(ld shardLoad) float64 {
	room := 1.0
	for _, x := range c.shardLoads {
		room += x.capacity
	}
	return ld.work / max(ld.capacity, room/float64(2*len(c.shardLoads)))
}
