// Package lead holds what authority is made of: terms, lease numbers, tokens
// and the time until which authority is certain.
package lead

import (
	"encoding/json"

	"shalestage.example/shalestage/internal/core/unit"
)

// Claim is the leader's record; it vanishes with the leader's lease.
type Claim struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// Term is the highest term ever taken; it outlives every lease.
type Term struct {
	Term uint64 `json:"term"`
}

// Block is the stored lease of machine blocks to a controller. All of the
// machines and the whole of every team's limit are one block today.
type Block struct {
	Term       uint64   `json:"term"`
	Number     uint64   `json:"number"`
	Controller string   `json:"controller"`
	Machines   []string `json:"machines"` // zones; "*" stands for every one
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

// Encode returns a record's stored form.
func Encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data: cannot fail
	}
	return b
}

// Authority is the time for which a lease surely lives: counted from when its
// last renewal was sent, less clock drift and a margin.
type Authority struct {
	TTL    unit.Micros
	Margin unit.Micros
	until  unit.Micros
}

// Renewed records that a renewal sent at the given time was granted.
func (a *Authority) Renewed(sent unit.Micros) {
	a.until = max(a.until, sent+unit.Shortest(a.TTL)-a.Margin)
}

// Valid reports whether authority is certain now.
func (a *Authority) Valid(now unit.Micros) bool { return now < a.until }

// Drop gives authority up.
func (a *Authority) Drop() { a.until = 0 }
