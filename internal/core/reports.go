package core

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
)

// token is what this leader's commands carry.
func (l *leader) token() uint64 { return lead.Token(l.term, 0) }

// Report takes a worker's report. Only a node whose authority is certain
// answers 200; any other answer would hold the worker while its lease runs out.
func (c *Core) Report(now unit.Micros, req ReqID, r *fleet.Report) {
	c.at(now)
	l := c.leader
	switch {
	case l == nil && c.claim.Node != c.cfg.Node:
		// A leader that seems dead is not named: its workers would wait for it.
		to := c.claim.Node
		if v := c.peers.views[to]; v == nil || !c.alive(v) || !v.status.Leading {
			to = ""
		}
		c.reply(req, http.StatusMisdirectedRequest, Redirect{to})
		return
	case !c.Leading(now):
		c.reply(req, http.StatusServiceUnavailable, Problem{"no authority at present"})
		return
	case r.Token > l.token():
		c.reply(req, http.StatusMisdirectedRequest, Redirect{})
		c.resign("a worker has seen a higher token", unit.Second)
		return
	}
	l.lastHeard = now
	m := l.machines[r.Machine]
	if m == nil {
		m = c.newMachine(l, r.Machine, strayKey(r.Machine), fleet.Record{Type: r.Type, Zone: r.Zone, Spot: r.Spot})
		delete(l.gone, r.Machine)
	}
	orders := Orders{Token: l.token()}
	if !m.Newer(r) {
		c.reply(req, http.StatusOK, orders) // late: nobody waits for this answer
		return
	}
	if m.LastSeen == 0 {
		m.IdleSince = now
		if !m.Record.Up {
			c.storeGroup(l, m.Group, true)
		}
		c.log.Info("machine up", "machine", m.Name, "type", r.Type, "spot", r.Spot, "after_s", (now - m.Rented).Seconds())
	}
	m.Session, m.Seq, m.LastSeen, m.Lost = r.Session, r.Seq, now, false
	m.LeaseEnd = now + c.leaseBound()
	if r.Notice != unit.Never {
		m.Notice = now + r.Notice
	} else {
		m.Notice = unit.Never
	}
	if r.Token == l.token() {
		// The worker has taken an answer of this term, so that it drops every
		// answer of earlier ones: its list shows all that can be there. A report
		// without our token proves nothing, as it may have been under way while
		// an earlier leader started tasks.
		orders.Commands = c.reconcile(l, m, r)
		l.accounted(c, m)
		if m.Notice != unit.Never {
			orders.Commands = append(orders.Commands, c.rescue(l, m)...)
		} else if m.Settled() {
			orders.Commands = append(orders.Commands, c.fill(l, m)...)
			orders.Commands = append(orders.Commands, c.preempt(l, m)...)
			if len(m.Tasks) == 0 && len(r.Tasks) == 0 && len(orders.Commands) == 0 && len(l.held) < maxHeld {
				l.held = append(l.held, heldReport{req, m, now + holdFor})
				return
			}
		}
	}
	c.reply(req, http.StatusOK, orders)
}

// heldReport is a report of an idle machine, kept unanswered for a moment so
// that work which comes meanwhile starts at once. Nothing can change on such a
// machine, and its lease counts from when the report was sent. The worker
// waits longer than that for an answer, and drops one that comes later still.
type heldReport struct {
	req   ReqID
	m     *fleet.Machine
	until unit.Micros
}

const (
	holdFor = 2 * unit.Second
	maxHeld = 500
)

// answerHeld gives new work to machines whose reports are held, the cheapest
// first, and answers those that were held long enough.
func (c *Core) answerHeld(l *leader) {
	if len(l.held) == 0 || !l.auth.Valid(c.now) {
		return
	}
	if l.newWork {
		c.rank(l)
	}
	fresh := l.heldStale && len(l.ranked) > 0
	l.heldStale = false
	if fresh {
		sort.SliceStable(l.held, func(a, b int) bool { return preferred(l.held[a].m, l.held[b].m) })
	}
	kept := l.held[:0]
	for _, h := range l.held {
		var cmds []fleet.Command
		if fresh && h.m.Settled() {
			cmds = c.fill(l, h.m)
		}
		if len(cmds) == 0 && c.now < h.until {
			kept = append(kept, h)
			continue
		}
		h.m.LeaseEnd = c.now + c.leaseBound()
		c.reply(h.req, http.StatusOK, Orders{Token: l.token(), Commands: cmds})
	}
	l.held = kept
}

