package reconcile

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	token  = 7 // of the owner under test
	lease  = 10 * units.Second
	second = units.Second
)

// fakeOwner is the owner of a shard and its quotas; it embeds what most tests do not call.
type fakeOwner struct {
	Host
	reconciler    *Reconciler
	jobs          map[string]*jobs.Job
	deprovisioned map[string]bool
	skipped       guard.Guard
	used          binpack.Vec
	lastAttempt   uint64
	probes        []Probe
	stored        []string // groups
	completed     []int
	answered      []RequestID
	work          []fleet.Command // for the next machine that is filled
	newWork       bool
	reconciled    int // calls of AllReconciled
}

// newOwner returns the owner of a shard with the machine n-1 and a job of three tasks. Its machine
// is unreconciled unless transferred.
func newOwner(t *testing.T, transferred bool) (*fakeOwner, *fleet.Machine) {
	t.Helper()
	owner := &fakeOwner{jobs: map[string]*jobs.Job{}, deprovisioned: map[string]bool{}}
	owner.reconciler = New(Config{FencingToken: token, Log: slog.New(slog.DiscardHandler)}, owner, owner)
	job := &jobs.Job{ID: "wk-000001", Record: jobs.Record{Status: jobs.Pending, Tasks: 3, Spec: &jobs.Spec{Team: "t", Tasks: 3, Demand: binpack.Vec{1000}}}}
	job.Reset()
	owner.jobs[job.ID] = job
	machine := fleet.New("n-1", fleet.Record{Type: "big", Zone: "z", Up: true}, &fleet.Type{Capacity: binpack.Vec{16_000}}, 0)
	owner.reconciler.Add(machine)
	owner.reconciler.Inherit(0, machine, transferred)
	if transferred {
		owner.reconciler.Restore(0, machine, Snapshot{})
	}
	return owner, machine
}

func (o *fakeOwner) Guarded(check guard.Guard) bool    { return o.skipped != check }
func (*fakeOwner) Assignment() uint64                  { return 3 }
func (*fakeOwner) LeaseBound() units.Microseconds      { return lease }
func (o *fakeOwner) LastAttempt() uint64               { return o.lastAttempt }
func (o *fakeOwner) Deprovisioned(machine string) bool { return o.deprovisioned[machine] }
func (*fakeOwner) InAnotherShard(string) bool          { return false }
func (o *fakeOwner) StoreGroup(group string, _ bool)   { o.stored = append(o.stored, group) }
func (o *fakeOwner) SendProbe(probe Probe)             { o.probes = append(o.probes, probe) }
func (o *fakeOwner) AllReconciled()                    { o.reconciled++ }
func (o *fakeOwner) Job(id string) *jobs.Job           { return o.jobs[id] }
func (*fakeOwner) AttemptRemoved(*jobs.Job, bool)      {}
func (o *fakeOwner) TaskCompleted(job *jobs.Job, task int) {
	job.Finish(task, jobs.ProgressLayout{TasksPerRecord: 256})
	o.completed = append(o.completed, task)
}
func (*fakeOwner) TaskWorked(*fleet.Machine, *jobs.Job, fleet.Attempt) {}
func (*fakeOwner) LearnRuntime(*jobs.Job, units.Microseconds)          {}
func (o *fakeOwner) Charge(_ string, demand binpack.Vec)               { o.used = o.used.Add(demand) }
func (o *fakeOwner) Release(_ string, demand binpack.Vec)              { o.used = o.used.Sub(demand) }
func (*fakeOwner) UnreconciledChanged()                                {}
func (*fakeOwner) RankReady()                                          {}
func (o *fakeOwner) NewWork() bool                                     { return o.newWork }
func (*fakeOwner) Preferred(machine, other *fleet.Machine) bool {
	return machine.Name < other.Name
}

func (o *fakeOwner) Fill(*fleet.Machine) []fleet.Command {
	work := o.work
	o.work = nil
	return work
}

func (o *fakeOwner) Respond(request RequestID, _ *fleet.Machine, _ []fleet.Command) {
	o.answered = append(o.answered, request)
}

