// Package liveness detects unresponsive machines. It decides whether the machines have been deleted or
// this controller is unreachable, and acts on the decision.
//
// The package does no I/O and reads no clock: the time and the arrival of heartbeats are passed to its
// methods, and effects go out through its Host.
package liveness

import "shalestage.example/shalestage/internal/core/units"

const (
	// TickInterval is the interval at which the controller calls Tick.
	TickInterval = units.Second / 20
	// maxAwakePerTick is the most that one tick adds to the time without heartbeats. A longer gap means
	// that this process was paused or overloaded, which says nothing about the workers.
	maxAwakePerTick = 2 * TickInterval
	// manyMachines is the number of machines that are too many for all of them to plausibly end or pause at
	// the same moment.
	manyMachines = 20
	// unreachableFor is the time for which a controller that released its shards because no worker
	// reached it counts as unreachable, unless a worker reaches it. It is long enough for each of several
	// other controllers to try before the first one does so again.
	unreachableFor = 60 * units.Second
)

// HeartbeatDeadline returns the time within which a responsive machine sends its next heartbeat.
func HeartbeatDeadline(interval units.Microseconds) units.Microseconds { return 3 * interval / 2 }

// Reachability tracks whether workers reach this controller.
type Reachability struct {
	interval       units.Microseconds // interval between heartbeats of a machine
	lease          units.Microseconds // time after which the tasks of a machine that gets no response have ended
	tickedAt       units.Microseconds
	noHeartbeatFor units.Microseconds // time since the last heartbeat, not counting pauses of this process
	anyHeartbeat   bool               // a heartbeat was accepted since a shard was last acquired
	unreachable    bool               // this controller released its shards because no worker reached it, and none has since
	releasedAt     units.Microseconds // time at which it last released its shards for that reason
}

// NewReachability returns the Reachability of a controller whose workers send heartbeats at the given
// interval and stop their tasks when they have got no response for the given lease.
func NewReachability(interval, lease units.Microseconds) Reachability {
	return Reachability{interval: interval, lease: lease}
}

// Tick advances the clock to now.
func (r *Reachability) Tick(now units.Microseconds) {
	r.noHeartbeatFor += min(now-r.tickedAt, maxAwakePerTick)
	r.tickedAt = now
}

// HeartbeatReceived records that a worker has reached this controller.
func (r *Reachability) HeartbeatReceived() { r.noHeartbeatFor, r.unreachable = 0, false }

// HeartbeatAccepted records that a worker has sent a heartbeat for a shard that this controller owns.
func (r *Reachability) HeartbeatAccepted() { r.anyHeartbeat = true }

// ShardAcquired records that this controller has acquired a shard.
func (r *Reachability) ShardAcquired() { r.noHeartbeatFor, r.anyHeartbeat = 0, false }

// AnyHeartbeat reports whether a heartbeat was accepted since a shard was last acquired.
func (r *Reachability) AnyHeartbeat() bool { return r.anyHeartbeat }

// ShouldReleaseShards reports whether this controller should release its shards to another controller
// because no worker reaches it. up is the number of machines that have come up. Where there are many
// machines, some send heartbeats all the time, so that a short time without any is evidence enough.
//
// If no other controller is known to be reachable (reachablePeer), this controller must not release its
// shards again and again: if the machines really have been deleted, their leases must expire under one
// owner.
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

// ShardsReleased records that this controller releases all its shards because no worker reaches it.
func (r *Reachability) ShardsReleased(now units.Microseconds) {
	r.releasedAt, r.unreachable = now, true
}

// Unreachable reports whether this controller released its shards within the last unreachableFor because
// no worker reached it, and no worker has reached it since.
func (r *Reachability) Unreachable(now units.Microseconds) bool {
	return r.unreachable && now-r.releasedAt < unreachableFor
}
