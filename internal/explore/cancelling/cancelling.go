// Package cancelling is a small world in which two controllers confirm cancellations to users
// while a third, the holder, answers workers: by the service's own code for what the holder
// knows of them (package cancels). The holder's reads of the state service, its questions and
// their answers may be late, lost or out of order, what the others store may stay without an
// answer, and they may end and forget. Explored, it shows whether the holder can still answer
// workers, without knowing of a cancellation, once that has been confirmed for too long.
package cancelling

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Fault is a mistake that is planted, to show that it is found.
type Fault string

// Faults. Each takes away one of the things that safety rests on.
const (
	None       Fault = ""
	Renewal    Fault = "renewal"     // a renewal counts as if the keys had been read
	Forgetful  Fault = "forgetful"   // a controller vouches as soon as it has begun, before it has read
	FromAnswer Fault = "from-answer" // a list counts from when it comes, and not from when it was asked for
	Ahead      Fault = "ahead"       // who has stored something itself says that it knows all up to there
	Latest     Fault = "latest"      // the holder says that it knows all up to the last that it was told
	One        Fault = "one"         // one controller's word counts as that of all
	Cut        Fault = "cut"         // a list that was cut counts as whole
	Dropped    Fault = "dropped"     // so does one of which the beginning is no longer kept
)

// Faults lists all that can be planted.
var Faults = []Fault{Renewal, Forgetful, FromAnswer, Ahead, Latest, One, Cut, Dropped}

// Options say what may happen.
type Options struct {
	Fault   Fault
	Jobs    int // cancellations
	Mail    int // messages under way at once
	Crashes int // of the controllers that confirm
}

const (
	count  = 3
	second = units.Second
	// extension is for how long the holder may answer past the time up to which it knows all.
	extension = second
	begins    = 10 * second
)

// drift is by how much each clock runs off: the holder's is slow, which is the worst.
var drift = [count]float64{0.9995, 1.0005, 1.0005}

// Move is one thing that happens; what A is depends on the kind.
type Move struct {
	Kind kind
	A    int8
}

type kind int8

const (
	passes  kind = iota // a second
	stores              // A stores a cancellation, and tells its user
	slips               // a cancellation is stored, and nobody hears of it for now
	learns              // A reads all keys, and may tell users of what it finds
	reads               // the holder sends a read
	asks                // the holder asks A what it lacks
	renews              // the holder's lease is renewed
	crashes             // A
	carried             // message A
	lost                // message A
)

type letter struct {
	kind kind // reads, asks, or their answers: learns, stores
	from int8 // whom it is from or to
	sent units.Microseconds
	rev  uint64
	told cancellations.Update
}

type process struct {
	book   *cancellations.Tracker
	rate   float64
	rev    uint64          // up to which its copy is complete
	begun  uint64          // revision at which that was begun
	loaded bool            // it has read the keys at all
	knows  map[uint64]bool // cancellations, by revision
}

// World is the state of everything.
type World struct {
	o       Options
	now     units.Microseconds
	rev     uint64
	stored  []uint64                      // cancellations
	told    map[uint64]units.Microseconds // when a user was first told of each
	nodes   [count]*process
	read    units.Microseconds // when the holder's last read was sent that was answered
	mail    []letter
	crashes int
}

// New returns a world in which nothing is cancelled and all know that.
func New(o Options) *World {
	w := &World{o: o, now: begins, rev: 1, told: map[uint64]units.Microseconds{}}
	for i := range w.nodes {
		w.nodes[i] = w.process(i)
		w.nodes[i].loaded, w.nodes[i].rev, w.nodes[i].begun = true, w.rev, w.rev
	}
	w.read = w.local(0)
	return w
}

func (w *World) process(i int) *process {
	cfg := cancellations.Config{Peers: count - 1, Kept: 2, Listed: 1}
	if w.o.Fault == Dropped {
		cfg.Kept = 1
	}
	if w.o.Fault == One {
		cfg.Peers = 1
	}
	return &process{book: cancellations.New(cfg), rate: drift[i], knows: map[uint64]bool{}}
}

func (w *World) local(i int) units.Microseconds { return units.Microseconds(float64(w.now) * drift[i]) }

func event(rev uint64) store.Event {
	return store.Event{Key: fmt.Sprintf("j%d", rev), Value: []byte("{}"), Stamp: rev}
}

func (p *process) learn(rev uint64) {
	if !p.knows[rev] {
		p.knows[rev] = true
		if rev > p.rev {
			p.book.Record(event(rev))
		}
	}
}

// take brings a controller's copy up to a revision.
func (w *World) take(p *process, rev uint64) {
	if !p.loaded {
		p.loaded, p.begun, p.rev = true, rev, rev
	}
	for _, s := range w.stored {
		if s <= rev {
			p.learn(s)
		}
	}
	p.rev = max(p.rev, rev)
}

func (w *World) tell(rev uint64) {
	if _, ok := w.told[rev]; !ok {
		w.told[rev] = w.now
	}
}

// Actions implements explore.World.
func (w *World) Actions() []Move {
	out := []Move{{Kind: passes}}
	for i := int8(1); i < count; i++ {
		p := w.nodes[i]
		if len(w.stored) < w.o.Jobs && p.loaded {
			out = append(out, Move{stores, i})
		}
		if !p.loaded || p.rev < w.rev {
			out = append(out, Move{learns, i})
		}
		if len(w.mail) < w.o.Mail {
			out = append(out, Move{asks, i})
		}
		if w.crashes < w.o.Crashes {
			out = append(out, Move{crashes, i})
		}
	}
	if len(w.stored) < w.o.Jobs {
		out = append(out, Move{Kind: slips})
	}
	if len(w.mail) < w.o.Mail {
		out = append(out, Move{Kind: reads})
	}
	if w.o.Fault == Renewal {
		out = append(out, Move{Kind: renews})
	}
	for k := range w.mail {
		out = append(out, Move{carried, int8(k)}, Move{lost, int8(k)})
	}
	return out
}

