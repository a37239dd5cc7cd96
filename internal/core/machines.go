package core

import (
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/units"
)

// newMachine takes in a machine that is, or is about to be, stored with a
// group, and that was rented some time ago.
func (c *Core) newMachine(shard *ownedShard, name, key string, r fleet.Record, age units.Microseconds) *fleet.Machine {
	m := fleet.New(name, r, c.types[r.Type], c.now)
	m.Group, m.ProvisionedAt = key, c.now-age
	shard.machines[name] = m
	shard.writer.AddMachine(key, name, fleet.Group{Shard: shard.number, Type: r.Type, Zone: r.Zone, Spot: r.Spot, ProvisionedAt: c.wall - age})
	return m
}

// adoptAfter is how long a machine must be unknown to all before it is adopted:
// whoever has rented it needs a moment to store that.
const adoptAfter = 10 * units.Second

// orphanKey is where a machine is stored that no request is known to have rented.
func orphanKey(name string) string { return keys.OrphanMachine(name) }

func isOrphanKey(key string) bool { return keys.IsOrphanMachine(key) }

// lost notes that a machine's lease has run out: nothing runs there any more.
func (c *Core) lost(shard *ownedShard, m *fleet.Machine) {
	c.log.Info("machine lost", "machine", m.Name, "tasks", len(m.Tasks))
	m.ExpireLease(c.now, authority.AttemptNumber(shard.fencingToken, shard.attempts))
	for _, id := range m.TaskIDs() {
		c.taskRemoved(shard, m, id)
	}
	shard.reconciled(c, m)
	if k, known := c.machineShard[m.Name]; known && k != shard.number {
		delete(shard.machines, m.Name) // adopted before another block's record of it was known
		shard.writer.StoreGroup(m.Group, false)
	}
}

// reconciled notes that all that runs on a machine is known.
func (shard *ownedShard) reconciled(c *Core, m *fleet.Machine) {
	m.Reconciled = true
	if !shard.unreconciled[m.Name] {
		return
	}
	delete(shard.unreconciled, m.Name)
	shard.quota.UnreconciledChanged()
	if len(shard.unreconciled) == 0 {
		c.log.Info("all machines accounted for", "block", shard.number, "after_s", (c.now - shard.ownedSince).Seconds())
		for _, j := range shard.active {
			j.AwaitsReconciliation = false
		}
		shard.scheduler.TasksReady()
	}
}

// taskRemoved notes that an attempt is on its machine no more.
func (c *Core) taskRemoved(shard *ownedShard, m *fleet.Machine, id jobs.TaskID) {
	a, ok := m.Tasks[id]
	if !ok {
		return
	}
	m.Drop(id)
	shard.quota.Release(a.Team, a.Demand)
	if j := c.jobs.Get(id.Job); j != nil {
		if p, ok := j.Place(id.Task); ok && p.Machine == m.Name && p.Attempt == a.Number {
			before := j.Ready()
			j.Release(id.Task)
			c.jobs.TaskGone(j)
			if j.Ready() > before {
				shard.scheduler.TasksReady()
			}
		}
	}
	if len(m.Tasks) == 0 {
		m.IdleSince = c.now
	}
}

// taskPlaced notes that an attempt may be on a machine.
func (c *Core) taskPlaced(shard *ownedShard, m *fleet.Machine, id jobs.TaskID, a fleet.Attempt) {
	if old, ok := m.Tasks[id]; ok {
		shard.quota.Release(old.Team, old.Demand)
	}
	m.Put(id, a)
	shard.quota.Charge(a.Team, a.Demand)
}
