// Package machine models a worker and the machine that it runs on: heartbeats, fencing tokens, leases,
// incarnations, commands, images and checkpoints, as the protocol defines them. It is deterministic
// and does no I/O: time, responses and random numbers are inputs, and Drain returns the effects.
package machine

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// Durations of the protocol.
const (
	// ResponseTimeout is how long a worker waits for the response to a heartbeat.
	ResponseTimeout = 4 * units.Second
	// changeInterval is the minimum time between heartbeats that are sent because of a change.
	changeInterval = units.Second / 2
	// retryPause is the pause after a failed heartbeat.
	retryPause = units.Second
)

// maxRefused bounds the refused attempts that a worker keeps until a Forget command.
const maxRefused = 64

// failsWithin is the maximum run time of a task that is going to fail.
const failsWithin = 2 * units.Second

// Config describes a machine. It is passed as JSON to workers in processes of their own, under the
// names in the tags.
type Config struct {
	Name, Addr     string
	Type, Zone     string
	Spot           bool
	Capacity       binpack.Vec
	CacheMB        int64
	FetchMBs       int64              // megabytes per second, shared by all fetches
	HeartbeatEvery units.Microseconds `json:"ReportEvery"`
	Lease          units.Microseconds
	Nodes          []string // controllers, in the order of attempts
	ClockRate      float64  `json:"Clock"` // rate of its monotonic clock, about 1; 0 means 1
}

// TaskStarted is an effect: a task runs on the machine, with its image fetched.
type TaskStarted struct{ Task jobs.TaskID }

// TaskEnded is an effect: a task no longer runs on the machine.
type TaskEnded struct {
	Task      jobs.TaskID
	Completed bool
}

// Worker models a machine and its worker.
type Worker struct {
	config  Config
	fault   Fault
	uploads work.Uploads // the jobs that users uploaded
	rng     *rand.Rand
	now     units.Microseconds

	controller       int // index of the controller that gets the next heartbeat
	incarnation      uint64
	sequence         uint64
	fencingToken     uint64
	leaseRenewedAt   units.Microseconds // send time of the last heartbeat that got a valid response
	reclaimAt        units.Microseconds // when the cloud reclaims the machine, as announced; MaxTime: no notice
	hungUntil        units.Microseconds
	pending          *pendingResponse // response that arrived while the machine hung
	inboundCutUntil  units.Microseconds
	outboundCutUntil units.Microseconds

	heartbeatDue    units.Microseconds // when the next heartbeat is due if nothing changes before
	statusChanged   bool
	lastHeartbeat   units.Microseconds
	retryAt         units.Microseconds // end of the pause after a failure: no heartbeat is sent before
	inFlight        int                // number of the heartbeat in flight; 0: none
	sentAt          units.Microseconds
	sentIncarnation uint64             // incarnation in which it was sent
	heartbeats      int                // number sent so far
	tokenChangedAt  units.Microseconds // when a higher fencing token last counted as a change

	tasks        map[jobs.TaskID]*task
	refused      []*task // refused attempts of tasks that have another attempt on the machine
	free         binpack.Vec
	imagesByUse  []string         // cached images, the most recently used last
	imageSizes   map[string]int64 // sizes of cached images in megabytes
	fetches      map[string]*fetch
	fetchedUntil units.Microseconds // time up to which fetches have been advanced
	effects      []any
}

// New returns a worker that starts now, in its first incarnation.
func New(config Config, fault Fault, uploads work.Uploads, now units.Microseconds, rng *rand.Rand) *Worker {
	w := &Worker{config: config, fault: fault, uploads: uploads, rng: rng, now: now, incarnation: 1, leaseRenewedAt: now, reclaimAt: units.MaxTime,
		free: config.Capacity, tasks: map[jobs.TaskID]*task{}, imageSizes: map[string]int64{}, fetches: map[string]*fetch{},
		fetchedUntil: now, heartbeatDue: now, lastHeartbeat: now - changeInterval, tokenChangedAt: now - config.Lease}
	if len(config.Nodes) > 0 {
		w.controller = rng.IntN(len(config.Nodes))
	}
	return w
}

// Incarnation returns the current incarnation.
func (w *Worker) Incarnation() uint64 { return w.incarnation }

// Next returns the time at which Advance is due next.
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

// Advance moves the clock to now and processes everything that is due by then.
func (w *Worker) Advance(now units.Microseconds) {
	w.now = max(w.now, now)
	// The lease timer does not stop while the machine hangs: a machine that resumes after its lease
	// has expired has no tasks left.
	if w.now >= w.leaseExpiry() {
		w.endAllTasks()
		w.incarnation++
		w.leaseRenewedAt = w.now
		w.statusChanged = true
	}
	if w.now < w.hungUntil {
		return
	}
	if pending := w.pending; pending != nil {
		w.pending = nil
		if w.inFlight == pending.number && w.now < w.sentAt+ResponseTimeout {
			w.applyResponse(pending.response)
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

// leaseExpiry returns when the lease expires, in simulated time. The worker measures the lease with
// its own clock, which runs at clockRate.
func (w *Worker) leaseExpiry() units.Microseconds {
	return w.leaseRenewedAt + units.Microseconds(float64(w.config.Lease)/w.clockRate()) + 1
}

func (w *Worker) clockRate() float64 {
	if w.config.ClockRate == 0 {
		return 1
	}
	return w.config.ClockRate
}

// Drain returns and clears the effects since the last call.
func (w *Worker) Drain() []any {
	out := w.effects
	w.effects = nil
	return out
}
