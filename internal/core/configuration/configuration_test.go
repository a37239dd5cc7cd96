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

// TestChangesUnderFaults has three controllers change the configuration at once, while
// transactions are refused, carried out without an answer, or carried out late, watches lag
// and processes end. Every version that is ever stored is whole and right, each change is
// stored once, nobody goes back, and every answer is true.
func TestChangesUnderFaults(t *testing.T) {
	stored := 0
	rapid.Check(t, func(t *rapid.T) {
		trial := newFaultTrial(t)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			member := rapid.SampledFrom(trial.members).Draw(t, "member")
			member.now += units.Second / 10
			trial.step(t, member, rapid.IntRange(0, 11).Draw(t, "step"))
		}
		trial.settle(t)
		for _, request := range trial.requests {
			trial.checkAnswer(t, request)
		}
		stored += len(trial.service.truth)
	})
	if stored < 50 {
		t.Fatalf("only %d versions were ever stored", stored)
	}
}

// faultTrial is three controllers that change the configuration at once under faults.
type faultTrial struct {
	service  *service
	members  []*member
	teams    int
	requests []requestedChange
	late     []*store.Write // transactions that are still on their way
}

// requestedChange is a change of one team's limit that a member was asked for.
type requestedChange struct {
	member *member
	number uint64
	team   string
	limit  int64
	base   *uint64
}

func newFaultTrial(t *rapid.T) *faultTrial {
	ops := rapid.SampledFrom([]int{3, 4, 12}).Draw(t, "ops")
	value := rapid.SampledFrom([]int{2048, 8192}).Draw(t, "value")
	trial := &faultTrial{teams: rapid.SampledFrom([]int{2, 60}).Draw(t, "teams"), service: newService(t, ops, value)}
	names := []string{"a", "b", "c"}
	for i, n := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		trial.members = append(trial.members, newMember(trial.service, n, others, trial.teams))
	}
	return trial
}

// step has one thing happen to a member.
func (f *faultTrial) step(t *rapid.T, member *member, step int) {
	switch step {
	case 0, 1:
		f.request(t, member)
	case 2:
		member.Tick(member.now, member.now, member == f.members[0])
	case 3:
		member.watch(rapid.IntRange(1, 3).Draw(t, "lag"))
	case 4, 5:
		member.read(rapid.IntRange(0, 5).Draw(t, "read") > 0)
	case 6, 7, 8, 9:
		f.send(member, step)
	case 10:
		f.commitLate(t)
	case 11:
		switch rapid.IntRange(0, 3).Draw(t, "end") {
		case 0: // a process ends, and another begins
			member.start(member.cfg.Peers, f.teams)
		case 1: // chunks of no use are old enough to be removed
			member.now += 31 * units.Second
			member.Tick(member.now, member.now, true)
		}
	}
}

// request asks a member for a change.
func (f *faultTrial) request(t *rapid.T, member *member) {
	requested := requestedChange{member: member, team: fmt.Sprintf("team-%03d", rapid.IntRange(0, f.teams).Draw(t, "team")), limit: int64(rapid.IntRange(1, 99).Draw(t, "limit")) * 1000}
	if rapid.Bool().Draw(t, "based") {
		v := member.Version()
		requested.base = &v
	}
	ask := Request{By: member.name, Base: requested.base, Teams: []TeamChange{limit(requested.team, requested.limit)}}
	if requested.base != nil && rapid.Bool().Draw(t, "whole") {
		whole, _ := member.Content().with(limit(requested.team, requested.limit), member.now)
		whole.Objectives = whole.Objectives[:rapid.IntRange(0, len(whole.Objectives)).Draw(t, "objectives")]
		ask = Request{By: member.name, Base: requested.base, Replacement: &whole}
	}
	requested.number = member.change(ask)
	f.requests = append(f.requests, requested)
}

// send has a member's next transaction carried out, carried out without an answer (step 8), or
// held up without one (step 9).
func (f *faultTrial) send(member *member, step int) {
	w, ok := member.send()
	if !ok {
		return
	}
	switch step {
	case 8:
		f.service.commit(w)
		w.Done(store.Unknown, 0)
	case 9:
		f.late = append(f.late, w)
		w.Done(store.Unknown, 0)
	default:
		member.finish(w, f.service.commit(w))
	}
}

