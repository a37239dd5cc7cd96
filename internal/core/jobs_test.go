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

// testSpec returns the spec of a job with one task that depends on other jobs.
func testSpec(awaits ...string) *jobs.Spec {
	return &jobs.Spec{Class: "x", Team: "t", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: units.Second, Awaits: awaits}
}

// pendingRecord returns the record of a pending job.
func pendingRecord(spec *jobs.Spec) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Tasks: spec.Tasks, Submitted: 900 * units.Second, Spec: spec}
}

// serveState acts as the state service for 400 ticks: it commits transactions and
// answers fresh reads at once. It returns the replies to users.
func serveState(t *testing.T, core *Core, keys map[string]store.Event) map[RequestID]Reply {
	t.Helper()
	replies := map[RequestID]Reply{}
	revision := uint64(core.now) // higher than in any earlier call
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
				revision++
				commitTxn(t, core, keys, effect, revision)
			}
		}
	}
	return replies
}

// commitTxn commits a transaction. It fails the test if the transaction exceeds the
// limits of a small state service.
func commitTxn(t *testing.T, core *Core, keys map[string]store.Event, commit Commit, revision uint64) {
	t.Helper()
	txn := commit.Txn
	if len(txn.Changes) > 4 || len(txn.Guards) > 16 {
		t.Fatalf("transaction of %d changes and %d guards exceeds the limits", len(txn.Changes), len(txn.Guards))
	}
	for _, change := range txn.Changes {
		if len(change.Value) > 2<<10 {
			t.Fatalf("value of %s has %d bytes", change.Key, len(change.Value))
		}
		if keys[change.Key] = (store.Event{Key: change.Key, Value: change.Value, Stamp: revision}); change.Value == nil {
			delete(keys, change.Key)
		}
	}
	core.OnCommit(core.now, commit.Queue, txn, store.OK, revision, nil)
	for _, change := range txn.Changes {
		if change.Value == nil {
			core.cache.Apply(store.Event{Key: change.Key, Stamp: revision})
		}
	}
}

// TestUnknownDependencyIsRefused guards against refusing a job because of a dependency that another
// controller has just accepted. An unknown dependency is refused for good only after a read that began after
// the request. If that read fails, the user is told to retry later.
func TestUnknownDependencyIsRefused(t *testing.T) {
	core := newOwner(t, map[string]any{jobPrefix + "wk-000001": pendingRecord(testSpec()), jobPrefix + "wk-000002": pendingRecord(&jobs.Spec{Tasks: 1, Service: true})})
	read := func(outcome store.Outcome, events ...store.Event) Reply {
		t.Helper()
		for _, effect := range core.Drain() {
			if watch, ok := effect.(Watch); ok && watch.Fresh {
				core.OnChanges(core.now, watch, outcome, core.cache.Revision+1, events, false)
				return replyTo(t, core, 5)
			}
		}
		t.Fatal("no fresh read was requested")
		return Reply{}
	}
	tick := func() {
		core.Tick(core.now+units.Second, core.wall+units.Second)
		core.OnChanges(core.now, Watch{Fresh: true, After: core.cache.Revision}, store.OK, core.cache.Revision, nil, false)
	}
	tick()
	core.Submit(core.now, 5, "wk-000009", testSpec("wk-000001", "wk-000008"), "")
	if reply := read(store.Refused); reply.Code != http.StatusServiceUnavailable || reply.RetryAfter == 0 {
		t.Fatalf("the read failed, and yet the reply is %+v", reply)
	}
	tick()
	for _, awaits := range []string{"wk-000008", "wk-000009", "wk-000002"} {
		core.Submit(core.now, 5, "wk-000009", testSpec(awaits), "")
		if reply := read(store.OK); reply.Code != http.StatusUnprocessableEntity {
			t.Fatalf("depends on %s: %+v", awaits, reply)
		}
		tick()
	}
	core.Submit(core.now, 5, "wk-000009", testSpec("wk-000008"), "")
	for _, effect := range core.Drain() {
		if watch, ok := effect.(Watch); ok && watch.Fresh { // another controller has accepted the dependency in the meantime
			core.OnChanges(core.now, watch, store.OK, core.cache.Revision+1, []store.Event{{Key: jobPrefix + "wk-000008", Value: pendingRecord(testSpec()).Encode(), Stamp: core.cache.Revision + 1}}, false)
		}
	}
	if reply := serveState(t, core, map[string]store.Event{})[5]; reply.Code != http.StatusCreated || core.jobs.Get("wk-000009").OpenDependencies != 1 {
		t.Fatalf("%+v", reply)
	}
}

