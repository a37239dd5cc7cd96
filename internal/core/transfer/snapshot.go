package transfer

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
)

// Snapshot is what the last owner of a shard knew. The zero value is empty.
type Snapshot struct {
	fencingToken uint64
	machines     map[string]replication.MachineSnapshot
	finished     []replication.FinishedTasks
	complete     bool // nothing can run on a machine that is not in it
}

// Complete reports whether the snapshot includes everything that was started.
func (s *Snapshot) Complete() bool { return s.complete }

// Covers reports whether a machine of a group need not be reconciled: the snapshot includes it,
// or is complete without it. An orphaned machine that is not included is never covered: it is
// not known which controller provisioned it, so any controller may have started tasks on it.
func (s *Snapshot) Covers(machine, group string) bool {
	_, shown := s.machines[machine]
	return shown || s.complete && !keys.IsOrphanMachine(group)
}

// Host is the next owner while it takes the shard over, before it
// answers any worker. Its methods must not add or remove machines.
type Host interface {
	// Machines returns the machines of the shard by name.
	Machines() map[string]*fleet.Machine
	// ActiveJob returns a job of the shard that is not final, or nil.
	ActiveJob(id string) *jobs.Job
	// RestoreMachine applies the state of a machine, which need not be reconciled then.
	RestoreMachine(machine *fleet.Machine, last replication.MachineSnapshot)
	// TaskFinished records that a task is finished, which is still to be stored.
	TaskFinished(job *jobs.Job, task int)
}

// Restore passes the contents of the snapshot to the shard's next owner. It returns the number of machines
// that were restored.
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
