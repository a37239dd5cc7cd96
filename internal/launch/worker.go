package launch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/emulator/work"
)

// WorkerFigures are what a process that runs one worker tells of itself.
type WorkerFigures struct {
	Bytes   uint64 `json:"bytes"`   // between the worker and controllers, both ways
	Reports uint64 `json:"reports"` // sent
	Running int    `json:"running"` // tasks
}

// handed is a machine whose worker is to begin in another process.
type handed struct {
	Config machine.Config `json:"config"`
	Fault  machine.Fault  `json:"fault"`
}

// taskState is what is stored of a task outside of machines.
type taskState struct {
	Job      *upload            `json:"job,omitempty"`
	Task     string             `json:"task,omitempty"`
	Finished bool               `json:"finished,omitempty"`
	Saved    units.Microseconds `json:"saved,omitempty"` // µs of progress
}

// runWorker runs the worker of one machine at a time, as the cloud hands it over.
func runWorker(ctx context.Context, cancel context.CancelCauseFunc, role string, p *Plan, control chi.Router, log *slog.Logger) error {
	jobs := jobClient{p.Roles[RoleCloud]}
	w := host.NewWorker(ctx, p.Workers, jobs, newFactWriter(os.Stdout), rand.New(rand.NewPCG(p.Seed, uint64(os.Getpid()))), log)
	go w.Run()
	control.Put("/machine", func(rw http.ResponseWriter, r *http.Request) {
		var h handed
		if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxControl)).Decode(&h); err != nil {
			http.Error(rw, "malformed", http.StatusBadRequest)
			return
		}
		if err := w.Start(h.Config, h.Fault); err != nil {
			http.Error(rw, err.Error(), http.StatusConflict)
		}
	})
	control.Delete("/machine/{name}", func(_ http.ResponseWriter, r *http.Request) { w.Stop(chi.URLParam(r, "name")) })
	figures(control, func() any { return WorkerFigures{w.Bytes(), w.HeartbeatsSent(), w.Running()} }, nil)
	return serve(p.Direct[role], func(l net.Listener) error { return w.Serve(l) }, cancel)
}

// jobClient is the cloud's process as a worker asks it.
type jobClient struct{ addr string }

// Fetch implements host.JobStore.
func (c jobClient) Fetch(id jobs.TaskID) (*work.Job, error) {
	resp, err := controlClient.Get("http://" + c.addr + "/tasks/" + id.String())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	var t taskState
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxControl)).Decode(&t); err != nil || t.Job == nil {
		return nil, errors.Join(err, fmt.Errorf("answered with status %d", resp.StatusCode))
	}
	j := t.Job.job()
	if t.Finished {
		j.Finish(id.Task)
	} else {
		j.Save(id.Task, t.Saved)
	}
	return j, nil
}

// storeTries is how often a worker tries to store what a task did.
const storeTries = 3

// Store implements host.JobStore.
func (c jobClient) Store(id jobs.TaskID, finished bool, saved units.Microseconds) (err error) {
	for range storeTries {
		if err = post(http.MethodPut, c.addr, "/tasks", taskState{Task: id.String(), Finished: finished, Saved: saved}); err == nil {
			return nil
		}
	}
	return err
}

// serveJobs serves what is stored outside of machines to workers in processes of their own.
func serveJobs(control chi.Router, c *host.Cloud) {
	control.Get("/tasks/{job}/{task}", func(w http.ResponseWriter, r *http.Request) {
		id, err := jobs.ParseTaskID(chi.URLParam(r, "job") + "/" + chi.URLParam(r, "task"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var t taskState
		c.Do(func(_ units.Microseconds, s *site.Site) {
			if j := s.Uploads[id.Job]; j != nil {
				t = taskState{Job: &upload{ID: j.ID, Spec: j.Spec, Run: j.Run, Vary: j.RunVariation, Broken: j.FailsAlways}, Finished: j.Finished(id.Task), Saved: j.Saved(id.Task)}
			}
		})
		if t.Job == nil {
			http.Error(w, "there is no such job", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(t) // the client may be gone
	})
	control.Put("/tasks", func(w http.ResponseWriter, r *http.Request) {
		var t taskState
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&t)
		id, err2 := jobs.ParseTaskID(t.Task)
		if err = errors.Join(err, err2); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// Not waited for: the cloud may wait for this very worker to end a machine.
		c.Enqueue(func(s *site.Site) {
			j := s.Uploads[id.Job]
			switch {
			case j == nil:
			case t.Finished:
				j.Finish(id.Task)
			default:
				j.Save(id.Task, t.Saved)
			}
		})
	})
}

// outside hands machines to the processes that run one worker each. It is used by the
// cloud's goroutine alone.
type outside struct {
	plan *Plan
	has  map[string]string // machines, by role
}

func newOutside(p *Plan) *outside { return &outside{p, map[string]string{}} }

var errNoProcess = errors.New("no process is free")

// StartWorker implements host.WorkerProcesses.
func (o *outside) StartWorker(name string, c machine.Config, f machine.Fault) (http.Handler, error) {
	for _, role := range o.plan.workerRoles() {
		if o.has[role] != "" {
			continue
		}
		if err := post(http.MethodPut, o.plan.Roles[role], "/machine", handed{c, f}); err != nil {
			return nil, err
		}
		o.has[role] = name
		return httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: o.plan.Direct[role]}), nil
	}
	return nil, errNoProcess
}

// StopWorker implements host.WorkerProcesses.
func (o *outside) StopWorker(name string) {
	for role, has := range o.has {
		if has == name {
			delete(o.has, role)
			// A process that is gone has ended the deployment.
			_ = post(http.MethodDelete, o.plan.Roles[role], "/machine/"+name, struct{}{})
		}
	}
}
