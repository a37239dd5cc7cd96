// Package kv models the state service: a small consistent key-value store with leases, watches and rate
// limits, as the protocol describes it. The model does no I/O and reads no clock: callers pass the current
// time and a random source. Methods return responses directly, except that Drain returns the responses to
// watches. Keys, values and status codes are those of the protocol; the transport is up to the caller.
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

// Limits that the protocol fixes.
const (
	MaxKeyBytes    = 200       // of a key
	MaxPageItems   = 1000      // on one page of a listing
	MaxPageBytes   = 512 << 10 // of one page of a listing
	MaxTxnBytes    = 64 << 10  // of the keys and values of a transaction
	MaxHistory     = 10_000    // number of latest changes that watches can go back to
	maxWait        = 60 * units.Second
	minTTL         = units.Second / 10
	maxTTL         = 600 * units.Second
	maxExpiryDelay = units.Second / 10 // a lease expires up to this long after its TTL
)

// Limits are the configurable limits of the service. Rates are per second and allow bursts of one second's worth.
type Limits struct {
	Rate       float64 // requests per second
	WriteRate  float64 // puts and deletes per second
	ValueBytes int     // size limit of one value
	TxnOps     int     // puts and deletes in a transaction, which may have four times as many guards
}

// Item is a key with its value. Version is the revision of its last change. Lease is the ID of the lease that
// the key is attached to, or 0.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Event is a change of a key at revision Version. A nil Value means that the key was deleted.
type Event struct {
	Key     string
	Value   json.RawMessage
	Version uint64
}

// Guard is a condition on the version of a key. Version 0 requires that the key does not exist.
type Guard struct {
	Key     string
	Version uint64
}

// Change puts a value, or deletes the key if Value is nil.
type Change struct {
	Key   string
	Value json.RawMessage
	Lease uint64
}

// Txn is a transaction: its changes apply only if all guards hold.
type Txn struct {
	Guards  []Guard
	Changes []Change
}

// Result is the response to a transaction. Code is an HTTP status code of the protocol. Failed lists the keys
// whose guards did not hold. With code 400, NoLease reports whether the cause is a lease that does not exist.
type Result struct {
	Code    int
	Rev     uint64
	Failed  []string
	NoLease bool
}

// Listing is one page of a listing. More reports whether further keys follow.
type Listing struct {
	Code  int
	Items []Item
	More  bool
	Rev   uint64
}

// WatchResponse is the response to the watch that was opened with the given ID.
type WatchResponse struct {
	ID     uint64
	Code   int
	Rev    uint64
	Events []Event
}

// Lease is the persistent part of a lease. Its expiry time isn't stored.
type Lease struct {
	ID  uint64
	TTL units.Microseconds
}

type lease struct {
	Lease
	expires units.Microseconds // unless it is renewed first; includes the expiry delay
	keys    map[string]bool
}

type watch struct {
	id       uint64
	client   string
	prefix   string
	after    uint64
	deadline units.Microseconds
}

// Service is the state service.
type Service struct {
	limits            Limits
	rng               *rand.Rand
	rev               uint64
	keys              *btree.BTreeG[Item]
	history           []Event // the latest changes, oldest first
	compactedRevision uint64  // the history is complete after this revision
	leases            map[uint64]*lease
	nextLease         uint64
	leaseExpiries     eventqueue.Queue[uint64] // lease IDs by expiry time
	watches           []*watch
	watchTimeouts     eventqueue.Queue[uint64] // watch IDs by deadline
	requestBucket     tokenBucket
	writeBucket       tokenBucket
	downUntil         units.Microseconds            // no client is served before this time
	refusedUntil      map[string]units.Microseconds // per client: it is not served before this time
	responses         []WatchResponse
	undoLog           []undoRecord // latest transactions, for RollBack

	// Changes since the last call of DrainChanged; nil unless TrackChanges was called.
	changedKeys   map[string]bool
	changedLeases map[uint64]bool
}

