package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// service is a state service that keeps every change.
type service struct {
	t      fatal
	rev    uint64
	keys   map[string]store.Event
	log    [][]store.Event    // by transaction
	truth  map[uint64]Content // of each version, as it was first stored
	ids    map[string]uint64  // version of each change
	ops    int
	value  int
	writes int
}

type fatal interface{ Fatalf(string, ...any) }

func newService(t fatal, ops, value int) *service {
	return &service{t: t, keys: map[string]store.Event{}, truth: map[uint64]Content{}, ids: map[string]uint64{}, ops: ops, value: value}
}

// commit carries a write out, and reports whether its guards held.
func (s *service) commit(w *store.Write) bool {
	if len(w.Changes) > s.ops || len(w.Guards) > 4*s.ops || len(w.Changes) == 0 {
		s.t.Fatalf("a transaction of %d changes and %d guards", len(w.Changes), len(w.Guards))
	}
	for _, g := range w.Guards {
		if s.keys[g.Key].Stamp != g.Version {
			return false
		}
	}
	s.rev++
	s.writes += len(w.Changes)
	var events []store.Event
	for _, ch := range w.Changes {
		if len(ch.Value) > s.value {
			s.t.Fatalf("%s has %d bytes", ch.Key, len(ch.Value))
		}
		e := store.Event{Key: ch.Key, Value: ch.Value, Stamp: s.rev}
		if ch.Value == nil {
			if _, ok := s.keys[ch.Key]; !ok {
				continue
			}
			delete(s.keys, ch.Key)
		} else {
			s.keys[ch.Key] = e
		}
		events = append(events, e)
	}
	s.log = append(s.log, events)
	s.look()
	return true
}

// look checks that the stored version is whole, and is the one that it was when first stored.
func (s *service) look() {
	e, ok := s.keys[HeadKey]
	if !ok {
		return
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		s.t.Fatalf("%v", err)
	}
	v, c := Stored(func(key string) json.RawMessage { return s.keys[key].Value })
	if v != h.Version {
		s.t.Fatalf("version %d is stored without all of its chunks", h.Version)
	}
	if err := c.Check(); err != nil {
		s.t.Fatalf("version %d: %v", v, err)
	}
	if before, ok := s.truth[v]; ok && !before.equal(c) {
		s.t.Fatalf("version %d was %v, and is %v", v, before, c)
	}
	for w := range s.truth {
		if w > v {
			s.t.Fatalf("version %d is stored after %d", v, w)
		}
	}
	if before, ok := s.ids[h.ID]; ok && before != v {
		s.t.Fatalf("the change %s is stored as versions %d and %d", h.ID, before, v)
	}
	s.truth[v], s.ids[h.ID] = c, v
}

// member is a controller's book with its copy of the keys.
type member struct {
	*Versions
	name    string
	service *service
	stamps  map[string]uint64
	seen    int // transactions of the service's log
	now     units.Microseconds
	queue   []*store.Write
	reads   []func(bool)
	answers map[uint64]Answer
	busy    map[string]bool
	adopted uint64
	number  uint64
}

func initial(teams int) Content {
	var c Content
	for i := range teams {
		c.Teams = append(c.Teams, Team{Name: fmt.Sprintf("team-%03d", i), Guarantee: binpack.Vec{1000}, Limit: binpack.Vec{50_000, 4000}})
	}
	c.Objectives = []Objective{{Kind: "wait", Class: "x", Within: 5 * units.Second}, {Kind: "finished", Class: "y", Within: 60 * units.Second, Share: 0.9}}
	return c
}

func newMember(s *service, name string, peers []string, teams int) *member {
	m := &member{name: name, service: s, answers: map[uint64]Answer{}, busy: map[string]bool{}}
	m.start(peers, teams)
	return m
}

// start begins the process anew, with a copy as the service has it.
func (m *member) start(peers []string, teams int) {
	m.stamps, m.queue, m.reads, m.adopted = map[string]uint64{}, nil, nil, 0
	m.Versions = New(Config{Node: m.name, Initial: initial(teams), Peers: peers, ValueMax: m.service.value, TxnOps: m.service.ops, Bound: 20 * units.Second}, m)
	m.seen = len(m.service.log)
	for _, k := range slices.Sorted(maps.Keys(m.service.keys)) {
		m.learn(m.service.keys[k])
	}
}

func (m *member) learn(e store.Event) {
	if e.Stamp <= m.stamps[e.Key] {
		return
	}
	m.stamps[e.Key] = e.Stamp
	if e.Value == nil {
		delete(m.stamps, e.Key)
	}
	before := m.Version()
	if err := m.Learn(m.now, e); err != nil {
		m.service.t.Fatalf("%s: %v", e.Key, err)
	}
	if m.Version() < before {
		m.service.t.Fatalf("%s went back from version %d to %d", m.name, before, m.Version())
	}
	if want, ok := m.service.truth[m.Version()]; m.Version() > 0 && (!ok || !want.equal(m.Content())) {
		m.service.t.Fatalf("%s goes by a version %d that was never stored so", m.name, m.Version())
	}
}

// watch takes the next transactions of the log.
func (m *member) watch(n int) {
	for ; n > 0 && m.seen < len(m.service.log); n-- {
		for _, e := range m.service.log[m.seen] {
			m.learn(e)
		}
		m.seen++
	}
}

// read ends the reads under way.
func (m *member) read(ok bool) {
	list := m.reads
	m.reads = nil
	if ok {
		m.watch(len(m.service.log))
	}
	for _, f := range list {
		f(ok)
	}
}

// send carries the first queued write out, if there is one.
func (m *member) send() (*store.Write, bool) {
	if len(m.queue) == 0 {
		return nil, false
	}
	w := m.queue[0]
	m.queue = m.queue[1:]
	return w, true
}

// finish tells a write's outcome.
func (m *member) finish(w *store.Write, done bool) {
	if !done {
		w.Done(store.Failed, 0)
		return
	}
	for _, e := range m.service.log[len(m.service.log)-1] {
		if e.Value != nil {
			m.learn(e)
		}
	}
	w.Done(store.OK, m.service.rev)
}

func (m *member) change(r Request) uint64 {
	m.number++
	m.Change(m.now, m.now, m.number, r)
	return m.number
}

// settle lets everything that waits go well.
func (m *member) settle() {
	for range 200 {
		m.now += units.Second
		m.Tick(m.now, m.now, false)
		m.read(true)
		for w, ok := m.send(); ok; w, ok = m.send() {
			m.finish(w, m.service.commit(w))
		}
	}
	m.watch(len(m.service.log))
}

func (m *member) Store(w *store.Write) bool { m.queue = append(m.queue, w); return true }
func (m *member) Stamp(key string) uint64   { return m.stamps[key] }
func (m *member) Read(f func(bool))         { m.reads = append(m.reads, f) }
func (m *member) Current() bool             { return true }
func (m *member) Busy(team string) bool     { return m.busy[team] }
func (m *member) Adopted(Content)           { m.adopted++ }
func (m *member) Answered(n uint64, a Answer) {
	if _, twice := m.answers[n]; twice {
		m.service.t.Fatalf("%s: request %d is answered twice", m.name, n)
	}
	m.answers[n] = a
}

func limit(name string, cpus int64) TeamChange { return TeamChange{Name: name, LimitCPU: &cpus} }
