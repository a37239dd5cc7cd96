package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// recordOf returns the record of a job with tasks of 4 CPUs that run for 400 s.
func recordOf(team string, tasks int, priority jobs.Priority) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
		Spec: &jobs.Spec{Team: team, Priority: priority, Tasks: tasks, AnyType: true, Demand: binpack.Vec{4000, 0, 1}, Estimate: 400 * units.Second}}
}

// run marks the machine's tasks as running from now on.
func run(shard *fakeShard, machine *fleet.Machine) {
	for id, attempt := range machine.Tasks {
		attempt.State, attempt.RunningSince = fleet.Running, shard.now
		machine.SetAttempt(id, attempt)
	}
}

// advance moves the clocks forward, while the machines send heartbeats.
func (f *fakeShard) advance(time units.Microseconds) {
	f.now += time
	f.wall += time
	for _, machine := range f.machines {
		machine.LastSeen = f.now
	}
}

// short returns a record with tasks that run for 5 s.
func short(record jobs.Record) jobs.Record {
	record.Spec.Estimate = 5 * units.Second
	return record
}

// soon returns a record with tasks that complete soon after duePatience.
func soon(record jobs.Record) jobs.Record {
	record.Spec.Estimate = duePatience + preemptAfter/2
	return record
}

// wide returns a record with short tasks of 8 CPUs.
func wide(record jobs.Record) jobs.Record {
	record.Spec.Demand[binpack.CPU] = 8000
	return short(record)
}

// service returns a record of a service.
func service(record jobs.Record) jobs.Record {
	record.Spec.Service, record.Spec.Estimate = true, 0
	return record
}