// undoRecord holds the items that a transaction replaced.
type undoRecord struct {
	rev    uint64
	before []Item // Version 0: the key did not exist
}

// tokenBucket is a rate limiter whose burst is one second's worth of the rate.
type tokenBucket struct {
	used float64
	at   units.Microseconds
}

// allow takes n tokens, or returns false and takes none if fewer are left.
func (b *tokenBucket) allow(now units.Microseconds, rate, n float64) bool {
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
	return &Service{limits: l, rng: rng, leases: map[uint64]*lease{}, refusedUntil: map[string]units.Microseconds{},
		keys: btree.NewG(32, func(a, b Item) bool { return a.Key < b.Key })}
}

// Restore loads stored data into an empty service. Each lease gets its full TTL again, as after an outage.
func (s *Service) Restore(now units.Microseconds, rev, lastLease uint64, items []Item, leases []Lease) {
	s.rev, s.compactedRevision, s.nextLease = rev, rev, lastLease
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

// TrackChanges starts to record changes for DrainChanged.
func (s *Service) TrackChanges() {
	s.changedKeys, s.changedLeases = map[string]bool{}, map[uint64]bool{}
}

func (s *Service) markKeyChanged(key string) {
	if s.changedKeys != nil {
		s.changedKeys[key] = true
	}
}

func (s *Service) markLeaseChanged(id uint64) {
	if s.changedLeases != nil {
		s.changedLeases[id] = true
	}
}

// DrainChanged passes the current state of each key and lease that has changed since the last call to the
// callbacks, in no particular order; ok is false if the key or lease no longer exists. It reports whether there
// were any changes.
func (s *Service) DrainChanged(key func(it Item, ok bool), l func(l Lease, ok bool)) bool {
	changed := len(s.changedKeys)+len(s.changedLeases) > 0
	for k := range s.changedKeys {
		it, ok := s.keys.Get(Item{Key: k})
		it.Key = k
		key(it, ok)
	}
	for id := range s.changedLeases {
		if now := s.leases[id]; now != nil {
			l(now.Lease, true)
		} else {
			l(Lease{ID: id}, false)
		}
	}
	clear(s.changedKeys)
	clear(s.changedLeases)
	return changed
}

// Rev returns the current revision.
func (s *Service) Rev() uint64 { return s.rev }

// LastLeaseID returns the highest lease ID that was ever assigned.
func (s *Service) LastLeaseID() uint64 { return s.nextLease }

// ForEach calls f for every item, in the order of the keys.
func (s *Service) ForEach(f func(Item)) {
	s.keys.Ascend(func(it Item) bool {
		f(it)
		return true
	})
}

// Len returns the number of keys.
func (s *Service) Len() int { return s.keys.Len() }

// SetLimits changes the limits for later requests. Stored values that exceed the new limits stay readable.
func (s *Service) SetLimits(l Limits) { s.limits = l }

// SetDown makes the service unavailable until the given time. Watches stay open and no lease expires meanwhile:
// after the outage, each lease has its full TTL again.
func (s *Service) SetDown(now, until units.Microseconds) {
	s.Advance(now)
	s.downUntil = max(s.downUntil, until)
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		l.expires = max(l.expires, s.downUntil+l.TTL+s.drawExpiryDelay())
		s.leaseExpiries.Add(l.expires, l.ID)
	}
}

// RefuseClient refuses the requests of one client until the given time. Its leases can expire meanwhile.
func (s *Service) RefuseClient(client string, until units.Microseconds) {
	s.refusedUntil[client] = until
}

func (s *Service) drawExpiryDelay() units.Microseconds {
	return units.Microseconds(s.rng.Int64N(int64(maxExpiryDelay)))
}

// IsClientRefused reports whether the client's requests are refused at the given time, be it because of
// RefuseClient or of an outage.
func (s *Service) IsClientRefused(now units.Microseconds, client string) bool {
	return !s.available(now, client)
}