// TestDependencyOutcomesPropagate guards against releasing a dependent job before its dependency's outcome is
// stored, as the outcome could still be lost. A job that depends on a cancelled one is accepted and
// cancelled, and so are its own dependents. These outcomes are stored in the end.
func TestDependencyOutcomesPropagate(t *testing.T) {
	core := newOwner(t, map[string]any{
		jobPrefix + "wk-000001": pendingRecord(testSpec()), jobPrefix + "wk-000002": pendingRecord(testSpec("wk-000001")), jobPrefix + "wk-000003": pendingRecord(testSpec("wk-000002")),
	})
	keys := map[string]store.Event{}
	first, second, third := core.jobs.Get("wk-000001"), core.jobs.Get("wk-000002"), core.jobs.Get("wk-000003")
	core.owned[0].writer.TaskFinished(first, 0)
	if !first.AllFinished() || second.OpenDependencies != 1 || core.owned[0].active[second.ID] != nil {
		t.Fatal("dependent job released before the outcome is stored")
	}
	serveState(t, core, keys)
	if second.OpenDependencies != 0 || core.owned[0].active[second.ID] == nil || second.Since < 1000*units.Second || third.OpenDependencies != 1 {
		t.Fatalf("%d and %d open dependencies, runnable since %d", second.OpenDependencies, third.OpenDependencies, second.Since)
	}
	core.Cancel(core.now, 5, second.ID)
	core.Submit(core.now, 6, "wk-000004", testSpec("wk-000001", "wk-000003"), "")
	replies := serveState(t, core, keys)
	for _, id := range []string{"wk-000002", "wk-000003", "wk-000004"} {
		var record jobs.Record
		if err := json.Unmarshal(keys[jobPrefix+id].Value, &record); err != nil || core.jobs.Get(id).Record.Status != jobs.Cancelled || record.Status != jobs.Cancelled {
			t.Errorf("%s: %s, stored %s, %v", id, core.jobs.Get(id).Record.Status, record.Status, err)
		}
	}
	if replies[5].Code != http.StatusOK || replies[6].Code != http.StatusCreated || core.jobs.ActiveLen() != 0 || core.jobs.GarbagePending() {
		t.Fatalf("%+v, %d active, garbage pending %v", replies, core.jobs.ActiveLen(), core.jobs.GarbagePending())
	}
}

// TestOlderReleaseBlocksDependencies guards against starting a job before its dependencies. A controller of
// an older release ignores dependencies: as the next owner it would start the job at once. While such a
// controller serves, jobs with dependencies are refused, and they are never forwarded to it.
func TestOlderReleaseBlocksDependencies(t *testing.T) {
	core := newOwner(t, map[string]any{jobPrefix + "wk-000001": pendingRecord(testSpec())})
	core.cfg.Size = 2
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
	submit := func(id string, awaits ...string) Reply {
		t.Helper()
		core.Submit(core.now, 5, id, testSpec(awaits...), "")
		return serveState(t, core, map[string]store.Event{})[5]
	}
	core.OnPeer(core.now, "b", PeerStatus{})
	if reply := submit("wk-000002", "wk-000001"); reply.Code != http.StatusServiceUnavailable || reply.RetryAfter == 0 {
		t.Fatalf("%+v", reply)
	}
	if reply := submit("wk-000003"); reply.Code != http.StatusCreated {
		t.Fatalf("%+v", reply)
	}
	core.applyEvent(store.Event{Key: memberPrefix + "b", Value: json.RawMessage(`{"node":"b","release":3}`), Stamp: 1 << 40})
	if reply := submit("wk-000002", "wk-000001"); reply.Code != http.StatusCreated {
		t.Fatalf("%+v", reply)
	}
	core.advance(core.now + 2*units.Second) // the state service has not answered for 2 s
	core.OnPeer(core.now, "b", PeerStatus{StateAge: 0})
	core.Submit(core.now, 7, "wk-000004", testSpec("wk-000001"), "")
	for _, effect := range core.Drain() {
		if sent, ok := effect.(SendPeer); ok {
			if _, isForwarded := sent.Message.(ForwardedRequest); isForwarded {
				t.Fatal("a job with dependencies is forwarded to a controller of an older release")
			}
		}
	}
}

// TestManyDependencies guards against jobs whose list of dependencies does not fit into one value. The list
// is stored in chunks. A controller that loads all records reads it back, a job with a missing chunk is not
// started, and the chunks are deleted when the job finishes.
func TestManyDependencies(t *testing.T) {
	values := map[string]any{}
	var awaits []string
	for i := range 2500 {
		id := fmt.Sprintf("wk-%06d", i)
		values[jobPrefix+id] = jobs.Record{Status: jobs.Done, Tasks: 1, FinishedAt: 1010 * units.Second}
		awaits = append(awaits, id)
	}
	values[jobPrefix+"wk-000007"] = pendingRecord(testSpec())
	core := newOwner(t, values)
	keys := map[string]store.Event{}
	core.Submit(core.now, 5, "wk-900000", testSpec(awaits...), "")
	if reply := serveState(t, core, keys)[5]; reply.Code != http.StatusCreated {
		t.Fatalf("%+v", reply)
	}
	if len(keys) < 10 {
		t.Fatalf("%d records", len(keys))
	}
	all := map[string]any{}
	for key, event := range keys {
		all[key] = event.Value
	}
	for key, value := range values {
		if all[key] == nil {
			all[key] = value
		}
	}
	reloaded := newOwner(t, all)
	j := reloaded.jobs.Get("wk-900000")
	if j == nil || j.OpenDependencies != 1 || len(j.Spec().Awaits) != 2500 || j.Since != 1010*units.Second {
		t.Fatalf("after loading all records: %+v", j)
	}
	delete(all, chunks.Key("wk-900000", j.Record.Checksum, 1))
	if j := newOwner(t, all).jobs.Get("wk-900000"); j != nil {
		t.Fatal("a job with unreadable dependencies counts as startable")
	}
	core.Cancel(core.now, 6, "wk-000007")
	serveState(t, core, keys)
	for key := range keys {
		if strings.HasPrefix(key, chunkPrefix) {
			t.Fatalf("chunk %s was not deleted", key)
		}
	}
	if core.jobs.Get("wk-900000").Record.Status != jobs.Cancelled {
		t.Fatal(core.jobs.Get("wk-900000").Record.Status)
	}
}

