package core

import (
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
)

// cacheHost is what the copy of the state service's keys tells this controller.
type cacheHost struct{ *Core }

// Emit implements watchcache.Host.
func (c cacheHost) Emit(e any) { c.emit(e) }

// Learn implements watchcache.Host.
func (c cacheHost) Learn(e store.Event) { c.learn(e) }

// Removed implements watchcache.Host.
func (c cacheHost) Removed(key string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		c.archive.RecordRemoved(id)
	}
}

// Gap implements watchcache.Host.
func (c cacheHost) Gap() { c.archive.Gap() }

// Limited implements watchcache.Host: from now on the rates count that the state service was
// to have later.
func (c cacheHost) Limited() {
	if next := c.cfg.NextWriteRate; 0 < next && next < c.cfg.WriteRate {
		c.log.Info("state service takes fewer changes", "a_second", next)
		c.cfg.WriteRate = next
		c.setRates()
	}
}

// Reload implements watchcache.Host.
func (c cacheHost) Reload(rev uint64, items []store.Event) { c.rollback.OnListing(rev, items) }

// ListPageSize is how many keys are listed at once.
const ListPageSize = watchcache.Page

// readFresh asks for a fresh read; f, if any, is told whether it worked.
func (c *Core) readFresh(f func(ok bool)) { c.cache.ReadFresh(f) }

// noteOutcome notes whether the state service serves this node, and at what rate. It
// returns the outcome for those whom the reason of a refusal does not concern.
func (c *Core) noteOutcome(o store.Outcome) store.Outcome { return c.cache.NoteOutcome(c.now, o) }

// OnList takes a page of the listing, read at a revision; more says that there are
// others.
func (c *Core) OnList(now units.Microseconds, l List, o store.Outcome, rev uint64, items []store.Event, more bool) {
	c.advance(now)
	c.cache.OnList(c.now, l, o, rev, items, more)
}

// OnChanges takes a watch's answer. gone means that the service no longer has all
// changes since then.
func (c *Core) OnChanges(now units.Microseconds, w Watch, o store.Outcome, rev uint64, events []store.Event, gone bool) {
	c.advance(now)
	taken := o == store.OK && w.After <= c.cache.Revision
	c.cache.OnChanges(c.now, w, o, rev, events, gone)
	if taken {
		c.observeCommits(events)
	}
}

// learn takes one change of the copy. Records that cannot be read are logged
// and skipped: they end no process.
func (c *Core) learn(event store.Event) {
	c.rollback.Note(event)
	var err error
	switch {
	case event.Key == leaderKeyFirst || event.Key == keys.LeaderSinceArchive:
		err = c.election.ApplyRecord(event)
	case event.Key == keys.ArchiveMark:
		err = c.archive.LearnMark(event)
	case strings.HasPrefix(event.Key, memberPrefix):
		err = c.membership.ApplyRecord(c.now, event.Key[len(memberPrefix):], event)
	case strings.HasPrefix(event.Key, assignmentPrefix):
		err = c.learnAssignment(event)
	case strings.HasPrefix(event.Key, configPrefix):
		err = c.config.Apply(c.now, event)
	case strings.HasPrefix(event.Key, overridePrefix):
		err = c.learnOverride(event)
	case strings.HasPrefix(event.Key, standbyPrefix):
		err = c.learnStandby(event)
	case strings.HasPrefix(event.Key, allocationPrefix):
		err = c.learnAllocation(event)
	case event.Key == termKey:
		err = c.election.ApplyTerm(event)
	case strings.HasPrefix(event.Key, jobPrefix):
		err = c.jobs.ApplyRecord(event.Key[len(jobPrefix):], event)
	case strings.HasPrefix(event.Key, chunkPrefix):
		err = c.jobs.ApplyChunk(event)
	case strings.HasPrefix(event.Key, progressPrefix):
		err = c.jobs.ApplyProgress(event.Key[len(progressPrefix):], event)
	case strings.HasPrefix(event.Key, machinePrefix):
		err = c.learnMachines(event.Key, event)
	case strings.HasPrefix(event.Key, typePrefix), strings.HasPrefix(event.Key, keys.TypePrefixWithArchive):
		err = c.learnType(event)
	}
	if err != nil {
		c.log.Error("unusable record", "key", event.Key, "err", err)
	}
}

func (c *Core) learnMachines(key string, e store.Event) error {
	if old, ok := c.machineGroups[key]; ok {
		delete(c.machineGroups, key)
		for _, n := range slices.Concat(old.Up, old.Booting) {
			if c.machineShard[n] == old.Shard {
				delete(c.machineShard, n)
			}
		}
	}
	if e.Value == nil {
		return nil
	}
	g, err := fleet.DecodeGroup(key[len(machinePrefix):], e.Value)
	if err != nil {
		return err
	}
	c.machineGroups[key] = g
	for _, n := range slices.Concat(g.Up, g.Booting) {
		if _, known := c.machineShard[n]; !known || !keys.IsOrphanMachine(key) {
			c.machineShard[n] = g.Shard
		}
	}
	return nil
}

func (c *Core) learnType(e store.Event) error {
	if e.Value == nil {
		return nil
	}
	var t fleet.Type
	if err := json.Unmarshal(e.Value, &t); err != nil {
		return err
	}
	c.setType(t)
	return nil
}

// setType keeps the type's identity, as machines point to it.
func (c *Core) setType(t fleet.Type) {
	if known := c.types[t.Name]; known != nil {
		*known = t
		return
	}
	c.types[t.Name] = &t
}
