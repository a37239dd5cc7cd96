package demand

import (
	"reflect"
	"testing"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const second = units.Second

// jobOf returns a job of a class whose tasks run for 10 s and could start from 1000 s.
func jobOf(class string, tasks int) *jobs.Job {
	job := &jobs.Job{ID: "wk-000001", Since: 1000 * second, Record: jobs.Record{Status: jobs.Pending, Tasks: tasks,
		Spec: &jobs.Spec{Class: class, Team: "t", Tasks: tasks, Demand: binpack.Vec{1000}, Estimate: 10 * second}}}
	job.Objectives = jobs.Objectives{Priority: jobs.Normal, Due: units.MaxTime, LastDue: units.MaxTime}
	job.Reset()
	return job
}

// TestUrgencyByAttainableObjectives guards against a wrong order of jobs with objectives. Urgency
// grows as the first objective approaches, and falls with each objective that can no longer be met.
func TestUrgencyByAttainableObjectives(t *testing.T) {
	estimator := New([]Objective{{Kind: FinishWithin, Class: "done", Within: 60 * second}, {Kind: StartWithin, Class: "start", Within: 20 * second}}, 0)
	for _, test := range []struct {
		name, class  string
		due, lastDue units.Microseconds // relative to when the job could first start
		age          units.Microseconds
		want         Urgency
		remaining    units.Microseconds
	}{
		{"no objective", "other", 0, 0, 0, FirstAttainable, 80 * second},
		{"more than half of the time to spare", "done", 0, 0, 0, Relaxed, 60 * second},
		{"less than half of the time to spare", "done", 0, 0, 21 * second, FirstAttainable, 39 * second},
		{"missed", "done", 0, 0, 51 * second, AllMissed, 9 * second},
		{"start objective", "start", 0, 0, 0, FirstAttainable, 30 * second},
		{"deadline before the objective", "done", 30 * second, 90 * second, 0, Relaxed, 30 * second},
		{"first deadline missed, a later one attainable", "done", 30 * second, 90 * second, 25 * second, FirstMissed, 5 * second},
		{"all missed", "done", 30 * second, 90 * second, 81 * second, AllMissed, -51 * second},
	} {
		job := jobOf(test.class, 1)
		if test.due > 0 {
			job.Objectives.Due, job.Objectives.LastDue = job.Since+test.due, job.Since+test.lastDue
		}
		if got := estimator.Urgency(job.Since+test.age, job); got != test.want {
			t.Errorf("%s: urgency %d, want %d", test.name, got, test.want)
		}
		if got := estimator.TimeRemaining(job.Since+test.age, job); got != test.remaining {
			t.Errorf("%s: %.0f s are left, want %.0f", test.name, got.Seconds(), test.remaining.Seconds())
		}
	}
}

// TestRuntimeCorrectedByObservations guards against wrong run time estimates. Tasks of one class run for
// twice their estimate. The expected run time must change after the fifth task, and for this class only.
func TestRuntimeCorrectedByObservations(t *testing.T) {
	estimator := New(nil, 0)
	job, other := jobOf("a", 1), jobOf("b", 1)
	for n := range minRatioSamples {
		if got := estimator.Runtime(job.Spec()); got != 10*second {
			t.Errorf("%.0f s after %d tasks, want the estimate", got.Seconds(), n)
		}
		estimator.ObserveRuntime(job.Spec(), 20*second)
	}
	if got := estimator.Runtime(job.Spec()); got != 20*second {
		t.Errorf("%.0f s after enough observations, want twice the estimate", got.Seconds())
	}
	if got := estimator.Runtime(other.Spec()); got != 10*second {
		t.Errorf("%.0f s for a class without observations, want the estimate", got.Seconds())
	}
}

// fakeHost has teams with a limit of 6 CPUs, and lost tasks.
type fakeHost struct{ lost int }

func (fakeHost) Limit(string) binpack.Vec            { return binpack.Vec{6000} }
func (h fakeHost) LostTasks(*jobs.Job) int           { return h.lost }
func (fakeHost) CompatibleTypes(*jobs.Spec) []string { return []string{"big", "small"} }
func (fakeHost) CompatibleZones(*jobs.Spec) []string { return []string{"a", "b"} }

// TestReplicasNeedSlotsWhereAllowed guards against replicas that wait for good: a service whose replicas share a
// zone or are spread over zones got machines in zones where they must not start. Those that wait must need
// slots in the allowed zones alone, no more than may go there. An older owner's replicas may still run.
func TestReplicasNeedSlotsWhereAllowed(t *testing.T) {
	anyZone := func(tasks, replicas int) map[string]autoscaler.Need {
		return map[string]autoscaler.Need{"": {Tasks: tasks, Replicas: replicas}}
	}
	for _, test := range []struct {
		name   string
		change func(job *jobs.Job)
		placed []string // zones of the placed replicas, of six
		want   map[string]autoscaler.Need
	}{
		{"any zone", nil, []string{"a", "b"}, anyZone(6, 4)},
		{"one zone, none placed", func(job *jobs.Job) { job.Spec().OneZone = true }, nil, anyZone(6, 6)},
		{"one zone, some placed", func(job *jobs.Job) { job.Spec().OneZone = true }, []string{"b", "b"},
			map[string]autoscaler.Need{"": {Tasks: 2}, "b": {Tasks: 4, Replicas: 4}}},
		{"spread, none placed: half may go to a zone", func(job *jobs.Job) { job.Spec().Spread = true }, nil, anyZone(3, 3)},
		{"spread, one zone is full", func(job *jobs.Job) { job.Spec().Spread = true }, []string{"a", "a", "a"},
			map[string]autoscaler.Need{"": {Tasks: 3}, "b": {Tasks: 3, Replicas: 3}}},
		{"spread, all placed", func(job *jobs.Job) { job.Spec().Spread = true }, []string{"a", "a", "a", "b", "b", "b"}, anyZone(6, 0)},
		{"bound to a zone", func(job *jobs.Job) { job.Spec().Zone = "a" }, []string{"a"}, map[string]autoscaler.Need{"a": {Tasks: 6, Replicas: 5}}},
		{"not reconciled", func(job *jobs.Job) { job.SetUnreconciled(true) }, nil, anyZone(6, 0)},
	} {
		job := jobOf("c", 6)
		job.Spec().Service, job.Spec().Estimate = true, 0
		for _, zone := range test.placed {
			job.PlaceNext(jobs.Place{Machine: "n-1", Zone: zone})
		}
		if test.change != nil {
			test.change(job)
		}
		groups := New(nil, 0.5).SlotsNeeded(0, job.Since, []*jobs.Job{job}, fakeHost{})
		got := map[string]autoscaler.Need{}
		for group, need := range groups {
			if !group.Service {
				t.Errorf("%s: %+v is no group of services", test.name, group)
			}
			got[group.Zones] = autoscaler.Need{Tasks: need.Tasks, Replicas: need.Replicas}
		}
		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: by zones %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestReplicasWithinLimit guards against machines for replicas that their team's limit does not allow to start.
func TestReplicasWithinLimit(t *testing.T) {
	array, service := jobOf("c", 4), jobOf("c", 5)
	service.Spec().Service, service.Spec().Estimate = true, 0
	for range 4 {
		array.PlaceNext(jobs.Place{Machine: "n-1"})
	}
	groups := New(nil, 0.5).SlotsNeeded(0, array.Since, []*jobs.Job{array, service}, fakeHost{})
	for group, need := range groups {
		if group.Service && (need.Tasks != 2 || need.Replicas != 2) {
			t.Errorf("%+v within a limit of 6 CPUs, of which an array uses 4", need)
		}
	}
	if len(groups) != 2 {
		t.Errorf("%d groups, want one of arrays and one of services", len(groups))
	}
}

// TestReplicasKeepTheirPartOfLimit guards against jobs without any slot behind an earlier job that can never start: what
// it wanted was deducted from the team's limit before the replicas that run, which never leave theirs. The limit is 6 CPUs.
func TestReplicasKeepTheirPartOfLimit(t *testing.T) {
	large, service, small := jobOf("large", 1), jobOf("service", 3), jobOf("small", 4)
	large.Spec().Demand[binpack.CPU] = 5000
	service.Spec().Service, service.Spec().Estimate = true, 0
	for range 2 {
		service.PlaceNext(jobs.Place{Machine: "n-1"})
	}
	got := map[string]int{}
	for group, need := range New(nil, 0.5).SlotsNeeded(0, large.Since, []*jobs.Job{large, service, small}, fakeHost{}) {
		got[group.Class] = need.Tasks
	}
	if want := map[string]int{"service": 3, "small": 1}; !reflect.DeepEqual(got, want) {
		t.Errorf("slots %v, want %v: two replicas run, a third and the small tasks fit", got, want)
	}
	large.Spec().Demand[binpack.CPU] = 4000 // it fits beside the two replicas
	got = map[string]int{}
	for group, need := range New(nil, 0.5).SlotsNeeded(0, large.Since, []*jobs.Job{large, service, small}, fakeHost{}) {
		got[group.Class] = need.Tasks
	}
	if want := map[string]int{"large": 1, "service": 2}; !reflect.DeepEqual(got, want) {
		t.Errorf("slots %v, want %v: the earliest job goes first", got, want)
	}
}

// TestSlotsNeededWithinTimeAndLimit guards against scaling out too far or too little.
// Jobs must get as many slots as they need to finish in time, within their team's limit.
func TestSlotsNeededWithinTimeAndLimit(t *testing.T) {
	estimator := New([]Objective{{Kind: FinishWithin, Class: "c", Within: 40 * second}}, 0.5)
	for _, test := range []struct {
		name         string
		tasks        []int // of the jobs
		placed, lost int   // of the first job
		slots, ready int
	}{
		{"two rounds finish in time", []int{4}, 0, 0, 2, 4},
		{"placed tasks keep their slots", []int{4}, 3, 0, 3, 1},
		{"lost tasks need slots again", []int{4}, 3, 2, 2, 3},
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
				t.Errorf("%s: %+v of %+v, want %d slots and %d ready tasks", test.name, need, group, test.slots, test.ready)
			}
		}
	}
}
