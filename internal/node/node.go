// Package node runs a controller's core as an actor: one goroutine owns it,
// takes messages from an inbox, and hands its effects to others to carry out.
package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/peer"
	"shalestage.example/shalestage/internal/state"
	"shalestage.example/shalestage/internal/wire"
	"shalestage.example/shalestage/internal/worker"
)

const (
	tickEvery = time.Duration(core.TickEvery) * time.Microsecond
	// Every request is answered within the time that who asks waits: workers
	// 4 s, users 5 s, or 2 s for a poll.
	answerWithin = 4 * time.Second
	pollWithin   = 1900 * time.Millisecond
	controlQueue = 1024
	reportQueue  = 1024
	userQueue    = 512
)

// message is handled by the goroutine that owns the core.
type message func(c *core.Core, now units.Microseconds)

// Node is a running controller.
type Node struct {
	core    *core.Core
	state   *state.Client
	cloud   *cloud.Client
	workers *worker.Client
	peers   *peer.Link
	log     *slog.Logger
	began   time.Time
	control chan message // the outside services' answers and other controllers
	reports chan message // workers, health checks and cancellations
	users   chan message

	// until is when this node's authority ends, as far as is known: what goes to
	// the cloud is checked against it when it is sent.
	until atomic.Int64

	full func() bool // memory is nearly full; nil: never

	next    core.RequestID
	waiting map[core.RequestID]chan core.Reply
	commits map[*store.Txn]context.CancelFunc // transactions that wait for their answers
}

// New returns a node that does nothing until Run.
func New(c *core.Core, s *state.Client, cl *cloud.Client, w *worker.Client, p *peer.Link, log *slog.Logger) *Node {
	return &Node{core: c, state: s, cloud: cl, workers: w, peers: p, log: log, began: time.Now(),
		control: make(chan message, controlQueue), reports: make(chan message, reportQueue), users: make(chan message, userQueue),
		waiting: map[core.RequestID]chan core.Reply{}, commits: map[*store.Txn]context.CancelFunc{}}
}

// WatchMemory has the core refuse new jobs while memory is nearly full. It is called before
// Run.
func (n *Node) WatchMemory(full func() bool) { n.full = full }

// now is the steady clock.
func (n *Node) now() units.Microseconds {
	return units.Microseconds(time.Since(n.began).Microseconds())
}

// Run owns the core until the context ends. Time goes first, then what keeps
// authority and what other controllers say, then workers, then users: no number
// of users or workers may cost a controller its authority. A process that stood
// still learns how late it is before it handles anything that has waited.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for ticked := n.now(); ctx.Err() == nil; {
		if now := n.now(); now-ticked >= core.TickEvery {
			ticked = now
			if n.full != nil {
				n.core.SetFull(n.full())
			}
			n.core.Tick(now, units.Microseconds(time.Now().UnixMicro()))
		} else if m := n.nextMessage(ctx, tick.C); m != nil {
			m(n.core, n.now())
		}
		for _, e := range n.core.Drain() {
			n.carryOut(ctx, e)
		}
		n.until.Store(int64(n.core.ValidUntil()))
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
		case m = <-n.reports:
		case m = <-n.users:
		case <-tick:
		}
	}
	return m
}

// waitingMessage returns the message to be handled first, if any waits.
func (n *Node) waitingMessage() message {
	for _, box := range []chan message{n.control, n.reports, n.users} {
		select {
		case m := <-box:
			return m
		default:
		}
	}
	return nil
}

// holdsAuthority reports whether what this node decided may still be carried out.
func (n *Node) holdsAuthority() bool { return int64(n.now()) < n.until.Load() }

// tell puts an outside service's answer into the inbox.
func (n *Node) tell(m message) { n.control <- m }

// carryOut does what the core asks for. Nothing here waits: whatever takes
// time runs in a goroutine of its own, of which the core has few under way.
func (n *Node) carryOut(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.Reply:
		if ch, ok := n.waiting[e.Request]; ok {
			delete(n.waiting, e.Request)
			ch <- e
		}
	case core.SendPeer:
		n.peers.Send(e.Node, e.Message)
	case core.List:
		go func() {
			o, rev, items, more := n.state.List(ctx, core.Root, e.After, core.ListPage)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnList(now, e, o, rev, items, more) })
		}()
	case core.Watch:
		go func() {
			o, rev, events, gone := n.state.Watch(ctx, core.Root, e.After, e.Wait)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnChanges(now, e, o, rev, events, gone) })
		}()
	case core.ReadKey:
		go func() {
			o, value, stamp, rev := n.state.Get(ctx, e.Key)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnKey(now, e, o, value, stamp, rev) })
		}()
	case core.ScanKeys:
		go func() {
			o, _, items, more := n.state.List(ctx, archive.Prefix, e.After, e.Page)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnScan(now, e, o, items, more) })
		}()
	case core.Commit:
		n.commit(ctx, e)
	case core.Abandon:
		if stop := n.commits[e.Txn]; stop != nil {
			stop()
		}
	case core.OpenLease:
		go func() {
			o, id := n.state.OpenLease(ctx, e.TTL)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnLease(now, o, id) })
		}()
	case core.RenewLease:
		go func() {
			o := n.state.RenewLease(ctx, e.ID)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnRenew(now, e.ID, o) })
		}()
	case core.CloseLease:
		go n.state.CloseLease(ctx, e.ID)
	case core.FetchTypes:
		go func() {
			o, types := n.cloud.Types(ctx)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnTypes(now, o, types) })
		}()
	case core.ScaleOut:
		go func() {
			o, names := n.cloud.ScaleOut(ctx, e.Request, e.Increase, n.holdsAuthority)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnScaleOut(now, e, o, names) })
		}()
	case core.ScaleIn:
		go func() {
			o := n.cloud.ScaleIn(ctx, e.Names, n.holdsAuthority)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnScaleIn(now, e, o) })
		}()
	case core.Probe:
		go func() {
			o, r := n.workers.Probe(ctx, e.Addr, e.FencingToken, e.Incarnation, n.holdsAuthority)
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnProbe(now, e, o, r) })
		}()
	case core.CloudBudget:
		n.cloud.SetBudgetFraction(e.Fraction)
	case core.ListMachines:
		go func() {
			o, hosts := n.cloud.List(ctx)
			list := make([]core.ListedMachine, 0, len(hosts))
			for _, h := range hosts {
				list = append(list, core.ListedMachine{Name: h.ID, Addr: h.Addr, Failed: h.State == wire.HostFailed, Age: units.Seconds(h.AgeS),
					Record: fleet.Record{Type: h.Type, Zone: h.Zone, Spot: h.Spot}})
			}
			n.tell(func(c *core.Core, now units.Microseconds) { c.OnListMachines(now, e, o, list) })
		}()
	}
}

