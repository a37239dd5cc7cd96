package replaylog

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// noted is a log with drawn changes, and the last of each key.
type noted struct {
	log      *Log
	maxBytes int
	last     map[string]store.Event
	listed   map[string]store.Event
}

func (n *noted) note(t *rapid.T) {
	revision := uint64(0)
	for range rapid.IntRange(0, 300).Draw(t, "changes") {
		revision++
		event := store.Event{Key: fmt.Sprint("k/", rapid.IntRange(0, 12).Draw(t, "key")), Stamp: revision}
		if rapid.IntRange(0, 4).Draw(t, "removed") > 0 {
			event.Value = json.RawMessage(fmt.Sprintf("%0*d", rapid.IntRange(1, 200).Draw(t, "size"), revision))
		}
		n.log.Record(event)
		n.last[event.Key] = event
		if n.log.Size() > n.maxBytes && len(n.log.entries) > 0 || n.log.Size() < 0 || len(n.log.order) > 4*len(n.log.entries)+64 {
			t.Fatalf("%d bytes of %d, %d keys, %d entries", n.log.Size(), n.maxBytes, len(n.log.entries), len(n.log.order))
		}
	}
}

// list has some of the keys listed, some in an older version or with another value.
func (n *noted) list(t *rapid.T) {
	for key, event := range n.last {
		if rapid.Bool().Draw(t, "listed "+key) {
			event.Stamp -= uint64(rapid.IntRange(0, 1).Draw(t, "older"))
			if rapid.IntRange(0, 3).Draw(t, "given out again") == 0 {
				event.Value = json.RawMessage(`"another's"`)
			}
			n.listed[key] = event
		}
	}
}

func (n *noted) missing(event store.Event) bool {
	there := n.listed[event.Key]
	return there.Stamp < event.Stamp || string(there.Value) != string(event.Value)
}

// TestLostValues notes drawn changes: the log keeps within its bound, and what it
// says is lost is the last value of each key that it still knows, and nothing else.
func TestLostValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(0, 4000).Draw(t, "max")
		drawn := &noted{log: New(maxBytes), maxBytes: maxBytes, last: map[string]store.Event{}, listed: map[string]store.Event{}}
		drawn.note(t)
		drawn.list(t)
		lost := drawn.log.Lost(drawn.listed)
		for i, event := range lost {
			if l := drawn.last[event.Key]; l.Stamp != event.Stamp || string(l.Value) != string(event.Value) || event.Value == nil || !drawn.missing(event) {
				t.Fatalf("%+v is called lost, last %+v, listed %+v", event, l, drawn.listed[event.Key])
			}
			if i > 0 && lost[i-1].Stamp > event.Stamp {
				t.Fatal("not in the order of their versions")
			}
		}
		// With room for all, nothing is missed.
		all := New(1 << 20)
		want := 0
		for _, event := range drawn.last {
			all.Record(event)
			if event.Value != nil && drawn.missing(event) {
				want++
			}
		}
		if got := len(all.Lost(drawn.listed)); got != want {
			t.Fatalf("%d lost, want %d", got, want)
		}
	})
}
