package kv

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// reference is a simple implementation of the state service: a map of keys, a map of leases and the full history.
type reference struct {
	keys     map[string]Item
	history  []Event
	rev      uint64
	latest   map[uint64]units.Microseconds // time at which a lease must have expired
	earliest map[uint64]units.Microseconds // time before which it must not expire
}

func (r *reference) remove(k string) {
	if _, ok := r.keys[k]; ok {
		delete(r.keys, k)
		r.history = append(r.history, Event{Key: k, Version: r.rev})
	}
}

// TestServiceMatchesReference applies random requests and outages to the service and to the reference, and compares
// status codes, keys, revisions and the changes that a watch returns. A lease may expire up to 100 ms late, so the
// reference follows the service's expiries within that bound.
func TestServiceMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		service := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 64, TxnOps: 4}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		r := &reference{keys: map[string]Item{}, latest: map[uint64]units.Microseconds{}, earliest: map[uint64]units.Microseconds{}}
		now := units.Microseconds(0)
		ttl := map[uint64]units.Microseconds{}
		down := units.Microseconds(0)
		key := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "p"), rapid.IntRange(0, 5).Draw(t, "n"))
		})
		lease := func(t *rapid.T) uint64 {
			if len(ttl) == 0 {
				return 0
			}
			return rapid.SampledFrom(append(slices.Sorted(maps.Keys(ttl)), 0)).Draw(t, "lease")
		}
		// expireLeases removes the leases from the reference that have expired in the service, and checks the time.
		expireLeases := func() {
			for _, id := range slices.Sorted(maps.Keys(r.latest)) {
				ended := service.leases[id] == nil
				if ended && now < r.earliest[id] {
					t.Fatalf("lease %d expired at %d, want %d at the earliest", id, now, r.earliest[id])
				}
				if !ended && now >= r.latest[id] && now >= down {
					t.Fatalf("lease %d has not expired at %d, want %d at the latest", id, now, r.latest[id])
				}
				if !ended {
					continue
				}
				delete(r.latest, id)
				hadKeys := false
				for _, k := range slices.Sorted(maps.Keys(r.keys)) {
					if r.keys[k].Lease == id {
						if !hadKeys {
							r.rev++
							hadKeys = true
						}
						r.remove(k)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += units.Microseconds(rapid.Int64Range(0, 3_000_000).Draw(t, "d"))
				service.Advance(now)
				expireLeases()
			},
			"outage": func(t *rapid.T) {
				down = max(down, now+units.Microseconds(rapid.Int64Range(0, 5_000_000).Draw(t, "for")))
				service.SetDown(now, down)
				expireLeases()
				for id := range r.latest {
					r.earliest[id], r.latest[id] = max(r.earliest[id], down+ttl[id]), max(r.latest[id], down+ttl[id]+maxExpiryDelay)
				}
			},
			"open": func(t *rapid.T) {
				d := units.Microseconds(rapid.Int64Range(0, 5_000_000).Draw(t, "ttl"))
				id, code := service.OpenLease(now, "x", d)
				expireLeases()
				if ok := d >= minTTL && now >= down; ok != (code == http.StatusOK) {
					t.Fatalf("lease with TTL %d: status %d", d, code)
				}
				if code == http.StatusOK {
					ttl[id] = d
					r.earliest[id], r.latest[id] = now+d, now+d+maxExpiryDelay
				}
			},
			"renew": func(t *rapid.T) {
				id := lease(t)
				code := service.RenewLease(now, "x", id)
				expireLeases()
				if now < down {
					return
				}
				if _, exists := r.latest[id]; exists != (code == http.StatusOK) {
					t.Fatalf("renewal of lease %d: status %d", id, code)
				}
				if code == http.StatusOK {
					r.earliest[id], r.latest[id] = now+ttl[id], now+ttl[id]+maxExpiryDelay
				}
			},
			"commit": func(t *rapid.T) {
				var txn Txn
				for range rapid.IntRange(0, 5).Draw(t, "changes") {
					c := Change{Key: key.Draw(t, "key")}
					if rapid.Bool().Draw(t, "put") {
						c.Value = json.RawMessage(fmt.Sprintf("%q", strings.Repeat("v", rapid.IntRange(0, 70).Draw(t, "size"))))
						c.Lease = lease(t)
					}
					if !slices.ContainsFunc(txn.Changes, func(o Change) bool { return o.Key == c.Key }) {
						txn.Changes = append(txn.Changes, c)
					}
				}
				for range rapid.IntRange(0, 2).Draw(t, "guards") {
					k := key.Draw(t, "guard")
					version := r.keys[k].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						version++
					}
					txn.Guards = append(txn.Guards, Guard{k, version})
				}
				service.Advance(now)
				expireLeases()
				res := service.Commit(now, "x", txn)
				want := http.StatusOK
				switch {
				case now < down:
					want = http.StatusServiceUnavailable
				case len(txn.Changes) > 4 || slices.ContainsFunc(txn.Changes, func(c Change) bool { return len(c.Value) > 64 }):
					want = http.StatusBadRequest
				case slices.ContainsFunc(txn.Changes, func(c Change) bool { _, ok := r.latest[c.Lease]; return c.Lease != 0 && !ok }):
					want = http.StatusBadRequest
				case slices.ContainsFunc(txn.Guards, func(g Guard) bool { return r.keys[g.Key].Version != g.Version }):
					want = http.StatusConflict
				}
				if res.Code != want {
					t.Fatalf("commit of %+v: status %d, want %d", txn, res.Code, want)
				}
				if want != http.StatusOK || !slices.ContainsFunc(txn.Changes, func(c Change) bool { return c.Value != nil || r.keys[c.Key].Version != 0 }) {
					return
				}
				r.rev++
				for _, c := range txn.Changes {
					if c.Value == nil {
						r.remove(c.Key)
						continue
					}
					r.keys[c.Key] = Item{c.Key, c.Value, r.rev, c.Lease}
					r.history = append(r.history, Event{c.Key, c.Value, r.rev})
				}
			},
			"": func(t *rapid.T) {
				if service.rev != r.rev {
					t.Fatalf("revision %d, want %d", service.rev, r.rev)
				}
				if now < down {
					return
				}
				var got []Item
				for after := ""; ; {
					l := service.List(now, "x", "", after, 3)
					got = append(got, l.Items...)
					if !l.More {
						break
					}
					after = l.Items[len(l.Items)-1].Key
				}
				var want []Item
				for _, k := range slices.Sorted(maps.Keys(r.keys)) {
					want = append(want, r.keys[k])
				}
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("keys %v, want %v", got, want)
				}
				after := rapid.Uint64Range(0, r.rev).Draw(t, "after")
				service.Watch(now, 1, "x", "a/", after, 0)
				var events []Event
				for _, e := range r.history {
					if e.Version > after && strings.HasPrefix(e.Key, "a/") {
						events = append(events, e)
					}
				}
				out := service.Drain()
				if len(out) != 1 || out[0].Code != http.StatusOK || fmt.Sprint(out[0].Events) != fmt.Sprint(events) {
					t.Fatalf("watch after %d: %+v, want %v", after, out, events)
				}
			},
		})
	})
}

