package scheduler

import (
	"sort"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// rankEvery is the longest that a ranking is used; between rankings a heartbeat looks at the
	// first few jobs and machines alone.
	rankEvery = units.Second / 4
	// rankGap is the least time between two rankings where tasks have become ready. Both are longer
	// where there are so many jobs that rankings would take more and more of the processor.
	rankGap = units.Second / 40
)

// sort orders the jobs by when they could first start, and computes what changes slowly: which of
// them are within their team's nominal quota together with the team's earlier jobs, the capacity
// of the shard, and which teams are in shortfall. Jobs that wait for others count nowhere.
func (s *Scheduler) sort() {
	s.host.PropagateObjectives()
	s.orderStale = false
	s.queue.ApplyChanges()
	own := s.queue.Jobs()
	all := s.host.AllRunnable() // a nominal quota covers the earliest of a team's jobs in all shards
	if all == nil {
		all = own
	}
	s.entitled = ranking.Entitle(own, all, s.host)
	s.capacity = binpack.Vec{}
	for _, machine := range s.host.Machines() {
		if machine.Type != nil && !machine.Deprovisioning {
			s.capacity = s.capacity.Add(machine.Type.Capacity)
		}
	}
	s.computeShortfall()
}

// RankDue reports whether tasks have become ready that the ranking should have soon.
func (s *Scheduler) RankDue() bool {
	return s.readyUnranked && s.host.Now() >= s.rankedAt+max(rankGap, s.queue.MinInterval())
}

// RankReady ranks the jobs if tasks have become ready.
func (s *Scheduler) RankReady() {
	if s.readyUnranked && s.host.Now() >= s.rankedAt+s.queue.MinInterval() {
		s.rank()
	}
}

// IdleOfferDue reports whether machines that are waiting for work should be filled: there are ranked
// jobs that they were not offered yet. Each ranking is reported once.
func (s *Scheduler) IdleOfferDue() bool {
	offer := s.rankedUnserved && len(s.queue.Ranked()) > 0
	s.rankedUnserved = false
	return offer
}

// rankExpired reports whether the ranking is too old to fill a machine by it.
func (s *Scheduler) rankExpired() bool {
	return s.host.Now() >= s.rankedAt+max(rankEvery, s.queue.MinInterval()) || s.RankDue()
}

// rank orders the jobs that have ready tasks by tier and distance from fair share, and the machines
// that have free capacity by preference.
func (s *Scheduler) rank() {
	now, wall := s.host.Now(), s.host.Wall()
	s.rankedAt = now
	s.rankedUnserved = s.rankedUnserved || s.readyUnranked
	s.readyUnranked = false
	if s.orderStale || s.entitled.WithinNominal == nil {
		s.sort()
	}
	s.rankJobs(now, wall)
	s.preferred = s.preferred[:0]
	if len(s.queue.Ranked()) > 0 {
		s.rankMachines(now)
	}
}

// rankJobs ranks the jobs whose ready tasks may start.
func (s *Scheduler) rankJobs(now, wall units.Microseconds) {
	s.queue.BeginRanking()
	s.reserved = map[string]binpack.Vec{}
	s.readyTasks, s.completionRate = 0, 0
	for _, job := range s.queue.Jobs() {
		spec := job.Spec()
		if spec == nil {
			continue
		}
		if run := s.demand.Runtime(spec).Seconds(); run > 0 {
			s.completionRate += float64(job.Placed()) / run
		}
		if job.Ready() == 0 || !s.startable(now, job) {
			continue
		}
		s.readyTasks += job.StartLimit()
		s.reserve(wall, job)
		s.queue.AddCandidate(ranking.Candidate{
			Job:     job,
			Tier:    s.tier(job)*int(demand.NumUrgencies) + int(s.urgency(wall, job)),
			Deficit: s.deficit(job),
		})
	}
	s.queue.FinishRanking()
}

// rankMachines collects the machines that are about to ask for work, the most preferred first.
func (s *Scheduler) rankMachines(now units.Microseconds) {
	for _, machine := range s.host.Machines() {
		if machine.Schedulable() && machine.Notice == units.MaxTime && s.zones.Reachable(machine.Record.Zone) &&
			now-machine.LastSeen <= s.config.HeartbeatDeadline && machine.Free()[binpack.CPU] > 0 {
			s.preferred = append(s.preferred, machine)
		}
	}
	sort.Slice(s.preferred, func(a, b int) bool { return Preferred(s.preferred[a], s.preferred[b]) })
}