// admit counts a request against the rate limit. It returns 200, or the status code of the refusal.
func (s *Service) admit(now units.Microseconds, client string) int {
	s.Advance(now)
	switch {
	case !s.available(now, client):
		return http.StatusServiceUnavailable
	case !s.requestBucket.allow(now, s.limits.Rate, 1):
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *Service) available(now units.Microseconds, client string) bool {
	return now >= s.downUntil && now >= s.refusedUntil[client]
}

// ValidKey reports whether a key has a valid form.
func ValidKey(k string) bool { return k != "" && len(k) <= MaxKeyBytes && !strings.Contains(k, " ") }

// Get returns an item and the current revision. The status code is 200, 404, or that of a refusal.
func (s *Service) Get(now units.Microseconds, client, key string) (Item, uint64, int) {
	if code := s.admit(now, client); code != http.StatusOK {
		return Item{}, s.rev, code
	}
	it, ok := s.keys.Get(Item{Key: key})
	if !ok {
		return Item{}, s.rev, http.StatusNotFound
	}
	return it, s.rev, http.StatusOK
}

// List returns the items with a prefix that follow the key after, in the order of their keys. page limits the
// number of items; 0 means MaxPageItems. A page also ends before its second or a later item would take it
// beyond MaxPageBytes.
func (s *Service) List(now units.Microseconds, client, prefix, after string, page int) Listing {
	code := s.admit(now, client)
	if code != http.StatusOK {
		return Listing{Code: code}
	}
	if page < 0 || page > MaxPageItems {
		return Listing{Code: http.StatusBadRequest}
	}
	if page == 0 {
		page = MaxPageItems
	}
	listing := Listing{Code: http.StatusOK, Rev: s.rev}
	size := 0
	s.keys.AscendGreaterOrEqual(Item{Key: max(prefix, after)}, func(it Item) bool {
		if !strings.HasPrefix(it.Key, prefix) {
			return false
		}
		if it.Key == after {
			return true
		}
		size += len(it.Key) + len(it.Value) + 48
		if len(listing.Items) == page || size > MaxPageBytes && len(listing.Items) > 0 {
			listing.More = true
			return false
		}
		listing.Items = append(listing.Items, it)
		return true
	})
	return listing
}

// Commit applies a transaction atomically.
func (s *Service) Commit(now units.Microseconds, client string, t Txn) Result {
	if code := s.admit(now, client); code != http.StatusOK {
		return Result{Code: code, Rev: s.rev}
	}
	if !s.validTxn(t) {
		return Result{Code: http.StatusBadRequest, Rev: s.rev}
	}
	// Transactions whose guards fail count against the write rate, too.
	if !s.writeBucket.allow(now, s.limits.WriteRate, float64(len(t.Changes))) {
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

// validTxn reports whether a transaction is well-formed and within the size limits.
func (s *Service) validTxn(t Txn) bool {
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

// apply applies changes at one new revision. If all of them delete keys that don't exist, the revision stays.
func (s *Service) apply(now units.Microseconds, changes []Change) {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Value != nil || s.keys.Has(Item{Key: c.Key}) }) {
		return
	}
	s.rev++
	record := undoRecord{rev: s.rev}
	for _, change := range changes {
		old, had := s.keys.Get(Item{Key: change.Key})
		if !had {
			old = Item{Key: change.Key}
		}
		record.before = append(record.before, old)
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, change.Key)
		}
		switch {
		case change.Value != nil:
			s.keys.ReplaceOrInsert(Item{change.Key, change.Value, s.rev, change.Lease})
			if l := s.leases[change.Lease]; l != nil {
				l.keys[change.Key] = true
			}
		case had:
			s.keys.Delete(old)
		default:
			continue // deletes a key that doesn't exist
		}
		s.history = append(s.history, Event{change.Key, change.Value, s.rev})
		s.markKeyChanged(change.Key)
	}
	if over := len(s.history) - MaxHistory; over >= MaxHistory/4 {
		s.compactedRevision = max(s.compactedRevision, s.history[over-1].Version)
		s.history = slices.Clone(s.history[over:])
	}
	s.undoLog = append(s.undoLog, record)
	if len(s.undoLog) > 256 {
		s.undoLog = slices.Clone(s.undoLog[128:])
	}
	s.notifyWatches(now)
}

