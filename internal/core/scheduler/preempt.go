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
	// preemptAfter is how long a job's tasks must have waited, and by how much longer they would have
	// to wait for capacity to come free by itself, before other tasks are stopped for them.
	preemptAfter = 30 * units.Second
	// displaceAfter is the same where the others are preemptible.
	displaceAfter = 3 * units.Second
	// preemptMemory is how long a stop is taken to be still under way.
	preemptMemory = 3 * units.Second
	// gainFactor is how many times the work that is lost with a victim the gaining task must be.
	gainFactor = 4
)

// preemption counts the places made for a job that it has not taken yet.
type preemption struct {
	places int
	at     units.Microseconds
}

// victim is a task that may be stopped, and the run time that is lost with it.
type victim struct {
	id      jobs.TaskID
	attempt fleet.Attempt
	lost    units.Microseconds
}

// preemptible reports whether a job uses what capacity others leave, and keeps its progress when it
// makes room: stopping its tasks costs little.
func preemptible(job *jobs.Job) bool {
	return job.Objectives.Priority == jobs.Low && job.Spec().Checkpoint > 0
}

// Preempt stops tasks of a machine to make room for a job that has a better right to it: one of
// higher priority, or one within its team's nominal quota where another team runs beyond its own.
// It stops what loses least, and nothing that would lose much beside what the job's task gains.
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

// runsPreemptible reports whether any task on a machine is of a preemptible job.
func (s *Scheduler) runsPreemptible(machine *fleet.Machine) bool {
	for id := range machine.Tasks {
		if job := s.host.Job(id.Job); job != nil && job.Active() && preemptible(job) {
			return true
		}
	}
	return false
}

// preempt stops tasks of the jobs that it may for the job with the best right to the machine that
// has waited, and would wait, for some time.
func (s *Scheduler) preempt(machine *fleet.Machine, after units.Microseconds, may func(*jobs.Job) bool) []fleet.Command {
	job := s.preemptor(machine, after)
	if job == nil || job.Spec().Demand.Fits(machine.Free()) {
		return nil // what fits starts, or something else keeps it from that
	}
	victims, costless := s.victims(machine, job, may)
	made := s.preempted[job.ID]
	most := 1
	if costless {
		most = job.Ready() - made.places
	}
	stops, places := s.stop(victims, machine.Free(), job.Spec().Demand, most)
	if places == 0 {
		return nil
	}
	s.preempted[job.ID] = preemption{made.places + places, s.host.Now()}
	s.config.Log.Info("preempting", "machine", machine.Name, "job", job.ID, "stopped", len(stops))
	return stops
}

// preemptor returns the job with the best right to a machine's capacity among those that have
// waited for some time and would still have to.
func (s *Scheduler) preemptor(machine *fleet.Machine, after units.Microseconds) *jobs.Job {
	now, wall := s.host.Now(), s.host.Wall()
	if s.completionRate > 0 && units.Seconds(float64(s.readyTasks)/s.completionRate) < after {
		return nil
	}
	if wall-s.queue.EarliestSince() < after {
		return nil // none has waited for that long
	}
	suits := func(spec *jobs.Spec) bool {
		return spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot) && spec.Demand.Fits(machine.Type.Capacity)
	}
	var found *jobs.Job
	s.queue.Each(suits, func(candidate ranking.Candidate, _ int) bool {
		job := candidate.Job
		spec := job.Spec()
		if spec == nil || wall-job.Since < after || job.Suspect() || !s.startable(now, job) ||
			!s.quota.Allows(spec.Team, spec.Demand) || !job.ZoneAllows(machine.Record.Zone) {
			return true
		}
		if job.Ready() > s.placesMade(now, job) {
			found = job
		}
		return found == nil
	})
	return found
}

// placesMade is for how many of a job's ready tasks others are being stopped. What was stopped
// longer ago has ended; whoever took its place has a better right.
func (s *Scheduler) placesMade(now units.Microseconds, job *jobs.Job) int {
	made := s.preempted[job.ID]
	if now-made.at > preemptMemory {
		delete(s.preempted, job.ID)
		return 0
	}
	return made.places
}

// victims returns the tasks of a machine that may be stopped for a job, those first that lose
// least, and whether all of them are preemptible: nothing is lost by stopping several then.
func (s *Scheduler) victims(machine *fleet.Machine, job *jobs.Job, may func(*jobs.Job) bool) (victims []victim, costless bool) {
	now, gain := s.host.Now(), s.demand.Runtime(job.Spec())
	costless = true
	for _, id := range machine.TaskIDs() {
		attempt, owner := machine.Tasks[id], s.host.Job(id.Job)
		if owner == nil || !owner.Active() || attempt.State == fleet.Saving || !may(owner) || !s.mayPreempt(job, owner) {
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

// stop returns the commands that stop as few victims as make places for tasks of a demand, at most
// some number of them, and how many places that makes.
func (s *Scheduler) stop(victims []victim, free, need binpack.Vec, most int) (stops []fleet.Command, places int) {
	var partial []fleet.Command // do not make another place yet
	for _, victim := range victims {
		if places == most || len(stops)+len(partial) == fleet.MaxStops {
			break
		}
		free = free.Add(victim.attempt.Demand)
		partial = append(partial, fleet.Command{Op: fleet.Stop, ID: victim.id, Attempt: victim.attempt.Number, Grace: s.host.Job(victim.id.Job).Spec().Save})
		for places < most && need.Fits(free) {
			free = free.Sub(need)
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
		return false // all that it has is what it may use before all others
	}
	within, victimWithin := s.entitled.WithinNominal[job.ID], s.entitled.WithinNominal[victim.ID]
	if victim.Objectives.Priority < job.Objectives.Priority && (within || !victimWithin) {
		return true
	}
	return within && !sameTeam && !victimWithin && s.quota.ExceedsNominal(team)
}

// lostWork is the run time that is lost when an attempt is stopped now.
func lostWork(now units.Microseconds, spec *jobs.Spec, attempt fleet.Attempt) units.Microseconds {
	if spec.Service || spec.Checkpoint > 0 {
		return 0
	}
	return attempt.Ran(now)
}