// place starts a task on a machine, as the scheduler does.
func (o *fakeOwner) place(machine *fleet.Machine, attempt uint64) jobs.TaskID {
	job := o.jobs["wk-000001"]
	id := jobs.TaskID{Job: job.ID, Task: job.PlaceNext(jobs.Place{Machine: machine.Name, Attempt: attempt, Zone: "z"})}
	o.reconciler.Place(machine, id, fleet.Attempt{Number: attempt, Team: "t", Demand: job.Spec().Demand})
	return id
}

// heartbeat is one of n-1 that shows some tasks.
func heartbeat(seq, fencingToken uint64, tasks ...fleet.Task) *fleet.Heartbeat {
	return &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: fencingToken, Notice: units.MaxTime, Tasks: tasks}
}

// TestAdmission has heartbeats come that an owner must not take in, each for its reason, and an
// unknown machine that is adopted once nobody has stored it for a while.
func TestAdmission(t *testing.T) {
	owner, _ := newOwner(t, true)
	owner.deprovisioned["n-2"] = true
	for _, test := range []struct {
		name    string
		machine string
		token   uint64
		stored  bool
		at      units.Microseconds
		want    Admission
	}{
		{"known machine", "n-1", token, true, second, Admitted},
		{"worker that has no token yet", "n-1", 0, true, second, Admitted},
		{"token of a later owner", "n-1", token + 1, true, second, Superseded},
		{"deleted machine", "n-2", token, true, second, Deprovisioned},
		{"unknown machine", "n-3", 0, false, second, Unknown},
		{"still unknown", "n-3", 0, false, second + AdoptAfter - 1, Unknown},
		{"unknown for long", "n-3", 0, false, second + AdoptAfter, Admitted},
		{"unknown again", "n-3", 0, false, second + AdoptAfter + 1, Unknown},
	} {
		seen := &fleet.Heartbeat{Machine: test.machine, FencingToken: test.token}
		if got := owner.reconciler.Admit(test.at, seen, test.stored); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	for i := range MaxUnknown + 10 {
		owner.reconciler.Admit(second, &fleet.Heartbeat{Machine: fmt.Sprint(i)}, false)
	}
	if len(owner.reconciler.unknown) != MaxUnknown {
		t.Errorf("%d unknown machines are remembered", len(owner.reconciler.unknown))
	}
}

// TestWhatAHeartbeatProves has a start that the worker's list does not show. Only a heartbeat under
// this owner's token says that it was never carried out; every accepted one renews the lease, and
// one that is older than the last changes nothing.
func TestWhatAHeartbeatProves(t *testing.T) {
	for _, test := range []struct {
		name     string
		seq      uint64
		token    uint64
		standing Standing
		placed   int
		leaseEnd units.Microseconds
	}{
		{"late", 1, token, Outdated, 1, 2*second + lease},
		{"under an earlier owner's token", 3, token - 1, Unproven, 1, 3*second + lease},
		{"under this owner's token", 3, token, Proven, 0, 3*second + lease},
	} {
		owner, machine := newOwner(t, true)
		owner.reconciler.Accept(2*second, heartbeat(2, token))
		owner.place(machine, 5)
		accepted := owner.reconciler.Accept(3*second, heartbeat(test.seq, test.token))
		if placed := owner.jobs["wk-000001"].Placed(); accepted.Standing != test.standing || placed != test.placed || machine.LeaseEnd != test.leaseEnd {
			t.Errorf("%s: standing %v, %d placed, lease until %v", test.name, accepted.Standing, placed, machine.LeaseEnd)
		}
		if want := (binpack.Vec{int64(1000 * test.placed)}); owner.used != want {
			t.Errorf("%s: %v in use, want %v", test.name, owner.used, want)
		}
	}
}

// TestTasksOfAHeartbeat has a machine show tasks of an earlier owner, one that is unknown, and one
// that has completed: the first is adopted, the second stopped, the third kept there until it is
// stored as completed, and forgotten then.
func TestTasksOfAHeartbeat(t *testing.T) {
	owner, machine := newOwner(t, false)
	job := owner.jobs["wk-000001"]
	running := fleet.Task{ID: jobs.TaskID{Job: job.ID}, Attempt: 2, State: fleet.Running}
	orphaned := fleet.Task{ID: jobs.TaskID{Job: "wk-000009"}, Attempt: 3, State: fleet.Running}
	done := fleet.Task{ID: jobs.TaskID{Job: job.ID, Task: 1}, Attempt: 4, State: fleet.Exited, Cause: fleet.Completed}
	accepted := owner.reconciler.Accept(second, heartbeat(1, token, running, orphaned, done))
	want := []fleet.Command{{Op: fleet.Stop, ID: orphaned.ID, Attempt: orphaned.Attempt}}
	if !slices.Equal(accepted.Commands, want) {
		t.Errorf("commands %+v", accepted.Commands)
	}
	if place, placed := job.Place(0); !placed || place.Machine != "n-1" || place.Attempt != 2 || !machine.Tasks[running.ID].Adopted {
		t.Errorf("the running task is at %+v", place)
	}
	if !slices.Equal(owner.completed, []int{1}) || owner.reconciled != 1 || len(owner.reconciler.Unreconciled()) != 0 {
		t.Errorf("completed %v, reconciled %d times", owner.completed, owner.reconciled)
	}
	if again := owner.reconciler.Accept(2*second, heartbeat(2, token, running, done)); len(again.Commands) != 0 || len(owner.completed) != 1 {
		t.Errorf("shown again: commands %+v, completed %v", again.Commands, owner.completed)
	}
	if err := job.LoadProgress(0, jobs.ProgressLayout{TasksPerRecord: 256}, jobs.Progress{Tasks: "1"}); err != nil {
		t.Fatal(err)
	}
	want = []fleet.Command{{Op: fleet.Forget, ID: done.ID, Attempt: done.Attempt}}
	if stored := owner.reconciler.Accept(3*second, heartbeat(3, token, running, done)); !slices.Equal(stored.Commands, want) {
		t.Errorf("once it is stored: commands %+v", stored.Commands)
	}
}

// TestExpiredAttemptsOfALateHeartbeat has a machine's lease expire, and then a heartbeat come that a
// partition has held back: what it shows has ended with the lease.
func TestExpiredAttemptsOfALateHeartbeat(t *testing.T) {
	for skipped, want := range map[guard.Guard]int{guard.None: 0, guard.ExpiredAttempts: 1} {
		owner, machine := newOwner(t, true)
		owner.skipped, owner.lastAttempt = skipped, 5
		id := owner.place(machine, 5)
		owner.reconciler.ExpireLease(lease, machine)
		if owner.jobs[id.Job].Placed() != 0 || machine.Schedulable() {
			t.Fatalf("after the lease: %d placed", owner.jobs[id.Job].Placed())
		}
		owner.reconciler.Accept(lease+second, heartbeat(1, token, fleet.Task{ID: id, Attempt: 5, State: fleet.Running}))
		if placed := owner.jobs[id.Job].Placed(); placed != want {
			t.Errorf("guard %d left out: %d placed, want %d", skipped, placed, want)
		}
	}
}

// TestTaskOnTwoMachines has a machine show a task that was started elsewhere: it stops there, and
// counts where it was started.
func TestTaskOnTwoMachines(t *testing.T) {
	owner, machine := newOwner(t, true)
	other := fleet.New("n-2", machine.Record, machine.Type, 0)
	owner.reconciler.Add(other)
	id := owner.place(other, 5)
	accepted := owner.reconciler.Accept(second, heartbeat(1, token, fleet.Task{ID: id, Attempt: 4, State: fleet.Running}))
	if len(accepted.Commands) != 1 || accepted.Commands[0].Op != fleet.Stop {
		t.Errorf("commands %+v", accepted.Commands)
	}
	if place, _ := owner.jobs[id.Job].Place(id.Task); place.Machine != "n-2" {
		t.Errorf("the task is at %+v", place)
	}
}

// TestProbes probes unreconciled machines after a while, at most twice each and a few at a time. An
// answer under this owner's token reconciles; after both were in vain probes are exhausted.
func TestProbes(t *testing.T) {
	owner, machine := newOwner(t, false)
	machine.Addr = "n-1:1"
	for i := range probesAtOnce + 2 {
		more := fleet.New(fmt.Sprintf("n-%02d", 10+i), machine.Record, machine.Type, 0)
		more.Addr = "x"
		owner.reconciler.Add(more)
		owner.reconciler.Inherit(0, more, false)
	}
	owner.reconciler.Probe(probeAfter - 1)
	if len(owner.probes) != 0 {
		t.Fatal("probed at once")
	}
	owner.reconciler.Probe(probeAfter)
	if len(owner.probes) != probesAtOnce || owner.probes[0] != (Probe{Assignment: 3, Machine: "n-1", Addr: "n-1:1", FencingToken: token, Incarnation: 1}) {
		t.Fatalf("probes %+v", owner.probes)
	}
	owner.reconciler.OnProbe(probeAfter, owner.probes[0], store.OK, heartbeat(1, token))
	if !machine.Reconciled || machine.LeaseEnd != lease {
		t.Errorf("reconciled %v, lease until %v: a probe renews none", machine.Reconciled, machine.LeaseEnd)
	}
	answered := 1
	for now := probeAfter; now < 10*second; now += second / 20 {
		for ; answered < len(owner.probes); answered++ {
			owner.reconciler.OnProbe(now, owner.probes[answered], store.Unknown, nil)
		}
		owner.reconciler.Probe(now)
	}
	if !owner.reconciler.ProbesExhausted() || len(owner.probes) != 1+2*(probesAtOnce+2) {
		t.Errorf("%d probes, exhausted %v", len(owner.probes), owner.reconciler.ProbesExhausted())
	}
}

// TestPendingHeartbeats keeps heartbeats of idle machines: work that comes is offered to the
// preferred machine first, and one that has waited for long enough is answered without.
func TestPendingHeartbeats(t *testing.T) {
	owner, machine := newOwner(t, true)
	owner.reconciler.Accept(second, heartbeat(1, token))
	other := fleet.New("n-0", machine.Record, machine.Type, 0)
	owner.reconciler.Add(other)
	other.Reconciled = true
	if !owner.reconciler.KeepIdle(second, 1, machine) || !owner.reconciler.KeepIdle(second, 2, other) {
		t.Fatal("not kept")
	}
	busy := fleet.New("n-2", machine.Record, machine.Type, 0)
	busy.Reconciled, busy.Listed = true, 1
	if owner.reconciler.KeepIdle(second, 3, busy) {
		t.Error("kept the heartbeat of a machine that lists a task")
	}
	owner.newWork, owner.work = true, []fleet.Command{{Op: fleet.Start}}
	owner.reconciler.OfferWork(second, true)
	if !slices.Equal(owner.answered, []RequestID{2}) || other.LeaseEnd != second+lease {
		t.Errorf("answered %v, lease until %v", owner.answered, other.LeaseEnd)
	}
	owner.newWork = false
	owner.reconciler.OfferWork(second+pendingTime-1, true)
	if len(owner.answered) != 1 || owner.reconciler.PendingOverdue(second+pendingTime-1) {
		t.Errorf("answered %v too early", owner.answered)
	}
	owner.reconciler.OfferWork(second+pendingTime, true)
	if !slices.Equal(owner.answered, []RequestID{2, 1}) {
		t.Errorf("answered %v", owner.answered)
	}
	owner.reconciler.Postpone(second, 4)
	if taken := owner.reconciler.TakePending(); !slices.Equal(taken, []RequestID{4}) || len(owner.reconciler.TakePending()) != 0 {
		t.Errorf("taken %v", taken)
	}
	for i := range MaxPending {
		owner.reconciler.KeepIdle(second, RequestID(i), machine)
	}
	if owner.reconciler.MayPostpone() || owner.reconciler.KeepIdle(second, 9, machine) {
		t.Error("no bound on pending heartbeats")
	}
}
