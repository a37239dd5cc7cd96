package core

import (
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
)

// cancellationsHost implements cancellations.Host: it applies cancellations that other controllers report.
type cancellationsHost struct{ *Core }

// Job implements cancellations.Host.
func (c cancellationsHost) Job(id string) *jobs.Job { return c.jobs.Get(id) }

// Version implements cancellations.Host.
func (c cancellationsHost) Version(key string) uint64 { return c.cache.Version(key) }

// ApplyCancellation implements cancellations.Host.
func (c cancellationsHost) ApplyCancellation(record store.Event) { c.cache.Apply(record) }

// cancellationsFor returns the cancellations to send to a controller that requests a peer lease.
func (c *Core) cancellationsFor(status PeerStatus) cancellations.Update {
	if status.Release < peering.ReleaseCancellations {
		return cancellations.Update{}
	}
	complete := c.cache.Loaded() && !c.cache.Recovering()
	return c.cancellations.UpdateFor(c.now, status.Known, c.cache.LoadRevision(), c.cache.Revision, complete)
}

// receiveCancellations handles the cancellations in a peer lease grant. The time at
// which the lease was requested counts only if this process requested it, that is, if
// the membership matches: clocks restart with each process.
func (c *Core) receiveCancellations(from string, promise PeerLeaseGrant) {
	decoded := cancellations.Apply(cancellationsHost{c}, c.log, from, promise.Told.List)
	if decoded && promise.Seat != 0 && promise.Seat == c.membership.ID() {
		c.cancellations.Receive(c.now, from, promise.Sent, promise.Told, c.cache.Revision)
	}
}
