package transfer

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
)

const token = 7

// machine returns a machine that is stored as up and reconciled, with tasks of a job.
func machine(name string, tasks int) *fleet.Machine {
	m := fleet.New(name, fleet.Record{Type: "big", Zone: "z", Up: true}, nil, 0)
	m.Reconciled, m.Group, m.Addr, m.Incarnation, m.Seq = true, keys.MachinePrefix+"r-1", name+":1", 3, 9
	for task := range tasks {
		m.SetAttempt(jobs.TaskID{Job: "wk-000001", Task: task}, fleet.Attempt{Number: uint64(task) + 1, State: fleet.Running})
	}
	return m
}

// job returns a job of which some tasks are finished and not stored as such.
func job(id string, tasks, finished int) *jobs.Job {
	j := &jobs.Job{ID: id, Record: jobs.Record{Status: jobs.Pending, Tasks: tasks, Spec: &jobs.Spec{Tasks: tasks}}}
	j.ClearPlacements()
	j.Reset()
	for task := range finished {
		j.Finish(task, jobs.ProgressLayout{TasksPerRecord: 1 << 10})
		j.DirtySince = 1
	}
	return j
}

// TestMessages divides a large snapshot into parts that each fit a frame, with nothing left out
// and nothing twice.
func TestMessages(t *testing.T) {
	shard := Shard{Number: 2, FencingToken: token, Jobs: map[string]*jobs.Job{}, Machines: map[string]*fleet.Machine{}}
	for n := range 3 {
		id := fmt.Sprintf("wk-%06d", n+1)
		shard.Jobs[id] = job(id, 1000, 300*n)
	}
	for n := range 150 {
		name := fmt.Sprintf("n-%03d", n)
		shard.Machines[name] = machine(name, n%40)
	}
	machines, finished, last := map[string]int{}, map[string]int{}, ""
	parts := shard.Messages()
	for _, part := range parts {
		size := 0
		if part.Block != 2 || part.Token != token {
			t.Fatalf("of shard %d, token %d", part.Block, part.Token)
		}
		for _, m := range part.Machines {
			if m.Name <= last {
				t.Errorf("%s after %s", m.Name, last)
			}
			last = m.Name
			machines[m.Name] = len(m.Tasks)
			size += len(m.Tasks) + machineSize
		}
		for _, done := range part.Done {
			finished[done.Job] += len(done.Tasks)
			size += len(done.Tasks)
		}
		if size > MessageSize {
			t.Errorf("a part of %d", size)
		}
	}
	if len(parts) < 9 || len(machines) != 150 || machines["n-079"] != 39 {
		t.Errorf("%d parts, %d machines, %d tasks on n-079", len(parts), len(machines), machines["n-079"])
	}
	if want := map[string]int{"wk-000002": 300, "wk-000003": 600}; !maps.Equal(finished, want) {
		t.Errorf("finished %v", finished)
	}
}

