package reconcile

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// Admission is whether a heartbeat may change anything, and if not, why. Only an owner whose
// authority is certain answers 200: any other answer would keep the worker while its lease expires.
type Admission int

// Outcomes of admission. All but Admitted and Postponed are refusals, after which the worker tries
// another controller.
const (
	Admitted      Admission = iota
	NotOwned                // the machine's shard is another controller's: redirected to it
	Postponed               // the shard is being released: answered once its next owner is known
	Uncertain               // this controller's membership may have expired: unavailable
	Superseded              // the worker knows a later fencing token than this owner's: misdirected
	Deprovisioned           // the cloud has deleted the machine: misdirected
	Unknown                 // the machine is stored nowhere yet: misdirected
)

const (
	// AdoptAfter is how long a machine must be unknown to all before it is adopted: whoever has
	// provisioned it needs a moment to store that.
	AdoptAfter = 10 * units.Second
	// MaxUnknown bounds the unknown machines that are remembered. One beyond is remembered once
	// there is room.
	MaxUnknown = 5000
)

// Admit decides whether a heartbeat may change anything of a shard that is surely owned. stored
// tells that the machine is known to be the shard's.
func (r *Reconciler) Admit(now units.Microseconds, heartbeat *fleet.Heartbeat, stored bool) Admission {
	switch {
	case heartbeat.FencingToken > r.cfg.FencingToken:
		return Superseded
	case r.host.Deprovisioned(heartbeat.Machine) && r.host.Guarded(guard.DeprovisionedMachine):
		// A cut held the heartbeat back. Taken for alive, the machine would keep the tasks that it
		// shows from starting elsewhere (TestDelayedHeartbeatOfDeprovisionedMachine).
		r.cfg.Log.Debug("heartbeat of a deprovisioned machine", "machine", heartbeat.Machine)
		return Deprovisioned
	case !stored && !r.adoptable(now, heartbeat.Machine):
		return Unknown
	}
	delete(r.unknown, heartbeat.Machine)
	return Admitted
}

// adoptable reports whether a machine that is stored nowhere has sent heartbeats for so long that
// whoever provisioned it would have stored it.
func (r *Reconciler) adoptable(now units.Microseconds, machine string) bool {
	since, seen := r.unknown[machine]
	if !seen && r.UnknownCount() < MaxUnknown {
		r.unknown[machine] = now
	}
	return seen && now-since >= AdoptAfter
}

// UnknownCount counts the machines that are remembered as stored nowhere.
func (r *Reconciler) UnknownCount() int { return len(r.unknown) }
