// Package membership keeps a controller's standing in the state service, and what it knows of
// the others'. A seat is a record that is attached to a lease: blocks and the lead are
// held by a seat and end with it. What a seat held is given away once its record is gone
// and a majority of the controllers has permitted it; see package lead for promises and
// permits, and docs/design.md for why that is safe.
//
// It is pure: answers and the time go in by method calls, what is to be done comes out by
// its host.
package membership

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Prefix is where seats are stored, by the controllers' names.
const Prefix = keys.MemberPrefix

// Effects.
type (
	// OpenLease asks for a lease (OnLease).
	OpenLease struct{ TTL units.Microseconds }
	// RenewLease extends a lease (OnRenew).
	RenewLease struct{ ID uint64 }
	// CloseLease ends a lease; no answer is needed.
	CloseLease struct{ ID uint64 }
)

// Host is whose seat it is.
type Host interface {
	// Emit sends an effect.
	Emit(e any)
	// Store queues a write ahead of what users ask for.
	Store(w *store.Write)
	// Version is the version of a key in the copy of the state service's keys.
	Version(key string) uint64
	// CacheAge tells since when there is a copy (ok: there is one now), and how long ago the
	// state service last answered.
	CacheAge() (since, age units.Microseconds, ok bool)
	// Refresh asks for a fresh read.
	Refresh()
	// RequestVotes asks all other controllers to permit that what a seat held is given away.
	RequestVotes(node string, seat uint64)
	// Joined says that the seat stands, Lost that it does no longer.
	Joined()
	Lost()
	// PeerRelease tells which release a controller runs.
	PeerRelease(node string, release int)
}

// Config says what a seat is like.
type Config struct {
	Node    string
	Size    int // controllers, this one included
	Release int
	TTL     units.Microseconds
	// Short is how long the promises of a majority may carry a seat past its last renewal.
	// Extend is the time after which a seat that is older or newer than what is known here is
	// taken for over without the others' permits: at least as long as Short.
	Extend, Short units.Microseconds
	Log           *slog.Logger
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard
}

// Registry is a controller's own seat and its view of the others.
type Registry struct {
	cfg  Config
	host Host
	now  units.Microseconds

	id       uint64 // version of the record; 0: none
	pass     uint64 // lease in the state service
	auth     authority.Authority
	opening  bool
	sent     units.Microseconds // when the lease was asked for
	after    units.Microseconds // not tried before
	renewing bool
	renewAt  units.Microseconds
	lastHold units.Microseconds // when the renewal under way was sent

	views  map[string]*view
	voters map[string]*authority.Voter // what is owed with regard to each controller
	polls  map[string]*takeoverPoll
}

// view is what this node knows of a controller's seat.
type view struct {
	id     uint64             // 0: none
	since  units.Microseconds // when that was learnt
	goneAt units.Microseconds // when the record was seen to be gone
	last   uint64             // the record that was there before, as this process has seen it; 0: none
}

// takeoverPoll collects permits to give away what a seat holds.
type takeoverPoll struct {
	seat    uint64
	askedAt units.Microseconds
	permits map[string]bool
}

const (
	authorityMargin = 100_000 // 0.1 s for the service's own slack and ours
	// permitFresh is how long a round of asking for permits lasts.
	permitFresh = units.Second / 4
	// unserved is how long the state service must not have answered this node.
	unserved = units.Second
	// pause is the time before the next try to take a seat, pauseLease that after a lease
	// was refused.
	pause      = units.Second / 5
	pauseLease = units.Second / 2
)

// New returns a controller's standing before it has any.
func New(cfg Config, host Host) *Registry {
	return &Registry{cfg: cfg, host: host, views: map[string]*view{}, voters: map[string]*authority.Voter{}, polls: map[string]*takeoverPoll{}}
}

// ID is the version of this node's record, 0 while it has no seat; Pass is the lease to
// which that is attached.
func (s *Registry) ID() uint64      { return s.id }
func (s *Registry) LeaseID() uint64 { return s.pass }

// Valid reports whether this node's seat surely stands.
func (s *Registry) Valid(now units.Microseconds) bool { return now < s.Until() }

// Until is when the authority of this node's seat ends, as known at present.
func (s *Registry) Until() units.Microseconds {
	if s.id == 0 {
		return 0
	}
	if s.cfg.SkippedGuard == guard.Authority {
		return units.Never
	}
	return s.auth.Until()
}

// Tick takes a seat, and keeps it.
func (s *Registry) Tick(now units.Microseconds) {
	s.now = now
	if s.id != 0 {
		if !s.renewing && now >= s.renewAt {
			s.renewing, s.lastHold = true, now
			s.host.Emit(RenewLease{s.pass})
		}
		return
	}
	_, age, ok := s.host.CacheAge()
	if !ok || s.opening || now < s.after {
		return
	}
	if age > units.Second {
		s.host.Refresh()
		return
	}
	s.opening, s.sent = true, now
	s.host.Emit(OpenLease{s.cfg.TTL})
}

