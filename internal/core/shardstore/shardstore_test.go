package shardstore

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeOwner is the owner of shard 3 under version 40 of its assignment. Its queue keeps writes until a test
// completes them.
type fakeOwner struct {
	now, wall units.Microseconds
	versions  map[string]uint64
	queue     []*store.Write
	capacity  int
	machines  map[string]*fleet.Machine
	deleted   []string
	finished  []int
}

func newFakeOwner() *fakeOwner {
	return &fakeOwner{now: 100 * units.Second, wall: 1000 * units.Second, versions: map[string]uint64{}, capacity: 8, machines: map[string]*fleet.Machine{}}
}

func (o *fakeOwner) Now() units.Microseconds  { return o.now }
func (o *fakeOwner) Wall() units.Microseconds { return o.wall }
func (o *fakeOwner) Assignment() store.Guard {
	return store.Guard{Key: keys.Assignment(3), Version: 40}
}
func (o *fakeOwner) Version(key string) uint64          { return o.versions[key] }
func (o *fakeOwner) Enqueue(write *store.Write)         { o.queue = append(o.queue, write) }
func (o *fakeOwner) Capacity() int                      { return o.capacity }
func (o *fakeOwner) Machine(name string) *fleet.Machine { return o.machines[name] }
func (o *fakeOwner) GroupDeleted(key string)            { o.deleted = append(o.deleted, key) }
func (o *fakeOwner) TaskFinished(_ string, task int)    { o.finished = append(o.finished, task) }
func (o *fakeOwner) HasDependents(job string) bool      { return job == "wk-000009" }

// completeAll completes all queued writes with an outcome, checks that each is guarded by the assignment, and
// returns them.
func (o *fakeOwner) completeAll(t *testing.T, outcome store.Outcome) []*store.Write {
	t.Helper()
	settled := o.queue
	o.queue = nil
	for _, write := range settled {
		if len(write.Guards) == 0 || write.Guards[0] != o.Assignment() {
			t.Errorf("%v is not guarded by the assignment: %v", write.Changes, write.Guards)
		}
		if outcome == store.OK {
			for _, change := range write.Changes {
				o.versions[change.Key]++
				if change.Value == nil {
					delete(o.versions, change.Key)
				}
			}
		}
		write.Done(outcome, 7)
	}
	return settled
}

// flush advances the time beyond every delay and flushes the writer.
func (o *fakeOwner) flush(w *Writer) {
	o.now += 3 * units.Second
	w.Flush()
}

// addMachine adds a machine to a group of the writer; up reports whether the machine has sent a heartbeat.
func (o *fakeOwner) addMachine(w *Writer, key, name string, up bool) *fleet.Machine {
	machine := fleet.New(name, fleet.Record{Type: "big", Zone: "z"}, nil, o.now)
	machine.Group = key
	if up {
		machine.LastSeen = o.now
	}
	o.machines[name] = machine
	w.AddMachine(key, name, fleet.Group{Shard: 3, Type: "big", Zone: "z"})
	return machine
}

func group(t *testing.T, value json.RawMessage) fleet.Group {
	t.Helper()
	g, err := fleet.DecodeGroup("", value)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestGroupIsWrittenUntilStored has writes of a group fail or end in doubt. The group must be written again,
// guarded by the present version of its key, and its machine must count as stored only after a write that
// certainly was.
func TestGroupIsWrittenUntilStored(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 8}, owner)
	key := keys.MachinePrefix + "r-1"
	machine := owner.addMachine(w, key, "n-1", true)
	owner.addMachine(w, key, "n-2", false)
	w.StoreGroup(key, true)
	w.StoreGroup(key, false) // already scheduled: must not add a second write
	for _, outcome := range []store.Outcome{store.Unknown, store.Failed, store.Refused, store.OK} {
		owner.versions[key] += 5 // another write has changed the key
		owner.flush(w)
		version := owner.versions[key]
		writes := owner.completeAll(t, outcome)
		if len(writes) != 1 || !writes[0].Deferred || !slices.Contains(writes[0].Guards, store.Guard{Key: key, Version: version}) {
			t.Fatalf("%v: %d writes, %+v", outcome, len(writes), writes)
		}
		if g := group(t, writes[0].Changes[0].Value); g.Shard != 3 || !slices.Equal(g.Up, []string{"n-1"}) || !slices.Equal(g.Booting, []string{"n-2"}) {
			t.Errorf("%v: stored %+v", outcome, g)
		}
		if machine.Record.Up != (outcome == store.OK) {
			t.Errorf("%v: machine counts as stored as up: %v", outcome, machine.Record.Up)
		}
	}
	owner.flush(w)
	if len(owner.queue) != 0 {
		t.Errorf("written again: %+v", owner.queue[0].Changes)
	}
}

