// Package memory detects when the live heap of a process comes close to its memory limit. Beyond the limit the
// process is killed. Already before that it would spend all of its time on garbage collections that free
// little memory.
package memory

import "runtime/metrics"

// Fractions of the runtime's memory limit. Above highWater no more work should be accepted; at lowWater or below
// it may be accepted again. The rest is for stacks, connections, and garbage between two collections.
const (
	highWater = 0.75
	lowWater  = 0.65
)

// liveHeapMetric is the runtime metric for the bytes of heap that the last garbage collection found in use.
const liveHeapMetric = "/gc/heap/live:bytes"

// Monitor checks the live heap of this process. It is not safe for concurrent use.
type Monitor struct {
	limit    float64 // bytes
	liveHeap func() uint64
	full     bool
}

// New returns a monitor for a memory limit in bytes.
func New(limit int64) *Monitor {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	return &Monitor{limit: float64(limit), liveHeap: func() uint64 {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return 0 // this Go runtime does not have the metric
		}
		return sample[0].Value.Uint64()
	}}
}

// Full reports whether no more work should be accepted, with hysteresis between the two fractions.
func (m *Monitor) Full() bool {
	threshold := highWater
	if m.full {
		threshold = lowWater
	}
	m.full = float64(m.liveHeap()) > threshold*m.limit
	return m.full
}
