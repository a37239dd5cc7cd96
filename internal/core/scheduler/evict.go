package scheduler

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// evictAfter is how long a machine must have been spare before the idle-time work there is
	// stopped.
	evictAfter = 10 * units.Second
	// evictRun is how long every such task must have run, so that saving and starting anew stays a
	// small part of the time.
	evictRun = 30 * units.Second
)

// EvictIdle stops the tasks of a machine that is kept for nothing but preemptible idle-time work,
// where that work should rather go on elsewhere: the machine is expensive, or mostly empty. The
// machine is returned to the cloud when nothing runs there any more.
func (s *Scheduler) EvictIdle(machine *fleet.Machine) []fleet.Command {
	now, wall := s.host.Now(), s.host.Wall()
	if machine.SpareSince == 0 || now-machine.SpareSince < evictAfter || len(machine.Tasks) == 0 {
		return nil
	}
	var stops []fleet.Command
	mostlyEmpty := 2*machine.Used()[binpack.CPU] <= machine.Type.Capacity[binpack.CPU]
	for _, id := range machine.TaskIDs() {
		attempt, job := machine.Tasks[id], s.host.Job(id.Job)
		if job == nil || !job.Active() || !preemptible(job) || !s.demand.IsIdleTime(wall, job) || attempt.Ran(now) < evictRun {
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

// EvictBeforeReclaim stops the tasks of a machine that the cloud is about to reclaim, where they cannot
// complete before: they start elsewhere now, not when the loss is sure. A task is given the time that
// remains to save its progress, where that is enough.
func (s *Scheduler) EvictBeforeReclaim(machine *fleet.Machine) []fleet.Command {
	now := s.host.Now()
	remaining := machine.Notice - now
	var stops []fleet.Command
	for _, id := range machine.TaskIDs() {
		attempt, job := machine.Tasks[id], s.host.Job(id.Job)
		if job == nil || !job.Active() || job.IsFinished(id.Task) || attempt.State == fleet.Saving {
			continue
		}
		spec := job.Spec()
		if !spec.Service && s.demand.Runtime(spec)-attempt.Ran(now) <= remaining {
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
