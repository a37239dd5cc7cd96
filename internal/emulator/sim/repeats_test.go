package sim

import (
	"testing"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/scenario"
)

// repeatsWorld returns a world in which every request is carried out twice. Tasks are moved, as others of higher
// priority need their places, and cancelled. Machines and a controller are away for less than a
// second.
func repeatsWorld(seed uint64, mutation Mutation) *World {
	sc := deployment(3, 0)
	sc.Capacity = []scenario.Capacity{{Type: "big", Zone: "a", Count: 2}, {Type: "big", Zone: "b", Count: 2}}
	sc.Faults = []scenario.Fault{
		{Kind: scenario.RepeatedRequests, AtS: 1, ForS: 200, Share: 1},
		{Kind: scenario.MachineHang, AtS: 45, ForS: 0.8, Share: 0.5},
		{Kind: scenario.ControllerCrash, AtS: 130, ForS: 0.3, Node: "holder"},
		{Kind: scenario.MachineHang, AtS: 160, ForS: 0.8, Share: 0.5},
	}
	w := New(sc, Options{Seed: seed, Mutation: mutation})
	array := func(priority jobs.Priority, tasks int, cpu float64) *jobs.Spec {
		spec := service(tasks, cpu, nil)
		spec.Class, spec.Service, spec.Spot, spec.Priority, spec.Estimate = "x", false, true, priority, 30*second
		return spec
	}
	low := array(jobs.Low, 30, 1)
	low.Checkpoint, low.Save = 3*second, second/2
	w.submitJob(2*second, low, 150*second, 0)
	for i := range units.Microseconds(14) {
		w.submitJob((10+12*i)*second, array(jobs.High, 6, 7), 8*second, 0)
		w.submitJob((6+12*i)*second, array(jobs.Normal, 5, 1), 100*second, 10*second)
	}
	return w
}

// TestRepeatedRequests guards against requests that do harm if they are carried out twice: a late copy of a start
// once ran a task on a second machine, and a cancelled task again. Starts, stops and forgets go in responses to
// heartbeats, of which a machine takes one each. Sent in requests of their own, they must be found to do harm.
func TestRepeatedRequests(t *testing.T) {
	t.Parallel()
	const runs = 8
	for _, test := range []struct {
		name     string
		mutation Mutation
		harm     bool
	}{
		{"intact", Mutation{}, false},
		{"starts in requests of their own", Mutation{DirectStarts: true}, true},
	} {
		found, starts := map[string]int{}, 0
		for seed := range uint64(runs) {
			w := repeatsWorld(seed+1, test.mutation)
			w.Run(400 * second)
			w.Check.Finish(w.now, true)
			for _, violation := range w.Check.Violations() {
				found[violation.Rule]++
			}
			starts += w.Check.Starts()
			if w.Check.Starts() <= tasks(w) {
				t.Errorf("%s, seed %d: no task started again", test.name, seed+1)
			}
			if repeated, afterRestart := w.EventCount(scenario.RequestRepeated), w.EventCount(scenario.RepeatedAfterRestart); repeated == 0 || afterRestart == 0 {
				t.Errorf("%s, seed %d: %d requests repeated, %d of them after a restart", test.name, seed+1, repeated, afterRestart)
			}
		}
		t.Logf("%s: %d starts in %d runs, violations by rule: %v", test.name, starts, runs, found)
		if !test.harm && len(found) > 0 || test.harm && (found[check.RanTwice] == 0 || found[check.RanCancelled] == 0) {
			t.Errorf("%s: violations by rule: %v", test.name, found)
		}
	}
}

// tasks returns the number of tasks of all jobs.
func tasks(w *World) int {
	count := 0
	for _, job := range w.Users.Jobs() {
		count += job.Spec.Tasks
	}
	return count
}
