package replication

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Trace returns the state of p as text, with times relative to now, for logs and for
// state-space exploration: two Primaries with equal traces behave the same from then on.
func (p *Primary) Trace(now units.Microseconds) string {
	var b strings.Builder
	fmt.Fprintf(&b, "standby %q process %d run %d sent %d acked %d complete %d seal %d deferring %v recorded %v recording %v leaving %v paused %d uncopied %v changed %v finished %v pending",
		p.standby, p.process, p.run, p.sent, p.acked, p.snapshotEnd, p.barrier, p.deferring, p.recorded, p.recording, p.removing, max(0, p.backoffUntil-now),
		p.unsentMachines, slices.Sorted(maps.Keys(p.changedMachines)), p.finishedTasks)
	for _, pending := range p.pending {
		fmt.Fprintf(&b, " %v:%d:%d", pending.answer, pending.messageNumber, now-pending.deferredAt)
	}
	if len(p.unacked) > 0 {
		fmt.Fprintf(&b, " progress %d sent %d", now-p.progressAt, now-p.sentAt)
	}
	fmt.Fprintf(&b, " flushed %d %v", min(now-p.flushedAt, FlushInterval), p.unacked)
	return b.String()
}

// Trace returns the state of s as text, as Primary.Trace does.
func (s *Standby) Trace() string {
	var b strings.Builder
	fmt.Fprintf(&b, "process %d ", s.process)
	for _, shard := range slices.Sorted(maps.Keys(s.streams)) {
		from := s.streams[shard]
		fmt.Fprintf(&b, "%d: %d %d %d %v %v %v %v;", shard, from.fencingToken, from.run, from.received, from.complete, from.machines, from.finished, from.outOfOrder)
	}
	return b.String()
}
