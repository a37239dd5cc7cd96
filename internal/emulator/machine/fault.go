package machine

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// Fault is what is wrong with a machine; it may change while it runs. It is handed on as JSON,
// as Config is.
type Fault struct {
	Speed      float64 // of its processors
	FailsTasks bool    `json:"Sick"` // every task fails
}

// SetFault changes what is wrong with the machine.
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

// Unreliable reports whether tasks fail on the machine, or the cloud has given notice that it
// reclaims it.
func (w *Worker) Unreliable() bool {
	return w.fault.FailsTasks || w.reclaimAt != units.MaxTime
}

// NoticeReclaim tells the worker that the cloud reclaims the machine after a time.
func (w *Worker) NoticeReclaim(now, in units.Microseconds) {
	w.Advance(now)
	w.reclaimAt = now + in
	w.statusChanged = true
}

// Hang suspends the machine until a time: it neither computes nor communicates, and it goes on
// where it was unless its lease has expired by then.
func (w *Worker) Hang(now, until units.Microseconds) {
	w.Advance(now)
	if until <= w.hungUntil || until <= now {
		return
	}
	still := until - max(now, w.hungUntil)
	w.hungUntil = until
	for _, t := range w.tasks {
		t.since += still
		if t.onMachine() {
			t.endsAt += still
		}
	}
	w.fetchedUntil += still
}

// Hung reports whether the machine is suspended.
func (w *Worker) Hung(now units.Microseconds) bool { return now < w.hungUntil }

// CutInbound lets no response and no command reach the worker until a time; its heartbeats arrive.
func (w *Worker) CutInbound(until units.Microseconds) {
	w.inboundCutUntil = max(w.inboundCutUntil, until)
}

// InboundCut reports whether nothing reaches the worker, though its heartbeats arrive.
func (w *Worker) InboundCut(now units.Microseconds) bool { return now < w.inboundCutUntil }

// CutOutbound lets no heartbeat reach a controller until a time; direct commands reach the worker.
func (w *Worker) CutOutbound(until units.Microseconds) {
	w.outboundCutUntil = max(w.outboundCutUntil, until)
}

// OutboundCut reports whether no heartbeat of the worker reaches a controller.
func (w *Worker) OutboundCut(now units.Microseconds) bool { return now < w.outboundCutUntil }

// Stop ends all tasks of a machine that was deleted or has died.
func (w *Worker) Stop(now units.Microseconds) {
	w.Advance(now)
	w.endAllTasks()
}
