package core

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// TestMachineAgeSurvivesTakeover guards against a new owner that treats a machine
// provisioned long ago as new. It would keep the idle machine for its minimum billing
// period again: with one takeover per minute no machine was ever deprovisioned.
func TestMachineAgeSurvivesTakeover(t *testing.T) {
	core := New(Config{Node: "a", Size: 1, TxnOps: 8, ValueKB: 8, StateRate: 100, WriteRate: 50,
		LeaderTTL: 1000 * units.Second, Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second})
	now, wall := units.Second, 1000*units.Second
	core.Tick(now, wall)
	group := fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}, ProvisionedAt: wall - 400*units.Second}
	core.OnList(now, List{}, store.OK, 5, []store.Event{{Key: machinePrefix + "r-1", Value: store.Value(group), Stamp: 3}}, false)
	core.acquireShard(0, shardplan.Assignment{Version: 4})
	core.Drain()
	core.OnChanges(now, Watch{After: 5, Fresh: true}, store.OK, 5, nil, false)
	machine := core.owned[0].reconciler.Machine("n-1")
	if machine == nil || now-machine.ProvisionedAt != 400*units.Second {
		t.Fatalf("machine %+v", machine)
	}
}

// TestUnresponsiveZone guards against tasks that wait for the leases of silent machines. Most machines of a
// zone stop sending heartbeats at the same time while the others still send theirs. The silent ones are
// deprovisioned, but only if enough others are responsive.
func TestUnresponsiveZone(t *testing.T) {
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	for responsive, want := range map[int]int{0: 0, 1: 0, 3: 6} {
		core := newOwner(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: names}})
		core.cfg.Zones, core.cfg.Lease = []string{"z"}, 60*units.Second
		deprovisioned := map[string]bool{}
		for i := range 200 {
			for k := range responsive {
				if i%20 == k {
					core.Heartbeat(core.now, RequestID(1000*i+k+1), &fleet.Heartbeat{Machine: names[k], Type: "big", Zone: "z", Incarnation: 1, Seq: uint64(i + 1), FencingToken: core.owned[0].fencingToken, ReclaimIn: units.MaxTime})
				}
			}
			core.Tick(core.now+TickInterval, core.wall+TickInterval)
			for _, effect := range core.Drain() {
				if scaleIn, ok := effect.(ScaleIn); ok {
					for _, name := range scaleIn.Names {
						deprovisioned[name] = true
					}
				}
			}
		}
		if len(deprovisioned) != want {
			t.Errorf("%d of 9 machines responsive: %d deprovisioned", responsive, len(deprovisioned))
		}
	}
}

// TestUnlistedMachinesAreGivenUp guards against waiting for machines that no longer exist. Machines were
// reclaimed by the cloud, or deprovisioned, while the state service could not store it. The cloud's machine
// list does not contain them, so their addresses are unknown and they were never probed: all work accepted
// earlier waited 10 s for them, and 14 s for many. A machine that is too young to be listed is still waited
// for, and so are all machines if the list contains hardly any.
func TestUnlistedMachinesAreGivenUp(t *testing.T) {
	names := []string{"n-0", "n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	for _, test := range []struct {
		missing        int // number of machines missing from the list: the last ones
		provisionedAgo units.Microseconds
		want           int
	}{{1, 100 * units.Second, 1}, {3, 100 * units.Second, 3}, {3, 2 * units.Second, 0}, {5, 100 * units.Second, 0}} {
		alive := len(names) - test.missing
		core := newOwner(t, map[string]any{
			machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: names[:alive], ProvisionedAt: 900 * units.Second},
			machinePrefix + "r-2": fleet.Group{Type: "big", Zone: "z", Up: names[alive:], ProvisionedAt: 1000*units.Second - test.provisionedAgo},
		})
		core.cfg.Lease, core.cfg.HeartbeatInterval, core.cfg.ListLag = 60*units.Second, 6*units.Second, 3*units.Second
		shard := core.owned[0]
		deprovisioned := 0
		for i := range 40 { // 2 s
			if i < alive {
				core.Heartbeat(core.now, RequestID(1000+i), &fleet.Heartbeat{Machine: names[i], Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime})
			}
			core.Tick(core.now+TickInterval, core.wall+TickInterval)
			for _, e := range core.Drain() {
				switch e := e.(type) {
				case ListMachines:
					var list []ListedMachine
					for _, name := range names[:alive] {
						list = append(list, ListedMachine{Name: name})
					}
					core.OnListMachines(core.now, e, store.OK, list)
				case ScaleIn:
					deprovisioned += len(e.Names)
				}
			}
		}
		if deprovisioned != test.want || len(shard.reconciler.Unreconciled()) != test.missing {
			t.Errorf("%d machines missing, provisioned %.0f s ago: %d deprovisioned, %d unreconciled", test.missing, test.provisionedAgo.Seconds(), deprovisioned, len(shard.reconciler.Unreconciled()))
		}
	}
}

