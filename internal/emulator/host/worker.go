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

// JobStore stores job descriptions, results and checkpoints outside of machines, for workers in separate
// processes.
type JobStore interface {
	// Fetch returns the job of a task, with the stored state of the task. It returns nil if the job doesn't exist.
	Fetch(id jobs.TaskID) (*work.Job, error)
	// Store stores whether a task has completed, and its saved progress.
	Store(id jobs.TaskID, finished bool, saved units.Microseconds) error
}

// Worker runs the worker of at most one machine at a time. It is the only one in its process, so that the
// process's use of resources is what a machine spends on control.
type Worker struct {
	ctx            context.Context
	loop           *loop
	model          *machine.Worker        // nil: no machine is running
	machine        *cloudprovider.Machine // as passed to observer
	nodes          map[string]map[string]string
	knownJobs      work.Uploads
	jobStore       JobStore
	observer       TaskObserver
	client         *http.Client
	log            *slog.Logger
	bytes          atomic.Uint64
	heartbeatsSent atomic.Uint64
	rng            *rand.Rand
}

// NewWorker returns a worker without a machine. nodes maps the zone of a machine to the controllers' addresses by
// name, as reached from there.
func NewWorker(ctx context.Context, nodes map[string]map[string]string, jobStore JobStore, observer TaskObserver, rng *rand.Rand, log *slog.Logger) *Worker {
	w := &Worker{ctx: ctx, nodes: nodes, knownJobs: work.Uploads{}, jobStore: jobStore, observer: observer, log: log, rng: rng}
	dialer := &net.Dialer{Timeout: time.Second}
	w.client = &http.Client{Timeout: time.Duration(machine.ResponseTimeout) * time.Microsecond, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{c, &w.bytes}, nil
		}, IdleConnTimeout: time.Minute, DisableCompression: true}}
	w.loop = newLoop(w, w.flush, func(error) {})
	return w
}

// countingConn adds the bytes that it reads and writes to total.
type countingConn struct {
	net.Conn
	total *atomic.Uint64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(uint64(n))
	return n, err
}

// countingListener adds the bytes of all connections that it accepts to total.
type countingListener struct {
	net.Listener
	total *atomic.Uint64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.total}, nil
}

// Run drives the model until the context ends.
func (w *Worker) Run() { w.loop.run(w.ctx) }

// Bytes returns the number of bytes exchanged between the worker and controllers, in both directions.
func (w *Worker) Bytes() uint64 { return w.bytes.Load() }

// HeartbeatsSent returns the number of heartbeats that were sent.
func (w *Worker) HeartbeatsSent() uint64 { return w.heartbeatsSent.Load() }

// Next implements model.
func (w *Worker) Next() units.Microseconds {
	if w.model == nil {
		return units.MaxTime
	}
	return w.model.Next()
}

// Advance implements model.
func (w *Worker) Advance(now units.Microseconds) {
	if w.model != nil {
		w.model.Advance(now)
	}
}

var errMachineRunning = errors.New("this worker already runs a machine")

