// Package reconcile owns the machines of one shard: the set of machines, their incarnations and leases,
// and the attempts that may run on each. It brings the recorded attempts in line with the machines'
// heartbeats, and tracks which machines have not been reconciled since the shard changed owners.
//
// Safety rests on three rules. First, a start is sent only in the response to a heartbeat, by the owner of
// the machine's shard. Second, an attempt that may have been started counts as running until one of these
// holds: its machine reports otherwise under this owner's fencing token; the machine is in a new
// incarnation that does not show it; the machine is deprovisioned; or its lease must have expired. Third, a
// response that renews a worker's lease stops every reported task whose job has finished or is not this
// shard's, and every attempt that counts as ended since a lease of the machine expired.
//
// The package does no I/O and reads no clock: heartbeats and the time are passed to its methods, and
// effects go out through its Host.
package reconcile

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the owner of the shard. A Reconciler calls its methods while it is changing its own state:
// Adopt must call Add, Fill must call Place, and no method may change the Reconciler in any other way.
type Host interface {
	// GuardEnabled reports whether a check is enabled. All are, except for one that a test disables.
	GuardEnabled(check guard.Guard) bool
	// Assignment returns the version of the shard's stored assignment. Answers to requests that were made
	// under another version are ignored.
	Assignment() uint64
	// LeaseBound returns the time after which no task runs on a machine that has got no response.
	LeaseBound() units.Microseconds
	// LastAttempt returns the highest attempt number that this owner has started.
	LastAttempt() uint64
	// Deprovisioned reports whether the cloud has confirmed that a machine is deleted.
	Deprovisioned(machine string) bool
	// InAnotherShard reports whether a machine is stored as another shard's.
	InAnotherShard(machine string) bool
	// Adopt adds a machine that no shard is known to have provisioned, and returns it.
	Adopt(heartbeat *fleet.Heartbeat) *fleet.Machine
	// StoreGroup schedules a write of a group of machines. urgent means that a machine which is up cannot
	// get tasks before the write.
	StoreGroup(group string, urgent bool)
	// SendProbe sends a probe to a machine; the host then calls OnProbe exactly once.
	SendProbe(probe Probe)
	// AllReconciled is called once every attempt of earlier owners is known: every job may start tasks
	// from now on.
	AllReconciled()

	JobHost
	IdleHost
}

// JobHost is notified of changes to jobs as their tasks are placed and exit.
type JobHost interface {
	// Job returns a job, or nil if it is unknown or archived.
	Job(id string) *jobs.Job
	// AttemptRemoved is called when an attempt of a job is no longer on its machine. moreReady means that
	// the job has more tasks ready to start than before.
	AttemptRemoved(job *jobs.Job, moreReady bool)
	// TaskFailed attributes a task's failure to its job or its machine.
	TaskFailed(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt)
	// TaskSucceeded records that a task completed, so that neither its machine nor its job is at fault.
	// attempt is the zero value if the attempt was not recorded on the machine.
	TaskSucceeded(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt)
	// ObserveRuntime records the run time of a completed task of a job.
	ObserveRuntime(job *jobs.Job, took units.Microseconds)
	// TaskCompleted schedules a write of a task's completion.
	TaskCompleted(job *jobs.Job, task int)
}

// Quota charges attempts that may run to the quotas of their teams.
type Quota interface {
	Charge(team string, demand binpack.Vec)
	Release(team string, demand binpack.Vec)
	// UnreconciledChanged is called when the set of unreconciled machines has changed, or the type of one
	// has become known.
	UnreconciledChanged()
}

// Config holds the settings of a shard's Reconciler.
type Config struct {
	Shard        int
	FencingToken uint64 // fencing token of this owner
	OwnedSince   units.Microseconds
	Counters     *Counters
	Log          *slog.Logger
}

// Reconciler holds the machines of one shard and the attempts that may run on them.
type Reconciler struct {
	cfg      Config
	host     Host
	quota    Quota
	machines map[string]*fleet.Machine
	// unreconciled holds the machines that may run unknown tasks of earlier owners.
	unreconciled map[string]bool
	// unknown holds the machines that send heartbeats though no shard has stored them, with the time of
	// each machine's first heartbeat.
	unknown map[string]units.Microseconds
	probes  probes
	pending pending
}

// New returns a Reconciler without machines.
func New(cfg Config, host Host, quota Quota) *Reconciler {
	return &Reconciler{cfg: cfg, host: host, quota: quota, machines: map[string]*fleet.Machine{},
		unreconciled: map[string]bool{}, unknown: map[string]units.Microseconds{}}
}

