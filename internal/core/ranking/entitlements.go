package ranking

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
)

// Entitlements are what the teams' nominal quotas entitle their jobs to, as of the call of Entitle.
type Entitlements struct {
	FairShare     map[string]float64 // by team: the fraction of all capacity that is fair for one of its jobs
	WithinNominal map[string]bool    // by job: it and the team's earlier jobs fit into the team's nominal quota
}

// Quotas gives access to the teams' nominal quotas (the setting "guarantee"), in thousandths of a CPU or GPU.
type Quotas interface {
	// Nominal returns a team's nominal quota, or false if the team does not exist.
	Nominal(team string) (binpack.Vec, bool)
	// TotalNominal returns the CPU of all nominal quotas and the number of teams.
	TotalNominal() (cpu int64, teams int)
}

// teamDemand accumulates the demand of a team's jobs while Entitle iterates over them.
type teamDemand struct {
	nominal    binpack.Vec
	exists     bool        // in the configuration
	cumulative binpack.Vec // demand of its jobs so far
	exhausted  bool        // no later job is within the nominal quota
	jobs       int         // jobs that divide the team's fair share
}

// Entitle computes the entitlements of a shard's jobs from these jobs and the jobs of all shards.
// Both lists are ordered by the time from which the jobs could start, and may be the same list. Each
// job and each team is visited once: TestHeartbeatSteps in internal/core enforces a bound on that.
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
	team.nominal, team.exists = quotas.Nominal(name)
	team.exhausted = !team.exists || team.nominal == (binpack.Vec{})
	return team
}

// fairShare returns a team's share of all capacity: in proportion to its nominal quota
// if any team has one, or an equal share if none has or the team does not exist.
func (t *teamDemand) fairShare(totalCPU int64, teams int) float64 {
	if totalCPU > 0 && t.exists {
		return float64(t.nominal[binpack.CPU]) / float64(totalCPU)
	}
	return 1 / float64(max(teams, 1))
}

// covers adds a job to its team's demand and reports whether the sum is still within the
// nominal quota. The sum only grows: once it exceeds the quota, no later job is covered.
func (t *teamDemand) covers(job *jobs.Job) bool {
	if t.exhausted {
		return false
	}
	spec := job.Spec()
	tasks := spec.Tasks - job.Finished()
	if job.FailsEverywhere() {
		tasks = job.Placed() // a job that fails everywhere takes no quota from later jobs
	}
	t.cumulative = t.cumulative.Add(spec.Demand.Times(int64(tasks)))
	for i, quota := range t.nominal {
		if t.cumulative[i] > quota && (quota != 0 || i == binpack.CPU) {
			t.exhausted = true
			return false
		}
	}
	return true
}
