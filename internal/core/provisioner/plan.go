package provisioner

import (
	"fmt"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// slowBootFactor is the multiple of its type's usual boot time after which the work at hand no longer
	// counts on a booting machine. A machine may take up to one and a half times the usual time; one that
	// never comes up is deprovisioned much later. Only a few of many machines can be late for reasons of
	// their own (see MaxEarlyDeprovisions).
	slowBootFactor = 2
	// A machine that has not come up is given up on after failedBootFactor times the usual boot time of
	// its type plus failedBootMargin, or after unknownTypeBootDeadline if its type is not known.
	failedBootFactor        = 6
	failedBootMargin        = 10 * units.Second
	unknownTypeBootDeadline = 30 * units.Second
	// lostGracePeriod is the time for which a machine is kept that has sent no heartbeat since its lease
	// expired.
	lostGracePeriod = 10 * units.Second
	// spareGracePeriod is the time for which no work must have needed a machine of an unreachable zone
	// before it is deprovisioned. minReplacementTime is the least that it costs to provision a machine
	// anew, given as machine time: the cloud's minimum charge.
	spareGracePeriod   = 5 * units.Second
	minReplacementTime = 60 * units.Second
)

// plan runs the autoscaler and sends its scale-out requests, and marks machines to be deprovisioned.
func (p *Provisioner) plan() {
	work, ok := p.host.SlotsNeeded()
	if !ok {
		return
	}
	machines := p.host.Machines()
	names := slices.Sorted(maps.Keys(machines))
	capacity := p.capacity(names)
	increases, surplus := p.scaler.Plan(p.now, work, capacity, autoscaler.Market{Types: p.host.Types(), ZoneLimit: p.zoneLimit(), Staying: p.host.Staying})
	for _, candidate := range capacity {
		if machine := machines[candidate.Name]; candidate.Needed {
			machine.SpareSince = 0
		} else if machine.SpareSince == 0 {
			machine.SpareSince = p.now
		}
	}
	if p.openRequests == 0 {
		p.scaleOut(increases)
	}
	for _, name := range names {
		if p.shouldDeprovision(machines[name]) {
			surplus = append(surplus, name)
		}
	}
	for _, name := range surplus {
		p.Deprovision(machines[name])
	}
}

// capacity returns the machines that the autoscaler may count on.
func (p *Provisioner) capacity(names []string) []autoscaler.Machine {
	machines, replicas := p.host.Machines(), p.host.Replicas()
	var capacity []autoscaler.Machine
	slow := 0
	for _, name := range names {
		machine := machines[name]
		zoneLost := p.zones.Lost(machine.Record.Zone)
		if machine.Deprovisioning || machine.Lost && !zoneLost || machine.Quarantined || machine.ReclaimAt != units.MaxTime {
			continue
		}
		if !zoneLost && p.bootOverdue(machine) && slow < MaxEarlyDeprovisions(len(machines)) {
			slow++ // work that waits for this machine must not depend on it alone
			continue
		}
		candidate := autoscaler.Machine{Name: name, Pool: PoolOf(machine), Booted: machine.LastSeen != 0, Age: p.now - machine.ProvisionedAt, ZoneLost: zoneLost, Replicas: replicas[name]}
		if len(machine.Tasks) == 0 {
			candidate.Idle = p.now - machine.IdleSince + 1
		}
		capacity = append(capacity, candidate)
	}
	return capacity
}

// zoneLimit returns a function that returns the number of machines that may be provisioned into a zone at
// present, in addition to those that are booting there. A negative number means no limit.
func (p *Provisioner) zoneLimit() func(zone string) int {
	booting := map[string]int{} // number of booting machines by zone
	for _, machine := range p.host.Machines() {
		if !machine.Deprovisioning && p.booting(machine) {
			booting[machine.Record.Zone]++
		}
	}
	return func(zone string) int {
		limit := p.zones.ScaleOutLimit(zone)
		if limit > 0 {
			limit = max(0, limit-booting[zone])
		}
		return limit
	}
}

