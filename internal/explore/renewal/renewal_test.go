package renewal

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(options Options, depth int) explore.Result[Action] {
	return explore.Search(func() explore.World[Action] { return New(options) }, explore.Options{Depth: depth})
}

// TestLeaseRenewalsSafe checks all traces of up to eleven actions with at most two messages in flight.
func TestLeaseRenewalsSafe(t *testing.T) {
	const depth = 11
	r := search(Options{Owners: 3, Mail: 2}, depth)
	t.Logf("%d states, %v", r.States, r.Elapsed)
	if r.Violation != "" || r.Depth != depth || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s", r.States, r.Depth, r.Violation)
		for _, line := range FormatTrace(Options{Owners: 3, Mail: 2}, r.Counterexample) {
			t.Log(line)
		}
	}
}

// TestMutationsFound checks that the search finds a violation for each mutation.
func TestMutationsFound(t *testing.T) {
	for _, mutation := range Mutations {
		options := Options{Mutation: mutation, Owners: 3, Mail: 2}
		r := search(options, 11)
		t.Logf("%s: %d actions, %d states: %s", mutation, len(r.Counterexample), r.States, r.Violation)
		if r.Violation == "" {
			t.Errorf("%s is not found in %d states", mutation, r.States)
			continue
		}
		for _, line := range FormatTrace(options, r.Counterexample) {
			t.Log(line)
		}
	}
}
