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

// stored is a value that was put at a time.
type stored struct {
	at units.Microseconds
	store.Event
}

// copying is a service and the copy of its keys, with requests on the way between them.
type copying struct {
	service *service
	reader  *reader
	now     units.Microseconds
	back    bool     // the service may go back behind its answers
	old     *service // the service as it was some time ago
	puts    []stored
	changes int
}

func newCopying(t *rapid.T) *copying {
	c := &copying{service: &service{rev: 5, keys: map[string]store.Event{}}, reader: &reader{has: map[string]string{}}, now: units.Second}
	c.reader.m = New(Config{Size: 1, Rate: 100, Fresh: 2 * units.Second}, c.reader)
	c.back = rapid.Bool().Draw(t, "goes_back")
	return c
}

// answer answers one of the requests on the way.
func (c *copying) answer(i int, outcome store.Outcome) {
	request := c.reader.sent[i]
	c.reader.sent = slices.Delete(c.reader.sent, i, i+1)
	switch request := request.(type) {
	case List:
		items, more := c.service.list(request.After, 3)
		if outcome != store.OK {
			items = nil
		}
		c.reader.m.OnList(c.now, request, outcome, c.service.rev, items, more)
	case Watch:
		c.answerWatch(request, outcome)
	}
}

func (c *copying) answerWatch(request Watch, outcome store.Outcome) {
	changes := c.service.changes
	gone := outcome == store.OK && c.service.rev > request.After && (len(changes) == 0 || changes[0].Stamp > request.After+1)
	var events []store.Event
	for _, change := range changes {
		if change.Stamp > request.After && !gone {
			events = append(events, change)
		}
	}
	if gone {
		outcome = store.Failed
	}
	c.reader.m.OnChanges(c.now, request, outcome, c.service.rev, events, gone)
}

// answerAll answers all requests, those too that the answers cause.
func (c *copying) answerAll() {
	for len(c.reader.sent) > 0 {
		c.answer(0, store.OK)
	}
}

func (c *copying) step(d units.Microseconds) {
	c.now += d
	c.reader.m.Tick(c.now, c.now)
	c.reader.m.Pump(c.now)
}

func (c *copying) same() bool {
	differs := func(e store.Event) bool { return c.reader.has[e.Key] != string(e.Value) }
	return len(c.reader.has) == len(c.service.keys) && !slices.ContainsFunc(slices.Collect(maps.Values(c.service.keys)), differs)
}

func (c *copying) change(t *rapid.T) {
	key := fmt.Sprintf("k%d", rapid.IntRange(0, 12).Draw(t, "key"))
	c.changes++
	if value := json.RawMessage(fmt.Sprint(c.changes)); rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
		c.service.put(key, value)
		c.puts = append(c.puts, stored{c.now, c.service.keys[key]})
	} else if _, there := c.service.keys[key]; there {
		c.service.put(key, nil)
	}
	if len(c.service.changes) > remembered {
		c.service.changes = c.service.changes[1:]
	}
}

func (c *copying) answerOne(t *rapid.T) {
	if len(c.reader.sent) > 0 {
		c.answer(rapid.IntRange(0, len(c.reader.sent)-1).Draw(t, "which"), rapid.SampledFrom([]store.Outcome{store.OK, store.OK, store.OK, store.Refused, store.Unknown, store.Limited}).Draw(t, "outcome"))
	}
}

// read asks for a read that has to show what is stored by now.
func (c *copying) read(t *rapid.T) {
	want := maps.Clone(c.service.keys)
	cache := c.reader.m
	cache.ReadFresh(func(ok bool) {
		for key, e := range want {
			if ok && !c.back && cache.Version(key) < e.Stamp && c.service.keys[key].Stamp == e.Stamp {
				t.Fatalf("a read shows %s as of %d, it was stored at %d before", key, cache.Version(key), e.Stamp)
			}
		}
	})
}

// asOf checks that what the copy claims to show, it shows, whatever other requests were answered.
func (c *copying) asOf(t *rapid.T) {
	cache := c.reader.m
	for _, put := range c.puts {
		if !c.back && put.at < cache.AsOf() && c.service.keys[put.Key].Stamp == put.Stamp && cache.Version(put.Key) < put.Stamp {
			t.Fatalf("at %d the copy is as of %d, and lacks %s, which was stored at %d", c.now, cache.AsOf(), put.Key, put.at)
		}
	}
}

func (c *copying) remember(*rapid.T) {
	c.old = &service{c.service.rev, maps.Clone(c.service.keys), slices.Clone(c.service.changes)}
}

// goBack has the service go back behind what was told, as a loss that nobody has seen is nobody's;
// and it is asked at once, as one that is written over meanwhile is not noticed.
func (c *copying) goBack(t *rapid.T) {
	cache := c.reader.m
	if !c.back || c.old == nil || c.old.rev >= cache.HighestRevision() || !cache.Loaded() || len(c.reader.sent) > 0 {
		return
	}
	c.service, c.old = c.old, nil
	c.step(units.Second)
	for len(c.reader.sent) > 0 && !cache.Recovering() {
		c.answer(0, store.OK)
	}
	if !cache.Recovering() && cache.Loaded() {
		t.Fatal("nobody noticed that the service went back")
	}
}

// TestCopy has keys change while the copy is listed in pages, followed and read, with
// answers that are refused or never come, a service that remembers few changes and may go
// back behind its answers. A read that was told to have worked shows all that was stored
// before it was asked for, and in the end the copy is as the service is.
func TestCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newCopying(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":   model.change,
			"time":     func(t *rapid.T) { model.step(units.Microseconds(rapid.IntRange(1, 600).Draw(t, "ms")) * 1000) },
			"answer":   model.answerOne,
			"read":     model.read,
			"":         model.asOf,
			"remember": model.remember,
			"go back":  model.goBack,
		})
		for range 200 {
			model.step(units.Second / 10)
			model.answerAll()
		}
		cache := model.reader.m
		cache.ReadFresh(nil)
		for range 20 {
			model.step(units.Second / 10)
			model.answerAll()
		}
		if !cache.Loaded() || cache.Recovering() || !model.same() {
			t.Fatalf("loaded %v, recovering %v; the copy has %v, the service %v", cache.Loaded(), cache.Recovering(), model.reader.has, model.service.keys)
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