// shouldDeprovision reports whether a machine is to be deprovisioned whatever work there is.
func (p *Provisioner) shouldDeprovision(machine *fleet.Machine) bool {
	zone := machine.Record.Zone
	idle := machine.Reconciled && len(machine.Tasks) == 0
	switch {
	case machine.Deprovisioning:
		return false
	case !p.zones.Reachable(zone) && !p.isZoneProbe(machine):
		// Tasks there may still complete; until then the machine is not deprovisioned.
		spare := machine.LeaseEnd == 0 && machine.SpareSince != 0 && p.now-machine.SpareSince > spareGracePeriod
		return !p.zones.KeepMachines(zone, p.cfg.Lease+p.replacementTime(machine)) || spare && !p.zones.DeclaredReturning(zone)
	case p.zones.DeclaredLost(zone):
		return idle
	case p.zones.SinceRecovery(zone) < p.cfg.HeartbeatInterval+lostGracePeriod:
		return false // its next heartbeat is about to arrive
	}
	return machine.Quarantined && idle ||
		machine.Lost && p.now-machine.IdleSince > lostGracePeriod ||
		machine.LastSeen == 0 && machine.LeaseEnd == 0 && p.now-machine.ProvisionedAt > bootDeadline(machine)
}

// isZoneProbe reports whether a machine of an unreachable zone is a probe: it was provisioned after the
// zone became unreachable, in order to find out whether it still is, and it has not come up yet.
func (p *Provisioner) isZoneProbe(machine *fleet.Machine) bool {
	return p.booting(machine) && p.now-machine.ProvisionedAt < p.zones.StateAge(machine.Record.Zone)
}

// scaleOut requests machines. It splits half of the calls that the cloud accepts in a second evenly between
// the pools, and sends at least one request for each.
func (p *Provisioner) scaleOut(increases []autoscaler.Increase) {
	if len(increases) == 0 {
		return
	}
	requestsPerPool := max(1, int(p.host.CallRate()/2)/len(increases))
	for _, increase := range increases {
		missing := increase.Count
		for range requestsPerPool {
			if missing <= 0 {
				break
			}
			increase.Count = min(missing, fleet.MaxGroup)
			missing -= increase.Count
			p.requests++
			p.openRequests++
			// The fencing token makes the name unique to this assignment: a name must never be used
			// twice.
			request := fmt.Sprintf("r-%d-%d", p.cfg.FencingToken, p.requests)
			p.host.Emit(ScaleOut{Shard: p.cfg.Shard, Assignment: p.host.Assignment(), Request: request, Increase: increase})
		}
	}
}

// booting reports whether a machine has not come up yet.
func (p *Provisioner) booting(machine *fleet.Machine) bool {
	return machine.LastSeen == 0 && machine.LeaseEnd == 0 && !machine.Lost
}

// bootOverdue reports whether a machine has been booting for longer than slowBootFactor times the usual time.
func (p *Provisioner) bootOverdue(machine *fleet.Machine) bool {
	return machine.Type != nil && p.booting(machine) && p.now-machine.ProvisionedAt > slowBootFactor*machine.Type.Boot
}

// bootDeadline returns the time after which a machine that has not come up is given up on.
func bootDeadline(machine *fleet.Machine) units.Microseconds {
	if machine.Type == nil {
		return unknownTypeBootDeadline
	}
	return failedBootFactor*machine.Type.Boot + failedBootMargin
}

// replacementTime returns the time until a machine that replaces another can run tasks: the boot, and
// fetching images.
func (p *Provisioner) replacementTime(machine *fleet.Machine) units.Microseconds {
	if machine.Type == nil {
		return minReplacementTime
	}
	return max(minReplacementTime, 3*machine.Type.Boot/2+lostGracePeriod)
}