// TestTransferable leaves out machines of which it is not known what may run there, or that are
// about to go: the next owner must reconcile them.
func TestTransferable(t *testing.T) {
	for name, test := range map[string]struct {
		change func(m *fleet.Machine)
		want   bool
	}{
		"reconciled":            {func(*fleet.Machine) {}, true},
		"just up":               {func(m *fleet.Machine) { m.Reconciled = false }, true},
		"just up, of nobody":    {func(m *fleet.Machine) { m.Reconciled, m.Group = false, keys.OrphanMachine(m.Name) }, false},
		"of nobody, reconciled": {func(m *fleet.Machine) { m.Group = keys.OrphanMachine(m.Name) }, true},
		"booting":               {func(m *fleet.Machine) { m.Record.Up = false }, false},
		"lost":                  {func(m *fleet.Machine) { m.Lost = true }, false},
		"deprovisioning":        {func(m *fleet.Machine) { m.Deprovisioning = true }, false},
	} {
		m := machine("n-1", 1)
		test.change(m)
		shard := Shard{FencingToken: token, Machines: map[string]*fleet.Machine{"n-1": m}}
		if got := len(shard.Messages()[0].Machines) == 1; got != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestTake uses a snapshot only under the assignment that follows on the one under which it was
// made, and only once.
func TestTake(t *testing.T) {
	follows := authority.Assignment{TransferredFrom: token}
	for name, test := range map[string]struct {
		assignment authority.Assignment
		discard    bool
		want       bool
	}{
		"the next":                {assignment: follows, want: true},
		"one between":             {assignment: authority.Assignment{TransferredFrom: token + 1}},
		"of an older release":     {},
		"was another's meanwhile": {assignment: follows, discard: true},
	} {
		r := NewReceiver("b")
		r.Receive(Message{Block: 2, Token: token, Machines: []replication.MachinePicture{{Name: "n-1"}}})
		r.Receive(Message{Block: 2, Token: token - 1, Machines: []replication.MachinePicture{{Name: "n-2"}}}) // late
		if test.discard {
			r.Discard(2)
		}
		snapshot := r.Take(2, test.assignment)
		if got := snapshot.Covers("n-1", keys.MachinePrefix+"r-1"); got != test.want {
			t.Errorf("%s: covers %v", name, got)
		}
		if snapshot.Covers("n-2", keys.MachinePrefix+"r-1") || snapshot.Complete() {
			t.Errorf("%s: tells of what an older one told", name)
		}
		if r.Take(2, test.assignment).Covers("n-1", keys.MachinePrefix+"r-1") {
			t.Errorf("%s: used twice", name)
		}
	}
}

// TestReceiveBounds takes no more than is remembered, and no shard that cannot be.
func TestReceiveBounds(t *testing.T) {
	r := NewReceiver("b")
	for _, shard := range []int{-1, keys.MaxShards} {
		r.Receive(Message{Block: shard, Token: token})
	}
	if len(r.snapshots) != 0 {
		t.Errorf("%d shards", len(r.snapshots))
	}
	part := Message{Block: 1, Token: token}
	for n := range 1000 {
		part.Machines = append(part.Machines, replication.MachinePicture{Name: fmt.Sprint(n)})
	}
	for n := range 80 {
		for i := range part.Machines {
			part.Machines[i].Name = fmt.Sprint(n, "-", i)
		}
		r.Receive(part)
	}
	if got := len(r.snapshots[1].machines); got != maxSnapshot/1000*1000 {
		t.Errorf("%d machines", got)
	}
}

// TestTakeReplicated prefers what this node has followed as the standby that is stored, and is
// complete: on a machine that it does not show nothing can be, unless nobody provisioned it.
func TestTakeReplicated(t *testing.T) {
	record := replication.Record{Node: "b", Token: token, Run: 1}
	for name, test := range map[string]struct {
		record     replication.Record
		assignment authority.Assignment
		rolledBack bool
		want       bool
	}{
		"the next":               {record: record, assignment: authority.Assignment{PreviousToken: token}, want: true},
		"one between":            {record: record, assignment: authority.Assignment{PreviousToken: token + 1}},
		"of an older release":    {record: record},
		"another stood by":       {record: replication.Record{Node: "c", Token: token, Run: 1}, assignment: authority.Assignment{PreviousToken: token}},
		"another stream":         {record: replication.Record{Node: "b", Token: token, Run: 2}, assignment: authority.Assignment{PreviousToken: token}},
		"the state service fell": {record: record, assignment: authority.Assignment{PreviousToken: token}, rolledBack: true},
	} {
		r := NewReceiver("b")
		r.LearnStandby(2, test.record)
		message := replication.Message{Block: 2, Token: token, Run: 1, N: 1, Whole: true, Machines: []replication.MachinePicture{{Name: "n-1"}}}
		if ack := r.ReceiveStarts(message, func(string, int) bool { return false }); ack.N != 1 {
			t.Fatalf("%s: %+v", name, ack)
		}
		if test.rolledBack {
			r.StateRolledBack()
		}
		if got, want := r.StandbyOf(2, token), test.record.Node; got != want {
			t.Errorf("%s: stands by %q", name, got)
		}
		if got := r.StandbyOf(2, token+1); got != "" {
			t.Errorf("%s: of the next owner %q stands by", name, got)
		}
		snapshot := r.Take(2, test.assignment)
		if snapshot.Complete() != test.want || snapshot.Covers("n-2", keys.MachinePrefix+"r-1") != test.want || snapshot.Covers("n-1", keys.MachinePrefix+"r-1") != test.want {
			t.Errorf("%s: complete %v", name, snapshot.Complete())
		}
		if snapshot.Covers("n-2", keys.OrphanMachine("n-2")) {
			t.Errorf("%s: covers a machine of nobody", name)
		}
		if r.Take(2, test.assignment).Complete() {
			t.Errorf("%s: used twice", name)
		}
	}
}

// fakeNext is a shard's next owner.
type fakeNext struct {
	machines map[string]*fleet.Machine
	jobs     map[string]*jobs.Job
	restored []string
	finished []int
}

func (n *fakeNext) Machines() map[string]*fleet.Machine { return n.machines }
func (n *fakeNext) ActiveJob(id string) *jobs.Job       { return n.jobs[id] }
func (n *fakeNext) RestoreMachine(m *fleet.Machine, last replication.MachinePicture) {
	n.restored = append(n.restored, fmt.Sprint(m.Name, " ", last.Addr, " ", last.Session, " ", last.Seq, " ", len(last.Tasks)))
}
func (n *fakeNext) TaskFinished(_ *jobs.Job, task int) { n.finished = append(n.finished, task) }

// TestRestore has the next owner take in what the last one knew: machines that it has a record
// of, and finished tasks once, whatever is in the message.
func TestRestore(t *testing.T) {
	last := Shard{Number: 2, FencingToken: token, Jobs: map[string]*jobs.Job{"wk-000001": job("wk-000001", 5, 2)},
		Machines: map[string]*fleet.Machine{"n-1": machine("n-1", 2), "n-2": machine("n-2", 0), "n-3": machine("n-3", 1)}}
	last.Machines["n-1"].SetAttempt(jobs.TaskID{Job: "wk-000001", Task: 4}, fleet.Attempt{Number: 9, State: fleet.Saving})
	r := NewReceiver("b")
	for _, part := range last.Messages() {
		r.Receive(part)
	}
	r.Receive(Message{Block: 2, Token: token, Done: []replication.TasksDone{{Job: "wk-000001", Tasks: []int{-1, 5, 0, 3}}, {Job: "wk-000009", Tasks: []int{0}}}})
	next := &fakeNext{jobs: map[string]*jobs.Job{"wk-000001": job("wk-000001", 5, 1)}, machines: map[string]*fleet.Machine{}}
	for _, name := range []string{"n-1", "n-2", "n-4"} {
		next.machines[name] = fleet.New(name, fleet.Record{Type: "big", Zone: "z", Up: true}, nil, 0)
	}
	snapshot := r.Take(2, authority.Assignment{TransferredFrom: token})
	if n := snapshot.Restore(next); n != 2 {
		t.Errorf("%d machines", n)
	}
	// n-3 has no record any more, and the last owner did not show n-4.
	if want := []string{"n-1 n-1:1 3 9 3", "n-2 n-2:1 3 9 0"}; !slices.Equal(next.restored, want) {
		t.Errorf("restored %v", next.restored)
	}
	if want := []int{1, 3}; !slices.Equal(next.finished, want) {
		t.Errorf("finished %v", next.finished)
	}
}
