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

// fakeHost is a controller with its own state service.
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

// commit completes the oldest write with an outcome, or with store.Failed if one of its guards does not hold.
// The membership's own record counts as unchanged.
func (h *fakeHost) commit(election *Election, outcome store.Outcome, revision uint64) error {
	w := h.writes[0]
	h.writes = h.writes[1:]
	for _, guard := range w.Guards {
		if guard.Key != keys.MemberPrefix+"a" && h.versions[guard.Key] != guard.Version {
			outcome = store.Failed
		}
	}
	if outcome == store.OK {
		for _, change := range w.Changes {
			h.versions[change.Key] = revision
			event := store.Event{Key: change.Key, Value: change.Value, Stamp: revision}
			apply := election.ApplyRecord
			if change.Key == keys.Term {
				apply = election.ApplyTerm
			}
			if err := apply(event); err != nil {
				return err
			}
		}
	}
	w.Done(outcome, revision)
	return nil
}

// campaignTerm returns the term for which the controller campaigns with a write.
func (h *fakeHost) campaignTerm(t *rapid.T, write int) uint64 {
	t.Helper()
	var campaign authority.LeaderRecord
	must(t, json.Unmarshal(h.writes[write].Changes[0].Value, &campaign))
	return campaign.Term
}

func must(t *rapid.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Terms must never decrease, whatever is stored, and each campaign must be for a term above all known ones.
// The fencing tokens that this controller issues must increase over any number of its leaderships: workers
// reject lower tokens than they have seen.
func TestTermsAndFencingTokensNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		election, host := newElection()
		t.Repeat(rapid.StateMachineActions(&termsModel{election: election, host: host, revision: 100}))
	})
}

// termsModel is a controller whose state service may store anything.
type termsModel struct {
	election  *Election
	host      *fakeHost
	revision  uint64
	highest   uint64 // highest term known so far
	lastToken uint64 // last fencing token issued
}

// event stores a value and returns the event that reports it.
func (m *termsModel) event(key string, value json.RawMessage) store.Event {
	m.revision++
	m.host.versions[key] = m.revision
	return store.Event{Key: key, Value: value, Stamp: m.revision}
}

func (m *termsModel) TermStored(t *rapid.T) {
	term := rapid.Uint64Range(0, 50).Draw(t, "term")
	must(t, m.election.ApplyTerm(m.event(keys.Term, store.Value(authority.Term{Term: term, Node: "b"}))))
}

func (m *termsModel) TermRemoved(t *rapid.T) {
	must(t, m.election.ApplyTerm(m.event(keys.Term, nil)))
}

func (m *termsModel) TermIsGarbage(t *rapid.T) {
	if err := m.election.ApplyTerm(m.event(keys.Term, json.RawMessage(`"no"`))); err == nil {
		t.Fatal("an invalid term was accepted")
	}
}

func (m *termsModel) LeaderRecordRemoved(t *rapid.T) {
	must(t, m.election.ApplyRecord(m.event(keys.Leader, nil)))
}

func (m *termsModel) AnotherMembership(*rapid.T) {
	m.election.MembershipLost()
	m.host.member = 0
	for _, w := range m.host.writes { // as the write queue does with all writes that it drops
		w.Done(store.Refused, 0)
	}
	m.host.writes = nil
	m.revision++
	m.host.member = m.revision
}

func (m *termsModel) Tick(t *rapid.T) {
	waiting := len(m.host.writes)
	m.election.Tick()
	if len(m.host.writes) == waiting {
		return
	}
	if term := m.host.campaignTerm(t, waiting); term <= m.highest {
		t.Fatalf("campaigns for term %d although term %d was taken", term, m.highest)
	}
}

func (m *termsModel) Answer(t *rapid.T) {
	if len(m.host.writes) == 0 {
		t.Skip()
	}
	m.revision++
	outcome := rapid.SampledFrom([]store.Outcome{store.OK, store.Failed, store.Unknown}).Draw(t, "outcome")
	must(t, m.host.commit(m.election, outcome, m.revision))
}

func (m *termsModel) Assign(t *rapid.T) {
	leadership := m.election.Leadership()
	if leadership == nil {
		t.Skip()
	}
	for range 2 {
		token := authority.FencingToken(leadership.Term(), leadership.NextAssignment())
		if token <= m.lastToken {
			t.Fatalf("fencing token %d after %d", token, m.lastToken)
		}
		m.lastToken = token
	}
}

