package core

import (
	"math"
	"net/http"
	"slices"
	"sort"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

// Heartbeat takes a worker's report. Only a node whose authority is certain
// answers 200; any other answer would hold the worker while its lease runs out.
func (c *Core) Heartbeat(now units.Microseconds, req RequestID, r *fleet.Heartbeat) {
	c.advance(now)
	c.reachability.HeartbeatReceived()
	c.zones.HeartbeatReceived(r.Zone)
	shard := c.shardOf(req, r)
	if shard == nil {
		return
	}
	c.reachability.HeartbeatAccepted()
	m := shard.machines[r.Machine]
	if m == nil {
		m = c.newMachine(shard, r.Machine, orphanKey(r.Machine), fleet.Record{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, 0)
	}
	orders := HeartbeatResponse{FencingToken: shard.fencingToken}
	if !m.Newer(r) && c.guarded(guard.ReportOrder) {
		c.reply(req, http.StatusOK, orders) // late: nobody waits for this answer
		return
	}
	if m.LastSeen == 0 {
		m.IdleSince = now
		if !m.Record.Up {
			shard.writer.StoreGroup(m.Group, true)
		}
		c.log.Info("machine up", "machine", m.Name, "type", r.Type, "spot", r.Spot, "after_s", (now - m.ProvisionedAt).Seconds())
	}
	if void := m.Expired; slices.ContainsFunc(r.Tasks, void) && c.guarded(guard.VoidAttempts) {
		// The machine's lease ran out after these were started, and they ended with it: the
		// report was sent before, and a cut held it back. Taken for true it would call tasks
		// back that have been started elsewhere since (docs/incidents/2026-12-01-held-back.md).
		c.log.Debug("late report of a machine whose lease had run out", "machine", m.Name)
		late := *r
		late.Tasks = slices.DeleteFunc(slices.Clone(r.Tasks), void)
		r = &late
	}
	m.AcceptHeartbeat(now, now+c.leaseBound(), r)
	if r.FencingToken == shard.fencingToken || !c.guarded(guard.ReportToken) {
		// The worker has taken an answer of this term, so that it drops every
		// answer of earlier ones: its list shows all that can be there. A report
		// without our token proves nothing, as it may have been under way while
		// an earlier holder started tasks.
		orders.Commands = c.reconcile(shard, m, r)
		shard.reconciled(c, m)
		if m.Notice != units.Never {
			orders.Commands = append(orders.Commands, c.evictBeforeNotice(shard, m)...)
		} else if m.Schedulable() {
			orders.Commands = append(orders.Commands, c.fill(shard, m)...)
			orders.Commands = append(orders.Commands, c.preempt(shard, m)...)
			if len(orders.Commands) == 0 {
				orders.Commands = c.evictIdle(shard, m)
			}
			if len(m.Tasks) == 0 && len(r.Tasks) == 0 && len(orders.Commands) == 0 && len(shard.pendingHeartbeats) < maxPendingHeartbeats {
				shard.pendingHeartbeats = append(shard.pendingHeartbeats, pendingHeartbeat{req, m, now + pendingTime})
				return
			}
		}
	} else {
		orders.Commands = c.stopUnknown(shard, r)
		if m.Transferred && m.Schedulable() && m.Notice == units.Never {
			// What may be on it is known without its word, from who has held it last.
			orders.Commands = append(orders.Commands, c.fill(shard, m)...)
		}
	}
	c.answerHeartbeat(shard, m, req, orders)
}

// shardOf finds the block that a machine belongs to. Where this node does not
// hold it, or its authority is not certain, it answers and returns nil.
func (c *Core) shardOf(req RequestID, r *fleet.Heartbeat) *ownedShard {
	k, known := c.machineShard[r.Machine]
	if !known {
		for _, n := range sortedShards(c.owned) {
			if c.owned[n].machines[r.Machine] != nil {
				k, known = n, true // rented, and about to be stored
			}
		}
	}
	shard := c.owned[k] // what nobody knows belongs to the first block
	if shard == nil {
		c.reply(req, http.StatusMisdirectedRequest, Redirect{c.ownerOf(k)})
		return nil
	}
	if shard.releasing && len(shard.pendingHeartbeats) < maxPendingHeartbeats && c.now < c.ValidUntil() {
		// In a moment the next holder is known; told to go away, the worker would not
		// report to it for a second.
		shard.pendingHeartbeats = append(shard.pendingHeartbeats, pendingHeartbeat{request: req, until: c.now + pendingTime})
		return nil
	}
	if !c.Owns(c.now, k) {
		c.reply(req, http.StatusServiceUnavailable, Problem{"no authority at present"})
		return nil
	}
	if r.FencingToken > shard.fencingToken {
		c.reply(req, http.StatusMisdirectedRequest, Redirect{})
		c.readFresh(nil)
		return nil
	}
	if shard.provisioner.Deprovisioned(r.Machine) && c.guarded(guard.ReturnedMachine) {
		// The cloud has said that it is gone: a cut held the report back. Taken for
		// alive, it would keep the tasks that it shows from starting elsewhere.
		c.log.Debug("late report of a returned machine", "machine", r.Machine)
		c.reply(req, http.StatusMisdirectedRequest, Redirect{})
		return nil
	}
	if !known {
		// Whoever has rented it may not have stored that yet: it is adopted only
		// when nobody has for a while.
		since, seen := shard.unknownMachines[r.Machine]
		if !seen && len(shard.unknownMachines) < maxUnknownMachines {
			shard.unknownMachines[r.Machine], since = c.now, c.now
		}
		if !seen || c.now-since < adoptAfter {
			c.reply(req, http.StatusMisdirectedRequest, Redirect{})
			return nil
		}
	}
	delete(shard.unknownMachines, r.Machine)
	return shard
}

// maxUnknownMachines bounds the unknown machines that are remembered.
const maxUnknownMachines = 5000

// ownerOf returns the controller that workers of a block should report to. One
// that seems dead is not named: the workers would wait for it.
func (c *Core) ownerOf(k int) string {
	g := c.assignments[k]
	v := c.peers.views[g.Node]
	if g.Node == "" || v == nil || c.membership.Current(g.Node) != g.MemberID || !c.alive(v) && c.anyPeer() {
		return ""
	}
	return g.Node
}

// pendingHeartbeat is a report of an idle machine, kept unanswered for a moment so
// that work which comes meanwhile starts at once. Nothing can change on such a
// machine, and its lease counts from when the report was sent. The worker
// waits longer than that for an answer, and drops one that comes later still.
type pendingHeartbeat struct {
	request RequestID
	machine *fleet.Machine
	until   units.Microseconds
}

const (
	pendingTime          = 2 * units.Second
	maxPendingHeartbeats = 500
)

// stopUnknown stops the tasks of other blocks' jobs that a machine reports. No
// machine should have any; but should two holders ever take a machine for their
// own, the one that it turns away from counts its tasks as gone when the lease
// must have run out. So an answer that renews the lease must stop them.
func (c *Core) stopUnknown(shard *ownedShard, r *fleet.Heartbeat) []fleet.Command {
	var out []fleet.Command
	for _, t := range r.Tasks {
		if j := c.jobs.Get(t.ID.Job); t.State != fleet.Exited && (j == nil || j.Record.Shard != shard.number) {
			out = append(out, fleet.Command{Op: fleet.Stop, ID: t.ID, Attempt: t.Attempt})
		}
	}
	return fleet.AtMost(out, MaxStops)
}

// answerPending gives new work to machines whose reports are held, the cheapest
// first, and answers those that were held long enough.
func (c *Core) answerPending(shard *ownedShard) {
	if len(shard.pendingHeartbeats) == 0 {
		return
	}
	if shard.newWork && c.now >= shard.rankedAt+shard.queue.Gap() {
		c.rank(shard)
	}
	fresh := shard.pendingStale && len(shard.queue.Ranked()) > 0
	shard.pendingStale = false
	if fresh {
		sort.SliceStable(shard.pendingHeartbeats, func(a, b int) bool {
			return preferred(shard.pendingHeartbeats[a].machine, shard.pendingHeartbeats[b].machine)
		})
	}
	kept := shard.pendingHeartbeats[:0]
	for _, h := range shard.pendingHeartbeats {
		var cmds []fleet.Command
		if fresh && h.machine.Schedulable() {
			cmds = c.fill(shard, h.machine)
		}
		if len(cmds) == 0 && c.now < h.until {
			kept = append(kept, h)
			continue
		}
		h.machine.LeaseEnd = c.now + c.leaseBound()
		c.answerHeartbeat(shard, h.machine, h.request, HeartbeatResponse{FencingToken: shard.fencingToken, Commands: cmds})
	}
	shard.pendingHeartbeats = kept
}

// evictBeforeNotice stops the tasks of a machine that the cloud is about to take, where
// they cannot end before: they start elsewhere now, not when the loss is sure.
func (c *Core) evictBeforeNotice(shard *ownedShard, m *fleet.Machine) []fleet.Command {
	left := m.Notice - c.now
	var out []fleet.Command
	for _, id := range m.TaskIDs() {
		a := m.Tasks[id]
		j := c.jobs.Get(id.Job)
		if j == nil || !j.Active() || j.IsFinished(id.Task) || a.State == fleet.Saving {
			continue
		}
		s := j.Spec()
		if !s.Service && shard.demand.Runtime(s)-a.Ran(c.now) <= left {
			continue
		}
		grace := units.Microseconds(0)
		if s.Save > 0 && s.Save < left {
			grace = left
		}
		out = append(out, fleet.Command{Op: fleet.Stop, ID: id, Attempt: a.Number, Grace: grace})
	}
	return fleet.AtMost(out, MaxStops)
}

// reconcile brings what is known of a machine in line with its report.
//
// A worker has one report in flight, and drops answers to reports it has given
// up. So a start that was sent in an earlier answer and does not show in a
// newer report was never carried out and never will be.
func (c *Core) reconcile(shard *ownedShard, m *fleet.Machine, r *fleet.Heartbeat) []fleet.Command {
	var forget, stop []fleet.Command
	seen := make(map[jobs.TaskID]bool, len(r.Tasks))
	var exited []fleet.Task
	for _, t := range r.Tasks {
		if t.State == fleet.Exited {
			exited = append(exited, t)
			continue
		}
		seen[t.ID] = true
		if c.taskReported(shard, m, t) {
			stop = append(stop, fleet.Command{Op: fleet.Stop, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, t := range exited {
		if c.taskExited(shard, m, t) {
			forget = append(forget, fleet.Command{Op: fleet.Forget, ID: t.ID, Attempt: t.Attempt})
		}
	}
	for _, id := range m.TaskIDs() {
		if !seen[id] {
			c.taskRemoved(shard, m, id)
		}
	}
	return append(fleet.AtMost(forget, MaxForgets), fleet.AtMost(stop, MaxStops)...)
}

// Bounds on the commands of one response; the wire's tests read them here.
const (
	MaxForgets = fleet.MaxForgets
	MaxStops   = fleet.MaxStops
	MaxStarts  = fleet.MaxStarts
	MaxListed  = fleet.MaxListed
)

// taskReported takes in a task that is on a machine, and reports whether it must stop.
func (c *Core) taskReported(shard *ownedShard, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs.Get(t.ID.Job)
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
	c.taskPlaced(shard, m, t.ID, a)
	if j == nil || !j.Active() || j.Record.Shard != shard.number || t.ID.Task >= j.Record.Tasks {
		return true
	}
	p, placed := j.Place(t.ID.Task)
	here := jobs.Place{Machine: m.Name, Attempt: t.Attempt, Zone: m.Record.Zone}
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

// taskExited takes in a task that has exited, and reports whether its machine may
// forget it. A finished task is kept there until it is stored that it is done.
func (c *Core) taskExited(shard *ownedShard, m *fleet.Machine, t fleet.Task) bool {
	j := c.jobs.Get(t.ID.Job)
	if a, ok := m.Tasks[t.ID]; ok && a.Number == t.Attempt && j != nil && j.Active() && !j.IsFinished(t.ID.Task) {
		switch t.Cause {
		case fleet.Failed:
			c.taskFailed(shard, m, j, a)
		case fleet.Unknown, fleet.NoCapacity, fleet.Busy:
			c.log.Warn("start refused", "task", t.ID.String(), "machine", m.Name, "cause", int(t.Cause))
			j.NotBefore = max(j.NotBefore, c.now+units.Second)
		}
	}
	if t.Cause != fleet.Completed || j == nil || !j.Active() || j.Record.Shard != shard.number || t.ID.Task >= j.Record.Tasks {
		return true
	}
	if j.IsStored(t.ID.Task) {
		return true
	}
	if !j.IsFinished(t.ID.Task) {
		m.Proven = true
		if a, ok := m.Tasks[t.ID]; ok && a.Started > m.FailedAt {
			m.Failed, m.Quarantined = nil, false // what it started since then works
		}
		if j.Suspect() {
			c.exonerate(shard, j)
		}
		// What an earlier holder started seems to have run for a shorter time than
		// it has. Counted, it made the others of its job look slow, and their
		// machines with them.
		if a, ok := m.Tasks[t.ID]; ok && a.Live > 0 && !a.Adopted {
			took := c.now - a.Live
			shard.demand.Learn(j.Spec(), took)
			if m.Ran(took, j.MeanRun) {
				c.log.Warn("machine is slow", "machine", m.Name)
			}
			j.Ran(took)
		}
		m.UseImage(j.Spec().Image)
		shard.writer.TaskFinished(j, t.ID.Task)
	}
	return false
}

// maxViews bounds the jobs that are weighed for one machine. They are those
// furthest from fair share in the highest tiers, of those that fit.
const maxViews = 64

// rankEvery is how often the order of jobs and the machines with free room are
// looked at anew: a report looks only at the first few of each.
const rankEvery = units.Second / 4

// rankGap is the least time between, when tasks have become ready. Both are longer where there
// are so many jobs that rankings would take more and more of the processor.
const rankGap = units.Second / 40

// rankDue reports whether jobs should be ranked anew.
func (c *Core) rankDue(shard *ownedShard) bool {
	return c.now >= shard.rankedAt+max(rankEvery, shard.queue.Gap()) || c.reorderDue(shard)
}

// reorderDue reports whether tasks have become ready that the ranking should have soon.
func (c *Core) reorderDue(shard *ownedShard) bool {
	return shard.newWork && c.now >= shard.rankedAt+max(rankGap, shard.queue.Gap())
}

// rank orders the jobs that have ready tasks by tier and distance from fair
// share, and the machines that have free room by preference.
func (c *Core) rank(shard *ownedShard) {
	shard.rankedAt = c.now
	shard.pendingStale = shard.pendingStale || shard.newWork
	shard.newWork = false
	if shard.orderStale || shard.rights.Within == nil {
		c.sortJobs(shard)
	}
	shard.queue.Begin()
	shard.reserved = map[string]binpack.Vec{}
	shard.withHeadroom, shard.readyTasks, shard.finishRate = shard.withHeadroom[:0], 0, 0
	for _, j := range shard.queue.Jobs() {
		s := j.Spec()
		if s == nil {
			continue
		}
		if run := shard.demand.Runtime(s).Seconds(); run > 0 {
			shard.finishRate += float64(j.Placed()) / run
		}
		if j.Ready() > 0 && c.startable(shard, j) {
			shard.readyTasks += j.Trials()
			if _, promised := shard.reserved[s.Team]; !promised && c.reservesQuota(j) {
				shard.reserved[s.Team] = s.Demand
			}
			tier := c.tier(shard, j)*(demand.Urgencies+1) + c.urgency(shard, j)
			shard.queue.Propose(ranking.Candidate{Job: j, Tier: tier, Deficit: c.deficit(shard, j)})
		}
	}
	shard.queue.Finish()
	if len(shard.queue.Ranked()) == 0 {
		return
	}
	for _, m := range shard.machines {
		if m.Schedulable() && m.Notice == units.Never && c.zones.Reachable(m.Record.Zone) && c.now-m.LastSeen <= liveness.HeartbeatDeadline(c.cfg.HeartbeatInterval) && m.Free()[binpack.CPU] > 0 {
			shard.withHeadroom = append(shard.withHeadroom, m)
		}
	}
	sort.Slice(shard.withHeadroom, func(a, b int) bool { return preferred(shard.withHeadroom[a], shard.withHeadroom[b]) })
}

// startable reports whether a job's ready tasks may start in a block at present.
func (c *Core) startable(shard *ownedShard, j *jobs.Job) bool {
	return j.Record.Shard == shard.number && !j.AwaitsReconciliation && !j.Migrating && c.now >= j.NotBefore
}

// deficit is how far a job is from its fair share.
func (c *Core) deficit(shard *ownedShard, j *jobs.Job) float64 {
	s := j.Spec()
	return shard.rights.Share[s.Team] - binpack.Dominant(shard.capacity, s.Demand)*float64(j.Placed())
}

// fill starts tasks on a machine that has reported free room.
func (c *Core) fill(shard *ownedShard, m *fleet.Machine) []fleet.Command {
	if c.rankDue(shard) {
		c.rank(shard)
	}
	if len(shard.queue.Ranked()) == 0 || c.zones.DeclaredLost(m.Record.Zone) {
		return nil
	}
	free := m.Free()
	elsewhere := shard.preferredHeadroom(c, m)
	candidates, views := shard.viewed[:0], shard.views[:0]
	suits := func(s *jobs.Spec) bool {
		return s.Demand.Fits(free) && s.Allows(m.Record.Type, m.Record.Zone, m.Record.Spot)
	}
	shard.queue.Each(suits, func(cand ranking.Candidate, alike int) bool {
		j := cand.Job
		s := j.Spec()
		if s == nil || j.Ready() == 0 || !c.startable(shard, j) {
			return true
		}
		if m.Spare != 0 && shard.demand.Idle(c.wall, j) {
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
		views = append(views, binpack.Job{
			Demand:   s.Demand,
			Pending:  pending,
			Work:     float64(j.Record.Tasks-j.Finished()) * shard.demand.Runtime(s).Seconds(),
			Deficit:  c.deficit(shard, j),
			Tier:     2*cand.Tier + constrained,
			Cached:   m.HasImage(s.Image),
			Deferred: j.Suspect(),
		})
		candidates = append(candidates, j)
		return len(candidates) < maxViews
	})
	shard.viewed, shard.views = candidates, views
	var out []fleet.Command
	binpack.Fill(m.Type.Capacity, free, views, c.cfg.Pack, func(i int) bool {
		j := candidates[i]
		s := j.Spec()
		if len(out) == MaxStarts || m.Listed+len(out) >= MaxListed || !shard.quota.Allows(s.Team, c.limitNeed(shard, j)) || !j.ZoneAllows(m.Record.Zone) && c.guarded(guard.ZoneOfJob) {
			return false
		}
		if c.overdue(j) {
			delete(shard.reserved, s.Team)
		}
		shard.attempts++
		n := authority.AttemptNumber(shard.fencingToken, shard.attempts)
		id := jobs.TaskID{Job: j.ID, Task: j.Take(jobs.Place{Machine: m.Name, Attempt: n, Zone: m.Record.Zone})}
		c.taskPlaced(shard, m, id, fleet.Attempt{Number: n, Team: s.Team, Demand: s.Demand, Started: c.now})
		out = append(out, fleet.Command{Op: fleet.Start, ID: id, Attempt: n})
		return true
	})
	return out
}

// headroom is free room on machines that are preferred to the one at hand.
type headroom struct {
	machines []*fleet.Machine
	free     []binpack.Vec
	full     map[int]bool // for which tasks nothing is left: it only shrinks
}

// preferredHeadroom finds the free room that preferred machines are about to
// report. Work that fits there waits for it, so that the others run empty and
// can be returned.
func (shard *ownedShard) preferredHeadroom(c *Core, m *fleet.Machine) *headroom {
	r := &headroom{}
	for _, x := range shard.withHeadroom {
		if !preferred(x, m) || len(r.machines) == maxPreferred {
			break
		}
		if x == m || !x.Schedulable() || x.Notice != units.Never {
			continue
		}
		if f := x.Free(); f[binpack.CPU] > 0 {
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
	if a, b := x.Type.Capacity[binpack.CPU], m.Type.Capacity[binpack.CPU]; a != b {
		return a < b
	}
	return x.Name < m.Name
}

// take sets room aside for a job's ready tasks, and returns for how many. Jobs that are alike
// in what machines can take their tasks have the same number.
func (r *headroom) take(j *jobs.Job, alike int) int {
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
	if m.Type == nil || m.Type.Capacity[binpack.CPU] == 0 {
		return 0
	}
	return int(math.Round(10 * math.Log(m.Type.Rate(m.Record.Spot)/float64(m.Type.Capacity[binpack.CPU]))))
}
