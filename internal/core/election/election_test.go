package election

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// fakeHost is a controller with a state service of its own.
type fakeHost struct {
	now       units.Microseconds
	age       units.Microseconds
	member    uint64
	archiving bool
	versions  map[string]uint64
	writes    []*store.Write
	elected   []*Leadership
}

func (h *fakeHost) Now() units.Microseconds        { return h.now }
func (h *fakeHost) Store(w *store.Write)           { h.writes = append(h.writes, w) }
func (h *fakeHost) Version(key string) uint64      { return h.versions[key] }
func (h *fakeHost) CacheAge() units.Microseconds   { return h.age }
func (h *fakeHost) Member() (id, leaseID uint64)   { return h.member, h.member }
func (h *fakeHost) Archiving() bool                { return h.archiving }
func (h *fakeHost) Elected(leadership *Leadership) { h.elected = append(h.elected, leadership) }

func newElection() (*Election, *fakeHost) {
	host := &fakeHost{member: 7, versions: map[string]uint64{}}
	return New(Config{Node: "a"}, host), host
}

// commit lets the state service answer the oldest write, which it refuses where a guard does
// not hold. A membership's own record counts as unchanged.
func (h *fakeHost) commit(e *Election, o store.Outcome, revision uint64) error {
	w := h.writes[0]
	h.writes = h.writes[1:]
	for _, guard := range w.Guards {
		if guard.Key != keys.MemberPrefix+"a" && h.versions[guard.Key] != guard.Version {
			o = store.Failed
		}
	}
	if o == store.OK {
		for _, change := range w.Changes {
			h.versions[change.Key] = revision
			event := store.Event{Key: change.Key, Value: change.Value, Stamp: revision}
			learn := e.Learn
			if change.Key == keys.Term {
				learn = e.LearnTerm
			}
			if err := learn(event); err != nil {
				return err
			}
		}
	}
	w.Done(o, revision)
	return nil
}

// Terms never fall, whatever is stored, and each campaign is for a term above all that
// were known; the fencing tokens that this controller assigns only rise, through any
// number of its leaderships.
func TestTermsAndFencingTokensOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, host := newElection()
		revision, highest, token := uint64(100), uint64(0), uint64(0)
		next := func() uint64 { revision++; return revision }
		stored := func(key string) uint64 {
			host.versions[key] = next()
			return revision
		}
		t.Repeat(map[string]func(*rapid.T){
			"a term is stored": func(t *rapid.T) {
				term := rapid.Uint64Range(0, 50).Draw(t, "term")
				if err := e.LearnTerm(store.Event{Key: keys.Term, Value: store.Value(authority.Term{Term: term, Node: "b"}), Stamp: stored(keys.Term)}); err != nil {
					t.Fatal(err)
				}
			},
			"the term is removed": func(t *rapid.T) {
				if err := e.LearnTerm(store.Event{Key: keys.Term, Stamp: stored(keys.Term)}); err != nil {
					t.Fatal(err)
				}
			},
			"the term is garbage": func(t *rapid.T) {
				if err := e.LearnTerm(store.Event{Key: keys.Term, Value: json.RawMessage(`"no"`), Stamp: stored(keys.Term)}); err == nil {
					t.Fatal("taken")
				}
			},
			"the leader record goes": func(t *rapid.T) {
				if err := e.Learn(store.Event{Key: keys.Leader, Stamp: stored(keys.Leader)}); err != nil {
					t.Fatal(err)
				}
			},
			"the membership ends and another begins": func(t *rapid.T) {
				e.MembershipLost()
				host.member = 0
				for _, w := range host.writes { // as the write queue does with all that it drops
					w.Done(store.Refused, 0)
				}
				host.writes = nil
				host.member = next()
			},
			"tick": func(t *rapid.T) {
				waiting := len(host.writes)
				e.Tick()
				if len(host.writes) == waiting {
					return
				}
				var campaign authority.LeaderRecord
				if err := json.Unmarshal(host.writes[waiting].Changes[0].Value, &campaign); err != nil {
					t.Fatal(err)
				}
				if campaign.Term <= highest {
					t.Fatalf("campaigns for term %d, %d was taken", campaign.Term, highest)
				}
			},
			"answer": func(t *rapid.T) {
				if len(host.writes) == 0 {
					t.Skip()
				}
				o := rapid.SampledFrom([]store.Outcome{store.OK, store.Failed, store.Unknown}).Draw(t, "outcome")
				if err := host.commit(e, o, next()); err != nil {
					t.Fatal(err)
				}
			},
			"assign": func(t *rapid.T) {
				leadership := e.Leadership()
				if leadership == nil {
					t.Skip()
				}
				now := authority.FencingToken(leadership.Term(), leadership.NextAssignment())
				if now <= token {
					t.Fatalf("token %d after %d", now, token)
				}
				token = now
			},
			"": func(t *rapid.T) {
				if e.HighestTerm().Term < highest {
					t.Fatalf("highest term %d after %d", e.HighestTerm().Term, highest)
				}
				highest = e.HighestTerm().Term
			},
		})
	})
}

