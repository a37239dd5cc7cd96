// Package cancellations tracks the stored cancellations that a controller knows, and the time up to which it
// is certain to know every cancellation that was confirmed to a user. A shard's owner answers its workers
// only while that time is recent enough for their leases to end in time (docs/design.md, "Cancelling").
//
// There are two sources. First, a read of the state service shows everything that was stored before
// the read was sent. Second, a cancellation is confirmed to a user only by a controller that knows it
// to be stored. So if every other controller, asked at some time, has listed all cancellations that it
// knows, then none that this controller lacks can have been confirmed before that time. The second
// source also works while the state service is unavailable to all controllers, or to this one.
//
// The package is deterministic: messages and the time are passed to its methods.
package cancellations

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxKept is how many of the most recent cancellations are kept for listing, and maxListed how many are
	// listed at once. With their records they stay far below the maximum frame size between controllers.
	maxKept   = 4096
	maxListed = 128
	// rollbackGrace is how long after a rollback of the state service no list counts as
	// complete. Until then, the controllers may refer to different revisions.
	rollbackGrace = 10 * units.Second
)

// Config holds the tracker's fixed settings.
type Config struct {
	Peers  int // number of other controllers
	Kept   int // number of cancellations that are kept; 0: maxKept
	Listed int // number of cancellations that are listed at once; 0: maxListed
}

// Update is a controller's answer to another one that knows every cancellation up to a revision.
type Update struct {
	Since uint64 // that revision, as given in the request
	Upto  uint64 // together with List, every cancellation up to this revision is known
	Whole bool   // List has all cancellations after Since that the sender knows
	List  []store.Event
}

// Tracker tracks the cancellations that one controller knows.
type Tracker struct {
	cfg         Config
	recent      []store.Event // the most recent cancellations, sorted by revision
	droppedUpTo uint64        // cancellations up to this revision may have been dropped from recent

	peersUpTo    uint64                        // every cancellation up to this revision is known from other controllers
	peersAsOf    units.Microseconds            // every cancellation confirmed before this time is known from them
	completeAsOf map[string]units.Microseconds // by controller: send time of the last request answered with a whole list
	rolledBackAt units.Microseconds            // time of the last rollback of the state service; 0: never
}

// New returns a tracker that knows no cancellations.
func New(cfg Config) *Tracker {
	cfg.Kept, cfg.Listed = cmp.Or(cfg.Kept, maxKept), cmp.Or(cfg.Listed, maxListed)
	return &Tracker{cfg: cfg, completeAsOf: map[string]units.Microseconds{}}
}

// Record adds a stored cancellation that is newer than the watch cache.
func (t *Tracker) Record(e store.Event) {
	i, found := slices.BinarySearchFunc(t.recent, e, compareEvents)
	if found {
		return
	}
	t.recent = slices.Insert(t.recent, i, e)
	if len(t.recent) > t.cfg.Kept {
		t.droppedUpTo = max(t.droppedUpTo, t.recent[0].Stamp)
		t.recent = t.recent[1:]
	}
}

func compareEvents(a, b store.Event) int {
	return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), strings.Compare(a.Key, b.Key))
}

// StateRolledBack drops everything that refers to revisions, because
// the state service has lost writes that it had acknowledged.
func (t *Tracker) StateRolledBack(now units.Microseconds) {
	*t = *New(t.cfg)
	t.rolledBackAt = max(now, 1)
}

func (t *Tracker) inRollbackGrace(now units.Microseconds) bool {
	return t.rolledBackAt != 0 && now-t.rolledBackAt < rollbackGrace
}

// UpdateFor returns the update for a controller that knows every cancellation up to since.
// The watch cache is complete up to revision and was first listed as of loadedFrom. complete
// is false while the cache is being listed; it is then unknown what it lacks.
func (t *Tracker) UpdateFor(now units.Microseconds, since, loadedFrom, revision uint64, complete bool) Update {
	update := Update{Since: since, Upto: since}
	i, _ := slices.BinarySearchFunc(t.recent, since, func(e store.Event, revision uint64) int {
		if e.Stamp <= revision {
			return -1
		}
		return 1
	})
	update.List = slices.Clone(t.recent[i:min(i+t.cfg.Listed, len(t.recent))])
	// Cancellations that were stored before the cache was listed, or are no longer kept, may be missing.
	if !complete || since < max(loadedFrom, t.droppedUpTo) || t.inRollbackGrace(now) {
		return update
	}
	update.Whole = i+len(update.List) == len(t.recent)
	if update.Upto = max(since, revision); !update.Whole {
		// The next cancellation may have the same revision as the last one listed here.
		update.Upto = max(since, min(update.Upto, update.List[len(update.List)-1].Stamp-1))
	}
	return update
}

// KnownRevision returns the revision up to which every cancellation
// is known, if the watch cache is complete up to revision.
func (t *Tracker) KnownRevision(revision uint64) uint64 { return max(t.peersUpTo, revision) }

// Receive applies another controller's answer to a request sent at requestedAt, on this
// controller's clock. The listed cancellations are valid in any case and are not applied
// here; the rest of the update counts only if it continues from what is already known.
func (t *Tracker) Receive(now units.Microseconds, from string, requestedAt units.Microseconds, update Update, revision uint64) {
	if update.Since > t.KnownRevision(revision) || requestedAt > now || t.inRollbackGrace(now) || t.rolledBackAt != 0 && requestedAt <= t.rolledBackAt {
		return
	}
	t.peersUpTo = max(t.peersUpTo, update.Upto)
	if !update.Whole {
		return
	}
	t.completeAsOf[from] = max(t.completeAsOf[from], requestedAt)
	if len(t.completeAsOf) >= t.cfg.Peers {
		t.peersAsOf = slices.Min(slices.Collect(maps.Values(t.completeAsOf)))
	}
}

// KnownUntil returns the time up to which every cancellation that was confirmed to a user is certain to be
// known. readSentAt is the send time of the last read whose answer brought the watch cache up to date.
func (t *Tracker) KnownUntil(now, readSentAt units.Microseconds) units.Microseconds {
	if t.cfg.Peers == 0 {
		return now // no other controller confirms cancellations
	}
	return max(readSentAt, t.peersAsOf)
}
