package jobs

import "shalestage.example/shalestage/internal/core/units"

// Failures of a job of which nothing has worked yet: the job or the machines may be at fault, see
// package quarantine, which decides.

// Suspect reports whether the job has failed and nothing of it has worked: the
// job or the machine may be at fault.
func (j *Job) Suspect() bool { return !j.AnyTaskSucceeded && (j.Failing || len(j.MachineFailures) > 0) }

// FailsEverywhere reports whether the job has failed on several machines and
// worked on none.
func (j *Job) FailsEverywhere() bool {
	return !j.AnyTaskSucceeded && (j.Failing || len(j.MachineFailures) > 1)
}

// StartLimit returns how many more tasks may start: few, while the job is suspect.
func (j *Job) StartLimit() int {
	switch {
	case j.FailsEverywhere():
		return max(0, min(len(j.ready), 1-len(j.places)))
	case j.Suspect():
		return max(0, min(len(j.ready), 2-len(j.places)))
	}
	return len(j.ready)
}

// FailedOn records that a task failed on a machine, and nothing of the job has worked.
func (j *Job) FailedOn(machine string) { j.MachineFailures[machine]++ }

// MachineQuarantined records that a machine was quarantined on account of this job alone.
func (j *Job) MachineQuarantined() { j.QuarantineCount++ }

// ClearMachineFailures drops a machine's failures, as the machine is at fault. It reports whether the
// job no longer counts as one that fails everywhere, of which that was stored.
func (j *Job) ClearMachineFailures(machine string) (restored bool) {
	delete(j.MachineFailures, machine)
	if j.Failing && len(j.MachineFailures) < 2 {
		j.Failing = false
		return true
	}
	return false
}

// RetryAt has no task start before a time, whatever was said before.
func (j *Job) RetryAt(t units.Microseconds) { j.NotBefore = t }

// DeferUntil has no task start before a time.
func (j *Job) DeferUntil(t units.Microseconds) { j.NotBefore = max(j.NotBefore, t) }

// RetryNow lets tasks start from now on.
func (j *Job) RetryNow(now units.Microseconds) { j.NotBefore = min(j.NotBefore, now) }