// TestFullMemoryRefusesNewJobs guards against running out of memory. While the memory of this or another
// controller is nearly full, new jobs are refused with a time to retry, and known jobs are answered as usual.
// Jobs are accepted again once memory is free, or once the other controller is no longer alive.
func TestFullMemoryRefusesNewJobs(t *testing.T) {
	core := newOwner(t, map[string]any{jobPrefix + "wk-000001": pendingRecord(testSpec())})
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
	spec := testSpec()
	submit := func(request RequestID, id string) { core.Submit(core.now, request, id, spec, "") }
	for i, set := range []func(full bool){core.SetMemoryFull, func(full bool) { core.OnPeer(core.now, "b", PeerStatus{Full: full}) }} {
		set(true)
		submit(RequestID(10+i), "wk-000002")
		if reply := replyTo(t, core, RequestID(10+i)); reply.Code != 503 || reply.RetryAfter != admission.LongRetryAfter {
			t.Errorf("new job: %+v", reply)
		}
		submit(RequestID(20+i), "wk-000001")
		code := 0
		for range 20 {
			for _, e := range core.Drain() {
				switch e := e.(type) {
				case Watch:
					core.OnChanges(core.now, e, store.OK, 101, nil, false)
				case Reply:
					code = e.Code
				}
			}
			core.Tick(core.now+TickInterval, core.wall+TickInterval)
		}
		if code != 200 {
			t.Errorf("known job: %d", code)
		}
		set(false)
		if core.admission.AnyMemoryFull() {
			t.Error("memory still counts as full")
		}
	}
	core.OnPeer(core.now, "b", PeerStatus{Full: true})
	if !core.admission.AnyMemoryFull() {
		t.Error("memory does not count as full although that of another controller is")
	}
	core.advance(core.now + 2*peering.AliveTimeout)
	if core.admission.AnyMemoryFull() {
		t.Error("memory counts as full because of a controller that is no longer alive")
	}
	submit(30, "wk-000002")
	stored := false
	for _, e := range core.Drain() {
		commit, ok := e.(Commit)
		stored = stored || ok && commit.Txn.Changes[0].Key == jobPrefix+"wk-000002"
	}
	if !stored {
		t.Error("the next job was not stored")
	}
}

// TestSlowBootProvisionsAnotherMachine guards against a job that waits for a machine that does not boot. It
// used to wait as long as the slowest machines take to boot, 160 s, before another machine was provisioned.
func TestSlowBootProvisionsAnotherMachine(t *testing.T) {
	for provisionedAgo, want := range map[units.Microseconds]bool{5 * units.Second: false, 25 * units.Second: true} {
		core := newOwner(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}, ProvisionedAt: 1000*units.Second - provisionedAgo},
			jobPrefix + "wk-000001": pendingRecord(testSpec()),
		})
		provisions := false
		for range 10 {
			core.Tick(core.now+TickInterval, core.wall+TickInterval)
			for _, effect := range core.Drain() {
				_, ok := effect.(ScaleOut)
				provisions = provisions || ok
			}
		}
		if provisions != want {
			t.Errorf("machine provisioned %.0f s ago: provisions another: %v", provisionedAgo.Seconds(), provisions)
		}
	}
}

