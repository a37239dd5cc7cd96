// Package node runs the core of a controller as an actor. A single goroutine owns the core and handles the
// messages of an inbox. Other goroutines execute the core's effects.
package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/peer"
	"shalestage.example/shalestage/internal/state"
	"shalestage.example/shalestage/internal/worker"
)

const (
	tickInterval = time.Duration(core.TickInterval) * time.Microsecond
	// Requests are answered within the client's own timeout: workers wait 4 s, users 5 s, or 2 s for a query.
	requestTimeout = 4 * time.Second
	queryTimeout   = 1900 * time.Millisecond
	// leaveDelay is the time before the process exits in which it revokes its lease and sends the responses that
	// are still pending.
	leaveDelay = 200 * time.Millisecond
)

// Capacities of the inbox's queues, in messages. If its queue is full, a request is answered with 503 and a
// retry time at once, and a message from another controller is dropped. Messages between controllers may be lost.
const (
	// userQueueLength is for requests of users. It protects against overload: further requests could not be
	// answered in time.
	userQueueLength = 512
	// heartbeatQueueLength is for one heartbeat from each machine of a full shard, since a machine has at most one
	// in flight, and for as many cancellations and health checks as there can be requests of users.
	heartbeatQueueLength = fleet.FullShardMachines + userQueueLength
	// controlQueueLength is for the snapshot of a full shard, which has at most one part per machine, and for the
	// other messages of controllers and the responses of external services that arrive meanwhile.
	controlQueueLength = fleet.FullShardMachines + 1024
)

// message is a function that the goroutine that owns the core calls.
type message func(c *core.Core, now units.Microseconds)

// Node is a running controller.
type Node struct {
	core      *core.Core
	state     *state.Client
	cloud     *cloud.Client
	workers   *worker.Client
	peers     *peer.Link
	log       *slog.Logger
	startedAt time.Time

	// Queues of the inbox, highest priority first.
	control    chan message // responses of external services, and messages of other controllers
	heartbeats chan message // workers, health checks and cancellations
	users      chan message

	// validUntil is the time on the clock of now at which the authority of this controller ends unless it is
	// extended. Requests to the cloud that act on machines, and probes, are checked against it when they are sent.
	validUntil atomic.Int64

	memoryFull func() bool // nil: memory is never considered full

	// Owned by the goroutine that calls Run.
	lastRequest    core.RequestID
	pendingReplies map[core.RequestID]chan core.Reply
	pendingCommits map[*store.Txn]context.CancelFunc // transactions without a response yet

	inFlightCalls sync.WaitGroup // requests to external services
}

// New returns a node that is idle until Run is called.
func New(c *core.Core, stateClient *state.Client, cloudClient *cloud.Client, workers *worker.Client, peers *peer.Link, log *slog.Logger) *Node {
	return &Node{
		core: c, state: stateClient, cloud: cloudClient, workers: workers, peers: peers, log: log, startedAt: time.Now(),
		control: make(chan message, controlQueueLength), heartbeats: make(chan message, heartbeatQueueLength), users: make(chan message, userQueueLength),
		pendingReplies: map[core.RequestID]chan core.Reply{}, pendingCommits: map[*store.Txn]context.CancelFunc{},
	}
}

// SetMemoryCheck sets a function that reports whether memory is nearly full. While it returns true, the core
// rejects new jobs. SetMemoryCheck must be called before Run.
func (n *Node) SetMemoryCheck(full func() bool) { n.memoryFull = full }

// now returns the time since New was called, on a monotonic clock.
func (n *Node) now() units.Microseconds {
	return units.Microseconds(time.Since(n.startedAt).Microseconds())
}

// Run owns the core until the context is done. It returns after its requests to external services have ended.
//
// Ticks have the highest priority, then the control queue with lease renewals and messages of other controllers,
// then workers, then users. No load from users or workers can therefore cost a controller its authority. As ticks
// come first, a process that was suspended updates the core's clock before it handles queued messages.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer n.inFlightCalls.Wait()
	for lastTick := n.now(); ctx.Err() == nil; {
		if now := n.now(); now-lastTick >= core.TickInterval {
			lastTick = now
			if n.memoryFull != nil {
				n.core.SetMemoryFull(n.memoryFull())
			}
			n.core.Tick(now, units.Microseconds(time.Now().UnixMicro()))
		} else if m := n.nextMessage(ctx, tick.C); m != nil {
			m(n.core, n.now())
		}
		for _, e := range n.core.Drain() {
			n.execute(ctx, e)
		}
		n.validUntil.Store(int64(n.core.ValidUntil()))
	}
}

// nextMessage waits for the message to be handled next. It returns nil if a tick is due or the context is done
// first.
func (n *Node) nextMessage(ctx context.Context, tick <-chan time.Time) message {
	m := n.queuedMessage()
	if m == nil {
		select {
		case <-ctx.Done():
		case m = <-n.control:
		case m = <-n.heartbeats:
		case m = <-n.users:
		case <-tick:
		}
	}
	return m
}

