package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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
	starts   int // at the last look
}

func newIdleFleet(t testing.TB, z, y int) *idleFleet {
	f := &idleFleet{t: t, answers: map[RequestID]Reply{}, started: map[RequestID]int{}}
	values := map[string]any{}
	for i := 0; i < z+y; i++ {
		zone := "z"
		if i >= z {
			zone = "y"
		}
		key := fmt.Sprintf("%sr-%s-%05d", machinePrefix, zone, i/fleet.MaxGroup)
		g, _ := values[key].(fleet.Group)
		g.Type, g.Zone, g.Up = "big", zone, append(g.Up, machineName(i))
		values[key] = g
	}
	f.c = holding(t, values)
	f.shard = f.c.owned[0]
	for i := range z + y {
		m := f.shard.reconciler.Machine(machineName(i))
		f.c.Heartbeat(f.c.now, RequestID(1000+i), &fleet.Heartbeat{Machine: m.Name, Type: "big", Zone: m.Record.Zone, Incarnation: 1, Seq: 1, FencingToken: f.shard.fencingToken, Notice: units.Never})
	}
	f.collect()
	return f
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
			f := newIdleFleet(t, machines, 0)
			if f.shard.reconciler.Pending() != pending || f.answered != machines-pending || f.starts != 0 {
				t.Fatalf("%d machines: %d heartbeats pending, %d answered at once", machines, f.shard.reconciler.Pending(), f.answered)
			}
			if machines > pending {
				if _, ok := f.answers[RequestID(1000+pending)]; !ok {
					t.Fatal("the heartbeat beyond the limit is not the one that was answered")
				}
			}
			if tasks > 0 {
				f.submit(tasks, "")
			}
			started := 0
			for range int(pendingTime/(units.Second/20)) + 1 {
				f.look()
				started += f.starts
				if f.starts > reconcile.MaxOffers {
					t.Fatalf("%d machines were given work at one look", f.starts)
				}
			}
			if started != tasks || len(f.answers) != machines || f.shard.reconciler.Pending() != 0 {
				t.Errorf("%d machines, %d tasks: %d started, %d heartbeats answered, %d pending", machines, tasks, started, len(f.answers), f.shard.reconciler.Pending())
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
			f := newIdleFleet(b, machines, 0)
			for range 100 {
				f.submit(1, "nowhere")
			}
			f.look()
			reconciler, request := f.shard.reconciler, reconcile.RequestID(0)
			var spent time.Duration
			for b.Loop() {
				reconciler.TakePending()
				f.c.advance(f.c.now + units.Second)
				for i := range machines {
					request++
					machine := reconciler.Machine(machineName(i))
					machine.LastSeen = f.c.now
					if !reconciler.KeepIdle(f.c.now, request, machine) {
						b.Fatal("a heartbeat is not kept")
					}
				}
				f.shard.scheduler.TasksReady()
				f.shard.scheduler.RankReady()
				from := processorTime(b)
				reconciler.OfferWork(f.c.now, true)
				spent += processorTime(b) - from
				if reconciler.Pending() != machines {
					b.Fatal("a machine was given work")
				}
			}
			b.ReportMetric(float64(spent)/float64(b.N), "cpu-ns/op")
		})
	}
}
