// Package memory tells when the live heap of a process nears its memory limit. Past the limit
// the process is killed; before that, all its time goes into collecting what little garbage
// there is.
package memory

import "runtime/metrics"

// Fractions of the limit that the runtime keeps: above highWater no more should be taken on,
// and at lowWater or below it may be again. The rest is for stacks, connections, and garbage
// between two collections.
const (
	highWater = 0.75
	lowWater  = 0.65
)

// liveHeapMetric is what the last collection found in use, in bytes.
const liveHeapMetric = "/gc/heap/live:bytes"

// Monitor watches the memory of this process. It is for one goroutine.
type Monitor struct {
	limit    float64 // bytes
	liveHeap func() uint64
	full     bool
}

// New returns a watch for a limit in bytes.
func New(limit int64) *Monitor {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	return &Monitor{limit: float64(limit), liveHeap: func() uint64 {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return 0 // a runtime that does not have this metric
		}
		return sample[0].Value.Uint64()
	}}
}

// Full reports whether no more should be taken on.
func (w *Monitor) Full() bool {
	threshold := highWater
	if w.full {
		threshold = lowWater
	}
	w.full = float64(w.liveHeap()) > threshold*w.limit
	return w.full
}
