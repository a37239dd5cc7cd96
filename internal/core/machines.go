package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/unit"
)

// newMachine takes in a machine that is, or is about to be, stored with a
// group, and that was rented some time ago.
func (c *Core) newMachine(bl *block, name, key string, r fleet.Record, age unit.Micros) *fleet.Machine {
	m := fleet.New(name, r, c.types[r.Type], c.now)
	m.Group, m.Rented = key, c.now-age
	bl.machines[name] = m
	g := bl.groups[key]
	if g == nil {
		g = &group{key: key, kind: fleet.Group{Block: bl.n, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Rented: c.wall - age}}
		bl.groups[key] = g
	}
	g.members = append(g.members, name)
	return m
}

// strayAfter is how long a machine must be unknown to all before it is adopted:
// whoever has rented it needs a moment to store that.
const strayAfter = 10 * unit.Second

// strayKey is where a machine is stored that no request is known to have rented.
func strayKey(name string) string { return machPrefix + strayMark + name }

const strayMark = "x-"

func isStray(key string) bool { return strings.HasPrefix(key, machPrefix+strayMark) }

// lost notes that a machine's lease has run out: nothing runs there any more.
func (c *Core) lost(bl *block, m *fleet.Machine) {
	c.log.Info("machine lost", "machine", m.Name, "tasks", len(m.Tasks))
	m.LeaseEnd = 0
	m.LastSeen = 0
	m.Lost = true // until it reports again
	m.Void = lead.Attempt(bl.token, bl.attempts)
	m.IdleSince = c.now
	for _, id := range sortedTasks(m.Tasks) {
		c.taskGone(bl, m, id)
	}
	bl.accounted(c, m)
	if k, known := c.where[m.Name]; known && k != bl.n {
		delete(bl.machines, m.Name) // adopted before another block's record of it was known
		c.storeGroup(bl, m.Group, false)
	}
}

// accounted notes that all that runs on a machine is known.
func (bl *block) accounted(c *Core, m *fleet.Machine) {
	m.Accounted = true
	if !bl.unaccounted[m.Name] {
		return
	}
	delete(bl.unaccounted, m.Name)
	bl.hiddenStale = true
	if len(bl.unaccounted) == 0 {
		c.log.Info("all machines accounted for", "block", bl.n, "after_s", (c.now - bl.began).Seconds())
		for _, j := range bl.active {
			j.Held = false
		}
		bl.newWork = true
	}
}

// taskGone notes that an attempt is on its machine no more.
func (c *Core) taskGone(bl *block, m *fleet.Machine, id ledger.TaskID) {
	a, ok := m.Tasks[id]
	if !ok {
		return
	}
	m.Drop(id)
	bl.usage[a.Team] = bl.usage[a.Team].Sub(a.Demand)
	if j := c.jobs[id.Job]; j != nil {
		if p, ok := j.Place(id.Task); ok && p.Machine == m.Name && p.Attempt == a.Number {
			before := j.Ready()
			j.Release(id.Task)
			c.unplaced(j)
			bl.newWork = bl.newWork || j.Ready() > before
		}
	}
	if len(m.Tasks) == 0 {
		m.IdleSince = c.now
	}
}

// taskOn notes that an attempt may be on a machine.
func (c *Core) taskOn(bl *block, m *fleet.Machine, id ledger.TaskID, a fleet.Attempt) {
	if old, ok := m.Tasks[id]; ok {
		bl.usage[old.Team] = bl.usage[old.Team].Sub(old.Demand)
	}
	m.Put(id, a)
	bl.usage[a.Team] = bl.usage[a.Team].Add(a.Demand)
}
