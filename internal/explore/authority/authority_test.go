package authority

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Move] {
	return explore.Search(func() explore.World[Move] { return New(o) }, explore.Options{Depth: depth})
}

// TestOneHolder visits all histories of a few moves: no two controllers hold the block. A
// longer search is "shalestage explore"; docs/results.md has what it visited.
func TestOneHolder(t *testing.T) {
	if r := search(Options{Mail: 2, Crashes: 1}, 6); r.Violation != "" || r.Depth != 6 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestAlone visits those in which one controller may end a seat without the others' help.
func TestAlone(t *testing.T) {
	if r := search(Options{Mail: 1, Crashes: 1, Alone: true}, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestUnserved visits those in which the others promise as in an outage of the state service,
// also to a seat whose record they have seen go, though it serves them: whatever it does, no
// two controllers hold the block.
func TestUnserved(t *testing.T) {
	for _, o := range []Options{{Mail: 1, Crashes: 1, Alone: true, Unserved: true}, {Mail: 1, Crashes: 1, Unserved: true}} {
		if r := search(o, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
			t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
		}
	}
}

// TestPlantedFaults has the search find mistakes, each by a history of as few moves as it
// takes.
func TestPlantedFaults(t *testing.T) {
	for f, moves := range map[Fault]int{Minority: 5, LongLease: 5, Unguarded: 5, FastClock: 6, Forgetful: 7, FromAnswer: 7, Torn: 8, Hasty: 7, Few: 7, TwoFaced: 7} {
		o := Options{Fault: f, Mail: 2, Crashes: 1}
		if f == Hasty || f == Few || f == TwoFaced {
			o = Options{Fault: f, Alone: true}
		}
		r := search(o, 10)
		if r.Violation == "" || len(r.Counterexample) != moves {
			t.Errorf("%s: %q after %d moves, want %d", f, r.Violation, len(r.Counterexample), moves)
			continue
		}
		if lines := Tell(o, r.Counterexample); len(lines) != moves {
			t.Errorf("%s is told in %d lines", f, len(lines))
		}
	}
}
