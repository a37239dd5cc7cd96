package core

import (
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/follow"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// The state service never goes back behind an answer, by the protocol. Should it all
// the same (it was put back to an older copy, or lost writes), controllers notice it
// by a revision below one that they have seen, or by a transaction of theirs that
// got no higher one. Each then takes its copy anew, keeps what it knows to be newer,
// and writes it again; its peers learn of it by its status and do the same. What
// authority rests on, seats and the lead, is as the service has it now.

// recallBytes bounds the memory for what may have to be written again: some
// minutes of changes at the rates of docs/results.md.
const recallBytes = 1 << 20

// isAuthority reports whether a key says who may act: it is never written again by
// others than its owner.
func isAuthority(key string) bool {
	return key == leadKeyFirst || key == leadKeyPast || strings.HasPrefix(key, seatPrefix) || strings.HasPrefix(key, followPrefix)
}

// heardBack takes a peer's word that the state service went back: each has its own
// mark, as two may have noticed two different times.
func (c *Core) heardBack(from string, v *peerView, mark unit.Micros) {
	if mark == v.back {
		return
	}
	v.back = mark
	c.log.Warn("another controller says that the state service went back", "controller", from)
	c.mirror.Anew(c.now)
}

// reload takes a listing after the state service went back.
func (c *Core) reload(rev uint64, items []store.Event) {
	again := c.endAgain(items)
	listed := make(map[string]store.Event, len(items))
	for _, e := range items {
		listed[e.Key] = e
	}
	keep := map[string]bool{}
	for _, e := range c.memory.Lost(listed) {
		if v, ok := c.newer(e, listed[e.Key].Value); ok {
			keep[e.Key] = true
			again = append(again, store.Event{Key: e.Key, Value: v, Stamp: listed[e.Key].Stamp})
		}
	}
	c.mirror.Recover(rev, items, keep)
	c.config.Reloaded()
	c.cancels.Forget(c.now)
	c.doubtCommits()
	c.doubt()
	c.sink = follow.NewSink() // who is stored to follow may be as of an earlier time
	for _, e := range again {
		c.log.Warn("written again", "key", e.Key, "listed_version", e.Stamp)
		c.writeAgain(e)
	}
	for _, k := range sortedBlocks(c.held) {
		bl := c.held[k]
		bl.follow.Leave(c.now)
		for _, id := range sortedKeys(bl.active) {
			j := bl.active[id]
			for lo := 0; lo < j.Record.Tasks && j.Finished() > 0; lo = c.layout.Of(lo, j.Record.Tasks).Hi {
				j.MarkDirty(lo)
			}
			if j.Finished() > 0 {
				c.markDirty(bl, j)
			}
		}
		for _, key := range sortedKeys(bl.groups) {
			c.storeGroup(bl, key, true)
		}
	}
}

// writeAgain stores a value that was lost, unless somebody else changes the key
// first. What one who knew less has written over it is judged again.
func (c *Core) writeAgain(e store.Event) {
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  []store.Guard{{Key: e.Key, Stamp: e.Stamp}},
		Changes: []store.Change{{Key: e.Key, Value: e.Value}},
		First:   true,
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || o == store.TooLarge {
				return
			}
			// Refused, unknown or another was first: what counts is what is there.
			c.wantSync(func(ok bool) {
				stamp := c.mirror.Stamp(e.Key)
				if ok && (stamp != e.Stamp || o == store.Failed) {
					return // it is there, or somebody else's is
				}
				c.writeAgain(e)
			})
		},
	})
}

// newer reports whether a value that is known here says more than the listed one
// (nil: none), and returns what should be stored. Of authority nothing is remembered.
func (c *Core) newer(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	if listed == nil {
		return known.Value, true
	}
	switch {
	case strings.HasPrefix(known.Key, jobPrefix):
		// An end says more than whatever else was stored meanwhile.
		a, err1 := ledger.DecodeRecord(known.Value)
		b, err2 := ledger.DecodeRecord(listed)
		// Or a move: nobody who knew of it has moved the job since.
		return known.Value, err1 == nil && (err2 != nil || !b.Status.Final() && (a.Status.Final() || a.Block != b.Block))
	case strings.HasPrefix(known.Key, machPrefix):
		return moreUp(known, listed)
	case strings.HasPrefix(known.Key, blockPrefix):
		a, err1 := lead.DecodeBlock(known.Value)
		b, err2 := lead.DecodeBlock(listed)
		return known.Value, err1 == nil && (err2 != nil || laterGrant(a, b))
	case known.Key == pastKey:
		var a, b archive.Mark
		return known.Value, json.Unmarshal(known.Value, &a) == nil && (json.Unmarshal(listed, &b) != nil || a.Cut > b.Cut)
	case known.Key == termKey:
		var a, b lead.Term
		return known.Value, json.Unmarshal(known.Value, &a) == nil && (json.Unmarshal(listed, &b) != nil || a.Term > b.Term)
	}
	return nil, false
}

// laterGrant reports whether a block's record a is of a later grant than b, or of
// the same after it was given up.
func laterGrant(a, b lead.Block) bool {
	x, y := lead.Token(a.Term, a.Number), lead.Token(b.Term, b.Number)
	return x > y || x == y && a.Left != "" && b.Left == ""
}

// moreUp joins two records of machines: on all that either calls up, tasks may run.
func moreUp(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	a, err1 := fleet.DecodeGroup(known.Key[len(machPrefix):], known.Value)
	b, err2 := fleet.DecodeGroup(known.Key[len(machPrefix):], listed)
	if err1 != nil || err2 != nil {
		return known.Value, err1 == nil
	}
	more := false
	for _, n := range a.Up {
		if slices.Contains(b.Up, n) {
			continue
		}
		more = true
		b.Up = append(b.Up, n)
		b.Booting = slices.DeleteFunc(b.Booting, func(x string) bool { return x == n })
	}
	return store.Value(b), more
}
