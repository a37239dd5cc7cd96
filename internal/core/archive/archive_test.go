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

func genSummary(t *rapid.T) Summary {
	a := Summary{Status: jobs.Cancelled, Tasks: rapid.IntRange(0, jobs.MaxTasks).Draw(t, "tasks"),
		FinishedAt: units.Microseconds(rapid.Int64Range(0, 4e9).Draw(t, "ended")) * units.Second}
	if rapid.Bool().Draw(t, "done") {
		a.Status = jobs.Done
	}
	return a
}

// TestBucketRoundTrip guards against a bucket that decodes differently from what was encoded, and against a
// split that loses a job, exceeds the size limit or puts a job into a bucket where a lookup does not find it.
func TestBucketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Bucket{Jobs: map[uint64]Summary{}}
		for range rapid.IntRange(0, 400).Draw(t, "jobs") {
			b.Jobs[rapid.Uint64Range(0, 999_999_999_999_999_999).Draw(t, "number")] = genSummary(t)
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
				t.Fatalf("piece has %d bytes, limit %d", len(v), limit)
			}
			if _, err := Decode(Key(p.Number), v); err != nil { // also checks that each job is in its bucket
				t.Fatal(err)
			}
			for n := range p.Jobs {
				delete(left, n)
			}
		}
		if pieces != nil && len(left) > 0 {
			t.Fatalf("%d jobs are missing in the pieces", len(left))
		}
	})
}

// TestDecodeMalformedBucket guards against a decoder that panics on a malformed value or accepts a bucket
// that cannot be encoded and decoded again. The values are valid ones with up to four changed bytes.
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
			t.Fatalf("%s is decoded, but not after it was encoded again: %v", value, err)
		}
	})
}

// service is a state service. Requests to it may be delayed.
type service struct {
	keys map[string]store.Event
	log  []store.Event
	rev  uint64
}

// commit commits a transaction if its guards hold, and reports whether they did.
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
	jobPrefix = "shalestage/job/"
	markKey   = "shalestage/past"
)

// archiveModel is the model of TestConcurrentArchiving: a service, and controllers that all accept and
// archive jobs.
type archiveModel struct {
	t         *rapid.T
	s         *service
	now       units.Microseconds
	nodes     []*controller
	accepted  map[string]bool
	finished  map[string]Summary // summaries of finished jobs
	inTransit []*txn             // sent and not yet committed or dropped
	value     int                // limit of a value in bytes
}

type txn struct {
	w         *store.Write
	accept    string // the job that it accepts
	abandoned bool   // its sender no longer waits for the outcome
}

// controller has a copy of the job records as of its last sync.
type controller struct {
	m              *archiveModel
	index          *Index
	archiver       *Archiver
	jobs           map[string]store.Event
	rev            uint64
	reads          []*pending
	incarnation    int
	skippedResidue uint64
}

func (m *archiveModel) start(c *controller) {
	c.index = New()
	c.archiver = NewArchiver(c.index)
	c.jobs, c.reads, c.rev = map[string]store.Event{}, nil, m.s.rev
	c.incarnation++
	for _, k := range slices.Sorted(maps.Keys(m.s.keys)) {
		c.apply(m.s.keys[k])
	}
}

func (c *controller) apply(event store.Event) {
	if event.Key == markKey {
		if err := c.index.ApplyMark(event.Value, event.Stamp); err != nil {
			c.m.t.Fatal(err)
		}
	}
	id, ok := strings.CutPrefix(event.Key, jobPrefix)
	if !ok {
		return
	}
	if event.Value == nil {
		delete(c.jobs, id)
		c.index.NoteArchived(id)
		c.archiver.RecordRemoved(id)
		return
	}
	c.jobs[id] = event
	if string(event.Value) != "1" {
		c.archiver.JobFinalized(c.m.now, id)
	}
}

func (c *controller) sync() {
	for _, e := range c.m.s.log {
		if e.Stamp > c.rev {
			c.apply(e)
		}
	}
	c.rev = c.m.s.rev
}

func (c *controller) Candidate(id string, cutoff uint64) (Candidate, bool) {
	event, ok := c.jobs[id]
	if !ok || string(event.Value) == "1" {
		return Candidate{}, false
	}
	var a Summary
	if json.Unmarshal(event.Value, &a) != nil {
		c.m.t.Fatal("invalid summary")
	}
	n, err := jobNumber(id)
	if err != nil {
		c.m.t.Fatal(err)
	}
	// Each controller considers a different third of the jobs not ready to be archived.
	return Candidate{Summary: a, Key: event.Key, Version: event.Stamp}, event.Stamp < cutoff && n%3 != c.skippedResidue
}

