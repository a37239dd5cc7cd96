package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// TestChangesUnderTrouble has three controllers change the configuration at once, while
// transactions are refused, carried out without an answer, or carried out late, watches lag
// and processes end. Every version that is ever stored is whole and right, each change is
// stored once, nobody goes back, and every answer is true.
func TestChangesUnderTrouble(t *testing.T) {
	stored := 0
	rapid.Check(t, func(t *rapid.T) {
		ops := rapid.SampledFrom([]int{3, 4, 12}).Draw(t, "ops")
		value := rapid.SampledFrom([]int{2048, 8192}).Draw(t, "value")
		teams := rapid.SampledFrom([]int{2, 60}).Draw(t, "teams")
		s := newService(t, ops, value)
		names := []string{"a", "b", "c"}
		var members []*member
		for i, n := range names {
			members = append(members, newMember(s, n, append(append([]string{}, names[:i]...), names[i+1:]...), teams))
		}
		type asked struct {
			m      *member
			number uint64
			team   string
			limit  int64
			base   *uint64
		}
		var requests []asked
		var late []*store.Write
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			m := rapid.SampledFrom(members).Draw(t, "member")
			m.now += units.Second / 10
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1:
				r := asked{m: m, team: fmt.Sprintf("team-%03d", rapid.IntRange(0, teams).Draw(t, "team")), limit: int64(rapid.IntRange(1, 99).Draw(t, "limit")) * 1000}
				if rapid.Bool().Draw(t, "based") {
					v := m.Version()
					r.base = &v
				}
				ask := Request{By: m.name, Base: r.base, Teams: []TeamChange{limit(r.team, r.limit)}}
				if r.base != nil && rapid.Bool().Draw(t, "whole") {
					whole, _ := m.Content().with(limit(r.team, r.limit), m.now)
					whole.Objectives = whole.Objectives[:rapid.IntRange(0, len(whole.Objectives)).Draw(t, "objectives")]
					ask = Request{By: m.name, Base: r.base, Whole: &whole}
				}
				r.number = m.change(ask)
				requests = append(requests, r)
			case 2:
				m.Tick(m.now, m.now, m == members[0])
			case 3:
				m.watch(rapid.IntRange(1, 3).Draw(t, "lag"))
			case 4, 5:
				m.read(rapid.IntRange(0, 5).Draw(t, "read") > 0)
			case 6, 7:
				if w, ok := m.send(); ok {
					m.finish(w, s.commit(w))
				}
			case 8: // the answer is lost
				if w, ok := m.send(); ok {
					s.commit(w)
					w.Done(store.Unknown, 0)
				}
			case 9: // it comes late
				if w, ok := m.send(); ok {
					late = append(late, w)
					w.Done(store.Unknown, 0)
				}
			case 10:
				if len(late) > 0 {
					i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					s.commit(late[i])
					late = append(late[:i], late[i+1:]...)
				}
			case 11:
				switch rapid.IntRange(0, 3).Draw(t, "end") {
				case 0: // a process ends, and another begins
					m.start(m.cfg.Peers, teams)
				case 1: // chunks of no use are old enough to be removed
					m.now += 31 * units.Second
					m.Tick(m.now, m.now, true)
				}
			}
		}
		for range 3 {
			for _, m := range members {
				m.settle()
			}
		}
		for _, w := range late {
			s.commit(w)
		}
		for _, m := range members {
			m.settle()
			if m.Version() != members[0].Version() || !m.Content().equal(members[0].Content()) || m.Behind() {
				t.Fatalf("%s goes by %d (behind %v), %s by %d", m.name, m.Version(), m.Behind(), members[0].name, members[0].Version())
			}
		}
		for _, r := range requests {
			a, ok := r.m.answers[r.number]
			if !ok {
				continue // its process ended
			}
			var missed *Missed
			switch {
			case a.Err == nil && a.Version > 0:
				i, there := s.truth[a.Version].Find(r.team)
				if !there {
					t.Fatalf("version %d is to have %s, and has not", a.Version, r.team)
				}
				if r.base != nil && s.truth[a.Version].Teams[i].Limit[binpack.CPU] != r.limit {
					t.Fatalf("version %d is to have %s at %d, and has %v", a.Version, r.team, r.limit, s.truth[a.Version].Teams[i])
				}
				if r.base != nil && a.Version != *r.base+1 && !s.truth[a.Version].equal(s.truth[*r.base]) {
					t.Fatalf("made for version %d, stored as %d", *r.base, a.Version)
				}
			case errors.As(a.Err, &missed) && missed.Current <= missed.Base:
				t.Fatalf("%v", missed)
			}
		}
		stored += len(s.truth)
	})
	if stored < 50 {
		t.Fatalf("only %d versions were ever stored", stored)
	}
}

