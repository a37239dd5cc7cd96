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

// cacheHost implements watchcache.Host: it passes the events of the watch cache on to this controller.
type cacheHost struct{ *Core }

// Emit implements watchcache.Host.
func (c cacheHost) Emit(e any) { c.emit(e) }

// Apply implements watchcache.Host.
func (c cacheHost) Apply(e store.Event) { c.applyEvent(e) }

// KeyRemoved implements watchcache.Host.
func (c cacheHost) KeyRemoved(key string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		c.archive.RecordRemoved(id)
	}
}

// EventsMissed implements watchcache.Host.
func (c cacheHost) EventsMissed() { c.archive.EventsMissed() }

// RateLimited implements watchcache.Host. The state service has refused a request as over its limit, so it is
// assumed to have lowered its limits, and the lower rate configured for that case applies from now on.
func (c cacheHost) RateLimited() {
	if next := c.cfg.NextWriteRate; 0 < next && next < c.cfg.WriteRate {
		c.log.Info("state service has lowered its write limit; reducing the write rate", "a_second", next)
		c.cfg.WriteRate = next
		c.setRates()
	}
}

// Rebuild implements watchcache.Host.
func (c cacheHost) Rebuild(rev uint64, items []store.Event) { c.rollback.OnListing(rev, items) }

// ListPageSize is the number of keys in one page of a listing.
const ListPageSize = watchcache.PageSize

// readFresh requests a read of the state service that begins after this call. It calls
// done, if not nil, with whether the read succeeded.
func (c *Core) readFresh(done func(ok bool)) { c.cache.ReadFresh(done) }

// noteOutcome records whether the state service responds to this controller, and at what rate. It returns
// the outcome for callers that need not know why a request was refused: store.RateLimited becomes
// store.Refused.
func (c *Core) noteOutcome(o store.Outcome) store.Outcome { return c.cache.NoteOutcome(c.now, o) }

// OnList handles one page of a listing, read at revision rev. more reports whether further pages follow.
func (c *Core) OnList(now units.Microseconds, list List, outcome store.Outcome, rev uint64, items []store.Event, more bool) {
	c.advance(now)
	c.cache.OnList(c.now, list, outcome, rev, items, more)
}

// OnChanges handles the answer to a Watch. compacted means that the service no longer
// has all changes since watch.After.
func (c *Core) OnChanges(now units.Microseconds, watch Watch, outcome store.Outcome, rev uint64, events []store.Event, compacted bool) {
	c.advance(now)
	applied := outcome == store.OK && watch.After <= c.cache.Revision
	c.cache.OnChanges(c.now, watch, outcome, rev, events, compacted)
	if applied {
		c.observeCommits(events)
	}
}

// applyEvent applies one change that the watch cache reports. Records that cannot be decoded are logged and
// skipped, so that they do not crash the process.
func (c *Core) applyEvent(event store.Event) {
	c.rollback.RecordChange(event)
	var err error
	switch {
	case event.Key == leaderKey || event.Key == keys.LeaderSinceArchive:
		err = c.election.ApplyRecord(event)
	case event.Key == keys.ArchiveMark:
		err = c.archive.ApplyMark(event)
	case strings.HasPrefix(event.Key, memberPrefix):
		err = c.membership.ApplyRecord(c.now, event.Key[len(memberPrefix):], event)
	case strings.HasPrefix(event.Key, assignmentPrefix):
		err = c.applyAssignment(event)
	case strings.HasPrefix(event.Key, configPrefix):
		err = c.config.Apply(c.now, event)
	case strings.HasPrefix(event.Key, overridePrefix):
		err = c.applyOverride(event)
	case strings.HasPrefix(event.Key, standbyPrefix):
		err = c.applyStandby(event)
	case strings.HasPrefix(event.Key, allocationPrefix):
		err = c.applyAllocation(event)
	case event.Key == termKey:
		err = c.election.ApplyTerm(event)
	case strings.HasPrefix(event.Key, jobPrefix):
		err = c.jobs.ApplyRecord(event.Key[len(jobPrefix):], event)
	case strings.HasPrefix(event.Key, chunkPrefix):
		err = c.jobs.ApplyChunk(event)
	case strings.HasPrefix(event.Key, progressPrefix):
		err = c.jobs.ApplyProgress(event.Key[len(progressPrefix):], event)
	case strings.HasPrefix(event.Key, machinePrefix):
		err = c.applyMachineGroup(event.Key, event)
	case strings.HasPrefix(event.Key, typePrefix), strings.HasPrefix(event.Key, keys.TypePrefixWithArchive):
		err = c.applyType(event)
	}
	if err != nil {
		c.log.Error("unusable record", "key", event.Key, "err", err)
	}
}

// forgetHeartbeats forgets the newest heartbeats of those machines that are not stored any more.
func (c *Core) forgetHeartbeats(machines []string) {
	for _, name := range machines {
		if _, stored := c.machineShard[name]; !stored {
			c.newestHeartbeats.Forget(name)
		}
	}
}

// applyMachineGroup applies a stored machine group.
func (c *Core) applyMachineGroup(key string, event store.Event) error {
	if old, ok := c.machineGroups[key]; ok {
		delete(c.machineGroups, key)
		names := slices.Concat(old.Up, old.Booting)
		for _, name := range names {
			if c.machineShard[name] == old.Shard {
				delete(c.machineShard, name)
			}
		}
		defer c.forgetHeartbeats(names)
	}
	if event.Value == nil {
		return nil
	}
	group, err := fleet.DecodeGroup(key[len(machinePrefix):], event.Value)
	if err != nil {
		return err
	}
	c.machineGroups[key] = group
	for _, name := range slices.Concat(group.Up, group.Booting) {
		if _, known := c.machineShard[name]; !known || !keys.IsOrphanMachine(key) {
			c.machineShard[name] = group.Shard
		}
	}
	return nil
}

// applyType applies a stored machine type.
func (c *Core) applyType(event store.Event) error {
	if event.Value == nil {
		return nil
	}
	var machineType fleet.Type
	if err := json.Unmarshal(event.Value, &machineType); err != nil {
		return err
	}
	c.setType(machineType)
	return nil
}

// setType stores a machine type. It overwrites a known type in place, as machines point to it.
func (c *Core) setType(machineType fleet.Type) {
	if known := c.types[machineType.Name]; known != nil {
		*known = machineType
		return
	}
	c.types[machineType.Name] = &machineType
}
