package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// OnCommit takes a transaction's outcome. What was put is known at once. An answer that
// comes after the copy has shown what became of the transaction changes nothing.
func (c *Core) OnCommit(now units.Microseconds, lane QueueID, t *store.Txn, o store.Outcome, rev uint64, failed []string) {
	c.advance(now)
	o = c.noteOutcome(o)
	if !c.queues[lane].UnderWay(t) {
		return
	}
	if o == store.OK {
		c.cache.Committed(now, t, rev, func(key string) bool { return strings.HasPrefix(key, root) }) // buckets are in no copy
	}
	if o != store.OK {
		c.readFresh(nil)
	}
	c.queues[lane].Finish(now, o, rev, failed)
}

// observeCommits looks for transactions under way among changes that the copy has taken.
func (c *Core) observeCommits(events []store.Event) {
	if c.cache.Recovering() {
		return
	}
	for _, l := range c.queues {
		l.Observe(events)
	}
}

// concludeCommits ends the transactions that the copy has shown to be carried out and whose
// answers are late, and has the copy read for those that it has not shown. These reads keep
// to the pace of all others.
func (c *Core) concludeCommits() {
	if c.cache.Recovering() {
		return
	}
	for _, l := range c.queues {
		if t := l.Conclude(c.now); t != nil {
			c.log.Debug("a transaction's answer is late, its changes are stored", "first", t.Changes[0].Key)
			c.emit(Abandon{t})
		} else if l.ReadDue(c.now) {
			c.readFresh(nil)
		}
	}
}

// suspectCommits says that revisions may be given out again.
func (c *Core) suspectCommits() {
	for _, l := range c.queues {
		l.SuspectRollback()
	}
}
