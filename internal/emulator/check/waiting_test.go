package check

import (
	"fmt"
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// reportedAfter has a job wait in a fleet in which no task ever starts, and returns the seconds
// after which it is reported as left waiting, 0 if it is not in 300 s. hasRoom says which
// machines have room for a task of it at a look; types names the machines' types.
func reportedAfter(machines int, spec *jobs.Spec, types func(machine int) string, hasRoom func(look, machine int) bool) float64 {
	checker := New(Config{CancelIn: 60 * units.Second, Teams: []Team{{Name: "blue"}},
		Types: []Type{{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"a"}}, {Name: "small", Capacity: binpack.Vec{2000, 0, 8000}, Zones: []string{"a"}}}})
	checker.SetFaultsOver(0)
	checker.Submitting(units.Second, "wk-1", spec)
	checker.SubmitAnswered(units.Second, 0, "wk-1", http.StatusCreated, jobs.Pending)
	first := 5 * units.Second
	for look := range 60 {
		at := first + units.Microseconds(look)*WaitingCheckEvery
		var rooms []AvailableMachine
		for m := range machines {
			r := AvailableMachine{Machine: Machine{Name: fmt.Sprintf("n-%d", m), Type: types(m), Zone: "a"}}
			if hasRoom(look, m) {
				r.Free = spec.Demand
			}
			rooms = append(rooms, r)
		}
		checker.CheckWaiting(at, rooms)
		for _, b := range checker.Violations() {
			if b.Rule == LeftWaiting {
				return (b.At - first).Seconds()
			}
		}
	}
	return 0
}

// TestLeftWaiting holds lasting room, room on many machines and passing room against the times
// after which a job that waits is reported.
func TestLeftWaiting(t *testing.T) {
	alike := func(int) string { return "big" }
	few := func(ten, others string) func(int) string {
		return func(m int) string {
			if m < 10 {
				return ten
			}
			return others
		}
	}
	turn := func(look, machine, machines, at int) bool { return (machine+7*look)%machines < at }
	for _, test := range []struct {
		name     string
		machines int
		demand   int64 // thousandths of a CPU
		only     []string
		types    func(machine int) string
		hasRoom  func(look, machine int) bool
		want     float64
	}{
		{"every machine has room", 100, 2000, nil, alike, func(_, _ int) bool { return true }, 95},
		{"one machine of a full fleet has room all the time", 4096, 2000, nil, alike, func(_, m int) bool { return m == 77 }, 95},
		{"that machine among others that have room for moments", 4096, 2000, nil, alike, func(l, m int) bool { return m == 77 || turn(l, m, 4096, 80) }, 95},
		{"one machine has room from 60 s on", 4096, 2000, nil, alike, func(l, m int) bool { return m == 77 && l >= 12 || turn(l, m, 4096, 80) }, 150},
		{"another machine at each look, of few", 20, 2000, nil, alike, func(l, m int) bool { return turn(l, m, 20, 1) }, 95},
		{"other machines at each look, one in twenty", 100, 2000, nil, alike, func(l, m int) bool { return turn(l, m, 100, 5) }, 95},
		{"another machine at each look, of the few that the job names", 1000, 2000, []string{"small"},
			few("small", "big"), func(l, m int) bool { return m < 10 && turn(l, m, 10, 1) }, 95},
		{"another machine at each look, of the few that are large enough", 1000, 4000, nil,
			few("big", "small"), func(l, m int) bool { return m < 10 && turn(l, m, 10, 1) }, 95},
		{"other machines at each look of a full fleet", 4096, 2000, nil, alike, func(l, m int) bool { return turn(l, m, 4096, 80) }, 245},
		{"the same, and no room at one look in thirty", 4096, 2000, nil, alike, func(l, m int) bool { return l%30 != 29 && turn(l, m, 4096, 80) }, 245},
		{"no room at one look in ten", 20, 2000, nil, alike, func(l, _ int) bool { return l%10 != 9 }, 0},
	} {
		spec := &jobs.Spec{Class: "x", Team: "blue", Tasks: 2, Demand: binpack.Vec{test.demand, 0, 1000}, AnyType: test.only == nil, Types: test.only, Image: "i", Estimate: 60 * units.Second}
		if got := reportedAfter(test.machines, spec, test.types, test.hasRoom); got != test.want {
			t.Errorf("%s: reported after %g s, want %g", test.name, got, test.want)
		}
	}
}
