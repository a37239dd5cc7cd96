package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// OnCommit handles a transaction's outcome. The changes of a committed transaction enter the watch cache at
// once. An answer that arrives after the watch cache has shown the transaction's outcome has no effect.
func (c *Core) OnCommit(now units.Microseconds, queue QueueID, txn *store.Txn, outcome store.Outcome, revision uint64, failed []string) {
	c.advance(now)
	outcome = c.noteOutcome(outcome)
	if !c.queues[queue].InFlight(txn) {
		return
	}
	if outcome == store.OK {
		c.cache.ApplyCommitted(now, txn, revision, func(key string) bool { return strings.HasPrefix(key, root) }) // archive buckets are not cached
	} else {
		c.readFresh(nil)
	}
	c.queues[queue].Finish(now, outcome, revision, failed)
}

// observeCommits looks for the changes of in-flight transactions among the events that
// the watch cache has applied.
func (c *Core) observeCommits(events []store.Event) {
	if c.cache.Recovering() {
		return
	}
	for _, queue := range c.queues {
		queue.Observe(events)
	}
}

// resolveCommits resolves in-doubt transactions, whose answers are late. It ends those
// that the watch cache has shown to be committed, and requests a fresh read for the
// others. These reads are rate-limited like all others.
func (c *Core) resolveCommits() {
	if c.cache.Recovering() {
		return
	}
	for _, queue := range c.queues {
		if txn := queue.FinishProven(c.now); txn != nil {
			c.log.Debug("transaction answer is late; the watch cache shows that it was committed", "first", txn.Changes[0].Key)
			c.emit(Abandon{txn})
		} else if queue.ReadDue(c.now) {
			c.readFresh(nil)
		}
	}
}

// suspectRollback tells the queues that the state service was rolled back and may assign revisions again, so
// that a revision no longer proves that a transaction was committed.
func (c *Core) suspectRollback() {
	for _, queue := range c.queues {
		queue.SuspectRollback()
	}
}
