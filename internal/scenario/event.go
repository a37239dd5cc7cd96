package scenario

import (
	"fmt"
	"maps"
	"slices"
)

// Events at which a second fault may begin while a first one is active.
const (
	CancelReported   = "cancel_told"     // a cancellation is confirmed to a user
	GrantStored      = "grant_stored"    // a shard assignment or its release is stored
	StandbyStored    = "follower_stored" // the standby of a shard owner is stored
	CompletionStored = "end_stored"      // finished tasks are stored
	TaskDone         = "task_done"       // a task completes and is not stored yet
	StartSent        = "start_sent"      // a heartbeat response with a start command is sent
	SnapshotSent     = "picture_sent"    // a shard owner sends a part of its snapshot during a handover
	ListingSent      = "listing_sent"    // a controller lists a page of all keys
	TokenPresented   = "token_shown"     // a new shard owner presents its fencing token to a machine
	RenewalFailed    = "renewal_failed"  // a lease renewal fails or gets no response
	LeaderChanged    = "leader_changed"  // a controller becomes leader
	UnansweredRead   = "unanswered_read" // a controller reads a value written by another controller's transaction that got no response
	LateApplied      = "late_applied"    // a transaction without a response is applied after newer ones of its controller
	ReportToNext     = "report_to_next"  // a kept copy of a heartbeat arrives after a new shard owner has its assignment
	MuteReached      = "mute_reached"    // a direct command reaches a machine that cannot reach any controller
	QuickStart       = "quick_start"     // a start command reaches a machine within two seconds of its boot, while writes are late
)

// Events that are counted, but at which no fault is drawn to begin.
const (
	// LateRefused is a transaction without a response that arrives after newer ones of its controller and
	// fails its compare-and-swap guards.
	LateRefused       = "late_refused"
	Trickled          = "trickled" // a message is sent over a link that trickles
	CapacityExhausted = "no_room"  // the cloud has no capacity left for a request
)

// Events lists the events at which a fault may begin.
var Events = []string{CancelReported, GrantStored, StandbyStored, CompletionStored, TaskDone, StartSent, SnapshotSent, ListingSent, TokenPresented, RenewalFailed,
	LeaderChanged, UnansweredRead, LateApplied, ReportToNext, MuteReached, QuickStart}

// Events that are only counted: an unusual request of a user coincides with something else.
const (
	CloseLook        = "close_look"         // a user calls a controller directly within milliseconds of an acceptance, an end or a cancellation
	CancelledAtEnd   = "cancelled_at_end"   // a job is cancelled at the moment at which its last task ends
	OddRequest       = "odd_request"        // a user sends a request that is invalid or outdated
	CancelRunning    = "cancel_running"     // a cancellation is confirmed while tasks of the job are on machines
	CancelUnreached  = "cancel_unreached"   // the same, and one of these machines hangs or is cut off
	CancelAtLimit    = "cancel_at_limit"    // a cancellation is confirmed while one more task of the job would exceed its team's limit
	CancelInHandover = "cancel_in_handover" // a cancellation is confirmed while a shard has no owner, or within seconds after it got one
	CancelAlone      = "cancel_alone"       // a cancellation is confirmed while the state service refuses some controllers but not all
	StartCancelled   = "start_cancelled"    // a task begins after the cancellation of its job was confirmed
)

// UserEvents lists the events that come from unusual requests of users.
var UserEvents = []string{CloseLook, CancelledAtEnd, OddRequest, CancelRunning, CancelUnreached, CancelAtLimit, CancelInHandover, CancelAlone, StartCancelled}

// CountedEvents lists all events that Expect.Events may name: those at which a fault may begin, and the others.
var CountedEvents = slices.Concat(Events, UserEvents, combinedEvents, []string{LateRefused, Trickled, CapacityExhausted})

// Events that show that several faults occurred in combination.
const (
	AllEnded                    = "all_ended"              // the last running controller has ended
	RestartAfterLeaseExpiry     = "all_away"               // a controller starts after none has run for longer than a worker's lease
	ReturnedAtOnce              = "returned_at_once"       // a controller restarts within a second of its end
	ShardReturned               = "handed_back"            // a shard is assigned to a controller that owned it before, with another owner in between
	OwnerEndedWorkerUnreachable = "holder_ended_unheard"   // a shard owner ends while a machine with tasks hangs, receives nothing or is cut off
	EndAfterChange              = "end_after_change"       // a task of a job with two or three tasks ends under a later shard owner
	OutageAfterRefusal          = "outage_after_refusal"   // the state service refused a single owner or leader, cancellations were confirmed, and an outage longer than cancel_s begins
	ZoneCutOff                  = "zone_cut_off"           // a zone with tasks and a controller is cut off for longer than a worker's lease
	ZoneBoundTaskLost           = "bound_task_lost"        // a task of a job that is bound to one zone, or spread over zones, is lost with its machine
	OldReport                   = "old_report"             // a heartbeat arrives after a newer one of its machine
	OldSessionReport            = "old_session_report"     // a heartbeat of an earlier session arrives
	HeldAnswer                  = "held_answer"            // a heartbeat response with commands reaches its machine a second or more after it was sent
	HeldRequest                 = "held_request"           // a direct request reaches its machine a second or more after it was sent
	LateWrite                   = "late_write"             // a transaction without a response is applied after newer ones of its controller
	LateAnswer                  = "late_answer"            // an answer to a request that one controller forwarded to another reaches a later process of the first
	RequestRepeated             = "repeated"               // a copy of a request is carried out once more
	RepeatedAfterRestart        = "repeated_after_restart" // the same, after the controller that sent or received it was replaced
	AppliedAgain                = "applied_again"          // a copy of a transaction passes its guards and is applied once more
	CancelPastCut               = "cancel_past_cut"        // a cancellation is confirmed while a shard owner is cut off from the state service and the controllers, but reachable by workers and users
)

var combinedEvents = []string{AllEnded, RestartAfterLeaseExpiry, ReturnedAtOnce, ShardReturned, OwnerEndedWorkerUnreachable, EndAfterChange, OutageAfterRefusal, ZoneCutOff,
	ZoneBoundTaskLost, OldReport, OldSessionReport, HeldAnswer, HeldRequest, LateWrite, LateAnswer, RequestRepeated, RepeatedAfterRestart, AppliedAgain, CancelPastCut}

// checkExpectedEvents validates the expected events.
func (c *checker) checkExpectedEvents(e Expect) {
	for _, event := range slices.Sorted(maps.Keys(e.Events)) {
		if !slices.Contains(CountedEvents, event) {
			c.fail("expect.events."+event, "there is no event %q, but %v", event, CountedEvents)
		}
		c.checkRange("expect.events."+event, float64(e.Events[event]), 1, 1e6)
	}
}

// checkDraw validates the settings for faults that are drawn at events.
func (c *checker) checkDraw(d Draw) {
	c.checkRange("draw.meet", float64(d.Meet), 0, 5)
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
