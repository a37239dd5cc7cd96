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

// pendingTime is how long package reconcile holds a heartbeat unanswered.
const pendingTime = 2 * units.Second

// idleFleet is an owner of machines that are all up and idle, in two zones. Machines
// of zone z are offered work before those of zone y.
type idleFleet struct {
	t          testing.TB
	core       *Core
	shard      *ownedShard
	jobs       int
	answers    map[RequestID]Reply
	newAnswers int // in the last tick
	started    map[RequestID]int
	newStarts  int      // in the last tick
	commits    []Commit // not answered yet
}

// newIdleFleet returns an owner to which each of its machines has sent one heartbeat.
func newIdleFleet(t testing.TB, inZoneZ, inZoneY int) *idleFleet {
	idle := &idleFleet{t: t, answers: map[RequestID]Reply{}, started: map[RequestID]int{}}
	values := map[string]any{}
	for i := 0; i < inZoneZ+inZoneY; i++ {
		zone := "z"
		if i >= inZoneZ {
			zone = "y"
		}
		key := fmt.Sprintf("%sr-%s-%05d", machinePrefix, zone, i/fleet.MaxGroup)
		group, _ := values[key].(fleet.Group)
		group.Type, group.Zone, group.Up = "big", zone, append(group.Up, machineName(i))
		values[key] = group
	}
	idle.core = newOwner(t, values)
	idle.shard = idle.core.owned[0]
	for i := range inZoneZ + inZoneY {
		machine := idle.shard.reconciler.Machine(machineName(i))
		idle.core.Heartbeat(idle.core.now, RequestID(1000+i), &fleet.Heartbeat{Machine: machine.Name, Type: "big", Zone: machine.Record.Zone, Incarnation: 1, Seq: 1, FencingToken: idle.shard.fencingToken, ReclaimIn: units.MaxTime})
	}
	idle.collect()
	return idle
}

func machineName(i int) string { return fmt.Sprintf("n-%05d", i) }

// submit adds a job whose tasks each need a whole machine.
func (f *idleFleet) submit(tasks int, zone string) {
	f.jobs++
	f.core.applyEvent(store.Event{Key: fmt.Sprintf("%swk-%06d", jobPrefix, f.jobs), Stamp: uint64(200 + f.jobs),
		Value: jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: f.core.wall, Spec: &jobs.Spec{Class: "c", Team: "t", Tasks: tasks,
			Priority: jobs.Normal, AnyType: true, Zone: zone, Demand: binpack.Vec{16_000, 0, 64_000}, Estimate: 70 * units.Second}}.Encode()})
}

// tick advances the time by 50 ms and collects the answers.
func (f *idleFleet) tick() {
	f.core.Tick(f.core.now+units.Second/20, f.core.wall+units.Second/20)
	f.collect()
}

// collect records the core's replies and commits. It fails the test if a request is answered twice.
func (f *idleFleet) collect() {
	f.newAnswers, f.newStarts = 0, 0
	for _, effect := range f.core.Drain() {
		if commit, ok := effect.(Commit); ok {
			f.commits = append(f.commits, commit)
		}
		reply, ok := effect.(Reply)
		if !ok {
			continue
		}
		if _, twice := f.answers[reply.Request]; twice {
			f.t.Fatalf("request %d is answered twice", reply.Request)
		}
		f.answers[reply.Request] = reply
		f.newAnswers++
		if response, ok := reply.Body.(HeartbeatResponse); ok && reply.Code == 200 {
			f.started[reply.Request] = len(response.Commands)
			f.newStarts += len(response.Commands)
		} else {
			f.t.Fatalf("request %d is answered %+v", reply.Request, reply)
		}
	}
}

