package watchcache

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// service is a state service that keeps a few changes only, and may lose its last ones.
type service struct {
	rev     uint64
	keys    map[string]store.Event
	changes []store.Event
}

const remembered = 6

func (s *service) put(key string, value json.RawMessage) {
	s.rev++
	e := store.Event{Key: key, Value: value, Stamp: s.rev}
	s.changes = append(s.changes, e)
	if s.keys[key] = e; value == nil {
		delete(s.keys, key)
	}
}

func (s *service) list(after string, page int) (items []store.Event, more bool) {
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if k > after {
			if len(items) == page {
				return items, true
			}
			items = append(items, s.keys[k])
		}
	}
	return items, false
}

// reader is whom the copy is for: it keeps what it was told.
type reader struct {
	m    *Cache
	sent []any
	has  map[string]string
}

func (r *reader) Emit(e any) { r.sent = append(r.sent, e) }
func (r *reader) Learn(e store.Event) {
	if r.has[e.Key] = string(e.Value); e.Value == nil {
		delete(r.has, e.Key)
	}
}
func (r *reader) Removed(string) {}
func (r *reader) Gap()           {}
func (r *reader) Limited()       {}
func (r *reader) Reload(rev uint64, items []store.Event) {
	r.m.Recover(rev, items, nil)
}

// TestCopy has keys change while the copy is listed in pages, followed and read, with
// answers that are refused or never come, a service that remembers few changes and may go
// back behind its answers. A read that was told to have worked shows all that was stored
// before it was asked for, and in the end the copy is as the service is.
func TestCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &service{rev: 5, keys: map[string]store.Event{}}
		r := &reader{has: map[string]string{}}
		r.m = New(Config{Size: 1, Rate: 100, Fresh: 2 * units.Second}, r)
		now := units.Second
		back := rapid.Bool().Draw(t, "goes_back")
		var old *service // the service as it was some time ago
		pages := map[string]int{}
		answer := func(i int, o store.Outcome) {
			e := r.sent[i]
			r.sent = slices.Delete(r.sent, i, i+1)
			switch e := e.(type) {
			case List:
				items, more := s.list(e.After, 3)
				pages[e.After]++
				if o != store.OK {
					items = nil
				}
				r.m.OnList(now, e, o, s.rev, items, more)
			case Watch:
				gone := o == store.OK && s.rev > e.After && (len(s.changes) == 0 || s.changes[0].Stamp > e.After+1)
				var events []store.Event
				for _, c := range s.changes {
					if c.Stamp > e.After && !gone {
						events = append(events, c)
					}
				}
				if gone {
					o = store.Failed
				}
				r.m.OnChanges(now, e, o, s.rev, events, gone)
			}
		}
		step := func(d units.Microseconds) {
			now += d
			r.m.Tick(now, now)
			r.m.Pump(now)
		}
		same := func() bool {
			return len(r.has) == len(s.keys) && !slices.ContainsFunc(slices.Collect(maps.Values(s.keys)), func(e store.Event) bool { return r.has[e.Key] != string(e.Value) })
		}
		type put struct {
			at units.Microseconds
			store.Event
		}
		var puts []put
		n := 0
		change := func(t *rapid.T) {
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 12).Draw(t, "key"))
			n++
			if v := json.RawMessage(fmt.Sprint(n)); rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
				s.put(key, v)
				puts = append(puts, put{now, s.keys[key]})
			} else if _, there := s.keys[key]; there {
				s.put(key, nil)
			}
			if len(s.changes) > remembered {
				s.changes = s.changes[1:]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": change,
			"time":   func(t *rapid.T) { step(units.Microseconds(rapid.IntRange(1, 600).Draw(t, "ms")) * 1000) },
			"answer": func(t *rapid.T) {
				if len(r.sent) > 0 {
					answer(rapid.IntRange(0, len(r.sent)-1).Draw(t, "which"), rapid.SampledFrom([]store.Outcome{store.OK, store.OK, store.OK, store.Refused, store.Unknown, store.Limited}).Draw(t, "outcome"))
				}
			},
			"read": func(t *rapid.T) {
				want := maps.Clone(s.keys)
				r.m.ReadFresh(func(ok bool) {
					for k, e := range want {
						if ok && !back && r.m.Version(k) < e.Stamp && s.keys[k].Stamp == e.Stamp {
							t.Fatalf("a read shows %s as of %d, it was stored at %d before", k, r.m.Version(k), e.Stamp)
						}
					}
				})
			},
			// What the copy claims to show, it shows, whatever other requests were answered.
			"": func(t *rapid.T) {
				for _, p := range puts {
					if !back && p.at < r.m.AsOf() && s.keys[p.Key].Stamp == p.Stamp && r.m.Version(p.Key) < p.Stamp {
						t.Fatalf("at %d the copy is as of %d, and lacks %s, which was stored at %d", now, r.m.AsOf(), p.Key, p.at)
					}
				}
			},
			"remember": func(*rapid.T) { old = &service{s.rev, maps.Clone(s.keys), slices.Clone(s.changes)} },
			"go back": func(t *rapid.T) {
				// Behind what was told, as a loss that nobody has seen is nobody's; and
				// asked at once, as one that is written over meanwhile is not noticed.
				if back && old != nil && old.rev < r.m.HighestRevision() && r.m.Loaded() && len(r.sent) == 0 {
					s, old = old, nil
					step(units.Second)
					for len(r.sent) > 0 && !r.m.Recovering() {
						answer(0, store.OK)
					}
					if !r.m.Recovering() && r.m.Loaded() {
						t.Fatal("nobody noticed that the service went back")
					}
				}
			},
		})
		for range 200 {
			step(units.Second / 10)
			for len(r.sent) > 0 {
				answer(0, store.OK)
			}
		}
		r.m.ReadFresh(nil)
		for range 20 {
			step(units.Second / 10)
			for len(r.sent) > 0 {
				answer(0, store.OK)
			}
		}
		if !r.m.Loaded() || r.m.Recovering() || !same() {
			t.Fatalf("loaded %v, recovering %v; the copy has %v, the service %v", r.m.Loaded(), r.m.Recovering(), r.has, s.keys)
		}
	})
}

