package scheduler

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// recordOf returns the record of a job of some tasks of 4 CPUs that run for 400 s.
func recordOf(team string, tasks int, priority jobs.Priority) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
		Spec: &jobs.Spec{Team: team, Priority: priority, Tasks: tasks, AnyType: true, Demand: binpack.Vec{4000, 0, 1}, Estimate: 400 * units.Second}}
}

// run has the machine's tasks run from now on.
func run(shard *fakeShard, machine *fleet.Machine) {
	for id, attempt := range machine.Tasks {
		attempt.State, attempt.Live = fleet.Running, shard.now
		machine.Put(id, attempt)
	}
}

// advance lets time pass; the machines send heartbeats.
func (f *fakeShard) advance(time units.Microseconds) {
	f.now += time
	f.wall += time
	for _, machine := range f.machines {
		machine.LastSeen = f.now
	}
}

// TestPreempt has a machine full of one job's four tasks when another job comes. What is stopped for
// that depends on priorities, nominal quotas, what is lost, and for how long the other has waited.
func TestPreempt(t *testing.T) {
	teams := []configuration.Team{{Name: "a", Guarantee: binpack.Vec{8000}}, {Name: "b", Guarantee: binpack.Vec{8000}}}
	checkpointed := recordOf("b", 4, jobs.Low)
	checkpointed.Spec.Checkpoint, checkpointed.Spec.Save = units.Second, 2*units.Second
	for _, test := range []struct {
		name             string
		running, waiting jobs.Record
		ran, waited      units.Microseconds
		want             int // tasks are stopped
	}{
		{"of higher priority", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 0, preemptAfter, 1},
		{"not before it has waited", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 0, preemptAfter - 1, 0},
		{"not of the same priority", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.Normal), 0, preemptAfter, 0},
		{"not where a quarter of what is gained is lost", recordOf("a", 4, jobs.Normal), recordOf("a", 4, jobs.High), 70 * units.Second, preemptAfter, 0},
		{"not for more than its nominal quota", recordOf("a", 4, jobs.Normal), recordOf("b", 4, jobs.Normal), 0, preemptAfter, 0},
		{"within its nominal quota from a team beyond its own", recordOf("a", 4, jobs.Normal), recordOf("b", 2, jobs.Normal), 0, preemptAfter, 1},
		{"all that is costless to stop, and at once", checkpointed, recordOf("a", 3, jobs.Normal), 50 * units.Second, displaceAfter, 3},
	} {
		shard := newShard(t, binpack.Params{}, teams, map[string]jobs.Record{"wk-000001": test.running})
		machine := shard.machines["n-1"]
		if n := len(shard.scheduler.Fill(machine)); n != 4 {
			t.Fatalf("%s: %d tasks are started", test.name, n)
		}
		run(shard, machine)
		shard.advance(test.ran)
		shard.addJob("wk-000002", test.waiting, shard.wall)
		shard.advance(test.waited)
		if started := shard.scheduler.Fill(machine); len(started) != 0 {
			t.Errorf("%s: %d tasks are started on a full machine", test.name, len(started))
		}
		stops := shard.scheduler.Preempt(machine)
		if len(stops) != test.want || slices.ContainsFunc(stops, func(c fleet.Command) bool {
			return c.Op != fleet.Stop || c.ID.Job != "wk-000001" || c.Grace != test.running.Spec.Save
		}) {
			t.Errorf("%s: %v, want %d stops", test.name, stops, test.want)
		}
		if again := shard.scheduler.Preempt(machine); test.want == test.waiting.Tasks && len(again) != 0 {
			t.Errorf("%s: %v are stopped once more for places that were made", test.name, again)
		}
	}
}

// TestEvict has a machine with three tasks that is spare, or that the cloud is about to reclaim.
func TestEvict(t *testing.T) {
	idle := recordOf("a", 3, jobs.Low)
	idle.Spec.Checkpoint, idle.Spec.Save = units.Second, 2*units.Second
	long := recordOf("a", 3, jobs.Normal)
	long.Spec.Save = 2 * units.Second
	for _, test := range []struct {
		name      string
		record    jobs.Record
		expensive bool
		ran       units.Microseconds
		notice    units.Microseconds // 0: the machine is spare instead
		want      int
		grace     units.Microseconds
	}{
		{"idle-time work on an expensive machine", idle, true, evictRun, 0, 3, 2 * units.Second},
		{"that has run for a moment", idle, true, evictRun - 1, 0, 0, 0},
		{"on a machine that is mostly in use, and not expensive", idle, false, evictRun, 0, 0, 0},
		{"other work", long, true, evictRun, 0, 0, 0},
		{"tasks that end before the machine does", long, false, 380 * units.Second, 20 * units.Second, 0, 0},
		{"tasks that do not, and can save", long, false, 379 * units.Second, 20 * units.Second, 3, 20 * units.Second},
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
			machine.Notice = shard.now + test.notice
			evict = shard.scheduler.EvictBeforeReclaim
		}
		stops := evict(machine)
		if len(stops) != test.want || slices.ContainsFunc(stops, func(c fleet.Command) bool { return c.Op != fleet.Stop || c.Grace != test.grace }) {
			t.Errorf("%s: %v, want %d stops with %.0f s of grace", test.name, stops, test.want, test.grace.Seconds())
		}
	}
}

// TestPreferredHeadroom has a smaller machine of the same cost beside the one that asks for work: what
// fits there waits for it.
func TestPreferredHeadroom(t *testing.T) {
	small := &fleet.Type{Name: "small", Capacity: binpack.Vec{8000, 0, 32_000}, Price: 1}
	for _, test := range []struct {
		name  string
		tasks int
		seen  units.Microseconds // ago, by the preferred machine
		want  int
	}{
		{"all fits there", 2, 0, 0},
		{"the rest starts here", 3, 0, 1},
		{"it sends no heartbeats", 2, 11 * units.Second, 2},
	} {
		shard := newShard(t, binpack.Params{}, []configuration.Team{{Name: "a"}}, map[string]jobs.Record{"wk-000001": recordOf("a", test.tasks, jobs.Normal)})
		shard.addMachine("n-2", small)
		shard.machines["n-2"].LastSeen -= test.seen
		if got := len(shard.scheduler.Fill(shard.machines["n-1"])); got != test.want {
			t.Errorf("%s: %d of %d tasks start, want %d", test.name, got, test.tasks, test.want)
		}
	}
}
