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

// reference is the state service in the plainest words: a map, leases that are
// looked at one by one, and the whole history.
type reference struct {
	keys    map[string]Item
	history []Event
	rev     uint64
	leases  map[uint64]units.Microseconds // by when they would surely have ended
	sure    map[uint64]units.Microseconds // until when they surely have not
}

func (r *reference) drop(k string) {
	if _, ok := r.keys[k]; ok {
		delete(r.keys, k)
		r.history = append(r.history, Event{Key: k, Version: r.rev})
	}
}

// TestAgainstReference runs drawn requests on the service and on the reference.
// Leases may end up to 100 ms late, so there the reference follows the service
// within that bound.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 64, TxnOps: 4}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		r := &reference{keys: map[string]Item{}, leases: map[uint64]units.Microseconds{}, sure: map[uint64]units.Microseconds{}}
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
		// settle lets leases end in the reference that have ended in the service.
		settle := func() {
			for _, id := range slices.Sorted(maps.Keys(r.leases)) {
				gone := s.leases[id] == nil
				if gone && now < r.sure[id] {
					t.Fatalf("lease %d ended at %d, at least %d was promised", id, now, r.sure[id])
				}
				if !gone && now >= r.leases[id] && now >= down {
					t.Fatalf("lease %d has not ended at %d, %d at most was promised", id, now, r.leases[id])
				}
				if !gone {
					continue
				}
				delete(r.leases, id)
				held := false
				for _, k := range slices.Sorted(maps.Keys(r.keys)) {
					if r.keys[k].Lease == id {
						if !held {
							r.rev++
							held = true
						}
						r.drop(k)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += units.Microseconds(rapid.Int64Range(0, 3_000_000).Draw(t, "d"))
				s.Advance(now)
				settle()
			},
			"outage": func(t *rapid.T) {
				down = max(down, now+units.Microseconds(rapid.Int64Range(0, 5_000_000).Draw(t, "for")))
				s.SetDown(now, down)
				settle()
				for id := range r.leases {
					r.sure[id], r.leases[id] = max(r.sure[id], down+ttl[id]), max(r.leases[id], down+ttl[id]+maxLate)
				}
			},
			"open": func(t *rapid.T) {
				d := units.Microseconds(rapid.Int64Range(0, 5_000_000).Draw(t, "ttl"))
				id, code := s.OpenLease(now, "x", d)
				settle()
				if ok := d >= minTTL && now >= down; ok != (code == http.StatusOK) {
					t.Fatalf("ttl %d: %d", d, code)
				}
				if code == http.StatusOK {
					ttl[id] = d
					r.sure[id], r.leases[id] = now+d, now+d+maxLate
				}
			},
			"renew": func(t *rapid.T) {
				id := lease(t)
				code := s.RenewLease(now, "x", id)
				settle()
				if now < down {
					return
				}
				if _, lives := r.leases[id]; lives != (code == http.StatusOK) {
					t.Fatalf("renewal of %d: %d", id, code)
				}
				if code == http.StatusOK {
					r.sure[id], r.leases[id] = now+ttl[id], now+ttl[id]+maxLate
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
					stamp := r.keys[k].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						stamp++
					}
					txn.Guards = append(txn.Guards, Guard{k, stamp})
				}
				s.Advance(now)
				settle()
				res := s.Commit(now, "x", txn)
				want := http.StatusOK
				switch {
				case now < down:
					want = http.StatusServiceUnavailable
				case len(txn.Changes) > 4 || slices.ContainsFunc(txn.Changes, func(c Change) bool { return len(c.Value) > 64 }):
					want = http.StatusBadRequest
				case slices.ContainsFunc(txn.Changes, func(c Change) bool { _, ok := r.leases[c.Lease]; return c.Lease != 0 && !ok }):
					want = http.StatusBadRequest
				case slices.ContainsFunc(txn.Guards, func(g Guard) bool { return r.keys[g.Key].Version != g.Version }):
					want = http.StatusConflict
				}
				if res.Code != want {
					t.Fatalf("%+v: %d, want %d", txn, res.Code, want)
				}
				if want != http.StatusOK || !slices.ContainsFunc(txn.Changes, func(c Change) bool { return c.Value != nil || r.keys[c.Key].Version != 0 }) {
					return
				}
				r.rev++
				for _, c := range txn.Changes {
					if c.Value == nil {
						r.drop(c.Key)
						continue
					}
					r.keys[c.Key] = Item{c.Key, c.Value, r.rev, c.Lease}
					r.history = append(r.history, Event{c.Key, c.Value, r.rev})
				}
			},
			"": func(t *rapid.T) {
				if s.rev != r.rev {
					t.Fatalf("revision %d, want %d", s.rev, r.rev)
				}
				if now < down {
					return
				}
				var got []Item
				for after := ""; ; {
					l := s.List(now, "x", "", after, 3)
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
				s.Watch(now, 1, "x", "a/", after, 0)
				var events []Event
				for _, e := range r.history {
					if e.Version > after && strings.HasPrefix(e.Key, "a/") {
						events = append(events, e)
					}
				}
				out := s.Drain()
				if len(out) != 1 || out[0].Code != http.StatusOK || fmt.Sprint(out[0].Events) != fmt.Sprint(events) {
					t.Fatalf("watch after %d: %+v, want %v", after, out, events)
				}
			},
		})
	})
}

