package following

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Move] {
	return explore.Search(func() explore.World[Move] { return New(o) }, explore.Options{Depth: depth})
}

// TestFollowerKnows visits all histories of a few moves: whoever thinks that it knows all
// that a holder has started does. A longer search is "shalestage explore --world following".
func TestFollowerKnows(t *testing.T) {
	if r := search(Options{Starts: 2, Mail: 2, Lost: 2}, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestPlantedFaults has the search find mistakes.
func TestPlantedFaults(t *testing.T) {
	for _, f := range Faults {
		o := Options{Fault: f, Starts: 2, Mail: 2, Lost: 1}
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
