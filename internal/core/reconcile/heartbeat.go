package reconcile

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// HeartbeatStatus tells which conclusions a heartbeat allows about the tasks on its machine.
type HeartbeatStatus int

const (
	// Stale heartbeats change nothing and are refused: a later heartbeat of the machine has already arrived,
	// or its lease has expired since.
	Stale HeartbeatStatus = iota
	// Overtaken heartbeats are older than what is known of the machine from the answer to a probe or from the
	// last owner's snapshot. They change nothing but the lease: the worker may still wait for the response.
	Overtaken
	// Unconfirmed heartbeats show which tasks run, but not which do not run. The worker has not accepted a
	// response of this owner yet, so a delayed response of an earlier owner may still start tasks that
	// the heartbeat does not show.
	Unconfirmed
	// Confirmed heartbeats show every task that can be on the machine.
	Confirmed
	statusCount
)

// HeartbeatStatuses lists all statuses of accepted heartbeats.
var HeartbeatStatuses = []HeartbeatStatus{Stale, Overtaken, Unconfirmed, Confirmed}

// String returns the status as logs and metrics show it.
func (s HeartbeatStatus) String() string {
	return [...]string{"stale", "overtaken", "unconfirmed", "confirmed"}[s]
}

// Accepted is the result of an admitted heartbeat. Unless the heartbeat is stale, its response renews the
// worker's lease. Therefore the commands stop every task of a finished job that the heartbeat shows: a machine
// that cannot be reached afterwards would run the task for another lease.
type Accepted struct {
	Machine  *fleet.Machine
	Status   HeartbeatStatus
	Commands []fleet.Command // Forget and Stop commands for the worker
}

// Accept updates the machine from an admitted heartbeat. It adopts a machine that the shard does not
// have.
func (r *Reconciler) Accept(now units.Microseconds, heartbeat *fleet.Heartbeat) Accepted {
	accepted := r.accept(now, heartbeat)
	r.cfg.Counters.Admitted[accepted.Status]++
	r.logAdmitted(heartbeat, accepted)
	return accepted
}

func (r *Reconciler) accept(now units.Microseconds, heartbeat *fleet.Heartbeat) Accepted {
	machine := r.machines[heartbeat.Machine]
	if machine == nil {
		machine = r.host.Adopt(heartbeat)
	}
	if !machine.Newer(heartbeat) && r.host.GuardEnabled(guard.HeartbeatOrder) {
		return r.acceptOld(now, machine, heartbeat)
	}
	if machine.LastSeen == 0 {
		r.machineUp(now, machine, heartbeat)
	}
	current, expired := r.splitExpired(machine, heartbeat)
	machine.AcceptHeartbeat(now, now+r.host.LeaseBound(), heartbeat)
	if heartbeat.FencingToken != r.cfg.FencingToken && r.host.GuardEnabled(guard.HeartbeatToken) {
		// The heartbeat proves nothing about missing tasks: it may have been in flight while an earlier
		// owner started some.
		return Accepted{machine, Unconfirmed, r.stopCommands(machine, append(expired, r.inactiveTasks(current)...))}
	}
	// The worker has accepted a response with this owner's token, and since then drops every response of
	// earlier owners. So its list is complete.
	forgets, stops := r.reconcile(now, machine, current)
	r.MarkReconciled(now, machine)
	return Accepted{machine, Confirmed, append(forgets, r.stopCommands(machine, append(expired, stops...))...)}
}

// acceptOld handles a heartbeat that is older than what is known of its machine.
func (r *Reconciler) acceptOld(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) Accepted {
	if !machine.Awaited(heartbeat) || machine.Lost {
		return Accepted{Machine: machine, Status: Stale}
	}
	if !r.host.GuardEnabled(guard.OvertakenLease) {
		return Accepted{Machine: machine, Status: Overtaken}
	}
	machine.RenewLease(now+r.host.LeaseBound(), heartbeat)
	current, expired := r.splitExpired(machine, heartbeat)
	return Accepted{machine, Overtaken, r.stopCommands(machine, append(expired, r.inactiveTasks(current)...))}
}

// machineUp records the first heartbeat of a machine, or the first one after its lease expired.
func (r *Reconciler) machineUp(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) {
	machine.IdleSince = now
	if !machine.Record.Up {
		r.host.StoreGroup(machine.Group, true)
	}
	r.cfg.Log.Info("machine up", "machine", machine.Name, "type", heartbeat.Type, "spot", heartbeat.Spot,
		"after_s", (now - machine.ProvisionedAt).Seconds())
}

// splitExpired separates the attempts that ended when a lease of the machine expired from a heartbeat, and
// returns them as tasks to stop. Usually a network partition delayed the heartbeat, which was sent before.
// Applied unfiltered, it would restore tasks that have been started elsewhere since
// (docs/incidents/2026-12-01-held-back.md). If the machine still runs them, they must not go on.
func (r *Reconciler) splitExpired(machine *fleet.Machine, heartbeat *fleet.Heartbeat) (*fleet.Heartbeat, []dueStop) {
	if !slices.ContainsFunc(heartbeat.Tasks, machine.Expired) || !r.host.GuardEnabled(guard.ExpiredAttempts) {
		return heartbeat, nil
	}
	r.cfg.Log.Debug("heartbeat shows attempts whose lease expired", "machine", machine.Name)
	var expired []dueStop
	for _, task := range heartbeat.Tasks {
		if machine.Expired(task) {
			expired = append(expired, dueStop{task, LeaseExpired})
		}
	}
	current := *heartbeat
	current.Tasks = slices.DeleteFunc(slices.Clone(heartbeat.Tasks), machine.Expired)
	return &current, expired
}

// inactiveTasks returns the tasks of a heartbeat that must stop whatever else runs on the machine: those of
// finished jobs, of other shards' jobs and of unknown ones. Should two owners ever take the same machine for
// their own, the owner that the worker leaves counts the machine's tasks as ended once the lease must have
// expired. A response that renews the lease must therefore stop those tasks too.
func (r *Reconciler) inactiveTasks(heartbeat *fleet.Heartbeat) []dueStop {
	if !r.host.GuardEnabled(guard.InactiveTasks) {
		return nil
	}
	var stops []dueStop
	for _, task := range heartbeat.Tasks {
		if task.State == fleet.Exited {
			continue
		}
		if reason, inactive := r.inactive(r.host.Job(task.ID.Job), task); inactive {
			stops = append(stops, dueStop{task, reason})
		}
	}
	return stops
}

// stopCommands returns the commands that stop tasks of a machine.
func (r *Reconciler) stopCommands(machine *fleet.Machine, stops []dueStop) []fleet.Command {
	var commands []fleet.Command
	for _, stop := range stops {
		r.cfg.Counters.Stops[stop.reason]++
		r.logStop(machine, stop)
		commands = append(commands, fleet.Command{Op: fleet.Stop, ID: stop.task.ID, Attempt: stop.task.Attempt})
	}
	return commands
}

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
	return 0, false
}

// inactive reports whether and why a task does not belong to an active job of this shard.
func (r *Reconciler) inactive(job *jobs.Job, task fleet.Task) (reason StopReason, inactive bool) {
	switch {
	case job == nil, job.Record.Shard != r.cfg.Shard, task.ID.Task >= job.Record.Tasks:
		return NotThisShard, true
	case !job.Active():
		return JobFinished, true
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
