// Package node runs a controller's core as an actor: one goroutine owns it,
// takes messages from an inbox, and has its effects executed by others.
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
	tickEvery = time.Duration(core.TickInterval) * time.Microsecond
	// Every request is answered within the time that who asks waits: workers
	// 4 s, users 5 s, or 2 s for a poll.
	answerWithin = 4 * time.Second
	pollWithin   = 1900 * time.Millisecond
	// leaveTime is for the last request, that the lease ends, and for the answers under way.
	leaveTime = 200 * time.Millisecond
)

// Lengths of the inbox's queues, in messages. A request that finds its queue full is answered 503
// at once, with a time to come back; a controller's message is dropped, which all messages may be.
const (
	// userQueueLength bounds the users' requests that wait. It is a guard against overload: more
	// would not be answered in time.
	userQueueLength = 512
	// heartbeatQueueLength has room for a heartbeat of each machine of a full shard, which has one
	// under way, and for as many cancellations and health checks as users' requests.
	heartbeatQueueLength = fleet.FullShardMachines + userQueueLength
	// controlQueueLength has room for the snapshot of a full shard, which has one part for each
	// machine at most, and for all else that other controllers and the services say meanwhile.
	controlQueueLength = fleet.FullShardMachines + 1024
)

// message is handled by the goroutine that owns the core.
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

	// The inbox, by priority.
	control    chan message // the outside services' answers and other controllers
	heartbeats chan message // workers, health checks and cancellations
	users      chan message

	// validUntil is when this node's authority ends, as far as is known, on the clock of now:
	// what goes to the cloud is checked against it when it is sent.
	validUntil atomic.Int64

	memoryFull func() bool // nil: never

	// Of the goroutine that runs Run.
	lastRequest core.RequestID
	waiting     map[core.RequestID]chan core.Reply
	commits     map[*store.Txn]context.CancelFunc // transactions that wait for their answers

	calls sync.WaitGroup // requests to outside services under way
}

// New returns a node that does nothing until Run.
func New(c *core.Core, stateClient *state.Client, cloudClient *cloud.Client, workers *worker.Client, peers *peer.Link, log *slog.Logger) *Node {
	return &Node{
		core: c, state: stateClient, cloud: cloudClient, workers: workers, peers: peers, log: log, startedAt: time.Now(),
		control: make(chan message, controlQueueLength), heartbeats: make(chan message, heartbeatQueueLength), users: make(chan message, userQueueLength),
		waiting: map[core.RequestID]chan core.Reply{}, commits: map[*store.Txn]context.CancelFunc{},
	}
}

// WatchMemory has the core refuse new jobs while memory is nearly full. It is called before
// Run.
func (n *Node) WatchMemory(full func() bool) { n.memoryFull = full }

// now is a monotonic clock that begins at 0 with the node.
func (n *Node) now() units.Microseconds {
	return units.Microseconds(time.Since(n.startedAt).Microseconds())
}

// Run owns the core until the context ends, and returns once the requests to outside services
// that it has begun have ended too. Time goes first, then what keeps
// authority and what other controllers send, then workers, then users: no number
// of users or workers may cost a controller its authority. A process that stood
// still learns how late it is before it handles anything that has waited.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer n.calls.Wait()
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

