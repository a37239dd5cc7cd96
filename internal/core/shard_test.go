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

// TestMachineAgeOutlivesOwner has a new holder take over a machine that was
// rented long ago. Taken for new, it would be kept idle for its least charge once
// more: with a hand-over a minute nothing was returned at all.
func TestMachineAgeOutlivesOwner(t *testing.T) {
	c := New(Config{Node: "a", Size: 1, TxnOps: 8, ValueKB: 8, StateRate: 100, WriteRate: 50,
		LeaderTTL: 1000 * units.Second, Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second})
	now, wall := units.Second, 1000*units.Second
	c.Tick(now, wall)
	g := fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}, ProvisionedAt: wall - 400*units.Second}
	c.OnList(now, List{}, store.OK, 5, []store.Event{{Key: machinePrefix + "r-1", Value: store.Value(g), Stamp: 3}}, false)
	c.own(0, shardplan.Assignment{Version: 4})
	c.Drain()
	c.OnChanges(now, Watch{After: 5, Fresh: true}, store.OK, 5, nil, false)
	m := c.owned[0].reconciler.Machine("n-1")
	if m == nil || now-m.ProvisionedAt != 400*units.Second {
		t.Fatalf("machine %+v", m)
	}
}

// TestUnresponsiveZone has most machines of a zone go silent together while the others
// are heard. What they may run waited for their leases.
func TestUnresponsiveZone(t *testing.T) {
	var names []string
	for i := range 9 {
		names = append(names, fmt.Sprintf("n-%d", i))
	}
	for heard, want := range map[int]int{0: 0, 1: 0, 3: 6} {
		c := holding(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: names}})
		c.cfg.Zones, c.cfg.Lease = []string{"z"}, 60*units.Second
		returned := map[string]bool{}
		for i := range 200 {
			for k := range heard {
				if i%20 == k {
					c.Heartbeat(c.now, RequestID(1000*i+k+1), &fleet.Heartbeat{Machine: names[k], Type: "big", Zone: "z", Incarnation: 1, Seq: uint64(i + 1), FencingToken: c.owned[0].fencingToken, ReclaimIn: units.MaxTime})
				}
			}
			c.Tick(c.now+TickInterval, c.wall+TickInterval)
			for _, e := range c.Drain() {
				if r, ok := e.(ScaleIn); ok {
					for _, n := range r.Names {
						returned[n] = true
					}
				}
			}
		}
		if len(returned) != want {
			t.Errorf("%d of 9 heard: %d returned", heard, len(returned))
		}
	}
}

// TestDeprovisionedMachineIsNotWaitedFor has machines taken, or returned, while nothing could
// be stored of it. The list does not show them, so that their addresses are not known and
// they were never asked: all work that was accepted earlier waited 10 s for them, and 14 s
// for many. One that is too young to be listed is waited for, and so are all where a list
// shows hardly any.
func TestDeprovisionedMachineIsNotWaitedFor(t *testing.T) {
	names := []string{"n-0", "n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	for _, test := range []struct {
		gone   int // the last ones
		rented units.Microseconds
		want   int
	}{{1, 100 * units.Second, 1}, {3, 100 * units.Second, 3}, {3, 2 * units.Second, 0}, {5, 100 * units.Second, 0}} {
		lives := len(names) - test.gone
		k := holding(t, map[string]any{
			machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: names[:lives], ProvisionedAt: 900 * units.Second},
			machinePrefix + "r-2": fleet.Group{Type: "big", Zone: "z", Up: names[lives:], ProvisionedAt: 1000*units.Second - test.rented},
		})
		k.cfg.Lease, k.cfg.HeartbeatInterval, k.cfg.ListLag = 60*units.Second, 6*units.Second, 3*units.Second
		shard := k.owned[0]
		returned := 0
		for i := range 40 { // 2 s
			if i < lives {
				k.Heartbeat(k.now, RequestID(1000+i), &fleet.Heartbeat{Machine: names[i], Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime})
			}
			k.Tick(k.now+TickInterval, k.wall+TickInterval)
			for _, e := range k.Drain() {
				switch e := e.(type) {
				case ListMachines:
					var list []ListedMachine
					for _, n := range names[:lives] {
						list = append(list, ListedMachine{Name: n})
					}
					k.OnListMachines(k.now, e, store.OK, list)
				case ScaleIn:
					returned += len(e.Names)
				}
			}
		}
		if returned != test.want || len(shard.reconciler.Unreconciled()) != test.gone {
			t.Errorf("%d gone, rented %.0f s ago: %d given up, %d unaccounted for", test.gone, test.rented.Seconds(), returned, len(shard.reconciler.Unreconciled()))
		}
	}
}

