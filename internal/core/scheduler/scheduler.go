// Package scheduler decides which task of one shard starts on which machine, and which tasks stop
// so that others can start.
//
// A decision is a row of small steps, each of which narrows or ranks:
//
//   - rank (rank.go): orders the jobs that have ready tasks by tier (shortfall of the team, nominal
//     quota, priority), then by urgency, then by distance from fair share. It runs a few times a
//     second, not for each heartbeat.
//   - filter (fill.go): for a machine with free capacity, the first ranked jobs whose tasks fit it,
//     less those that a preferred machine is about to take (headroom.go).
//   - score: package binpack, the paper's alignment blended with remaining work under the
//     fair-share filter.
//   - place (fill.go): what binpack chooses starts, unless the team's limit or the job's zones
//     forbid it.
//
// Where nothing is free, Preempt (preempt.go) stops tasks for a job with a better right to the
// machine. EvictIdle and EvictBeforeNotice (evict.go) empty machines that nothing but idle-time work
// keeps, or that the cloud is about to reclaim.
//
// The Scheduler owns the queue and the ranking of one shard for as long as a controller owns that
// shard; all of it can be computed anew from the jobs and machines, so that a failover loses
// nothing. It has no clock and does no input or output.
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

// Config is what does not change while a shard is owned.
type Config struct {
	Shard   int
	Packing binpack.Params
	// HeartbeatDeadline is for how long after its last heartbeat a machine counts as one that is
	// about to send another.
	HeartbeatDeadline units.Microseconds
	Log               *slog.Logger
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard
}

// Zones is what is known of the zones of machines.
type Zones interface {
	// Reachable reports whether the machines of a zone can be heard at present.
	Reachable(zone string) bool
	// DeclaredLost reports whether an operator has declared a zone lost.
	DeclaredLost(zone string) bool
}

// Host is what the rest of the controller does for the scheduler. Of its methods only TaskPlaced
// and PropagateObjectives change anything; neither may call the Scheduler, whose decision is half
// made then.
type Host interface {
	// Nominal and TotalNominal are of the teams in force.
	ranking.Quotas
	// Now is the steady time at which the decision is made.
	Now() units.Microseconds
	// Wall is the time of day then, from which jobs' ages and deadlines count.
	Wall() units.Microseconds
	// Job returns a known job of any shard, or nil.
	Job(id string) *jobs.Job
	// Machines are the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// AllRunnable returns the runnable jobs of all shards, the earliest first; nil where other
	// shards have none.
	AllRunnable() []*jobs.Job
	// PropagateObjectives passes deadlines and priorities from jobs to those that they depend on.
	PropagateObjectives()
	// TooExpensive reports whether a machine costs too much for idle-time work of a job.
	TooExpensive(machine *fleet.Machine, spec *jobs.Spec) bool
	// NextAttempt returns the number of the next attempt. No two attempts of a task have the same,
	// whoever owns the shard.
	NextAttempt() uint64
	// AttemptsUsedUp reports whether there is no such number left: nothing may start.
	AttemptsUsedUp() bool
	// TaskPlaced takes in that an attempt may run on a machine from now on.
	TaskPlaced(machine *fleet.Machine, id jobs.TaskID, attempt fleet.Attempt)
}

// Scheduler is the queue of a shard's jobs and what was decided by it last.
type Scheduler struct {
	config Config
	host   Host
	quota  *quota.Tracker
	demand *demand.Estimator
	zones  Zones

	queue      ranking.Queue        // active jobs, and the order in which they are served
	entitled   ranking.Entitlements // of the jobs, by their teams' nominal quotas
	orderStale bool                 // jobs have come or gone since they were sorted
	nextSortAt units.Microseconds
	capacity   binpack.Vec      // of all machines that are to stay
	shortfall  map[string]int64 // CPU that teams in shortfall may use before all others

	rankedAt       units.Microseconds
	readyUnranked  bool // tasks have become ready since the last ranking
	rankedUnserved bool // the last rankings had newly ready tasks that idle machines were not offered yet
	readyTasks     int  // of the ranked jobs
	completionRate float64
	reserved       map[string]binpack.Vec // by team: what its limit keeps free for the first task of an overdue job
	preferred      []*fleet.Machine       // those with free capacity, the most preferred first
	preempted      map[string]preemption  // by job: the places that were made for it

	// Of the last call of Fill, kept for their memory.
	headroom   headroom
	candidates []*jobs.Job
	views      []binpack.Job
}

// New returns the scheduler of a shard without jobs.
func New(config Config, host Host, tracker *quota.Tracker, estimator *demand.Estimator, zones Zones) *Scheduler {
	return &Scheduler{config: config, host: host, quota: tracker, demand: estimator, zones: zones, preempted: map[string]preemption{}}
}

// Add puts a job of the shard into the queue.
func (s *Scheduler) Add(job *jobs.Job) {
	s.queue.Add(job)
	s.orderStale, s.readyUnranked = true, true
}

// Remove takes a job out of the queue, if it is there.
func (s *Scheduler) Remove(job *jobs.Job) {
	s.queue.Remove(job)
	s.orderStale = true
}

// Jobs returns the jobs of the queue as they were last sorted, the earliest first. The list is the
// scheduler's own.
func (s *Scheduler) Jobs() []*jobs.Job { return s.queue.Jobs() }

// Steps returns how many jobs and equivalence classes were looked at so far: what scheduling costs,
// in a measure that does not depend on the machine (TestHeartbeatSteps in internal/core).
func (s *Scheduler) Steps() uint64 { return s.queue.Steps() }

// TasksReady notes that there are ready tasks that the ranking does not know of.
func (s *Scheduler) TasksReady() { s.readyUnranked = true }

// Reconfigured notes that teams, limits or objectives have changed: a limit that rose is used at
// once.
func (s *Scheduler) Reconfigured() { s.nextSortAt, s.readyUnranked = 0, true }

// Tick sorts the jobs once a second, and reports whether it did.
func (s *Scheduler) Tick() bool {
	now := s.host.Now()
	if now < s.nextSortAt {
		return false
	}
	s.nextSortAt = now + units.Second
	s.sort()
	return true
}
