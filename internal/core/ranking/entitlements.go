package ranking

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
)

// Entitlements are what the teams' nominal quotas give their jobs, as of when they were computed.
type Entitlements struct {
	FairShare     map[string]float64 // by team: the part of the whole that is fair for one of its jobs
	WithinNominal map[string]bool    // by job: it is within its team's nominal quota together with the team's earlier jobs
}

// Quotas are the teams' nominal quotas (the setting "guarantee"), in thousandths.
type Quotas interface {
	// Nominal returns a team's nominal quota; false: there is no such team.
	Nominal(team string) (binpack.Vec, bool)
	// TotalNominal returns the CPU of all nominal quotas, and how many teams there are.
	TotalNominal() (cpu int64, teams int)
}

// teamDemand is what is known of a team's jobs on the way through all of them.
type teamDemand struct {
	nominal   binpack.Vec
	known     bool        // there is such a team
	sum       binpack.Vec // that its jobs so far ask for
	exhausted bool        // no later job is within the nominal quota
	jobs      int         // that divide what is fair for the team
}

// Entitle computes the entitlements of a shard's jobs, given these and the jobs of all shards, each
// in the order in which they could first start; the two may be the same list. Each job and each of
// their teams is looked at once: TestHeartbeatSteps in internal/core holds that to a bound.
func Entitle(shardJobs, allJobs []*jobs.Job, quotas Quotas) Entitlements {
	result := Entitlements{FairShare: map[string]float64{}, WithinNominal: map[string]bool{}}
	teams := map[string]*teamDemand{}
	teamOf := func(job *jobs.Job) *teamDemand {
		name := job.Spec().Team
		team := teams[name]
		if team == nil {
			team = newTeamDemand(name, quotas)
			teams[name] = team
		}
		return team
	}
	sameList := len(shardJobs) == len(allJobs) && (len(allJobs) == 0 || &shardJobs[0] == &allJobs[0])
	for _, job := range shardJobs {
		team := teamOf(job)
		if !job.FailsEverywhere() {
			team.jobs++
		}
		if sameList && team.covers(job) {
			result.WithinNominal[job.ID] = true
		}
	}
	totalCPU, count := quotas.TotalNominal()
	for name, team := range teams {
		result.FairShare[name] = team.fairShare(totalCPU, count) / float64(max(team.jobs, 1))
	}
	if sameList {
		return result
	}
	for _, job := range allJobs {
		if teamOf(job).covers(job) {
			result.WithinNominal[job.ID] = true
		}
	}
	return result
}

func newTeamDemand(name string, quotas Quotas) *teamDemand {
	team := &teamDemand{}
	team.nominal, team.known = quotas.Nominal(name)
	team.exhausted = !team.known || team.nominal == (binpack.Vec{})
	return team
}

// fairShare is a team's share of the whole: by nominal quota where there are any, else equal.
func (t *teamDemand) fairShare(totalCPU int64, teams int) float64 {
	if totalCPU > 0 && t.known {
		return float64(t.nominal[binpack.CPU]) / float64(totalCPU)
	}
	return 1 / float64(max(teams, 1))
}

// covers adds a job to its team's and reports whether they are still within the nominal quota. Sums
// only grow: once they are not, no later job is.
func (t *teamDemand) covers(job *jobs.Job) bool {
	if t.exhausted {
		return false
	}
	spec := job.Spec()
	tasks := spec.Tasks - job.Finished()
	if job.FailsEverywhere() {
		tasks = job.Placed() // it takes nothing from those behind it
	}
	t.sum = t.sum.Add(spec.Demand.Times(int64(tasks)))
	for i, quota := range t.nominal {
		if t.sum[i] > quota && (quota != 0 || i == binpack.CPU) {
			t.exhausted = true
			return false
		}
	}
	return true
}
