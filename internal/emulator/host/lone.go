package host

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/work"
	"shalestage.example/shalestage/internal/wire"
)

// JobStore is where a worker in a process of its own fetches descriptions, and where results
// and checkpoints are stored outside of its machine.
type JobStore interface {
	// Fetch returns a task's job with what is stored of the task; nil: there is no such job.
	Fetch(id jobs.TaskID) (*work.Job, error)
	// Store stores what is known of a task: whether it has completed, and its saved progress.
	Store(id jobs.TaskID, finished bool, saved units.Microseconds) error
}

// Worker runs one machine's worker at a time, alone in its process: what a machine
// spends on control is what the process spends.
type Worker struct {
	ctx    context.Context
	loop   *loop
	worker *machine.Worker        // nil: no machine is up
	owner  *cloudprovider.Machine // as facts name it
	nodes  map[string]map[string]string
	book   work.Book
	jobs   JobStore
	facts  TaskObserver
	client *http.Client
	log    *slog.Logger
	bytes  atomic.Uint64
	calls  atomic.Uint64
	rng    *rand.Rand
}

// NewWorker returns a worker without a machine that will report to controllers at the
// given addresses, by the zone that they are reached from.
func NewWorker(ctx context.Context, nodes map[string]map[string]string, jobs JobStore, facts TaskObserver, rng *rand.Rand, log *slog.Logger) *Worker {
	l := &Worker{ctx: ctx, nodes: nodes, book: work.Book{}, jobs: jobs, facts: facts, log: log, rng: rng}
	dialer := &net.Dialer{Timeout: time.Second}
	l.client = &http.Client{Timeout: time.Duration(machine.ResponseTimeout) * time.Microsecond, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &l.bytes}, nil
		}, IdleConnTimeout: time.Minute, DisableCompression: true}}
	l.loop = newLoop(l, l.settle, func(error) {})
	return l
}

// countedConn counts the bytes that pass a connection.
type countedConn struct {
	net.Conn
	n *atomic.Uint64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(uint64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	n *atomic.Uint64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.n}, nil
}

// Run serves until the context ends.
func (l *Worker) Run() { l.loop.run(l.ctx) }

// Bytes returns how many bytes have passed between the worker and controllers, both ways.
func (l *Worker) Bytes() uint64 { return l.bytes.Load() }

// HeartbeatsSent returns how many reports were sent.
func (l *Worker) HeartbeatsSent() uint64 { return l.calls.Load() }

// Next implements model.
func (l *Worker) Next() units.Microseconds {
	if l.worker == nil {
		return units.MaxTime
	}
	return l.worker.Next()
}

// Advance implements model.
func (l *Worker) Advance(now units.Microseconds) {
	if l.worker != nil {
		l.worker.Advance(now)
	}
}

var errHasMachine = errors.New("this worker has a machine")

// Start lets the worker of a machine begin.
func (l *Worker) Start(c machine.Config, f machine.Fault) (err error) {
	l.loop.do(l.ctx, func(now units.Microseconds) {
		if l.worker != nil {
			err = errHasMachine
			return
		}
		l.owner = &cloudprovider.Machine{Name: c.Name, Pool: cloudprovider.Pool{Type: c.Type, Zone: c.Zone, Spot: c.Spot}}
		l.worker = machine.New(c, f, l.book, now, rand.New(rand.NewPCG(l.rng.Uint64(), 2)))
		l.worker.Advance(now)
	})
	return err
}

// Stop ends the machine with all that is on it. Another may begin after that.
func (l *Worker) Stop(name string) {
	l.loop.do(l.ctx, func(now units.Microseconds) {
		if l.worker == nil || l.owner.Name != name {
			return
		}
		l.worker.Stop(now)
		_ = l.settle(now) // it never fails
		l.worker, l.owner = nil, nil
	})
}

// Running returns how many tasks are on the machine with their image.
func (l *Worker) Running() (n int) {
	l.loop.do(l.ctx, func(units.Microseconds) {
		if l.worker != nil {
			n = l.worker.Running()
		}
	})
	return n
}

