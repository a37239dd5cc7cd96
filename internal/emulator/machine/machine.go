// Package machine is the model of a worker and of the machine that it runs on: heartbeats, fencing
// tokens, leases and incarnations, commands, images, checkpoints, as the protocol describes them.
// It is pure: time, responses and random draws go in, effects come out of Drain.
package machine

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// Times of the protocol.
const (
	// ResponseTimeout is how long a worker waits for the response to a heartbeat.
	ResponseTimeout = 4 * units.Second
	// changeInterval is the least time between heartbeats that are sent because of a change.
	changeInterval = units.Second / 2
	// retryPause is the pause after a heartbeat that failed.
	retryPause = units.Second
)

// maxRefused bounds the refusals that a worker keeps until it is told to forget them.
const maxRefused = 64

// failsWithin is the run time after which a task fails that is bound to.
const failsWithin = 2 * units.Second

// Config describes a machine. It is handed as JSON to workers in processes of their own, under
// the names in the tags.
type Config struct {
	Name, Addr     string
	Type, Zone     string
	Spot           bool
	Capacity       binpack.Vec
	CacheMB        int64
	FetchMBs       int64              // megabytes a second, shared by all fetches
	HeartbeatEvery units.Microseconds `json:"ReportEvery"`
	Lease          units.Microseconds
	Nodes          []string // controllers, in the order in which they are tried
	ClockRate      float64  `json:"Clock"` // of its monotonic clock, about 1; 0 is 1
}

// TaskStarted is an effect: a task is on the machine with its image.
type TaskStarted struct{ Task jobs.TaskID }

// TaskEnded is an effect: a task is no longer on the machine.
type TaskEnded struct {
	Task      jobs.TaskID
	Completed bool
}

// Worker is a machine with its worker.
type Worker struct {
	config  Config
	fault   Fault
	uploads work.Uploads // what users uploaded
	rng     *rand.Rand
	now     units.Microseconds

	controller       int // index of the one that is tried
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseRenewedAt   units.Microseconds // when the last heartbeat that got a response was sent
	reclaimAt        units.Microseconds // when the cloud reclaims the machine, by its notice; MaxTime: no notice
	hungUntil        units.Microseconds
	pending          *pendingResponse // arrived while the machine hung
	inboundCutUntil  units.Microseconds
	outboundCutUntil units.Microseconds

	heartbeatDue    units.Microseconds // the next heartbeat, unless something changes before
	statusChanged   bool
	lastHeartbeat   units.Microseconds
	retryAt         units.Microseconds // no heartbeat before: the pause after a failure
	inFlight        int                // number of the heartbeat under way; 0: none
	sentAt          units.Microseconds
	sentIncarnation uint64             // in which it was sent
	heartbeats      int                // sent so far
	tokenChangedAt  units.Microseconds // when a higher token last counted as a change

	tasks        map[jobs.TaskID]*task
	refused      []*task // refusals that stand beside an attempt of the same task
	free         binpack.Vec
	imagesByUse  []string         // the cache, the most recently used image last
	imageSizes   map[string]int64 // of cached images, in megabytes
	fetches      map[string]*fetch
	fetchedUntil units.Microseconds // up to when fetches have been advanced
	effects      []any
}

// New returns a worker that has just started, in its first incarnation.
func New(config Config, fault Fault, uploads work.Uploads, now units.Microseconds, rng *rand.Rand) *Worker {
	w := &Worker{config: config, fault: fault, uploads: uploads, rng: rng, now: now, incarnation: 1, leaseRenewedAt: now, reclaimAt: units.MaxTime,
		free: config.Capacity, tasks: map[jobs.TaskID]*task{}, imageSizes: map[string]int64{}, fetches: map[string]*fetch{},
		fetchedUntil: now, heartbeatDue: now, lastHeartbeat: now - changeInterval, tokenChangedAt: now - config.Lease}
	if len(config.Nodes) > 0 {
		w.controller = rng.IntN(len(config.Nodes))
	}
	return w
}

// Incarnation returns the present incarnation.
func (w *Worker) Incarnation() uint64 { return w.incarnation }

// Next returns when Advance is next of use.
func (w *Worker) Next() units.Microseconds {
	lease := w.leaseExpiry()
	next := units.MaxTime
	switch {
	case w.inFlight != 0:
		next = min(next, w.sentAt+ResponseTimeout)
	case w.statusChanged:
		next = min(next, max(min(w.heartbeatDue, w.lastHeartbeat+changeInterval), w.retryAt))
	default:
		next = min(next, max(w.heartbeatDue, w.retryAt))
	}
	for _, t := range w.tasks {
		if t.onMachine() {
			next = min(next, t.endsAt)
		}
	}
	if n := len(w.fetches); n > 0 {
		next = min(next, w.fetchedUntil+w.nextFetchDone())
	}
	if w.pending != nil {
		next = w.hungUntil
	}
	return min(lease, max(next, w.hungUntil))
}

// Advance lets time pass.
func (w *Worker) Advance(now units.Microseconds) {
	w.now = max(w.now, now)
	// A machine that hung resumes within its lease or without its tasks: what counts the lease
	// there does not hang with it.
	if w.now >= w.leaseExpiry() {
		w.endAllTasks()
		w.incarnation++
		w.leaseRenewedAt = w.now
		w.statusChanged = true
	}
	if w.now < w.hungUntil {
		return
	}
	if u := w.pending; u != nil {
		w.pending = nil
		if w.inFlight == u.number && w.now < w.sentAt+ResponseTimeout {
			w.applyResponse(u.response)
		}
	}
	w.advanceFetches()
	for _, id := range w.dueTasks() {
		w.taskDue(w.tasks[id])
	}
	if w.inFlight != 0 && w.now >= w.sentAt+ResponseTimeout {
		w.inFlight = 0
		w.tryNextController(retryPause)
	}
	due := w.heartbeatDue
	if w.statusChanged {
		due = min(due, w.lastHeartbeat+changeInterval)
	}
	if w.inFlight == 0 && w.now >= max(due, w.retryAt) && len(w.config.Nodes) > 0 {
		w.sendHeartbeat()
	}
}

// leaseExpiry is when the lease expires, by the simulation's clock; the worker counts it by its
// own.
func (w *Worker) leaseExpiry() units.Microseconds {
	return w.leaseRenewedAt + units.Microseconds(float64(w.config.Lease)/w.clockRate()) + 1
}

func (w *Worker) clockRate() float64 {
	if w.config.ClockRate == 0 {
		return 1
	}
	return w.config.ClockRate
}

// Drain returns the effects since the last call.
func (w *Worker) Drain() []any {
	out := w.effects
	w.effects = nil
	return out
}
