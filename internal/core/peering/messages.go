// Package peering holds what a controller knows of the other controllers and
// exchanges with them: the messages, a directory of each peer's status and release,
// and the users' requests that are forwarded from one controller to another.
//
// Messages are sent by encoding/gob under the names of their fields. So the fields keep the names of the
// first release, which all releases share: a seat is a membership, a block a shard, a grant the version
// of a shard's assignment, a share a quota allocation, told the listed cancellations. For the same reason
// a message only gains optional fields. The names under which the message types are sent are fixed in
// package peer: there a promise is a peer lease, a permit a takeover vote, and a picture a snapshot.
//
// The package does no I/O: messages and the time come in by method calls.
package peering

import (
	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// PeerStatus is a controller's heartbeat to the others, sent every
// StatusInterval. It requests a peer lease, which PeerLeaseGrant grants.
type PeerStatus struct {
	StateAge units.Microseconds // since the state service last served the sender
	Seat     uint64             // membership for which a peer lease is requested; 0: none
	Sent     units.Microseconds // on the sender's clock
	Deaf     bool               // no worker has reached the sender for a while
	Blocks   []ShardStatus      // shards that the sender owns
	// Redirected lists the shards of other owners of which a worker has recently reached the sender.
	Redirected []ShardRedirect
	Release    int                // release that the sender runs; releases before 0.3 send none, which counts as 0
	Full       bool               // the sender's memory is nearly full
	Back       units.Microseconds // when the sender last noticed a rollback of the state service; 0: never
	Zones      []zones.Status     // zones that do not serve, as seen by the sender as an owner of shards
	Known      uint64             // the sender knows every cancellation up to this revision
	// Config is the version of the configuration that the sender uses, and ConfigKnown the
	// latest version that it knows to be stored. 0 is the configuration of its settings file.
	Config, ConfigKnown uint64
}

// ShardStatus is the status of a shard that the sender owns.
type ShardStatus struct {
	Block int
	Share uint64  // version of the quota allocation that the shard uses
	Use   float64 // largest used fraction of a quota; -1: not known yet
	// Over lists teams that use more of their quotas than the
	// allocation, by the configuration that the sender uses.
	Over []string
}

// ShardRedirect says that the sender has refused the heartbeat of a worker whose shard it does not own.
type ShardRedirect struct {
	Block int
	Ago   units.Microseconds // time since the last such heartbeat
}

// PeerLeaseGrant grants the peer lease that a status requested,
// and lists the cancellations that the receiver lacks.
type PeerLeaseGrant struct {
	Seat uint64
	Sent units.Microseconds
	Told cancellations.Update
	// ConfigKnown is the latest version of the configuration that the sender knows.
	ConfigKnown uint64
}

// TakeoverVoteRequest requests a vote to take over what a controller's membership owned.
type TakeoverVoteRequest struct {
	Node string
	Seat uint64
}

// TakeoverVote is the vote that TakeoverVoteRequest requested.
type TakeoverVote TakeoverVoteRequest

// ReleaseRequest is the leader's request to release a shard, by the version of its assignment.
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
	Bad  string // why a submission is malformed; "": it is not
}

// ForwardedResponse answers a ForwardedRequest.
type ForwardedResponse struct {
	ID         uint64
	Code       int                  // HTTP status
	Body       *admission.JobAnswer // nil: Text gives the reason
	Text       string
	RetryAfter units.Microseconds
}

// RequestKind is the kind of a user's request.
type RequestKind = admission.Kind

// Kinds of requests that are forwarded.
const (
	RequestSubmit = admission.Submit
	RequestQuery  = admission.Query
	RequestCancel = admission.Cancel
)
