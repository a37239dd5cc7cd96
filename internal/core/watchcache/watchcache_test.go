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

// service is a state service that keeps a short history of changes and may lose the latest ones.
type service struct {
	rev     uint64
	keys    map[string]store.Event
	changes []store.Event
}

const historyLength = 6

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

// fakeHost is the host of the cache. It records the values that were applied.
type fakeHost struct {
	cache  *Cache
	sent   []any
	values map[string]string
}

func (h *fakeHost) Emit(e any) { h.sent = append(h.sent, e) }
func (h *fakeHost) Apply(e store.Event) {
	if h.values[e.Key] = string(e.Value); e.Value == nil {
		delete(h.values, e.Key)
	}
}
func (h *fakeHost) KeyRemoved(string) {}
func (h *fakeHost) EventsMissed()     {}
func (h *fakeHost) RateLimited()      {}
func (h *fakeHost) Rebuild(rev uint64, items []store.Event) {
	h.cache.Reset(rev, items, nil)
}

// stored is a put and its time.
type stored struct {
	at units.Microseconds
	store.Event
}

// cacheModel is a service and the cache of its keys, with requests in transit between them.
type cacheModel struct {
	service     *service
	host        *fakeHost
	now         units.Microseconds
	mayRollBack bool     // the service may be rolled back
	earlier     *service // an earlier state of the service
	puts        []stored
	changes     int
}

func newCacheModel(t *rapid.T) *cacheModel {
	c := &cacheModel{service: &service{rev: 5, keys: map[string]store.Event{}}, host: &fakeHost{values: map[string]string{}}, now: units.Second}
	c.host.cache = New(Config{Controllers: 1, Rate: 100, MaxStaleness: 2 * units.Second}, c.host)
	c.mayRollBack = rapid.Bool().Draw(t, "goes_back")
	return c
}

// answer answers one of the requests in transit.
func (c *cacheModel) answer(i int, outcome store.Outcome) {
	request := c.host.sent[i]
	c.host.sent = slices.Delete(c.host.sent, i, i+1)
	switch request := request.(type) {
	case List:
		items, more := c.service.list(request.After, 3)
		if outcome != store.OK {
			items = nil
		}
		c.host.cache.OnList(c.now, request, outcome, c.service.rev, items, more)
	case Watch:
		c.answerWatch(request, outcome)
	}
}

func (c *cacheModel) answerWatch(request Watch, outcome store.Outcome) {
	changes := c.service.changes
	compacted := outcome == store.OK && c.service.rev > request.After && (len(changes) == 0 || changes[0].Stamp > request.After+1)
	var events []store.Event
	for _, change := range changes {
		if change.Stamp > request.After && !compacted {
			events = append(events, change)
		}
	}
	if compacted {
		outcome = store.Failed
	}
	c.host.cache.OnChanges(c.now, request, outcome, c.service.rev, events, compacted)
}

// answerAll answers all requests, including those that are sent meanwhile.
func (c *cacheModel) answerAll() {
	for len(c.host.sent) > 0 {
		c.answer(0, store.OK)
	}
}

func (c *cacheModel) step(d units.Microseconds) {
	c.now += d
	c.host.cache.Tick(c.now, c.now)
	c.host.cache.Pump(c.now)
}

func (c *cacheModel) sameAsService() bool {
	differs := func(e store.Event) bool { return c.host.values[e.Key] != string(e.Value) }
	return len(c.host.values) == len(c.service.keys) && !slices.ContainsFunc(slices.Collect(maps.Values(c.service.keys)), differs)
}

func (c *cacheModel) change(t *rapid.T) {
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 12).Draw(t, "key"))
	c.changes++
	if value := json.RawMessage(fmt.Sprint(c.changes)); rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
		c.service.put(key, value)
		c.puts = append(c.puts, stored{c.now, c.service.keys[key]})
	} else if _, there := c.service.keys[key]; there {
		c.service.put(key, nil)
	}
	if len(c.service.changes) > historyLength {
		c.service.changes = c.service.changes[1:]
	}
}

func (c *cacheModel) answerOne(t *rapid.T) {
	if len(c.host.sent) > 0 {
		c.answer(rapid.IntRange(0, len(c.host.sent)-1).Draw(t, "which"), rapid.SampledFrom([]store.Outcome{store.OK, store.OK, store.OK, store.Refused, store.Unknown, store.RateLimited}).Draw(t, "outcome"))
	}
}

// read requests a fresh read, which has to show everything that is stored now.
func (c *cacheModel) read(t *rapid.T) {
	want := maps.Clone(c.service.keys)
	cache := c.host.cache
	cache.ReadFresh(func(ok bool) {
		for key, e := range want {
			if ok && !c.mayRollBack && cache.Version(key) < e.Stamp && c.service.keys[key].Stamp == e.Stamp {
				t.Fatalf("a fresh read shows %s at version %d, but version %d was stored before the read was requested", key, cache.Version(key), e.Stamp)
			}
		}
	})
}

