package reconcile

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// HeartbeatStatus is what a heartbeat proves.
type HeartbeatStatus int

const (
	// Stale heartbeats change nothing: a later heartbeat of the machine was seen, and nobody waits for the response.
	Stale HeartbeatStatus = iota
	// Unconfirmed heartbeats tell what runs, not what does not: the worker has not taken a response of this owner yet, so that responses of earlier
	// owners may still start tasks that the heartbeat does not show.
	Unconfirmed
	// Confirmed heartbeats show all that can be on the machine.
	Confirmed
)

// Accepted is what an admitted heartbeat has changed.
type Accepted struct {
	Machine  *fleet.Machine
	Status   HeartbeatStatus
	Commands []fleet.Command // what the machine has to forget and to stop
}

// Accept takes in an admitted heartbeat. A machine that is not known is adopted.
func (r *Reconciler) Accept(now units.Microseconds, heartbeat *fleet.Heartbeat) Accepted {
	machine := r.machines[heartbeat.Machine]
	if machine == nil {
		machine = r.host.Adopt(heartbeat)
	}
	if !machine.Newer(heartbeat) && r.host.Guarded(guard.HeartbeatOrder) {
		return Accepted{Machine: machine, Status: Stale}
	}
	if machine.LastSeen == 0 {
		r.machineUp(now, machine, heartbeat)
	}
	heartbeat = r.withoutExpired(machine, heartbeat)
	machine.AcceptHeartbeat(now, now+r.host.LeaseBound(), heartbeat)
	if heartbeat.FencingToken != r.cfg.FencingToken && r.host.Guarded(guard.HeartbeatToken) {
		// It proves nothing: it may have been under way while an earlier owner started tasks.
		return Accepted{machine, Unconfirmed, r.stopForeignTasks(heartbeat)}
	}
	// The worker has taken a response under this owner's token, after which it drops every response
	// of earlier owners: what it lists is all that can be there.
	commands := r.reconcile(now, machine, heartbeat)
	r.MarkReconciled(now, machine)
	return Accepted{machine, Confirmed, commands}
}

// machineUp notes the first heartbeat of a machine, or the first after its lease expired.
func (r *Reconciler) machineUp(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) {
	machine.IdleSince = now
	if !machine.Record.Up {
		r.host.StoreGroup(machine.Group, true)
	}
	r.cfg.Log.Info("machine up", "machine", machine.Name, "type", heartbeat.Type, "spot", heartbeat.Spot,
		"after_s", (now - machine.ProvisionedAt).Seconds())
}

// withoutExpired returns a heartbeat without the attempts that ended with a lease of the machine.
// The heartbeat was sent before, and a cut held it back: taken for true it would call tasks back
// that have been started elsewhere since (docs/incidents/2026-12-01-held-back.md).
func (r *Reconciler) withoutExpired(machine *fleet.Machine, heartbeat *fleet.Heartbeat) *fleet.Heartbeat {
	if !slices.ContainsFunc(heartbeat.Tasks, machine.Expired) || !r.host.Guarded(guard.ExpiredAttempts) {
		return heartbeat
	}
	r.cfg.Log.Debug("heartbeat shows attempts whose lease expired", "machine", machine.Name)
	current := *heartbeat
	current.Tasks = slices.DeleteFunc(slices.Clone(heartbeat.Tasks), machine.Expired)
	return &current
}

// stopForeignTasks stops the tasks of other shards' jobs that a machine reports. No machine should have
// any; but should two owners ever take a machine for their own, the one that it turns away from
// counts its tasks as ended when the lease must have expired. So a response that renews the lease
// must stop them.
func (r *Reconciler) stopForeignTasks(heartbeat *fleet.Heartbeat) []fleet.Command {
	var stops []fleet.Command
	for _, task := range heartbeat.Tasks {
		job := r.host.Job(task.ID.Job)
		if task.State != fleet.Exited && (job == nil || job.Record.Shard != r.cfg.Shard) {
			stops = append(stops, fleet.Command{Op: fleet.Stop, ID: task.ID, Attempt: task.Attempt})
		}
	}
	return fleet.AtMost(stops, fleet.MaxStops)
}

// reconcile brings what is known of a machine in line with its heartbeat, and returns what the
// machine has to forget and to stop.
//
// A worker has one heartbeat in flight, and drops responses to heartbeats it has given up. So a
// start that was sent in an earlier response and does not show in a newer heartbeat was never
// carried out and never will be.
func (r *Reconciler) reconcile(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) []fleet.Command {
	var forgets, stops []fleet.Command
	present := make(map[jobs.TaskID]bool, len(heartbeat.Tasks))
	var exited []fleet.Task
	for _, task := range heartbeat.Tasks {
		if task.State == fleet.Exited {
			exited = append(exited, task)
			continue
		}
		present[task.ID] = true
		if r.observe(now, machine, task) {
			stops = append(stops, fleet.Command{Op: fleet.Stop, ID: task.ID, Attempt: task.Attempt})
		}
	}
	for _, task := range exited {
		if r.handleExit(now, machine, task) {
			forgets = append(forgets, fleet.Command{Op: fleet.Forget, ID: task.ID, Attempt: task.Attempt})
		}
	}
	for _, id := range machine.TaskIDs() {
		if !present[id] {
			r.Remove(now, machine, id)
		}
	}
	return append(fleet.AtMost(forgets, fleet.MaxForgets), fleet.AtMost(stops, fleet.MaxStops)...)
}

