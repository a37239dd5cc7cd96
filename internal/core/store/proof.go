package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"shalestage.example/shalestage/internal/core/units"
)

// The answer to a transaction may be lost although the transaction was carried out. The
// watch of the copy then shows its changes, long before the request times out. A revision
// is made by one transaction, so a revision above all that were known when the transaction
// was sent, with exactly its changes and values, proves that its changes are stored. Nothing
// else ends a transaction early: that its changes are not seen proves nothing, as it may be
// carried out late.
//
// The transaction that made the revision need not be the one under way: another controller
// may have stored the same (both cancel a job), or an earlier try of this controller's came
// late. All of Done's callers act on what is stored, not on who stored it, and the one under
// way may then still be carried out later, as after any outcome that is not known: its
// guards are made for that. The exception is a put that is attached to a lease. It is this
// process's only by that lease, which a watch does not show, and is never proven.

const (
	// firstUsual is how long an answer is taken to need before any has come.
	firstUsual = 10 * units.Second / 1000
	// answerSlack is added to what answers usually need before one counts as late.
	answerSlack = 10 * units.Second / 1000
	// readEvery is the time between two reads for one transaction, maxReads their number.
	readEvery = units.Second / 4
	maxReads  = 3
)

// Observe takes changes of the service's keys, in the order of their revisions, each
// revision whole. They must be in the copy already.
func (l *WriteQueue) Observe(events []Event) {
	t := l.current
	if t == nil || t.doubted || t.proof != 0 {
		return
	}
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Stamp == events[0].Stamp {
			n++
		}
		if t.made(events[:n]) {
			t.proof = events[0].Stamp
			return
		}
		events = events[n:]
	}
}

// SuspectRollback says that the service has gone back behind its answers. Revisions may be given
// out again, so that they prove nothing of the transaction under way.
func (l *WriteQueue) SuspectRollback() {
	if l.current != nil {
		l.current.doubted, l.current.proof = true, 0
	}
}

// Conclude ends the transaction under way where it is proven to have been carried out and
// its answer is late. It returns that transaction, or nil. An answer that still comes is to
// be dropped, see UnderWay.
func (l *WriteQueue) Conclude(now units.Microseconds) *Txn {
	t := l.current
	if t == nil || t.proof == 0 || now < t.sent+l.usually()*3/2+answerSlack {
		return nil
	}
	l.settle(now, OK, t.proof, nil)
	return t
}

// UnderWay reports whether a transaction is the one under way: the answer to any other
// comes too late.
func (l *WriteQueue) UnderWay(t *Txn) bool { return t != nil && l.current == t }

// ReadDue reports whether the copy should be read now for the transaction under way, whose
// answer is late and which the watch has not shown. It is true a few times for each.
func (l *WriteQueue) ReadDue(now units.Microseconds) bool {
	t := l.current
	if t == nil || t.proof != 0 || t.doubted || t.reads == maxReads {
		return false
	}
	if now < t.sent+3*l.usually()+2*answerSlack+units.Microseconds(t.reads)*readEvery {
		return false
	}
	t.reads++
	return true
}

// usually is about how long an answer takes.
func (l *WriteQueue) usually() units.Microseconds {
	if l.usual == 0 {
		return firstUsual
	}
	return l.usual
}

// took notes how long an answer has taken. One that took very long counts as less, so that
// single slow answers change little.
func (l *WriteQueue) took(d units.Microseconds) {
	u := l.usually()
	l.usual = max(1, u+(min(d, 2*u+answerSlack)-u)/8)
}

// made reports whether a revision's changes are exactly those of the transaction.
func (t *Txn) made(events []Event) bool {
	if len(events) != len(t.Changes) || events[0].Stamp <= t.Known {
		return false
	}
	puts := false
	for _, c := range t.Changes {
		if c.Lease != 0 || !contains(events, c) {
			return false
		}
		puts = puts || c.Value != nil
	}
	return puts
}

func contains(events []Event, c Change) bool {
	for _, e := range events {
		if e.Key == c.Key {
			return (e.Value == nil) == (c.Value == nil) && sameValue(e.Value, c.Value)
		}
	}
	return false
}

// sameValue reports whether two values are the same JSON, however it is written.
func sameValue(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, ok1 := decoded(a)
	y, ok2 := decoded(b)
	return ok1 && ok2 && reflect.DeepEqual(x, y)
}

func decoded(v json.RawMessage) (out any, ok bool) {
	d := json.NewDecoder(bytes.NewReader(v))
	d.UseNumber()
	return out, d.Decode(&out) == nil
}
