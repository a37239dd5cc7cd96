package reconcile

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// A worker whose controller is lost waits for its response, pauses, and tries the others in turn.
// Until the last of them has found the new owner, all work accepted earlier waits. So the new owner
// shows its fencing token to those that have sent it no heartbeat: a worker that has taken it drops every
// response of earlier owners, and its answer shows all that can be there. Nothing is started that
// way, and no lease renewed.

const (
	// probeAfter is how long machines have to send heartbeats by themselves.
	probeAfter = units.Second
	// probeRoundEvery is the least time between two rounds over all unreconciled machines.
	probeRoundEvery = units.Second
	// probesAtOnce bounds the probes in flight, and with the tick their rate: each costs about as
	// much as a heartbeat.
	probesAtOnce = 8
	// probeTries bounds the probes of one machine.
	probeTries = 2
)

// Probe shows an owner's fencing token to a machine and asks what runs there.
type Probe struct {
	Shard        int
	Assignment   uint64
	Machine      string
	Addr         string
	FencingToken uint64
	Incarnation  uint64
}

// probes is the state of the probes of one shard.
type probes struct {
	queue       []string // machines of this round that are still to be probed
	inFlight    int
	nextRoundAt units.Microseconds
}

// Probe sends probes to some of the unreconciled machines.
func (r *Reconciler) Probe(now units.Microseconds) {
	if len(r.unreconciled) == 0 || now-r.cfg.OwnedSince < probeAfter {
		return
	}
	if len(r.probes.queue) == 0 && r.probes.inFlight == 0 && now >= r.probes.nextRoundAt {
		r.probes.nextRoundAt = now + probeRoundEvery
		r.probes.queue = slices.Sorted(maps.Keys(r.unreconciled))
	}
	for len(r.probes.queue) > 0 && r.probes.inFlight < probesAtOnce {
		machine := r.machines[r.probes.queue[0]]
		r.probes.queue = r.probes.queue[1:]
		if machine == nil || machine.Reconciled || machine.Deprovisioning || machine.Addr == "" || machine.Probes == probeTries {
			continue
		}
		machine.Probes++
		r.probes.inFlight++
		r.host.SendProbe(Probe{r.cfg.Shard, r.host.Assignment(), machine.Name, machine.Addr, r.cfg.FencingToken, max(machine.Incarnation, 1)})
	}
}

// ProbesExhausted reports whether every unreconciled machine has been probed as often as any is, in
// vain.
func (r *Reconciler) ProbesExhausted() bool {
	for name := range r.unreconciled {
		if machine := r.machines[name]; machine == nil || machine.Probes < probeTries {
			return false
		}
	}
	return r.probes.inFlight == 0
}

// OnProbe takes a machine's answer to a probe; answer is nil if there is none. It counts only while
// nothing was started there under this assignment: a start may be on its way to the machine that
// the answer does not show yet (TestStaleProbeAnswerKeepsStart).
func (r *Reconciler) OnProbe(now units.Microseconds, probe Probe, outcome store.Outcome, answer *fleet.Heartbeat) {
	r.probes.inFlight--
	machine := r.machines[probe.Machine]
	if machine == nil || machine.Reconciled && r.host.Guarded(guard.ProbeAnswer) {
		return
	}
	if answer == nil || answer.Machine != machine.Name || !machine.Newer(answer) {
		return
	}
	if outcome != store.OK || answer.FencingToken != r.cfg.FencingToken {
		if answer.Incarnation > machine.Incarnation && answer.FencingToken <= r.cfg.FencingToken {
			machine.Incarnation, machine.Seq = answer.Incarnation, 0 // the next probe names it
		}
		return
	}
	machine.Incarnation, machine.Seq = answer.Incarnation, answer.Seq
	r.reconcile(now, machine, answer) // its commands follow in the response to its next heartbeat
	r.MarkReconciled(now, machine)
}
