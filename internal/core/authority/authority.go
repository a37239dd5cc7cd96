// Package authority holds what the right to act is made of: the stored records of members,
// of the leader and of shards, fencing tokens, the time until which a member's authority is
// certain, and the leases and votes that its peers give.
package authority

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// Member is a controller's record: it is attached to the controller's lease and
// vanishes with it. Its version, the member's id, tells one process of a controller from the
// next: shards are assigned to a member, not to a controller.
type Member struct {
	Node string `json:"node"`
	// Release says what the controller understands; 0: less than 0.3 does.
	Release int `json:"release,omitempty"`
}

// LeaderRecord names the leader; it is attached to the lease of its membership.
type LeaderRecord struct {
	Term     uint64 `json:"term"`
	Node     string `json:"node"`
	MemberID uint64 `json:"seat"`
}

// Term is the highest term ever taken and who took it; it outlives every lease.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Assignment is the stored assignment of a shard to a member. Machines and jobs name the
// shard that they belong to; no Node means that nobody owns it.
type Assignment struct {
	Term     uint64 `json:"term"`
	Number   uint64 `json:"number"`
	Node     string `json:"node,omitempty"`
	MemberID uint64 `json:"seat,omitempty"`
	// ReleasedBy is the controller that released the shard and should not have it back.
	ReleasedBy string `json:"left,omitempty"`
	// TransferredFrom is the fencing token of the assignment before, where its owner released
	// the shard by itself and nobody has owned it since; 0: not so.
	TransferredFrom uint64 `json:"from,omitempty"`
	// PreviousToken is the fencing token of the assignment before, however that ended; 0: not known.
	PreviousToken uint64 `json:"after,omitempty"`
}

// DecodeAssignment reads the stored assignment of a shard. Releases before 0.2 named its
// controller otherwise and knew no members: it is taken as that of a member that no
// controller is.
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

// QuotaAllocation is the part of every team's limit that a shard may use. All parts together
// are never more than 1, see docs/design.md.
type QuotaAllocation struct {
	Fraction float64 `json:"share"`
}

const (
	assignmentsPerTerm    = 1 << 16 // whose fencing tokens fit into one term's
	attemptsPerAssignment = 1 << 24 // to start a task
)

// MaxTerm is the highest term whose fencing tokens and attempts fit into their numbers.
const MaxTerm = 1<<24 - 1

// FencingToken joins the leader's term and the number of an assignment in it; it only ever
// rises. Workers refuse what comes with a lower one than they have seen.
func FencingToken(term, number uint64) uint64 {
	return term*assignmentsPerTerm + number%assignmentsPerTerm
}

// AttemptNumber returns an attempt number that no other assignment uses.
func AttemptNumber(token, n uint64) uint64 {
	return token*attemptsPerAssignment + n%attemptsPerAssignment
}

// AttemptsUsedUp reports whether an assignment has no attempt number after its n-th: the next would
// be one that it has used.
func AttemptsUsedUp(n uint64) bool { return n >= attemptsPerAssignment-1 }

// Authority is the time for which a membership surely stands, so that nothing that the
// member owns can have been assigned to another.
//
// It rests on the lease in the state service, counted from when its last renewal was sent,
// less clock drift and a margin. Where the state service does not answer it rests on peer
// leases: peers that make up a majority together with this controller will not, for a while,
// vote for giving away what the member owns, and without a majority's votes nobody may do
// so until MajorityExtension has passed since the lease was last renewed. Beyond MajorityExtension it takes the
// peer leases of all: whoever is out of reach may be the one that the state service serves.
// See docs/design.md for the argument.
type Authority struct {
	TTL               units.Microseconds
	Margin            units.Microseconds
	MajorityExtension units.Microseconds // bound on what the peer leases of a majority add, from the last renewal
	MajorityPeers     int                // peer leases that make a majority together with this controller
	AllPeers          int                // peers

	until         units.Microseconds
	short         units.Microseconds
	peerLeases    map[string]units.Microseconds
	majorityUntil units.Microseconds // when the peer leases of a majority end
	allUntil      units.Microseconds // and when those of all do
}

// Renewed records that a renewal sent at the given time was granted.
func (a *Authority) Renewed(sent units.Microseconds) {
	a.until = max(a.until, sent+units.MinWithDrift(a.TTL)-a.Margin)
	a.short = max(a.short, sent+units.MinWithDrift(a.MajorityExtension)-a.Margin)
}

// PeerLeaseGranted records a peer's lease, asked for at the given time.
func (a *Authority) PeerLeaseGranted(peer string, asked units.Microseconds) {
	if a.peerLeases == nil {
		a.peerLeases = map[string]units.Microseconds{}
	}
	a.peerLeases[peer] = max(a.peerLeases[peer], asked+units.MinWithDrift(PeerLeaseTime)-a.Margin)
	if n := len(a.peerLeases) - a.MajorityPeers; a.MajorityPeers > 0 && n >= 0 {
		until := slices.Sorted(maps.Values(a.peerLeases))
		a.majorityUntil = until[n]
		if len(until) >= a.AllPeers {
			a.allUntil = until[0]
		}
	}
}

// Valid reports whether authority is certain now.
func (a *Authority) Valid(now units.Microseconds) bool { return now < a.Until() }

// Until returns the time until which authority is certain, as known at present.
func (a *Authority) Until() units.Microseconds {
	if a.AllPeers == 0 {
		return units.MaxTime // there is nobody to give anything to
	}
	return max(a.until, min(a.majorityUntil, a.short), a.allUntil)
}

// PeerLeaseTime is how long a peer lease binds.
const PeerLeaseTime = 2 * units.Second

// Voter is what a controller owes the others with regard to one of them. It forgets
// everything when its process ends, so that a new process must let the longest peer lease
// run out before it may vote. Its clock starts at 0 with its process.
type Voter struct {
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard

	leasedUntil units.Microseconds
	takenOver   uint64 // highest id of a member that this controller has voted to take over from
}

// GrantPeerLease is asked by a member; seen is the id that its controller has in the state
// service as this controller last saw it, 0 if there is none. A member that this controller
// has voted to take over from never gets one again.
func (v *Voter) GrantPeerLease(now units.Microseconds, member, seen uint64) bool {
	if member != seen || member <= v.takenOver && v.SkippedGuard != guard.MemberRecord {
		return false
	}
	v.leasedUntil = max(v.leasedUntil, now+PeerLeaseTime)
	return true
}

// Vote is asked by a controller that wants to give away what a member owns whose record is
// gone.
func (v *Voter) Vote(now units.Microseconds, member uint64) bool {
	if now < v.leasedUntil && v.SkippedGuard != guard.VoteAfterPeerLease || now < units.MaxWithDrift(PeerLeaseTime) {
		return false
	}
	v.takenOver = max(v.takenOver, member)
	return true
}
