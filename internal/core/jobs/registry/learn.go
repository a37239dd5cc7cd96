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

// LearnRecord takes a job's record as the state service has it: a new job, another shard, or the
// job's end. The record of a job with a long description counts once all chunks are there.
func (r *Registry) LearnRecord(id string, event store.Event) error {
	if event.Value == nil {
		r.recordRemoved(id)
		return nil
	}
	record, err := jobs.DecodeRecord(event.Value)
	if err != nil {
		return fmt.Errorf("record of a job: %w", err)
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
		r.host.CancellationLearnt(event)
	}
	if record.Status.Final() {
		r.complete(job, record, event.Stamp)
		return nil
	}
	job.RecordStored(event.Stamp)
	// One that was cancelled through another stays so, whatever its own record says.
	if job.Active() && record.Shard != job.Record.Shard {
		r.host.JobLeavesShard(job)
		job.AssignToShard(record.Shard)
		r.schedule(job)
	}
	return nil
}

// add takes in a job that was not known.
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

// link takes a new active job into the dependency graph. Where it may start, it joins its shard;
// where it depends on a cancelled one, it is cancelled with it.
func (r *Registry) link(job *jobs.Job) {
	job.Objectives = r.ownObjectives(job)
	if by := r.dependencies.Link(job, r.all, r.host.WallClock()); by != "" {
		job.Cancel(by)
		r.cancelledThroughDependency(job)
		r.over(job)
		return
	}
	if job.OpenDependencies > 0 {
		r.cfg.Log.Info("job waits for its dependencies", "job", job.ID, "dependencies", len(job.Spec().Awaits), "not_done", job.OpenDependencies)
	}
	r.schedule(job)
}

// schedule gives a job without open dependencies to its shard.
func (r *Registry) schedule(job *jobs.Job) {
	if job.OpenDependencies == 0 {
		r.runnable.Add(job)
		r.host.JobRunnable(job)
	}
}

// complete takes a final record.
func (r *Registry) complete(job *jobs.Job, record jobs.Record, version uint64) {
	if job.Active() {
		r.host.JobCompleting(job, record.Status)
	}
	job.Complete(record, version)
	delete(r.pendingDeletion, job.ID)
	r.over(job)
}

// over takes in that a job is final: those that depend on it may start, or are cancelled too.
func (r *Registry) over(job *jobs.Job) {
	r.deactivate(job)
	if r.chunks.HasChunks(job.ID) {
		r.pendingDeletion[job.ID] = true
	}
	ready, cancelled := r.dependencies.JobOver(job, r.host.WallClock())
	for _, dependent := range cancelled {
		r.deactivate(dependent)
		r.cancelledThroughDependency(dependent)
	}
	for _, dependent := range ready {
		r.cfg.Log.Info("dependencies of a job are done", "job", dependent.ID, "last", job.ID)
		r.schedule(dependent)
	}
}

func (r *Registry) deactivate(job *jobs.Job) {
	delete(r.active, job.ID)
	r.runnable.Remove(job)
	r.host.JobOver(job.ID)
}

// cancelledThroughDependency notes that a job is cancelled with another. That follows from what is
// stored, here as on every other controller; that its own record comes to say so is left to garbage
// collection.
func (r *Registry) cancelledThroughDependency(job *jobs.Job) {
	r.cfg.Log.Info("job cancelled through a dependency", "job", job.ID, "dependency", job.CancelledBy)
	r.pendingDeletion[job.ID] = true
}

// recordRemoved takes in that the record of a job is no longer stored: it has been archived.
// Records of active jobs, and of those cancelled through another, are removed by nobody.
func (r *Registry) recordRemoved(id string) {
	job := r.all[id]
	if job == nil || job.Active() || job.CancelledBy != "" {
		return
	}
	r.host.JobArchived(job)
	if job.Placed() > 0 {
		job.Archive() // its tasks count until their machines no longer list them
		return
	}
	delete(r.all, id)
}

// LearnProgress takes a record of finished tasks. name is JOB/CHUNK.
func (r *Registry) LearnProgress(name string, event store.Event) error {
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
		return fmt.Errorf("finished tasks: %w", err)
	}
	return job.LoadProgress(number, r.cfg.Layout, record)
}

// LearnChunk takes a chunk of a description, or its removal. Its record is stored later, but may
// be listed earlier.
func (r *Registry) LearnChunk(event store.Event) error {
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
		r.pendingDeletion[id] = true
	case waits:
		return r.LearnRecord(id, record)
	}
	return nil
}

// chunkDeleted notes that a chunk is no longer stored.
func (r *Registry) chunkDeleted(key string) {
	if !r.chunks.Delete(key) {
		return
	}
	id := chunks.JobID(key)
	if job := r.all[id]; job != nil && job.CancelledBy == "" {
		delete(r.pendingDeletion, id)
	}
}
