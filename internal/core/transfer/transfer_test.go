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

// machine returns a machine that is stored as up, is reconciled, and runs tasks of a job.
func machine(name string, tasks int) *fleet.Machine {
	m := fleet.New(name, fleet.Record{Type: "big", Zone: "z", Up: true}, nil, 0)
	m.Reconciled, m.Group, m.Addr, m.Incarnation, m.Seq = true, keys.MachinePrefix+"r-1", name+":1", 3, 9
	for task := range tasks {
		m.SetAttempt(jobs.TaskID{Job: "wk-000001", Task: task}, fleet.Attempt{Number: uint64(task) + 1, State: fleet.Running})
	}
	return m
}

// job returns a job with some tasks that are finished and not stored as such.
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

// TestSnapshotIsSplitIntoMessages guards against parts of a large snapshot that exceed a frame,
// and against machines and finished tasks that are lost or repeated when the snapshot is split.
func TestSnapshotIsSplitIntoMessages(t *testing.T) {
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
			t.Fatalf("message of shard %d, token %d", part.Block, part.Token)
		}
		for _, m := range part.Machines {
			if m.Name <= last {
				t.Errorf("machine %s comes after %s", m.Name, last)
			}
			last = m.Name
			machines[m.Name] = len(m.Tasks)
			size += len(m.Tasks) + machineOverhead
		}
		for _, done := range part.Done {
			finished[done.Job] += len(done.Tasks)
			size += len(done.Tasks)
		}
		if size > MessageSize {
			t.Errorf("message of size %d", size)
		}
	}
	if len(parts) < 9 || len(machines) != 150 || machines["n-079"] != 39 {
		t.Errorf("%d parts, %d machines, %d tasks on n-079", len(parts), len(machines), machines["n-079"])
	}
	if want := map[string]int{"wk-000002": 300, "wk-000003": 600}; !maps.Equal(finished, want) {
		t.Errorf("finished %v", finished)
	}
}

// TestSnapshotOmitsUnconfirmedMachines guards against a next owner that trusts
// an incomplete state: machines on which unknown tasks may run, or that are
// being removed, must be left out, so that the next owner reconciles them.
func TestSnapshotOmitsUnconfirmedMachines(t *testing.T) {
	for name, test := range map[string]struct {
		change func(m *fleet.Machine)
		want   bool
	}{
		"reconciled":           {func(*fleet.Machine) {}, true},
		"just up":              {func(m *fleet.Machine) { m.Reconciled = false }, true},
		"just up, orphaned":    {func(m *fleet.Machine) { m.Reconciled, m.Group = false, keys.OrphanMachine(m.Name) }, false},
		"orphaned, reconciled": {func(m *fleet.Machine) { m.Group = keys.OrphanMachine(m.Name) }, true},
		"booting":              {func(m *fleet.Machine) { m.Record.Up = false }, false},
		"lost":                 {func(m *fleet.Machine) { m.Lost = true }, false},
		"deprovisioning":       {func(m *fleet.Machine) { m.Deprovisioning = true }, false},
	} {
		m := machine("n-1", 1)
		test.change(m)
		shard := Shard{FencingToken: token, Machines: map[string]*fleet.Machine{"n-1": m}}
		if got := len(shard.Messages()[0].Machines) == 1; got != test.want {
			t.Errorf("%s: in the snapshot %v", name, got)
		}
	}
}

// TestSnapshotIsUsedOnceByNextOwner guards against the use of an outdated snapshot: it may be used
// only under the assignment that directly follows the one under which it was made, and only once.
func TestSnapshotIsUsedOnceByNextOwner(t *testing.T) {
	next := authority.Assignment{TransferredFrom: token}
	for name, test := range map[string]struct {
		assignment authority.Assignment
		discard    bool
		want       bool
	}{
		"next assignment":       {assignment: next, want: true},
		"assignment in between": {assignment: authority.Assignment{TransferredFrom: token + 1}},
		"of an older release":   {},
		"discarded meanwhile":   {assignment: next, discard: true},
	} {
		r := NewReceiver("b", 1)
		r.Receive(Message{Block: 2, Token: token, Machines: []replication.MachineSnapshot{{Name: "n-1"}}})
		r.Receive(Message{Block: 2, Token: token - 1, Machines: []replication.MachineSnapshot{{Name: "n-2"}}}) // late
		if test.discard {
			r.Discard(2)
		}
		snapshot := r.TakeSnapshot(2, test.assignment)
		if got := snapshot.Covers("n-1", keys.MachinePrefix+"r-1"); got != test.want {
			t.Errorf("%s: covers %v", name, got)
		}
		if snapshot.Covers("n-2", keys.MachinePrefix+"r-1") || snapshot.Complete() {
			t.Errorf("%s: includes a machine of an older snapshot, or counts as complete", name)
		}
		if r.TakeSnapshot(2, test.assignment).Covers("n-1", keys.MachinePrefix+"r-1") {
			t.Errorf("%s: used twice", name)
		}
	}
}

// TestReceivedSnapshotIsBounded guards against a peer that fills the memory: shard
// numbers out of range are ignored, and so are parts beyond maxSnapshotEntries.
func TestReceivedSnapshotIsBounded(t *testing.T) {
	r := NewReceiver("b", 1)
	for _, shard := range []int{-1, keys.MaxShards} {
		r.Receive(Message{Block: shard, Token: token})
	}
	if len(r.snapshots) != 0 {
		t.Errorf("snapshots of %d shards out of range", len(r.snapshots))
	}
	part := Message{Block: 1, Token: token}
	for n := range 1000 {
		part.Machines = append(part.Machines, replication.MachineSnapshot{Name: fmt.Sprint(n)})
	}
	for n := range 80 {
		for i := range part.Machines {
			part.Machines[i].Name = fmt.Sprint(n, "-", i)
		}
		r.Receive(part)
	}
	if got := len(r.snapshots[1].machines); got != maxSnapshotEntries/1000*1000 {
		t.Errorf("%d machines", got)
	}
}

