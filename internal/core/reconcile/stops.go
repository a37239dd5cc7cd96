package reconcile

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
)

// StopReason is the reason why a heartbeat response stops a task.
type StopReason int

// Reasons for stopping a task.
const (
	JobFinished   StopReason = iota // its job is done or cancelled
	NotThisShard                    // its job is unknown, another shard's, or has fewer tasks
	RunsElsewhere                   // it has finished, or was started on another machine
	LeaseExpired                    // it counts as ended since a lease of the machine expired
	stopReasonCount
)

// StopReasons lists all reasons for stopping a task.
var StopReasons = []StopReason{JobFinished, NotThisShard, RunsElsewhere, LeaseExpired}

// String returns the reason as logs and metrics show it.
func (r StopReason) String() string {
	return [...]string{"job_finished", "not_this_shard", "runs_elsewhere", "lease_expired"}[r]
}

// dueStop is a task that a machine must stop.
type dueStop struct {
	task   fleet.Task
	reason StopReason
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

// stopInactive returns the commands that stop the expired attempts and the inactive tasks of a heartbeat that
// does not show what runs elsewhere.
func (r *Reconciler) stopInactive(machine *fleet.Machine, current *fleet.Heartbeat, expired []dueStop) []fleet.Command {
	stops := expired
	if r.host.GuardEnabled(guard.InactiveTasks) {
		stops = append(stops, r.inactiveTasks(current)...)
	}
	return r.stopCommands(machine, stops)
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
