// Package kv is the model of the state service: a small consistent store with
// leases, watches and limits, as the protocol describes it. It is pure: time and
// draws go in by method calls, answers come back or out of Drain. Keys, values
// and statuses are the protocol's; what carries them is not its matter.
package kv

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"github.com/google/btree"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Bounds of the protocol.
const (
	MaxKeyBytes  = 200       // bytes of a key
	MaxPageItems = 1000      // items of a listing
	MaxPageBytes = 512 << 10 // bytes of a listing
	MaxTxnBytes  = 64 << 10  // bytes of a transaction
	MaxHistory   = 10_000    // changes that watches may look back on
	maxWait      = 60 * units.Second
	minTTL       = units.Second / 10
	maxTTL       = 600 * units.Second
	maxLate      = units.Second / 10 // by which a lease may end late
)

// Limits of the service. Rates are a second and allow bursts of one second's worth.
type Limits struct {
	Rate       float64 // requests
	WriteRate  float64 // puts and deletes
	ValueBytes int     // of one value
	TxnOps     int     // puts and deletes of a transaction; four times as many conditions
}

// Item is a key with its value; Stamp is the revision of its last change.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Event is a change at a revision; without a value the key was removed.
type Event struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

// Guard is a condition on a key's version; 0: the key does not exist.
type Guard struct {
	Key     string
	Version uint64
}

// Change puts a value, or removes the key where there is none.
type Change struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Txn is a transaction.
type Txn struct {
	Guards  []Guard
	Changes []Change
}

// Result answers a transaction. Code is the status of the protocol; a 400 says in
// NoLease whether a lease that has ended is the reason.
type Result struct {
	Code    int
	Rev     uint64
	Failed  []string
	NoLease bool
}

// Listing answers a listing.
type Listing struct {
	Code  int
	Items []Item
	More  bool
	Rev   uint64
}

// WatchResponse answers a watch; ID is the one that the watch was opened with.
type WatchResponse struct {
	ID     uint64
	Code   int
	Rev    uint64
	Events []Event
}

// Lease is what is kept of a lease, for who stores the service's data.
type Lease struct {
	ID  uint64
	TTL units.Microseconds
}

type lease struct {
	Lease
	ends units.Microseconds // when it ends unless it is renewed, lateness included
	keys map[string]bool
}

type watch struct {
	id     uint64
	from   string
	prefix string
	after  uint64
	until  units.Microseconds
}

// Service is the state service.
type Service struct {
	limits    Limits
	rng       *rand.Rand
	rev       uint64
	keys      *btree.BTreeG[Item]
	log       []Event // the last changes, oldest first
	oldest    uint64  // changes after this revision are in the log
	leases    map[uint64]*lease
	nextLease uint64
	ending    eventqueue.Queue[uint64] // leases, by when they may end
	watches   []*watch
	timeouts  eventqueue.Queue[uint64] // watches, by when their time runs out
	requests  bucket
	changes   bucket
	outage    units.Microseconds            // until when nobody is served
	refused   map[string]units.Microseconds // until when one client is not
	out       []WatchResponse
	undo      []undo // of the last transactions, for Lose

	// What has changed since Touched was last called, where somebody stores it.
	touchedKeys   map[string]bool
	touchedLeases map[uint64]bool
}

// undo holds what a transaction replaced.
type undo struct {
	rev uint64
	was []Item // Stamp 0: the key did not exist
}

// bucket counts what was used of a rate with a burst of one second's worth.
type bucket struct {
	used float64
	at   units.Microseconds
}

// take uses n of a rate unless that is more than there is.
func (b *bucket) take(now units.Microseconds, rate, n float64) bool {
	b.used = max(0, b.used-(now-b.at).Seconds()*rate)
	b.at = now
	if b.used+n > rate {
		return false
	}
	b.used += n
	return true
}

