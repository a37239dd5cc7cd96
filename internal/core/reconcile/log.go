package reconcile

import (
	"context"
	"log/slog"

	"shalestage.example/shalestage/internal/core/fleet"
)

// debugLogged reports whether debug lines are logged. Their attributes are too costly to compute otherwise.
func (r *Reconciler) debugLogged() bool {
	return r.cfg.Log.Enabled(context.Background(), slog.LevelDebug)
}

// logStop logs that a response stops a task, and why.
func (r *Reconciler) logStop(machine *fleet.Machine, stop dueStop) {
	if r.debugLogged() {
		r.cfg.Log.Debug("stopping task", "task", stop.task.ID.String(), "machine", machine.Name, "attempt", stop.task.Attempt,
			"token", r.cfg.FencingToken, "why", stop.reason.String())
	}
}

// logAdmitted logs an admitted heartbeat with what the response is based on. A response renews the
// worker's lease, so finished and stops tell whether tasks of finished jobs may go on for another lease.
func (r *Reconciler) logAdmitted(heartbeat *fleet.Heartbeat, accepted Accepted) {
	if !r.debugLogged() {
		return
	}
	stops := 0
	for _, command := range accepted.Commands {
		if command.Op == fleet.Stop {
			stops++
		}
	}
	r.cfg.Log.Debug("heartbeat admitted", "status", accepted.Status.String(), "machine", heartbeat.Machine,
		"incarnation", heartbeat.Incarnation, "seq", heartbeat.Seq, "worker_token", heartbeat.FencingToken, "token", r.cfg.FencingToken,
		"tasks", len(heartbeat.Tasks), "finished", len(r.inactiveTasks(heartbeat)), "stops", stops, "lease_end", accepted.Machine.LeaseEnd.Seconds())
}
