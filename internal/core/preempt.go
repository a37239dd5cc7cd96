package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// preemptAfter is how long a job's tasks must have waited, and by how much
	// longer they would have to wait for room to come free by itself, before
	// other work is stopped for them.
	preemptAfter = 30 * units.Second
	// displaceAfter is the same where the other work is of lower priority and
	// keeps its progress: it uses what room is left, and makes it when asked.
	displaceAfter = 3 * units.Second
	// preemptMemory is how long a stop is taken to be still under way.
	preemptMemory = 3 * units.Second
)

// victim is a task that may be stopped, and the work that is lost with it.
type victim struct {
	id   jobs.TaskID
	a    fleet.Attempt
	lost units.Microseconds
}

// preempt stops tasks of a machine to make room for a job that has a better
// right to it: one of higher priority, or one within its team's guarantee
// where another team runs beyond its own. It stops what loses least, and
// nothing that would lose much beside what the job's task gains.
func (c *Core) preempt(shard *ownedShard, m *fleet.Machine) []fleet.Command {
	if len(m.Tasks) == 0 || len(shard.queue.Ranked()) == 0 {
		return nil
	}
	for id := range m.Tasks {
		if j := c.jobs.Get(id.Job); j != nil && j.Active() && isPreemptible(j) {
			if out := c.preemptFor(shard, m, displaceAfter, isPreemptible); out != nil {
				return out
			}
			break
		}
	}
	return c.preemptFor(shard, m, preemptAfter, func(*jobs.Job) bool { return true })
}

// preemptFor stops tasks of the jobs that it may for the job with the best right
// to the machine that has waited, and would wait, for some time.
func (c *Core) preemptFor(shard *ownedShard, m *fleet.Machine, after units.Microseconds, may func(*jobs.Job) bool) []fleet.Command {
	j := c.preemptor(shard, m, after)
	if j == nil {
		return nil
	}
	s := j.Spec()
	free := m.Free()
	if s.Demand.Fits(free) {
		return nil // it starts, or something else keeps it from that
	}
	var victims []victim
	yielding := true
	for _, id := range m.TaskIDs() {
		a := m.Tasks[id]
		v := c.jobs.Get(id.Job)
		if v == nil || !v.Active() || a.State == fleet.Saving || !may(v) || !c.mayPreempt(shard, j, v) {
			continue
		}
		if lost := c.lostWork(v.Spec(), a); lost < shard.demand.Runtime(s)/4 {
			victims = append(victims, victim{id, a, lost})
			yielding = yielding && isPreemptible(v)
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return int(a.lost - b.lost) })
	p := shard.preempted[j.ID]
	most := 1
	if yielding { // nothing is lost by stopping more
		most = j.Ready() - p.count
	}
	var out, stops []fleet.Command
	places := 0
	for _, v := range victims {
		if places == most || len(out)+len(stops) == MaxStops {
			break
		}
		free = free.Add(v.a.Demand)
		stops = append(stops, fleet.Command{Op: fleet.Stop, ID: v.id, Attempt: v.a.Number, Grace: c.jobs.Get(v.id.Job).Spec().Save})
		for places < most && s.Demand.Fits(free) {
			free = free.Sub(s.Demand)
			places++
			out, stops = append(out, stops...), nil
		}
	}
	if places == 0 {
		return nil
	}
	shard.preempted[j.ID] = preemption{p.count + places, c.now}
	c.log.Info("preempting", "machine", m.Name, "job", j.ID, "stopped", len(out))
	return out
}

// preemption counts the places made for a job that it has not taken yet.
type preemption struct {
	count int
	at    units.Microseconds
}

// preemptor returns the job with the best right to a machine's room among those
// that have waited for some time and would still have to.
func (c *Core) preemptor(shard *ownedShard, m *fleet.Machine, after units.Microseconds) *jobs.Job {
	if shard.finishRate > 0 && units.Seconds(float64(shard.readyTasks)/shard.finishRate) < after {
		return nil
	}
	if c.wall-shard.queue.Since() < after {
		return nil // none has waited for that long
	}
	suits := func(s *jobs.Spec) bool {
		return s.Allows(m.Record.Type, m.Record.Zone, m.Record.Spot) && s.Demand.Fits(m.Type.Capacity)
	}
	var found *jobs.Job
	shard.queue.Each(suits, func(cand ranking.Candidate, _ int) bool {
		j := cand.Job
		s := j.Spec()
		if s == nil || c.wall-j.Since < after || j.Suspect() || !c.startable(shard, j) || !shard.quota.Allows(s.Team, s.Demand) || !j.ZoneAllows(m.Record.Zone) {
			return true
		}
		p := shard.preempted[j.ID]
		if c.now-p.at > preemptMemory {
			delete(shard.preempted, j.ID)
			p.count = 0
		}
		if j.Ready() > p.count {
			found = j
		}
		return found == nil
	})
	return found
}

