// Package explore visits every state of a small world that any order of its moves can
// reach, up to a depth, and finds the shortest history that breaks what must hold. A world
// is played again from its beginning for each history, so that it may be made of the
// service's own code, which knows nothing of being explored.
package explore

import (
	"hash/maphash"
	"runtime"
	"sync"
	"time"
)

// World is a world that can be moved.
type World[M any] interface {
	// Actions returns what can happen now.
	Actions() []M
	// Do lets it happen.
	Apply(m M)
	// State tells all that matters for what can happen from now on: of two worlds with
	// equal states one is visited.
	State() string
	// Broken says what is broken, or "".
	Violation() string
}

// Options bound a search.
type Options struct {
	Depth   int           // moves in a history at most
	States  int           // visited at most; 0: any number
	Within  time.Duration // 0: any time
	OnDepth func(depth, states int)
}

// Result is what was found.
type Result[M any] struct {
	States         int  // different ones that were visited
	Transitions    int  // that led to them, those to known states included
	Depth          int  // up to which all histories were visited
	Complete       bool // no state beyond that is left
	Elapsed        time.Duration
	Violation      string
	Counterexample []M // the shortest that breaks it
}

// Search visits all states breadth first, so that the first broken one has the shortest
// history.
func Search[M any](begin func() World[M], o Options) Result[M] {
	began := time.Now()
	seed := maphash.MakeSeed()
	hash := func(w World[M]) [2]uint64 {
		s := w.State()
		// Two sums of 64 bits: that two of some million states share both is out of reach.
		return [2]uint64{maphash.String(seed, s), maphash.String(seed, "\x00"+s)}
	}
	var r Result[M]
	first := begin()
	seen := map[[2]uint64]bool{hash(first): true}
	r.States = 1
	if r.Violation = first.Violation(); r.Violation != "" {
		return r
	}
	type found struct {
		sum    [2]uint64
		broken string
		path   []M
	}
	layer := [][]M{nil}
	for r.Depth < o.Depth && len(layer) > 0 {
		parts := make([][]found, len(layer))
		var wg sync.WaitGroup
		next := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for i := range next {
					parts[i] = expand(begin, layer[i], func(w World[M], path []M) found { return found{hash(w), w.Violation(), path} })
				}
			})
		}
		stopped := false
		for i := range layer {
			if o.Within > 0 && time.Since(began) > o.Within {
				stopped = true
				break
			}
			next <- i
		}
		close(next)
		wg.Wait()
		var deeper [][]M
		for _, part := range parts {
			for _, f := range part {
				r.Transitions++
				if seen[f.sum] {
					continue
				}
				seen[f.sum] = true
				r.States++
				if f.broken != "" && r.Violation == "" {
					r.Violation, r.Counterexample = f.broken, f.path
				}
				deeper = append(deeper, f.path)
			}
		}
		if r.Violation != "" || stopped {
			break
		}
		r.Depth++
		layer = deeper
		if o.OnDepth != nil {
			o.OnDepth(r.Depth, r.States)
		}
		if o.States > 0 && r.States >= o.States {
			break
		}
	}
	r.Complete = len(layer) == 0
	r.Elapsed = time.Since(began)
	return r
}

// expand plays a history once more for each move that can follow it.
func expand[M, F any](begin func() World[M], path []M, got func(w World[M], path []M) F) []F {
	replay := func() World[M] {
		w := begin()
		for _, m := range path {
			w.Apply(m)
		}
		return w
	}
	w := replay()
	moves := w.Actions()
	out := make([]F, 0, len(moves))
	for i, m := range moves {
		if i > 0 {
			w = replay()
		}
		w.Apply(m)
		longer := make([]M, len(path)+1)
		copy(longer, path)
		longer[len(path)] = m
		out = append(out, got(w, longer))
	}
	return out
}
