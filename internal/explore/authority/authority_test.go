package authority

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(f Fault, depth int) explore.Result[Move] {
	o := Options{Fault: f, Mail: 2, Crashes: 1}
	return explore.Search(func() explore.World[Move] { return New(o) }, explore.Options{Depth: depth})
}

// TestOneHolder visits all histories of a few moves: no two controllers hold the block. A
// longer search is "shalestage explore"; docs/results.md has what it visited.
func TestOneHolder(t *testing.T) {
	if r := search(None, 6); r.Broken != "" || r.Depth != 6 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Broken, r.History)
	}
}

// TestPlantedFaults has the search find mistakes, each by a history of as few moves as it
// takes.
func TestPlantedFaults(t *testing.T) {
	for f, moves := range map[Fault]int{Minority: 5, LongLease: 5, Unguarded: 5, FastClock: 6, Forgetful: 7, FromAnswer: 7, Torn: 8} {
		r := search(f, 8)
		if r.Broken == "" || len(r.History) != moves {
			t.Errorf("%s: %q after %d moves, want %d", f, r.Broken, len(r.History), moves)
			continue
		}
		if lines := Tell(Options{Fault: f, Mail: 2, Crashes: 1}, r.History); len(lines) != moves {
			t.Errorf("%s is told in %d lines", f, len(lines))
		}
	}
}
