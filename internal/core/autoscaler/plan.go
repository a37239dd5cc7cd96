package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// Market is what the cloud offers at present.
type Market struct {
	Types map[string]*fleet.Type
	// ZoneLimit tells how many machines may be provisioned into a zone; less than 0: any number.
	ZoneLimit func(zone string) int
}

// Plan returns what to scale out by and which machines to scale in, given all work at hand, and
// notes on the machines which of them that work needs.
func (s *Scaler) Plan(now units.Microseconds, work map[Group]Need, machines []Machine, market Market) ([]Increase, []string) {
	s.updateAverages(now, work)
	run := s.newPlanning(now, machines, market)
	var increases []Increase
	for _, group := range s.orderedGroups() {
		if increase, ok := run.allocate(group, work[group]); ok {
			increases = append(increases, increase)
		}
	}
	return increases, run.scaleIn()
}

// orderedGroups are those that need anything, in the order in which they choose: what may use fewer pools
// first, and what uses what others leave last.
func (s *Scaler) orderedGroups() []Group {
	groups := make([]Group, 0, len(s.averages))
	for group := range s.averages {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(compareBool(a.IdleTime, b.IdleTime), compareBool(a.Spot, b.Spot),
			cmp.Compare(len(s.averages[a].types), len(s.averages[b].types)),
			cmp.Compare(b.Zone, a.Zone), // any zone last
			cmp.Compare(a.Class+a.Types, b.Class+b.Types))
	})
	return groups
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// planning is one run of Plan: what the groups that have chosen so far have left.
type planning struct {
	*Scaler
	now      units.Microseconds
	machines []Machine
	market   Market
	free     []binpack.Vec // of each machine
	cheapestFirst    []int         // of the machines, the cheapest first
	backlogs [2]backlog    // of all groups so far, by whether they may use spot
	samePools    map[Group]*backlog
}

// newPlanning returns a run in which no group has chosen yet.
func (s *Scaler) newPlanning(now units.Microseconds, machines []Machine, market Market) *planning {
	run := &planning{Scaler: s, now: now, machines: machines, market: market,
		free: make([]binpack.Vec, len(machines)), cheapestFirst: make([]int, len(machines)), samePools: map[Group]*backlog{}}
	for i, machine := range machines {
		run.cheapestFirst[i], machines[i].Needed = i, false
		if machineType := market.Types[machine.Pool.Type]; machineType != nil {
			run.free[i] = machineType.Capacity
		}
	}
	sort.SliceStable(run.cheapestFirst, func(a, b int) bool {
		one, other := machines[run.cheapestFirst[a]], machines[run.cheapestFirst[b]]
		if priceOne, priceOther := run.pricePerCPU(one.Pool), run.pricePerCPU(other.Pool); priceOne != priceOther {
			return priceOne < priceOther
		}
		if (one.Idle == 0) != (other.Idle == 0) {
			return one.Idle == 0
		}
		return one.Name < other.Name
	})
	return run
}

func (p *planning) pricePerCPU(pool Pool) float64 { return pricePerCPU(p.market.Types[pool.Type], pool.Spot) }

// allocate has a group choose among the machines, and returns what to scale out by for the rest.
func (p *planning) allocate(group Group, need Need) (Increase, bool) {
	usual := p.averages[group]
	wanted := math.Max(float64(need.Tasks), usual.tasks*(1+p.params.Headroom))
	limit := math.Inf(1)
	if group.IdleTime {
		limit = maxPremium * lowestPricePerCPU(usual.types, group.Spot, p.market.Types)
	}
	short := p.assign(group, usual, assignLimits{slots: wanted, price: limit})
	// What it falls short by is provisioned elsewhere, but there may be no more to be had: the
	// machines of lost zones that it would use are noted.
	p.assign(group, usual, assignLimits{slots: short, price: math.Inf(1), zoneLost: true})
	kind := 0
	if group.Spot {
		kind = 1
	}
	p.backlogs[kind].add(need, wanted-short, usual.tasks)
	same := group.withoutClass()
	if p.samePools[same] == nil {
		p.samePools[same] = &backlog{}
	}
	p.samePools[same].add(need, wanted-short, usual.tasks)
	if short < 0.5 {
		return Increase{}, false
	}
	return p.chooseOffer(shortfall{group: group, average: usual, slots: short, unserved: wanted-short < 0.5,
		cheapest: lowestPricePerCPU(usual.types, group.Spot, p.market.Types),
		backlog:  p.backlogs[kind], samePools: p.samePools[same]})
}

// assignLimits is what a group takes of the machines there are.
type assignLimits struct {
	slots    float64 // at most
	price    float64 // of a CPU, at most
	zoneLost bool    // of machines of lost zones, else of the others
}

// assign has a group assign slots for average tasks, and returns how many there are too few. The
// machines of which it takes any are needed.
func (p *planning) assign(group Group, usual *groupAverage, limits assignLimits) float64 {
	missing := limits.slots
	for _, i := range p.cheapestFirst {
		machine := p.machines[i]
		if missing < 0.5 {
			break
		}
		if machine.ZoneLost != limits.zoneLost || !group.usable(usual.types, machine.Pool) {
			continue
		}
		if p.pricePerCPU(machine.Pool) > limits.price && limits.slots-missing >= 0.5 {
			break // the cheaper ones come first; where there is none, one expensive machine does
		}
		taken := math.Min(missing, slots(p.free[i], usual.demand))
		if taken <= 0 {
			continue
		}
		p.machines[i].Needed = true
		missing -= taken
		for resource := range p.free[i] {
			p.free[i][resource] -= int64(taken * usual.demand[resource])
		}
	}
	return missing
}

