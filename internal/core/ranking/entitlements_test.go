package ranking

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
)

// nominal holds the nominal CPU quotas of teams.
type nominal map[string]int64

func (n nominal) Nominal(team string) (binpack.Vec, bool) {
	cpu, known := n[team]
	return binpack.Vec{cpu}, known
}

func (n nominal) TotalNominal() (cpu int64, teams int) {
	for _, quota := range n {
		cpu += quota
	}
	return cpu, len(n)
}

// TestEntitleEarliestJobsFirst guards against entitlements given to the wrong jobs.
// Tasks have 2 CPUs each. A team's earliest jobs are within its nominal quota, and
// no job is after the first that is not. Earlier jobs in other shards count too.
func TestEntitleEarliestJobsFirst(t *testing.T) {
	job := func(number int, team string, tasks int) *jobs.Job {
		j := &jobs.Job{ID: fmt.Sprint(number), Record: jobs.Record{Status: jobs.Pending, Tasks: tasks,
			Spec: &jobs.Spec{Team: team, Tasks: tasks, Demand: binpack.Vec{2000}}}}
		j.Reset()
		return j
	}
	own := []*jobs.Job{job(1, "a", 2), job(2, "b", 1), job(3, "a", 4), job(4, "a", 1), job(5, "none", 1)}
	elsewhere := append([]*jobs.Job{job(0, "a", 3)}, own...)
	for _, test := range []struct {
		name   string
		all    []*jobs.Job
		within map[string]bool
	}{
		{"one shard only", own, map[string]bool{"1": true, "2": true}},
		{"an earlier job in another shard", elsewhere, map[string]bool{"0": true, "2": true}},
	} {
		got := Entitle(own, test.all, nominal{"a": 6000, "b": 2000})
		for _, j := range test.all {
			if got.WithinNominal[j.ID] != test.within[j.ID] {
				t.Errorf("%s: job %s within nominal quota: %v", test.name, j.ID, got.WithinNominal[j.ID])
			}
		}
		for team, want := range map[string]float64{"a": 0.75 / 3, "b": 0.25, "none": 0.5} {
			if got.FairShare[team] != want {
				t.Errorf("%s: fair share of %s is %g, want %g", test.name, team, got.FairShare[team], want)
			}
		}
	}
}
