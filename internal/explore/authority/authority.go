// Package authority is a small world in which controllers hold a block by their seats:
// three of them with the service's own seats, promises and permits, a state service with
// leases, and messages that may be late, lost or come twice. Controllers end and begin
// anew, and their clocks run off. Explored, it shows whether two can ever hold the block
// at one moment.
//
// The first controller holds the block and may lose any message; the others are served by
// the state service all the time, but may read late what concerns the first, and may end.
package authority

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/membership"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Fault is a mistake that is planted, to show that it is found.
type Fault string

// Faults. Each takes away one of the things that safety rests on.
const (
	None       Fault = ""
	FromAnswer Fault = "from-answer" // promises count from when they come, and not from when they were asked for
	Forgetful  Fault = "forgetful"   // a controller permits as soon as it has begun, though it may have promised
	Minority   Fault = "minority"    // one permit is enough
	Unguarded  Fault = "unguarded"   // blocks are granted whatever was granted meanwhile
	LongLease  Fault = "long-lease"  // a lease is taken for longer than the state service keeps it
	FastClock  Fault = "fast-clock"  // a clock runs off by more than the bound
	Torn       Fault = "torn"        // controllers read who holds the block before they read the seats of that time
	Hasty      Fault = "hasty"       // controllers take a seat for over before a majority's promises can be
	Few        Fault = "few"         // a majority's promises count as those of all
	TwoFaced   Fault = "two-faced"   // a controller goes on promising to a seat that it has helped to end
)

// Faults lists all that can be planted.
var Faults = []Fault{FromAnswer, Forgetful, Minority, Unguarded, LongLease, FastClock, Torn, Hasty, Few, TwoFaced}

// Options say what may happen.
type Options struct {
	Fault   Fault
	Mail    int // messages under way at once
	Crashes int // of controllers, in a history
	Twice   int // messages that come twice
	// Alone lets promises of all carry a seat for much longer than those of a majority, so
	// that the seat may be ended by one alone.
	Alone bool
	// Unserved lets the others promise as in an outage, also to a seat whose record is gone.
	Unserved bool
}

// times are a lease's, and for how long promises of all and of a majority carry it.
func (o Options) times() (ttl, extend, short units.Microseconds) {
	if o.Alone {
		return second, 8 * second, second
	}
	return 2 * second, 4 * second, 4 * second
}

const (
	count   = 3
	second  = units.Second
	started = 10 * second // of the processes that are there at the beginning
)

// drift is by how much each clock runs off, within the bound: the holder's is slow and
// those of the others are fast, which is the worst.
var drift = [count]float64{0.9995, 1.0005, 1.0005}

// Move is one thing that happens. What A and B are depends on its kind.
type Move struct {
	Kind kind
	A, B int8
}

type kind int8

const (
	passes  kind = iota // a second
	ticks               // the first's timer: a renewal, or a new lease; B: answered at once
	asks                // the first asks B for a promise; A: answered at once
	governs             // A tries to give the block to itself; B: 1 permits come at once, 2 the grant too
	learns              // A reads the first's seat and who holds the block
	expires             // the lease of the first's seat
	crashes             // A
	carried             // message A
	lost                // message A
	doubled             // message A comes, and will come once more
)

type letter int8

const (
	renewal letter = iota // to the state service
	opening
	seating
	granting
	renewed // from it
	opened
	seated
	askPromise // between controllers
	promise
	askPermit
	permit
)

// mail is a message under way. Times are those of the clock of the process that asked.
type mail struct {
	kind     letter
	from, to int8
	life     int // of the process that is to get the answer
	seat     uint64
	sent     units.Microseconds
	node     int8
	stamp    uint64
	ok       bool
	write    *store.Write
}

type record struct {
	stamp, lease uint64
}

type block struct {
	stamp, seat uint64
	node        int8
}

type process struct {
	w     *World
	i     int8
	life  int
	born  units.Microseconds
	rate  float64
	s     *membership.Registry
	block block // as it knows it
	seen  [count]record
	out   []any
	write *store.Write
}

// World is the state of everything.
type World struct {
	o      Options
	ttl    units.Microseconds
	now    units.Microseconds
	rev    uint64
	seats  [count]record
	leases map[uint64]units.Microseconds // when each was last renewed
	block  block
	nodes  [count]*process
	mail   []mail
	ended  int
	twice  int

	promising bool // a promise is being asked for
}