// commitLate carries out one of the transactions that were held up.
func (f *faultTrial) commitLate(t *rapid.T) {
	if len(f.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(t, "late")
	f.service.commit(f.late[i])
	f.late = append(f.late[:i], f.late[i+1:]...)
}

// settle lets all faults end. Then all go by the same version.
func (f *faultTrial) settle(t *rapid.T) {
	for range 3 {
		for _, member := range f.members {
			member.settle()
		}
	}
	for _, w := range f.late {
		f.service.commit(w)
	}
	first := f.members[0]
	for _, member := range f.members {
		member.settle()
		if member.Version() != first.Version() || !member.Content().equal(first.Content()) || member.Behind() {
			t.Fatalf("%s goes by %d (behind %v), %s by %d", member.name, member.Version(), member.Behind(), first.name, first.Version())
		}
	}
}

// checkAnswer fails the test if the answer to a request, if it got any, is not true.
func (f *faultTrial) checkAnswer(t *rapid.T, request requestedChange) {
	answer, ok := request.member.answers[request.number]
	if !ok {
		return // its process ended
	}
	truth := f.service.truth
	var missed *Conflict
	switch {
	case answer.Err == nil && answer.Version > 0:
		i, there := truth[answer.Version].Find(request.team)
		if !there {
			t.Fatalf("version %d is to have %s, and has not", answer.Version, request.team)
		}
		if request.base != nil && truth[answer.Version].Teams[i].Limit[binpack.CPU] != request.limit {
			t.Fatalf("version %d is to have %s at %d, and has %v", answer.Version, request.team, request.limit, truth[answer.Version].Teams[i])
		}
		if request.base != nil && answer.Version != *request.base+1 && !truth[answer.Version].equal(truth[*request.base]) {
			t.Fatalf("made for version %d, stored as %d", *request.base, answer.Version)
		}
	case errors.As(answer.Err, &missed) && missed.Current <= missed.Base:
		t.Fatalf("%v", missed)
	}
}

// TestLargeConfiguration stores 340 teams in values of 2 KiB with three changes a
// transaction: the whole once, then one team at a time by one chunk.
func TestLargeConfiguration(t *testing.T) {
	for _, c := range []struct{ value, ops int }{{2048, 3}, {8192, 12}} {
		service := newService(t, c.ops, c.value)
		member := newMember(service, "a", nil, 340)
		n := member.change(Request{By: "op", Teams: []TeamChange{limit("team-007", 7000)}})
		member.settle()
		if a := member.answers[n]; a.Err != nil || a.Version != 1 {
			t.Fatalf("%d bytes: %+v", c.value, a)
		}
		before := service.writes
		n = member.change(Request{By: "op", Teams: []TeamChange{limit("team-008", 8000)}})
		member.settle()
		if a := member.answers[n]; a.Err != nil || a.Version != 2 || service.writes-before > 4 {
			t.Fatalf("%d bytes: %+v, %d changes", c.value, a, service.writes-before)
		}
		member.start(nil, 1) // another settings file counts no more
		if i, ok := member.Content().Find("team-008"); !ok || len(member.Content().Teams) != 340 || member.Content().Teams[i].Limit[binpack.CPU] != 8000 {
			t.Errorf("read back: %v", member.Content().Teams)
		}
	}
}

// TestMostTeams stores as many teams with the longest names as there may be in values of 8 KiB,
// and 340 in values of 2 KiB. One more, or what such values cannot hold, is refused with the
// field and the limit.
func TestMostTeams(t *testing.T) {
	for _, test := range []struct {
		value, teams int
		refused      string
	}{
		{8 << 10, MaxTeams, ""}, {2 << 10, 340, ""},
		{8 << 10, MaxTeams + 1, "teams: want at most 1024, removed ones that still have jobs included, got 1025"},
		{2 << 10, MaxTeams, "teams: too many for values of 2048 bytes: their list takes 2546"},
	} {
		var content Content
		for i := range test.teams {
			content.Teams = append(content.Teams, Team{Name: fmt.Sprintf("%0*d", MaxNameBytes, i), Guarantee: binpack.Vec{1e11, 1e11}, Limit: binpack.Vec{1e11, 1e11}})
		}
		err := content.Check()
		var e encoded
		if err == nil {
			e, err = encode(content, test.value)
		}
		if err == nil && test.refused != "" || err != nil && err.Error() != test.refused {
			t.Errorf("%d teams in values of %d bytes: %v", test.teams, test.value, err)
		}
		for k, v := range e.values {
			if len(v) > test.value {
				t.Errorf("%s takes %d bytes of %d", k, len(v), test.value)
			}
		}
	}
}

// TestWrongOnesAreRefused has wrong contents refused with the field, and nothing changed.
func TestWrongOnesAreRefused(t *testing.T) {
	service := newService(t, 4, 2048)
	member := newMember(service, "a", nil, 3)
	number := func(v int64) *int64 { return &v }
	zero := uint64(0)
	for field, r := range map[string]Request{
		"teams[team-001].cpus":     {Teams: []TeamChange{{Name: "team-001", GuaranteeCPU: number(60_000)}}},
		"teams[team-001].gpus_max": {Teams: []TeamChange{{Name: "team-001", LimitGPU: number(-1)}}},
		"teams[].name":             {Teams: []TeamChange{{Name: ""}}},
		"teams[nobody]":            {Teams: []TeamChange{{Name: "nobody", Remove: true}}},
		"teams":                    {Base: &zero, Replacement: &Content{}},
		"base":                     {Replacement: &Content{Teams: []Team{{Name: "x"}}}},
		"objectives[0].kind":       {Base: &zero, Replacement: &Content{Teams: []Team{{Name: "x"}}, Objectives: []Objective{{Kind: "soon"}}}},
		"teams[x].name":            {Base: &zero, Replacement: &Content{Teams: []Team{{Name: "x"}, {Name: "x"}}}},
	} {
		n := member.change(r)
		member.settle()
		var invalid *Invalid
		if a := member.answers[n]; !errors.As(a.Err, &invalid) || invalid.Field != field || invalid.Reason == "" {
			t.Errorf("%s: %+v", field, a)
		}
	}
	var many Content
	for i := range 1000 {
		many.Teams = append(many.Teams, Team{Name: fmt.Sprintf("a-rather-long-name-of-a-team-which-takes-much-room-%d", i), Limit: binpack.Vec{1e9, 1e9}})
	}
	n := member.change(Request{Base: &zero, Replacement: &many})
	member.settle()
	if a := member.answers[n]; a.Err != nil && service.rev == 0 {
		var invalid *Invalid
		if !errors.As(a.Err, &invalid) {
			t.Errorf("too large: %+v", a)
		}
	}
	if a := member.answers[n]; a.Err == nil && member.Version() != 1 {
		t.Errorf("%+v, and version %d", a, member.Version())
	}
}

// TestTwoWriters has two operators change the same version: the second is told which one
// it missed. Changes that were made for no version are both stored.
func TestTwoWriters(t *testing.T) {
	service := newService(t, 4, 8192)
	memberA, memberB := newMember(service, "a", []string{"b"}, 3), newMember(service, "b", []string{"a"}, 3)
	zero := uint64(0)
	first := memberA.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 1000)}})
	second := memberB.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 2000)}})
	memberA.read(true)
	memberB.read(true) // both have read version 0
	memberA.settle()
	memberB.settle()
	var missed *Conflict
	if x, y := memberA.answers[first], memberB.answers[second]; x.Err != nil || x.Version != 1 || !errors.As(y.Err, &missed) || *missed != (Conflict{0, 1}) {
		t.Errorf("%+v, %+v", x, y)
	}
	one := uint64(1)
	first = memberA.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 1000)}})
	second = memberA.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 2000)}})
	third := memberA.change(Request{Teams: []TeamChange{limit("team-002", 3000)}})
	memberA.settle()
	if x, y, z := memberA.answers[first], memberA.answers[second], memberA.answers[third]; x.Err != nil || !errors.As(y.Err, &missed) || z.Err != nil {
		t.Errorf("%+v, %+v, %+v", x, y, z)
	}
}

