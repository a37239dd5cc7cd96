package reconcile

import (
	"sort"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxPendingTime is the longest time for which a heartbeat is held unanswered. A worker waits longer
	// than that before it gives up on the response.
	maxPendingTime = 2 * units.Second
	// MaxPending limits the heartbeats that are held unanswered: one for each machine of a full shard.
	// Further ones are answered at once, without work.
	MaxPending = fleet.FullShardMachines
	// MaxOffers limits the machines that one call of OfferWork offers work to, so that no call takes
	// longer than about 25 ms however many heartbeats are pending. The next call goes on with the others.
	MaxOffers = 500
	// offerInterval is the time between two checks of the pending heartbeats while there is no new work.
	offerInterval = units.Second / 20
)

// RequestID identifies a worker's request that waits for a response.
type RequestID uint64

// IdleHost finds work for idle machines and responds to their heartbeats.
type IdleHost interface {
	// RankReady ranks the jobs again if tasks have become ready.
	RankReady()
	// NewWork reports whether there may be work for idle machines that was not there at the previous
	// call.
	NewWork() bool
	// Preferred reports whether machine should get work before other.
	Preferred(machine, other *fleet.Machine) bool
	// Fill chooses tasks for a machine, records them by calling Place, and returns their Start commands.
	Fill(machine *fleet.Machine) []fleet.Command
	// Respond sends the response to a pending heartbeat.
	Respond(request RequestID, machine *fleet.Machine, commands []fleet.Command)
}

// pending holds heartbeats that have no response yet, as in long polling: heartbeats of idle machines, so
// that new work starts at once, or of a shard that is being released. Nothing can change on an idle
// machine meanwhile, and the worker counts its lease from when it sent the heartbeat.
type pending struct {
	heartbeats  []pendingHeartbeat
	nextCheckAt units.Microseconds // time of the next check
	offering    bool               // some machines have not been offered work yet in this round
}

type pendingHeartbeat struct {
	request RequestID
	machine *fleet.Machine // nil if the shard is being released
	until   units.Microseconds
	offer   bool // the machine has not been offered work yet in this round
}

// HoldIdle holds a machine's heartbeat unanswered if the machine is idle and may get work, and reports
// whether it did.
func (r *Reconciler) HoldIdle(now units.Microseconds, request RequestID, machine *fleet.Machine) bool {
	idle := len(machine.Tasks) == 0 && machine.ReportedTasks == 0 && machine.Schedulable() && machine.ReclaimAt == units.MaxTime
	if !idle || r.PendingCount() >= MaxPending {
		return false
	}
	r.pending.heartbeats = append(r.pending.heartbeats, pendingHeartbeat{request: request, machine: machine, until: now + maxPendingTime})
	return true
}

// PendingCount returns the number of heartbeats that are held unanswered.
func (r *Reconciler) PendingCount() int { return len(r.pending.heartbeats) }

// MayPostpone reports whether there is capacity to postpone another heartbeat.
func (r *Reconciler) MayPostpone() bool { return r.PendingCount() < MaxPending }

// Postpone holds a heartbeat unanswered while the shard is being released. Its next owner is known in a
// moment; a worker redirected elsewhere meanwhile would need a second to get there.
func (r *Reconciler) Postpone(now units.Microseconds, request RequestID) {
	r.pending.heartbeats = append(r.pending.heartbeats, pendingHeartbeat{request: request, until: now + maxPendingTime})
}

// PendingOverdue reports whether the oldest pending heartbeat has been held for maxPendingTime.
func (r *Reconciler) PendingOverdue(now units.Microseconds) bool {
	return len(r.pending.heartbeats) > 0 && now >= r.pending.heartbeats[0].until
}

// DrainPending removes all pending heartbeats and returns their requests. The caller must respond to
// them.
func (r *Reconciler) DrainPending() []RequestID {
	var requests []RequestID
	for _, heartbeat := range r.pending.heartbeats {
		requests = append(requests, heartbeat.request)
	}
	r.pending.heartbeats, r.pending.offering = nil, false
	return requests
}

// OfferWork offers new work to machines whose heartbeats are pending, preferred machines first, and
// responds to heartbeats that have been held for maxPendingTime. Every machine gets one offer per round,
// and a new round starts only after all have had theirs. OfferWork does nothing if called again within
// offerInterval, unless newWork is set because the caller knows of new work.
func (r *Reconciler) OfferWork(now units.Microseconds, newWork bool) {
	if !newWork && now < r.pending.nextCheckAt {
		return
	}
	r.pending.nextCheckAt = now + offerInterval
	if len(r.pending.heartbeats) == 0 {
		return
	}
	r.host.RankReady()
	if !r.pending.offering && r.host.NewWork() {
		r.startOfferRound()
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

// startOfferRound marks every machine with a pending heartbeat to be offered work once, and sorts
// preferred machines first.
func (r *Reconciler) startOfferRound() {
	heartbeats := r.pending.heartbeats
	sort.SliceStable(heartbeats, func(a, b int) bool {
		return r.host.Preferred(heartbeats[a].machine, heartbeats[b].machine)
	})
	for i := range heartbeats {
		heartbeats[i].offer = true
	}
}