// OnLease takes a new lease's outcome and takes a seat with it. A record of
// this node's that is there already was left by its last process, which has
// surely ended.
func (s *Registry) OnLease(now units.Microseconds, o store.Outcome, id uint64) {
	s.now = now
	if o != store.OK {
		s.opening, s.after = false, now+pauseLease
		return
	}
	key := Prefix + s.cfg.Node
	sent := s.sent
	s.host.Store(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: s.host.Version(key)}},
		Changes: []store.Change{{Key: key, Value: store.Value(authority.Member{Node: s.cfg.Node, Release: s.cfg.Release}), Lease: id}},
		Done: func(o store.Outcome, rev uint64) {
			s.opening = false
			if o != store.OK {
				// Ending the lease also keeps a late write from being carried out.
				s.after = s.now + pause
				s.host.Emit(CloseLease{id})
				s.host.Refresh()
				return
			}
			s.id, s.pass, s.renewing, s.renewAt = rev, id, false, sent+s.cfg.TTL/5
			s.auth = authority.Authority{TTL: s.cfg.TTL, Margin: authorityMargin, Short: s.cfg.Short, Peers: s.cfg.Size / 2, All: s.cfg.Size - 1}
			s.auth.Renewed(sent)
			s.cfg.Log.Info("seated", "seat", rev)
			s.host.Joined()
		},
	})
}

// OnRenew takes a renewal's outcome.
func (s *Registry) OnRenew(now units.Microseconds, id uint64, o store.Outcome) {
	s.now = now
	if s.id == 0 || s.pass != id {
		return
	}
	s.renewing = false
	switch o {
	case store.OK:
		if s.cfg.SkippedGuard == guard.RenewalSent {
			s.lastHold = now
		}
		s.auth.Renewed(s.lastHold)
		s.renewAt = s.lastHold + s.cfg.TTL/5
	case store.Failed:
		s.lose("the lease has ended")
	default:
		s.renewAt = now + s.cfg.TTL/10
	}
}

// lose gives up the seat, and with it all that this node holds.
func (s *Registry) lose(why string) {
	s.cfg.Log.Warn("seat lost", "seat", s.id, "why", why)
	s.host.Emit(CloseLease{s.pass})
	s.id, s.after = 0, s.now+pause
	s.host.Lost()
	s.host.Refresh()
}

// Learn takes the record of a controller's seat.
func (s *Registry) Learn(now units.Microseconds, node string, e store.Event) error {
	s.now = now
	v := &view{since: now}
	if e.Value == nil {
		v.goneAt = now
		if old := s.views[node]; old != nil {
			v.last = max(old.id, old.last)
		}
	} else {
		var r authority.Member
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return err
		}
		v.id = e.Stamp
		s.host.PeerRelease(node, r.Release)
	}
	s.views[node] = v
	if node == s.cfg.Node && s.id != 0 && v.id != s.id {
		s.lose("the seat is another's or gone")
	}
	return nil
}

// Current returns the seat that a controller has, as far as this node knows; 0: none.
func (s *Registry) Current(node string) uint64 {
	if v := s.views[node]; v != nil {
		return v.id
	}
	return 0
}

// Since is when it was learnt that a controller has the seat that it has.
func (s *Registry) Since(node string) units.Microseconds {
	if v := s.views[node]; v != nil {
		return v.since
	}
	return 0
}

func (s *Registry) voter(node string) *authority.Voter {
	v := s.voters[node]
	if v == nil {
		v = &authority.Voter{SkippedGuard: s.cfg.SkippedGuard}
		s.voters[node] = v
	}
	return v
}

// GrantPeerLease is asked by a controller for its seat. Where the record is gone and the state
// service serves this node, somebody may soon hold what the seat held. In an outage nobody
// can: the seat, which ended just before, may be carried on. Whoever has permitted to give
// away what it held never promises again, nor does a process that has begun since and has
// forgotten whether it had.
func (s *Registry) GrantPeerLease(now units.Microseconds, node string, seat uint64) bool {
	seen := s.Current(node)
	if s.cfg.SkippedGuard == guard.MemberRecord {
		seen = seat
	}
	if v := s.views[node]; v != nil && v.id == 0 && v.last == seat {
		if _, age, _ := s.host.CacheAge(); age > unserved {
			seen = seat
		}
	}
	return seat != 0 && s.voter(node).GrantPeerLease(now, seat, seen)
}

