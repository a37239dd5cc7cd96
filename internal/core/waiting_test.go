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

// busyFleet is an owner of fully used machines with waiting jobs of 13 tasks, half of which need machines of
// another type. Each heartbeat reports one completed task, and the next one is started. Finished jobs are
// replaced, so that the number of waiting jobs stays the same.
type busyFleet struct {
	core       *Core
	shard      *ownedShard
	names      []string // names of the machines
	teams      int
	waiting    int // number of waiting jobs
	jobs       int // number of jobs submitted so far
	heartbeats int
	started    int
}

// fleetHeartbeats is the number of heartbeats per second that 3,700 machines, the target fleet size, send.
const fleetHeartbeats = 740

// newBusyFleet returns a fleet whose machines are all running tasks.
func newBusyFleet(tb testing.TB, machines, teams, waiting int) *busyFleet {
	busy := &busyFleet{teams: teams, waiting: waiting}
	values := map[string]any{}
	for i := 0; i < machines; i += fleet.MaxGroup {
		group := fleet.Group{Type: "big", Zone: "z"}
		for k := i; k < min(i+fleet.MaxGroup, machines); k++ {
			group.Up = append(group.Up, fmt.Sprintf("n-%05d", k))
		}
		busy.names = append(busy.names, group.Up...)
		values[fmt.Sprintf("%sr-%05d", machinePrefix, i)] = group
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
	for _, machine := range busy.shard.reconciler.Machines() {
		machine.Type, machine.LastSeen = busy.core.types["big"], busy.core.now
		busy.shard.reconciler.MarkReconciled(busy.core.now, machine)
	}
	for busy.core.jobs.ActiveLen() < waiting+machines { // besides the waiting jobs, one for each machine is about to start
		busy.submit(busy.jobs%2 == 0 || busy.core.jobs.ActiveLen() > waiting)
	}
	for range machines {
		busy.heartbeat()
	}
	busy.started = 0
	return busy
}

// submit adds a job. If here is false, the job needs machines of another type and ranks before the others.
func (f *busyFleet) submit(here bool) {
	f.jobs++
	id := fmt.Sprintf("wk-%06d", f.jobs)
	record := jobs.Record{Status: jobs.Pending, Tasks: 13, Submitted: f.core.wall, Spec: &jobs.Spec{Class: "c", Team: fmt.Sprintf("t%d", f.jobs%f.teams),
		Priority: jobs.Normal, Tasks: 13, AnyType: true, Demand: binpack.Vec{2000, 0, int64(1+f.jobs%4) * 1000}, Estimate: 70 * units.Second}}
	if !here {
		record.Spec.AnyType, record.Spec.Types, record.Spec.Priority = false, []string{"other"}, jobs.High
	}
	f.core.applyEvent(store.Event{Key: jobPrefix + id, Value: record.Encode(), Stamp: uint64(200 + f.jobs)})
}

// heartbeat lets the next machine finish a task and start others.
func (f *busyFleet) heartbeat() {
	core, shard := f.core, f.shard
	core.advance(core.now + units.Second/fleetHeartbeats)
	core.wall += units.Second / fleetHeartbeats
	f.heartbeats++
	machine := shard.reconciler.Machine(f.names[f.heartbeats%len(f.names)])
	machine.LastSeen = core.now
	if tasks := machine.TaskIDs(); len(tasks) > 0 {
		id := tasks[f.heartbeats%len(tasks)]
		job := core.jobs.Get(id.Job)
		job.Finish(id.Task, core.jobs.Layout())
		shard.reconciler.Remove(core.now, machine, id)
		if job.AllFinished() {
			core.applyEvent(store.Event{Key: jobPrefix + id.Job, Value: jobs.Record{Status: jobs.Done, Tasks: 13}.Encode(), Stamp: job.Version})
			f.submit(true)
		}
	}
	f.started += len(shard.scheduler.Fill(machine))
	shard.scheduler.Preempt(machine)
}

// processorTime returns the CPU time that this process has used so far. Unlike elapsed
// time it does not depend on the load by other processes.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatByJobs measures the CPU time of a heartbeat that reports a completed task: ranking,
// starting the next task, and the search for tasks to preempt.
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

// TestHeartbeatSteps guards against a cost per heartbeat that grows with the number of waiting jobs or of
// teams. The cost is counted in jobs examined. It used to grow with both: each ranking summed over all teams
// for every job, and each heartbeat iterated over all jobs.
func TestHeartbeatSteps(t *testing.T) {
	perHeartbeat := func(teams, waiting int) float64 {
		f := newBusyFleet(t, 100, teams, waiting)
		const heartbeats = 3 * fleetHeartbeats
		from := f.shard.scheduler.Steps()
		for range heartbeats {
			f.heartbeat()
		}
		if f.started < heartbeats*9/10 {
			t.Errorf("%d teams, %d jobs: %d starts in %d heartbeats", teams, waiting, f.started, heartbeats)
		}
		return float64(f.shard.scheduler.Steps()-from) / heartbeats
	}
	base := perHeartbeat(10, 1000)
	for _, size := range []struct {
		teams, waiting int
		times          float64 // upper bound, as a multiple of the base
	}{{30, 1000, 1.1}, {100, 1000, 1.1}, {340, 1000, 1.1}, {340, 100, 1.1}, {340, 300, 1.1}, {10, 3000, 1.25}, {340, 3000, 1.25}, {340, 10_000, 1.6}} {
		got := perHeartbeat(size.teams, size.waiting)
		t.Logf("%d teams, %d jobs: %.1f steps a heartbeat (base %.1f)", size.teams, size.waiting, got, base)
		if got > size.times*base {
			t.Errorf("%d teams, %d jobs: more than %g times the steps with 10 teams and 1,000 jobs", size.teams, size.waiting, size.times)
		}
	}
}

// BenchmarkOwnerMemory measures the memory of an owner: by the number of machines with their tasks, with few
// waiting jobs, and by the number of waiting jobs, with few machines.
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

// heap returns the size of the live heap, in bytes.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkListing measures the CPU time in which a starting controller applies a
// listing, by the number of unfinished jobs.
func BenchmarkListing(b *testing.B) {
	for _, count := range []int{1000, 3000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			var items []store.Event
			for i := range count {
				record := jobs.Record{Status: jobs.Pending, Tasks: 13, Submitted: units.Second, Spec: &jobs.Spec{Class: "c", Team: "t1", Tasks: 13, AnyType: true,
					Demand: binpack.Vec{2000, 0, 1000}, Estimate: 70 * units.Second, Image: "registry/image"}}
				items = append(items, store.Event{Key: fmt.Sprintf("%swk-%06d", jobPrefix, i+1), Value: record.Encode(), Stamp: uint64(i + 1)})
			}
			from := processorTime(b)
			for b.Loop() {
				core := newOwner(b, nil)
				for _, event := range items {
					core.applyEvent(event)
				}
			}
			b.ReportMetric(float64(processorTime(b)-from)/float64(b.N)/1e6, "cpu-ms/op")
		})
	}
}

// BenchmarkStats measures the core's CPU time for a metrics scrape, by the number of machines.
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
