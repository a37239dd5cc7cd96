package replication

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Trace tells all that counts of a holder's side, in times from now, for logs and for
// exploring what may follow: equal traces act the same from then on.
func (s *Primary) Trace(now units.Microseconds) string {
	var b strings.Builder
	fmt.Fprintf(&b, "to %q run %d n %d acked %d whole %d seal %d bound %v stored %v storing %v leaving %v rest %d copying %v dirty %v done %v waiting",
		s.to, s.run, s.n, s.acked, s.wholeAt, s.sealAt, s.bound, s.stored, s.storing, s.leaving, max(0, s.restAt-now),
		s.copying, slices.Sorted(maps.Keys(s.dirty)), s.done)
	for _, w := range s.waiting {
		fmt.Fprintf(&b, " %v:%d:%d", w.what, w.n, now-w.at)
	}
	if len(s.unacked) > 0 {
		fmt.Fprintf(&b, " progress %d sent %d", now-s.progress, now-s.sentAt)
	}
	fmt.Fprintf(&b, " flushed %d %v", min(now-s.flushed, FlushEvery), s.unacked)
	return b.String()
}

// Trace tells all that counts of a follower's side.
func (k *Standby) Trace() string {
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(k.streams)) {
		s := k.streams[n]
		fmt.Fprintf(&b, "%d: %d %d %d %v %v %v %v;", n, s.token, s.run, s.n, s.whole, s.machines, s.done, s.ahead)
	}
	return b.String()
}
