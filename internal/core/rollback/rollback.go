// Package rollback puts right what a state service lacks that went back behind its answers.
//
// By the protocol it never does. Should it all the same (it was put back to an older copy, or
// has lost writes), controllers notice it by a revision below one that they have seen, or by a
// transaction of theirs that got no higher one (package watchcache). Each then takes its copy
// of the keys anew, keeps what it knows to be newer, and writes that again; its peers learn of
// it by its status and do the same. What authority rests on, memberships and the leader
// record, is as the service has it now.
package rollback

import (
	"log/slog"
	"strings"

	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replaylog"
	"shalestage.example/shalestage/internal/core/store"
)

// replayLogBytes bounds the memory for what may have to be written again: some minutes of
// changes at the rates of docs/results.md.
const replayLogBytes = 1 << 20

// Host is the controller whose copy of the keys is taken anew. OnListing calls its methods in
// the order in which they stand here; none of them calls OnListing.
type Host interface {
	// RestoreArchived puts right what a listing shows of archived jobs as unfinished, and
	// returns what is to be written for that.
	RestoreArchived(listed []store.Event) []store.Event
	// Recover has the copy take a listing, as of a revision, but for keys whose known values
	// are newer.
	Recover(revision uint64, listed []store.Event, newer map[string]bool)
	// StateRolledBack tells all who rely on what the state service had answered.
	StateRolledBack()
	// Rewriter is used for each lost value.
	Rewriter
	// RestoreShards stores again what this controller knows of the shards that it owns.
	RestoreShards()
}

// Rewriter is what it takes to write a lost value again.
type Rewriter interface {
	// Store queues a write ahead of others.
	Store(w *store.Write)
	// ReadFresh calls a function once a read that began after this call has ended.
	ReadFresh(ended func(ok bool))
	// Version is the version of a key in the copy of the state service's keys.
	Version(key string) uint64
}

// Recovery remembers what may have to be written again.
type Recovery struct {
	host Host
	log  *slog.Logger
	past *replaylog.Log
}

// New returns a recovery that remembers nothing yet.
func New(host Host, log *slog.Logger) *Recovery {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Recovery{host: host, log: log, past: replaylog.New(replayLogBytes)}
}

// Note remembers a change that was learnt.
func (r *Recovery) Note(e store.Event) {
	if !decidesAuthority(e.Key) {
		r.past.Record(e)
	}
}

// decidesAuthority reports whether a key says who may act: it is never written again by
// others than its owner.
func decidesAuthority(key string) bool {
	return key == keys.Leader || key == keys.LeaderSinceArchive || strings.HasPrefix(key, keys.MemberPrefix) || strings.HasPrefix(key, keys.StandbyPrefix)
}

// OnListing takes the first listing, as of a revision, after the state service went back.
func (r *Recovery) OnListing(revision uint64, items []store.Event) {
	lost := r.host.RestoreArchived(items)
	listed := make(map[string]store.Event, len(items))
	for _, e := range items {
		listed[e.Key] = e
	}
	newer := map[string]bool{}
	for _, known := range r.past.Lost(listed) {
		there := listed[known.Key]
		if value, ok := merge(known, there.Value); ok {
			newer[known.Key] = true
			lost = append(lost, store.Event{Key: known.Key, Value: value, Stamp: there.Stamp})
		}
	}
	r.host.Recover(revision, items, newer)
	r.host.StateRolledBack()
	for _, e := range lost {
		r.log.Warn("written again", "key", e.Key, "listed_version", e.Stamp)
		r.Rewrite(e)
	}
	r.host.RestoreShards()
}

// Rewrite stores a value that was lost, unless somebody else changes the key first. What one
// who knew less has written over it is judged again.
func (r *Recovery) Rewrite(e store.Event) {
	r.host.Store(&store.Write{
		Guards:  []store.Guard{{Key: e.Key, Version: e.Stamp}},
		Changes: []store.Change{{Key: e.Key, Value: e.Value}},
		First:   true,
		Done: func(o store.Outcome, _ uint64) {
			if o != store.OK && o != store.TooLarge {
				r.retry(e, o)
			}
		},
	})
}

// retry decides by what is there now whether a value must still be written: its write was
// refused, its outcome is unknown, or another was first.
func (r *Recovery) retry(e store.Event, o store.Outcome) {
	r.host.ReadFresh(func(ok bool) {
		changed := r.host.Version(e.Key) != e.Stamp
		if ok && (changed || o == store.Failed) {
			return // it is there, or somebody else's is
		}
		r.Rewrite(e)
	})
}
