// Package lead holds what authority is made of: terms, lease numbers, tokens
// and the time until which authority is certain.
package lead

import (
	"shalestage.example/shalestage/internal/core/unit"
)

// Claim is the leader's record; it vanishes with the leader's lease.
type Claim struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Term is the highest term ever taken and who took it; it outlives every lease.
type Term struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Block is the stored lease of machine blocks to a controller. All of the
// machines and the whole of every team's limit are one block today.
type Block struct {
	Term       uint64   `json:"term"`
	Number     uint64   `json:"number"`
	Controller string   `json:"controller"`
	Machines   []string `json:"machines"` // zones; "*" stands for every one
	Jobs       []string `json:"jobs"`     // "*" stands for every one
	LimitShare float64  `json:"limit_share"`
}

// lease numbers that fit into one term's tokens
const numbersPerTerm = 1 << 16

// attempts that fit into one term
const attemptsPerTerm = 1 << 24

// Token joins the leader's term and a lease number; it only ever rises.
func Token(term, number uint64) uint64 { return term*numbersPerTerm + number%numbersPerTerm }

// Attempt returns an attempt number that no other term uses.
func Attempt(term, n uint64) uint64 { return term*attemptsPerTerm + n%attemptsPerTerm }

// Authority is the time for which no other controller can surely lead.
//
// It rests on the lease in the state service, counted from when its last
// renewal was sent, less clock drift and a margin. Where the state service does
// not answer it rests on promises: peers that make up a majority together with
// this node have promised not to help another to the lead for a while, and
// without a majority's help nobody may claim it until Extend has passed since
// the lease was last renewed. See docs/design.md for the argument.
type Authority struct {
	TTL    unit.Micros
	Margin unit.Micros
	Extend unit.Micros // bound on what promises add, from the last renewal
	Peers  int         // promises that make a majority together with this node

	until    unit.Micros
	bound    unit.Micros
	promises map[string]unit.Micros
}

// Renewed records that a renewal sent at the given time was granted.
func (a *Authority) Renewed(sent unit.Micros) {
	a.until = max(a.until, sent+unit.Shortest(a.TTL)-a.Margin)
	a.bound = max(a.bound, sent+unit.Shortest(a.Extend)-a.Margin)
}

// Promised records a peer's promise, asked for at the given time.
func (a *Authority) Promised(peer string, asked unit.Micros) {
	if a.promises == nil {
		a.promises = map[string]unit.Micros{}
	}
	a.promises[peer] = max(a.promises[peer], asked+unit.Shortest(PromiseTime)-a.Margin)
}

// Valid reports whether authority is certain now.
func (a *Authority) Valid(now unit.Micros) bool {
	if now < a.until {
		return true
	}
	n := 0
	for _, until := range a.promises {
		if now < until {
			n++
		}
	}
	return n >= a.Peers && now < a.bound
}

// PromiseTime is how long a promise binds.
const PromiseTime = 2 * unit.Second

// Voter is what a controller owes the others. It forgets everything when its
// process ends, so that a new process must let the longest promise run out
// before it may help anybody. Its clock starts at 0 with its process.
type Voter struct {
	promisedUntil unit.Micros
	permitted     uint64 // highest term that this node helped to
}

// Promise is asked by the leader of a term; seen is the term of the leader's
// record as this node last saw it, 0 if the record is gone.
func (v *Voter) Promise(now unit.Micros, term, seen uint64) bool {
	if term != seen || term < v.permitted {
		return false
	}
	v.promisedUntil = max(v.promisedUntil, now+PromiseTime)
	return true
}

// Permit is asked by a controller that wants to lead a term.
func (v *Voter) Permit(now unit.Micros, term uint64) bool {
	if now < v.promisedUntil || now < unit.Longest(PromiseTime) || term < v.permitted {
		return false
	}
	v.permitted = term
	return true
}
