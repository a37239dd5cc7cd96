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
	// slowBoot is how many times as long as usual a machine may take to come up before the work at
	// hand no longer counts on it. It takes up to one and a half times; those that never come up are
	// deprovisioned much later. Of many machines only a few can be late for reasons of their own.
	slowBoot = 2
	// failedBoot is how many times as long as usual, and bootMargin how much beside, a machine may
	// take to come up before it is given up; unknownBoot is that time where its type is not known.
	failedBoot  = 6
	bootMargin  = 10 * units.Second
	unknownBoot = 30 * units.Second
	// keepLost is how long a machine is kept whose lease has expired without a heartbeat.
	keepLost = 10 * units.Second
	// spareFor is how long nothing must have missed a machine of a lost zone before it is
	// deprovisioned, and leastReplacement the least that it costs to provision one anew: the cloud's
	// least charge.
	spareFor         = 5 * units.Second
	leastReplacement = 60 * units.Second
)

// plan scales out and in.
func (r *Provisioner) plan() {
	work, ok := r.host.SlotsNeeded()
	if !ok {
		return
	}
	machines := r.host.Machines()
	names := slices.Sorted(maps.Keys(machines))
	capacity := r.capacity(names)
	increases, surplus := r.scaler.Plan(r.now, work, capacity, autoscaler.Market{Types: r.host.Types(), ZoneLimit: r.zoneLimit()})
	for _, seen := range capacity {
		if machine := machines[seen.Name]; seen.Needed {
			machine.SpareSince = 0
		} else if machine.SpareSince == 0 {
			machine.SpareSince = r.now
		}
	}
	if r.openRequests == 0 {
		r.scaleOut(increases)
	}
	for _, name := range names {
		if r.useless(machines[name]) {
			surplus = append(surplus, name)
		}
	}
	for _, name := range surplus {
		r.Release(machines[name])
	}
}

// capacity is the machines that the autoscaler may count on.
func (r *Provisioner) capacity(names []string) []autoscaler.Machine {
	machines := r.host.Machines()
	var capacity []autoscaler.Machine
	slow := 0
	for _, name := range names {
		machine := machines[name]
		zoneLost := r.zones.Lost(machine.Record.Zone)
		if machine.Deprovisioning || machine.Lost && !zoneLost || machine.Quarantined || machine.Notice != units.MaxTime {
			continue
		}
		if !zoneLost && r.bootsSlowly(machine) && slow < FewOf(len(machines)) {
			slow++ // what waits for it should not wait for that one alone
			continue
		}
		seen := autoscaler.Machine{Name: name, Pool: PoolOf(machine), Booted: machine.LastSeen != 0, Age: r.now - machine.ProvisionedAt, ZoneLost: zoneLost}
		if len(machine.Tasks) == 0 {
			seen.Idle = r.now - machine.IdleSince + 1
		}
		capacity = append(capacity, seen)
	}
	return capacity
}

// zoneLimit returns how many machines may be provisioned into a zone at present beside those that
// boot there; less than 0: any number.
func (r *Provisioner) zoneLimit() func(zone string) int {
	booting := map[string]int{} // by zone
	for _, machine := range r.host.Machines() {
		if !machine.Deprovisioning && r.boots(machine) {
			booting[machine.Record.Zone]++
		}
	}
	return func(zone string) int {
		limit := r.zones.ScaleOutLimit(zone)
		if limit > 0 {
			limit = max(0, limit-booting[zone])
		}
		return limit
	}
}

// useless reports whether a machine is to be deprovisioned whatever work there is.
func (r *Provisioner) useless(machine *fleet.Machine) bool {
	zone := machine.Record.Zone
	idle := machine.Reconciled && len(machine.Tasks) == 0
	switch {
	case machine.Deprovisioning:
		return false
	case !r.zones.Reachable(zone) && !r.probesZone(machine):
		// What runs there may still come to an end; until then it is not deprovisioned.
		spare := machine.LeaseEnd == 0 && machine.SpareSince != 0 && r.now-machine.SpareSince > spareFor
		return !r.zones.Keep(zone, r.cfg.Lease+r.replacement(machine)) || spare && !r.zones.Returning(zone)
	case r.zones.DeclaredLost(zone):
		return idle
	case r.zones.ReturnedFor(zone) < r.cfg.HeartbeatInterval+keepLost:
		return false // its heartbeats are about to arrive
	}
	return machine.Quarantined && idle ||
		machine.Lost && r.now-machine.IdleSince > keepLost ||
		machine.LastSeen == 0 && machine.LeaseEnd == 0 && r.now-machine.ProvisionedAt > bootDeadline(machine)
}

// probesZone reports whether a machine of an unreachable zone boots that was provisioned after the
// zone became unreachable, to find out whether it still is.
func (r *Provisioner) probesZone(machine *fleet.Machine) bool {
	return r.boots(machine) && r.now-machine.ProvisionedAt < r.zones.For(machine.Record.Zone)
}

// scaleOut asks for machines in as many requests as the cloud takes in a second, a part of them for
// each of the pools.
func (r *Provisioner) scaleOut(increases []autoscaler.Increase) {
	if len(increases) == 0 {
		return
	}
	each := max(1, int(r.host.Calls()/2)/len(increases))
	for _, increase := range increases {
		missing := increase.Count
		for range each {
			if missing <= 0 {
				break
			}
			increase.Count = min(missing, fleet.MaxGroup)
			missing -= increase.Count
			r.requests++
			r.openRequests++
			// No other assignment uses the name: names must never come again.
			request := fmt.Sprintf("r-%d-%d", r.cfg.FencingToken, r.requests)
			r.host.Emit(ScaleOut{Shard: r.cfg.Shard, Assignment: r.host.Assignment(), Request: request, Increase: increase})
		}
	}
}

// boots reports whether a machine has not come up yet.
func (r *Provisioner) boots(machine *fleet.Machine) bool {
	return machine.LastSeen == 0 && machine.LeaseEnd == 0 && !machine.Lost
}

// bootsSlowly reports whether a machine should have come up long ago.
func (r *Provisioner) bootsSlowly(machine *fleet.Machine) bool {
	return machine.Type != nil && r.boots(machine) && r.now-machine.ProvisionedAt > slowBoot*machine.Type.Boot
}

// bootDeadline is the time after which a machine that has not come up is given up.
func bootDeadline(machine *fleet.Machine) units.Microseconds {
	if machine.Type == nil {
		return unknownBoot
	}
	return failedBoot*machine.Type.Boot + bootMargin
}

// replacement is the time until a machine provisioned in place of another is of use: a boot, and
// images.
func (r *Provisioner) replacement(machine *fleet.Machine) units.Microseconds {
	if machine.Type == nil {
		return leastReplacement
	}
	return max(leastReplacement, 3*machine.Type.Boot/2+keepLost)
}
