// Package traffic counts what each controller of a play in simulated time is asked, asks and
// takes of a processor: messages, their bytes as they go over the wire, and processor time by
// the kind of message.
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

// key names what is counted together.
type key struct{ node, kind string }

type count struct {
	messages, bytes uint64
	took            time.Duration
}

// Tally counts from a time on. A nil one counts nothing. It belongs to one goroutine, which must
// stay on its thread for processor time to be right.
type Tally struct {
	from    units.Microseconds
	now     units.Microseconds
	counts  map[key]*count
	running key
	began   time.Duration
	timed   bool
}

// New returns a tally that leaves out what happens before a time of the play.
func New(from units.Microseconds) *Tally { return &Tally{from: from, counts: map[key]*count{}} }

// AdvanceTo moves time on, and reports whether anything is counted.
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

// Message counts a message of so many bytes that a controller got or sent.
func (t *Tally) Message(node, kind string, bytes int) {
	c := t.of(key{node, kind})
	c.messages++
	c.bytes += uint64(bytes)
}

// JSON counts a message that goes as JSON.
func (t *Tally) JSON(node, kind string, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types are the program's own
	}
	t.Message(node, kind, len(b))
}

// Start begins to measure what a controller does with a message.
func (t *Tally) Start(now units.Microseconds, node, kind string) {
	if t.AdvanceTo(now) {
		t.running, t.began, t.timed = key{node, kind}, threadTime(), true
	}
}

// SetKind names the kind of message that is being measured.
func (t *Tally) SetKind(kind string) {
	if t != nil {
		t.running.kind = kind
	}
}

// Stop ends that measurement, if one is under way.
func (t *Tally) Stop() {
	if t == nil || !t.timed {
		return
	}
	t.timed = false
	c := t.of(t.running)
	c.messages++
	c.took += threadTime() - t.began
}

// threadTime is the processor time of this thread.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Write writes what was counted as CSV, a line for each controller and kind of message, by the
// second.
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
