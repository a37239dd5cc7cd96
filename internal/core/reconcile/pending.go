package reconcile

import (
	"sort"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// pendingTime is how long a heartbeat is kept unanswered. A worker waits longer than that, and
	// drops a response that comes later still.
	pendingTime = 2 * units.Second
	// MaxPending bounds the heartbeats that are kept unanswered: one of each machine of a full
	// shard. One beyond is answered at once, without work.
	MaxPending = fleet.FullShard
	// MaxOffers bounds the machines that are offered new work at one look, so that no look takes
	// longer than some 25 ms however many wait. The others have their turn at the next.
	MaxOffers = 500
	// offerEvery is the time between two looks at pending heartbeats while there is no new work.
	offerEvery = units.Second / 20
)

// RequestID names a worker's request that waits for a response.
type RequestID uint64

// IdleHost finds work for idle machines and answers them.
type IdleHost interface {
	// RankReady ranks the jobs if tasks have become ready.
	RankReady()
	// NewWork reports whether idle machines may find work that was not there when this was last
	// called.
	NewWork() bool
	// Preferred reports whether work should rather go to one machine than to another.
	Preferred(machine, other *fleet.Machine) bool
	// Fill returns the starts for a machine, which it has noted by Place.
	Fill(machine *fleet.Machine) []fleet.Command
	// Respond answers a pending heartbeat of a machine.
	Respond(request RequestID, machine *fleet.Machine, commands []fleet.Command)
}

// pending keeps heartbeats unanswered for a moment: those of idle machines, so that work which
// comes meanwhile starts at once, or those of a shard that is being released. Nothing can change on
// an idle machine, and its lease counts from when the heartbeat was sent.
type pending struct {
	heartbeats []pendingHeartbeat
	checkedAt  units.Microseconds // when they are next looked at
	offering   bool               // some of their machines are still to be offered work
}

type pendingHeartbeat struct {
	request RequestID
	machine *fleet.Machine // nil while the shard is being released
	until   units.Microseconds
	offer   bool // the machine is to be offered work that has come since the heartbeat
}

// KeepIdle keeps the heartbeat of a machine unanswered that is idle and may get work, and reports
// whether it does.
func (r *Reconciler) KeepIdle(now units.Microseconds, request RequestID, machine *fleet.Machine) bool {
	idle := len(machine.Tasks) == 0 && machine.Listed == 0 && machine.Schedulable() && machine.Notice == units.MaxTime
	if !idle || r.Pending() >= MaxPending {
		return false
	}
	r.pending.heartbeats = append(r.pending.heartbeats, pendingHeartbeat{request: request, machine: machine, until: now + pendingTime})
	return true
}

// Pending counts the heartbeats that are kept unanswered.
func (r *Reconciler) Pending() int { return len(r.pending.heartbeats) }

// MayPostpone reports whether one more heartbeat may be postponed.
func (r *Reconciler) MayPostpone() bool { return r.Pending() < MaxPending }

// Postpone keeps a heartbeat unanswered while the shard is being released. In a moment its next
// owner is known; sent elsewhere, the worker would not get there for a second.
func (r *Reconciler) Postpone(now units.Microseconds, request RequestID) {
	r.pending.heartbeats = append(r.pending.heartbeats, pendingHeartbeat{request: request, until: now + pendingTime})
}

// PendingOverdue reports whether the oldest pending heartbeat has waited for long enough.
func (r *Reconciler) PendingOverdue(now units.Microseconds) bool {
	return len(r.pending.heartbeats) > 0 && now >= r.pending.heartbeats[0].until
}

// TakePending returns the requests of all pending heartbeats, which the caller answers.
func (r *Reconciler) TakePending() []RequestID {
	var requests []RequestID
	for _, heartbeat := range r.pending.heartbeats {
		requests = append(requests, heartbeat.request)
	}
	r.pending.heartbeats, r.pending.offering = nil, false
	return requests
}

// OfferWork offers new work to machines whose heartbeats are pending, preferred ones first, and
// answers those that have waited for long enough. Every machine has had its turn before those that
// took nothing are offered work again. It looks a few times a second, and at once where the caller
// knows of new work.
func (r *Reconciler) OfferWork(now units.Microseconds, newWork bool) {
	if !newWork && now < r.pending.checkedAt {
		return
	}
	r.pending.checkedAt = now + offerEvery
	if len(r.pending.heartbeats) == 0 {
		return
	}
	r.host.RankReady()
	if !r.pending.offering && r.host.NewWork() {
		r.beginRound()
	}
	r.pending.offering = false
	unanswered := r.pending.heartbeats[:0]
	offers := 0
	for _, heartbeat := range r.pending.heartbeats {
		var commands []fleet.Command
		if heartbeat.offer && offers < MaxOffers {
			heartbeat.offer = false
			if heartbeat.machine.Schedulable() {
				offers++
				commands = r.host.Fill(heartbeat.machine)
			}
		}
		if len(commands) == 0 && now < heartbeat.until {
			unanswered = append(unanswered, heartbeat)
			r.pending.offering = r.pending.offering || heartbeat.offer
			continue
		}
		heartbeat.machine.LeaseEnd = now + r.host.LeaseBound()
		r.host.Respond(heartbeat.request, heartbeat.machine, commands)
	}
	r.pending.heartbeats = unanswered
}

// beginRound has every machine whose heartbeat is pending offered work once, preferred ones first.
func (r *Reconciler) beginRound() {
	heartbeats := r.pending.heartbeats
	sort.SliceStable(heartbeats, func(a, b int) bool {
		return r.host.Preferred(heartbeats[a].machine, heartbeats[b].machine)
	})
	for i := range heartbeats {
		heartbeats[i].offer = true
	}
}