// commit sends a transaction, whose answer is waited for until it is abandoned.
func (n *Node) commit(ctx context.Context, e core.Commit) {
	ctx, stop := context.WithCancel(ctx)
	n.commits[e.Txn] = stop
	go func() {
		o, rev, failed := n.state.Commit(ctx, e.Txn)
		n.tell(func(c *core.Core, now units.Microseconds) {
			stop()
			delete(n.commits, e.Txn)
			c.OnCommit(now, e.Queue, e.Txn, o, rev, failed)
		})
	}()
}

// Hear takes a message of another controller; it is dropped when there is too
// much to do.
func (n *Node) Hear(from string, msg any) {
	select {
	case n.control <- func(c *core.Core, now units.Microseconds) { c.OnPeer(now, from, msg) }:
	default:
	}
}

// ask sends a request to the core and waits for its answer. A full inbox
// answers at once, and what has waited there until nobody waits for the answer
// any more is dropped.
func (n *Node) ask(ctx context.Context, box chan message, within time.Duration, f func(c *core.Core, now units.Microseconds, req core.RequestID)) core.Reply {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ch := make(chan core.Reply, 1)
	m := func(c *core.Core, now units.Microseconds) {
		if ctx.Err() != nil {
			return
		}
		n.next++
		n.waiting[n.next] = ch
		f(c, now, n.next)
	}
	busy := core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: units.Second}
	select {
	case box <- m:
	default:
		return busy
	}
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return busy
	}
}

// Submit takes a submission.
func (n *Node) Submit(ctx context.Context, id string, spec *jobs.Spec, bad string) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Submit(now, req, id, spec, bad) })
}

// Query takes a poll.
func (n *Node) Query(ctx context.Context, id string) core.Reply {
	return n.ask(ctx, n.users, pollWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Query(now, req, id) })
}

// Abort takes a cancellation.
func (n *Node) Abort(ctx context.Context, id string) core.Reply {
	return n.ask(ctx, n.reports, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Cancel(now, req, id) })
}

// Report takes a worker's report.
func (n *Node) Report(ctx context.Context, r *fleet.Heartbeat) core.Reply {
	return n.ask(ctx, n.reports, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Heartbeat(now, req, r) })
}

// Ready answers a health check.
func (n *Node) Ready(ctx context.Context) bool {
	r := n.ask(ctx, n.reports, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) {
		c.Answer(req, c.Ready(now))
	})
	return r.Code == http.StatusOK
}

// Retire has the controller hand on all that it holds, as the process is about to end, and
// returns once that is done or has taken too long.
func (n *Node) Retire(ctx context.Context) {
	for done := false; !done && ctx.Err() == nil; {
		n.tell(func(c *core.Core, now units.Microseconds) { c.Retire(now) })
		r := n.ask(ctx, n.control, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Answer(req, c.Retired(now)) })
		if done = r.Code == http.StatusOK; !done {
			time.Sleep(tickEvery)
		}
	}
	n.tell(func(c *core.Core, now units.Microseconds) { c.Leave(now) })
	time.Sleep(leaveTime)
}

// leaveTime is for the last request, that the seat ends, and for the answers under way.
const leaveTime = 200 * time.Millisecond

// Configure asks for a change of the configuration.
func (n *Node) Configure(ctx context.Context, r configuration.Request) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.Configure(now, req, r) })
}

// ConfigContent asks for the configuration in force.
func (n *Node) ConfigContent(ctx context.Context) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.ConfigContent(now, req) })
}

// ConfigHistory asks for the last versions.
func (n *Node) ConfigHistory(ctx context.Context) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.ConfigHistory(now, req) })
}

// ConfigStatus asks how far a version of the configuration has come.
func (n *Node) ConfigStatus(ctx context.Context, version uint64) core.Reply {
	return n.ask(ctx, n.users, answerWithin, func(c *core.Core, now units.Microseconds, req core.RequestID) { c.ConfigStatus(now, req, version) })
}

// Stats returns the present figures; ok is false where there is too much to do.
func (n *Node) Stats(ctx context.Context) (core.Stats, bool) {
	r := n.ask(ctx, n.users, answerWithin, func(c *core.Core, _ units.Microseconds, req core.RequestID) { c.Stats(req) })
	s, ok := r.Body.(core.Stats)
	return s, ok
}