const (
	// beginWithin is how long a job may wait before its first task goes ahead of the other
	// work of its tier.
	beginWithin = 120 * units.Second
	// keepRoomFor is for how long after that its team's limit keeps room for it: a job that can
	// start nowhere must not hold up its team for good.
	keepRoomFor = 120 * units.Second
	// beginTasks is how many tasks such a job has at least: no more than one in that many
	// goes out of order.
	beginTasks = 2
)

// overdue reports whether no task of a job has begun although it has waited for long. Where
// there is less room than work, the least remaining work and the aims that can still be met
// would otherwise put off a large job for as long as smaller ones arrive
// (docs/incidents/2026-12-02-largest-starved.md).
func (c *Core) overdue(j *jobs.Job) bool {
	return !j.Started && j.Placed() == 0 && !j.Suspect() && j.Record.Tasks >= beginTasks && c.wall-j.Since > beginWithin
}

// reservesQuota reports whether a team's limit keeps room for a job's first task.
func (c *Core) reservesQuota(j *jobs.Job) bool {
	return c.overdue(j) && c.wall-j.Since < beginWithin+keepRoomFor
}

// urgency orders the jobs of one tier: those overdue, then by which aims can still be met.
func (c *Core) urgency(shard *ownedShard, j *jobs.Job) int {
	if c.overdue(j) {
		return demand.Urgencies
	}
	return shard.demand.Urgency(c.wall, j)
}

// limitNeed is what a team's limit must have left for one more task of a job: beside the task
// itself room for the first task of a job that is overdue, which tasks of less demand would
// otherwise use up again and again.
func (c *Core) limitNeed(shard *ownedShard, j *jobs.Job) binpack.Vec {
	s := j.Spec()
	if c.overdue(j) {
		return s.Demand
	}
	return s.Demand.Add(shard.reserved[s.Team])
}

// tier orders jobs by right: within their team's guarantee, then by priority.
func (c *Core) tier(shard *ownedShard, j *jobs.Job) int {
	t := int(j.Objectives.Priority)
	if shard.rights.Within[j.ID] {
		t += int(jobs.Production) + 1
	}
	if s := j.Spec(); (len(shard.shortfall) > 0 || s.Demand[binpack.CPU] == 0) && shard.quota.Usage(s.Team)[binpack.CPU]+s.Demand[binpack.CPU] <= shard.shortfall[s.Team] {
		t += 2 * (int(jobs.Production) + 1)
	}
	return t
}

// computeShortfall finds the teams that are owed room, and how much CPU they may have before all others. Where the machines there are cannot give all teams
// their guarantees at once, each guarantee counts for its part of them: else what has the
// highest priority, as long as it is within its own team's guarantee, leaves the other teams
// nothing at all.
func (c *Core) computeShortfall(shard *ownedShard) {
	shard.shortfall = map[string]int64{}
	guaranteed, _ := quotaSource{c}.Total()
	room := shard.capacity[binpack.CPU]
	if guaranteed <= room {
		return
	}
	for _, j := range shard.queue.Jobs() {
		s := j.Spec()
		if j.Ready() == 0 || c.wall-j.Since <= preemptAfter || j.FailsEverywhere() || shard.shortfall[s.Team] > 0 {
			continue
		}
		if t := c.teams[s.Team]; t != nil {
			shard.shortfall[s.Team] = int64(float64(t.Guarantee[binpack.CPU]) * float64(room) / float64(guaranteed))
		}
	}
}

// mayPreempt reports whether a task of victim may be stopped for a task of j.
func (c *Core) mayPreempt(shard *ownedShard, j, victim *jobs.Job) bool {
	s, v := j.Spec(), victim.Spec()
	if s.Team != v.Team && shard.quota.Usage(v.Team)[binpack.CPU] <= shard.shortfall[v.Team] {
		return false
	}
	if victim.Objectives.Priority < j.Objectives.Priority && !(shard.rights.Within[victim.ID] && !shard.rights.Within[j.ID]) {
		return true
	}
	return shard.rights.Within[j.ID] && s.Team != v.Team && !shard.rights.Within[victim.ID] && shard.quota.BeyondNominal(v.Team)
}

// lostWork is the run time that is lost when an attempt is stopped now.
func (c *Core) lostWork(s *jobs.Spec, a fleet.Attempt) units.Microseconds {
	if s.Service || s.Checkpoint > 0 {
		return 0
	}
	return a.Ran(c.now)
}
