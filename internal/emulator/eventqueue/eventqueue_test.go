package eventqueue

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/units"
)

// TestOrder adds events out of order and takes those that are due: by time, and in the order of
// addition where they are due at the same time.
func TestOrder(t *testing.T) {
	var q Queue[string]
	if got := q.Next(); got != units.Never {
		t.Errorf("empty queue: next event at %d, want units.Never", got)
	}
	q.Add(30, "late")
	q.Add(10, "first")
	q.Add(20, "a")
	q.Add(20, "b")
	q.Add(20, "c")
	if got := q.Next(); got != 10 {
		t.Errorf("next event at %d, want 10", got)
	}
	if _, event, ok := q.Due(9); ok {
		t.Errorf("%q is due at 9", event)
	}
	var got []string
	for {
		at, event, ok := q.Due(20)
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
	if got := q.Next(); got != 30 {
		t.Errorf("next event at %d, want 30", got)
	}
}