// TestRateLimitPageSizeAndHistory checks the burst that the rate limit allows, the size limit of a page, and that a
// watch gets 410 if the history doesn't reach back to its revision.
func TestRateLimitPageSizeAndHistory(t *testing.T) {
	service := New(Limits{Rate: 10, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 1000}, rand.New(rand.NewPCG(1, 1)))
	codes := map[int]int{}
	for range 25 {
		_, _, code := service.Get(0, "x", "k")
		codes[code]++
	}
	if codes[http.StatusNotFound] != 10 || codes[http.StatusTooManyRequests] != 15 {
		t.Fatalf("status codes of a burst of 25 requests at 10 per second: %v", codes)
	}
	service.SetLimits(Limits{Rate: 1e9, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 1000})
	big := json.RawMessage(`"` + strings.Repeat("x", 4000) + `"`)
	for i := range 13 {
		var changes []Change
		for k := range 15 {
			changes = append(changes, Change{Key: fmt.Sprintf("big/%03d", i*15+k), Value: big})
		}
		if res := service.Commit(0, "x", Txn{Changes: changes}); res.Code != http.StatusOK {
			t.Fatalf("commit: %+v", res)
		}
	}
	l := service.List(0, "x", "big/", "", 1000)
	size := 0
	for _, it := range l.Items {
		size += len(it.Value)
	}
	if !l.More || size > MaxPageBytes || len(l.Items) < 100 {
		t.Fatalf("page has %d items, %d bytes, more: %v", len(l.Items), size, l.More)
	}
	first := service.Rev()
	for i := range MaxHistory + MaxHistory/2 {
		service.Commit(0, "x", Txn{Changes: []Change{{Key: "k", Value: json.RawMessage(fmt.Sprint(i))}}})
	}
	for after, want := range map[uint64]int{first: http.StatusGone, service.Rev() - MaxHistory: http.StatusOK, service.Rev() - 1: http.StatusOK} {
		service.Watch(0, 1, "x", "k", after, 0)
		if out := service.Drain(); len(out) != 1 || out[0].Code != want {
			t.Errorf("watch after revision %d of %d: status %d, want %d", after, service.Rev(), out[0].Code, want)
		}
	}
}

