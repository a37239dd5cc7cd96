// Package liveness detects unresponsive machines. It decides whether the machines have been deleted or
// this controller is unreachable, and acts on the decision.
//
// The package does no I/O and reads no clock: the time and the arrival of heartbeats are passed to its
// methods, and effects go out through its Host.
package liveness

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

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
	// reached it counts as unreachable, unless a worker reaches it.
	unreachableFor = 60 * units.Second
)

// HeartbeatDeadline returns the time within which a responsive machine sends its next heartbeat.
func HeartbeatDeadline(interval units.Microseconds) units.Microseconds { return 3 * interval / 2 }

// Reachability tracks whether workers reach this controller.
type Reachability struct {
	interval       units.Microseconds // interval between heartbeats of a machine
	tickedAt       units.Microseconds
	noHeartbeatFor units.Microseconds // time since the last heartbeat or, if that was later, since a shard was acquired, not counting pauses of this process
	anyHeartbeat   bool               // a heartbeat was accepted since a shard was last acquired
	unreachable    bool               // this controller released its shards because no worker reached it, and none has since
	releasedAt     units.Microseconds // time at which it last released its shards for that reason
}

// NewReachability returns the Reachability of a controller whose workers send heartbeats at the given
// interval.
func NewReachability(interval units.Microseconds) Reachability {
	return Reachability{interval: interval}
}

// Tick advances the clock to now.
func (r *Reachability) Tick(now units.Microseconds) {
	r.noHeartbeatFor += min(now-r.tickedAt, maxAwakePerTick)
	r.tickedAt = now
}

// HeartbeatReceived records that a worker has reached this controller.
func (r *Reachability) HeartbeatReceived() { r.noHeartbeatFor, r.unreachable = 0, false }

// HeartbeatAccepted records that a worker has sent a new heartbeat for a shard that this controller owns.
func (r *Reachability) HeartbeatAccepted() { r.anyHeartbeat = true }

// ShardAcquired records that this controller has acquired a shard.
func (r *Reachability) ShardAcquired() { r.noHeartbeatFor, r.anyHeartbeat = 0, false }

// AnyHeartbeat reports whether a heartbeat was accepted since a shard was last acquired.
func (r *Reachability) AnyHeartbeat() bool { return r.anyHeartbeat }

// PeerReach is what this controller knows of whether the workers of one of its shards reach another controller.
type PeerReach struct {
	// Silent means that the peer's statuses do not arrive or do not tell whether workers reach the peer.
	Silent bool
	// RedirectedFor is the time since the peer last redirected a worker of the shard; units.MaxTime if it
	// reports none. It is meaningless for a silent peer.
	RedirectedFor units.Microseconds
	// Unreachable means that the peer reports that it has released its shards because no worker reached it.
	Unreachable bool
	// Tried means that the peer is listed in the Unreached field of the shard's assignment.
	Tried bool
}

// ShouldReleaseShards reports whether this controller should release its shards to another controller
// because no worker reaches it. up is the number of machines that have come up. Where there are many
// machines, some send heartbeats all the time, so that a short time without any is evidence enough. peers
// describes the other controllers that could own the shard.
//
// If the machines really have been deleted, their leases must expire under one owner. So transfers must end
// once no worker reaches any controller, however many controllers there are and however long the lease is:
// an owner that no worker has reached since it acquired the shard releases it only to a controller that a
// worker of the shard has reached meanwhile, or to a silent one that has not tried yet.
func (r *Reachability) ShouldReleaseShards(up int, peers []PeerReach) bool {
	allowed := 2*r.interval + units.Second
	if r.anyHeartbeat && up >= manyMachines {
		allowed = r.interval/2 + units.Second
	}
	if r.noHeartbeatFor <= allowed || up == 0 {
		return false
	}
	return slices.ContainsFunc(peers, r.mayReach)
}

// mayReach reports whether the workers that do not reach this controller may reach a peer.
func (r *Reachability) mayReach(peer PeerReach) bool {
	switch {
	case !peer.Silent && peer.RedirectedFor < r.noHeartbeatFor:
		return true
	case peer.Unreachable:
		return false
	case r.anyHeartbeat:
		return true // a worker has reached this owner, so the next one begins the search anew
	}
	return peer.Silent && !peer.Tried
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
