// Package traffic counts the messages that each controller sends and receives in a run in simulated
// time, their bytes on the wire, and the processor time that handling them takes, by kind of message.
package traffic

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"shalestage.example/shalestage/internal/core/units"
)

// key identifies a counter: a controller and a kind of message.
type key struct{ node, kind string }

// count holds the totals of one counter.
type count struct {
	messages, bytes uint64
	took            time.Duration
}

// Tally counts traffic from a start time on. A nil Tally counts nothing. It must be used by one
// goroutine only, which must stay locked to its thread for the processor times to be correct.
type Tally struct {
	from    units.Microseconds
	now     units.Microseconds
	counts  map[key]*count
	running key
	began   time.Duration
	timed   bool
}

// New returns a tally that ignores everything before a time of the run.
func New(from units.Microseconds) *Tally { return &Tally{from: from, counts: map[key]*count{}} }

// AdvanceTo moves the clock to now and reports whether traffic is counted at that time.
func (t *Tally) AdvanceTo(now units.Microseconds) bool {
	if t == nil {
		return false
	}
	t.now = max(t.now, now)
	return now >= t.from
}

func (t *Tally) of(k key) *count {
	c := t.counts[k]
	if c == nil {
		c = &count{}
		t.counts[k] = c
	}
	return c
}

// Message counts a message that a controller sent or received, with its size in bytes.
func (t *Tally) Message(node, kind string, bytes int) {
	c := t.of(key{node, kind})
	c.messages++
	c.bytes += uint64(bytes)
}

// JSON counts a message that is sent as JSON.
func (t *Tally) JSON(node, kind string, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot fail: all bodies are types of this program
	}
	t.Message(node, kind, len(b))
}

// Start starts to measure the processor time that a controller takes to handle a message.
func (t *Tally) Start(now units.Microseconds, node, kind string) {
	if t.AdvanceTo(now) {
		t.running, t.began, t.timed = key{node, kind}, threadTime(), true
	}
}

// SetKind sets the kind of the message that is being measured.
func (t *Tally) SetKind(kind string) {
	if t != nil {
		t.running.kind = kind
	}
}

// Stop ends the current measurement, if there is one.
func (t *Tally) Stop() {
	if t == nil || !t.timed {
		return
	}
	t.timed = false
	c := t.of(t.running)
	c.messages++
	c.took += threadTime() - t.began
}

// threadTime returns the processor time of this thread.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Write writes the counters as CSV, one line per controller and kind of message, as rates per second.
func (t *Tally) Write(w io.Writer) error {
	seconds := max((t.now - t.from).Seconds(), 1)
	keys := make([]key, 0, len(t.counts))
	for k := range t.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.kind, b.kind)) })
	out := csv.NewWriter(w)
	_ = out.Write([]string{"controller", "kind", "messages_per_s", "bytes_per_s", "processor_ms_per_s"})
	for _, k := range keys {
		c := t.counts[k]
		_ = out.Write([]string{k.node, k.kind, perSecond(float64(c.messages), seconds), perSecond(float64(c.bytes), seconds),
			perSecond(float64(c.took.Microseconds())/1000, seconds)})
	}
	out.Flush()
	return out.Error()
}

func perSecond(n, seconds float64) string { return strconv.FormatFloat(n/seconds, 'f', 3, 64) }