// TestLargeConfiguration stores 340 teams in values of 2 KiB with three changes a
// transaction: the whole once, then one team at a time by one chunk.
func TestLargeConfiguration(t *testing.T) {
	for _, c := range []struct{ value, ops int }{{2048, 3}, {8192, 12}} {
		s := newService(t, c.ops, c.value)
		m := newMember(s, "a", nil, 340)
		n := m.change(Request{By: "op", Teams: []TeamChange{limit("team-007", 7000)}})
		m.settle()
		if a := m.answers[n]; a.Err != nil || a.Version != 1 {
			t.Fatalf("%d bytes: %+v", c.value, a)
		}
		before := s.writes
		n = m.change(Request{By: "op", Teams: []TeamChange{limit("team-008", 8000)}})
		m.settle()
		if a := m.answers[n]; a.Err != nil || a.Version != 2 || s.writes-before > 4 {
			t.Fatalf("%d bytes: %+v, %d changes", c.value, a, s.writes-before)
		}
		m.start(nil, 1) // another settings file counts no more
		if i, ok := m.Content().Find("team-008"); !ok || len(m.Content().Teams) != 340 || m.Content().Teams[i].Limit[binpack.CPU] != 8000 {
			t.Errorf("read back: %v", m.Content().Teams)
		}
	}
}

// TestWrongOnesAreRefused has wrong contents refused with the field, and nothing changed.
func TestWrongOnesAreRefused(t *testing.T) {
	s := newService(t, 4, 2048)
	m := newMember(s, "a", nil, 3)
	number := func(v int64) *int64 { return &v }
	zero := uint64(0)
	for field, r := range map[string]Request{
		"teams[team-001].cpus":     {Teams: []TeamChange{{Name: "team-001", GuaranteeCPU: number(60_000)}}},
		"teams[team-001].gpus_max": {Teams: []TeamChange{{Name: "team-001", LimitGPU: number(-1)}}},
		"teams[].name":             {Teams: []TeamChange{{Name: ""}}},
		"teams[nobody]":            {Teams: []TeamChange{{Name: "nobody", Remove: true}}},
		"teams":                    {Base: &zero, Whole: &Content{}},
		"base":                     {Whole: &Content{Teams: []Team{{Name: "x"}}}},
		"objectives[0].kind":       {Base: &zero, Whole: &Content{Teams: []Team{{Name: "x"}}, Objectives: []Objective{{Kind: "soon"}}}},
		"teams[x].name":            {Base: &zero, Whole: &Content{Teams: []Team{{Name: "x"}, {Name: "x"}}}},
	} {
		n := m.change(r)
		m.settle()
		var invalid *Invalid
		if a := m.answers[n]; !errors.As(a.Err, &invalid) || invalid.Field != field || invalid.Reason == "" {
			t.Errorf("%s: %+v", field, a)
		}
	}
	var many Content
	for i := range 1000 {
		many.Teams = append(many.Teams, Team{Name: fmt.Sprintf("a-rather-long-name-of-a-team-which-takes-much-room-%d", i), Limit: binpack.Vec{1e9, 1e9}})
	}
	n := m.change(Request{Base: &zero, Whole: &many})
	m.settle()
	if a := m.answers[n]; a.Err != nil && s.rev == 0 {
		var invalid *Invalid
		if !errors.As(a.Err, &invalid) {
			t.Errorf("too large: %+v", a)
		}
	}
	if a := m.answers[n]; a.Err == nil && m.Version() != 1 {
		t.Errorf("%+v, and version %d", a, m.Version())
	}
}

