package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"shalestage.example/shalestage/internal/explore"
	"shalestage.example/shalestage/internal/explore/authority"
	"shalestage.example/shalestage/internal/explore/cancelling"
	"shalestage.example/shalestage/internal/explore/following"
	"shalestage.example/shalestage/internal/explore/renewal"
)

type exploreCmd struct {
	World    string        `default:"authority" enum:"authority,following,cancelling,renewal" help:"Who holds a block, what a holder's follower knows, which cancellations a holder knows, or what its answers renew."`
	Depth    int           `default:"9" help:"Moves in a history at most."`
	Within   time.Duration `default:"10m" help:"Stop after this time."`
	Mail     int           `default:"2" help:"Messages under way at once."`
	Crashes  int           `default:"1" help:"Controllers that end, in a history (authority, cancelling)."`
	Twice    int           `default:"0" help:"Messages that come twice, in a history (authority, following)."`
	Alone    bool          `help:"Let one controller end a seat without the others' help (authority)."`
	Unserved bool          `help:"Let the others promise as in an outage of the state service (authority)."`
	Owners   int           `default:"3" help:"Owners one after the other (renewal)."`
	Starts   int           `default:"3" help:"Tasks that may be started (following)."`
	Jobs     int           `default:"2" help:"Cancellations (cancelling)."`
	Lost     int           `default:"2" help:"Messages and writes that are lost, or stay without an answer (following)."`
	Restarts int           `default:"1" help:"Times that the follower's process is replaced by a new one (following)."`
	Fault    string        `default:"" help:"Plant a mistake (${faults}), to see that it is found."`
}

// Help implements kong's long help.
func (*exploreCmd) Help() string {
	return "Every order of what can happen in a small world, as far as the depth goes, with the service's own code. authority: three controllers, a state service, messages that are late or lost, processes that end, clocks that run off; do two hold a block at once? following: a holder that starts tasks and its follower, which at each moment is asked what it knows; does it miss a start that was let out? cancelling: two controllers that confirm cancellations and a holder that hears of them by reads and by their word; does it answer workers for too long without knowing of one? renewal: one machine and its owners, one after the other, while a job is cancelled; does an answer renew the worker's lease and leave a cancelled task, or does an owner take a task or a lease for ended too early? Exit status: 0 nothing is broken, 1 something is, and the shortest history is printed; 2 unusable input."
}

// Run searches.
func (o *exploreCmd) Run() error {
	if o.Depth < 1 || o.Depth > 100 || o.Mail < 1 || o.Mail > 8 {
		return unusable(errors.New("want --depth from 1 to 100 and --mail from 1 to 8"))
	}
	if o.World == "following" {
		opt := following.Options{Mutation: following.Mutation(o.Fault), Starts: o.Starts, Mail: o.Mail, Lost: o.Lost, Restarts: o.Restarts, Copies: o.Twice}
		return search(o, opt.Mutation, following.Mutations, func() explore.World[following.Action] { return following.New(opt) },
			func(h []following.Action) []string { return following.FormatTrace(opt, h) })
	}
	if o.World == "cancelling" {
		opt := cancelling.Options{Mutation: cancelling.Mutation(o.Fault), Jobs: o.Jobs, Mail: o.Mail, Crashes: o.Crashes}
		return search(o, opt.Mutation, cancelling.Mutations, func() explore.World[cancelling.Action] { return cancelling.New(opt) },
			func(h []cancelling.Action) []string { return cancelling.FormatTrace(opt, h) })
	}
	if o.World == "renewal" {
		opt := renewal.Options{Mutation: renewal.Mutation(o.Fault), Owners: o.Owners, Mail: o.Mail}
		return search(o, opt.Mutation, renewal.Mutations, func() explore.World[renewal.Action] { return renewal.New(opt) },
			func(h []renewal.Action) []string { return renewal.FormatTrace(opt, h) })
	}
	opt := authority.Options{Mutation: authority.Mutation(o.Fault), Mail: o.Mail, Crashes: o.Crashes, Twice: o.Twice, Alone: o.Alone, Unserved: o.Unserved}
	return search(o, opt.Mutation, authority.Mutations, func() explore.World[authority.Action] { return authority.New(opt) },
		func(h []authority.Action) []string { return authority.FormatTrace(opt, h) })
}

// search explores a world and tells what was found.
func search[F ~string, M any](o *exploreCmd, planted F, faults []F, begin func() explore.World[M], tell func([]M) []string) error {
	if planted != "" && !slices.Contains(faults, planted) {
		return unusable(fmt.Errorf("--fault: want one of %v, got %q", faults, planted))
	}
	debug.SetGCPercent(400) // a state is played and forgotten
	r := explore.Search(begin, explore.Options{Depth: o.Depth, Within: o.Within,
		OnDepth: func(depth, states int) { fmt.Fprintf(os.Stderr, "depth %d: %d states\n", depth, states) }})
	fmt.Printf("%d states by %d moves, all histories of up to %d moves, in %.1f s\n", r.States, r.Transitions, r.Depth, r.Elapsed.Seconds())
	if r.Violation == "" {
		return nil
	}
	for _, l := range tell(r.Counterexample) {
		fmt.Println(l)
	}
	return exit{exitFailed, fmt.Errorf("after %d moves %s", len(r.Counterexample), r.Violation)}
}
