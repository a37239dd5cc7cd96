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
	token  = 7 // fencing token of the owner under test
	lease  = 10 * units.Second
	second = units.Second
)

// fakeOwner implements Host and Quota. The embedded Host stands for methods that most tests do not call.
type fakeOwner struct {
	Host
	reconciler    *Reconciler
	jobs          map[string]*jobs.Job
	deprovisioned map[string]bool
	disabled      guard.Guard
	used          binpack.Vec
	lastAttempt   uint64
	probes        []Probe
	stored        []string // names of groups
	completed     []int
	answered      []RequestID
	work          []fleet.Command // result of the next call of Fill
	newWork       bool
	reconciled    int // number of calls of AllReconciled
}

// newOwner returns the owner of a shard with the machine n-1 and a job of three tasks. The machine is
// unreconciled unless transferred is set.
func newOwner(t *testing.T, transferred bool) (*fakeOwner, *fleet.Machine) {
	t.Helper()
	owner := &fakeOwner{jobs: map[string]*jobs.Job{}, deprovisioned: map[string]bool{}}
	owner.reconciler = New(Config{FencingToken: token, Counters: &Counters{}, Log: slog.New(slog.DiscardHandler)}, owner, owner)
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

func (o *fakeOwner) GuardEnabled(check guard.Guard) bool { return o.disabled != check }
func (*fakeOwner) Assignment() uint64                    { return 3 }
func (*fakeOwner) LeaseBound() units.Microseconds        { return lease }
func (o *fakeOwner) LastAttempt() uint64                 { return o.lastAttempt }
func (o *fakeOwner) Deprovisioned(machine string) bool   { return o.deprovisioned[machine] }
func (*fakeOwner) InAnotherShard(string) bool            { return false }
func (o *fakeOwner) StoreGroup(group string, _ bool)     { o.stored = append(o.stored, group) }
func (o *fakeOwner) SendProbe(probe Probe)               { o.probes = append(o.probes, probe) }
func (o *fakeOwner) AllReconciled()                      { o.reconciled++ }
func (o *fakeOwner) Job(id string) *jobs.Job             { return o.jobs[id] }
func (*fakeOwner) AttemptRemoved(*jobs.Job, bool)        {}
func (o *fakeOwner) TaskCompleted(job *jobs.Job, task int) {
	job.Finish(task, jobs.ProgressLayout{TasksPerRecord: 256})
	o.completed = append(o.completed, task)
}
func (*fakeOwner) TaskSucceeded(*fleet.Machine, *jobs.Job, fleet.Attempt) {}
func (*fakeOwner) ObserveRuntime(*jobs.Job, units.Microseconds)           {}
func (o *fakeOwner) Charge(_ string, demand binpack.Vec)                  { o.used = o.used.Add(demand) }
func (o *fakeOwner) Release(_ string, demand binpack.Vec)                 { o.used = o.used.Sub(demand) }
func (*fakeOwner) UnreconciledChanged()                                   {}
func (*fakeOwner) RankReady()                                             {}
func (o *fakeOwner) NewWork() bool                                        { return o.newWork }
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

// place starts a task on a machine as the scheduler does.
func (o *fakeOwner) place(machine *fleet.Machine, attempt uint64) jobs.TaskID {
	job := o.jobs["wk-000001"]
	id := jobs.TaskID{Job: job.ID, Task: job.PlaceNext(jobs.Place{Machine: machine.Name, Attempt: attempt, Zone: "z"})}
	o.reconciler.Place(machine, id, fleet.Attempt{Number: attempt, Team: "t", Demand: job.Spec().Demand})
	return id
}

// heartbeat returns a heartbeat of n-1 that reports the given tasks.
func heartbeat(seq, fencingToken uint64, tasks ...fleet.Task) *fleet.Heartbeat {
	return &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: fencingToken, ReclaimIn: units.MaxTime, Tasks: tasks}
}

// TestAdmission checks that heartbeats which must not change any state are refused with the right
// outcome, and that an unknown machine is adopted once no shard has stored it for AdoptAfter.
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
		t.Errorf("%d unknown machines remembered", len(owner.reconciler.unknown))
	}
}

