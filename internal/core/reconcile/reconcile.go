// Package reconcile owns the machines of one shard: which there are, their incarnations and leases,
// and what may run on each. It brings what is recorded of a machine in line with the machine's
// heartbeats, and knows which machines have not been reconciled since the shard changed owners.
//
// Safety rests on two rules. A start goes out only in the response to a heartbeat, by the owner of
// the machine's shard. And what may have been started counts as running until its machine reports
// otherwise under this owner's fencing token, is in a new incarnation that does not show it, is
// deprovisioned, or its lease must have expired.
//
// The package is pure: heartbeats and the time go in by method calls, effects come out by its Host.
package reconcile

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the owner of a shard, as its machines see it. Its methods run in the midst of a
// Reconciler's: Adopt calls Add, Fill calls Place, and none may change the Reconciler otherwise.
type Host interface {
	// Guarded reports whether a check is made: all are, but for one that a test leaves out.
	Guarded(check guard.Guard) bool
	// Assignment is the version of the shard's stored assignment, under which answers still count.
	Assignment() uint64
	// LeaseBound is the time after which nothing runs on a machine that gets no response.
	LeaseBound() units.Microseconds
	// LastAttempt is the highest number of an attempt that this owner has started.
	LastAttempt() uint64
	// Deprovisioned reports whether the cloud has said that a machine is deleted.
	Deprovisioned(machine string) bool
	// InAnotherShard reports whether a machine is stored as another shard's.
	InAnotherShard(machine string) bool
	// Adopt adds a machine that nobody is known to have provisioned.
	Adopt(heartbeat *fleet.Heartbeat) *fleet.Machine
	// StoreGroup has a group of machines stored soon; urgent: a machine that is up waits for it.
	StoreGroup(group string, urgent bool)
	// SendProbe asks a machine directly; OnProbe is called once with the outcome.
	SendProbe(probe Probe)
	// AllReconciled says that what earlier owners started is known: every job may start tasks.
	AllReconciled()

	JobHost
	IdleHost
}

// JobHost is what becomes of jobs as their tasks are placed and exit.
type JobHost interface {
	// Job returns a job, or nil if it is not known or archived.
	Job(id string) *jobs.Job
	// AttemptRemoved says that an attempt of a job is on its machine no more; moreReady: its task
	// may start elsewhere.
	AttemptRemoved(job *jobs.Job, moreReady bool)
	// TaskFailed attributes a failure to the job or the machine.
	TaskFailed(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt)
	// TaskSucceeded notes that neither machine nor job made a task fail. The attempt is zero where it
	// was not known to be on the machine.
	TaskSucceeded(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt)
	// ObserveRuntime takes in how long a task of a job took.
	ObserveRuntime(job *jobs.Job, took units.Microseconds)
	// TaskCompleted has it stored that a task is completed.
	TaskCompleted(job *jobs.Job, task int)
}

// Quota counts what may run against the limits of teams.
type Quota interface {
	Charge(team string, demand binpack.Vec)
	Release(team string, demand binpack.Vec)
	// UnreconciledChanged says that other machines are unreconciled, or the type of one is known.
	UnreconciledChanged()
}

// Config is what a shard's machines are reconciled under.
type Config struct {
	Shard        int
	FencingToken uint64 // of this owner
	OwnedSince   units.Microseconds
	Log          *slog.Logger
}

// Reconciler is the machines of one shard and what may run on them.
type Reconciler struct {
	cfg      Config
	host     Host
	quota    Quota
	machines map[string]*fleet.Machine
	// unreconciled machines may run tasks of earlier owners that are not known.
	unreconciled map[string]bool
	// unknown machines send heartbeats and are stored nowhere, by since when.
	unknown map[string]units.Microseconds
	probes  probes
	pending pending
}

// New returns a shard's Reconciler, without machines yet.
func New(cfg Config, host Host, quota Quota) *Reconciler {
	return &Reconciler{cfg: cfg, host: host, quota: quota, machines: map[string]*fleet.Machine{},
		unreconciled: map[string]bool{}, unknown: map[string]units.Microseconds{}}
}

// Machines are the shard's machines by name. The map is to be read only.
func (r *Reconciler) Machines() map[string]*fleet.Machine { return r.machines }

// Machine returns a machine of the shard, or nil.
func (r *Reconciler) Machine(name string) *fleet.Machine { return r.machines[name] }

// Unreconciled names the machines on which tasks of earlier owners may run that are not known. The
// map is to be read only.
func (r *Reconciler) Unreconciled() map[string]bool { return r.unreconciled }

// UnreconciledOutside counts the unreconciled machines outside of lost zones.
func (r *Reconciler) UnreconciledOutside(lost func(zone string) bool) int {
	outside := 0
	for name := range r.unreconciled {
		if machine := r.machines[name]; machine != nil && !lost(machine.Record.Zone) {
			outside++
		}
	}
	return outside
}

