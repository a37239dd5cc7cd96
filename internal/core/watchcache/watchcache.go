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

// Host is whom the copy is kept for.
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
	// to have its later limits.
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
)

// Cache is the copy and what keeps it.
type Cache struct {
	*store.Replica
	host Host
	cfg  Config
	now  units.Microseconds
	wall units.Microseconds

	loaded    bool
	loadedAt  units.Microseconds
	listing   bool
	listKnown uint64             // the highest revision that was known when the listing began
	page      string             // the last key that it has shown; "": it has not begun
	pageRev   uint64             // revision at which it began
	pages     []store.Event      // what it has shown, where the service went back
	limitedAt units.Microseconds // the service last refused something as too much; 0: never
	watching  bool
	reading   bool
	retryAt   units.Microseconds
	nextRead  units.Microseconds
	nextWatch units.Microseconds
	current   []func(ok bool) // told when the read under way ends
	waiting   []func(ok bool) // wait for the next read
	want      bool
	lastOK    units.Microseconds // the service last answered
	everOK    bool
	listSent  units.Microseconds // when the listing under way, or the last one, was begun
	asOf      units.Microseconds // the copy shows all that was stored before; Never negated: it was never complete

	mark  units.Microseconds // time of day at which this node last noticed that the service went back: tells one time from the next
	due   bool               // the copy is to be taken anew for it
	stale bool               // the listing under way began before that
	seen  uint64             // the highest revision that any answer has told
}

// New returns an empty copy.
func New(cfg Config, host Host) *Cache {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Cache{Replica: store.NewReplica(host.Learn), host: host, cfg: cfg, asOf: -units.Never}
}

// Loaded reports whether the copy is complete, and LoadedAt since when it was last
// taken anew.
func (m *Cache) Loaded() bool                 { return m.loaded }
func (m *Cache) LoadedAt() units.Microseconds { return m.loadedAt }

// AsOf is a time: whatever was stored before it, the copy shows. It is when the last request
// was sent whose answer has been taken in, as other requests that the service answers, such
// as renewals, tell nothing of its keys.
func (m *Cache) AsOf() units.Microseconds { return m.asOf }

// LoadRevision is the revision at which the copy was last begun to be taken.
func (m *Cache) LoadRevision() uint64 { return m.pageRev }

// Recovering reports whether the service went back and the copy was not taken anew yet.
func (m *Cache) Recovering() bool { return m.due }

// RollbackMark is the time of day at which this node last noticed that the service went back;
// 0: never.
func (m *Cache) RollbackMark() units.Microseconds { return m.mark }

// HighestRevision is the highest revision that any answer has told.
func (m *Cache) HighestRevision() uint64 { return m.seen }

// Rate is how many requests a second the service takes at present.
func (m *Cache) Rate() float64 { return m.cfg.Rate }

// Age is how long ago the service last answered.
func (m *Cache) Age(now units.Microseconds) units.Microseconds {
	if !m.everOK {
		return units.Never
	}
	return now - m.lastOK
}

// Refused reports whether the service has refused something as too much within a time.
func (m *Cache) Refused(now, within units.Microseconds) bool {
	return m.limitedAt > 0 && now < m.limitedAt+within
}

// ReadFresh asks for a fresh read; f, if any, is told whether it worked.
func (m *Cache) ReadFresh(f func(ok bool)) {
	if f != nil && len(m.waiting) >= maxWaiter {
		f(false)
		return
	}
	m.want = true
	if f != nil {
		m.waiting = append(m.waiting, f)
	}
}

// NoteOutcome notes whether the service serves this node, and at what rate. It returns the
// outcome for those whom the reason of a refusal does not concern.
func (m *Cache) NoteOutcome(now units.Microseconds, o store.Outcome) store.Outcome {
	m.now = now
	switch o {
	case store.OK, store.Failed, store.TooLarge:
		m.lastOK, m.everOK = now, true
	case store.Limited:
		m.limitedAt = now
		if m.cfg.NextRate > 0 {
			m.cfg.Rate = min(m.cfg.Rate, m.cfg.NextRate)
		}
		m.host.Limited()
		return store.Refused
	}
	return o
}

// Tick does what time asks for. wall is the time of day.
func (m *Cache) Tick(now, wall units.Microseconds) {
	m.now, m.wall = now, wall
	m.ask()
}

// ask sends the listing and the watch that are due.
func (m *Cache) ask() {
	if m.loaded && (m.now-m.lastOK > Heartbeat || m.now-m.asOf > m.cfg.Fresh) {
		m.want = true
	}
	if !m.loaded && !m.listing && m.now >= m.retryAt {
		if m.page == "" {
			m.listKnown, m.pages, m.listSent = m.seen, nil, m.now
		}
		m.listing = true
		m.host.Emit(List{After: m.page})
	}
	// Changes are followed while the listing goes on: the service keeps only some,
	// and one that is longer than that would never end.
	if (m.loaded || m.page != "" && !m.due) && !m.watching && m.now >= m.retryAt && m.now >= m.nextWatch {
		m.watching = true
		// A watch ends with every change, so a third of the budget bounds them.
		m.nextWatch = m.now + m.every(3)
		m.host.Emit(Watch{After: m.Revision, Known: m.seen, Wait: watchWait, Sent: m.now})
	}
}

// every is the time between requests that take one in so many of the budget, of which
// this node has its share.
func (m *Cache) every(one float64) units.Microseconds {
	return units.Seconds(one * float64(m.cfg.Size) / m.cfg.Rate)
}

