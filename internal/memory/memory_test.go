package memory

import (
	"runtime"
	"testing"
)

// TestFull goes up and down past the edges: between them it stays as it was.
func TestFull(t *testing.T) {
	var live uint64
	watch := &Monitor{limit: 1000, liveHeap: func() uint64 { return live }}
	for _, test := range []struct {
		live uint64
		want bool
	}{{0, false}, {700, false}, {750, false}, {751, true}, {700, true}, {651, true}, {650, false}, {700, false}, {2000, true}} {
		if live = test.live; watch.Full() != test.want {
			t.Errorf("at %d: %v", test.live, !test.want)
		}
	}
}

// TestRuntimeHasTheMetric holds memory that the runtime must then report.
func TestRuntimeHasTheMetric(t *testing.T) {
	w := New(1 << 40)
	held := make([]byte, 32<<20)
	runtime.GC()
	if n := w.liveHeap(); n < 32<<20 {
		t.Errorf("live %d with %d held", n, len(held))
	}
	if w.Full() {
		t.Error("full")
	}
	runtime.KeepAlive(held)
}