func name(i int8) string { return string(rune('a' + i)) }

// values are the records of seats as they are stored.
var values = func() (out [count]json.RawMessage) {
	for i := range out {
		out[i] = store.Value(authority.Member{Node: name(int8(i))})
	}
	return out
}()

func index(name string) int8 { return int8(name[0] - 'a') }

// New returns a world in which all controllers have seats, and the first holds the block.
func New(o Options) *World {
	w := &World{o: o, now: started, leases: map[uint64]units.Microseconds{}}
	w.ttl, _, _ = o.times()
	for i := range int8(count) {
		w.start(i, 0)
		p := w.nodes[i]
		p.s.Tick(p.local())
		p.out = nil // the lease that it asks for is answered here
		w.rev++
		lease := w.rev
		w.leases[lease] = w.now
		p.s.OnLease(p.local(), store.OK, lease)
		w.rev++
		w.seats[i] = record{w.rev, lease}
		p.write.Done(store.OK, w.rev)
		p.write = nil
	}
	w.rev++
	w.block = block{w.rev, w.seats[0].stamp, 0}
	for _, p := range w.nodes {
		for j := range int8(count) {
			p.learn(j)
		}
		p.block = w.block
	}
	return w
}

func (w *World) start(i int8, born units.Microseconds) {
	life := 0
	if p := w.nodes[i]; p != nil {
		life = p.life + 1
	}
	p := &process{w: w, i: i, life: life, born: born, rate: drift[i]}
	size := count
	if w.o.Fault == Minority {
		size = 1
	}
	lease, extend, carries := w.o.times()
	if w.o.Fault == LongLease {
		lease *= 2
	}
	if w.o.Fault == Hasty && i == 0 {
		carries *= 5
	}
	if w.o.Fault == Few && i == 0 {
		carries = extend
	}
	if w.o.Fault == FastClock && i > 0 {
		p.rate = 2
	}
	if w.o.Fault == Forgetful {
		p.born -= 10 * second
	}
	p.s = membership.New(membership.Config{Node: name(i), Size: size, TTL: lease, UnvotedExpiry: extend, MajorityExtension: carries, Log: slog.New(slog.DiscardHandler)}, p)
	w.nodes[i] = p
}

func (p *process) local() units.Microseconds {
	return units.Microseconds(float64(p.w.now-p.born) * p.rate)
}

// Emit implements seats.Host.
func (p *process) Emit(e any) { p.out = append(p.out, e) }

// Store implements seats.Host.
func (p *process) Store(w *store.Write) { p.write = w }

// Version implements seats.Host.
func (p *process) Version(string) uint64 { return p.seen[p.i].stamp }

// CacheAge implements seats.Host.
func (p *process) CacheAge() (since, age units.Microseconds, ok bool) {
	if p.w.o.Unserved && p.w.promising {
		return 0, units.MaxTime, true
	}
	return 0, 0, true
}

// Refresh implements seats.Host.
func (p *process) Refresh() {}

// Joined implements seats.Host.
func (p *process) Joined() {}

// Lost implements seats.Host.
func (p *process) Lost() {}

// PeerRelease implements seats.Host.
func (p *process) PeerRelease(string, int) {}

// RequestVotes implements seats.Host.
func (p *process) RequestVotes(node string, seat uint64) {
	for j := range int8(count) {
		if j != p.i {
			p.w.post(mail{kind: askPermit, from: p.i, to: j, life: p.life, node: index(node), seat: seat})
		}
	}
}

// post sends a message, unless too many are under way: then it is lost. Two are for those
// that are answered at once.
func (w *World) post(m mail) {
	if len(w.mail) < w.o.Mail+2 {
		w.mail = append(w.mail, m)
	}
}

// tick lets a controller's timer run.
func (p *process) tick() {
	p.s.Tick(p.local())
	p.flush()
}

// flush posts what a controller asks of the state service.
func (p *process) flush() {
	for _, e := range p.out {
		switch e := e.(type) {
		case membership.RenewLease:
			p.w.post(mail{kind: renewal, from: p.i, life: p.life, stamp: e.ID})
		case membership.OpenLease:
			p.w.post(mail{kind: opening, from: p.i, life: p.life})
		case membership.CloseLease:
			p.w.drop(e.ID)
		}
	}
	p.out = nil
	if p.write != nil {
		p.w.post(mail{kind: seating, from: p.i, life: p.life, write: p.write})
		p.write = nil
	}
}

