// Package replaylog remembers what the state service answered lately. Should the
// service go back behind an answer that it gave (a restored copy, a lost write), it
// tells what was lost, so that those who know it can write it again.
package replaylog

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
)

// Memory keeps the last value of the keys that were learnt last, within a bound:
// what is lost is what was written last.
type Memory struct {
	max   int // bytes
	size  int
	known map[string]note
	order []string // keys as they were noted, the oldest first; some twice
}

type note struct {
	value json.RawMessage // nil: removed
	stamp uint64
	times int // entries in order
}

// noteCost is what a key costs beside its name and value.
const noteCost = 120

// New returns a memory of at most so many bytes.
func New(max int) *Memory { return &Memory{max: max, known: map[string]note{}} }

// Note takes a change that was learnt.
func (m *Memory) Note(e store.Event) {
	old, had := m.known[e.Key]
	if had {
		m.size -= len(old.value)
	} else {
		m.size += len(e.Key) + noteCost
	}
	m.known[e.Key] = note{e.Value, e.Stamp, old.times + 1}
	m.size += len(e.Value)
	m.order = append(m.order, e.Key)
	for len(m.order) > 0 && (m.size > m.max || len(m.order) > 4*len(m.known)+64) {
		m.forgetFirst()
	}
}

// forgetFirst drops the oldest entry, and its key unless that was noted again.
func (m *Memory) forgetFirst() {
	k := m.order[0]
	m.order = m.order[1:]
	n := m.known[k]
	if n.times--; n.times > 0 {
		m.known[k] = n
		return
	}
	m.size -= len(k) + noteCost + len(n.value)
	delete(m.known, k)
}

// Size returns the bytes in use, about.
func (m *Memory) Size() int { return m.size }

// Lost returns the values that a listing lacks or has in an older version, or in the same
// where that was given out a second time, in the order of their versions. Removed keys are
// not among them.
func (m *Memory) Lost(listed map[string]store.Event) []store.Event {
	var out []store.Event
	for k, n := range m.known {
		if l := listed[k]; n.value != nil && (l.Stamp < n.stamp || l.Stamp == n.stamp && !bytes.Equal(l.Value, n.value)) {
			out = append(out, store.Event{Key: k, Value: n.value, Stamp: n.stamp})
		}
	}
	slices.SortFunc(out, func(a, b store.Event) int {
		if a.Stamp != b.Stamp {
			if a.Stamp < b.Stamp {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out
}
