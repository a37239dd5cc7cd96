package main

import (
	"errors"
	"fmt"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/zones"
)

type zoneCmd struct {
	stateFlags
	Zone string `arg:"" optional:"" help:"A zone; without one, all words that stand are told."`
	Word string `arg:"" optional:"" help:"What is known of it: returns, gone, or clear to take a word back."`
}

// Help implements kong's long help.
func (*zoneCmd) Help() string {
	return `Tells the controllers what they cannot know of a zone that is lost.

  shalestage zone --state HOST:PORT north returns   its machines are kept however long it takes
  shalestage zone --state HOST:PORT north gone      they are returned at once, and none is rented there
  shalestage zone --state HOST:PORT north clear     the controllers go by what they hear again

Exit status: 0 stored, 1 not, 2 unusable input, as a zone that does not exist.`
}

// Run stores an operator's word.
func (o *zoneCmd) Run() error {
	c, opt := o.client()
	ctx, stop := interruptible()
	defer stop()
	items := map[string]store.Event{}
	for _, prefix := range core.OverridePrefixes { // not the jobs
		for after, more := "", true; more; {
			out, _, page, again := c.List(ctx, prefix, after, core.ListPageSize)
			if out != store.OK {
				return exit{exitFailed, errors.New("the state service does not answer")}
			}
			for _, e := range page {
				items[e.Key], after = e, e.Key
			}
			more = again
		}
	}
	words := core.OperatorOverrides(items)
	if o.Zone == "" {
		for _, w := range words {
			fmt.Printf("%-20s %s\n", w.Zone, w.Override)
		}
		return nil
	}
	word := zones.Override(strings.TrimSpace(o.Word))
	if word == "clear" {
		word = zones.NoOverride
	} else if word == zones.NoOverride {
		return unusable(fmt.Errorf("want one of %v or clear", zones.Overrides))
	}
	w, err := core.OverrideWrite(items, o.Zone, word)
	if err != nil {
		return unusable(err)
	}
	switch out, _, _ := c.Commit(ctx, &store.Txn{Guards: w.Guards, Changes: w.Changes}); out {
	case store.OK:
	case store.Failed:
		return exit{exitFailed, errors.New("somebody else has just said something of that zone; look again")}
	default:
		return exit{exitFailed, errors.New("the state service has not said whether it is stored; look again")}
	}
	if opt.Progressf != nil {
		opt.Progressf("stored; controllers that the state service serves know it now")
	}
	return nil
}
