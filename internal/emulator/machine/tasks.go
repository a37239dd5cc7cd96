package machine

import (
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// task is an attempt of a task that the worker was commanded to start.
type task struct {
	id           jobs.TaskID
	attempt      uint64
	state        fleet.State
	cause        fleet.Cause
	checkpointed bool
	job          *work.Job
	// progress is the run time completed by the time since, on a machine of speed 1. A running task
	// ends at endsAt; a saving task has written its checkpoint at endsAt.
	progress units.Microseconds
	since    units.Microseconds
	endsAt   units.Microseconds
}

// onMachine reports whether the task is running or saving its checkpoint, with its image fetched.
func (t *task) onMachine() bool { return t.state == fleet.Running || t.state == fleet.Saving }

// taskIDs returns the tasks sorted by job, then by number.
func (w *Worker) taskIDs() []jobs.TaskID {
	ids := make([]jobs.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b jobs.TaskID) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Task - b.Task
	})
	return ids
}

// dueTasks returns the tasks whose run or checkpoint is complete, sorted as taskIDs.
func (w *Worker) dueTasks() []jobs.TaskID {
	found := false // most calls find none and can skip the sorting
	for _, t := range w.tasks {
		found = found || t.onMachine() && t.endsAt <= w.now
	}
	if !found {
		return nil
	}
	return slices.DeleteFunc(w.taskIDs(), func(id jobs.TaskID) bool {
		t := w.tasks[id]
		return !t.onMachine() || t.endsAt > w.now
	})
}

// taskDue ends a task whose run or checkpoint is complete.
func (w *Worker) taskDue(t *task) {
	switch {
	case t.state == fleet.Saving:
		t.job.Save(t.id.Task, t.progress)
		t.checkpointed = true
		w.exit(t, fleet.Stopped)
	case w.fault.FailsTasks || t.job.FailsAlways:
		w.exit(t, fleet.Failed)
	default:
		t.job.Finish(t.id.Task)
		w.exit(t, fleet.Completed)
	}
}

// exit ends an attempt. It stays in the heartbeats until a Forget command.
func (w *Worker) exit(t *task, cause fleet.Cause) {
	wasOnMachine := t.onMachine()
	if t.job != nil && t.state != fleet.Exited {
		w.free = w.free.Add(t.job.Spec.Demand)
	}
	t.state, t.cause = fleet.Exited, cause
	if wasOnMachine {
		w.effects = append(w.effects, TaskEnded{t.id, cause == fleet.Completed})
	}
	w.statusChanged = true
	w.cancelUnusedFetches()
}

// endAllTasks ends and forgets all attempts, because the lease has expired or the machine has failed.
func (w *Worker) endAllTasks() {
	for _, id := range w.taskIDs() {
		if t := w.tasks[id]; t.onMachine() {
			if t.state == fleet.Running {
				w.saveLastCheckpoint(t)
			}
			w.effects = append(w.effects, TaskEnded{Task: id})
		}
	}
	w.tasks = map[jobs.TaskID]*task{}
	w.refused = nil
	w.fetches = map[string]*fetch{}
	w.free = w.config.Capacity
}

// execute executes a controller's command.
func (w *Worker) execute(command fleet.Command) {
	t := w.tasks[command.ID]
	switch command.Op {
	case fleet.Start:
		w.start(command, t)
	case fleet.Stop:
		if t != nil && t.attempt == command.Attempt && t.state != fleet.Exited {
			w.stop(t, command.Grace)
		}
	case fleet.Forget:
		w.refused = slices.DeleteFunc(w.refused, func(r *task) bool { return r.id == command.ID && r.attempt == command.Attempt })
		if t != nil && t.attempt == command.Attempt && t.state == fleet.Exited {
			delete(w.tasks, command.ID)
			w.statusChanged = true
		}
	}
}

// start starts an attempt or refuses it. A repeated command is ignored.
func (w *Worker) start(command fleet.Command, old *task) {
	if old != nil && old.attempt == command.Attempt ||
		slices.ContainsFunc(w.refused, func(r *task) bool { return r.id == command.ID && r.attempt == command.Attempt }) {
		return
	}
	started := &task{id: command.ID, attempt: command.Attempt, state: fleet.Exited}
	w.statusChanged = true
	if old != nil && old.state != fleet.Exited {
		started.cause = fleet.Busy
		if len(w.refused) < maxRefused {
			w.refused = append(w.refused, started)
		}
		return
	}
	w.tasks[command.ID] = started
	uploaded := w.uploads[command.ID.Job]
	switch {
	case uploaded == nil || command.ID.Task >= uploaded.Spec.Tasks:
		started.cause = fleet.Unknown
		return
	case !uploaded.Spec.Demand.Fits(w.free):
		started.cause = fleet.NoCapacity
		return
	}
	started.job, started.state = uploaded, fleet.Fetching
	w.free = w.free.Sub(uploaded.Spec.Demand)
	if _, ok := w.imageSizes[uploaded.Spec.Image]; ok {
		w.startRunning(started)
		return
	}
	if w.fetches[uploaded.Spec.Image] == nil {
		w.fetches[uploaded.Spec.Image] = &fetch{uploaded.Spec.Image, float64(uploaded.Spec.ImageMB), uploaded.Spec.ImageMB}
	}
}

// startRunning starts a task whose image is on the machine, from its checkpoint.
func (w *Worker) startRunning(t *task) {
	w.touchImage(t.job.Spec.Image, t.job.Spec.ImageMB)
	t.state, t.since, t.progress = fleet.Running, w.now, t.job.Saved(t.id.Task)
	w.effects = append(w.effects, TaskStarted{t.id})
	w.scheduleEnd(t)
	w.statusChanged = true
}

// scheduleEnd sets the time at which a running task ends.
func (w *Worker) scheduleEnd(t *task) {
	switch {
	case t.job.Finished(t.id.Task): // a task that has completed before completes immediately
		t.endsAt = w.now
	case t.job.Spec.Service && !t.job.FailsAlways && !w.fault.FailsTasks:
		t.endsAt = units.MaxTime
	default:
		left := max(t.job.RunOf(t.id.Task)-t.progress, 0)
		if t.job.FailsAlways || w.fault.FailsTasks {
			left = min(left, failsWithin)
		}
		t.endsAt = w.now + units.Microseconds(float64(left)/max(w.fault.Speed, 0.01))
	}
}

// progressOf returns the progress of a running task, as run time on a machine of speed 1.
func (w *Worker) progressOf(t *task) units.Microseconds {
	return t.progress + units.Microseconds(float64(max(w.now-t.since, 0))*w.fault.Speed)
}

// stop stops a task. A task with checkpoints writes one first if the grace period is long enough.
func (w *Worker) stop(t *task, grace units.Microseconds) {
	s := t.job.Spec
	if t.state == fleet.Running && s.Checkpoint > 0 && grace >= s.Save {
		t.progress = w.progressOf(t)
		t.state, t.endsAt = fleet.Saving, w.now+s.Save
		w.statusChanged = true
		return
	}
	if t.state == fleet.Saving && grace > 0 {
		return
	}
	if t.state == fleet.Running && s.Checkpoint > 0 {
		w.saveLastCheckpoint(t)
	}
	w.exit(t, fleet.Stopped)
}

// saveLastCheckpoint saves the progress that a task had at its last periodic checkpoint.
func (w *Worker) saveLastCheckpoint(t *task) {
	if every := t.job.Spec.Checkpoint; every > 0 {
		t.job.Save(t.id.Task, w.progressOf(t)/every*every)
	}
}
