package scheduler

import (
	"cmp"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// preemptAfter is the minimum time that a job must have waited before tasks of other jobs are
	// stopped for it. The estimated wait until capacity becomes free by itself must be at least as long.
	preemptAfter = 30 * units.Second
	// displaceAfter replaces preemptAfter where the tasks to stop are preemptible.
	displaceAfter = 3 * units.Second
	// stopTimeout is how long a stop is assumed to be in progress.
	stopTimeout = 3 * units.Second
	// gainFactor is the minimum ratio of the run time of the task that
	// gains the capacity to the run time that is lost with a victim.
	gainFactor = 4
)

// preemption is the number of a job's tasks for which capacity is being freed by
// stopping other tasks, and the time of the last such stop.
type preemption struct {
	places int
	at     units.Microseconds
}

// victim is a task that may be stopped, and the run time that would be lost with it.
type victim struct {
	id      jobs.TaskID
	attempt fleet.Attempt
	lost    units.Microseconds
}

// preemptible reports whether stopping a job's tasks costs
// little: the job has the lowest priority and saves checkpoints.
func preemptible(job *jobs.Job) bool {
	return job.Objectives.Priority == jobs.Low && job.Spec().Checkpoint > 0
}

// Preempt returns the commands that stop tasks of a machine for a job with
// precedence: a job of higher priority, or one within its team's nominal quota
// where the victim's team exceeds its own. It stops the tasks that lose the least
// work, and none whose loss is large compared with the run time of the job's task.
func (s *Scheduler) Preempt(machine *fleet.Machine) []fleet.Command {
	if len(machine.Tasks) == 0 || len(s.queue.Ranked()) == 0 {
		return nil
	}
	if s.runsPreemptible(machine) {
		if stops := s.preempt(machine, displaceAfter, preemptible); stops != nil {
			return stops
		}
	}
	return s.preempt(machine, preemptAfter, func(*jobs.Job) bool { return true })
}

// runsPreemptible reports whether any task on a machine belongs to a preemptible job.
func (s *Scheduler) runsPreemptible(machine *fleet.Machine) bool {
	for id := range machine.Tasks {
		if job := s.host.Job(id.Job); job != nil && job.Active() && preemptible(job) {
			return true
		}
	}
	return false
}

// preempt stops tasks of eligible jobs for the first job in the ranking that has
// waited for at least the duration after, and is expected to wait that long again.
func (s *Scheduler) preempt(machine *fleet.Machine, after units.Microseconds, eligible func(*jobs.Job) bool) []fleet.Command {
	job := s.preemptor(machine, after)
	if job == nil || job.Spec().Demand.Fits(machine.Free()) {
		return nil // a task that fits is started by Fill, unless another rule forbids it
	}
	victims, costless := s.victims(machine, job, eligible)
	previous := s.preemptions[job.ID]
	maxPlaces := 1
	if costless {
		maxPlaces = job.Ready() - previous.places
	}
	stops, places := s.stop(victims, machine.Free(), job.Spec().Demand, maxPlaces)
	if places == 0 {
		return nil
	}
	s.preemptions[job.ID] = preemption{previous.places + places, s.host.Now()}
	s.config.Log.Info("preempting tasks", "machine", machine.Name, "job", job.ID, "stopped", len(stops))
	return stops
}

// preemptor returns the first job in the ranking that could use a machine, has waited for at least
// the duration after, and is expected to wait that long again. It returns nil if there is none.
func (s *Scheduler) preemptor(machine *fleet.Machine, after units.Microseconds) *jobs.Job {
	now, wall := s.host.Now(), s.host.Wall()
	if s.completionRate > 0 && units.Seconds(float64(s.readyTasks)/s.completionRate) < after {
		return nil
	}
	if wall-s.queue.EarliestSince() < after {
		return nil // no job has waited that long
	}
	feasible := func(spec *jobs.Spec) bool {
		return spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot) && spec.Demand.Fits(machine.Type.Capacity)
	}
	var found *jobs.Job
	s.queue.Each(feasible, func(candidate ranking.Candidate, _ int) bool {
		job := candidate.Job
		spec := job.Spec()
		if spec == nil || wall-job.Since < after || job.Suspect() || !s.startable(now, job) ||
			!s.quota.Allows(spec.Team, spec.Demand) || !job.ZoneAllows(machine.Record.Zone) {
			return true
		}
		if job.Ready() > s.pendingPlaces(now, job) {
			found = job
		}
		return found == nil
	})
	return found
}