// New returns an empty service.
func New(l Limits, rng *rand.Rand) *Service {
	return &Service{limits: l, rng: rng, leases: map[uint64]*lease{}, refused: map[string]units.Microseconds{},
		keys: btree.NewG(32, func(a, b Item) bool { return a.Key < b.Key })}
}

// Restore fills an empty service with stored data. Each lease has its full time
// again, as after an outage.
func (s *Service) Restore(now units.Microseconds, rev, lastLease uint64, items []Item, leases []Lease) {
	s.rev, s.oldest, s.nextLease = rev, rev, lastLease
	for _, l := range leases {
		s.addLease(now, l)
	}
	for _, it := range items {
		s.keys.ReplaceOrInsert(it)
		if l := s.leases[it.Lease]; l != nil {
			l.keys[it.Key] = true
		}
	}
}

// TrackChanges keeps from now on what Touched tells.
func (s *Service) TrackChanges() {
	s.touchedKeys, s.touchedLeases = map[string]bool{}, map[uint64]bool{}
}

func (s *Service) touch(key string) {
	if s.touchedKeys != nil {
		s.touchedKeys[key] = true
	}
}

func (s *Service) touchLease(id uint64) {
	if s.touchedLeases != nil {
		s.touchedLeases[id] = true
	}
}

// DrainChanged hands over each key and lease that has changed since the last call, as
// it is now; ok is false where it is gone. It reports whether there were any.
func (s *Service) DrainChanged(key func(it Item, ok bool), l func(l Lease, ok bool)) bool {
	any := len(s.touchedKeys)+len(s.touchedLeases) > 0
	for k := range s.touchedKeys {
		it, ok := s.keys.Get(Item{Key: k})
		it.Key = k
		key(it, ok)
	}
	for id := range s.touchedLeases {
		if now := s.leases[id]; now != nil {
			l(now.Lease, true)
		} else {
			l(Lease{ID: id}, false)
		}
	}
	clear(s.touchedKeys)
	clear(s.touchedLeases)
	return any
}

// Rev returns the present revision.
func (s *Service) Rev() uint64 { return s.rev }

// LastLeaseID returns the highest lease ever given.
func (s *Service) LastLeaseID() uint64 { return s.nextLease }

// ForEach hands every key to f, in their order.
func (s *Service) ForEach(f func(Item)) {
	s.keys.Ascend(func(it Item) bool {
		f(it)
		return true
	})
}

// Len returns how many keys there are.
func (s *Service) Len() int { return s.keys.Len() }

// SetLimits changes the limits from now on; what is stored stays readable.
func (s *Service) SetLimits(l Limits) { s.limits = l }

// SetDown puts the service out of order until a time. Watches stay open, and no
// lease ends: after it each has its full time again.
func (s *Service) SetDown(now, until units.Microseconds) {
	s.Advance(now)
	s.outage = max(s.outage, until)
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		l.ends = max(l.ends, s.outage+l.TTL+s.late())
		s.ending.Add(l.ends, l.ID)
	}
}

// RefuseClient serves one client no more until a time. Its leases run out meanwhile.
func (s *Service) RefuseClient(client string, until units.Microseconds) { s.refused[client] = until }

func (s *Service) late() units.Microseconds { return units.Microseconds(s.rng.Int64N(int64(maxLate))) }

// IsClientRefused reports whether one client is not served at a time.
func (s *Service) IsClientRefused(now units.Microseconds, client string) bool {
	return !s.serves(now, client)
}