// queuedMessage returns the queued message of the highest priority, or nil if the inbox is empty.
func (n *Node) queuedMessage() message {
	for _, queue := range []chan message{n.control, n.heartbeats, n.users} {
		select {
		case m := <-queue:
			return m
		default:
		}
	}
	return nil
}

// authorized reports whether this controller still has the authority to execute its decisions.
func (n *Node) authorized() bool { return int64(n.now()) < n.validUntil.Load() }

// enqueue adds the response of an external service to the inbox, and blocks while the queue is full. The
// response is lost if the context is done first, but then the core stops too.
func (n *Node) enqueue(ctx context.Context, m message) {
	select {
	case n.control <- m:
	case <-ctx.Done():
	}
}

// Receive adds a message of another controller to the inbox. It does not block: the message is dropped if the
// queue is full.
func (n *Node) Receive(from string, peerMessage any) {
	select {
	case n.control <- func(c *core.Core, now units.Microseconds) { c.OnPeer(now, from, peerMessage) }:
	default:
	}
}

// request passes a request to the core, which replies to its ID.
type request func(c *core.Core, now units.Microseconds, id core.RequestID)

// call sends a request to the core and waits for its reply. If the queue is full it returns a 503 reply at once;
// it also does so after the timeout. A queued request whose caller no longer waits is skipped.
func (n *Node) call(ctx context.Context, queue chan<- message, timeout time.Duration, do request) core.Reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan core.Reply, 1)
	m := func(c *core.Core, now units.Microseconds) {
		if ctx.Err() != nil {
			return
		}
		n.lastRequest++
		n.pendingReplies[n.lastRequest] = replies
		do(c, now, n.lastRequest)
	}
	busy := core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: units.Second}
	select {
	case queue <- m:
	default:
		return busy
	}
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
		return busy
	}
}

// Submit submits a job. If spec is nil, invalid describes why the submission is invalid.
func (n *Node) Submit(ctx context.Context, job string, spec *jobs.Spec, invalid string) core.Reply {
	return n.call(ctx, n.users, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Submit(now, id, job, spec, invalid) })
}

// Query returns the status of a job.
func (n *Node) Query(ctx context.Context, job string) core.Reply {
	return n.call(ctx, n.users, queryTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Query(now, id, job) })
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, job string) core.Reply {
	return n.call(ctx, n.heartbeats, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Cancel(now, id, job) })
}

// Heartbeat handles a worker's heartbeat.
func (n *Node) Heartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) core.Reply {
	return n.call(ctx, n.heartbeats, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Heartbeat(now, id, heartbeat) })
}

// Ready reports whether the controller passes its health check.
func (n *Node) Ready(ctx context.Context) bool {
	r := n.call(ctx, n.heartbeats, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) {
		c.Answer(id, c.Ready(now))
	})
	return r.Code == http.StatusOK
}

// Retire transfers everything that this controller owns to other controllers before the process exits. It
// returns when that is complete or the context is done. Run must keep running meanwhile.
func (n *Node) Retire(ctx context.Context) {
	for done := false; !done && ctx.Err() == nil; {
		n.enqueue(ctx, func(c *core.Core, now units.Microseconds) { c.Retire(now) })
		r := n.call(ctx, n.control, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Answer(id, c.Retired(now)) })
		if done = r.Code == http.StatusOK; !done {
			time.Sleep(tickInterval)
		}
	}
	n.enqueue(context.WithoutCancel(ctx), func(c *core.Core, now units.Microseconds) { c.Leave(now) })
	time.Sleep(leaveDelay)
}

// Configure requests a change of the configuration.
func (n *Node) Configure(ctx context.Context, r configuration.Request) core.Reply {
	return n.call(ctx, n.users, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Configure(now, id, r) })
}

// ConfigContent returns the configuration in effect.
func (n *Node) ConfigContent(ctx context.Context) core.Reply {
	return n.call(ctx, n.users, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigContent(now, id) })
}

// ConfigHistory returns the latest versions of the configuration.
func (n *Node) ConfigHistory(ctx context.Context) core.Reply {
	return n.call(ctx, n.users, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigHistory(now, id) })
}

// ConfigStatus returns the rollout status of a version of the configuration.
func (n *Node) ConfigStatus(ctx context.Context, version uint64) core.Reply {
	return n.call(ctx, n.users, requestTimeout, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigStatus(now, id, version) })
}

// Stats returns the current statistics. ok is false if the controller is too busy to answer.
func (n *Node) Stats(ctx context.Context) (core.Stats, bool) {
	r := n.call(ctx, n.users, requestTimeout, func(c *core.Core, _ units.Microseconds, id core.RequestID) { c.Stats(id) })
	s, ok := r.Body.(core.Stats)
	return s, ok
}
