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

// TestGoneBack has the state service go back behind its answers: for a while nobody says that it
// has told all, and what was asked for before counts for nothing, as revisions of before may
// come again and mean something else.
func TestGoneBack(t *testing.T) {
	now := 100 * units.Second
	b := New(Config{Peers: 1})
	b.Note(cancelled(7))
	if told := b.ListFor(now, 5, 3, 6, true); !told.Whole || told.Upto != 6 || len(told.List) != 1 {
		t.Fatalf("%+v", told)
	}
	b.Receive(now, "b", now, Told{Since: 6, Upto: 9, Whole: true}, 6)
	if b.Known(6) != 9 || b.KnownUntil(now, 0) != now {
		t.Fatalf("knows up to %d, all as of %d", b.Known(6), b.KnownUntil(now, 0))
	}
	b.Forget(now)
	if b.Known(4) != 4 || b.KnownUntil(now, 1) != 1 {
		t.Error("what was told before counts")
	}
	for _, c := range []struct {
		after, asked units.Microseconds
		want         bool
	}{{units.Second, units.Second, false}, {11 * units.Second, -units.Second, false}, {11 * units.Second, 10 * units.Second, true}} {
		at := now + c.after
		if got := b.ListFor(at, 5, 3, 6, true).Whole; got != (c.after > doubtFor) {
			t.Errorf("after %d: all is told: %v", c.after, got)
		}
		b.Receive(at, "b", now+c.asked, Told{Since: 4, Upto: 9, Whole: true}, 4)
		if got := b.Known(4) == 9; got != c.want {
			t.Errorf("after %d, asked at %d: taken %v", c.after, c.asked, got)
		}
	}
}

// TestBounds has more cancelled than is kept or told at once: what is cut is never called whole,
// and who asks on and on gets all that is kept.
func TestBounds(t *testing.T) {
	b := New(Config{Peers: 1, Kept: 50, AtOnce: 8})
	for rev := uint64(100); rev < 170; rev++ {
		b.Note(cancelled(rev))
	}
	if told := b.ListFor(0, 110, 0, 200, true); told.Whole || told.Upto != 110 || len(told.List) != 8 {
		t.Errorf("some are no longer kept: %v, up to %d, %d", told.Whole, told.Upto, len(told.List))
	}
	known, got, asked := uint64(125), 0, 0
	for ; asked < 20; asked++ {
		told := b.ListFor(0, known, 0, 200, true)
		if got += len(told.List); told.Whole {
			break
		}
		// The last of a cut list may be one of several of its revision: it comes again.
		if got--; told.Upto >= told.List[len(told.List)-1].Stamp {
			t.Fatalf("up to %d after a list that ends at %d", told.Upto, told.List[len(told.List)-1].Stamp)
		}
		known = told.Upto
	}
	if got != 44 || asked > 7 {
		t.Errorf("%d of 44 were told in %d answers", got, asked+1)
	}
}
