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
	// maxRankAge is the maximum age of a ranking. Between rankings
	// a heartbeat examines only the first jobs and machines.
	maxRankAge = units.Second / 4
	// minRankInterval is the minimum time between two rankings when tasks have become ready. Both
	// intervals grow with the number of jobs, which bounds the processor time spent on rankings.
	minRankInterval = units.Second / 40
)

// sort orders the jobs by the time from which they could start, and recomputes the state that changes
// slowly: the jobs within their team's nominal quota (together with the team's earlier jobs), the
// capacity of the shard, and the teams in shortfall. Jobs that wait for other jobs are not counted.
func (s *Scheduler) sort() {
	s.host.PropagateObjectives()
	s.orderStale = false
	s.queue.ApplyChanges()
	shardJobs := s.queue.Jobs()
	allJobs := s.host.AllRunnable() // a nominal quota covers a team's earliest jobs over all shards
	if allJobs == nil {
		allJobs = shardJobs
	}
	s.entitlements = ranking.Entitle(shardJobs, allJobs, s.host)
	s.capacity = binpack.Vec{}
	for _, machine := range s.host.Machines() {
		if machine.Type != nil && !machine.Deprovisioning {
			s.capacity = s.capacity.Add(machine.Type.Capacity)
		}
	}
	s.computeShortfall()
}

// RankDue reports whether tasks have become ready that the ranking should include now.
func (s *Scheduler) RankDue() bool {
	return s.readyUnranked && s.host.Now() >= s.rankedAt+max(minRankInterval, s.queue.MinInterval())
}

// RankReady ranks the jobs if tasks have become ready since the last
// ranking. Unlike RankDue it waits only for the queue's MinInterval.
func (s *Scheduler) RankReady() {
	if s.readyUnranked && s.host.Now() >= s.rankedAt+s.queue.MinInterval() {
		s.rank()
	}
}

// IdleOfferDue reports whether machines that wait for work should be filled: the ranking has
// newly ready tasks that they were not offered yet. It reports true once per such ranking.
func (s *Scheduler) IdleOfferDue() bool {
	offer := s.idleOfferPending && len(s.queue.Ranked()) > 0
	s.idleOfferPending = false
	return offer
}

// rankExpired reports whether the ranking is too old to be used for filling a machine.
func (s *Scheduler) rankExpired() bool {
	return s.host.Now() >= s.rankedAt+max(maxRankAge, s.queue.MinInterval()) || s.RankDue()
}