// TestMissingTaskNeedsConfirmedToken guards against dropping a started task too early. A start was sent
// that the worker's heartbeat does not show. Only a heartbeat under this owner's token proves that the
// start was not carried out. Every heartbeat except a stale one renews the lease; a stale one changes
// nothing.
func TestMissingTaskNeedsConfirmedToken(t *testing.T) {
	for _, test := range []struct {
		name     string
		seq      uint64
		token    uint64
		status   HeartbeatStatus
		placed   int
		leaseEnd units.Microseconds
	}{
		{"late", 1, token, Stale, 1, 2*second + lease},
		{"under an earlier owner's token", 3, token - 1, Unconfirmed, 1, 3*second + lease},
		{"under this owner's token", 3, token, Confirmed, 0, 3*second + lease},
	} {
		owner, machine := newOwner(t, true)
		owner.reconciler.Accept(2*second, heartbeat(2, token))
		owner.place(machine, 5)
		accepted := owner.reconciler.Accept(3*second, heartbeat(test.seq, test.token))
		if placed := owner.jobs["wk-000001"].Placed(); accepted.Status != test.status || placed != test.placed || machine.LeaseEnd != test.leaseEnd {
			t.Errorf("%s: status %v, %d placed, lease until %v", test.name, accepted.Status, placed, machine.LeaseEnd)
		}
		if want := (binpack.Vec{int64(1000 * test.placed)}); owner.used != want {
			t.Errorf("%s: %v in use, want %v", test.name, owner.used, want)
		}
	}
}

// TestHeartbeatTasksOfEarlierOwner has a machine report a running task of an earlier owner, a task of an
// unknown job, and a completed task. The first must be adopted and the second stopped. The third must be
// kept on the machine until its completion is stored, and forgotten then.
func TestHeartbeatTasksOfEarlierOwner(t *testing.T) {
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
		t.Errorf("running task placed at %+v", place)
	}
	if !slices.Equal(owner.completed, []int{1}) || owner.reconciled != 1 || len(owner.reconciler.Unreconciled()) != 0 {
		t.Errorf("completed %v, reconciled %d times", owner.completed, owner.reconciled)
	}
	if again := owner.reconciler.Accept(2*second, heartbeat(2, token, running, done)); len(again.Commands) != 0 || len(owner.completed) != 1 {
		t.Errorf("reported again: commands %+v, completed %v", again.Commands, owner.completed)
	}
	if err := job.LoadProgress(0, jobs.ProgressLayout{TasksPerRecord: 256}, jobs.Progress{Tasks: "1"}); err != nil {
		t.Fatal(err)
	}
	want = []fleet.Command{{Op: fleet.Forget, ID: done.ID, Attempt: done.Attempt}}
	if stored := owner.reconciler.Accept(3*second, heartbeat(3, token, running, done)); !slices.Equal(stored.Commands, want) {
		t.Errorf("after the completion is stored: commands %+v", stored.Commands)
	}
}

// TestDelayedHeartbeatAfterLeaseExpiry guards against restoring tasks that ended with their machine's
// lease, when a heartbeat that a network partition delayed still reports them.
func TestDelayedHeartbeatAfterLeaseExpiry(t *testing.T) {
	for disabled, want := range map[guard.Guard]int{guard.None: 0, guard.ExpiredAttempts: 1} {
		owner, machine := newOwner(t, true)
		owner.disabled, owner.lastAttempt = disabled, 5
		id := owner.place(machine, 5)
		owner.reconciler.ExpireLease(lease, machine)
		if owner.jobs[id.Job].Placed() != 0 || machine.Schedulable() {
			t.Fatalf("after the lease: %d placed", owner.jobs[id.Job].Placed())
		}
		owner.reconciler.Accept(lease+second, heartbeat(1, token, fleet.Task{ID: id, Attempt: 5, State: fleet.Running}))
		if placed := owner.jobs[id.Job].Placed(); placed != want {
			t.Errorf("guard %d disabled: %d placed, want %d", disabled, placed, want)
		}
	}
}

