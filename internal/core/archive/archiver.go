package archive

import (
	"container/list"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Source is what the archiver needs to know of the jobs that are over. It is called from Step
// and when the bucket has been read, and calls back into nothing.
type Source interface {
	// Candidate returns what is to be archived of a job; ok is false while it must stay. A job
	// whose end was stored at or after the cut must.
	Candidate(id string, cut uint64) (job Candidate, ok bool)
}

// Candidate is a job that may be archived: its answer, the key and the version of its record,
// and the keys of its progress, which are to go with that.
type Candidate struct {
	Summary  Summary
	Key      string
	Version  uint64
	Progress []string
}

// Archiver moves the answers of jobs that are over into buckets, the oldest first. Every
// controller keeps the list; the leader archives.
type Archiver struct {
	index    *Index
	oldest   *list.List // of entry, as they were learnt
	elements map[string]*list.Element
	writing  bool               // a step is under way
	retryAt  units.Microseconds // no step is made before
	archived int                // jobs, by this controller, since the last call of takeArchived
}

type entry struct {
	id    string
	since units.Microseconds
}

const (
	// maxExamined bounds how many of the jobs are examined for those of one bucket.
	maxExamined = 1 << 13
	// maxPostponed bounds how many jobs that must stay a step puts behind the others.
	maxPostponed = 64
	// idleRetry is the pause where nothing can be archived yet, failedRetry that after a
	// write that was not carried out.
	idleRetry   = units.Second
	failedRetry = units.Second / 2
	// txnReserve are bytes of a transaction for its guards, and splitValues the most values
	// of a bucket in it: the bucket may have to be split.
	txnReserve  = 1024
	splitValues = 2
)

// NewArchiver returns an archiver that knows of no job.
func NewArchiver(index *Index) *Archiver {
	return &Archiver{index: index, oldest: list.New(), elements: map[string]*list.Element{}}
}

// JobFinalized notes that a job is over.
func (a *Archiver) JobFinalized(now units.Microseconds, id string) {
	if a.elements[id] == nil {
		a.elements[id] = a.oldest.PushBack(entry{id, now})
	}
}

// RecordRemoved notes that a job's record is not there any more.
func (a *Archiver) RecordRemoved(id string) {
	if element := a.elements[id]; element != nil {
		a.oldest.Remove(element)
		delete(a.elements, id)
	}
}

// Len returns how many jobs that are over are kept in memory.
func (a *Archiver) Len() int { return len(a.elements) }

// takeArchived returns how many jobs were archived since it was last called.
func (a *Archiver) takeArchived() int {
	n := a.archived
	a.archived = 0
	return n
}

// postpone puts a job that cannot be archived yet behind the others.
func (a *Archiver) postpone(now units.Microseconds, id string) {
	if element := a.elements[id]; element != nil {
		element.Value = entry{id, now}
		a.oldest.MoveToBack(element)
	}
}

// Limits are those of the state service.
type Limits struct {
	ValueBytes int // bytes of a bucket's value
	TxnOps     int // changes of one transaction
	TxnBytes   int // bytes of one transaction
}

// step is what one step goes by.
type step struct {
	now    units.Microseconds
	minAge units.Microseconds // for so long a job must be over
	source Source
	limits Limits
	send   func(*store.Write) bool
}

// Step archives some jobs, if any has been over for long enough: it reads a bucket and
// hands the write to send, which has guards for all but the archiver's own authority.
// One step is under way at a time.
func (a *Archiver) Step(now units.Microseconds, minAge units.Microseconds, source Source, limits Limits, send func(*store.Write) bool) {
	if a.writing || now < a.retryAt {
		return
	}
	cut := a.index.mark.Cutoff
	for range maxPostponed {
		first := a.oldest.Front()
		if first == nil || now-first.Value.(entry).since < minAge {
			a.retryAt = now + idleRetry
			return
		}
		id := first.Value.(entry).id
		candidate, ok := source.Candidate(id, cut)
		if candidate.Version >= cut { // the next cut is for it and those behind it
			a.retryAt = now + idleRetry
			return
		}
		if ok {
			a.writing = true
			s := step{now, minAge, source, limits, send}
			a.index.ReadBucket(id, func(b *Bucket, version uint64) { a.archive(s, b, version) })
			return
		}
		a.postpone(now, id)
	}
}

// archive writes a bucket that was read just now.
func (a *Archiver) archive(current step, b *Bucket, version uint64) {
	a.writing = false
	if b == nil { // not known: the state service is asked again soon
		a.retryAt = max(a.retryAt, current.now+idleRetry)
		return
	}
	w, taken := a.write(current, b, version)
	if w == nil {
		return
	}
	a.writing = true
	w.Done = func(o store.Outcome, _ uint64) {
		a.writing = false
		a.written(current.now, o, taken)
	}
	if !current.send(w) {
		a.writing = false
		a.retryAt = current.now + idleRetry
	}
}

// written takes what became of the write that archives some jobs.
func (a *Archiver) written(now units.Microseconds, o store.Outcome, taken map[string]Summary) {
	switch o {
	case store.OK:
		a.archived += len(taken)
		for _, id := range slices.Sorted(maps.Keys(taken)) {
			a.index.CacheSummary(id, taken[id])
			a.RecordRemoved(id) // the copy shows it with the next read
		}
	case store.TooLarge:
		a.retryAt = max(a.retryAt, now+idleRetry)
		a.postponeAll(now, taken)
	default: // what has come of it shows when the bucket is read again
		a.retryAt = max(a.retryAt, now+failedRetry)
	}
}

func (a *Archiver) postponeAll(now units.Microseconds, taken map[string]Summary) {
	for _, id := range slices.Sorted(maps.Keys(taken)) {
		a.postpone(now, id)
	}
}

// write makes the transaction that adds to a bucket as many jobs as fit. taken are those of
// which it removes the records.
func (a *Archiver) write(current step, b *Bucket, version uint64) (w *store.Write, taken map[string]Summary) {
	t := a.collect(current, b)
	switch {
	case t.progressOnly:
		return &t.write, nil
	case len(t.taken) == 0:
		return nil, nil
	}
	pieces := b.with(t.answers).pieces(current.limits.ValueBytes, current.limits.TxnOps-len(t.deletions))
	if pieces == nil {
		// Splitting alone takes all that goes with one transaction: the jobs come next.
		pieces = b.pieces(current.limits.ValueBytes, current.limits.TxnOps)
		if pieces == nil || len(pieces) == 1 {
			a.postponeAll(current.now, t.taken)
			return nil, nil
		}
		t.taken, t.deletions, t.write.Guards = nil, nil, nil
	}
	for _, piece := range pieces {
		guard := store.Guard{Key: Key(piece.Number)}
		if piece.Number == b.Number {
			guard.Version = version
		}
		t.write.Guards = append(t.write.Guards, guard)
		t.write.Changes = append(t.write.Changes, store.Change{Key: guard.Key, Value: piece.Encode()})
		a.index.noteDepth(piece.Number, piece.Depth)
	}
	t.write.Changes = append(t.write.Changes, t.deletions...)
	return &t.write, t.taken
}

// collect takes the oldest jobs of a bucket as far as they go with one transaction.
func (a *Archiver) collect(current step, b *Bucket) *batch {
	t := &batch{limits: current.limits, write: store.Write{Deferred: true}, taken: map[string]Summary{}, answers: map[uint64]Summary{}}
	examined := 0
	for element := a.oldest.Front(); element != nil && examined < maxExamined; element = element.Next() {
		examined++
		job := element.Value.(entry)
		if current.now-job.since < current.minAge {
			break
		}
		if !b.Covers(job.id) {
			continue
		}
		if candidate, ok := current.source.Candidate(job.id, a.index.mark.Cutoff); ok && !t.add(job.id, candidate) {
			break
		}
	}
	return t
}

// batch is a transaction in the making.
type batch struct {
	limits       Limits
	write        store.Write // its guards are those on the records of the jobs
	taken        map[string]Summary
	answers      map[uint64]Summary // the same, by number
	deletions    []store.Change
	bytes        int  // of the deletions
	progressOnly bool // it removes progress of one job, of which there is too much, and nothing else
}

// add takes a job unless it does not fit. It reports whether others may.
func (t *batch) add(id string, candidate Candidate) (more bool) {
	// A bucket may have to be split, which takes one change more.
	room := t.limits.TxnOps - splitValues - len(t.deletions)
	if room < 1 {
		return false
	}
	if len(candidate.Progress)+1 > room {
		if len(t.taken) == 0 {
			t.removeProgress(candidate)
		}
		return len(t.taken) > 0
	}
	number, err := jobNumber(id)
	if err != nil {
		return true
	}
	deletions, bytes := candidate.deletions()
	if t.bytes+bytes+splitValues*t.limits.ValueBytes+txnReserve > t.limits.TxnBytes {
		return false
	}
	t.bytes += bytes
	t.taken[id] = candidate.Summary
	t.answers[number] = candidate.Summary
	t.write.Guards = append(t.write.Guards, store.Guard{Key: candidate.Key, Version: candidate.Version})
	t.deletions = append(t.deletions, deletions...)
	return true
}

// removeProgress makes the transaction remove as much of a job's progress as it can. The job
// comes once little enough is left.
func (t *batch) removeProgress(candidate Candidate) {
	t.progressOnly = true
	for _, key := range candidate.Progress[:min(len(candidate.Progress), t.limits.TxnOps)] {
		t.write.Changes = append(t.write.Changes, store.Change{Key: key})
	}
	t.write.Guards = append(t.write.Guards, store.Guard{Key: candidate.Key, Version: candidate.Version})
}

// deletions are the changes that remove all that is stored of a job, and their size.
func (c Candidate) deletions() (changes []store.Change, bytes int) {
	for _, key := range append([]string{c.Key}, c.Progress...) {
		change := store.Change{Key: key}
		changes = append(changes, change)
		bytes += change.Size()
	}
	return changes, bytes
}
