package core

import (
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/unit"
)

// awakeStep is the most that one tick adds to the silence: time for which this
// node stood still, or could not keep up, says nothing of the workers.
const awakeStep = 2 * TickEvery

// TickEvery is how often the outer layers let time pass.
const TickEvery = unit.Second / 20

// manyMachines is how many machines are enough that all of them will not end,
// nor pause, at the same moment.
const manyMachines = 20

// deaf reports whether this node should let another controller try, as no
// worker reaches it. Of many machines some report all the time, so that a short
// silence tells. Where no other controller is known to be better off, it must
// not give up again and again: if the machines are really gone, their leases
// have to run out under one holder.
func (c *Core) deaf(bl *block) bool {
	bound := 2*c.cfg.ReportEvery + unit.Second
	if c.silence <= c.cfg.ReportEvery/2+unit.Second || c.cfg.Size == 1 {
		return false
	}
	booted := 0
	for _, m := range bl.machines {
		if m.LastSeen != 0 || m.LeaseEnd != 0 {
			booted++
		}
	}
	if c.silence <= bound && !(c.heardAny && booted >= manyMachines) || booted == 0 {
		return false
	}
	return c.deafAt == 0 || c.now-c.deafAt >= deafFor+2*c.leaseBound() || c.hearingPeer()
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

// deafFor is how long a controller that no worker could reach counts as deaf,
// unless one does. It is long enough for each of several controllers to try
// before the first does so again.
const deafFor = 60 * unit.Second

func (c *Core) deafNow() bool { return c.wasDeaf && c.now-c.deafAt < deafFor }

// isDeaf reports whether a controller is known to be out of the workers' reach.
func (c *Core) isDeaf(node string) bool {
	if node == c.cfg.Node {
		return c.deafNow()
	}
	return c.peers.views[node].status.Deaf
}

// sweep looks at all machines, a few times a second.
func (c *Core) sweep(bl *block) {
	var expired, silent []*fleet.Machine
	heard := map[string]int{}
	patience := c.patience()
	for _, m := range bl.machines {
		switch {
		case m.LeaseEnd == 0:
		case c.now >= m.LeaseEnd:
			expired = append(expired, m)
		case m.Leaving:
		case m.Notice != unit.Never:
			if c.now > m.Notice+unit.Second/2 {
				silent = append(silent, m)
			}
		case m.LastSeen != 0 && c.now-m.LastSeen < c.nextReport():
			heard[m.Record.Zone]++
		case c.now-max(m.LastSeen, bl.began) > patience:
			silent = append(silent, m)
		}
	}
	byName := func(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(expired, byName)
	slices.SortFunc(silent, byName)
	for _, m := range expired {
		c.lost(bl, m)
	}
	c.dropUnlisted(bl)
	if n := len(bl.unaccounted); n > 0 && n <= fewOf(len(bl.machines)) && (c.now-bl.began > c.nextReport()+unit.Second || bl.noneAnswers()) {
		// All work accepted earlier waits for these few. Most likely they are
		// gone: what they may hold is worth less than what waits.
		for _, name := range sortedKeys(bl.unaccounted) {
			if m := bl.machines[name]; m != nil && !m.Leaving && m.LastSeen == 0 {
				c.log.Warn("machine silent since the block was taken over", "machine", name)
				bl.giveBack(m)
			}
		}
	}
	if c.now >= bl.cloudWait {
		c.dropSilent(bl, silent, heard)
	}
}

// dropUnlisted returns the machines of earlier holders that the cloud does not list any
// more and that have not been heard. Without an address they cannot be asked, and there
// may be many: while the state service is away, a holder cannot store which it returns.
// Were a list to lack most machines, the list would be at fault.
func (c *Core) dropUnlisted(bl *block) {
	var gone []*fleet.Machine
	for _, name := range sortedKeys(bl.unaccounted) {
		if m := bl.machines[name]; m != nil && m.Unlisted && !m.Leaving && m.LastSeen == 0 {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 || 2*len(gone) > len(bl.machines) {
		return
	}
	c.log.Warn("machines are listed no more since the block was taken over", "machines", len(gone))
	for _, m := range gone {
		bl.giveBack(m)
	}
}

// patience is how long a machine may be silent.
func (c *Core) patience() unit.Micros { return 2*c.cfg.ReportEvery + 2*unit.Second }

// giveBack has a machine returned with the next request.
func (bl *block) giveBack(m *fleet.Machine) {
	m.Leaving = true
	bl.leaving = append(bl.leaving, m.Name)
}

// fewOf is how many machines may be given up early, as a part of all.
func fewOf(n int) int { return max(1, n/20) }

// heardPart is how many silent machines one that is heard speaks against.
const heardPart = 4

// dropSilent returns machines that have gone silent: once the cloud has said
// that they are gone their tasks may start elsewhere, long before their lease
// would have run out. A machine whose notice has run out is expected to be
// gone. Any other is given up only while enough machines of its zone are heard:
// otherwise it is more likely this node that cannot be reached. They need not be
// most: when the greater part of a zone's spot machines was taken while controllers
// were down, work accepted earlier waited for the leases of the dead ones.
func (c *Core) dropSilent(bl *block, silent []*fleet.Machine, heard map[string]int) {
	patience := c.patience()
	count := map[string]int{}
	for _, m := range silent {
		if m.Notice == unit.Never {
			count[m.Record.Zone]++
		}
	}
	for _, z := range c.cfg.Zones {
		// After a cut the first machines heard again do not speak against those
		// that are about to be: the zone must have been heard for a while.
		if heardPart*heard[z] <= count[z] {
			bl.deafZone[z] = c.now
		}
	}
	for _, m := range silent {
		z := m.Record.Zone
		if m.Notice != unit.Never || heardPart*heard[z] > count[z] && c.now-bl.deafZone[z] > patience {
			c.log.Warn("machine silent", "machine", m.Name, "tasks", len(m.Tasks), "notice", m.Notice != unit.Never)
			bl.giveBack(m)
		}
	}
	if n := min(len(bl.leaving), 100); n > 0 {
		c.emit(ReturnHosts{bl.n, bl.grant, bl.leaving[:n:n]})
		bl.leaving = bl.leaving[n:]
	}
}

// nextReport is the time within which a machine that is heard reports again.
func (c *Core) nextReport() unit.Micros { return 3 * c.cfg.ReportEvery / 2 }