// Pump sends the read that is due.
func (m *Cache) Pump(now units.Microseconds) {
	m.now = now
	if !m.want || m.reading || !m.loaded || now < m.nextRead {
		return
	}
	m.want, m.reading = false, true
	m.current, m.waiting = m.waiting, nil
	m.nextRead = now + m.every(2)
	m.host.Emit(Watch{After: m.Revision, Known: m.seen, Fresh: true, Sent: m.now})
}

// OnList takes a page of the listing, read at a revision; more says that there are
// others. A page that was not served is asked for again.
func (m *Cache) OnList(now units.Microseconds, l List, o store.Outcome, rev uint64, items []store.Event, more bool) {
	o = m.NoteOutcome(now, o)
	m.listing = false
	if o != store.OK {
		m.retryAt = now + retry
		return
	}
	if l.After != m.page { // the listing has begun anew meanwhile
		m.ask()
		return
	}
	if m.stale { // it may show what was there before the service went back
		m.stale = false
		m.page = ""
		m.ask()
		return
	}
	if m.page == "" {
		m.pageRev = rev
		if rev < m.listKnown && !m.due {
			m.wentBack(m.listKnown, rev)
		}
		if !m.due {
			m.Begin(rev)
			m.seen = max(m.seen, rev)
			if m.loadedAt > 0 {
				m.host.Gap()
			}
		}
	}
	if m.due {
		m.pages = append(m.pages, items...)
	} else {
		m.Replica.Page(items)
	}
	if more && len(items) > 0 {
		m.page = items[len(items)-1].Key
		m.retryAt = now + m.every(2)
		m.ask()
		return
	}
	if m.due {
		m.due, m.seen = false, m.pageRev
		m.host.Reload(m.pageRev, m.pages)
	} else {
		m.End()
	}
	m.page, m.pages = "", nil
	m.loaded, m.loadedAt = true, now
	m.asOf = max(m.asOf, m.listSent)
	m.cfg.Log.Info("state loaded", "keys", m.Keys(), "revision", m.pageRev)
	m.ReadFresh(nil)
	m.ask()
}

// OnChanges takes a watch's answer. gone means that the service no longer has all
// changes since then, so the copy is taken anew.
func (m *Cache) OnChanges(now units.Microseconds, w Watch, o store.Outcome, rev uint64, events []store.Event, gone bool) {
	o = m.NoteOutcome(now, o)
	var told []func(bool)
	if w.Fresh {
		m.reading = false
		told, m.current = m.current, nil
	} else {
		m.watching = false
	}
	if o == store.OK && m.RolledBack(rev, w.Known) {
		o = store.Unknown
	}
	if o == store.OK {
		m.seen = max(m.seen, rev)
		for _, e := range events {
			if e.Value == nil {
				m.host.Removed(e.Key)
			}
		}
		if m.loaded && w.After <= m.Revision {
			m.asOf = max(m.asOf, w.Sent)
		}
		m.Advance(w.After, rev, events)
	} else if gone {
		m.loaded, m.page = false, ""
	} else if m.due {
		m.retryAt = now // the copy is taken anew at once
	} else if !w.Fresh {
		m.retryAt = now + retry
	} else {
		m.nextRead = max(m.nextRead, now+retryRead)
	}
	m.ask()
	for _, f := range told {
		f(o == store.OK)
	}
}

// RolledBack takes the revision of an answer to a request that was sent when a revision was
// known, and reports whether the service has gone back. An answer to one that was sent
// before the copy was last taken anew tells nothing of it.
func (m *Cache) RolledBack(rev, known uint64) bool {
	if rev >= known || known > m.seen {
		return false
	}
	m.wentBack(known, rev)
	return true
}

// Committed takes what a transaction of this node's has stored at a revision; keep says
// which keys belong to the copy.
func (m *Cache) Committed(now units.Microseconds, t *store.Txn, rev uint64, keep func(key string) bool) {
	m.now = now
	learn := m.Learn
	if rev < t.Known || rev == t.Known && puts(t) {
		m.wentBack(t.Known, rev)
		learn = m.Put
	} else {
		m.seen = max(m.seen, rev)
	}
	for _, ch := range t.Changes {
		if ch.Value != nil && keep(ch.Key) {
			learn(store.Event{Key: ch.Key, Value: ch.Value, Stamp: rev})
		}
	}
}

// puts reports whether a transaction surely makes a new revision: what is removed
// may have been gone already.
func puts(t *store.Txn) bool {
	return slices.ContainsFunc(t.Changes, func(ch store.Change) bool { return ch.Value != nil })
}

// wentBack notes that the service is behind what it has answered.
func (m *Cache) wentBack(known, got uint64) {
	if m.due {
		return
	}
	m.cfg.Log.Error("the state service went back behind an answer: what is known here is written again", "known_revision", known, "revision", got)
	m.mark = max(m.wall, m.mark+1)
	m.Reload(m.now)
}

// Reload has the copy taken anew, as the service went back.
func (m *Cache) Reload(now units.Microseconds) {
	m.now, m.due = now, true
	m.stale = m.listing
	m.loaded, m.page = false, ""
	m.retryAt = m.now
}

// Describe says how the copy stands.
func (m *Cache) Describe() string {
	return fmt.Sprintf("loaded %v listing %v watching %v reading %v want %v retry %d next %d", m.loaded, m.listing, m.watching, m.reading, m.want, m.retryAt, m.nextRead)
}
