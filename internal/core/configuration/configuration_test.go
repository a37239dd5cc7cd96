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

// TestConcurrentChangesUnderFaults changes the configuration from three controllers at once. Transactions
// conflict, are in doubt, or are committed late; watches lag; processes restart. Every version ever stored
// must be complete and valid, each change stored once, no controller may go back to an older version, and
// every result must be true.
func TestConcurrentChangesUnderFaults(t *testing.T) {
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
			trial.checkResult(t, request)
		}
		stored += len(trial.service.contents)
	})
	if stored < 50 {
		t.Fatalf("only %d versions were ever stored", stored)
	}
}

// faultTrial holds the state of one run of TestConcurrentChangesUnderFaults.
type faultTrial struct {
	service  *service
	members  []*member
	teams    int
	requests []requestedChange
	delayed  []*store.Write // transactions in doubt that may still be committed
}

// requestedChange is a change of one team's limit that was requested of a member.
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

// step performs one random action or fault on a member.
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
		case 0: // the process restarts
			member.start(member.cfg.Peers, f.teams)
		case 1: // unused chunks become old enough to be removed
			member.now += 31 * units.Second
			member.Tick(member.now, member.now, true)
		}
	}
}

// request requests a change of a member, of one team or as a replacement of the whole.
func (f *faultTrial) request(t *rapid.T, member *member) {
	requested := requestedChange{member: member, team: fmt.Sprintf("team-%03d", rapid.IntRange(0, f.teams).Draw(t, "team")), limit: int64(rapid.IntRange(1, 99).Draw(t, "limit")) * 1000}
	if rapid.Bool().Draw(t, "based") {
		v := member.Version()
		requested.base = &v
	}
	req := Request{By: member.name, Base: requested.base, Teams: []TeamChange{limit(requested.team, requested.limit)}}
	if requested.base != nil && rapid.Bool().Draw(t, "whole") {
		whole, _ := member.Content().withTeamChange(limit(requested.team, requested.limit), member.now)
		whole.Objectives = whole.Objectives[:rapid.IntRange(0, len(whole.Objectives)).Draw(t, "objectives")]
		req = Request{By: member.name, Base: requested.base, Replacement: &whole}
	}
	requested.number = member.change(req)
	f.requests = append(f.requests, requested)
}

// send commits a member's next transaction and reports its outcome. In step 8 the outcome is reported as
// unknown; in step 9 the transaction is delayed as well.
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
		f.delayed = append(f.delayed, w)
		w.Done(store.Unknown, 0)
	default:
		member.finish(w, f.service.commit(w))
	}
}

// commitLate commits one of the delayed transactions.
func (f *faultTrial) commitLate(t *rapid.T) {
	if len(f.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "late")
	f.service.commit(f.delayed[i])
	f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
}

// settle ends all faults. After that all members must have the same version in force.
func (f *faultTrial) settle(t *rapid.T) {
	for range 3 {
		for _, member := range f.members {
			member.settle()
		}
	}
	for _, w := range f.delayed {
		f.service.commit(w)
	}
	first := f.members[0]
	for _, member := range f.members {
		member.settle()
		if member.Version() != first.Version() || !member.Content().equal(first.Content()) || member.Behind() {
			t.Fatalf("%s has version %d in force (behind %v), %s has %d", member.name, member.Version(), member.Behind(), first.name, first.Version())
		}
	}
}

// checkResult fails the test if a request has a result that is not true.
func (f *faultTrial) checkResult(t *rapid.T, request requestedChange) {
	result, ok := request.member.results[request.number]
	if !ok {
		return // its process was restarted
	}
	contents := f.service.contents
	var conflict *Conflict
	switch {
	case result.Err == nil && result.Version > 0:
		i, exists := contents[result.Version].Find(request.team)
		if !exists {
			t.Fatalf("version %d lacks %s", result.Version, request.team)
		}
		if request.base != nil && contents[result.Version].Teams[i].Limit[binpack.CPU] != request.limit {
			t.Fatalf("version %d must have %s with limit %d, has %v", result.Version, request.team, request.limit, contents[result.Version].Teams[i])
		}
		if request.base != nil && result.Version != *request.base+1 && !contents[result.Version].equal(contents[*request.base]) {
			t.Fatalf("change with base %d was stored as version %d", *request.base, result.Version)
		}
	case errors.As(result.Err, &conflict) && conflict.Current <= conflict.Base:
		t.Fatalf("%v", conflict)
	}
}

