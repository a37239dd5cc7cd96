// Package eventqueue is the event queue of a discrete event simulation: events by the time at
// which they are due.
package eventqueue

import (
	"container/heap"

	"shalestage.example/shalestage/internal/core/units"
)

// Queue holds events until they are due. Those due at the same moment come in the order in
// which they were added, so that one seed gives one history. The zero value is an empty queue.
type Queue[T any] struct {
	entries  entries[T]
	sequence uint64
}

type entry[T any] struct {
	at       units.Microseconds
	sequence uint64 // breaks ties: counts up with every event added
	event    T
}

// entries is the heap below a Queue, the earliest event first.
type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // lets the event be collected
	*e = old[:len(old)-1]
	return last
}

// Add schedules an event. A time that is over already is due at once.
func (q *Queue[T]) Add(at units.Microseconds, event T) {
	q.sequence++
	heap.Push(&q.entries, entry[T]{at, q.sequence, event})
}

// Next returns when the first event is due, units.MaxTime if there is none.
func (q *Queue[T]) Next() units.Microseconds {
	if len(q.entries) == 0 {
		return units.MaxTime
	}
	return q.entries[0].at
}

// Due removes and returns the first event that is due by now, with the time for which it was
// scheduled.
func (q *Queue[T]) Due(now units.Microseconds) (at units.Microseconds, event T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return 0, event, false
	}
	first := heap.Pop(&q.entries).(entry[T])
	return first.at, first.event, true
}
