// Package rollback restores values that are missing after a rollback of the
// state service, that is, after it has lost writes that it had acknowledged.
//
// By its protocol the state service never loses them. If it does all the same, because the service
// was restored from an older backup or has lost writes, a controller detects it by a revision below
// one that it has seen, or by a transaction of its own that got no higher revision (package
// watchcache). The controller then lists all keys again, keeps the values that it knows to be newer,
// and writes them again. Its peers detect the rollback by its status and do the same. Memberships
// and the leader record, on which authority rests, are accepted as the service has them now.
package rollback

import (
	"log/slog"
	"strings"

	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replaylog"
	"shalestage.example/shalestage/internal/core/store"
)

// replayLogBytes bounds the memory for changes that may have to be written
// again. It holds some minutes of changes at the rates of docs/results.md.
const replayLogBytes = 1 << 20

// Host is the controller whose watch cache is listed again. OnListing calls
// its methods in the order of their declaration; none of them calls OnListing.
type Host interface {
	// RestoreArchived corrects jobs that are archived and that a listing
	// shows as unfinished, and returns the values to be written for that.
	RestoreArchived(listed []store.Event) []store.Event
	// RestoreCache loads a listing, as of a revision, into
	// the cache, except keys whose known values are newer.
	RestoreCache(revision uint64, listed []store.Event, newer map[string]bool)
	// StateRolledBack notifies every component that relies on earlier answers of the state service.
	StateRolledBack()
	// Rewriter is used for each lost value.
	Rewriter
	// RestoreShards stores again what this controller knows of the shards that it owns.
	RestoreShards()
}

// Rewriter is the access to the state service that is needed to write a lost value again.
type Rewriter interface {
	// Store queues a write ahead of others.
	Store(w *store.Write)
	// ReadFresh calls a function when a read has ended that
	// began after this call; ok is false if the read failed.
	ReadFresh(ended func(ok bool))
	// Version returns the version of a key in the watch cache.
	Version(key string) uint64
}

// Recovery keeps a bounded log of changes, and writes them again after a rollback. Use New.
type Recovery struct {
	host    Host
	log     *slog.Logger
	changes *replaylog.Log
}

// New returns a Recovery with an empty log.
func New(host Host, log *slog.Logger) *Recovery {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Recovery{host: host, log: log, changes: replaylog.New(replayLogBytes)}
}

// RecordChange adds an observed change to the log.
func (r *Recovery) RecordChange(e store.Event) {
	if !decidesAuthority(e.Key) {
		r.changes.Record(e)
	}
}

// decidesAuthority reports whether a key decides which controller has
// authority. Such a key is never written again except by its owner.
func decidesAuthority(key string) bool {
	return key == keys.Leader || key == keys.LeaderSinceArchive || strings.HasPrefix(key, keys.MemberPrefix) || strings.HasPrefix(key, keys.StandbyPrefix)
}

// OnListing handles the first listing, as of a revision, after a rollback of the state service.
func (r *Recovery) OnListing(revision uint64, items []store.Event) {
	lost := r.host.RestoreArchived(items)
	listed := make(map[string]store.Event, len(items))
	for _, e := range items {
		listed[e.Key] = e
	}
	newer := map[string]bool{}
	for _, known := range r.changes.Lost(listed) {
		there := listed[known.Key]
		if value, ok := merge(known, there.Value); ok {
			newer[known.Key] = true
			lost = append(lost, store.Event{Key: known.Key, Value: value, Stamp: there.Stamp})
		}
	}
	r.host.RestoreCache(revision, items, newer)
	r.host.StateRolledBack()
	for _, e := range lost {
		r.log.Warn("rewriting value lost by the state service", "key", e.Key, "listed_version", e.Stamp)
		r.Rewrite(e)
	}
	r.host.RestoreShards()
}

// Rewrite stores a lost value, unless somebody else changes the key first. That change then stays, even
// if its author knew less; every other controller that recovers compares it again with what it knows.
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

// retry decides whether a value must still be written after its write was
// refused, has an unknown outcome, or has failed because the key had changed.
func (r *Recovery) retry(e store.Event, o store.Outcome) {
	r.host.ReadFresh(func(ok bool) {
		changed := r.host.Version(e.Key) != e.Stamp
		if ok && (changed || o == store.Failed) {
			return // the value was stored, or another controller's change
		}
		r.Rewrite(e)
	})
}
