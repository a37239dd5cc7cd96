package machine

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Running returns the number of tasks on the machine, without those that wait for their image.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.tasks {
		if t.onMachine() {
			n++
		}
	}
	return n
}

// Usage returns the total demand of the tasks that are running or saving a checkpoint, and of those
// whose image is being fetched.
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

// FreeCapacity returns the free capacity and the tasks that occupy the rest.
func (w *Worker) FreeCapacity() (free binpack.Vec, placed []jobs.TaskID) {
	for _, id := range w.taskIDs() {
		if w.tasks[id].state != fleet.Exited {
			placed = append(placed, id)
		}
	}
	return w.free, placed
}

// Remaining is a task on a machine and its remaining run time.
type Remaining struct {
	Task jobs.TaskID
	Time units.Microseconds
}

// RemainingTimes returns the tasks on the machine, sorted as taskIDs, with the time that each still
// runs if nothing stops it.
func (w *Worker) RemainingTimes(now units.Microseconds) (out []Remaining) {
	for _, id := range w.taskIDs() {
		if t := w.tasks[id]; t.onMachine() {
			out = append(out, Remaining{id, t.endsAt - now})
		}
	}
	return out
}