// TestLeaseRenewalStopsCancelledTasks guards against a response that renews a worker's lease and lets tasks of
// a cancelled job run on for another lease.
func TestLeaseRenewalStopsCancelledTasks(t *testing.T) {
	for _, test := range []struct {
		name        string
		transferred bool
		expired     bool
		token       uint64
		disabled    guard.Guard
		want        int
	}{
		{"new owner that does not know the tasks", false, false, token - 1, guard.None, manyTasks},
		{"new owner that knows the tasks", true, false, token - 1, guard.None, manyTasks},
		{"same owner", true, false, token, guard.None, manyTasks},
		{"same owner, lease expired", true, true, token, guard.None, manyTasks},
		{"new owner, lease expired", true, true, token - 1, guard.None, manyTasks},
		{"new owner without the check", true, false, token - 1, guard.InactiveTasks, 0},
	} {
		owner, machine := newOwner(t, test.transferred)
		job := owner.jobs["wk-000001"]
		job.Record.Tasks, owner.disabled = manyTasks, test.disabled
		var tasks []fleet.Task
		for i := range manyTasks {
			tasks = append(tasks, fleet.Task{ID: jobs.TaskID{Job: job.ID, Task: i}, Attempt: uint64(i + 1), State: fleet.Running})
		}
		if test.expired {
			owner.lastAttempt = manyTasks
			owner.reconciler.ExpireLease(lease, machine)
		}
		job.Record.Status = jobs.Cancelled
		accepted := owner.reconciler.Accept(lease+second, heartbeat(1, test.token, tasks...))
		stopped := map[jobs.TaskID]bool{}
		for _, command := range accepted.Commands {
			if command.Op == fleet.Stop && command.Attempt == uint64(command.ID.Task+1) {
				stopped[command.ID] = true
			}
		}
		if len(stopped) != test.want || machine.LeaseEnd != 2*lease+second {
			t.Errorf("%s: %d of %d tasks stopped, lease until %v", test.name, len(stopped), manyTasks, machine.LeaseEnd)
		}
	}
}

// TestOvertakenHeartbeatRenewsLease guards against an owner that counts a lease as expired before the worker
// does: the answer to a probe overtakes a heartbeat, and the worker still waits for the response.
func TestOvertakenHeartbeatRenewsLease(t *testing.T) {
	for _, test := range []struct {
		name     string
		seq      uint64
		disabled guard.Guard
		status   HeartbeatStatus
		leaseEnd units.Microseconds
	}{
		{"sent before the probe's answer", 6, guard.None, Overtaken, 2*second + lease},
		{"older than the last heartbeat", 5, guard.None, Stale, lease + second},
		{"without the check", 6, guard.OvertakenLease, Overtaken, lease + second},
	} {
		owner, machine := newOwner(t, false)
		owner.disabled = test.disabled
		job := owner.jobs["wk-000001"]
		task := fleet.Task{ID: jobs.TaskID{Job: job.ID}, Attempt: 2, State: fleet.Running}
		owner.reconciler.Accept(second, heartbeat(5, token-1, task))
		owner.reconciler.OnProbe(second, Probe{Machine: machine.Name}, store.OK, heartbeat(7, token, task))
		job.Record.Status = jobs.Cancelled
		accepted := owner.reconciler.Accept(2*second, heartbeat(test.seq, token-1, task))
		if accepted.Status != test.status || machine.LeaseEnd != test.leaseEnd || machine.Seq != 7 {
			t.Errorf("%s: status %v, lease until %v, newest message %d", test.name, accepted.Status, machine.LeaseEnd, machine.Seq)
		}
		if stops := len(accepted.Commands); (stops == 1) != (test.leaseEnd > lease+second) {
			t.Errorf("%s: %d tasks stopped", test.name, stops)
		}
	}
}

// TestOldHeartbeatAfterLeaseExpiry guards against an answer to a heartbeat that is older than the answer to a
// probe, once the machine's lease has expired.
func TestOldHeartbeatAfterLeaseExpiry(t *testing.T) {
	owner, machine := newOwner(t, false)
	owner.reconciler.OnProbe(second, Probe{Machine: machine.Name}, store.OK, heartbeat(7, token))
	owner.reconciler.ExpireLease(lease, machine)
	if accepted := owner.reconciler.Accept(lease, heartbeat(6, token-1)); accepted.Status != Stale || machine.LeaseEnd != 0 {
		t.Errorf("status %v, lease until %v", accepted.Status, machine.LeaseEnd)
	}
}

// manyTasks is more than a response stops to make room for others.
const manyTasks = 3 * fleet.MaxStops

// TestTaskOnTwoMachines has a machine report a task that was started on another machine. The machine must
// stop it, and the task must stay placed where it was started.
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
		t.Errorf("task placed at %+v", place)
	}
}

