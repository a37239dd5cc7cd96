package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/emulator/work"
	"shalestage.example/shalestage/internal/wire"
)

// TaskObserver is notified of starts and ends of tasks on machines, for a checker.
type TaskObserver interface {
	TaskStarted(m *cloudprovider.Machine, id jobs.TaskID)
	TaskEnded(m *cloudprovider.Machine, id jobs.TaskID, completed bool)
}

// WorkerProcesses runs workers in separate processes. Both methods return when the operation has completed.
type WorkerProcesses interface {
	// StartWorker starts the worker of a machine and returns the handler of requests to the machine's own address.
	StartWorker(name string, c machine.Config, f machine.Fault) (http.Handler, error)
	// StopWorker stops a machine and everything that runs on it.
	StopWorker(name string)
}

// Cloud serves the cloud's API over HTTP and runs the workers of its machines.
type Cloud struct {
	ctx          context.Context
	loop         *loop
	site         *site.Site
	nodes        map[string]map[string]string // addresses of controllers by zone of the machine and name of the controller
	host         string                       // on which workers listen
	latency      time.Duration
	extraLatency atomic.Int64
	client       *http.Client
	observer     TaskObserver
	listeners    map[string]net.Listener // of the machines' own addresses, by machine name
	processes    WorkerProcesses         // nil: all workers run in this process
	handlers     sync.Map                // by machine name, of workers in separate processes
	log          *slog.Logger
}

// NewCloud returns a cloud whose machines send heartbeats to controllers at the given addresses, and listen on
// ports of host. nodes maps the zone of a machine to the controllers' addresses by name, as reached from there.
func NewCloud(ctx context.Context, s *site.Site, nodes map[string]map[string]string, host string, latency time.Duration, observer TaskObserver, log *slog.Logger) *Cloud {
	c := &Cloud{ctx: ctx, site: s, nodes: nodes, host: host, latency: latency, observer: observer, listeners: map[string]net.Listener{}, log: log}
	c.client = &http.Client{Timeout: time.Duration(machine.ResponseTimeout) * time.Microsecond, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute, DisableCompression: true}}
	c.loop = newLoop(s, c.flush, func(error) {})
	return c
}

// SetWorkerProcesses sets what runs workers in separate processes. Call it before Run.
func (c *Cloud) SetWorkerProcesses(p WorkerProcesses) { c.processes = p }

// Run drives the model until the context ends.
func (c *Cloud) Run() { c.loop.run(c.ctx) }

// Do runs f on the model and waits until its effects are processed. It returns false if the context ended first.
func (c *Cloud) Do(f func(now units.Microseconds, s *site.Site)) bool {
	return c.loop.do(c.ctx, func(now units.Microseconds) { f(now, c.site) })
}

// Enqueue runs f on the model without waiting for it. f runs before any function that is submitted later.
func (c *Cloud) Enqueue(f func(s *site.Site)) {
	c.loop.enqueue(c.ctx, func(units.Microseconds) { f(c.site) })
}

// Upload makes a job's description available to the workers, unless the job is known already. It returns false
// if the context ended first.
func (c *Cloud) Upload(j *work.Job) bool {
	return c.Do(func(_ units.Microseconds, s *site.Site) {
		if s.Uploads[j.ID] == nil {
			s.Uploads[j.ID] = j
		}
	})
}

// flush processes the effects of the model: it starts and stops workers in separate processes, sends heartbeats and
// notifies the observer.
func (c *Cloud) flush(now units.Microseconds) error {
	c.site.Advance(now)
	for _, e := range c.site.Drain() {
		switch e := e.(type) {
		case site.MachineEnded:
			if l := c.listeners[e.Machine.Name]; l != nil {
				_ = l.Close() // its error doesn't matter: the machine no longer exists
				delete(c.listeners, e.Machine.Name)
			}
			if _, ok := c.handlers.LoadAndDelete(e.Machine.Name); ok {
				c.processes.StopWorker(e.Machine.Name)
			}
		case site.ExternalWorkerStarted:
			h, err := c.processes.StartWorker(e.Machine.Name, e.Config, e.Fault)
			if err != nil {
				c.log.Error("cannot start a machine in a worker process", "machine", e.Machine.Name, "err", err)
				continue
			}
			c.handlers.Store(e.Machine.Name, h)
		case site.HeartbeatSent:
			go c.sendHeartbeat(e)
		case site.TaskStarted:
			c.observer.TaskStarted(e.Machine, e.Task)
		case site.TaskEnded:
			c.observer.TaskEnded(e.Machine, e.Task, e.Completed)
		}
	}
	return nil
}

// listen opens a machine's own address, on which it receives direct commands. The address is assigned when the
// machine is created; requests get no response before its worker starts.
func (c *Cloud) listen(m *cloudprovider.Machine) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(c.host, "0"))
	if err != nil {
		c.log.Error("cannot open a listener for a machine", "machine", m.Name, "err", err)
		return
	}
	m.Addr = listener.Addr().String()
	c.listeners[m.Name] = listener
	handler := c.machineHandler(m.Name)
	go func() { // returns when the machine has ended, as flush then closes the listener
		_ = newServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if h, ok := c.handlers.Load(m.Name); ok {
				h.(http.Handler).ServeHTTP(w, req)
				return
			}
			handler.ServeHTTP(w, req)
		})).Serve(listener)
	}()
}