// admit counts a request and returns 200, or the status that refuses it.
func (s *Service) admit(now units.Microseconds, from string) int {
	s.Advance(now)
	switch {
	case !s.serves(now, from):
		return http.StatusServiceUnavailable
	case !s.requests.take(now, s.limits.Rate, 1):
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *Service) serves(now units.Microseconds, from string) bool {
	return now >= s.outage && now >= s.refused[from]
}

// ValidKey reports whether a key has the form that the service takes.
func ValidKey(k string) bool { return k != "" && len(k) <= MaxKeyBytes && !strings.Contains(k, " ") }

// Get reads one key; the status is 200 or 404, or one that refuses.
func (s *Service) Get(now units.Microseconds, from, key string) (Item, uint64, int) {
	if code := s.admit(now, from); code != http.StatusOK {
		return Item{}, s.rev, code
	}
	it, ok := s.keys.Get(Item{Key: key})
	if !ok {
		return Item{}, s.rev, http.StatusNotFound
	}
	return it, s.rev, http.StatusOK
}

// List reads keys with a prefix in their order, beginning after a key. page 0
// asks for as many as a response may hold.
func (s *Service) List(now units.Microseconds, from, prefix, after string, page int) Listing {
	code := s.admit(now, from)
	if code != http.StatusOK {
		return Listing{Code: code}
	}
	if page < 0 || page > MaxPageItems {
		return Listing{Code: http.StatusBadRequest}
	}
	if page == 0 {
		page = MaxPageItems
	}
	l := Listing{Code: http.StatusOK, Rev: s.rev}
	size := 0
	s.keys.AscendGreaterOrEqual(Item{Key: max(prefix, after)}, func(it Item) bool {
		if !strings.HasPrefix(it.Key, prefix) {
			return false
		}
		if it.Key == after {
			return true
		}
		size += len(it.Key) + len(it.Value) + 48
		if len(l.Items) == page || size > MaxPageBytes && len(l.Items) > 0 {
			l.More = true
			return false
		}
		l.Items = append(l.Items, it)
		return true
	})
	return l
}

// Commit carries a transaction out, or not at all.
func (s *Service) Commit(now units.Microseconds, from string, t Txn) Result {
	if code := s.admit(now, from); code != http.StatusOK {
		return Result{Code: code, Rev: s.rev}
	}
	if !s.fits(t) {
		return Result{Code: http.StatusBadRequest, Rev: s.rev}
	}
	// Transactions whose conditions fail use up the rate as well.
	if !s.changes.take(now, s.limits.WriteRate, float64(len(t.Changes))) {
		return Result{Code: http.StatusTooManyRequests, Rev: s.rev}
	}
	for _, c := range t.Changes {
		if c.Value != nil && c.Lease != 0 && s.leases[c.Lease] == nil {
			return Result{Code: http.StatusBadRequest, NoLease: true, Rev: s.rev}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		if it, _ := s.keys.Get(Item{Key: g.Key}); it.Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return Result{Code: http.StatusConflict, Failed: failed, Rev: s.rev}
	}
	if len(t.Changes) > 0 {
		s.apply(now, t.Changes)
	}
	return Result{Code: http.StatusOK, Rev: s.rev}
}

// fits judges a transaction by form and size.
func (s *Service) fits(t Txn) bool {
	size := 0
	for _, c := range t.Changes {
		size += len(c.Key) + len(c.Value)
		if !ValidKey(c.Key) || len(c.Value) > s.limits.ValueBytes {
			return false
		}
	}
	for _, g := range t.Guards {
		size += len(g.Key)
		if !ValidKey(g.Key) {
			return false
		}
	}
	return len(t.Changes) <= s.limits.TxnOps && len(t.Guards) <= 4*s.limits.TxnOps && size <= MaxTxnBytes
}

// apply makes changes at one new revision. Where all that is to be removed is gone
// already, nothing changes.
func (s *Service) apply(now units.Microseconds, changes []Change) {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Value != nil || s.keys.Has(Item{Key: c.Key}) }) {
		return
	}
	s.rev++
	u := undo{rev: s.rev}
	for _, c := range changes {
		old, had := s.keys.Get(Item{Key: c.Key})
		if !had {
			old = Item{Key: c.Key}
		}
		u.was = append(u.was, old)
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, c.Key)
		}
		switch {
		case c.Value != nil:
			s.keys.ReplaceOrInsert(Item{c.Key, c.Value, s.rev, c.Lease})
			if l := s.leases[c.Lease]; l != nil {
				l.keys[c.Key] = true
			}
		case had:
			s.keys.Delete(old)
		default:
			continue // there was nothing to remove
		}
		s.log = append(s.log, Event{c.Key, c.Value, s.rev})
		s.touch(c.Key)
	}
	if over := len(s.log) - MaxHistory; over >= MaxHistory/4 {
		s.oldest = max(s.oldest, s.log[over-1].Version)
		s.log = slices.Clone(s.log[over:])
	}
	s.undo = append(s.undo, u)
	if len(s.undo) > 256 {
		s.undo = slices.Clone(s.undo[128:])
	}
	s.wake(now)
}

