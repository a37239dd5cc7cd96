package cancellations

import (
	"fmt"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Describe tells all that a book holds, for exploring what may follow: times as how long ago they
// are, those longer than most as most.
func (b *Tracker) Describe(now, most units.Microseconds) string {
	ago := func(t units.Microseconds) units.Microseconds { return min(now-t, most) }
	out := fmt.Sprint(b.floor, b.told, ago(b.asOf))
	for _, e := range b.list {
		out += fmt.Sprint(" ", e.Key, e.Stamp)
	}
	for _, n := range slices.Sorted(maps.Keys(b.vouched)) {
		out += fmt.Sprint(" ", n, ago(b.vouched[n]))
	}
	return out
}
