package core

import (
	"shalestage.example/shalestage/internal/core/store"
)

// rollbackHost implements rollback.Host and rollback.Rewriter: it recovers this
// controller after a rollback of the state service.
type rollbackHost struct{ *Core }

// RestoreArchived implements rollback.Host.
func (c rollbackHost) RestoreArchived(listed []store.Event) []store.Event {
	return c.archive.Restore(listed)
}

// RestoreCache implements rollback.Host.
func (c rollbackHost) RestoreCache(revision uint64, listed []store.Event, newer map[string]bool) {
	c.cache.Reset(revision, listed, newer)
}

// StateRolledBack implements rollback.Host.
func (c rollbackHost) StateRolledBack() {
	c.config.CacheRebuilt()
	c.cancellations.StateRolledBack(c.now)
	c.suspectRollback()
	c.archive.RolledBack()
	c.transfers.StateRolledBack()
}

// Store implements rollback.Rewriter.
func (c rollbackHost) Store(w *store.Write) { c.queues[ControlQueue].Add(w) }

// ReadFresh implements rollback.Rewriter.
func (c rollbackHost) ReadFresh(ended func(ok bool)) { c.readFresh(ended) }

// Version implements rollback.Rewriter.
func (c rollbackHost) Version(key string) uint64 { return c.cache.Version(key) }

// RestoreShards implements rollback.Host.
func (c rollbackHost) RestoreShards() {
	for _, number := range sortedShards(c.owned) {
		shard := c.owned[number]
		shard.replication.RemoveStandby(c.now)
		for _, id := range sortedKeys(shard.active) {
			shard.writer.StoreAllProgress(shard.active[id])
		}
		shard.writer.StoreAllGroups()
	}
}