// TestFullMemory has memory run full, here and at another controller: new jobs are sent away
// with when to come back, known ones are answered as ever, and once there is room again, or
// the other is heard no more, the next is taken.
func TestFullMemory(t *testing.T) {
	core := holding(t, map[string]any{jobPrefix + "wk-000001": pending(job())})
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
	spec := job()
	submit := func(req RequestID, id string) { core.Submit(core.now, req, id, spec, "") }
	for i, set := range []func(full bool){core.SetMemoryFull, func(full bool) { core.OnPeer(core.now, "b", PeerStatus{Full: full}) }} {
		set(true)
		submit(RequestID(10+i), "wk-000002")
		if r := replyTo(t, core, RequestID(10+i)); r.Code != 503 || r.RetryAfter != admission.LongRetryAfter {
			t.Errorf("new job: %+v", r)
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
			t.Error("crowded still")
		}
	}
	core.OnPeer(core.now, "b", PeerStatus{Full: true})
	if !core.admission.AnyMemoryFull() {
		t.Error("not crowded while another is full")
	}
	core.advance(core.now + 2*peering.AliveFor)
	if core.admission.AnyMemoryFull() {
		t.Error("crowded by one that is heard no more")
	}
	submit(30, "wk-000002")
	taken := false
	for _, e := range core.Drain() {
		w, ok := e.(Commit)
		taken = taken || ok && w.Txn.Changes[0].Key == jobPrefix+"wk-000002"
	}
	if !taken {
		t.Error("the next job is not stored")
	}
}

// TestSlowBoot has a job wait for a machine that does not come up. It waited for as
// long as the slowest machines take, 160 s: no other was rented for it.
func TestSlowBoot(t *testing.T) {
	for rented, want := range map[units.Microseconds]bool{5 * units.Second: false, 25 * units.Second: true} {
		c := holding(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}, ProvisionedAt: 1000*units.Second - rented},
			jobPrefix + "wk-000001": pending(job()),
		})
		rents := false
		for range 10 {
			c.Tick(c.now+TickInterval, c.wall+TickInterval)
			for _, e := range c.Drain() {
				_, ok := e.(ScaleOut)
				rents = rents || ok
			}
		}
		if rents != want {
			t.Errorf("rented %.0f s ago: rents another: %v", rented.Seconds(), rents)
		}
	}
}

// TestAssignmentBeforeMembershipIsAnswered has the leader see a controller's new seat, and grant
// it the block, before the state service's answer has come to the controller. It
// missed the grant and held nothing as long as its seat stood: no work started,
// though everything worked (rehearsals/drawn.toml, seed 407).
func TestAssignmentBeforeMembershipIsAnswered(t *testing.T) {
	core := New(Config{Node: "a", Size: 3, Peers: []string{"b", "c"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50, LeaderTTL: 2 * units.Second,
		Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second, CancelWithin: 40 * units.Second})
	core.Tick(units.Second, 1000*units.Second)
	core.OnList(core.now, List{}, store.OK, 100, []store.Event{{Key: leaderKeyFirst, Value: store.Value(authority.LeaderRecord{Term: 1, Node: "b", MemberID: 9}), Stamp: 10}}, false)
	core.Drain()
	core.Tick(core.now+TickInterval, core.wall+TickInterval)
	core.Drain()
	core.OnLease(core.now, store.OK, 5)
	var seat Commit
	for _, e := range core.Drain() {
		if cm, ok := e.(Commit); ok {
			seat = cm
		}
	}
	if seat.Txn == nil {
		t.Fatal("no seat is taken")
	}
	core.OnChanges(core.now, Watch{After: 100}, store.OK, 102, []store.Event{
		{Key: memberPrefix + "a", Value: seat.Txn.Changes[0].Value, Stamp: 101},
		{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 1, Node: "a", MemberID: 101}), Stamp: 102}}, false)
	if core.owned[0] != nil {
		t.Fatal("held without a seat")
	}
	core.OnCommit(core.now, seat.Queue, seat.Txn, store.OK, 101, nil)
	if shard := core.owned[0]; shard == nil || shard.assignment != 102 {
		t.Fatalf("held: %+v", shard)
	}
}

