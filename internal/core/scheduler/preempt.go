package scheduler

import (
	"cmp"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quarantine"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// preemptAfter is the minimum time that a job must have waited before tasks of other jobs are
	// stopped for it. The estimated wait until capacity becomes free by itself must be at least as long.
	preemptAfter = 30 * units.Second
	// displaceAfter replaces preemptAfter where the tasks to stop are preemptible.
	displaceAfter = 3 * units.Second
	// dueSoon is the expected time to the completion of a task up to which a job waits for its place, though
	// that is due to the job. Many short tasks would be lost in a shortage if it did not.
	dueSoon = 2 * preemptAfter
	// duePatience is how long a job must have waited before such tasks are stopped for it all the same, if a
	// place that one of them leaves is too small for it.
	duePatience = 2 * preemptAfter
	// stopTimeout is how long a stop is assumed to be in progress.
	stopTimeout = 3 * units.Second
	// gainFactor is the minimum ratio of the run time of the task that gains the capacity to the run time
	// that is lost with a victim, unless the capacity is due to the task by its team's nominal quota.
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
// work. For a higher priority it stops none whose loss is large compared with the
// run time of the job's task. A nominal quota is due whatever is lost, unless
// room for the job comes soon by itself.
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

// maxPreemptors bounds the kinds of jobs for which victims are looked for on one machine.
const maxPreemptors = 8

// preemptorKind is what decides which tasks of a machine may be stopped for a job. If there are none for one job,
// there are none for another of the same kind.
type preemptorKind struct {
	team     string
	class    int // equivalence class
	priority jobs.Priority
	within   bool // its team's nominal quota
}

// preempt stops tasks of eligible jobs for the first job in the ranking that has waited for at least
// the duration after, and is expected to wait that long again. If it finds no victims for that job, it
// tries the jobs that follow and to which capacity of the machine is due. For these it does not matter
// how soon other tasks are expected to complete: the places that they leave may be too small.
func (s *Scheduler) preempt(machine *fleet.Machine, after units.Microseconds, eligible func(*jobs.Job) bool) []fleet.Command {
	now, wall := s.host.Now(), s.host.Wall()
	if wall-s.queue.EarliestSince() < after {
		return nil // no job has waited that long
	}
	dueOnly := s.completionRate > 0 && units.Seconds(float64(s.readyTasks)/s.completionRate) < after
	var indebted []string
	if wall-s.nominalSince >= after {
		indebted = s.indebtedTeams(machine)
	}
	if dueOnly && len(indebted) == 0 {
		return nil
	}
	due := func(candidate ranking.Candidate) bool {
		return rankedWithinNominal(candidate.Tier) && slices.ContainsFunc(indebted, func(team string) bool { return team != candidate.Job.Spec().Team })
	}
	feasible := func(spec *jobs.Spec) bool {
		return spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot) && spec.Demand.Fits(machine.Type.Capacity)
	}
	var stops []fleet.Command
	tried := make([]preemptorKind, 0, maxPreemptors)
	s.queue.Each(feasible, func(candidate ranking.Candidate, class int) bool {
		job := candidate.Job
		if dueOnly && candidate.Tier < nominalTier {
			return false // nothing is due to the jobs that follow
		}
		if job.Spec() == nil || dueOnly && !due(candidate) || wall-job.Since < after || !s.mayPreemptOn(now, machine, job) {
			return true
		}
		kind := preemptorKind{job.Spec().Team, class, job.Objectives.Priority, rankedWithinNominal(candidate.Tier)}
		if slices.Contains(tried, kind) {
			return true
		}
		tried = append(tried, kind)
		stops = s.preemptFor(machine, job, dueOnly, eligible)
		dueOnly = true
		return stops == nil && len(indebted) > 0 && len(tried) < maxPreemptors
	})
	return stops
}

// mayPreemptOn reports whether a job has ready tasks that could start on a machine if there were capacity, and no
// stops are in progress for them yet. A suspect job may displace others only for what is due to it.
func (s *Scheduler) mayPreemptOn(now units.Microseconds, machine *fleet.Machine, job *jobs.Job) bool {
	spec := job.Spec()
	if !s.startable(now, job) || !s.quota.Allows(spec.Team, spec.Demand) || !job.ZoneAllows(machine.Record.Zone) {
		return false
	}
	if job.Suspect() && (job.FailsEverywhere() || !s.entitlements.WithinNominal[job.ID]) {
		return false
	}
	return s.missingPlaces(now, machine, job) > 0
}

