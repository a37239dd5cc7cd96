package archive

import (
	"container/list"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Source provides the finished jobs to the archiver. It is called from Step and after a bucket has been read.
// It must not call back into the archiver.
type Source interface {
	// Candidate returns what to archive of a job. ok is false if the job must not be archived yet, for
	// example because its final record was stored at or after the cutoff revision.
	Candidate(id string, cutoff uint64) (job Candidate, ok bool)
}

// Candidate is a job that may be archived: its summary, the key and version of its record, and the keys of
// its progress records, which are deleted with it.
type Candidate struct {
	Summary  Summary
	Key      string
	Version  uint64
	Progress []string
}

// Archiver moves summaries of finished jobs into buckets, oldest first. Every controller maintains the list
// of finished jobs; only the leader archives.
type Archiver struct {
	index         *Index
	oldest        *list.List // of entry, in the order in which the jobs were observed to be final
	elements      map[string]*list.Element
	writing       bool               // a read or write of a step is in flight
	retryAt       units.Microseconds // earliest time of the next step
	archivedCount int                // jobs archived by this controller since the last call of takeArchived
}

type entry struct {
	id       string
	queuedAt units.Microseconds
}

const (
	// maxExamined limits how many jobs are examined to find those of one bucket.
	maxExamined = 1 << 13
	// maxPostponed limits how many jobs that cannot be archived yet one step moves to the back of the list.
	maxPostponed = 64
	// idleRetryDelay is the pause when nothing can be archived yet, failedRetryDelay the pause after a write
	// that failed or has an unknown outcome.
	idleRetryDelay   = units.Second
	failedRetryDelay = units.Second / 2
	// txnOverhead is the number of bytes of a transaction reserved for its guards. splitValues is the number
	// of bucket values for which space is reserved: the bucket may have to be split.
	txnOverhead = 1024
	splitValues = 2
)

// NewArchiver returns an archiver with an empty list of finished jobs.
func NewArchiver(index *Index) *Archiver {
	return &Archiver{index: index, oldest: list.New(), elements: map[string]*list.Element{}}
}

// JobFinalized adds a job that has become final to the list.
func (a *Archiver) JobFinalized(now units.Microseconds, id string) {
	if a.elements[id] == nil {
		a.elements[id] = a.oldest.PushBack(entry{id, now})
	}
}

// RecordRemoved removes a job whose record has been deleted from the list.
func (a *Archiver) RecordRemoved(id string) {
	if element := a.elements[id]; element != nil {
		a.oldest.Remove(element)
		delete(a.elements, id)
	}
}

// Len returns the number of finished jobs in the list.
func (a *Archiver) Len() int { return len(a.elements) }

// takeArchived returns the number of jobs archived since its last call.
func (a *Archiver) takeArchived() int {
	n := a.archivedCount
	a.archivedCount = 0
	return n
}

// postpone moves a job that cannot be archived yet to the back of the list.
func (a *Archiver) postpone(now units.Microseconds, id string) {
	if element := a.elements[id]; element != nil {
		element.Value = entry{id, now}
		a.oldest.MoveToBack(element)
	}
}

// Limits are the limits of the state service.
type Limits struct {
	ValueBytes int // bytes of the value of a bucket
	TxnOps     int // changes of one transaction
	TxnBytes   int // bytes of one transaction
}

// step holds the parameters of one call of Step.
type step struct {
	now    units.Microseconds
	minAge units.Microseconds // time for which a job must have been final
	source Source
	limits Limits
	send   func(*store.Write) bool
}

// Step archives jobs that have been final for at least minAge, if there are any. It reads the
// bucket of the oldest one and passes the write to send, which reports whether it was queued. The
// write has all guards except the one for this controller's leadership, which send must add. At
// most one step is in progress at a time.
func (a *Archiver) Step(now units.Microseconds, minAge units.Microseconds, source Source, limits Limits, send func(*store.Write) bool) {
	if a.writing || now < a.retryAt {
		return
	}
	cutoff := a.index.mark.Cutoff
	for range maxPostponed {
		first := a.oldest.Front()
		if first == nil || now-first.Value.(entry).queuedAt < minAge {
			a.retryAt = now + idleRetryDelay
			return
		}
		id := first.Value.(entry).id
		candidate, ok := source.Candidate(id, cutoff)
		if candidate.Version >= cutoff { // this job and all later ones have to wait for a higher cutoff
			a.retryAt = now + idleRetryDelay
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

// archive sends the write for a bucket that has just been read.
func (a *Archiver) archive(current step, b *Bucket, version uint64) {
	a.writing = false
	if b == nil { // the read failed: retry after a delay
		a.retryAt = max(a.retryAt, current.now+idleRetryDelay)
		return
	}
	w, archived := a.buildWrite(current, b, version)
	if w == nil {
		return
	}
	a.writing = true
	w.Done = func(o store.Outcome, _ uint64) {
		a.writing = false
		a.onWritten(current.now, o, archived)
	}
	if !current.send(w) {
		a.writing = false
		a.retryAt = current.now + idleRetryDelay
	}
}

// onWritten handles the outcome of a write that archives jobs.
func (a *Archiver) onWritten(now units.Microseconds, o store.Outcome, archived map[string]Summary) {
	switch o {
	case store.OK:
		a.archivedCount += len(archived)
		for _, id := range slices.Sorted(maps.Keys(archived)) {
			a.index.CacheSummary(id, archived[id])
			a.RecordRemoved(id) // the watch cache shows the deletion later
		}
	case store.TooLarge:
		a.retryAt = max(a.retryAt, now+idleRetryDelay)
		a.postponeAll(now, archived)
	default: // reading the bucket again shows whether the write was committed
		a.retryAt = max(a.retryAt, now+failedRetryDelay)
	}
}

func (a *Archiver) postponeAll(now units.Microseconds, archived map[string]Summary) {
	for _, id := range slices.Sorted(maps.Keys(archived)) {
		a.postpone(now, id)
	}
}

// buildWrite builds the write that adds as many jobs to a bucket as fit. archived holds the
// jobs whose records it deletes.
func (a *Archiver) buildWrite(current step, b *Bucket, version uint64) (w *store.Write, archived map[string]Summary) {
	pending := a.collect(current, b)
	switch {
	case pending.progressOnly:
		return &pending.write, nil
	case len(pending.archived) == 0:
		return nil, nil
	}
	pieces := b.withJobs(pending.byNumber).splitToFit(current.limits.ValueBytes, current.limits.TxnOps-len(pending.deletions))
	if pieces == nil {
		// Splitting the bucket needs the whole transaction. The jobs are archived by the next one.
		pieces = b.splitToFit(current.limits.ValueBytes, current.limits.TxnOps)
		if pieces == nil || len(pieces) == 1 {
			a.postponeAll(current.now, pending.archived)
			return nil, nil
		}
		pending.archived, pending.deletions, pending.write.Guards = nil, nil, nil
	}
	for _, piece := range pieces {
		guard := store.Guard{Key: Key(piece.Number)}
		if piece.Number == b.Number {
			guard.Version = version
		}
		pending.write.Guards = append(pending.write.Guards, guard)
		pending.write.Changes = append(pending.write.Changes, store.Change{Key: guard.Key, Value: piece.Encode()})
		a.index.recordDepth(piece.Number, piece.Depth)
	}
	pending.write.Changes = append(pending.write.Changes, pending.deletions...)
	return &pending.write, pending.archived
}

// collect returns the oldest jobs of a bucket, as many as fit into one transaction.
func (a *Archiver) collect(current step, b *Bucket) *batch {
	pending := &batch{limits: current.limits, write: store.Write{Deferred: true}, archived: map[string]Summary{}, byNumber: map[uint64]Summary{}}
	examined := 0
	for element := a.oldest.Front(); element != nil && examined < maxExamined; element = element.Next() {
		examined++
		job := element.Value.(entry)
		if current.now-job.queuedAt < current.minAge {
			break
		}
		if !b.Covers(job.id) {
			continue
		}
		if candidate, ok := current.source.Candidate(job.id, a.index.mark.Cutoff); ok && !pending.add(job.id, candidate) {
			break
		}
	}
	return pending
}

// batch is a transaction that is being built.
type batch struct {
	limits       Limits
	write        store.Write // with guards on the records of the jobs
	archived     map[string]Summary
	byNumber     map[uint64]Summary // the same summaries by job number
	deletions    []store.Change
	bytes        int  // size of the deletions
	progressOnly bool // it only deletes progress records of one job that has too many of them
}

// add adds a job if it fits. It reports whether further jobs may fit.
func (b *batch) add(id string, candidate Candidate) (more bool) {
	// Two changes are reserved for the bucket, because it may have to be split.
	available := b.limits.TxnOps - splitValues - len(b.deletions)
	if available < 1 {
		return false
	}
	if len(candidate.Progress)+1 > available {
		if len(b.archived) == 0 {
			b.removeProgress(candidate)
		}
		return len(b.archived) > 0
	}
	number, err := jobNumber(id)
	if err != nil {
		return true
	}
	deletions, bytes := candidate.deletions()
	if b.bytes+bytes+splitValues*b.limits.ValueBytes+txnOverhead > b.limits.TxnBytes {
		return false
	}
	b.bytes += bytes
	b.archived[id] = candidate.Summary
	b.byNumber[number] = candidate.Summary
	b.write.Guards = append(b.write.Guards, store.Guard{Key: candidate.Key, Version: candidate.Version})
	b.deletions = append(b.deletions, deletions...)
	return true
}

// removeProgress makes the transaction delete as many progress records of a job as it can. The job is
// archived once the rest fits into one transaction.
func (b *batch) removeProgress(candidate Candidate) {
	b.progressOnly = true
	for _, key := range candidate.Progress[:min(len(candidate.Progress), b.limits.TxnOps)] {
		b.write.Changes = append(b.write.Changes, store.Change{Key: key})
	}
	b.write.Guards = append(b.write.Guards, store.Guard{Key: candidate.Key, Version: candidate.Version})
}

// deletions returns the changes that delete all records of a job, and their size in bytes.
func (c Candidate) deletions() (changes []store.Change, bytes int) {
	for _, key := range append([]string{c.Key}, c.Progress...) {
		change := store.Change{Key: key}
		changes = append(changes, change)
		bytes += change.Size()
	}
	return changes, bytes
}
