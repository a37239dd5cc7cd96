package scenario

import (
	"fmt"
	"maps"
	"slices"
)

// Events at which a second trouble may begin, while a first one goes on.
const (
	CancelTold     = "cancel_told"     // a user is told that a job is cancelled
	GrantStored    = "grant_stored"    // a block is granted or released
	FollowerStored = "follower_stored" // who follows a holder
	EndStored      = "end_stored"      // tasks are stored as done
	TaskDone       = "task_done"       // a task completes; that is not stored yet
	StartSent      = "start_sent"      // an answer with a start goes out
	PictureSent    = "picture_sent"    // a holder hands on a part of its picture
	ListingSent    = "listing_sent"    // a controller reads a page of all keys
	TokenShown     = "token_shown"     // a new holder shows its token to a machine
	RenewalFailed  = "renewal_failed"  // a lease is not renewed, and about to end
	LeaderChanged  = "leader_changed"  // a controller takes the lead
	UnansweredRead = "unanswered_read" // a controller reads what another's transaction wrote that got no answer
	LateApplied    = "late_applied"    // a transaction without an answer is carried out after newer ones of its controller
	ReportToNext   = "report_to_next"  // a kept report arrives after a new holder has its grant
	MuteReached    = "mute_reached"    // a direct command reaches a machine that reaches no controller
	QuickStart     = "quick_start"     // a start reaches a machine that is up for less than two seconds, while writes are late
)

// Events that are counted, and at which no trouble is drawn to begin.
const (
	// LateRefused is a transaction without an answer that comes after newer ones of its
	// controller, and is refused by its guards.
	LateRefused = "late_refused"
	Trickled    = "trickled" // a message goes over a link at a trickle
	NoRoom      = "no_room"  // the cloud has no machines left of what is asked for
)

// Events lists them.
var Events = []string{CancelTold, GrantStored, FollowerStored, EndStored, TaskDone, StartSent, PictureSent, ListingSent, TokenShown, RenewalFailed,
	LeaderChanged, UnansweredRead, LateApplied, ReportToNext, MuteReached, QuickStart}

// CountedEvents lists all events that are counted, see Expect: those at which a fault may
// begin, and others.
var CountedEvents = slices.Concat(Events, []string{LateRefused, Trickled, NoRoom})

// expectedEvents checks the events that are expected.
func (c *checker) expectedEvents(e Expect) {
	for _, event := range slices.Sorted(maps.Keys(e.Events)) {
		if !slices.Contains(CountedEvents, event) {
			c.fail("expect.events."+event, "there is no event %q, but %v", event, CountedEvents)
		}
		c.within("expect.events."+event, float64(e.Events[event]), 1, 1e6)
	}
}

// events checks what is drawn by meeting.
func (c *checker) events(d Draw) {
	c.within("draw.meet", float64(d.Meet), 0, 5)
	if d.Meet > 0 && d.ToS <= d.FromS {
		c.fail("draw.to_s", "want more than from_s, %g: the first trouble comes between the two", d.FromS)
	}
	if d.Meet == 0 && len(d.Events) > 0 {
		c.fail("draw.events", "nothing is drawn by meeting: draw.meet is missing")
	}
	if d.Meet > 0 && d.Pairs {
		c.fail("draw.pairs", "want either pairs or meet")
	}
	for i, e := range d.Events {
		if !slices.Contains(Events, e) {
			c.fail(fmt.Sprintf("draw.events[%d]", i), "there is no event %q, but %v", e, Events)
		}
	}
}