// drop ends a lease in the state service, and with it the seat.
func (w *World) drop(lease uint64) {
	delete(w.leases, lease)
	for i := range w.seats {
		if w.seats[i].lease == lease {
			w.seats[i] = record{}
		}
	}
}

func (p *process) learn(j int8) {
	p.seen[j] = p.w.seats[j]
	e := store.Event{Key: membership.Prefix + name(j), Stamp: p.seen[j].stamp}
	if e.Stamp > 0 {
		e.Value = values[j]
	}
	_ = p.s.ApplyRecord(p.local(), name(j), e) // a value that was made here can be read
	p.flush()
}

// holds reports whether a controller thinks that it may act for the block.
func (p *process) holds() bool {
	return p.block.node == p.i && p.block.seat == p.s.ID() && p.s.ID() != 0 && p.s.Valid(p.local())
}

// Violation implements explore.World.
func (w *World) Violation() string {
	var who []string
	for _, p := range w.nodes {
		if p.holds() {
			who = append(who, name(p.i))
		}
	}
	if len(who) > 1 {
		return fmt.Sprintf("%s hold the block at once", strings.Join(who, " and "))
	}
	return ""
}

// Actions implements explore.World.
func (w *World) Actions() []Move {
	first, room := w.nodes[0], len(w.mail) < w.o.Mail
	out := []Move{{Kind: passes}, {ticks, 0, 1}}
	if room {
		out = append(out, Move{ticks, 0, 0})
	}
	for i := range int8(count) {
		p := w.nodes[i]
		if i > 0 && first.s.ID() != 0 {
			out = append(out, Move{asks, 1, i})
			if room {
				out = append(out, Move{asks, 0, i})
			}
		}
		// The first may take over from its own last seat.
		if p.s.ID() != 0 && p.block.node == 0 && (i > 0 || p.block.seat != p.s.ID()) && p.seen[0].stamp != p.block.seat {
			out = append(out, Move{governs, i, 2})
			if room {
				out = append(out, Move{governs, i, 0}, Move{governs, i, 1})
			}
		}
		if p.seen[0] != w.seats[0] || p.block != w.block {
			out = append(out, Move{learns, i, 0})
		}
		if w.ended < w.o.Crashes {
			out = append(out, Move{crashes, i, 0})
		}
	}
	if r := w.seats[0]; r.stamp != 0 && w.now-w.leases[r.lease] >= w.ttl {
		out = append(out, Move{Kind: expires})
	}
	for k, m := range w.mail {
		out = append(out, Move{carried, int8(k), 0})
		if m.kind == renewed || m.kind == promise { // of others, one that never comes is as one that is late
			out = append(out, Move{lost, int8(k), 0})
		}
		if w.twice < w.o.Twice {
			out = append(out, Move{doubled, int8(k), 0})
		}
	}
	return out
}

// Apply implements explore.World.
func (w *World) Apply(m Move) {
	switch m.Kind {
	case passes:
		w.now += second
	case ticks:
		w.nodes[0].tick()
		if m.B == 1 {
			w.settle(renewal, opening, seating, renewed, opened, seated)
		} else {
			w.settle(renewal, opening, seating)
		}
	case asks:
		p := w.nodes[0]
		w.post(mail{kind: askPromise, from: 0, to: m.B, life: p.life, seat: p.s.ID(), sent: p.local()})
		w.settle(askPromise)
		if m.A == 1 {
			w.settle(promise)
		}
	case governs:
		w.nodes[m.A].govern()
		if m.B > 0 {
			w.settle(askPermit, permit)
			w.nodes[m.A].govern()
		}
		if m.B == 2 {
			w.settle(granting)
			w.nodes[m.A].learn(0) // whatever became of it
			w.nodes[m.A].block = w.block
		}
	case learns:
		w.nodes[m.A].learn(0)
		w.nodes[m.A].block = w.block
	case expires:
		w.drop(w.seats[0].lease)
	case crashes:
		w.ended++
		w.start(m.A, w.now)
		w.nodes[m.A].begin()
	case carried, doubled:
		t := w.mail[m.A]
		if m.Kind == carried {
			w.mail = slices.Delete(w.mail, int(m.A), int(m.A)+1)
		} else {
			w.twice++
		}
		w.carry(t)
	case lost:
		w.mail = slices.Delete(w.mail, int(m.A), int(m.A)+1)
	}
	w.serve()
}