// TestTeamChangeWritesOneChunk stores 340 teams in values of 2 KiB with three changes per transaction, and in
// larger ones. All chunks are stored only once; after that, a change of one team must write one chunk.
func TestTeamChangeWritesOneChunk(t *testing.T) {
	for _, c := range []struct{ value, ops int }{{2048, 3}, {8192, 12}} {
		service := newService(t, c.ops, c.value)
		member := newMember(service, "a", nil, 340)
		n := member.change(Request{By: "op", Teams: []TeamChange{limit("team-007", 7000)}})
		member.settle()
		if a := member.results[n]; a.Err != nil || a.Version != 1 {
			t.Fatalf("%d bytes: %+v", c.value, a)
		}
		before := service.writes
		n = member.change(Request{By: "op", Teams: []TeamChange{limit("team-008", 8000)}})
		member.settle()
		if a := member.results[n]; a.Err != nil || a.Version != 2 || service.writes-before > 4 {
			t.Fatalf("%d bytes: %+v, %d changes", c.value, a, service.writes-before)
		}
		member.start(nil, 1) // the stored version takes precedence over another settings file
		if i, ok := member.Content().Find("team-008"); !ok || len(member.Content().Teams) != 340 || member.Content().Teams[i].Limit[binpack.CPU] != 8000 {
			t.Errorf("read back: %v", member.Content().Teams)
		}
	}
}

// TestMaxTeams encodes the maximum number of teams with names of maximum length in values of 8 KiB, and 340
// teams in values of 2 KiB. One more team, or more than the values can hold, must be refused with the field
// and the limit.
func TestMaxTeams(t *testing.T) {
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
				t.Errorf("chunk %s takes %d bytes, more than %d", k, len(v), test.value)
			}
		}
	}
}

// TestInvalidRequestsAreRefused requests invalid changes. Each must be refused with the field's name, and
// nothing may be changed.
func TestInvalidRequestsAreRefused(t *testing.T) {
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
		if a := member.results[n]; !errors.As(a.Err, &invalid) || invalid.Field != field || invalid.Reason == "" {
			t.Errorf("%s: %+v", field, a)
		}
	}
	var many Content // may be too large: it must be either refused as invalid or stored
	for i := range 1000 {
		many.Teams = append(many.Teams, Team{Name: fmt.Sprintf("a-rather-long-name-of-a-team-which-takes-much-room-%d", i), Limit: binpack.Vec{1e9, 1e9}})
	}
	n := member.change(Request{Base: &zero, Replacement: &many})
	member.settle()
	if a := member.results[n]; a.Err != nil && service.rev == 0 {
		var invalid *Invalid
		if !errors.As(a.Err, &invalid) {
			t.Errorf("too large: %+v", a)
		}
	}
	if a := member.results[n]; a.Err == nil && member.Version() != 1 {
		t.Errorf("%+v, and version %d", a, member.Version())
	}
}

