package cancellations

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

func cancelled(rev uint64) store.Event {
	return store.Event{Key: fmt.Sprintf("j%06d", rev), Value: []byte("{}"), Stamp: rev}
}

// TestStateRolledBack has the state service go back behind its answers: for a while nobody says that it
// has told all, and what was asked for before counts for nothing, as revisions of before may
// come again and mean something else.
func TestStateRolledBack(t *testing.T) {
	now := 100 * units.Second
	tracker := New(Config{Peers: 1})
	tracker.Record(cancelled(7))
	if update := tracker.UpdateFor(now, 5, 3, 6, true); !update.Whole || update.Upto != 6 || len(update.List) != 1 {
		t.Fatalf("%+v", update)
	}
	tracker.Receive(now, "b", now, Update{Since: 6, Upto: 9, Whole: true}, 6)
	if tracker.KnownRevision(6) != 9 || tracker.KnownUntil(now, 0) != now {
		t.Fatalf("knows up to %d, all as of %d", tracker.KnownRevision(6), tracker.KnownUntil(now, 0))
	}
	tracker.StateRolledBack(now)
	if tracker.KnownRevision(4) != 4 || tracker.KnownUntil(now, 1) != 1 {
		t.Error("what was told before counts")
	}
	for _, test := range []struct {
		after, asked units.Microseconds
		want         bool
	}{{units.Second, units.Second, false}, {11 * units.Second, -units.Second, false}, {11 * units.Second, 10 * units.Second, true}} {
		at := now + test.after
		if got := tracker.UpdateFor(at, 5, 3, 6, true).Whole; got != (test.after > rollbackGrace) {
			t.Errorf("after %d: all is told: %v", test.after, got)
		}
		tracker.Receive(at, "b", now+test.asked, Update{Since: 4, Upto: 9, Whole: true}, 4)
		if got := tracker.KnownRevision(4) == 9; got != test.want {
			t.Errorf("after %d, asked at %d: taken %v", test.after, test.asked, got)
		}
	}
}

// TestBounds has more cancelled than is kept or told at once: what is cut is never called whole,
// and who asks on and on gets all that is kept.
func TestBounds(t *testing.T) {
	tracker := New(Config{Peers: 1, Kept: 50, Listed: 8})
	for rev := uint64(100); rev < 170; rev++ {
		tracker.Record(cancelled(rev))
	}
	if update := tracker.UpdateFor(0, 110, 0, 200, true); update.Whole || update.Upto != 110 || len(update.List) != 8 {
		t.Errorf("some are no longer kept: %v, up to %d, %d", update.Whole, update.Upto, len(update.List))
	}
	known, listed, asked := uint64(125), 0, 0
	for ; asked < 20; asked++ {
		update := tracker.UpdateFor(0, known, 0, 200, true)
		if listed += len(update.List); update.Whole {
			break
		}
		// The last of a cut list may be one of several of its revision: it comes again.
		if listed--; update.Upto >= update.List[len(update.List)-1].Stamp {
			t.Fatalf("up to %d after a list that ends at %d", update.Upto, update.List[len(update.List)-1].Stamp)
		}
		known = update.Upto
	}
	if listed != 44 || asked > 7 {
		t.Errorf("%d of 44 were told in %d answers", listed, asked+1)
	}
}
