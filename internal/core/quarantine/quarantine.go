// Package quarantine decides whose fault a failed task is, the machine's or the job's, and
// quarantines machines that fail what they start. Nothing more starts on a quarantined machine
// until a task that it started later completes.
//
// What it decides by is kept with the machines (fleet.Machine: Failed, FailedAt, Proven,
// Quarantined; a slow machine is quarantined by fleet.Machine.Ran) and the jobs (jobs.Job: MachineFailures,
// AnyTaskSucceeded, Failing, QuarantineCount, NotBefore). Nobody else writes those of the machines.
package quarantine

import (
	"log/slog"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// retrySame is how long a job that failed on a machine is tried elsewhere only.
	retrySame = 30 * units.Second
	// longestBackoff bounds the pause between two trials of a job that fails everywhere.
	longestBackoff = 60 * units.Second
	// maxDoublings bounds how often that pause doubles, from a second on.
	maxDoublings = 6
	// maxReplaced bounds the machines that are given up for one job alone.
	maxReplaced = 3
)

// Host is what the rest of a shard's owner does for failure attribution. None of its methods may
// call the Attribution.
type Host interface {
	// Now is the steady time.
	Now() units.Microseconds
	// Job returns a known job, or nil.
	Job(id string) *jobs.Job
	// Machine returns a machine of the shard, or nil.
	Machine(name string) *fleet.Machine
	// ActiveJobs are the shard's jobs that are not over, by id.
	ActiveJobs() map[string]*jobs.Job
	// StoreFailing has it stored with a job's progress whether it fails everywhere: the next owner
	// need not find out by hundreds of tasks.
	StoreFailing(job *jobs.Job)
	// TasksReady notes that tasks may start that could not before.
	TasksReady()
}

// Attribution is the failure attribution of one shard.
type Attribution struct {
	host Host
	log  *slog.Logger
}

// New returns the failure attribution of a shard.
func New(host Host, log *slog.Logger) *Attribution { return &Attribution{host, log} }

// TaskFailed weighs whose fault a failed attempt is.
//
//   - A job that has worked elsewhere speaks against the machine, and so do two jobs that have
//     failed on no other.
//   - A job that has only ever failed, on several machines, speaks against itself and for them.
//   - While it is open whose fault it is, the job goes on with a few tasks, on other machines.
//     Where there is no other and it fails there once more, the machine is quarantined so that the
//     job is tried on another; for a job that fails everywhere only one on which nothing ever
//     worked, and few of them.
func (a *Attribution) TaskFailed(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	now := a.host.Now()
	again := job.MachineFailures[machine.Name] > 0 && attempt.Started > machine.FailedAt
	machine.FailedAt = now
	a.log.Debug("task failed", "job", job.ID, "machine", machine.Name)
	if job.AnyTaskSucceeded {
		a.quarantine(machine)
		return
	}
	known := job.FailsEverywhere()
	job.FailedOn(machine.Name)
	if again && (!known || !machine.Proven && job.QuarantineCount < maxReplaced) {
		job.MachineQuarantined()
		machine.Quarantined = true // what speaks against the job stays
		a.log.Warn("machine quarantined: a job fails there again", "machine", machine.Name, "job", job.ID)
	}
	if job.FailsEverywhere() {
		job.RetryAt(now + backoff(len(job.MachineFailures)))
		if !known {
			a.log.Warn("job fails everywhere", "job", job.ID, "class", job.Spec().Class, "team", job.Spec().Team)
			a.host.StoreFailing(job)
		}
		return
	}
	if machine.Failed == nil {
		machine.Failed = map[string]bool{}
	}
	machine.Failed[job.ID] = true
	if a.openCases(machine) > 1 {
		a.quarantine(machine)
	}
}

// backoff is the pause before the next trial of a job that has failed on some machines.
func backoff(machines int) units.Microseconds {
	return min(units.Second<<min(machines, maxDoublings), longestBackoff)
}

// openCases counts the jobs that failed on a machine and have neither worked nor failed on several.
func (a *Attribution) openCases(machine *fleet.Machine) int {
	open := 0
	for id := range machine.Failed {
		if job := a.host.Job(id); job != nil && job.Active() && !job.AnyTaskSucceeded && !job.FailsEverywhere() {
			open++
		}
	}
	return open
}

// quarantine has nothing more start on a machine. What failed there says nothing against the jobs
// any more.
func (a *Attribution) quarantine(machine *fleet.Machine) {
	if machine.Quarantined {
		return
	}
	machine.Quarantined = true
	a.log.Warn("machine quarantined: it fails its tasks", "machine", machine.Name)
	now := a.host.Now()
	for _, job := range a.host.ActiveJobs() {
		if job.MachineFailures[machine.Name] == 0 {
			continue
		}
		if job.ClearMachineFailures(machine.Name) {
			a.host.StoreFailing(job)
		}
		if !job.FailsEverywhere() {
			job.RetryNow(now)
			a.host.TasksReady()
		}
	}
}

// TaskSucceeded takes in that a task completed. What a machine started since its last failure works, so
// that a quarantine ends; a job that was suspect is not at fault. The attempt is zero where it was
// not known to be on the machine.
func (a *Attribution) TaskSucceeded(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	machine.Proven = true
	if attempt.Started > machine.FailedAt {
		machine.Failed, machine.Quarantined = nil, false
	}
	if job.Suspect() {
		a.exonerate(job)
	}
}

// exonerate blames the machines on which a suspect job failed, as a task of it has completed, unless
// something has worked there since.
func (a *Attribution) exonerate(job *jobs.Job) {
	for _, name := range slices.Sorted(maps.Keys(job.MachineFailures)) {
		if machine := a.host.Machine(name); machine != nil && machine.Failed[job.ID] {
			a.quarantine(machine)
		}
	}
	job.RetryNow(a.host.Now())
	a.host.TasksReady()
}

// Trials is how many tasks of a suspect job may start on a machine.
func Trials(now units.Microseconds, machine *fleet.Machine, job *jobs.Job) int {
	if job.MachineFailures[machine.Name] > 0 && now-machine.FailedAt < retrySame {
		return 0
	}
	return job.StartLimit()
}
