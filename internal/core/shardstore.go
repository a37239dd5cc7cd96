package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/shardstore"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// newShardWriter returns the writer that stores a shard's changes. The owner of the
// first shard also collects garbage.
func (c *Core) newShardWriter(shard *ownedShard) *shardstore.Writer {
	cfg := shardstore.Config{Layout: c.jobs.Layout(), TxnOps: c.cfg.TxnOps}
	if shard.number == 0 {
		cfg.Garbage = &garbageHost{Core: c}
	}
	return shardstore.New(cfg, writerHost{c, shard})
}

// writerHost implements shardstore.Host: it gives the writer of a shard's changes access to the shard.
type writerHost struct {
	*Core
	shard *ownedShard
}

// Now implements shardstore.Host.
func (h writerHost) Now() units.Microseconds { return h.now }

// Wall implements shardstore.Host.
func (h writerHost) Wall() units.Microseconds { return h.wall }

// Assignment implements shardstore.Host.
func (h writerHost) Assignment() store.Guard {
	return store.Guard{Key: keys.Assignment(h.shard.number), Version: h.shard.assignment}
}

// Version implements shardstore.Host.
func (h writerHost) Version(key string) uint64 { return h.cache.Version(key) }

// Enqueue implements shardstore.Host. The numbers of jobs and machines bound the queue.
func (h writerHost) Enqueue(write *store.Write) { h.queues[ControlQueue].Add(write) }

// Capacity implements shardstore.Host.
func (h writerHost) Capacity() int { return h.queues[ControlQueue].Capacity(h.now) }

// Machine implements shardstore.Host.
func (h writerHost) Machine(name string) *fleet.Machine { return h.shard.reconciler.Machine(name) }

// GroupDeleted implements shardstore.Host. The watch cache follows with its next read.
func (h writerHost) GroupDeleted(key string) { delete(h.machineGroups, key) }

// TaskFinished implements shardstore.Host.
func (h writerHost) TaskFinished(job string, task int) { h.shard.replication.TaskFinished(job, task) }

// HasDependents implements shardstore.Host.
func (h writerHost) HasDependents(job string) bool { return h.jobs.HasDependents(job) }

// garbageHost implements shardstore.GarbageCollector: it collects garbage, guarded by
// the assignment of the first shard.
type garbageHost struct {
	*Core
	orphans registry.OrphanCollection
}

// Pending implements shardstore.GarbageCollector.
func (h *garbageHost) Pending() bool { return h.jobs.GarbagePending() }

// Collect implements shardstore.GarbageCollector.
func (h *garbageHost) Collect(capacity int, writer *shardstore.Writer) {
	h.jobs.CollectGarbage(capacity, writer)
}

// CollectOrphans implements shardstore.GarbageCollector. Releases before 0.6 do not guard their writes, so
// nothing is deleted while a controller runs one of them.
func (h *garbageHost) CollectOrphans(writer *shardstore.Writer) {
	if h.orphans.Due(h.now) && h.queues[ControlQueue].Len() == 0 && h.peers.AllUpgradedFor(h.now, peering.ReleaseChunks, h.cfg.ArchiveSettleTime) {
		h.jobs.CollectOrphans(&h.orphans, writer)
	}
}
