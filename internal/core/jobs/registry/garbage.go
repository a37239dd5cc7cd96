package registry

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Writer queues a transaction under the assignment of the first shard. It fails once that has
// ended, or one of the guarded keys has another version than this controller has seen; done is
// called later, with its outcome.
type Writer interface {
	Write(done func(store.Outcome), guarded []string, changes ...store.Change)
}

// GarbagePending reports whether CollectGarbage has anything to do.
func (r *Registry) GarbagePending() bool { return len(r.pendingDeletion) > 0 }

// CollectGarbage queues up to capacity changes that bring the state service up to date behind jobs that
// are over: their own records say that they were cancelled through another, and chunks of their
// descriptions go. What fails is tried again.
func (r *Registry) CollectGarbage(capacity int, w Writer) {
	for _, id := range slices.Sorted(maps.Keys(r.pendingDeletion)) {
		if capacity <= 0 {
			return
		}
		delete(r.pendingDeletion, id)
		if job := r.all[id]; job != nil && job.CancelledBy != "" {
			r.storeCancellation(job, w)
			capacity--
		} else {
			capacity -= r.deleteChunks(id, capacity, w)
		}
	}
}

// storeCancellation has a job's record say that it was cancelled through another.
func (r *Registry) storeCancellation(job *jobs.Job, w Writer) {
	key := keys.Job(job.ID)
	w.Write(func(o store.Outcome) {
		if o != store.OK && job.CancelledBy != "" {
			r.pendingDeletion[job.ID] = true
		}
	}, []string{key}, store.Change{Key: key, Value: job.Record.Encode()})
}

// deleteChunks removes chunks that nobody needs any more, as many as there is capacity for, and
// returns how many.
func (r *Registry) deleteChunks(id string, capacity int, w Writer) int {
	chunkKeys := r.chunks.Keys(id)
	chunkKeys = chunkKeys[:min(len(chunkKeys), capacity, r.cfg.TxnOps)]
	if len(chunkKeys) == 0 {
		return 0
	}
	w.Write(func(o store.Outcome) {
		if o == store.OK {
			for _, key := range chunkKeys {
				r.chunkDeleted(key)
			}
		}
		if r.chunks.HasChunks(id) {
			r.pendingDeletion[id] = true
		}
	}, chunkKeys, deletions(chunkKeys)...)
	return len(chunkKeys)
}

// orphanInterval is the least time between two transactions that delete orphaned chunks; the copy
// has followed the one before by then.
const orphanInterval = units.Second

// OrphanCollection is how far the owner of the first shard has come with orphaned chunks. Each
// ownership begins with the zero value.
type OrphanCollection struct {
	job    string // whose chunks are being deleted; "": none
	nextAt units.Microseconds
}

// Due reports whether it is time for CollectOrphans.
func (o *OrphanCollection) Due(now units.Microseconds) bool { return now >= o.nextAt }

// CollectOrphans deletes chunks of a description whose submission was given up half-way. The
// record may still be on its way, sent by a controller that stands still, or late: it
// guards the version of the first chunk, which goes before the others, and these go only
// while it stays away. So a record is stored with all of its chunks or not at all.
// It must not be called beside a controller whose release does not guard the first chunk.
func (r *Registry) CollectOrphans(collection *OrphanCollection, w Writer) {
	now := r.host.Now()
	collection.nextAt = now + orphanInterval
	id := collection.job
	if id == "" {
		id, _ = r.chunks.NextOrphan(now, r.cfg.OrphanAge)
	}
	chunkKeys := r.chunks.Keys(id)
	if r.all[id] != nil || len(chunkKeys) == 0 {
		collection.job = ""
		return
	}
	collection.job = id
	first := chunks.FirstKey(chunkKeys[0])
	count := 1
	for count < min(len(chunkKeys), r.cfg.TxnOps) && chunks.FirstKey(chunkKeys[count]) == first {
		count++
	}
	chunkKeys = chunkKeys[:count]
	w.Write(func(outcome store.Outcome) {
		if outcome != store.OK {
			collection.job = ""
			r.chunks.RequeueOrphan(r.host.Now(), id) // the submission has gone on, or nobody knows
			return
		}
		// They are dropped here when the copy shows that they are deleted, and not now: the first
		// may have been stored once more by then, and the others would be taken for ones
		// without it.
		r.cfg.Log.Info("chunks of an abandoned submission are deleted", "job", id, "chunks", count)
	}, []string{keys.Job(id), first}, deletions(chunkKeys)...)
}

// deletions are changes that delete keys.
func deletions(chunkKeys []string) []store.Change {
	changes := make([]store.Change, len(chunkKeys))
	for i, key := range chunkKeys {
		changes[i].Key = key
	}
	return changes
}
