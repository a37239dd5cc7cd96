package scheduler

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quarantine"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

// maxCandidates bounds the jobs that are scored for one machine. They are those furthest from fair
// share in the highest tiers, of those that fit.
const maxCandidates = 64

// Fill starts tasks on a machine that has free capacity, and returns the commands that do so. It
// is the scheduler's main way: rank where that is due, filter the ranked jobs, score them, place
// what scores best. The machine must be schedulable.
func (s *Scheduler) Fill(machine *fleet.Machine) []fleet.Command {
	if s.rankExpired() {
		s.rank()
	}
	if len(s.queue.Ranked()) == 0 || s.zones.DeclaredLost(machine.Record.Zone) {
		return nil
	}
	now, wall := s.host.Now(), s.host.Wall()
	s.filter(now, wall, machine)
	var commands []fleet.Command
	binpack.Fill(machine.Type.Capacity, machine.Free(), s.views, s.config.Packing, func(chosen int) bool {
		job := s.candidates[chosen]
		if !s.mayPlace(wall, machine, job, len(commands)) {
			return false
		}
		commands = append(commands, s.place(now, wall, machine, job))
		return true
	})
	return commands
}

// filter finds the first ranked jobs that may start tasks on a machine, and how the packer is to
// see them.
func (s *Scheduler) filter(now, wall units.Microseconds, machine *fleet.Machine) {
	free := machine.Free()
	s.headroom.collect(s.preferred, machine)
	s.candidates, s.views = s.candidates[:0], s.views[:0]
	suits := func(spec *jobs.Spec) bool {
		return spec.Demand.Fits(free) && spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot)
	}
	s.queue.Each(suits, func(candidate ranking.Candidate, class int) bool {
		if pending := s.pending(now, wall, machine, candidate.Job, class); pending > 0 {
			s.consider(machine, candidate, pending)
		}
		return len(s.candidates) < maxCandidates
	})
}

// pending is how many tasks of a job may start on a machine now. What fits on preferred machines
// that are about to ask for work is left to them.
func (s *Scheduler) pending(now, wall units.Microseconds, machine *fleet.Machine, job *jobs.Job, class int) int {
	if job.Spec() == nil || job.Ready() == 0 || !s.startable(now, job) {
		return 0
	}
	if machine.SpareSince != 0 && s.demand.IsIdleTime(wall, job) {
		return 0 // the machine would be kept for that alone
	}
	pending := job.Ready() - s.headroom.take(job, class)
	if job.Suspect() {
		pending = quarantine.Trials(now, machine, job)
	}
	if overdue(wall, job) {
		pending = min(pending, 1) // the others have no more right than before
	}
	return pending
}

// consider adds a candidate to those that the packer is shown, and how it is to see it.
func (s *Scheduler) consider(machine *fleet.Machine, candidate ranking.Candidate, pending int) {
	job := candidate.Job
	spec := job.Spec()
	tier := 2 * candidate.Tier
	if !machine.Record.Spot && !spec.Spot {
		tier++ // it can go nowhere else, other work can
	}
	s.candidates = append(s.candidates, job)
	s.views = append(s.views, binpack.Job{
		Demand:   spec.Demand,
		Pending:  pending,
		Work:     float64(job.Record.Tasks-job.Finished()) * s.demand.Runtime(spec).Seconds(),
		Deficit:  s.deficit(job),
		Tier:     tier,
		Cached:   machine.HasImage(spec.Image),
		Deferred: job.Suspect(),
	})
}

// mayPlace reports whether one more task of a job may start on a machine beside those that were
// started there just now: the response and the machine's next heartbeat stay within their bounds,
// there is an attempt number left, the team stays within its limit, and the job's tasks in the
// zones that they may share.
func (s *Scheduler) mayPlace(wall units.Microseconds, machine *fleet.Machine, job *jobs.Job, started int) bool {
	if started == fleet.MaxStarts || machine.Listed+started >= fleet.MaxListed || s.host.AttemptsUsedUp() {
		return false
	}
	if !s.quota.Allows(job.Spec().Team, s.demandOnLimit(wall, job)) {
		return false
	}
	return job.ZoneAllows(machine.Record.Zone) || s.config.SkippedGuard == guard.ZoneConstraints
}

// place starts the next ready task of a job on a machine.
func (s *Scheduler) place(now, wall units.Microseconds, machine *fleet.Machine, job *jobs.Job) fleet.Command {
	spec := job.Spec()
	if overdue(wall, job) {
		delete(s.reserved, spec.Team)
	}
	number := s.host.NextAttempt()
	id := jobs.TaskID{Job: job.ID, Task: job.PlaceNext(jobs.Place{Machine: machine.Name, Attempt: number, Zone: machine.Record.Zone})}
	s.host.TaskPlaced(machine, id, fleet.Attempt{Number: number, Team: spec.Team, Demand: spec.Demand, Started: now})
	return fleet.Command{Op: fleet.Start, ID: id, Attempt: number}
}
