package core

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

func job(awaits ...string) *jobs.Spec {
	return &jobs.Spec{Class: "x", Team: "t", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: units.Second, Awaits: awaits}
}

func pending(s *jobs.Spec) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Tasks: s.Tasks, Submitted: 900 * units.Second, Spec: s}
}

// serve plays the state service for a while: it carries out transactions and
// answers reads at once, and returns the replies to users.
func serve(t *testing.T, core *Core, keys map[string]store.Event) map[RequestID]Reply {
	t.Helper()
	replies := map[RequestID]Reply{}
	rev := uint64(core.now) // beyond that of any earlier call
	for range 400 {
		core.Tick(core.now+TickInterval, core.wall+TickInterval)
		for _, effect := range core.Drain() {
			switch effect := effect.(type) {
			case Reply:
				replies[effect.Request] = effect
			case Watch:
				if effect.Fresh {
					core.OnChanges(core.now, effect, store.OK, core.cache.Revision, nil, false)
				}
			case Commit:
				rev++
				carryOut(t, core, keys, effect, rev)
			}
		}
	}
	return replies
}

// carryOut carries out a transaction within the limits of a small state service.
func carryOut(t *testing.T, core *Core, keys map[string]store.Event, commit Commit, rev uint64) {
	t.Helper()
	txn := commit.Txn
	if len(txn.Changes) > 4 || len(txn.Guards) > 16 {
		t.Fatalf("%d changes, %d guards", len(txn.Changes), len(txn.Guards))
	}
	for _, ch := range txn.Changes {
		if len(ch.Value) > 2<<10 {
			t.Fatalf("%s has %d bytes", ch.Key, len(ch.Value))
		}
		if keys[ch.Key] = (store.Event{Key: ch.Key, Value: ch.Value, Stamp: rev}); ch.Value == nil {
			delete(keys, ch.Key)
		}
	}
	core.OnCommit(core.now, commit.Queue, txn, store.OK, rev, nil)
	for _, ch := range txn.Changes {
		if ch.Value == nil {
			core.cache.Apply(store.Event{Key: ch.Key, Stamp: rev})
		}
	}
}

// An unknown name is refused for good only by a read that began after the
// request; where there is none, the user is told to come back.
func TestUnknownAwaited(t *testing.T) {
	core := holding(t, map[string]any{jobPrefix + "wk-000001": pending(job()), jobPrefix + "wk-000002": pending(&jobs.Spec{Tasks: 1, Service: true})})
	read := func(o store.Outcome, events ...store.Event) Reply {
		t.Helper()
		for _, e := range core.Drain() {
			if w, ok := e.(Watch); ok && w.Fresh {
				core.OnChanges(core.now, w, o, core.cache.Revision+1, events, false)
				return replyTo(t, core, 5)
			}
		}
		t.Fatal("nothing is read")
		return Reply{}
	}
	step := func() {
		core.Tick(core.now+units.Second, core.wall+units.Second)
		core.OnChanges(core.now, Watch{Fresh: true, After: core.cache.Revision}, store.OK, core.cache.Revision, nil, false)
	}
	step()
	core.Submit(core.now, 5, "wk-000009", job("wk-000001", "wk-000008"), "")
	if r := read(store.Refused); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("no read, and yet %+v", r)
	}
	step()
	for _, awaits := range []string{"wk-000008", "wk-000009", "wk-000002"} {
		core.Submit(core.now, 5, "wk-000009", job(awaits), "")
		if r := read(store.OK); r.Code != http.StatusUnprocessableEntity {
			t.Fatalf("awaits %s: %+v", awaits, r)
		}
		step()
	}
	core.Submit(core.now, 5, "wk-000009", job("wk-000008"), "")
	for _, e := range core.Drain() {
		if w, ok := e.(Watch); ok && w.Fresh { // another controller has accepted it meanwhile
			core.OnChanges(core.now, w, store.OK, core.cache.Revision+1, []store.Event{{Key: jobPrefix + "wk-000008", Value: pending(job()).Encode(), Stamp: core.cache.Revision + 1}}, false)
		}
	}
	if r := serve(t, core, map[string]store.Event{})[5]; r.Code != http.StatusCreated || core.jobs.Get("wk-000009").OpenDependencies != 1 {
		t.Fatalf("%+v", r)
	}
}