// TestPreemptStopsOnlyLowerPrecedence guards against preemption of the wrong tasks. A machine
// is full of four tasks of one job when another job arrives. The tasks that are stopped
// depend on priorities, nominal quotas, the work lost, and how long the other job has waited.
func TestPreemptStopsOnlyLowerPrecedence(t *testing.T) {
	teams := []configuration.Team{{Name: "a", Guarantee: binpack.Vec{8000}}, {Name: "b", Guarantee: binpack.Vec{8000}}}
	checkpointed := recordOf("b", 4, jobs.Low)
	checkpointed.Spec.Checkpoint, checkpointed.Spec.Save = units.Second, 2*units.Second
	for _, test := range []struct {
		name             string
		running, waiting jobs.Record
		ran, waited      units.Microseconds
		want             int // number of tasks stopped
	}{
		{"higher priority preempts", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 0, preemptAfter, 1},
		{"not before the job has waited", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 0, preemptAfter - 1, 0},
		{"not for the same priority", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.Normal), 0, preemptAfter, 0},
		{"not if a quarter of the gained run time is lost", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 70 * units.Second, preemptAfter, 0},
		{"not for a job beyond its nominal quota", recordOf("a", 4, jobs.Normal), recordOf("b", 4, jobs.Normal), 0, preemptAfter, 0},
		{"job within nominal quota preempts team beyond its own", recordOf("a", 4, jobs.Normal), recordOf("b", 2, jobs.Normal), 0, preemptAfter, 1},
		{"short tasks within nominal quota preempt long ones beyond", recordOf("a", 4, jobs.Normal), short(recordOf("b", 2, jobs.Normal)), 3600 * units.Second, preemptAfter, 1},
		{"not long ones that complete soon", recordOf("a", 4, jobs.Normal), short(recordOf("b", 2, jobs.Normal)), 400*units.Second - preemptAfter - dueSoon + 1, preemptAfter, 0},
		{"long ones that do not", recordOf("a", 4, jobs.Normal), short(recordOf("b", 2, jobs.Normal)), 400*units.Second - preemptAfter - dueSoon, preemptAfter, 1},
		{"long ones that have outrun their estimate", recordOf("a", 4, jobs.Normal), short(recordOf("b", 2, jobs.Normal)), 400*units.Second - preemptAfter + dueSoon, preemptAfter, 1},
		{"not for a task that needs one of their places", soon(recordOf("a", 4, jobs.Normal)), short(recordOf("b", 1, jobs.Normal)), 0, duePatience, 0},
		{"but for one that needs two", soon(recordOf("a", 4, jobs.Normal)), wide(recordOf("b", 1, jobs.Normal)), 0, duePatience, 2},
		{"which waits longer for them", soon(recordOf("a", 4, jobs.Normal)), wide(recordOf("b", 1, jobs.Normal)), 0, duePatience - units.Second, 0},
		{"and not before they have waited", recordOf("a", 4, jobs.Normal), short(recordOf("b", 2, jobs.Normal)), 3600 * units.Second, preemptAfter - 1, 0},
		{"short tasks of higher priority do not preempt long ones", recordOf("a", 4, jobs.Normal), short(recordOf("a", 4, jobs.High)), 3600 * units.Second, preemptAfter, 0},
		{"service within nominal quota preempts a service beyond", service(recordOf("a", 4, jobs.Normal)), service(recordOf("b", 1, jobs.Normal)), 0, preemptAfter, 1},
		{"service within nominal quota preempts an array beyond", recordOf("a", 4, jobs.High), service(recordOf("b", 1, jobs.Low)), 3600 * units.Second, preemptAfter, 1},
		{"service of higher priority preempts an array", recordOf("a", 4, jobs.Normal), service(recordOf("a", 1, jobs.High)), 3600 * units.Second, preemptAfter, 1},
		{"service beyond nominal quota preempts nothing of its priority", recordOf("a", 4, jobs.Normal), service(recordOf("b", 3, jobs.Normal)), 0, preemptAfter, 0},
		{"service preempts nothing within another's nominal quota", recordOf("a", 2, jobs.Normal), service(recordOf("b", 1, jobs.Normal)), 0, preemptAfter, 0},
		{"several preemptible tasks at once, after a short wait", checkpointed, recordOf("a", 3, jobs.Normal), 50 * units.Second, displaceAfter, 3},
	} {
		shard := newShard(t, binpack.Params{}, teams, map[string]jobs.Record{"wk-000001": test.running})
		machine := shard.machines["n-1"]
		if n := len(shard.scheduler.Fill(machine)); n != test.running.Tasks {
			t.Fatalf("%s: %d tasks are started", test.name, n)
		}
		run(shard, machine)
		shard.block(machine, 4-test.running.Tasks)
		shard.advance(test.ran)
		shard.addJob("wk-000002", test.waiting, shard.wall)
		shard.advance(test.waited)
		if started := shard.scheduler.Fill(machine); len(started) != 0 {
			t.Errorf("%s: %d tasks were started on a full machine", test.name, len(started))
		}
		stops := shard.scheduler.Preempt(machine)
		if len(stops) != test.want || slices.ContainsFunc(stops, func(c fleet.Command) bool {
			return c.Op != fleet.Stop || c.ID.Job != "wk-000001" || c.Grace != test.running.Spec.Save
		}) {
			t.Errorf("%s: %v, want %d stops", test.name, stops, test.want)
		}
		if again := shard.scheduler.Preempt(machine); test.want == test.waiting.Tasks && len(again) != 0 {
			t.Errorf("%s: %v are stopped again for places that are already being made", test.name, again)
		}
	}
}

// block makes a machine full with tasks of 4 CPUs of a team that does not exceed its nominal quota.
func (f *fakeShard) block(machine *fleet.Machine, tasks int) {
	if tasks == 0 {
		return
	}
	f.teams["within"] = &configuration.Team{Name: "within", Guarantee: binpack.Vec{64_000}}
	f.addJob("wk-000003", recordOf("within", tasks, jobs.Normal), f.wall)
	f.scheduler.rank()
	f.scheduler.Fill(machine)
	run(f, machine)
}

