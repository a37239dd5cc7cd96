package registry

import (
	"log/slog"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeHost records the calls of its methods, in order.
type fakeHost struct {
	now   units.Microseconds
	calls []string
}

func (f *fakeHost) Now() units.Microseconds       { return f.now }
func (f *fakeHost) WallClock() units.Microseconds { return 1000*units.Second + f.now }
func (f *fakeHost) Objectives() []demand.Objective {
	return []demand.Objective{{Class: "c", Kind: "deadline", Times: 2}}
}
func (f *fakeHost) JobRunnable(job *jobs.Job)    { f.calls = append(f.calls, "runnable "+job.ID) }
func (f *fakeHost) JobLeavesShard(job *jobs.Job) { f.calls = append(f.calls, "leaves "+job.ID) }
func (f *fakeHost) JobFinalizing(job *jobs.Job, status jobs.Status) {
	if job.Spec() == nil {
		f.calls = append(f.calls, "too late")
	}
	f.calls = append(f.calls, string(status)+" "+job.ID)
}
func (f *fakeHost) JobFinalized(id string)    { f.calls = append(f.calls, "over "+id) }
func (f *fakeHost) JobArchived(job *jobs.Job) { f.calls = append(f.calls, "archived "+job.ID) }
func (f *fakeHost) CancellationObserved(e store.Event) {
	f.calls = append(f.calls, "cancellation "+e.Key)
}

// expect compares the calls since the previous expect.
func (f *fakeHost) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(f.calls, want) {
		t.Fatalf("host calls %q, want %q", f.calls, want)
	}
	f.calls = nil
}

// fakeWriter records the writes.
type fakeWriter struct {
	done    []func(store.Outcome)
	guarded [][]string
	changes []store.Change
}

func (w *fakeWriter) Write(done func(store.Outcome), guarded []string, changes ...store.Change) {
	w.done, w.guarded, w.changes = append(w.done, done), append(w.guarded, guarded), append(w.changes, changes...)
}

func newRegistry() (*Registry, *fakeHost) {
	host := &fakeHost{now: units.Second}
	return New(Config{Layout: jobs.ProgressLayout{TasksPerRecord: 256}, TxnOps: 4, OrphanAge: 10 * units.Second, Log: slog.New(slog.DiscardHandler)}, host), host
}

func pending(shard int, dependencies ...string) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Shard: shard, Tasks: 300, Spec: &jobs.Spec{Class: "c", Tasks: 300, Deadline: 60 * units.Second, Awaits: dependencies}}
}

func applyRecord(t *testing.T, r *Registry, id string, record jobs.Record, version uint64) {
	t.Helper()
	if err := r.ApplyRecord(id, store.Event{Value: record.Encode(), Stamp: version}); err != nil {
		t.Fatal(err)
	}
}

func ids(list []*jobs.Job) string {
	var names []string
	for _, job := range list {
		names = append(names, job.ID)
	}
	return strings.Join(names, " ")
}

// TestJobLifecycle follows a job that is accepted, moved to another
// shard, done and archived, while another job depends on it.
func TestJobLifecycle(t *testing.T) {
	r, host := newRegistry()
	applyRecord(t, r, "wk-000002", pending(0, "wk-000001"), 5) // listed before its dependency
	host.expect(t)
	applyRecord(t, r, "wk-000001", pending(0), 6)
	host.expect(t, "runnable wk-000001")
	if r.Len() != 2 || r.ActiveLen() != 2 || ids(r.ActiveByID()) != "wk-000001 wk-000002" || ids(r.Runnable()) != "wk-000001" || r.BlockedLen() != 1 || !r.HasDependents("wk-000001") {
		t.Fatalf("%d jobs, %s runnable, %d blocked", r.Len(), ids(r.Runnable()), r.BlockedLen())
	}
	applyRecord(t, r, "wk-000001", pending(1), 7)
	host.expect(t, "leaves wk-000001", "runnable wk-000001")
	if a := r.Get("wk-000001"); a.Record.Shard != 1 || a.Version != 7 || a.Objectives.LastDue != 120*units.Second {
		t.Fatalf("%+v", a)
	}
	if err := r.ApplyProgress("wk-000001/0", store.Event{Value: []byte(`{"tasks":"0-9","failing":true}`)}); err != nil {
		t.Fatal(err)
	}
	if a := r.Get("wk-000001"); a.Finished() != 10 || !a.IsStored(9) || !a.Failing {
		t.Fatalf("%+v", a)
	}
	r.Get("wk-000001").Adopt(20, jobs.Place{Machine: "n-1"})
	applyRecord(t, r, "wk-000001", jobs.Record{Status: jobs.Done, Tasks: 300, FinishedAt: 2000 * units.Second}, 8)
	host.expect(t, "done wk-000001", "over wk-000001", "runnable wk-000002")
	if b := r.Get("wk-000002"); b.OpenDependencies != 0 || b.Since != 2000*units.Second || ids(r.Runnable()) != "wk-000002" || !r.Retained("wk-000001") {
		t.Fatalf("%+v, retained %v", b, r.Retained("wk-000001"))
	}
	applyRecord(t, r, "wk-000002", jobs.Record{Status: jobs.Cancelled, Tasks: 300}, 9)
	host.expect(t, "cancellation ", "cancelled wk-000002", "over wk-000002")
	if r.Retained("wk-000001") || r.ActiveLen() != 0 {
		t.Error("a job is retained though no unfinished job names it")
	}
	if err := r.ApplyRecord("wk-000001", store.Event{}); err != nil {
		t.Fatal(err)
	}
	host.expect(t, "archived wk-000001")
	a := r.Get("wk-000001")
	if a == nil || !a.Archived {
		t.Fatal("an archived job is dropped while a task may run")
	}
	a.Release(20)
	if r.TaskRemoved(a); r.Get("wk-000001") != nil {
		t.Error("an archived job is kept though none of its tasks may run")
	}
}

