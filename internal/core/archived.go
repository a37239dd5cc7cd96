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

// TermKey and ArchiveKey are the keys whose values a restore from a backup has to change.
const (
	TermKey    = keys.Term
	ArchiveKey = keys.ArchiveMark
)

// IsLeased reports whether a record is attached to a controller's lease, so that it is
// deleted when the lease ends.
func IsLeased(event store.Event) bool {
	return strings.HasPrefix(event.Key, keys.MemberPrefix) || event.Key == keys.LeaderSinceArchive || event.Key == keys.Leader && !election.IsExclusionRecord(event.Value)
}

// typeKey returns the key under which a machine type is stored.
func (c *Core) typeKey(name string) string {
	if c.archive.Index().Enabled() {
		return keys.TypePrefixWithArchive + name
	}
	return keys.TypePrefix + name
}

// incompatible reports whether another controller runs a release that is too old: one that cannot find archived
// jobs although archiving is enabled, or that ignores the configuration although one is stored.
func (c *Core) incompatible(node string) bool {
	return node != c.cfg.Node && (c.archive.Index().Enabled() && c.peers.Release(node) < peering.ReleaseArchive || c.config.HasStoredVersion() && c.peers.Release(node) < peering.ReleaseConfig)
}

// OnKey handles the answer to a ReadKey. value is nil if the bucket is not stored. rev
// is the state service's revision if the answer had one, else 0.
func (c *Core) OnKey(now units.Microseconds, read ReadKey, outcome store.Outcome, value []byte, stamp, rev uint64) {
	c.advance(now)
	outcome = c.noteOutcome(outcome)
	if rev > 0 && c.cache.DetectRollback(rev, read.KnownRevision) {
		outcome = store.Unknown
	}
	c.archive.OnRead(now, read, outcome, value, stamp)
}

// OnScan handles the answer to a ScanKeys. more reports whether further buckets follow.
func (c *Core) OnScan(now units.Microseconds, scan ScanKeys, outcome store.Outcome, items []store.Event, more bool) {
	c.advance(now)
	c.archive.OnScan(now, scan, c.noteOutcome(outcome), items, more)
}

// archiveHost implements archive.Host: it gives the archive of finished jobs access to this controller.
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
	return c.CacheComplete() && c.stateAge() <= watchcache.PollInterval+units.Second/2
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

// OlderReleasesRetired implements archive.Host.
func (c archiveHost) OlderReleasesRetired() bool {
	return c.peers.AllUpgradedFor(c.now, peering.ReleaseArchive, c.cfg.ArchiveSettleTime)
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
	return !c.cache.RateLimitedWithin(c.now, calm) && c.queues[ControlQueue].Len() == 0 && c.queues[UserQueue].Len() == 0
}

// Rewrite implements archive.Host.
func (c archiveHost) Rewrite(e store.Event) { c.rollback.Rewrite(e) }
