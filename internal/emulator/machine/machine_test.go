package machine

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// TestAnswerWhileItHangs has the answer to a report, with a command to stop a task, arrive
// while the machine stands still: nothing is carried out until it goes on, and then only
// within the 4 s in which a worker takes an answer.
func TestAnswerWhileItHangs(t *testing.T) {
	id := jobs.TaskID{Job: "wk-000001"}
	for _, c := range []struct {
		hang units.Microseconds
		runs bool
	}{{2 * units.Second, false}, {6 * units.Second, true}} {
		book := work.Book{id.Job: {ID: id.Job, Spec: &jobs.Spec{Tasks: 1, Demand: binpack.Vec{1, 0, 1}}, Run: 600 * units.Second}}
		w := New(Config{Name: "n-1", Capacity: binpack.Vec{10, 0, 10}, FetchMBs: 1000, ReportEvery: 3 * units.Second, Lease: 60 * units.Second, Nodes: []string{"node-0"}},
			Fault{Speed: 1}, book, 0, rand.New(rand.NewPCG(1, 1)))
		// Reports go out until one is under way, which is not answered yet.
		now, number := units.Microseconds(0), 0
		next := func() {
			for number = 0; number == 0; now += units.Second / 20 {
				w.Advance(now)
				for _, e := range w.Drain() {
					if r, ok := e.(Report); ok {
						number = r.Number
					}
				}
			}
		}
		next()
		w.Answer(now, number, Answer{Code: http.StatusOK, Token: 1, Commands: []fleet.Command{{Op: fleet.Start, ID: id, Attempt: 1}}})
		now += units.Second
		next()
		if w.Running() != 1 {
			t.Fatalf("%d tasks run", w.Running())
		}
		w.Hang(now, now+c.hang)
		w.Answer(now, number, Answer{Code: http.StatusOK, Token: 1, Commands: []fleet.Command{{Op: fleet.Stop, ID: id, Attempt: 1}}})
		w.Advance(now + c.hang - 1)
		if w.Running() != 1 {
			t.Errorf("hanging for %v s: it carries out a command meanwhile", c.hang.Seconds())
		}
		w.Advance(now + c.hang)
		if got := w.Running() == 1; got != c.runs {
			t.Errorf("hanging for %v s: the task goes on %v, want %v", c.hang.Seconds(), got, c.runs)
		}
	}
}
