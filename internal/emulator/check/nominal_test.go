package check

import (
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestNominalQuotaWithheld guards against a checker that misses work which waits for its team's nominal quota, or
// reports work that is due nothing. Four tasks of team red fill the only machine; red's quota covers one job of two
// tasks. A job of team blue is reported after 95 s.
func TestNominalQuotaWithheld(t *testing.T) {
	const reported = 95
	for _, test := range []struct {
		name   string
		change func(checker *Checker, red, blue *jobs.Spec)
		free   int64 // CPUs
		placed int   // tasks of blue on another machine
		want   float64
	}{
		{"an array", nil, 0, 0, reported},
		{"an array that runs", nil, 0, 1, 0},
		{"a service without one replica", func(_ *Checker, _, blue *jobs.Spec) { blue.Service = true }, 0, 1, reported},
		{"a task that needs the free room too", func(_ *Checker, _, blue *jobs.Spec) { blue.Demand[binpack.CPU] = 12_000 }, 4, 0, reported},
		{"a task that needs more", func(_ *Checker, _, blue *jobs.Spec) { blue.Demand[binpack.CPU] = 12_000 }, 3, 0, 0},
		{"a job beyond its team's quota", func(_ *Checker, _, blue *jobs.Spec) { blue.Tasks = 5 }, 0, 0, 0},
		{"no quota", func(checker *Checker, _, _ *jobs.Spec) { checker.config.Teams[1].Nominal = binpack.Vec{} }, 0, 0, 0},
		{"the other team is within its quota", func(checker *Checker, _, _ *jobs.Spec) { checker.config.Teams[0].Nominal[binpack.CPU] = 16_000 }, 0, 0, 0},
		{"the tasks are of the same team", func(_ *Checker, red, _ *jobs.Spec) { red.Team = "blue" }, 0, 0, 0},
		{"another machine type", func(_ *Checker, _, blue *jobs.Spec) { blue.AnyType, blue.Types = false, []string{"small"} }, 0, 0, 0},
		{"no more than a part of the quotas can be provided", func(checker *Checker, _, _ *jobs.Spec) {
			checker.config.Teams = append(checker.config.Teams, Team{Name: "green", Nominal: binpack.Vec{200_000}})
		}, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := withheldAfter(test.change, test.free, test.placed); got != test.want {
				t.Errorf("reported after %g s, want %g", got, test.want)
			}
		})
	}
}

// withheldAfter returns the seconds after which a job of team blue is reported, 0 if it is not within 300 s.
func withheldAfter(change func(checker *Checker, red, blue *jobs.Spec), free int64, placed int) float64 {
	checker := New(Config{CancelIn: 60 * units.Second, Types: []Type{{Name: "big", Capacity: binpack.Vec{20_000, 0, 64_000}}},
		Teams: []Team{{Name: "red", Nominal: binpack.Vec{8000}}, {Name: "blue", Nominal: binpack.Vec{16_000}}}})
	checker.SetFaultsOver(0)
	specOf := func(team string) *jobs.Spec {
		return &jobs.Spec{Class: "x", Team: team, Tasks: 2, Demand: binpack.Vec{4000, 0, 1000}, AnyType: true, Image: "i", Estimate: 60 * units.Second}
	}
	within, beyond, blue := specOf("red"), specOf("red"), specOf("blue")
	blue.Tasks = 1
	if change != nil {
		change(checker, beyond, blue)
	}
	for i, spec := range []*jobs.Spec{within, beyond, blue} {
		id := []string{"wk-000001", "wk-000002", "wk-000003"}[i]
		checker.Submitting(units.Second, id, spec)
		checker.SubmitAnswered(units.Second, 0, id, http.StatusCreated, jobs.Pending)
	}
	full := AvailableMachine{Machine: Machine{Name: "n-1", Type: "big", Zone: "a"}, Free: binpack.Vec{1000 * free, 0, 32_000}, Tasks: []jobs.TaskID{
		{Job: "wk-000001", Task: 0}, {Job: "wk-000001", Task: 1}, {Job: "wk-000002", Task: 0}, {Job: "wk-000002", Task: 1}}}
	other := AvailableMachine{Machine: Machine{Name: "n-2", Type: "big", Zone: "a"}, Free: Unusable}
	if placed > 0 {
		blue.Tasks++
		other.Tasks = append(other.Tasks, jobs.TaskID{Job: "wk-000003"})
	}
	const first = 5 * units.Second
	for check := range 60 {
		at := first + units.Microseconds(check)*WaitingCheckEvery
		checker.CheckNominalQuotas(at, []AvailableMachine{full, other})
		if len(checker.Violations()) > 0 {
			return (at - first).Seconds()
		}
	}
	return 0
}