// startable reports whether a job's ready tasks may start in the shard at present.
func (s *Scheduler) startable(now units.Microseconds, job *jobs.Job) bool {
	return job.Record.Shard == s.config.Shard && !job.Unreconciled && !job.Migrating && now >= job.NotBefore
}

// priorities is how many priorities there are: a step of right outweighs them all.
const priorities = int(jobs.Production) + 1

// tier orders jobs by right: those of a team in shortfall, then those within their team's nominal
// quota, then by priority.
func (s *Scheduler) tier(job *jobs.Job) int {
	tier := int(job.Objectives.Priority)
	if s.entitled.WithinNominal[job.ID] {
		tier += priorities
	}
	if s.inShortfall(job.Spec()) {
		tier += 2 * priorities
	}
	return tier
}

// inShortfall reports whether one more task of a job stays within what its team, being in
// shortfall, may use before all others. Where no team is, that is 0: a task that demands no CPU is
// within it.
func (s *Scheduler) inShortfall(spec *jobs.Spec) bool {
	cpu := spec.Demand[binpack.CPU]
	if len(s.shortfall) == 0 && cpu > 0 {
		return false
	}
	return s.quota.Usage(spec.Team)[binpack.CPU]+cpu <= s.shortfall[spec.Team]
}

// urgency orders the jobs of one tier: those overdue, then by which objectives can still be met.
func (s *Scheduler) urgency(wall units.Microseconds, job *jobs.Job) demand.Urgency {
	if overdue(wall, job) {
		return demand.Overdue
	}
	return s.demand.Urgency(wall, job)
}

// deficit is how far a job is from its fair share (the paper's 3.4).
func (s *Scheduler) deficit(job *jobs.Job) float64 {
	spec := job.Spec()
	return s.entitled.FairShare[spec.Team] - binpack.DominantShare(s.capacity, spec.Demand)*float64(job.Placed())
}

// computeShortfall finds the teams that have waited for long for their nominal quota, and how much
// CPU each may use before all others. Where the machines there are cannot give all teams their
// nominal quotas at once, each counts for its part of them: else what has the highest priority, as
// long as it is within its own team's, leaves the other teams nothing at all
// (TestTeamInShortfall).
func (s *Scheduler) computeShortfall() {
	s.shortfall = map[string]int64{}
	nominal, _ := s.host.TotalNominal()
	present := s.capacity[binpack.CPU]
	if nominal <= present {
		return
	}
	wall := s.host.Wall()
	for _, job := range s.queue.Jobs() {
		team := job.Spec().Team
		if job.Ready() == 0 || wall-job.Since <= preemptAfter || job.FailsEverywhere() || s.shortfall[team] > 0 {
			continue
		}
		if quota, known := s.host.Nominal(team); known {
			s.shortfall[team] = int64(float64(quota[binpack.CPU]) * float64(present) / float64(nominal))
		}
	}
}

const (
	// overdueAfter is how long a job may wait before its first task goes ahead of the other work of
	// its tier.
	overdueAfter = 120 * units.Second
	// reserveFor is for how long after that its team's limit keeps room for it: a job that can start
	// nowhere must not hold up its team for good.
	reserveFor = 120 * units.Second
	// overdueTasks is how many tasks such a job has at least: no more than one in that many goes out
	// of order.
	overdueTasks = 2
)

// overdue reports whether no task of a job has started although it has waited for long. Where
// there is less capacity than work, the least remaining work and the objectives that can still be
// met would otherwise put off a large job for as long as smaller ones arrive
// (docs/incidents/2026-12-02-largest-starved.md, TestLargestJobStarts).
func overdue(wall units.Microseconds, job *jobs.Job) bool {
	return !job.Started && job.Placed() == 0 && !job.Suspect() && job.Record.Tasks >= overdueTasks && wall-job.Since > overdueAfter
}

// reserve has a team's limit keep room for the first task of the team's first overdue job.
func (s *Scheduler) reserve(wall units.Microseconds, job *jobs.Job) {
	spec := job.Spec()
	if _, reserved := s.reserved[spec.Team]; !reserved && overdue(wall, job) && wall-job.Since < overdueAfter+reserveFor {
		s.reserved[spec.Team] = spec.Demand
	}
}

// demandOnLimit is what a team's limit must have left for one more task of a job: beside the task
// itself what is reserved, which tasks of less demand would otherwise use up again and again.
func (s *Scheduler) demandOnLimit(wall units.Microseconds, job *jobs.Job) binpack.Vec {
	spec := job.Spec()
	if overdue(wall, job) {
		return spec.Demand
	}
	return spec.Demand.Add(s.reserved[spec.Team])
}