// PeerLeaseGranted takes a controller's promise for a seat of this node's, which asked for it at
// a time.
func (s *Registry) PeerLeaseGranted(now units.Microseconds, from string, seat uint64, asked units.Microseconds) {
	if s.id != 0 && s.id == seat && asked <= now {
		if s.cfg.SkippedGuard == guard.PeerLeaseSent {
			asked = now
		}
		s.auth.PeerLeaseGranted(from, asked)
	}
}

// Expired reports whether a seat surely holds nothing any more, and seeks the
// help of a majority to make that sure.
func (s *Registry) Expired(now units.Microseconds, node string, id uint64) bool {
	s.now = now
	if node == s.cfg.Node {
		return id != s.id // it was this node's last process, or was given up
	}
	v := s.views[node]
	if v == nil { // not there when the copy was first read
		since, _, _ := s.host.CacheAge()
		v = &view{since: since, goneAt: since}
		s.views[node] = v
	}
	switch {
	case v.id == id && id != 0:
		return false
	case v.id > id:
		return true // the controller has given it up, or its process has ended
	case v.id != 0:
		// The view is older than the block's record, as while a listing goes on whose pages
		// with seats are still to come: the seat may stand. Where versions went back, it is
		// over in time.
		return now-v.since > units.Longest(s.cfg.Extend)+s.cfg.TTL && s.voter(node).Vote(now, id)
	case id == 0: // held by an older release that knows no seats
		return now-v.goneAt > units.Longest(s.cfg.Extend)+s.cfg.TTL
	}
	// A majority may carry it no longer, and all do not: this node has promised it nothing
	// that still runs, and never will again. (As Extend is at least as long as Short, that is
	// also the last that a seat of another controller's is waited for.)
	if now-v.goneAt > units.Longest(s.cfg.Short) && s.voter(node).Vote(now, id) {
		return true
	}
	p := s.polls[node]
	if p == nil || p.seat != id || now-p.askedAt > permitFresh {
		p = &takeoverPoll{seat: id, askedAt: now, permits: map[string]bool{}}
		s.polls[node] = p
		s.host.RequestVotes(node, id)
	}
	if !p.permits[s.cfg.Node] && s.voter(node).Vote(now, id) {
		p.permits[s.cfg.Node] = true
	}
	return len(p.permits) > s.cfg.Size/2 || s.cfg.SkippedGuard == guard.TakeoverMajority
}

// VoteRequested answers a controller that wants to give away what a seat holds. The node is
// one of the controllers.
func (s *Registry) VoteRequested(now units.Microseconds, node string, seat uint64) bool {
	s.now = now
	if node == s.cfg.Node && seat == s.id {
		if s.id == 0 || s.Valid(now) {
			return false
		}
		s.lose("another takes over and authority has run out")
	}
	return s.voter(node).Vote(now, seat)
}

// VoteReceived takes a controller's help.
func (s *Registry) VoteReceived(from, node string, seat uint64) {
	if p := s.polls[node]; p != nil && p.seat == seat {
		p.permits[from] = true
	}
}

// Describe tells all that counts of a controller's standing, in times from now: for logs, and
// for exploring what may follow, as equal traces act the same from then on.
func (s *Registry) Describe(now units.Microseconds) string {
	var b []byte
	number := func(what string, n uint64) { b = strconv.AppendUint(append(b, what...), n, 10) }
	ahead := func(what string, t units.Microseconds) { number(what, uint64(max(0, t-now))) }
	number("seat ", s.id)
	number(" pass ", s.pass)
	ahead(" after ", s.after)
	ahead(" renews ", s.renewAt)
	b = strconv.AppendBool(append(b, " opening "...), s.opening)
	if s.renewing {
		number(" renewing for ", uint64(now-s.lastHold))
	}
	if s.id != 0 {
		b = s.auth.Trace(append(b, "; "...), now)
	}
	for _, n := range slices.Sorted(maps.Keys(s.views)) {
		v := s.views[n]
		number("; "+n+" has ", v.id)
		if v.id == 0 { // what counts is when it will have been gone for long enough
			ahead(" gone ", v.goneAt+units.Longest(s.cfg.Extend)+s.cfg.TTL)
			ahead(" short ", v.goneAt+units.Longest(s.cfg.Short))
			number(" after ", v.last)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(s.voters)) {
		b = s.voters[n].Trace(append(b, "; owes "+n+" "...), now)
	}
	for _, n := range slices.Sorted(maps.Keys(s.polls)) {
		p := s.polls[n]
		number("; polls "+n+" ", p.seat)
		ahead(" for ", p.askedAt+permitFresh+1)
		for _, from := range slices.Sorted(maps.Keys(p.permits)) {
			b = append(append(b, ' '), from...)
		}
	}
	return string(b)
}
