package host

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/work"
	"shalestage.example/shalestage/internal/wire"
)

// fakeJobStore is a JobStore and a TaskObserver. It records all calls in order.
type fakeJobStore struct {
	mutex  sync.Mutex
	events []string
	job    *work.Job
	saved  units.Microseconds
}

func (s *fakeJobStore) record(text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, text)
}

func (s *fakeJobStore) recorded() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.events)
}

func (s *fakeJobStore) Fetch(jobs.TaskID) (*work.Job, error) { return s.job, nil }

func (s *fakeJobStore) Store(id jobs.TaskID, finished bool, saved units.Microseconds) error {
	s.saved = saved
	if finished {
		s.record("stored done " + id.String())
	} else {
		s.record("stored " + id.String())
	}
	return nil
}

func (s *fakeJobStore) TaskStarted(_ *cloudprovider.Machine, id jobs.TaskID) {
	s.record("began " + id.String())
}

func (s *fakeJobStore) TaskEnded(_ *cloudprovider.Machine, id jobs.TaskID, _ bool) {
	s.record("ended " + id.String())
}

// TestWorkerStoresResultsBeforeReporting guards against the loss of results and checkpoints of a worker in a separate
// process. It starts two tasks: one completes, and its result must be stored before its end is reported; the other
// is stopped with its machine, and its progress must be stored.
func TestWorkerStoresResultsBeforeReporting(t *testing.T) {
	spec := &jobs.Spec{Tasks: 2, Demand: binpack.Vec{1000, 0, 1000}, Image: "plain", Checkpoint: units.Second / 1000}
	store := &fakeJobStore{job: &work.Job{ID: "wk-000001", Spec: spec, Run: 50 * units.Second / 1000}}
	long := &work.Job{ID: "wk-000002", Spec: spec, Run: 3600 * units.Second}
	jobs := &twoJobs{store, long}
	var mutex sync.Mutex
	var reports []wire.HeartbeatBody
	node := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b wire.HeartbeatBody
		if !readJSON(w, r, &b) {
			return
		}
		mutex.Lock()
		reports = append(reports, b)
		first := len(reports) == 1
		mutex.Unlock()
		body := `{"baton":1,"calls":[]}`
		if first {
			body = `{"baton":1,"calls":[{"call_kind":"run","cue":"wk-000001/0","take":1},{"call_kind":"run","cue":"wk-000002/1","take":1}]}`
		}
		_, _ = w.Write([]byte(body))
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := NewWorker(ctx, map[string]map[string]string{"a": {"node-0": node}}, jobs, store, rand.New(rand.NewPCG(1, 1)), discardLog)
	go w.Run()
	config := machine.Config{Name: "n-1", Type: "big", Zone: "a", Capacity: binpack.Vec{4000, 0, 8000}, FetchMBs: 1000,
		HeartbeatEvery: units.Second / 2, Lease: 60 * units.Second, Nodes: []string{"node-0"}}
	if err := w.Start(config, machine.Fault{Speed: 1}); err != nil {
		t.Fatal(err)
	}
	if err := w.Start(config, machine.Fault{Speed: 1}); err == nil {
		t.Error("a second machine was started while the first runs")
	}
	endReported := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return slices.ContainsFunc(reports, func(r wire.HeartbeatBody) bool {
			return slices.ContainsFunc(r.Tasks, func(t wire.HeartbeatTask) bool { return t.Task == "wk-000001/0" && t.State == "ended" })
		})
	}
	for end := time.Now().Add(20 * time.Second); !endReported(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the end of a task was not reported within 20 s; events: %v", store.recorded())
		}
	}
	w.Stop("n-1")
	want := []string{"began wk-000001/0", "began wk-000002/1", "stored done wk-000001/0", "ended wk-000001/0", "stored wk-000002/1", "ended wk-000002/1"}
	if got := store.recorded(); !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
	if store.saved == 0 {
		t.Error("the progress of a task on a stopped machine was not stored")
	}
	if w.Bytes() == 0 || w.HeartbeatsSent() < 2 || w.Running() != 0 {
		t.Errorf("after the stop: %d bytes, %d heartbeats, %d running tasks", w.Bytes(), w.HeartbeatsSent(), w.Running())
	}
	if err := w.Start(config, machine.Fault{Speed: 1}); err != nil {
		t.Errorf("start of another machine after the first was stopped: %v", err)
	}
}

// twoJobs is a fakeJobStore with a second, long job.
type twoJobs struct {
	*fakeJobStore
	long *work.Job
}

func (s *twoJobs) Fetch(id jobs.TaskID) (*work.Job, error) {
	if id.Job == s.long.ID {
		return s.long, nil
	}
	return s.fakeJobStore.Fetch(id)
}
