package replaylog

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// TestMemory notes drawn changes: the memory keeps within its bound, and what it
// says is lost is the last value of each key that it still knows, and nothing else.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		max := rapid.IntRange(0, 4000).Draw(t, "max")
		m := New(max)
		last := map[string]store.Event{}
		rev := uint64(0)
		for range rapid.IntRange(0, 300).Draw(t, "changes") {
			rev++
			e := store.Event{Key: fmt.Sprint("k/", rapid.IntRange(0, 12).Draw(t, "key")), Stamp: rev}
			if rapid.IntRange(0, 4).Draw(t, "removed") > 0 {
				e.Value = json.RawMessage(fmt.Sprintf("%0*d", rapid.IntRange(1, 200).Draw(t, "size"), rev))
			}
			m.Note(e)
			last[e.Key] = e
			if m.Size() > max && len(m.known) > 0 || m.Size() < 0 || len(m.order) > 4*len(m.known)+64 {
				t.Fatalf("%d bytes of %d, %d keys, %d entries", m.Size(), max, len(m.known), len(m.order))
			}
		}
		listed := map[string]store.Event{}
		missing := func(e store.Event) bool {
			l := listed[e.Key]
			return l.Stamp < e.Stamp || string(l.Value) != string(e.Value)
		}
		for k, e := range last {
			if rapid.Bool().Draw(t, "listed "+k) {
				e.Stamp -= uint64(rapid.IntRange(0, 1).Draw(t, "older"))
				if rapid.IntRange(0, 3).Draw(t, "given out again") == 0 {
					e.Value = json.RawMessage(`"another's"`)
				}
				listed[k] = e
			}
		}
		lost := m.Lost(listed)
		for i, e := range lost {
			if l := last[e.Key]; l.Stamp != e.Stamp || string(l.Value) != string(e.Value) || e.Value == nil || !missing(e) {
				t.Fatalf("%+v is called lost, last %+v, listed %+v", e, l, listed[e.Key])
			}
			if i > 0 && lost[i-1].Stamp > e.Stamp {
				t.Fatal("not in the order of their versions")
			}
		}
		// With room for all, nothing is missed.
		all := New(1 << 20)
		want := 0
		for _, e := range last {
			all.Note(e)
			if e.Value != nil && missing(e) {
				want++
			}
		}
		if got := len(all.Lost(listed)); got != want {
			t.Fatalf("%d lost, want %d", got, want)
		}
	})
}