// TestPendingHeartbeatsOfAFullShard guards against lost or repeated answers to heartbeats at the limit of
// pending ones. As many idle machines as may be pending send heartbeats, and one more, which is answered at
// once. New work starts on all pending machines, on at most reconcile.MaxOffers in a tick. The other
// heartbeats are answered once each, when they have been pending for pendingTime.
func TestPendingHeartbeatsOfAFullShard(t *testing.T) {
	if reconcile.MaxPending < 4096 {
		t.Errorf("only %d heartbeats may be pending", reconcile.MaxPending)
	}
	rng := rand.New(rand.NewPCG(44, 1))
	for _, machines := range []int{reconcile.MaxOffers, reconcile.MaxOffers + 1, reconcile.MaxPending, reconcile.MaxPending + 1} {
		pending := min(machines, reconcile.MaxPending)
		for _, tasks := range []int{0, 1, 1 + rng.IntN(pending), pending} {
			idle := newIdleFleet(t, machines, 0)
			if idle.shard.reconciler.PendingCount() != pending || idle.newAnswers != machines-pending || idle.newStarts != 0 {
				t.Fatalf("%d machines: %d heartbeats pending, %d answered at once", machines, idle.shard.reconciler.PendingCount(), idle.newAnswers)
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
				idle.tick()
				started += idle.newStarts
				if idle.newStarts > reconcile.MaxOffers {
					t.Fatalf("%d machines were given work in one tick", idle.newStarts)
				}
			}
			if started != tasks || len(idle.answers) != machines || idle.shard.reconciler.PendingCount() != 0 {
				t.Errorf("%d machines, %d tasks: %d started, %d heartbeats answered, %d pending", machines, tasks, started, len(idle.answers), idle.shard.reconciler.PendingCount())
			}
		}
	}
}

// TestEveryPendingMachineIsOfferedWork guards against starvation of pending machines.
// In every tick new work arrives that the machines which are offered work first cannot
// run. The others still get the work that they can run.
func TestEveryPendingMachineIsOfferedWork(t *testing.T) {
	idle := newIdleFleet(t, 3*reconcile.MaxOffers, reconcile.MaxOffers)
	for range 3 {
		idle.submit(1, "nowhere")
		idle.tick()
	}
	idle.submit(reconcile.MaxOffers, "y")
	started := 0
	for range 10 { // two passes of four ticks each, and a ranking
		idle.submit(1, "nowhere")
		idle.tick()
		started += idle.newStarts
	}
	if started != reconcile.MaxOffers {
		t.Errorf("%d of %d tasks started", started, reconcile.MaxOffers)
	}
}

// BenchmarkPendingHeartbeats measures the worst case of offering work to pending machines: all machines of a
// full shard are pending, and none of them can run the new work. The ranking before it is not measured.
func BenchmarkPendingHeartbeats(b *testing.B) {
	for _, machines := range []int{reconcile.MaxOffers, reconcile.MaxPending} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			idle := newIdleFleet(b, machines, 0)
			for range 100 {
				idle.submit(1, "nowhere")
			}
			idle.tick()
			reconciler, request := idle.shard.reconciler, reconcile.RequestID(0)
			var spent time.Duration
			for b.Loop() {
				reconciler.DrainPending()
				idle.core.advance(idle.core.now + units.Second)
				for i := range machines {
					request++
					machine := reconciler.Machine(machineName(i))
					machine.LastSeen = idle.core.now
					if !reconciler.HoldIdle(idle.core.now, request, machine) {
						b.Fatal("a heartbeat was not held")
					}
				}
				idle.shard.scheduler.TasksReady()
				idle.shard.scheduler.RankReady()
				from := processorTime(b)
				reconciler.OfferWork(idle.core.now, true)
				spent += processorTime(b) - from
				if reconciler.PendingCount() != machines {
					b.Fatal("a machine was given work")
				}
			}
			b.ReportMetric(float64(spent)/float64(b.N), "cpu-ns/op")
		})
	}
}

