package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// provisionerHost implements provisioner.Host and demand.Host: it gives the packages provisioner and demand
// access to a shard and to this controller.
type provisionerHost struct {
	*Core
	shard *ownedShard
}

// Emit implements provisioner.Host.
func (h provisionerHost) Emit(effect any) { h.emit(effect) }

// Assignment implements provisioner.Host.
func (h provisionerHost) Assignment() uint64 { return h.shard.assignment }

// Machines implements provisioner.Host.
func (h provisionerHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// Unreconciled implements provisioner.Host.
func (h provisionerHost) Unreconciled() map[string]bool { return h.shard.reconciler.Unreconciled() }

// SlotsNeeded implements provisioner.Host. It returns false while too many machines have not yet reported which
// tasks earlier owners started on them, for at most leaseBound after the shard was acquired.
func (h provisionerHost) SlotsNeeded() (map[autoscaler.Group]autoscaler.Need, bool) {
	tolerated := provisioner.MaxEarlyDeprovisions(len(h.shard.reconciler.Machines()))
	// Machines in a lost zone are not counted: their tasks may still run there, but have
	// to run elsewhere anyway.
	if h.now < h.shard.ownedSince+h.leaseBound() && h.shard.reconciler.UnreconciledOutside(h.zones.Lost) > tolerated {
		return nil, false
	}
	return h.shard.demand.SlotsNeeded(h.now, h.wall, h.shard.scheduler.Jobs(), h), true
}

// Replicas implements provisioner.Host.
func (h provisionerHost) Replicas() map[string][]autoscaler.Replicas {
	machines := h.shard.reconciler.Machines()
	replicas := map[string][]autoscaler.Replicas{}
	for _, job := range h.shard.scheduler.Jobs() {
		if spec := job.Spec(); spec != nil && spec.Service && job.Placed() > 0 {
			group := h.shard.demand.Group(h.wall, job, h.compatibleTypes(spec))
			for name, count := range job.PlacedByMachine() {
				if machines[name] != nil {
					replicas[name] = append(replicas[name], autoscaler.Replicas{Group: group, Count: count, Demand: spec.Demand.Times(int64(count))})
				}
			}
		}
	}
	return replicas
}

// stayingAfter is the expected time to its completion from which a task counts as staying: work that has a
// machine within a minute or two should not wait that long.
const stayingAfter = 300 * units.Second

// Staying implements provisioner.Host.
func (h provisionerHost) Staying(machine string) binpack.Vec {
	staying := binpack.Vec{}
	for id, attempt := range h.shard.reconciler.Machine(machine).Tasks {
		job := h.jobs.Get(id.Job)
		if job == nil || !job.Active() {
			continue
		}
		if spec := job.Spec(); spec.Service || h.shard.demand.TimeToComplete(spec, attempt.Runtime(h.now)) > stayingAfter {
			staying = staying.Add(attempt.Demand)
		}
	}
	return staying
}

// Types implements provisioner.Host.
func (h provisionerHost) Types() map[string]*fleet.Type { return h.types }

// CallRate implements provisioner.Host.
func (h provisionerHost) CallRate() float64 { return h.cfg.CloudRate * h.cloudFraction }

// Provisioned implements provisioner.Host.
func (h provisionerHost) Provisioned(request string, record fleet.Record, names []string) {
	group := keys.MachinePrefix + request
	for _, name := range names {
		if h.shard.reconciler.Machine(name) == nil {
			h.newMachine(h.shard, name, group, record, 0)
		}
	}
	h.shard.writer.StoreGroup(group, true)
}

// Deprovisioned implements provisioner.Host.
func (h provisionerHost) Deprovisioned(machine *fleet.Machine) {
	h.shard.reconciler.Deprovision(h.now, machine)
	h.shard.writer.StoreGroup(machine.Group, false)
}

// Adopt implements provisioner.Host.
func (h provisionerHost) Adopt(listed ListedMachine) {
	machine := h.newMachine(h.shard, listed.Name, keys.OrphanMachine(listed.Name), listed.Record, listed.Age)
	h.shard.writer.StoreGroup(machine.Group, false)
}

// InAnotherShard implements provisioner.Host.
func (h provisionerHost) InAnotherShard(machine string) bool {
	number, stored := h.machineShard[machine]
	return stored && number != h.shard.number
}

// Limit implements demand.Host.
func (h provisionerHost) Limit(team string) binpack.Vec {
	if settings := h.teams[team]; settings != nil {
		return settings.Limit
	}
	return binpack.Vec{}
}

// LostTasks implements demand.Host.
func (h provisionerHost) LostTasks(job *jobs.Job) int {
	lost := 0
	for _, zone := range h.cfg.Zones {
		if h.zones.Lost(zone) {
			lost += job.PlacedIn(zone)
		}
	}
	return lost
}

// CompatibleTypes implements demand.Host.
func (h provisionerHost) CompatibleTypes(spec *jobs.Spec) []string { return h.compatibleTypes(spec) }

// CompatibleZones implements demand.Host.
func (h provisionerHost) CompatibleZones(spec *jobs.Spec) []string {
	if spec.Zone != "" {
		return []string{spec.Zone}
	}
	var zones []string
	for _, name := range h.compatibleTypes(spec) {
		zones = append(zones, h.types[name].Zones...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// ownedWithAssignment returns the shard that an answer is for, if this controller still owns it with the same
// version of its assignment and has loaded it; else nil.
func (c *Core) ownedWithAssignment(number int, assignment uint64) *ownedShard {
	if shard := c.owned[number]; shard != nil && shard.assignment == assignment && shard.ready {
		return shard
	}
	return nil
}

// OnScaleOut handles the outcome of a ScaleOut. If the shard is no longer owned, its new machines are found
// later by their heartbeats and in the cloud's machine list.
func (c *Core) OnScaleOut(now units.Microseconds, request ScaleOut, outcome store.Outcome, names []string) {
	c.advance(now)
	if shard := c.ownedWithAssignment(request.Shard, request.Assignment); shard != nil {
		shard.provisioner.OnScaleOut(c.now, request, outcome, names)
	}
}

// OnScaleIn handles the outcome of a ScaleIn.
func (c *Core) OnScaleIn(now units.Microseconds, request ScaleIn, outcome store.Outcome) {
	c.advance(now)
	if shard := c.ownedWithAssignment(request.Shard, request.Assignment); shard != nil {
		shard.provisioner.OnScaleIn(c.now, request, outcome)
	}
}

// OnListMachines handles the cloud's machine list. Only the owner of the first shard
// uses it, as unknown machines belong to the first shard.
func (c *Core) OnListMachines(now units.Microseconds, request ListMachines, outcome store.Outcome, list []ListedMachine) {
	c.advance(now)
	shard := c.owned[0]
	if outcome == store.OK && shard != nil && shard.ready {
		shard.provisioner.OnListMachines(c.now, request, list)
	}
}

// tickCloud runs the provisioner of a shard, and logs the shard's statistics every 10 s.
func (c *Core) tickCloud(shard *ownedShard) {
	if !shard.provisioner.Ready(c.now) || len(c.types) == 0 {
		return
	}
	shard.provisioner.Tick(c.now, shard.number == 0)
	if c.now >= shard.nextLogAt {
		shard.nextLogAt = c.now + 10*units.Second
		stats := shard.stats(c.now)
		stats.Log(c.log)
	}
}