// TestProbesOfUnreconciledMachines checks that unreconciled machines are probed after probeAfter, at most
// maxProbesPerMachine times each and maxProbesInFlight at once. An answer under this owner's token
// reconciles its machine; without answers the probes are exhausted.
func TestProbesOfUnreconciledMachines(t *testing.T) {
	owner, machine := newOwner(t, false)
	machine.Addr = "n-1:1"
	for i := range maxProbesInFlight + 2 {
		more := fleet.New(fmt.Sprintf("n-%02d", 10+i), machine.Record, machine.Type, 0)
		more.Addr = "x"
		owner.reconciler.Add(more)
		owner.reconciler.Inherit(0, more, false)
	}
	owner.reconciler.SendProbes(probeAfter - 1)
	if len(owner.probes) != 0 {
		t.Fatal("probed before probeAfter")
	}
	owner.reconciler.SendProbes(probeAfter)
	if len(owner.probes) != maxProbesInFlight || owner.probes[0] != (Probe{Assignment: 3, Machine: "n-1", Addr: "n-1:1", FencingToken: token, Incarnation: 1}) {
		t.Fatalf("probes %+v", owner.probes)
	}
	owner.reconciler.OnProbe(probeAfter, owner.probes[0], store.OK, heartbeat(1, token))
	if !machine.Reconciled || machine.LeaseEnd != lease {
		t.Errorf("reconciled %v, lease until %v: a probe must reconcile and renew no lease", machine.Reconciled, machine.LeaseEnd)
	}
	answered := 1
	for now := probeAfter; now < 10*second; now += second / 20 {
		for ; answered < len(owner.probes); answered++ {
			owner.reconciler.OnProbe(now, owner.probes[answered], store.Unknown, nil)
		}
		owner.reconciler.SendProbes(now)
	}
	if !owner.reconciler.ProbesExhausted() || len(owner.probes) != 1+2*(maxProbesInFlight+2) {
		t.Errorf("%d probes, exhausted %v", len(owner.probes), owner.reconciler.ProbesExhausted())
	}
}

// TestPendingHeartbeats holds heartbeats of idle machines. New work must be offered to the preferred
// machine first, a heartbeat held for maxPendingTime must be answered without work, and the number held
// must be limited.
func TestPendingHeartbeats(t *testing.T) {
	owner, machine := newOwner(t, true)
	owner.reconciler.Accept(second, heartbeat(1, token))
	other := fleet.New("n-0", machine.Record, machine.Type, 0)
	owner.reconciler.Add(other)
	other.Reconciled = true
	if !owner.reconciler.HoldIdle(second, 1, machine) || !owner.reconciler.HoldIdle(second, 2, other) {
		t.Fatal("heartbeat of an idle machine not held")
	}
	busy := fleet.New("n-2", machine.Record, machine.Type, 0)
	busy.Reconciled, busy.ReportedTasks = true, 1
	if owner.reconciler.HoldIdle(second, 3, busy) {
		t.Error("held the heartbeat of a machine that reports a task")
	}
	owner.newWork, owner.work = true, []fleet.Command{{Op: fleet.Start}}
	owner.reconciler.OfferWork(second, true)
	if !slices.Equal(owner.answered, []RequestID{2}) || other.LeaseEnd != second+lease {
		t.Errorf("answered %v, lease until %v", owner.answered, other.LeaseEnd)
	}
	owner.newWork = false
	owner.reconciler.OfferWork(second+maxPendingTime-1, true)
	if len(owner.answered) != 1 || owner.reconciler.PendingOverdue(second+maxPendingTime-1) {
		t.Errorf("answered %v too early", owner.answered)
	}
	owner.reconciler.OfferWork(second+maxPendingTime, true)
	if !slices.Equal(owner.answered, []RequestID{2, 1}) {
		t.Errorf("answered %v", owner.answered)
	}
	owner.reconciler.Postpone(second, 4)
	if drained := owner.reconciler.DrainPending(); !slices.Equal(drained, []RequestID{4}) || len(owner.reconciler.DrainPending()) != 0 {
		t.Errorf("drained %v", drained)
	}
	for i := range MaxPending {
		owner.reconciler.HoldIdle(second, RequestID(i), machine)
	}
	if owner.reconciler.MayPostpone() || owner.reconciler.HoldIdle(second, 9, machine) {
		t.Error("number of pending heartbeats is not limited")
	}
}
