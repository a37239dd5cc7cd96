package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/renting"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// tenancy is what a block does for those that rent its machines, watch over them and weigh
// its work (packages renting, watch and demand).
type tenancy struct {
	*Core
	bl *block
}

// Emit implements renting.Host.
func (t tenancy) Emit(e any) { t.emit(e) }

// Grant implements renting.Host.
func (t tenancy) Grant() uint64 { return t.bl.grant }

// Machines implements renting.Host and watch.Host.
func (t tenancy) Machines() map[string]*fleet.Machine { return t.bl.machines }

// Doubtful implements renting.Host and watch.Host.
func (t tenancy) Doubtful() map[string]bool { return t.bl.unaccounted }

// Needs implements renting.Host. While what earlier holders left is not known, neither is
// what is needed.
func (t tenancy) Needs() (map[scale.Group]scale.Need, bool) {
	// What is in a zone that is lost may run on there, and has to be done elsewhere.
	if len(t.bl.unaccounted) > renting.FewOf(len(t.bl.machines)) && t.now < t.bl.began+t.leaseBound() {
		unknown := 0
		for name := range t.bl.unaccounted {
			if m := t.bl.machines[name]; m != nil && !t.zones.Lost(m.Record.Zone) {
				unknown++
			}
		}
		if unknown > renting.FewOf(len(t.bl.machines)) {
			return nil, false
		}
	}
	return t.bl.demand.Needs(t.now, t.wall, t.bl.queue.Jobs(), t), true
}

// Types implements renting.Host.
func (t tenancy) Types() map[string]*fleet.Type { return t.types }

// Calls implements renting.Host.
func (t tenancy) Calls() float64 { return t.cfg.CloudRate * t.cloudPart }

// Rented implements renting.Host.
func (t tenancy) Rented(request string, r fleet.Record, names []string) {
	key := machPrefix + request
	for _, n := range names {
		if t.bl.machines[n] == nil {
			t.newMachine(t.bl, n, key, r, 0)
		}
	}
	t.storeGroup(t.bl, key, true)
}

// Returned implements renting.Host.
func (t tenancy) Returned(m *fleet.Machine) {
	for _, id := range sortedTasks(m.Tasks) {
		t.taskGone(t.bl, m, id)
	}
	t.bl.accounted(t.Core, m)
	delete(t.bl.machines, m.Name)
	t.storeGroup(t.bl, m.Group, false)
}

// Adopt implements renting.Host.
func (t tenancy) Adopt(h Host) {
	m := t.newMachine(t.bl, h.Name, strayKey(h.Name), h.Record, h.Age)
	t.storeGroup(t.bl, m.Group, false)
}

// Elsewhere implements renting.Host.
func (t tenancy) Elsewhere(machine string) bool {
	k, known := t.where[machine]
	return known && k != t.bl.n
}

// Asked implements watch.Host.
func (t tenancy) Asked() bool { return t.bl.noneAnswers() }

// Lost implements watch.Host.
func (t tenancy) Lost(m *fleet.Machine) { t.lost(t.bl, m) }

// Limit implements demand.Host.
func (t tenancy) Limit(team string) pack.Vec {
	if x := t.teams[team]; x != nil {
		return x.Limit
	}
	return pack.Vec{}
}

// Stranded implements demand.Host.
func (t tenancy) Stranded(j *ledger.Job) int {
	n := 0
	for _, z := range t.cfg.Zones {
		if t.zones.Lost(z) {
			n += j.PlacedIn(z)
		}
	}
	return n
}

// Fitting implements demand.Host.
func (t tenancy) Fitting(s *ledger.Spec) []string { return t.fitting(s) }

// under returns the block that an answer of the cloud is for, if it is still
// held under the same grant.
func (c *Core) under(k int, grant uint64) *block {
	if bl := c.held[k]; bl != nil && bl.grant == grant && bl.ready {
		return bl
	}
	return nil
}

// OnRent takes a rental's outcome.
func (c *Core) OnRent(now unit.Micros, e RentHosts, o store.Outcome, names []string) {
	c.at(now)
	if bl := c.under(e.Block, e.Grant); bl != nil { // else they are found by their reports and in the list
		bl.renter.OnRent(c.now, e, o, names)
	}
}

// OnReturn takes a return's outcome.
func (c *Core) OnReturn(now unit.Micros, e ReturnHosts, o store.Outcome) {
	c.at(now)
	if bl := c.under(e.Block, e.Grant); bl != nil {
		bl.renter.OnReturn(c.now, e, o)
	}
}

// OnHosts takes the machine list.
func (c *Core) OnHosts(now unit.Micros, e ListHosts, o store.Outcome, hosts []Host) {
	c.at(now)
	bl := c.held[0] // machines that nobody knows belong to the first block
	if o == store.OK && bl != nil && bl.ready {
		bl.renter.OnHosts(c.now, e, hosts)
	}
}

// tickCloud talks to the cloud for a block.
func (c *Core) tickCloud(bl *block) {
	if !bl.renter.Ready(c.now) || len(c.types) == 0 {
		return
	}
	bl.renter.Tick(c.now, bl.n == 0)
	if c.now >= bl.logAt {
		bl.logAt = c.now + 10*unit.Second
		c.logFleet(bl)
	}
}

// hearingPeer reports whether another controller could take a block over that
// has not found itself deaf.
func (c *Core) hearingPeer() bool {
	for _, n := range c.peers.names {
		if c.alive(c.peers.views[n]) && !c.isDeaf(n) && c.seats.Of(n) != 0 {
			return true
		}
	}
	return false
}

// deaf reports whether a block should be given up as no worker reaches this node.
func (c *Core) deaf(bl *block) bool {
	if c.cfg.Size == 1 || c.zones.Explains() {
		return false
	}
	up := 0
	for _, m := range bl.machines {
		if m.LastSeen != 0 || m.LeaseEnd != 0 {
			up++
		}
	}
	return c.reach.Deaf(c.now, up, c.hearingPeer)
}

// isDeaf reports whether a controller is known to be out of the workers' reach.
func (c *Core) isDeaf(node string) bool {
	if node == c.cfg.Node {
		return c.reach.DeafNow(c.now)
	}
	return c.peers.views[node].status.Deaf
}