// TestUnknownMachinesAtTheLimit checks the limit of remembered unknown machines. As
// many unprovisioned machines as are remembered send heartbeats, and one more. All are
// redirected at first, and after reconcile.AdoptAfter the remembered ones are adopted.
// The one beyond the limit is remembered once others have been adopted.
func TestUnknownMachinesAtTheLimit(t *testing.T) {
	if reconcile.MaxUnknown < fleet.FullShardMachines {
		t.Errorf("only %d unknown machines are remembered", reconcile.MaxUnknown)
	}
	core := newOwner(t, nil)
	request := RequestID(1000)
	sendHeartbeat := func(i int) int {
		request++
		core.Heartbeat(core.now, request, &fleet.Heartbeat{Machine: machineName(i), Type: "big", Zone: "z", Incarnation: 1, Seq: uint64(request), ReclaimIn: units.MaxTime})
		for _, effect := range core.Drain() {
			if reply, ok := effect.(Reply); ok && reply.Request == request {
				return reply.Code
			}
		}
		return 0
	}
	for i := range reconcile.MaxUnknown + 1 {
		if code := sendHeartbeat(i); code != 421 {
			t.Fatalf("machine %d is answered %d", i, code)
		}
	}
	if unknown := core.owned[0].reconciler.UnknownCount(); unknown != reconcile.MaxUnknown {
		t.Errorf("%d unknown machines are remembered", unknown)
	}
	core.Tick(core.now+reconcile.AdoptAfter, core.wall+reconcile.AdoptAfter)
	for i := range reconcile.MaxUnknown {
		if code := sendHeartbeat(i); code != 200 {
			t.Fatalf("machine %d is answered %d", i, code)
		}
	}
	for _, want := range []int{421, 200} {
		if code := sendHeartbeat(reconcile.MaxUnknown); code != want {
			t.Errorf("the machine beyond the limit is answered %d, want %d", code, want)
		}
		core.Tick(core.now+reconcile.AdoptAfter, core.wall+reconcile.AdoptAfter)
	}
}

// TestAttemptNumbersUsedUp guards against reused attempt numbers. An owner starts
// tasks up to the last attempt number of its assignment. Numbers used to wrap around
// then, so that an attempt could have the number of an earlier one. Instead the shard
// is released, and the next assignment starts the remaining tasks.
func TestAttemptNumbersUsedUp(t *testing.T) {
	const left = 3
	idle := newIdleFleet(t, 2*left, 0)
	idle.submit(2*left, "")
	job := idle.core.jobs.Get("wk-000001")
	idle.shard.attempts = uint64(sort.Search(1<<40, func(n int) bool { return authority.AttemptsUsedUp(uint64(n)) }) - left)
	idle.tick()
	if idle.newStarts != left || job.Placed() != left {
		t.Fatalf("%d tasks started with %d numbers left", idle.newStarts, left)
	}
	last := uint64(0)
	for i := range 2 * left {
		for id, attempt := range idle.shard.reconciler.Machine(machineName(i)).Tasks {
			if attempt.Number <= last && last != 0 || attempt.Number >= authority.AttemptNumber(idle.shard.fencingToken+1, 0) || attempt.Number <= authority.AttemptNumber(idle.shard.fencingToken, 0) {
				t.Errorf("%s has attempt number %d, the one before %d", id, attempt.Number, last)
			}
			last = attempt.Number
		}
	}
	idle.core.Tick(idle.core.now+units.Second/20, idle.core.wall+units.Second/20)
	released, stored := idle.shard.releasing, false // the release is sent once the earlier writes are answered
	for range 20 {
		for _, commit := range idle.commits {
			stored = stored || slices.ContainsFunc(commit.Txn.Changes, func(change store.Change) bool {
				return change.Key == assignmentKey(0) && string(change.Value) == string(store.Value(authority.Assignment{Term: 1, ReleasedBy: "a"}))
			})
			idle.core.OnCommit(idle.core.now, commit.Queue, commit.Txn, store.Unknown, 0, nil)
		}
		idle.commits = nil
		idle.tick()
	}
	if !released || !stored {
		t.Fatalf("releasing %v, release sent to the state service %v", released, stored)
	}
	// The release is stored, and the leader assigns the shard again.
	idle.core.applyEvent(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, ReleasedBy: "a"}), Stamp: 300})
	idle.core.applyEvent(store.Event{Key: assignmentKey(0), Value: store.Value(authority.Assignment{Term: 1, Number: 1, Node: "a", MemberID: 1}), Stamp: 301})
	shard := idle.core.owned[0]
	if shard == nil || shard == idle.shard || shard.attempts != 0 || shard.fencingToken <= idle.shard.fencingToken {
		t.Fatalf("shard under the next assignment: %+v", shard)
	}
}
