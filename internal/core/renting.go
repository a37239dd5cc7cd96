package core

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// tickTypes reads the price list, on every controller that needs it.
func (c *Core) tickTypes() {
	if (c.leader != nil || len(c.held) > 0) && c.now >= c.typesAt {
		c.typesAt = c.now + 20*unit.Second
		c.emit(FetchTypes{})
	}
}

// tickCloud talks to the cloud: the machine list, renting and returning.
func (c *Core) tickCloud(bl *block) {
	if c.now < bl.cloudWait || len(c.types) == 0 {
		return
	}
	if c.now >= bl.hostsAt && bl.n == 0 {
		bl.hostsAt = c.now + max(5*unit.Second, c.cfg.ListLag)
		c.emit(ListHosts{Asked: c.now})
	}
	if c.now >= bl.planAt {
		bl.planAt = c.now + unit.Second
		c.plan(bl)
	}
	if c.now >= bl.logAt {
		bl.logAt = c.now + 10*unit.Second
		c.logFleet(bl)
	}
}

// plan rents and returns machines.
func (c *Core) plan(bl *block) {
	if len(bl.unaccounted) > fewOf(len(bl.machines)) && c.now < bl.began+c.leaseBound() {
		return // what runs, and so what is needed, is not known yet
	}
	needs := c.needs(bl)
	var ms []scale.Machine
	late := 0
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		if m.Leaving || m.Lost || m.Sick || m.Notice != unit.Never {
			continue
		}
		if m.Type != nil && m.LastSeen == 0 && m.LeaseEnd == 0 && c.now-m.Rented > lateBoot*m.Type.Boot && late < fewOf(len(bl.machines)) {
			late++ // what waits for it should not wait for that one alone
			continue
		}
		sm := scale.Machine{Name: name, Pool: poolOf(m), Booted: m.LastSeen != 0, Age: c.now - m.Rented}
		if len(m.Tasks) == 0 {
			sm.Idle = c.now - m.IdleSince + 1
		}
		ms = append(ms, sm)
	}
	rents, back := bl.scaler.Plan(c.now, needs, ms, c.types)
	for _, sm := range ms {
		if m := bl.machines[sm.Name]; sm.Wanted {
			m.Spare = 0
		} else if m.Spare == 0 {
			m.Spare = c.now
		}
	}
	if bl.renting == 0 {
		c.rent(bl, rents)
	}
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		boot := 30 * unit.Second
		if m.Type != nil {
			boot = 6*m.Type.Boot + 10*unit.Second
		}
		switch {
		case m.Leaving:
		case m.Sick && m.Accounted && len(m.Tasks) == 0,
			m.Lost && c.now-m.IdleSince > 10*unit.Second,
			m.LastSeen == 0 && m.LeaseEnd == 0 && c.now-m.Rented > boot:
			back = append(back, name)
		}
	}
	for _, name := range back {
		bl.giveBack(bl.machines[name])
	}
}

// lateBoot is how many times as long as usual a machine may take to come up
// before the work at hand no longer counts on it. It takes up to one and a half
// times; those that never come up are returned much later. Of many machines only
// a few can be late for reasons of their own.
const lateBoot = 2

// rent asks for machines in as many requests as the cloud takes in a second, a
// part of them for each of the offers.
func (c *Core) rent(bl *block, rents []scale.Rent) {
	if len(rents) == 0 {
		return
	}
	each := max(1, int(c.cfg.CloudRate*c.cloudPart/2)/len(rents))
	for _, r := range rents {
		left := r.Count
		for range each {
			if left <= 0 {
				break
			}
			r.Count = min(left, fleet.MaxGroup)
			left -= r.Count
			bl.requests++
			bl.renting++
			// A name that no other grant uses: names must never come again.
			c.emit(RentHosts{Block: bl.n, Grant: bl.grant, Request: fmt.Sprintf("r-%d-%d", bl.token, bl.requests), Rent: r})
		}
	}
}