// rescue stops the tasks of a machine that the cloud is about to take, where
// they cannot end before: they start elsewhere now, not when the loss is sure.
func (c *Core) rescue(l *leader, m *fleet.Machine) []fleet.Command {
	left := m.Notice - c.now
	var out []fleet.Command
	for _, id := range sortedTasks(m.Tasks) {
		a := m.Tasks[id]
		j := c.jobs[id.Job]
		if j == nil || !j.Active() || j.IsFinished(id.Task) || a.State == fleet.Saving {
			continue
		}
		s := j.Spec()
		if !s.Service && l.runtime(s)-a.Ran(c.now) <= left {
			continue
		}
		grace := unit.Micros(0)
		if s.Save > 0 && s.Save < left {
			grace = left
		}
		out = append(out, fleet.Command{Op: fleet.Stop, ID: id, Attempt: a.Number, Grace: grace})
	}
	return out
}

func sortedTasks(m map[ledger.TaskID]fleet.Attempt) []ledger.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b ledger.TaskID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// reconcile brings what is known of a machine in line with its report.
//
// A worker has one report in flight, and drops answers to reports it has given
// up. So a start that was sent in an earlier answer and does not show in a
// newer report was never carried out and never will be.
func (c *Core) reconcile(l *leader, m *fleet.Machine, r *fleet.Report) []fleet.Command {
	var forget, stop []fleet.Command
	seen := make(map[ledger.TaskID]bool, len(r.Tasks))
	var exited []fleet.Task
	for _, t := range r.Tasks {
		if t.State == fleet.Exited {
			exited = append(exited, t)
			continue
		}
		seen[t.ID] = true
		if c.onBoard(l, m, t) {
			stop = append(stop, fleet.Command{Op: fleet.Stop, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, t := range exited {
		if c.exited(l, m, t) {
			forget = append(forget, fleet.Command{Op: fleet.Forget, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, id := range sortedTasks(m.Tasks) {
		if !seen[id] {
			c.taskGone(l, m, id)
		}
	}
	return append(forget, stop...)
}

// onBoard takes in a task that is on a machine, and reports whether it must stop.
func (c *Core) onBoard(l *leader, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs[t.ID.Job]
	a, known := m.Tasks[t.ID]
	if !known || a.Number != t.Attempt {
		a = fleet.Attempt{Number: t.Attempt, Started: c.now}
		switch {
		case j != nil && j.Active():
			a.Team, a.Demand = j.Spec().Team, j.Spec().Demand
		case j != nil:
			a.Team, a.Demand = j.Record.Team, j.Record.Demand
		}
	}
	a.State = t.State
	if t.State != fleet.Fetching && a.Live == 0 {
		a.Live = c.now
	}
	c.taskOn(l, m, t.ID, a)
	if j == nil || !j.Active() || t.ID.Task >= j.Record.Tasks {
		return true
	}
	p, placed := j.Place(t.ID.Task)
	here := ledger.Place{Machine: m.Name, Attempt: t.Attempt, Zone: m.Record.Zone}
	switch {
	case j.IsFinished(t.ID.Task):
		return true
	case !placed:
		j.Adopt(t.ID.Task, here)
	case p.Machine != m.Name:
		c.log.Error("task is on two machines", "task", t.ID.String(), "one", p.Machine, "other", m.Name)
		return true
	case p.Attempt != t.Attempt:
		j.Release(t.ID.Task)
		j.Adopt(t.ID.Task, here)
	}
	if t.State != fleet.Fetching {
		j.SetLive(t.ID.Task)
		m.UseImage(j.Spec().Image)
	}
	return false
}

// exited takes in a task that has exited, and reports whether its machine may
// forget it. A finished task is kept there until it is stored that it is done.
func (c *Core) exited(l *leader, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs[t.ID.Job]
	if a, ok := m.Tasks[t.ID]; ok && a.Number == t.Attempt && j != nil && j.Active() && !j.IsFinished(t.ID.Task) {
		switch t.Cause {
		case fleet.Failed:
			c.failed(l, m, j)
		case fleet.Unknown, fleet.NoRoom, fleet.Busy:
			c.log.Warn("start refused", "task", t.ID.String(), "machine", m.Name, "cause", int(t.Cause))
			j.NotBefore = max(j.NotBefore, c.now+unit.Second)
		}
	}
	if t.Cause != fleet.Completed || j == nil || !j.Active() || t.ID.Task >= j.Record.Tasks {
		return true
	}
	if j.IsStored(t.ID.Task) {
		return true
	}
	if !j.IsFinished(t.ID.Task) {
		if a, ok := m.Tasks[t.ID]; ok && a.Started > m.FailedAt {
			m.Failures, m.Sick = 0, false // what it started since then works
		}
		if a, ok := m.Tasks[t.ID]; ok && a.Live > 0 {
			took := c.now - a.Live
			l.learnRun(j.Spec(), took)
			if m.Ran(took, j.MeanRun) {
				c.log.Warn("machine is slow", "machine", m.Name)
			}
			j.Ran(took)
		}
		m.UseImage(j.Spec().Image)
		c.finished(l, j, t.ID.Task)
	}
	return false
}

// failed weighs who is to blame for a failed task: a job that has worked
// elsewhere, or a second job failing here, speaks against the machine; a job
// that has only ever failed, on several machines, speaks against itself.
func (c *Core) failed(l *leader, m *fleet.Machine, j *ledger.Job) {
	j.Errors[m.Name]++
	m.FailedAt = c.now
	switch {
	case j.Worked:
		m.Failures += 2
	case j.Errors[m.Name] <= 2 && len(j.Errors) < 3:
		m.Failures++ // a second try on the same machine tells as much as a second job
	}
	if j.FailsEverywhere() {
		n := 0
		for _, k := range j.Errors {
			n += k
		}
		j.NotBefore = c.now + min(unit.Second<<min(n, 6), 60*unit.Second)
	}
	c.log.Info("task failed", "job", j.ID, "machine", m.Name, "blame", m.Failures, "machines", len(j.Errors))
	if m.Failures >= 2 && !m.Sick {
		m.Sick = true
		c.log.Warn("machine fails its tasks", "machine", m.Name)
	}
}

// candidate is a job with ready tasks and its place in the order.
type candidate struct {
	job     *ledger.Job
	tier    int
	deficit float64
}

// maxViews bounds the jobs that are weighed for one machine. They are those
// furthest from fair share in the highest tiers, of those that fit.
const maxViews = 64

// rankEvery is how often the order of jobs and the machines with free room are
// looked at anew: a report looks only at the first few of each.
const rankEvery = unit.Second / 4

// rankGap is the least time between, when tasks have become ready.
const rankGap = unit.Second / 40

// rank orders the jobs that have ready tasks by tier and distance from fair
// share, and the machines that have free room by preference.
func (c *Core) rank(l *leader) {
	l.rankedAt, l.rankAt = c.now, c.now+rankEvery
	l.heldStale = l.heldStale || l.newWork
	l.newWork = false
	if l.orderStale || l.within == nil {
		c.sortJobs(l)
	}
	l.ranked, l.roomy = l.ranked[:0], l.roomy[:0]
	for _, j := range l.order {
		if s := j.Spec(); s != nil && j.Ready() > 0 && !j.Held && c.now >= j.NotBefore {
			tier := c.tier(l, j)*urgencies + c.urgency(l, j)
			l.ranked = append(l.ranked, candidate{j, tier, c.deficit(l, j)})
		}
	}
	if len(l.ranked) == 0 {
		return
	}
	sort.SliceStable(l.ranked, func(a, b int) bool {
		x, y := l.ranked[a], l.ranked[b]
		if x.tier != y.tier {
			return x.tier > y.tier
		}
		if f, g := x.job.FailsEverywhere(), y.job.FailsEverywhere(); f != g {
			return g
		}
		return x.deficit > y.deficit
	})
	for _, m := range l.machines {
		if m.Settled() && m.Notice == unit.Never && c.now-m.LastSeen <= c.nextReport() && m.Free()[pack.CPU] > 0 {
			l.roomy = append(l.roomy, m)
		}
	}
	sort.Slice(l.roomy, func(a, b int) bool { return preferred(l.roomy[a], l.roomy[b]) })
}

// deficit is how far a job is from its fair share.
func (c *Core) deficit(l *leader, j *ledger.Job) float64 {
	s := j.Spec()
	return l.share[s.Team] - pack.Dominant(l.total, s.Demand)*float64(j.Placed())
}

// fill starts tasks on a machine that has reported free room.
func (c *Core) fill(l *leader, m *fleet.Machine) []fleet.Command {
	if c.now >= l.rankAt || l.newWork && c.now >= l.rankedAt+rankGap {
		c.rank(l)
	}
	if len(l.ranked) == 0 {
		return nil
	}
	free := m.Free()
	elsewhere := l.preferredRoom(c, m)
	var jobs []*ledger.Job
	var views []pack.Job
	for _, cand := range l.ranked {
		j := cand.job
		s := j.Spec()
		if s == nil || j.Ready() == 0 || j.Held || c.now < j.NotBefore ||
			!s.Demand.Fits(free) || !s.Allows(m.Record.Type, m.Record.Zone, m.Record.Spot) {
			continue
		}
		pending := j.Ready() - elsewhere.take(j)
		if pending <= 0 {
			continue
		}
		constrained := 0
		if !m.Record.Spot && !s.Spot {
			constrained = 1 // it can go nowhere else, other work can
		}
		views = append(views, pack.Job{
			Demand:   s.Demand,
			Pending:  pending,
			Work:     float64(j.Record.Tasks-j.Finished()) * l.runtime(s).Seconds(),
			Deficit:  c.deficit(l, j),
			Tier:     2*cand.tier + constrained,
			Cached:   m.HasImage(s.Image),
			Deferred: j.FailsEverywhere(),
		})
		jobs = append(jobs, j)
		if len(jobs) == maxViews {
			break
		}
	}
	var out []fleet.Command
	pack.Fill(m.Type.Capacity, free, views, c.cfg.Pack, func(i int) bool {
		j := jobs[i]
		s := j.Spec()
		if !c.permits(l, s) || !j.ZonePermits(m.Record.Zone) {
			return false
		}
		l.attempts++
		n := lead.Attempt(l.term, l.attempts)
		id := ledger.TaskID{Job: j.ID, Task: j.Take(ledger.Place{Machine: m.Name, Attempt: n, Zone: m.Record.Zone})}
		c.taskOn(l, m, id, fleet.Attempt{Number: n, Team: s.Team, Demand: s.Demand, Started: c.now})
		out = append(out, fleet.Command{Op: fleet.Start, ID: id, Attempt: n})
		return true
	})
	return out
}

// permits reports whether a team's limit leaves room for one more task. Until
// all machines are accounted for, those that are not may be full of its tasks.
func (c *Core) permits(l *leader, s *ledger.Spec) bool {
	t := c.teams[s.Team]
	if t == nil {
		return false
	}
	if l.hiddenStale {
		l.hidden, l.untyped, l.hiddenStale = pack.Vec{}, false, false
		for name := range l.unaccounted {
			if m := l.machines[name]; m != nil && m.Type != nil {
				l.hidden = l.hidden.Add(m.Type.Capacity)
			} else {
				l.untyped = true
			}
		}
	}
	if l.untyped && t.Limit != (pack.Vec{}) {
		return false
	}
	use := l.usage[s.Team].Add(s.Demand).Add(l.hidden)
	return withinLimit(t.Limit, use)
}

// teamShare is a team's fair share of the whole: by guarantee where there are
// any, else equal.
func (c *Core) teamShare(team string) float64 {
	var sum int64
	for _, t := range c.cfg.Teams {
		sum += t.Guarantee[pack.CPU]
	}
	if t := c.teams[team]; sum > 0 && t != nil {
		return float64(t.Guarantee[pack.CPU]) / float64(sum)
	}
	return 1 / float64(max(len(c.cfg.Teams), 1))
}

// room is free room on machines that are preferred to the one at hand.
type room struct {
	machines []*fleet.Machine
	free     []pack.Vec
}

// preferredRoom finds the free room that preferred machines are about to
// report. Work that fits there waits for it, so that the others run empty and
// can be returned.
func (l *leader) preferredRoom(c *Core, m *fleet.Machine) *room {
	r := &room{}
	for _, x := range l.roomy {
		if !preferred(x, m) || len(r.machines) == maxPreferred {
			break
		}
		if x == m || !x.Settled() || x.Notice != unit.Never {
			continue
		}
		if f := x.Free(); f[pack.CPU] > 0 {
			r.machines = append(r.machines, x)
			r.free = append(r.free, f)
		}
	}
	return r
}

// maxPreferred bounds the machines that are looked at for room elsewhere.
const maxPreferred = 48

// preferred reports whether work should rather go to x than to m: to the
// cheaper machine, else to the smaller one, which runs empty sooner, else to
// the older one, so that room gathers on the youngest.
func preferred(x, m *fleet.Machine) bool {
	if a, b := costClass(x), costClass(m); a != b {
		return a < b
	}
	if a, b := x.Type.Capacity[pack.CPU], m.Type.Capacity[pack.CPU]; a != b {
		return a < b
	}
	return x.Name < m.Name
}

// take sets room aside for a job's ready tasks, and returns for how many.
func (r *room) take(j *ledger.Job) int {
	s := j.Spec()
	left := j.Ready()
	for i, x := range r.machines {
		if !s.Allows(x.Record.Type, x.Record.Zone, x.Record.Spot) {
			continue
		}
		for left > 0 && s.Demand.Fits(r.free[i]) {
			r.free[i] = r.free[i].Sub(s.Demand)
			left--
		}
	}
	return j.Ready() - left
}

// costClass is what a machine costs by CPU, in steps of about a tenth.
func costClass(m *fleet.Machine) int {
	if m.Type == nil || m.Type.Capacity[pack.CPU] == 0 {
		return 0
	}
	return int(math.Round(10 * math.Log(m.Type.Rate(m.Record.Spot)/float64(m.Type.Capacity[pack.CPU]))))
}
