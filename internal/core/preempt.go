package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/unit"
)

const (
	// preemptAfter is how long a job's tasks must have waited, and by how much
	// longer they would have to wait for room to come free by itself, before
	// other work is stopped for them.
	preemptAfter = 30 * unit.Second
	// displaceAfter is the same where the other work is of lower priority and
	// keeps its progress: it uses what room is left, and makes it when asked.
	displaceAfter = 3 * unit.Second
	// preemptMemory is how long a stop is taken to be still under way.
	preemptMemory = 3 * unit.Second
)

// victim is a task that may be stopped, and the work that is lost with it.
type victim struct {
	id   ledger.TaskID
	a    fleet.Attempt
	lost unit.Micros
}

// preempt stops tasks of a machine to make room for a job that has a better
// right to it: one of higher priority, or one within its team's guarantee
// where another team runs beyond its own. It stops what loses least, and
// nothing that would lose much beside what the job's task gains.
func (c *Core) preempt(bl *block, m *fleet.Machine) []fleet.Command {
	if len(m.Tasks) == 0 || len(bl.queue.Ranked()) == 0 {
		return nil
	}
	for id := range m.Tasks {
		if j := c.jobs[id.Job]; j != nil && j.Active() && yields(j) {
			if out := c.makeRoom(bl, m, displaceAfter, yields); out != nil {
				return out
			}
			break
		}
	}
	return c.makeRoom(bl, m, preemptAfter, func(*ledger.Job) bool { return true })
}

// makeRoom stops tasks of the jobs that it may for the job with the best right
// to the machine that has waited, and would wait, for some time.
func (c *Core) makeRoom(bl *block, m *fleet.Machine, after unit.Micros, may func(*ledger.Job) bool) []fleet.Command {
	j := c.claimant(bl, m, after)
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
	for _, id := range sortedTasks(m.Tasks) {
		a := m.Tasks[id]
		v := c.jobs[id.Job]
		if v == nil || !v.Active() || a.State == fleet.Saving || !may(v) || !c.mayStop(bl, j, v) {
			continue
		}
		if lost := c.lostWork(v.Spec(), a); lost < bl.demand.Runtime(s)/4 {
			victims = append(victims, victim{id, a, lost})
			yielding = yielding && yields(v)
		}
	}
	slices.SortStableFunc(victims, func(a, b victim) int { return int(a.lost - b.lost) })
	p := bl.preempted[j.ID]
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
		stops = append(stops, fleet.Command{Op: fleet.Stop, ID: v.id, Attempt: v.a.Number, Grace: c.jobs[v.id.Job].Spec().Save})
		for places < most && s.Demand.Fits(free) {
			free = free.Sub(s.Demand)
			places++
			out, stops = append(out, stops...), nil
		}
	}
	if places == 0 {
		return nil
	}
	bl.preempted[j.ID] = preemption{p.count + places, c.now}
	c.log.Info("preempting", "machine", m.Name, "job", j.ID, "stopped", len(out))
	return out
}

// preemption counts the places made for a job that it has not taken yet.
type preemption struct {
	count int
	at    unit.Micros
}

