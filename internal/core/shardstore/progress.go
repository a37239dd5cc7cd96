package shardstore

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// progressDelay is how long finished tasks wait before they are stored. Their machines remember them until
// they are stored, so nothing is lost if this owner fails.
const progressDelay = 2 * units.Second

// TaskFinished records that a task has finished. If it was the job's last one, the job is closed.
func (w *Writer) TaskFinished(job *jobs.Job, task int) {
	job.Finish(task, w.cfg.Layout)
	w.host.TaskFinished(job.ID, task)
	if job.AllFinished() {
		w.CloseJob(job) // at once, as users wait for it
		return
	}
	w.StoreProgress(job)
}

// StoreProgress schedules a job's marked records to be stored, unless that is already scheduled.
func (w *Writer) StoreProgress(job *jobs.Job) {
	if job.SetDirtySince(w.host.Now()) {
		w.unstoredJobs = append(w.unstoredJobs, job)
	}
}

// StoreAllProgress schedules all finished tasks of a job to be stored again, as the state service may have
// lost them.
func (w *Writer) StoreAllProgress(job *jobs.Job) {
	if job.Finished() == 0 {
		return
	}
	for first := 0; first < job.Record.Tasks; first = w.cfg.Layout.PartFor(first, job.Record.Tasks).End {
		job.MarkDirty(first)
	}
	w.StoreProgress(job)
}

// flushProgress writes the finished tasks that have waited for progressDelay, and returns the remaining
// capacity.
func (w *Writer) flushProgress(capacity int) int {
	for capacity > 0 && len(w.unstoredJobs) > 0 {
		job := w.unstoredJobs[0]
		if w.host.Now()-job.DirtySince < progressDelay {
			break
		}
		w.unstoredJobs = w.unstoredJobs[1:]
		if !job.Active() || job.AllFinished() {
			continue // CloseJob stores the end of the job instead
		}
		for _, first := range job.TakeDirty() {
			capacity--
			w.writeProgress(job, first)
		}
	}
	return capacity
}

// writeProgress stores the finished tasks in the record that begins with the given task. It covers all tasks
// finished by now; tasks that finish before it is sent go into the next write.
func (w *Writer) writeProgress(job *jobs.Job, first int) {
	part := w.cfg.Layout.PartFor(first, job.Record.Tasks)
	key := keys.Progress(job.ID, part.Name)
	value := jobs.Progress{Tasks: job.FinishedRanges(part), Failing: part.Base == 0 && job.FailsEverywhere()}
	// The write is guarded by the job's record, too: once that is final, the progress records are deleted,
	// and a delayed write would leave one that is never deleted.
	w.Write(func(outcome store.Outcome) {
		if outcome != store.OK && outcome != store.TooLarge && job.Active() {
			job.MarkDirty(first)
			w.StoreProgress(job)
		}
	}, []string{key, keys.Job(job.ID)}, store.Change{Key: key, Value: store.Value(value)})
}

// CloseJob stores that a job is done and deletes its records of finished tasks, unless that is already in
// flight. Users see the job as done only once the watch cache shows that it is stored.
func (w *Writer) CloseJob(job *jobs.Job) {
	if !job.Active() || job.Finalizing {
		return
	}
	key := keys.Job(job.ID)
	record := jobs.Record{Status: jobs.Done, Tasks: job.Record.Tasks, FinishedAt: w.host.Wall()}
	changes := []store.Change{{Key: key, Value: record.Encode()}}
	for _, name := range w.cfg.Layout.Names(job.Record.Tasks) {
		progress := keys.Progress(job.ID, name)
		if w.host.Version(progress) != 0 && len(changes) < w.cfg.TxnOps {
			changes = append(changes, store.Change{Key: progress})
		}
	}
	job.SetFinalizing(true)
	write := w.guarded([]string{key}, changes)
	write.First = w.host.HasDependents(job.ID) // dependent jobs start once it is stored
	write.Done = func(store.Outcome, uint64) { job.SetFinalizing(false) }
	w.host.Enqueue(write)
}
