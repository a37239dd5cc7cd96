package demand

import (
	"math"
	"strings"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is what the work is weighed against. None of its methods may call the Estimator.
type Host interface {
	// Limit is a team's limit, in thousandths; 0: none.
	Limit(team string) binpack.Vec
	// LostTasks counts a job's tasks that are placed where nobody hears of them any more: they will
	// have to start elsewhere.
	LostTasks(job *jobs.Job) int
	// CompatibleTypes names the types of machine that a job's tasks fit on and may use.
	CompatibleTypes(spec *jobs.Spec) []string
}

// workload is how many tasks of a job run, wait, and should run at once.
type workload struct{ placed, ready, slots int }

// SlotsNeeded adds up the work at hand, by the pools of machines that it may use; order are the jobs,
// the earliest first. A job needs no more slots than let it be done in time: where there is time for
// several tasks one after the other, fewer machines do.
func (e *Estimator) SlotsNeeded(now, wall units.Microseconds, order []*jobs.Job, host Host) map[autoscaler.Group]autoscaler.Need {
	needed := map[autoscaler.Group]autoscaler.Need{}
	perTeam := map[string]binpack.Vec{}
	for _, job := range order {
		spec := job.Spec()
		if spec == nil || now < job.NotBefore {
			continue
		}
		work := e.workload(wall, job, host)
		work.slots = slotsWithin(host.Limit(spec.Team), perTeam[spec.Team], spec.Demand, work.slots)
		if work.slots <= 0 {
			continue
		}
		total := spec.Demand.Times(int64(work.slots))
		perTeam[spec.Team] = perTeam[spec.Team].Add(total)
		types := host.CompatibleTypes(spec)
		group := autoscaler.Group{Class: spec.Class, Types: strings.Join(types, ","), Zone: spec.Zone, Spot: spec.Spot, Idle: e.IsIdleTime(wall, job)}
		needed[group] = e.add(needed[group], wall, job, work, total, types)
	}
	return needed
}

// workload is what a job would have run at once if its team had no limit.
func (e *Estimator) workload(wall units.Microseconds, job *jobs.Job, host Host) workload {
	spec := job.Spec()
	slots := job.Record.Tasks - job.Finished()
	if run := e.Runtime(spec); !spec.Service && run > 0 {
		rounds := e.sequentialFraction * e.TimeRemaining(wall, job).Seconds() / run.Seconds()
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

// slotsWithin bounds the slots of a job by what its team's limit lets run at once beside the team's
// earlier jobs.
func slotsWithin(limit, used, demand binpack.Vec, slots int) int {
	for i, most := range limit {
		if most > 0 && demand[i] > 0 {
			slots = min(slots, int(max(0, most-used[i])/demand[i]))
		}
	}
	return slots
}

// add returns a need with a job's work added.
func (e *Estimator) add(need autoscaler.Need, wall units.Microseconds, job *jobs.Job, work workload, total binpack.Vec, types []string) autoscaler.Need {
	run := e.Runtime(job.Spec())
	need.Tasks += work.slots
	need.Running += work.placed
	need.Ready += work.ready
	need.Waiting += run * units.Microseconds(work.ready)
	need.Slack += e.Slack(wall, job) * units.Microseconds(work.ready)
	if !job.Spec().Service {
		need.Rate += float64(work.placed) / max(run.Seconds(), 1)
	}
	need.Total = need.Total.Add(total)
	need.Types = types
	return need
}