// TestConflictingWriters makes two changes for the same base version, on two controllers and in one batch. The
// second must fail with a conflict that names both versions. A change without a base must be stored.
func TestConflictingWriters(t *testing.T) {
	service := newService(t, 4, 8192)
	memberA, memberB := newMember(service, "a", []string{"b"}, 3), newMember(service, "b", []string{"a"}, 3)
	zero := uint64(0)
	first := memberA.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 1000)}})
	second := memberB.change(Request{Base: &zero, Teams: []TeamChange{limit("team-000", 2000)}})
	memberA.read(true)
	memberB.read(true) // both have read version 0
	memberA.settle()
	memberB.settle()
	var conflict *Conflict
	if x, y := memberA.results[first], memberB.results[second]; x.Err != nil || x.Version != 1 || !errors.As(y.Err, &conflict) || *conflict != (Conflict{0, 1}) {
		t.Errorf("%+v, %+v", x, y)
	}
	one := uint64(1)
	first = memberA.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 1000)}})
	second = memberA.change(Request{Base: &one, Teams: []TeamChange{limit("team-001", 2000)}})
	third := memberA.change(Request{Teams: []TeamChange{limit("team-002", 3000)}})
	memberA.settle()
	if x, y, z := memberA.results[first], memberA.results[second], memberA.results[third]; x.Err != nil || !errors.As(y.Err, &conflict) || z.Err != nil {
		t.Errorf("%+v, %+v, %+v", x, y, z)
	}
}

// TestPendingChangesLimit requests more changes than the queue holds. Those beyond its limit must be refused
// at once, the others stored in few versions.
func TestPendingChangesLimit(t *testing.T) {
	service := newService(t, 12, 8192)
	member := newMember(service, "a", nil, 340)
	var numbers []uint64
	for i := range 2*maxPendingChanges + 1 {
		numbers = append(numbers, member.change(Request{Teams: []TeamChange{limit(fmt.Sprintf("team-%03d", i), 1000)}}))
	}
	member.settle()
	refused := 0
	for _, n := range numbers {
		var unavailable *Unavailable
		if errors.As(member.results[n].Err, &unavailable) {
			refused++
		} else if member.results[n].Err != nil {
			t.Fatal(member.results[n].Err)
		}
	}
	if refused != maxPendingChanges || member.Version() != 2 || service.writes > 30 {
		t.Errorf("%d refused, version %d, %d changes", refused, member.Version(), service.writes)
	}
}

// TestChangesAreBatched requests a change every 10 ms while the state service responds at once. The changes
// of a second must be stored in a few versions.
func TestChangesAreBatched(t *testing.T) {
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
	if i, _ := member.Content().Find("team-007"); member.Version() > 5 || member.Version() < 3 || member.Content().Teams[i].Limit[binpack.CPU] != 1099 || len(member.results) != 100 {
		t.Errorf("%d versions, %v, %d results", member.Version(), member.Content().Teams[i], len(member.results))
	}
}

// TestGarbageCollectionDuringChange has the leader remove unused chunks while another controller has stored
// only some chunks of a large change, which no head lists yet. The change must not be stored without them.
func TestGarbageCollectionDuringChange(t *testing.T) {
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
	if x := memberA.results[n]; x.Err != nil || x.Version != 2 || memberA.Version() != 2 {
		t.Errorf("%+v, version %d in force", x, memberA.Version())
	}
}

// TestRemovedTeamRetention removes a team. Its limit must be kept while it has jobs, and for at least as long
// as a controller that lags behind could still accept one.
func TestRemovedTeamRetention(t *testing.T) {
	service := newService(t, 4, 8192)
	member := newMember(service, "a", nil, 3)
	find := func() (Team, bool) {
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
		if a := member.results[n]; a.Err != nil {
			t.Fatal(a.Err)
		}
	}
	member.busy["team-001"] = true
	set(TeamChange{Name: "team-001", Remove: true})
	if x, ok := find(); !ok || x.Removed == 0 || x.Limit[binpack.CPU] != 50_000 || x.Guarantee != (binpack.Vec{}) {
		t.Errorf("%v %+v", ok, x)
	}
	member.busy["team-001"] = false
	set(limit("team-000", 1900))
	if _, ok := find(); !ok {
		t.Error("removed team dropped while a lagging controller may still accept a job of it")
	}
	member.busy["team-001"] = true
	member.now += 2 * removedRetention
	set(limit("team-000", 1000))
	if _, ok := find(); !ok {
		t.Error("removed team dropped while it has a job")
	}
	member.busy["team-001"] = false
	set(limit("team-000", 2000))
	if _, ok := find(); ok {
		t.Error("removed team kept without a job after its retention")
	}
	set(limit("team-001", 5000))
	if x, ok := find(); !ok || x.Removed != 0 {
		t.Errorf("%v %+v", ok, x)
	}
}

