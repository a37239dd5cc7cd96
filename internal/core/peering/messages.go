// Package peering is what a controller knows of the other controllers and exchanges with them:
// the messages, a directory of who is alive, runs which release and reports what, and the users'
// requests that are forwarded from one controller to another.
//
// The names of the messages and of their fields are sent by encoding/gob. So they keep the words of
// the first release, which releases of different age share: a seat is a membership, a promise a peer
// lease, a permit a takeover vote, a block a shard, a grant the version of a shard's assignment, a
// share a quota allocation, a picture a snapshot. A message only gains optional fields.
//
// The package is pure: messages and the time go in by method calls.
package peering

import (
	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// PeerStatus is a controller's heartbeat to the others, sent every StatusInterval. It asks for a
// peer lease, which PeerPromise grants.
type PeerStatus struct {
	StateAge units.Microseconds // since the state service last served the sender
	Seat     uint64             // the membership for which it asks for a peer lease; 0: none
	Sent     units.Microseconds // on the sender's clock
	Deaf     bool               // no worker has reached the sender for a while
	Blocks   []ShardStatus      // the shards that the sender owns
	Release  int                // what the sender understands; 0: less than 0.3 does
	Full     bool               // the sender's memory is nearly full
	Back     units.Microseconds // when the sender last noticed that the state service went back; 0: never
	Zones    []zones.Status     // those that do not serve, as an owner of shards sees it
	Known    uint64             // the sender knows every cancellation up to this revision
	// Config is the version of the configuration that the sender goes by, and ConfigKnown
	// the latest that it knows to be stored; 0: that of its settings file.
	Config, ConfigKnown uint64
}

// ShardStatus tells of a shard that the sender owns.
type ShardStatus struct {
	Block int
	Share uint64  // version of the quota allocation that the shard goes by
	Use   float64 // largest part of a quota in use; -1: not known yet
	// Over are teams that use more of their quotas than the allocation, by the configuration
	// that the sender goes by.
	Over []string
}

// PeerLeaseGrant grants the peer lease that a status asked for, and lists the cancellations that the
// other lacks.
type PeerLeaseGrant struct {
	Seat uint64
	Sent units.Microseconds
	Told cancellations.Update
	// ConfigKnown is the latest version of the configuration that the sender knows.
	ConfigKnown uint64
}

// TakeoverVoteRequest asks for a vote to take over what a controller's membership owned.
type TakeoverVoteRequest struct {
	Node string
	Seat uint64
}

// TakeoverVote is the vote that PeerPermitAsk asked for.
type TakeoverVote TakeoverVoteRequest

// ReleaseRequest is the leader's wish that a shard be released, by the version of its assignment.
type ReleaseRequest struct {
	Block int
	Grant uint64
}

// ForwardedRequest forwards a user's request.
type ForwardedRequest struct {
	ID   uint64
	Kind RequestKind
	Job  string
	Spec *jobs.Spec
	Bad  string // why a submission is malformed
}

// ForwardedResponse answers a PeerAsk.
type ForwardedResponse struct {
	ID         uint64
	Code       int                  // HTTP status
	Body       *admission.JobAnswer // nil: Text says why not
	Text       string
	RetryAfter units.Microseconds
}

// RequestKind is what a user wants.
type RequestKind = admission.Kind

// Kinds of requests that are forwarded.
const (
	RequestSubmit = admission.Submit
	RequestQuery  = admission.Query
	RequestCancel = admission.Cancel
)
