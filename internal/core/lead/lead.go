// Package lead holds what authority is made of: terms, lease numbers, tokens
// and the time until which authority is certain.
package lead

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/unit"
)

// Seat is a controller's record: it is attached to the controller's lease and
// vanishes with it. Its version tells one process of a controller from the
// next, and all that a controller holds is held by its seat.
type Seat struct {
	Node string `json:"node"`
	// Release tells what the controller understands; 0: less than 0.3 does.
	Release int `json:"release,omitempty"`
}

// Claim is the leader's record; it is attached to the same lease.
type Claim struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
	Seat uint64 `json:"seat"`
}

// Term is the highest term ever taken and who took it; it outlives every lease.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Block is the stored lease of a block to a controller's seat. Machines and
// jobs name the block that they belong to; no Node means that it is free.
type Block struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"number"`
	Node   string `json:"node,omitempty"`
	Seat   uint64 `json:"seat,omitempty"`
	// Left is the controller that gave the block up and should not have it back.
	Left string `json:"left,omitempty"`
	// From is the token of the grant that this one follows on, where its holder gave the
	// block up by itself and nobody has held it since; 0: not so.
	From uint64 `json:"from,omitempty"`
	// After is the token of the grant before this one, however that ended; 0: not told.
	After uint64 `json:"after,omitempty"`
}

// DecodeBlock reads a stored block. Releases before 0.2 named its controller
// otherwise and knew no seats: it is taken as held by a seat that nobody has.
func DecodeBlock(b []byte) (Block, error) {
	var v struct {
		Block
		Controller string `json:"controller"`
	}
	err := json.Unmarshal(b, &v)
	if v.Node == "" {
		v.Node = v.Controller
	}
	return v.Block, err
}

// Share is the part of every team's limit that a block may use. All shares
// together are never more than 1, see docs/design.md.
type Share struct {
	Share float64 `json:"share"`
}

// lease numbers that fit into one term's tokens
const numbersPerTerm = 1 << 16

// attempts that fit into one grant
const attemptsPerGrant = 1 << 24

// MaxTerm is the highest term whose tokens and attempts fit into their numbers.
const MaxTerm = 1<<24 - 1

// Token joins the leader's term and a lease number; it only ever rises.
func Token(term, number uint64) uint64 { return term*numbersPerTerm + number%numbersPerTerm }

// Attempt returns an attempt number that no other grant uses.
func Attempt(token, n uint64) uint64 { return token*attemptsPerGrant + n%attemptsPerGrant }

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
	TTL    unit.Micros
	Margin unit.Micros
	Short  unit.Micros // bound on what promises of a majority add, from the last renewal
	Peers  int         // promises that make a majority together with this node
	All    int         // peers

	until    unit.Micros
	short    unit.Micros
	promises map[string]unit.Micros
	carried  unit.Micros // when the promises of a majority end
	whole    unit.Micros // and when those of all do
}

// Renewed records that a renewal sent at the given time was granted.
func (a *Authority) Renewed(sent unit.Micros) {
	a.until = max(a.until, sent+unit.Shortest(a.TTL)-a.Margin)
	a.short = max(a.short, sent+unit.Shortest(a.Short)-a.Margin)
}

// Promised records a peer's promise, asked for at the given time.
func (a *Authority) Promised(peer string, asked unit.Micros) {
	if a.promises == nil {
		a.promises = map[string]unit.Micros{}
	}
	a.promises[peer] = max(a.promises[peer], asked+unit.Shortest(PromiseTime)-a.Margin)
	if n := len(a.promises) - a.Peers; a.Peers > 0 && n >= 0 {
		until := slices.Sorted(maps.Values(a.promises))
		a.carried = until[n]
		if len(until) >= a.All {
			a.whole = until[0]
		}
	}
}

// Valid reports whether authority is certain now.
func (a *Authority) Valid(now unit.Micros) bool { return now < a.Until() }

// Until returns the time until which authority is certain, as known at present.
func (a *Authority) Until() unit.Micros {
	if a.All == 0 {
		return unit.Never // there is nobody to give anything to
	}
	return max(a.until, min(a.carried, a.short), a.whole)
}

// PromiseTime is how long a promise binds.
const PromiseTime = 2 * unit.Second

// Voter is what a controller owes the others with regard to one of them. It
// forgets everything when its process ends, so that a new process must let the
// longest promise run out before it may help anybody. Its clock starts at 0
// with its process.
type Voter struct {
	// LeftOut is a check that is left out; only tests set it.
	LeftOut guard.Guard

	promisedUntil unit.Micros
	over          uint64 // highest seat that this node has helped to end
}

// Promise is asked by the holder of a seat; seen is the seat that the holder
// has in the state service as this node last saw it, 0 if there is none.
func (v *Voter) Promise(now unit.Micros, seat, seen uint64) bool {
	if seat != seen || seat <= v.over && v.LeftOut != guard.PromiseRecord {
		return false
	}
	v.promisedUntil = max(v.promisedUntil, now+PromiseTime)
	return true
}

// Permit is asked by a controller that wants to give away what a seat holds
// whose record is gone.
func (v *Voter) Permit(now unit.Micros, seat uint64) bool {
	if now < v.promisedUntil && v.LeftOut != guard.PermitPromise || now < unit.Longest(PromiseTime) {
		return false
	}
	v.over = max(v.over, seat)
	return true
}