// TestTwoWriters has two operators change the same version: the second is told which one
// it missed. Changes that were made for no version are both stored.
func TestTwoWriters(t *testing.T) {
	s := newService(t, 4, 8192)
	a, b := newMember(s, "a", []string{"b"}, 3), newMember(s, "b", []string{"a"}, 3)
	zero := uint64(0)
	first := a.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 1000)}})
	second := b.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 2000)}})
	a.read(true)
	b.read(true) // both have read version 0
	a.settle()
	b.settle()
	var missed *Missed
	if x, y := a.answers[first], b.answers[second]; x.Err != nil || x.Version != 1 || !errors.As(y.Err, &missed) || *missed != (Missed{0, 1}) {
		t.Errorf("%+v, %+v", x, y)
	}
	one := uint64(1)
	first = a.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 1000)}})
	second = a.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 2000)}})
	third := a.change(Request{Teams: []TeamChange{limit("team-002", 3000)}})
	a.settle()
	if x, y, z := a.answers[first], a.answers[second], a.answers[third]; x.Err != nil || !errors.As(y.Err, &missed) || z.Err != nil {
		t.Errorf("%+v, %+v, %+v", x, y, z)
	}
}

// TestManyChangesAtOnce asks for more changes than may wait: those beyond are refused at
// once, and the others are stored in few versions.
func TestManyChangesAtOnce(t *testing.T) {
	s := newService(t, 12, 8192)
	m := newMember(s, "a", nil, 340)
	var numbers []uint64
	for i := range 2*maxWaiting + 1 {
		numbers = append(numbers, m.change(Request{Teams: []TeamChange{limit(fmt.Sprintf("team-%03d", i), 1000)}}))
	}
	m.settle()
	refused := 0
	for _, n := range numbers {
		var gone *Unavailable
		if errors.As(m.answers[n].Err, &gone) {
			refused++
		} else if m.answers[n].Err != nil {
			t.Fatal(m.answers[n].Err)
		}
	}
	if refused != maxWaiting || m.Version() != 2 || s.writes > 30 {
		t.Errorf("%d refused, version %d, %d changes", refused, m.Version(), s.writes)
	}
}

// TestChangesInASecond asks for a change every 10 ms of a service that answers at once: they
// are stored in a few versions a second.
func TestChangesInASecond(t *testing.T) {
	s := newService(t, 12, 8192)
	m := newMember(s, "a", nil, 340)
	for i := range 100 {
		m.change(Request{Teams: []TeamChange{limit("team-007", int64(1000+i))}})
		m.now += units.Second / 100
		m.Tick(m.now, m.now, false)
		m.read(true)
		for w, ok := m.send(); ok; w, ok = m.send() {
			m.finish(w, s.commit(w))
		}
	}
	m.settle()
	if i, _ := m.Content().Find("team-007"); m.Version() > 5 || m.Version() < 3 || m.Content().Teams[i].Limit[binpack.CPU] != 1099 || len(m.answers) != 100 {
		t.Errorf("%d versions, %v, %d answers", m.Version(), m.Content().Teams[i], len(m.answers))
	}
}

// TestCleaningMeetsAnApply has the leader remove chunks of no use between the parts of a large
// change that another controller stores: the change is not stored with a hole.
func TestCleaningMeetsAnApply(t *testing.T) {
	s := newService(t, 4, 2048)
	a, b := newMember(s, "a", []string{"b"}, 340), newMember(s, "b", []string{"a"}, 340)
	a.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	a.settle()
	base, whole := uint64(1), initial(340)
	for i := range whole.Teams {
		whole.Teams[i].Limit[binpack.CPU]--
	}
	n := a.change(Request{Base: &base, Whole: &whole})
	a.read(true)
	for range 2 { // some of its chunks
		w, _ := a.send()
		a.finish(w, s.commit(w))
	}
	b.watch(len(s.log))
	for range 2 {
		b.now += 31 * units.Second
		b.Tick(b.now, b.now, true)
	}
	w, ok := b.send()
	if !ok || !s.commit(w) || len(w.Changes) < 2 {
		t.Fatal("nothing was removed")
	}
	a.settle()
	if x := a.answers[n]; x.Err != nil || x.Version != 2 || a.Version() != 2 {
		t.Errorf("%+v, goes by %d", x, a.Version())
	}
}