// TestEmptyGroupIsDeleted checks that a group without machines is deleted if it was stored, and only dropped
// from memory if it was not.
func TestEmptyGroupIsDeleted(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 8}, owner)
	stored, unknown := keys.MachinePrefix+"r-1", keys.MachinePrefix+"r-2"
	owner.versions[stored] = 4
	for key, name := range map[string]string{stored: "n-1", unknown: "n-2"} {
		owner.addMachine(w, key, name, true)
		delete(owner.machines, name)
		w.StoreGroup(key, false)
	}
	owner.flush(w)
	writes := owner.completeAll(t, store.OK)
	if len(writes) != 1 || writes[0].Changes[0].Key != stored || writes[0].Changes[0].Value != nil {
		t.Fatalf("writes: %+v", writes)
	}
	if !slices.Equal(owner.deleted, []string{stored}) || len(w.groups) != 0 {
		t.Errorf("deleted %v, kept %v", owner.deleted, slices.Collect(maps.Keys(w.groups)))
	}
}

// TestFlushOrder has less capacity than there is to store. Groups with machines that are up must be written
// first, as tasks wait for these, then progress, then other groups.
func TestFlushOrder(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 8, Layout: jobs.ProgressLayout{TasksPerRecord: 256}}, owner)
	job := pendingJob("wk-000001", 2)
	w.TaskFinished(job, 0)
	for _, name := range []string{"n-1", "n-2", "n-3"} {
		key := keys.MachinePrefix + name
		owner.addMachine(w, key, name, name == "n-2")
		w.StoreGroup(key, name == "n-2")
	}
	var order []string
	for range 6 {
		owner.capacity = 1
		owner.flush(w)
		for _, write := range owner.completeAll(t, store.OK) {
			order = append(order, strings.TrimPrefix(write.Changes[0].Key, keys.Root))
		}
	}
	if want := []string{"machine/n-2", "progress/wk-000001/0", "machine/n-1", "machine/n-3"}; !slices.Equal(order, want) {
		t.Errorf("write order %v, want %v", order, want)
	}
	owner.capacity = 0
	w.StoreAllGroups()
	if owner.flush(w); len(owner.queue) != 0 {
		t.Error("written without capacity")
	}
}

func pendingJob(id string, tasks int) *jobs.Job {
	job := &jobs.Job{ID: id, Record: jobs.Record{Status: jobs.Pending, Tasks: tasks, Spec: &jobs.Spec{Tasks: tasks}}}
	job.ClearPlacements()
	job.Reset()
	return job
}

// TestProgressIsDelayedAndRetried checks that finished tasks are stored after a delay, guarded by the job's
// record, and again if the outcome is unknown or the state service has lost them.
func TestProgressIsDelayedAndRetried(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 8, Layout: jobs.ProgressLayout{TasksPerRecord: 256}}, owner)
	job := pendingJob("wk-000001", 5)
	owner.versions[keys.Job(job.ID)] = 11
	w.TaskFinished(job, 1)
	owner.now += progressDelay - 1
	if w.Flush(); len(owner.queue) != 0 {
		t.Fatal("stored without a delay")
	}
	w.TaskFinished(job, 2)
	owner.flush(w)
	key := keys.Progress(job.ID, "0")
	for _, outcome := range []store.Outcome{store.Unknown, store.OK} {
		writes := owner.completeAll(t, outcome)
		if len(writes) != 1 || !slices.Contains(writes[0].Guards, store.Guard{Key: keys.Job(job.ID), Version: 11}) || !slices.Contains(writes[0].Guards, store.Guard{Key: key}) {
			t.Fatalf("%v: writes: %+v", outcome, writes)
		}
		if got := string(writes[0].Changes[0].Value); got != `{"tasks":"1-2"}` {
			t.Errorf("%v: stored %s", outcome, got)
		}
		owner.flush(w)
	}
	if len(owner.queue) != 0 {
		t.Error("stored again after success")
	}
	if !slices.Equal(owner.finished, []int{1, 2}) {
		t.Errorf("host was notified of finished tasks %v", owner.finished)
	}
	w.StoreAllProgress(job)
	if owner.flush(w); len(owner.queue) != 1 {
		t.Errorf("%d writes after the state service lost it", len(owner.queue))
	}
}

