package replication

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Trace tells all that counts of an owner's side, in times from now, for logs and for
// exploring what may follow: equal traces act the same from then on.
func (p *Primary) Trace(now units.Microseconds) string {
	var b strings.Builder
	fmt.Fprintf(&b, "standby %q run %d sent %d acked %d complete %d seal %d deferring %v recorded %v recording %v leaving %v paused %d uncopied %v changed %v finished %v pending",
		p.standby, p.run, p.sent, p.acked, p.completeAt, p.sealAt, p.deferring, p.recorded, p.recording, p.leaving, max(0, p.pausedTill-now),
		p.uncopied, slices.Sorted(maps.Keys(p.changed)), p.finished)
	for _, pending := range p.pending {
		fmt.Fprintf(&b, " %v:%d:%d", pending.answer, pending.message, now-pending.at)
	}
	if len(p.unacked) > 0 {
		fmt.Fprintf(&b, " progress %d sent %d", now-p.progressAt, now-p.sentAt)
	}
	fmt.Fprintf(&b, " flushed %d %v", min(now-p.flushedAt, FlushInterval), p.unacked)
	return b.String()
}

// Trace tells all that counts of a standby's side.
func (s *Standby) Trace() string {
	var b strings.Builder
	for _, shard := range slices.Sorted(maps.Keys(s.streams)) {
		from := s.streams[shard]
		fmt.Fprintf(&b, "%d: %d %d %d %v %v %v %v;", shard, from.fencingToken, from.run, from.received, from.complete, from.machines, from.finished, from.ahead)
	}
	return b.String()
}
