package cancelling

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Action] {
	return explore.Search(func() explore.World[Action] { return New(o) }, explore.Options{Depth: depth})
}

// TestCancellationsKnown checks all traces of up to nine actions with at most one message in flight, and of up
// to six with at most two: an owner that does not know of a cancellation stops answering workers in time after
// the cancellation was confirmed. "shalestage explore --world cancelling" searches deeper; docs/results.md has
// the number of states that it visited.
func TestCancellationsKnown(t *testing.T) {
	for mail, depth := range map[int]int{1: 9, 2: 6} {
		if r := search(Options{Jobs: 2, Mail: mail, Crashes: 1}, depth); r.Violation != "" || r.Depth != depth || r.States < 2000 {
			t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
		}
	}
}

// TestMutationsFound checks that the search finds a violation for each mutation.
func TestMutationsFound(t *testing.T) {
	for _, f := range Mutations {
		o := Options{Mutation: f, Jobs: 2, Mail: 1}
		if f == CompleteAfterRestart {
			o.Jobs, o.Crashes = 1, 1
		}
		r := search(o, 10)
		t.Logf("%s: %d actions, %d states: %s", f, len(r.Counterexample), r.States, r.Violation)
		if r.Violation == "" {
			t.Errorf("%s is not found in %d states", f, r.States)
			continue
		}
		if lines := FormatTrace(o, r.Counterexample); len(lines) != len(r.Counterexample) {
			t.Errorf("%s: the trace has %d lines", f, len(lines))
		}
	}
}