// TestManyChangesAtOnce asks for more changes than may wait: those beyond are refused at
// once, and the others are stored in few versions.
func TestManyChangesAtOnce(t *testing.T) {
	service := newService(t, 12, 8192)
	member := newMember(service, "a", nil, 340)
	var numbers []uint64
	for i := range 2*maxWaiting + 1 {
		numbers = append(numbers, member.change(Request{Teams: []TeamChange{limit(fmt.Sprintf("team-%03d", i), 1000)}}))
	}
	member.settle()
	refused := 0
	for _, n := range numbers {
		var gone *Unavailable
		if errors.As(member.answers[n].Err, &gone) {
			refused++
		} else if member.answers[n].Err != nil {
			t.Fatal(member.answers[n].Err)
		}
	}
	if refused != maxWaiting || member.Version() != 2 || service.writes > 30 {
		t.Errorf("%d refused, version %d, %d changes", refused, member.Version(), service.writes)
	}
}

// TestChangesInASecond asks for a change every 10 ms of a service that answers at once: they
// are stored in a few versions a second.
func TestChangesInASecond(t *testing.T) {
	service := newService(t, 12, 8192)
	member := newMember(service, "a", nil, 340)
	for i := range 100 {
		member.change(Request{Teams: []TeamChange{limit("team-007", int64(1000+i))}})
		member.now += units.Second / 100
		member.Tick(member.now, member.now, false)
		member.read(true)
		for w, ok := member.send(); ok; w, ok = member.send() {
			member.finish(w, service.commit(w))
		}
	}
	member.settle()
	if i, _ := member.Content().Find("team-007"); member.Version() > 5 || member.Version() < 3 || member.Content().Teams[i].Limit[binpack.CPU] != 1099 || len(member.answers) != 100 {
		t.Errorf("%d versions, %v, %d answers", member.Version(), member.Content().Teams[i], len(member.answers))
	}
}