// Start starts the worker of a machine. It fails if another machine is running.
func (w *Worker) Start(c machine.Config, f machine.Fault) (err error) {
	w.loop.do(w.ctx, func(now units.Microseconds) {
		if w.model != nil {
			err = errMachineRunning
			return
		}
		w.machine = &cloudprovider.Machine{Name: c.Name, Pool: cloudprovider.Pool{Type: c.Type, Zone: c.Zone, Spot: c.Spot}}
		w.model = machine.New(c, f, w.knownJobs, now, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
		w.model.Advance(now)
	})
	return err
}

// Stop stops the machine and everything that runs on it, if it is the named one. Another can be started then.
func (w *Worker) Stop(name string) {
	w.loop.do(w.ctx, func(now units.Microseconds) {
		if w.model == nil || w.machine.Name != name {
			return
		}
		w.model.Stop(now)
		_ = w.flush(now) // always nil
		w.model, w.machine = nil, nil
	})
}

// Running returns the number of tasks on the machine whose image has been fetched.
func (w *Worker) Running() (n int) {
	w.loop.do(w.ctx, func(units.Microseconds) {
		if w.model != nil {
			n = w.model.Running()
		}
	})
	return n
}

// flush processes the effects of the model. It stores the result of a task before a heartbeat can report its end.
func (w *Worker) flush(units.Microseconds) error {
	if w.model == nil {
		return nil
	}
	for _, e := range w.model.Drain() {
		switch e := e.(type) {
		case machine.Heartbeat:
			w.heartbeatsSent.Add(1)
			go w.sendHeartbeat(w.model, w.machine.Zone, e)
		case machine.TaskStarted:
			w.observer.TaskStarted(w.machine, e.Task)
		case machine.TaskEnded:
			if j := w.knownJobs[e.Task.Job]; j != nil {
				if err := w.jobStore.Store(e.Task, e.Completed, j.Saved(e.Task.Task)); err != nil {
					w.log.Error("cannot store the result of a task", "task", e.Task.String(), "err", err)
				}
			}
			w.observer.TaskEnded(w.machine, e.Task, e.Completed)
		}
	}
	return nil
}

// sendHeartbeat posts a heartbeat to a controller. It fetches the descriptions of the tasks that the response
// starts before it passes the response to the model.
func (w *Worker) sendHeartbeat(model *machine.Worker, zone string, r machine.Heartbeat) {
	a := postHeartbeat(w.client, w.nodes[zone][r.Node], r)
	fetched := w.fetchJobs(a)
	w.loop.enqueue(w.ctx, func(now units.Microseconds) {
		if w.model != model {
			return // the machine has been stopped
		}
		w.addFetched(fetched)
		if a.Code == 0 {
			model.HeartbeatFailed(now, r.Number)
		} else {
			model.HandleResponse(now, r.Number, a)
		}
	})
}

// fetchedJob is the job of a task that is to start, with the stored state of the task.
type fetchedJob struct {
	id  jobs.TaskID
	job *work.Job
}

func (w *Worker) fetchJobs(a machine.Response) (out []fetchedJob) {
	for _, id := range a.StartedTasks() {
		j, err := w.jobStore.Fetch(id)
		if err != nil {
			w.log.Error("cannot fetch a job description", "task", id.String(), "err", err)
		} else if j != nil {
			out = append(out, fetchedJob{id, j})
		}
	}
	return out
}

// addFetched adds fetched jobs to the known ones. Above maxKnownJobs, it drops jobs without a task on the machine,
// so that old jobs don't accumulate.
func (w *Worker) addFetched(list []fetchedJob) {
	for _, f := range list {
		known := w.knownJobs[f.id.Job]
		switch {
		case known == nil:
			w.knownJobs[f.id.Job] = f.job
		case f.job.Finished(f.id.Task):
			known.Finish(f.id.Task)
		default:
			known.Save(f.id.Task, f.job.Saved(f.id.Task))
		}
	}
	if len(w.knownJobs) > maxKnownJobs {
		w.dropUnusedJobs()
	}
}

// maxKnownJobs is the number of known jobs above which a worker drops those that it doesn't use.
const maxKnownJobs = 256

func (w *Worker) dropUnusedJobs() {
	r, _ := w.model.Status()
	used := map[string]bool{}
	for _, t := range r.Tasks {
		used[t.ID.Job] = true
	}
	for id := range w.knownJobs {
		if !used[id] {
			delete(w.knownJobs, id)
		}
	}
}

// Serve serves the worker's own address, at which it receives direct commands, on a listener.
func (w *Worker) Serve(listener net.Listener) error {
	handler := workerHandler(func(ctx context.Context, o wire.ReceivedCommandList) (body wire.HeartbeatBody, accepted, found bool) {
		fetched := w.fetchJobs(machine.Response{Commands: o.Commands})
		w.loop.do(ctx, func(now units.Microseconds) {
			if found = w.model != nil; found {
				w.addFetched(fetched)
				accepted = w.model.HandleDirect(now, *o.FencingToken, *o.Incarnation, o.Commands)
				body = wire.EncodeHeartbeat(w.model.Status())
			}
		})
		return body, accepted, found
	}, func(ctx context.Context) (body wire.HeartbeatBody, found bool) {
		w.loop.do(ctx, func(units.Microseconds) {
			if found = w.model != nil; found {
				body = wire.EncodeHeartbeat(w.model.Status())
			}
		})
		return body, found
	})
	return newServer(handler).Serve(countingListener{listener, &w.bytes})
}