// claimant returns the job with the best right to a machine's room among those
// that have waited for some time and would still have to.
func (c *Core) claimant(bl *block, m *fleet.Machine, after unit.Micros) *ledger.Job {
	if bl.ends > 0 && unit.Seconds(float64(bl.waiting)/bl.ends) < after {
		return nil
	}
	if c.wall-bl.queue.Since() < after {
		return nil // none has waited for that long
	}
	suits := func(s *ledger.Spec) bool {
		return s.Allows(m.Record.Type, m.Record.Zone, m.Record.Spot) && s.Demand.Fits(m.Type.Capacity)
	}
	var found *ledger.Job
	bl.queue.Each(suits, func(cand ranking.Candidate, _ int) bool {
		j := cand.Job
		s := j.Spec()
		if s == nil || c.wall-j.Since < after || j.Suspect() || !c.startable(bl, j) || !c.permits(bl, s) || !j.ZonePermits(m.Record.Zone) {
			return true
		}
		p := bl.preempted[j.ID]
		if c.now-p.at > preemptMemory {
			delete(bl.preempted, j.ID)
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
	beginWithin = 120 * unit.Second
	// keepRoomFor is for how long after that its team's limit keeps room for it: a job that can
	// start nowhere must not hold up its team for good.
	keepRoomFor = 120 * unit.Second
	// beginTasks is how many tasks such a job has at least: no more than one in that many
	// goes out of order.
	beginTasks = 2
)

// overdue reports whether no task of a job has begun although it has waited for long. Where
// there is less room than work, the least remaining work and the aims that can still be met
// would otherwise put off a large job for as long as smaller ones arrive
// (docs/incidents/2026-12-02-largest-starved.md).
func (c *Core) overdue(j *ledger.Job) bool {
	return !j.Begun && j.Placed() == 0 && !j.Suspect() && j.Record.Tasks >= beginTasks && c.wall-j.Since > beginWithin
}

// keepsRoom reports whether a team's limit keeps room for a job's first task.
func (c *Core) keepsRoom(j *ledger.Job) bool {
	return c.overdue(j) && c.wall-j.Since < beginWithin+keepRoomFor
}

// urgency orders the jobs of one tier: those overdue, then by which aims can still be met.
func (c *Core) urgency(bl *block, j *ledger.Job) int {
	if c.overdue(j) {
		return demand.Urgencies
	}
	return bl.demand.Urgency(c.wall, j)
}

// limitNeed is what a team's limit must have left for one more task of a job: beside the task
// itself room for the first task of a job that is overdue, which tasks of less demand would
// otherwise use up again and again.
func (c *Core) limitNeed(bl *block, j *ledger.Job) pack.Vec {
	s := j.Spec()
	if c.overdue(j) {
		return s.Demand
	}
	return s.Demand.Add(bl.promised[s.Team])
}

// tier orders jobs by right: within their team's guarantee, then by priority.
func (c *Core) tier(bl *block, j *ledger.Job) int {
	t := int(j.Aims.Priority)
	if bl.rights.Within[j.ID] {
		t += int(ledger.Production) + 1
	}
	if s := j.Spec(); (len(bl.owed) > 0 || s.Demand[pack.CPU] == 0) && bl.usage[s.Team][pack.CPU]+s.Demand[pack.CPU] <= bl.owed[s.Team] {
		t += 2 * (int(ledger.Production) + 1)
	}
	return t
}

// owe finds the teams that are owed room, and how much CPU they may have before all others. Where the machines there are cannot give all teams
// their guarantees at once, each guarantee counts for its part of them: else what has the
// highest priority, as long as it is within its own team's guarantee, leaves the other teams
// nothing at all.
func (c *Core) owe(bl *block) {
	bl.owed = map[string]int64{}
	guaranteed, _ := guarantees{c}.Total()
	room := bl.total[pack.CPU]
	if guaranteed <= room {
		return
	}
	for _, j := range bl.queue.Jobs() {
		s := j.Spec()
		if j.Ready() == 0 || c.wall-j.Since <= preemptAfter || j.FailsEverywhere() || bl.owed[s.Team] > 0 {
			continue
		}
		if t := c.teams[s.Team]; t != nil {
			bl.owed[s.Team] = int64(float64(t.Guarantee[pack.CPU]) * float64(room) / float64(guaranteed))
		}
	}
}

// mayStop reports whether a task of victim may be stopped for a task of j.
func (c *Core) mayStop(bl *block, j, victim *ledger.Job) bool {
	s, v := j.Spec(), victim.Spec()
	if s.Team != v.Team && bl.usage[v.Team][pack.CPU] <= bl.owed[v.Team] {
		return false
	}
	if victim.Aims.Priority < j.Aims.Priority && !(bl.rights.Within[victim.ID] && !bl.rights.Within[j.ID]) {
		return true
	}
	return bl.rights.Within[j.ID] && s.Team != v.Team && !bl.rights.Within[victim.ID] && c.beyond(bl, v.Team)
}

// beyond reports whether a team uses more than its guarantee.
func (c *Core) beyond(bl *block, team string) bool {
	t := c.teams[team]
	part := c.shares[bl.n].share
	return t == nil || float64(bl.usage[team][pack.CPU]) > part*float64(t.Guarantee[pack.CPU]) ||
		float64(bl.usage[team][pack.GPU]) > part*float64(t.Guarantee[pack.GPU])
}

// lostWork is the run time that is lost when an attempt is stopped now.
func (c *Core) lostWork(s *ledger.Spec, a fleet.Attempt) unit.Micros {
	if s.Service || s.Checkpoint > 0 {
		return 0
	}
	return a.Ran(c.now)
}
