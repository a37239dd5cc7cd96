package store

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Write is a group of guards and changes that are always part of the same transaction.
type Write struct {
	Guards   []Guard
	Changes  []Change
	Deferred bool // sent only when no other write is queued
	First    bool // queued ahead of all writes without First
	// Done is called once with the outcome, and with the revision if the outcome is OK.
	Done func(outcome Outcome, revision uint64)
}

// size returns the approximate size in bytes of the write in a transaction.
func (w *Write) size() int {
	size := 0
	for _, change := range w.Changes {
		size += change.Size()
	}
	return size
}

// Txn is a transaction that consists of one or more writes.
type Txn struct {
	Guards            []Guard
	Changes           []Change
	KnownRevision     uint64 // highest revision known when it was sent
	writes            []*Write
	sentAt            units.Microseconds
	provenBy          uint64 // revision that proves that it was committed; 0: none yet
	rollbackSuspected bool   // revisions prove nothing about it
	reads             int    // number of reads made because its response was late
}

const (
	// pauseAfterRefusal is how long the queue sends nothing after a refusal.
	pauseAfterRefusal = 300 * units.Second / 1000
	// minTxnBytes is the lower bound of MaxBytes when the queue reduces it because the service refused a
	// transaction as too large.
	minTxnBytes = 1 << 10
	// guardsPerOp limits the guards of a transaction to this multiple of MaxOps. Guards cost the service less
	// than changes.
	guardsPerOp = 4
)

// WriteQueue queues writes and batches them into transactions. At most one transaction is in flight at a
// time.
type WriteQueue struct {
	MaxOps   int     // changes of one transaction
	MaxBytes int     // bytes of one transaction
	MaxQueue int     // queued writes
	Rate     float64 // changes per second

	queue       []*Write
	deferred    []*Write
	current     *Txn    // in flight; nil: none
	credit      float64 // changes that may be sent, as of creditAt
	creditAt    units.Microseconds
	pausedUntil units.Microseconds
	latency     units.Microseconds // moving average of response times; 0: no response yet
}

// Add queues a write. It reports false if the queue is full.
func (q *WriteQueue) Add(write *Write) bool {
	if len(q.queue)+len(q.deferred) >= q.MaxQueue {
		return false
	}
	switch {
	case write.Deferred:
		q.deferred = append(q.deferred, write)
	case write.First:
		position := 0
		for position < len(q.queue) && q.queue[position].First {
			position++
		}
		q.queue = slices.Insert(q.queue, position, write)
	default:
		q.queue = append(q.queue, write)
	}
	return true
}

// Len returns the number of writes that are queued or in flight.
func (q *WriteQueue) Len() int {
	count := len(q.queue) + len(q.deferred)
	if q.current != nil {
		count += len(q.current.writes)
	}
	return count
}

// Capacity returns how many deferred writes can be added and still be part of the next transaction. A
// caller with many writes creates only that many at a time, so that each has the latest value, and several
// changes of one key become one write.
func (q *WriteQueue) Capacity(now units.Microseconds) int {
	if q.current != nil || now < q.pausedUntil {
		return 0
	}
	return max(0, min(q.MaxOps, int(q.currentCredit(now)))-len(q.queue)-len(q.deferred))
}

// currentCredit returns how many changes may be sent now by the rate limit.
func (q *WriteQueue) currentCredit(now units.Microseconds) float64 {
	return min(q.credit+q.Rate*(now-q.creditAt).Seconds(), max(float64(q.MaxOps), q.Rate))
}

// Next returns the next transaction to send, or nil. Deferred writes are added only if all other
// queued writes are part of it.
func (q *WriteQueue) Next(now units.Microseconds) *Txn {
	q.credit, q.creditAt = q.currentCredit(now), now
	if q.current != nil || now < q.pausedUntil || len(q.queue)+len(q.deferred) == 0 {
		return nil
	}
	assembly := assembly{queue: q, txn: &Txn{}, guarded: map[string]uint64{}, changed: map[string]bool{}}
	for assembly.addFrom(&q.queue) {
	}
	for len(q.queue) == 0 && assembly.addFrom(&q.deferred) {
	}
	txn := assembly.txn
	if len(txn.writes) == 0 {
		return nil
	}
	q.credit -= float64(len(txn.Changes))
	txn.sentAt = now
	q.current = txn
	return txn
}

// assembly combines writes into a transaction.
type assembly struct {
	queue   *WriteQueue
	txn     *Txn
	guarded map[string]uint64 // version that a guard requires, by key
	changed map[string]bool
	size    int // bytes
}

