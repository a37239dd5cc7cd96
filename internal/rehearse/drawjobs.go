package rehearse

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/scenario"
)

// DrawJobs returns a copy of a scenario with Draw.Jobs more jobs, which are drawn from the seed: arrays and services of
// all sizes, teams, priorities and constraints, some of which are cancelled. They are submitted in the first half of the
// run. A service never needs more than its team's limit.
func DrawJobs(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	out := *base
	rng := rand.New(rand.NewPCG(cmp.Or(seed, base.Seed), 19))
	out.Jobs = slices.Clone(base.Jobs)
	for i := range base.Draw.Jobs {
		out.Jobs = append(out.Jobs, drawJob(base, fmt.Sprintf("drawn-%d", i), rng))
	}
	out.Draw.Jobs = 0
	return &out
}

func drawJob(deployment *scenario.Scenario, name string, rng *rand.Rand) scenario.Job {
	uniform := func(from, to float64) float64 { return round(from + (to-from)*rng.Float64()) }
	chance := func(probability float64) bool { return rng.Float64() < probability }
	team := deployment.Teams[rng.IntN(len(deployment.Teams))]
	largest := slices.MaxFunc(deployment.Types, func(a, b scenario.MachineType) int { return cmp.Compare(a.CPUs, b.CPUs) })
	job := scenario.Job{
		Name:     name,
		Team:     team.Name,
		Priority: []string{"low", "normal", "normal", "high"}[rng.IntN(4)],
		Tasks:    1 + rng.IntN(8),
		CPUs:     float64(1 + rng.IntN(int(largest.CPUs))),
		MemoryGB: float64(1 + rng.IntN(8)),
		Image:    "i",
		ImageGB:  0.5,
		Spot:     chance(0.6),
		OneZone:  chance(0.1),
		Spread:   chance(0.1),
		AtS:      uniform(2, deployment.DurationS/2),
	}
	if chance(0.2) {
		job.Zone = deployment.Controllers.Zones[rng.IntN(len(deployment.Controllers.Zones))]
	}
	if chance(0.5) {
		job.Kind = "service"
		if team.CPUsMax > 0 {
			job.Tasks = max(1, min(job.Tasks, int(team.CPUsMax/job.CPUs)))
		}
	} else {
		job.RunS, job.Vary = uniform(1, 40), 0.5
	}
	if chance(0.4) {
		job.CancelAfterS = uniform(10, 150)
	}
	return job
}
