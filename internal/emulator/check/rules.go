package check

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/units"
)

// The rules of the protocol and of dependencies between jobs, and some that go beyond them: no
// accepted job is lost, a shard has one owner, no write exceeds the size limit of the state service,
// no job is accepted that can never run, no job is left waiting while a machine has capacity for it,
// no work is left without a machine while the cloud has capacity for one, no job waits for its
// team's nominal quota while other teams exceed theirs, and no job is accepted under a configuration that was
// replaced before the job was submitted.
// Reports and tests identify the rules by these values.
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
	// Unprovisioned is the rule of CheckProvisioning.
	Unprovisioned = "unprovisioned"
	// NominalQuota is the rule of CheckNominalQuotas.
	NominalQuota = "nominal_quota"
)

// Rules lists every rule.
var Rules = []string{
	RanTwice, Quota, WrongPlace, RanCancelled, Forgotten, Invented, NotDone, WentBack, NothingRan, TooEarly,
	Orphaned, Lost, TwoHolders, TooLarge, Impossible, LeftWaiting, Outdated, Unprovisioned, NominalQuota,
}

// Violation is a violated rule, with the part of the history that explains it.
type Violation struct {
	At      units.Microseconds
	Rule    string
	Text    string
	History []string
}

// String returns the violation on one line, without its history.
func (v Violation) String() string { return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Text) }