// TestWatchStaysOpenWhileClientIsRefused guards against a watch that is lost, or answered too early, when the service
// refuses its client. The watch must stay open and get its response afterwards; other clients' watches go on.
func TestWatchStaysOpenWhileClientIsRefused(t *testing.T) {
	s := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 100, TxnOps: 4}, rand.New(rand.NewPCG(1, 1)))
	s.Watch(0, 1, "x", "", 0, 2*units.Second)
	s.Watch(0, 2, "y", "", 0, 2*units.Second)
	s.RefuseClient("x", 5*units.Second)
	s.Commit(units.Second, "y", Txn{Changes: []Change{{Key: "k", Value: json.RawMessage("1")}}})
	if out := s.Drain(); len(out) != 1 || out[0].ID != 2 || len(out[0].Events) != 1 {
		t.Fatalf("responses while client x is refused: %+v, want one to watch 2", out)
	}
	for s.Next() <= 20*units.Second && len(s.watches) > 0 {
		s.Advance(s.Next())
	}
	if out := s.Drain(); len(out) != 1 || out[0].ID != 1 || len(out[0].Events) != 1 {
		t.Fatalf("responses after the refusal: %+v, want one to watch 1", out)
	}
}

// TestRollBack rolls back a committed transaction. The revision must fall, and later transactions on other keys
// must be undone, too.
func TestRollBack(t *testing.T) {
	service := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 100, TxnOps: 4}, rand.New(rand.NewPCG(1, 1)))
	put := func(k, v string) {
		service.Commit(0, "x", Txn{Changes: []Change{{Key: k, Value: json.RawMessage(v)}}})
	}
	put("job/1", "1")
	put("seat/a", "1")
	put("job/1", "2")
	put("seat/a", "2")
	if n := service.RollBack(0, "job/", 1); n != 2 {
		t.Fatalf("%d transactions were undone, want 2", n)
	}
	job, rev, _ := service.Get(0, "x", "job/1")
	seat, _, _ := service.Get(0, "x", "seat/a")
	if rev != 2 && service.Rev() != 2 || string(job.Value) != "1" || string(seat.Value) != "1" {
		t.Fatalf("after the rollback: revision %d, items %+v, %+v", service.Rev(), job, seat)
	}
	if n := service.RollBack(0, "none/", 1); n != 0 {
		t.Fatalf("%d transactions were undone, want 0: none has the prefix", n)
	}
}