// TestRemovedTeam keeps the limit of a removed team as long as it has jobs, and no shorter
// than a controller that lags could accept one.
func TestRemovedTeam(t *testing.T) {
	s := newService(t, 4, 8192)
	m := newMember(s, "a", nil, 3)
	there := func() (Team, bool) {
		i, ok := m.Content().Find("team-001")
		if !ok {
			return Team{}, false
		}
		return m.Content().Teams[i], true
	}
	set := func(c TeamChange) {
		t.Helper()
		n := m.change(Request{Teams: []TeamChange{c}})
		m.settle()
		if a := m.answers[n]; a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	m.busy["team-001"] = true
	set(TeamChange{Name: "team-001", Remove: true})
	if x, ok := there(); !ok || x.Removed == 0 || x.Limit[binpack.CPU] != 50_000 || x.Guarantee != (binpack.Vec{}) {
		t.Errorf("%v %+v", ok, x)
	}
	m.busy["team-001"] = false
	set(limit("team-000", 1900))
	if _, ok := there(); !ok {
		t.Error("forgotten while a controller that lags may accept a job")
	}
	m.busy["team-001"] = true
	m.now += 2 * forgetAfter
	set(limit("team-000", 1000))
	if _, ok := there(); !ok {
		t.Error("forgotten with a job")
	}
	m.busy["team-001"] = false
	set(limit("team-000", 2000))
	if _, ok := there(); ok {
		t.Error("kept without a job")
	}
	set(limit("team-001", 5000))
	if x, ok := there(); !ok || x.Removed != 0 {
		t.Errorf("%v %+v", ok, x)
	}
}

// TestServiceGoesBack has the state service lose the last versions: nobody goes by an older
// one, and the last is stored again with all its chunks.
func TestServiceGoesBack(t *testing.T) {
	s := newService(t, 4, 2048)
	m := newMember(s, "a", nil, 60)
	for i := range 4 {
		m.change(Request{Teams: []TeamChange{limit("team-000", int64(1000*(i+1)))}})
		m.settle()
	}
	for _, lose := range []func(){
		func() { // as it was two versions ago
			h := head{Version: 2, ID: "earlier", Chunks: s.head().Chunks}
			m.stamps[HeadKey]++
			s.keys[HeadKey] = store.Event{Key: HeadKey, Value: store.Value(h), Stamp: m.stamps[HeadKey]}
			_ = m.Learn(m.now, s.keys[HeadKey])
		},
		func() { // a chunk
			k := chunkKey(s.head().Chunks[1])
			delete(s.keys, k)
			delete(m.stamps, k)
			_ = m.Learn(m.now, store.Event{Key: k, Stamp: 99})
		},
		func() { // everything
			clear(s.keys)
			for k := range m.stamps {
				delete(m.stamps, k)
				_ = m.Learn(m.now, store.Event{Key: k, Stamp: 99})
			}
		},
	} {
		clear(s.ids) // the same change is stored a second time
		lose()
		m.Reloaded()
		if m.Version() != 4 || m.Behind() {
			t.Fatalf("goes by %d, behind %v", m.Version(), m.Behind())
		}
		m.settle()
		if h := s.head(); h.Version != 4 || h.ID != m.id {
			t.Fatalf("stored: %+v", h)
		}
		s.look()
	}
	n := m.change(Request{Teams: []TeamChange{limit("team-000", 9000)}})
	m.settle()
	if a := m.answers[n]; a.Version != 5 {
		t.Errorf("%+v", a)
	}
}

// TestLacksRecords has a controller know of a version without its records: it starts
// nothing, changes nothing, and goes on once an operator gives the whole.
func TestLacksRecords(t *testing.T) {
	s := newService(t, 4, 2048)
	m := newMember(s, "a", []string{"b"}, 3)
	if m.MayStart("team-000", 0) != true || !m.PeerKnows(3) || m.MayStart("team-000", 0) {
		t.Error("starts by an older version than it knows of")
	}
	n := m.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	m.settle()
	var gone *Unavailable
	if a := m.answers[n]; !errors.As(a.Err, &gone) {
		t.Errorf("%+v", a)
	}
	base, whole := uint64(3), initial(3)
	n = m.change(Request{Base: &base, Whole: &whole})
	m.settle()
	if a := m.answers[n]; a.Version != 4 || m.Behind() || !m.MayStart("team-000", 0) {
		t.Errorf("%+v, behind %v", a, m.Behind())
	}
}

// TestConfirmation confirms a version once all go by it, and those that nobody hears may
// start nothing by an older one; what is confirmed stays so.
func TestConfirmation(t *testing.T) {
	s := newService(t, 4, 8192)
	m := newMember(s, "a", []string{"b", "c"}, 3)
	m.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	m.read(true)
	w, _ := m.send()
	m.finish(w, s.commit(w))
	silent := map[string]bool{}
	status := func(after units.Microseconds) Status {
		return m.Status(m.now+after, 1, func(n string) bool { return silent[n] })
	}
	if status(0).Confirmed {
		t.Error("confirmed, and nobody else has it")
	}
	m.PeerStatus(m.now, "b", 1, 1)
	silent["c"] = true
	if x := status(m.cfg.Bound - units.Second); x.Confirmed {
		t.Errorf("confirmed before one that is silent surely starts nothing: %+v", x)
	}
	silent["c"] = false
	if x := status(30 * units.Second); x.Confirmed || x.Controllers[2].Done {
		t.Errorf("confirmed by time alone of one that is heard: %+v", x)
	}
	silent["c"] = true
	if x := status(40 * units.Second); !x.Confirmed || !x.Controllers[2].Done {
		t.Errorf("not confirmed: %+v", x)
	}
	silent["c"] = false
	m.PeerStatus(m.now, "c", 0, 0) // it has just begun, and reads all keys before it starts anything
	if x := status(0); !x.Confirmed || x.Controllers[2].Done {
		t.Errorf("%+v", x)
	}
	if x := m.Status(m.now, 2, func(string) bool { return false }); x.Confirmed {
		t.Errorf("a version that there is not: %+v", x)
	}
}

// TestOtherBlocks holds back a team's tasks after its limit fell, until every other block is
// told to keep within its share by that version or a later one.
func TestOtherBlocks(t *testing.T) {
	s := newService(t, 12, 8192)
	m := newMember(s, "a", []string{"b"}, 3)
	m.SetShards([]int{0, 1})
	set := func(team string, cpus int64) {
		m.change(Request{Teams: []TeamChange{limit(team, cpus)}})
		m.settle()
	}
	set("team-000", 50_000) // the first that this process knows: any limit may have fallen
	if m.Version() != 0 {
		t.Fatal("stored, though nothing differs")
	}
	set("team-000", 60_000)
	if m.MayStart("team-000", 0) {
		t.Error("the first version that a process knows clears nothing")
	}
	m.SetOverQuota(0, 1, nil)
	m.SetOverQuota(1, 1, nil)
	m.SetShards([]int{0, 1})
	if !m.MayStart("team-000", 0) || m.Falling() {
		t.Error("held back, and all blocks keep within their shares")
	}
	set("team-000", 70_000)
	if !m.MayStart("team-000", 0) {
		t.Error("a limit that rose holds back")
	}
	set("team-000", 20_000)
	m.SetOverQuota(0, 3, []string{"team-000"})
	m.SetOverQuota(1, 2, nil) // by an older version
	m.SetShards([]int{0, 1})
	if m.MayStart("team-000", 0) || !m.MayStart("team-001", 0) {
		t.Error("a block that goes by an older version clears the new one")
	}
	m.SetOverQuota(1, 3, []string{"team-000"})
	if m.MayStart("team-000", 0) {
		t.Error("starts while another block is above its share")
	}
	m.SetOverQuota(1, 4, nil)
	if m.MayStart("team-000", 0) {
		t.Error("the word of a version that this controller does not go by yet: who holds the block then is not known")
	}
	m.SetOverQuota(1, 3, nil)
	m.SetShards([]int{0, 1})
	if !m.MayStart("team-000", 0) || m.MayStart("team-000", 1) || !m.Falling() {
		t.Error("the block above its share holds back the one that is not, or not the other way round")
	}
	m.SetOverQuota(0, 3, nil)
	m.SetShards([]int{0, 1})
	if m.Falling() {
		t.Error("never settled")
	}
}

func (s *service) head() head {
	var h head
	_ = json.Unmarshal(s.keys[HeadKey].Value, &h)
	return h
}
