package memory

import (
	"runtime"
	"testing"
)

// TestFullHysteresis moves the live heap up and down past the two fractions. Between them the result must stay as
// it was.
func TestFullHysteresis(t *testing.T) {
	var live uint64
	monitor := &Monitor{limit: 1000, liveHeap: func() uint64 { return live }}
	for _, test := range []struct {
		live uint64
		want bool
	}{{0, false}, {700, false}, {750, false}, {751, true}, {700, true}, {651, true}, {650, false}, {700, false}, {2000, true}} {
		if live = test.live; monitor.Full() != test.want {
			t.Errorf("live heap %d: full %v", test.live, !test.want)
		}
	}
}

// TestLiveHeapMetric allocates memory and checks that the runtime reports it, so that a Go release without the
// metric is noticed.
func TestLiveHeapMetric(t *testing.T) {
	monitor := New(1 << 40)
	allocated := make([]byte, 32<<20)
	runtime.GC()
	if n := monitor.liveHeap(); n < 32<<20 {
		t.Errorf("live heap %d with %d bytes allocated", n, len(allocated))
	}
	if monitor.Full() {
		t.Error("full far below the limit")
	}
	runtime.KeepAlive(allocated)
}