// first returns where in the log the changes after a revision begin.
func (s *Service) first(after uint64) int {
	i, _ := slices.BinarySearchFunc(s.log, after+1, func(e Event, rev uint64) int {
		if e.Version < rev {
			return -1
		}
		return 1
	})
	return i
}

// since returns the changes with a prefix after a revision, and whether the log
// still has them all: it keeps the last 10,000 changes.
func (s *Service) since(prefix string, after uint64) ([]Event, bool) {
	i := s.first(after)
	if after < s.oldest || len(s.log)-i > MaxHistory {
		return nil, false
	}
	var out []Event
	for _, e := range s.log[i:] {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, true
}

// Watch asks for the changes with a prefix after a revision. Its one answer comes
// out of Drain, at the latest when the wait is over and the service works.
func (s *Service) Watch(now units.Microseconds, id uint64, from, prefix string, after uint64, wait units.Microseconds) {
	if code := s.admit(now, from); code != http.StatusOK {
		s.out = append(s.out, WatchResponse{ID: id, Code: code})
		return
	}
	if wait < 0 || wait > maxWait {
		s.out = append(s.out, WatchResponse{ID: id, Code: http.StatusBadRequest})
		return
	}
	w := &watch{id, from, prefix, after, now + wait}
	if !s.answer(now, w) {
		s.watches = append(s.watches, w)
		s.timeouts.Add(w.until, id)
	}
}

// CloseWatch forgets a watch whose client is gone.
func (s *Service) CloseWatch(id uint64) {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool { return w.id == id })
}

// answer answers a watch if it is time. During an outage, and for a client that
// is refused, open watches wait.
func (s *Service) answer(now units.Microseconds, w *watch) bool {
	if !s.serves(now, w.from) {
		return false
	}
	events, all := s.since(w.prefix, w.after)
	switch {
	case !all:
		s.out = append(s.out, WatchResponse{ID: w.id, Code: http.StatusGone})
	case len(events) > 0 || now >= w.until:
		s.out = append(s.out, WatchResponse{ID: w.id, Code: http.StatusOK, Rev: s.rev, Events: events})
	default:
		return false
	}
	return true
}

func (s *Service) wake(now units.Microseconds) {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool { return s.answer(now, w) })
}

// OpenLease makes a lease; 400 if the time is out of bounds.
func (s *Service) OpenLease(now units.Microseconds, from string, ttl units.Microseconds) (uint64, int) {
	if code := s.admit(now, from); code != http.StatusOK {
		return 0, code
	}
	if ttl < minTTL || ttl > maxTTL {
		return 0, http.StatusBadRequest
	}
	s.nextLease++
	s.addLease(now, Lease{s.nextLease, ttl})
	return s.nextLease, http.StatusOK
}

func (s *Service) addLease(now units.Microseconds, l Lease) {
	n := &lease{Lease: l, ends: now + l.TTL + s.late(), keys: map[string]bool{}}
	s.leases[l.ID] = n
	s.touchLease(l.ID)
	s.ending.Add(n.ends, l.ID)
}