// scaleIn names the machines that no group needs and that cost more if they stay: until the least
// charge is used up it costs the same whether one stays or not.
func (p *planning) scaleIn() []string {
	var names []string
	for _, machine := range p.machines {
		idle := machine.Booted && machine.Idle >= p.params.ScaleInAfter
		if !machine.Needed && !machine.ZoneLost && idle && machine.Age >= minCharge-minChargeMargin {
			names = append(names, machine.Name)
		}
	}
	return names
}

// shortfall is what a group lacks beside the machines there are.
type shortfall struct {
	group    Group
	average    *groupAverage
	slots    float64
	cheapest float64  // price of a CPU of the cheapest offer
	unserved bool     // there is no slot at all for it
	backlog  backlog  // of it and the groups of its kind that chose before it
	samePools    *backlog // of those of them that may use the very same pools
}

// chooseOffer chooses the cheapest way to fill a shortfall, if any is worth it: by the time a machine is
// up, the slots there are will have done part of the work, of this group and those that chose before
// it, and each new slot must find enough of the rest.
func (p *planning) chooseOffer(short shortfall) (Increase, bool) {
	best, bestPrice := Increase{}, math.Inf(1)
	for _, name := range short.average.types {
		machineType := p.market.Types[name]
		if machineType == nil {
			continue
		}
		for _, zone := range machineType.Zones {
			limit := p.market.ZoneLimit(zone)
			for _, spot := range []bool{true, false} {
				pool := Pool{name, zone, spot}
				if limit == 0 || !short.group.usable(short.average.types, pool) || p.backoffs[pool].until > p.now {
					continue
				}
				count, price := p.sizeOffer(short, machineType, spot, limit)
				if count > 0 && price < bestPrice-1e-9 {
					best, bestPrice = Increase{pool, count}, price
				}
			}
		}
	}
	return best, best.Count > 0
}

// sizeOffer returns how many machines of a type a shortfall is worth, at most limit where that is more
// than 0, and what they cost for each slot that is wanted.
func (p *planning) sizeOffer(short shortfall, machineType *fleet.Type, spot bool, limit int) (count int, price float64) {
	each := slots(machineType.Capacity, short.average.demand)
	if each <= 0 {
		return 0, 0
	}
	wanted := p.worthwhileSlots(short, machineType, spot)
	if wanted < 0.5 {
		return 0, 0
	}
	count = max(int(math.Ceil(wanted/each-0.05)), 1)
	if limit > 0 {
		count = min(count, limit)
	}
	return count, float64(count) * machineType.PriceFor(spot) / math.Min(float64(count)*each, wanted)
}

// worthwhileSlots is how many slots of a type of machine find enough work to be worth their price.
func (p *planning) worthwhileSlots(short shortfall, machineType *fleet.Type, spot bool) float64 {
	boot := machineType.Boot.Seconds()
	premium := pricePerCPU(machineType, spot) / short.cheapest
	if short.group.IdleTime && premium > maxPremium && !short.unserved {
		return 0
	}
	// A dearer slot must find more work.
	wanted := math.Min(short.slots, p.expectedWork(&short.backlog, short.average, boot)/(p.params.WorkPerSlot.Seconds()*premium))
	if premium > maxPremium {
		wanted = math.Min(wanted, short.samePools.slotsForDeadlines(p.expectedWork(short.samePools, short.average, boot)))
	}
	if short.unserved {
		wanted = math.Max(wanted, math.Min(short.slots, 1)) // little work, but nowhere to do it
	}
	return wanted
}

// expectedWork is the work that machines will find which are up after some seconds: capacity below what
// is usual will find some, capacity above it must find it waiting.
func (p *planning) expectedWork(b *backlog, usual *groupAverage, seconds float64) float64 {
	return b.waitingWorkAfter(seconds) + math.Max(0, usual.tasks-b.slots)*p.params.WorkPerSlot.Seconds()
}

// backlog is the waiting work of several groups and the slots that they have, in average tasks;
// usual are the slots that were in use lately, on average, and slack the seconds that all that waits
// may still wait.
type backlog struct {
	ready, work, running, rate, slots, usualSlots, slack float64
}

// add adds a group's work and the slots that it has.
func (b *backlog) add(need Need, slots, usual float64) {
	b.usualSlots += usual
	b.slack += need.Slack.Seconds()
	b.ready += float64(need.Ready)
	b.work += need.Waiting.Seconds()
	b.running += float64(need.Running)
	b.rate += need.Rate
	b.slots += slots
}

// waitingWorkAfter is the work that will still wait waitingWorkAfter some seconds in which tasks that run now complete and
// free slots, and slots that are empty or boot take what they can.
func (b *backlog) waitingWorkAfter(seconds float64) float64 {
	ready := b.ready - b.rate*seconds - math.Max(0, b.slots-b.running)
	if ready <= 0 {
		return 0
	}
	return ready * b.work / b.ready
}

// slotsForDeadlines is how many slots more would do some work in time that still waits: what waits
// is shared by all slots but those that are taken by work that comes, as much as lately. Without
// this, queues that the slots there are would have worked off soon had expensive machines
// provisioned, which came up to find little left to do (TestExpensiveOnlyForMissedDeadlines).
func (b *backlog) slotsForDeadlines(work float64) float64 {
	if b.ready <= 0 {
		return math.Inf(1)
	}
	return work/math.Max(1, b.slack/b.ready) - math.Max(0, b.slots-b.usualSlots)
}
