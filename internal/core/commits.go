package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// OnCommit takes a transaction's outcome. What was put is known at once. An answer that
// comes after the copy has shown what became of the transaction changes nothing.
func (c *Core) OnCommit(now units.Microseconds, queue QueueID, txn *store.Txn, outcome store.Outcome, revision uint64, failed []string) {
	c.advance(now)
	outcome = c.noteOutcome(outcome)
	if !c.queues[queue].InFlight(txn) {
		return
	}
	if outcome == store.OK {
		c.cache.ApplyCommitted(now, txn, revision, func(key string) bool { return strings.HasPrefix(key, root) }) // buckets are in no copy
	} else {
		c.readFresh(nil)
	}
	c.queues[queue].Finish(now, outcome, revision, failed)
}

// observeCommits looks for transactions under way among changes that the copy has taken.
func (c *Core) observeCommits(events []store.Event) {
	if c.cache.Recovering() {
		return
	}
	for _, queue := range c.queues {
		queue.Observe(events)
	}
}

// concludeCommits ends the transactions that the copy has shown to be carried out and whose
// answers are late, and has the copy read for those that it has not shown. These reads keep
// to the pace of all others.
func (c *Core) concludeCommits() {
	if c.cache.Recovering() {
		return
	}
	for _, queue := range c.queues {
		if txn := queue.FinishProven(c.now); txn != nil {
			c.log.Debug("a transaction's answer is late, its changes are stored", "first", txn.Changes[0].Key)
			c.emit(Abandon{txn})
		} else if queue.ReadDue(c.now) {
			c.readFresh(nil)
		}
	}
}

// suspectCommits says that revisions may be given out again.
func (c *Core) suspectCommits() {
	for _, queue := range c.queues {
		queue.SuspectRollback()
	}
}