// nextMessage returns the message to be handled next, or nil when the time for
// a tick or the end comes first.
func (n *Node) nextMessage(ctx context.Context, tick <-chan time.Time) message {
	m := n.waitingMessage()
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

// waitingMessage returns the message to be handled first, if any waits.
func (n *Node) waitingMessage() message {
	for _, queue := range []chan message{n.control, n.heartbeats, n.users} {
		select {
		case m := <-queue:
			return m
		default:
		}
	}
	return nil
}

// authorized reports whether what this node decided may still be executed.
func (n *Node) authorized() bool { return int64(n.now()) < n.validUntil.Load() }

// enqueue puts an outside service's answer into the inbox. It is lost when the context ends,
// and with it the core, while there is no room.
func (n *Node) enqueue(ctx context.Context, m message) {
	select {
	case n.control <- m:
	case <-ctx.Done():
	}
}

// Receive takes a message of another controller; it is dropped when there is too
// much to do.
func (n *Node) Receive(from string, peerMessage any) {
	select {
	case n.control <- func(c *core.Core, now units.Microseconds) { c.OnPeer(now, from, peerMessage) }:
	default:
	}
}

// request is what ask has the core do, which answers it by its id.
type request func(c *core.Core, now units.Microseconds, id core.RequestID)

// ask sends a request to the core and waits for its answer. A full queue
// answers at once, and what has waited there until nobody waits for the answer
// any more is dropped.
func (n *Node) ask(ctx context.Context, queue chan<- message, timeout time.Duration, do request) core.Reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := make(chan core.Reply, 1)
	m := func(c *core.Core, now units.Microseconds) {
		if ctx.Err() != nil {
			return
		}
		n.lastRequest++
		n.waiting[n.lastRequest] = answer
		do(c, now, n.lastRequest)
	}
	busy := core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: units.Second}
	select {
	case queue <- m:
	default:
		return busy
	}
	select {
	case reply := <-answer:
		return reply
	case <-ctx.Done():
		return busy
	}
}

// Submit takes a submission; invalid says what is wrong with it where spec is nil.
func (n *Node) Submit(ctx context.Context, job string, spec *jobs.Spec, invalid string) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Submit(now, id, job, spec, invalid) })
}

// Query takes a poll.
func (n *Node) Query(ctx context.Context, job string) core.Reply {
	return n.ask(ctx, n.users, pollWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Query(now, id, job) })
}

// Cancel takes a cancellation.
func (n *Node) Cancel(ctx context.Context, job string) core.Reply {
	return n.ask(ctx, n.heartbeats, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Cancel(now, id, job) })
}

// Heartbeat takes a worker's heartbeat.
func (n *Node) Heartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) core.Reply {
	return n.ask(ctx, n.heartbeats, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Heartbeat(now, id, heartbeat) })
}

// Ready answers a health check.
func (n *Node) Ready(ctx context.Context) bool {
	r := n.ask(ctx, n.heartbeats, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) {
		c.Answer(id, c.Ready(now))
	})
	return r.Code == http.StatusOK
}

// Retire has the controller transfer all that it owns, as the process is about to end, and
// returns once that is done or the context has ended. Run must go on meanwhile.
func (n *Node) Retire(ctx context.Context) {
	for done := false; !done && ctx.Err() == nil; {
		n.enqueue(ctx, func(c *core.Core, now units.Microseconds) { c.Retire(now) })
		r := n.ask(ctx, n.control, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Answer(id, c.Retired(now)) })
		if done = r.Code == http.StatusOK; !done {
			time.Sleep(tickEvery)
		}
	}
	n.enqueue(context.WithoutCancel(ctx), func(c *core.Core, now units.Microseconds) { c.Leave(now) })
	time.Sleep(leaveTime)
}

// Configure asks for a change of the configuration.
func (n *Node) Configure(ctx context.Context, r configuration.Request) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.Configure(now, id, r) })
}

// ConfigContent asks for the configuration in force.
func (n *Node) ConfigContent(ctx context.Context) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigContent(now, id) })
}

// ConfigHistory asks for the last versions.
func (n *Node) ConfigHistory(ctx context.Context) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigHistory(now, id) })
}

// ConfigStatus asks how far a version of the configuration has come.
func (n *Node) ConfigStatus(ctx context.Context, version uint64) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, id core.RequestID) { c.ConfigStatus(now, id, version) })
}

// Stats returns the present figures; ok is false where there is too much to do.
func (n *Node) Stats(ctx context.Context) (core.Stats, bool) {
	r := n.ask(ctx, n.users, answerWithin, func(c *core.Core, _ units.Microseconds, id core.RequestID) { c.Stats(id) })
	s, ok := r.Body.(core.Stats)
	return s, ok
}
