package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// A worker whose controller is lost waits for its answer, pauses, and tries the
// others in turn. Until the last of them has found the new holder, all work
// accepted earlier waits. So the new holder shows its token to those it has not
// heard: a worker that has taken it drops every answer of earlier holders, and its
// report shows all that can be there. Nothing is started that way, and no lease
// renewed.

const (
	// contactAfter is how long machines have to report by themselves.
	contactAfter = units.Second
	// contactsAtOnce bounds the requests under way, and with the tick their rate:
	// each costs about as much as a report.
	contactsAtOnce = 8
	// contactTries bounds the requests to one machine.
	contactTries = 2
)

// Probe shows this node's token to a machine (OnContact).
type Probe struct {
	Shard        int
	Assignment   uint64
	Machine      string
	Addr         string
	FencingToken uint64
	Incarnation  uint64
}

// probe asks some of the machines that are not accounted for yet.
func (c *Core) probe(shard *ownedShard) {
	if len(shard.unreconciled) == 0 || c.now-shard.ownedSince < contactAfter {
		return
	}
	if len(shard.probeQueue) == 0 && shard.probesInFlight == 0 && c.now >= shard.nextProbeAt {
		shard.nextProbeAt = c.now + units.Second
		shard.probeQueue = sortedKeys(shard.unreconciled)
	}
	for len(shard.probeQueue) > 0 && shard.probesInFlight < contactsAtOnce {
		m := shard.machines[shard.probeQueue[0]]
		shard.probeQueue = shard.probeQueue[1:]
		if m == nil || m.Reconciled || m.Deprovisioning || m.Addr == "" || m.Probes == contactTries {
			continue
		}
		m.Probes++
		shard.probesInFlight++
		c.emit(Probe{shard.number, shard.assignment, m.Name, m.Addr, shard.fencingToken, max(m.Incarnation, 1)})
	}
}

// noneReachable reports whether every machine that is not accounted for has been
// asked as often as any is, in vain.
func (shard *ownedShard) noneReachable() bool {
	for name := range shard.unreconciled {
		if m := shard.machines[name]; m == nil || m.Probes < contactTries {
			return false
		}
	}
	return shard.probesInFlight == 0
}

// OnProbe takes a machine's answer. It counts only while nothing was started
// there under this grant: a start may be on its way to the machine that its
// list does not show yet.
func (c *Core) OnProbe(now units.Microseconds, e Probe, o store.Outcome, r *fleet.Heartbeat) {
	c.advance(now)
	shard := c.ownedUnder(e.Shard, e.Assignment)
	if shard == nil {
		return
	}
	shard.probesInFlight--
	m := shard.machines[e.Machine]
	if m == nil || m.Reconciled && c.guarded(guard.ProbeAnswer) || r == nil || r.Machine != m.Name || !m.Newer(r) {
		return
	}
	if o != store.OK || r.FencingToken != shard.fencingToken {
		if r.Incarnation > m.Incarnation && r.FencingToken <= shard.fencingToken {
			m.Incarnation, m.Seq = r.Incarnation, 0 // the next request names it
		}
		return
	}
	m.Incarnation, m.Seq = r.Incarnation, r.Seq
	c.reconcile(shard, m, r) // what it should do is told when it reports
	shard.reconciled(c, m)
}