// TestWriteRateFallsWhenLimited guards against overloading a state service whose limits were lowered. Once it
// refuses a request as over its limit, the rates configured for later apply.
func TestWriteRateFallsWhenLimited(t *testing.T) {
	core := newOwner(t, nil)
	before := core.queues[ControlQueue].Rate
	if outcome := core.noteOutcome(store.RateLimited); outcome != store.Refused || core.queues[ControlQueue].Rate >= before || core.cfg.WriteRate != 20 {
		t.Fatalf("outcome %v, rate %v, before %v", outcome, core.queues[ControlQueue].Rate, before)
	}
}

// TestProductionValues guards against incompatible records. Records stored by the release before job
// dependencies are decoded with their old meaning. That release in turn can read what this one stores of a
// job without dependencies: it knows the fields of oldRecord and ignores all others.
func TestProductionValues(t *testing.T) {
	data, err := os.ReadFile("testdata/production-values.json")
	if err != nil {
		t.Fatal(err)
	}
	var values map[string]any
	if err := json.Unmarshal(data, &values); err != nil {
		t.Fatal(err)
	}
	core := New(Config{Node: "a", Size: 3, TxnOps: 4, ValueKB: 8, ValueMax: 2 << 10, StateRate: 100, WriteRate: 50, Peers: []string{"stagehand-1"}})
	var items []store.Event
	for _, key := range sortedKeys(values) {
		items = append(items, store.Event{Key: key, Value: store.Value(values[key]), Stamp: uint64(len(items) + 1)})
	}
	core.OnList(1, List{}, store.OK, 100, items, false)
	job := core.jobs.Get("wk-000412")
	if job == nil || job.Finished() != 615 || !job.IsStored(1499) || job.IsStored(512) || job.OpenDependencies != 0 || job.Spec().Deadline != 900*units.Second ||
		core.jobs.Get("wk-000398").Record.Status != jobs.Done || core.jobs.Get("wk-000405").Record.Demand[0] != 1000 ||
		core.election.Record().Term != 3 || core.shardRecords.Assignment(1).ReleasedBy != "stagehand-0" || core.shardRecords.Allocation(0).Fraction != 0.75 || core.machineShard["n-000002"] != 1 || core.peers.OlderThan(peering.ReleaseDependencies) != "stagehand-1" {
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
		t.Fatal("records cannot be decoded")
	}
	var wasSpec, isSpec any
	if json.Unmarshal(was.Spec, &wasSpec) != nil || json.Unmarshal(is.Spec, &isSpec) != nil || fmt.Sprint(wasSpec) != fmt.Sprint(isSpec) {
		t.Fatalf("%s\nis now stored as\n%s", was.Spec, is.Spec)
	}
	was.Spec, is.Spec = nil, nil
	if fmt.Sprint(was) != fmt.Sprint(is) {
		t.Fatalf("%+v is now stored as %+v", was, is)
	}
}

// TestOwnerChoicePrefersNewRelease guards against needless shard moves in a rolling
// upgrade. A shard whose owner has ended goes to a controller that already runs the
// new release, and not back to its last owner, which is still to be upgraded.
func TestOwnerChoicePrefersNewRelease(t *testing.T) {
	core := New(Config{Node: "c", Size: 3, Peers: []string{"a", "b"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50})
	for i, release := range []int{0, peering.Release, peering.Release} {
		node := string(rune('a' + i))
		core.applyEvent(store.Event{Key: memberPrefix + node, Value: store.Value(authority.Member{Node: node, Release: release}), Stamp: uint64(i + 1)})
	}
	if owner := core.planner.ChooseOwner(0, shardplan.Assignment{Assignment: authority.Assignment{Node: "a"}}, nil); owner == "a" || owner == "" {
		t.Fatalf("assigned to %q", owner)
	}
	core.applyEvent(store.Event{Key: memberPrefix + "a", Value: store.Value(authority.Member{Node: "a", Release: peering.Release}), Stamp: 9})
	if owner := core.planner.ChooseOwner(0, shardplan.Assignment{Assignment: authority.Assignment{Node: "a"}}, nil); owner != "a" {
		t.Fatalf("assigned to %q and not to the last owner", owner)
	}
}
