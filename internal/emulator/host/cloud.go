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

// TaskObserver takes what happens on machines, for a checker.
type TaskObserver interface {
	TaskStarted(m *cloudprovider.Machine, id jobs.TaskID)
	TaskEnded(m *cloudprovider.Machine, id jobs.TaskID, completed bool)
}

// WorkerProcesses runs workers in processes of their own. Both methods return once it is done.
type WorkerProcesses interface {
	// StartWorker lets a worker begin, and returns who answers commands that come straight to it.
	StartWorker(name string, c machine.Config, f machine.Fault) (http.Handler, error)
	// StopWorker ends a machine with all that is on it.
	StopWorker(name string)
}

// Cloud serves the cloud's interface over HTTP and runs the machines' workers.
type Cloud struct {
	ctx     context.Context
	loop    *loop
	site    *site.Site
	nodes   map[string]map[string]string // controllers' addresses, by the zone that they are reached from
	host    string                       // on which workers listen
	latency time.Duration
	slow    atomic.Int64
	client  *http.Client
	facts   TaskObserver
	doors   map[string]net.Listener // of machines
	outside WorkerProcesses         // nil: no worker has a process of its own
	direct  sync.Map                // handlers of machines whose worker has, by name
	log     *slog.Logger
}

// NewCloud returns a cloud whose machines report to controllers at the given
// addresses and listen on a host's own ports.
func NewCloud(ctx context.Context, s *site.Site, nodes map[string]map[string]string, host string, latency time.Duration, facts TaskObserver, log *slog.Logger) *Cloud {
	c := &Cloud{ctx: ctx, site: s, nodes: nodes, host: host, latency: latency, facts: facts, doors: map[string]net.Listener{}, log: log}
	c.client = &http.Client{Timeout: time.Duration(machine.ResponseTimeout) * time.Microsecond, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4096, IdleConnTimeout: time.Minute, DisableCompression: true}}
	c.loop = newLoop(s, c.settle, func(error) {})
	return c
}

// SetWorkerProcesses sets who runs workers in processes of their own, before Run.
func (c *Cloud) SetWorkerProcesses(o WorkerProcesses) { c.outside = o }

// Run serves until the context ends.
func (c *Cloud) Run() { c.loop.run(c.ctx) }

// Do runs a function on the model, for faults by command and uploads.
func (c *Cloud) Do(f func(now units.Microseconds, s *site.Site)) bool {
	return c.loop.do(c.ctx, func(now units.Microseconds) { f(now, c.site) })
}

// Enqueue runs a function on the model some time, and before what is asked after this call.
func (c *Cloud) Enqueue(f func(s *site.Site)) {
	c.loop.tell(c.ctx, func(units.Microseconds) { f(c.site) })
}

// Upload makes a job's description known to the workers.
func (c *Cloud) Upload(j *work.Job) bool {
	return c.Do(func(_ units.Microseconds, s *site.Site) {
		if s.Book[j.ID] == nil {
			s.Book[j.ID] = j
		}
	})
}

func (c *Cloud) settle(now units.Microseconds) error {
	c.site.Advance(now)
	for _, e := range c.site.Drain() {
		switch e := e.(type) {
		case site.Gone:
			if l := c.doors[e.Machine.Name]; l != nil {
				_ = l.Close() // nothing to lose
				delete(c.doors, e.Machine.Name)
			}
			if _, ok := c.direct.LoadAndDelete(e.Machine.Name); ok {
				c.outside.StopWorker(e.Machine.Name)
			}
		case site.Handed:
			h, err := c.outside.StartWorker(e.Machine.Name, e.Config, e.Fault)
			if err != nil {
				c.log.Error("a worker's process does not take a machine", "machine", e.Machine.Name, "err", err)
				continue
			}
			c.direct.Store(e.Machine.Name, h)
		case site.Send:
			go c.send(e)
		case site.Began:
			c.facts.TaskStarted(e.Machine, e.Task)
		case site.Ended:
			c.facts.TaskEnded(e.Machine, e.Task, e.Completed)
		}
	}
	return nil
}

// open lets a machine listen for direct commands. Its address is known from the
// rental on, and nobody answers there before its worker begins.
func (c *Cloud) open(m *cloudprovider.Machine) {
	l, err := net.Listen("tcp4", net.JoinHostPort(c.host, "0"))
	if err != nil {
		c.log.Error("a machine cannot listen", "machine", m.Name, "err", err)
		return
	}
	m.Addr = l.Addr().String()
	c.doors[m.Name] = l
	inside := c.worker(m.Name)
	go func() { // ends with the machine
		_ = server(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if h, ok := c.direct.Load(m.Name); ok {
				h.(http.Handler).ServeHTTP(w, req)
				return
			}
			inside.ServeHTTP(w, req)
		})).Serve(l)
	}()
}