// pump sends the reads that are due. Each is carried out and answered at later times.
func (c *controller) pump() {
	model, index, incarnation := c.m, c.index, c.incarnation
	for _, r := range index.Next(model.now, 50) {
		var e store.Event
		c.reads = append(c.reads, &pending{run: func() { e = model.s.keys[r.Key] }, respond: func() {
			if err := index.OnRead(model.now, r, store.OK, e.Value, e.Stamp); err != nil && c.incarnation == incarnation {
				model.t.Fatal(err)
			}
		}})
	}
	if scan := index.NextScan(model.now, 1); scan != nil {
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
		}, respond: func() { index.OnScan(model.now, *scan, store.OK, items, more) }})
	}
}

// pending is a read that is carried out (run) and answered (respond) at different times.
type pending struct {
	run, respond func()
	ran          bool
}

// accept submits a job to a controller, following the same steps as package core.
func (c *controller) accept(id string) {
	_, stamp := c.index.Mark()
	if _, known := c.jobs[id]; known || c.rev < stamp {
		return
	}
	incarnation := c.incarnation
	c.index.Lookup(id, true, func(v LookupResult, a Summary) {
		if v == Found {
			c.checkSummary(id, a)
		}
		if _, known := c.jobs[id]; v != Absent || known || incarnation != c.incarnation {
			return
		}
		c.m.inTransit = append(c.m.inTransit, &txn{accept: id, w: &store.Write{
			Guards:  []store.Guard{{Key: jobPrefix + id}, {Key: markKey, Version: stamp}},
			Changes: []store.Change{{Key: jobPrefix + id, Value: json.RawMessage("1")}}}})
	})
}

func (c *controller) checkSummary(id string, a Summary) {
	if want, ok := c.m.finished[id]; !ok || a != want {
		c.m.t.Fatalf("%s: lookup returned %+v, want %+v (finished: %v)", id, a, want, ok)
	}
}

// poll queries a job: first in the controller's copy, then in the archive.
func (c *controller) poll(id string) {
	c.sync()
	if _, known := c.jobs[id]; known {
		return
	}
	before := c.m.accepted[id]
	c.index.Lookup(id, false, func(v LookupResult, a Summary) {
		if v == Found {
			c.checkSummary(id, a)
		}
		if v == Absent && before {
			c.m.t.Fatalf("%s was accepted, but its lookup reports it absent", id)
		}
	})
}

// raiseCutoff lets a controller raise the cutoff.
func (c *controller) raiseCutoff() {
	old, stamp := c.index.Mark()
	c.m.inTransit = append(c.m.inTransit, &txn{w: &store.Write{Guards: []store.Guard{{Key: markKey, Version: stamp}},
		Changes: []store.Change{{Key: markKey, Value: store.Value(Mark{Release: 4, Cutoff: max(old.Cutoff, c.rev+1)})}}}})
}

// archive runs one step of a controller's archiver.
func (c *controller) archive(ops int) {
	mark, stamp := c.index.Mark()
	if mark.Cutoff == 0 || c.rev < stamp {
		return
	}
	m := c.m
	m.now += units.Second
	limits := Limits{ValueBytes: m.value, TxnOps: ops, TxnBytes: 10_000}
	c.archiver.Step(m.now, units.Second, c, limits, func(w *store.Write) bool {
		if len(w.Changes) > limits.TxnOps {
			m.t.Fatalf("%d changes, limit %d", len(w.Changes), limits.TxnOps)
		}
		for _, ch := range w.Changes {
			if len(ch.Value) > limits.ValueBytes {
				m.t.Fatalf("%d bytes, limit %d", len(ch.Value), limits.ValueBytes)
			}
		}
		m.inTransit = append(m.inTransit, &txn{w: w})
		return true
	})
}

func (m *archiveModel) finishTxn(i int, answered bool) {
	sent := m.inTransit[i]
	m.inTransit = slices.Delete(m.inTransit, i, i+1)
	ok := m.s.commit(sent.w)
	if ok && sent.accept != "" {
		if m.accepted[sent.accept] {
			m.t.Fatalf("%s was accepted a second time", sent.accept)
		}
		m.accepted[sent.accept] = true
	}
	if sent.w.Done != nil && !sent.abandoned && answered {
		sent.abandoned = true
		if ok {
			sent.w.Done(store.OK, m.s.rev)
		} else {
			sent.w.Done(store.Failed, 0)
		}
	}
}

// finishSome finishes some of the accepted jobs.
func (m *archiveModel) finishSome(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.accepted)) {
		if _, done := m.finished[id]; !done && rapid.Bool().Draw(t, "ends") {
			m.finished[id] = genSummary(t)
			m.s.commit(&store.Write{Changes: []store.Change{{Key: jobPrefix + id, Value: store.Value(m.finished[id])}}})
		}
	}
}

// loseAnswers completes some transactions in transit with an unknown outcome.
func (m *archiveModel) loseAnswers(t *rapid.T) {
	for _, sent := range m.inTransit {
		if sent.w.Done != nil && !sent.abandoned && rapid.Bool().Draw(t, "no answer") {
			sent.abandoned = true
			sent.w.Done(store.Unknown, 0)
		}
	}
}

