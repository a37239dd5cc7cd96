// Package liveness watches over machines that fall silent: whether it is the machines that are
// gone, or this controller that cannot be reached, and what is done about either.
//
// It is pure: the time and what was heard go in by method calls, what is to be done comes
// out by its host.
package liveness

import "shalestage.example/shalestage/internal/core/units"

const (
	// TickEvery is how often the outer layers let time pass.
	TickEvery = units.Second / 20
	// awakeStep is the most that one tick adds to the silence: time for which this
	// node stood still, or could not keep up, says nothing of the workers.
	awakeStep = 2 * TickEvery
	// manyMachines is how many machines are enough that all of them will not end,
	// nor pause, at the same moment.
	manyMachines = 20
	// deafFor is how long a controller that no worker could reach counts as deaf,
	// unless one does. It is long enough for each of several controllers to try
	// before the first does so again.
	deafFor = 60 * units.Second
)

// HeartbeatDeadline is the time within which a machine that is heard reports again.
func HeartbeatDeadline(every units.Microseconds) units.Microseconds { return 3 * every / 2 }

// Reachability tells whether workers reach this controller.
type Reachability struct {
	every   units.Microseconds // between two reports of a machine
	lease   units.Microseconds // after which tasks of a machine that gets no answer are gone
	ticked  units.Microseconds
	silence units.Microseconds // time awake since a report came
	any     bool               // a report came since a block was last taken over
	deaf    bool               // this node gave its blocks up as no worker reached it, and none has since
	deafAt  units.Microseconds // when it last did so
}

// NewReachability returns the reach of a controller whose workers report that often and keep
// their tasks for that long.
func NewReachability(every, lease units.Microseconds) Reachability {
	return Reachability{every: every, lease: lease}
}

// Tick lets time pass.
func (r *Reachability) Tick(now units.Microseconds) {
	r.silence += min(now-r.ticked, awakeStep)
	r.ticked = now
}

// HeartbeatReceived says that a worker has reached this node, Reported that it did so for a block that
// this node holds, and Taken that a block was taken over.
func (r *Reachability) HeartbeatReceived() { r.silence, r.deaf = 0, false }
func (r *Reachability) HeartbeatAccepted() { r.any = true }
func (r *Reachability) ShardAcquired()     { r.silence, r.any = 0, false }

// Any reports whether a report came since a block was last taken over.
func (r *Reachability) Any() bool { return r.any }

// Unreachable reports whether this node should let another controller try, as no
// worker reaches it; up is how many machines have come up. Of many machines some report
// all the time, so that a short silence tells. Where no other controller is known to be
// better off (hearing), it must not give up again and again: if the machines are really
// gone, their leases have to run out under one holder.
func (r *Reachability) Unreachable(now units.Microseconds, up int, hearing func() bool) bool {
	bound := 2*r.every + units.Second
	if r.silence <= r.every/2+units.Second {
		return false
	}
	if r.silence <= bound && !(r.any && up >= manyMachines) || up == 0 {
		return false
	}
	return r.deafAt == 0 || now-r.deafAt >= deafFor+2*r.lease || hearing()
}

// ShardsReleased says that this node gives up all that it holds as no worker reaches it.
func (r *Reachability) ShardsReleased(now units.Microseconds) { r.deafAt, r.deaf = now, true }

// UnreachableNow reports whether this node gave up lately and has heard nobody since.
func (r *Reachability) UnreachableNow(now units.Microseconds) bool {
	return r.deaf && now-r.deafAt < deafFor
}