// Machines returns the shard's machines by name. The caller must not modify the map.
func (r *Reconciler) Machines() map[string]*fleet.Machine { return r.machines }

// Machine returns a machine of the shard, or nil if the shard has no machine of that name.
func (r *Reconciler) Machine(name string) *fleet.Machine { return r.machines[name] }

// Unreconciled returns the names of the machines that may run unknown tasks of earlier owners. The caller
// must not modify the map.
func (r *Reconciler) Unreconciled() map[string]bool { return r.unreconciled }

// UnreconciledOutside returns the number of unreconciled machines in zones that are not lost.
func (r *Reconciler) UnreconciledOutside(lost func(zone string) bool) int {
	outside := 0
	for name := range r.unreconciled {
		if machine := r.machines[name]; machine != nil && !lost(machine.Record.Zone) {
			outside++
		}
	}
	return outside
}

// UpCount returns the number of machines that have come up and may run tasks.
func (r *Reconciler) UpCount() int {
	up := 0
	for _, machine := range r.machines {
		if machine.LastSeen != 0 || machine.LeaseEnd != 0 {
			up++
		}
	}
	return up
}

// Add adds a machine that has not sent this owner a heartbeat yet.
func (r *Reconciler) Add(machine *fleet.Machine) { r.machines[machine.Name] = machine }

// Inherit records that an earlier owner may have started tasks on a machine, in a response that the
// worker may have accepted just before this owner's assignment. transferred means that the machine's
// attempts are known from a snapshot (see Restore).
func (r *Reconciler) Inherit(now units.Microseconds, machine *fleet.Machine, transferred bool) {
	machine.LeaseEnd = now + r.host.LeaseBound()
	if !transferred && r.host.GuardEnabled(guard.UnreconciledMachines) {
		r.unreconciled[machine.Name] = true
		r.quota.UnreconciledChanged()
	}
}

// Snapshot is the last state of a machine that the shard's previous owner recorded: sent when it released
// the shard, or replicated to its standby before it failed.
type Snapshot struct {
	Addr             string
	Incarnation, Seq uint64 // of the last heartbeat
	Tasks            []fleet.Task
}

// Restore records the attempts of a machine from its previous owner's snapshot. Tasks that must stop are
// stopped in the response to the machine's next heartbeat.
func (r *Reconciler) Restore(now units.Microseconds, machine *fleet.Machine, snapshot Snapshot) {
	machine.Reconciled, machine.Transferred = true, true
	machine.Addr = snapshot.Addr
	machine.AcceptMessage(snapshot.Incarnation, snapshot.Seq)
	for _, task := range snapshot.Tasks {
		if task.State != fleet.Exited {
			r.observe(now, machine, task)
		}
	}
}

// SetTypes sets the type of those machines whose type was not known.
func (r *Reconciler) SetTypes(types map[string]*fleet.Type) {
	for _, machine := range r.machines {
		if machine.Type == nil {
			machine.Type = types[machine.Record.Type]
			r.quota.UnreconciledChanged()
		}
	}
}

// ExpireLease records that a machine's lease has expired, so that no task runs on it any more.
func (r *Reconciler) ExpireLease(now units.Microseconds, machine *fleet.Machine) {
	r.cfg.Log.Info("machine lease expired", "machine", machine.Name, "tasks", len(machine.Tasks))
	machine.ExpireLease(now, r.host.LastAttempt())
	r.removeAll(now, machine)
	if r.host.InAnotherShard(machine.Name) {
		// The machine was adopted before another shard's record of it was known.
		delete(r.machines, machine.Name)
		r.host.StoreGroup(machine.Group, false)
	}
}

// Deprovision removes a machine that the cloud has deleted, together with its attempts.
func (r *Reconciler) Deprovision(now units.Microseconds, machine *fleet.Machine) {
	r.removeAll(now, machine)
	delete(r.machines, machine.Name)
}

// removeAll removes all attempts of a machine on which certainly no task runs any more.
func (r *Reconciler) removeAll(now units.Microseconds, machine *fleet.Machine) {
	for _, id := range machine.TaskIDs() {
		r.Remove(now, machine, id)
	}
	r.MarkReconciled(now, machine)
}

// MarkReconciled records that every attempt that may run on a machine is known.
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

// Place records that an attempt may be on a machine, and charges it to its team's quota.
func (r *Reconciler) Place(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt) {
	if replaced, ok := machine.Tasks[id]; ok {
		r.quota.Release(replaced.Team, replaced.Demand)
	}
	machine.SetAttempt(id, attempt)
	r.quota.Charge(attempt.Team, attempt.Demand)
}

// Remove records that a task is no longer on a machine, and releases its quota.
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
