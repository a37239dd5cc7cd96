package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/renting"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/unit"
)

// yields reports whether a job uses what room is left, and keeps its progress
// when it makes room: stopping its tasks costs little.
func yields(j *ledger.Job) bool { return j.Aims.Priority == ledger.Low && j.Spec().Checkpoint > 0 }

const (
	// vacateAfter is how long a machine must have been spare before what runs
	// there by idle time is stopped.
	vacateAfter = 10 * unit.Second
	// vacateRun is how long every such task must have run, so that saving and
	// starting anew stays a small part of the time.
	vacateRun = 30 * unit.Second
)

// vacate stops the tasks of a machine that is kept for nothing but idle-time
// work which keeps its progress, where that work should rather go on elsewhere:
// the machine is dear, or mostly empty. It is returned when it is empty.
func (c *Core) vacate(bl *block, m *fleet.Machine) []fleet.Command {
	if m.Spare == 0 || c.now-m.Spare < vacateAfter || len(m.Tasks) == 0 {
		return nil
	}
	var out []fleet.Command
	roomy := 2*m.Used()[pack.CPU] <= m.Type.Capacity[pack.CPU]
	for _, id := range sortedTasks(m.Tasks) {
		a, j := m.Tasks[id], c.jobs[id.Job]
		if j == nil || !j.Active() || !yields(j) || !bl.demand.Idle(c.wall, j) || a.Ran(c.now) < vacateRun ||
			!roomy && !c.dear(m, j.Spec()) {
			return nil
		}
		if a.State == fleet.Running {
			out = append(out, fleet.Command{Op: fleet.Stop, ID: id, Attempt: a.Number, Grace: j.Spec().Save})
		}
	}
	return atMost(out, MaxStops)
}

// dear reports whether a machine costs too much for idle-time work.
func (c *Core) dear(m *fleet.Machine, s *ledger.Spec) bool {
	return scale.Dear(renting.PoolOf(m), c.fitting(s), s.Spot, c.types)
}
