package core

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// busyFleet is a full fleet with jobs of 13 tasks that wait, half of them for other machines: each
// heartbeat shows that one task is completed, and the next is started. Jobs that are over are replaced,
// so that as many wait all the time.
type busyFleet struct {
	core       *Core
	shard      *ownedShard
	names      []string // of the machines
	teams      int
	waiting    int // jobs
	jobs       int // that came so far
	heartbeats int
	started    int
}

// fleetHeartbeats is how many heartbeats the 3,700 machines of the target send in a second.
const fleetHeartbeats = 740

func newBusyFleet(tb testing.TB, machines, teams, waiting int) *busyFleet {
	busy := &busyFleet{teams: teams, waiting: waiting}
	values := map[string]any{}
	for i := 0; i < machines; i += fleet.MaxGroup {
		g := fleet.Group{Type: "big", Zone: "z"}
		for k := i; k < min(i+fleet.MaxGroup, machines); k++ {
			g.Up = append(g.Up, fmt.Sprintf("n-%05d", k))
		}
		busy.names = append(busy.names, g.Up...)
		values[fmt.Sprintf("%sr-%05d", machinePrefix, i)] = g
	}
	busy.core = newOwner(tb, values)
	busy.shard = busy.core.owned[0]
	busy.core.cfg.Teams = nil
	for i := range teams {
		busy.core.cfg.Teams = append(busy.core.cfg.Teams, Team{Name: fmt.Sprintf("t%d", i), Guarantee: binpack.Vec{int64(machines * 16_000 / teams), 0, 0}})
	}
	for i := range busy.core.cfg.Teams {
		busy.core.teams[busy.core.cfg.Teams[i].Name] = &busy.core.cfg.Teams[i]
	}
	for _, m := range busy.shard.reconciler.Machines() {
		m.Type, m.LastSeen = busy.core.types["big"], busy.core.now
		busy.shard.reconciler.MarkReconciled(busy.core.now, m)
	}
	for busy.core.jobs.ActiveLen() < waiting+machines { // so many are about to run
		busy.submit(busy.jobs%2 == 0 || busy.core.jobs.ActiveLen() > waiting)
	}
	for range machines {
		busy.heartbeat()
	}
	busy.started = 0
	return busy
}

// submit has a job come. One that is not for this fleet waits for machines of another type, and
// goes before the others.
func (f *busyFleet) submit(here bool) {
	f.jobs++
	id := fmt.Sprintf("wk-%06d", f.jobs)
	r := jobs.Record{Status: jobs.Pending, Tasks: 13, Submitted: f.core.wall, Spec: &jobs.Spec{Class: "c", Team: fmt.Sprintf("t%d", f.jobs%f.teams),
		Priority: jobs.Normal, Tasks: 13, AnyType: true, Demand: binpack.Vec{2000, 0, int64(1+f.jobs%4) * 1000}, Estimate: 70 * units.Second}}
	if !here {
		r.Spec.AnyType, r.Spec.Types, r.Spec.Priority = false, []string{"other"}, jobs.High
	}
	f.core.applyEvent(store.Event{Key: jobPrefix + id, Value: r.Encode(), Stamp: uint64(200 + f.jobs)})
}

// heartbeat has the next machine finish a task, and be given others.
func (f *busyFleet) heartbeat() {
	c, shard := f.core, f.shard
	c.advance(c.now + units.Second/fleetHeartbeats)
	c.wall += units.Second / fleetHeartbeats
	f.heartbeats++
	machine := shard.reconciler.Machine(f.names[f.heartbeats%len(f.names)])
	machine.LastSeen = c.now
	if tasks := machine.TaskIDs(); len(tasks) > 0 {
		id := tasks[f.heartbeats%len(tasks)]
		j := c.jobs.Get(id.Job)
		j.Finish(id.Task, c.jobs.Layout())
		shard.reconciler.Remove(c.now, machine, id)
		if j.AllFinished() {
			c.applyEvent(store.Event{Key: jobPrefix + id.Job, Value: jobs.Record{Status: jobs.Done, Tasks: 13}.Encode(), Stamp: j.Version})
			f.submit(true)
		}
	}
	f.started += len(shard.scheduler.Fill(machine))
	shard.scheduler.Preempt(machine)
}

