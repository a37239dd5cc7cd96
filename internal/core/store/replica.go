package store

import (
	"maps"
	"slices"
)

// Replica is the copy of the keys: their versions, while the values go to whoever applies them.
type Replica struct {
	Revision uint64 // up to which the copy is complete
	versions map[string]uint64
	apply    func(Event)
	listing  *listing // that is being taken; nil: none is
}

// listing is one of which the pages come one after the other, while changes go on to be learnt.
type listing struct {
	revision uint64
	listed   map[string]bool
	deleted  map[string]uint64 // learnt since it began: older pages may still show them
}

// NewReplica returns an empty copy that hands every change to apply, once and in order per key.
func NewReplica(apply func(Event)) *Replica {
	return &Replica{versions: map[string]uint64{}, apply: apply}
}

// Version returns a key's version in the copy, 0 if it does not exist.
func (r *Replica) Version(key string) uint64 { return r.versions[key] }

// Keys returns how many keys the copy holds.
func (r *Replica) Keys() int { return len(r.versions) }

// Learn applies one event unless something newer is known of its key.
func (r *Replica) Learn(event Event) {
	known, exists := r.versions[event.Key]
	if event.Stamp <= known {
		return
	}
	if event.Value != nil {
		r.versions[event.Key] = event.Stamp
		r.apply(event)
		return
	}
	if r.listing != nil {
		r.listing.deleted[event.Key] = event.Stamp
	}
	if exists {
		delete(r.versions, event.Key)
		r.apply(event)
	}
}

// Advance applies what a watch answered: all changes after a revision up to another.
func (r *Replica) Advance(after, upTo uint64, events []Event) {
	if after > r.Revision {
		return // a gap: the copy was taken anew meanwhile
	}
	for _, event := range events {
		if event.Stamp > r.Revision {
			r.Learn(event)
		}
	}
	r.Revision = max(r.Revision, upTo)
}

// Begin begins to take a full listing, of which the first page was read at a revision. From
// then on watches go on from there, while further pages come.
func (r *Replica) Begin(revision uint64) {
	r.listing = &listing{revision: revision, listed: map[string]bool{}, deleted: map[string]uint64{}}
	r.Revision = revision
}

// Page takes a part of the listing.
func (r *Replica) Page(items []Event) {
	if r.listing == nil {
		return
	}
	for _, event := range items {
		r.listing.listed[event.Key] = true
		if event.Stamp > r.listing.deleted[event.Key] {
			r.Learn(event)
		}
	}
}

// End ends the listing: keys that it lacks are gone unless the copy knows that they
// were written later.
func (r *Replica) End() {
	taken := r.listing
	if taken == nil {
		return
	}
	r.listing = nil
	for key, version := range r.versions {
		if !taken.listed[key] && version <= taken.revision {
			delete(r.versions, key)
			r.apply(Event{Key: key, Stamp: taken.revision})
		}
	}
}

// Recover takes a full listing of a service that went back behind the copy. Every
// version is as listed, whatever was known, and every value is applied, as the service may
// have given out a version a second time; the keys to keep are not, as the copy knows
// better of them.
func (r *Replica) Recover(revision uint64, items []Event, keep map[string]bool) {
	old := r.versions
	r.listing = nil
	r.versions = make(map[string]uint64, len(items))
	for _, event := range items {
		r.versions[event.Key] = event.Stamp
		if !keep[event.Key] {
			r.apply(event)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if _, listed := r.versions[key]; !listed && !keep[key] {
			r.apply(Event{Key: key, Stamp: revision})
		}
	}
	r.Revision = revision
}

// Put takes what a transaction of this node's has stored, also where the service has given out
// revisions a second time.
func (r *Replica) Put(event Event) {
	r.versions[event.Key] = event.Stamp
	r.apply(event)
}
