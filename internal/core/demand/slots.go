package demand

import (
	"math"
	"strings"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Host provides what SlotsNeeded needs to know of the shard. Its methods must not call the Estimator.
type Host interface {
	// Limit returns a team's limit, in thousandths; 0 means no limit.
	Limit(team string) binpack.Vec
	// LostTasks returns how many of a job's tasks are placed on machines that
	// no longer send heartbeats, so that they will have to start elsewhere.
	LostTasks(job *jobs.Job) int
	// CompatibleTypes returns the names of the machine types that a job's tasks fit on and may use.
	CompatibleTypes(spec *jobs.Spec) []string
	// CompatibleZones returns the names of the zones that have such types and that the job may use.
	CompatibleZones(spec *jobs.Spec) []string
}

// workload is the number of a job's tasks that are placed, that are ready, and that should run at once.
type workload struct{ placed, ready, slots int }

// startable returns the number of ready tasks that the limit of the job's team allows to start at once. Tasks
// of earlier owners may still run while the job is not reconciled; until then none is startable.
func (w workload) startable(job *jobs.Job) int {
	if job.Unreconciled || job.Migrating {
		return 0
	}
	return max(0, min(w.ready, w.slots-w.placed))
}

// SlotsNeeded adds up the slots that the jobs need, by the machine pools that they may use.
// order lists the jobs, the earliest first. A job needs only as many slots as it takes to finish
// in time: if there is time to run several tasks one after the other, fewer machines suffice.
func (e *Estimator) SlotsNeeded(now, wall units.Microseconds, order []*jobs.Job, host Host) map[autoscaler.Group]autoscaler.Need {
	needed := map[autoscaler.Group]autoscaler.Need{}
	perTeam := PlacedReplicas(order)
	for _, job := range order {
		spec := job.Spec()
		if spec == nil || now < job.NotBefore {
			continue
		}
		work := e.workload(wall, job, host)
		counted := 0 // slots that perTeam has already
		if spec.Service {
			counted = job.Placed()
		}
		work.slots = counted + slotsWithin(host.Limit(spec.Team), perTeam[spec.Team], spec.Demand, max(0, work.slots-counted))
		if work.slots <= 0 {
			continue
		}
		perTeam[spec.Team] = perTeam[spec.Team].Add(spec.Demand.Times(int64(work.slots - counted)))
		types := host.CompatibleTypes(spec)
		group := e.Group(wall, job, types)
		if !bindsReplicasToZones(spec) {
			needed[group] = e.addWork(needed[group], wall, job, work, types)
			continue
		}
		for _, part := range partsByZone(job, work, host) {
			if part.zones != "" {
				group.Zones = part.zones
			}
			needed[group] = e.addWork(needed[group], wall, job, part.workload, types)
		}
	}
	return needed
}

// Group returns the group of a job whose tasks may use the named machine types. Replicas that have to go to other zones
// than those that run are in groups of their own.
func (e *Estimator) Group(wall units.Microseconds, job *jobs.Job, types []string) autoscaler.Group {
	spec := job.Spec()
	return autoscaler.Group{Class: spec.Class, Types: strings.Join(types, ","), Zones: spec.Zone, Spot: spec.Spot, IdleTime: e.IsIdleTime(wall, job), Service: spec.Service}
}

// workload returns a job's workload without regard to its team's limit.
func (e *Estimator) workload(wall units.Microseconds, job *jobs.Job, host Host) workload {
	spec := job.Spec()
	slots := job.Record.Tasks - job.Finished()
	if runtime := e.Runtime(spec); !spec.Service && runtime > 0 {
		rounds := e.sequentialFraction * e.TimeRemaining(wall, job).Seconds() / runtime.Seconds()
		if rounds > 1 {
			slots = int(math.Ceil(float64(slots) / rounds))
		}
	}
	placed, ready := job.Placed(), job.Ready()
	if lost := host.LostTasks(job); lost > 0 {
		placed, ready = placed-lost, ready+lost
	}
	if job.Suspect() {
		ready = job.StartLimit()
		return workload{placed, ready, placed + ready}
	}
	return workload{placed, ready, max(slots, placed)}
}

// part is the part of a job's workload that may run in the given zones, joined by commas. "" stands for all
// zones that the job may use.
type part struct {
	workload
	zones string
}

// bindsReplicasToZones reports whether the zones that a job's next task may use depend for good on where the
// others run: replicas of a service that share a zone, or are spread over zones, never leave their zones. The
// tasks of an array complete, and so a slot in any of its zones will do.
func bindsReplicasToZones(spec *jobs.Spec) bool {
	return spec.Service && (spec.OneZone || spec.Spread)
}

// partsByZone splits the workload of a service into the placed replicas and those that wait. Those have to
// go to the zones that are allowed at present, and only as many of them as may go to any of these.
func partsByZone(job *jobs.Job, work workload, host Host) []part {
	placed := min(work.placed, work.slots)
	parts := []part{{workload: workload{placed: work.placed, slots: placed}}}
	waiting := work.slots - placed
	all := host.CompatibleZones(job.Spec())
	var allowed []string
	for _, zone := range all {
		if job.ZoneAllows(zone) {
			allowed = append(allowed, zone)
			waiting = min(waiting, job.ZoneRoom(zone)) // they may all go to this zone
		}
	}
	if len(allowed) == 0 || waiting <= 0 {
		return parts
	}
	next := part{workload: workload{ready: min(work.ready, waiting), slots: waiting}}
	if len(allowed) < len(all) {
		next.zones = strings.Join(allowed, ",")
	}
	return append(parts, next)
}

// PlacedReplicas returns the demand of the replicas of services that run, by team. They never leave their part of the
// team's limit to an earlier job.
func PlacedReplicas(order []*jobs.Job) map[string]binpack.Vec {
	perTeam := map[string]binpack.Vec{}
	for _, job := range order {
		if spec := job.Spec(); spec != nil && spec.Service && job.Placed() > 0 {
			perTeam[spec.Team] = perTeam[spec.Team].Add(spec.Demand.Times(int64(job.Placed())))
		}
	}
	return perTeam
}

// slotsWithin bounds the slots of a job by what its team's limit leaves after the team's replicas that run and its
// earlier jobs.
func slotsWithin(limit, used, demand binpack.Vec, slots int) int {
	for i, most := range limit {
		if most > 0 && demand[i] > 0 {
			slots = min(slots, int(max(0, most-used[i])/demand[i]))
		}
	}
	return slots
}

// addWork returns need with a job's work added.
func (e *Estimator) addWork(need autoscaler.Need, wall units.Microseconds, job *jobs.Job, work workload, types []string) autoscaler.Need {
	runtime := e.Runtime(job.Spec())
	need.Tasks += work.slots
	need.Running += work.placed
	need.Ready += work.ready
	need.Waiting += runtime * units.Microseconds(work.ready)
	need.Slack += e.Slack(wall, job) * units.Microseconds(work.ready)
	if job.Spec().Service {
		need.Replicas += work.startable(job)
	} else {
		need.Rate += float64(work.placed) / max(runtime.Seconds(), 1)
	}
	if work.startable(job) > 0 {
		need.AddDemand(job.Spec().Demand)
	}
	need.Total = need.Total.Add(job.Spec().Demand.Times(int64(work.slots)))
	need.Types = types
	return need
}