// pendingPlaces returns the number of a job's ready tasks for which stops are in progress. Stops
// older than stopTimeout have ended: if another job uses their capacity, it had precedence.
func (s *Scheduler) pendingPlaces(now units.Microseconds, job *jobs.Job) int {
	previous := s.preemptions[job.ID]
	if now-previous.at > stopTimeout {
		delete(s.preemptions, job.ID)
		return 0
	}
	return previous.places
}

// victims returns the tasks of a machine that may be stopped for a job, the least lost work first.
// costless reports whether all of them are preemptible, so that stopping several loses nothing.
func (s *Scheduler) victims(machine *fleet.Machine, job *jobs.Job, eligible func(*jobs.Job) bool) (victims []victim, costless bool) {
	now, gain := s.host.Now(), s.demand.Runtime(job.Spec())
	costless = true
	for _, id := range machine.TaskIDs() {
		attempt, owner := machine.Tasks[id], s.host.Job(id.Job)
		if owner == nil || !owner.Active() || attempt.State == fleet.Saving || !eligible(owner) || !s.mayPreempt(job, owner) {
			continue
		}
		if lost := lostWork(now, owner.Spec(), attempt); lost < gain/gainFactor {
			victims = append(victims, victim{id, attempt, lost})
			costless = costless && preemptible(owner)
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(a.lost, b.lost) })
	return victims, costless
}

// stop returns the commands that stop as few victims as necessary to make at most
// maxPlaces places for tasks of the given demand, and the number of places made.
func (s *Scheduler) stop(victims []victim, free, taskDemand binpack.Vec, maxPlaces int) (stops []fleet.Command, places int) {
	var partial []fleet.Command // stops that have not made another place yet
	for _, victim := range victims {
		if places == maxPlaces || len(stops)+len(partial) == fleet.MaxStops {
			break
		}
		free = free.Add(victim.attempt.Demand)
		partial = append(partial, fleet.Command{Op: fleet.Stop, ID: victim.id, Attempt: victim.attempt.Number, Grace: s.host.Job(victim.id.Job).Spec().Save})
		for places < maxPlaces && taskDemand.Fits(free) {
			free = free.Sub(taskDemand)
			places++
			stops, partial = append(stops, partial...), nil
		}
	}
	return stops, places
}

// mayPreempt reports whether a task of victim may be stopped for a task of job.
func (s *Scheduler) mayPreempt(job, victim *jobs.Job) bool {
	sameTeam := job.Spec().Team == victim.Spec().Team
	team := victim.Spec().Team
	if !sameTeam && s.quota.Usage(team)[binpack.CPU] <= s.shortfall[team] {
		return false // the victim's team uses no more than it may use before all other teams
	}
	within, victimWithin := s.entitlements.WithinNominal[job.ID], s.entitlements.WithinNominal[victim.ID]
	if victim.Objectives.Priority < job.Objectives.Priority && (within || !victimWithin) {
		return true
	}
	return within && !sameTeam && !victimWithin && s.quota.ExceedsNominal(team)
}

// lostWork returns the run time that is lost if an attempt is stopped now.
func lostWork(now units.Microseconds, spec *jobs.Spec, attempt fleet.Attempt) units.Microseconds {
	if spec.Service || spec.Checkpoint > 0 {
		return 0
	}
	return attempt.Runtime(now)
}
