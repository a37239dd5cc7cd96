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

// fakeHost notes what it is told, in order.
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

// expect compares what the host was told since the last time.
func (f *fakeHost) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(f.calls, want) {
		t.Fatalf("the host was told %q, want %q", f.calls, want)
	}
	f.calls = nil
}

// fakeWriter keeps what is written.
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

func learn(t *testing.T, r *Registry, id string, record jobs.Record, version uint64) {
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

// TestLifeOfAJob has a job accepted, moved, done and archived, while another waits for it.
func TestLifeOfAJob(t *testing.T) {
	r, host := newRegistry()
	learn(t, r, "wk-000002", pending(0, "wk-000001"), 5) // listed before what it depends on
	host.expect(t)
	learn(t, r, "wk-000001", pending(0), 6)
	host.expect(t, "runnable wk-000001")
	if r.Len() != 2 || r.ActiveLen() != 2 || ids(r.ActiveByID()) != "wk-000001 wk-000002" || ids(r.Runnable()) != "wk-000001" || r.BlockedLen() != 1 || !r.HasDependents("wk-000001") {
		t.Fatalf("%d jobs, %s runnable, %d blocked", r.Len(), ids(r.Runnable()), r.BlockedLen())
	}
	learn(t, r, "wk-000001", pending(1), 7)
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
	learn(t, r, "wk-000001", jobs.Record{Status: jobs.Done, Tasks: 300, FinishedAt: 2000 * units.Second}, 8)
	host.expect(t, "done wk-000001", "over wk-000001", "runnable wk-000002")
	if b := r.Get("wk-000002"); b.OpenDependencies != 0 || b.Since != 2000*units.Second || ids(r.Runnable()) != "wk-000002" || !r.Retained("wk-000001") {
		t.Fatalf("%+v, retained %v", b, r.Retained("wk-000001"))
	}
	learn(t, r, "wk-000002", jobs.Record{Status: jobs.Cancelled, Tasks: 300}, 9)
	host.expect(t, "cancellation ", "cancelled wk-000002", "over wk-000002")
	if r.Retained("wk-000001") || r.ActiveLen() != 0 {
		t.Error("a job is retained that nobody names any more")
	}
	if err := r.ApplyRecord("wk-000001", store.Event{}); err != nil {
		t.Fatal(err)
	}
	host.expect(t, "archived wk-000001")
	a := r.Get("wk-000001")
	if a == nil || !a.Archived {
		t.Fatal("an archived job is forgotten while a task may run")
	}
	a.Release(20)
	if r.TaskRemoved(a); r.Get("wk-000001") != nil {
		t.Error("an archived job is kept")
	}
}

// TestUnusableRecords are refused and change nothing.
func TestUnusableRecords(t *testing.T) {
	r, host := newRegistry()
	for _, value := range []string{`{`, `{"status":"running"}`, `{"status":"pending","tasks":1}`, `{"status":"pending","tasks":1,"parts":1}`, `{"status":"pending","tasks":1,"parts":1000,"sum":"x"}`} {
		if err := r.ApplyRecord("wk-000001", store.Event{Value: []byte(value)}); err == nil {
			t.Errorf("%s is taken", value)
		}
	}
	learn(t, r, "wk-000001", pending(0), 5)
	host.expect(t, "runnable wk-000001")
	for name, value := range map[string]string{"wk-000001/x": `{}`, "wk-000001/9": `{"tasks":"0"}`, "wk-000001/0": `{"tasks":"999"}`, "wk-000001/00": `{`} {
		if err := r.ApplyProgress(name, store.Event{Value: []byte(value)}); err == nil {
			t.Errorf("%s %s is taken", name, value)
		}
	}
	if r.Len() != 1 || r.Get("wk-000001").Finished() != 0 {
		t.Errorf("%d jobs, %d tasks done", r.Len(), r.Get("wk-000001").Finished())
	}
}

// TestCancelledThroughDependencies has a chain cancelled with its first job, also where that is learnt
// first, and stores so in their own records: again until it is stored.
func TestCancelledThroughDependencies(t *testing.T) {
	r, host := newRegistry()
	learn(t, r, "wk-000001", pending(0), 5)
	learn(t, r, "wk-000002", pending(0, "wk-000001"), 6)
	learn(t, r, "wk-000003", pending(0, "wk-000002"), 7)
	host.expect(t, "runnable wk-000001")
	learn(t, r, "wk-000001", jobs.Record{Status: jobs.Cancelled, Tasks: 1}, 8)
	host.expect(t, "cancellation ", "cancelled wk-000001", "over wk-000001", "over wk-000002", "over wk-000003")
	learn(t, r, "wk-000004", pending(0, "wk-000003"), 9)
	host.expect(t, "over wk-000004")
	learn(t, r, "wk-000004", pending(1, "wk-000003"), 10) // another move of it changes nothing any more
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
	learn(t, r, "wk-000003", jobs.Record{Status: jobs.Cancelled, Tasks: 1}, 11)
	again := fakeWriter{}
	r.CollectGarbage(9, &again)
	if len(again.changes) != 2 || again.changes[0].Key != "shalestage/job/wk-000002" || again.changes[1].Key != "shalestage/job/wk-000004" || r.GarbagePending() {
		t.Errorf("%+v", again)
	}
}

// longRecord returns a record whose description is stored in chunks, and these.
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

// TestDescriptionInChunks learns a record before, among and after its chunks, and deletes these once
// the job is over.
func TestDescriptionInChunks(t *testing.T) {
	record, list := longRecord("wk-000001")
	for at := range len(list) + 1 {
		r, host := newRegistry()
		for i := range len(list) + 1 {
			if i == at {
				learn(t, r, "wk-000001", record, 50)
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
		learn(t, r, "wk-000001", jobs.Record{Status: jobs.Done, Tasks: 300}, 60)
		if !r.GarbagePending() || !r.Retained("wk-000001") {
			t.Fatal("chunks of a job that is over are not to be deleted")
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
			t.Error("chunks are left")
		}
	}
}

// TestOrphanedChunks deletes chunks whose record never came, the first before the others and no
// sooner than said; not where the record has come meanwhile, or somebody goes on storing them.
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
		t.Fatalf("a submission that goes on is deleted: %+v", w)
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
	learn(t, r, "wk-000001", record, 50)
	host.now += 20 * units.Second
	if w := collect(); len(w.changes) != 0 {
		t.Errorf("chunks of an accepted job are deleted: %+v", w)
	}
}

// TestObjectivesPropagate at most twice a second, along the dependencies.
func TestObjectivesPropagate(t *testing.T) {
	r, host := newRegistry()
	learn(t, r, "wk-000001", pending(0), 5)
	urgent := pending(0, "wk-000001")
	urgent.Spec.Priority, urgent.Spec.Deadline = jobs.High, 30*units.Second
	learn(t, r, "wk-000002", urgent, 6)
	if !r.PropagationDue() {
		t.Fatal("not due")
	}
	r.PropagateObjectives(func(*jobs.Job) units.Microseconds { return 10 * units.Second })
	if got, want := r.Get("wk-000001").Objectives, (jobs.Objectives{Priority: jobs.High, Due: 20 * units.Second, LastDue: 50 * units.Second}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if host.now += units.Second / 4; r.PropagationDue() {
		t.Error("due again at once")
	}
	if host.now += units.Second / 4; !r.PropagationDue() {
		t.Error("not due after half a second")
	}
}