// firstAfter returns the index in the history of the first change after a revision.
func (s *Service) firstAfter(after uint64) int {
	i, _ := slices.BinarySearchFunc(s.history, after+1, func(e Event, rev uint64) int {
		if e.Version < rev {
			return -1
		}
		return 1
	})
	return i
}

// changesSince returns the changes with a prefix after a revision. It returns false if the history may no longer
// have all of them: watches can look back on the last 10,000 changes.
func (s *Service) changesSince(prefix string, after uint64) ([]Event, bool) {
	i := s.firstAfter(after)
	if after < s.compactedRevision || len(s.history)-i > MaxHistory {
		return nil, false
	}
	var out []Event
	for _, e := range s.history[i:] {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, true
}

// Watch requests the changes with a prefix after a revision. Drain returns its only response: at once if the
// request is refused, or with status 410 if the history no longer has all changes; otherwise when there are
// changes or the wait is over. No open watch gets a response while the service is down or refuses its client.
func (s *Service) Watch(now units.Microseconds, id uint64, client, prefix string, after uint64, wait units.Microseconds) {
	if code := s.admit(now, client); code != http.StatusOK {
		s.responses = append(s.responses, WatchResponse{ID: id, Code: code})
		return
	}
	if wait < 0 || wait > maxWait {
		s.responses = append(s.responses, WatchResponse{ID: id, Code: http.StatusBadRequest})
		return
	}
	w := &watch{id, client, prefix, after, now + wait}
	if !s.respond(now, w) {
		s.watches = append(s.watches, w)
		s.watchTimeouts.Add(w.deadline, id)
	}
}

// CloseWatch removes a watch whose client has disconnected.
func (s *Service) CloseWatch(id uint64) {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool { return w.id == id })
}

// respond responds to a watch that has changes or has reached its deadline, and reports whether it did. During
// an outage, and while its client is refused, the watch stays open.
func (s *Service) respond(now units.Microseconds, w *watch) bool {
	if !s.available(now, w.client) {
		return false
	}
	events, all := s.changesSince(w.prefix, w.after)
	switch {
	case !all:
		s.responses = append(s.responses, WatchResponse{ID: w.id, Code: http.StatusGone})
	case len(events) > 0 || now >= w.deadline:
		s.responses = append(s.responses, WatchResponse{ID: w.id, Code: http.StatusOK, Rev: s.rev, Events: events})
	default:
		return false
	}
	return true
}

func (s *Service) notifyWatches(now units.Microseconds) {
	s.watches = slices.DeleteFunc(s.watches, func(w *watch) bool { return s.respond(now, w) })
}

// OpenLease creates a lease and returns its ID. The status code is 400 if the TTL is out of bounds.
func (s *Service) OpenLease(now units.Microseconds, client string, ttl units.Microseconds) (uint64, int) {
	if code := s.admit(now, client); code != http.StatusOK {
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
	n := &lease{Lease: l, expires: now + l.TTL + s.drawExpiryDelay(), keys: map[string]bool{}}
	s.leases[l.ID] = n
	s.markLeaseChanged(l.ID)
	s.leaseExpiries.Add(n.expires, l.ID)
}

// RenewLease restarts the TTL of a lease. The status code is 404 if the lease doesn't exist.
func (s *Service) RenewLease(now units.Microseconds, client string, id uint64) int {
	if code := s.admit(now, client); code != http.StatusOK {
		return code
	}
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound
	}
	l.expires = now + l.TTL + s.drawExpiryDelay()
	s.leaseExpiries.Add(l.expires, id)
	return http.StatusOK
}

