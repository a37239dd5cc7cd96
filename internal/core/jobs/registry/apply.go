package registry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
)

// ApplyRecord applies a job's stored record or its removal: a new job, a move to another shard, or the job's
// end. If the job spec is stored in chunks, the record takes effect once all chunks have been applied.
func (r *Registry) ApplyRecord(id string, event store.Event) error {
	if event.Value == nil {
		r.recordRemoved(id)
		return nil
	}
	record, err := jobs.DecodeRecord(event.Value)
	if err != nil {
		return fmt.Errorf("job record: %w", err)
	}
	job := r.all[id]
	if record.Chunks > 0 && job == nil {
		if complete, err := r.chunks.Join(id, &record, event); err != nil || !complete {
			return err
		}
	}
	r.chunks.RecordApplied(id)
	if job == nil {
		job = r.add(id, record, event.Stamp)
	}
	if record.Status == jobs.Cancelled {
		r.host.CancellationObserved(event)
	}
	if record.Status.Final() {
		r.finalize(job, record, event.Stamp)
		return nil
	}
	job.RecordStored(event.Stamp)
	// A job that was cancelled through a dependency stays cancelled, whatever its own record says.
	if job.Active() && record.Shard != job.Record.Shard {
		r.host.JobLeavesShard(job)
		job.AssignToShard(record.Shard)
		r.schedule(job)
	}
	return nil
}

// add registers a job that was not known before.
func (r *Registry) add(id string, record jobs.Record, version uint64) *jobs.Job {
	job := &jobs.Job{ID: id, Version: version, Record: record}
	r.all[id] = job
	job.ClearPlacements()
	if job.Active() {
		r.active[id] = job
		r.link(job)
	}
	return job
}

// link adds a new active job to the dependency graph. The job joins its shard if it
// may start, and is cancelled if one of its dependencies is cancelled.
func (r *Registry) link(job *jobs.Job) {
	job.Objectives = r.ownObjectives(job)
	if cancelledBy := r.dependencies.Link(job, r.all, r.host.WallClock()); cancelledBy != "" {
		job.Cancel(cancelledBy)
		r.cancelledThroughDependency(job)
		r.finalized(job)
		return
	}
	if job.OpenDependencies > 0 {
		r.cfg.Log.Info("job waits for its dependencies", "job", job.ID, "dependencies", len(job.Spec().Awaits), "not_done", job.OpenDependencies)
	}
	r.schedule(job)
}

// schedule hands a job without open dependencies to its shard.
func (r *Registry) schedule(job *jobs.Job) {
	if job.OpenDependencies == 0 {
		r.runnable.Add(job)
		r.host.JobRunnable(job)
	}
}

// finalize applies a final record.
func (r *Registry) finalize(job *jobs.Job, record jobs.Record, version uint64) {
	if job.Active() {
		r.host.JobFinalizing(job, record.Status)
	}
	job.FinalizeByRecord(record, version)
	delete(r.pendingCleanup, job.ID)
	r.finalized(job)
}

// finalized updates the registry for a job that has become final: its
// dependents may start, or are cancelled too.
func (r *Registry) finalized(job *jobs.Job) {
	r.deactivate(job)
	if r.chunks.HasChunks(job.ID) {
		r.pendingCleanup[job.ID] = true
	}
	ready, cancelled := r.dependencies.JobFinalized(job, r.host.WallClock())
	for _, dependent := range cancelled {
		r.deactivate(dependent)
		r.cancelledThroughDependency(dependent)
	}
	for _, dependent := range ready {
		r.cfg.Log.Info("dependencies of the job are done", "job", dependent.ID, "last", job.ID)
		r.schedule(dependent)
	}
}

func (r *Registry) deactivate(job *jobs.Job) {
	delete(r.active, job.ID)
	r.runnable.Remove(job)
	r.host.JobFinalized(job.ID)
}

// cancelledThroughDependency schedules the storing of a cancellation that follows
// from a dependency's. Every controller derives the cancellation from the stored
// records; garbage collection writes it to the job's own record later.
func (r *Registry) cancelledThroughDependency(job *jobs.Job) {
	r.cfg.Log.Info("job cancelled because a dependency was cancelled", "job", job.ID, "dependency", job.CancelledBy)
	r.pendingCleanup[job.ID] = true
}

// recordRemoved applies the removal of a job's record, which means that the job has been archived. Records
// of active jobs, and of jobs whose cancellation through a dependency is not stored yet, are never removed.
func (r *Registry) recordRemoved(id string) {
	job := r.all[id]
	if job == nil || job.Active() || job.CancelledBy != "" {
		return
	}
	r.host.JobArchived(job)
	if job.Placed() > 0 {
		job.MarkArchived() // it is kept for its tasks until their machines no longer report them
		return
	}
	delete(r.all, id)
}

// ApplyProgress applies a stored record of finished tasks. name has the form
// JOB/NUMBER. Records of unknown and of final jobs are ignored.
func (r *Registry) ApplyProgress(name string, event store.Event) error {
	id, chunk, isRecord := strings.Cut(name, "/")
	job := r.all[id]
	number, err := strconv.Atoi(chunk)
	if event.Value == nil || job == nil || !job.Active() || !isRecord {
		return nil
	}
	if err != nil || number < 0 || number > jobs.MaxTasks {
		return err
	}
	var record jobs.Progress
	if err := json.Unmarshal(event.Value, &record); err != nil {
		return fmt.Errorf("decode finished tasks: %w", err)
	}
	return job.LoadProgress(number, r.cfg.Layout, record)
}

// ApplyChunk applies a stored chunk of a job spec, or its removal. The job's
// record is stored after its chunks but may be listed before them.
func (r *Registry) ApplyChunk(event store.Event) error {
	if event.Value == nil {
		r.chunkDeleted(event.Key)
		return nil
	}
	id := chunks.JobID(event.Key)
	job := r.all[id]
	record, waits, err := r.chunks.Apply(r.host.Now(), event, job != nil)
	switch {
	case err != nil:
		return err
	case job != nil && !job.Active():
		r.pendingCleanup[id] = true
	case waits:
		return r.ApplyRecord(id, record)
	}
	return nil
}

// chunkDeleted applies the removal of a chunk.
func (r *Registry) chunkDeleted(key string) {
	if !r.chunks.Delete(key) {
		return
	}
	id := chunks.JobID(key)
	if job := r.all[id]; job != nil && job.CancelledBy == "" {
		delete(r.pendingCleanup, id)
	}
}