// TestLostWritesAreWrittenAgain has the state service go back behind what it has
// answered. The holder notices it by a revision, keeps what it knows, writes it again
// under the versions that are there now, and neither forgets a job nor takes back an end.
func TestLostWritesAreWrittenAgain(t *testing.T) {
	done := jobs.Record{Status: jobs.Done, Tasks: 1}
	early, late := pending(job()), pending(job())
	core := holding(t, map[string]any{jobPrefix + "wk-000001": early, machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}}})
	core.OnChanges(core.now, Watch{After: 101}, store.OK, 120, []store.Event{
		{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Node: "a", MemberID: 1}), Stamp: 105},
		{Key: jobPrefix + "wk-000002", Value: store.Value(late), Stamp: 110},
		{Key: jobPrefix + "wk-000001", Value: store.Value(done), Stamp: 115},
		{Key: machinePrefix + "r-1", Value: store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}), Stamp: 118}}, false)
	core.Drain()
	core.OnChanges(core.now, Watch{After: 101, KnownRevision: 101}, store.OK, 110, nil, false)
	if core.cache.Recovering() {
		t.Fatal("an answer that was under way is taken for a service that went back")
	}
	core.OnChanges(core.now, Watch{After: 120, KnownRevision: 120}, store.OK, 107, nil, false)
	lists := false
	for _, e := range core.Drain() {
		_, ok := e.(List)
		lists = lists || ok
	}
	if !lists {
		t.Fatal("a revision below a known one was not noticed")
	}
	core.OnList(core.now, List{}, store.OK, 108, []store.Event{
		{Key: memberPrefix + "a", Value: store.Value(authority.Member{Node: "a"}), Stamp: 1},
		{Key: jobPrefix + "wk-000001", Value: store.Value(early), Stamp: 1},
		{Key: machinePrefix + "r-1", Value: store.Value(fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}}), Stamp: 2}}, false)
	if core.jobs.Get("wk-000001").Active() || core.jobs.Get("wk-000002") == nil || core.owned[0] == nil {
		t.Fatal("what was lost is forgotten")
	}
	written, rev := map[string]uint64{}, uint64(108)
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
			rev++
			for _, ch := range commit.Txn.Changes {
				if _, again := written[ch.Key]; !again {
					written[ch.Key] = guards[ch.Key]
				}
			}
			core.OnCommit(core.now, commit.Queue, commit.Txn, store.OK, rev, nil)
		}
	}
	for key, guard := range map[string]uint64{jobPrefix + "wk-000001": 1, jobPrefix + "wk-000002": 0, machinePrefix + "r-1": 2, assignmentKey(0): 0} {
		if got, ok := written[key]; !ok || got != guard {
			t.Errorf("%s: written %v, guarded by version %d, want %d", key, ok, got, guard)
		}
	}
	if shard := core.owned[0]; shard == nil || shard.assignment != core.shardRecords.Assignment(0).Version {
		t.Error("the block is not held under the version that it has now")
	}
}

// holding returns a controller that holds the first block and has read some
// records.
func holding(t testing.TB, values map[string]any) *Core {
	t.Helper()
	core := New(Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, ValueMax: 2 << 10, StateRate: 100, WriteRate: 50, NextWriteRate: 20, Teams: []Team{{Name: "t"}},
		LeaderTTL: 1000 * units.Second, Lease: 10 * units.Second, HeartbeatInterval: 3 * units.Second, CloudRate: 5,
		Scale: autoscaler.Params{AverageOver: 15 * units.Second, WorkPerSlot: 20 * units.Second, ScaleInAfter: 5 * units.Second}})
	core.Tick(units.Second, 1000*units.Second)
	var items []store.Event
	for _, k := range sortedKeys(values) {
		items = append(items, store.Event{Key: k, Value: store.Value(values[k]), Stamp: uint64(len(items) + 1)})
	}
	core.OnTypes(core.now, store.OK, []fleet.Type{{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"z"}, Price: 2, Boot: 10 * units.Second}})
	core.OnLease(core.now, store.OK, 7)
	for _, e := range core.Drain() {
		if w, ok := e.(Commit); ok {
			core.OnCommit(core.now, w.Queue, w.Txn, store.OK, 1, nil)
			items = append(items, store.Event{Key: memberPrefix + "a", Value: w.Txn.Changes[0].Value, Stamp: 1})
		}
	}
	items = append(items, store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Node: "a", MemberID: 1}), Stamp: 100})
	core.OnList(core.now, List{}, store.OK, 100, items, false)
	core.Drain()
	core.OnChanges(core.now, Watch{After: 100, Fresh: true}, store.OK, 101, nil, false)
	core.Drain()
	return core
}

// replyTo returns the answer to a request.
func replyTo(t *testing.T, c *Core, req RequestID) Reply {
	t.Helper()
	for _, e := range c.Drain() {
		if r, ok := e.(Reply); ok && r.Request == req {
			return r
		}
	}
	t.Fatalf("request %d is not answered", req)
	return Reply{}
}

// While the copy is taken anew it shows blocks as of another time than seats: a leader gives
// nothing away until it is whole again.
func TestTornCopy(t *testing.T) {
	core := holding(t, nil)
	serve(t, core, map[string]store.Event{})
	if !core.election.Leads() {
		t.Fatal("nobody leads")
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
	// A page of the new listing: the block is another's, whose seat is on a later one.
	core.learn(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 7, Node: "b", MemberID: 1 << 50}), Stamp: 1 << 51})
	if n := commits(); n > 0 {
		t.Errorf("%d transactions of a leader whose copy is not whole", n)
	}
}