// CloseLease removes a lease and its keys at once. The status code is 404 if the lease doesn't exist.
func (s *Service) CloseLease(now units.Microseconds, client string, id uint64) int {
	if code := s.admit(now, client); code != http.StatusOK {
		return code
	}
	if s.leases[id] == nil {
		return http.StatusNotFound
	}
	s.removeLease(now, id)
	return http.StatusOK
}

func (s *Service) removeLease(now units.Microseconds, id uint64) {
	l := s.leases[id]
	delete(s.leases, id)
	s.markLeaseChanged(id)
	if len(l.keys) == 0 {
		return
	}
	var removals []Change
	for k := range l.keys {
		removals = append(removals, Change{Key: k})
	}
	slices.SortFunc(removals, func(a, b Change) int { return strings.Compare(a.Key, b.Key) })
	s.apply(now, removals)
}

// Next returns the time of the next expiry or timeout, when Advance must be called.
func (s *Service) Next() units.Microseconds {
	return min(s.leaseExpiries.Next(), s.watchTimeouts.Next())
}

// Advance processes everything that is due at the given time: it removes expired leases and responds to watches
// that have reached their deadline.
func (s *Service) Advance(now units.Microseconds) {
	for {
		at, id, ok := s.leaseExpiries.Due(now)
		if !ok {
			break
		}
		l := s.leases[id]
		switch {
		case l == nil || l.expires > at: // already removed, or renewed
		case now < s.downUntil:
			s.leaseExpiries.Add(s.downUntil, id)
		default:
			s.removeLease(now, id)
		}
	}
	anyDue := false
	for {
		_, id, ok := s.watchTimeouts.Due(now)
		if !ok {
			break
		}
		i := slices.IndexFunc(s.watches, func(w *watch) bool { return w.id == id })
		if i < 0 {
			continue
		}
		if w := s.watches[i]; !s.available(now, w.client) {
			s.watchTimeouts.Add(max(s.downUntil, s.refusedUntil[w.client]), id)
			continue
		}
		anyDue = true
	}
	if anyDue {
		s.notifyWatches(now)
	}
}

// Drain returns the responses to watches since the last call.
func (s *Service) Drain() []WatchResponse {
	out := s.responses
	s.responses = nil
	return out
}

// RollBack emulates a restore of the service from an older copy of its data, which the protocol doesn't allow.
// It undoes the last n transactions that changed a key with the prefix, and all other transactions since the
// first of these, which the older copy doesn't have either. The revision falls accordingly. It returns the
// number of transactions that were undone.
func (s *Service) RollBack(now units.Microseconds, prefix string, n int) int {
	s.Advance(now)
	cut, found := len(s.undoLog), 0
	for i := len(s.undoLog) - 1; i >= 0 && found < n; i-- {
		if slices.ContainsFunc(s.undoLog[i].before, func(it Item) bool { return strings.HasPrefix(it.Key, prefix) }) {
			found++
			cut = i
		}
	}
	if found == 0 {
		return 0
	}
	lost := s.undoLog[cut:]
	for i := len(lost) - 1; i >= 0; i-- {
		for j := len(lost[i].before) - 1; j >= 0; j-- {
			s.restoreItem(lost[i].before[j])
		}
	}
	s.rev = lost[0].rev - 1
	s.history = s.history[:s.firstAfter(s.rev)]
	s.undoLog = s.undoLog[:cut]
	return len(lost)
}

func (s *Service) restoreItem(item Item) {
	s.markKeyChanged(item.Key)
	if now, had := s.keys.Get(item); had {
		if l := s.leases[now.Lease]; l != nil {
			delete(l.keys, item.Key)
		}
	}
	if item.Version == 0 {
		s.keys.Delete(item)
		return
	}
	if l := s.leases[item.Lease]; l != nil {
		l.keys[item.Key] = true
	} else if item.Lease != 0 { // its lease no longer exists, so neither does the key
		s.keys.Delete(item)
		return
	}
	s.keys.ReplaceOrInsert(item)
}
