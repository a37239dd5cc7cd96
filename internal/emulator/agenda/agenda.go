// Package agenda orders things by the time at which they are due.
package agenda

import (
	"container/heap"

	"shalestage.example/shalestage/internal/core/units"
)

// Agenda holds items until they are due. Those due at the same moment come in
// the order in which they were added, so that one seed gives one history.
type Agenda[T any] struct {
	h   entries[T]
	seq uint64
}

type entry[T any] struct {
	at   units.Microseconds
	seq  uint64
	item T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int { return len(e) }
func (e entries[T]) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*e = old[:len(old)-1]
	return x
}

// Add plans an item.
func (a *Agenda[T]) Add(at units.Microseconds, item T) {
	a.seq++
	heap.Push(&a.h, entry[T]{at, a.seq, item})
}

// Next returns when the first item is due, or unit.Never.
func (a *Agenda[T]) Next() units.Microseconds {
	if len(a.h) == 0 {
		return units.Never
	}
	return a.h[0].at
}

// Due takes the first item that is due by now, with the time for which it was planned.
func (a *Agenda[T]) Due(now units.Microseconds) (at units.Microseconds, item T, ok bool) {
	if len(a.h) == 0 || a.h[0].at > now {
		return 0, item, false
	}
	e := heap.Pop(&a.h).(entry[T])
	return e.at, e.item, true
}
