package core

import (
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/units"
)

// retireTimeout is how long a controller that ends on purpose may take to pass on what it
// owns.
const retireTimeout = 3 * units.Second

// Retire has this controller give up all that it owns, as its process is about to end on
// purpose. Users' requests are still answered, and workers sent on.
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

// Retired reports whether the process of a controller that retires may end: everything is
// another's, and each worker has had the time for one more heartbeat, which is redirected. One that
// finds nobody here tries the next controller a second later.
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

// Leave gives up the membership, so that nobody waits for its lease to end. The process ends.
func (c *Core) Leave(now units.Microseconds) {
	c.advance(now)
	if c.membership.ID() != 0 {
		c.emit(CloseLease{ID: c.membership.LeaseID()})
	}
}
