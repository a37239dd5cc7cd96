package core

import (
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/scheduler"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// reconcileHost implements reconcile.Host, reconcile.JobHost and reconcile.IdleHost: it gives the
// reconciliation of a shard's machines access to the shard.
type reconcileHost struct {
	*Core
	shard *ownedShard
}

// GuardEnabled implements reconcile.Host.
func (h reconcileHost) GuardEnabled(check guard.Guard) bool { return h.guardEnabled(check) }

// Assignment implements reconcile.Host.
func (h reconcileHost) Assignment() uint64 { return h.shard.assignment }

// LeaseBound implements reconcile.Host.
func (h reconcileHost) LeaseBound() units.Microseconds { return h.leaseBound() }

// LastAttempt implements reconcile.Host.
func (h reconcileHost) LastAttempt() uint64 {
	return authority.AttemptNumber(h.shard.fencingToken, h.shard.attempts)
}

// Deprovisioned implements reconcile.Host.
func (h reconcileHost) Deprovisioned(machine string) bool {
	return h.shard.provisioner.Deprovisioned(machine)
}

// InAnotherShard implements reconcile.Host.
func (h reconcileHost) InAnotherShard(machine string) bool {
	number, stored := h.machineShard[machine]
	return stored && number != h.shard.number
}

// Adopt implements reconcile.Host.
func (h reconcileHost) Adopt(heartbeat *fleet.Heartbeat) *fleet.Machine {
	record := fleet.Record{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	return h.newMachine(h.shard, heartbeat.Machine, keys.OrphanMachine(heartbeat.Machine), record, 0)
}

// StoreGroup implements reconcile.Host.
func (h reconcileHost) StoreGroup(group string, urgent bool) {
	h.shard.writer.StoreGroup(group, urgent)
}

// SendProbe implements reconcile.Host.
func (h reconcileHost) SendProbe(probe reconcile.Probe) { h.emit(probe) }

// AllReconciled implements reconcile.Host.
func (h reconcileHost) AllReconciled() {
	for _, job := range h.shard.active {
		job.SetUnreconciled(false)
	}
	h.shard.scheduler.TasksReady()
}

// Job implements reconcile.JobHost.
func (h reconcileHost) Job(id string) *jobs.Job { return h.jobs.Get(id) }

// AttemptRemoved implements reconcile.JobHost.
func (h reconcileHost) AttemptRemoved(job *jobs.Job, moreReady bool) {
	h.jobs.TaskRemoved(job)
	if moreReady {
		h.shard.scheduler.TasksReady()
	}
}

// TaskFailed implements reconcile.JobHost.
func (h reconcileHost) TaskFailed(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	h.shard.attribution.TaskFailed(machine, job, attempt)
}

// TaskSucceeded implements reconcile.JobHost.
func (h reconcileHost) TaskSucceeded(machine *fleet.Machine, job *jobs.Job, attempt fleet.Attempt) {
	h.shard.attribution.TaskSucceeded(machine, job, attempt)
}

// ObserveRuntime implements reconcile.JobHost.
func (h reconcileHost) ObserveRuntime(job *jobs.Job, runtime units.Microseconds) {
	h.shard.demand.ObserveRuntime(job.Spec(), runtime)
}

// TaskCompleted implements reconcile.JobHost.
func (h reconcileHost) TaskCompleted(job *jobs.Job, task int) { h.shard.writer.TaskFinished(job, task) }

// RankReady implements reconcile.IdleHost.
func (h reconcileHost) RankReady() { h.shard.scheduler.RankReady() }

// NewWork implements reconcile.IdleHost.
func (h reconcileHost) NewWork() bool { return h.shard.scheduler.IdleOfferDue() }

// Preferred implements reconcile.IdleHost.
func (h reconcileHost) Preferred(machine, other *fleet.Machine) bool {
	return scheduler.Preferred(machine, other)
}

// Fill implements reconcile.IdleHost.
func (h reconcileHost) Fill(machine *fleet.Machine) []fleet.Command {
	return h.shard.scheduler.Fill(machine)
}

// Respond implements reconcile.IdleHost.
func (h reconcileHost) Respond(request reconcile.RequestID, machine *fleet.Machine, commands []fleet.Command) {
	h.answerHeartbeat(h.shard, machine, RequestID(request), HeartbeatResponse{FencingToken: h.shard.fencingToken, Commands: commands})
}

// Probe is the effect that presents this owner's fencing token to a machine (OnProbe).
type Probe = reconcile.Probe

// OnProbe handles a machine's answer to a Probe.
func (c *Core) OnProbe(now units.Microseconds, probe Probe, outcome store.Outcome, answer *fleet.Heartbeat) {
	c.advance(now)
	if shard := c.ownedWithAssignment(probe.Shard, probe.Assignment); shard != nil {
		shard.reconciler.OnProbe(c.now, probe, outcome, answer)
	}
}

// newMachine adds a machine to a shard and to a stored group, or one that is about to
// be stored. age is the time since the machine was provisioned.
func (c *Core) newMachine(shard *ownedShard, name, group string, record fleet.Record, age units.Microseconds) *fleet.Machine {
	machine := fleet.New(name, record, c.types[record.Type], c.now)
	machine.Group, machine.ProvisionedAt = group, c.now-age
	shard.reconciler.Add(machine)
	shard.writer.AddMachine(group, name, fleet.Group{Shard: shard.number, Type: record.Type, Zone: record.Zone, Spot: record.Spot, ProvisionedAt: c.wall - age})
	return machine
}