// TestStateServiceRollback makes the state service lose the last versions, a chunk, or all records. The version
// in force must not go back, and it must be stored again with all its chunks.
func TestStateServiceRollback(t *testing.T) {
	service := newService(t, 4, 2048)
	member := newMember(service, "a", nil, 60)
	for i := range 4 {
		member.change(Request{Teams: []TeamChange{limit("team-000", int64(1000*(i+1)))}})
		member.settle()
	}
	for _, loseRecords := range []func(){
		func() { // back to the head of two versions ago
			h := head{Version: 2, ID: "earlier", Chunks: service.head().Chunks}
			member.stamps[HeadKey]++
			service.keys[HeadKey] = store.Event{Key: HeadKey, Value: store.Value(h), Stamp: member.stamps[HeadKey]}
			_ = member.Apply(member.now, service.keys[HeadKey])
		},
		func() { // one chunk is lost
			k := chunkKey(service.head().Chunks[1])
			delete(service.keys, k)
			delete(member.stamps, k)
			_ = member.Apply(member.now, store.Event{Key: k, Stamp: 99})
		},
		func() { // all records are lost
			clear(service.keys)
			for k := range member.stamps {
				delete(member.stamps, k)
				_ = member.Apply(member.now, store.Event{Key: k, Stamp: 99})
			}
		},
	} {
		clear(service.ids) // storing the same change again is expected here
		loseRecords()
		member.CacheRebuilt()
		if member.Version() != 4 || member.Behind() {
			t.Fatalf("version %d in force, behind %v", member.Version(), member.Behind())
		}
		member.settle()
		if h := service.head(); h.Version != 4 || h.ID != member.id {
			t.Fatalf("stored: %+v", h)
		}
		service.checkStored()
	}
	n := member.change(Request{Teams: []TeamChange{limit("team-000", 9000)}})
	member.settle()
	if a := member.results[n]; a.Version != 5 {
		t.Errorf("%+v", a)
	}
}

// TestMissingRecords tells a controller of a version whose records are missing. It must not start tasks or
// change teams until an operator replaces the whole configuration.
func TestMissingRecords(t *testing.T) {
	service := newService(t, 4, 2048)
	member := newMember(service, "a", []string{"b"}, 3)
	if member.MayStart("team-000", 0) != true || !member.ObserveVersion(3) || member.MayStart("team-000", 0) {
		t.Error("tasks may start although a later version is known")
	}
	n := member.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	member.settle()
	var unavailable *Unavailable
	if a := member.results[n]; !errors.As(a.Err, &unavailable) {
		t.Errorf("%+v", a)
	}
	base, whole := uint64(3), initial(3)
	n = member.change(Request{Base: &base, Replacement: &whole})
	member.settle()
	if a := member.results[n]; a.Version != 4 || member.Behind() || !member.MayStart("team-000", 0) {
		t.Errorf("%+v, behind %v", a, member.Behind())
	}
}

