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

// Writer queues transactions that are guarded by the assignment of the first shard. A
// transaction fails once the assignment has ended, or if the version of a guarded key
// differs from that in the watch cache. done is called later with the outcome.
type Writer interface {
	Write(done func(store.Outcome), guarded []string, changes ...store.Change)
}

// GarbagePending reports whether CollectGarbage has anything to do.
func (r *Registry) GarbagePending() bool { return len(r.pendingCleanup) > 0 }

// CollectGarbage queues up to capacity changes that clean up after final jobs: it
// stores the cancellation of jobs that were cancelled through a dependency, and deletes
// the chunks of job specs. Failed changes are retried by a later call.
func (r *Registry) CollectGarbage(capacity int, w Writer) {
	for _, id := range slices.Sorted(maps.Keys(r.pendingCleanup)) {
		if capacity <= 0 {
			return
		}
		delete(r.pendingCleanup, id)
		if job := r.all[id]; job != nil && job.CancelledBy != "" {
			r.storeCancellation(job, w)
			capacity--
		} else {
			capacity -= r.deleteChunks(id, capacity, w)
		}
	}
}

// storeCancellation writes the cancellation of a job that was
// cancelled through a dependency to the job's own record.
func (r *Registry) storeCancellation(job *jobs.Job, w Writer) {
	key := keys.Job(job.ID)
	w.Write(func(o store.Outcome) {
		if o != store.OK && job.CancelledBy != "" {
			r.pendingCleanup[job.ID] = true
		}
	}, []string{key}, store.Change{Key: key, Value: job.Record.Encode()})
}

// deleteChunks deletes at most capacity chunks of a final job, and returns how many deletions it has queued.
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
			r.pendingCleanup[id] = true
		}
	}, chunkKeys, deletions(chunkKeys)...)
	return len(chunkKeys)
}

// orphanInterval is the minimum time between two transactions that delete orphaned chunks.
// In that time the watch cache normally catches up with the previous one.
const orphanInterval = units.Second

// OrphanCollection is the state of the deletion of orphaned chunks, kept by the
// owner of the first shard. The zero value is used when ownership begins.
type OrphanCollection struct {
	job    string // whose chunks are being deleted; "": none
	nextAt units.Microseconds
}

// Due reports whether it is time to call CollectOrphans.
func (o *OrphanCollection) Due(now units.Microseconds) bool { return now >= o.nextAt }

// CollectOrphans deletes the chunks of a job spec whose submission was abandoned before its record was
// stored. The record may still be written late, for example by a controller that was paused. It is guarded
// by the version of the first chunk, and the first chunk is deleted before the others, which are deleted
// only while there is still no record. So a record is stored with all of its chunks or not at all.
//
// CollectOrphans must not run while another controller's release does not guard the first chunk.
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
			r.chunks.RequeueOrphan(r.host.Now(), id) // the submission has continued, or the outcome is unknown
			return
		}
		// The chunks are removed from memory only when the watch cache shows their
		// deletion. If they were removed now, and the first chunk were stored again in the
		// meantime, the remaining chunks would look as if they had no first chunk.
		r.cfg.Log.Info("deleted chunks of an abandoned submission", "job", id, "chunks", count)
	}, []string{keys.Job(id), first}, deletions(chunkKeys)...)
}

// deletions returns changes that delete the given keys.
func deletions(chunkKeys []string) []store.Change {
	changes := make([]store.Change, len(chunkKeys))
	for i, key := range chunkKeys {
		changes[i].Key = key
	}
	return changes
}
