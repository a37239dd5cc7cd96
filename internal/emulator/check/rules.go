package check

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/units"
)

// The rules: those of the protocol and of the page on dependencies between jobs, and some of our
// own: nothing accepted is lost, a shard has one owner, nothing is sent that the state service would
// refuse for its size, no job is accepted that can never run, none is left waiting while a machine
// has capacity for it, and nobody accepts jobs by a configuration that was replaced before they were
// submitted. Reports and tests know them by these texts.
const (
	RanTwice     = "ran_twice"
	Quota        = "quota"
	WrongPlace   = "wrong_place"
	RanCancelled = "ran_cancelled"
	Forgotten    = "forgotten"
	Invented     = "invented"
	NotDone      = "not_done"
	WentBack     = "went_back"
	NothingRan   = "nothing_ran"
	TooEarly     = "too_early"
	Orphaned     = "orphaned"
	Lost         = "lost"
	TwoHolders   = "two_holders"
	TooLarge     = "too_large"
	Impossible   = "accepted_impossible"
	LeftWaiting  = "left_waiting"
	Outdated     = "outdated"
)

// Rules lists all rules.
var Rules = []string{
	RanTwice, Quota, WrongPlace, RanCancelled, Forgotten, Invented, NotDone, WentBack, NothingRan, TooEarly,
	Orphaned, Lost, TwoHolders, TooLarge, Impossible, LeftWaiting, Outdated,
}

// Violation is a broken rule, with the part of the history that concerns it.
type Violation struct {
	At      units.Microseconds
	Rule    string
	Text    string
	History []string
}

// String returns the violation on one line, without its history.
func (b Violation) String() string { return fmt.Sprintf("%.3f %s: %s", b.At.Seconds(), b.Rule, b.Text) }