// send brings a report to a controller.
func (c *Cloud) send(e site.Send) {
	a := sendReport(c.client, c.nodes[e.Body.Zone][e.Node], e.Heartbeat)
	c.loop.tell(c.ctx, func(now units.Microseconds) { c.site.Answer(now, e.Machine, e.Number, a) })
}

// SetExtraLatency makes every answer of the cloud take longer by d.
func (c *Cloud) SetExtraLatency(d time.Duration) { c.slow.Store(d.Microseconds()) }

func (c *Cloud) pause() { time.Sleep(c.latency + time.Duration(c.slow.Load())*time.Microsecond) }

// Serve answers requests to the cloud on a listener.
func (c *Cloud) Serve(l net.Listener) error { return server(c.Handler()).Serve(l) }

// Handler serves the cloud's interface.
func (c *Cloud) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(wire.TypesPath, func(w http.ResponseWriter, req *http.Request) {
		var types []cloudprovider.MachineType
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) { types, code = c.site.Cloud.MachineTypes(now) }) {
			return
		}
		c.pause()
		if code != http.StatusOK {
			c.refuse(w, code)
			return
		}
		out := wire.MachineTypes{Types: []wire.MachineType{}}
		for _, t := range types {
			out.Types = append(out.Types, wire.MachineType{Name: t.Name, Cores: t.CPUs, Cards: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
				FetchGBs: t.FetchGBs, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.Boot.Seconds(), Zones: t.Zones})
		}
		answer(w, code, out)
	})
	r.Post(wire.HostsPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.ScaleOutRequest
		if !read(w, req, &b) {
			return
		}
		var names []string
		var noRoom bool
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) {
			names, noRoom, code = c.site.Cloud.ScaleOut(now, b.Request, cloudprovider.Pool{Type: b.Type, Zone: b.Zone, Spot: b.Spot}, b.Count)
			for _, n := range names {
				if m := c.site.Cloud.Machine(n); m != nil && m.Addr == "" {
					c.open(m)
				}
			}
		}) {
			return
		}
		c.pause()
		switch {
		case noRoom:
			problem(w, code, wire.NoCapacity)
		case code != http.StatusOK:
			c.refuse(w, code)
		default:
			answer(w, code, wire.Names{Machines: names})
		}
	})
	r.Post(wire.ReturnPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.Names
		if !read(w, req, &b) {
			return
		}
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) { code = c.site.Cloud.ScaleIn(now, b.Machines) }) {
			return
		}
		c.pause()
		if code != http.StatusOK {
			c.refuse(w, code)
			return
		}
		answer(w, code, struct{}{})
	})
	r.Get(wire.HostsPath, func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		page := cloudprovider.MaxListPage
		if v := q.Get("page"); v != "" {
			page, _ = strconv.Atoi(v) // 0 is refused
		}
		out := wire.Hosts{Machines: []wire.Host{}}
		var code int
		if !c.loop.do(req.Context(), func(now units.Microseconds) {
			var list []cloudprovider.Listed
			list, out.More, code = c.site.Cloud.List(now, q.Get("after"), page)
			for _, l := range list {
				out.Machines = append(out.Machines, wire.Host{ID: l.Name, Addr: l.Addr, Type: l.Type, Zone: l.Zone, Spot: l.Spot,
					State: hostState[l.State], AgeS: l.Age.Seconds()})
			}
		}) {
			return
		}
		c.pause()
		if code != http.StatusOK {
			c.refuse(w, code)
			return
		}
		answer(w, code, out)
	})
	return r
}

var hostState = map[string]string{cloudprovider.Booting: wire.HostBooting, cloudprovider.Running: wire.HostRunning, cloudprovider.Failed: wire.HostFailed}

func (c *Cloud) refuse(w http.ResponseWriter, code int) {
	if code == http.StatusServiceUnavailable {
		problem(w, code, wire.Unavailable)
		return
	}
	problem(w, code, http.StatusText(code))
}

// worker serves a machine's own address.
func (c *Cloud) worker(name string) http.Handler {
	return workerHandler(func(ctx context.Context, o wire.ReceivedOrders) (body wire.HeartbeatBody, taken, found bool) {
		c.loop.do(ctx, func(now units.Microseconds) {
			r, saved, t, f := c.site.Direct(now, name, *o.FencingToken, *o.Incarnation, o.Commands)
			if taken, found = t, f; f {
				body = wire.EncodeHeartbeat(r, saved)
			}
		})
		return body, taken, found
	}, func(ctx context.Context) (body wire.HeartbeatBody, found bool) {
		c.loop.do(ctx, func(now units.Microseconds) {
			r, saved, f := c.site.Status(now, name)
			if found = f; f {
				body = wire.EncodeHeartbeat(r, saved)
			}
		})
		return body, found
	})
}
