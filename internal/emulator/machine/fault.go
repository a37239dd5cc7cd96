package machine

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// Fault describes the faults of a machine; SetFault changes them while it runs. Like Config, it is
// passed as JSON to workers in processes of their own.
type Fault struct {
	Speed      float64 // of its processors; 1 is nominal
	FailsTasks bool    `json:"Sick"` // every task fails
}

// SetFault replaces the machine's faults. The end times of running tasks are recomputed from the
// progress that they have made so far.
func (w *Worker) SetFault(now units.Microseconds, fault Fault) {
	w.Advance(now)
	for _, t := range w.tasks {
		if t.state == fleet.Running {
			t.progress = w.progressOf(t)
			t.since = w.now
		}
	}
	w.fault = fault
	for _, t := range w.tasks {
		if t.state == fleet.Running {
			w.scheduleEnd(t)
		}
	}
}

// Unreliable reports whether tasks fail on the machine, or the cloud has given notice to reclaim it.
func (w *Worker) Unreliable() bool {
	return w.fault.FailsTasks || w.reclaimAt != units.MaxTime
}

// NoticeReclaim notifies the worker that the cloud will reclaim the machine after the duration in.
func (w *Worker) NoticeReclaim(now, in units.Microseconds) {
	w.Advance(now)
	w.reclaimAt = now + in
	w.statusChanged = true
}

// Hang suspends the machine until a time: it neither computes nor communicates. It then resumes where
// it was, unless its lease has expired meanwhile.
func (w *Worker) Hang(now, until units.Microseconds) {
	w.Advance(now)
	if until <= w.hungUntil || until <= now {
		return
	}
	extension := until - max(now, w.hungUntil)
	w.hungUntil = until
	for _, t := range w.tasks {
		t.since += extension
		if t.onMachine() {
			t.endsAt += extension
		}
	}
	w.fetchedUntil += extension
}

// Hung reports whether the machine is suspended.
func (w *Worker) Hung(now units.Microseconds) bool { return now < w.hungUntil }

// CutInbound drops all responses and commands to the worker until a time. Its heartbeats still reach
// the controllers.
func (w *Worker) CutInbound(until units.Microseconds) {
	w.inboundCutUntil = max(w.inboundCutUntil, until)
}

// InboundCut reports whether responses and commands to the worker are dropped.
func (w *Worker) InboundCut(now units.Microseconds) bool { return now < w.inboundCutUntil }

// CutOutbound drops the worker's heartbeats until a time. Direct commands still reach the worker.
func (w *Worker) CutOutbound(until units.Microseconds) {
	w.outboundCutUntil = max(w.outboundCutUntil, until)
}

// OutboundCut reports whether the worker's heartbeats are dropped.
func (w *Worker) OutboundCut(now units.Microseconds) bool { return now < w.outboundCutUntil }

// Stop ends all tasks of a machine that was deleted or has failed.
func (w *Worker) Stop(now units.Microseconds) {
	w.Advance(now)
	w.endAllTasks()
}
