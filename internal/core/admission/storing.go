package admission

import (
	"encoding/json"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// encodedJob is how a new job is stored: first the chunks of its description, where one value does
// not take that, and then the record, which makes the job visible.
type encodedJob struct {
	record       jobs.Record
	value        json.RawMessage // of the record
	chunks       []json.RawMessage
	nextChunk    int    // chunks that are stored, or need not be
	firstVersion uint64 // of the first chunk's key; 0: none is stored
	// firstPresent says that the first chunk was there before: another controller stores, or has stored,
	// the same.
	firstPresent bool
}

func encodeJob(record jobs.Record, valueMax int) encodedJob {
	form := encodedJob{record: record, value: record.Encode()}
	if len(form.value) > valueMax {
		form.record, form.chunks = record.Split(valueMax)
		form.value = form.record.Encode()
	}
	return form
}

// complete reports whether all chunks are stored, so that the record may follow.
func (f *encodedJob) complete() bool { return f.nextChunk == len(f.chunks) }

// store stores what is next of a new job: chunks of its description, if there are any, and then the
// record.
func (h *Handler) store(sub *submission) {
	if sub.encoded.complete() {
		h.storeRecord(sub)
		return
	}
	h.storeChunks(sub)
}

// guards are those of everything that is stored of a new job. The first also keeps late chunks
// from an accepted job, and the second a late record from one that was over and archived meanwhile.
func (s *submission) guards() []store.Guard {
	return []store.Guard{{Key: keys.Job(s.Job)}, {Key: keys.ArchiveMark, Version: s.markVersion}}
}

func (h *Handler) storeRecord(sub *submission) {
	w := &store.Write{Guards: sub.guards(), Changes: []store.Change{{Key: keys.Job(sub.Job), Value: sub.encoded.value}}}
	if sub.encoded.firstVersion != 0 { // who deletes chunks without a record begins with that one
		w.Guards = append(w.Guards, store.Guard{Key: chunks.Key(sub.Job, sub.encoded.record.Checksum, 0), Version: sub.encoded.firstVersion})
	}
	h.queue(sub, w, func(uint64) {
		status := sub.encoded.record.Status
		if job := h.host.Job(sub.Job); job != nil && !job.Active() {
			status = job.Record.Status // it depends on a cancelled one
		}
		h.host.Answer(sub.ID, true, JobAnswer{ID: sub.Job, Status: status})
	})
}

// storeChunks stores as many chunks as go into one transaction. Another controller may be storing
// the same: written once more, the first chunk's version would change, and the two would keep
// each other from storing the record. Others are passed over only where the first was there: else
// they may be about to be deleted.
func (h *Handler) storeChunks(sub *submission) {
	form := &sub.encoded
	first := form.nextChunk == 0
	if first {
		form.firstVersion = h.host.Version(chunks.Key(sub.Job, form.record.Checksum, 0))
		form.firstPresent = form.firstVersion != 0
	}
	w := &store.Write{Guards: sub.guards()}
	for ; len(w.Changes) < h.cfg.TxnOps && !form.complete(); form.nextChunk++ {
		key := chunks.Key(sub.Job, form.record.Checksum, form.nextChunk)
		if !form.firstPresent || h.host.Version(key) == 0 {
			w.Changes = append(w.Changes, store.Change{Key: key, Value: form.chunks[form.nextChunk]})
		}
	}
	if len(w.Changes) == 0 {
		h.store(sub) // all are there
		return
	}
	h.queue(sub, w, func(revision uint64) {
		if first && !form.firstPresent {
			form.firstVersion = revision
		}
		h.store(sub)
	})
}

// queue has a part of a new job stored and goes on with stored, which gets the revision.
func (h *Handler) queue(sub *submission, w *store.Write, stored func(revision uint64)) {
	w.Done = func(outcome store.Outcome, revision uint64) {
		switch outcome {
		case store.OK:
			stored(revision)
		case store.Failed: // another controller, or an earlier try, was first; or the mark is a new one
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
