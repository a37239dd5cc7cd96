package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// pendingTime is how long package reconcile keeps a heartbeat unanswered.
const pendingTime = 2 * units.Second

// idleFleet is an owner of machines that are all up and idle, in two zones: the machines of
// zone y come after those of zone z when work is offered.
type idleFleet struct {
	t        testing.TB
	c        *Core
	shard    *ownedShard
	jobs     int
	answers  map[RequestID]Reply
	answered int // at the last look
	started  map[RequestID]int
	starts   int      // at the last look
	commits  []Commit // that are not answered
}

func newIdleFleet(t testing.TB, inZoneZ, inZoneY int) *idleFleet {
	idle := &idleFleet{t: t, answers: map[RequestID]Reply{}, started: map[RequestID]int{}}
	values := map[string]any{}
	for i := 0; i < inZoneZ+inZoneY; i++ {
		zone := "z"
		if i >= inZoneZ {
			zone = "y"
		}
		key := fmt.Sprintf("%sr-%s-%05d", machinePrefix, zone, i/fleet.MaxGroup)
		g, _ := values[key].(fleet.Group)
		g.Type, g.Zone, g.Up = "big", zone, append(g.Up, machineName(i))
		values[key] = g
	}
	idle.c = holding(t, values)
	idle.shard = idle.c.owned[0]
	for i := range inZoneZ + inZoneY {
		m := idle.shard.reconciler.Machine(machineName(i))
		idle.c.Heartbeat(idle.c.now, RequestID(1000+i), &fleet.Heartbeat{Machine: m.Name, Type: "big", Zone: m.Record.Zone, Incarnation: 1, Seq: 1, FencingToken: idle.shard.fencingToken, ReclaimIn: units.MaxTime})
	}
	idle.collect()
	return idle
}

func machineName(i int) string { return fmt.Sprintf("n-%05d", i) }

// submit has a job come of which each task fills a machine.
func (f *idleFleet) submit(tasks int, zone string) {
	f.jobs++
	f.c.learn(store.Event{Key: fmt.Sprintf("%swk-%06d", jobPrefix, f.jobs), Stamp: uint64(200 + f.jobs),
		Value: jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: f.c.wall, Spec: &jobs.Spec{Class: "c", Team: "t", Tasks: tasks,
			Priority: jobs.Normal, AnyType: true, Zone: zone, Demand: binpack.Vec{16_000, 0, 64_000}, Estimate: 70 * units.Second}}.Encode()})
}

// look lets 50 ms pass.
func (f *idleFleet) look() {
	f.c.Tick(f.c.now+units.Second/20, f.c.wall+units.Second/20)
	f.collect()
}

// collect takes in the answers. A request is answered once.
func (f *idleFleet) collect() {
	f.answered, f.starts = 0, 0
	for _, e := range f.c.Drain() {
		if commit, ok := e.(Commit); ok {
			f.commits = append(f.commits, commit)
		}
		r, ok := e.(Reply)
		if !ok {
			continue
		}
		if _, twice := f.answers[r.Request]; twice {
			f.t.Fatalf("request %d is answered twice", r.Request)
		}
		f.answers[r.Request] = r
		f.answered++
		if o, ok := r.Body.(HeartbeatResponse); ok && r.Code == 200 {
			f.started[r.Request] = len(o.Commands)
			f.starts += len(o.Commands)
		} else {
			f.t.Fatalf("request %d is answered %+v", r.Request, r)
		}
	}
}

