package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"shalestage.example/shalestage/internal/core/units"
)

// A transaction without an answer is in doubt: the answer may be lost although the transaction
// was carried out. The watch of the copy then shows its changes, long before the request times
// out. A revision is made by one transaction, so a revision above all that were known when the
// transaction was sent, with exactly its changes and values, proves that its changes are stored.
// Nothing else ends a transaction early: that its changes are not seen proves nothing, as it may
// be carried out late.
//
// The transaction that made the revision need not be the one under way: another controller
// may have stored the same (both cancel a job), or an earlier try of this controller's came
// late. All of Done's callers act on what is stored, not on who stored it, and the one under
// way may then still be carried out later, as after any outcome that is not known: its
// guards are made for that. The exception is a put that is attached to a lease. It is this
// process's only by that lease, which a watch does not show, and is never proven.

const (
	// firstLatency is how long an answer is taken to need before any has come.
	firstLatency = 10 * units.Second / 1000
	// latencySlack is added to what answers usually need before one counts as late.
	latencySlack = 10 * units.Second / 1000
	// readEvery is the time between two reads for one transaction, maxReads their number.
	readEvery = units.Second / 4
	maxReads  = 3
	// latencySmoothing is how many answers count in the smoothed latency.
	latencySmoothing = 8
)

// Observe takes changes of the service's keys, in the order of their revisions, each
// revision whole. They must be in the copy already.
func (q *WriteQueue) Observe(events []Event) {
	txn := q.current
	if txn == nil || txn.doubted || txn.proof != 0 {
		return
	}
	for len(events) > 0 {
		revision := events[0].Stamp
		count := 1
		for count < len(events) && events[count].Stamp == revision {
			count++
		}
		if txn.made(events[:count]) {
			txn.proof = revision
			return
		}
		events = events[count:]
	}
}

// SuspectRollback says that the service has gone back behind its answers. Revisions may be given
// out again, so that they prove nothing of the transaction under way.
func (q *WriteQueue) SuspectRollback() {
	if q.current != nil {
		q.current.doubted, q.current.proof = true, 0
	}
}

// Conclude ends the transaction under way where it is proven to have been carried out and
// its answer is late. It returns that transaction, or nil. An answer that still comes is to
// be dropped, see UnderWay.
func (q *WriteQueue) Conclude(now units.Microseconds) *Txn {
	txn := q.current
	if txn == nil || txn.proof == 0 || now < txn.sent+q.usualLatency()*3/2+latencySlack {
		return nil
	}
	q.settle(now, OK, txn.proof, nil)
	return txn
}

// UnderWay reports whether a transaction is the one under way: the answer to any other
// comes too late.
func (q *WriteQueue) UnderWay(txn *Txn) bool { return txn != nil && q.current == txn }

// ReadDue reports whether the copy should be read now for the transaction under way, whose
// answer is late and which the watch has not shown. It is true a few times for each.
func (q *WriteQueue) ReadDue(now units.Microseconds) bool {
	txn := q.current
	if txn == nil || txn.proof != 0 || txn.doubted || txn.reads == maxReads {
		return false
	}
	if now < txn.sent+3*q.usualLatency()+2*latencySlack+units.Microseconds(txn.reads)*readEvery {
		return false
	}
	txn.reads++
	return true
}

// usualLatency is about how long an answer takes.
func (q *WriteQueue) usualLatency() units.Microseconds {
	if q.latency == 0 {
		return firstLatency
	}
	return q.latency
}

// noteLatency notes how long an answer has taken. One that took very long counts as less, so
// that single slow answers change little.
func (q *WriteQueue) noteLatency(latency units.Microseconds) {
	usual := q.usualLatency()
	q.latency = max(1, usual+(min(latency, 2*usual+latencySlack)-usual)/latencySmoothing)
}

// made reports whether a revision's changes are exactly those of the transaction. One that only
// deletes is never proven: where the keys are gone already it makes no revision.
func (t *Txn) made(events []Event) bool {
	if len(events) != len(t.Changes) || events[0].Stamp <= t.Known {
		return false
	}
	puts := false
	for _, change := range t.Changes {
		if change.Lease != 0 || !contains(events, change) {
			return false
		}
		puts = puts || change.Value != nil
	}
	return puts
}

func contains(events []Event, change Change) bool {
	for _, event := range events {
		if event.Key == change.Key {
			return (event.Value == nil) == (change.Value == nil) && sameValue(event.Value, change.Value)
		}
	}
	return false
}

// sameValue reports whether two values are the same JSON, however it is written.
func sameValue(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, okX := decoded(a)
	y, okY := decoded(b)
	return okX && okY && reflect.DeepEqual(x, y)
}

func decoded(value json.RawMessage) (out any, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	err := decoder.Decode(&out)
	return out, err == nil
}