func poolOf(m *fleet.Machine) scale.Pool {
	return scale.Pool{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// OnTypes takes the price list. A type that is new is stored by the leader, so
// that every node knows it.
func (c *Core) OnTypes(now unit.Micros, o store.Outcome, types []fleet.Type) {
	c.at(now)
	if o != store.OK {
		c.typesAt = now + 2*unit.Second
		return
	}
	for _, t := range types {
		key := c.typeKey(t.Name)
		old := c.types[t.Name]
		c.setType(t)
		if l := c.leader; l != nil && (old == nil || c.mirror.Stamp(key) == 0) {
			l.write(c, []store.Guard{{Key: key, Stamp: c.mirror.Stamp(key)}}, store.Change{Key: key, Value: store.Value(t)})
		}
	}
	for _, bl := range c.held {
		for _, m := range bl.machines {
			if m.Type == nil {
				m.Type = c.types[m.Record.Type]
				bl.hiddenStale = true
			}
		}
	}
}

// under returns the block that an answer of the cloud is for, if it is still
// held under the same grant.
func (c *Core) under(k int, grant uint64) *block {
	if bl := c.held[k]; bl != nil && bl.grant == grant && bl.ready {
		return bl
	}
	return nil
}

// OnRent takes a rental's outcome.
func (c *Core) OnRent(now unit.Micros, r RentHosts, o store.Outcome, names []string) {
	c.at(now)
	bl := c.under(r.Block, r.Grant)
	if bl == nil {
		return // the machines are found by their reports and in the list
	}
	bl.renting = max(0, bl.renting-1)
	switch o {
	case store.OK:
		bl.scaler.Granted(r.Rent.Pool)
		if len(names) < r.Rent.Count {
			bl.scaler.Refused(now, r.Rent.Pool)
		}
		key := machPrefix + r.Request
		for _, n := range names {
			if bl.machines[n] == nil {
				c.newMachine(bl, n, key, fleet.Record{Type: r.Rent.Pool.Type, Zone: r.Rent.Pool.Zone, Spot: r.Rent.Pool.Spot}, 0)
			}
		}
		c.storeGroup(bl, key, true)
		c.log.Info("rented", "type", r.Rent.Pool.Type, "zone", r.Rent.Pool.Zone, "spot", r.Rent.Pool.Spot, "asked", r.Rent.Count, "got", len(names))
	case store.Failed: // no capacity
		bl.scaler.Refused(now, r.Rent.Pool)
	default:
		bl.cloudWait = now + 2*unit.Second
	}
}

// OnReturn takes a return's outcome: after OK the machines and all that ran on
// them are gone.
func (c *Core) OnReturn(now unit.Micros, r ReturnHosts, o store.Outcome) {
	c.at(now)
	bl := c.under(r.Block, r.Grant)
	if bl == nil {
		return
	}
	for _, n := range r.Names {
		m := bl.machines[n]
		if m == nil {
			continue
		}
		if o != store.OK {
			m.Leaving = false // the next plan tries again
			continue
		}
		for _, id := range sortedTasks(m.Tasks) {
			c.taskGone(bl, m, id)
		}
		bl.accounted(c, m)
		delete(bl.machines, n)
		c.storeGroup(bl, m.Group, false)
		bl.gone[n] = c.now
		c.log.Info("returned", "machine", n)
	}
	if o != store.OK {
		bl.cloudWait = now + 2*unit.Second
	}
}

// unlisted notes which machines that are not accounted for a list does not show, though
// they were rented long before all that it may leave out. They are most likely gone. That
// is no proof; see dropUnlisted.
func (c *Core) unlisted(bl *block, asked unit.Micros, hosts []Host) {
	if len(bl.unaccounted) == 0 {
		return // nobody waits for any
	}
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	for name := range bl.unaccounted {
		if m := bl.machines[name]; m != nil {
			m.Unlisted = !listed[name] && m.Rented < asked-2*c.cfg.ListLag-strayAfter
		}
	}
}

// Host is a machine on the cloud's list.
type Host struct {
	Name   string
	Addr   string
	Record fleet.Record
	Failed bool
	Age    unit.Micros
}

// OnHosts takes the machine list. It may be old: it proves only that a machine
// exists or has failed, never that one is absent.
func (c *Core) OnHosts(now unit.Micros, e ListHosts, o store.Outcome, hosts []Host) {
	c.at(now)
	bl := c.held[0] // machines that nobody knows belong to the first block
	if o != store.OK || bl == nil || !bl.ready {
		return
	}
	for n, at := range bl.gone {
		if now-at > 4*c.cfg.ListLag+60*unit.Second {
			delete(bl.gone, n)
		}
	}
	c.unlisted(bl, e.Asked, hosts)
	for _, h := range hosts {
		m := bl.machines[h.Name]
		if _, gone := bl.gone[h.Name]; gone {
			continue
		}
		if m != nil && m.Addr == "" {
			m.Addr = h.Addr
		}
		if k, known := c.where[h.Name]; known && k != bl.n {
			continue // its holder finds out by itself when it fails
		}
		switch {
		case h.Failed:
			if m == nil || !m.Leaving {
				bl.leaving = append(bl.leaving, h.Name)
			}
			if m != nil {
				m.Leaving = true
			}
		case m == nil && h.Age > 2*c.cfg.ListLag+strayAfter && now-bl.began > 2*c.cfg.ListLag:
			// Rented by a request that was carried out late, or whose answer was
			// lost. Adopted: the next plan uses it or gives it back.
			m = c.newMachine(bl, h.Name, strayKey(h.Name), h.Record, h.Age)
			c.storeGroup(bl, m.Group, false)
			c.log.Info("adopted", "machine", h.Name)
		}
	}
}
