package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// shardWrite queues a change that only the holder under this grant may make.
func (c *Core) shardWrite(shard *ownedShard, late bool, done func(store.Outcome), guarded []string, changes ...store.Change) {
	w := c.guardedWrite(shard, guarded, changes)
	w.Deferred = late
	w.Done = func(o store.Outcome, _ uint64) { done(o) }
	c.queues[ControlQueue].Add(w)
}

// guardedWrite returns a write that fails once the grant has ended, or one of the keys
// has another version than this node has seen.
func (c *Core) guardedWrite(shard *ownedShard, keys []string, changes []store.Change) *store.Write {
	w := &store.Write{Guards: []store.Guard{{Key: assignmentKey(shard.number), Version: shard.assignment}}, Changes: changes}
	for _, k := range keys {
		w.Guards = append(w.Guards, store.Guard{Key: k, Version: c.cache.Version(k)})
	}
	return w
}

// machineGroup is how machines that were rented together are stored.
type machineGroup struct {
	key     string
	kind    fleet.Group
	members []string // gone ones are left out when the group is next stored
	queued  bool     // is among those to be stored
	urgent  bool     // a machine that is up waits for it
}

// storeGroup has a group stored soon: tasks may start only on machines that a
// new holder would know of.
func (c *Core) storeGroup(shard *ownedShard, key string, urgent bool) {
	g := shard.machineGroups[key]
	if g == nil {
		return
	}
	g.urgent = g.urgent || urgent
	if !g.queued {
		g.queued = true
		shard.changedGroups = append(shard.changedGroups, g)
	}
}

// writeGroup stores a group as it is now.
func (c *Core) writeGroup(shard *ownedShard, g *machineGroup) {
	g.queued, g.urgent = false, false
	rec := g.kind
	g.members = slices.DeleteFunc(g.members, func(name string) bool {
		m := shard.machines[name]
		return m == nil || m.Group != g.key
	})
	for _, name := range g.members {
		if m := shard.machines[name]; m.LastSeen != 0 || m.Record.Up {
			rec.Up = append(rec.Up, name)
		} else {
			rec.Booting = append(rec.Booting, name)
		}
	}
	ch := store.Change{Key: g.key}
	if len(g.members) > 0 {
		ch.Value = store.Value(rec)
	} else if c.cache.Version(g.key) == 0 {
		delete(shard.machineGroups, g.key)
		return
	}
	c.shardWrite(shard, true, func(o store.Outcome) {
		switch {
		case o == store.TooLarge: // not again as it is
		case o != store.OK:
			c.storeGroup(shard, g.key, len(rec.Up) > 0)
		case ch.Value == nil:
			delete(c.machineGroups, g.key) // the copy follows with the next read
			if len(g.members) == 0 {
				delete(shard.machineGroups, g.key)
			}
		default:
			for _, name := range rec.Up {
				if m := shard.machines[name]; m != nil {
					m.Record.Up = true
				}
			}
		}
	}, []string{g.key}, ch)
}

// progressAge is how long finished tasks wait to be stored: their machines
// remember them until then, so that nothing is lost if this holder ends.
const progressAge = 2 * units.Second

// lateEvery keeps transactions few, so that each carries several changes.
const lateEvery = units.Second / 8

// writePending hands the lane what else is to be stored, as much as goes with
// its next transaction: machines that are up, then finished tasks, the longest
// first, and what is only cleaned up.
func (c *Core) writePending(shard *ownedShard) {
	c.collectOrphanedChunks(shard)
	tidies := shard.number == 0 && c.jobs.GarbagePending()
	if c.now < shard.nextWritesAt || len(shard.changedGroups) == 0 && len(shard.unstoredJobs) == 0 && !tidies {
		return
	}
	room := c.queues[ControlQueue].Capacity(c.now)
	if room == 0 {
		return
	}
	shard.nextWritesAt = c.now + lateEvery
	var rest []*machineGroup
	for _, g := range shard.changedGroups {
		if g.urgent && room > 0 {
			room--
			c.writeGroup(shard, g)
		} else {
			rest = append(rest, g)
		}
	}
	shard.changedGroups = rest
	for room > 0 && len(shard.unstoredJobs) > 0 && c.now-shard.unstoredJobs[0].DirtySince >= progressAge {
		j := shard.unstoredJobs[0]
		shard.unstoredJobs = shard.unstoredJobs[1:]
		if !j.Active() || j.AllFinished() {
			continue
		}
		for _, lo := range j.Dirty() {
			room--
			c.writeFinished(shard, j, lo)
		}
	}
	for room > 0 && len(shard.changedGroups) > 0 {
		room--
		g := shard.changedGroups[0]
		shard.changedGroups = shard.changedGroups[1:]
		c.writeGroup(shard, g)
	}
	if tidies {
		c.jobs.CollectGarbage(room, shardWriter{c, shard})
	}
}

// finished notes that a task is done.
func (c *Core) finished(shard *ownedShard, j *jobs.Job, task int) {
	j.Finish(task, c.jobs.Layout())
	shard.replication.TaskDone(j.ID, task)
	if j.AllFinished() {
		c.closeJob(shard, j) // users wait for it
		return
	}
	c.markDirty(shard, j)
}

// markDirty has a job's finished tasks stored, unless that is planned already.
func (c *Core) markDirty(shard *ownedShard, j *jobs.Job) {
	if j.DirtySince == 0 {
		j.DirtySince = c.now
		shard.unstoredJobs = append(shard.unstoredJobs, j)
	}
}

// writeFinished stores the finished tasks of the record that begins with a task.
// It covers all that is finished now; what is added before it is sent goes into
// the next one.
func (c *Core) writeFinished(shard *ownedShard, j *jobs.Job, lo int) {
	p := c.jobs.Layout().Of(lo, j.Record.Tasks)
	k := progressKey(j.ID, p.Name)
	// The job's record is guarded as well: once that is final, the others are gone.
	guarded := []string{k, jobPrefix + j.ID}
	c.shardWrite(shard, true, func(o store.Outcome) {
		if o != store.OK && o != store.TooLarge && j.Active() {
			j.MarkDirty(lo)
			c.markDirty(shard, j)
		}
	}, guarded, store.Change{Key: k, Value: store.Value(jobs.Progress{Tasks: j.FinishedIn(p), Failing: p.Base == 0 && j.FailsEverywhere()})})
}

// closeJob stores that a job is done, and drops its records of finished tasks.
func (c *Core) closeJob(shard *ownedShard, j *jobs.Job) {
	if !j.Active() || j.Closing {
		return
	}
	key := jobPrefix + j.ID
	rec := jobs.Record{Status: jobs.Done, Tasks: j.Record.Tasks, FinishedAt: c.wall}
	changes := []store.Change{{Key: key, Value: rec.Encode()}}
	for _, name := range c.jobs.Layout().Names(j.Record.Tasks) {
		if k := progressKey(j.ID, name); c.cache.Version(k) != 0 && len(changes) < c.cfg.TxnOps {
			changes = append(changes, store.Change{Key: k})
		}
	}
	j.Closing = true
	w := c.guardedWrite(shard, []string{key}, changes)
	w.First = c.jobs.Awaited(j.ID) // others wait for that to be stored
	w.Done = func(store.Outcome, uint64) { j.Closing = false }
	c.queues[ControlQueue].Add(w)
}

func progressKey(id, name string) string { return progressPrefix + id + "/" + name }
