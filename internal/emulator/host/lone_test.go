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

// storedTasks is a store of jobs, and hears what happens on machines, in order.
type storedTasks struct {
	mu    sync.Mutex
	said  []string
	job   *work.Job
	saved units.Microseconds
}

func (s *storedTasks) say(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said = append(s.said, text)
}

func (s *storedTasks) heard() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.said)
}

func (s *storedTasks) Fetch(jobs.TaskID) (*work.Job, error) { return s.job, nil }

func (s *storedTasks) Store(id jobs.TaskID, finished bool, saved units.Microseconds) error {
	s.saved = saved
	if finished {
		s.say("stored done " + id.String())
	} else {
		s.say("stored " + id.String())
	}
	return nil
}

func (s *storedTasks) TaskStarted(_ *cloudprovider.Machine, id jobs.TaskID) {
	s.say("began " + id.String())
}

func (s *storedTasks) TaskEnded(_ *cloudprovider.Machine, id jobs.TaskID, _ bool) {
	s.say("ended " + id.String())
}

// TestLoneWorker lets a worker in a process of its own be told to start two tasks: one
// completes and is stored before it is reported, the other is stopped with its machine and
// its progress is stored.
func TestLoneWorker(t *testing.T) {
	spec := &jobs.Spec{Tasks: 2, Demand: binpack.Vec{1000, 0, 1000}, Image: "plain", Checkpoint: units.Second / 1000}
	store := &storedTasks{job: &work.Job{ID: "wk-000001", Spec: spec, Run: 50 * units.Second / 1000}}
	long := &work.Job{ID: "wk-000002", Spec: spec, Run: 3600 * units.Second}
	jobs := &twoJobs{store, long}
	var mu sync.Mutex
	var reports []wire.HeartbeatBody
	node := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b wire.HeartbeatBody
		if !read(w, r, &b) {
			return
		}
		mu.Lock()
		reports = append(reports, b)
		first := len(reports) == 1
		mu.Unlock()
		body := `{"baton":1,"calls":[]}`
		if first {
			body = `{"baton":1,"calls":[{"call_kind":"run","cue":"wk-000001/0","take":1},{"call_kind":"run","cue":"wk-000002/1","take":1}]}`
		}
		_, _ = w.Write([]byte(body))
	}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := NewWorker(ctx, map[string]map[string]string{"a": {"node-0": node}}, jobs, store, rand.New(rand.NewPCG(1, 1)), quiet)
	go w.Run()
	c := machine.Config{Name: "n-1", Type: "big", Zone: "a", Capacity: binpack.Vec{4000, 0, 8000}, FetchMBs: 1000,
		HeartbeatEvery: units.Second / 2, Lease: 60 * units.Second, Nodes: []string{"node-0"}}
	if err := w.Start(c, machine.Fault{Speed: 1}); err != nil {
		t.Fatal(err)
	}
	if err := w.Start(c, machine.Fault{Speed: 1}); err == nil {
		t.Error("a second machine was taken")
	}
	told := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.ContainsFunc(reports, func(r wire.HeartbeatBody) bool {
			return slices.ContainsFunc(r.Tasks, func(t wire.HeartbeatTask) bool { return t.Task == "wk-000001/0" && t.State == "ended" })
		})
	}
	for end := time.Now().Add(20 * time.Second); !told(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the end of a task was not reported: %v", store.heard())
		}
	}
	w.Stop("n-1")
	want := []string{"began wk-000001/0", "began wk-000002/1", "stored done wk-000001/0", "ended wk-000001/0", "stored wk-000002/1", "ended wk-000002/1"}
	if got := store.heard(); !slices.Equal(got, want) {
		t.Errorf("heard %v, want %v", got, want)
	}
	if store.saved == 0 {
		t.Error("the progress of a task whose machine ended was not stored")
	}
	if w.Bytes() == 0 || w.HeartbeatsSent() < 2 || w.Running() != 0 {
		t.Errorf("%d bytes, %d reports, %d tasks after the end", w.Bytes(), w.HeartbeatsSent(), w.Running())
	}
	if err := w.Start(c, machine.Fault{Speed: 1}); err != nil {
		t.Errorf("another machine after the end of the first: %v", err)
	}
}

// twoJobs has a short job and a long one.
type twoJobs struct {
	*storedTasks
	long *work.Job
}

func (s *twoJobs) Fetch(id jobs.TaskID) (*work.Job, error) {
	if id.Job == s.long.ID {
		return s.long, nil
	}
	return s.storedTasks.Fetch(id)
}
