package core

import (
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
)

const (
	// movesAtOnce bounds the jobs that are moved to other blocks in a round.
	movesAtOnce = 8
	// unevenBy is how much more work for its room a block must have than another
	// before jobs move.
	unevenBy = 1.3
)

// moveJobs gives jobs of which nothing is placed to a block that has less work
// for its room. Such a job runs on none of this block's machines, and on no
// other's: so another holder may start it, once that is stored.
func (c *Core) moveJobs(bl *block) {
	if len(bl.unaccounted) > 0 {
		return
	}
	c.loads()
	to := c.lightest()
	if to == bl.n || to >= len(c.load) || bl.n >= len(c.load) {
		return
	}
	closed := c.shares[bl.n].share < 1e-9
	moved := 0
	jobs := bl.queue.Jobs()
	for i := len(jobs) - 1; i >= 0 && moved < movesAtOnce; i-- {
		j := jobs[i]
		// The order may be from before a job went to another block: moved once more
		// from here, under this grant, it could be running there.
		if j.Record.Block != bl.n || !j.Active() || j.Moving || !j.Movable() {
			continue
		}
		w := workOf(j)
		from, into := c.load[bl.n], c.load[to]
		into.work += w
		if !closed && c.weight(from) < unevenBy*c.weight(into) || len(j.Record.Encode()) > c.cfg.ValueMax {
			continue
		}
		moved++
		c.load[bl.n].work -= w
		c.load[to].work += w
		c.moveJob(bl, j, to)
	}
}

// moveJob stores that a job belongs to another block. Until the outcome is
// certain the job is neither started here nor is the try given up: a
// transaction that comes late would move a job that runs.
func (c *Core) moveJob(bl *block, j *ledger.Job, to int) {
	j.Moving = true
	key := jobPrefix + j.ID
	rec := j.Record
	rec.Block = to
	value := rec.Encode()
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  []store.Guard{{Key: key, Stamp: j.Stamp}, {Key: blockKey(bl.n), Stamp: bl.grant}},
		Changes: []store.Change{{Key: key, Value: value}},
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || c.held[bl.n] != bl || !j.Active() || j.Record.Block != bl.n {
				return // whoever holds the job's block now starts anew
			}
			c.wantSync(func(bool) {
				switch {
				case c.held[bl.n] != bl || !j.Active() || j.Record.Block != bl.n:
				case (o == store.Failed || o == store.TooLarge) && j.Stamp == c.mirror.Stamp(key):
					j.Moving = false // that transaction can never be carried out
				default:
					c.moveJob(bl, j, to)
				}
			})
		},
	})
}

// lightest returns the block to which a new job should go: the one with the
// least work for its room among those that may use a part of the limits. Where
// one block can carry all, that is the first.
func (c *Core) lightest() int {
	if c.machines() <= c.cfg.BlockMachines/2 {
		return 0
	}
	best := 0
	for k := range c.load {
		if c.shares[k].share > 1e-9 && c.weight(c.load[k]) < c.weight(c.load[best]) {
			best = k
		}
	}
	return best
}

// weight is a block's work for its room. A block that has little room yet can
// rent some.
func (c *Core) weight(ld load) float64 {
	room := 1.0
	for _, x := range c.load {
		room += x.room
	}
	return ld.work / max(ld.room, room/float64(2*len(c.load)))
}
