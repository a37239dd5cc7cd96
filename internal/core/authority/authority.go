// Package authority holds the building blocks of a controller's right to act: the stored records of members,
// of the leader and of shard assignments, fencing tokens, the time until which a member's authority is
// certain, and the peer leases and takeover votes that controllers grant each other.
package authority

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// Member is the stored record of a controller. It is attached to the controller's lease in the state service
// and is deleted with it. The version of the record is the member's id; it distinguishes one process of a
// controller from the next. Shards are assigned to a member, not to a controller.
type Member struct {
	Node string `json:"node"`
	// Release is the level of protocols and records that the controller understands; 0: lower than that of
	// release 0.3.
	Release int `json:"release,omitempty"`
}

// LeaderRecord names the leader. It is attached to the lease of the leader's membership.
type LeaderRecord struct {
	Term     uint64 `json:"term"`
	Node     string `json:"node"`
	MemberID uint64 `json:"seat"`
}

// Term is the highest term ever taken and the controller that took it. It is attached to no lease and is kept
// when all leases have expired.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Assignment is the stored assignment of a shard to a member. Machines and jobs name the shard that they
// belong to. An empty Node means that the shard has no owner.
type Assignment struct {
	Term     uint64 `json:"term"`
	Number   uint64 `json:"number"`
	Node     string `json:"node,omitempty"`
	MemberID uint64 `json:"seat,omitempty"`
	// ReleasedBy is the controller that released the shard. It should not get the shard back.
	ReleasedBy string `json:"left,omitempty"`
	// TransferredFrom is the fencing token of the previous assignment if its owner released the shard by
	// itself and the shard has had no owner since; otherwise 0.
	TransferredFrom uint64 `json:"from,omitempty"`
	// PreviousToken is the fencing token of the previous assignment, however that ended; 0: not known.
	PreviousToken uint64 `json:"after,omitempty"`
	// Unreached lists the controllers that have owned the shard since a worker last reached one of its owners,
	// and released it because no worker reached them. Assignments carry the list on.
	Unreached []string `json:"unreached,omitempty"`
}

// DecodeAssignment decodes the stored assignment of a shard. Releases before 0.2 stored the controller's name in
// the field controller and had no memberships: such an assignment has the member id 0, which no controller has.
// The error is that of decoding the JSON.
func DecodeAssignment(b []byte) (Assignment, error) {
	var v struct {
		Assignment
		Controller string `json:"controller"`
	}
	err := json.Unmarshal(b, &v)
	if v.Node == "" {
		v.Node = v.Controller
	}
	return v.Assignment, err
}

// QuotaAllocation is the fraction of every team's limit that a shard may use. The fractions of all shards
// never add up to more than 1, see docs/design.md.
type QuotaAllocation struct {
	Fraction float64 `json:"share"`
}

const (
	assignmentsPerTerm    = 1 << 16 // assignments whose fencing tokens fit into one term's range
	attemptsPerAssignment = 1 << 24 // attempts to start a task
)

// MaxTerm is the highest term whose fencing tokens and attempt numbers fit into a uint64.
const MaxTerm = 1<<24 - 1

// FencingToken combines the leader's term and the number of an assignment in that term. Tokens only ever
// increase, and workers reject requests with a lower token than they have seen.
func FencingToken(term, number uint64) uint64 {
	return term*assignmentsPerTerm + number%assignmentsPerTerm
}

// AttemptNumber returns the n-th attempt number of an assignment, which no other assignment uses.
func AttemptNumber(token, n uint64) uint64 {
	return token*attemptsPerAssignment + n%attemptsPerAssignment
}

// AttemptsUsedUp reports whether an assignment has no attempt number left after its n-th: the next one would
// repeat a number that it has already used.
func AttemptsUsedUp(n uint64) bool { return n >= attemptsPerAssignment-1 }

