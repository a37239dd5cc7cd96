// Package authority holds what authority is made of: terms, lease numbers, tokens
// and the time until which authority is certain.
package authority

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// Member is a controller's record: it is attached to the controller's lease and
// vanishes with it. Its version tells one process of a controller from the
// next, and all that a controller holds is held by its seat.
type Member struct {
	Node string `json:"node"`
	// Release tells what the controller understands; 0: less than 0.3 does.
	Release int `json:"release,omitempty"`
}

// LeaderRecord is the leader's record; it is attached to the same lease.
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

// Assignment is the stored lease of a block to a controller's seat. Machines and
// jobs name the block that they belong to; no Node means that it is free.
type Assignment struct {
	Term     uint64 `json:"term"`
	Number   uint64 `json:"number"`
	Node     string `json:"node,omitempty"`
	MemberID uint64 `json:"seat,omitempty"`
	// ReleasedBy is the controller that gave the block up and should not have it back.
	ReleasedBy string `json:"left,omitempty"`
	// TransferredFrom is the token of the grant that this one follows on, where its holder gave the
	// block up by itself and nobody has held it since; 0: not so.
	TransferredFrom uint64 `json:"from,omitempty"`
	// PreviousToken is the token of the grant before this one, however that ended; 0: not told.
	PreviousToken uint64 `json:"after,omitempty"`
}

// DecodeAssignment reads a stored block. Releases before 0.2 named its controller
// otherwise and knew no seats: it is taken as held by a seat that nobody has.
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

// QuotaAllocation is the part of every team's limit that a block may use. All shares
// together are never more than 1, see docs/design.md.
type QuotaAllocation struct {
	Fraction float64 `json:"share"`
}

// lease numbers that fit into one term's tokens
const assignmentsPerTerm = 1 << 16

// attempts that fit into one grant
const attemptsPerAssignment = 1 << 24

// MaxTerm is the highest term whose tokens and attempts fit into their numbers.
const MaxTerm = 1<<24 - 1

// FencingToken joins the leader's term and a lease number; it only ever rises.
func FencingToken(term, number uint64) uint64 {
	return term*assignmentsPerTerm + number%assignmentsPerTerm
}

// AttemptNumber returns an attempt number that no other grant uses.
func AttemptNumber(token, n uint64) uint64 {
	return token*attemptsPerAssignment + n%attemptsPerAssignment
}

// AttemptsUsedUp reports whether an assignment has no attempt number after its n-th: the next would
// be one that it has used.
func AttemptsUsedUp(n uint64) bool { return n >= attemptsPerAssignment-1 }

// Authority is the time for which a seat surely stands, so that nothing that it
// holds can have been given to another.
//
// It rests on the lease in the state service, counted from when its last
// renewal was sent, less clock drift and a margin. Where the state service does
// not answer it rests on promises: peers that make up a majority together with
// this node have promised not to help to give away what the seat holds for a
// while, and without a majority's help nobody may do so until Short has passed
// since the lease was last renewed. Beyond Short it takes the promises of all peers:
// whoever is out of reach may be the one that the state service serves. See
// docs/design.md for the argument.
type Authority struct {
	TTL    units.Microseconds
	Margin units.Microseconds
	Short  units.Microseconds // bound on what promises of a majority add, from the last renewal
	Peers  int                // promises that make a majority together with this node
	All    int                // peers

	until         units.Microseconds
	short         units.Microseconds
	peerLeases    map[string]units.Microseconds
	majorityUntil units.Microseconds // when the promises of a majority end
	allUntil      units.Microseconds // and when those of all do
}

// Renewed records that a renewal sent at the given time was granted.
func (a *Authority) Renewed(sent units.Microseconds) {
	a.until = max(a.until, sent+units.Shortest(a.TTL)-a.Margin)
	a.short = max(a.short, sent+units.Shortest(a.Short)-a.Margin)
}

// PeerLeaseGranted records a peer's promise, asked for at the given time.
func (a *Authority) PeerLeaseGranted(peer string, asked units.Microseconds) {
	if a.peerLeases == nil {
		a.peerLeases = map[string]units.Microseconds{}
	}
	a.peerLeases[peer] = max(a.peerLeases[peer], asked+units.Shortest(PeerLeaseTime)-a.Margin)
	if n := len(a.peerLeases) - a.Peers; a.Peers > 0 && n >= 0 {
		until := slices.Sorted(maps.Values(a.peerLeases))
		a.majorityUntil = until[n]
		if len(until) >= a.All {
			a.allUntil = until[0]
		}
	}
}

// Valid reports whether authority is certain now.
func (a *Authority) Valid(now units.Microseconds) bool { return now < a.Until() }

// Until returns the time until which authority is certain, as known at present.
func (a *Authority) Until() units.Microseconds {
	if a.All == 0 {
		return units.Never // there is nobody to give anything to
	}
	return max(a.until, min(a.majorityUntil, a.short), a.allUntil)
}

// PeerLeaseTime is how long a promise binds.
const PeerLeaseTime = 2 * units.Second

// Voter is what a controller owes the others with regard to one of them. It
// forgets everything when its process ends, so that a new process must let the
// longest promise run out before it may help anybody. Its clock starts at 0
// with its process.
type Voter struct {
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard

	leasedUntil units.Microseconds
	takenOver   uint64 // highest seat that this node has helped to end
}

// GrantPeerLease is asked by the holder of a seat; seen is the seat that the holder
// has in the state service as this node last saw it, 0 if there is none.
func (v *Voter) GrantPeerLease(now units.Microseconds, seat, seen uint64) bool {
	if seat != seen || seat <= v.takenOver && v.SkippedGuard != guard.MemberRecord {
		return false
	}
	v.leasedUntil = max(v.leasedUntil, now+PeerLeaseTime)
	return true
}

// Vote is asked by a controller that wants to give away what a seat holds
// whose record is gone.
func (v *Voter) Vote(now units.Microseconds, seat uint64) bool {
	if now < v.leasedUntil && v.SkippedGuard != guard.VoteAfterPeerLease || now < units.Longest(PeerLeaseTime) {
		return false
	}
	v.takenOver = max(v.takenOver, seat)
	return true
}
