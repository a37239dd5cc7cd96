package core

import (
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/units"
)

// schedulerHost implements scheduler.Host, quarantine.Host and ranking.Quotas: it gives a shard's scheduler
// and its attribution of task failures access to the controller and the shard.
type schedulerHost struct {
	core  *Core
	shard *ownedShard
}

// Now implements scheduler.Host and quarantine.Host.
func (h schedulerHost) Now() units.Microseconds { return h.core.now }

// Wall implements scheduler.Host.
func (h schedulerHost) Wall() units.Microseconds { return h.core.wall }

// Job implements scheduler.Host and quarantine.Host.
func (h schedulerHost) Job(id string) *jobs.Job { return h.core.jobs.Get(id) }

// Machines implements scheduler.Host.
func (h schedulerHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// Machine implements quarantine.Host.
func (h schedulerHost) Machine(name string) *fleet.Machine { return h.shard.reconciler.Machine(name) }

// ActiveJobs implements quarantine.Host.
func (h schedulerHost) ActiveJobs() map[string]*jobs.Job { return h.shard.active }

// AllRunnable implements scheduler.Host.
func (h schedulerHost) AllRunnable() []*jobs.Job {
	if h.core.jobs.ActiveLen() <= len(h.shard.active) {
		return nil
	}
	return h.core.jobs.Runnable()
}

// PropagateObjectives implements scheduler.Host.
func (h schedulerHost) PropagateObjectives() { h.core.propagateObjectives(h.shard) }

// Nominal implements ranking.Quotas.
func (h schedulerHost) Nominal(team string) (binpack.Vec, bool) {
	if settings := h.core.teams[team]; settings != nil {
		return settings.Guarantee, true
	}
	return binpack.Vec{}, false
}

// TotalNominal implements ranking.Quotas. Removed teams do not count.
func (h schedulerHost) TotalNominal() (cpu int64, teams int) {
	for _, team := range h.core.cfg.Teams {
		cpu += team.Guarantee[binpack.CPU]
	}
	return cpu, len(h.core.cfg.Teams)
}

// TooExpensive implements scheduler.Host.
func (h schedulerHost) TooExpensive(machine *fleet.Machine, spec *jobs.Spec) bool {
	return autoscaler.TooExpensive(provisioner.PoolOf(machine), h.core.compatibleTypes(spec), spec.Spot, h.core.types)
}

// NextAttempt implements scheduler.Host.
func (h schedulerHost) NextAttempt() uint64 {
	h.shard.attempts++
	return authority.AttemptNumber(h.shard.fencingToken, h.shard.attempts)
}

// AttemptsUsedUp implements scheduler.Host.
func (h schedulerHost) AttemptsUsedUp() bool { return authority.AttemptsUsedUp(h.shard.attempts) }

// TaskPlaced implements scheduler.Host.
func (h schedulerHost) TaskPlaced(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt) {
	h.shard.reconciler.Place(machine, id, attempt)
}

// StoreFailing implements quarantine.Host.
func (h schedulerHost) StoreFailing(job *jobs.Job) {
	job.MarkDirty(0)
	h.shard.writer.StoreProgress(job)
}

// TasksReady implements quarantine.Host.
func (h schedulerHost) TasksReady() { h.shard.scheduler.TasksReady() }
