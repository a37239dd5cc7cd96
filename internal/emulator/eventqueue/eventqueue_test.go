package eventqueue

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/units"
)

// TestOrder guards against events that are returned in the wrong order: they must be sorted by time, and
// events that are due at the same time must keep the order in which they were added.
func TestOrder(t *testing.T) {
	var queue Queue[string]
	if got := queue.Next(); got != units.MaxTime {
		t.Errorf("empty queue: next event at %d, want units.MaxTime", got)
	}
	queue.Add(30, "late")
	queue.Add(10, "first")
	queue.Add(20, "a")
	queue.Add(20, "b")
	queue.Add(20, "c")
	if got := queue.Next(); got != 10 {
		t.Errorf("next event at %d, want 10", got)
	}
	if _, event, ok := queue.Due(9); ok {
		t.Errorf("%q is due at 9", event)
	}
	var got []string
	for {
		at, event, ok := queue.Due(20)
		if !ok {
			break
		}
		if want := units.Microseconds(20); event != "first" && at != want {
			t.Errorf("%q was scheduled for %d, want %d", event, at, want)
		}
		got = append(got, event)
	}
	if want := []string{"first", "a", "b", "c"}; !slices.Equal(got, want) {
		t.Errorf("due by 20: %v, want %v", got, want)
	}
	if got := queue.Next(); got != 30 {
		t.Errorf("next event at %d, want 30", got)
	}
}
