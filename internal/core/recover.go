package core

import (
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// The state service never goes back behind an answer, by the protocol. Should it all
// the same (it was put back to an older copy, or lost writes), controllers notice it
// by a revision below one that they have seen, or by a transaction of theirs that
// got no higher one. Each then takes its copy anew, keeps what it knows to be newer,
// and writes it again; its peers learn of it by its status and do the same. What
// authority rests on, seats and the lead, is as the service has it now.

// replayLogBytes bounds the memory for what may have to be written again: some
// minutes of changes at the rates of docs/results.md.
const replayLogBytes = 1 << 20

// isAuthority reports whether a key says who may act: it is never written again by
// others than its owner.
func isAuthority(key string) bool {
	return key == leaderKeyFirst || key == keys.LeaderSinceArchive || strings.HasPrefix(key, memberPrefix) || strings.HasPrefix(key, standbyPrefix)
}

// reload takes a listing after the state service went back.
func (c *Core) reload(rev uint64, items []store.Event) {
	again := c.archive.Restore(items)
	listed := make(map[string]store.Event, len(items))
	for _, e := range items {
		listed[e.Key] = e
	}
	keep := map[string]bool{}
	for _, e := range c.replayLog.Lost(listed) {
		if v, ok := c.newer(e, listed[e.Key].Value); ok {
			keep[e.Key] = true
			again = append(again, store.Event{Key: e.Key, Value: v, Stamp: listed[e.Key].Stamp})
		}
	}
	c.cache.Recover(rev, items, keep)
	c.config.Reloaded()
	c.cancellations.StateRolledBack(c.now)
	c.suspectCommits()
	c.archive.RolledBack()
	c.transfers.StateRolledBack()
	for _, e := range again {
		c.log.Warn("written again", "key", e.Key, "listed_version", e.Stamp)
		c.writeAgain(e)
	}
	for _, k := range sortedShards(c.owned) {
		shard := c.owned[k]
		shard.replication.Stop(c.now)
		for _, id := range sortedKeys(shard.active) {
			shard.writer.StoreProgressAgain(shard.active[id])
		}
		shard.writer.StoreAllGroups()
	}
}

// writeAgain stores a value that was lost, unless somebody else changes the key
// first. What one who knew less has written over it is judged again.
func (c *Core) writeAgain(e store.Event) {
	c.queues[ControlQueue].Add(&store.Write{
		Guards:  []store.Guard{{Key: e.Key, Version: e.Stamp}},
		Changes: []store.Change{{Key: e.Key, Value: e.Value}},
		First:   true,
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || o == store.TooLarge {
				return
			}
			// Refused, unknown or another was first: what counts is what is there.
			c.readFresh(func(ok bool) {
				stamp := c.cache.Version(e.Key)
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
		a, err1 := jobs.DecodeRecord(known.Value)
		b, err2 := jobs.DecodeRecord(listed)
		// Or a move: nobody who knew of it has moved the job since.
		return known.Value, err1 == nil && (err2 != nil || !b.Status.Final() && (a.Status.Final() || a.Shard != b.Shard))
	case strings.HasPrefix(known.Key, machinePrefix):
		return moreUp(known, listed)
	case strings.HasPrefix(known.Key, assignmentPrefix):
		a, err1 := authority.DecodeAssignment(known.Value)
		b, err2 := authority.DecodeAssignment(listed)
		return known.Value, err1 == nil && (err2 != nil || laterAssignment(a, b))
	case known.Key == keys.ArchiveMark:
		var a, b archive.Mark
		return known.Value, json.Unmarshal(known.Value, &a) == nil && (json.Unmarshal(listed, &b) != nil || a.Cut > b.Cut)
	case known.Key == termKey:
		var a, b authority.Term
		return known.Value, json.Unmarshal(known.Value, &a) == nil && (json.Unmarshal(listed, &b) != nil || a.Term > b.Term)
	}
	return nil, false
}

// laterAssignment reports whether a block's record a is of a later grant than b, or of
// the same after it was given up.
func laterAssignment(a, b authority.Assignment) bool {
	x, y := authority.FencingToken(a.Term, a.Number), authority.FencingToken(b.Term, b.Number)
	return x > y || x == y && a.ReleasedBy != "" && b.ReleasedBy == ""
}

// moreUp joins two records of machines: on all that either calls up, tasks may run.
func moreUp(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	a, err1 := fleet.DecodeGroup(known.Key[len(machinePrefix):], known.Value)
	b, err2 := fleet.DecodeGroup(known.Key[len(machinePrefix):], listed)
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