// TestManyWaitForOneRead has as many requests wait for one read as may, and one more: that one is
// told at once that it failed, and each of the others once that the read has worked.
func TestManyWaitForOneRead(t *testing.T) {
	if maxWaiter < 4096 {
		t.Errorf("%d may wait", maxWaiter)
	}
	r := &reader{has: map[string]string{}}
	r.m = New(Config{Size: 1, Rate: 100, Fresh: 2 * units.Second}, r)
	r.m.Tick(units.Second, units.Second)
	r.m.OnList(units.Second, List{}, store.OK, 5, nil, false)
	r.m.Pump(units.Second)
	r.m.OnChanges(units.Second, Watch{After: 5, Fresh: true}, store.OK, 5, nil, false)
	worked := make([]int, maxWaiter)
	for i := range worked {
		r.m.ReadFresh(func(ok bool) {
			if ok {
				worked[i]++
			}
		})
	}
	failed := 0
	r.m.ReadFresh(func(ok bool) {
		if !ok {
			failed++
		}
	})
	if failed != 1 {
		t.Fatalf("one beyond was told %d times", failed)
	}
	r.sent = nil
	r.m.Pump(2 * units.Second)
	if len(r.sent) != 1 {
		t.Fatalf("%d reads for all", len(r.sent))
	}
	// Who comes while the read is under way waits for the next.
	late := 0
	r.m.ReadFresh(func(bool) { late++ })
	r.m.OnChanges(2*units.Second, r.sent[0].(Watch), store.OK, 6, nil, false)
	if slices.ContainsFunc(worked, func(n int) bool { return n != 1 }) || failed != 1 || late != 0 {
		t.Errorf("told %v; beyond %d, late %d", worked, failed, late)
	}
}
