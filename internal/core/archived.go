package core

import (
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
)

// Effects of lookups of archived jobs.
type (
	// ReadKey reads one bucket (OnKey).
	ReadKey = archive.Read
	// ScanKeys reads some buckets (OnScan).
	ScanKeys = archive.Scan
)

// TermKey and ArchiveKey are keys whose values a restore has to change.
const (
	TermKey    = keys.Term
	ArchiveKey = keys.ArchiveMark
)

// IsLeased reports whether a key and its value belong to a controller's lease: with
// that they are gone.
func IsLeased(e store.Event) bool {
	return strings.HasPrefix(e.Key, keys.MemberPrefix) || e.Key == keys.LeaderSinceArchive || e.Key == keys.Leader && !election.IsExclusionRecord(e.Value)
}

// typeKey is where a machine type is stored.
func (c *Core) typeKey(name string) string {
	if c.archive.Index().On() {
		return keys.TypePrefixWithArchive + name
	}
	return keys.TypePrefix + name
}

// incompatible reports whether a controller runs a release that cannot find archived jobs, or
// does not go by the configuration that is stored.
func (c *Core) incompatible(node string) bool {
	return node != c.cfg.Node && (c.archive.Index().On() && c.peers.Release(node) < peering.ReleaseArchive || c.config.HasStoredVersion() && c.peers.Release(node) < peering.ReleaseConfig)
}

// OnKey takes a bucket that was read; a nil value: it is not stored. rev is the
// service's revision where it told one, else 0.
func (c *Core) OnKey(now units.Microseconds, r ReadKey, o store.Outcome, value []byte, stamp, rev uint64) {
	c.advance(now)
	o = c.noteOutcome(o)
	if rev > 0 && c.cache.RolledBack(rev, r.Known) {
		o = store.Unknown
	}
	c.archive.OnRead(now, r, o, value, stamp)
}

// OnScan takes some buckets.
func (c *Core) OnScan(now units.Microseconds, s ScanKeys, o store.Outcome, items []store.Event, more bool) {
	c.advance(now)
	c.archive.OnScan(now, s, c.noteOutcome(o), items, more)
}

// archiveHost is what this controller does for the archive of finished jobs, and what that
// depends on.
type archiveHost struct{ *Core }

// Emit implements archive.Host.
func (c archiveHost) Emit(effect any) { c.emit(effect) }

// ReadRate implements archive.Host.
func (c archiveHost) ReadRate() float64 { return c.cache.Rate() / float64(c.cfg.Size) }

// WriteRate implements archive.Host.
func (c archiveHost) WriteRate() float64 { return c.cfg.WriteRate }

// CacheComplete implements archive.Host.
func (c archiveHost) CacheComplete() bool { return c.cache.Loaded() && !c.cache.Recovering() }

// CacheFresh implements archive.Host.
func (c archiveHost) CacheFresh() bool {
	return c.CacheComplete() && c.stateAge() <= watchcache.Heartbeat+units.Second/2
}

// Revision implements archive.Host.
func (c archiveHost) Revision() uint64 { return c.cache.Revision }

// HighestRevision implements archive.Host.
func (c archiveHost) HighestRevision() uint64 { return c.cache.HighestRevision() }

// Version implements archive.Host.
func (c archiveHost) Version(key string) uint64 { return c.cache.Version(key) }

// Leadership implements archive.Host.
func (c archiveHost) Leadership() *election.Leadership { return c.election.Leadership() }

// Member implements archive.Host.
func (c archiveHost) Member() (id, leaseID uint64) { return electionHost(c).Member() }

// ExclusionNeeded implements archive.Host.
func (c archiveHost) ExclusionNeeded() bool { return c.election.ExclusionNeeded() }

// ArchivingStarted implements archive.Host.
func (c archiveHost) ArchivingStarted() error { return c.election.ArchivingStarted() }

// OlderReleasesGone implements archive.Host.
func (c archiveHost) OlderReleasesGone() bool {
	return c.peers.AllRunFor(c.now, peering.ReleaseArchive, c.cfg.ArchiveSettleTime)
}

// Types implements archive.Host.
func (c archiveHost) Types() map[string]*fleet.Type { return c.types }

// Job implements archive.Host.
func (c archiveHost) Job(id string) *jobs.Job { return c.jobs.Get(id) }

// Retained implements archive.Host.
func (c archiveHost) Retained(id string) bool { return c.jobs.Retained(id) }

// Queue implements archive.Host.
func (c archiveHost) Queue() *store.WriteQueue { return c.queues[ArchiveQueue] }

// QueuesIdle implements archive.Host.
func (c archiveHost) QueuesIdle(calm units.Microseconds) bool {
	return !c.cache.Refused(c.now, calm) && c.queues[ControlQueue].Len() == 0 && c.queues[UserQueue].Len() == 0
}

// Rewrite implements archive.Host.
func (c archiveHost) Rewrite(e store.Event) { c.rollback.Rewrite(e) }
