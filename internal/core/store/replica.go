package store

import (
	"maps"
	"slices"
)

// Replica follows the keys of the state service. It stores their versions only; values are passed to apply.
type Replica struct {
	Revision uint64 // the replica contains all changes up to this revision
	versions map[string]uint64
	apply    func(Event)
	listing  *listing // in progress; nil: none
}

// listing is a full listing whose pages arrive one by one while the replica keeps applying changes.
type listing struct {
	revision uint64
	listed   map[string]bool
	deleted  map[string]uint64 // deletions since it began: pages read earlier may still list the keys
}

// NewReplica returns an empty replica that passes every change to apply, once and in order for each key.
func NewReplica(apply func(Event)) *Replica {
	return &Replica{versions: map[string]uint64{}, apply: apply}
}

// Version returns the version of a key in the replica, or 0 if the key does not exist.
func (r *Replica) Version(key string) uint64 { return r.versions[key] }

// Len returns the number of keys in the replica.
func (r *Replica) Len() int { return len(r.versions) }

// Apply applies an event unless the replica has the same or a newer version of its key.
func (r *Replica) Apply(event Event) {
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

// ApplyChanges applies the response to a watch: all changes after one revision up to and including another.
func (r *Replica) ApplyChanges(after, upTo uint64, events []Event) {
	if after > r.Revision {
		return // changes are missing: the replica was listed again after the watch was sent
	}
	for _, event := range events {
		if event.Stamp > r.Revision {
			r.Apply(event)
		}
	}
	r.Revision = max(r.Revision, upTo)
}

// BeginListing starts a full listing whose first page was read at revision. Watches continue from that
// revision while further pages arrive.
func (r *Replica) BeginListing(revision uint64) {
	r.listing = &listing{revision: revision, listed: map[string]bool{}, deleted: map[string]uint64{}}
	r.Revision = revision
}

// ApplyPage applies one page of the listing in progress, if any.
func (r *Replica) ApplyPage(items []Event) {
	if r.listing == nil {
		return
	}
	for _, event := range items {
		r.listing.listed[event.Key] = true
		if event.Stamp > r.listing.deleted[event.Key] {
			r.Apply(event)
		}
	}
}

// EndListing completes the listing. It deletes keys that no page contained, unless they were
// written after the listing started.
func (r *Replica) EndListing() {
	finished := r.listing
	if finished == nil {
		return
	}
	r.listing = nil
	for key, version := range r.versions {
		if !finished.listed[key] && version <= finished.revision {
			delete(r.versions, key)
			r.apply(Event{Key: key, Stamp: finished.revision})
		}
	}
}

// Reset replaces the contents by a full listing after a rollback of the state service. Listed versions
// replace newer ones, and every value is applied even if its version is unchanged, because the service may
// have assigned a version twice. Keys in keep are not applied: the caller has newer values for them.
func (r *Replica) Reset(revision uint64, items []Event, keep map[string]bool) {
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

// Overwrite applies an event stored by a transaction of this controller, even if the replica has a newer
// version: after a rollback the service assigns revisions a second time.
func (r *Replica) Overwrite(event Event) {
	r.versions[event.Key] = event.Stamp
	r.apply(event)
}