// missingPlaces returns the number of a job's tasks that may start on a machine and for which no stops are in
// progress.
func (s *Scheduler) missingPlaces(now units.Microseconds, machine *fleet.Machine, job *jobs.Job) int {
	wanted := job.Ready()
	if job.Suspect() {
		wanted = quarantine.StartLimit(now, machine, job)
	}
	return wanted - s.pendingPlaces(now, job)
}

// preemptFor stops tasks of eligible jobs on a machine to make places for a job; with dueOnly, only those places that
// are due to it. It returns nil if no tasks may be stopped for it, or if they would not make a place.
func (s *Scheduler) preemptFor(machine *fleet.Machine, job *jobs.Job, dueOnly bool, eligible func(*jobs.Job) bool) []fleet.Command {
	now, taskDemand := s.host.Now(), job.Spec().Demand
	if taskDemand.Fits(machine.Free()) {
		return nil // a task that fits is started by Fill, unless another rule forbids it
	}
	victims, costless := s.victims(machine, job, dueOnly, eligible)
	maxPlaces := 1
	if costless {
		maxPlaces = s.missingPlaces(now, machine, job)
	}
	stops, places := s.stop(victims, machine.Free(), taskDemand, maxPlaces)
	if places == 0 {
		return nil
	}
	s.preemptions[job.ID] = preemption{s.preemptions[job.ID].places + places, now}
	s.config.Log.Info("preempting tasks", "machine", machine.Name, "job", job.ID, "stopped", len(stops),
		"within_nominal", s.entitlements.WithinNominal[job.ID], "waited_s", (s.host.Wall() - job.Since).Seconds())
	return stops
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

// victims returns the tasks of a machine that may be stopped for a job, the least lost work first; with dueOnly, only
// those whose places are due to it.
// costless reports whether all of them are preemptible, so that stopping several loses nothing.
func (s *Scheduler) victims(machine *fleet.Machine, job *jobs.Job, dueOnly bool, eligible func(*jobs.Job) bool) (victims []victim, costless bool) {
	now, gain := s.host.Now(), s.gain(job.Spec())
	costless = true
	for _, id := range machine.TaskIDs() {
		attempt, owner := machine.Tasks[id], s.host.Job(id.Job)
		if owner == nil || !owner.Active() || attempt.State == fleet.Saving || !eligible(owner) || !s.mayPreempt(job, owner) {
			continue
		}
		lost := lostWork(now, owner.Spec(), attempt)
		if !dueOnly && lost < gain/gainFactor || s.owesNominal(job, owner) && s.blocks(machine, job, owner, attempt) {
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
	return s.owesNominal(job, victim)
}

// owesNominal reports whether victim's team runs its job beyond its nominal quota, and job is within the nominal quota
// of another team.
func (s *Scheduler) owesNominal(job, victim *jobs.Job) bool {
	return s.entitlements.WithinNominal[job.ID] && job.Spec().Team != victim.Spec().Team && s.beyondNominal(victim)
}

// blocks reports whether a job would wait too long for the place of an attempt of owner. A place that is left soon, and
// is large enough, is given to what is due before anything else.
func (s *Scheduler) blocks(machine *fleet.Machine, job, owner *jobs.Job, attempt fleet.Attempt) bool {
	if owner.Spec().Service || s.demand.TimeToComplete(owner.Spec(), attempt.Runtime(s.host.Now())) >= dueSoon {
		return true
	}
	enough := job.Spec().Demand.Fits(machine.Free().Add(attempt.Demand))
	return !enough && s.host.Wall()-job.Since >= duePatience
}

// beyondNominal reports whether a job's team uses more than its nominal quota, and the job is beyond it.
func (s *Scheduler) beyondNominal(job *jobs.Job) bool {
	return !s.entitlements.WithinNominal[job.ID] && s.quota.ExceedsNominal(job.Spec().Team)
}

// indebtedTeams returns the teams that run tasks on a machine beyond their nominal quotas.
func (s *Scheduler) indebtedTeams(machine *fleet.Machine) []string {
	var teams []string
	for id := range machine.Tasks {
		job := s.host.Job(id.Job)
		if job != nil && job.Active() && !slices.Contains(teams, job.Spec().Team) && s.beyondNominal(job) {
			teams = append(teams, job.Spec().Team)
		}
	}
	return teams
}

// gain returns the run time that a task of a job gains by its start. A replica of a service runs without an end.
func (s *Scheduler) gain(spec *jobs.Spec) units.Microseconds {
	if spec.Service {
		return units.MaxTime
	}
	return s.demand.Runtime(spec)
}

// lostWork returns the run time that is lost if an attempt is stopped now.
func lostWork(now units.Microseconds, spec *jobs.Spec, attempt fleet.Attempt) units.Microseconds {
	if spec.Service || spec.Checkpoint > 0 {
		return 0
	}
	return attempt.Runtime(now)
}
