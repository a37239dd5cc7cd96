// Package store follows the keys of the state service (Replica) and batches changes into transactions
// (WriteQueue). It does no input or output itself and does not interpret keys or values.
package store

import (
	"encoding/json"
	"strings"
)

// Value encodes plain data as the JSON value that is stored. It panics if v cannot be encoded.
func Value(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data: cannot fail
	}
	return b
}

// Guard is a condition of a transaction: the key has this version (0: it does not exist).
type Guard struct {
	Key     string
	Version uint64
}

// Change is a put, or a delete if Value is nil.
type Change struct {
	Key   string
	Value json.RawMessage
	Lease uint64 // id of the lease whose end deletes the key; 0: none
}

// changeOverhead is the size in bytes of an encoded change and guard without their keys and value.
const changeOverhead = 200

// Size returns the approximate size in bytes of a change in a transaction, with a guard on its key.
func (c Change) Size() int { return 2*len(c.Key) + len(c.Value) + changeOverhead }

// MaxTxnBytes is the largest size of a transaction in bytes. It is below the state service's limit.
const MaxTxnBytes = 48 << 10

// Event is a stored change of a key.
type Event struct {
	Key   string
	Value json.RawMessage // nil: deleted
	Stamp uint64          // revision of the change; it is the key's version until its next change
}

// KeyGroup returns the part of a key that identifies the kind of its record: the first two components, or
// only the first if there is no third.
func KeyGroup(key string) string {
	top, rest, _ := strings.Cut(key, "/")
	if second, _, ok := strings.Cut(rest, "/"); ok {
		return top + "/" + second
	}
	return top
}

// Outcome is the result of a request to an external service, as far as it is known.
type Outcome int

// Outcomes. Unknown means that the request may have been carried out, or may be carried out later.
const (
	OK      Outcome = iota
	Refused         // certainly not carried out
	Failed          // a guard did not hold, or the object does not exist any more
	Unknown
	RateLimited // refused because of too many requests or changes
	TooLarge    // refused permanently: larger than the service's limit
)