// TestDueCapacityIsFoundBehindOthers guards against work within its team's nominal quota that waits for good behind
// other jobs: one that ranks before it and finds no victims, tasks that complete elsewhere all the time and leave
// places that are too small, and a failure of its own on a faulty machine.
func TestDueCapacityIsFoundBehindOthers(t *testing.T) {
	owed := recordOf("b", 1, jobs.Normal)
	for _, test := range []struct {
		name   string
		change func(shard *fakeShard)
		want   int
	}{
		{"alone", func(*fakeShard) {}, 1},
		{"behind a job of the team that exceeds its quota", func(shard *fakeShard) {
			shard.addJob("wk-000000", recordOf("a", 1, jobs.High), shard.wall-3600*units.Second)
		}, 1},
		{"behind many jobs of that team", func(shard *fakeShard) {
			for i := range 200 {
				shard.addJob(fmt.Sprintf("wk-1%05d", i), recordOf("a", 1, jobs.High), shard.wall-3600*units.Second)
			}
		}, 1},
		{"behind many larger ones within their quota", func(shard *fakeShard) {
			for i := range 2 * maxPreemptors {
				large := recordOf("c", 1, jobs.High)
				large.Spec.Demand = binpack.Vec{16_000, 0, 1}
				shard.addJob(fmt.Sprintf("wk-2%05d", i), large, shard.wall-3600*units.Second)
			}
		}, 1},
		{"while short tasks complete elsewhere", func(shard *fakeShard) {
			small := recordOf("a", 1000, jobs.Normal)
			small.Spec.Demand, small.Spec.Estimate = binpack.Vec{1}, units.Second
			shard.addJob("wk-000005", small, shard.wall)
			for range 1000 {
				shard.jobs["wk-000005"].PlaceNext(jobs.Place{Machine: "n-9", Zone: "z"})
			}
		}, 1},
		{"after a failure on another machine", func(shard *fakeShard) { shard.jobs["wk-000002"].FailedOn("n-9") }, 1},
		{"not after failures everywhere", func(shard *fakeShard) {
			shard.jobs["wk-000002"].FailedOn("n-8")
			shard.jobs["wk-000002"].FailedOn("n-9")
		}, 0},
	} {
		teams := []configuration.Team{{Name: "a", Guarantee: binpack.Vec{8000}}, {Name: "b", Guarantee: binpack.Vec{8000}}, {Name: "c", Guarantee: binpack.Vec{2 * maxPreemptors * 16_000}}}
		shard := newShard(t, binpack.Params{}, teams, map[string]jobs.Record{"wk-000001": recordOf("a", 3, jobs.Normal)})
		machine := shard.machines["n-1"]
		shard.scheduler.Fill(machine)
		run(shard, machine)
		shard.block(machine, 1)
		shard.advance(3600 * units.Second)
		shard.addJob("wk-000002", owed, shard.wall)
		test.change(shard)
		shard.advance(preemptAfter)
		shard.scheduler.Fill(machine)
		if stops := shard.scheduler.Preempt(machine); len(stops) != test.want {
			t.Errorf("%s: %v, want %d stops", test.name, stops, test.want)
		}
	}
}

