package sim

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/scenario"
)

// fullFleetWorld returns a world of 400 machines, each with capacity for two tasks of 18 s, and small jobs
// that always need more than that. Its first job is a large one, which is submitted once all machines are
// full. At most of the checker's samples a few machines are between the end of one task and the start of the
// next, and these differ from sample to sample.
func fullFleetWorld(seed uint64, b Mutation) *World {
	sc := deployment(3, 0)
	sc.State.Limits = scenario.Limits{RPS: 1000, WriteRPS: 500, ValueKB: 8, TxnOps: 32}
	sc.State.Next = scenario.Limits{}
	sc.Controllers.CPU, sc.Controllers.Sockets = 4, 8000
	sc.Cloud.RPS = 30
	sc.Types = []scenario.MachineType{{Name: "pair", CPUs: 5, MemoryGB: 20, Price: 1, CacheGB: 40, FetchGBs: 2, BootS: 5}}
	sc.Capacity = []scenario.Capacity{{Type: "pair", Zone: "a", Count: 200}, {Type: "pair", Zone: "b", Count: 200}}
	sc.Teams = []scenario.Team{{Name: "red"}, {Name: "blue"}}
	w := New(sc, Options{Seed: seed, Mutation: b})
	spec := func(team string, tasks int) *jobs.Spec {
		return &jobs.Spec{Class: "x", Team: team, Priority: jobs.Normal, Tasks: tasks, Demand: binpack.Vec{2500, 0, 4000}, AnyType: true, Image: "i", Estimate: 18 * second}
	}
	w.submitJob(60*second, spec("red", 600), 18*second, 0)
	for at := second; at < 300*second; at += second / 2 {
		w.submitJob(at, spec("blue", 30), 18*second, 0)
	}
	return w
}

// TestLargeJobInFullFleet guards against a checker that takes short-lived free capacity for a job that is
// left waiting. In a full fleet the large job waits for two minutes, as smaller ones go first: that is no
// violation. A service that never starts the job must be reported.
func TestLargeJobInFullFleet(t *testing.T) {
	t.Parallel()
	for _, testCase := range []struct {
		name  string
		b     Mutation
		until units.Microseconds
		want  bool
	}{
		{"intact", Mutation{}, 400 * second, false},
		{"never started", Mutation{Commands: withoutStarts("wk-000000")}, 330 * second, true},
	} {
		w := fullFleetWorld(1, testCase.b)
		w.Run(testCase.until)
		began := w.Check.FirstStart("wk-000000")
		t.Logf("%s: first start at %.1f s, %d starts, %v", testCase.name, began.Seconds(), w.Check.Starts(), w.Check.Violations())
		if got := slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == check.LeftWaiting }); got != testCase.want {
			t.Errorf("%s: violation of check.LeftWaiting reported %v, want %v", testCase.name, got, testCase.want)
		}
	}
}