// TestReplicatedSnapshotNeedsStandbyRecord guards against the use of a replicated
// snapshot that may miss starts: it counts as complete only if the stored record
// names this node and its stream, the assignment directly follows, and the state
// service was not rolled back. Then nothing can run on a machine that it does not
// include, unless that machine is orphaned.
func TestReplicatedSnapshotNeedsStandbyRecord(t *testing.T) {
	record := replication.Record{Node: "b", Token: token, Run: 1}
	for name, test := range map[string]struct {
		record     replication.Record
		assignment authority.Assignment
		rolledBack bool
		want       bool
	}{
		"next assignment":        {record: record, assignment: authority.Assignment{PreviousToken: token}, want: true},
		"assignment in between":  {record: record, assignment: authority.Assignment{PreviousToken: token + 1}},
		"of an older release":    {record: record},
		"another standby":        {record: replication.Record{Node: "c", Token: token, Run: 1}, assignment: authority.Assignment{PreviousToken: token}},
		"another stream":         {record: replication.Record{Node: "b", Token: token, Run: 2}, assignment: authority.Assignment{PreviousToken: token}},
		"state service rollback": {record: record, assignment: authority.Assignment{PreviousToken: token}, rolledBack: true},
	} {
		r := NewReceiver("b", 1)
		r.ApplyStandby(2, test.record)
		message := replication.Message{Block: 2, Token: token, Run: 1, N: 1, Whole: true, Machines: []replication.MachineSnapshot{{Name: "n-1"}}}
		if ack := r.ReceiveReplication(message, func(string, int) bool { return false }); ack.N != 1 {
			t.Fatalf("%s: %+v", name, ack)
		}
		if test.rolledBack {
			r.StateRolledBack()
		}
		if got, want := r.StandbyOf(2, token), test.record.Node; got != want {
			t.Errorf("%s: standby %q", name, got)
		}
		if got := r.StandbyOf(2, token+1); got != "" {
			t.Errorf("%s: standby of the next owner %q", name, got)
		}
		snapshot := r.TakeSnapshot(2, test.assignment)
		if snapshot.Complete() != test.want || snapshot.Covers("n-2", keys.MachinePrefix+"r-1") != test.want || snapshot.Covers("n-1", keys.MachinePrefix+"r-1") != test.want {
			t.Errorf("%s: complete %v", name, snapshot.Complete())
		}
		if snapshot.Covers("n-2", keys.OrphanMachine("n-2")) {
			t.Errorf("%s: covers an orphaned machine", name)
		}
		if r.TakeSnapshot(2, test.assignment).Complete() {
			t.Errorf("%s: used twice", name)
		}
	}
}

// nextOwner is a shard's next owner.
type nextOwner struct {
	machines map[string]*fleet.Machine
	jobs     map[string]*jobs.Job
	restored []string
	finished []int
}

func (n *nextOwner) Machines() map[string]*fleet.Machine { return n.machines }
func (n *nextOwner) ActiveJob(id string) *jobs.Job       { return n.jobs[id] }
func (n *nextOwner) RestoreMachine(m *fleet.Machine, last replication.MachineSnapshot) {
	n.restored = append(n.restored, fmt.Sprint(m.Name, " ", last.Addr, " ", last.Session, " ", last.Seq, " ", len(last.Tasks)))
}
func (n *nextOwner) TaskFinished(_ *jobs.Job, task int) { n.finished = append(n.finished, task) }

// TestRestoreSnapshot guards against a next owner that restores machines without a
// record, counts a finished task twice or accepts invalid task numbers from a message.
func TestRestoreSnapshot(t *testing.T) {
	last := Shard{Number: 2, FencingToken: token, Jobs: map[string]*jobs.Job{"wk-000001": job("wk-000001", 5, 2)},
		Machines: map[string]*fleet.Machine{"n-1": machine("n-1", 2), "n-2": machine("n-2", 0), "n-3": machine("n-3", 1)}}
	last.Machines["n-1"].SetAttempt(jobs.TaskID{Job: "wk-000001", Task: 4}, fleet.Attempt{Number: 9, State: fleet.Saving})
	r := NewReceiver("b", 1)
	for _, part := range last.Messages() {
		r.Receive(part)
	}
	r.Receive(Message{Block: 2, Token: token, Done: []replication.FinishedTasks{{Job: "wk-000001", Tasks: []int{-1, 5, 0, 3}}, {Job: "wk-000009", Tasks: []int{0}}}})
	next := &nextOwner{jobs: map[string]*jobs.Job{"wk-000001": job("wk-000001", 5, 1)}, machines: map[string]*fleet.Machine{}}
	for _, name := range []string{"n-1", "n-2", "n-4"} {
		next.machines[name] = fleet.New(name, fleet.Record{Type: "big", Zone: "z", Up: true}, nil, 0)
	}
	snapshot := r.TakeSnapshot(2, authority.Assignment{TransferredFrom: token})
	if n := snapshot.Restore(next); n != 2 {
		t.Errorf("restored %d machines", n)
	}
	// n-3 has no record any more, and the snapshot does not include n-4.
	if want := []string{"n-1 n-1:1 3 9 3", "n-2 n-2:1 3 9 0"}; !slices.Equal(next.restored, want) {
		t.Errorf("restored %v", next.restored)
	}
	if want := []int{1, 3}; !slices.Equal(next.finished, want) {
		t.Errorf("finished %v", next.finished)
	}
}
