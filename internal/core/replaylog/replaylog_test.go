package replaylog

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// logModel is a log with random changes, the last change of each key, and a listing of the service.
type logModel struct {
	log      *Log
	maxBytes int
	last     map[string]store.Event
	listed   map[string]store.Event
}

func (m *logModel) recordChanges(t *rapid.T) {
	revision := uint64(0)
	for range rapid.IntRange(0, 300).Draw(t, "changes") {
		revision++
		event := store.Event{Key: fmt.Sprint("k/", rapid.IntRange(0, 12).Draw(t, "key")), Stamp: revision}
		if rapid.IntRange(0, 4).Draw(t, "removed") > 0 {
			event.Value = json.RawMessage(fmt.Sprintf("%0*d", rapid.IntRange(1, 200).Draw(t, "size"), revision))
		}
		m.log.Record(event)
		m.last[event.Key] = event
		if m.log.Size() > m.maxBytes && len(m.log.entries) > 0 || m.log.Size() < 0 || len(m.log.order) > 4*len(m.log.entries)+64 {
			t.Fatalf("%d bytes of %d, %d keys, order of length %d", m.log.Size(), m.maxBytes, len(m.log.entries), len(m.log.order))
		}
	}
}

// list adds some of the keys to the listing, some with an older version or another value.
func (m *logModel) list(t *rapid.T) {
	for key, event := range m.last {
		if rapid.Bool().Draw(t, "listed "+key) {
			event.Stamp -= uint64(rapid.IntRange(0, 1).Draw(t, "older"))
			if rapid.IntRange(0, 3).Draw(t, "given out again") == 0 {
				event.Value = json.RawMessage(`"another's"`)
			}
			m.listed[key] = event
		}
	}
}

func (m *logModel) missing(event store.Event) bool {
	current := m.listed[event.Key]
	return current.Stamp < event.Stamp || string(current.Value) != string(event.Value)
}

// TestLostValues guards against a log that exceeds its memory limit, restores an outdated value or one that
// is not lost, or misses a lost value although it has memory for all changes.
func TestLostValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(0, 4000).Draw(t, "max")
		model := &logModel{log: New(maxBytes), maxBytes: maxBytes, last: map[string]store.Event{}, listed: map[string]store.Event{}}
		model.recordChanges(t)
		model.list(t)
		lost := model.log.Lost(model.listed)
		for i, event := range lost {
			if l := model.last[event.Key]; l.Stamp != event.Stamp || string(l.Value) != string(event.Value) || event.Value == nil || !model.missing(event) {
				t.Fatalf("%+v is reported lost, last %+v, listed %+v", event, l, model.listed[event.Key])
			}
			if i > 0 && lost[i-1].Stamp > event.Stamp {
				t.Fatal("lost values are not in the order of their versions")
			}
		}
		// A log with memory for all changes misses no lost value.
		all := New(1 << 20)
		want := 0
		for _, event := range model.last {
			all.Record(event)
			if event.Value != nil && model.missing(event) {
				want++
			}
		}
		if got := len(all.Lost(model.listed)); got != want {
			t.Fatalf("%d lost, want %d", got, want)
		}
	})
}
