package machine

import (
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Heartbeat is an effect: a heartbeat to be sent to a controller. Pass its response to HandleResponse,
// or report a failure with HeartbeatFailed. Without either the heartbeat times out after
// ResponseTimeout.
type Heartbeat struct {
	Node         string
	Number       int
	Body         *fleet.Heartbeat
	Checkpointed map[jobs.TaskID]bool // stopped tasks whose progress was saved
}

// Response is a controller's response to a heartbeat.
type Response struct {
	Code           int
	RedirectTo     string // the controller named in a 421
	FencingToken   uint64
	NoFencingToken bool // the response had no token; one with status 200 is then ignored
	Commands       []fleet.Command
}

// StartedTasks returns the tasks that the response's commands start.
func (r Response) StartedTasks() (out []jobs.TaskID) {
	for _, c := range r.Commands {
		if c.Op == fleet.Start {
			out = append(out, c.ID)
		}
	}
	return out
}

// pendingResponse is a response that arrived while the machine hung; it is processed after the machine
// resumes.
type pendingResponse struct {
	number   int
	response Response
}

// sendHeartbeat sends the worker's status and schedules the next heartbeat, with jitter.
func (w *Worker) sendHeartbeat() {
	w.heartbeats++
	w.inFlight, w.sentAt, w.sentIncarnation, w.lastHeartbeat = w.heartbeats, w.now, w.incarnation, w.now
	w.statusChanged = false
	w.heartbeatDue = w.now + units.Microseconds(float64(w.config.HeartbeatEvery)*(0.75+0.5*w.rng.Float64()))
	body, saved := w.Status()
	if w.OutboundCut(w.now) {
		return // the connection is never established: the heartbeat times out after ResponseTimeout
	}
	w.effects = append(w.effects, Heartbeat{w.config.Nodes[w.controller], w.heartbeats, body, saved})
}

// Status returns the body of a heartbeat, and the stopped tasks that have saved their progress. Each
// call uses a new sequence number.
func (w *Worker) Status() (*fleet.Heartbeat, map[jobs.TaskID]bool) {
	w.sequence++
	status := &fleet.Heartbeat{Machine: w.config.Name, Addr: w.config.Addr, Type: w.config.Type, Zone: w.config.Zone, Spot: w.config.Spot,
		Incarnation: w.incarnation, Seq: w.sequence, FencingToken: w.fencingToken, ReclaimIn: units.MaxTime}
	if w.reclaimAt != units.MaxTime {
		status.ReclaimIn = max(w.reclaimAt-w.now, 0)
	}
	checkpointed := map[jobs.TaskID]bool{}
	add := func(t *task) {
		status.Tasks = append(status.Tasks, fleet.Task{ID: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
		if t.checkpointed {
			checkpointed[t.id] = true
		}
	}
	for _, id := range w.taskIDs() {
		add(w.tasks[id])
	}
	for _, t := range w.refused {
		add(t)
	}
	return status, checkpointed
}

// HeartbeatFailed reports that a heartbeat got no valid response.
func (w *Worker) HeartbeatFailed(now units.Microseconds, number int) {
	w.Advance(now)
	if w.inFlight == number && number != 0 {
		w.inFlight = 0
		w.tryNextController(retryPause)
	}
}

// tryNextController sends the next heartbeat to the next controller, after a pause.
func (w *Worker) tryNextController(pause units.Microseconds) {
	w.controller = (w.controller + 1) % len(w.config.Nodes)
	w.retryAfter(pause)
}

// retryAfter schedules the next heartbeat after a pause and suppresses earlier ones.
func (w *Worker) retryAfter(pause units.Microseconds) {
	w.retryAt = w.now + pause
	w.heartbeatDue = w.retryAt
}

// HandleResponse processes a controller's response to a heartbeat. A response that arrives after
// ResponseTimeout, or while a later heartbeat is in flight, is dropped. A hung machine processes it
// after it resumes, if that is within ResponseTimeout (TestResponseWhileHung).
func (w *Worker) HandleResponse(now units.Microseconds, number int, response Response) {
	w.Advance(now)
	if w.inFlight != number || number == 0 || w.InboundCut(now) {
		return
	}
	if w.Hung(w.now) {
		w.pending = &pendingResponse{number, response}
		return
	}
	w.applyResponse(response)
}

// applyResponse applies the response to the heartbeat that is in flight.
func (w *Worker) applyResponse(response Response) {
	w.inFlight = 0
	if response.Code == http.StatusMisdirectedRequest {
		if i := slices.Index(w.config.Nodes, response.RedirectTo); i >= 0 && i != w.controller {
			w.controller = i
			w.retryAfter(units.Microseconds(w.rng.Int64N(int64(units.Second / 2))))
			return
		}
	}
	if response.Code != http.StatusOK {
		w.tryNextController(retryPause)
		return
	}
	if response.NoFencingToken || response.FencingToken < w.fencingToken || w.sentIncarnation != w.incarnation {
		return // from a former leader, or for a former incarnation: execute no command, don't renew the lease
	}
	w.observeToken(response.FencingToken)
	w.leaseRenewedAt = max(w.leaseRenewedAt, w.sentAt)
	for _, c := range response.Commands {
		w.execute(c)
	}
}

// observeToken adopts a fencing token if it is higher. A higher token counts as a change, which is
// sent in a heartbeat without waiting for the next interval, at most twice per lease.
func (w *Worker) observeToken(offered uint64) {
	if offered > w.fencingToken && w.now-w.tokenChangedAt >= w.config.Lease/2 {
		w.tokenChangedAt = w.now
		w.statusChanged = true
	}
	w.fencingToken = max(w.fencingToken, offered)
}

// HandleDirect executes commands that a controller sent directly to the machine, and reports whether
// the fencing token and the incarnation were valid. It does not renew the lease.
func (w *Worker) HandleDirect(now units.Microseconds, offered, incarnation uint64, commands []fleet.Command) bool {
	w.Advance(now)
	if offered < w.fencingToken || incarnation != w.incarnation {
		return false
	}
	w.observeToken(offered)
	for _, c := range commands {
		w.execute(c)
	}
	return true
}
