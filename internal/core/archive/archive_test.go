package archive

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

func genAnswer(t *rapid.T) Summary {
	a := Summary{Status: jobs.Cancelled, Tasks: rapid.IntRange(0, jobs.MaxTasks).Draw(t, "tasks"),
		FinishedAt: units.Microseconds(rapid.Int64Range(0, 4e9).Draw(t, "ended")) * units.Second}
	if rapid.Bool().Draw(t, "done") {
		a.Status = jobs.Done
	}
	return a
}

// What is written of a bucket is read again as it was, and its pieces hold each job
// once, within the limit, where a look-up goes.
func TestBucketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bucket{Jobs: map[uint64]Summary{}}
		for range rapid.IntRange(0, 400).Draw(t, "jobs") {
			b.Jobs[rapid.Uint64Range(0, 999_999_999_999_999_999).Draw(t, "number")] = genAnswer(t)
		}
		back, err := Decode(Key(0), b.Encode())
		if err != nil || !maps.Equal(back.Jobs, b.Jobs) {
			t.Fatalf("%v: %s", err, b.Encode())
		}
		limit := rapid.IntRange(200, 4096).Draw(t, "limit")
		pieces := b.splitToFit(limit, 64)
		left := maps.Clone(b.Jobs)
		for _, p := range pieces {
			v := p.Encode()
			if len(v) > limit {
				t.Fatalf("%d bytes of %d", len(v), limit)
			}
			if _, err := Decode(Key(p.Number), v); err != nil { // also checks that each is where it belongs
				t.Fatal(err)
			}
			for n := range p.Jobs {
				delete(left, n)
			}
		}
		if pieces != nil && len(left) > 0 {
			t.Fatalf("%d jobs are in no piece", len(left))
		}
	})
}

// Whatever stands at a bucket's key is read or refused, and what is read can be
// written and read again.
func TestDecodeMalformedBucket(t *testing.T) {
	good := (&Bucket{Jobs: map[uint64]Summary{1: {jobs.Done, 3, units.Second}, 17: {jobs.Cancelled, 1, 0}}}).Encode()
	rapid.Check(t, func(t *rapid.T) {
		value := []byte(slices.Clone(good))
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			i := rapid.IntRange(0, len(value)-1).Draw(t, "at")
			value[i] = rapid.SampledFrom([]byte(`0123456789abz+-@ ",:{}`)).Draw(t, "byte")
		}
		b, err := Decode(Key(0), value)
		if err != nil {
			return
		}
		if again, err := Decode(Key(0), b.Encode()); err != nil || !maps.Equal(again.Jobs, b.Jobs) {
			t.Fatalf("%s is read, and then not: %v", value, err)
		}
	})
}

// service is a state service in which everything may come late.
type service struct {
	keys map[string]store.Event
	log  []store.Event
	rev  uint64
}

// commit carries a transaction out and reports whether its guards held.
func (s *service) commit(w *store.Write) bool {
	for _, g := range w.Guards {
		if s.keys[g.Key].Stamp != g.Version {
			return false
		}
	}
	s.rev++
	for _, c := range w.Changes {
		e := store.Event{Key: c.Key, Value: c.Value, Stamp: s.rev}
		if c.Value == nil {
			if _, ok := s.keys[c.Key]; !ok {
				continue
			}
			delete(s.keys, c.Key)
		} else {
			s.keys[c.Key] = e
		}
		s.log = append(s.log, e)
	}
	return true
}

const (
	jobAt  = "shalestage/job/"
	markAt = "shalestage/past"
)

// machine is the world of the state machine test: a service, and controllers that
// all accept and pack.
type machine struct {
	t        *rapid.T
	s        *service
	now      units.Microseconds
	nodes    []*controller
	accepted map[string]bool
	ended    map[string]Summary
	late     []*txn
	value    int
}

type txn struct {
	w      *store.Write
	accept string // the job that it accepts
	lost   bool   // its sender waits no more
}

// controller has a copy of the keys, made of what it has synced.
type controller struct {
	m      *machine
	past   *Index
	packer *Archiver
	jobs   map[string]store.Event
	rev    uint64
	reads  []*pending
	life   int
	spares uint64
}

