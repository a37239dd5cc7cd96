// Package watchcache keeps a controller's watch cache of the state service's keys. A paginated listing fills
// the cache and a watch keeps it up to date. A client request that must not see stale data waits for a fresh
// read: a watch that is answered immediately, sent after the request arrived. Requests that arrive together
// share one read. If the service is rolled back, that is, has lost revisions that it had already
// returned, the cache detects it and lists all keys again.
//
// The package does no input or output: responses and the time are passed in by method calls, and requests are
// passed out through Host.Emit. It does not interpret keys or values.
package watchcache

import (
	"fmt"
	"log/slog"
	"slices"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Requests to the state service. Each is completed by exactly one call of the method named in
// its comment, even if it fails.
type (
	// List reads one page of all keys, starting after the key After (OnList).
	List struct{ After string }
	// Watch reads the changes after the revision After (OnChanges). It waits up to Wait for changes; with
	// Fresh set it is answered immediately.
	Watch struct {
		After         uint64
		KnownRevision uint64 // highest revision known when it was sent
		Wait          units.Microseconds
		Fresh         bool
		Sent          units.Microseconds
	}
)

// Host is the controller that uses the cache. Its methods are called in the middle of a method of Cache. They
// may call ReadFresh and the methods that only read; Rebuild calls Reset.
type Host interface {
	// Emit sends a List or a Watch.
	Emit(e any)
	// Apply applies one change of the cache. It is called once for each change, in order for each key.
	Apply(e store.Event)
	// KeyRemoved reports the deletion of a key, including a key that was never in the cache.
	KeyRemoved(key string)
	// EventsMissed reports that changes may have been missed: the cache is listed again, and keys may have
	// been deleted without a call of KeyRemoved.
	EventsMissed()
	// RateLimited reports that the service has refused a request because of its rate limits. From now on it
	// is assumed to enforce the limits of Config.NextRate.
	RateLimited()
	// Rebuild receives the full listing at a revision after a rollback of the service. It calls Reset.
	Rebuild(rev uint64, items []store.Event)
}

// Config holds the request budget of the cache.
type Config struct {
	Controllers int     // number of controllers that share the budget
	Rate        float64 // requests per second
	NextRate    float64 // Rate after the service has rate-limited a request; 0: unchanged
	// MaxStaleness is the age at which the cache sends a fresh read although the service responds to other
	// requests. A watch may hang, and its response only proves the state at the time when it was sent.
	MaxStaleness units.Microseconds
	Log          *slog.Logger
}

const (
	// watchWait is the time that a watch waits for changes.
	watchWait = 5 * units.Second
	// PageSize is the number of keys in one page of the listing.
	PageSize = 500
	// maxWaiters limits the requests that wait for one read. Most of them are status requests of users, whose
	// number grows with the worker machines in use. A request beyond the limit fails immediately, and its
	// user is redirected to another controller or gets a retry time.
	maxWaiters = 4096
	// PollInterval is the time without a response of the service after which the cache sends a fresh read. This
	// way every controller knows whether the service responds to it, and can tell its peers.
	PollInterval = 400 * units.Second / 1000
	// retryDelay is the pause after a listing or a watch has failed, readRetryDelay the pause after a read
	// has failed.
	retryDelay     = units.Second / 2
	readRetryDelay = units.Second / 4
	// watchDivisor, readDivisor and listDivisor limit each kind of request to this fraction of the
	// controller's share of the budget: 1/3 for watches, 1/2 for reads and 1/2 for listings. Watches need a
	// limit because each ends with the first change, so there may be many.
	watchDivisor = 3
	readDivisor  = 2
	listDivisor  = 2
)

// Cache is the watch cache: a replica of the keys, and the state of the requests that keep it up to date.
type Cache struct {
	*store.Replica
	host Host
	cfg  Config
	now  units.Microseconds
	wall units.Microseconds

	loaded       bool
	loadedAt     units.Microseconds
	listing      bool               // a request for a page is in flight
	listSentAt   units.Microseconds // when the current or last listing started
	listKnown    uint64             // highest revision known at that time
	listedUpTo   string             // last key of the pages received; "": no page yet
	listRevision uint64             // revision of its first page
	listed       []store.Event      // contents of the pages received, only after a rollback

	watching    bool
	nextWatchAt units.Microseconds
	retryAt     units.Microseconds // earliest time of the next List or Watch

	reading    bool
	readWanted bool
	nextReadAt units.Microseconds
	readers    []func(ok bool) // called when the read in flight ends
	waiting    []func(ok bool) // waiting for the next read

	answered      bool               // the service has responded at least once
	answeredAt    units.Microseconds // time of its last response
	rateLimitedAt units.Microseconds // time of the last rate-limited request; 0: never
	asOf          units.Microseconds // see AsOf; -units.MaxTime: the cache was never complete

	highestRevision uint64             // highest revision in any response
	lastRollback    units.Microseconds // see LastRollback; strictly increasing, to tell rollbacks apart
	recovering      bool               // the cache has to be listed again because of a rollback
	discardPage     bool               // the page in flight was requested before the rollback
}

// New returns an empty cache.
func New(cfg Config, host Host) *Cache {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Cache{Replica: store.NewReplica(host.Apply), host: host, cfg: cfg, asOf: -units.MaxTime}
}

// Loaded reports whether the cache is complete.
func (c *Cache) Loaded() bool { return c.loaded }

// LoadedAt returns the time at which the last full listing was completed.
func (c *Cache) LoadedAt() units.Microseconds { return c.loadedAt }

// AsOf returns the time up to which the cache is complete: it contains everything stored before. This is the
// send time of the latest listing or watch whose response has been applied. Responses to other requests, such
// as lease renewals, do not count, because they prove nothing about the keys.
func (c *Cache) AsOf() units.Microseconds { return c.asOf }

// LoadRevision returns the revision of the first page of the last listing, which may still be in progress.
func (c *Cache) LoadRevision() uint64 { return c.listRevision }

// Recovering reports whether the service was rolled back and the cache has not been listed again yet.
func (c *Cache) Recovering() bool { return c.recovering }

// LastRollback returns the time of day at which this controller last detected a rollback of the service, or 0
// if never.
func (c *Cache) LastRollback() units.Microseconds { return c.lastRollback }

// HighestRevision returns the highest revision in any response of the service.
func (c *Cache) HighestRevision() uint64 { return c.highestRevision }

// Rate returns the current limit of requests per second, for all controllers together.
func (c *Cache) Rate() float64 { return c.cfg.Rate }

// Age returns the time since the last response of the service, or units.MaxTime if there was none.
func (c *Cache) Age(now units.Microseconds) units.Microseconds {
	if !c.answered {
		return units.MaxTime
	}
	return now - c.answeredAt
}

// RateLimitedWithin reports whether the service has rate-limited a request within the given time before now.
func (c *Cache) RateLimitedWithin(now, within units.Microseconds) bool {
	return c.rateLimitedAt > 0 && now < c.rateLimitedAt+within
}

// ReadFresh schedules a fresh read. done may be nil; it is called once with whether the read succeeded.
func (c *Cache) ReadFresh(done func(ok bool)) {
	if done != nil && len(c.waiting) >= maxWaiters {
		done(false)
		return
	}
	c.readWanted = true
	if done != nil {
		c.waiting = append(c.waiting, done)
	}
}

// NoteOutcome records from the outcome of a request whether the service responds to this
// controller, and adapts the rate. It returns the outcome with RateLimited replaced by Refused, for
// callers that need not tell them apart.
func (c *Cache) NoteOutcome(now units.Microseconds, outcome store.Outcome) store.Outcome {
	c.now = now
	switch outcome {
	case store.OK, store.Failed, store.TooLarge:
		c.answeredAt, c.answered = now, true
	case store.RateLimited:
		c.rateLimitedAt = now
		if c.cfg.NextRate > 0 {
			c.cfg.Rate = min(c.cfg.Rate, c.cfg.NextRate)
		}
		c.host.RateLimited()
		return store.Refused
	}
	return outcome
}

// Tick sends the listing and the watch that are due. wall is the time of day.
func (c *Cache) Tick(now, wall units.Microseconds) {
	c.now, c.wall = now, wall
	c.sendDue()
}

// sendDue sends the listing and the watch that are due.
func (c *Cache) sendDue() {
	if c.loaded && (c.now-c.answeredAt > PollInterval || c.now-c.asOf > c.cfg.MaxStaleness) {
		c.readWanted = true
	}
	if c.now < c.retryAt {
		return
	}
	if !c.loaded && !c.listing {
		if c.listedUpTo == "" {
			c.listKnown, c.listed, c.listSentAt = c.highestRevision, nil, c.now
		}
		c.listing = true
		c.host.Emit(List{After: c.listedUpTo})
	}
	// Watches continue during the listing. The service keeps only a limited history of changes: if the
	// listing took longer than that, the cache would have to start over each time.
	watchAllowed := c.loaded || c.listedUpTo != "" && !c.recovering
	if watchAllowed && !c.watching && c.now >= c.nextWatchAt {
		c.watching = true
		c.nextWatchAt = c.now + c.interval(watchDivisor)
		c.host.Emit(Watch{After: c.Revision, KnownRevision: c.highestRevision, Wait: watchWait, Sent: c.now})
	}
}

// interval returns the time between requests that use 1/divisor of this controller's share of the budget.
func (c *Cache) interval(divisor float64) units.Microseconds {
	return units.Seconds(divisor * float64(c.cfg.Controllers) / c.cfg.Rate)
}

// Pump sends the fresh read if one is due.
func (c *Cache) Pump(now units.Microseconds) {
	c.now = now
	if !c.readWanted || c.reading || !c.loaded || now < c.nextReadAt {
		return
	}
	c.readWanted, c.reading = false, true
	c.readers, c.waiting = c.waiting, nil
	c.nextReadAt = now + c.interval(readDivisor)
	c.host.Emit(Watch{After: c.Revision, KnownRevision: c.highestRevision, Fresh: true, Sent: c.now})
}

// OnList applies the response to a List: a page of the listing, read at revision. more reports whether
// further pages follow. A failed request is retried.
func (c *Cache) OnList(now units.Microseconds, request List, outcome store.Outcome, revision uint64, items []store.Event, more bool) {
	outcome = c.NoteOutcome(now, outcome)
	c.listing = false
	switch {
	case outcome != store.OK:
		c.retryAt = now + retryDelay
		return
	case request.After != c.listedUpTo: // the listing was restarted after this request
	case c.discardPage: // it may contain data from before the rollback
		c.discardPage = false
		c.listedUpTo = ""
	default:
		c.applyListed(revision, items, more)
	}
	c.sendDue()
}

// applyListed applies the next page of the listing.
func (c *Cache) applyListed(revision uint64, items []store.Event, more bool) {
	if c.listedUpTo == "" {
		c.startListing(revision)
	}
	if c.recovering {
		c.listed = append(c.listed, items...)
	} else {
		c.ApplyPage(items)
	}
	if more && len(items) > 0 {
		c.listedUpTo = items[len(items)-1].Key
		c.retryAt = c.now + c.interval(listDivisor)
		return
	}
	c.finishListing()
}

// startListing starts a listing with the revision of its first page.
func (c *Cache) startListing(revision uint64) {
	c.listRevision = revision
	if revision < c.listKnown && !c.recovering {
		c.noteRollback(c.listKnown, revision)
	}
	if c.recovering {
		return
	}
	c.BeginListing(revision)
	c.highestRevision = max(c.highestRevision, revision)
	if c.loadedAt > 0 {
		c.host.EventsMissed()
	}
}

// finishListing completes the listing, and with it the cache.
func (c *Cache) finishListing() {
	if c.recovering {
		c.recovering, c.highestRevision = false, c.listRevision
		c.host.Rebuild(c.listRevision, c.listed)
	} else {
		c.EndListing()
	}
	c.listedUpTo, c.listed = "", nil
	c.loaded, c.loadedAt = true, c.now
	c.asOf = max(c.asOf, c.listSentAt)
	c.cfg.Log.Info("watch cache loaded", "keys", c.Len(), "revision", c.listRevision)
	c.ReadFresh(nil)
}

// OnChanges applies the response to a Watch: the changes after the requested revision up to
// and including revision. compacted reports that the service no longer has all of these
// changes, so the cache is listed again.
func (c *Cache) OnChanges(now units.Microseconds, request Watch, outcome store.Outcome, revision uint64, events []store.Event, compacted bool) {
	outcome = c.NoteOutcome(now, outcome)
	var readers []func(bool)
	if request.Fresh {
		c.reading = false
		readers, c.readers = c.readers, nil
	} else {
		c.watching = false
	}
	if outcome == store.OK && c.DetectRollback(revision, request.KnownRevision) {
		outcome = store.Unknown
	}
	switch {
	case outcome == store.OK:
		c.applyWatched(request, revision, events)
		c.cfg.Log.Debug("state read", "after", request.After, "revision", revision, "changes", len(events), "fresh", request.Fresh, "took_s", (now - request.Sent).Seconds())
	case compacted:
		c.loaded, c.listedUpTo = false, ""
	case c.recovering:
		c.retryAt = now // list again immediately
	case !request.Fresh:
		c.retryAt = now + retryDelay
	default:
		c.nextReadAt = max(c.nextReadAt, now+readRetryDelay)
	}
	c.sendDue()
	for _, done := range readers {
		done(outcome == store.OK)
	}
}

// applyWatched applies all changes after the requested revision up to and including revision.
func (c *Cache) applyWatched(request Watch, revision uint64, events []store.Event) {
	c.highestRevision = max(c.highestRevision, revision)
	for _, event := range events {
		if event.Value == nil {
			c.host.KeyRemoved(event.Key)
		}
	}
	if c.loaded && request.After <= c.Revision {
		c.asOf = max(c.asOf, request.Sent)
	}
	c.ApplyChanges(request.After, revision, events)
}

// DetectRollback compares the revision of a response with the highest revision known when its
// request was sent. It reports whether the service was rolled back, and starts the recovery in that
// case. The response to a request that was sent before the last recovery proves nothing: known is
// then above the highest revision since.
func (c *Cache) DetectRollback(revision, known uint64) bool {
	if revision >= known || known > c.highestRevision {
		return false
	}
	c.noteRollback(known, revision)
	return true
}

// ApplyCommitted applies the puts of a transaction of this controller that was committed at revision. keep
// reports whether a key belongs to the cache.
func (c *Cache) ApplyCommitted(now units.Microseconds, txn *store.Txn, revision uint64, keep func(key string) bool) {
	c.now = now
	apply := c.Apply
	if revision < txn.KnownRevision || revision == txn.KnownRevision && puts(txn) {
		c.noteRollback(txn.KnownRevision, revision)
		apply = c.Overwrite
	} else {
		c.highestRevision = max(c.highestRevision, revision)
	}
	for _, change := range txn.Changes {
		if change.Value != nil && keep(change.Key) {
			apply(store.Event{Key: change.Key, Value: change.Value, Stamp: revision})
		}
	}
}

// puts reports whether a transaction certainly makes a new revision. A transaction that only deletes may not,
// because its keys may not exist.
func puts(txn *store.Txn) bool {
	return slices.ContainsFunc(txn.Changes, func(change store.Change) bool { return change.Value != nil })
}

// noteRollback records that the service has lost revisions that it had returned, and starts the recovery.
func (c *Cache) noteRollback(known, revision uint64) {
	if c.recovering {
		return
	}
	c.cfg.Log.Error("state service was rolled back to an earlier revision; restoring lost records from this controller", "known_revision", known, "revision", revision)
	c.lastRollback = max(c.wall, c.lastRollback+1)
	c.StartRecovery(c.now)
}

// StartRecovery lists all keys again because the service was rolled back.
func (c *Cache) StartRecovery(now units.Microseconds) {
	c.now, c.recovering = now, true
	c.discardPage = c.listing
	c.loaded, c.listedUpTo = false, ""
	c.retryAt = c.now
}

// Describe returns the state of the cache for debugging.
func (c *Cache) Describe() string {
	return fmt.Sprintf("loaded %v listing %v watching %v reading %v read wanted %v retry %d next read %d", c.loaded, c.listing, c.watching, c.reading, c.readWanted, c.retryAt, c.nextReadAt)
}
