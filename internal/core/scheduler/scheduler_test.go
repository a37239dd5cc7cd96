package scheduler

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/units"
)

// big is the machine type of most tests: 16 CPUs and 64 GB of memory.
var big = &fleet.Type{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"z"}, Price: 2}

// fakeShard is a shard whose allocation is the whole of
// every limit. Its machines send heartbeats all the time.
type fakeShard struct {
	scheduler *Scheduler
	quota     *quota.Tracker
	now, wall units.Microseconds
	teams     map[string]*configuration.Team
	machines  map[string]*fleet.Machine
	jobs      map[string]*jobs.Job
	attempts  uint64
	expensive bool // result of TooExpensive
}

// newShard returns a shard with the given teams, one machine n-1, and the given jobs, submitted now.
func newShard(tb testing.TB, packing binpack.Params, teams []configuration.Team, records map[string]jobs.Record) *fakeShard {
	tb.Helper()
	shard := &fakeShard{now: 10 * units.Second, wall: 1000 * units.Second, teams: map[string]*configuration.Team{},
		machines: map[string]*fleet.Machine{}, jobs: map[string]*jobs.Job{}}
	for i := range teams {
		shard.teams[teams[i].Name] = &teams[i]
	}
	shard.quota = quota.New(shard)
	shard.scheduler = New(Config{Packing: packing, HeartbeatDeadline: 10 * units.Second, Log: slog.New(slog.DiscardHandler)}, shard, shard.quota, demand.New(nil, 0), shard)
	shard.addMachine("n-1", big)
	for _, id := range slices.Sorted(maps.Keys(records)) {
		shard.addJob(id, records[id], records[id].Submitted)
	}
	return shard
}

// addJob adds a job that could start from the time of day since.
func (f *fakeShard) addJob(id string, record jobs.Record, since units.Microseconds) {
	job := &jobs.Job{ID: id, Record: record, Since: since}
	job.Objectives = jobs.Objectives{Priority: job.Spec().Priority, Due: units.MaxTime, LastDue: units.MaxTime}
	job.Reset()
	f.jobs[id] = job
	f.scheduler.Add(job)
}

func (f *fakeShard) addMachine(name string, machineType *fleet.Type) {
	machine := fleet.New(name, fleet.Record{Type: machineType.Name, Zone: "z", Up: true}, machineType, f.now)
	machine.LastSeen, machine.Reconciled = f.now, true
	f.machines[name] = machine
}

// remove ends an unfinished task that is on a machine.
func (f *fakeShard) remove(machine *fleet.Machine, id jobs.TaskID) {
	attempt := machine.Tasks[id]
	machine.RemoveAttempt(id)
	f.quota.Release(attempt.Team, attempt.Demand)
	f.jobs[id.Job].Release(id.Task)
	f.scheduler.TasksReady()
}

// use sets the CPU that a team uses.
func (f *fakeShard) use(team string, cpu int64) {
	f.quota.Release(team, f.quota.Usage(team))
	f.quota.Charge(team, binpack.Vec{cpu, 0, 0})
}

func (f *fakeShard) Now() units.Microseconds                      { return f.now }
func (f *fakeShard) Wall() units.Microseconds                     { return f.wall }
func (f *fakeShard) Job(id string) *jobs.Job                      { return f.jobs[id] }
func (f *fakeShard) Teams() map[string]*configuration.Team        { return f.teams }
func (*fakeShard) Allocation() float64                            { return 1 }
func (*fakeShard) MayStart(string) bool                           { return true }
func (f *fakeShard) Machines() map[string]*fleet.Machine          { return f.machines }
func (*fakeShard) Unreconciled() map[string]bool                  { return nil }
func (*fakeShard) AllRunnable() []*jobs.Job                       { return nil }
func (*fakeShard) PropagateObjectives()                           {}
func (f *fakeShard) TooExpensive(*fleet.Machine, *jobs.Spec) bool { return f.expensive }
func (*fakeShard) Reachable(string) bool                          { return true }
func (*fakeShard) DeclaredLost(string) bool                       { return false }
func (f *fakeShard) Nominal(team string) (_ binpack.Vec, _ bool) {
	return f.teams[team].Guarantee, true
}

func (f *fakeShard) TotalNominal() (cpu int64, teams int) {
	for _, team := range f.teams {
		cpu += team.Guarantee[binpack.CPU]
	}
	return cpu, len(f.teams)
}

func (f *fakeShard) AttemptsUsedUp() bool { return false }

func (f *fakeShard) NextAttempt() uint64 {
	f.attempts++
	return f.attempts
}

func (f *fakeShard) TaskPlaced(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt) {
	machine.SetAttempt(id, attempt)
	f.quota.Charge(attempt.Team, attempt.Demand)
}