// TestAssignmentBeforeMembershipAnswer guards against a shard without an owner. The leader sees a
// controller's new membership and assigns it the shard before the controller has received the answer to its
// membership write. The controller used to miss that assignment and owned nothing for as long as its
// membership lasted: no work started, although everything else worked (rehearsals/drawn.toml, seed 407).
func TestAssignmentBeforeMembershipAnswer(t *testing.T) {
	core := New(Config{Node: "a", Size: 3, Peers: []string{"b", "c"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50, LeaderTTL: 2 * units.Second,
		Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second, CancelWithin: 40 * units.Second})
	core.Tick(units.Second, 1000*units.Second)
	core.OnList(core.now, List{}, store.OK, 100, []store.Event{{Key: leaderKey, Value: store.Value(authority.LeaderRecord{Term: 1, Node: "b", MemberID: 9}), Stamp: 10}}, false)
	core.Drain()
	core.Tick(core.now+TickInterval, core.wall+TickInterval)
	core.Drain()
	core.OnLease(core.now, store.OK, 5)
	var membership Commit
	for _, effect := range core.Drain() {
		if commit, ok := effect.(Commit); ok {
			membership = commit
		}
	}
	if membership.Txn == nil {
		t.Fatal("the membership was not written")
	}
	core.OnChanges(core.now, Watch{After: 100}, store.OK, 102, []store.Event{
		{Key: memberPrefix + "a", Value: membership.Txn.Changes[0].Value, Stamp: 101},
		{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 1, Node: "a", MemberID: 101}), Stamp: 102}}, false)
	if core.owned[0] != nil {
		t.Fatal("the shard is owned without a membership")
	}
	core.OnCommit(core.now, membership.Queue, membership.Txn, store.OK, 101, nil)
	if shard := core.owned[0]; shard == nil || shard.assignment != 102 {
		t.Fatalf("shard owned after the answer: %+v", shard)
	}
}

// TestRollbackRewritesLostRecords guards against losing acknowledged writes when the state service is rolled
// back. The owner notices a revision lower than a known one. It keeps its state and writes the lost records
// again, guarded by the versions that are stored now. It neither forgets a job nor reopens a finished one.
func TestRollbackRewritesLostRecords(t *testing.T) {
	done := jobs.Record{Status: jobs.Done, Tasks: 1}
	early, late := pendingRecord(testSpec()), pendingRecord(testSpec())
	core := newOwner(t, map[string]any{jobPrefix + "wk-000001": early, machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}}})
	core.OnChanges(core.now, Watch{After: 101}, store.OK, 120, []store.Event{
		{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Node: "a", MemberID: 1}), Stamp: 105},
		{Key: jobPrefix + "wk-000002", Value: store.Value(late), Stamp: 110},
		{Key: jobPrefix + "wk-000001", Value: store.Value(done), Stamp: 115},
		{Key: machinePrefix + "r-1", Value: store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}), Stamp: 118}}, false)
	core.Drain()
	core.OnChanges(core.now, Watch{After: 101, KnownRevision: 101}, store.OK, 110, nil, false)
	if core.cache.Recovering() {
		t.Fatal("an answer that was in flight is mistaken for a rollback")
	}
	core.OnChanges(core.now, Watch{After: 120, KnownRevision: 120}, store.OK, 107, nil, false)
	lists := false
	for _, e := range core.Drain() {
		_, ok := e.(List)
		lists = lists || ok
	}
	if !lists {
		t.Fatal("a revision below a known one did not start a listing")
	}
	core.OnList(core.now, List{}, store.OK, 108, []store.Event{
		{Key: memberPrefix + "a", Value: store.Value(authority.Member{Node: "a"}), Stamp: 1},
		{Key: jobPrefix + "wk-000001", Value: store.Value(early), Stamp: 1},
		{Key: machinePrefix + "r-1", Value: store.Value(fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}}), Stamp: 2}}, false)
	if core.jobs.Get("wk-000001").Active() || core.jobs.Get("wk-000002") == nil || core.owned[0] == nil {
		t.Fatal("the owner forgot state that the state service lost")
	}
	written, revision := map[string]uint64{}, uint64(108)
	for range 100 {
		core.Tick(core.now+TickInterval, core.wall+TickInterval)
		for _, e := range core.Drain() {
			commit, ok := e.(Commit)
			if !ok {
				continue
			}
			guards := map[string]uint64{}
			for _, g := range commit.Txn.Guards {
				guards[g.Key] = g.Version
			}
			revision++
			for _, change := range commit.Txn.Changes {
				if _, again := written[change.Key]; !again {
					written[change.Key] = guards[change.Key]
				}
			}
			core.OnCommit(core.now, commit.Queue, commit.Txn, store.OK, revision, nil)
		}
	}
	for key, guard := range map[string]uint64{jobPrefix + "wk-000001": 1, jobPrefix + "wk-000002": 0, machinePrefix + "r-1": 2, assignmentKey(0): 0} {
		if got, ok := written[key]; !ok || got != guard {
			t.Errorf("%s: written %v, guarded by version %d, want %d", key, ok, got, guard)
		}
	}
	if shard := core.owned[0]; shard == nil || shard.assignment != core.shardRecords.Assignment(0).Version {
		t.Error("the shard is not owned with the current version of its assignment")
	}
}