// TestCloseJob checks that the end of a job is stored with its last task, by one write at a time that also
// deletes the job's progress, and again if it is not certainly stored.
func TestCloseJob(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 2, Layout: jobs.ProgressLayout{TasksPerRecord: 1}}, owner)
	for _, id := range []string{"wk-000001", "wk-000009"} {
		job := pendingJob(id, 3)
		owner.versions[keys.Job(id)] = 11
		for _, record := range []string{"0", "1"} {
			owner.versions[keys.Progress(id, record)] = 12
		}
		for task := range 3 {
			w.TaskFinished(job, task)
		}
		w.CloseJob(job)
		if !job.Active() || !job.Finalizing {
			t.Fatal("job ended before its end was stored")
		}
		writes := owner.completeAll(t, store.Unknown)
		if len(writes) != 1 || writes[0].First != (id == "wk-000009") || !slices.Contains(writes[0].Guards, store.Guard{Key: keys.Job(id), Version: 11}) {
			t.Fatalf("writes: %+v", writes)
		}
		record, err := jobs.DecodeRecord(writes[0].Changes[0].Value)
		if err != nil || record.Status != jobs.Done || record.FinishedAt != owner.wall || record.Tasks != 3 {
			t.Errorf("stored %+v, %v", record, err)
		}
		if len(writes[0].Changes) != 2 || writes[0].Changes[1].Key != keys.Progress(id, "0") || writes[0].Changes[1].Value != nil {
			t.Errorf("too many changes for one transaction, or wrong keys: %+v", writes[0].Changes)
		}
		w.CloseJob(job)
		if len(owner.completeAll(t, store.OK)) != 1 {
			t.Error("not retried")
		}
	}
}

// TestStoreRelease checks that a release has only one write in flight and is written again whatever the
// outcome: the caller stops when the watch cache shows the release.
func TestStoreRelease(t *testing.T) {
	owner := newFakeOwner()
	w := New(Config{TxnOps: 8}, owner)
	for _, outcome := range []store.Outcome{store.Unknown, store.OK, store.OK} {
		for range 3 {
			w.StoreRelease(store.Change{Key: keys.Assignment(3), Value: json.RawMessage(`{}`)})
		}
		if writes := owner.completeAll(t, outcome); len(writes) != 1 {
			t.Errorf("%d writes in flight", len(writes))
		}
	}
}

// fakeGarbage deletes one key with each change.
type fakeGarbage struct {
	keys    []string
	orphans int
}

func (g *fakeGarbage) Pending() bool          { return len(g.keys) > 0 }
func (g *fakeGarbage) CollectOrphans(*Writer) { g.orphans++ }

func (g *fakeGarbage) Collect(capacity int, writer *Writer) {
	for ; capacity > 0 && len(g.keys) > 0; capacity-- {
		key := g.keys[0]
		g.keys = g.keys[1:]
		writer.Write(func(outcome store.Outcome) {
			if outcome != store.OK {
				g.keys = append(g.keys, key)
			}
		}, []string{key}, store.Change{Key: key})
	}
}

// TestGarbageUsesRemainingCapacity checks that garbage is deleted only with the capacity that other writes
// leave, and under the assignment. Orphans must be collected even if nothing is to be stored.
func TestGarbageUsesRemainingCapacity(t *testing.T) {
	owner := newFakeOwner()
	garbage := &fakeGarbage{keys: []string{"a", "b", "c"}}
	w := New(Config{TxnOps: 8, Garbage: garbage}, owner)
	key := keys.MachinePrefix + "r-1"
	owner.addMachine(w, key, "n-1", true)
	w.StoreGroup(key, false)
	var order []string
	for _, outcome := range []store.Outcome{store.OK, store.Unknown, store.OK, store.OK} {
		owner.capacity = 2
		owner.flush(w)
		for _, write := range owner.completeAll(t, outcome) {
			order = append(order, write.Changes[0].Key)
			if !write.Deferred || len(write.Guards) != 2 {
				t.Errorf("not deferred, or wrong guards: %+v", write)
			}
		}
	}
	if want := []string{key, "a", "b", "c", "b", "c"}; !slices.Equal(order, want) {
		t.Errorf("write order %v, want %v", order, want)
	}
	if garbage.orphans != 4 {
		t.Errorf("orphans were collected %d times", garbage.orphans)
	}
}
