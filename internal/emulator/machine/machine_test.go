package machine

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// TestResponseWhileHung guards against a hung machine that executes commands, or executes a response
// that has timed out meanwhile. The response to a heartbeat, with a command to stop a task, arrives
// while the machine hangs: it takes effect only after the machine resumes, and only within
// ResponseTimeout.
func TestResponseWhileHung(t *testing.T) {
	id := jobs.TaskID{Job: "wk-000001"}
	for _, test := range []struct {
		hang units.Microseconds
		runs bool
	}{{2 * units.Second, false}, {6 * units.Second, true}} {
		uploads := work.Uploads{id.Job: {ID: id.Job, Spec: &jobs.Spec{Tasks: 1, Demand: binpack.Vec{1, 0, 1}}, Run: 600 * units.Second}}
		w := New(Config{Name: "n-1", Capacity: binpack.Vec{10, 0, 10}, FetchMBs: 1000, HeartbeatEvery: 3 * units.Second, Lease: 60 * units.Second, Nodes: []string{"node-0"}},
			Fault{Speed: 1}, uploads, 0, rand.New(rand.NewPCG(1, 1)))
		// next advances the worker until it sends a heartbeat, which has no response yet.
		now, number := units.Microseconds(0), 0
		next := func() {
			for number = 0; number == 0; now += units.Second / 20 {
				w.Advance(now)
				for _, e := range w.Drain() {
					if r, ok := e.(Heartbeat); ok {
						number = r.Number
					}
				}
			}
		}
		next()
		w.HandleResponse(now, number, Response{Code: http.StatusOK, FencingToken: 1, Commands: []fleet.Command{{Op: fleet.Start, ID: id, Attempt: 1}}})
		now += units.Second
		next()
		if w.Running() != 1 {
			t.Fatalf("%d tasks run", w.Running())
		}
		w.Hang(now, now+test.hang)
		w.HandleResponse(now, number, Response{Code: http.StatusOK, FencingToken: 1, Commands: []fleet.Command{{Op: fleet.Stop, ID: id, Attempt: 1}}})
		w.Advance(now + test.hang - 1)
		if w.Running() != 1 {
			t.Errorf("hung for %v s: the command was executed while the machine hung", test.hang.Seconds())
		}
		w.Advance(now + test.hang)
		if got := w.Running() == 1; got != test.runs {
			t.Errorf("hung for %v s: the task still runs: %v, want %v", test.hang.Seconds(), got, test.runs)
		}
	}
}

// TestJSONFieldNames guards against renamed fields in the JSON with which the cloud passes a machine to a
// worker in a process of its own.
func TestJSONFieldNames(t *testing.T) {
	for _, test := range []struct {
		value any
		want  string
	}{
		{Config{Name: "n-1", HeartbeatEvery: 3, ClockRate: 0.5, Nodes: []string{"node-0"}},
			`{"Name":"n-1","Addr":"","Type":"","Zone":"","Spot":false,"Capacity":[0,0,0],"CacheMB":0,"FetchMBs":0,"ReportEvery":3,"Lease":0,"Nodes":["node-0"],"Clock":0.5}`},
		{Fault{Speed: 1, FailsTasks: true}, `{"Speed":1,"Sick":true}`},
	} {
		got, err := json.Marshal(test.value)
		if err != nil || string(got) != test.want {
			t.Errorf("%T: %s (%v), want %s", test.value, got, err, test.want)
		}
	}
}
