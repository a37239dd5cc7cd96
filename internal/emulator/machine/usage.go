package machine

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Running returns how many tasks are on the machine with their image.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.tasks {
		if t.onMachine() {
			n++
		}
	}
	return n
}

// Usage returns what the tasks take that are on the machine, and those that wait for their
// image.
func (w *Worker) Usage() (running, fetching binpack.Vec) {
	for _, t := range w.tasks {
		switch {
		case t.onMachine():
			running = running.Add(t.job.Spec.Demand)
		case t.state == fleet.Fetching:
			fetching = fetching.Add(t.job.Spec.Demand)
		}
	}
	return running, fetching
}

// FreeCapacity returns what is free, and the tasks that take the rest.
func (w *Worker) FreeCapacity() (free binpack.Vec, taken []jobs.TaskID) {
	for _, id := range w.taskIDs() {
		if w.tasks[id].state != fleet.Exited {
			taken = append(taken, id)
		}
	}
	return w.free, taken
}

// Remaining is a task on a machine, and how much longer it takes.
type Remaining struct {
	Task jobs.TaskID
	Time units.Microseconds
}

// RemainingTimes returns the tasks that are on the machine, in the order of their names, and how
// much longer each runs if nothing stops it.
func (w *Worker) RemainingTimes(now units.Microseconds) (out []Remaining) {
	for _, id := range w.taskIDs() {
		if t := w.tasks[id]; t.onMachine() {
			out = append(out, Remaining{id, t.endsAt - now})
		}
	}
	return out
}
