package core

import (
	"net/http"
	"slices"
	"sort"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/scheduler"
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
	if !m.Newer(r) && c.guarded(guard.HeartbeatOrder) {
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
	if void := m.Expired; slices.ContainsFunc(r.Tasks, void) && c.guarded(guard.ExpiredAttempts) {
		// The machine's lease ran out after these were started, and they ended with it: the
		// report was sent before, and a cut held it back. Taken for true it would call tasks
		// back that have been started elsewhere since (docs/incidents/2026-12-01-held-back.md).
		c.log.Debug("late report of a machine whose lease had run out", "machine", m.Name)
		late := *r
		late.Tasks = slices.DeleteFunc(slices.Clone(r.Tasks), void)
		r = &late
	}
	m.AcceptHeartbeat(now, now+c.leaseBound(), r)
	if r.FencingToken == shard.fencingToken || !c.guarded(guard.HeartbeatToken) {
		// The worker has taken an answer of this term, so that it drops every
		// answer of earlier ones: its list shows all that can be there. A report
		// without our token proves nothing, as it may have been under way while
		// an earlier holder started tasks.
		orders.Commands = c.reconcile(shard, m, r)
		shard.reconciled(c, m)
		if m.Notice != units.Never {
			orders.Commands = append(orders.Commands, c.evictBeforeNotice(shard, m)...)
		} else if m.Schedulable() {
			orders.Commands = append(orders.Commands, shard.scheduler.Fill(m)...)
			orders.Commands = append(orders.Commands, shard.scheduler.Preempt(m)...)
			if len(orders.Commands) == 0 {
				orders.Commands = shard.scheduler.EvictIdle(m)
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
			orders.Commands = append(orders.Commands, shard.scheduler.Fill(m)...)
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
	if shard.provisioner.Deprovisioned(r.Machine) && c.guarded(guard.DeprovisionedMachine) {
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
	g := c.shardRecords.Assignment(k)
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
	offer := shard.scheduler.OfferIdle()
	if offer {
		sort.SliceStable(shard.pendingHeartbeats, func(a, b int) bool {
			return scheduler.Preferred(shard.pendingHeartbeats[a].machine, shard.pendingHeartbeats[b].machine)
		})
	}
	kept := shard.pendingHeartbeats[:0]
	for _, h := range shard.pendingHeartbeats {
		var cmds []fleet.Command
		if offer && h.machine.Schedulable() {
			cmds = shard.scheduler.Fill(h.machine)
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
			shard.attribution.TaskFailed(m, j, a)
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
			shard.attribution.JobWorks(j)
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
