package check

import (
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestUnprovisioned guards against a checker that misses a replica without a machine, or reports one that
// cannot have one. A service of four replicas is reported once a replica has waited for 90 s and six boots of
// 10 s while the cloud had capacity for it.
func TestUnprovisioned(t *testing.T) {
	pool := func(name, zone string, spot bool) []Machine { return []Machine{{Type: name, Zone: zone, Spot: spot}} }
	always := func(pools []Machine) func(int) []Machine { return func(int) []Machine { return pools } }
	const reported = 155
	for _, test := range []struct {
		name   string
		change func(spec *jobs.Spec)
		placed int // replicas on machines, all in zone a
		pools  func(check int) []Machine
		want   float64 // seconds after the first check; 0: not reported
	}{
		{"none has a machine", nil, 0, always(pool("big", "a", false)), reported},
		{"one of four waits", nil, 3, always(pool("big", "a", false)), reported},
		{"all have machines", nil, 4, always(pool("big", "a", false)), 0},
		{"the cloud has no capacity", nil, 0, always(nil), 0},
		{"the cloud has capacity from 60 s on", nil, 0, func(check int) []Machine {
			if check < 12 {
				return nil
			}
			return pool("big", "a", false)
		}, 60 + reported},
		{"no capacity at one check in ten", nil, 0, func(check int) []Machine {
			if check%10 == 9 {
				return nil
			}
			return pool("big", "a", false)
		}, 0},
		{"the cloud has only smaller machines", nil, 0, always(pool("small", "a", false)), 0},
		{"the cloud has only spot machines", nil, 0, always(pool("big", "a", true)), 0},
		{"it may use spot machines", func(s *jobs.Spec) { s.Spot = true }, 0, always(pool("big", "a", true)), reported},
		{"the team uses most of its limit", func(s *jobs.Spec) { s.Demand[binpack.CPU] = 8000 }, 3, always(pool("big", "a", false)), reported},
		{"the team is at its limit", func(s *jobs.Spec) { s.Demand[binpack.CPU] = 9000 }, 3, always(pool("big", "a", false)), 0},
		{"capacity in another zone than that of the others", func(s *jobs.Spec) { s.OneZone = true }, 3, always(pool("big", "b", false)), 0},
		{"capacity in a zone that has half of the replicas", func(s *jobs.Spec) { s.Spread = true }, 2, always(pool("big", "a", false)), 0},
		{"capacity in the other zone", func(s *jobs.Spec) { s.Spread = true }, 2, always(pool("big", "b", false)), reported},
		{"an array", func(s *jobs.Spec) { s.Service = false }, 0, always(pool("big", "a", false)), 0},
		{"an array without room beside a replica", func(s *jobs.Spec) { s.Service, s.Demand[binpack.CPU] = false, 13_000 }, 0, always(pool("big", "a", false)), reported},
		{"an array with room beside it", func(s *jobs.Spec) { s.Service, s.Demand[binpack.CPU] = false, 12_000 }, 0, always(pool("big", "a", false)), 0},
		{"an array that runs", func(s *jobs.Spec) { s.Service, s.Demand[binpack.CPU] = false, 13_000 }, 1, always(pool("big", "a", false)), 0},
		{"an array without a machine in its zone", func(s *jobs.Spec) { s.Service, s.Zone = false, "a" }, 0, always(pool("big", "a", false)), reported},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := &jobs.Spec{Class: "x", Team: "blue", Service: true, Tasks: 4, Demand: binpack.Vec{8000, 0, 4000}, AnyType: true, Image: "i"}
			if test.change != nil {
				test.change(spec)
			}
			if got := unprovisionedAfter(t, spec, test.placed, test.pools); got != test.want {
				t.Errorf("reported after %g s, want %g", got, test.want)
			}
		})
	}
}

// unprovisionedAfter submits a job whose first tasks are on machines in zone a, and returns the seconds after
// which it is reported as unprovisioned, 0 if it is not reported within 300 s. pools returns the pools in which
// the cloud has capacity at a check. Another job uses 8 of the 40 CPUs of the team's limit, on a machine in zone b that
// runs a replica of 4 CPUs too.
func unprovisionedAfter(t *testing.T, spec *jobs.Spec, placed int, pools func(check int) []Machine) float64 {
	t.Helper()
	const service, other, replica = "wk-000001", "wk-000002", "wk-000003"
	checker := New(Config{CancelIn: 60 * units.Second, Teams: []Team{{Name: "blue", Limit: binpack.Vec{40_000}}, {Name: "red"}}, Types: []Type{
		{Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Zones: []string{"a", "b"}, Boot: 10 * units.Second},
		{Name: "small", Capacity: binpack.Vec{2000, 0, 8000}, Zones: []string{"a"}, Boot: 3 * units.Second}}})
	checker.SetFaultsOver(0)
	array := &jobs.Spec{Class: "x", Team: "blue", Tasks: 1, Demand: binpack.Vec{8000, 0, 4000}, AnyType: true, Image: "i", Estimate: 900 * units.Second}
	beside := &jobs.Spec{Class: "x", Team: "red", Service: true, Tasks: 1, Demand: binpack.Vec{4000, 0, 4000}, AnyType: true, Image: "i"}
	for id, submitted := range map[string]*jobs.Spec{service: spec, other: array, replica: beside} {
		checker.Submitting(units.Second, id, submitted)
		checker.SubmitAnswered(units.Second, 0, id, http.StatusCreated, jobs.Pending)
	}
	available := []AvailableMachine{{Machine: Machine{Name: "a", Type: "big", Zone: "b"}, Tasks: []jobs.TaskID{{Job: other}, {Job: replica}}}}
	for replica := range placed {
		machine := AvailableMachine{Machine: Machine{Name: string(rune('m' + replica)), Type: "big", Zone: "a"}, Tasks: []jobs.TaskID{{Job: service, Task: replica}}}
		available = append(available, machine)
		checker.TaskStarted(2*units.Second, machine.Machine, jobs.TaskID{Job: service, Task: replica})
	}
	const first = 5 * units.Second
	for check := range 60 {
		at := first + units.Microseconds(check)*WaitingCheckEvery
		checker.CheckProvisioning(at, available, pools(check))
		if violations := checker.Violations(); len(violations) > 0 {
			if violations[0].Rule != Unprovisioned {
				t.Errorf("violates %v", violations[0])
			}
			return (at - first).Seconds()
		}
	}
	return 0
}