// TestCleaningMeetsAnApply has the leader remove chunks of no use between the parts of a large
// change that another controller stores: the change is not stored with a hole.
func TestCleaningMeetsAnApply(t *testing.T) {
	service := newService(t, 4, 2048)
	memberA, memberB := newMember(service, "a", []string{"b"}, 340), newMember(service, "b", []string{"a"}, 340)
	memberA.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	memberA.settle()
	base, whole := uint64(1), initial(340)
	for i := range whole.Teams {
		whole.Teams[i].Limit[binpack.CPU]--
	}
	n := memberA.change(Request{Base: &base, Replacement: &whole})
	memberA.read(true)
	for range 2 { // some of its chunks
		w, _ := memberA.send()
		memberA.finish(w, service.commit(w))
	}
	memberB.watch(len(service.log))
	for range 2 {
		memberB.now += 31 * units.Second
		memberB.Tick(memberB.now, memberB.now, true)
	}
	w, ok := memberB.send()
	if !ok || !service.commit(w) || len(w.Changes) < 2 {
		t.Fatal("nothing was removed")
	}
	memberA.settle()
	if x := memberA.answers[n]; x.Err != nil || x.Version != 2 || memberA.Version() != 2 {
		t.Errorf("%+v, goes by %d", x, memberA.Version())
	}
}