// TestConfirmation checks that a version is confirmed once all controllers have it in force, or are
// unresponsive for so long that they may no longer start tasks under an older one. A confirmed version
// must stay confirmed.
func TestConfirmation(t *testing.T) {
	service := newService(t, 4, 8192)
	member := newMember(service, "a", []string{"b", "c"}, 3)
	member.change(Request{Teams: []TeamChange{limit("team-000", 1000)}})
	member.read(true)
	w, _ := member.send()
	member.finish(w, service.commit(w))
	unresponsive := map[string]bool{}
	status := func(after units.Microseconds) Status {
		return member.Status(member.now+after, 1, func(n string) bool { return unresponsive[n] })
	}
	if status(0).Confirmed {
		t.Error("confirmed although no other controller has it")
	}
	member.ApplyPeerStatus(member.now, "b", 1, 1)
	unresponsive["c"] = true
	if x := status(member.cfg.IsolatedStartLimit - units.Second); x.Confirmed {
		t.Errorf("confirmed while an unresponsive controller may still start tasks: %+v", x)
	}
	unresponsive["c"] = false
	if x := status(30 * units.Second); x.Confirmed || x.Controllers[2].Confirmed {
		t.Errorf("confirmed for a responsive controller because of the time: %+v", x)
	}
	unresponsive["c"] = true
	if x := status(40 * units.Second); !x.Confirmed || !x.Controllers[2].Confirmed {
		t.Errorf("not confirmed: %+v", x)
	}
	unresponsive["c"] = false
	member.ApplyPeerStatus(member.now, "c", 0, 0) // just restarted: it reads all keys before it starts tasks
	if x := status(0); !x.Confirmed || x.Controllers[2].Confirmed {
		t.Errorf("%+v", x)
	}
	if x := member.Status(member.now, 2, func(string) bool { return false }); x.Confirmed {
		t.Errorf("a version that does not exist is confirmed: %+v", x)
	}
}

// TestReducedLimitHoldsBackOtherShards reduces a team's limit. Its tasks must be held back in a shard until
// the owners of all other shards have reported, with that version or a later one in force, that they are
// within their allocations.
func TestReducedLimitHoldsBackOtherShards(t *testing.T) {
	service := newService(t, 12, 8192)
	member := newMember(service, "a", []string{"b"}, 3)
	member.SetShards([]int{0, 1})
	set := func(team string, cpus int64) {
		member.change(Request{Teams: []TeamChange{limit(team, cpus)}})
		member.settle()
	}
	set("team-000", 50_000) // the first version that this process knows: any limit may have been reduced
	if member.Version() != 0 {
		t.Fatal("a change without a difference was stored")
	}
	set("team-000", 60_000)
	if member.MayStart("team-000", 0) {
		t.Error("first known version: tasks may start although the limit may have been reduced")
	}
	member.SetOverQuota(0, 1, nil)
	member.SetOverQuota(1, 1, nil)
	member.SetShards([]int{0, 1})
	if !member.MayStart("team-000", 0) || member.LimitsReduced() {
		t.Error("held back although all shards are within their allocations")
	}
	set("team-000", 70_000)
	if !member.MayStart("team-000", 0) {
		t.Error("held back after the limit was raised")
	}
	set("team-000", 20_000)
	member.SetOverQuota(0, 3, []string{"team-000"})
	member.SetOverQuota(1, 2, nil) // reported under an older version
	member.SetShards([]int{0, 1})
	if member.MayStart("team-000", 0) || !member.MayStart("team-001", 0) {
		t.Error("a report under an older version ends the reduction")
	}
	member.SetOverQuota(1, 3, []string{"team-000"})
	if member.MayStart("team-000", 0) {
		t.Error("tasks may start while another shard is above its allocation")
	}
	member.SetOverQuota(1, 4, nil)
	if member.MayStart("team-000", 0) {
		t.Error("a report under a version that is not in force here counts, though the shard may have another owner in it")
	}
	member.SetOverQuota(1, 3, nil)
	member.SetShards([]int{0, 1})
	if !member.MayStart("team-000", 0) || member.MayStart("team-000", 1) || !member.LimitsReduced() {
		t.Error("the shard above its allocation must hold back the other one, and not itself be held back by it")
	}
	member.SetOverQuota(0, 3, nil)
	member.SetShards([]int{0, 1})
	if member.LimitsReduced() {
		t.Error("the reduction never ended")
	}
}

func (s *service) head() head {
	var h head
	_ = json.Unmarshal(s.keys[HeadKey].Value, &h)
	return h
}
