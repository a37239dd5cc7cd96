// Package store holds a copy of the state service's keys (Replica) and groups changes into
// transactions (WriteQueue). It does no input or output itself, and knows no key's meaning.
package store

import (
	"encoding/json"
	"strings"
)

// Value returns plain data in the form in which it is stored.
func Value(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data: cannot fail
	}
	return b
}

// Guard is a condition: the key has this version (0: it does not exist).
type Guard struct {
	Key     string
	Version uint64
}

// Change is a put, or a delete where Value is nil.
type Change struct {
	Key   string
	Value json.RawMessage
	Lease uint64 // the value goes when this lease ends; 0: it stays
}

// changeOverhead is what the state service's form of a change and of a guard takes beside keys
// and value, in bytes.
const changeOverhead = 200

// Size is about how many bytes a change takes of a transaction, with a guard on its key.
func (c Change) Size() int { return 2*len(c.Key) + len(c.Value) + changeOverhead }

// TxnBytes is how large transactions are made, below what the service takes.
const TxnBytes = 48 << 10

// Event is a change that happened at a revision.
type Event struct {
	Key   string
	Value json.RawMessage // nil: deleted
	Stamp uint64          // the revision, which is the key's version from then on
}

// Folder is the part of a key that says what it is of: its first two parts, or the
// first where there is nothing after the second.
func Folder(key string) string {
	top, rest, _ := strings.Cut(key, "/")
	if folder, _, ok := strings.Cut(rest, "/"); ok {
		return top + "/" + folder
	}
	return top
}

// Outcome is what is known of a request to an outside service.
type Outcome int

// Outcomes. Unknown means that the request may have been carried out or may yet be.
const (
	OK      Outcome = iota
	Refused         // surely not carried out
	Failed          // a guard did not hold, or the thing is gone
	Unknown
	Limited  // refused, as there were too many requests or changes
	TooLarge // refused for good: the service takes nothing of that size
)
