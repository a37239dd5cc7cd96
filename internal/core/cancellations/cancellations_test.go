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

// TestStateRolledBack has the state service lose writes that it had acknowledged. The same
// revisions may then be used again for other writes, so updates requested before the
// rollback must not count, and no update may claim to be whole for a while.
func TestStateRolledBack(t *testing.T) {
	now := 100 * units.Second
	tracker := New(Config{Peers: 1})
	tracker.Record(cancelled(7))
	if update := tracker.UpdateFor(now, 5, 3, 6, true); !update.Whole || update.Upto != 6 || len(update.List) != 1 {
		t.Fatalf("%+v", update)
	}
	tracker.Receive(now, "b", now, Update{Since: 6, Upto: 9, Whole: true}, 6)
	if tracker.KnownRevision(6) != 9 || tracker.KnownUntil(now, 0) != now {
		t.Fatalf("known up to revision %d, complete as of %d", tracker.KnownRevision(6), tracker.KnownUntil(now, 0))
	}
	tracker.StateRolledBack(now)
	if tracker.KnownRevision(4) != 4 || tracker.KnownUntil(now, 1) != 1 {
		t.Error("an update from before the rollback still counts")
	}
	for _, test := range []struct {
		after, asked units.Microseconds
		want         bool
	}{{units.Second, units.Second, false}, {11 * units.Second, -units.Second, false}, {11 * units.Second, 10 * units.Second, true}} {
		at := now + test.after
		if got := tracker.UpdateFor(at, 5, 3, 6, true).Whole; got != (test.after > rollbackGrace) {
			t.Errorf("after %d: the update is whole: %v", test.after, got)
		}
		tracker.Receive(at, "b", now+test.asked, Update{Since: 4, Upto: 9, Whole: true}, 4)
		if got := tracker.KnownRevision(4) == 9; got != test.want {
			t.Errorf("after %d, requested at %d: the update counts: %v", test.after, test.asked, got)
		}
	}
}

// TestTruncatedUpdates has more cancellations than are kept or listed at once. A truncated update must not
// claim to be whole, and a controller that asks repeatedly must get all cancellations that are kept.
func TestTruncatedUpdates(t *testing.T) {
	tracker := New(Config{Peers: 1, Kept: 50, Listed: 8})
	for rev := uint64(100); rev < 170; rev++ {
		tracker.Record(cancelled(rev))
	}
	if update := tracker.UpdateFor(0, 110, 0, 200, true); update.Whole || update.Upto != 110 || len(update.List) != 8 {
		t.Errorf("update after dropped cancellations: whole %v, up to %d, %d listed", update.Whole, update.Upto, len(update.List))
	}
	known, listed, asked := uint64(125), 0, 0
	for ; asked < 20; asked++ {
		update := tracker.UpdateFor(0, known, 0, 200, true)
		if listed += len(update.List); update.Whole {
			break
		}
		// The last event of a truncated list may share its revision with others, so it is listed again.
		if listed--; update.Upto >= update.List[len(update.List)-1].Stamp {
			t.Fatalf("up to %d after a list that ends at %d", update.Upto, update.List[len(update.List)-1].Stamp)
		}
		known = update.Upto
	}
	if listed != 44 || asked > 7 {
		t.Errorf("%d of 44 were listed in %d answers", listed, asked+1)
	}
}
