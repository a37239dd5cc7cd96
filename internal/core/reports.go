package core

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"

	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watch"
)

// Report takes a worker's report. Only a node whose authority is certain
// answers 200; any other answer would hold the worker while its lease runs out.
func (c *Core) Report(now unit.Micros, req ReqID, r *fleet.Report) {
	c.at(now)
	c.reach.Heard()
	c.zones.Heard(r.Zone)
	bl := c.blockOf(req, r)
	if bl == nil {
		return
	}
	c.reach.Reported()
	m := bl.machines[r.Machine]
	if m == nil {
		m = c.newMachine(bl, r.Machine, strayKey(r.Machine), fleet.Record{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, 0)
	}
	orders := Orders{Token: bl.token}
	if !m.Newer(r) && c.keeps(guard.ReportOrder) {
		c.reply(req, http.StatusOK, orders) // late: nobody waits for this answer
		return
	}
	if m.LastSeen == 0 {
		m.IdleSince = now
		if !m.Record.Up {
			c.storeGroup(bl, m.Group, true)
		}
		c.log.Info("machine up", "machine", m.Name, "type", r.Type, "spot", r.Spot, "after_s", (now - m.Rented).Seconds())
	}
	if void := func(t fleet.Task) bool { return t.State != fleet.Exited && t.Attempt <= m.Void }; slices.ContainsFunc(r.Tasks, void) && c.keeps(guard.VoidAttempts) {
		// The machine's lease ran out after these were started, and they ended with it: the
		// report was sent before, and a cut held it back. Taken for true it would call tasks
		// back that have been started elsewhere since (docs/incidents/2026-12-01-held-back.md).
		c.log.Debug("late report of a machine whose lease had run out", "machine", m.Name)
		late := *r
		late.Tasks = slices.DeleteFunc(slices.Clone(r.Tasks), void)
		r = &late
	}
	m.Session, m.Seq, m.LastSeen, m.Lost, m.Addr = r.Session, r.Seq, now, false, r.Addr
	m.LeaseEnd, m.Listed = now+c.leaseBound(), len(r.Tasks)
	if r.Notice != unit.Never {
		m.Notice = now + r.Notice
	} else {
		m.Notice = unit.Never
	}
	if r.Token == bl.token || !c.keeps(guard.ReportToken) {
		// The worker has taken an answer of this term, so that it drops every
		// answer of earlier ones: its list shows all that can be there. A report
		// without our token proves nothing, as it may have been under way while
		// an earlier holder started tasks.
		orders.Commands = c.reconcile(bl, m, r)
		bl.accounted(c, m)
		if m.Notice != unit.Never {
			orders.Commands = append(orders.Commands, c.rescue(bl, m)...)
		} else if m.Settled() {
			orders.Commands = append(orders.Commands, c.fill(bl, m)...)
			orders.Commands = append(orders.Commands, c.preempt(bl, m)...)
			if len(orders.Commands) == 0 {
				orders.Commands = c.vacate(bl, m)
			}
			if len(m.Tasks) == 0 && len(r.Tasks) == 0 && len(orders.Commands) == 0 && len(bl.held) < maxHeld {
				bl.held = append(bl.held, heldReport{req, m, now + holdFor})
				return
			}
		}
	} else {
		orders.Commands = c.stopForeign(bl, r)
		if m.Handed && m.Settled() && m.Notice == unit.Never {
			// What may be on it is known without its word, from who has held it last.
			orders.Commands = append(orders.Commands, c.fill(bl, m)...)
		}
	}
	c.giveOrders(bl, m, req, orders)
}

// blockOf finds the block that a machine belongs to. Where this node does not
// hold it, or its authority is not certain, it answers and returns nil.
func (c *Core) blockOf(req ReqID, r *fleet.Report) *block {
	k, known := c.where[r.Machine]
	if !known {
		for _, n := range sortedBlocks(c.held) {
			if c.held[n].machines[r.Machine] != nil {
				k, known = n, true // rented, and about to be stored
			}
		}
	}
	bl := c.held[k] // what nobody knows belongs to the first block
	if bl == nil {
		c.reply(req, http.StatusMisdirectedRequest, Redirect{c.holderOf(k)})
		return nil
	}
	if bl.free && len(bl.held) < maxHeld && c.now < c.ValidUntil() {
		// In a moment the next holder is known; told to go away, the worker would not
		// report to it for a second.
		bl.held = append(bl.held, heldReport{req: req, until: c.now + holdFor})
		return nil
	}
	if !c.Holds(c.now, k) {
		c.reply(req, http.StatusServiceUnavailable, Problem{"no authority at present"})
		return nil
	}
	if r.Token > bl.token {
		c.reply(req, http.StatusMisdirectedRequest, Redirect{})
		c.wantSync(nil)
		return nil
	}
	if bl.renter.Gone(r.Machine) && c.keeps(guard.ReturnedMachine) {
		// The cloud has said that it is gone: a cut held the report back. Taken for
		// alive, it would keep the tasks that it shows from starting elsewhere.
		c.log.Debug("late report of a returned machine", "machine", r.Machine)
		c.reply(req, http.StatusMisdirectedRequest, Redirect{})
		return nil
	}
	if !known {
		// Whoever has rented it may not have stored that yet: it is adopted only
		// when nobody has for a while.
		since, seen := bl.strays[r.Machine]
		if !seen && len(bl.strays) < maxStrays {
			bl.strays[r.Machine], since = c.now, c.now
		}
		if !seen || c.now-since < strayAfter {
			c.reply(req, http.StatusMisdirectedRequest, Redirect{})
			return nil
		}
	}
	delete(bl.strays, r.Machine)
	return bl
}

// maxStrays bounds the unknown machines that are remembered.
const maxStrays = 5000

// holderOf returns the controller that workers of a block should report to. One
// that seems dead is not named: the workers would wait for it.
func (c *Core) holderOf(k int) string {
	g := c.blocks[k]
	v := c.peers.views[g.Node]
	if g.Node == "" || v == nil || c.seats.Of(g.Node) != g.Seat || !c.alive(v) && c.anyPeer() {
		return ""
	}
	return g.Node
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

// stopForeign stops the tasks of other blocks' jobs that a machine reports. No
// machine should have any; but should two holders ever take a machine for their
// own, the one that it turns away from counts its tasks as gone when the lease
// must have run out. So an answer that renews the lease must stop them.
func (c *Core) stopForeign(bl *block, r *fleet.Report) []fleet.Command {
	var out []fleet.Command
	for _, t := range r.Tasks {
		if j := c.jobs[t.ID.Job]; t.State != fleet.Exited && (j == nil || j.Record.Block != bl.n) {
			out = append(out, fleet.Command{Op: fleet.Stop, ID: t.ID, Attempt: t.Attempt})
		}
	}
	return atMost(out, MaxStops)
}

// answerHeld gives new work to machines whose reports are held, the cheapest
// first, and answers those that were held long enough.
func (c *Core) answerHeld(bl *block) {
	if len(bl.held) == 0 {
		return
	}
	if bl.newWork && c.now >= bl.rankedAt+bl.queue.Gap() {
		c.rank(bl)
	}
	fresh := bl.heldStale && len(bl.queue.Ranked()) > 0
	bl.heldStale = false
	if fresh {
		sort.SliceStable(bl.held, func(a, b int) bool { return preferred(bl.held[a].m, bl.held[b].m) })
	}
	kept := bl.held[:0]
	for _, h := range bl.held {
		var cmds []fleet.Command
		if fresh && h.m.Settled() {
			cmds = c.fill(bl, h.m)
		}
		if len(cmds) == 0 && c.now < h.until {
			kept = append(kept, h)
			continue
		}
		h.m.LeaseEnd = c.now + c.leaseBound()
		c.giveOrders(bl, h.m, h.req, Orders{Token: bl.token, Commands: cmds})
	}
	bl.held = kept
}

// rescue stops the tasks of a machine that the cloud is about to take, where
// they cannot end before: they start elsewhere now, not when the loss is sure.
func (c *Core) rescue(bl *block, m *fleet.Machine) []fleet.Command {
	left := m.Notice - c.now
	var out []fleet.Command
	for _, id := range sortedTasks(m.Tasks) {
		a := m.Tasks[id]
		j := c.jobs[id.Job]
		if j == nil || !j.Active() || j.IsFinished(id.Task) || a.State == fleet.Saving {
			continue
		}
		s := j.Spec()
		if !s.Service && bl.demand.Runtime(s)-a.Ran(c.now) <= left {
			continue
		}
		grace := unit.Micros(0)
		if s.Save > 0 && s.Save < left {
			grace = left
		}
		out = append(out, fleet.Command{Op: fleet.Stop, ID: id, Attempt: a.Number, Grace: grace})
	}
	return atMost(out, MaxStops)
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
func (c *Core) reconcile(bl *block, m *fleet.Machine, r *fleet.Report) []fleet.Command {
	var forget, stop []fleet.Command
	seen := make(map[ledger.TaskID]bool, len(r.Tasks))
	var exited []fleet.Task
	for _, t := range r.Tasks {
		if t.State == fleet.Exited {
			exited = append(exited, t)
			continue
		}
		seen[t.ID] = true
		if c.onBoard(bl, m, t) {
			stop = append(stop, fleet.Command{Op: fleet.Stop, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, t := range exited {
		if c.exited(bl, m, t) {
			forget = append(forget, fleet.Command{Op: fleet.Forget, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, id := range sortedTasks(m.Tasks) {
		if !seen[id] {
			c.taskGone(bl, m, id)
		}
	}
	return append(atMost(forget, MaxForgets), atMost(stop, MaxStops)...)
}

// Bounds on the orders in one answer, which may not be longer than 64 KiB. A
// machine can hold hundreds of small tasks; what is left out is told with the
// next report.
const (
	MaxForgets = 200
	MaxStops   = 100
	MaxStarts  = 250
	// MaxListed bounds the tasks that a machine lists, as a report may not be longer than
	// 64 KiB either: while nothing can be stored, what has ended there stays listed.
	MaxListed = 500
)

func atMost(cmds []fleet.Command, n int) []fleet.Command { return cmds[:min(len(cmds), n)] }

// onBoard takes in a task that is on a machine, and reports whether it must stop.
func (c *Core) onBoard(bl *block, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs[t.ID.Job]
	a, known := m.Tasks[t.ID]
	if !known || a.Number != t.Attempt {
		a = fleet.Attempt{Number: t.Attempt, Started: c.now, Adopted: true}
		switch {
		case j != nil && j.Active():
			a.Team, a.Demand = j.Spec().Team, j.Spec().Demand
		case j != nil:
			a.Team, a.Demand = j.Record.Team, j.Record.Demand
		default: // over and packed, or accepted after the backup that was put back
			c.log.Warn("task of a job that is not known is stopped", "task", t.ID.String(), "machine", m.Name)
		}
	}
	a.State = t.State
	if t.State != fleet.Fetching && a.Live == 0 {
		a.Live = c.now
	}
	c.taskOn(bl, m, t.ID, a)
	if j == nil || !j.Active() || j.Record.Block != bl.n || t.ID.Task >= j.Record.Tasks {
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
func (c *Core) exited(bl *block, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs[t.ID.Job]
	if a, ok := m.Tasks[t.ID]; ok && a.Number == t.Attempt && j != nil && j.Active() && !j.IsFinished(t.ID.Task) {
		switch t.Cause {
		case fleet.Failed:
			c.failed(bl, m, j, a)
		case fleet.Unknown, fleet.NoRoom, fleet.Busy:
			c.log.Warn("start refused", "task", t.ID.String(), "machine", m.Name, "cause", int(t.Cause))
			j.NotBefore = max(j.NotBefore, c.now+unit.Second)
		}
	}
	if t.Cause != fleet.Completed || j == nil || !j.Active() || j.Record.Block != bl.n || t.ID.Task >= j.Record.Tasks {
		return true
	}
	if j.IsStored(t.ID.Task) {
		return true
	}
	if !j.IsFinished(t.ID.Task) {
		m.Proven = true
		if a, ok := m.Tasks[t.ID]; ok && a.Started > m.FailedAt {
			m.Failed, m.Sick = nil, false // what it started since then works
		}
		if j.Suspect() {
			c.cleared(bl, j)
		}
		// What an earlier holder started seems to have run for a shorter time than
		// it has. Counted, it made the others of its job look slow, and their
		// machines with them.
		if a, ok := m.Tasks[t.ID]; ok && a.Live > 0 && !a.Adopted {
			took := c.now - a.Live
			bl.demand.Learn(j.Spec(), took)
			if m.Ran(took, j.MeanRun) {
				c.log.Warn("machine is slow", "machine", m.Name)
			}
			j.Ran(took)
		}
		m.UseImage(j.Spec().Image)
		c.finished(bl, j, t.ID.Task)
	}
	return false
}

// maxViews bounds the jobs that are weighed for one machine. They are those
// furthest from fair share in the highest tiers, of those that fit.
const maxViews = 64

// rankEvery is how often the order of jobs and the machines with free room are
// looked at anew: a report looks only at the first few of each.
const rankEvery = unit.Second / 4

// rankGap is the least time between, when tasks have become ready. Both are longer where there
// are so many jobs that rankings would take more and more of the processor.
const rankGap = unit.Second / 40

// rankDue reports whether jobs should be ranked anew.
func (c *Core) rankDue(bl *block) bool {
	return c.now >= bl.rankedAt+max(rankEvery, bl.queue.Gap()) || c.reorderDue(bl)
}

// reorderDue reports whether tasks have become ready that the ranking should have soon.
func (c *Core) reorderDue(bl *block) bool {
	return bl.newWork && c.now >= bl.rankedAt+max(rankGap, bl.queue.Gap())
}

// rank orders the jobs that have ready tasks by tier and distance from fair
// share, and the machines that have free room by preference.
func (c *Core) rank(bl *block) {
	bl.rankedAt = c.now
	bl.heldStale = bl.heldStale || bl.newWork
	bl.newWork = false
	if bl.orderStale || bl.rights.Within == nil {
		c.sortJobs(bl)
	}
	bl.queue.Begin()
	bl.promised = map[string]pack.Vec{}
	bl.roomy, bl.waiting, bl.ends = bl.roomy[:0], 0, 0
	for _, j := range bl.queue.Jobs() {
		s := j.Spec()
		if s == nil {
			continue
		}
		if run := bl.demand.Runtime(s).Seconds(); run > 0 {
			bl.ends += float64(j.Placed()) / run
		}
		if j.Ready() > 0 && c.startable(bl, j) {
			bl.waiting += j.Trials()
			if _, promised := bl.promised[s.Team]; !promised && c.keepsRoom(j) {
				bl.promised[s.Team] = s.Demand
			}
			tier := c.tier(bl, j)*(demand.Urgencies+1) + c.urgency(bl, j)
			bl.queue.Propose(ranking.Candidate{Job: j, Tier: tier, Deficit: c.deficit(bl, j)})
		}
	}
	bl.queue.Finish()
	if len(bl.queue.Ranked()) == 0 {
		return
	}
	for _, m := range bl.machines {
		if m.Settled() && m.Notice == unit.Never && c.zones.Reachable(m.Record.Zone) && c.now-m.LastSeen <= watch.NextReport(c.cfg.ReportEvery) && m.Free()[pack.CPU] > 0 {
			bl.roomy = append(bl.roomy, m)
		}
	}
	sort.Slice(bl.roomy, func(a, b int) bool { return preferred(bl.roomy[a], bl.roomy[b]) })
}

// startable reports whether a job's ready tasks may start in a block at present.
func (c *Core) startable(bl *block, j *ledger.Job) bool {
	return j.Record.Block == bl.n && !j.Held && !j.Moving && c.now >= j.NotBefore
}

// deficit is how far a job is from its fair share.
func (c *Core) deficit(bl *block, j *ledger.Job) float64 {
	s := j.Spec()
	return bl.rights.Share[s.Team] - pack.Dominant(bl.total, s.Demand)*float64(j.Placed())
}

// fill starts tasks on a machine that has reported free room.
func (c *Core) fill(bl *block, m *fleet.Machine) []fleet.Command {
	if c.rankDue(bl) {
		c.rank(bl)
	}
	if len(bl.queue.Ranked()) == 0 || c.zones.Gone(m.Record.Zone) {
		return nil
	}
	free := m.Free()
	elsewhere := bl.preferredRoom(c, m)
	jobs, views := bl.viewed[:0], bl.views[:0]
	suits := func(s *ledger.Spec) bool {
		return s.Demand.Fits(free) && s.Allows(m.Record.Type, m.Record.Zone, m.Record.Spot)
	}
	bl.queue.Each(suits, func(cand ranking.Candidate, alike int) bool {
		j := cand.Job
		s := j.Spec()
		if s == nil || j.Ready() == 0 || !c.startable(bl, j) {
			return true
		}
		if m.Spare != 0 && bl.demand.Idle(c.wall, j) {
			return true // the machine would be kept for that alone
		}
		pending := j.Ready() - elsewhere.take(j, alike)
		if j.Suspect() {
			pending = c.trials(m, j)
		}
		if c.overdue(j) {
			pending = min(pending, 1) // the others have no more right than before
		}
		if pending <= 0 {
			return true
		}
		constrained := 0
		if !m.Record.Spot && !s.Spot {
			constrained = 1 // it can go nowhere else, other work can
		}
		views = append(views, pack.Job{
			Demand:   s.Demand,
			Pending:  pending,
			Work:     float64(j.Record.Tasks-j.Finished()) * bl.demand.Runtime(s).Seconds(),
			Deficit:  c.deficit(bl, j),
			Tier:     2*cand.Tier + constrained,
			Cached:   m.HasImage(s.Image),
			Deferred: j.Suspect(),
		})
		jobs = append(jobs, j)
		return len(jobs) < maxViews
	})
	bl.viewed, bl.views = jobs, views
	var out []fleet.Command
	pack.Fill(m.Type.Capacity, free, views, c.cfg.Pack, func(i int) bool {
		j := jobs[i]
		s := j.Spec()
		if len(out) == MaxStarts || m.Listed+len(out) >= MaxListed || !c.permitsDemand(bl, s.Team, c.limitNeed(bl, j)) || !j.ZonePermits(m.Record.Zone) && c.keeps(guard.ZoneOfJob) {
			return false
		}
		if c.overdue(j) {
			delete(bl.promised, s.Team)
		}
		bl.attempts++
		n := lead.Attempt(bl.token, bl.attempts)
		id := ledger.TaskID{Job: j.ID, Task: j.Take(ledger.Place{Machine: m.Name, Attempt: n, Zone: m.Record.Zone})}
		c.taskOn(bl, m, id, fleet.Attempt{Number: n, Team: s.Team, Demand: s.Demand, Started: c.now})
		out = append(out, fleet.Command{Op: fleet.Start, ID: id, Attempt: n})
		return true
	})
	return out
}

// permits reports whether a team's limit leaves room for one more task.
func (c *Core) permits(bl *block, s *ledger.Spec) bool {
	return c.permitsDemand(bl, s.Team, s.Demand)
}

// permitsDemand reports whether a team's limit leaves room for a demand. Until all machines
// are accounted for, those that are not may be full of its tasks.
func (c *Core) permitsDemand(bl *block, team string, demand pack.Vec) bool {
	t := c.teams[team]
	if t == nil || !c.config.MayStart(team, bl.n) {
		return false
	}
	if bl.hiddenStale {
		bl.hidden, bl.untyped, bl.hiddenStale = pack.Vec{}, false, false
		for name := range bl.unaccounted {
			if m := bl.machines[name]; m != nil && m.Type != nil {
				bl.hidden = bl.hidden.Add(m.Type.Capacity)
			} else {
				bl.untyped = true
			}
		}
	}
	if bl.untyped && t.Limit != (pack.Vec{}) {
		return false
	}
	use := bl.usage[team].Add(demand).Add(bl.hidden)
	return withinLimit(c.part(bl, t.Limit), use)
}

// room is free room on machines that are preferred to the one at hand.
type room struct {
	machines []*fleet.Machine
	free     []pack.Vec
	full     map[int]bool // for which tasks nothing is left: it only shrinks
}

// preferredRoom finds the free room that preferred machines are about to
// report. Work that fits there waits for it, so that the others run empty and
// can be returned.
func (bl *block) preferredRoom(c *Core, m *fleet.Machine) *room {
	r := &room{}
	for _, x := range bl.roomy {
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

// take sets room aside for a job's ready tasks, and returns for how many. Jobs that are alike
// in what machines can take their tasks have the same number.
func (r *room) take(j *ledger.Job, alike int) int {
	if r.full[alike] {
		return 0
	}
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
	if left > 0 {
		if r.full == nil {
			r.full = map[int]bool{}
		}
		r.full[alike] = true
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
