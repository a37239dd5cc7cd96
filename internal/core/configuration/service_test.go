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

// service is an in-memory state service that keeps a log of all changes and checks the stored configuration
// after each of them.
type service struct {
	t        fatal
	rev      uint64
	keys     map[string]store.Event
	log      [][]store.Event    // by transaction
	contents map[uint64]Content // of each version, as first stored
	ids      map[string]uint64  // the version that each batch of changes was stored as
	ops      int
	value    int
	writes   int
}

type fatal interface{ Fatalf(string, ...any) }

func newService(t fatal, ops, value int) *service {
	return &service{t: t, keys: map[string]store.Event{}, contents: map[uint64]Content{}, ids: map[string]uint64{}, ops: ops, value: value}
}

// commit commits a write unless one of its guards fails, and reports whether it did.
func (s *service) commit(w *store.Write) bool {
	if len(w.Changes) > s.ops || len(w.Guards) > 4*s.ops || len(w.Changes) == 0 {
		s.t.Fatalf("transaction has %d changes and %d guards", len(w.Changes), len(w.Guards))
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
			s.t.Fatalf("value of %s has %d bytes", ch.Key, len(ch.Value))
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
	s.checkStored()
	return true
}

// checkStored fails the test if the stored version is incomplete or invalid, differs from what was first stored
// as that version, or is older than another one.
func (s *service) checkStored() {
	e, ok := s.keys[HeadKey]
	if !ok {
		return
	}
	var head head
	if err := json.Unmarshal(e.Value, &head); err != nil {
		s.t.Fatalf("%v", err)
	}
	version, content := ReadStored(func(key string) json.RawMessage { return s.keys[key].Value })
	if version != head.Version {
		s.t.Fatalf("version %d is stored without all of its chunks", head.Version)
	}
	if err := content.Check(); err != nil {
		s.t.Fatalf("version %d: %v", version, err)
	}
	if before, ok := s.contents[version]; ok && !before.equal(content) {
		s.t.Fatalf("version %d changed from %v to %v", version, before, content)
	}
	for w := range s.contents {
		if w > version {
			s.t.Fatalf("version %d is stored after %d", version, w)
		}
	}
	if before, ok := s.ids[head.ID]; ok && before != version {
		s.t.Fatalf("change %s is stored as versions %d and %d", head.ID, before, version)
	}
	s.contents[version], s.ids[head.ID] = content, version
}

// member is a controller with its Manager, and implements its Host. Writes and reads wait until the test
// completes them.
type member struct {
	*Manager
	name    string
	service *service
	stamps  map[string]uint64 // of the keys in the watch cache
	seen    int               // number of transactions of the service's log that the watch has delivered
	now     units.Microseconds
	queue   []*store.Write
	reads   []func(bool)
	results map[uint64]Result
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

func newMember(service *service, name string, peers []string, teams int) *member {
	member := &member{name: name, service: service, results: map[uint64]Result{}, busy: map[string]bool{}}
	member.start(peers, teams)
	return member
}

// start starts or restarts the process, with a watch cache that has all of the service's keys.
func (member *member) start(peers []string, teams int) {
	member.stamps, member.queue, member.reads, member.adopted = map[string]uint64{}, nil, nil, 0
	member.Manager = New(Config{Node: member.name, Initial: initial(teams), Peers: peers, MaxValueBytes: member.service.value, TxnOps: member.service.ops, IsolatedStartLimit: 20 * units.Second}, member)
	member.seen = len(member.service.log)
	for _, k := range slices.Sorted(maps.Keys(member.service.keys)) {
		member.applyEvent(member.service.keys[k])
	}
}

func (member *member) applyEvent(e store.Event) {
	if e.Stamp <= member.stamps[e.Key] {
		return
	}
	member.stamps[e.Key] = e.Stamp
	if e.Value == nil {
		delete(member.stamps, e.Key)
	}
	before := member.Version()
	if err := member.Apply(member.now, e); err != nil {
		member.service.t.Fatalf("%s: %v", e.Key, err)
	}
	if member.Version() < before {
		member.service.t.Fatalf("%s went back from version %d to %d", member.name, before, member.Version())
	}
	if want, ok := member.service.contents[member.Version()]; member.Version() > 0 && (!ok || !want.equal(member.Content())) {
		member.service.t.Fatalf("%s has a version %d in force that differs from the stored one", member.name, member.Version())
	}
}

// watch delivers up to n transactions of the service's log.
func (member *member) watch(n int) {
	for ; n > 0 && member.seen < len(member.service.log); n-- {
		for _, e := range member.service.log[member.seen] {
			member.applyEvent(e)
		}
		member.seen++
	}
}

// read completes the pending reads, successfully or not.
func (member *member) read(ok bool) {
	list := member.reads
	member.reads = nil
	if ok {
		member.watch(len(member.service.log))
	}
	for _, f := range list {
		f(ok)
	}
}

// send removes the first queued write and returns it, if there is one.
func (member *member) send() (*store.Write, bool) {
	if len(member.queue) == 0 {
		return nil, false
	}
	w := member.queue[0]
	member.queue = member.queue[1:]
	return w, true
}

// finish reports a write's outcome; committed says whether the service has committed it.
func (member *member) finish(w *store.Write, committed bool) {
	if !committed {
		w.Done(store.Failed, 0)
		return
	}
	for _, e := range member.service.log[len(member.service.log)-1] {
		if e.Value != nil {
			member.applyEvent(e)
		}
	}
	w.Done(store.OK, member.service.rev)
}

func (member *member) change(r Request) uint64 {
	member.number++
	member.Change(member.now, member.now, member.number, r)
	return member.number
}

// settle completes all pending reads and writes without faults.
func (member *member) settle() {
	for range 200 {
		member.now += units.Second
		member.Tick(member.now, member.now, false)
		member.read(true)
		for w, ok := member.send(); ok; w, ok = member.send() {
			member.finish(w, member.service.commit(w))
		}
	}
	member.watch(len(member.service.log))
}

func (member *member) Store(w *store.Write) bool          { member.queue = append(member.queue, w); return true }
func (member *member) KeyVersion(key string) uint64       { return member.stamps[key] }
func (member *member) ReadFresh(f func(bool))             { member.reads = append(member.reads, f) }
func (member *member) CacheCurrent() bool                 { return true }
func (member *member) HasUnfinishedJobs(team string) bool { return member.busy[team] }
func (member *member) Adopted(Content)                    { member.adopted++ }
func (member *member) Respond(n uint64, a Result) {
	if _, twice := member.results[n]; twice {
		member.service.t.Fatalf("%s: second response to request %d", member.name, n)
	}
	member.results[n] = a
}

func limit(name string, cpus int64) TeamChange { return TeamChange{Name: name, LimitCPU: &cpus} }