// A controller campaigns only as a member, with a fresh copy of the state service's keys,
// and where no other's record stands.
func TestCampaign(t *testing.T) {
	for name, test := range map[string]struct {
		change func(e *Election, host *fakeHost)
		want   bool
	}{
		"nobody leads":             {func(*Election, *fakeHost) {}, true},
		"no member":                {func(_ *Election, host *fakeHost) { host.member = 0 }, false},
		"copy too old":             {func(_ *Election, host *fakeHost) { host.age = freshFor + 1 }, false},
		"another leads":            {func(e *Election, _ *fakeHost) { e.record.Node = "b" }, false},
		"left by its last process": {func(e *Election, _ *fakeHost) { e.record.Node = "a" }, true},
		"campaigns already":        {func(e *Election, _ *fakeHost) { e.Tick() }, true},
	} {
		e, host := newElection()
		test.change(e, host)
		e.Tick()
		if got := len(host.writes) == 1; got != test.want {
			t.Errorf("%s: %d writes", name, len(host.writes))
		}
	}
}

// Every write of a leader is guarded by its record, also by the version that the record
// has once it was written again at the key that holds it since the archive.
func TestLeaderWritesAreGuarded(t *testing.T) {
	e, host := newElection()
	e.Tick()
	if err := host.commit(e, store.OK, 101); err != nil || !e.Leads() || len(host.elected) != 1 {
		t.Fatalf("not elected: %v", err)
	}
	l := e.Leadership()
	if want := (store.Guard{Key: keys.Leader, Version: 101}); l.Guard() != want {
		t.Fatalf("%+v", l.Guard())
	}
	if err := e.Learn(store.Event{Key: keys.LeaderSinceArchive, Value: store.Value(l.Record(7)), Stamp: 102}); err != nil || l.Guard().Version != 101 {
		t.Fatalf("another key counts: %+v, %v", l.Guard(), err)
	}
	host.archiving = true
	if err := e.ArchivingStarted(); err != nil || !e.Leads() {
		t.Fatalf("leads no more: %v", err)
	}
	if want := (store.Guard{Key: keys.LeaderSinceArchive, Version: 102}); l.Guard() != want {
		t.Fatalf("%+v", l.Guard())
	}
	if !e.ExclusionNeeded() {
		t.Fatal("older releases are not kept out yet")
	}
	if err := e.Learn(store.Event{Key: keys.Leader, Value: store.Value(l.ExclusionRecord()), Stamp: 103}); err != nil || e.ExclusionNeeded() || !e.Leads() {
		t.Fatalf("%v", err)
	}
	l.Write(nil, store.Change{Key: "x"})
	if l.MayPlan(0) || !l.Writing() || host.writes[0].Guards[0] != l.Guard() {
		t.Fatalf("%+v", host.writes[0])
	}
	host.writes[0].Done(store.TooLarge, 0)
	if l.MayPlan(tooLargeRetry-1) || !l.MayPlan(tooLargeRetry) {
		t.Fatal("does not wait after a write that was too large")
	}
	if err := e.Learn(store.Event{Key: keys.LeaderSinceArchive, Value: store.Value(authority.LeaderRecord{Term: 9, Node: "b"}), Stamp: 104}); err != nil || e.Leads() {
		t.Fatalf("leads beside another: %v", err)
	}
}
