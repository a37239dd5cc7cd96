package core

import (
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// shardHost is what a block does for those that rent its machines, watch over them and weigh
// its work (packages renting, watch and demand).
type shardHost struct {
	*Core
	bl *ownedShard
}

// Emit implements renting.Host.
func (t shardHost) Emit(e any) { t.emit(e) }

// Assignment implements renting.Host.
func (t shardHost) Assignment() uint64 { return t.bl.assignment }

// Machines implements renting.Host and watch.Host.
func (t shardHost) Machines() map[string]*fleet.Machine { return t.bl.reconciler.Machines() }

// Unreconciled implements renting.Host and watch.Host.
func (t shardHost) Unreconciled() map[string]bool { return t.bl.reconciler.Unreconciled() }

// SlotsNeeded implements renting.Host. While what earlier holders left is not known, neither is
// what is needed.
func (t shardHost) SlotsNeeded() (map[autoscaler.Group]autoscaler.Need, bool) {
	// What is in a zone that is lost may run on there, and has to be done elsewhere.
	if len(t.bl.reconciler.Unreconciled()) > provisioner.FewOf(len(t.bl.reconciler.Machines())) && t.now < t.bl.ownedSince+t.leaseBound() {
		unknown := 0
		for name := range t.bl.reconciler.Unreconciled() {
			if m := t.bl.reconciler.Machine(name); m != nil && !t.zones.Lost(m.Record.Zone) {
				unknown++
			}
		}
		if unknown > provisioner.FewOf(len(t.bl.reconciler.Machines())) {
			return nil, false
		}
	}
	return t.bl.demand.SlotsNeeded(t.now, t.wall, t.bl.scheduler.Jobs(), t), true
}

// Types implements renting.Host.
func (t shardHost) Types() map[string]*fleet.Type { return t.types }

// Calls implements renting.Host.
func (t shardHost) Calls() float64 { return t.cfg.CloudRate * t.cloudPart }

// Provisioned implements renting.Host.
func (t shardHost) Provisioned(request string, r fleet.Record, names []string) {
	key := machinePrefix + request
	for _, n := range names {
		if t.bl.reconciler.Machines()[n] == nil {
			t.newMachine(t.bl, n, key, r, 0)
		}
	}
	t.bl.writer.StoreGroup(key, true)
}

// Deprovisioned implements renting.Host.
func (t shardHost) Deprovisioned(m *fleet.Machine) {
	t.bl.reconciler.Deprovision(t.now, m)
	t.bl.writer.StoreGroup(m.Group, false)
}

// Adopt implements renting.Host.
func (t shardHost) Adopt(h ListedMachine) {
	m := t.newMachine(t.bl, h.Name, orphanKey(h.Name), h.Record, h.Age)
	t.bl.writer.StoreGroup(m.Group, false)
}

// InAnotherShard implements renting.Host.
func (t shardHost) InAnotherShard(machine string) bool {
	k, known := t.machineShard[machine]
	return known && k != t.bl.number
}

// ProbesExhausted implements watch.Host.
func (t shardHost) ProbesExhausted() bool { return t.bl.reconciler.ProbesExhausted() }

// Lost implements watch.Host.
func (t shardHost) Lost(m *fleet.Machine) { t.bl.reconciler.ExpireLease(t.now, m) }

// Limit implements demand.Host.
func (t shardHost) Limit(team string) binpack.Vec {
	if x := t.teams[team]; x != nil {
		return x.Limit
	}
	return binpack.Vec{}
}

// LostTasks implements demand.Host.
func (t shardHost) LostTasks(j *jobs.Job) int {
	n := 0
	for _, z := range t.cfg.Zones {
		if t.zones.Lost(z) {
			n += j.PlacedIn(z)
		}
	}
	return n
}

// CompatibleTypes implements demand.Host.
func (t shardHost) CompatibleTypes(s *jobs.Spec) []string { return t.compatibleTypes(s) }

// ownedUnder returns the block that an answer of the cloud is for, if it is still
// held under the same grant.
func (c *Core) ownedUnder(k int, grant uint64) *ownedShard {
	if shard := c.owned[k]; shard != nil && shard.assignment == grant && shard.ready {
		return shard
	}
	return nil
}

// OnScaleOut takes a rental's outcome.
func (c *Core) OnScaleOut(now units.Microseconds, e ScaleOut, o store.Outcome, names []string) {
	c.advance(now)
	if shard := c.ownedUnder(e.Shard, e.Assignment); shard != nil { // else they are found by their reports and in the list
		shard.provisioner.OnScaleOut(c.now, e, o, names)
	}
}

// OnScaleIn takes a return's outcome.
func (c *Core) OnScaleIn(now units.Microseconds, e ScaleIn, o store.Outcome) {
	c.advance(now)
	if shard := c.ownedUnder(e.Shard, e.Assignment); shard != nil {
		shard.provisioner.OnScaleIn(c.now, e, o)
	}
}

// OnListMachines takes the machine list.
func (c *Core) OnListMachines(now units.Microseconds, e ListMachines, o store.Outcome, hosts []ListedMachine) {
	c.advance(now)
	shard := c.owned[0] // machines that nobody knows belong to the first block
	if o == store.OK && shard != nil && shard.ready {
		shard.provisioner.OnListMachines(c.now, e, hosts)
	}
}

// tickCloud talks to the cloud for a block.
func (c *Core) tickCloud(shard *ownedShard) {
	if !shard.provisioner.Ready(c.now) || len(c.types) == 0 {
		return
	}
	shard.provisioner.Tick(c.now, shard.number == 0)
	if c.now >= shard.nextLogAt {
		shard.nextLogAt = c.now + 10*units.Second
		c.logFleet(shard)
	}
}

// reachablePeer reports whether another controller could take a block over that
// has not found itself deaf.
func (c *Core) reachablePeer() bool {
	for _, n := range c.peers.Names() {
		if c.peers.Alive(c.now, n) && !c.peerUnreachable(n) && c.membership.Current(n) != 0 {
			return true
		}
	}
	return false
}

// unreachable reports whether a block should be given up as no worker reaches this node.
func (c *Core) unreachable(shard *ownedShard) bool {
	if c.cfg.Size == 1 || c.zones.Explains() {
		return false
	}
	return c.reachability.Unreachable(c.now, shard.reconciler.Up(), c.reachablePeer)
}

// peerUnreachable reports whether a controller is known to be out of the workers' reach.
func (c *Core) peerUnreachable(node string) bool {
	if node == c.cfg.Node {
		return c.reachability.UnreachableNow(c.now)
	}
	return c.peers.Status(node).Deaf
}
