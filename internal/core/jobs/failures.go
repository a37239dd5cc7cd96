package jobs

import "shalestage.example/shalestage/internal/core/units"

// This file counts failures of a job of which no task has succeeded yet. The job
// or the machines may be at fault; package quarantine decides which.

// Suspect reports whether tasks of the job have failed and none has
// succeeded: the job or the machine may be at fault.
func (j *Job) Suspect() bool { return !j.AnyTaskSucceeded && (j.Failing || len(j.MachineFailures) > 0) }

// FailsEverywhere reports whether the job has failed on several machines and succeeded on none.
func (j *Job) FailsEverywhere() bool {
	return !j.AnyTaskSucceeded && (j.Failing || len(j.MachineFailures) > 1)
}

const (
	// suspectTasks is the number of tasks of a suspect job that may be
	// tried at a time, and failingTasks that of a job that fails everywhere.
	suspectTasks = 2
	failingTasks = 1
)

// StartLimit returns how many more tasks may start. It is small while the job is suspect. Proven replicas of a
// service do not count: they never complete, so that no other replica would start again after a failure.
func (j *Job) StartLimit() int {
	tried := len(j.places) - j.proven
	switch {
	case j.FailsEverywhere():
		return max(0, min(len(j.ready), failingTasks-tried))
	case j.Suspect():
		return max(0, min(len(j.ready), suspectTasks-tried))
	}
	return len(j.ready)
}

// FailedOn records a failed task on a machine. It must be called only while no task of the job has succeeded.
func (j *Job) FailedOn(machine string) { j.MachineFailures[machine]++ }

// MachineQuarantined records that a machine was quarantined because of this job alone.
func (j *Job) MachineQuarantined() { j.QuarantineCount++ }

// ClearMachineFailures drops the failures on a machine that turned out to be at fault. restored
// reports that the job was stored as failing everywhere and no longer counts as such.
func (j *Job) ClearMachineFailures(machine string) (restored bool) {
	delete(j.MachineFailures, machine)
	if j.Failing && len(j.MachineFailures) < 2 {
		j.Failing = false
		return true
	}
	return false
}

// RetryAt sets the time before which no task may start, replacing any earlier setting.
func (j *Job) RetryAt(t units.Microseconds) { j.NotBefore = t }

// DeferUntil prevents tasks from starting before t. It never shortens an earlier delay.
func (j *Job) DeferUntil(t units.Microseconds) { j.NotBefore = max(j.NotBefore, t) }

// RetryNow ends any delay, so that tasks may start from now on.
func (j *Job) RetryNow(now units.Microseconds) { j.NotBefore = min(j.NotBefore, now) }
