// Package liveness detects machines that are unresponsive: whether it is the machines that are
// deleted, or this controller that cannot be reached, and what is done about either.
//
// It is pure: the time and which heartbeats came go in by method calls, what is to be done comes out
// by its Host.
package liveness

import "shalestage.example/shalestage/internal/core/units"

const (
	// TickInterval is how often the outer layers let time pass.
	TickInterval = units.Second / 20
	// maxAwakePerTick is the most that one tick adds to the time without heartbeats: time for which this
	// node stood still, or could not keep up, says nothing of the workers.
	maxAwakePerTick = 2 * TickInterval
	// manyMachines is how many machines are enough that all of them will not end, nor pause, at the
	// same moment.
	manyMachines = 20
	// unreachableFor is how long a controller that no worker could reach counts as unreachable,
	// unless one does. It is long enough for each of several controllers to try before the first
	// does so again.
	unreachableFor = 60 * units.Second
)

// HeartbeatDeadline is the time within which a responsive machine sends its next heartbeat.
func HeartbeatDeadline(interval units.Microseconds) units.Microseconds { return 3 * interval / 2 }

// Reachability tells whether workers reach this controller.
type Reachability struct {
	interval     units.Microseconds // between two heartbeats of a machine
	lease        units.Microseconds // after which tasks of a machine that gets no response have ended
	tickedAt     units.Microseconds
	noHeartbeatFor     units.Microseconds // time awake since a heartbeat came
	anyHeartbeat bool               // one came since a shard was last acquired
	unreachable  bool               // this node released its shards as no worker reached it, and none has since
	releasedAt   units.Microseconds // when it last did so
}

// NewReachability returns the reachability of a controller whose workers send heartbeats that often
// and keep their tasks for that long.
func NewReachability(interval, lease units.Microseconds) Reachability {
	return Reachability{interval: interval, lease: lease}
}

// Tick lets time pass.
func (r *Reachability) Tick(now units.Microseconds) {
	r.noHeartbeatFor += min(now-r.tickedAt, maxAwakePerTick)
	r.tickedAt = now
}

// HeartbeatReceived notes that a worker has reached this node.
func (r *Reachability) HeartbeatReceived() { r.noHeartbeatFor, r.unreachable = 0, false }

// HeartbeatAccepted notes that a worker has done so for a shard that this node owns.
func (r *Reachability) HeartbeatAccepted() { r.anyHeartbeat = true }

// ShardAcquired notes that this node has begun to own a shard.
func (r *Reachability) ShardAcquired() { r.noHeartbeatFor, r.anyHeartbeat = 0, false }

// AnyHeartbeat reports whether a heartbeat was accepted since a shard was last acquired.
func (r *Reachability) AnyHeartbeat() bool { return r.anyHeartbeat }

// ShouldReleaseShards reports whether this node should let another controller try, as no worker reaches it;
// up is how many machines have come up. Of many machines some send heartbeats all the time, so that
// a short while without tells. Where no other controller is known to be better off
// (reachablePeer), it must not release its shards again and again: if the machines are really
// deleted, their leases have to expire under one owner.
func (r *Reachability) ShouldReleaseShards(now units.Microseconds, up int, reachablePeer func() bool) bool {
	allowed := 2*r.interval + units.Second
	if r.anyHeartbeat && up >= manyMachines {
		allowed = r.interval/2 + units.Second
	}
	if r.noHeartbeatFor <= allowed || up == 0 {
		return false
	}
	return r.releasedAt == 0 || now-r.releasedAt >= unreachableFor+2*r.lease || reachablePeer()
}

// ShardsReleased notes that this node releases all that it owns as no worker reaches it.
func (r *Reachability) ShardsReleased(now units.Microseconds) {
	r.releasedAt, r.unreachable = now, true
}

// Unreachable reports whether this node did so lately and no worker has reached it since.
func (r *Reachability) Unreachable(now units.Microseconds) bool {
	return r.unreachable && now-r.releasedAt < unreachableFor
}
