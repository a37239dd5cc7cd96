package scenario

import (
	"fmt"
	"maps"
	"slices"
)

// Events at which a second trouble may begin, while a first one goes on.
const (
	CancelReported   = "cancel_told"     // a user is told that a job is cancelled
	GrantStored      = "grant_stored"    // a block is granted or released
	StandbyStored    = "follower_stored" // who follows a holder
	CompletionStored = "end_stored"      // tasks are stored as done
	TaskDone         = "task_done"       // a task completes; that is not stored yet
	StartSent        = "start_sent"      // an answer with a start goes out
	SnapshotSent     = "picture_sent"    // a holder hands on a part of its picture
	ListingSent      = "listing_sent"    // a controller reads a page of all keys
	TokenPresented   = "token_shown"     // a new holder shows its token to a machine
	RenewalFailed    = "renewal_failed"  // a lease is not renewed, and about to end
	LeaderChanged    = "leader_changed"  // a controller takes the lead
	UnansweredRead   = "unanswered_read" // a controller reads what another's transaction wrote that got no answer
	LateApplied      = "late_applied"    // a transaction without an answer is carried out after newer ones of its controller
	ReportToNext     = "report_to_next"  // a kept report arrives after a new holder has its grant
	MuteReached      = "mute_reached"    // a direct command reaches a machine that reaches no controller
	QuickStart       = "quick_start"     // a start reaches a machine that is up for less than two seconds, while writes are late
)

// Events that are counted, and at which no trouble is drawn to begin.
const (
	// LateRefused is a transaction without an answer that comes after newer ones of its
	// controller, and is refused by its guards.
	LateRefused       = "late_refused"
	Trickled          = "trickled" // a message goes over a link at a trickle
	CapacityExhausted = "no_room"  // the cloud has no machines left of what is asked for
)

// Events lists them.
var Events = []string{CancelReported, GrantStored, StandbyStored, CompletionStored, TaskDone, StartSent, SnapshotSent, ListingSent, TokenPresented, RenewalFailed,
	LeaderChanged, UnansweredRead, LateApplied, ReportToNext, MuteReached, QuickStart}

// Events that are counted only: at each of them troubles of users meet something else.
const (
	CloseLook        = "close_look"         // a user asks at one controller within milliseconds of an acceptance, an end or a cancellation
	CancelledAtEnd   = "cancelled_at_end"   // a job is cancelled at the moment at which its last task ends
	OddRequest       = "odd_request"        // a user sends a request that makes no sense, or none any more
	CancelRunning    = "cancel_running"     // a cancellation is told while tasks of the job are on machines
	CancelUnreached  = "cancel_unreached"   // and one of these machines hangs or is cut off
	CancelAtLimit    = "cancel_at_limit"    // a cancellation is told while the job's team has no room under its limit
	CancelInHandover = "cancel_in_handover" // a cancellation is told while a block has no holder, or within seconds after one has got it
	CancelAlone      = "cancel_alone"       // a cancellation is told while the state service refuses one controller alone
	StartCancelled   = "start_cancelled"    // a task begins after the cancellation of its job was told
)

// UserEvents lists these.
var UserEvents = []string{CloseLook, CancelledAtEnd, OddRequest, CancelRunning, CancelUnreached, CancelAtLimit, CancelInHandover, CancelAlone, StartCancelled}

// CountedEvents lists all events that are counted, see Expect: those at which a fault may
// begin, and others.
var CountedEvents = slices.Concat(Events, UserEvents, combinedEvents, []string{LateRefused, Trickled, CapacityExhausted})

// Events that tell that faults came about together.
const (
	AllEnded                    = "all_ended"            // the last controller that ran has ended
	RestartAfterLeaseExpiry     = "all_away"             // one begins after none has run for longer than a worker's lease
	ReturnedAtOnce              = "returned_at_once"     // a controller begins within a second of its end
	ShardReturned               = "handed_back"          // a block is granted to a controller that held it before, with another in between
	OwnerEndedWorkerUnreachable = "holder_ended_unheard" // a holder ends while a machine with tasks hangs, hears nothing or is cut off
	EndAfterChange              = "end_after_change"     // a task of a job of two or three ends under another holder than the first
	OutageAfterRefusal          = "outage_after_refusal" // a holder or leader was refused alone, cancellations were told, and an outage longer than cancel_s begins
	ZoneCutOff                  = "zone_cut_off"         // a zone with tasks and a controller is cut off for longer than a worker's lease
	ZoneBoundTaskLost           = "bound_task_lost"      // a task of a job bound to one zone, or spread over them, ends with its machine
	OldReport                   = "old_report"           // a report arrives after a newer one of its machine
	OldSessionReport            = "old_session_report"   // one of an earlier session
	HeldAnswer                  = "held_answer"          // an answer with commands reaches its machine a second or more after it was sent
	HeldRequest                 = "held_request"         // a direct request likewise
	LateWrite                   = "late_write"           // a transaction without an answer is carried out after newer ones of its controller
	CancelPastCut               = "cancel_past_cut"      // a cancellation is told while a holder is cut from state service and controllers, and reached by workers and users
)

var combinedEvents = []string{AllEnded, RestartAfterLeaseExpiry, ReturnedAtOnce, ShardReturned, OwnerEndedWorkerUnreachable, EndAfterChange, OutageAfterRefusal, ZoneCutOff,
	ZoneBoundTaskLost, OldReport, OldSessionReport, HeldAnswer, HeldRequest, LateWrite, CancelPastCut}

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
