package core

import (
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// membershipHost is what this controller does for its membership, and what that brings about.
type membershipHost struct{ *Core }

// Emit implements membership.Host.
func (c membershipHost) Emit(e any) { c.emit(e) }

// Store implements membership.Host.
func (c membershipHost) Store(w *store.Write) { c.queues[ControlQueue].Add(w) }

// Version implements membership.Host.
func (c membershipHost) Version(key string) uint64 { return c.cache.Version(key) }

// CacheAge implements membership.Host.
func (c membershipHost) CacheAge() (since, age units.Microseconds, ok bool) {
	return c.cache.LoadedAt(), c.stateAge(), c.cache.Loaded()
}

// Refresh implements membership.Host.
func (c membershipHost) Refresh() { c.readFresh(nil) }

// RequestVotes implements membership.Host.
func (c membershipHost) RequestVotes(node string, seat uint64) {
	c.broadcast(TakeoverVoteRequest{Node: node, Seat: seat})
}

// Joined implements membership.Host. The record is seen by others before its answer is here:
// where that is slow, a leader may have assigned a shard to the membership meanwhile, and nobody
// would own it for as long as the membership stands.
func (c membershipHost) Joined() {
	for _, k := range c.shardRecords.Shards() {
		c.take(k)
	}
}

// Lost implements membership.Host.
func (c membershipHost) Lost() {
	c.election.MembershipLost()
	for _, k := range sortedShards(c.owned) {
		c.drop(c.owned[k])
	}
	c.queues[ControlQueue].Clear()
}

// PeerRelease implements membership.Host.
func (c membershipHost) PeerRelease(node string, release int) { c.peers.SetRelease(node, release) }

// shortFor is how many times its lease a majority's peer leases may carry a membership past its last
// renewal. What is owned in a zone that is cut off with most controllers is free that much later;
// an outage of the state service during which a controller is missing stops all work that
// much earlier.
const shortFor = 3

// freshFor is how old the copy of the state service's keys may become before it is read.
const freshFor = 2 * units.Second

// extension is for how long an owner may answer workers after the time up to which it knows
// every cancellation: what it runs must still be gone in time, a worker's lease after its
// last answer.
func (c *Core) extension() units.Microseconds {
	return max(c.cfg.LeaderTTL, c.cfg.CancelWithin-c.leaseBound()-2*units.Second)
}

// ValidUntil is when this node may no longer answer workers, as known at present: the
// authority of its membership ends, or a cancellation may have been confirmed that it does not know of.
func (c *Core) ValidUntil() units.Microseconds {
	return min(c.membership.Until(), c.cancellations.KnownUntil(c.now, c.cache.AsOf())+units.MinWithDrift(c.extension()))
}

// OnLease takes a new lease's outcome.
func (c *Core) OnLease(now units.Microseconds, o store.Outcome, id uint64) {
	c.advance(now)
	c.membership.OnLease(c.now, c.noteOutcome(o), id)
}

// OnRenew takes a renewal's outcome.
func (c *Core) OnRenew(now units.Microseconds, id uint64, o store.Outcome) {
	c.advance(now)
	c.membership.OnRenew(c.now, id, c.noteOutcome(o))
}

// drop stops owning a shard.
func (c *Core) drop(shard *ownedShard) {
	delete(c.owned, shard.number)
	shard.replication.Close(c.now)
	c.log.Info("shard no longer owned", "shard", shard.number)
	c.redirectPending(shard)
	for j := range c.jobs.Active() {
		if j.Record.Shard == shard.number {
			j.ClearPlacements()
		}
	}
	for _, m := range shard.reconciler.Machines() { // what runs there of jobs that are over is the next owner's to count
		for id := range m.Tasks {
			if j := c.jobs.Get(id.Job); j != nil && !j.Active() {
				j.Release(id.Task)
				c.jobs.TaskRemoved(j)
			}
		}
	}
	c.setRates()
}
