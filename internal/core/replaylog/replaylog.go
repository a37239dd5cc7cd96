// Package replaylog remembers what the state service answered lately. Should the
// service go back behind an answer that it gave (a restored copy, a lost write), it
// tells what was lost, so that those who know it can write it again. It is bounded: an answer
// that is older than what it remembers is lost with the service.
package replaylog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
)

// Log keeps the last value of the keys that were learnt last, within a bound:
// what is lost is what was written last.
type Log struct {
	maxBytes int
	bytes    int
	entries  map[string]entry
	order    []string // keys as they were noted, the oldest first; some twice
}

type entry struct {
	value   json.RawMessage // nil: removed
	version uint64
	times   int // that its key is in order
}

const (
	// entryCost is what a key costs beside its name and value, in bytes.
	entryCost = 120
	// maxRepeats and spareOrder bound the order, in which keys that change often are many times.
	maxRepeats = 4
	spareOrder = 64
)

// New returns a log of at most so many bytes.
func New(maxBytes int) *Log { return &Log{maxBytes: maxBytes, entries: map[string]entry{}} }

// Record takes a change that was learnt.
func (l *Log) Record(event store.Event) {
	old, known := l.entries[event.Key]
	if known {
		l.bytes -= len(old.value)
	} else {
		l.bytes += len(event.Key) + entryCost
	}
	l.entries[event.Key] = entry{value: event.Value, version: event.Stamp, times: old.times + 1}
	l.bytes += len(event.Value)
	l.order = append(l.order, event.Key)
	for len(l.order) > 0 && (l.bytes > l.maxBytes || len(l.order) > maxRepeats*len(l.entries)+spareOrder) {
		l.forgetFirst()
	}
}

// forgetFirst drops the oldest note, and its key unless that was noted again.
func (l *Log) forgetFirst() {
	key := l.order[0]
	l.order = l.order[1:]
	first := l.entries[key]
	if first.times--; first.times > 0 {
		l.entries[key] = first
		return
	}
	l.bytes -= len(key) + entryCost + len(first.value)
	delete(l.entries, key)
}

// Size returns the bytes in use, about.
func (l *Log) Size() int { return l.bytes }

// Lost returns the values that a listing lacks or has in an older version, or in the same
// where that was given out a second time, in the order of their versions. Removed keys are
// not among them.
func (l *Log) Lost(listed map[string]store.Event) []store.Event {
	var lost []store.Event
	for key, known := range l.entries {
		there := listed[key]
		older := there.Stamp < known.version
		another := there.Stamp == known.version && !bytes.Equal(there.Value, known.value)
		if known.value != nil && (older || another) {
			lost = append(lost, store.Event{Key: key, Value: known.value, Stamp: known.version})
		}
	}
	slices.SortFunc(lost, func(a, b store.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), strings.Compare(a.Key, b.Key))
	})
	return lost
}
