// Package shardstore writes the state of a shard to the state service on behalf of the shard's owner: its
// machines, its finished tasks, its finished jobs, and the deletion of records that finished jobs leave
// behind.
//
// Every write is guarded by the assignment under which the shard is owned, and by the versions of the keys
// that it builds on. If no answer arrives, the outcome is unknown: the write may still be carried out at any
// later time. Because of its guards it then fails if the shard has another owner or the keys have changed, so
// it is safe to write again whatever the current state is. Nothing counts as stored before the answer says so
// or the watch cache shows it.
//
// Deferred writes are queued only as fast as the queue sends them. Each stores the state at the time when it
// is queued, so several changes of a key are combined in one write.
package shardstore

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the owner of the shard. Its methods are called while a Writer is in the middle of a step and must
// not call the Writer. Outcomes of writes are delivered later, from outside such calls.
type Host interface {
	// Now returns the monotonic time, Wall the time of day.
	Now() units.Microseconds
	Wall() units.Microseconds
	// Assignment returns the condition that this controller still owns the shard.
	Assignment() store.Guard
	// Version returns the version of a key in the watch cache, 0 if the key does not exist.
	Version(key string) uint64
	// Enqueue queues a write. It must return before the write's Done is called.
	Enqueue(write *store.Write)
	// Capacity returns how many deferred writes fit into the queue's next transaction.
	Capacity() int
	// Machine returns a machine of the shard, or nil.
	Machine(name string) *fleet.Machine
	// GroupDeleted is called once a machine group is certainly no longer stored.
	GroupDeleted(key string)
	// TaskFinished is called when a task has finished, before that is stored.
	TaskFinished(job string, task int)
	// HasDependents reports whether other jobs wait until a job is stored as done.
	HasDependents(job string) bool
}

// GarbageCollector deletes the records that finished jobs leave behind. It queues its changes with the
// Writer's Write.
type GarbageCollector interface {
	// Pending reports whether Collect has anything to do.
	Pending() bool
	// Collect queues at most capacity changes.
	Collect(capacity int, writer *Writer)
	// CollectOrphans periodically deletes the records of submissions that were abandoned before they were
	// complete. It is called with every Flush.
	CollectOrphans(writer *Writer)
}

// Config holds the settings of a Writer.
type Config struct {
	Layout jobs.ProgressLayout // layout of the records of finished tasks
	TxnOps int                 // changes that the state service accepts in one transaction
	// Garbage is nil if another shard's owner collects the garbage.
	Garbage GarbageCollector
}

// flushInterval is the minimum time between two flushes. It keeps transactions few, so that each carries
// several changes.
const flushInterval = units.Second / 8

// Writer writes the state of one shard under one assignment. Create it with New.
type Writer struct {
	cfg            Config
	host           Host
	groups         map[string]*machineGroup // machine groups by key
	changedGroups  []*machineGroup          // groups to be stored
	unstoredJobs   []*jobs.Job              // jobs with finished tasks to be stored, the longest waiting first
	nextFlushAt    units.Microseconds
	storingRelease bool // a write of StoreRelease is in flight
}

// New returns a writer with nothing to write yet.
func New(cfg Config, host Host) *Writer {
	return &Writer{cfg: cfg, host: host, groups: map[string]*machineGroup{}}
}

// Flush queues as much as fits into the next transaction, in this order: groups with machines that are up, as
// tasks wait for these; finished tasks, the longest waiting first; other changes of groups; deletions. It is
// called often.
func (w *Writer) Flush() {
	if w.cfg.Garbage != nil {
		w.cfg.Garbage.CollectOrphans(w)
	}
	garbage := w.cfg.Garbage != nil && w.cfg.Garbage.Pending()
	nothing := len(w.changedGroups) == 0 && len(w.unstoredJobs) == 0 && !garbage
	if nothing || w.host.Now() < w.nextFlushAt {
		return
	}
	capacity := w.host.Capacity()
	if capacity == 0 {
		return
	}
	w.nextFlushAt = w.host.Now() + flushInterval
	capacity = w.flushUrgentGroups(capacity)
	capacity = w.flushProgress(capacity)
	capacity = w.flushGroups(capacity)
	if garbage {
		w.cfg.Garbage.Collect(capacity, w)
	}
}

// StoreRelease stores that this controller releases the shard. It may be called repeatedly until the watch
// cache shows the release; only one write is in flight at a time.
func (w *Writer) StoreRelease(released store.Change) {
	if w.storingRelease {
		return
	}
	w.storingRelease = true
	w.host.Enqueue(&store.Write{
		Guards:  []store.Guard{w.host.Assignment()},
		Changes: []store.Change{released},
		Done:    func(store.Outcome, uint64) { w.storingRelease = false },
	})
}

// guarded returns a write that fails if the assignment has ended or one of the keys has a version other than
// the watch cache shows.
func (w *Writer) guarded(keys []string, changes []store.Change) *store.Write {
	write := &store.Write{Guards: []store.Guard{w.host.Assignment()}, Changes: changes}
	for _, key := range keys {
		write.Guards = append(write.Guards, store.Guard{Key: key, Version: w.host.Version(key)})
	}
	return write
}

// Write queues a guarded, deferred write, for changes that no user request is waiting for. done is called
// with the outcome later.
func (w *Writer) Write(done func(store.Outcome), keys []string, changes ...store.Change) {
	write := w.guarded(keys, changes)
	write.Deferred = true
	write.Done = func(outcome store.Outcome, _ uint64) { done(outcome) }
	w.host.Enqueue(write)
}
