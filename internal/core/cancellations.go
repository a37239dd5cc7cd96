package core

import (
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
)

// cancellationsHost is what learning another controller's cancellations needs of this one.
type cancellationsHost struct{ *Core }

// Job implements cancellations.Host.
func (c cancellationsHost) Job(id string) *jobs.Job { return c.jobs.Get(id) }

// Version implements cancellations.Host.
func (c cancellationsHost) Version(key string) uint64 { return c.cache.Version(key) }

// ApplyCancellation implements cancellations.Host.
func (c cancellationsHost) ApplyCancellation(record store.Event) { c.cache.Apply(record) }

// cancellationsFor answers a controller that asks for a peer lease.
func (c *Core) cancellationsFor(status PeerStatus) cancellations.Update {
	if status.Release < peering.ReleaseCancellations {
		return cancellations.Update{}
	}
	complete := c.cache.Loaded() && !c.cache.Recovering()
	return c.cancellations.UpdateFor(c.now, status.Known, c.cache.LoadRevision(), c.cache.Revision, complete)
}

// receiveCancellations takes such an answer. When it was asked for counts only where this process has
// asked: a membership is one process's, and clocks begin anew with each.
func (c *Core) receiveCancellations(from string, promise PeerLeaseGrant) {
	understood := cancellations.Apply(cancellationsHost{c}, c.log, from, promise.Told.List)
	if understood && promise.Seat != 0 && promise.Seat == c.membership.ID() {
		c.cancellations.Receive(c.now, from, promise.Sent, promise.Told, c.cache.Revision)
	}
}