// settle delivers the last message as long as it is of one of some kinds.
func (w *World) settle(kinds ...letter) {
	for n := len(w.mail); n > 0 && slices.Contains(kinds, w.mail[n-1].kind); n = len(w.mail) {
		m := w.mail[n-1]
		w.mail = w.mail[:n-1]
		w.carry(m)
	}
}

// serve keeps the seats of all but the first, and has everybody read them.
func (w *World) serve() {
	for i := int8(1); i < count; i++ {
		p := w.nodes[i]
		for range 3 { // the renewal, or a lease and a seat
			n := len(w.mail)
			p.s.Tick(p.local())
			p.flush()
			if len(w.mail) == n {
				break
			}
			w.settle(renewal, opening, seating, renewed, opened, seated)
		}
		for _, q := range w.nodes {
			if q.seen[i] != w.seats[i] {
				q.learn(i)
			}
		}
	}
	if w.o.Fault == Torn {
		for _, p := range w.nodes[1:] {
			p.block = w.block
		}
	}
}

// begin has a process that has just begun read what is there.
func (p *process) begin() {
	for j := range int8(count) {
		p.learn(j)
	}
	p.block = p.w.block
	if p.i > 0 { // its seat was another process's, and goes at once
		p.w.drop(p.w.seats[p.i].lease)
	}
}

// govern gives the block to this controller where that is safe.
func (p *process) govern() {
	b := p.block
	if b.seat == p.s.ID() || !p.s.Expired(p.local(), name(b.node), b.seat) {
		return
	}
	p.w.post(mail{kind: granting, from: p.i, life: p.life, seat: p.s.ID(), stamp: b.stamp})
}

// carry delivers a message.
func (w *World) carry(m mail) {
	var back *process // who gets an answer, if it is still the same process
	if p := w.nodes[m.from]; p.life == m.life {
		back = p
	}
	switch m.kind {
	case renewal:
		_, ok := w.leases[m.stamp]
		if ok {
			w.leases[m.stamp] = w.now
		}
		w.post(mail{kind: renewed, from: m.from, life: m.life, stamp: m.stamp, ok: ok})
	case opening:
		w.rev++
		w.leases[w.rev] = w.now
		w.post(mail{kind: opened, from: m.from, life: m.life, stamp: w.rev})
	case seating:
		g, ch := m.write.Guards[0], m.write.Changes[0]
		_, lives := w.leases[ch.Lease]
		ok := lives && w.seats[m.from].stamp == g.Version
		if ok {
			w.rev++
			w.seats[m.from] = record{w.rev, ch.Lease}
		}
		w.post(mail{kind: seated, from: m.from, life: m.life, stamp: w.rev, ok: ok, write: m.write})
	case granting:
		if (w.o.Fault == Unguarded || w.block.stamp == m.stamp) && w.seats[m.from].stamp == m.seat {
			w.rev++
			w.block = block{w.rev, m.seat, m.from}
		}
	case renewed:
		if back != nil {
			o := store.OK
			if !m.ok {
				o = store.Failed
			}
			back.s.OnRenew(back.local(), m.stamp, o)
			back.flush()
		}
	case opened:
		if back != nil {
			back.s.OnLease(back.local(), store.OK, m.stamp)
			back.flush()
		}
	case seated:
		if back != nil {
			o := store.OK
			if !m.ok {
				o = store.Failed
			}
			back.seen[back.i] = w.seats[back.i]
			m.write.Done(o, m.stamp)
			back.flush()
		}
	case askPromise:
		to := w.nodes[m.to]
		w.promising = true
		promised := to.s.GrantPeerLease(to.local(), name(m.from), m.seat)
		w.promising = false
		if promised || w.o.Fault == TwoFaced {
			w.post(mail{kind: promise, from: m.from, to: m.to, life: m.life, seat: m.seat, sent: m.sent})
		}
	case promise:
		if back != nil {
			sent := m.sent
			if w.o.Fault == FromAnswer {
				sent = back.local()
			}
			back.s.PeerLeaseGranted(back.local(), name(m.to), m.seat, sent)
		}
	case askPermit:
		to := w.nodes[m.to]
		if to.s.VoteRequested(to.local(), name(m.node), m.seat) {
			w.post(mail{kind: permit, from: m.from, to: m.to, life: m.life, node: m.node, seat: m.seat})
		}
		to.flush()
	case permit:
		if back != nil {
			back.s.VoteReceived(name(m.to), name(m.node), m.seat)
		}
	}
}