func (m *machine) start(c *controller) {
	c.past = New()
	c.packer = NewArchiver(c.past)
	c.jobs, c.reads, c.rev = map[string]store.Event{}, nil, m.s.rev
	c.life++
	for _, k := range slices.Sorted(maps.Keys(m.s.keys)) {
		c.learn(m.s.keys[k])
	}
}

func (c *controller) learn(event store.Event) {
	if event.Key == markAt {
		if err := c.past.ApplyMark(event.Value, event.Stamp); err != nil {
			c.m.t.Fatal(err)
		}
	}
	id, ok := strings.CutPrefix(event.Key, jobAt)
	if !ok {
		return
	}
	if event.Value == nil {
		delete(c.jobs, id)
		c.past.NoteArchived(id)
		c.packer.RecordRemoved(id)
		return
	}
	c.jobs[id] = event
	if string(event.Value) != "1" {
		c.packer.JobFinalized(c.m.now, id)
	}
}

func (c *controller) sync() {
	for _, e := range c.m.s.log {
		if e.Stamp > c.rev {
			c.learn(e)
		}
	}
	c.rev = c.m.s.rev
}

func (c *controller) Candidate(id string, cut uint64) (Candidate, bool) {
	event, ok := c.jobs[id]
	if !ok || string(event.Value) == "1" {
		return Candidate{}, false
	}
	var a Summary
	if json.Unmarshal(event.Value, &a) != nil {
		c.m.t.Fatal("unreadable")
	}
	n, err := jobNumber(id)
	if err != nil {
		c.m.t.Fatal(err)
	}
	// Each has some of which it thinks that something may still run.
	return Candidate{Summary: a, Key: event.Key, Version: event.Stamp}, event.Stamp < cut && n%3 != c.spares
}

// pump turns reads that are due into answers that may come at any later time.
func (c *controller) pump() {
	model, past, life := c.m, c.past, c.life
	for _, r := range past.Next(model.now, 50) {
		var e store.Event
		c.reads = append(c.reads, &pending{run: func() { e = model.s.keys[r.Key] }, tell: func() {
			if err := past.OnRead(model.now, r, store.OK, e.Value, e.Stamp); err != nil && c.life == life {
				model.t.Fatal(err)
			}
		}})
	}
	if scan := past.NextScan(model.now, 1); scan != nil {
		var items []store.Event
		more := false
		c.reads = append(c.reads, &pending{run: func() {
			for _, k := range slices.Sorted(maps.Keys(model.s.keys)) {
				if strings.HasPrefix(k, Prefix) && k > scan.After {
					if len(items) == 2 {
						more = true
						break
					}
					items = append(items, model.s.keys[k])
				}
			}
		}, tell: func() { past.OnScan(model.now, *scan, store.OK, items, more) }})
	}
}

// pending is a read that is carried out at one time and answered at a later one.
type pending struct {
	run, tell func()
	ran       bool
}

// accept asks a controller for a job, as the core does.
func (c *controller) accept(id string) {
	_, stamp := c.past.Mark()
	if _, known := c.jobs[id]; known || c.rev < stamp {
		return
	}
	life := c.life
	c.past.Lookup(id, true, func(v LookupResult, a Summary) {
		if v == Found {
			c.check(id, a)
		}
		if _, known := c.jobs[id]; v != Absent || known || life != c.life {
			return
		}
		c.m.late = append(c.m.late, &txn{accept: id, w: &store.Write{
			Guards:  []store.Guard{{Key: jobAt + id}, {Key: markAt, Version: stamp}},
			Changes: []store.Change{{Key: jobAt + id, Value: json.RawMessage("1")}}}})
	})
}

func (c *controller) check(id string, a Summary) {
	if want, ok := c.m.ended[id]; !ok || a != want {
		c.m.t.Fatalf("%s: told %+v, is %+v (%v)", id, a, want, ok)
	}
}

// poll asks a controller for a job: the copy first, and then what is packed.
func (c *controller) poll(id string) {
	c.sync()
	if _, known := c.jobs[id]; known {
		return
	}
	before := c.m.accepted[id]
	c.past.Lookup(id, false, func(v LookupResult, a Summary) {
		if v == Found {
			c.check(id, a)
		}
		if v == Absent && before {
			c.m.t.Fatalf("%s was accepted, and is called unknown", id)
		}
	})
}

