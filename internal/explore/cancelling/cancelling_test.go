package cancelling

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Move] {
	return explore.Search(func() explore.World[Move] { return New(o) }, explore.Options{Depth: depth})
}

// TestCancellationsKnown visits all histories of a few moves: a holder that does not know of
// a cancellation no longer answers workers once that has been told for too long. A longer
// search is "shalestage explore --world cancelling"; docs/results.md has what it visited.
func TestCancellationsKnown(t *testing.T) {
	for mail, depth := range map[int]int{1: 9, 2: 6} {
		if r := search(Options{Jobs: 2, Mail: mail, Crashes: 1}, depth); r.Violation != "" || r.Depth != depth || r.States < 2000 {
			t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
		}
	}
}

// TestPlantedFaults has the search find mistakes, each by a history of as few moves as it
// takes.
func TestPlantedFaults(t *testing.T) {
	for _, f := range Faults {
		o := Options{Fault: f, Jobs: 2, Mail: 1}
		if f == Forgetful {
			o.Jobs, o.Crashes = 1, 1
		}
		r := search(o, 10)
		t.Logf("%s: %d moves, %d states: %s", f, len(r.Counterexample), r.States, r.Violation)
		if r.Violation == "" {
			t.Errorf("%s is not found in %d states", f, r.States)
			continue
		}
		if lines := Tell(o, r.Counterexample); len(lines) != len(r.Counterexample) {
			t.Errorf("%s is told in %d lines", f, len(lines))
		}
	}
}
