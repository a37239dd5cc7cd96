// Package watchcache keeps a controller's copy of the state service's keys. A listing in
// pages fills it, a watch keeps it fresh, and a read without waiting proves it fresh: a
// request that must not get an old answer waits for a read that began after the request
// arrived. Requests that arrive together share one read. Where the service goes back
// behind an answer that it gave, the copy notices and is taken anew.
//
// It is pure: answers and the time go in by method calls, requests come out by its host's
// Emit. It does not know what the keys mean.
package watchcache

import (
	"fmt"
	"log/slog"
	"slices"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Effects. Each is answered by the method named in its comment, exactly once, whatever
// happens.
type (
	// List reads a page of all keys, those after a key (OnList).
	List struct{ After string }
	// Watch reads changes after a revision (OnChanges). Fresh asks for an answer at once.
	Watch struct {
		After uint64
		Known uint64 // the highest revision that was known when it was sent
		Wait  units.Microseconds
		Fresh bool
		Sent  units.Microseconds
	}
)

// Host is whom the copy is kept for. Its methods are called while the Cache is half-way through a
// step: of the Cache's they may call ReadFresh and the reading ones, and Reload calls Recover.
type Host interface {
	// Emit sends a List or a Watch.
	Emit(e any)
	// Learn takes one change of the copy, once and in order for each key.
	Learn(e store.Event)
	// Removed tells of a removal, also of a key that the copy has never had.
	Removed(key string)
	// Gap says that changes may have been missed: the copy is taken anew, and what
	// Removed did not tell may be gone.
	Gap()
	// Limited says that the service has refused something as too much, and so is taken
	// to have its later limits from now on.
	Limited()
	// Reload takes the whole listing, as of a revision, after the service went back. It
	// calls Recover.
	Reload(rev uint64, items []store.Event)
}

// Config says by what budget the service is read.
type Config struct {
	Size     int     // controllers that share the budget
	Rate     float64 // requests a second
	NextRate float64 // once the service has refused something as too much; 0: the same
	// Fresh is how old the copy may become before it is read though the service answers
	// other requests: a watch may hang, and shows what it brings as of when it was sent.
	Fresh units.Microseconds
	Log   *slog.Logger
}

const (
	// watchWait is how long a watch waits for changes.
	watchWait = 5 * units.Second
	// Page is how many keys are listed at once.
	Page = 500
	// maxWaiter bounds the requests that wait for one read, most of them users' polls, which
	// grow with the machines that the users keep busy. One beyond is told at once that the read
	// failed, and its user is sent to another controller or told when to come back.
	maxWaiter = 4096
	// Heartbeat is how often the service is asked at least, so that every controller
	// knows, and can tell its peers, whether it is served.
	Heartbeat = 400 * units.Second / 1000
	// retry is the pause after a listing or a watch that was not served, retryRead that
	// after a read.
	retry     = units.Second / 2
	retryRead = units.Second / 4
	// watchPace, readPace and listPace say how much of this node's share of the budget each kind
	// of request may take: one request in so many. A watch ends with every change, so that
	// there may be many.
	watchPace = 3
	readPace  = 2
	listPace  = 2
)

// Cache is the copy and what keeps it.
type Cache struct {
	*store.Replica
	host Host
	cfg  Config
	now  units.Microseconds
	wall units.Microseconds

	loaded       bool
	loadedAt     units.Microseconds
	listing      bool               // a page is asked for
	listSentAt   units.Microseconds // when the listing under way, or the last one, was begun
	listKnown    uint64             // the highest revision that was known then
	listedUpTo   string             // the last key that it has shown; "": it has not begun
	listRevision uint64             // revision of its first page
	listed       []store.Event      // what it has shown, where the service went back

	watching    bool
	nextWatchAt units.Microseconds
	retryAt     units.Microseconds // of listings and watches

	reading    bool
	readWanted bool
	nextReadAt units.Microseconds
	readers    []func(ok bool) // told when the read under way ends
	waiting    []func(ok bool) // wait for the next read

	answered   bool               // the service has ever answered
	answeredAt units.Microseconds // when it last did
	limitedAt  units.Microseconds // it last refused something as too much; 0: never
	asOf       units.Microseconds // the copy shows all that was stored before; MaxTime negated: it was never complete

	highestRevision uint64             // that any answer has told
	rollbackMark    units.Microseconds // time of day at which this node last noticed that the service went back: tells one time from the next
	recovering      bool               // the copy is to be taken anew for it
	outdatedPage    bool               // the page under way was asked for before that
}

// New returns an empty copy.
func New(cfg Config, host Host) *Cache {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Cache{Replica: store.NewReplica(host.Learn), host: host, cfg: cfg, asOf: -units.MaxTime}
}

// Loaded reports whether the copy is complete.
func (c *Cache) Loaded() bool { return c.loaded }

// LoadedAt is when the copy was last taken anew.
func (c *Cache) LoadedAt() units.Microseconds { return c.loadedAt }

// AsOf is a time: whatever was stored before it, the copy shows. It is when the last request
// was sent whose answer has been taken in, as other requests that the service answers, such
// as renewals, tell nothing of its keys.
func (c *Cache) AsOf() units.Microseconds { return c.asOf }

// LoadRevision is the revision at which the copy was last begun to be taken.
func (c *Cache) LoadRevision() uint64 { return c.listRevision }

// Recovering reports whether the service went back and the copy was not taken anew yet.
func (c *Cache) Recovering() bool { return c.recovering }

// RollbackMark is the time of day at which this node last noticed that the service went back;
// 0: never.
func (c *Cache) RollbackMark() units.Microseconds { return c.rollbackMark }

// HighestRevision is the highest revision that any answer has told.
func (c *Cache) HighestRevision() uint64 { return c.highestRevision }

// Rate is how many requests a second the service takes at present.
func (c *Cache) Rate() float64 { return c.cfg.Rate }

// Age is how long ago the service last answered.
func (c *Cache) Age(now units.Microseconds) units.Microseconds {
	if !c.answered {
		return units.MaxTime
	}
	return now - c.answeredAt
}

// Refused reports whether the service has refused something as too much within a time.
func (c *Cache) Refused(now, within units.Microseconds) bool {
	return c.limitedAt > 0 && now < c.limitedAt+within
}

// ReadFresh asks for a fresh read; told, if any, is told whether it worked.
func (c *Cache) ReadFresh(told func(ok bool)) {
	if told != nil && len(c.waiting) >= maxWaiter {
		told(false)
		return
	}
	c.readWanted = true
	if told != nil {
		c.waiting = append(c.waiting, told)
	}
}

// NoteOutcome notes whether the service serves this node, and at what rate. It returns the
// outcome for those whom the reason of a refusal does not concern.
func (c *Cache) NoteOutcome(now units.Microseconds, outcome store.Outcome) store.Outcome {
	c.now = now
	switch outcome {
	case store.OK, store.Failed, store.TooLarge:
		c.answeredAt, c.answered = now, true
	case store.Limited:
		c.limitedAt = now
		if c.cfg.NextRate > 0 {
			c.cfg.Rate = min(c.cfg.Rate, c.cfg.NextRate)
		}
		c.host.Limited()
		return store.Refused
	}
	return outcome
}

// Tick does what time asks for. wall is the time of day.
func (c *Cache) Tick(now, wall units.Microseconds) {
	c.now, c.wall = now, wall
	c.ask()
}

// ask sends the listing and the watch that are due.
func (c *Cache) ask() {
	if c.loaded && (c.now-c.answeredAt > Heartbeat || c.now-c.asOf > c.cfg.Fresh) {
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
	// Changes are followed while the listing goes on: the service keeps only some,
	// and one that is longer than that would never end.
	following := c.loaded || c.listedUpTo != "" && !c.recovering
	if following && !c.watching && c.now >= c.nextWatchAt {
		c.watching = true
		c.nextWatchAt = c.now + c.every(watchPace)
		c.host.Emit(Watch{After: c.Revision, Known: c.highestRevision, Wait: watchWait, Sent: c.now})
	}
}

// every is the time between requests that take one in so many of the budget, of which
// this node has its share.
func (c *Cache) every(pace float64) units.Microseconds {
	return units.Seconds(pace * float64(c.cfg.Size) / c.cfg.Rate)
}

// Pump sends the read that is due.
func (c *Cache) Pump(now units.Microseconds) {
	c.now = now
	if !c.readWanted || c.reading || !c.loaded || now < c.nextReadAt {
		return
	}
	c.readWanted, c.reading = false, true
	c.readers, c.waiting = c.waiting, nil
	c.nextReadAt = now + c.every(readPace)
	c.host.Emit(Watch{After: c.Revision, Known: c.highestRevision, Fresh: true, Sent: c.now})
}

// OnList takes a page of the listing, read at a revision; more says that there are
// others. A page that was not served is asked for again.
func (c *Cache) OnList(now units.Microseconds, request List, outcome store.Outcome, revision uint64, items []store.Event, more bool) {
	outcome = c.NoteOutcome(now, outcome)
	c.listing = false
	switch {
	case outcome != store.OK:
		c.retryAt = now + retry
		return
	case request.After != c.listedUpTo: // the listing has begun anew meanwhile
	case c.outdatedPage: // it may show what was there before the service went back
		c.outdatedPage = false
		c.listedUpTo = ""
	default:
		c.takePage(revision, items, more)
	}
	c.ask()
}

// takePage takes the next page of the listing.
func (c *Cache) takePage(revision uint64, items []store.Event, more bool) {
	if c.listedUpTo == "" {
		c.beginListing(revision)
	}
	if c.recovering {
		c.listed = append(c.listed, items...)
	} else {
		c.Page(items)
	}
	if more && len(items) > 0 {
		c.listedUpTo = items[len(items)-1].Key
		c.retryAt = c.now + c.every(listPace)
		return
	}
	c.endListing()
}

// beginListing takes the revision of a listing's first page.
func (c *Cache) beginListing(revision uint64) {
	c.listRevision = revision
	if revision < c.listKnown && !c.recovering {
		c.wentBack(c.listKnown, revision)
	}
	if c.recovering {
		return
	}
	c.Begin(revision)
	c.highestRevision = max(c.highestRevision, revision)
	if c.loadedAt > 0 {
		c.host.Gap()
	}
}

// endListing completes the copy.
func (c *Cache) endListing() {
	if c.recovering {
		c.recovering, c.highestRevision = false, c.listRevision
		c.host.Reload(c.listRevision, c.listed)
	} else {
		c.End()
	}
	c.listedUpTo, c.listed = "", nil
	c.loaded, c.loadedAt = true, c.now
	c.asOf = max(c.asOf, c.listSentAt)
	c.cfg.Log.Info("state loaded", "keys", c.Keys(), "revision", c.listRevision)
	c.ReadFresh(nil)
}

// OnChanges takes a watch's answer. gone means that the service no longer has all
// changes since then, so the copy is taken anew.
func (c *Cache) OnChanges(now units.Microseconds, request Watch, outcome store.Outcome, revision uint64, events []store.Event, gone bool) {
	outcome = c.NoteOutcome(now, outcome)
	var readers []func(bool)
	if request.Fresh {
		c.reading = false
		readers, c.readers = c.readers, nil
	} else {
		c.watching = false
	}
	if outcome == store.OK && c.RolledBack(revision, request.Known) {
		outcome = store.Unknown
	}
	switch {
	case outcome == store.OK:
		c.takeChanges(request, revision, events)
	case gone:
		c.loaded, c.listedUpTo = false, ""
	case c.recovering:
		c.retryAt = now // the copy is taken anew at once
	case !request.Fresh:
		c.retryAt = now + retry
	default:
		c.nextReadAt = max(c.nextReadAt, now+retryRead)
	}
	c.ask()
	for _, told := range readers {
		told(outcome == store.OK)
	}
}

// takeChanges takes all changes after a request's revision up to another.
func (c *Cache) takeChanges(request Watch, revision uint64, events []store.Event) {
	c.highestRevision = max(c.highestRevision, revision)
	for _, event := range events {
		if event.Value == nil {
			c.host.Removed(event.Key)
		}
	}
	if c.loaded && request.After <= c.Revision {
		c.asOf = max(c.asOf, request.Sent)
	}
	c.Advance(request.After, revision, events)
}

// RolledBack takes the revision of an answer to a request that was sent when a revision was
// known, and reports whether the service has gone back. An answer to one that was sent
// before the copy was last taken anew tells nothing of it.
func (c *Cache) RolledBack(revision, known uint64) bool {
	if revision >= known || known > c.highestRevision {
		return false
	}
	c.wentBack(known, revision)
	return true
}

// Committed takes what a transaction of this node's has stored at a revision; keep says
// which keys belong to the copy.
func (c *Cache) Committed(now units.Microseconds, txn *store.Txn, revision uint64, keep func(key string) bool) {
	c.now = now
	learn := c.Learn
	if revision < txn.Known || revision == txn.Known && puts(txn) {
		c.wentBack(txn.Known, revision)
		learn = c.Put
	} else {
		c.highestRevision = max(c.highestRevision, revision)
	}
	for _, change := range txn.Changes {
		if change.Value != nil && keep(change.Key) {
			learn(store.Event{Key: change.Key, Value: change.Value, Stamp: revision})
		}
	}
}

// puts reports whether a transaction surely makes a new revision: what is removed
// may have been gone already.
func puts(txn *store.Txn) bool {
	return slices.ContainsFunc(txn.Changes, func(change store.Change) bool { return change.Value != nil })
}

// wentBack notes that the service is behind what it has answered.
func (c *Cache) wentBack(known, revision uint64) {
	if c.recovering {
		return
	}
	c.cfg.Log.Error("the state service went back behind an answer: what is known here is written again", "known_revision", known, "revision", revision)
	c.rollbackMark = max(c.wall, c.rollbackMark+1)
	c.Reload(c.now)
}

// Reload has the copy taken anew, as the service went back.
func (c *Cache) Reload(now units.Microseconds) {
	c.now, c.recovering = now, true
	c.outdatedPage = c.listing
	c.loaded, c.listedUpTo = false, ""
	c.retryAt = c.now
}

// Describe says how the copy stands.
func (c *Cache) Describe() string {
	return fmt.Sprintf("loaded %v listing %v watching %v reading %v read wanted %v retry %d next read %d", c.loaded, c.listing, c.watching, c.reading, c.readWanted, c.retryAt, c.nextReadAt)
}
