// Package quarantine decides whether the machine or the job is at fault when a task fails,
// and quarantines machines that fail the tasks they start. Nothing more starts on a
// quarantined machine until a task that was started there after the last failure completes.
//
// The state behind these decisions is kept with the machines (fleet.Machine: Failed, FailedAt,
// HasCompletedTask, Quarantined) and the jobs (jobs.Job: MachineFailures, AnyTaskSucceeded,
// Failing, QuarantineCount, NotBefore). No other package writes these fields of the machines,
// except that fleet.Machine.ObserveRuntime quarantines a slow machine.
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
	// retrySameMachineAfter is how long a job that failed on a machine is tried on other machines only.
	retrySameMachineAfter = 30 * units.Second
	// maxBackoff bounds the delay before a job that fails everywhere is retried.
	maxBackoff = 60 * units.Second
	// maxDoublings bounds how often that delay doubles, starting from one second.
	maxDoublings = 6
	// maxReplaced bounds the machines that are quarantined on account of a single job.
	maxReplaced = 3
)

// Host is what failure attribution needs from the shard's owner. Its methods must not call the Attribution.
type Host interface {
	// Now returns the monotonic time.
	Now() units.Microseconds
	// Job returns a known job, or nil.
	Job(id string) *jobs.Job
	// Machine returns a machine of the shard, or nil.
	Machine(name string) *fleet.Machine
	// ActiveJobs returns the shard's unfinished jobs by ID.
	ActiveJobs() map[string]*jobs.Job
	// StoreFailing stores, with the job's progress, whether the job fails everywhere.
	// The next owner then does not have to rediscover it from hundreds of failed tasks.
	StoreFailing(job *jobs.Job)
	// TasksReady reports that tasks may start that could not start before.
	TasksReady()
}

// Attribution attributes the failures of one shard's tasks to machines or jobs.
type Attribution struct {
	host Host
	log  *slog.Logger
}

// New returns the failure attribution of a shard.
func New(host Host, log *slog.Logger) *Attribution { return &Attribution{host, log} }

// TaskFailed attributes a failed attempt to the machine or
// the job, and quarantines the machine if it is at fault.
//
//   - If a task of the job has completed elsewhere, the machine is at fault. The same holds if
//     two jobs failed on it, neither of which has completed a task or failed on another machine.
//   - If the job has failed on several machines and completed no task, the
//     job is at fault, and its failures do not count against the machines.
//   - While neither is known to be at fault, the job continues with a few tasks on other machines.
//     If there is no other machine and it fails on the same one again, that machine is quarantined
//     so that the job is tried on a new one. For a job that fails everywhere, this applies only to
//     machines on which no task has ever completed, and only to maxReplaced of them.
func (a *Attribution) TaskFailed(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	now := a.host.Now()
	repeated := job.MachineFailures[machine.Name] > 0 && attempt.Started > machine.FailedAt
	machine.FailedAt = now
	a.log.Debug("task failed", "job", job.ID, "machine", machine.Name)
	if job.AnyTaskSucceeded {
		a.quarantine(machine)
		return
	}
	wasFailing := job.FailsEverywhere()
	job.FailedOn(machine.Name)
	if repeated && (!wasFailing || !machine.HasCompletedTask && job.QuarantineCount < maxReplaced) {
		job.MachineQuarantined()
		machine.Quarantined = true // the job's failures still count against the job
		a.log.Warn("machine quarantined: a job failed on it again", "machine", machine.Name, "job", job.ID)
	}
	if job.FailsEverywhere() {
		job.RetryAt(now + backoff(len(job.MachineFailures)))
		if !wasFailing {
			a.log.Warn("job fails everywhere", "job", job.ID, "class", job.Spec().Class, "team", job.Spec().Team)
			a.host.StoreFailing(job)
		}
		return
	}
	if machine.Failed == nil {
		machine.Failed = map[string]bool{}
	}
	machine.Failed[job.ID] = true
	if a.unattributedFailures(machine) > 1 {
		a.quarantine(machine)
	}
}

// backoff returns the delay before a job that has failed on the given number of machines is retried.
func backoff(machines int) units.Microseconds {
	return min(units.Second<<min(machines, maxDoublings), maxBackoff)
}

// unattributedFailures returns the number of jobs that failed on a
// machine, completed no task and did not fail on several machines.
func (a *Attribution) unattributedFailures(machine *fleet.Machine) int {
	unattributed := 0
	for id := range machine.Failed {
		if job := a.host.Job(id); job != nil && job.Active() && !job.AnyTaskSucceeded && !job.FailsEverywhere() {
			unattributed++
		}
	}
	return unattributed
}

// quarantine stops new tasks from starting on a machine.
// The failures on it no longer count against the jobs.
func (a *Attribution) quarantine(machine *fleet.Machine) {
	if machine.Quarantined {
		return
	}
	machine.Quarantined = true
	a.log.Warn("machine quarantined: tasks fail on it", "machine", machine.Name)
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

// TaskSucceeded records that a task completed. If the attempt started after the machine's
// last failure, the machine works and its quarantine ends. A job that was suspect is not
// at fault. attempt is the zero value if it was not known to be on the machine.
func (a *Attribution) TaskSucceeded(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	machine.HasCompletedTask = true
	if attempt.Started > machine.FailedAt {
		machine.Failed, machine.Quarantined = nil, false
	}
	if job.Suspect() {
		a.blameMachines(job)
	}
}

// blameMachines quarantines the machines on which a suspect job failed, now that one
// of its tasks has completed, except machines on which some task has completed since.
func (a *Attribution) blameMachines(job *jobs.Job) {
	for _, name := range slices.Sorted(maps.Keys(job.MachineFailures)) {
		if machine := a.host.Machine(name); machine != nil && machine.Failed[job.ID] {
			a.quarantine(machine)
		}
	}
	job.RetryNow(a.host.Now())
	a.host.TasksReady()
}

// StartLimit returns how many tasks of a suspect job may start on a machine.
func StartLimit(now units.Microseconds, machine *fleet.Machine, job *jobs.Job) int {
	if job.MachineFailures[machine.Name] > 0 && now-machine.FailedAt < retrySameMachineAfter {
		return 0
	}
	return job.StartLimit()
}