// newOwner returns a controller that owns the first shard and has read some records.
func newOwner(t testing.TB, values map[string]any) *Core {
	t.Helper()
	core := New(Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, ValueMax: 2 << 10, StateRate: 100, WriteRate: 50, NextWriteRate: 20, Teams: []Team{{Name: "t"}},
		LeaderTTL: 1000 * units.Second, Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second, CloudRate: 5,
		Scale: autoscaler.Params{AverageOver: 15 * units.Second, WorkPerSlot: 20 * units.Second, ScaleInAfter: 5 * units.Second}})
	core.Tick(units.Second, 1000*units.Second)
	var items []store.Event
	for _, key := range sortedKeys(values) {
		items = append(items, store.Event{Key: key, Value: store.Value(values[key]), Stamp: uint64(len(items) + 1)})
	}
	core.OnTypes(core.now, store.OK, []fleet.Type{{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"z"}, Price: 2, Boot: 10 * units.Second}})
	core.OnLease(core.now, store.OK, 7)
	for _, effect := range core.Drain() {
		if commit, ok := effect.(Commit); ok {
			core.OnCommit(core.now, commit.Queue, commit.Txn, store.OK, 1, nil)
			items = append(items, store.Event{Key: memberPrefix + "a", Value: commit.Txn.Changes[0].Value, Stamp: 1})
		}
	}
	items = append(items, store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Node: "a", MemberID: 1}), Stamp: 100})
	core.OnList(core.now, List{}, store.OK, 100, items, false)
	core.Drain()
	core.OnChanges(core.now, Watch{After: 100, Fresh: true}, store.OK, 101, nil, false)
	core.Drain()
	return core
}

// replyTo drains the core and returns the answer to a request. It fails the test if there is none.
func replyTo(t *testing.T, core *Core, request RequestID) Reply {
	t.Helper()
	for _, effect := range core.Drain() {
		if reply, ok := effect.(Reply); ok && reply.Request == request {
			return reply
		}
	}
	t.Fatalf("request %d was not answered", request)
	return Reply{}
}

// TestLeaderWaitsForCompleteCache guards against a leader that assigns shards by a
// partly reloaded watch cache. During a reload the cache may show shards as of another
// time than memberships. The leader writes nothing until the cache is complete again.
func TestLeaderWaitsForCompleteCache(t *testing.T) {
	core := newOwner(t, nil)
	serveState(t, core, map[string]store.Event{})
	if !core.election.Leads() {
		t.Fatal("the controller does not lead")
	}
	core.cfg.Size, core.cfg.LeaderTTL = 3, 2*units.Second
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b", "c"}})
	commits := func() (n int) {
		for range 100 {
			core.Tick(core.now+TickInterval, core.wall+TickInterval)
			for _, e := range core.Drain() {
				switch e := e.(type) {
				case Watch: // nothing has changed
					core.OnChanges(core.now, e, store.OK, core.cache.Revision, nil, false)
				case Commit:
					n++
				}
			}
		}
		return n
	}
	core.OnChanges(core.now, Watch{After: core.cache.Revision}, store.Failed, 0, nil, true)
	// One page of the new listing: another controller owns the shard, and its membership is on a later page.
	core.applyEvent(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 7, Node: "b", MemberID: 1 << 50}), Stamp: 1 << 51})
	if n := commits(); n > 0 {
		t.Errorf("%d transactions by a leader with an incomplete cache", n)
	}
}