// TestPendingHeartbeatsOfAFullShard has as many idle machines send heartbeats as may be pending, and one more:
// that one is answered at once. Work that comes starts on all that wait, on so many at a look as
// are offered it; the other heartbeats are answered when they were pending long enough, each once.
func TestPendingHeartbeatsOfAFullShard(t *testing.T) {
	if reconcile.MaxPending < 4096 {
		t.Errorf("%d heartbeats are kept", reconcile.MaxPending)
	}
	rng := rand.New(rand.NewPCG(44, 1))
	for _, machines := range []int{reconcile.MaxOffers, reconcile.MaxOffers + 1, reconcile.MaxPending, reconcile.MaxPending + 1} {
		pending := min(machines, reconcile.MaxPending)
		for _, tasks := range []int{0, 1, 1 + rng.IntN(pending), pending} {
			idle := newIdleFleet(t, machines, 0)
			if idle.shard.reconciler.PendingCount() != pending || idle.answered != machines-pending || idle.starts != 0 {
				t.Fatalf("%d machines: %d heartbeats pending, %d answered at once", machines, idle.shard.reconciler.PendingCount(), idle.answered)
			}
			if machines > pending {
				if _, ok := idle.answers[RequestID(1000+pending)]; !ok {
					t.Fatal("the heartbeat beyond the limit is not the one that was answered")
				}
			}
			if tasks > 0 {
				idle.submit(tasks, "")
			}
			started := 0
			for range int(pendingTime/(units.Second/20)) + 1 {
				idle.look()
				started += idle.starts
				if idle.starts > reconcile.MaxOffers {
					t.Fatalf("%d machines were given work at one look", idle.starts)
				}
			}
			if started != tasks || len(idle.answers) != machines || idle.shard.reconciler.PendingCount() != 0 {
				t.Errorf("%d machines, %d tasks: %d started, %d heartbeats answered, %d pending", machines, tasks, started, len(idle.answers), idle.shard.reconciler.PendingCount())
			}
		}
	}
}

// TestEveryPendingMachineHasItsTurn has work come at every look that the machines which are offered
// work first cannot take. The others are offered theirs all the same.
func TestEveryPendingMachineHasItsTurn(t *testing.T) {
	f := newIdleFleet(t, 3*reconcile.MaxOffers, reconcile.MaxOffers)
	for range 3 {
		f.submit(1, "nowhere")
		f.look()
	}
	f.submit(reconcile.MaxOffers, "y")
	started := 0
	for range 10 { // two passes of four looks each, and a ranking
		f.submit(1, "nowhere")
		f.look()
		started += f.starts
	}
	if started != reconcile.MaxOffers {
		t.Errorf("%d of %d tasks started", started, reconcile.MaxOffers)
	}
}

// BenchmarkPendingHeartbeats measures a look at which all machines of a full shard wait for work,
// and work has come that none of them can take: the longest. The ranking before is not counted.
func BenchmarkPendingHeartbeats(b *testing.B) {
	for _, machines := range []int{reconcile.MaxOffers, reconcile.MaxPending} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			idle := newIdleFleet(b, machines, 0)
			for range 100 {
				idle.submit(1, "nowhere")
			}
			idle.look()
			reconciler, request := idle.shard.reconciler, reconcile.RequestID(0)
			var spent time.Duration
			for b.Loop() {
				reconciler.DrainPending()
				idle.c.advance(idle.c.now + units.Second)
				for i := range machines {
					request++
					machine := reconciler.Machine(machineName(i))
					machine.LastSeen = idle.c.now
					if !reconciler.HoldIdle(idle.c.now, request, machine) {
						b.Fatal("a heartbeat is not kept")
					}
				}
				idle.shard.scheduler.TasksReady()
				idle.shard.scheduler.RankReady()
				from := processorTime(b)
				reconciler.OfferWork(idle.c.now, true)
				spent += processorTime(b) - from
				if reconciler.PendingCount() != machines {
					b.Fatal("a machine was given work")
				}
			}
			b.ReportMetric(float64(spent)/float64(b.N), "cpu-ns/op")
		})
	}
}

