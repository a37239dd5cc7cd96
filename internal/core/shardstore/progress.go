package shardstore

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// progressAge is how long finished tasks wait to be stored: their machines remember them until
// then, so that nothing is lost if this owner ends.
const progressAge = 2 * units.Second

// TaskFinished takes in that a task is done. A job is closed with its last one.
func (w *Writer) TaskFinished(job *jobs.Job, task int) {
	job.Finish(task, w.cfg.Layout)
	w.host.TaskFinished(job.ID, task)
	if job.AllFinished() {
		w.CloseJob(job) // users wait for it
		return
	}
	w.StoreProgress(job)
}

// StoreProgress has a job's marked records stored soon, unless that is planned already.
func (w *Writer) StoreProgress(job *jobs.Job) {
	if job.AwaitStorage(w.host.Now()) {
		w.unstoredJobs = append(w.unstoredJobs, job)
	}
}

// StoreAllProgress has all of a job's finished tasks stored again, as the state service may
// have lost them.
func (w *Writer) StoreAllProgress(job *jobs.Job) {
	if job.Finished() == 0 {
		return
	}
	for first := 0; first < job.Record.Tasks; first = w.cfg.Layout.Of(first, job.Record.Tasks).End {
		job.MarkDirty(first)
	}
	w.StoreProgress(job)
}

// flushProgress writes the finished tasks that have waited for long enough, and returns the
// capacity left.
func (w *Writer) flushProgress(capacity int) int {
	for capacity > 0 && len(w.unstoredJobs) > 0 {
		job := w.unstoredJobs[0]
		if w.host.Now()-job.DirtySince < progressAge {
			break
		}
		w.unstoredJobs = w.unstoredJobs[1:]
		if !job.Active() || job.AllFinished() {
			continue // its end is stored instead
		}
		for _, first := range job.TakeDirty() {
			capacity--
			w.writeProgress(job, first)
		}
	}
	return capacity
}

// writeProgress stores the finished tasks of the record that begins with a task. It covers all
// that is finished now; what is added before it is sent goes into the next one.
func (w *Writer) writeProgress(job *jobs.Job, first int) {
	part := w.cfg.Layout.Of(first, job.Record.Tasks)
	key := keys.Progress(job.ID, part.Name)
	value := jobs.Progress{Tasks: job.FinishedRanges(part), Failing: part.Base == 0 && job.FailsEverywhere()}
	// The job's record is guarded as well: once that is final, those of its progress are
	// deleted, and one that came late would stay for good.
	w.Write(func(outcome store.Outcome) {
		if outcome != store.OK && outcome != store.TooLarge && job.Active() {
			job.MarkDirty(first)
			w.StoreProgress(job)
		}
	}, []string{key, keys.Job(job.ID)}, store.Change{Key: key, Value: store.Value(value)})
}

// CloseJob stores that a job is done, and deletes its records of finished tasks, unless that is
// under way. Users are told only once the copy shows that it is stored.
func (w *Writer) CloseJob(job *jobs.Job) {
	if !job.Active() || job.Closing {
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
	job.SetClosing(true)
	write := w.guarded([]string{key}, changes)
	write.First = w.host.HasDependents(job.ID) // those that wait for it start once that is stored
	write.Done = func(store.Outcome, uint64) { job.SetClosing(false) }
	w.host.Enqueue(write)
}
