package core

import (
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// jobsHost is what the registry of jobs tells this controller, and asks of it.
type jobsHost struct{ *Core }

var _ registry.Host = jobsHost{}

// Now implements registry.Host.
func (c jobsHost) Now() units.Microseconds { return c.now }

// WallClock implements registry.Host.
func (c jobsHost) WallClock() units.Microseconds { return c.wall }

// Objectives implements registry.Host.
func (c jobsHost) Objectives() []demand.Objective { return c.cfg.Objectives }

// JobRunnable implements registry.Host.
func (c jobsHost) JobRunnable(job *jobs.Job) {
	if shard := c.owned[job.Record.Shard]; shard != nil && shard.ready {
		job.Reset()
		shard.addJob(job)
	}
}

// JobLeavesShard implements registry.Host.
func (c jobsHost) JobLeavesShard(job *jobs.Job) {
	if shard := c.owned[job.Record.Shard]; shard != nil {
		shard.dropJob(job)
	}
}

// JobCompleting implements registry.Host.
func (c jobsHost) JobCompleting(job *jobs.Job, status jobs.Status) {
	if shard := c.owned[job.Record.Shard]; shard != nil {
		shard.jobFinished(c.Core, job, status)
	}
}

// JobOver implements registry.Host: the job is archived some day.
func (c jobsHost) JobOver(id string) { c.archive.JobOver(c.now, id) }

// JobArchived implements registry.Host.
func (c jobsHost) JobArchived(job *jobs.Job) { c.archive.JobArchived(job) }

// CancellationLearnt implements registry.Host. What the copy of the state service's keys already had
// is known to every controller that has read as far.
func (c jobsHost) CancellationLearnt(record store.Event) {
	if record.Stamp > c.cache.Revision {
		c.cancellations.Record(record)
	}
}
