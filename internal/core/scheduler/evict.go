package scheduler

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// evictAfter is how long a machine must have been spare before idle-time work on it is stopped.
	evictAfter = 10 * units.Second
	// evictRun is the minimum run time of a task on such a machine before it is stopped. It
	// keeps the cost of saving and restarting a small fraction of the run time.
	evictRun = 30 * units.Second
)

// EvictIdle returns the commands that stop the tasks of a spare machine that runs
// only preemptible idle-time work, where that work should continue elsewhere
// because the machine is too expensive or mostly empty. The machine is returned
// to the cloud once it is empty. EvictIdle returns nil if any task must stay.
func (s *Scheduler) EvictIdle(machine *fleet.Machine) []fleet.Command {
	now, wall := s.host.Now(), s.host.Wall()
	if machine.SpareSince == 0 || now-machine.SpareSince < evictAfter || len(machine.Tasks) == 0 {
		return nil
	}
	var stops []fleet.Command
	mostlyEmpty := 2*machine.Used()[binpack.CPU] <= machine.Type.Capacity[binpack.CPU]
	for _, id := range machine.TaskIDs() {
		attempt, job := machine.Tasks[id], s.host.Job(id.Job)
		if job == nil || !job.Active() || !preemptible(job) || !s.demand.IsIdleTime(wall, job) || attempt.Runtime(now) < evictRun {
			return nil
		}
		if !mostlyEmpty && !s.host.TooExpensive(machine, job.Spec()) {
			return nil
		}
		if attempt.State == fleet.Running {
			stops = append(stops, fleet.Command{Op: fleet.Stop, ID: id, Attempt: attempt.Number, Grace: job.Spec().Save})
		}
	}
	return fleet.AtMost(stops, fleet.MaxStops)
}

// EvictBeforeReclaim returns the commands that stop the tasks of a machine that the
// cloud is about to reclaim, if they cannot complete before that. Stopping them
// early lets them start elsewhere now instead of after the machine is lost. A
// task gets the remaining time to save its progress, if that is long enough.
func (s *Scheduler) EvictBeforeReclaim(machine *fleet.Machine) []fleet.Command {
	now := s.host.Now()
	remaining := machine.ReclaimAt - now
	var stops []fleet.Command
	for _, id := range machine.TaskIDs() {
		attempt, job := machine.Tasks[id], s.host.Job(id.Job)
		if job == nil || !job.Active() || job.IsFinished(id.Task) || attempt.State == fleet.Saving {
			continue
		}
		spec := job.Spec()
		if !spec.Service && s.demand.Runtime(spec)-attempt.Runtime(now) <= remaining {
			continue
		}
		grace := units.Microseconds(0)
		if spec.Save > 0 && spec.Save < remaining {
			grace = remaining
		}
		stops = append(stops, fleet.Command{Op: fleet.Stop, ID: id, Attempt: attempt.Number, Grace: grace})
	}
	return fleet.AtMost(stops, fleet.MaxStops)
}