// TestRemovedTeam keeps the limit of a removed team as long as it has jobs, and no shorter
// than a controller that lags could accept one.
func TestRemovedTeam(t *testing.T) {
	service := newService(t, 4, 8192)
	member := newMember(service, "a", nil, 3)
	there := func() (Team, bool) {
		i, ok := member.Content().Find("team-001")
		if !ok {
			return Team{}, false
		}
		return member.Content().Teams[i], true
	}
	set := func(c TeamChange) {
		t.Helper()
		n := member.change(Request{Teams: []TeamChange{c}})
		member.settle()
		if a := member.answers[n]; a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	member.busy["team-001"] = true
	set(TeamChange{Name: "team-001", Remove: true})
	if x, ok := there(); !ok || x.Removed == 0 || x.Limit[binpack.CPU] != 50_000 || x.Guarantee != (binpack.Vec{}) {
		t.Errorf("%v %+v", ok, x)
	}
	member.busy["team-001"] = false
	set(limit("team-000", 1900))
	if _, ok := there(); !ok {
		t.Error("forgotten while a controller that lags may accept a job")
	}
	member.busy["team-001"] = true
	member.now += 2 * forgetAfter
	set(limit("team-000", 1000))
	if _, ok := there(); !ok {
		t.Error("forgotten with a job")
	}
	member.busy["team-001"] = false
	set(limit("team-000", 2000))
	if _, ok := there(); ok {
		t.Error("kept without a job")
	}
	set(limit("team-001", 5000))
	if x, ok := there(); !ok || x.Removed != 0 {
		t.Errorf("%v %+v", ok, x)
	}
}

// TestServiceRollsBack has the state service lose the last versions: nobody goes by an older
// one, and the last is stored again with all its chunks.
func TestServiceRollsBack(t *testing.T) {
	service := newService(t, 4, 2048)
	member := newMember(service, "a", nil, 60)
	for i := range 4 {
		member.change(Request{Teams: []TeamChange{limit("team-000", int64(1000*(i+1)))}})
		member.settle()
	}
	for _, lose := range []func(){
		func() { // as it was two versions ago
			h := head{Version: 2, ID: "earlier", Chunks: service.head().Chunks}
			member.stamps[HeadKey]++
			service.keys[HeadKey] = store.Event{Key: HeadKey, Value: store.Value(h), Stamp: member.stamps[HeadKey]}
			_ = member.Apply(member.now, service.keys[HeadKey])
		},
		func() { // a chunk
			k := chunkKey(service.head().Chunks[1])
			delete(service.keys, k)
			delete(member.stamps, k)
			_ = member.Apply(member.now, store.Event{Key: k, Stamp: 99})
		},
		func() { // everything
			clear(service.keys)
			for k := range member.stamps {
				delete(member.stamps, k)
				_ = member.Apply(member.now, store.Event{Key: k, Stamp: 99})
			}
		},
	} {
		clear(service.ids) // the same change is stored a second time
		lose()
		member.CacheRebuilt()
		if member.Version() != 4 || member.Behind() {
			t.Fatalf("goes by %d, behind %v", member.Version(), member.Behind())
		}
		member.settle()
		if h := service.head(); h.Version != 4 || h.ID != member.id {
			t.Fatalf("stored: %+v", h)
		}
		service.look()
	}
	n := member.change(Request{Teams: []TeamChange{limit("team-000", 9000)}})
	member.settle()
	if a := member.answers[n]; a.Version != 5 {
		t.Errorf("%+v", a)
	}
}

// TestLacksRecords has a controller know of a version without its records: it starts
// nothing, changes nothing, and goes on once an operator gives the whole.
func TestLacksRecords(t *testing.T) {
	service := newService(t, 4, 2048)
	member := newMember(service, "a", []string{"b"}, 3)
	if member.MayStart("team-000", 0) != true || !member.ObserveVersion(3) || member.MayStart("team-000", 0) {
		t.Error("starts by an older version than it knows of")
	}
	n := member.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	member.settle()
	var gone *Unavailable
	if a := member.answers[n]; !errors.As(a.Err, &gone) {
		t.Errorf("%+v", a)
	}
	base, whole := uint64(3), initial(3)
	n = member.change(Request{Base: &base, Replacement: &whole})
	member.settle()
	if a := member.answers[n]; a.Version != 4 || member.Behind() || !member.MayStart("team-000", 0) {
		t.Errorf("%+v, behind %v", a, member.Behind())
	}
}

// TestConfirmation confirms a version once all go by it, and those that nobody hears may
// start nothing by an older one; what is confirmed stays so.
func TestConfirmation(t *testing.T) {
	service := newService(t, 4, 8192)
	member := newMember(service, "a", []string{"b", "c"}, 3)
	member.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	member.read(true)
	w, _ := member.send()
	member.finish(w, service.commit(w))
	silent := map[string]bool{}
	status := func(after units.Microseconds) Status {
		return member.Status(member.now+after, 1, func(n string) bool { return silent[n] })
	}
	if status(0).Confirmed {
		t.Error("confirmed, and nobody else has it")
	}
	member.ApplyPeerStatus(member.now, "b", 1, 1)
	silent["c"] = true
	if x := status(member.cfg.IsolatedStartLimit - units.Second); x.Confirmed {
		t.Errorf("confirmed before one that is silent surely starts nothing: %+v", x)
	}
	silent["c"] = false
	if x := status(30 * units.Second); x.Confirmed || x.Controllers[2].Confirmed {
		t.Errorf("confirmed by time alone of one that is heard: %+v", x)
	}
	silent["c"] = true
	if x := status(40 * units.Second); !x.Confirmed || !x.Controllers[2].Confirmed {
		t.Errorf("not confirmed: %+v", x)
	}
	silent["c"] = false
	member.ApplyPeerStatus(member.now, "c", 0, 0) // it has just begun, and reads all keys before it starts anything
	if x := status(0); !x.Confirmed || x.Controllers[2].Confirmed {
		t.Errorf("%+v", x)
	}
	if x := member.Status(member.now, 2, func(string) bool { return false }); x.Confirmed {
		t.Errorf("a version that there is not: %+v", x)
	}
}

// TestOtherShards holds back a team's tasks after its limit fell, until every other shard is
// told to keep within its allocation by that version or a later one.
func TestOtherShards(t *testing.T) {
	service := newService(t, 12, 8192)
	member := newMember(service, "a", []string{"b"}, 3)
	member.SetShards([]int{0, 1})
	set := func(team string, cpus int64) {
		member.change(Request{Teams: []TeamChange{limit(team, cpus)}})
		member.settle()
	}
	set("team-000", 50_000) // the first that this process knows: any limit may have fallen
	if member.Version() != 0 {
		t.Fatal("stored, though nothing differs")
	}
	set("team-000", 60_000)
	if member.MayStart("team-000", 0) {
		t.Error("the first version that a process knows clears nothing")
	}
	member.SetOverQuota(0, 1, nil)
	member.SetOverQuota(1, 1, nil)
	member.SetShards([]int{0, 1})
	if !member.MayStart("team-000", 0) || member.LimitsReduced() {
		t.Error("held back, and all blocks keep within their shares")
	}
	set("team-000", 70_000)
	if !member.MayStart("team-000", 0) {
		t.Error("a limit that rose holds back")
	}
	set("team-000", 20_000)
	member.SetOverQuota(0, 3, []string{"team-000"})
	member.SetOverQuota(1, 2, nil) // by an older version
	member.SetShards([]int{0, 1})
	if member.MayStart("team-000", 0) || !member.MayStart("team-001", 0) {
		t.Error("a block that goes by an older version clears the new one")
	}
	member.SetOverQuota(1, 3, []string{"team-000"})
	if member.MayStart("team-000", 0) {
		t.Error("starts while another block is above its share")
	}
	member.SetOverQuota(1, 4, nil)
	if member.MayStart("team-000", 0) {
		t.Error("the word of a version that this controller does not go by yet: who holds the block then is not known")
	}
	member.SetOverQuota(1, 3, nil)
	member.SetShards([]int{0, 1})
	if !member.MayStart("team-000", 0) || member.MayStart("team-000", 1) || !member.LimitsReduced() {
		t.Error("the block above its share holds back the one that is not, or not the other way round")
	}
	member.SetOverQuota(0, 3, nil)
	member.SetShards([]int{0, 1})
	if member.LimitsReduced() {
		t.Error("never settled")
	}
}

func (s *service) head() head {
	var h head
	_ = json.Unmarshal(s.keys[HeadKey].Value, &h)
	return h
}
