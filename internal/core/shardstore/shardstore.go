// Package shardstore stores what the owner of a shard has to have stored: which machines there
// are, which tasks are finished, which jobs are done, and what is to be deleted behind those
// that are over.
//
// Every write is guarded by the assignment under which the shard is owned, and by the versions
// of the keys on which it builds. No answer means that the outcome is unknown: the write may
// still be carried out, at any later time. With its guards it fails then if the shard has
// another owner or somebody has changed the keys, so it is safe to write again what is there by
// then. Nothing counts as stored before the answer says so, or a read of the copy shows it.
//
// Deferred writes are made only as fast as the queue sends them: what is written is then as it
// is at that time, and several changes of a key are one.
package shardstore

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the owner of the shard. Its methods are called while a Writer is half-way through a
// step and must not call the Writer; outcomes of writes come later, from outside.
type Host interface {
	// Now is the steady time, Wall the time of day.
	Now() units.Microseconds
	Wall() units.Microseconds
	// Assignment is the condition that this node still owns the shard.
	Assignment() store.Guard
	// Version is a key's version in the copy, 0 if it does not exist.
	Version(key string) uint64
	// Enqueue queues a write. Its outcome must not be told before Enqueue has returned.
	Enqueue(write *store.Write)
	// Capacity is how many deferred writes go with the queue's next transaction.
	Capacity() int
	// Machine returns a machine of the shard, or nil.
	Machine(name string) *fleet.Machine
	// GroupDeleted says that a group of machines is surely stored no more.
	GroupDeleted(key string)
	// TaskFinished says that a task is done, which is not stored yet.
	TaskFinished(job string, task int)
	// HasDependents reports whether other jobs wait until a job is stored as done.
	HasDependents(job string) bool
}

// GarbageCollector is what is to be deleted behind jobs. It queues its changes by the Writer's Write.
type GarbageCollector interface {
	// Pending reports whether Collect has anything to do.
	Pending() bool
	// Collect queues up to so many changes.
	Collect(capacity int, writer *Writer)
	// CollectOrphans deletes, from time to time, what submissions left that were abandoned
	// half-way. It is called with every Flush.
	CollectOrphans(writer *Writer)
}

// Config says how a shard is written.
type Config struct {
	Layout jobs.ProgressLayout // of records of finished tasks
	TxnOps int                 // changes that the state service takes in one transaction
	// Garbage is nil where another shard's owner collects it.
	Garbage GarbageCollector
}

// flushEvery keeps transactions few, so that each carries several changes.
const flushEvery = units.Second / 8

// Writer has everything stored that is to be stored of one shard under one assignment.
type Writer struct {
	cfg            Config
	host           Host
	groups         map[string]*machineGroup // stored machines, by key
	changedGroups  []*machineGroup          // that are to be stored
	unstoredJobs   []*jobs.Job              // with finished tasks that are to be stored, those that wait longest first
	nextFlushAt    units.Microseconds
	storingRelease bool
}

// New returns a writer that has nothing to write yet.
func New(cfg Config, host Host) *Writer {
	return &Writer{cfg: cfg, host: host, groups: map[string]*machineGroup{}}
}

// Flush queues what is to be stored, as much as goes with the next transaction: machines that
// are up, as tasks wait for that; then finished tasks, those that wait longest first; then other
// changes of machines; then what is only deleted. It is called often.
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
	w.nextFlushAt = w.host.Now() + flushEvery
	capacity = w.flushUrgentGroups(capacity)
	capacity = w.flushProgress(capacity)
	capacity = w.flushGroups(capacity)
	if garbage {
		w.cfg.Garbage.Collect(capacity, w)
	}
}

// StoreRelease stores that this node gives the shard up. It may be called again and again until
// the copy shows that it is so.
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

// guarded returns a write that fails once the assignment has ended, or one of the keys has
// another version than the copy shows.
func (w *Writer) guarded(keys []string, changes []store.Change) *store.Write {
	write := &store.Write{Guards: []store.Guard{w.host.Assignment()}, Changes: changes}
	for _, key := range keys {
		write.Guards = append(write.Guards, store.Guard{Key: key, Version: w.host.Version(key)})
	}
	return write
}

// Write queues a guarded write that nobody waits for; done is told the outcome later.
func (w *Writer) Write(done func(store.Outcome), keys []string, changes ...store.Change) {
	write := w.guarded(keys, changes)
	write.Deferred = true
	write.Done = func(outcome store.Outcome, _ uint64) { done(outcome) }
	w.host.Enqueue(write)
}
