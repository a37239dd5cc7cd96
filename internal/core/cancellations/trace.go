package cancellations

import (
	"fmt"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Describe returns the tracker's state as text, for a state-space exploration to
// tell states apart. Times are written as ages, limited to maxAge.
func (t *Tracker) Describe(now, maxAge units.Microseconds) string {
	age := func(at units.Microseconds) units.Microseconds { return min(now-at, maxAge) }
	out := fmt.Sprint(t.droppedUpTo, t.peersUpTo, age(t.peersAsOf))
	for _, e := range t.recent {
		out += fmt.Sprint(" ", e.Key, e.Stamp)
	}
	for _, n := range slices.Sorted(maps.Keys(t.completeAsOf)) {
		out += fmt.Sprint(" ", n, age(t.completeAsOf[n]))
	}
	return out
}
