// Package registry owns the jobs that a controller knows: all jobs, the active ones, the runnable ones in the
// order in which they could first start, the dependencies between them, the chunks of long job specs, and
// what is still to be deleted or stored for final jobs. No other package writes any of these.
//
// Changes of the state service are applied by ApplyRecord, ApplyProgress and ApplyChunk, in the order of the
// watch cache. Consequences for the rest of the controller are reported through Host. The life cycle of a
// job is in apply.go, cleanup after it in garbage.go, and the propagation of deadlines and priorities along
// dependencies in objectives.go. The package is deterministic and has no clock of its own.
package registry

import (
	"iter"
	"log/slog"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is what the registry needs from its controller. Its methods are called while a record is
// being applied: they may read the registry, but must not apply anything to it.
type Host interface {
	// Now returns the present time of this process's clock, and WallClock the time of day.
	Now() units.Microseconds
	WallClock() units.Microseconds
	// Objectives returns the users' service-level objectives that are in force.
	Objectives() []demand.Objective
	// JobRunnable schedules the job if this controller owns its shard.
	JobRunnable(job *jobs.Job)
	// JobLeavesShard removes the job from its shard before it moves to another.
	JobLeavesShard(job *jobs.Job)
	// JobFinalizing removes the job from its shard, as its record has
	// become final. The job spec is still set.
	JobFinalizing(job *jobs.Job, status jobs.Status)
	// JobFinalized reports that a job is final, by its own record or through a dependency.
	JobFinalized(id string)
	// JobArchived reports that the archiver has removed the record of a final job.
	JobArchived(job *jobs.Job)
	// CancellationObserved reports a record that is a cancellation.
	CancellationObserved(record store.Event)
}

// Config holds the registry's fixed settings.
type Config struct {
	Layout jobs.ProgressLayout // of the progress records
	TxnOps int                 // maximum number of changes in one transaction
	// OrphanAge is how long chunks must have been without a record before they are deleted.
	OrphanAge units.Microseconds
	Log       *slog.Logger
}

// Registry keeps a controller's jobs. Use New to create one.
type Registry struct {
	cfg  Config
	host Host

	all               map[string]*jobs.Job // jobs that are not archived or whose tasks may be running
	active            map[string]*jobs.Job // jobs that are not final
	runnable          ranking.Order        // active jobs without open dependencies
	dependencies      jobs.DependencyGraph
	chunks            *chunks.Store
	pendingCleanup    map[string]bool    // final jobs with a cancellation to store or chunks to delete
	nextPropagationAt units.Microseconds // time of the next propagation of objectives
}

// New returns an empty registry.
func New(cfg Config, host Host) *Registry {
	return &Registry{cfg: cfg, host: host, all: map[string]*jobs.Job{}, active: map[string]*jobs.Job{},
		chunks: chunks.New(), pendingCleanup: map[string]bool{}}
}

// Get returns a job, or nil if no job with this ID is known or its
// record has been archived and none of its tasks may be running.
func (r *Registry) Get(id string) *jobs.Job { return r.all[id] }

// Len returns the number of jobs.
func (r *Registry) Len() int { return len(r.all) }

// ActiveLen returns the number of jobs that are not final.
func (r *Registry) ActiveLen() int { return len(r.active) }

// Active returns the jobs that are not final, in no particular order.
func (r *Registry) Active() iter.Seq[*jobs.Job] { return maps.Values(r.active) }

// ActiveByID returns the jobs that are not final, sorted by ID.
func (r *Registry) ActiveByID() []*jobs.Job {
	sorted := make([]*jobs.Job, 0, len(r.active))
	for _, id := range slices.Sorted(maps.Keys(r.active)) {
		sorted = append(sorted, r.active[id])
	}
	return sorted
}

// Runnable returns the active jobs without open dependencies, ordered by when they could
// first start. The list belongs to the registry and is valid until the next call.
func (r *Registry) Runnable() []*jobs.Job {
	r.runnable.ApplyChanges()
	return r.runnable.Jobs()
}

// Layout returns how the finished tasks of a job are divided among progress records.
func (r *Registry) Layout() jobs.ProgressLayout { return r.cfg.Layout }

// BlockedLen returns the number of jobs that wait for dependencies.
func (r *Registry) BlockedLen() int { return r.dependencies.BlockedLen() }

// HasDependents reports whether any job waits for the job with this ID.
func (r *Registry) HasDependents(id string) bool { return r.dependencies.HasDependents(id) }

// Retained reports whether the record of a final job must stay in the state service. It must if an
// unfinished job's spec names it, since whoever reads that spec must also be able to read how the
// named job ended, or if something of the job is still to be stored or deleted.
func (r *Registry) Retained(id string) bool {
	return r.dependencies.Referenced(id) || r.chunks.HasChunks(id) || r.pendingCleanup[id]
}

// TaskRemoved drops an archived job once none of its tasks may be running.
func (r *Registry) TaskRemoved(job *jobs.Job) {
	if job.Archived && job.Placed() == 0 {
		delete(r.all, job.ID)
	}
}