// TestUnusableRecordsRejected checks that malformed records return an error and change nothing.
func TestUnusableRecordsRejected(t *testing.T) {
	r, host := newRegistry()
	for _, value := range []string{`{`, `{"status":"running"}`, `{"status":"pending","tasks":1}`, `{"status":"pending","tasks":1,"parts":1}`, `{"status":"pending","tasks":1,"parts":1000,"sum":"x"}`} {
		if err := r.ApplyRecord("wk-000001", store.Event{Value: []byte(value)}); err == nil {
			t.Errorf("%s is accepted", value)
		}
	}
	applyRecord(t, r, "wk-000001", pending(0), 5)
	host.expect(t, "runnable wk-000001")
	for name, value := range map[string]string{"wk-000001/x": `{}`, "wk-000001/9": `{"tasks":"0"}`, "wk-000001/0": `{"tasks":"999"}`, "wk-000001/00": `{`} {
		if err := r.ApplyProgress(name, store.Event{Value: []byte(value)}); err == nil {
			t.Errorf("%s %s is accepted", name, value)
		}
	}
	if r.Len() != 1 || r.Get("wk-000001").Finished() != 0 {
		t.Errorf("%d jobs, %d tasks done", r.Len(), r.Get("wk-000001").Finished())
	}
}

// TestCancellationPropagatesToDependents checks that the cancellation of a job cancels the whole
// chain of its dependents, including a job that is added after the cancellation. The
// cancellation is written to the dependents' own records, and retried until it is stored.
func TestCancellationPropagatesToDependents(t *testing.T) {
	r, host := newRegistry()
	applyRecord(t, r, "wk-000001", pending(0), 5)
	applyRecord(t, r, "wk-000002", pending(0, "wk-000001"), 6)
	applyRecord(t, r, "wk-000003", pending(0, "wk-000002"), 7)
	host.expect(t, "runnable wk-000001")
	applyRecord(t, r, "wk-000001", jobs.Record{Status: jobs.Cancelled, Tasks: 1}, 8)
	host.expect(t, "cancellation ", "cancelled wk-000001", "over wk-000001", "over wk-000002", "over wk-000003")
	applyRecord(t, r, "wk-000004", pending(0, "wk-000003"), 9)
	host.expect(t, "over wk-000004")
	applyRecord(t, r, "wk-000004", pending(1, "wk-000003"), 10) // a later move of a cancelled job changes nothing
	host.expect(t)
	if r.ActiveLen() != 0 || r.Get("wk-000003").CancelledBy != "wk-000002" || r.Get("wk-000004").CancelledBy != "wk-000003" || !r.GarbagePending() {
		t.Fatalf("%d active", r.ActiveLen())
	}
	var w fakeWriter
	r.CollectGarbage(2, &w)
	if len(w.changes) != 2 || w.changes[0].Key != "shalestage/job/wk-000002" || w.guarded[1][0] != "shalestage/job/wk-000003" || !r.GarbagePending() {
		t.Fatalf("%+v", w)
	}
	w.done[0](store.Refused)
	w.done[1](store.OK)
	applyRecord(t, r, "wk-000003", jobs.Record{Status: jobs.Cancelled, Tasks: 1}, 11)
	again := fakeWriter{}
	r.CollectGarbage(9, &again)
	if len(again.changes) != 2 || again.changes[0].Key != "shalestage/job/wk-000002" || again.changes[1].Key != "shalestage/job/wk-000004" || r.GarbagePending() {
		t.Errorf("%+v", again)
	}
}

// longRecord returns a record whose job spec is stored in chunks, and the events of these chunks.
func longRecord(id string) (jobs.Record, []store.Event) {
	record := pending(0)
	record.Spec.Image = strings.Repeat("i", 1000)
	record, values := record.Split(200)
	var events []store.Event
	for i, value := range values {
		events = append(events, store.Event{Key: chunks.Key(id, record.Checksum, i), Value: value, Stamp: uint64(i + 1)})
	}
	return record, events
}

