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

// maxCandidates bounds the jobs that are scored for one machine. Of the jobs that fit,
// those of the highest tiers that are furthest below their fair share are scored.
const maxCandidates = 64

// Fill returns the commands that start tasks on a machine with free capacity. It is the
// main path of the scheduler: refresh an expired ranking, filter the ranked jobs, score
// them, and place the tasks with the highest scores. The machine must be schedulable.
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
	binpack.Fill(machine.Type.Capacity, machine.Free(), s.packerJobs, s.config.Packing, func(chosen int) bool {
		job := s.candidates[chosen]
		if !s.mayPlace(wall, machine, job, len(commands)) {
			return false
		}
		commands = append(commands, s.place(now, wall, machine, job))
		return true
	})
	return commands
}

// filter collects the first ranked jobs that may start tasks on
// a machine, together with the packer's input for each of them.
func (s *Scheduler) filter(now, wall units.Microseconds, machine *fleet.Machine) {
	free := machine.Free()
	s.headroom.collect(s.preferred, machine)
	s.candidates, s.packerJobs = s.candidates[:0], s.packerJobs[:0]
	feasible := func(spec *jobs.Spec) bool {
		return spec.Demand.Fits(free) && spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot)
	}
	s.queue.Each(feasible, func(candidate ranking.Candidate, class int) bool {
		if pending := s.pending(now, wall, machine, candidate.Job, class); pending > 0 {
			s.addCandidate(machine, candidate, pending)
		}
		return len(s.candidates) < maxCandidates
	})
}

// pending returns how many tasks of a job may start on a machine now. Tasks that fit
// on preferred machines which will ask for work soon are left to those machines.
func (s *Scheduler) pending(now, wall units.Microseconds, machine *fleet.Machine, job *jobs.Job, class int) int {
	if job.Spec() == nil || job.Ready() == 0 || !s.startable(now, job) {
		return 0
	}
	if machine.SpareSince != 0 && s.demand.IsIdleTime(wall, job) {
		return 0 // the machine would be kept for idle-time work alone
	}
	pending := job.Ready() - s.headroom.claim(job, class)
	if job.Suspect() {
		pending = quarantine.StartLimit(now, machine, job)
	}
	if overdue(wall, job) {
		pending = min(pending, 1) // only the first task goes out of order
	}
	return pending
}

// addCandidate adds a job to the candidates and to the packer's input.
func (s *Scheduler) addCandidate(machine *fleet.Machine, candidate ranking.Candidate, pending int) {
	job := candidate.Job
	spec := job.Spec()
	tier := 2 * candidate.Tier
	if !machine.Record.Spot && !spec.Spot {
		tier++ // the job needs an on-demand machine, other jobs can use spot instances
	}
	s.candidates = append(s.candidates, job)
	s.packerJobs = append(s.packerJobs, binpack.Job{
		Demand:   spec.Demand,
		Pending:  pending,
		Work:     float64(job.Record.Tasks-job.Finished()) * s.demand.Runtime(spec).Seconds(),
		Deficit:  s.deficit(job),
		Tier:     tier,
		Cached:   machine.HasImage(spec.Image),
		Deferred: job.Suspect(),
	})
}

// mayPlace reports whether one more task of a job may start on a machine, in
// addition to the tasks started by this call of Fill. The response and the machine's
// next heartbeat must stay within their size bounds, an attempt number must be left,
// the team must stay within its limit, and the job's zone constraints must hold.
func (s *Scheduler) mayPlace(wall units.Microseconds, machine *fleet.Machine, job *jobs.Job, started int) bool {
	if started == fleet.MaxStarts || machine.ReportedTasks+started >= fleet.MaxReportedTasks || s.host.AttemptsUsedUp() {
		return false
	}
	if !s.quota.Allows(job.Spec().Team, s.demandOnLimit(wall, job)) {
		return false
	}
	return job.ZoneAllows(machine.Record.Zone) || s.config.SkippedGuard == guard.ZoneConstraints
}

// place assigns the next ready task of a job to a machine and returns its start command.
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
