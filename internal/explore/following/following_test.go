package following

import (
	"testing"

	"shalestage.example/shalestage/internal/explore"
)

func search(o Options, depth int) explore.Result[Action] {
	return explore.Search(func() explore.World[Action] { return New(o) }, explore.Options{Depth: depth})
}

// TestStandbyKnowsStarts checks all traces of up to seven actions: a standby that reports a complete snapshot
// knows every start that the owner has sent. "shalestage explore --world following" searches deeper.
func TestStandbyKnowsStarts(t *testing.T) {
	if r := search(Options{Starts: 2, Mail: 2, Lost: 2}, 7); r.Violation != "" || r.Depth != 7 || r.States < 2000 {
		t.Errorf("%d states up to depth %d: %s\n%v", r.States, r.Depth, r.Violation, r.Counterexample)
	}
}

// TestRestartedStandbyKnowsStarts guards against a start that no standby knows: the last process of the standby
// has acknowledged it, and its next process has received only the beginning of the same stream: sent again, or as
// a late copy of what the last process had received.
func TestRestartedStandbyKnowsStarts(t *testing.T) {
	for name, options := range map[string]Options{
		"older release":           {Starts: 2, Mail: 2, Restarts: 1, OldStandby: true},
		"messages may come twice": {Starts: 2, Mail: 2, Restarts: 1, Copies: 1},
	} {
		if r := search(options, 10); r.Violation != "" || r.Depth != 10 || r.States < 10_000 {
			t.Errorf("%s: %d states up to depth %d: %s\n%v", name, r.States, r.Depth, r.Violation, r.Counterexample)
		}
	}
}

// restartOptions are the options that let the search find mutations that concern the standby's process.
var restartOptions = map[Mutation]Options{
	ResendFirst: {Starts: 2, Mail: 2, Restarts: 1, OldStandby: true},
	AnyProcess:  {Starts: 2, Mail: 2, Restarts: 1, Copies: 1},
}

// TestMutationsFound checks that the search finds a violation for each mutation.
func TestMutationsFound(t *testing.T) {
	for _, mutation := range Mutations {
		o, restarts := restartOptions[mutation]
		if !restarts {
			o = Options{Starts: 2, Mail: 2, Lost: 1}
		}
		o.Mutation = mutation
		r := search(o, 10)
		t.Logf("%s: %d actions, %d states: %s", mutation, len(r.Counterexample), r.States, r.Violation)
		if r.Violation == "" {
			t.Errorf("%s is not found in %d states", mutation, r.States)
			continue
		}
		if lines := FormatTrace(o, r.Counterexample); len(lines) != len(r.Counterexample) {
			t.Errorf("%s: the trace has %d lines", mutation, len(lines))
		}
	}
}
