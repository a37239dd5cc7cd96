package reconcile

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// reconcile brings the recorded attempts of a machine in line with its heartbeat, and returns Forget
// commands for the worker and the tasks that it must stop.
//
// A worker has one heartbeat in flight and drops responses to heartbeats that it has given up on. So a
// start that was sent in an earlier response and does not show in a newer heartbeat was not carried out
// and never will be.
func (r *Reconciler) reconcile(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) (forgets []fleet.Command, stops []dueStop) {
	present := make(map[jobs.TaskID]bool, len(heartbeat.Tasks))
	var exited []fleet.Task
	for _, task := range heartbeat.Tasks {
		if task.State == fleet.Exited {
			exited = append(exited, task)
			continue
		}
		present[task.ID] = true
		if reason, stop := r.observe(now, machine, task); stop {
			stops = append(stops, dueStop{task, reason})
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
	return fleet.AtMost(forgets, fleet.MaxForgets), stops
}

// replicaProvenAfter is the run time after which a replica of a service counts as proven to work. Faulty
// machines and jobs submitted with a mistake fail sooner, as a rule.
const replicaProvenAfter = 30 * units.Second

// observe records a task that is present on a machine, and reports whether and why it must stop.
func (r *Reconciler) observe(now units.Microseconds, machine *fleet.Machine, task fleet.Task) (reason StopReason, stop bool) {
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
	if reason, stop = r.inactive(job, task); stop {
		return reason, true
	}
	if !r.placeJob(machine, job, task) {
		return RunsElsewhere, true
	}
	if task.State != fleet.Fetching {
		job.SetLive(task.ID.Task)
		machine.UseImage(job.Spec().Image)
	}
	if job.Spec().Service && attempt.Runtime(now) >= replicaProvenAfter {
		job.MarkProven(task.ID.Task)
	}
	return 0, false
}

// adoptAttempt returns a record of an attempt that an earlier owner started.
func (r *Reconciler) adoptAttempt(now units.Microseconds, machine *fleet.Machine, job *jobs.Job, task fleet.Task) fleet.Attempt {
	attempt := fleet.Attempt{Number: task.Attempt, Started: now, Adopted: true}
	switch {
	case job != nil && job.Active():
		attempt.Team, attempt.Demand = job.Spec().Team, job.Spec().Demand
	case job != nil:
		attempt.Team, attempt.Demand = job.Record.Team, job.Record.Demand
	default: // the job is archived, or was submitted after the backup from which the state was restored
		r.cfg.Log.Warn("stopping orphaned task of an unknown job", "task", task.ID.String(), "machine", machine.Name)
	}
	return attempt
}

// placeJob records with a job that its task runs on a machine, and reports whether the task may go on
// there. It may not if it has finished or was started elsewhere.
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

// refusedStartDelay is the time for which a job is deferred after a worker refused a start. The reason
// for the refusal, such as missing capacity, shows only in the worker's next heartbeats.
const refusedStartDelay = units.Second

// handleExit processes a task that has exited, and reports whether its machine may forget it. The machine
// keeps a completed task until the completion is stored.
func (r *Reconciler) handleExit(now units.Microseconds, machine *fleet.Machine, task fleet.Task) (forget bool) {
	job := r.host.Job(task.ID.Job)
	attempt, known := machine.Tasks[task.ID]
	known = known && attempt.Number == task.Attempt
	if known && job != nil && job.Active() && !job.IsFinished(task.ID.Task) {
		switch task.Cause {
		case fleet.Failed:
			r.host.TaskFailed(machine, job, attempt)
		case fleet.Unknown, fleet.NoCapacity, fleet.Busy:
			r.cfg.Log.Warn("worker refused to start a task", "task", task.ID.String(), "machine", machine.Name, "cause", int(task.Cause))
			job.DeferUntil(now + refusedStartDelay)
		}
	}
	if _, inactive := r.inactive(job, task); inactive || task.Cause != fleet.Completed || job.IsStored(task.ID.Task) {
		return true
	}
	if !job.IsFinished(task.ID.Task) {
		r.recordCompletion(now, machine, job, task.ID)
	}
	return false
}

// recordCompletion processes the first report that a task has completed.
func (r *Reconciler) recordCompletion(now units.Microseconds, machine *fleet.Machine, job *jobs.Job, id jobs.TaskID) {
	attempt, known := machine.Tasks[id]
	r.host.TaskSucceeded(machine, job, attempt)
	// An earlier owner's attempt appears to have run for less time than it has. When such run times were
	// counted, the other tasks of the job looked slow, and so did their machines.
	if known && attempt.RunningSince > 0 && !attempt.Adopted {
		took := now - attempt.RunningSince
		r.host.ObserveRuntime(job, took)
		if machine.ObserveRuntime(took, job.MeanRuntime) {
			r.cfg.Log.Warn("machine quarantined: its tasks run slowly", "machine", machine.Name)
		}
		job.AddRuntime(took)
	}
	machine.UseImage(job.Spec().Image)
	r.host.TaskCompleted(job, id.Task)
}