// addFrom moves the first of writes into the transaction. It reports false if there is none or if it does not
// fit. A write that alone exceeds the limits becomes a transaction of its own.
func (a *assembly) addFrom(writes *[]*Write) bool {
	if len(*writes) == 0 {
		return false
	}
	write := (*writes)[0]
	if len(a.txn.writes) == 0 {
		if float64(len(write.Changes)) > a.queue.credit {
			return false
		}
	} else if a.exceeds(write) || a.conflicts(write) {
		return false
	}
	*writes = (*writes)[1:]
	a.add(write)
	return true
}

// exceeds reports whether the transaction would exceed a limit with one more write.
func (a *assembly) exceeds(write *Write) bool {
	changes := len(a.txn.Changes) + len(write.Changes)
	return changes > a.queue.MaxOps ||
		float64(changes) > a.queue.credit ||
		a.size+write.size() > a.queue.MaxBytes ||
		len(a.guarded)+len(write.Guards) > guardsPerOp*a.queue.MaxOps
}

// conflicts reports whether a write changes the same key as an earlier write of the transaction, or has a
// guard that requires another version of the same key.
func (a *assembly) conflicts(write *Write) bool {
	for _, change := range write.Changes {
		if a.changed[change.Key] {
			return true
		}
	}
	for _, guard := range write.Guards {
		if version, ok := a.guarded[guard.Key]; ok && version != guard.Version {
			return true
		}
	}
	return false
}

func (a *assembly) add(write *Write) {
	a.txn.writes = append(a.txn.writes, write)
	a.size += write.size()
	for _, change := range write.Changes {
		a.changed[change.Key] = true
		a.txn.Changes = append(a.txn.Changes, change)
	}
	for _, guard := range write.Guards {
		if _, ok := a.guarded[guard.Key]; !ok {
			a.guarded[guard.Key] = guard.Version
			a.txn.Guards = append(a.txn.Guards, guard)
		}
	}
}

// Finish completes the transaction in flight with the outcome of its request. If guards failed, only
// their writes complete with Failed; the other writes of the transaction are queued again, ahead of all
// others. After a refusal the queue pauses for pauseAfterRefusal. If the transaction was too large, its
// writes are queued again for smaller transactions; a write that is too large on its own completes with
// TooLarge and is not sent again.
func (q *WriteQueue) Finish(now units.Microseconds, outcome Outcome, revision uint64, failed []string) {
	if q.current == nil {
		return
	}
	if outcome == OK || outcome == Failed {
		q.observeLatency(now - q.current.sentAt)
	}
	q.complete(now, outcome, revision, failed)
}

// complete completes or requeues each write of the transaction in flight. It calls Done last, because a
// callback may add further writes.
func (q *WriteQueue) complete(now units.Microseconds, outcome Outcome, revision uint64, failed []string) {
	txn := q.current
	q.current = nil
	if outcome == Refused || outcome == RateLimited {
		q.pausedUntil = now + pauseAfterRefusal
	}
	split := outcome == TooLarge && len(txn.writes) > 1
	if split {
		q.MaxOps, q.MaxBytes = max(1, len(txn.Changes)/2), max(q.MaxBytes/2, minTxnBytes)
	}
	var completed, requeued, requeuedDeferred []*Write
	for _, write := range txn.writes {
		retry := split || outcome == Failed && write.unaffected(failed)
		switch {
		case !retry:
			completed = append(completed, write)
		case write.Deferred:
			requeuedDeferred = append(requeuedDeferred, write)
		default:
			requeued = append(requeued, write)
		}
	}
	q.queue, q.deferred = append(requeued, q.queue...), append(requeuedDeferred, q.deferred...)
	for _, write := range completed {
		write.Done(outcome, revision)
	}
}

// unaffected reports whether a transaction certainly failed because of the guards of other writes. failed are
// the keys whose guards failed; it is empty if they are not known.
func (w *Write) unaffected(failed []string) bool {
	return len(failed) > 0 && !slices.ContainsFunc(w.Guards, func(guard Guard) bool { return slices.Contains(failed, guard.Key) })
}

// Clear drops all queued writes and completes them with Refused. The transaction in flight still completes
// with its own outcome.
func (q *WriteQueue) Clear() {
	dropped := slices.Concat(q.queue, q.deferred)
	q.queue, q.deferred = nil, nil
	for _, write := range dropped {
		write.Done(Refused, 0)
	}
}
