package core

import (
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// membershipHost implements membership.Host: it gives the membership access to this
// controller, and applies its changes.
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

// Joined implements membership.Host. Other controllers may see the membership record before this controller
// receives the answer to its write. If that answer is slow, a leader may already have assigned a shard to the
// membership. Unless Joined acquires that shard, it has no owner for as long as the membership lasts.
func (c membershipHost) Joined() {
	for _, number := range c.shardRecords.Shards() {
		c.acquireIfAssigned(number)
	}
}

// Lost implements membership.Host.
func (c membershipHost) Lost() {
	c.election.MembershipLost()
	for _, number := range sortedShards(c.owned) {
		c.dropShard(c.owned[number])
	}
	c.queues[ControlQueue].Clear()
}

// PeerRelease implements membership.Host.
func (c membershipHost) PeerRelease(node string, release int) { c.peers.SetRelease(node, release) }

// majorityExtensionTTLs bounds how long the peer leases of a majority may extend a membership past its last
// renewal, in multiples of the membership's lease. A higher value delays the takeover of shards whose owner
// is in a partitioned zone together with most controllers. A lower value stops all work earlier in an outage
// of the state service during which a controller is down.
const majorityExtensionTTLs = 3

// maxCacheAge is the age of the watch cache at which a fresh read is due.
const maxCacheAge = 2 * units.Second

// cancellationGrace is how long an owner may still answer worker machines after the
// time up to which it knows every cancellation. Cancelled tasks stop at the latest one
// worker lease after the last answer, and that must be within Config.CancelWithin.
func (c *Core) cancellationGrace() units.Microseconds {
	return max(c.cfg.LeaderTTL, c.cfg.CancelWithin-c.leaseBound()-2*units.Second)
}

// ValidUntil returns the time from which this node may no longer answer worker
// machines, as far as is known now: the authority of its membership ends, or a
// cancellation may have been confirmed that this node does not know.
func (c *Core) ValidUntil() units.Microseconds {
	return min(c.membership.Until(), c.cancellations.KnownUntil(c.now, c.cache.AsOf())+units.MinWithDrift(c.cancellationGrace()))
}

// OnLease handles the answer to an OpenLease.
func (c *Core) OnLease(now units.Microseconds, outcome store.Outcome, id uint64) {
	c.advance(now)
	c.membership.OnLease(c.now, c.noteOutcome(outcome), id)
}

// OnRenew handles the answer to a RenewLease.
func (c *Core) OnRenew(now units.Microseconds, id uint64, outcome store.Outcome) {
	c.advance(now)
	c.membership.OnRenew(c.now, id, c.noteOutcome(outcome))
}

// dropShard ends the ownership of a shard and discards its state.
func (c *Core) dropShard(shard *ownedShard) {
	delete(c.owned, shard.number)
	shard.replication.Close(c.now)
	c.log.Info("shard no longer owned", "shard", shard.number, "token", shard.fencingToken, "owned_s", (c.now - shard.ownedSince).Seconds(),
		"revision", c.cache.Revision, "read_age_s", (c.now - c.cache.AsOf()).Seconds())
	c.redirectPending(shard)
	for job := range c.jobs.Active() {
		if job.Record.Shard == shard.number {
			job.ClearPlacements()
		}
	}
	for _, machine := range shard.reconciler.Machines() { // the next owner counts the tasks of finished jobs that still run
		for id := range machine.Tasks {
			if job := c.jobs.Get(id.Job); job != nil && !job.Active() {
				job.Release(id.Task)
				c.jobs.TaskRemoved(job)
			}
		}
	}
	c.setRates()
}
