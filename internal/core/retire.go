package core

import (
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/units"
)

// retireTimeout is how long a retiring controller waits for its shards to be released.
const retireTimeout = 3 * units.Second

// Retire releases all shards that this controller owns, before a planned end of its process. The controller
// still answers users' requests and redirects worker machines.
func (c *Core) Retire(now units.Microseconds) {
	c.advance(now)
	if c.retiringSince == 0 {
		c.retiringSince = max(c.now, 1)
		c.log.Info("retiring", "shards", len(c.owned))
	}
	for _, shard := range sortedShards(c.owned) {
		c.releaseShard(c.owned[shard], "this controller is about to end")
	}
}

// Retired reports whether the process of a retiring controller may end. By then the
// controller owns no shard, and each worker machine has had time for one more heartbeat,
// which was redirected. A machine that gets no answer here tries the next controller only a
// second later. If shards are not released in time, the process may end after retireTimeout.
func (c *Core) Retired(now units.Microseconds) bool {
	c.advance(now)
	switch {
	case c.retiringSince == 0:
		return false
	case len(c.owned) > 0:
		c.emptySince = 0
		return now-c.retiringSince > retireTimeout
	case c.emptySince == 0:
		c.emptySince = c.now
	}
	return !c.reachability.AnyHeartbeat() || now-c.emptySince > liveness.HeartbeatDeadline(c.cfg.HeartbeatInterval)
}

// Leave closes the membership's lease, so that the other controllers need not wait for
// it to expire. The caller ends the process afterwards.
func (c *Core) Leave(now units.Microseconds) {
	c.advance(now)
	if c.membership.ID() != 0 {
		c.emit(CloseLease{ID: c.membership.LeaseID()})
	}
}
