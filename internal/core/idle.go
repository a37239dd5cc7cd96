package core

import (
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/units"
)

// isPreemptible reports whether a job uses what room is left, and keeps its progress
// when it makes room: stopping its tasks costs little.
func isPreemptible(j *jobs.Job) bool {
	return j.Objectives.Priority == jobs.Low && j.Spec().Checkpoint > 0
}

const (
	// vacateAfter is how long a machine must have been spare before what runs
	// there by idle time is stopped.
	vacateAfter = 10 * units.Second
	// vacateRun is how long every such task must have run, so that saving and
	// starting anew stays a small part of the time.
	vacateRun = 30 * units.Second
)

// evictIdle stops the tasks of a machine that is kept for nothing but idle-time
// work which keeps its progress, where that work should rather go on elsewhere:
// the machine is dear, or mostly empty. It is returned when it is empty.
func (c *Core) evictIdle(shard *ownedShard, m *fleet.Machine) []fleet.Command {
	if m.Spare == 0 || c.now-m.Spare < vacateAfter || len(m.Tasks) == 0 {
		return nil
	}
	var out []fleet.Command
	roomy := 2*m.Used()[binpack.CPU] <= m.Type.Capacity[binpack.CPU]
	for _, id := range m.TaskIDs() {
		a, j := m.Tasks[id], c.jobs.Get(id.Job)
		if j == nil || !j.Active() || !isPreemptible(j) || !shard.demand.Idle(c.wall, j) || a.Ran(c.now) < vacateRun ||
			!roomy && !c.expensive(m, j.Spec()) {
			return nil
		}
		if a.State == fleet.Running {
			out = append(out, fleet.Command{Op: fleet.Stop, ID: id, Attempt: a.Number, Grace: j.Spec().Save})
		}
	}
	return fleet.AtMost(out, MaxStops)
}

// expensive reports whether a machine costs too much for idle-time work.
func (c *Core) expensive(m *fleet.Machine, s *jobs.Spec) bool {
	return autoscaler.Dear(provisioner.PoolOf(m), c.compatibleTypes(s), s.Spot, c.types)
}
