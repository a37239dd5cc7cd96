// Package eventqueue implements the event queue of a discrete event simulation: a priority queue of
// events by due time.
package eventqueue

import (
	"container/heap"

	"shalestage.example/shalestage/internal/core/units"
)

// Queue holds events until they are due. Events that are due at the same time are returned in the order
// in which they were added, so that a seed always produces the same history. The zero value is an empty
// queue.
type Queue[T any] struct {
	entries  entries[T]
	sequence uint64
}

type entry[T any] struct {
	at       units.Microseconds
	sequence uint64 // breaks ties; incremented for every added event
	event    T
}

// entries implements heap.Interface; the earliest event is first.
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
	old[len(old)-1] = entry[T]{} // allows the event to be garbage collected
	*e = old[:len(old)-1]
	return last
}

// Add schedules an event. An event whose time has passed is due immediately.
func (q *Queue[T]) Add(at units.Microseconds, event T) {
	q.sequence++
	heap.Push(&q.entries, entry[T]{at, q.sequence, event})
}

// Next returns the time at which the first event is due, or units.MaxTime if the queue is empty.
func (q *Queue[T]) Next() units.Microseconds {
	if len(q.entries) == 0 {
		return units.MaxTime
	}
	return q.entries[0].at
}

// Due removes and returns the first event that is due by now, with its scheduled time. ok is false if
// none is due.
func (q *Queue[T]) Due(now units.Microseconds) (at units.Microseconds, event T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return 0, event, false
	}
	first := heap.Pop(&q.entries).(entry[T])
	return first.at, first.event, true
}