// TestShortfallTeamNotStarved guards against starvation of a team by one with work of higher priority.
// The nominal quotas of two teams exceed what the machines provide. The work of higher priority is all
// within its team's quota, so by priority alone it would get every machine. Once the other team has
// waited, each must get its proportional part, and tasks within that part must not be preempted.
func TestShortfallTeamNotStarved(t *testing.T) {
	record := func(team string, tasks int, priority jobs.Priority) jobs.Record {
		return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
			Spec: &jobs.Spec{Team: team, Priority: priority, Tasks: tasks, AnyType: true, Demand: binpack.Vec{1000, 0, 1}, Estimate: 20 * units.Second}}
	}
	shard := newShard(t, binpack.Params{}, []configuration.Team{
		{Name: "rich", Guarantee: binpack.Vec{30_000, 0, 0}}, {Name: "poor", Guarantee: binpack.Vec{10_000, 0, 0}},
	}, map[string]jobs.Record{"wk-000001": record("rich", 30, jobs.High), "wk-000002": record("poor", 10, jobs.Low)})
	// The machine has 16 CPUs: 12 for rich, 4 for poor.
	first := func() string {
		shard.scheduler.sort()
		shard.scheduler.rank()
		return shard.scheduler.queue.Ranked()[0].Job.Spec().Team
	}
	if got := first(); got != "rich" {
		t.Errorf("%s is ranked first, want rich: no job has waited yet", got)
	}
	shard.wall += preemptAfter + units.Second
	poor, rich := shard.jobs["wk-000002"], shard.jobs["wk-000001"]
	for k, want := range []int64{0, 4000, 8000} {
		shard.use("poor", want)
		shard.use("rich", 12_000)
		if got := first(); (got == "poor") != (k == 0) {
			t.Errorf("with %d in use by poor, %s is ranked first", want, got)
		}
		if got := shard.scheduler.mayPreempt(rich, poor); got != (k == 2) {
			t.Errorf("with %d in use by poor, rich may preempt it: %v", want, got)
		}
	}
	shard.addMachine("n-2", &fleet.Type{Capacity: binpack.Vec{30_000, 0, 0}})
	shard.use("poor", 0)
	if first() != "rich" {
		t.Error("poor is ranked first although there is capacity for all quotas; want order by priority")
	}
}

// TestNoLimitIsReservedThatNeverComes guards against jobs that wait for nothing while an overdue job of their team has
// the rest of the limit reserved: replicas of services use so much of it that it can never start.
func TestNoLimitIsReservedThatNeverComes(t *testing.T) {
	record := func(tasks int, cpu int64) jobs.Record {
		return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
			Spec: &jobs.Spec{Team: "t", Tasks: tasks, AnyType: true, Demand: binpack.Vec{cpu, 0, 1}, Estimate: 20 * units.Second}}
	}
	for _, test := range []struct {
		cpu     int64 // that a task of the team uses
		service bool  // it is a replica, and does not complete
		want    int   // small tasks that start
	}{{5000, true, 3}, {4000, true, 0}, {5000, false, 0}} {
		shard := newShard(t, binpack.Params{}, []configuration.Team{{Name: "t", Limit: binpack.Vec{8000, 0, 0}}}, nil)
		staying := record(1, test.cpu)
		staying.Spec.Service = test.service
		shard.addJob("wk-000001", staying, shard.wall)
		machine := shard.machines["n-1"]
		shard.scheduler.Fill(machine)
		large := record(minOverdueTasks, 4000)
		large.Spec.AnyType, large.Spec.Types = false, []string{"sold-out"}
		shard.addJob("wk-000002", large, shard.wall)
		shard.advance(overdueAfter + units.Second)
		shard.addJob("wk-000003", record(3, 1000), shard.wall)
		shard.scheduler.rank()
		if started := len(shard.scheduler.Fill(machine)); started != test.want {
			t.Errorf("service %v of %d thousandths of a CPU: %d small tasks start, want %d", test.service, test.cpu, started, test.want)
		}
	}
}

// TestLargestJobNotStarved guards against starvation of a large job in a team at its limit whose small
// jobs keep coming. Ordering by least remaining work delays the large job, and the capacity that its tasks
// need is never free at once. After overdueAfter its first task must take precedence, with the limit
// reserved for it until reservationTime is over. After that first task the job has no special precedence.
func TestLargestJobNotStarved(t *testing.T) {
	record := func(tasks int, cpu int64) jobs.Record {
		return jobs.Record{Status: jobs.Pending, Tasks: tasks, Submitted: 1000 * units.Second,
			Spec: &jobs.Spec{Team: "t", Tasks: tasks, AnyType: true, Demand: binpack.Vec{cpu, 0, 1}, Estimate: 20 * units.Second}}
	}
	const largest = "wk-000000"
	records := map[string]jobs.Record{largest: record(200, 4000)}
	for i := 1; i <= 24/(minOverdueTasks-1); i++ {
		records[fmt.Sprintf("wk-%06d", i)] = record(minOverdueTasks-1, 1000)
	}
	shard := newShard(t, binpack.Params{Fairness: 0.25, EpsilonScale: 3, ImagePenalty: 0.5}, []configuration.Team{{Name: "t", Limit: binpack.Vec{8000, 0, 0}}}, records)
	machine := shard.machines["n-1"]
	// fill fills the machine and returns how many of the started tasks belong to the large job.
	fill := func() (large, all int) {
		shard.scheduler.sort()
		shard.scheduler.rank()
		for _, command := range shard.scheduler.Fill(machine) {
			if all++; command.ID.Job == largest {
				large++
			}
		}
		return large, all
	}
	// end ends n of the small tasks on the machine.
	end := func(n int) {
		for _, id := range machine.TaskIDs() {
			if n > 0 && id.Job != largest {
				shard.remove(machine, id)
				n--
			}
		}
	}
	if large, all := fill(); large != 0 || all != 8 {
		t.Fatalf("%d tasks of the large job among the first %d, want 0 of 8", large, all)
	}
	shard.wall += overdueAfter + units.Second
	end(3)
	if _, all := fill(); all != 0 {
		t.Errorf("%d small tasks use the capacity reserved for the large job", all)
	}
	shard.wall += reservationTime
	if _, all := fill(); all != 3 {
		t.Errorf("%d small tasks start, want 3: the reservation has expired", all)
	}
	end(3)
	shard.wall -= reservationTime
	end(5)
	if large, all := fill(); large != 1 || all != 5 {
		t.Errorf("%d tasks of the large job among %d, want only its first, with 4 small ones", large, all)
	}
	end(1)
	if large, all := fill(); large != 0 || all != 1 {
		t.Errorf("%d tasks of the large job among %d, want 0 of 1: the job has started already", large, all)
	}
}