// observe takes in a task that is on a machine, and reports whether it must stop.
func (r *Reconciler) observe(now units.Microseconds, machine *fleet.Machine, task fleet.Task) (stop bool) {
	job := r.host.Job(task.ID.Job)
	attempt, known := machine.Tasks[task.ID]
	if !known || attempt.Number != task.Attempt {
		attempt = r.adoptAttempt(now, machine, job, task)
	}
	attempt.State = task.State
	if task.State != fleet.Fetching && attempt.RunningSince == 0 {
		attempt.RunningSince = now
	}
	r.Place(machine, task.ID, attempt)
	if !r.active(job, task) || !r.placeJob(machine, job, task) {
		return true
	}
	if task.State != fleet.Fetching {
		job.SetLive(task.ID.Task)
		machine.UseImage(job.Spec().Image)
	}
	return false
}

// active reports whether a task is one of this shard's that may run.
func (r *Reconciler) active(job *jobs.Job, task fleet.Task) bool {
	return job != nil && job.Active() && job.Record.Shard == r.cfg.Shard && task.ID.Task < job.Record.Tasks
}

// adoptAttempt returns an attempt that an earlier owner has started.
func (r *Reconciler) adoptAttempt(now units.Microseconds, machine *fleet.Machine, job *jobs.Job, task fleet.Task) fleet.Attempt {
	attempt := fleet.Attempt{Number: task.Attempt, Started: now, Adopted: true}
	switch {
	case job != nil && job.Active():
		attempt.Team, attempt.Demand = job.Spec().Team, job.Spec().Demand
	case job != nil:
		attempt.Team, attempt.Demand = job.Record.Team, job.Record.Demand
	default: // its job is archived, or was accepted after the backup that was restored
		r.cfg.Log.Warn("orphaned task is stopped, its job is not known", "task", task.ID.String(), "machine", machine.Name)
	}
	return attempt
}

// placeJob records with a job where its task runs, and reports whether it may go on there: not if
// it is done, or has been started elsewhere.
func (r *Reconciler) placeJob(machine *fleet.Machine, job *jobs.Job, task fleet.Task) bool {
	index := task.ID.Task
	here := jobs.Place{Machine: machine.Name, Attempt: task.Attempt, Zone: machine.Record.Zone}
	place, placed := job.Place(index)
	switch {
	case job.IsFinished(index):
		return false
	case !placed:
		job.Adopt(index, here)
	case place.Machine != machine.Name:
		r.cfg.Log.Error("task is on two machines", "task", task.ID.String(), "one", place.Machine, "other", machine.Name)
		return false
	case place.Attempt != task.Attempt:
		job.Release(index)
		job.Adopt(index, here)
	}
	return true
}

// refusedStartDelay is how long a job waits whose start a worker has refused: what the worker
// lacks shows only with its next heartbeats.
const refusedStartDelay = units.Second

// handleExit takes in a task that has exited, and reports whether its machine may forget it. A completed
// task is kept there until it is stored as completed.
func (r *Reconciler) handleExit(now units.Microseconds, machine *fleet.Machine, task fleet.Task) (forget bool) {
	job := r.host.Job(task.ID.Job)
	attempt, known := machine.Tasks[task.ID]
	known = known && attempt.Number == task.Attempt
	if known && job != nil && job.Active() && !job.IsFinished(task.ID.Task) {
		switch task.Cause {
		case fleet.Failed:
			r.host.TaskFailed(machine, job, attempt)
		case fleet.Unknown, fleet.NoCapacity, fleet.Busy:
			r.cfg.Log.Warn("start refused", "task", task.ID.String(), "machine", machine.Name, "cause", int(task.Cause))
			job.DeferUntil(now + refusedStartDelay)
		}
	}
	if task.Cause != fleet.Completed || !r.active(job, task) || job.IsStored(task.ID.Task) {
		return true
	}
	if !job.IsFinished(task.ID.Task) {
		r.recordCompletion(now, machine, job, task.ID)
	}
	return false
}

// recordCompletion takes in the first word that a task is completed.
func (r *Reconciler) recordCompletion(now units.Microseconds, machine *fleet.Machine, job *jobs.Job, id jobs.TaskID) {
	attempt, known := machine.Tasks[id]
	r.host.TaskSucceeded(machine, job, attempt)
	// What an earlier owner started seems to have run for a shorter time than it has. Counted, it
	// made the other tasks of its job look slow, and their machines with them.
	if known && attempt.RunningSince > 0 && !attempt.Adopted {
		took := now - attempt.RunningSince
		r.host.ObserveRuntime(job, took)
		if machine.ObserveRuntime(took, job.MeanRuntime) {
			r.cfg.Log.Warn("machine is slow", "machine", machine.Name)
		}
		job.AddRuntime(took)
	}
	machine.UseImage(job.Spec().Image)
	r.host.TaskCompleted(job, id.Task)
}
