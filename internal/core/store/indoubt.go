package store

import (
	"bytes"
	"encoding/json"
	"reflect"

	"shalestage.example/shalestage/internal/core/units"
)

// A transaction without a response is in doubt: the response may be lost although the transaction was
// committed. In that case the watch delivers its changes long before the request times out. Each revision is
// made by exactly one transaction. So a revision higher than every revision known when the transaction was
// sent, with exactly its changes and values, proves that its changes are stored. This is the only reason to
// complete a transaction before its response arrives. Not having seen its changes proves nothing, because it
// may still be committed later.
//
// The revision may have been made by another transaction with the same changes: another controller stored the
// same (for example, both cancel a job), or an earlier attempt of this controller was committed late. This is
// safe because every Done callback depends on what is stored, not on who stored it. The transaction in flight
// may then still be committed later, as after any unknown outcome; its guards make that safe. The exception
// is a put attached to a lease: only the lease ties it to this process, and a watch does not show leases.
// Such a transaction is never proven.

const (
	// initialLatency is the expected latency before the first response.
	initialLatency = 10 * units.Second / 1000
	// latencySlack is added to the expected latency before a response counts as late.
	latencySlack = 10 * units.Second / 1000
	// readInterval is the time between two reads for one transaction, maxReads their maximum number.
	readInterval = units.Second / 4
	maxReads     = 3
	// latencySmoothing is the divisor of the moving average: each response moves the expected latency
	// by 1/latencySmoothing of its difference.
	latencySmoothing = 8
)

// Observe checks whether events prove that the transaction in flight was committed. The events must be
// ordered by revision, contain every change of each revision, and already be applied to the replica.
func (q *WriteQueue) Observe(events []Event) {
	txn := q.current
	if txn == nil || txn.rollbackSuspected || txn.provenBy != 0 {
		return
	}
	for len(events) > 0 {
		revision := events[0].Stamp
		count := 1
		for count < len(events) && events[count].Stamp == revision {
			count++
		}
		if txn.committedBy(events[:count]) {
			txn.provenBy = revision
			return
		}
		events = events[count:]
	}
}

// SuspectRollback reports that the state service has lost revisions that it had already returned. It may then
// assign the same revisions again, so revisions no longer prove anything about the transaction in flight.
func (q *WriteQueue) SuspectRollback() {
	if q.current != nil {
		q.current.rollbackSuspected, q.current.provenBy = true, 0
	}
}

// FinishProven completes the transaction in flight with outcome OK if it is proven to be committed and its
// response is late. It returns that transaction, or nil. The caller must drop a response that arrives later;
// see InFlight.
func (q *WriteQueue) FinishProven(now units.Microseconds) *Txn {
	txn := q.current
	if txn == nil || txn.provenBy == 0 || now < txn.sentAt+q.expectedLatency()*3/2+latencySlack {
		return nil
	}
	q.complete(now, OK, txn.provenBy, nil)
	return txn
}

// InFlight reports whether txn is the transaction in flight. Responses to any other transaction are outdated.
func (q *WriteQueue) InFlight(txn *Txn) bool { return txn != nil && q.current == txn }

// ReadDue reports whether the changes of the state service should be read now because the response to the
// transaction in flight is late and the watch has not delivered its changes. It returns true at most maxReads
// times for each transaction.
func (q *WriteQueue) ReadDue(now units.Microseconds) bool {
	txn := q.current
	if txn == nil || txn.provenBy != 0 || txn.rollbackSuspected || txn.reads == maxReads {
		return false
	}
	if now < txn.sentAt+3*q.expectedLatency()+2*latencySlack+units.Microseconds(txn.reads)*readInterval {
		return false
	}
	txn.reads++
	return true
}

// expectedLatency returns the smoothed latency, or initialLatency before the first response.
func (q *WriteQueue) expectedLatency() units.Microseconds {
	if q.latency == 0 {
		return initialLatency
	}
	return q.latency
}

// observeLatency adds a response time to the moving average. It caps very long times, so that a single slow
// response changes the average little.
func (q *WriteQueue) observeLatency(latency units.Microseconds) {
	expected := q.expectedLatency()
	q.latency = max(1, expected+(min(latency, 2*expected+latencySlack)-expected)/latencySmoothing)
}

// committedBy reports whether the events of one revision are exactly the changes of the transaction. It is
// always false for a transaction that only deletes: if its keys do not exist, it makes no revision.
func (t *Txn) committedBy(events []Event) bool {
	if len(events) != len(t.Changes) || events[0].Stamp <= t.KnownRevision {
		return false
	}
	puts := false
	for _, change := range t.Changes {
		if change.Lease != 0 || !containsChange(events, change) {
			return false
		}
		puts = puts || change.Value != nil
	}
	return puts
}

func containsChange(events []Event, change Change) bool {
	for _, event := range events {
		if event.Key == change.Key {
			return (event.Value == nil) == (change.Value == nil) && sameValue(event.Value, change.Value)
		}
	}
	return false
}

// sameValue reports whether two values are equal as JSON, regardless of formatting and key order.
func sameValue(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	x, okX := decodeJSON(a)
	y, okY := decodeJSON(b)
	return okX && okY && reflect.DeepEqual(x, y)
}

func decodeJSON(value json.RawMessage) (out any, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	err := decoder.Decode(&out)
	return out, err == nil
}