// TestUnknownMachinesAtTheLimit has as many machines send heartbeats that nobody has provisioned as
// are remembered, and one more: all are sent on, and after a while those that are remembered are
// taken in. The one beyond is remembered once there is room.
func TestUnknownMachinesAtTheLimit(t *testing.T) {
	if reconcile.MaxUnknown < fleet.FullShardMachines {
		t.Errorf("%d unknown machines are remembered", reconcile.MaxUnknown)
	}
	core := holding(t, nil)
	req := RequestID(1000)
	report := func(i int) int {
		req++
		core.Heartbeat(core.now, req, &fleet.Heartbeat{Machine: machineName(i), Type: "big", Zone: "z", Incarnation: 1, Seq: uint64(req), ReclaimIn: units.MaxTime})
		for _, e := range core.Drain() {
			if r, ok := e.(Reply); ok && r.Request == req {
				return r.Code
			}
		}
		return 0
	}
	for i := range reconcile.MaxUnknown + 1 {
		if code := report(i); code != 421 {
			t.Fatalf("machine %d is answered %d", i, code)
		}
	}
	if n := core.owned[0].reconciler.UnknownCount(); n != reconcile.MaxUnknown {
		t.Errorf("%d are remembered", n)
	}
	core.Tick(core.now+reconcile.AdoptAfter, core.wall+reconcile.AdoptAfter)
	for i := range reconcile.MaxUnknown {
		if code := report(i); code != 200 {
			t.Fatalf("machine %d is answered %d", i, code)
		}
	}
	for _, want := range []int{421, 200} {
		if code := report(reconcile.MaxUnknown); code != want {
			t.Errorf("the one beyond is answered %d, want %d", code, want)
		}
		core.Tick(core.now+reconcile.AdoptAfter, core.wall+reconcile.AdoptAfter)
	}
}

// TestLastAttemptOfAnAssignment has an owner start tasks up to the last attempt number of its
// assignment. Numbers used to begin anew then, so that a task's attempt could have the number of an earlier
// one. The shard is released instead, and its next assignment starts the rest.
func TestLastAttemptOfAnAssignment(t *testing.T) {
	const left = 3
	idle := newIdleFleet(t, 2*left, 0)
	idle.submit(2*left, "")
	j := idle.c.jobs.Get("wk-000001")
	idle.shard.attempts = uint64(sort.Search(1<<40, func(n int) bool { return authority.AttemptsUsedUp(uint64(n)) }) - left)
	idle.look()
	if idle.starts != left || j.Placed() != left {
		t.Fatalf("%d tasks started with %d numbers left", idle.starts, left)
	}
	last := uint64(0)
	for i := range 2 * left {
		for id, a := range idle.shard.reconciler.Machine(machineName(i)).Tasks {
			if a.Number <= last && last != 0 || a.Number >= authority.AttemptNumber(idle.shard.fencingToken+1, 0) || a.Number <= authority.AttemptNumber(idle.shard.fencingToken, 0) {
				t.Errorf("%s has attempt %d after %d", id, a.Number, last)
			}
			last = a.Number
		}
	}
	idle.c.Tick(idle.c.now+units.Second/20, idle.c.wall+units.Second/20)
	released, stored := idle.shard.releasing, false // the release is sent once the writes before it are answered
	for range 20 {
		for _, commit := range idle.commits {
			stored = stored || slices.ContainsFunc(commit.Txn.Changes, func(change store.Change) bool {
				return change.Key == assignmentKey(0) && string(change.Value) == string(store.Value(authority.Assignment{Term: 1, ReleasedBy: "a"}))
			})
			idle.c.OnCommit(idle.c.now, commit.Queue, commit.Txn, store.Unknown, 0, nil)
		}
		idle.commits = nil
		idle.look()
	}
	if !released || !stored {
		t.Fatalf("released %v, being stored %v", released, stored)
	}
	// That is stored, and the leader assigns the shard anew.
	idle.c.learn(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, ReleasedBy: "a"}), Stamp: 300})
	idle.c.learn(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 1, Node: "a", MemberID: 1}), Stamp: 301})
	shard := idle.c.owned[0]
	if shard == nil || shard == idle.shard || shard.attempts != 0 || shard.fencingToken <= idle.shard.fencingToken {
		t.Fatalf("next assignment %+v", shard)
	}
}
