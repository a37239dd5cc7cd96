package renewal

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// worker is the worker process of the one machine, as the protocol defines it.
type worker struct {
	incarnation  uint64
	seq          uint64
	fencingToken uint64
	leaseEnd     units.Microseconds
	tasks        []fleet.Task
	awaited      uint64 // sequence number of the heartbeat in flight; 0: none
	sentAt       units.Microseconds
}

// status returns the worker's report with the next sequence number.
func (w *worker) status() *fleet.Heartbeat {
	w.seq++
	return &fleet.Heartbeat{Machine: machineName, Addr: "address", Type: "big", Zone: "z", Incarnation: w.incarnation, Seq: w.seq,
		FencingToken: w.fencingToken, ReclaimIn: units.MaxTime, Tasks: slices.Clone(w.tasks)}
}

// sendHeartbeat returns the next heartbeat, whose response the worker awaits from now on.
func (w *worker) sendHeartbeat(now units.Microseconds) *fleet.Heartbeat {
	heartbeat := w.status()
	w.awaited, w.sentAt = heartbeat.Seq, now
	return heartbeat
}

// advance ends the wait for a response and the lease when they are due.
func (w *worker) advance(now units.Microseconds) {
	if now >= w.sentAt+responseTimeout {
		w.awaited = 0
	}
	if now >= w.leaseEnd {
		w.incarnation++
		w.seq, w.awaited, w.tasks = 0, 0, nil
		w.leaseEnd = now + workerLease
	}
}

// applyResponse carries out a response and renews the lease, if the worker awaits the response and its token
// is not too low. It reports whether it did.
func (w *worker) applyResponse(response message) bool {
	if response.heartbeat.Incarnation != w.incarnation || response.heartbeat.Seq != w.awaited || response.fencingToken < w.fencingToken {
		return false
	}
	w.awaited = 0
	w.fencingToken = response.fencingToken
	w.leaseEnd = w.sentAt + workerLease
	for _, command := range response.commands {
		w.execute(command)
	}
	return true
}

// execute carries out one command. A stopped task exits at once and is no longer reported.
func (w *worker) execute(command fleet.Command) {
	index := slices.IndexFunc(w.tasks, func(task fleet.Task) bool { return task.ID == command.ID && task.Attempt == command.Attempt })
	switch {
	case command.Op == fleet.Start && index < 0:
		w.tasks = append(w.tasks, fleet.Task{ID: command.ID, Attempt: command.Attempt, State: fleet.Running})
	case command.Op == fleet.Stop && index >= 0:
		w.tasks = slices.Delete(w.tasks, index, index+1)
	}
}

// acceptProbe adopts the token of a probe and reports whether the probe was valid.
func (w *worker) acceptProbe(fencingToken, incarnation uint64) bool {
	if fencingToken < w.fencingToken || incarnation != w.incarnation {
		return false
	}
	w.fencingToken = fencingToken
	return true
}

// runs reports whether the worker runs a task of a job.
func (w *worker) runs(job *jobs.Job) bool {
	return slices.ContainsFunc(w.tasks, func(task fleet.Task) bool { return task.ID.Job == job.ID })
}
