// Package store keeps a copy of the state service's keys and groups changes
// into transactions. It does no input or output itself.
package store

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Value returns plain data in the form in which it is stored.
func Value(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data: cannot fail
	}
	return b
}

// Guard is a condition: the key has this version (0: it does not exist).
type Guard struct {
	Key     string
	Version uint64
}

// Change is a put, or a delete where Value is nil.
type Change struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Size is about what a change takes of a transaction, with a guard on its key.
func (c Change) Size() int { return 2*len(c.Key) + len(c.Value) + 200 }

// TxnBytes is how large transactions are made, below what the service takes.
const TxnBytes = 48 << 10

// Event is a change that happened at a revision.
type Event struct {
	Key   string
	Value json.RawMessage // nil: deleted
	Stamp uint64
}

// Folder is the part of a key that says what it is of: its first two parts, or the
// first where there is nothing after the second.
func Folder(key string) string {
	top, rest, _ := strings.Cut(key, "/")
	if f, _, ok := strings.Cut(rest, "/"); ok {
		return top + "/" + f
	}
	return top
}

// Outcome is what is known of a request to an outside service.
type Outcome int

// Outcomes. Unknown means that it may have been carried out or may yet be.
const (
	OK      Outcome = iota
	Refused         // surely not carried out
	Failed          // a guard did not hold, or the thing is gone
	Unknown
	Limited  // refused, as there were too many requests or changes
	TooLarge // refused for good: the service takes nothing of that size
)

// Replica is the copy. Rev is the revision up to which it is complete.
type Replica struct {
	Revision uint64
	stamps   map[string]uint64
	apply    func(Event)
	taking   *taking // a listing that is being taken
}

// taking is a listing of which the pages come one after the other, while changes go
// on to be learnt.
type taking struct {
	rev     uint64
	listed  map[string]bool
	removed map[string]uint64 // learnt since it began: older pages may still show them
}

// NewReplica returns an empty copy that hands every news to apply, once and in order per key.
func NewReplica(apply func(Event)) *Replica {
	return &Replica{stamps: map[string]uint64{}, apply: apply}
}

// Version returns a key's version in the copy, 0 if it does not exist.
func (r *Replica) Version(key string) uint64 { return r.stamps[key] }

// Learn applies one event unless something newer is known of its key.
func (r *Replica) Learn(e Event) {
	if e.Stamp <= r.stamps[e.Key] {
		return
	}
	if t := r.taking; t != nil && e.Value == nil {
		t.removed[e.Key] = e.Stamp
	}
	if e.Value == nil {
		if _, ok := r.stamps[e.Key]; !ok {
			return
		}
		delete(r.stamps, e.Key)
	} else {
		r.stamps[e.Key] = e.Stamp
	}
	r.apply(e)
}

// Advance applies what a watch answered: all changes after the given revision up to rev.
func (r *Replica) Advance(after, rev uint64, events []Event) {
	if after > r.Revision {
		return // a gap: the copy was taken anew meanwhile
	}
	for _, e := range events {
		if e.Stamp > r.Revision {
			r.Learn(e)
		}
	}
	r.Revision = max(r.Revision, rev)
}

// Begin begins to take a full listing, of which the first page was read at rev. From
// then on watches go on from there, while further pages come.
func (r *Replica) Begin(rev uint64) {
	r.taking = &taking{rev: rev, listed: map[string]bool{}, removed: map[string]uint64{}}
	r.Revision = rev
}

// Page takes a part of the listing.
func (r *Replica) Page(items []Event) {
	t := r.taking
	if t == nil {
		return
	}
	for _, e := range items {
		t.listed[e.Key] = true
		if e.Stamp > t.removed[e.Key] {
			r.Learn(e)
		}
	}
}

// End ends the listing: keys that it lacks are gone unless the copy knows that they
// were written later.
func (r *Replica) End() {
	t := r.taking
	if t == nil {
		return
	}
	r.taking = nil
	for k, s := range r.stamps {
		if !t.listed[k] && s <= t.rev {
			delete(r.stamps, k)
			r.apply(Event{Key: k, Stamp: t.rev})
		}
	}
}

// Keys returns how many keys the copy holds.
func (r *Replica) Keys() int { return len(r.stamps) }

