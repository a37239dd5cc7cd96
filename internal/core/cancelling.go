package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
)

// A holder that the state service does not serve hears of no cancellation by itself, while
// others go on confirming them to users. They tell it, with the promise that it asks them
// for, which ones it lacks: its tasks stop with the next reports, and where all of them tell,
// its answers to workers need not end. See package cancels.

// cancellationsFor answers a controller that asks for a promise.
func (c *Core) cancellationsFor(m PeerStatus) cancellations.Told {
	if m.Release < peering.ReleaseCancellations {
		return cancellations.Told{}
	}
	return c.cancellations.ListFor(c.now, m.Known, c.cache.LoadRevision(), c.cache.Revision, c.cache.Loaded() && !c.cache.Recovering())
}

// receiveCancellations takes what another controller has told. When it was asked counts only where this
// process has asked: a seat is one process's, and clocks begin anew with each.
func (c *Core) receiveCancellations(from string, m PeerPromise) {
	for _, e := range m.Told.List {
		if !c.receiveCancellation(from, e) {
			return // what is not understood is not known either
		}
	}
	if m.Seat != 0 && m.Seat == c.membership.ID() {
		c.cancellations.Receive(c.now, from, m.Sent, m.Told, c.cache.Revision)
	}
}

// receiveCancellation takes a stored cancellation by another controller's word, and reports whether it
// is one. A job that is not known here yet is so from now on, as cancelled: its acceptance may
// come later, with a watch that was held up.
func (c *Core) receiveCancellation(from string, e store.Event) bool {
	id, ok := strings.CutPrefix(e.Key, jobPrefix)
	r, err := jobs.DecodeRecord(e.Value)
	if !ok || !jobs.ValidID(id) || err != nil || r.Status != jobs.Cancelled || e.Stamp == 0 {
		c.log.Warn("what another controller calls a cancellation is none", "controller", from, "key", e.Key)
		return false
	}
	if j := c.jobs.Get(id); j != nil && j.Record.Status == jobs.Done {
		c.log.Warn("another controller calls a job cancelled that is done", "controller", from, "job", id)
		return true
	}
	if c.cache.Version(e.Key) < e.Stamp {
		c.log.Info("cancellation told by another controller", "controller", from, "job", id)
		c.cache.Learn(e)
	}
	return true
}
