package core

import (
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/jobs/registry"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// jobsHost implements registry.Host: it gives the registry of jobs access to this controller.
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

// JobFinalizing implements registry.Host.
func (c jobsHost) JobFinalizing(job *jobs.Job, status jobs.Status) {
	if shard := c.owned[job.Record.Shard]; shard != nil {
		shard.jobFinished(c.Core, job, status)
	}
}

// JobFinalized implements registry.Host. It marks the job for later archiving.
func (c jobsHost) JobFinalized(id string) { c.archive.JobFinalized(c.now, id) }

// JobArchived implements registry.Host.
func (c jobsHost) JobArchived(job *jobs.Job) { c.archive.JobArchived(job) }

// CancellationObserved implements registry.Host. A cancellation that the watch cache already covered is known
// to every controller that has read up to the same revision, so it need not be sent to the others.
func (c jobsHost) CancellationObserved(record store.Event) {
	if record.Stamp > c.cache.Revision {
		c.cancellations.Record(record)
	}
}