// settle stores what has ended before a report can tell of it.
func (l *Worker) settle(units.Microseconds) error {
	if l.worker == nil {
		return nil
	}
	for _, e := range l.worker.Drain() {
		switch e := e.(type) {
		case machine.Heartbeat:
			l.calls.Add(1)
			go l.send(l.worker, l.owner.Zone, e)
		case machine.TaskStarted:
			l.facts.TaskStarted(l.owner, e.Task)
		case machine.TaskEnded:
			if j := l.book[e.Task.Job]; j != nil {
				if err := l.jobs.Store(e.Task, e.Completed, j.Saved(e.Task.Task)); err != nil {
					l.log.Error("what a task did could not be stored", "task", e.Task.String(), "err", err)
				}
			}
			l.facts.TaskEnded(l.owner, e.Task, e.Completed)
		}
	}
	return nil
}

// send brings a report to a controller. The descriptions of what it is told to start are
// fetched before the answer is acted on.
func (l *Worker) send(w *machine.Worker, zone string, r machine.Heartbeat) {
	a := sendReport(l.client, l.nodes[zone][r.Node], r)
	jobs := l.fetch(a)
	l.loop.tell(l.ctx, func(now units.Microseconds) {
		if l.worker != w {
			return // the machine is gone
		}
		l.learn(jobs)
		if a.Code == 0 {
			w.HeartbeatFailed(now, r.Number)
		} else {
			w.HandleResponse(now, r.Number, a)
		}
	})
}

// fetched is what is stored of a task that is to start.
type fetched struct {
	id  jobs.TaskID
	job *work.Job
}

func (l *Worker) fetch(a machine.Response) (out []fetched) {
	for _, id := range a.StartedTasks() {
		j, err := l.jobs.Fetch(id)
		if err != nil {
			l.log.Error("a description could not be fetched", "task", id.String(), "err", err)
		} else if j != nil {
			out = append(out, fetched{id, j})
		}
	}
	return out
}

// learn takes up what was fetched. The book forgets jobs of which nothing runs here, so
// that it does not grow with the jobs of the past.
func (l *Worker) learn(list []fetched) {
	for _, f := range list {
		known := l.book[f.id.Job]
		switch {
		case known == nil:
			l.book[f.id.Job] = f.job
		case f.job.Finished(f.id.Task):
			known.Finish(f.id.Task)
		default:
			known.Save(f.id.Task, f.job.Saved(f.id.Task))
		}
	}
	if len(l.book) > keptJobs {
		l.forgetJobs()
	}
}

// keptJobs bounds the descriptions that a worker keeps beyond those in use.
const keptJobs = 256

func (l *Worker) forgetJobs() {
	r, _ := l.worker.Status()
	used := map[string]bool{}
	for _, t := range r.Tasks {
		used[t.ID.Job] = true
	}
	for id := range l.book {
		if !used[id] {
			delete(l.book, id)
		}
	}
}

// Serve answers commands that come straight to the worker, on a listener.
func (l *Worker) Serve(in net.Listener) error {
	h := workerHandler(func(ctx context.Context, o wire.ReceivedOrders) (body wire.HeartbeatBody, taken, found bool) {
		jobs := l.fetch(machine.Response{Commands: o.Commands})
		l.loop.do(ctx, func(now units.Microseconds) {
			if found = l.worker != nil; found {
				l.learn(jobs)
				taken = l.worker.HandleDirect(now, *o.FencingToken, *o.Incarnation, o.Commands)
				body = wire.EncodeHeartbeat(l.worker.Status())
			}
		})
		return body, taken, found
	}, func(ctx context.Context) (body wire.HeartbeatBody, found bool) {
		l.loop.do(ctx, func(units.Microseconds) {
			if found = l.worker != nil; found {
				body = wire.EncodeHeartbeat(l.worker.Status())
			}
		})
		return body, found
	})
	return server(h).Serve(countedListener{in, &l.bytes})
}
