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
)

type exploreCmd struct {
	Depth   int           `default:"9" help:"Moves in a history at most."`
	Within  time.Duration `default:"10m" help:"Stop after this time."`
	Mail    int           `default:"2" help:"Messages under way at once."`
	Crashes int           `default:"1" help:"Controllers that end, in a history."`
	Twice   int           `default:"0" help:"Messages that come twice, in a history."`
	Fault   string        `default:"" help:"Plant a mistake (${faults}), to see that it is found."`
}

// Help implements kong's long help.
func (*exploreCmd) Help() string {
	return "Three controllers, a state service, messages that are late or lost, processes that end, clocks that run off: every order of what can happen, as far as the depth goes, with the service's own seats, promises and permits. Exit status: 0 no two hold a block at once, 1 they do, and the shortest history is printed; 2 unusable input."
}

// Run searches.
func (o *exploreCmd) Run() error {
	opt := authority.Options{Fault: authority.Fault(o.Fault), Mail: o.Mail, Crashes: o.Crashes, Twice: o.Twice}
	if opt.Fault != authority.None && !slices.Contains(authority.Faults, opt.Fault) {
		return unusable(fmt.Errorf("--fault: want one of %v, got %q", authority.Faults, o.Fault))
	}
	if o.Depth < 1 || o.Depth > 100 || o.Mail < 1 || o.Mail > 8 {
		return unusable(errors.New("want --depth from 1 to 100 and --mail from 1 to 8"))
	}
	debug.SetGCPercent(400) // a state is played and forgotten
	r := explore.Search(func() explore.World[authority.Move] { return authority.New(opt) }, explore.Options{Depth: o.Depth, Within: o.Within,
		Say: func(depth, states int) { fmt.Fprintf(os.Stderr, "depth %d: %d states\n", depth, states) }})
	fmt.Printf("%d states by %d moves, all histories of up to %d moves, in %.1f s\n", r.States, r.Moves, r.Depth, r.Took.Seconds())
	if r.Broken == "" {
		return nil
	}
	for _, l := range authority.Tell(opt, r.History) {
		fmt.Println(l)
	}
	return exit{exitFailed, fmt.Errorf("after %d moves %s", len(r.History), r.Broken)}
}
