package demand

import (
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const second = units.Second

// jobOf returns a job of a class that could first start at 1000 s and runs for 10 s.
func jobOf(class string, tasks int) *jobs.Job {
	job := &jobs.Job{ID: "wk-000001", Since: 1000 * second, Record: jobs.Record{Status: jobs.Pending, Tasks: tasks,
		Spec: &jobs.Spec{Class: class, Team: "t", Tasks: tasks, Demand: binpack.Vec{1000}, Estimate: 10 * second}}}
	job.Objectives = jobs.Objectives{Priority: jobs.Normal, Due: units.MaxTime, LastDue: units.MaxTime}
	job.Reset()
	return job
}

// TestUrgency has jobs of several objectives age: they are the more urgent the fewer objectives they
// can still meet, until they can meet none.
func TestUrgency(t *testing.T) {
	estimator := New([]Objective{{Kind: FinishWithin, Class: "done", Within: 60 * second}, {Kind: StartWithin, Class: "start", Within: 20 * second}}, 0)
	for _, test := range []struct {
		name, class  string
		due, lastDue units.Microseconds // from when it could first start
		age          units.Microseconds
		want         Urgency
		allowed      units.Microseconds // TimeAllowed
	}{
		{"no objective", "other", 0, 0, 0, FirstAttainable, 80 * second},
		{"time to spare", "done", 0, 0, 0, Relaxed, 60 * second},
		{"less than half of the time", "done", 0, 0, 21 * second, FirstAttainable, 39 * second},
		{"missed", "done", 0, 0, 51 * second, AllMissed, 9 * second},
		{"should start soon", "start", 0, 0, 0, FirstAttainable, 30 * second},
		{"a deadline before", "done", 30 * second, 90 * second, 0, Relaxed, 30 * second},
		{"the deadline is missed, another can be met", "done", 30 * second, 90 * second, 25 * second, FirstMissed, 5 * second},
		{"all are missed", "done", 30 * second, 90 * second, 81 * second, AllMissed, -51 * second},
	} {
		job := jobOf(test.class, 1)
		if test.due > 0 {
			job.Objectives.Due, job.Objectives.LastDue = job.Since+test.due, job.Since+test.lastDue
		}
		if got := estimator.Urgency(job.Since+test.age, job); got != test.want {
			t.Errorf("%s: urgency %d, want %d", test.name, got, test.want)
		}
		if got := estimator.TimeRemaining(job.Since+test.age, job); got != test.allowed {
			t.Errorf("%s: %.0f s are left, want %.0f", test.name, got.Seconds(), test.allowed.Seconds())
		}
	}
}

// TestRuntimeIsLearnt has tasks of a class run for twice as long as estimated: that counts from the
// fifth on, for this class alone.
func TestRuntimeIsLearnt(t *testing.T) {
	estimator := New(nil, 0)
	job, other := jobOf("a", 1), jobOf("b", 1)
	for n := range ratioMinTasks {
		if got := estimator.Runtime(job.Spec()); got != 10*second {
			t.Errorf("%.0f s after %d tasks", got.Seconds(), n)
		}
		estimator.ObserveRuntime(job.Spec(), 20*second)
	}
	if got := estimator.Runtime(job.Spec()); got != 20*second {
		t.Errorf("%.0f s once it is learnt", got.Seconds())
	}
	if got := estimator.Runtime(other.Spec()); got != 10*second {
		t.Errorf("%.0f s of a class of which nothing is known", got.Seconds())
	}
}

// fakeHost has a team with a limit of 6 CPUs, and lost tasks.
type fakeHost struct{ lost int }

func (fakeHost) Limit(string) binpack.Vec            { return binpack.Vec{6000} }
func (h fakeHost) LostTasks(*jobs.Job) int           { return h.lost }
func (fakeHost) CompatibleTypes(*jobs.Spec) []string { return []string{"big", "small"} }

// TestSlotsNeeded has one job after the other ask for slots: as many as are done in time, within the
// team's limit.
func TestSlotsNeeded(t *testing.T) {
	estimator := New([]Objective{{Kind: FinishWithin, Class: "c", Within: 40 * second}}, 0.5)
	for _, test := range []struct {
		name         string
		tasks        []int // of the jobs
		placed, lost int   // of the first
		slots, ready int
	}{
		{"two rounds are in time", []int{4}, 0, 0, 2, 4},
		{"what runs goes on", []int{4}, 3, 0, 3, 1},
		{"what is lost starts elsewhere", []int{4}, 3, 2, 2, 3},
		{"the limit bounds all jobs of the team", []int{8, 8}, 0, 0, 6, 16},
	} {
		var order []*jobs.Job
		for _, tasks := range test.tasks {
			order = append(order, jobOf("c", tasks))
		}
		for range test.placed {
			order[0].PlaceNext(jobs.Place{Machine: "n-1"})
		}
		groups := estimator.SlotsNeeded(0, order[0].Since, order, fakeHost{test.lost})
		if len(groups) != 1 {
			t.Errorf("%s: %d groups, want 1", test.name, len(groups))
		}
		for group, need := range groups {
			if need.Tasks != test.slots || need.Ready != test.ready || need.Total != (binpack.Vec{int64(test.slots) * 1000}) || group.Types != "big,small" {
				t.Errorf("%s: %+v of %+v, want %d slots for %d that wait", test.name, need, group, test.slots, test.ready)
			}
		}
	}
}