// mark has a controller raise the cut.
func (c *controller) mark() {
	old, stamp := c.past.Mark()
	c.m.late = append(c.m.late, &txn{w: &store.Write{Guards: []store.Guard{{Key: markAt, Version: stamp}},
		Changes: []store.Change{{Key: markAt, Value: store.Value(Mark{Release: 4, Cutoff: max(old.Cutoff, c.rev+1)})}}}})
}

// pack has a controller pack what it can, one step further.
func (c *controller) pack(ops int) {
	mark, stamp := c.past.Mark()
	if mark.Cutoff == 0 || c.rev < stamp {
		return
	}
	m := c.m
	m.now += units.Second
	lim := Limits{ValueBytes: m.value, TxnOps: ops, TxnBytes: 10_000}
	c.packer.Step(m.now, units.Second, c, lim, func(w *store.Write) bool {
		if len(w.Changes) > lim.TxnOps {
			m.t.Fatalf("%d changes of %d", len(w.Changes), lim.TxnOps)
		}
		for _, ch := range w.Changes {
			if len(ch.Value) > lim.ValueBytes {
				m.t.Fatalf("%d bytes of %d", len(ch.Value), lim.ValueBytes)
			}
		}
		m.late = append(m.late, &txn{w: w})
		return true
	})
}

func (m *machine) carryOut(i int, answered bool) {
	sent := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	ok := m.s.commit(sent.w)
	if ok && sent.accept != "" {
		if m.accepted[sent.accept] {
			m.t.Fatalf("%s is accepted a second time", sent.accept)
		}
		m.accepted[sent.accept] = true
	}
	if sent.w.Done != nil && !sent.lost && answered {
		sent.lost = true
		if ok {
			sent.w.Done(store.OK, m.s.rev)
		} else {
			sent.w.Done(store.Failed, 0)
		}
	}
}

// finishSome ends some of the jobs that are accepted.
func (m *machine) finishSome(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.accepted)) {
		if _, over := m.ended[id]; !over && rapid.Bool().Draw(t, "ends") {
			m.ended[id] = genAnswer(t)
			m.s.commit(&store.Write{Changes: []store.Change{{Key: jobAt + id, Value: store.Value(m.ended[id])}}})
		}
	}
}

// loseAnswers tells some senders that the outcome of what is under way is not known.
func (m *machine) loseAnswers(t *rapid.T) {
	for _, sent := range m.late {
		if sent.w.Done != nil && !sent.lost && rapid.Bool().Draw(t, "no answer") {
			sent.lost = true
			sent.w.Done(store.Unknown, 0)
		}
	}
}

// answerSome carries some reads out, and answers some of those that were.
func (c *controller) answerSome(t *rapid.T) {
	for _, p := range slices.Clone(c.reads) {
		switch {
		case rapid.Bool().Draw(t, "later"):
		case p.ran:
			c.reads = slices.DeleteFunc(c.reads, func(q *pending) bool { return q == p })
			p.tell()
		default:
			p.run()
			p.ran = true
		}
	}
}

// calm is a while in which everything is prompt.
func (c *controller) calm(t *rapid.T) {
	for range 4 {
		c.sync()
		c.mark()
		c.pack(8)
		c.pump()
		for len(c.reads) > 0 {
			p := c.reads[0]
			c.reads = c.reads[1:]
			if !p.ran {
				p.run()
			}
			p.tell()
		}
		for i := len(c.m.late) - 1; i >= 0; i-- { // but for some
			if rapid.IntRange(0, 7).Draw(t, "late") > 0 {
				c.m.carryOut(i, true)
			}
		}
	}
}

// whole checks that every accepted job is in one place, as it should be.
func (m *machine) whole() {
	buckets := map[uint32]*Bucket{}
	for k, e := range m.s.keys {
		if strings.HasPrefix(k, Prefix) {
			b, err := Decode(k, e.Value)
			if err != nil {
				m.t.Fatal(err)
			}
			buckets[b.Number] = b
		}
	}
	for id := range m.accepted {
		_, there := m.s.keys[jobAt+id]
		n := 0
		for _, b := range buckets {
			if a, ok := b.Find(id); ok {
				n++
				if a != m.ended[id] {
					m.t.Fatalf("%s is packed as %+v", id, a)
				}
			}
		}
		if there && n > 0 || !there && n != 1 {
			m.t.Fatalf("%s: its record is there: %v; packed in %d buckets", id, there, n)
		}
	}
}

