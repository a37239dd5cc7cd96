package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// OnCommit takes a transaction's outcome. What was put is known at once. An answer that
// comes after the copy has shown what became of the transaction changes nothing.
func (c *Core) OnCommit(now unit.Micros, lane LaneID, t *store.Txn, o store.Outcome, rev uint64, failed []string) {
	c.at(now)
	o = c.heard(o)
	if !c.lanes[lane].UnderWay(t) {
		return
	}
	if o == store.OK {
		c.mirror.Committed(now, t, rev, func(key string) bool { return strings.HasPrefix(key, root) }) // buckets are in no copy
	}
	if o != store.OK {
		c.wantSync(nil)
	}
	c.lanes[lane].Finish(now, o, rev, failed)
}

// observeCommits looks for transactions under way among changes that the copy has taken.
func (c *Core) observeCommits(events []store.Event) {
	if c.mirror.Recovering() {
		return
	}
	for _, l := range c.lanes {
		l.Observe(events)
	}
}

// concludeCommits ends the transactions that the copy has shown to be carried out and whose
// answers are late, and has the copy read for those that it has not shown. These reads keep
// to the pace of all others.
func (c *Core) concludeCommits() {
	if c.mirror.Recovering() {
		return
	}
	for _, l := range c.lanes {
		if t := l.Conclude(c.now); t != nil {
			c.log.Debug("a transaction's answer is late, its changes are stored", "first", t.Changes[0].Key)
			c.emit(Abandon{t})
		} else if l.ReadDue(c.now) {
			c.wantSync(nil)
		}
	}
}

// doubtCommits says that revisions may be given out again.
func (c *Core) doubtCommits() {
	for _, l := range c.lanes {
		l.Doubt()
	}
}
