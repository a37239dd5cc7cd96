// Package registry owns the jobs that a controller knows: all of them, those that are active, those
// that may start in the order in which they could, who depends on whom, the chunks of long
// descriptions, and what is left in the state service of jobs that are over. Nobody else writes
// any of these.
//
// What is learnt from the state service comes in by LearnRecord, LearnProgress and LearnChunk, in the
// order of the copy; what follows for the rest of the controller goes out by Host. A job's life
// stands in learn.go, what is deleted behind it in garbage.go, and how deadlines and priorities
// pass along dependencies in objectives.go. The package is pure: it has no clock of its own.
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

// Host is what the registry needs of its controller. Its methods are called in the midst of
// learning a record: they may read the registry, and must not have it learn anything.
type Host interface {
	// Now is the present time of this process, and WallClock the time of day.
	Now() units.Microseconds
	WallClock() units.Microseconds
	// Objectives are the users' service-level objectives that are in force.
	Objectives() []demand.Objective
	// JobRunnable has the owner of the job's shard, if that is this controller, schedule it.
	JobRunnable(job *jobs.Job)
	// JobLeavesShard takes the job from its shard, as another shard is to have it.
	JobLeavesShard(job *jobs.Job)
	// JobCompleting takes the job from its shard, as its record has become final. The job's
	// description is still there.
	JobCompleting(job *jobs.Job, status jobs.Status)
	// JobOver says that a job is final, by its own record or through another.
	JobOver(id string)
	// JobArchived says that the record of a job that is over has been removed by the archiver.
	JobArchived(job *jobs.Job)
	// CancellationLearnt says that a record is a cancellation.
	CancellationLearnt(record store.Event)
}

// Config is what stays the same for the registry's life.
type Config struct {
	Layout jobs.ProgressLayout // of progress records
	TxnOps int                 // changes that one transaction takes
	// OrphanAge is for how long chunks must have been without a record before they are deleted.
	OrphanAge units.Microseconds
	Log       *slog.Logger
}

// Registry keeps jobs. Use New.
type Registry struct {
	cfg  Config
	host Host

	all             map[string]*jobs.Job // those that are not archived
	active          map[string]*jobs.Job // those that are not final
	runnable        ranking.Order        // active ones without open dependencies
	dependencies    jobs.DependencyGraph
	chunks          *chunks.Store
	pendingDeletion map[string]bool    // jobs that are over and of which something is to be deleted
	propagateAt     units.Microseconds // objectives pass along the dependencies not before
}

// New returns a registry that knows no job.
func New(cfg Config, host Host) *Registry {
	return &Registry{cfg: cfg, host: host, all: map[string]*jobs.Job{}, active: map[string]*jobs.Job{},
		chunks: chunks.New(), pendingDeletion: map[string]bool{}}
}

// Get returns a job, or nil where none of that name is known or its record has been archived.
func (r *Registry) Get(id string) *jobs.Job { return r.all[id] }

// Len is the number of jobs.
func (r *Registry) Len() int { return len(r.all) }

// ActiveLen is the number of jobs that are not final.
func (r *Registry) ActiveLen() int { return len(r.active) }

// Active returns the jobs that are not final, in no order.
func (r *Registry) Active() iter.Seq[*jobs.Job] { return maps.Values(r.active) }

// ActiveByID returns the jobs that are not final, by name.
func (r *Registry) ActiveByID() []*jobs.Job {
	sorted := make([]*jobs.Job, 0, len(r.active))
	for _, id := range slices.Sorted(maps.Keys(r.active)) {
		sorted = append(sorted, r.active[id])
	}
	return sorted
}

// Runnable returns the active jobs without open dependencies in the order in which they could
// first start. The list is the registry's own and stands until the next call.
func (r *Registry) Runnable() []*jobs.Job {
	r.runnable.ApplyChanges()
	return r.runnable.Jobs()
}

// Layout says how the finished tasks of a job are divided among progress records.
func (r *Registry) Layout() jobs.ProgressLayout { return r.cfg.Layout }

// Blocked is the number of jobs that wait for others.
func (r *Registry) Blocked() int { return r.dependencies.BlockedLen() }

// Awaited reports whether any job waits for the named one.
func (r *Registry) Awaited(id string) bool { return r.dependencies.HasDependents(id) }

// Retained reports whether the record of a job that is over must stay: an unfinished job's
// description names it, so that whoever learns that one has to learn how this one ended; or
// something of it is yet to be deleted.
func (r *Registry) Retained(id string) bool {
	return r.dependencies.Referenced(id) || r.chunks.HasChunks(id) || r.pendingDeletion[id]
}

// TaskRemoved drops a job whose record has been archived once none of its tasks may be running.
func (r *Registry) TaskRemoved(job *jobs.Job) {
	if job.Archived && job.Placed() == 0 {
		delete(r.all, job.ID)
	}
}
