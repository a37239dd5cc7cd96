package reconcile

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// A worker whose controller has failed waits for its response, pauses, and then tries the other
// controllers in turn. Until the last worker has found the new owner, all work accepted earlier waits. So
// the new owner sends a probe with its fencing token to the machines that have sent it no heartbeat. A
// worker that accepts the token drops every response of earlier owners, so its answer shows all tasks
// that can be on the machine. A probe starts nothing and renews no lease.

const (
	// probeAfter is the time that machines have after a shard is acquired to send heartbeats by
	// themselves.
	probeAfter = units.Second
	// probeRoundInterval is the shortest time between two rounds over all unreconciled machines.
	probeRoundInterval = units.Second
	// maxProbesInFlight limits the probes in flight and, together with the tick, their rate: a probe
	// costs about as much as a heartbeat.
	maxProbesInFlight = 8
	// maxProbesPerMachine limits the probes sent to one machine.
	maxProbesPerMachine = 2
)

// Probe is a request that passes an owner's fencing token to a machine and asks which tasks it has.
type Probe struct {
	Shard        int
	Assignment   uint64
	Machine      string
	Addr         string
	FencingToken uint64
	Incarnation  uint64
}

// probes is the state of a shard's probes.
type probes struct {
	queue       []string // machines still to be probed in this round
	inFlight    int
	nextRoundAt units.Microseconds
}

// SendProbes sends probes to unreconciled machines, as many as maxProbesInFlight allows.
func (r *Reconciler) SendProbes(now units.Microseconds) {
	if len(r.unreconciled) == 0 || now-r.cfg.OwnedSince < probeAfter {
		return
	}
	if len(r.probes.queue) == 0 && r.probes.inFlight == 0 && now >= r.probes.nextRoundAt {
		r.probes.nextRoundAt = now + probeRoundInterval
		r.probes.queue = slices.Sorted(maps.Keys(r.unreconciled))
	}
	for len(r.probes.queue) > 0 && r.probes.inFlight < maxProbesInFlight {
		machine := r.machines[r.probes.queue[0]]
		r.probes.queue = r.probes.queue[1:]
		if machine == nil || machine.Reconciled || machine.Deprovisioning || machine.Addr == "" || machine.Probes == maxProbesPerMachine {
			continue
		}
		machine.Probes++
		r.probes.inFlight++
		r.host.SendProbe(Probe{r.cfg.Shard, r.host.Assignment(), machine.Name, machine.Addr, r.cfg.FencingToken, max(machine.Incarnation, 1)})
	}
}

// ProbesExhausted reports whether every unreconciled machine has been sent the maximum number of probes
// without a usable answer.
func (r *Reconciler) ProbesExhausted() bool {
	for name := range r.unreconciled {
		if machine := r.machines[name]; machine == nil || machine.Probes < maxProbesPerMachine {
			return false
		}
	}
	return r.probes.inFlight == 0
}

// OnProbe handles the outcome of a probe; answer is nil if the machine did not answer. An answer counts
// only while no task has been started on the machine under this assignment: a start may be in flight to
// it that the answer does not show (TestStaleProbeAnswerKeepsStart).
func (r *Reconciler) OnProbe(now units.Microseconds, probe Probe, outcome store.Outcome, answer *fleet.Heartbeat) {
	r.probes.inFlight--
	machine := r.machines[probe.Machine]
	if machine == nil || machine.Reconciled && r.host.GuardEnabled(guard.ProbeAnswer) {
		return
	}
	if answer == nil || answer.Machine != machine.Name || !machine.Newer(answer) {
		return
	}
	if outcome != store.OK || answer.FencingToken != r.cfg.FencingToken {
		if answer.Incarnation > machine.Incarnation && answer.FencingToken <= r.cfg.FencingToken {
			machine.AcceptMessage(answer.Incarnation, 0) // for the next probe
		}
		return
	}
	machine.AcceptMessage(answer.Incarnation, answer.Seq)
	r.cfg.Counters.ProbeAnswers++
	r.cfg.Log.Debug("probe answered", "machine", machine.Name, "incarnation", answer.Incarnation, "seq", answer.Seq, "token", r.cfg.FencingToken, "tasks", len(answer.Tasks))
	r.reconcile(now, machine, answer) // the commands are sent in the response to its next heartbeat
	r.MarkReconciled(now, machine)
}
