package check

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// teamDemand is what a team's open jobs need and use at one check.
type teamDemand struct {
	nominal binpack.Vec
	open    binpack.Vec     // demand of the tasks of all open jobs that have not completed
	counted binpack.Vec     // the same without jobs that always fail, which the service may leave out
	usage   binpack.Vec     // of the tasks on machines
	beyond  map[string]bool // open jobs that do not fit into the nominal quota together with the team's earlier jobs
}

// exceeds reports whether a demand exceeds a nominal quota. A quota of 0 GPUs does not count.
func exceeds(demand, nominal binpack.Vec) bool {
	for i, quota := range nominal {
		if demand[i] > quota && (quota != 0 || i == binpack.CPU) {
			return true
		}
	}
	return false
}

// CheckNominalQuotas checks that teams get their nominal quotas. Call it about every WaitingCheckEvery once all
// faults are over, while the machines are in one shard (TestNominalQuotaWithheld).
//
// A job violates the rule if at every check of 90 s it has an array without any task on a machine, or a service
// without one of its replicas, while all open jobs of its team fit into the team's nominal quota, and some machine
// has room for a task beside the tasks that are within their own teams' quotas. If the machines cannot provide all
// quotas, each team is due its part of them.
func (c *Checker) CheckNominalQuotas(at units.Microseconds, available []AvailableMachine) {
	c.Advance(at)
	placed, usage := c.placedTasks(available)
	teams := c.teamDemands(usage)
	provided := c.providedShare(available)
	for _, job := range c.openJobs {
		team := teams[job.spec.Team]
		machine := ""
		if c.mayStart(job, usage) && job.lacksPlace(len(placed[job.id])) && !exceeds(team.open, team.nominal) &&
			float64(team.usage.Add(job.spec.Demand)[binpack.CPU]) <= provided*float64(team.nominal[binpack.CPU]) {
			machine = c.machineWithDebt(job, available, teams)
		}
		switch {
		case machine == "":
			job.withheldSince = 0
		case job.withheldSince == 0:
			job.withheldSince = at
		case at-job.withheldSince > maxWait:
			c.violated(at, NominalQuota, job, machine, "%s waits since %.1f for what its team is due, while %s runs tasks of teams beyond their own quotas",
				job.id, job.withheldSince.Seconds(), machine)
		}
	}
}

// lacksPlace reports whether a job has too few tasks on machines: an array none, a service not all.
func (job *jobRecord) lacksPlace(placed int) bool {
	if job.spec.Service {
		return placed < job.spec.Tasks
	}
	return placed == 0
}

// teamDemands sums the open jobs of each team, the earliest first.
func (c *Checker) teamDemands(usage map[string]binpack.Vec) map[string]*teamDemand {
	teams := map[string]*teamDemand{}
	for _, team := range c.config.Teams {
		teams[team.Name] = &teamDemand{nominal: team.Nominal, usage: usage[team.Name], beyond: map[string]bool{}}
	}
	for _, job := range c.openJobs {
		team := teams[job.spec.Team]
		if job.finalStatus != "" {
			continue
		}
		if team == nil {
			team = &teamDemand{beyond: map[string]bool{}}
			teams[job.spec.Team] = team
		}
		demand := job.spec.Demand.Times(int64(job.spec.Tasks - job.completed.Len()))
		team.open = team.open.Add(demand)
		if job.failsAlways {
			continue
		}
		team.counted = team.counted.Add(demand)
		if exceeds(team.counted, team.nominal) {
			team.beyond[job.id] = true
		}
	}
	return teams
}

// providedShare returns the share of all nominal quotas that the machines can provide, at most 1.
func (c *Checker) providedShare(available []AvailableMachine) float64 {
	capacity, nominal := int64(0), int64(0)
	for _, machine := range available {
		provided, _ := c.capacityOf(machine.Type)
		capacity += provided[binpack.CPU]
	}
	for _, team := range c.config.Teams {
		nominal += team.Nominal[binpack.CPU]
	}
	if nominal <= capacity {
		return 1
	}
	return float64(capacity) / float64(nominal)
}

// machineWithDebt returns a machine that would have room for a task of a job without the tasks that other teams run
// there beyond their nominal quotas; "" if there is none.
func (c *Checker) machineWithDebt(job *jobRecord, available []AvailableMachine, teams map[string]*teamDemand) string {
	for _, machine := range available {
		if machine.Free == Unusable || !job.mayRun(machine) {
			continue
		}
		room := machine.Free
		for _, id := range machine.Tasks {
			if c.isBeyondNominal(job, id, teams) {
				room = room.Add(c.jobs[id.Job].spec.Demand)
			}
		}
		if room != machine.Free && job.spec.Demand.Fits(room) {
			return machine.Name
		}
	}
	return ""
}

// isBeyondNominal reports whether a task of another team than a job's is beyond its team's nominal quota. Of a team
// with dependent jobs that is not known, as the order in which these count is not.
func (c *Checker) isBeyondNominal(job *jobRecord, id jobs.TaskID, teams map[string]*teamDemand) bool {
	other := c.jobs[id.Job]
	if other == nil || other.spec.Team == job.spec.Team || other.failsAlways || len(other.dependencies) > 0 {
		return false
	}
	team := teams[other.spec.Team]
	return team != nil && team.beyond[other.id] && team.usage[binpack.CPU] > team.nominal[binpack.CPU]
}
