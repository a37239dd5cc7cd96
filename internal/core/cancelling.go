package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
)

// A holder that the state service does not serve hears of no cancellation by itself, while
// others go on confirming them to users. They tell it, with the promise that it asks them
// for, which ones it lacks: its tasks stop with the next reports, and where all of them tell,
// its answers to workers need not end. See package cancels.

// tellCancels answers a controller that asks for a promise.
func (c *Core) tellCancels(m PeerStatus) cancellations.Told {
	if m.Release < releaseTells {
		return cancellations.Told{}
	}
	return c.cancels.Tell(c.now, m.Known, c.mirror.Begun(), c.mirror.Rev, c.mirror.Loaded() && !c.mirror.Recovering())
}

// toldCancels takes what another controller has told. When it was asked counts only where this
// process has asked: a seat is one process's, and clocks begin anew with each.
func (c *Core) toldCancels(from string, m PeerPromise) {
	for _, e := range m.Told.List {
		if !c.toldCancel(from, e) {
			return // what is not understood is not known either
		}
	}
	if m.Seat != 0 && m.Seat == c.seats.ID() {
		c.cancels.Take(c.now, from, m.Sent, m.Told, c.mirror.Rev)
	}
}

// toldCancel takes a stored cancellation by another controller's word, and reports whether it
// is one. A job that is not known here yet is so from now on, as cancelled: its acceptance may
// come later, with a watch that was held up.
func (c *Core) toldCancel(from string, e store.Event) bool {
	id, ok := strings.CutPrefix(e.Key, jobPrefix)
	r, err := ledger.DecodeRecord(e.Value)
	if !ok || !ledger.ValidID(id) || err != nil || r.Status != ledger.Cancelled || e.Stamp == 0 {
		c.log.Warn("what another controller calls a cancellation is none", "controller", from, "key", e.Key)
		return false
	}
	if j := c.jobs[id]; j != nil && j.Record.Status == ledger.Done {
		c.log.Warn("another controller calls a job cancelled that is done", "controller", from, "job", id)
		return true
	}
	if c.mirror.Stamp(e.Key) < e.Stamp {
		c.log.Info("cancellation told by another controller", "controller", from, "job", id)
		c.mirror.Learn(e)
	}
	return true
}