// Only what is stored passes along the graph, and a job that awaits a cancelled
// one is accepted and cancelled; what follows from it is stored in the end.
func TestOutcomesPropagate(t *testing.T) {
	core := holding(t, map[string]any{
		jobPrefix + "wk-000001": pending(job()), jobPrefix + "wk-000002": pending(job("wk-000001")), jobPrefix + "wk-000003": pending(job("wk-000002")),
	})
	keys := map[string]store.Event{}
	first, second, third := core.jobs.Get("wk-000001"), core.jobs.Get("wk-000002"), core.jobs.Get("wk-000003")
	core.owned[0].writer.TaskFinished(first, 0)
	if !first.AllFinished() || second.OpenDependencies != 1 || core.owned[0].active[second.ID] != nil {
		t.Fatal("released before that is stored")
	}
	serve(t, core, keys)
	if second.OpenDependencies != 0 || core.owned[0].active[second.ID] == nil || second.Since < 1000*units.Second || third.OpenDependencies != 1 {
		t.Fatalf("awaiting %d and %d, since %d", second.OpenDependencies, third.OpenDependencies, second.Since)
	}
	core.Cancel(core.now, 5, second.ID)
	core.Submit(core.now, 6, "wk-000004", job("wk-000001", "wk-000003"), "")
	replies := serve(t, core, keys)
	for _, id := range []string{"wk-000002", "wk-000003", "wk-000004"} {
		var r jobs.Record
		if err := json.Unmarshal(keys[jobPrefix+id].Value, &r); err != nil || core.jobs.Get(id).Record.Status != jobs.Cancelled || r.Status != jobs.Cancelled {
			t.Errorf("%s: %s, stored %s, %v", id, core.jobs.Get(id).Record.Status, r.Status, err)
		}
	}
	if replies[5].Code != http.StatusOK || replies[6].Code != http.StatusCreated || core.jobs.ActiveLen() != 0 || core.jobs.GarbagePending() {
		t.Fatalf("%+v, %d active, garbage pending %v", replies, core.jobs.ActiveLen(), core.jobs.GarbagePending())
	}
}

// A job that awaits others is not taken while an older controller is known to
// serve: as the next holder it would start the job at once.
func TestOlderControllerServes(t *testing.T) {
	core := holding(t, map[string]any{jobPrefix + "wk-000001": pending(job())})
	core.cfg.Size = 2
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
	submit := func(id string, awaits ...string) Reply {
		t.Helper()
		core.Submit(core.now, 5, id, job(awaits...), "")
		return serve(t, core, map[string]store.Event{})[5]
	}
	core.OnPeer(core.now, "b", PeerStatus{})
	if r := submit("wk-000002", "wk-000001"); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("%+v", r)
	}
	if r := submit("wk-000003"); r.Code != http.StatusCreated {
		t.Fatalf("%+v", r)
	}
	core.learn(store.Event{Key: memberPrefix + "b", Value: json.RawMessage(`{"node":"b","release":3}`), Stamp: 1 << 40})
	if r := submit("wk-000002", "wk-000001"); r.Code != http.StatusCreated {
		t.Fatalf("%+v", r)
	}
	core.advance(core.now + 2*units.Second) // the state service has not answered for a while
	core.OnPeer(core.now, "b", PeerStatus{StateAge: 0})
	core.Submit(core.now, 7, "wk-000004", job("wk-000001"), "")
	for _, e := range core.Drain() {
		if m, ok := e.(SendPeer); ok {
			if _, ask := m.Message.(ForwardedRequest); ask {
				t.Fatal("an older controller is asked to take a job that awaits others")
			}
		}
	}
}

// A submission whose names do not fit one value is stored in parts, is known to a
// controller that reads all anew, and its parts go when it is over.
func TestManyAwaited(t *testing.T) {
	values := map[string]any{}
	var awaits []string
	for i := range 2500 {
		id := fmt.Sprintf("wk-%06d", i)
		values[jobPrefix+id] = jobs.Record{Status: jobs.Done, Tasks: 1, FinishedAt: 1010 * units.Second}
		awaits = append(awaits, id)
	}
	values[jobPrefix+"wk-000007"] = pending(job())
	core := holding(t, values)
	keys := map[string]store.Event{}
	core.Submit(core.now, 5, "wk-900000", job(awaits...), "")
	if r := serve(t, core, keys)[5]; r.Code != http.StatusCreated {
		t.Fatalf("%+v", r)
	}
	if len(keys) < 10 {
		t.Fatalf("%d records", len(keys))
	}
	all := map[string]any{}
	for k, e := range keys {
		all[k] = e.Value
	}
	for k, v := range values {
		if all[k] == nil {
			all[k] = v
		}
	}
	again := holding(t, all)
	j := again.jobs.Get("wk-900000")
	if j == nil || j.OpenDependencies != 1 || len(j.Spec().Awaits) != 2500 || j.Since != 1010*units.Second {
		t.Fatalf("read anew: %+v", j)
	}
	delete(all, chunks.Key("wk-900000", j.Record.Checksum, 1))
	if j := holding(t, all).jobs.Get("wk-900000"); j != nil {
		t.Fatal("a job whose awaited names cannot be read is taken for one that may start")
	}
	core.Cancel(core.now, 6, "wk-000007")
	serve(t, core, keys)
	for k := range keys {
		if strings.HasPrefix(k, chunkPrefix) {
			t.Fatalf("%s is left", k)
		}
	}
	if core.jobs.Get("wk-900000").Record.Status != jobs.Cancelled {
		t.Fatal(core.jobs.Get("wk-900000").Record.Status)
	}
}

