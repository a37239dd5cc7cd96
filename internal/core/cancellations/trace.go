package cancellations

import (
	"fmt"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Describe tells all that a tracker holds, for exploring what may follow: times as how long ago they
// are, those longer than most as most.
func (t *Tracker) Describe(now, most units.Microseconds) string {
	ago := func(t units.Microseconds) units.Microseconds { return min(now-t, most) }
	out := fmt.Sprint(t.droppedUpTo, t.peersUpTo, ago(t.peersAsOf))
	for _, e := range t.recent {
		out += fmt.Sprint(" ", e.Key, e.Stamp)
	}
	for _, n := range slices.Sorted(maps.Keys(t.completeAsOf)) {
		out += fmt.Sprint(" ", n, ago(t.completeAsOf[n]))
	}
	return out
}
