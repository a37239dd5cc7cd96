// Package explore is an explicit-state model checker. It visits all states of a small model that any order of
// its actions can reach, up to a depth, and finds a shortest trace that violates an invariant. For each trace
// the model is replayed from its initial state. Models can therefore use the service's own code, which needs
// no support for model checking.
package explore

import (
	"hash/maphash"
	"runtime"
	"sync"
	"time"
)

// World is the state of a model.
type World[M any] interface {
	// Actions returns the actions that are possible in the current state.
	Actions() []M
	// Apply performs an action.
	Apply(m M)
	// State describes everything that future behaviour depends on. Of two worlds with equal states only one is
	// visited.
	State() string
	// Violation describes a violated invariant, or returns "" if there is none.
	Violation() string
}

// Options limit a search.
type Options struct {
	Depth   int           // maximum number of actions in a trace
	States  int           // maximum number of visited states; 0: no limit
	Within  time.Duration // maximum run time; 0: no limit
	OnDepth func(depth, states int)
}

// Result is the result of a search.
type Result[M any] struct {
	States         int  // distinct states visited
	Transitions    int  // transitions taken, also those to states visited before
	Depth          int  // depth up to which all traces were checked
	Complete       bool // all reachable states were visited
	Elapsed        time.Duration
	Violation      string
	Counterexample []M // shortest trace to the violation
}

// Search visits the states breadth first, so that the first violation found has a shortest trace.
func Search[M any](newWorld func() World[M], o Options) Result[M] {
	startTime := time.Now()
	seed := maphash.MakeSeed()
	hash := func(w World[M]) [2]uint64 {
		s := w.State()
		// Two hashes of 64 bits, because a collision of both among some millions of states is practically
		// impossible.
		return [2]uint64{maphash.String(seed, s), maphash.String(seed, "\x00"+s)}
	}
	var r Result[M]
	first := newWorld()
	visited := map[[2]uint64]bool{hash(first): true}
	r.States = 1
	if r.Violation = first.Violation(); r.Violation != "" {
		return r
	}
	type successor struct {
		hash      [2]uint64
		violation string
		path      []M
	}
	frontier := [][]M{nil}
	for r.Depth < o.Depth && len(frontier) > 0 {
		expanded := make([][]successor, len(frontier))
		var workers sync.WaitGroup
		next := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				for i := range next {
					expanded[i] = expand(newWorld, frontier[i], func(w World[M], path []M) successor { return successor{hash(w), w.Violation(), path} })
				}
			})
		}
		stopped := false
		for i := range frontier {
			if o.Within > 0 && time.Since(startTime) > o.Within {
				stopped = true
				break
			}
			next <- i
		}
		close(next)
		workers.Wait()
		var nextFrontier [][]M
		for _, successors := range expanded {
			for _, f := range successors {
				r.Transitions++
				if visited[f.hash] {
					continue
				}
				visited[f.hash] = true
				r.States++
				if f.violation != "" && r.Violation == "" {
					r.Violation, r.Counterexample = f.violation, f.path
				}
				nextFrontier = append(nextFrontier, f.path)
			}
		}
		if r.Violation != "" || stopped {
			break
		}
		r.Depth++
		frontier = nextFrontier
		if o.OnDepth != nil {
			o.OnDepth(r.Depth, r.States)
		}
		if o.States > 0 && r.States >= o.States {
			break
		}
	}
	r.Complete = len(frontier) == 0
	r.Elapsed = time.Since(startTime)
	return r
}

// expand replays a trace once for each action that can follow it, performs the action and passes the state to
// visit.
func expand[M, F any](newWorld func() World[M], path []M, visit func(w World[M], path []M) F) []F {
	replay := func() World[M] {
		w := newWorld()
		for _, m := range path {
			w.Apply(m)
		}
		return w
	}
	w := replay()
	actions := w.Actions()
	out := make([]F, 0, len(actions))
	for i, m := range actions {
		if i > 0 {
			w = replay()
		}
		w.Apply(m)
		extended := make([]M, len(path)+1)
		copy(extended, path)
		extended[len(path)] = m
		out = append(out, visit(w, extended))
	}
	return out
}