// TestConcurrentArchiving has controllers accept, finish, pack and look up the same jobs, with
// transactions and answers that come at any later time or never, controllers that end
// and start between any two steps, all of them packing at once, and a limit that
// falls. Every accepted job is always in exactly one place, no id is accepted twice,
// and no accepted one is called unknown.
func TestConcurrentArchiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &machine{t: t, s: &service{keys: map[string]store.Event{}}, accepted: map[string]bool{}, ended: map[string]Summary{}, value: 140}
		for i := range uint64(2) {
			c := &controller{m: model, spares: i}
			model.start(c)
			model.nodes = append(model.nodes, c)
		}
		node := func(t *rapid.T) *controller {
			return model.nodes[rapid.IntRange(0, len(model.nodes)-1).Draw(t, "node")]
		}
		step := 0
		// Users submit a few new jobs again and again, and poll any.
		fresh := func(t *rapid.T) string { return fmt.Sprintf("wk-%06d", step/20+rapid.IntRange(0, 5).Draw(t, "id")) }
		any := func(t *rapid.T) string { return fmt.Sprintf("wk-%06d", rapid.IntRange(0, step/20+5).Draw(t, "id")) }
		actions := map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				c := node(t)
				for range 4 {
					c.accept(fresh(t))
				}
			},
			"poll": func(t *rapid.T) {
				c := node(t)
				for range 3 {
					c.poll(any(t))
				}
			},
			"end":  model.finishSome,
			"mark": func(t *rapid.T) { node(t).mark() },
			"pack": func(t *rapid.T) { node(t).pack(rapid.IntRange(3, 8).Draw(t, "ops")) },
			"commit": func(t *rapid.T) {
				if len(model.late) == 0 {
					return
				}
				model.carryOut(rapid.IntRange(0, len(model.late)-1).Draw(t, "which"), rapid.Bool().Draw(t, "answered"))
			},
			"unknown": model.loseAnswers,
			"answer":  func(t *rapid.T) { node(t).answerSome(t) },
			"read":    func(t *rapid.T) { model.now += units.Second; node(t).pump() },
			"sync":    func(t *rapid.T) { node(t).sync() },
			"calm":    func(t *rapid.T) { node(t).calm(t) },
			"crash": func(t *rapid.T) {
				if c := node(t); rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					model.start(c)
				}
			},
			"limit falls": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					model.value = 90
				}
			},
		}
		// Time passes and work goes on between the rarer events.
		often := []string{"accept", "end", "mark", "pack", "commit", "answer", "read", "sync"}
		names := slices.Concat(slices.Sorted(maps.Keys(actions)), often, often)
		for ; step < 500; step++ {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			model.whole()
		}
	})
}

// TestLookupJoinsReadInFlight has two ask for the same old job, the second after the read
// was sent. Both are answered by it, and the answer is at hand from then on: it was
// not, and the second's job was accepted once more (rehearsals/old-jobs.toml, seed 49).
func TestLookupJoinsReadInFlight(t *testing.T) {
	index := New()
	if err := index.ApplyMark(json.RawMessage(`{"release":4,"cut":9}`), 7); err != nil {
		t.Fatal(err)
	}
	index.Next(0, 100)
	told := 0
	ask := func() {
		index.Lookup("wk-000050", true, func(v LookupResult, a Summary) {
			if v == Found && a.Tasks == 3 {
				told++
			}
		})
	}
	ask()
	reads := index.Next(units.Second, 100)
	ask()
	index.cache.Purge() // as if others' answers had come in between
	b := &Bucket{Jobs: map[uint64]Summary{50: {jobs.Done, 3, 0}}}
	for _, r := range reads {
		if err := index.OnRead(units.Second, r, store.OK, b.Encode(), 8); err != nil {
			t.Fatal(err)
		}
	}
	if _, known := index.CachedSummary("wk-000050"); told != 2 || !known {
		t.Errorf("%d of 2 were told; at hand: %v", told, known)
	}
}