// TestEvictIdleAndReclaimed guards against eviction that wastes work. A machine
// with three tasks is spare, or the cloud is about to reclaim it. Only tasks that
// gain by starting elsewhere may be stopped, with time to save if there is enough.
func TestEvictIdleAndReclaimed(t *testing.T) {
	idle := recordOf("a", 3, jobs.Low)
	idle.Spec.Checkpoint, idle.Spec.Save = units.Second, 2*units.Second
	long := recordOf("a", 3, jobs.Normal)
	long.Spec.Save = 2 * units.Second
	for _, test := range []struct {
		name      string
		record    jobs.Record
		expensive bool
		ran       units.Microseconds
		notice    units.Microseconds // until the cloud reclaims the machine; 0: the machine is spare instead
		want      int
		grace     units.Microseconds
	}{
		{"idle-time work on an expensive machine", idle, true, evictRun, 0, 3, 2 * units.Second},
		{"idle-time work that has run only briefly", idle, true, evictRun - 1, 0, 0, 0},
		{"idle-time work on a mostly used, inexpensive machine", idle, false, evictRun, 0, 0, 0},
		{"work that is not idle-time work", long, true, evictRun, 0, 0, 0},
		{"tasks that complete before the machine is reclaimed", long, false, 380 * units.Second, 20 * units.Second, 0, 0},
		{"tasks that do not complete but can save", long, false, 379 * units.Second, 20 * units.Second, 3, 20 * units.Second},
		{"tasks that cannot save in time", long, false, 379 * units.Second, units.Second, 3, 0},
	} {
		shard := newShard(t, binpack.Params{}, []configuration.Team{{Name: "a"}}, map[string]jobs.Record{"wk-000001": test.record})
		shard.expensive = test.expensive
		machine := shard.machines["n-1"]
		if n := len(shard.scheduler.Fill(machine)); n != 3 {
			t.Fatalf("%s: %d tasks are started", test.name, n)
		}
		run(shard, machine)
		machine.SpareSince = shard.now
		shard.advance(test.ran)
		evict := shard.scheduler.EvictIdle
		if test.notice > 0 {
			machine.ReclaimAt = shard.now + test.notice
			evict = shard.scheduler.EvictBeforeReclaim
		}
		stops := evict(machine)
		if len(stops) != test.want || slices.ContainsFunc(stops, func(c fleet.Command) bool { return c.Op != fleet.Stop || c.Grace != test.grace }) {
			t.Errorf("%s: %v, want %d stops with %.0f s of grace", test.name, stops, test.want, test.grace.Seconds())
		}
	}
}

// TestWorkDoesNotWaitForWrongZone guards against tasks that are left for good to a preferred machine in a zone
// where their job must not start any more. Tasks of a job that may start there are still left to it.
func TestWorkDoesNotWaitForWrongZone(t *testing.T) {
	small := &fleet.Type{Name: "small", Capacity: binpack.Vec{15_000, 0, 60_000}, Price: 1.875}
	spread, free := recordOf("a", 4, jobs.Normal), recordOf("a", 2, jobs.Normal)
	spread.Spec.Spread = true
	shard := newShard(t, binpack.Params{}, []configuration.Team{{Name: "a"}}, map[string]jobs.Record{"wk-000001": spread, "wk-000002": free})
	shard.addMachine("n-2", small)
	shard.machines["n-2"].Record.Zone = "y"
	for range 2 {
		shard.jobs["wk-000001"].PlaceNext(jobs.Place{Machine: "n-3", Zone: "y"})
	}
	started := map[string]int{}
	for _, command := range shard.scheduler.Fill(shard.machines["n-1"]) {
		started[command.ID.Job]++
	}
	if started["wk-000001"] != 2 || started["wk-000002"] != 0 {
		t.Errorf("started %v, want 2 tasks of the job that is full in zone y, none of the other", started)
	}
}

// TestWorkWaitsForPreferredMachine guards against machines that never become empty. A
// smaller machine of the same cost has free capacity beside the one that asks for work.
// Tasks that fit there must be left to it, unless it has stopped sending heartbeats.
func TestWorkWaitsForPreferredMachine(t *testing.T) {
	small := &fleet.Type{Name: "small", Capacity: binpack.Vec{8000, 0, 32_000}, Price: 1}
	for _, test := range []struct {
		name  string
		tasks int
		seen  units.Microseconds // age of the preferred machine's last heartbeat
		want  int
	}{
		{"all tasks fit on the preferred machine", 2, 0, 0},
		{"the remaining task starts here", 3, 0, 1},
		{"the preferred machine sends no heartbeats", 2, 11 * units.Second, 2},
	} {
		shard := newShard(t, binpack.Params{}, []configuration.Team{{Name: "a"}}, map[string]jobs.Record{"wk-000001": recordOf("a", test.tasks, jobs.Normal)})
		shard.addMachine("n-2", small)
		shard.machines["n-2"].LastSeen -= test.seen
		if got := len(shard.scheduler.Fill(shard.machines["n-1"])); got != test.want {
			t.Errorf("%s: %d of %d tasks start, want %d", test.name, got, test.tasks, test.want)
		}
	}
}
