package reconcile

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// Admission is the decision whether a heartbeat may change any state and, if not, why. Only an owner
// whose authority is certain responds with status 200. Any other controller that did so would keep the
// worker from finding its owner while its lease expires.
type Admission int

// Outcomes of admission. All except Admitted and Postponed are refusals, after which the worker tries
// another controller.
const (
	Admitted      Admission = iota
	NotOwned                // another controller owns the machine's shard: the worker is redirected there
	Postponed               // the shard is being released: the response waits until its next owner is known
	Uncertain               // this controller's membership may have expired: answered as unavailable
	Superseded              // the worker has seen a later fencing token than this owner's: answered as misdirected
	Deprovisioned           // the cloud has confirmed that the machine is deleted: answered as misdirected
	Unknown                 // no shard has stored the machine yet: answered as misdirected
	admissionCount
)

// Refusals lists the outcomes of admission that end in a refusal.
var Refusals = []Admission{NotOwned, Uncertain, Superseded, Deprovisioned, Unknown}

// String returns the outcome as logs and metrics show it.
func (a Admission) String() string {
	return [...]string{"admitted", "not_owned", "postponed", "uncertain", "superseded", "deprovisioned", "unknown"}[a]
}

const (
	// AdoptAfter is the time for which a machine must send heartbeats without being stored before it is
	// adopted. The shard that provisioned it needs a moment to store it.
	AdoptAfter = 10 * units.Second
	// MaxUnknown limits the unknown machines that are remembered. Further ones are remembered only after
	// others have been removed.
	MaxUnknown = 5000
)

// Admit decides whether a heartbeat may change any state of the shard, which this controller must own
// with certainty. stored reports whether the machine is stored as one of the shard's.
func (r *Reconciler) Admit(now units.Microseconds, heartbeat *fleet.Heartbeat, stored bool) Admission {
	switch {
	case heartbeat.FencingToken > r.cfg.FencingToken:
		return Superseded
	case r.host.Deprovisioned(heartbeat.Machine) && r.host.GuardEnabled(guard.DeprovisionedMachine):
		// The heartbeat was delayed by a network partition. If the machine counted as alive again, the
		// tasks that it shows could not start elsewhere (TestDelayedHeartbeatOfDeprovisionedMachine).
		return Deprovisioned
	case !stored && !r.adoptable(now, heartbeat.Machine):
		return Unknown
	}
	delete(r.unknown, heartbeat.Machine)
	return Admitted
}

// adoptable reports whether a machine that no shard has stored has been sending heartbeats for so long
// that the shard that provisioned it would have stored it by now.
func (r *Reconciler) adoptable(now units.Microseconds, machine string) bool {
	since, seen := r.unknown[machine]
	if !seen && r.UnknownCount() < MaxUnknown {
		r.unknown[machine] = now
	}
	return seen && now-since >= AdoptAfter
}

// UnknownCount returns the number of machines that are remembered as stored by no shard.
func (r *Reconciler) UnknownCount() int { return len(r.unknown) }
