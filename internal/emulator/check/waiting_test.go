package check

import (
	"fmt"
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// reportedAfter submits a job to a fleet in which no task ever starts, and returns the seconds after
// which it is reported as left waiting, 0 if it is not reported within 300 s. types returns the type
// of a machine, hasCapacity whether a machine has capacity for a task of the job at a check.
func reportedAfter(machines int, spec *jobs.Spec, types func(machine int) string, hasCapacity func(check, machine int) bool) float64 {
	checker := New(Config{CancelIn: 60 * units.Second, Teams: []Team{{Name: "blue"}},
		Types: []Type{{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"a"}}, {Name: "small", Capacity: binpack.Vec{2000, 0, 8000}, Zones: []string{"a"}}}})
	checker.SetFaultsOver(0)
	checker.Submitting(units.Second, "wk-1", spec)
	checker.SubmitAnswered(units.Second, 0, "wk-1", http.StatusCreated, jobs.Pending)
	first := 5 * units.Second
	for check := range 60 {
		at := first + units.Microseconds(check)*WaitingCheckEvery
		var available []AvailableMachine
		for m := range machines {
			r := AvailableMachine{Machine: Machine{Name: fmt.Sprintf("n-%d", m), Type: types(m), Zone: "a"}}
			if hasCapacity(check, m) {
				r.Free = spec.Demand
			}
			available = append(available, r)
		}
		checker.CheckWaiting(at, available)
		for _, b := range checker.Violations() {
			if b.Rule == LeftWaiting {
				return (b.At - first).Seconds()
			}
		}
	}
	return 0
}

// TestLeftWaiting guards against a checker that misses a starved job, or reports one that waits in a
// full fleet. A job is reported after 95 s if one machine keeps capacity for it, or if a large enough
// share of the machines has capacity at each check; after 245 s if the capacity of a full fleet is only
// transient; and not within 300 s if there is none at every tenth check.
func TestLeftWaiting(t *testing.T) {
	allBig := func(int) string { return "big" }
	firstTen := func(ten, others string) func(int) string {
		return func(m int) string {
			if m < 10 {
				return ten
			}
			return others
		}
	}
	// rotating gives count of the machines capacity at each check, different ones at the next.
	rotating := func(check, machine, machines, count int) bool { return (machine+7*check)%machines < count }
	for _, test := range []struct {
		name        string
		machines    int
		demand      int64 // thousandths of a CPU
		only        []string
		types       func(machine int) string
		hasCapacity func(check, machine int) bool
		want        float64
	}{
		{"every machine has capacity", 100, 2000, nil, allBig, func(_, _ int) bool { return true }, 95},
		{"one machine of a full fleet has capacity at every check", 4096, 2000, nil, allBig, func(_, m int) bool { return m == 77 }, 95},
		{"one machine at every check, and others with transient capacity", 4096, 2000, nil, allBig, func(l, m int) bool { return m == 77 || rotating(l, m, 4096, 80) }, 95},
		{"one machine has capacity from 60 s on", 4096, 2000, nil, allBig, func(l, m int) bool { return m == 77 && l >= 12 || rotating(l, m, 4096, 80) }, 150},
		{"a different machine at each check, small fleet", 20, 2000, nil, allBig, func(l, m int) bool { return rotating(l, m, 20, 1) }, 95},
		{"different machines at each check, one in twenty", 100, 2000, nil, allBig, func(l, m int) bool { return rotating(l, m, 100, 5) }, 95},
		{"a different machine at each check, of the few types that the job allows", 1000, 2000, []string{"small"},
			firstTen("small", "big"), func(l, m int) bool { return m < 10 && rotating(l, m, 10, 1) }, 95},
		{"a different machine at each check, of the few that are large enough", 1000, 4000, nil,
			firstTen("big", "small"), func(l, m int) bool { return m < 10 && rotating(l, m, 10, 1) }, 95},
		{"different machines at each check of a full fleet", 4096, 2000, nil, allBig, func(l, m int) bool { return rotating(l, m, 4096, 80) }, 245},
		{"the same, and no capacity at one check in thirty", 4096, 2000, nil, allBig, func(l, m int) bool { return l%30 != 29 && rotating(l, m, 4096, 80) }, 245},
		{"no capacity at one check in ten", 20, 2000, nil, allBig, func(l, _ int) bool { return l%10 != 9 }, 0},
	} {
		spec := &jobs.Spec{Class: "x", Team: "blue", Tasks: 2, Demand: binpack.Vec{test.demand, 0, 1000}, AnyType: test.only == nil, Types: test.only, Image: "i", Estimate: 60 * units.Second}
		if got := reportedAfter(test.machines, spec, test.types, test.hasCapacity); got != test.want {
			t.Errorf("%s: reported after %g s, want %g", test.name, got, test.want)
		}
	}
}