// TestLimitsAndHistory checks bursts, the sizes of pages, and that a watch that
// looks back too far is told so.
func TestLimitsAndHistory(t *testing.T) {
	s := New(Limits{Rate: 10, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 1000}, rand.New(rand.NewPCG(1, 1)))
	codes := map[int]int{}
	for range 25 {
		_, _, code := s.Get(0, "x", "k")
		codes[code]++
	}
	if codes[http.StatusNotFound] != 10 || codes[http.StatusTooManyRequests] != 15 {
		t.Fatalf("a burst of 25 at 10 a second: %v", codes)
	}
	s.SetLimits(Limits{Rate: 1e9, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 1000})
	big := json.RawMessage(`"` + strings.Repeat("x", 4000) + `"`)
	for i := range 13 {
		var changes []Change
		for k := range 15 {
			changes = append(changes, Change{Key: fmt.Sprintf("big/%03d", i*15+k), Value: big})
		}
		if res := s.Commit(0, "x", Txn{Changes: changes}); res.Code != http.StatusOK {
			t.Fatalf("commit: %+v", res)
		}
	}
	l := s.List(0, "x", "big/", "", 1000)
	size := 0
	for _, it := range l.Items {
		size += len(it.Value)
	}
	if !l.More || size > MaxPageBytes || len(l.Items) < 100 {
		t.Fatalf("page of %d items, %d bytes, more %v", len(l.Items), size, l.More)
	}
	first := s.Rev()
	for i := range MaxHistory + MaxHistory/2 {
		s.Commit(0, "x", Txn{Changes: []Change{{Key: "k", Value: json.RawMessage(fmt.Sprint(i))}}})
	}
	for after, want := range map[uint64]int{first: http.StatusGone, s.Rev() - MaxHistory: http.StatusOK, s.Rev() - 1: http.StatusOK} {
		s.Watch(0, 1, "x", "k", after, 0)
		if out := s.Drain(); len(out) != 1 || out[0].Code != want {
			t.Errorf("watch after %d of %d: %d, want %d", after, s.Rev(), out[0].Code, want)
		}
	}
}

// TestWatchesOutliveOutages opens watches before an outage and before a refusal of
// their client alone: they stay open, and are answered after it.
func TestWatchesOutliveOutages(t *testing.T) {
	s := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 100, TxnOps: 4}, rand.New(rand.NewPCG(1, 1)))
	s.Watch(0, 1, "x", "", 0, 2*units.Second)
	s.Watch(0, 2, "y", "", 0, 2*units.Second)
	s.RefuseClient("x", 5*units.Second)
	s.Commit(units.Second, "y", Txn{Changes: []Change{{Key: "k", Value: json.RawMessage("1")}}})
	if out := s.Drain(); len(out) != 1 || out[0].ID != 2 || len(out[0].Events) != 1 {
		t.Fatalf("while x is refused: %+v", out)
	}
	for s.Next() <= 20*units.Second && len(s.watches) > 0 {
		s.Advance(s.Next())
	}
	if out := s.Drain(); len(out) != 1 || out[0].ID != 1 || len(out[0].Events) != 1 {
		t.Fatalf("after the refusal: %+v", out)
	}
}

// TestLose takes answered writes back: the revision falls, and with it later
// transactions go.
func TestLose(t *testing.T) {
	s := New(Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 100, TxnOps: 4}, rand.New(rand.NewPCG(1, 1)))
	put := func(k, v string) {
		s.Commit(0, "x", Txn{Changes: []Change{{Key: k, Value: json.RawMessage(v)}}})
	}
	put("job/1", "1")
	put("seat/a", "1")
	put("job/1", "2")
	put("seat/a", "2")
	if n := s.RollBack(0, "job/", 1); n != 2 {
		t.Fatalf("%d transactions undone, want 2", n)
	}
	job, rev, _ := s.Get(0, "x", "job/1")
	seat, _, _ := s.Get(0, "x", "seat/a")
	if rev != 2 && s.Rev() != 2 || string(job.Value) != "1" || string(seat.Value) != "1" {
		t.Fatalf("revision %d, %+v, %+v", s.Rev(), job, seat)
	}
	if n := s.RollBack(0, "none/", 1); n != 0 {
		t.Fatalf("%d undone of nothing", n)
	}
}
