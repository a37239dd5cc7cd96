// Package cancellations keeps what a controller knows of stored cancellations, and up to when it
// surely knew every one that was confirmed to any user. A shard's owner answers its workers only
// as long as that is recent enough for their leases to end in time (docs/design.md,
// "Cancelling").
//
// There are two ways to know. A read of the state service shows all that was stored before
// it was sent. And a cancellation is confirmed to a user only by a controller that knows it to be
// stored: so if each of the others, asked at some time, has listed all that it knows of, none
// can have been confirmed before that time and be missing here. The second way also stands while
// the state service serves nobody, or not this controller.
//
// It is pure: messages and the time go in by method calls.
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
	// maxKept is how many of the last cancellations are kept to be listed, and maxListed how many
	// are listed at once: with their records they stay far below a frame between controllers.
	maxKept   = 4096
	maxListed = 128
	// rollbackGrace is for how long no list counts as whole after the state service went back behind
	// its answers: until then not all controllers go by the same revisions.
	rollbackGrace = 10 * units.Second
)

// Config says what is kept.
type Config struct {
	Peers  int // other controllers
	Kept   int // cancellations that are kept; 0: as usual
	Listed int // that are listed at once; 0: as usual
}

// Update is a controller's answer to one that knows every cancellation up to a revision.
type Update struct {
	Since uint64 // that revision, as asked
	Upto  uint64 // with what is listed, every cancellation up to here is known
	Whole bool   // the list has all others that the sender knows of
	List  []store.Event
}

// Tracker is what one controller knows.
type Tracker struct {
	cfg         Config
	recent      []store.Event // the last cancellations, by revision
	droppedUpTo uint64        // up to here some are no longer in the list

	peersUpTo    uint64                        // every cancellation up to here is known from other controllers
	peersAsOf    units.Microseconds            // every one that was confirmed before is known from them
	completeAsOf map[string]units.Microseconds // when each controller was last asked that listed all
	rolledBackAt units.Microseconds            // the state service last went back behind its answers; 0: never
}

// New returns a tracker that knows of none.
func New(cfg Config) *Tracker {
	cfg.Kept, cfg.Listed = cmp.Or(cfg.Kept, maxKept), cmp.Or(cfg.Listed, maxListed)
	return &Tracker{cfg: cfg, completeAsOf: map[string]units.Microseconds{}}
}

// Record takes a stored cancellation that is newer than the copy of the state service's keys.
func (t *Tracker) Record(e store.Event) {
	i, there := slices.BinarySearchFunc(t.recent, e, compareEvents)
	if there {
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

// StateRolledBack drops all that goes by revisions, since the state service went back behind its answers.
func (t *Tracker) StateRolledBack(now units.Microseconds) {
	*t = *New(t.cfg)
	t.rolledBackAt = max(now, 1)
}

func (t *Tracker) inRollbackGrace(now units.Microseconds) bool {
	return t.rolledBackAt != 0 && now-t.rolledBackAt < rollbackGrace
}

// UpdateFor answers a controller that knows every cancellation up to since. The copy of the keys
// is complete up to revision and was first listed as of loadedFrom; complete is false while it is
// being listed: then what it lacks is not known.
func (t *Tracker) UpdateFor(now units.Microseconds, since, loadedFrom, revision uint64, complete bool) Update {
	update := Update{Since: since, Upto: since}
	i, _ := slices.BinarySearchFunc(t.recent, since, func(e store.Event, revision uint64) int {
		if e.Stamp <= revision {
			return -1
		}
		return 1
	})
	update.List = slices.Clone(t.recent[i:min(i+t.cfg.Listed, len(t.recent))])
	// What was stored before the copy was listed, or is no longer kept, may be missing.
	if !complete || since < max(loadedFrom, t.droppedUpTo) || t.inRollbackGrace(now) {
		return update
	}
	update.Whole = i+len(update.List) == len(t.recent)
	if update.Upto = max(since, revision); !update.Whole {
		// The next may have been stored together with the last one here.
		update.Upto = max(since, min(update.Upto, update.List[len(update.List)-1].Stamp-1))
	}
	return update
}

// KnownRevision is the revision up to which every cancellation is known, where the copy of the keys
// is complete up to revision.
func (t *Tracker) KnownRevision(revision uint64) uint64 { return max(t.peersUpTo, revision) }

// Receive takes the answer of another controller that was asked at a time on this
// controller's clock. The list is true in any case; the rest counts only where it goes on
// from what is known.
func (t *Tracker) Receive(now units.Microseconds, from string, asked units.Microseconds, update Update, revision uint64) {
	if update.Since > t.KnownRevision(revision) || asked > now || t.inRollbackGrace(now) || t.rolledBackAt != 0 && asked <= t.rolledBackAt {
		return
	}
	t.peersUpTo = max(t.peersUpTo, update.Upto)
	if !update.Whole {
		return
	}
	t.completeAsOf[from] = max(t.completeAsOf[from], asked)
	if len(t.completeAsOf) >= t.cfg.Peers {
		t.peersAsOf = slices.Min(slices.Collect(maps.Values(t.completeAsOf)))
	}
}

// KnownUntil is the time up to which every cancellation that was confirmed to any user is surely known.
// read is when the last request was sent whose answer has brought the copy of the keys up to
// date.
func (t *Tracker) KnownUntil(now, read units.Microseconds) units.Microseconds {
	if t.cfg.Peers == 0 {
		return now // there is nobody else who confirms any
	}
	return max(read, t.peersAsOf)
}
