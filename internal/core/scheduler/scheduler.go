// Package scheduler decides which tasks of one shard start on which
// machine, and which tasks are stopped so that others can start.
//
// A decision is a sequence of small steps, each of which filters or ranks:
//
//   - rank (rank.go) orders the jobs that have ready tasks by tier (team in
//     shortfall, nominal quota, priority), then by urgency, then by distance
//     from fair share. It runs a few times per second, not on every heartbeat.
//   - filter (fill.go) selects, for a machine with free capacity, the first ranked jobs
//     whose tasks fit, except for tasks that preferred machines can take (headroom.go).
//   - score (package binpack) combines the Tetris paper's alignment score with the
//     remaining work of the job, among the jobs that pass the fair-share filter.
//   - place (fill.go) starts the tasks that binpack chooses, unless
//     the team's limit or the job's zone constraints forbid it.
//
// If nothing is free, Preempt (preempt.go) stops tasks for a job with
// precedence. EvictIdle and EvictBeforeReclaim (evict.go) empty machines that
// are kept for idle-time work alone or that the cloud is about to reclaim.
//
// The Scheduler owns the queue and the ranking of one shard while a controller owns
// that shard. All of its state can be recomputed from the jobs and machines, so a
// failover loses nothing. The package does not read the clock and does no I/O.
package scheduler

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/units"
)

// Config holds the settings that stay constant while a shard is owned.
type Config struct {
	Shard   int
	Packing binpack.Params
	// HeartbeatDeadline is how long after its last heartbeat
	// a machine is still expected to send another one.
	HeartbeatDeadline units.Microseconds
	Log               *slog.Logger
	// SkippedGuard is a check that is disabled. Only tests set it.
	SkippedGuard guard.Guard
}

// Zones reports the state of the zones that machines are in.
type Zones interface {
	// Reachable reports whether machines of a zone can currently be reached.
	Reachable(zone string) bool
	// DeclaredLost reports whether an operator has declared a zone lost.
	DeclaredLost(zone string) bool
}

// Host is what the scheduler needs from the rest of the controller. Only TaskPlaced and PropagateObjectives
// change state. They must not call the Scheduler, which is in the middle of a decision when it calls them.
type Host interface {
	// Quotas are those of the teams in the configuration in force.
	ranking.Quotas
	// Now returns the monotonic time of the decision.
	Now() units.Microseconds
	// Wall returns the time of day of the decision, which the age and the deadline of a job refer to.
	Wall() units.Microseconds
	// Job returns a known job of any shard, or nil.
	Job(id string) *jobs.Job
	// Machines returns the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// AllRunnable returns the runnable jobs of all shards,
	// the earliest first, or nil if no other shard has any.
	AllRunnable() []*jobs.Job
	// PropagateObjectives passes the deadlines and priorities of jobs on to the jobs that they depend on.
	PropagateObjectives()
	// TooExpensive reports whether a machine costs too much for idle-time work of a job.
	TooExpensive(machine *fleet.Machine, spec *jobs.Spec) bool
	// NextAttempt returns the number of the next attempt. No two attempts
	// of a task share a number, even after a failover of the shard.
	NextAttempt() uint64
	// AttemptsUsedUp reports whether no attempt number is left, so that no task may start.
	AttemptsUsedUp() bool
	// TaskPlaced records that an attempt may run on a machine from now on.
	TaskPlaced(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt)
}

// Scheduler holds the queue of a shard's jobs and the latest ranking.
type Scheduler struct {
	config Config
	host   Host
	quota  *quota.Tracker
	demand *demand.Estimator
	zones  Zones

	queue        ranking.Queue        // active jobs in the order in which they are served
	entitlements ranking.Entitlements // of the jobs, from their teams' nominal quotas
	orderStale   bool                 // jobs were added or removed since the last sort
	nextSortAt   units.Microseconds
	capacity     binpack.Vec      // of all machines that are not being deprovisioned
	shortfall    map[string]int64 // by team: CPU that the team may use before all other teams

	rankedAt         units.Microseconds
	readyUnranked    bool // tasks have become ready since the last ranking
	idleOfferPending bool // a ranking had newly ready tasks that idle machines were not offered yet
	readyTasks       int  // of the ranked jobs
	completionRate   float64
	nominalSince     units.Microseconds     // since when the first of the ranked jobs within their nominal quotas waits; units.MaxTime if there is none
	reserved         map[string]binpack.Vec // by team: part of its limit kept free for the first task of an overdue job
	placedReplicas   map[string]binpack.Vec // by team: demand of the replicas of services that run; nil: not needed by this ranking yet
	preferred        []*fleet.Machine       // machines with free capacity, the most preferred first
	preemptions      map[string]preemption  // by job: the places that stops are making for it

	// Buffers of Fill, reused to avoid allocations.
	headroom   headroom
	candidates []*jobs.Job
	packerJobs []binpack.Job
}

// New returns the scheduler of a shard that has no jobs yet.
func New(config Config, host Host, tracker *quota.Tracker, estimator *demand.Estimator, zones Zones) *Scheduler {
	return &Scheduler{config: config, host: host, quota: tracker, demand: estimator, zones: zones, preemptions: map[string]preemption{}}
}

// Add puts a job of the shard into the queue.
func (s *Scheduler) Add(job *jobs.Job) {
	s.queue.Add(job)
	s.orderStale, s.readyUnranked = true, true
}

// Remove takes a job out of the queue. It does nothing if the job is not queued.
func (s *Scheduler) Remove(job *jobs.Job) {
	s.queue.Remove(job)
	s.orderStale = true
}

// Jobs returns the queued jobs in the order of the last sort,
// the earliest first. The caller must not modify the slice.
func (s *Scheduler) Jobs() []*jobs.Job { return s.queue.Jobs() }

// Steps returns the number of jobs and equivalence classes examined so far. It measures the cost
// of scheduling independently of the machine that runs it (TestHeartbeatSteps in internal/core).
func (s *Scheduler) Steps() uint64 { return s.queue.Steps() }

// TasksReady records that tasks have become ready that the ranking does not include.
func (s *Scheduler) TasksReady() { s.readyUnranked = true }

// Reconfigured records that teams, limits or objectives have
// changed, so that a raised limit takes effect immediately.
func (s *Scheduler) Reconfigured() { s.nextSortAt, s.readyUnranked = 0, true }

// Tick sorts the jobs once per second and reports whether it did so.
func (s *Scheduler) Tick() bool {
	now := s.host.Now()
	if now < s.nextSortAt {
		return false
	}
	s.nextSortAt = now + units.Second
	s.sort()
	return true
}
