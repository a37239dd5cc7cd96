package store

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Write is one group of changes that go together.
type Write struct {
	Guards   []Guard
	Changes  []Change
	Deferred bool // goes only when nothing else waits
	First    bool // goes ahead of all that waits
	// Done is told the outcome once, and the revision where it is OK.
	Done func(outcome Outcome, revision uint64)
}

// size is about how many bytes the write takes of a transaction.
func (w *Write) size() int {
	size := 0
	for _, change := range w.Changes {
		size += change.Size()
	}
	return size
}

// Txn is a transaction made of several writes.
type Txn struct {
	Guards  []Guard
	Changes []Change
	Known   uint64 // the highest revision that was known when it was sent
	writes  []*Write
	sent    units.Microseconds
	proof   uint64 // the revision that proves that it was carried out; 0: none yet
	doubted bool   // revisions prove nothing of it
	reads   int    // made for it as its answer was late
}

const (
	// pauseAfterRefusal is how long nothing is sent after a refusal.
	pauseAfterRefusal = 300 * units.Second / 1000
	// minTxnBytes bounds how far transactions are made smaller where the service takes none
	// of their size.
	minTxnBytes = 1 << 10
	// guardsPerOp bounds the guards of a transaction, which cost the service less than changes.
	guardsPerOp = 4
)

// WriteQueue queues writes and has one transaction under way at a time.
type WriteQueue struct {
	MaxOps   int
	MaxBytes int
	MaxQueue int
	Rate     float64 // changes a second

	queue       []*Write
	deferred    []*Write
	current     *Txn    // under way; nil: none is
	credit      float64 // changes that may be sent, as of creditAt
	creditAt    units.Microseconds
	pausedUntil units.Microseconds
	latency     units.Microseconds // how long answers take, smoothed; 0: none has come
}

// Add queues a write; it reports false when the queue is full.
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

// Len returns how many writes wait or are under way.
func (q *WriteQueue) Len() int {
	count := len(q.queue) + len(q.deferred)
	if q.current != nil {
		count += len(q.current.writes)
	}
	return count
}

// Capacity returns how many deferred writes may be added so that they go with the next
// transaction: whoever has many to make makes them only then, so that what is
// written is as it is then, and several changes of a key are one.
func (q *WriteQueue) Capacity(now units.Microseconds) int {
	if q.current != nil || now < q.pausedUntil {
		return 0
	}
	return max(0, min(q.MaxOps, int(q.creditNow(now)))-len(q.queue)-len(q.deferred))
}

// creditNow is how many changes may be sent now.
func (q *WriteQueue) creditNow(now units.Microseconds) float64 {
	return min(q.credit+q.Rate*(now-q.creditAt).Seconds(), max(float64(q.MaxOps), q.Rate))
}

// Next returns the next transaction to send, or nil. Deferred writes fill it up where nothing
// else waits any more.
func (q *WriteQueue) Next(now units.Microseconds) *Txn {
	q.credit, q.creditAt = q.creditNow(now), now
	if q.current != nil || now < q.pausedUntil || len(q.queue)+len(q.deferred) == 0 {
		return nil
	}
	assembly := assembly{queue: q, txn: &Txn{}, guarded: map[string]uint64{}, changed: map[string]bool{}}
	for assembly.takeFrom(&q.queue) {
	}
	for len(q.queue) == 0 && assembly.takeFrom(&q.deferred) {
	}
	txn := assembly.txn
	if len(txn.writes) == 0 {
		return nil
	}
	q.credit -= float64(len(txn.Changes))
	txn.sent = now
	q.current = txn
	return txn
}

// assembly puts writes together into a transaction.
type assembly struct {
	queue   *WriteQueue
	txn     *Txn
	guarded map[string]uint64 // versions of its guards, by key
	changed map[string]bool
	size    int // bytes
}

// takeFrom moves the first of some writes into the transaction, and reports false where there is
// none or it does not fit. A first write that is larger than the limits goes alone.
func (a *assembly) takeFrom(writes *[]*Write) bool {
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

// exceeds reports whether a transaction with one more write is over a limit.
func (a *assembly) exceeds(write *Write) bool {
	changes := len(a.txn.Changes) + len(write.Changes)
	return changes > a.queue.MaxOps ||
		float64(changes) > a.queue.credit ||
		a.size+write.size() > a.queue.MaxBytes ||
		len(a.guarded)+len(write.Guards) > guardsPerOp*a.queue.MaxOps
}

// conflicts reports whether a write changes the same key as an earlier one, or expects another
// version of a key.
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

// Finish takes the outcome of the transaction under way. Writes whose guards
// failed are told so; the others of that transaction go again, ahead of the
// queue. After a refusal the next transaction waits for a moment. Where the
// service took no transaction of that size, its writes go again in smaller ones;
// one that is too large by itself is told so, and never sent again as it is.
func (q *WriteQueue) Finish(now units.Microseconds, outcome Outcome, revision uint64, failed []string) {
	if q.current == nil {
		return
	}
	if outcome == OK || outcome == Failed {
		q.noteLatency(now - q.current.sent)
	}
	q.settle(now, outcome, revision, failed)
}

// settle tells the writes of the transaction under way its outcome, or queues them again. They
// are told last: what they do may add further writes.
func (q *WriteQueue) settle(now units.Microseconds, outcome Outcome, revision uint64, failed []string) {
	txn := q.current
	q.current = nil
	if outcome == Refused || outcome == Limited {
		q.pausedUntil = now + pauseAfterRefusal
	}
	split := outcome == TooLarge && len(txn.writes) > 1
	if split {
		q.MaxOps, q.MaxBytes = max(1, len(txn.Changes)/2), max(q.MaxBytes/2, minTxnBytes)
	}
	var told, again, againDeferred []*Write
	for _, write := range txn.writes {
		retried := split || outcome == Failed && write.spared(failed)
		switch {
		case !retried:
			told = append(told, write)
		case write.Deferred:
			againDeferred = append(againDeferred, write)
		default:
			again = append(again, write)
		}
	}
	q.queue, q.deferred = append(again, q.queue...), append(againDeferred, q.deferred...)
	for _, write := range told {
		write.Done(outcome, revision)
	}
}

// spared reports whether a transaction surely failed by the guards of other writes, where it is
// known of which keys these were.
func (w *Write) spared(failed []string) bool {
	return len(failed) > 0 && !slices.ContainsFunc(w.Guards, func(guard Guard) bool { return slices.Contains(failed, guard.Key) })
}

// Clear drops everything that waits, telling each that it was refused. What
// is under way still gets its outcome.
func (q *WriteQueue) Clear() {
	dropped := slices.Concat(q.queue, q.deferred)
	q.queue, q.deferred = nil, nil
	for _, write := range dropped {
		write.Done(Refused, 0)
	}
}