// State implements explore.World.
func (w *World) State() string {
	var b []byte
	add := func(list ...uint64) {
		for _, n := range list {
			b = strconv.AppendUint(append(b, ' '), n, 10)
		}
	}
	for _, p := range w.nodes {
		add(p.block.stamp, uint64(p.life))
		for _, r := range p.seen {
			add(r.stamp)
		}
		b = append(b, p.s.Describe(p.local())...)
	}
	for _, r := range w.seats {
		add(r.stamp, r.lease)
		if r.stamp != 0 {
			add(uint64(min(w.now-w.leases[r.lease], w.ttl)))
		}
	}
	add(w.block.stamp, w.block.seat, uint64(w.ended), uint64(w.twice))
	list := slices.Clone(w.mail)
	for i, m := range list {
		if p := w.nodes[m.from]; m.sent > 0 && p.life == m.life {
			list[i].sent = min(p.local()-m.sent, 3*second) // older promises bind nobody
		}
	}
	// In the order of their contents, as they come in any.
	slices.SortFunc(list, func(x, y mail) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.from, y.from), cmp.Compare(x.to, y.to), cmp.Compare(x.life, y.life), cmp.Compare(x.seat, y.seat),
			cmp.Compare(x.sent, y.sent), cmp.Compare(x.stamp, y.stamp), cmp.Compare(x.node, y.node))
	})
	for _, m := range list {
		add(uint64(m.kind), uint64(m.from), uint64(m.to), uint64(m.life), m.seat, uint64(m.sent), uint64(m.node), m.stamp)
		b = strconv.AppendBool(b, m.ok)
	}
	return string(b)
}

// Tell plays a history and says what happened, a line a move.
func Tell(o Options, history []Move) []string {
	w := New(o)
	var out []string
	for _, m := range history {
		text := w.say(m)
		w.Apply(m)
		var who []string
		for _, p := range w.nodes {
			if p.holds() {
				who = append(who, name(p.i))
			}
		}
		out = append(out, fmt.Sprintf("%4.0f s  %-60s holds: %s", (w.now-started).Seconds(), text, strings.Join(who, ", ")))
	}
	return out
}

// late says of a request whether its answer is still to come.
var late = [...]string{": no answer yet", ""}

func (w *World) say(m Move) string {
	switch m.Kind {
	case passes:
		return "a second passes"
	case ticks:
		return "a renews its lease, or takes a new seat" + late[m.B]
	case asks:
		return fmt.Sprintf("a asks %s for a promise", name(m.B)) + late[m.A]
	case governs:
		return name(m.A) + " tries to take the block over" + [...]string{"", ": all permit at once", ": all permit at once, and it is stored"}[m.B]
	case learns:
		return name(m.A) + " reads a's seat, and who holds the block"
	case expires:
		return "the lease of a's seat ends"
	case crashes:
		return name(m.A) + " ends and begins anew"
	}
	t := w.mail[m.A]
	what := [...]string{"renewal of " + name(t.from), name(t.from) + " opens a lease", name(t.from) + " takes a seat", name(t.from) + "'s grant",
		"answer to " + name(t.from) + "'s renewal", "lease for " + name(t.from), "seat for " + name(t.from),
		fmt.Sprintf("request for a promise of %s to %s", name(t.to), name(t.from)), fmt.Sprintf("promise of %s to %s", name(t.to), name(t.from)),
		fmt.Sprintf("request for a permit of %s to %s", name(t.to), name(t.from)), fmt.Sprintf("permit of %s to %s", name(t.to), name(t.from))}[t.kind]
	return what + map[kind]string{carried: " comes", lost: " is lost", doubled: " comes, and will come again"}[m.Kind]
}

var _ explore.World[Move] = (*World)(nil)