// The rates of later are used once the state service has refused something as too
// much.
func TestRatesFall(t *testing.T) {
	c := holding(t, nil)
	before := c.queues[ControlQueue].Rate
	if o := c.noteOutcome(store.RateLimited); o != store.Refused || c.queues[ControlQueue].Rate >= before || c.cfg.WriteRate != 20 {
		t.Fatalf("%v, %v after %v", o, c.queues[ControlQueue].Rate, before)
	}
}

// What the version before awaited jobs has stored is read as it was meant, and
// what this one stores of a job that awaits none is read by it: it knows the
// fields below and ignores others.
func TestProductionValues(t *testing.T) {
	b, err := os.ReadFile("testdata/production-values.json")
	if err != nil {
		t.Fatal(err)
	}
	var values map[string]any
	if err := json.Unmarshal(b, &values); err != nil {
		t.Fatal(err)
	}
	c := New(Config{Node: "a", Size: 3, TxnOps: 4, ValueKB: 8, ValueMax: 2 << 10, StateRate: 100, WriteRate: 50, Peers: []string{"stagehand-1"}})
	var items []store.Event
	for _, k := range sortedKeys(values) {
		items = append(items, store.Event{Key: k, Value: store.Value(values[k]), Stamp: uint64(len(items) + 1)})
	}
	c.OnList(1, List{}, store.OK, 100, items, false)
	job := c.jobs.Get("wk-000412")
	if job == nil || job.Finished() != 615 || !job.IsStored(1499) || job.IsStored(512) || job.OpenDependencies != 0 || job.Spec().Deadline != 900*units.Second ||
		c.jobs.Get("wk-000398").Record.Status != jobs.Done || c.jobs.Get("wk-000405").Record.Demand[0] != 1000 ||
		c.election.Record().Term != 3 || c.shardRecords.Assignment(1).ReleasedBy != "stagehand-0" || c.shardRecords.Allocation(0).Fraction != 0.75 || c.machineShard["n-000002"] != 1 || c.peers.OlderThan(peering.ReleaseDependencies) != "stagehand-1" {
		t.Fatalf("%+v", job)
	}
	type oldRecord struct {
		Status    string          `json:"status"`
		Block     int             `json:"block"`
		Tasks     int             `json:"tasks"`
		Submitted int64           `json:"submitted"`
		Spec      json.RawMessage `json:"spec"`
	}
	var was, is oldRecord
	if json.Unmarshal(store.Value(values[jobPrefix+"wk-000412"]), &was) != nil || json.Unmarshal(job.Record.Encode(), &is) != nil {
		t.Fatal("unreadable")
	}
	var a, z any
	if json.Unmarshal(was.Spec, &a) != nil || json.Unmarshal(is.Spec, &z) != nil || fmt.Sprint(a) != fmt.Sprint(z) {
		t.Fatalf("%s\nis now stored as\n%s", was.Spec, is.Spec)
	}
	was.Spec, is.Spec = nil, nil
	if fmt.Sprint(was) != fmt.Sprint(is) {
		t.Fatalf("%+v is now stored as %+v", was, is)
	}
}

// A block whose holder has ended goes to a controller that is not to be replaced
// next, though an older one held it last.
func TestNewReleaseOwns(t *testing.T) {
	c := New(Config{Node: "c", Size: 3, Peers: []string{"a", "b"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50})
	for i, r := range []int{0, peering.Release, peering.Release} {
		node := string(rune('a' + i))
		c.learn(store.Event{Key: memberPrefix + node, Value: store.Value(authority.Member{Node: node, Release: r}), Stamp: uint64(i + 1)})
	}
	if to := c.planner.ChooseOwner(0, shardplan.Assignment{Assignment: authority.Assignment{Node: "a"}}, nil); to == "a" || to == "" {
		t.Fatalf("goes to %q", to)
	}
	c.learn(store.Event{Key: memberPrefix + "a", Value: store.Value(authority.Member{Node: "a", Release: peering.Release}), Stamp: 9})
	if to := c.planner.ChooseOwner(0, shardplan.Assignment{Assignment: authority.Assignment{Node: "a"}}, nil); to != "a" {
		t.Fatalf("goes to %q, and not to the last holder", to)
	}
}
