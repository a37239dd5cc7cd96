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

// Market is the cloud's present offer.
type Market struct {
	Types map[string]*fleet.Type
	// ZoneLimit returns the number of machines that may be provisioned into a zone; a negative number
	// means no limit.
	ZoneLimit func(zone string) int
	// Staying returns the demand of the tasks on a machine that are not expected to complete for a long time;
	// nil means that there are none but replicas of services.
	Staying func(machine string) binpack.Vec
}

// Plan returns the increases to request and the names of the machines to scale in, given all work at
// hand. It sets Needed on the machines that the work needs, and clears it on the others.
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

// orderedGroups returns the groups with demand in the order in which they are allocated machines: groups
// that may use fewer pools first, and idle-time work last.
func (s *Scaler) orderedGroups() []Group {
	groups := make([]Group, 0, len(s.averages))
	for group := range s.averages {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(compareBool(a.IdleTime, b.IdleTime), compareBool(a.Spot, b.Spot),
			cmp.Compare(len(s.averages[a].types), len(s.averages[b].types)),
			cmp.Compare(b.Zones, a.Zones), // groups for any zone last
			cmp.Compare(a.Class+a.Types, b.Class+b.Types), compareBool(a.Service, b.Service))
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

// planning is the state of one run of Plan: the capacity that is left after the groups allocated so far.
type planning struct {
	*Scaler
	now           units.Microseconds
	machines      []Machine
	market        Market
	free          []binpack.Vec // free capacity, by index in machines
	rooms         rooms
	placed        map[Group]float64 // replicas of services on machines, by group
	cheapestFirst []int             // indices of machines, the cheapest first
	backlogs      [2]backlog        // of the groups allocated so far; index 1 if they may use spot machines, else 0
	samePools     map[Group]*backlog
}

// newPlanning returns a run in which no group has been allocated machines yet.
func (s *Scaler) newPlanning(now units.Microseconds, machines []Machine, market Market) *planning {
	run := &planning{Scaler: s, now: now, machines: machines, market: market,
		free: make([]binpack.Vec, len(machines)), rooms: newRooms(machines, market), placed: map[Group]float64{},
		cheapestFirst: make([]int, len(machines)), samePools: map[Group]*backlog{}}
	for i, machine := range machines {
		run.cheapestFirst[i], machines[i].Needed = i, false
		run.free[i] = run.rooms.besideReplicas[i]
		if machine.ZoneLost {
			continue // its replicas have to start elsewhere
		}
		for _, replicas := range machine.Replicas {
			machines[i].Needed = true
			run.placed[replicas.Group] += float64(replicas.Count)
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

func (p *planning) pricePerCPU(pool Pool) float64 {
	return pricePerCPU(p.market.Types[pool.Type], pool.Spot)
}

// allocate assigns existing machines to a group, and returns the increase that covers the rest of its
// demand, if any.
func (p *planning) allocate(group Group, need Need) (Increase, bool) {
	average := p.averages[group]
	placed := p.placed[group] // replicas that have their places
	wanted := math.Max(0, math.Max(float64(need.Tasks), average.tasks*(1+p.params.Headroom))-placed)
	limit := math.Inf(1)
	if group.IdleTime {
		limit = maxPremium * lowestPricePerCPU(average.types, group.Spot, p.market.Types)
	}
	missing := p.assign(group, average, assignLimits{slots: wanted, price: limit})
	// The shortfall is provisioned elsewhere, but the cloud may have no capacity for it. So the machines
	// of lost zones that the group would use count as needed too.
	p.assign(group, average, assignLimits{slots: missing, price: math.Inf(1), zoneLost: true})
	spotIndex := 0
	if group.Spot {
		spotIndex = 1
	}
	slots := wanted - missing + placed
	p.backlogs[spotIndex].add(need, slots, average.tasks)
	pools := group.pools()
	if p.samePools[pools] == nil {
		p.samePools[pools] = &backlog{}
	}
	p.samePools[pools].add(need, slots, average.tasks)
	without := p.demandsWithoutRoom(group, average, need)
	missing = math.Max(missing, math.Max(without, p.strandedReplicas(group, average, need)))
	if missing < 0.5 {
		return Increase{}, false
	}
	return p.chooseOffer(shortfall{group: group, average: average, slots: missing, certain: float64(need.Replicas) + without, unserved: slots < 0.5,
		cheapest: lowestPricePerCPU(average.types, group.Spot, p.market.Types),
		backlog:  p.backlogs[spotIndex], samePools: p.samePools[pools]})
}

// strandedAfter is how long replicas of a group must have waited before they count as stranded. It covers the
// heartbeats with which machines get replicas that have room there.
const strandedAfter = 30 * units.Second

// strandedReplicas returns the number of a group's replicas that have waited for strandedAfter and find room on
// no empty machine. Assigned capacity may exist for them all the same: what is left on each machine may be too
// little, as other replicas that never complete are spread over them.
func (p *planning) strandedReplicas(group Group, average *groupAverage, need Need) float64 {
	if need.Replicas == 0 {
		average.replicasWaitSince = 0
		return 0
	}
	if average.replicasWaitSince == 0 {
		average.replicasWaitSince = p.now
	}
	if p.now-average.replicasWaitSince < strandedAfter {
		return 0
	}
	room := 0.0
	for _, machine := range p.machines {
		machineType := p.market.Types[machine.Pool.Type]
		if machineType != nil && machine.Idle > 0 && !machine.ZoneLost && group.usable(average.types, machine.Pool) {
			room += group.slots(machineType.Capacity, average.demand)
		}
	}
	return math.Max(0, float64(need.Replicas)-room)
}

// assignLimits limits what assign assigns to a group.
type assignLimits struct {
	slots    float64 // maximum number of slots
	price    float64 // maximum price of a CPU
	zoneLost bool    // use only machines of lost zones; otherwise only the others
}

// assign assigns slots of existing machines to a group, in units of its average task, and returns the
// number of slots that are missing. It marks the machines used as needed.
func (p *planning) assign(group Group, average *groupAverage, limits assignLimits) float64 {
	missing := limits.slots
	for _, i := range p.cheapestFirst {
		machine := p.machines[i]
		if missing < 0.5 {
			break
		}
		if machine.ZoneLost != limits.zoneLost || !group.usable(average.types, machine.Pool) || !p.rooms.holds(i, average.demand) {
			continue
		}
		if p.pricePerCPU(machine.Pool) > limits.price && limits.slots-missing >= 0.5 {
			break // cheaper machines come first; if none gives a slot, one expensive machine is used
		}
		assigned := math.Min(missing, group.slots(p.free[i], average.demand))
		if assigned <= 0 {
			continue
		}
		p.machines[i].Needed = true
		missing -= assigned
		for resource := range p.free[i] {
			p.free[i][resource] -= int64(assigned * average.demand[resource])
		}
	}
	return missing
}

// scaleIn returns the names of the machines that no group needs and that would cost more if they stayed.
// Until its minimum charge is used up, a machine costs the same whether it stays or not.
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

// shortfall is the demand of a group that existing machines do not cover.
type shortfall struct {
	group     Group
	average   *groupAverage
	slots     float64
	certain   float64  // slots that are worth any price: those of ready replicas, and of tasks for which no room will come
	cheapest  float64  // price of a CPU in the cheapest offer
	unserved  bool     // the group has no slot at all
	backlog   backlog  // of the group and those allocated before it that match it in use of spot machines
	samePools *backlog // of those of them that may use exactly the same pools
}

// chooseOffer returns the cheapest increase that covers a shortfall, if one is worth its price. By the
// time a new machine is up, existing slots will have done part of the work of this group and of those
// allocated before it. Each new slot must find enough of the remaining work.
func (p *planning) chooseOffer(unmet shortfall) (Increase, bool) {
	best, bestPrice := Increase{}, math.Inf(1)
	for _, name := range unmet.average.types {
		machineType := p.market.Types[name]
		if machineType == nil {
			continue
		}
		for _, zone := range machineType.Zones {
			limit := p.market.ZoneLimit(zone)
			for _, spot := range []bool{true, false} {
				pool := Pool{name, zone, spot}
				if limit == 0 || !unmet.group.usable(unmet.average.types, pool) || p.backoffs[pool].until > p.now {
					continue
				}
				count, price := p.sizeOffer(unmet, machineType, spot, limit)
				if count > 0 && price < bestPrice-1e-9 {
					best, bestPrice = Increase{pool, count}, price
				}
			}
		}
	}
	return best, best.Count > 0
}

// sizeOffer returns the number of machines of a type that a shortfall is worth, and their price per slot
// wanted. A positive limit is the maximum number.
func (p *planning) sizeOffer(unmet shortfall, machineType *fleet.Type, spot bool, limit int) (count int, price float64) {
	each := unmet.group.slots(machineType.Capacity, unmet.average.demand)
	if each <= 0 {
		return 0, 0
	}
	wanted := p.worthwhileSlots(unmet, machineType, spot)
	if wanted < 0.5 {
		return 0, 0
	}
	count = max(int(math.Ceil(wanted/each-0.05)), 1)
	if limit > 0 {
		count = min(count, limit)
	}
	return count, float64(count) * machineType.PriceFor(spot) / math.Min(float64(count)*each, wanted)
}

// worthwhileSlots returns the number of slots of a machine type that would find enough work to be worth
// their price. A replica of a service is worth a slot at any price: no existing slot will do its work
// meanwhile, as it never completes, and no other replica leaves it one. So is a task for which no room will come.
func (p *planning) worthwhileSlots(unmet shortfall, machineType *fleet.Type, spot bool) float64 {
	return math.Min(unmet.slots, math.Max(0, p.slotsWithEnoughWork(unmet, machineType, spot))+unmet.certain)
}

// slotsWithEnoughWork returns the number of slots of a machine type that would find enough work that
// completes.
func (p *planning) slotsWithEnoughWork(unmet shortfall, machineType *fleet.Type, spot bool) float64 {
	boot := machineType.Boot.Seconds()
	premium := pricePerCPU(machineType, spot) / unmet.cheapest
	if unmet.group.IdleTime && premium > maxPremium && !unmet.unserved {
		return 0
	}
	// A more expensive slot must find more work.
	wanted := math.Min(unmet.slots, p.expectedWork(&unmet.backlog, unmet.average, boot)/(p.params.WorkPerSlot.Seconds()*premium))
	if premium > maxPremium {
		wanted = math.Min(wanted, unmet.samePools.slotsForDeadlines(p.expectedWork(unmet.samePools, unmet.average, boot)))
	}
	if unmet.unserved {
		// There may be little work, but there is no slot for it at all.
		wanted = math.Max(wanted, math.Min(unmet.slots, 1))
	}
	return wanted
}

// expectedWork returns the work, in seconds, that machines will find that are up after the given time.
// Capacity below the usual demand will find new work; capacity above it depends on work that is waiting
// already.
func (p *planning) expectedWork(b *backlog, average *groupAverage, seconds float64) float64 {
	return b.waitingWorkAfter(seconds) + math.Max(0, average.tasks-b.slots)*p.params.WorkPerSlot.Seconds()
}

// backlog is the waiting work of several groups and the slots that they have, in units of average tasks.
// ready and running are numbers of tasks, work is the run time of the ready tasks in seconds, and rate is
// in completed tasks per second. usualSlots is the average number of slots in recent use. slack is the
// time in seconds, added up, that ready tasks may still wait.
type backlog struct {
	ready, work, running, rate, slots, usualSlots, slack float64
}

// add adds a group's work, its slots and the slots that it usually uses.
func (b *backlog) add(need Need, slots, usualSlots float64) {
	b.usualSlots += usualSlots
	b.slack += need.Slack.Seconds()
	b.ready += float64(need.Ready)
	b.work += need.Waiting.Seconds()
	b.running += float64(need.Running)
	b.rate += need.Rate
	b.slots += slots
}

// waitingWorkAfter returns the work that will still be waiting after some seconds. Meanwhile running
// tasks complete and free their slots, and slots that are empty or booting take what they can.
func (b *backlog) waitingWorkAfter(seconds float64) float64 {
	ready := b.ready - b.rate*seconds - math.Max(0, b.slots-b.running)
	if ready <= 0 {
		return 0
	}
	return ready * b.work / b.ready
}

// slotsForDeadlines returns the number of additional slots with which waiting work would meet its
// deadlines. All slots share the waiting work, except those that new work occupies, which is assumed to
// arrive at the recent rate. Without this limit, expensive machines were provisioned for queues that
// existing slots would soon have worked off, and found little left to do once they were up
// (TestExpensiveOnlyForMissedDeadlines).
func (b *backlog) slotsForDeadlines(work float64) float64 {
	if b.ready <= 0 {
		return math.Inf(1)
	}
	return work/math.Max(1, b.slack/b.ready) - math.Max(0, b.slots-b.usualSlots)
}