// Apply implements explore.World.
func (w *World) Apply(m Move) {
	a := w.nodes[0]
	switch m.Kind {
	case passes:
		w.now += second
	case stores, slips:
		w.rev++
		w.stored = append(w.stored, w.rev)
		if m.Kind == stores {
			w.nodes[m.A].learn(w.rev)
			w.tell(w.rev)
		}
	case learns:
		p := w.nodes[m.A]
		w.take(p, w.rev)
		for rev := range p.knows {
			w.tell(rev)
		}
	case reads:
		w.mail = append(w.mail, letter{kind: reads, sent: w.local(0)})
	case asks:
		w.mail = append(w.mail, letter{kind: asks, from: m.A, sent: w.local(0), rev: a.book.KnownRevision(a.rev)})
	case renews:
		w.read = w.local(0)
	case crashes:
		w.crashes++
		w.nodes[m.A] = w.process(int(m.A))
	case lost:
		w.mail = slices.Delete(w.mail, int(m.A), int(m.A)+1)
	case carried:
		l := w.mail[m.A]
		w.mail = slices.Delete(w.mail, int(m.A), int(m.A)+1)
		w.carry(l)
	}
}

func (w *World) carry(l letter) {
	a, p := w.nodes[0], w.nodes[l.from]
	switch l.kind {
	case reads:
		l.kind, l.rev = learns, w.rev
		w.mail = append(w.mail, l)
	case learns:
		w.take(a, l.rev)
		w.read = max(w.read, l.sent)
	case asks:
		begun, rev, loaded := p.begun, p.rev, p.loaded
		if w.o.Fault == Forgetful {
			begun, loaded = 0, true
		}
		if w.o.Fault == Ahead {
			for s := range p.knows {
				rev = max(rev, s)
			}
		}
		l.kind, l.told = stores, p.book.UpdateFor(w.local(int(l.from)), l.rev, begun, rev, loaded)
		l.told.Whole = l.told.Whole || w.o.Fault == Dropped && p.loaded
		w.mail = append(w.mail, l)
	case stores:
		for _, e := range l.told.List {
			a.learn(e.Stamp)
			if w.o.Fault == Latest {
				l.told.Upto = max(l.told.Upto, e.Stamp)
			}
		}
		sent := l.sent
		if w.o.Fault == FromAnswer {
			sent = w.local(0)
		}
		l.told.Whole = l.told.Whole || w.o.Fault == Cut
		a.book.Receive(w.local(0), fmt.Sprint(l.from), sent, l.told, a.rev)
	}
}

func (w *World) answersUntil() units.Microseconds {
	return w.nodes[0].book.KnownUntil(w.local(0), w.read) + units.MinWithDrift(extension)
}

// Violation implements explore.World.
func (w *World) Violation() string {
	if w.local(0) >= w.answersUntil() {
		return ""
	}
	for _, rev := range w.stored {
		if at, ok := w.told[rev]; ok && w.now >= at+extension && !w.nodes[0].knows[rev] {
			return fmt.Sprintf("the holder answers workers, and does not know of a cancellation that was told %.0f s ago", (w.now - at).Seconds())
		}
	}
	return ""
}

// State implements explore.World.
func (w *World) State() string {
	var b strings.Builder
	ago := func(t units.Microseconds) units.Microseconds { return min(w.local(0)-t, extension+second) }
	fmt.Fprintf(&b, "%d %v %d|", w.rev, w.stored, w.crashes)
	for _, s := range w.stored {
		if at, ok := w.told[s]; ok {
			fmt.Fprint(&b, min(w.now-at, extension), " ")
		}
	}
	fmt.Fprintf(&b, "%d|", ago(w.read))
	for i, p := range w.nodes {
		fmt.Fprintf(&b, "%d %d %v %v %s|", p.rev, p.begun, p.loaded, p.knows, p.book.Describe(w.local(i), extension+second))
	}
	mail := make([]string, len(w.mail))
	for i, l := range w.mail {
		mail[i] = fmt.Sprint(l.kind, l.from, ago(l.sent), l.rev, l.told)
	}
	slices.Sort(mail)
	fmt.Fprint(&b, mail)
	return b.String()
}

// Tell plays a history and says what happened, a line a move.
func Tell(o Options, history []Move) []string {
	w := New(o)
	var out []string
	for _, m := range history {
		who := string(rune('a' + m.A))
		text := [...]string{"a second passes", who + " stores a cancellation, and tells its user", "a cancellation is stored, and nobody hears of it",
			who + " reads the keys, and tells users what it finds", "a sends a read", "a asks " + who, "a's lease is renewed", who + " ends and begins anew", "", ""}[m.Kind]
		if m.Kind == carried || m.Kind == lost {
			l := w.mail[m.A]
			from := string(rune('a' + l.from))
			text = map[kind]string{reads: "a's read", learns: "the answer to a's read", asks: "a's question to " + from, stores: from + "'s word"}[l.kind] +
				map[kind]string{carried: " comes", lost: " is lost"}[m.Kind]
		}
		w.Apply(m)
		out = append(out, fmt.Sprintf("%4.0f s  %-50s stored: %v; a knows %v, answers for %.1f s", (w.now-begins).Seconds(), text, w.stored,
			slices.Sorted(maps.Keys(w.nodes[0].knows)), cmp.Or(max(0, w.answersUntil()-w.local(0)).Seconds(), 0)))
	}
	return out
}

var _ explore.World[Move] = (*World)(nil)
