// Package replaylog records the latest changes that the state service has reported. If the service is
// rolled back (restored from a backup, or after a lost write), the log returns the lost values, so that
// controllers that know them can store them again. The log has bounded memory: a lost change that is no
// longer in the log cannot be restored.
package replaylog

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
)

// Log keeps the last values of the most recently changed keys within a memory limit, because a rollback
// loses the most recent changes.
type Log struct {
	maxBytes int
	bytes    int
	entries  map[string]entry
	order    []string // keys in the order of their changes, oldest first; with duplicates
}

type entry struct {
	value       json.RawMessage // nil: deleted
	version     uint64
	occurrences int // number of occurrences of the key in order
}

const (
	// entryOverhead is the approximate size of an entry in bytes, without its key and value.
	entryOverhead = 120
	// maxOrderPerKey and orderReserve limit the length of order, which contains frequently changed keys many
	// times: maxOrderPerKey for each entry, and orderReserve in addition.
	maxOrderPerKey = 4
	orderReserve   = 64
)

// New returns a log that uses at most maxBytes bytes.
func New(maxBytes int) *Log { return &Log{maxBytes: maxBytes, entries: map[string]entry{}} }

// Record adds a change to the log. It drops the oldest changes if the log exceeds its limits.
func (l *Log) Record(event store.Event) {
	old, recorded := l.entries[event.Key]
	if recorded {
		l.bytes -= len(old.value)
	} else {
		l.bytes += len(event.Key) + entryOverhead
	}
	l.entries[event.Key] = entry{value: event.Value, version: event.Stamp, occurrences: old.occurrences + 1}
	l.bytes += len(event.Value)
	l.order = append(l.order, event.Key)
	for len(l.order) > 0 && (l.bytes > l.maxBytes || len(l.order) > maxOrderPerKey*len(l.entries)+orderReserve) {
		l.dropOldest()
	}
}

// dropOldest drops the oldest change, and the entry of its key unless the key was changed again later.
func (l *Log) dropOldest() {
	key := l.order[0]
	l.order = l.order[1:]
	oldest := l.entries[key]
	if oldest.occurrences--; oldest.occurrences > 0 {
		l.entries[key] = oldest
		return
	}
	l.bytes -= len(key) + entryOverhead + len(oldest.value)
	delete(l.entries, key)
}

// Size returns the approximate memory in use in bytes.
func (l *Log) Size() int { return l.bytes }

// Lost returns the recorded values that the service has lost, in the order of their versions. A value is lost
// if listed lacks its key, has an older version of it, or has the same version with another value, which the
// service then has assigned twice. Deletions are not returned.
func (l *Log) Lost(listed map[string]store.Event) []store.Event {
	var lost []store.Event
	for key, recorded := range l.entries {
		current := listed[key]
		older := current.Stamp < recorded.version
		different := current.Stamp == recorded.version && !bytes.Equal(current.Value, recorded.value)
		if recorded.value != nil && (older || different) {
			lost = append(lost, store.Event{Key: key, Value: recorded.value, Stamp: recorded.version})
		}
	}
	slices.SortFunc(lost, func(a, b store.Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), strings.Compare(a.Key, b.Key))
	})
	return lost
}