// UpCount counts the machines that have come up and may run tasks.
func (r *Reconciler) UpCount() int {
	up := 0
	for _, machine := range r.machines {
		if machine.LastSeen != 0 || machine.LeaseEnd != 0 {
			up++
		}
	}
	return up
}

// Add adds a machine that has not sent a heartbeat to this owner.
func (r *Reconciler) Add(machine *fleet.Machine) { r.machines[machine.Name] = machine }

// Inherit notes that an earlier owner may have started tasks on a machine, in a response that may
// have been accepted just before this owner's assignment. transferred: what may run there is known
// from its snapshot (see Restore).
func (r *Reconciler) Inherit(now units.Microseconds, machine *fleet.Machine, transferred bool) {
	machine.LeaseEnd = now + r.host.LeaseBound()
	if !transferred && r.host.Guarded(guard.UnreconciledMachines) {
		r.unreconciled[machine.Name] = true
		r.quota.UnreconciledChanged()
	}
}

// Snapshot is what an earlier owner knew of a machine when it was the last to own it.
type Snapshot struct {
	Addr             string
	Incarnation, Seq uint64 // of the last heartbeat
	Tasks            []fleet.Task
}

// Restore takes in what may run on a machine by its last owner's snapshot. What is to stop there is
// stopped by the response to its next heartbeat.
func (r *Reconciler) Restore(now units.Microseconds, machine *fleet.Machine, snapshot Snapshot) {
	machine.Reconciled, machine.Transferred = true, true
	machine.Addr, machine.Incarnation, machine.Seq = snapshot.Addr, snapshot.Incarnation, snapshot.Seq
	for _, task := range snapshot.Tasks {
		if task.State != fleet.Exited {
			r.observe(now, machine, task)
		}
	}
}

// SetTypes gives machines their type whose type was not known before.
func (r *Reconciler) SetTypes(types map[string]*fleet.Type) {
	for _, machine := range r.machines {
		if machine.Type == nil {
			machine.Type = types[machine.Record.Type]
			r.quota.UnreconciledChanged()
		}
	}
}

// ExpireLease notes that a machine's lease has expired: nothing runs there any more.
func (r *Reconciler) ExpireLease(now units.Microseconds, machine *fleet.Machine) {
	r.cfg.Log.Info("machine lease expired", "machine", machine.Name, "tasks", len(machine.Tasks))
	machine.ExpireLease(now, r.host.LastAttempt())
	r.removeAll(now, machine)
	if r.host.InAnotherShard(machine.Name) {
		// It was adopted before another shard's record of it was known.
		delete(r.machines, machine.Name)
		r.host.StoreGroup(machine.Group, false)
	}
}

// Deprovision removes a machine that the cloud has deleted, with all that ran on it.
func (r *Reconciler) Deprovision(now units.Microseconds, machine *fleet.Machine) {
	r.removeAll(now, machine)
	delete(r.machines, machine.Name)
}

// removeAll notes that nothing runs on a machine, which is certain.
func (r *Reconciler) removeAll(now units.Microseconds, machine *fleet.Machine) {
	for _, id := range machine.TaskIDs() {
		r.Remove(now, machine, id)
	}
	r.MarkReconciled(now, machine)
}

// MarkReconciled notes that all that may run on a machine is known.
func (r *Reconciler) MarkReconciled(now units.Microseconds, machine *fleet.Machine) {
	machine.Reconciled = true
	if !r.unreconciled[machine.Name] {
		return
	}
	delete(r.unreconciled, machine.Name)
	r.quota.UnreconciledChanged()
	if len(r.unreconciled) == 0 {
		r.cfg.Log.Info("all machines reconciled", "shard", r.cfg.Shard, "after_s", (now - r.cfg.OwnedSince).Seconds())
		r.host.AllReconciled()
	}
}

// Place notes that an attempt may be on a machine.
func (r *Reconciler) Place(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt) {
	if replaced, ok := machine.Tasks[id]; ok {
		r.quota.Release(replaced.Team, replaced.Demand)
	}
	machine.SetAttempt(id, attempt)
	r.quota.Charge(attempt.Team, attempt.Demand)
}

// Remove notes that a task is on its machine no more.
func (r *Reconciler) Remove(now units.Microseconds, machine *fleet.Machine, id jobs.TaskID) {
	attempt, ok := machine.Tasks[id]
	if !ok {
		return
	}
	machine.RemoveAttempt(id)
	r.quota.Release(attempt.Team, attempt.Demand)
	if job := r.host.Job(id.Job); job != nil {
		if place, ok := job.Place(id.Task); ok && place.Machine == machine.Name && place.Attempt == attempt.Number {
			ready := job.Ready()
			job.Release(id.Task)
			r.host.AttemptRemoved(job, job.Ready() > ready)
		}
	}
	if len(machine.Tasks) == 0 {
		machine.IdleSince = now
	}
}