// processorTime is what this process has used so far; other processes' load does not count.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeartbeatByJobs measures what a heartbeat costs that shows a completed task: rankings, the
// next start, and the look for what it might stop.
func BenchmarkHeartbeatByJobs(b *testing.B) {
	for _, size := range []struct{ machines, teams, waiting int }{
		{100, 10, 300}, {100, 30, 300}, {100, 100, 300}, {100, 340, 300},
		{100, 340, 100}, {100, 340, 1000}, {100, 340, 3000}, {100, 10, 3000},
		{370, 340, 3000}, {925, 340, 3000}, {1850, 340, 3000}, {3700, 340, 3000},
	} {
		b.Run(fmt.Sprintf("machines=%d/teams=%d/waiting=%d", size.machines, size.teams, size.waiting), func(b *testing.B) {
			f := newBusyFleet(b, size.machines, size.teams, size.waiting)
			from := processorTime(b)
			for b.Loop() {
				f.heartbeat()
			}
			b.ReportMetric(float64(processorTime(b)-from)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(f.started)/float64(b.N), "starts/op")
		})
	}
}

// TestHeartbeatSteps holds what a heartbeat costs to a bound that grows neither with the jobs that wait
// nor with the teams, counted in jobs that are looked at. It used to grow with both: each ranking
// added up all teams for every job, and each heartbeat went through all jobs.
func TestHeartbeatSteps(t *testing.T) {
	perHeartbeat := func(teams, waiting int) float64 {
		f := newBusyFleet(t, 100, teams, waiting)
		const reports = 3 * fleetHeartbeats
		from := f.shard.scheduler.Steps()
		for range reports {
			f.heartbeat()
		}
		if f.started < reports*9/10 {
			t.Errorf("%d teams, %d jobs: %d starts in %d heartbeats", teams, waiting, f.started, reports)
		}
		return float64(f.shard.scheduler.Steps()-from) / reports
	}
	base := perHeartbeat(10, 1000)
	for _, size := range []struct {
		teams, waiting int
		times          float64 // that of the base, at most
	}{{30, 1000, 1.1}, {100, 1000, 1.1}, {340, 1000, 1.1}, {340, 100, 1.1}, {340, 300, 1.1}, {10, 3000, 1.25}, {340, 3000, 1.25}, {340, 10_000, 1.6}} {
		got := perHeartbeat(size.teams, size.waiting)
		t.Logf("%d teams, %d jobs: %.1f steps a heartbeat (%.1f)", size.teams, size.waiting, got, base)
		if got > size.times*base {
			t.Errorf("%d teams, %d jobs: more than %g times the steps with 10 teams and 1,000 jobs", size.teams, size.waiting, size.times)
		}
	}
}

// BenchmarkOwnerMemory measures what a holder keeps: of machines with their tasks, with few jobs
// that wait; and of jobs that wait, with few machines.
func BenchmarkOwnerMemory(b *testing.B) {
	for _, size := range []struct{ machines, waiting int }{{370, 300}, {925, 300}, {1850, 300}, {3700, 300}, {100, 1000}, {100, 3000}, {100, 10_000}, {100, 30_000}} {
		b.Run(fmt.Sprintf("machines=%d/waiting=%d", size.machines, size.waiting), func(b *testing.B) {
			for b.Loop() {
				from := heap()
				f := newBusyFleet(b, size.machines, 340, size.waiting)
				b.ReportMetric(float64(heap()-from)/(1<<20), "MB")
				runtime.KeepAlive(f)
			}
		})
	}
}

// heap is what is alive, in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkListing measures what it takes a controller that starts to take in the listing, by
// jobs that are not over.
func BenchmarkListing(b *testing.B) {
	for _, count := range []int{1000, 3000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			var items []store.Event
			for i := range count {
				r := jobs.Record{Status: jobs.Pending, Tasks: 13, Submitted: units.Second, Spec: &jobs.Spec{Class: "c", Team: "t1", Tasks: 13, AnyType: true,
					Demand: binpack.Vec{2000, 0, 1000}, Estimate: 70 * units.Second, Image: "registry/image"}}
				items = append(items, store.Event{Key: fmt.Sprintf("%swk-%06d", jobPrefix, i+1), Value: r.Encode(), Stamp: uint64(i + 1)})
			}
			from := processorTime(b)
			for b.Loop() {
				c := newOwner(b, nil)
				for _, e := range items {
					c.applyEvent(e)
				}
			}
			b.ReportMetric(float64(processorTime(b)-from)/float64(b.N)/1e6, "cpu-ms/op")
		})
	}
}

// BenchmarkStats measures what a scrape of the metrics takes of the core, by machines.
func BenchmarkStats(b *testing.B) {
	for _, machines := range []int{370, 925, 1850, 3700} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			f := newBusyFleet(b, machines, 340, machines)
			from := processorTime(b)
			for b.Loop() {
				f.core.Stats(1)
				f.core.effects = nil
			}
			b.ReportMetric(float64(processorTime(b)-from)/float64(b.N), "cpu-ns/op")
		})
	}
}