// rank orders the jobs that have ready tasks by tier and distance from
// fair share, and the machines that have free capacity by preference.
func (s *Scheduler) rank() {
	now, wall := s.host.Now(), s.host.Wall()
	s.rankedAt = now
	s.idleOfferPending = s.idleOfferPending || s.readyUnranked
	s.readyUnranked = false
	if s.orderStale || s.entitlements.WithinNominal == nil {
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
	s.reserved, s.placedReplicas = map[string]binpack.Vec{}, nil
	s.readyTasks, s.completionRate, s.nominalSince = 0, 0, units.MaxTime
	for _, job := range s.queue.Jobs() {
		spec := job.Spec()
		if spec == nil {
			continue
		}
		if runtime := s.demand.Runtime(spec).Seconds(); runtime > 0 {
			s.completionRate += float64(job.Placed()) / runtime
		}
		if job.Ready() == 0 || !s.startable(now, job) {
			continue
		}
		s.readyTasks += job.StartLimit()
		within := s.entitlements.WithinNominal[job.ID]
		if within {
			s.nominalSince = min(s.nominalSince, job.Since)
		}
		s.reserve(wall, job)
		s.queue.AddCandidate(ranking.Candidate{
			Job:     job,
			Tier:    s.tier(job, within)*tierStep + int(s.urgency(wall, job)),
			Deficit: s.deficit(job),
		})
	}
	s.queue.FinishRanking()
}

// rankMachines collects the machines that are expected to ask for work, the most preferred first.
func (s *Scheduler) rankMachines(now units.Microseconds) {
	for _, machine := range s.host.Machines() {
		if machine.Schedulable() && machine.ReclaimAt == units.MaxTime && s.zones.Reachable(machine.Record.Zone) &&
			now-machine.LastSeen <= s.config.HeartbeatDeadline && machine.Free()[binpack.CPU] > 0 {
			s.preferred = append(s.preferred, machine)
		}
	}
	sort.Slice(s.preferred, func(a, b int) bool { return Preferred(s.preferred[a], s.preferred[b]) })
}

// startable reports whether a job's ready tasks may start in the shard at the given time.
func (s *Scheduler) startable(now units.Microseconds, job *jobs.Job) bool {
	return job.Record.Shard == s.config.Shard && !job.Unreconciled && !job.Migrating && now >= job.NotBefore
}

// numPriorities is the number of priorities. Shortfall and nominal quota
// outrank every priority because each adds a multiple of it to the tier.
const numPriorities = int(jobs.Production) + 1

const (
	// tierStep is the distance between two tiers in the ranking. The urgency orders the jobs between them.
	tierStep = int(demand.NumUrgencies)
	// nominalTier is the lowest rank of a job within its team's nominal quota.
	nominalTier = numPriorities * tierStep
)

// rankedWithinNominal reports from a job's tier in the ranking whether it was within its team's nominal quota.
func rankedWithinNominal(tier int) bool { return tier/nominalTier%2 == 1 }

// tier returns the precedence of a job, larger first: jobs of a team in
// shortfall, then jobs within their team's nominal quota (within), then by priority.
func (s *Scheduler) tier(job *jobs.Job, within bool) int {
	tier := int(job.Objectives.Priority)
	if within {
		tier += numPriorities
	}
	if s.inShortfall(job.Spec()) {
		tier += 2 * numPriorities
	}
	return tier
}

// inShortfall reports whether one more task of a job stays within the CPU that its
// team may use before all other teams because it is in shortfall. For teams that are
// not in shortfall that amount is 0, which a task that demands no CPU satisfies.
func (s *Scheduler) inShortfall(spec *jobs.Spec) bool {
	cpu := spec.Demand[binpack.CPU]
	if len(s.shortfall) == 0 && cpu > 0 {
		return false
	}
	return s.quota.Usage(spec.Team)[binpack.CPU]+cpu <= s.shortfall[spec.Team]
}

// urgency orders the jobs of one tier: overdue jobs first, then by the objectives that can still be met.
func (s *Scheduler) urgency(wall units.Microseconds, job *jobs.Job) demand.Urgency {
	if overdue(wall, job) {
		return demand.Overdue
	}
	return s.demand.Urgency(wall, job)
}

// deficit returns how far a job is below its fair share (section 3.4 of the Tetris paper).
func (s *Scheduler) deficit(job *jobs.Job) float64 {
	spec := job.Spec()
	return s.entitlements.FairShare[spec.Team] - binpack.DominantShare(s.capacity, spec.Demand)*float64(job.Placed())
}

// computeShortfall finds the teams that have waited longer than preemptAfter for their nominal quota, and
// how much CPU each may use before all other teams. If the machines cannot provide all nominal quotas at
// once, each quota is scaled down in proportion. Otherwise a team whose work has the highest priority and
// is within the team's own quota would leave nothing to the other teams (TestShortfallTeamNotStarved).
func (s *Scheduler) computeShortfall() {
	s.shortfall = map[string]int64{}
	nominalCPU, _ := s.host.TotalNominal()
	availableCPU := s.capacity[binpack.CPU]
	if nominalCPU <= availableCPU {
		return
	}
	wall := s.host.Wall()
	for _, job := range s.queue.Jobs() {
		team := job.Spec().Team
		if job.Ready() == 0 || wall-job.Since <= preemptAfter || job.FailsEverywhere() || s.shortfall[team] > 0 {
			continue
		}
		if quota, known := s.host.Nominal(team); known {
			s.shortfall[team] = int64(float64(quota[binpack.CPU]) * float64(availableCPU) / float64(nominalCPU))
		}
	}
}

const (
	// overdueAfter is how long a job may wait before its first
	// task takes precedence over the other work of its tier.
	overdueAfter = 120 * units.Second
	// reservationTime is how long after that the team's limit keeps capacity reserved
	// for the job. A job that can start nowhere must not block its team forever.
	reservationTime = 120 * units.Second
	// minOverdueTasks is the minimum number of tasks of such a job. It
	// bounds the share of tasks that start out of order to one in that many.
	minOverdueTasks = 2
)

// overdue reports whether a job has waited longer than overdueAfter without starting
// any task. If there is less capacity than work, ordering by least remaining work and
// attainable objectives would otherwise delay a large job for as long as smaller jobs
// arrive (docs/incidents/2026-12-02-largest-starved.md, TestLargestJobNotStarved).
func overdue(wall units.Microseconds, job *jobs.Job) bool {
	return !job.Started && job.Placed() == 0 && !job.Suspect() && job.Record.Tasks >= minOverdueTasks && wall-job.Since > overdueAfter
}

// reserve keeps part of a team's limit free for the first task of the team's first overdue job.
func (s *Scheduler) reserve(wall units.Microseconds, job *jobs.Job) {
	spec := job.Spec()
	if _, reserved := s.reserved[spec.Team]; !reserved && overdue(wall, job) && wall-job.Since < overdueAfter+reservationTime && s.limitComes(spec) {
		s.reserved[spec.Team] = spec.Demand
	}
}

// limitComes reports whether a team's limit will have room for a task of one of its jobs once tasks that complete have
// completed. Replicas of services never leave their part of it.
func (s *Scheduler) limitComes(spec *jobs.Spec) bool {
	if s.placedReplicas == nil {
		s.placedReplicas = demand.PlacedReplicas(s.queue.Jobs())
	}
	return s.quota.Fits(spec.Team, s.placedReplicas[spec.Team].Add(spec.Demand))
}

// demandOnLimit returns what a team's limit must have left for one more task of a job: the demand
// of the task plus the team's reservation. Without the reservation, tasks of smaller demand would
// repeatedly use up the capacity that an overdue job needs. The overdue job itself may use it.
func (s *Scheduler) demandOnLimit(wall units.Microseconds, job *jobs.Job) binpack.Vec {
	spec := job.Spec()
	if overdue(wall, job) {
		return spec.Demand
	}
	return spec.Demand.Add(s.reserved[spec.Team])
}
