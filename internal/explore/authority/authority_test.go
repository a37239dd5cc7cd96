package authority

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Action] {
	return explore.Search(func() explore.World[Action] { return New(o) }, explore.Options{Depth: depth})
}

// TestSingleOwner checks all traces of up to six actions: two controllers never own the shard at the same time.
// "shalestage explore" searches deeper; docs/results.md has the number of states that it visited.
func TestSingleOwner(t *testing.T) {
	if r := search(Options{Mail: 2, Crashes: 1}, 6); r.Violation != "" || r.Depth != 6 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestSingleOwnerAlone checks the same, with up to seven actions, where one controller may end a membership
// without the others' votes.
func TestSingleOwnerAlone(t *testing.T) {
	if r := search(Options{Mail: 1, Crashes: 1, Alone: true}, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestSingleOwnerUnserved checks the same, with up to seven actions, where the others grant peer leases as in
// an outage of the state service, though it serves them: also to a membership whose record they have seen
// deleted.
func TestSingleOwnerUnserved(t *testing.T) {
	for _, o := range []Options{{Mail: 1, Crashes: 1, Alone: true, Unserved: true}, {Mail: 1, Crashes: 1, Unserved: true}} {
		if r := search(o, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
			t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
		}
	}
}

// TestMutationsFound checks that the search finds a violation for each mutation, and that its trace is as
// short as possible.
func TestMutationsFound(t *testing.T) {
	for f, actions := range map[Mutation]int{SingleVote: 5, LongLease: 5, UnguardedAssignment: 5, FastClock: 6, VoteAfterRestart: 7, LeaseFromGrant: 7, StaleMembers: 8, EarlyExpiry: 7, MajorityAsAll: 7, LeaseAfterVote: 7} {
		o := Options{Mutation: f, Mail: 2, Crashes: 1}
		if f == EarlyExpiry || f == MajorityAsAll || f == LeaseAfterVote {
			o = Options{Mutation: f, Alone: true}
		}
		r := search(o, 10)
		if r.Violation == "" || len(r.Counterexample) != actions {
			t.Errorf("%s: %q after %d actions, want %d", f, r.Violation, len(r.Counterexample), actions)
			continue
		}
		if lines := FormatTrace(o, r.Counterexample); len(lines) != actions {
			t.Errorf("%s: the trace has %d lines", f, len(lines))
		}
	}
}
