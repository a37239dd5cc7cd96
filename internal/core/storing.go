package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// blockWrite queues a change that only the holder under this grant may make.
func (c *Core) blockWrite(bl *block, late bool, done func(store.Outcome), guarded []string, changes ...store.Change) {
	w := c.guarded(bl, guarded, changes)
	w.Late = late
	w.Done = func(o store.Outcome, _ uint64) { done(o) }
	c.lanes[LeaderLane].Add(w)
}

// guarded returns a write that fails once the grant has ended, or one of the keys
// has another version than this node has seen.
func (c *Core) guarded(bl *block, keys []string, changes []store.Change) *store.Write {
	w := &store.Write{Guards: []store.Guard{{Key: blockKey(bl.n), Stamp: bl.grant}}, Changes: changes}
	for _, k := range keys {
		w.Guards = append(w.Guards, store.Guard{Key: k, Stamp: c.mirror.Stamp(k)})
	}
	return w
}

// group is how machines that were rented together are stored.
type group struct {
	key     string
	kind    fleet.Group
	members []string // gone ones are left out when the group is next stored
	queued  bool     // is among those to be stored
	urgent  bool     // a machine that is up waits for it
}

// storeGroup has a group stored soon: tasks may start only on machines that a
// new holder would know of.
func (c *Core) storeGroup(bl *block, key string, urgent bool) {
	g := bl.groups[key]
	if g == nil {
		return
	}
	g.urgent = g.urgent || urgent
	if !g.queued {
		g.queued = true
		bl.changed = append(bl.changed, g)
	}
}

// writeGroup stores a group as it is now.
func (c *Core) writeGroup(bl *block, g *group) {
	g.queued, g.urgent = false, false
	rec := g.kind
	g.members = slices.DeleteFunc(g.members, func(name string) bool {
		m := bl.machines[name]
		return m == nil || m.Group != g.key
	})
	for _, name := range g.members {
		if m := bl.machines[name]; m.LastSeen != 0 || m.Record.Up {
			rec.Up = append(rec.Up, name)
		} else {
			rec.Booting = append(rec.Booting, name)
		}
	}
	ch := store.Change{Key: g.key}
	if len(g.members) > 0 {
		ch.Value = store.Value(rec)
	} else if c.mirror.Stamp(g.key) == 0 {
		delete(bl.groups, g.key)
		return
	}
	c.blockWrite(bl, true, func(o store.Outcome) {
		switch {
		case o == store.TooLarge: // not again as it is
		case o != store.OK:
			c.storeGroup(bl, g.key, len(rec.Up) > 0)
		case ch.Value == nil:
			delete(c.groups, g.key) // the copy follows with the next read
			if len(g.members) == 0 {
				delete(bl.groups, g.key)
			}
		default:
			for _, name := range rec.Up {
				if m := bl.machines[name]; m != nil {
					m.Record.Up = true
				}
			}
		}
	}, []string{g.key}, ch)
}

// progressAge is how long finished tasks wait to be stored: their machines
// remember them until then, so that nothing is lost if this holder ends.
const progressAge = 2 * unit.Second

// lateEvery keeps transactions few, so that each carries several changes.
const lateEvery = unit.Second / 8

// lateWrites hands the lane what else is to be stored, as much as goes with
// its next transaction: machines that are up, then finished tasks, the longest
// first, and what is only cleaned up.
func (c *Core) lateWrites(bl *block) {
	c.clearLone(bl)
	tidies := bl.n == 0 && len(c.untidy) > 0
	if c.now < bl.lateAt || len(bl.changed) == 0 && len(bl.dirty) == 0 && !tidies {
		return
	}
	room := c.lanes[LeaderLane].Room(c.now)
	if room == 0 {
		return
	}
	bl.lateAt = c.now + lateEvery
	var rest []*group
	for _, g := range bl.changed {
		if g.urgent && room > 0 {
			room--
			c.writeGroup(bl, g)
		} else {
			rest = append(rest, g)
		}
	}
	bl.changed = rest
	for room > 0 && len(bl.dirty) > 0 && c.now-bl.dirty[0].DirtySince >= progressAge {
		j := bl.dirty[0]
		bl.dirty = bl.dirty[1:]
		if !j.Active() || j.AllFinished() {
			continue
		}
		for _, lo := range j.Dirty() {
			room--
			c.writeFinished(bl, j, lo)
		}
	}
	for room > 0 && len(bl.changed) > 0 {
		room--
		g := bl.changed[0]
		bl.changed = bl.changed[1:]
		c.writeGroup(bl, g)
	}
	if tidies {
		c.tidy(bl, room)
	}
}

// finished notes that a task is done.
func (c *Core) finished(bl *block, j *ledger.Job, task int) {
	j.Finish(task, c.layout)
	bl.follow.Done(j.ID, task)
	if j.AllFinished() {
		c.closeJob(bl, j) // users wait for it
		return
	}
	c.markDirty(bl, j)
}

// markDirty has a job's finished tasks stored, unless that is planned already.
func (c *Core) markDirty(bl *block, j *ledger.Job) {
	if j.DirtySince == 0 {
		j.DirtySince = c.now
		bl.dirty = append(bl.dirty, j)
	}
}

// writeFinished stores the finished tasks of the record that begins with a task.
// It covers all that is finished now; what is added before it is sent goes into
// the next one.
func (c *Core) writeFinished(bl *block, j *ledger.Job, lo int) {
	p := c.layout.Of(lo, j.Record.Tasks)
	k := progressKey(j.ID, p.Name)
	// The job's record is guarded as well: once that is final, the others are gone.
	guarded := []string{k, jobPrefix + j.ID}
	c.blockWrite(bl, true, func(o store.Outcome) {
		if o != store.OK && o != store.TooLarge && j.Active() {
			j.MarkDirty(lo)
			c.markDirty(bl, j)
		}
	}, guarded, store.Change{Key: k, Value: store.Value(finishedRecord{j.FinishedIn(p), p.Base == 0 && j.FailsEverywhere()})})
}

// closeJob stores that a job is done, and drops its records of finished tasks.
func (c *Core) closeJob(bl *block, j *ledger.Job) {
	if !j.Active() || j.Closing {
		return
	}
	key := jobPrefix + j.ID
	rec := ledger.Record{Status: ledger.Done, Tasks: j.Record.Tasks, Ended: c.wall}
	changes := []store.Change{{Key: key, Value: rec.Encode()}}
	for _, name := range c.layout.Names(j.Record.Tasks) {
		if k := progressKey(j.ID, name); c.mirror.Stamp(k) != 0 && len(changes) < c.cfg.TxnOps {
			changes = append(changes, store.Change{Key: k})
		}
	}
	j.Closing = true
	w := c.guarded(bl, []string{key}, changes)
	w.First = c.graph.Awaited(j.ID) // others wait for that to be stored
	w.Done = func(store.Outcome, uint64) { j.Closing = false }
	c.lanes[LeaderLane].Add(w)
}

func progressKey(id, name string) string { return donePrefix + id + "/" + name }
