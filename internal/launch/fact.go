package launch

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
)

// fact is what a process tells the checker, one JSON line each. At is the time of
// day in microseconds; all processes share one machine's clock.
type fact struct {
	At        units.Microseconds `json:"at"`
	Began     bool               `json:"began,omitempty"`
	Completed bool               `json:"completed,omitempty"`
	Task      string             `json:"task"`
	Machine   check.Machine      `json:"machine"`
}

// factWriter writes facts as they happen.
type factWriter struct {
	enc *json.Encoder
}

func newFactWriter(w io.Writer) *factWriter { return &factWriter{json.NewEncoder(w)} }

// TaskStarted implements host.TaskObserver.
func (f *factWriter) TaskStarted(m *cloudprovider.Machine, id jobs.TaskID) { f.put(m, id, true, false) }

// TaskEnded implements host.TaskObserver.
func (f *factWriter) TaskEnded(m *cloudprovider.Machine, id jobs.TaskID, completed bool) {
	f.put(m, id, false, completed)
}

func (f *factWriter) put(m *cloudprovider.Machine, id jobs.TaskID, began, completed bool) {
	// A launching process that is gone hears nothing more, and ends this one.
	_ = f.enc.Encode(fact{At: units.Microseconds(time.Now().UnixMicro()), Began: began, Completed: completed, Task: id.String(),
		Machine: check.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}})
}

// merger brings facts of several processes into the order of their times, and
// hands them on once everything earlier must have come.
type merger struct {
	mu      sync.Mutex
	waiting []timed
}

type timed struct {
	at units.Microseconds
	f  func(at units.Microseconds)
}

// settleTime is how long a fact may take from one process to another.
const settleTime = 300 * time.Millisecond

func (m *merger) add(at units.Microseconds, f func(at units.Microseconds)) {
	m.mu.Lock()
	m.waiting = append(m.waiting, timed{at, f})
	m.mu.Unlock()
}

// flush hands on what happened before a time.
func (m *merger) flush(before units.Microseconds) {
	m.mu.Lock()
	slices.SortStableFunc(m.waiting, func(a, b timed) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	n := 0
	for n < len(m.waiting) && m.waiting[n].at < before {
		n++
	}
	due := m.waiting[:n]
	m.waiting = slices.Clone(m.waiting[n:])
	m.mu.Unlock()
	for _, t := range due {
		t.f(t.at)
	}
}