// Recover takes a full listing of a service that went back behind the copy. Every
// version is as listed, whatever was known, and every value is applied, as the service may
// have given out a version a second time; the keys to keep are not, as the copy knows
// better of them.
func (r *Replica) Recover(rev uint64, items []Event, keep map[string]bool) {
	old := r.stamps
	r.taking = nil
	r.stamps = make(map[string]uint64, len(items))
	for _, e := range items {
		r.stamps[e.Key] = e.Stamp
		if !keep[e.Key] {
			r.apply(e)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(old)) {
		if _, listed := r.stamps[k]; !listed && !keep[k] {
			r.apply(Event{Key: k, Stamp: rev})
		}
	}
	r.Revision = rev
}

// Put takes what a transaction of this node's has stored at a revision, also where
// the service has given out revisions a second time.
func (r *Replica) Put(e Event) {
	r.stamps[e.Key] = e.Stamp
	r.apply(e)
}

// Write is one group of changes that go together.
type Write struct {
	Guards   []Guard
	Changes  []Change
	Deferred bool // goes only when nothing else waits
	First    bool // goes ahead of all that waits
	// Done is told the outcome, and the revision where it is OK.
	Done func(o Outcome, rev uint64)
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

// WriteQueue queues writes and has one transaction under way at a time.
type WriteQueue struct {
	MaxOps   int
	MaxBytes int
	MaxQueue int
	Rate     float64 // changes a second

	queue   []*Write
	late    []*Write
	current *Txn
	credit  float64
	last    units.Microseconds
	holdOff units.Microseconds
	usual   units.Microseconds // how long answers take, smoothed; 0: none has come
}

// Add queues a write; it reports false when the queue is full.
func (l *WriteQueue) Add(w *Write) bool {
	if len(l.queue)+len(l.late) >= l.MaxQueue {
		return false
	}
	switch {
	case w.Deferred:
		l.late = append(l.late, w)
	case w.First:
		n := 0
		for n < len(l.queue) && l.queue[n].First {
			n++
		}
		l.queue = slices.Insert(l.queue, n, w)
	default:
		l.queue = append(l.queue, w)
	}
	return true
}

// Len returns how many writes wait or are under way.
func (l *WriteQueue) Len() int {
	n := len(l.queue) + len(l.late)
	if l.current != nil {
		n += len(l.current.writes)
	}
	return n
}

// Capacity returns how many late writes may be added so that they go with the next
// transaction: whoever has many to make makes them only then, so that what is
// written is as it is then, and several changes of a key are one.
func (l *WriteQueue) Capacity(now units.Microseconds) int {
	if l.current != nil || now < l.holdOff {
		return 0
	}
	return max(0, min(l.MaxOps, int(l.funds(now)))-len(l.queue)-len(l.late))
}

// funds is how many changes may be sent now.
func (l *WriteQueue) funds(now units.Microseconds) float64 {
	return min(l.credit+l.Rate*(now-l.last).Seconds(), max(float64(l.MaxOps), l.Rate))
}

// Next returns the next transaction to send, or nil.
func (l *WriteQueue) Next(now units.Microseconds) *Txn {
	l.credit, l.last = l.funds(now), now
	if l.current != nil || now < l.holdOff {
		return nil
	}
	from := &l.queue
	if len(l.queue) == 0 {
		from = &l.late
	}
	t := &Txn{}
	guards := map[string]uint64{}
	touched := map[string]bool{}
	size := 0
	for len(*from) > 0 {
		w := (*from)[0]
		n, clash := 0, false
		for _, c := range w.Changes {
			n += c.Size()
			clash = clash || touched[c.Key]
		}
		for _, g := range w.Guards {
			s, ok := guards[g.Key]
			clash = clash || (ok && s != g.Version)
		}
		if len(t.writes) > 0 && (clash || len(t.Changes)+len(w.Changes) > l.MaxOps || size+n > l.MaxBytes ||
			float64(len(t.Changes)+len(w.Changes)) > l.credit || len(guards)+len(w.Guards) > 4*l.MaxOps) {
			break
		}
		if len(t.writes) == 0 && float64(len(w.Changes)) > l.credit {
			return nil
		}
		*from = (*from)[1:]
		if len(*from) == 0 {
			from = &l.late
		}
		t.writes = append(t.writes, w)
		size += n
		for _, c := range w.Changes {
			touched[c.Key] = true
			t.Changes = append(t.Changes, c)
		}
		for _, g := range w.Guards {
			if _, ok := guards[g.Key]; !ok {
				guards[g.Key] = g.Version
				t.Guards = append(t.Guards, g)
			}
		}
	}
	if len(t.writes) == 0 {
		return nil
	}
	l.credit -= float64(len(t.Changes))
	t.sent = now
	l.current = t
	return t
}

// Finish takes the outcome of the transaction under way. Writes whose guards
// failed are told so; the others of that transaction go again, ahead of the
// queue. After a refusal the next transaction waits for a moment. Where the
// service took no transaction of that size, its writes go again in smaller ones;
// one that is too large by itself is told so, and never sent again as it is.
func (l *WriteQueue) Finish(now units.Microseconds, o Outcome, rev uint64, failed []string) {
	if l.current == nil {
		return
	}
	if o == OK || o == Failed {
		l.took(now - l.current.sent)
	}
	l.settle(now, o, rev, failed)
}

// settle tells the writes of the transaction under way its outcome, or queues them again.
func (l *WriteQueue) settle(now units.Microseconds, o Outcome, rev uint64, failed []string) {
	t := l.current
	l.current = nil
	if o == Refused || o == Limited {
		l.holdOff = now + 300_000
	}
	split := o == TooLarge && len(t.writes) > 1
	if split {
		l.MaxOps, l.MaxBytes = max(1, len(t.Changes)/2), max(l.MaxBytes/2, 1<<10)
	}
	bad := map[string]bool{}
	for _, k := range failed {
		bad[k] = true
	}
	var again, late []*Write
	var tell []func()
	for _, w := range t.writes {
		spared := o == Failed && len(failed) > 0 && !slices.ContainsFunc(w.Guards, func(g Guard) bool { return bad[g.Key] })
		switch {
		case !split && !spared:
			tell = append(tell, func() { w.Done(o, rev) })
		case w.Deferred:
			late = append(late, w)
		default:
			again = append(again, w)
		}
	}
	l.queue, l.late = append(again, l.queue...), append(late, l.late...)
	for _, f := range tell {
		f()
	}
}

// Clear drops everything that waits, telling each that it was refused. What
// is under way still gets its outcome.
func (l *WriteQueue) Clear() {
	q := append(l.queue, l.late...)
	l.queue, l.late = nil, nil
	for _, w := range q {
		w.Done(Refused, 0)
	}
}