func (m *termsModel) Campaign(t *rapid.T) {
	m.Tick(t)
	for len(m.host.writes) > 0 {
		m.revision++
		must(t, m.host.commit(m.election, store.OK, m.revision))
	}
}

func (m *termsModel) Check(t *rapid.T) {
	if m.election.HighestTerm().Term < m.highest {
		t.Fatalf("highest term %d after %d", m.election.HighestTerm().Term, m.highest)
	}
	m.highest = m.election.HighestTerm().Term
}

// A controller must campaign only while it has a membership and a fresh watch cache, and no leader record
// names another controller.
func TestCampaignPreconditions(t *testing.T) {
	for name, test := range map[string]struct {
		change func(e *Election, host *fakeHost)
		want   bool
	}{
		"nobody leads":                 {func(*Election, *fakeHost) {}, true},
		"no membership":                {func(_ *Election, host *fakeHost) { host.member = 0 }, false},
		"watch cache too old":          {func(_ *Election, host *fakeHost) { host.age = maxCacheAge + 1 }, false},
		"another leads":                {func(e *Election, _ *fakeHost) { e.record.Node = "b" }, false},
		"left by its previous process": {func(e *Election, _ *fakeHost) { e.record.Node = "a" }, true},
		"already campaigning":          {func(e *Election, _ *fakeHost) { e.Tick() }, true},
	} {
		e, host := newElection()
		test.change(e, host)
		e.Tick()
		if got := len(host.writes) == 1; got != test.want {
			t.Errorf("%s: %d writes", name, len(host.writes))
		}
	}
}

// Every write of a leader must be guarded by the version of its leader record, so that it fails once another
// controller leads. This includes the version of the record after it was written again, at the key that holds
// it once jobs are archived.
func TestLeaderWritesAreGuarded(t *testing.T) {
	candidate, host := newElection()
	candidate.Tick()
	if err := host.commit(candidate, store.OK, 101); err != nil || !candidate.Leads() || len(host.elected) != 1 {
		t.Fatalf("not elected: %v", err)
	}
	leadership := candidate.Leadership()
	if want := (store.Guard{Key: keys.Leader, Version: 101}); leadership.Guard() != want {
		t.Fatalf("guard before archiving: %+v", leadership.Guard())
	}
	if err := candidate.ApplyRecord(store.Event{Key: keys.LeaderSinceArchive, Value: store.Value(leadership.Record(7)), Stamp: 102}); err != nil || leadership.Guard().Version != 101 {
		t.Fatalf("the record at the other key is in force: %+v, %v", leadership.Guard(), err)
	}
	host.archiving = true
	if err := candidate.ArchivingStarted(); err != nil || !candidate.Leads() {
		t.Fatalf("no longer leads: %v", err)
	}
	if want := (store.Guard{Key: keys.LeaderSinceArchive, Version: 102}); leadership.Guard() != want {
		t.Fatalf("guard after archiving has started: %+v", leadership.Guard())
	}
	if !candidate.ExclusionNeeded() {
		t.Fatal("exclusion record not reported as missing")
	}
	if err := candidate.ApplyRecord(store.Event{Key: keys.Leader, Value: store.Value(leadership.ExclusionRecord()), Stamp: 103}); err != nil || candidate.ExclusionNeeded() || !candidate.Leads() {
		t.Fatalf("after the exclusion record was stored: %v", err)
	}
	leadership.Write(nil, store.Change{Key: "x"})
	if leadership.MayPlan(0) || !leadership.Writing() || host.writes[0].Guards[0] != leadership.Guard() {
		t.Fatalf("write of the leader: %+v", host.writes[0])
	}
	host.writes[0].Done(store.TooLarge, 0)
	if leadership.MayPlan(tooLargeRetryDelay-1) || !leadership.MayPlan(tooLargeRetryDelay) {
		t.Fatal("no delay after a write that was too large")
	}
	if err := candidate.ApplyRecord(store.Event{Key: keys.LeaderSinceArchive, Value: store.Value(authority.LeaderRecord{Term: 9, Node: "b"}), Stamp: 104}); err != nil || candidate.Leads() {
		t.Fatalf("still leads although another controller does: %v", err)
	}
}
