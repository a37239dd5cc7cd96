// Package cancellations keeps what a controller knows of stored cancellations, and up to when it
// surely knew every one that any user had been told of. A holder answers its workers only as
// long as that is recent enough for their leases to end in time (docs/design.md,
// "Cancelling").
//
// There are two ways to know. A read of the state service shows all that was stored before
// it was sent. And a cancellation is told to a user only by a controller that knows it to be
// stored: so if each of the others, asked at some time, has listed all that it knows of, none
// can have been told before that time and be missing here. The second way also stands while
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
	// kept is how many of the last cancellations are kept to be told, and atOnce how many
	// are told at once: with their records they stay far below a frame between controllers.
	kept   = 4096
	atOnce = 128
	// doubtFor is for how long nobody vouches after the state service went back behind its
	// answers: until then not all go by the same revisions.
	doubtFor = 10 * units.Second
)

// Config says whose book it is.
type Config struct {
	Peers  int // other controllers
	Kept   int // cancellations that are kept; 0: as usual
	AtOnce int // that are told at once; 0: as usual
}

// Told is a controller's answer to one that knows every cancellation up to a revision.
type Told struct {
	Since uint64 // that revision, as asked
	Upto  uint64 // with what is listed, every cancellation up to here is known
	Whole bool   // the list has all others that the teller knows of
	List  []store.Event
}

// Tracker is what one controller knows.
type Tracker struct {
	cfg   Config
	list  []store.Event // the last cancellations, by revision
	floor uint64        // up to here some are no longer in the list

	told    uint64 // every cancellation up to here is known by other controllers' word
	asOf    units.Microseconds
	vouched map[string]units.Microseconds // when each controller was last asked that listed all
	forgot  units.Microseconds            // the state service last went back; 0: never
}

// New returns an empty book.
func New(cfg Config) *Tracker {
	cfg.Kept, cfg.AtOnce = cmp.Or(cfg.Kept, kept), cmp.Or(cfg.AtOnce, atOnce)
	return &Tracker{cfg: cfg, vouched: map[string]units.Microseconds{}}
}

// Note takes a stored cancellation that is newer than the copy of the state service's keys.
func (b *Tracker) Note(e store.Event) {
	i, there := slices.BinarySearchFunc(b.list, e, order)
	if there {
		return
	}
	b.list = slices.Insert(b.list, i, e)
	if len(b.list) > b.cfg.Kept {
		b.floor = max(b.floor, b.list[0].Stamp)
		b.list = b.list[1:]
	}
}

func order(a, b store.Event) int {
	return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), strings.Compare(a.Key, b.Key))
}

// Forget drops all that goes by revisions, as the state service went back behind its answers.
func (b *Tracker) Forget(now units.Microseconds) {
	*b = *New(b.cfg)
	b.forgot = max(now, 1)
}

func (b *Tracker) doubtful(now units.Microseconds) bool {
	return b.forgot != 0 && now-b.forgot < doubtFor
}

// ListFor answers a controller that knows every cancellation up to since. The copy of the keys
// is complete up to rev and was begun at the revision begun; complete is false while it is
// being taken: then what it lacks is not known.
func (b *Tracker) ListFor(now units.Microseconds, since, begun, rev uint64, complete bool) Told {
	t := Told{Since: since, Upto: since}
	i, _ := slices.BinarySearchFunc(b.list, since, func(e store.Event, rev uint64) int {
		if e.Stamp <= rev {
			return -1
		}
		return 1
	})
	t.List = slices.Clone(b.list[i:min(i+b.cfg.AtOnce, len(b.list))])
	// What was stored before the copy was begun, or is no longer kept, may be missing.
	if !complete || since < max(begun, b.floor) || b.doubtful(now) {
		return t
	}
	t.Whole = i+len(t.List) == len(b.list)
	if t.Upto = max(since, rev); !t.Whole {
		// The next may have been stored together with the last one here.
		t.Upto = max(since, min(t.Upto, t.List[len(t.List)-1].Stamp-1))
	}
	return t
}

// Known is the revision up to which every cancellation is known, where the copy of the keys
// is complete up to rev.
func (b *Tracker) Known(rev uint64) uint64 { return max(b.told, rev) }

// Receive takes what another controller has told when it was asked at a time on this
// controller's clock. The list is true in any case; the rest counts only where it goes on
// from what is known.
func (b *Tracker) Receive(now units.Microseconds, from string, asked units.Microseconds, t Told, rev uint64) {
	if t.Since > b.Known(rev) || asked > now || b.doubtful(now) || b.forgot != 0 && asked <= b.forgot {
		return
	}
	b.told = max(b.told, t.Upto)
	if !t.Whole {
		return
	}
	b.vouched[from] = max(b.vouched[from], asked)
	if len(b.vouched) >= b.cfg.Peers {
		b.asOf = slices.Min(slices.Collect(maps.Values(b.vouched)))
	}
}

// KnownUntil is the time up to which every cancellation that any user was told of is surely known.
// read is when the last request was sent whose answer has brought the copy of the keys up to
// date.
func (b *Tracker) KnownUntil(now, read units.Microseconds) units.Microseconds {
	if b.cfg.Peers == 0 {
		return now // there is nobody else who tells users
	}
	return max(read, b.asOf)
}
