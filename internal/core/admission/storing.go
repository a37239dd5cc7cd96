package admission

import (
	"encoding/json"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// encodedJob is the stored form of a new job. A job spec that is too large for one value is
// stored first, in chunks. The record is stored last and makes the job visible.
type encodedJob struct {
	record       jobs.Record
	value        json.RawMessage // the encoded record
	chunks       []json.RawMessage
	nextChunk    int    // index of the next chunk to store; those before it are stored already or need not be
	firstVersion uint64 // version of the first chunk's key; 0: the chunk is not stored
	// firstPresent means that the first chunk was already stored:
	// another controller stores, or has stored, the same job.
	firstPresent bool
}

func encodeJob(record jobs.Record, valueMax int) encodedJob {
	encoded := encodedJob{record: record, value: record.Encode()}
	if len(encoded.value) > valueMax {
		encoded.record, encoded.chunks = record.Split(valueMax)
		encoded.value = encoded.record.Encode()
	}
	return encoded
}

// complete reports whether all chunks are stored, so that the record can be written.
func (f *encodedJob) complete() bool { return f.nextChunk == len(f.chunks) }

// store writes the next part of a new job: the chunks of its spec, if there are any, and then the record.
func (h *Handler) store(sub *submission) {
	if sub.encoded.complete() {
		h.storeRecord(sub)
		return
	}
	h.storeChunks(sub)
}

// guards returns the guards of every write of a new job. The first also prevents late chunks
// from being stored for a job that was already accepted. The second also prevents a late record
// from being stored for a job that has ended and been archived in the meantime.
func (s *submission) guards() []store.Guard {
	return []store.Guard{{Key: keys.Job(s.Job)}, {Key: keys.ArchiveMark, Version: s.markVersion}}
}

func (h *Handler) storeRecord(sub *submission) {
	w := &store.Write{Guards: sub.guards(), Changes: []store.Change{{Key: keys.Job(sub.Job), Value: sub.encoded.value}}}
	if sub.encoded.firstVersion != 0 { // the deletion of orphaned chunks begins with the first chunk
		w.Guards = append(w.Guards, store.Guard{Key: chunks.Key(sub.Job, sub.encoded.record.Checksum, 0), Version: sub.encoded.firstVersion})
	}
	h.queue(sub, w, func(uint64) {
		status := sub.encoded.record.Status
		if job := h.host.Job(sub.Job); job != nil && !job.Active() {
			status = job.Record.Status // cancelled because a dependency was cancelled
		}
		h.host.Answer(sub.ID, true, JobAnswer{ID: sub.Job, Status: status})
	})
}

// storeChunks stores as many chunks as fit into one transaction. Another controller may be storing the same
// chunks. Rewriting the first chunk would change its version, and the two controllers would keep each other
// from storing the record; so the first chunk is not written again. Other chunks that exist are skipped
// only if the first one existed: otherwise they may be about to be deleted as orphans.
func (h *Handler) storeChunks(sub *submission) {
	encoded := &sub.encoded
	first := encoded.nextChunk == 0
	if first {
		encoded.firstVersion = h.host.Version(chunks.Key(sub.Job, encoded.record.Checksum, 0))
		encoded.firstPresent = encoded.firstVersion != 0
	}
	w := &store.Write{Guards: sub.guards()}
	for ; len(w.Changes) < h.cfg.TxnOps && !encoded.complete(); encoded.nextChunk++ {
		key := chunks.Key(sub.Job, encoded.record.Checksum, encoded.nextChunk)
		if !encoded.firstPresent || h.host.Version(key) == 0 {
			w.Changes = append(w.Changes, store.Change{Key: key, Value: encoded.chunks[encoded.nextChunk]})
		}
	}
	if len(w.Changes) == 0 {
		h.store(sub) // all chunks are already stored
		return
	}
	h.queue(sub, w, func(revision uint64) {
		if first && !encoded.firstPresent {
			encoded.firstVersion = revision
		}
		h.store(sub)
	})
}

// queue queues a write of a part of a new job. Once it is stored, it calls stored with the revision.
func (h *Handler) queue(sub *submission, w *store.Write, stored func(revision uint64)) {
	w.Done = func(outcome store.Outcome, revision uint64) {
		switch outcome {
		case store.OK:
			stored(revision)
		case store.Failed: // another controller or an earlier attempt was first, or the archive's mark has changed
			h.retry(sub)
		case store.TooLarge:
			h.host.Refuse(sub.ID, TemporaryRefusal("the state service takes no value of that size"))
		default:
			h.host.Forward(sub.Request)
		}
	}
	if !h.host.Queue(w) {
		h.host.Refuse(sub.ID, TemporaryRefusal("too many submissions"))
	}
}