// Authority computes the time until which a membership certainly exists, so that nothing that the member owns
// can have been assigned to another member.
//
// It is based on the lease in the state service, counted from the time at which the last renewal was sent,
// less clock drift and a margin. While the state service does not answer, it is based on peer leases: peers
// that form a majority together with this controller do not vote, for a while, for a takeover of what the
// member owns, and without the votes of a majority nobody may take it over until MajorityExtension has passed
// since the lease was last renewed. After MajorityExtension the peer leases of all peers are needed: an
// unreachable peer may be the one that the state service serves. See docs/design.md for the argument.
type Authority struct {
	TTL               units.Microseconds
	Margin            units.Microseconds
	MajorityExtension units.Microseconds // how long after the last renewal the peer leases of a majority count
	MajorityPeers     int                // number of peer leases that form a majority together with this controller
	AllPeers          int                // number of peers

	leaseUntil     units.Microseconds            // end of the lease in the state service
	extensionLimit units.Microseconds            // end of MajorityExtension
	peerLeases     map[string]units.Microseconds // end of each peer's lease, by the peer's name
	majorityUntil  units.Microseconds            // end of the peer leases of a majority
	allUntil       units.Microseconds            // end of the peer leases of all peers
}

// Renewed records that the state service granted a renewal that was sent at the given time.
func (a *Authority) Renewed(sent units.Microseconds) {
	a.leaseUntil = max(a.leaseUntil, sent+units.MinWithDrift(a.TTL)-a.Margin)
	a.extensionLimit = max(a.extensionLimit, sent+units.MinWithDrift(a.MajorityExtension)-a.Margin)
}

// PeerLeaseGranted records a peer's lease that was requested at the given time.
func (a *Authority) PeerLeaseGranted(peer string, askedAt units.Microseconds) {
	if a.peerLeases == nil {
		a.peerLeases = map[string]units.Microseconds{}
	}
	a.peerLeases[peer] = max(a.peerLeases[peer], askedAt+units.MinWithDrift(PeerLeaseTime)-a.Margin)
	if n := len(a.peerLeases) - a.MajorityPeers; a.MajorityPeers > 0 && n >= 0 {
		until := slices.Sorted(maps.Values(a.peerLeases))
		a.majorityUntil = until[n]
		if len(until) >= a.AllPeers {
			a.allUntil = until[0]
		}
	}
}

// Valid reports whether authority is certain at the given time.
func (a *Authority) Valid(now units.Microseconds) bool { return now < a.Until() }

// Until returns the time until which authority is certain, as far as is known now.
func (a *Authority) Until() units.Microseconds {
	if a.AllPeers == 0 {
		return units.MaxTime // no other controller can take anything over
	}
	return max(a.leaseUntil, min(a.majorityUntil, a.extensionLimit), a.allUntil)
}

// PeerLeaseTime is the duration of a peer lease.
const PeerLeaseTime = 2 * units.Second

// Voter holds the peer leases and votes that a controller has granted concerning one other controller. They
// are lost when the process ends, so a new process must wait for the longest peer lease to run out before it
// may vote. The voter's clock starts at 0 with its process.
type Voter struct {
	// SkippedGuard is a check to leave out; only tests set it.
	SkippedGuard guard.Guard

	leasedUntil  units.Microseconds // end of the last peer lease granted
	highestVoted uint64             // highest id of a member for whose takeover this controller has voted
}

// GrantPeerLease reports whether a member gets the peer lease that it requests. seen is the id of its
// controller's member that this controller last saw in the state service, 0 if there is none. A member for
// whose takeover this controller has voted never gets a lease again.
func (v *Voter) GrantPeerLease(now units.Microseconds, member, seen uint64) bool {
	if member != seen || member <= v.highestVoted && v.SkippedGuard != guard.MemberRecord {
		return false
	}
	v.leasedUntil = max(v.leasedUntil, now+PeerLeaseTime)
	return true
}

// Vote reports whether this controller votes for a takeover of what a member owns whose record is deleted. A
// vote rules out further peer leases for the member.
func (v *Voter) Vote(now units.Microseconds, member uint64) bool {
	if now < v.leasedUntil && v.SkippedGuard != guard.VoteAfterPeerLease || now < units.MaxWithDrift(PeerLeaseTime) {
		return false
	}
	v.highestVoted = max(v.highestVoted, member)
	return true
}