// asOf checks that the cache contains everything stored before AsOf, whichever other requests were answered.
func (c *cacheModel) asOf(t *rapid.T) {
	cache := c.host.cache
	for _, put := range c.puts {
		if !c.mayRollBack && put.at < cache.AsOf() && c.service.keys[put.Key].Stamp == put.Stamp && cache.Version(put.Key) < put.Stamp {
			t.Fatalf("at %d AsOf is %d, but the cache lacks %s, which was stored at %d", c.now, cache.AsOf(), put.Key, put.at)
		}
	}
}

func (c *cacheModel) saveState(*rapid.T) {
	c.earlier = &service{c.service.rev, maps.Clone(c.service.keys), slices.Clone(c.service.changes)}
}

// rollBack rolls the service back behind a revision that the cache has seen, because the loss of other
// revisions cannot be detected. It then has a request answered immediately: if new writes first reach the
// lost revision, the rollback is not detected either.
func (c *cacheModel) rollBack(t *rapid.T) {
	cache := c.host.cache
	if !c.mayRollBack || c.earlier == nil || c.earlier.rev >= cache.HighestRevision() || !cache.Loaded() || len(c.host.sent) > 0 {
		return
	}
	c.service, c.earlier = c.earlier, nil
	c.step(units.Second)
	for len(c.host.sent) > 0 && !cache.Recovering() {
		c.answer(0, store.OK)
	}
	if !cache.Recovering() && cache.Loaded() {
		t.Fatal("the rollback of the service was not detected")
	}
}

// TestCacheConverges guards against stale fresh reads and a cache that stays different from the service. Keys
// change while the cache is listed in pages, watched and read. Responses are refused or never arrive; the
// service has a short history and may be rolled back. A successful fresh read shows everything stored before
// it was requested, and in the end the cache equals the service.
func TestCacheConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newCacheModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":   model.change,
			"time":     func(t *rapid.T) { model.step(units.Microseconds(rapid.IntRange(1, 600).Draw(t, "ms")) * 1000) },
			"answer":   model.answerOne,
			"read":     model.read,
			"":         model.asOf,
			"remember": model.saveState,
			"go back":  model.rollBack,
		})
		for range 200 {
			model.step(units.Second / 10)
			model.answerAll()
		}
		cache := model.host.cache
		cache.ReadFresh(nil)
		for range 20 {
			model.step(units.Second / 10)
			model.answerAll()
		}
		if !cache.Loaded() || cache.Recovering() || !model.sameAsService() {
			t.Fatalf("loaded %v, recovering %v; the cache has %v, the service %v", cache.Loaded(), cache.Recovering(), model.host.values, model.service.keys)
		}
	})
}

// TestWaitersShareOneRead guards against one read per waiting request, and against an unbounded number of
// waiters. maxWaiters requests wait for one read, which completes each of them once with success. One
// more request fails immediately.
func TestWaitersShareOneRead(t *testing.T) {
	if maxWaiters < 4096 {
		t.Errorf("at most %d requests may wait", maxWaiters)
	}
	r := &fakeHost{values: map[string]string{}}
	r.cache = New(Config{Controllers: 1, Rate: 100, MaxStaleness: 2 * units.Second}, r)
	r.cache.Tick(units.Second, units.Second)
	r.cache.OnList(units.Second, List{}, store.OK, 5, nil, false)
	r.cache.Pump(units.Second)
	r.cache.OnChanges(units.Second, Watch{After: 5, Fresh: true}, store.OK, 5, nil, false)
	succeeded := make([]int, maxWaiters)
	for i := range succeeded {
		r.cache.ReadFresh(func(ok bool) {
			if ok {
				succeeded[i]++
			}
		})
	}
	failed := 0
	r.cache.ReadFresh(func(ok bool) {
		if !ok {
			failed++
		}
	})
	if failed != 1 {
		t.Fatalf("the request beyond the limit failed %d times", failed)
	}
	r.sent = nil
	r.cache.Pump(2 * units.Second)
	if len(r.sent) != 1 {
		t.Fatalf("%d reads for all waiting requests", len(r.sent))
	}
	// A request that arrives while the read is in flight waits for the next one.
	late := 0
	r.cache.ReadFresh(func(bool) { late++ })
	r.cache.OnChanges(2*units.Second, r.sent[0].(Watch), store.OK, 6, nil, false)
	if slices.ContainsFunc(succeeded, func(n int) bool { return n != 1 }) || failed != 1 || late != 0 {
		t.Errorf("successes of the waiting requests: %v; failures beyond the limit: %d; calls of the late request: %d", succeeded, failed, late)
	}
}
