package seats

import (
	"encoding/json"
	"log/slog"
	"testing"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// nobody is a host that needs nothing.
type nobody struct{}

func (nobody) Emit(any)                                {}
func (nobody) Store(*store.Write)                      {}
func (nobody) Stamp(string) uint64                     { return 0 }
func (nobody) Copy() (since, age unit.Micros, ok bool) { return 0, 0, true }
func (nobody) Reread()                                 {}
func (nobody) AskPermits(string, uint64)               {}
func (nobody) Seated()                                 {}
func (nobody) Lost()                                   {}
func (nobody) Release(string, int)                     {}

// TestOlderView asks for a seat that is newer than what is known of its controller: it may
// stand, and counts as ended only when whatever could carry it is over, or a later one is
// there.
func TestOlderView(t *testing.T) {
	s := New(Config{Node: "a", Size: 3, TTL: 2 * unit.Second, Extend: 20 * unit.Second, Log: slog.New(slog.DiscardHandler)}, nobody{})
	now := 100 * unit.Second
	learn := func(seat uint64) {
		t.Helper()
		if err := s.Learn(now, "b", store.Event{Key: Prefix + "b", Value: json.RawMessage(`{"node":"b"}`), Stamp: seat}); err != nil {
			t.Fatal(err)
		}
	}
	learn(5)
	if s.Ended(now, "b", 5) || !s.Ended(now, "b", 4) || s.Ended(now, "b", 9) {
		t.Error("of seats 4, 5 and 9, with 5 known, only 4 has ended")
	}
	if now += 21 * unit.Second; s.Ended(now, "b", 9) {
		t.Error("a newer seat is called ended while promises may carry it")
	}
	if now += 2 * unit.Second; !s.Ended(now, "b", 9) {
		t.Error("a newer seat is never called ended")
	}
	if learn(12); !s.Ended(now, "b", 9) || s.Ended(now, "b", 12) {
		t.Error("of seats 9 and 12, with 12 known, only 9 has ended")
	}
}
