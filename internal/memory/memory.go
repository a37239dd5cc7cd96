// Package memory tells when what a process cannot let go of nears its memory limit. Past
// the limit the process is killed; before that, all its time goes into collecting what
// little there is to collect.
package memory

import "runtime/metrics"

// Of the limit that the runtime keeps: beyond high no more should be taken on, and below
// low it may be again. The rest is for stacks, connections, and garbage between two
// collections.
const (
	high = 0.75
	low  = 0.65
)

// liveHeap is what the last collection found in use, in bytes.
const liveHeap = "/gc/heap/live:bytes"

// Watch watches one process. It is for one goroutine.
type Watch struct {
	limit float64
	live  func() uint64
	full  bool
}

// New returns a watch for a limit in bytes.
func New(limit int64) *Watch {
	s := []metrics.Sample{{Name: liveHeap}}
	return &Watch{limit: float64(limit), live: func() uint64 {
		metrics.Read(s)
		if s[0].Value.Kind() != metrics.KindUint64 {
			return 0 // a runtime that does not tell
		}
		return s[0].Value.Uint64()
	}}
}

// Full reports whether no more should be taken on.
func (w *Watch) Full() bool {
	at := high
	if w.full {
		at = low
	}
	w.full = float64(w.live()) > at*w.limit
	return w.full
}
