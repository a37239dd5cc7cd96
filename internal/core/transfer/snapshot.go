package transfer

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
)

// Snapshot is what the last owner of a shard knew; the zero value knows nothing.
type Snapshot struct {
	fencingToken uint64
	machines     map[string]replication.MachineSnapshot
	finished     []replication.FinishedTasks
	complete     bool // on machines that are not in it, nothing can be
}

// Complete reports whether the snapshot tells of all that was started.
func (s *Snapshot) Complete() bool { return s.complete }

// Covers reports whether a machine of a group need not be reconciled: the snapshot shows it, or
// is complete without it. On a machine that nobody is known to have provisioned, anybody may have
// started anything.
func (s *Snapshot) Covers(machine, group string) bool {
	_, shown := s.machines[machine]
	return shown || s.complete && !keys.IsOrphanMachine(group)
}

// Host is the next owner, while it takes over and before it answers any worker. Its methods must
// not change which machines there are.
type Host interface {
	// Machines are those of the shard, by name.
	Machines() map[string]*fleet.Machine
	// ActiveJob returns a job of the shard that is not over, or nil.
	ActiveJob(id string) *jobs.Job
	// RestoreMachine takes in what may be on a machine, which need not be reconciled then.
	RestoreMachine(machine *fleet.Machine, last replication.MachineSnapshot)
	// TaskFinished takes in that a task is finished, which is to be stored.
	TaskFinished(job *jobs.Job, task int)
}

// Restore hands the snapshot to the shard's next owner, and returns of how many machines it tells.
func (s *Snapshot) Restore(host Host) int {
	restored := 0
	machines := host.Machines()
	for _, name := range slices.Sorted(maps.Keys(machines)) {
		machine := machines[name]
		if machine.Record.Up && s.Covers(name, machine.Group) {
			host.RestoreMachine(machine, s.machines[name])
			restored++
		}
	}
	for _, tasks := range s.finished {
		job := host.ActiveJob(tasks.Job)
		if job == nil {
			continue
		}
		for _, task := range tasks.Tasks {
			if task >= 0 && task < job.Record.Tasks && !job.IsFinished(task) {
				host.TaskFinished(job, task)
			}
		}
	}
	return restored
}
