package core

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// standing is what this controller does for its seat, and what the seat tells it.
type standing struct{ *Core }

// Emit implements seats.Host.
func (c standing) Emit(e any) { c.emit(e) }

// Store implements seats.Host.
func (c standing) Store(w *store.Write) { c.lanes[LeaderLane].Add(w) }

// Stamp implements seats.Host.
func (c standing) Stamp(key string) uint64 { return c.mirror.Stamp(key) }

// Copy implements seats.Host.
func (c standing) Copy() (since, age unit.Micros, ok bool) {
	return c.mirror.LoadedAt(), c.stateAge(), c.mirror.Loaded()
}

// Reread implements seats.Host.
func (c standing) Reread() { c.wantSync(nil) }

// AskPermits implements seats.Host.
func (c standing) AskPermits(node string, seat uint64) {
	for _, n := range c.peers.names {
		c.emit(SendPeer{n, PeerPermitAsk{node, seat}})
	}
}

// Seated implements seats.Host. The record is seen by others before its answer is here:
// where that is slow, a leader may have granted a block to the seat meanwhile, and nobody
// would hold it for as long as the seat stands.
func (c standing) Seated() {
	for _, k := range slices.Sorted(maps.Keys(c.blocks)) {
		c.take(k)
	}
}

// Lost implements seats.Host.
func (c standing) Lost() {
	c.leader = nil
	if c.claim.Node == c.cfg.Node {
		c.claim = lead.Claim{} // the record goes with the lease
	}
	for _, k := range sortedBlocks(c.held) {
		c.drop(c.held[k])
	}
	c.lanes[LeaderLane].Clear()
}

// Release implements seats.Host.
func (c standing) Release(node string, release int) { c.heardRelease(node, release) }

// shortFor is how many times its lease a majority's promises may carry a seat past its last
// renewal. What a zone holds that is cut off with most controllers is free that much later;
// an outage of the state service during which a controller is missing stops all work that
// much earlier.
const shortFor = 3

// freshFor is how old the copy of the state service's keys may become before it is read.
const freshFor = 2 * unit.Second

// extension is for how long a holder may answer workers after the time up to which it knows
// every cancellation: what it runs must still be gone in time, a worker's lease after its
// last answer.
func (c *Core) extension() unit.Micros {
	return max(c.cfg.LeaderTTL, c.cfg.CancelIn-c.leaseBound()-2*unit.Second)
}

// ValidUntil is when this node may no longer answer workers, as known at present: the
// authority of its seat ends, or a cancellation may have been told that it has not heard of.
func (c *Core) ValidUntil() unit.Micros {
	return min(c.seats.Until(), c.cancels.AsOf(c.now, c.mirror.AsOf())+unit.Shortest(c.extension()))
}

// OnLease takes a new lease's outcome.
func (c *Core) OnLease(now unit.Micros, o store.Outcome, id uint64) {
	c.at(now)
	c.seats.OnLease(c.now, c.heard(o), id)
}

// OnRenew takes a renewal's outcome.
func (c *Core) OnRenew(now unit.Micros, id uint64, o store.Outcome) {
	c.at(now)
	c.seats.OnRenew(c.now, id, c.heard(o))
}

// drop stops holding a block.
func (c *Core) drop(bl *block) {
	delete(c.held, bl.n)
	bl.follow.Close(c.now)
	c.log.Info("block given up", "block", bl.n)
	c.sendOn(bl)
	for _, j := range c.active {
		if j.Record.Block == bl.n {
			j.Clear()
		}
	}
	for _, m := range bl.machines { // what runs there of jobs that are over is the next holder's to count
		for id := range m.Tasks {
			if j := c.jobs[id.Job]; j != nil && !j.Active() {
				j.Release(id.Task)
				c.unplaced(j)
			}
		}
	}
	c.setRates()
}