// TestChunkedSpecInAnyOrder applies a record before, between and after the chunks of its job spec. The job
// must become runnable in each case, and its chunks must be deleted once it is final.
func TestChunkedSpecInAnyOrder(t *testing.T) {
	record, list := longRecord("wk-000001")
	for at := range len(list) + 1 {
		r, host := newRegistry()
		for i := range len(list) + 1 {
			if i == at {
				applyRecord(t, r, "wk-000001", record, 50)
			}
			if i < len(list) {
				if err := r.ApplyChunk(list[i]); err != nil {
					t.Fatal(err)
				}
			}
		}
		host.expect(t, "runnable wk-000001")
		if len(r.Get("wk-000001").Spec().Image) != 1000 {
			t.Fatalf("%+v", r.Get("wk-000001").Spec())
		}
		applyRecord(t, r, "wk-000001", jobs.Record{Status: jobs.Done, Tasks: 300}, 60)
		if !r.GarbagePending() || !r.Retained("wk-000001") {
			t.Fatal("chunks of a final job are not scheduled for deletion")
		}
		for rounds := 0; r.GarbagePending(); rounds++ {
			var w fakeWriter
			r.CollectGarbage(100, &w)
			if len(w.changes) > 4 || rounds > len(list) {
				t.Fatalf("%d changes in round %d", len(w.changes), rounds)
			}
			for _, done := range w.done {
				done(store.OK)
			}
		}
		if r.Retained("wk-000001") {
			t.Error("chunks of a final job are not all deleted")
		}
	}
}

// TestOrphanedChunks checks that chunks without a record are deleted after
// OrphanAge, the first chunk before the others. They must stay if the record has
// arrived in the meantime, or another controller goes on storing them.
func TestOrphanedChunks(t *testing.T) {
	record, list := longRecord("wk-000001")
	r, host := newRegistry()
	for _, e := range list {
		if err := r.ApplyChunk(e); err != nil {
			t.Fatal(err)
		}
	}
	var collection OrphanCollection
	collect := func() *fakeWriter {
		w := &fakeWriter{}
		if host.now += units.Second; !collection.Due(host.now) {
			t.Fatal("not due after a second")
		}
		r.CollectOrphans(&collection, w)
		return w
	}
	if w := collect(); len(w.changes) != 0 || collection.Due(host.now) {
		t.Fatalf("too soon: %+v", w)
	}
	host.now += 10 * units.Second
	w := collect()
	if len(w.changes) != 4 || w.changes[0].Key != list[0].Key || !slices.Equal(w.guarded[0], []string{"shalestage/job/wk-000001", list[0].Key}) {
		t.Fatalf("%+v", w)
	}
	w.done[0](store.Failed)
	if w := collect(); len(w.changes) != 0 {
		t.Fatalf("chunks of a submission in progress are deleted: %+v", w)
	}
	host.now += 10 * units.Second
	for deleted := 0; deleted < len(list); {
		w := collect()
		if len(w.changes) == 0 {
			t.Fatalf("%d of %d deleted", deleted, len(list))
		}
		w.done[0](store.OK)
		for _, change := range w.changes {
			if err := r.ApplyChunk(store.Event{Key: change.Key}); err != nil {
				t.Fatal(err)
			}
		}
		deleted += len(w.changes)
	}
	if w := collect(); len(w.changes) != 0 || r.Retained("wk-000001") {
		t.Errorf("%+v", w)
	}

	r, host = newRegistry()
	collection = OrphanCollection{}
	for _, e := range list {
		if err := r.ApplyChunk(e); err != nil {
			t.Fatal(err)
		}
	}
	applyRecord(t, r, "wk-000001", record, 50)
	host.now += 20 * units.Second
	if w := collect(); len(w.changes) != 0 {
		t.Errorf("chunks of an accepted job are deleted: %+v", w)
	}
}

// TestObjectivesPropagate checks that objectives propagate along the dependencies, at most twice a second.
func TestObjectivesPropagate(t *testing.T) {
	r, host := newRegistry()
	applyRecord(t, r, "wk-000001", pending(0), 5)
	urgent := pending(0, "wk-000001")
	urgent.Spec.Priority, urgent.Spec.Deadline = jobs.High, 30*units.Second
	applyRecord(t, r, "wk-000002", urgent, 6)
	if !r.PropagationDue() {
		t.Fatal("not due")
	}
	r.PropagateObjectives(func(*jobs.Job) units.Microseconds { return 10 * units.Second })
	if got, want := r.Get("wk-000001").Objectives, (jobs.Objectives{Priority: jobs.High, Due: 20 * units.Second, LastDue: 50 * units.Second}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if host.now += units.Second / 4; r.PropagationDue() {
		t.Error("due again after a quarter of a second")
	}
	if host.now += units.Second / 4; !r.PropagationDue() {
		t.Error("not due after half a second")
	}
}
