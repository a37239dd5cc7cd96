package renewal

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/units"
)

// owner is one owner of the shard. It implements reconcile.Host and reconcile.Quota.
type owner struct {
	reconcile.Host // stands for methods that the model does not need

	skipped    guard.Guard
	reconciler *reconcile.Reconciler
	machine    *fleet.Machine
	token      uint64
	job        *jobs.Job
	attempts   uint64
}

// newOwner returns an owner that has just acquired the shard. snapshot is the last owner's state of the
// machine, or nil if that is not known.
func newOwner(now units.Microseconds, token uint64, cancelled bool, snapshot *reconcile.Snapshot, skipped guard.Guard) *owner {
	job := &jobs.Job{ID: jobID, Record: jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1}}}
	job.Reset()
	o := &owner{token: token, job: job, skipped: skipped}
	if cancelled {
		o.cancel()
	}
	o.reconciler = reconcile.New(reconcile.Config{FencingToken: token, OwnedSince: now, Counters: &reconcile.Counters{}, Log: slog.New(slog.DiscardHandler)}, o, o)
	o.machine = fleet.New(machineName, fleet.Record{Type: "big", Zone: "z", Up: true}, &fleet.Type{}, now)
	o.reconciler.Add(o.machine)
	o.reconciler.Inherit(now, o.machine, snapshot != nil)
	if snapshot != nil {
		o.reconciler.Restore(now, o.machine, *snapshot)
	}
	return o
}

// cancel records that the job was cancelled.
func (o *owner) cancel() { o.job.Record = jobs.Record{Status: jobs.Cancelled, Tasks: 1} }

// snapshot returns the owner's state of the machine, or nil if the owner does not know all its tasks.
func (o *owner) snapshot() *reconcile.Snapshot {
	if !o.machine.Reconciled {
		return nil
	}
	snapshot := &reconcile.Snapshot{Addr: "address", Incarnation: o.machine.Incarnation, Seq: o.machine.Seq}
	for id, attempt := range o.machine.Tasks {
		snapshot.Tasks = append(snapshot.Tasks, fleet.Task{ID: id, Attempt: attempt.Number, State: attempt.State})
	}
	return snapshot
}

// countsAsEnded reports whether the owner is certain that a task does not run on the machine.
func (o *owner) countsAsEnded(task fleet.Task) bool {
	attempt, known := o.machine.Tasks[task.ID]
	return o.machine.Reconciled && (!known || attempt.Number != task.Attempt)
}

// accept handles a heartbeat and returns the commands of the response; answered is false if the heartbeat is
// refused.
func (o *owner) accept(now units.Microseconds, heartbeat *fleet.Heartbeat) (commands []fleet.Command, answered bool) {
	if o.reconciler.Admit(now, heartbeat, true) != reconcile.Admitted {
		return nil, false
	}
	accepted := o.reconciler.Accept(now, heartbeat)
	if accepted.Status == reconcile.Stale {
		return nil, false
	}
	startAllowed := accepted.Status == reconcile.Confirmed || accepted.Status == reconcile.Unconfirmed && o.machine.Transferred
	if startAllowed && o.machine.Schedulable() && o.job.Active() && o.job.Placed() == 0 {
		return append(accepted.Commands, o.start()), true
	}
	return accepted.Commands, true
}

// start places the job's task on the machine.
func (o *owner) start() fleet.Command {
	o.attempts++
	attempt := o.LastAttempt()
	id := jobs.TaskID{Job: jobID, Task: o.job.PlaceNext(jobs.Place{Machine: machineName, Attempt: attempt, Zone: "z"})}
	o.reconciler.Place(o.machine, id, fleet.Attempt{Number: attempt})
	return fleet.Command{Op: fleet.Start, ID: id, Attempt: attempt}
}

// GuardEnabled implements reconcile.Host.
func (o *owner) GuardEnabled(check guard.Guard) bool { return o.skipped != check }

// Assignment implements reconcile.Host.
func (o *owner) Assignment() uint64 { return o.token }

// LeaseBound implements reconcile.Host.
func (*owner) LeaseBound() units.Microseconds { return leaseBound }

// LastAttempt implements reconcile.Host.
func (o *owner) LastAttempt() uint64 { return o.token*attemptsPerOwner + o.attempts }

// Deprovisioned implements reconcile.Host.
func (*owner) Deprovisioned(string) bool { return false }

// InAnotherShard implements reconcile.Host.
func (*owner) InAnotherShard(string) bool { return false }

// StoreGroup implements reconcile.Host.
func (*owner) StoreGroup(string, bool) {}

// AllReconciled implements reconcile.Host.
func (*owner) AllReconciled() {}

// Job implements reconcile.JobHost.
func (o *owner) Job(id string) *jobs.Job {
	if id == o.job.ID {
		return o.job
	}
	return nil
}

// AttemptRemoved implements reconcile.JobHost.
func (*owner) AttemptRemoved(*jobs.Job, bool) {}

// Charge implements reconcile.Quota.
func (*owner) Charge(string, binpack.Vec) {}

// Release implements reconcile.Quota.
func (*owner) Release(string, binpack.Vec) {}

// UnreconciledChanged implements reconcile.Quota.
func (*owner) UnreconciledChanged() {}