// RenewLease gives a lease its full time again; 404 if it has ended.
func (s *Service) RenewLease(now units.Microseconds, from string, id uint64) int {
	if code := s.admit(now, from); code != http.StatusOK {
		return code
	}
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound
	}
	l.ends = now + l.TTL + s.late()
	s.ending.Add(l.ends, id)
	return http.StatusOK
}

// CloseLease ends a lease at once; 404 if it has ended.
func (s *Service) CloseLease(now units.Microseconds, from string, id uint64) int {
	if code := s.admit(now, from); code != http.StatusOK {
		return code
	}
	if s.leases[id] == nil {
		return http.StatusNotFound
	}
	s.end(now, id)
	return http.StatusOK
}

func (s *Service) end(now units.Microseconds, id uint64) {
	l := s.leases[id]
	delete(s.leases, id)
	s.touchLease(id)
	if len(l.keys) == 0 {
		return
	}
	var gone []Change
	for k := range l.keys {
		gone = append(gone, Change{Key: k})
	}
	slices.SortFunc(gone, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	s.apply(now, gone)
}

// Next returns when Advance is next of use.
func (s *Service) Next() units.Microseconds { return min(s.ending.Next(), s.timeouts.Next()) }

// Advance lets time pass: leases end, and watches whose time is over are answered.
func (s *Service) Advance(now units.Microseconds) {
	for {
		at, id, ok := s.ending.Due(now)
		if !ok {
			break
		}
		l := s.leases[id]
		switch {
		case l == nil || l.ends > at: // ended, or renewed since
		case now < s.outage:
			s.ending.Add(s.outage, id)
		default:
			s.end(now, id)
		}
	}
	woken := false
	for {
		_, id, ok := s.timeouts.Due(now)
		if !ok {
			break
		}
		i := slices.IndexFunc(s.watches, func(w *watch) bool { return w.id == id })
		if i < 0 {
			continue
		}
		if w := s.watches[i]; !s.serves(now, w.from) {
			s.timeouts.Add(max(s.outage, s.refused[w.from]), id)
			continue
		}
		woken = true
	}
	if woken {
		s.wake(now)
	}
}

// Drain returns the answers of watches since the last call.
func (s *Service) Drain() []WatchResponse {
	out := s.out
	s.out = nil
	return out
}

// RollBack undoes the last n transactions that changed a key with a prefix, as a
// service would that was put back to an older copy of its data: beyond what the
// protocol allows. The revision goes back with them, and later transactions that
// the copy does not have are lost too. It returns how many were undone.
func (s *Service) RollBack(now units.Microseconds, prefix string, n int) int {
	s.Advance(now)
	cut, found := len(s.undo), 0
	for i := len(s.undo) - 1; i >= 0 && found < n; i-- {
		if slices.ContainsFunc(s.undo[i].was, func(it Item) bool { return strings.HasPrefix(it.Key, prefix) }) {
			found++
			cut = i
		}
	}
	if found == 0 {
		return 0
	}
	lost := s.undo[cut:]
	for i := len(lost) - 1; i >= 0; i-- {
		for j := len(lost[i].was) - 1; j >= 0; j-- {
			s.putBack(lost[i].was[j])
		}
	}
	s.rev = lost[0].rev - 1
	s.log = s.log[:s.first(s.rev)]
	s.undo = s.undo[:cut]
	return len(lost)
}

func (s *Service) putBack(it Item) {
	s.touch(it.Key)
	if now, had := s.keys.Get(it); had {
		if l := s.leases[now.Lease]; l != nil {
			delete(l.keys, it.Key)
		}
	}
	if it.Version == 0 {
		s.keys.Delete(it)
		return
	}
	if l := s.leases[it.Lease]; l != nil {
		l.keys[it.Key] = true
	} else if it.Lease != 0 { // its lease has ended since: gone all the same
		s.keys.Delete(it)
		return
	}
	s.keys.ReplaceOrInsert(it)
}