// answerSome carries out some reads, and answers some that were carried out before.
func (c *controller) answerSome(t *rapid.T) {
	for _, p := range slices.Clone(c.reads) {
		switch {
		case rapid.Bool().Draw(t, "later"):
		case p.ran:
			c.reads = slices.DeleteFunc(c.reads, func(q *pending) bool { return q == p })
			p.respond()
		default:
			p.run()
			p.ran = true
		}
	}
}

// runPromptly runs several rounds in which reads are answered and most transactions committed without delay.
func (c *controller) runPromptly(t *rapid.T) {
	for range 4 {
		c.sync()
		c.raiseCutoff()
		c.archive(8)
		c.pump()
		for len(c.reads) > 0 {
			p := c.reads[0]
			c.reads = c.reads[1:]
			if !p.ran {
				p.run()
			}
			p.respond()
		}
		for i := len(c.m.inTransit) - 1; i >= 0; i-- { // a few stay in transit
			if rapid.IntRange(0, 7).Draw(t, "late") > 0 {
				c.m.finishTxn(i, true)
			}
		}
	}
}

// checkAllJobs checks that every accepted job either has its record or is in exactly one bucket with its
// summary.
func (m *archiveModel) checkAllJobs() {
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
		_, exists := m.s.keys[jobPrefix+id]
		n := 0
		for _, b := range buckets {
			if a, ok := b.Find(id); ok {
				n++
				if a != m.finished[id] {
					m.t.Fatalf("%s is archived as %+v", id, a)
				}
			}
		}
		if exists && n > 0 || !exists && n != 1 {
			m.t.Fatalf("%s: its record exists: %v; archived in %d buckets", id, exists, n)
		}
	}
}

// TestConcurrentArchiving guards against an accepted job that is lost or stored twice, an id that is accepted
// twice, and an accepted job that a lookup reports absent. Two controllers accept, finish, archive and look
// up the same jobs concurrently. Transactions and responses are delayed or lost, controllers restart between
// any two steps, and the limit of the value size is reduced.
func TestConcurrentArchiving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &archiveModel{t: t, s: &service{keys: map[string]store.Event{}}, accepted: map[string]bool{}, finished: map[string]Summary{}, value: 140}
		for i := range uint64(2) {
			c := &controller{m: model, skippedResidue: i}
			model.start(c)
			model.nodes = append(model.nodes, c)
		}
		node := func(t *rapid.T) *controller {
			return model.nodes[rapid.IntRange(0, len(model.nodes)-1).Draw(t, "node")]
		}
		step := 0
		// Users submit the newest ids repeatedly and poll all ids.
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
			"mark": func(t *rapid.T) { node(t).raiseCutoff() },
			"pack": func(t *rapid.T) { node(t).archive(rapid.IntRange(3, 8).Draw(t, "ops")) },
			"commit": func(t *rapid.T) {
				if len(model.inTransit) == 0 {
					return
				}
				model.finishTxn(rapid.IntRange(0, len(model.inTransit)-1).Draw(t, "which"), rapid.Bool().Draw(t, "answered"))
			},
			"unknown": model.loseAnswers,
			"answer":  func(t *rapid.T) { node(t).answerSome(t) },
			"read":    func(t *rapid.T) { model.now += units.Second; node(t).pump() },
			"sync":    func(t *rapid.T) { node(t).sync() },
			"calm":    func(t *rapid.T) { node(t).runPromptly(t) },
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
		// Common actions are drawn more often than the others.
		often := []string{"accept", "end", "mark", "pack", "commit", "answer", "read", "sync"}
		names := slices.Concat(slices.Sorted(maps.Keys(actions)), often, often)
		for ; step < 500; step++ {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			model.checkAllJobs()
		}
	})
}

// TestLookupJoinsReadInFlight guards against an archived job that is accepted again: two
// lookups ask for it, the second after the read was sent, and the summary that the read found
// was not cached (rehearsals/old-jobs.toml, seed 49). Both lookups must find the job, and its
// summary must be cached afterwards.
func TestLookupJoinsReadInFlight(t *testing.T) {
	index := New()
	if err := index.ApplyMark(json.RawMessage(`{"release":4,"cut":9}`), 7); err != nil {
		t.Fatal(err)
	}
	index.Next(0, 100)
	found := 0
	ask := func() {
		index.Lookup("wk-000050", true, func(v LookupResult, a Summary) {
			if v == Found && a.Tasks == 3 {
				found++
			}
		})
	}
	ask()
	reads := index.Next(units.Second, 100)
	ask()
	index.cache.Purge() // simulates eviction by other summaries
	b := &Bucket{Jobs: map[uint64]Summary{50: {jobs.Done, 3, 0}}}
	for _, r := range reads {
		if err := index.OnRead(units.Second, r, store.OK, b.Encode(), 8); err != nil {
			t.Fatal(err)
		}
	}
	if _, known := index.CachedSummary("wk-000050"); found != 2 || !known {
		t.Errorf("%d of 2 lookups found the job; cached: %v", found, known)
	}
}