// sendHeartbeat posts a heartbeat to a controller and passes the response to the model.
func (c *Cloud) sendHeartbeat(e site.HeartbeatSent) {
	a := postHeartbeat(c.client, c.nodes[e.Body.Zone][e.Node], e.Heartbeat)
	c.loop.enqueue(c.ctx, func(now units.Microseconds) { c.site.HandleResponse(now, e.Machine, e.Number, a) })
}

// SetExtraLatency adds d to the latency of every response.
func (c *Cloud) SetExtraLatency(d time.Duration) { c.extraLatency.Store(d.Microseconds()) }

// simulateLatency sleeps for the latency of a response.
func (c *Cloud) simulateLatency() {
	time.Sleep(c.latency + time.Duration(c.extraLatency.Load())*time.Microsecond)
}

// Serve serves the cloud's API on a listener.
func (c *Cloud) Serve(l net.Listener) error { return newServer(c.Handler()).Serve(l) }

// Handler returns the handler of the cloud's API.
func (c *Cloud) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(wire.TypesPath, func(w http.ResponseWriter, req *http.Request) {
		var types []cloudprovider.MachineType
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) { types, code = c.site.Cloud.MachineTypes(now) }) {
			return
		}
		c.simulateLatency()
		if code != http.StatusOK {
			c.writeRefusal(w, code)
			return
		}
		out := wire.MachineTypes{Types: []wire.MachineType{}}
		for _, t := range types {
			out.Types = append(out.Types, wire.MachineType{Name: t.Name, Cores: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
				FetchGBs: t.FetchGBs, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.Boot.Seconds(), Zones: t.Zones})
		}
		writeJSON(w, code, out)
	})
	r.Post(wire.HostsPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.ScaleOutRequest
		if !readJSON(w, req, &b) {
			return
		}
		var names []string
		var noCapacity bool
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) {
			names, noCapacity, code = c.site.Cloud.ScaleOut(now, b.Request, cloudprovider.Pool{Type: b.Type, Zone: b.Zone, Spot: b.Spot}, b.Count)
			for _, n := range names {
				if m := c.site.Cloud.Machine(n); m != nil && m.Addr == "" {
					c.listen(m)
				}
			}
		}) {
			return
		}
		c.simulateLatency()
		switch {
		case noCapacity:
			writeProblem(w, code, wire.NoCapacity)
		case code != http.StatusOK:
			c.writeRefusal(w, code)
		default:
			writeJSON(w, code, wire.MachineNames{Machines: names})
		}
	})
	r.Post(wire.ReturnPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.MachineNames
		if !readJSON(w, req, &b) {
			return
		}
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) { code = c.site.Cloud.ScaleIn(now, b.Machines) }) {
			return
		}
		c.simulateLatency()
		if code != http.StatusOK {
			c.writeRefusal(w, code)
			return
		}
		writeJSON(w, code, struct{}{})
	})
	r.Get(wire.HostsPath, func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		page := cloudprovider.MaxListPage
		if v := q.Get("page"); v != "" {
			page, _ = strconv.Atoi(v) // an invalid number becomes 0, which the model refuses
		}
		out := wire.HostList{Machines: []wire.Host{}}
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) {
			var list []cloudprovider.Listed
			list, out.More, code = c.site.Cloud.List(now, q.Get("after"), page)
			for _, l := range list {
				out.Machines = append(out.Machines, wire.Host{ID: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot,
					State: hostStates[l.State], AgeS: l.Age.Seconds()})
			}
		}) {
			return
		}
		c.simulateLatency()
		if code != http.StatusOK {
			c.writeRefusal(w, code)
			return
		}
		writeJSON(w, code, out)
	})
	return r
}

var hostStates = map[string]string{cloudprovider.Booting: wire.HostBooting, cloudprovider.Running: wire.HostRunning, cloudprovider.Failed: wire.HostFailed}

func (c *Cloud) writeRefusal(w http.ResponseWriter, code int) {
	if code == http.StatusServiceUnavailable {
		writeProblem(w, code, wire.Unavailable)
		return
	}
	writeProblem(w, code, http.StatusText(code))
}

// machineHandler serves the address of a machine whose worker runs in this process.
func (c *Cloud) machineHandler(name string) http.Handler {
	return workerHandler(func(ctx context.Context, o wire.ReceivedCommandList) (body wire.HeartbeatBody, accepted, found bool) {
		c.loop.do(ctx, func(now units.Microseconds) {
			heartbeat, saved, ok, exists := c.site.HandleDirect(now, name, *o.FencingToken, *o.Incarnation, o.Commands)
			if accepted, found = ok, exists; exists {
				body = wire.EncodeHeartbeat(heartbeat, saved)
			}
		})
		return body, accepted, found
	}, func(ctx context.Context) (body wire.HeartbeatBody, found bool) {
		c.loop.do(ctx, func(now units.Microseconds) {
			heartbeat, saved, exists := c.site.Status(now, name)
			if found = exists; exists {
				body = wire.EncodeHeartbeat(heartbeat, saved)
			}
		})
		return body, found
	})
}
