package launch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/emulator/work"
	"shalestage.example/shalestage/internal/scenario"
)

// maxControl bounds a request to a control address.
const maxControl = 1 << 20

// Role runs one of the emulator's processes until it fails or its standard input
// ends, which is when the process that has launched it does.
func Role(role, planFile string, log *slog.Logger) error {
	p, err := ReadPlan(planFile)
	if err != nil {
		return err
	}
	s, err := scenario.Load(p.Scenario)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel(nil)
	}()
	control := chi.NewRouter()
	control.Get("/alive", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	switch {
	case isWorker(role):
		err = runWorker(ctx, cancel, role, p, control, log)
	case role == RoleState:
		err = runState(ctx, cancel, p, s, control, log)
	case role == RoleCloud:
		err = runCloud(ctx, cancel, planFile, p, s, control, log)
	case role == RoleBalance:
		err = runBalancer(ctx, cancel, p, s, control, log)
	default:
		err = fmt.Errorf("there is no role %q", role)
	}
	if err != nil {
		return err
	}
	if err := serve(p.Roles[role], func(l net.Listener) error { return http.Serve(l, control) }, cancel); err != nil {
		return err
	}
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// serve listens at an address and serves there until the process ends.
func serve(addr string, f func(net.Listener) error, failed context.CancelCauseFunc) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() { failed(f(l)) }()
	return nil
}

// faults takes faults by command.
func faults(control chi.Router, do func(f scenario.Fault) error) {
	control.Post("/fault", func(w http.ResponseWriter, r *http.Request) {
		var f scenario.Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&f); err != nil {
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		if err := do(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func runState(ctx context.Context, cancel context.CancelCauseFunc, p *Plan, s *scenario.Scenario, control chi.Router, log *slog.Logger) error {
	var disk *host.Disk
	if p.Data != "" {
		var err error
		if disk, err = host.OpenDisk(p.Data); err != nil {
			return err
		}
	}
	st, err := host.NewState(s.State.KV(), seconds(s.State.LatencyMS/1000), disk, rand.New(rand.NewPCG(p.Seed, 11)), log, func(err error) {
		// What could not be stored is answered to nobody.
		cancel(fmt.Errorf("the state service cannot store its data: %w", err))
	})
	if err != nil {
		return err
	}
	go st.Run(ctx)
	for n, a := range p.State {
		if err := serve(a.Real, func(l net.Listener) error { return st.Serve(l, n) }, cancel); err != nil {
			return err
		}
	}
	faults(control, func(f scenario.Fault) error {
		for_ := units.Seconds(f.ForS)
		var lost int
		st.Do(func(now units.Microseconds, m *kv.Service) {
			switch f.Kind {
			case scenario.StateOutage:
				m.SetDown(now, now+for_)
			case scenario.StateRefuse:
				m.RefuseClient(f.Node, now+for_)
			case scenario.StateLimits:
				m.SetLimits(s.State.LoweredLimits(f).KV())
			case scenario.StateLose:
				lost = m.RollBack(now, f.LostWritePrefix(), max(f.Count, 1))
			}
		})
		switch f.Kind {
		case scenario.StateSlow:
			st.SetExtraLatency(seconds(f.DelayMS / 1000))
			time.AfterFunc(seconds(f.ForS), func() { st.SetExtraLatency(0) })
		case scenario.StateLate:
			st.InjectTxnFaults(seconds(f.ForS), 0, cmp.Or(f.Share, 1))
		case scenario.StateUnanswered:
			st.InjectTxnFaults(0, seconds(f.ForS), cmp.Or(f.Share, 1))
		case scenario.StateLose:
			if lost == 0 {
				return errors.New("there is no such write to lose")
			}
		}
		return nil
	})
	figures(control, func() any {
		var f StateFigures
		st.Do(func(_ units.Microseconds, m *kv.Service) { f = StateFigures{m.Len(), m.Rev(), st.Responses()} })
		return f
	}, map[string]func(f any) float64{
		"state_keys":           func(f any) float64 { return float64(f.(StateFigures).Keys) },
		"state_revision":       func(f any) float64 { return float64(f.(StateFigures).Revision) },
		"state_requests_total": func(f any) float64 { return float64(f.(StateFigures).Requests) },
	})
	return nil
}

// StateFigures are what the state service's process tells of itself.
type StateFigures struct {
	Keys     int    `json:"keys"`
	Revision uint64 `json:"revision"`
	Requests uint64 `json:"requests"` // answered
}

// FrontFigures are what the load balancer's process tells of itself.
type FrontFigures struct {
	Healthy int `json:"healthy"` // controllers
}

// figures serves what a process tells of itself: as JSON, and as Prometheus reads it.
func figures(control chi.Router, read func() any, gauges map[string]func(f any) float64) {
	control.Get("/figures", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(read()) // the client may be gone
	})
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for name, f := range gauges {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "emulator", Name: name, Help: "See docs/emulator.md."},
			func() float64 { return f(read()) }))
	}
	control.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 1}))
}

// Figures are what the cloud's process tells of itself.
type Figures struct {
	Machines int     `json:"machines"` // up
	Rented   int     `json:"rented"`   // ever
	Running  int     `json:"running"`  // tasks
	Money    float64 `json:"money"`
}

func runCloud(ctx context.Context, cancel context.CancelCauseFunc, planFile string, p *Plan, s *scenario.Scenario, control chi.Router, log *slog.Logger) error {
	cfg := s.Site()
	first, err := firstMachine(filepath.Join(filepath.Dir(planFile), "cloud.started"), p.Data != "")
	if err != nil {
		return err
	}
	cfg.Cloud.FirstNumber, cfg.ExternalWorkers = first, len(p.Direct)
	st := site.New(cfg, rand.New(rand.NewPCG(p.Seed, 12)))
	var facts host.TaskObserver = newFactWriter(os.Stdout)
	if p.Data != "" {
		book, err := openBook(filepath.Join(p.Data, bookFile))
		if err != nil {
			return err
		}
		for _, j := range book.jobs {
			st.Uploads[j.ID] = j
		}
		facts = book.keep(facts)
	}
	// Workers reach a controller by a link of their zone.
	c := host.NewCloud(ctx, st, p.Workers, hostOf(p.Front), seconds(s.Cloud.LatencyMS/1000), facts, log)
	if len(p.Direct) > 0 {
		c.SetWorkerProcesses(newOutside(p))
		serveJobs(control, c)
	}
	go c.Run()
	for _, a := range p.Cloud {
		if err := serve(a.Real, c.Serve, cancel); err != nil {
			return err
		}
	}
	control.Put("/jobs", func(w http.ResponseWriter, r *http.Request) {
		var u upload
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&u); err != nil || u.Spec == nil {
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		j := u.job()
		if b, ok := facts.(*keeper); ok {
			if err := b.add(u); err != nil {
				http.Error(w, err.Error(), http.StatusInsufficientStorage)
				return
			}
		}
		c.Upload(j)
	})
	faults(control, func(f scenario.Fault) (err error) {
		c.Do(func(now units.Microseconds, st *site.Site) { err = s.InjectSiteFault(now, st, f) })
		if f.Kind == scenario.SpotRate {
			time.AfterFunc(seconds(f.ForS), func() {
				c.Do(func(now units.Microseconds, st *site.Site) { st.Cloud.SetReclaimRate(now, s.Cloud.SpotPerHour) })
			})
		}
		return err
	})
	figures(control, func() any {
		var f Figures
		c.Do(func(now units.Microseconds, st *site.Site) {
			f = Figures{st.WorkerCount(), st.Cloud.CreatedCount(), st.Running(), st.Cloud.Spent(now)}
		})
		return f
	}, map[string]func(f any) float64{
		"cloud_machines_up":           func(f any) float64 { return float64(f.(Figures).Machines) },
		"cloud_machines_rented_total": func(f any) float64 { return float64(f.(Figures).Rented) },
		"cloud_tasks_running":         func(f any) float64 { return float64(f.(Figures).Running) },
		"cloud_money_total":           func(f any) float64 { return f.(Figures).Money },
	})
	return nil
}

// firstMachine returns the number of a cloud's first machine. Names go on rising when
// the process is started again, and from one run of the same data to the next: the
// controllers may know machines of an earlier time.
func firstMachine(mark string, again bool) (int, error) {
	_, err := os.Stat(mark)
	if again = again || err == nil; again {
		return int(time.Now().UnixMilli() % 1_000_000_000_000), nil
	}
	return 0, os.WriteFile(mark, nil, 0o644)
}

func hostOf(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return "127.0.0.1"
	}
	return h
}

func runBalancer(ctx context.Context, cancel context.CancelCauseFunc, p *Plan, s *scenario.Scenario, control chi.Router, log *slog.Logger) error {
	var nodes []string
	for _, n := range s.Nodes() {
		nodes = append(nodes, p.Listen[n].Link)
	}
	f := host.NewLoadBalancer(ctx, nodes, rand.New(rand.NewPCG(p.Seed, 13)), log)
	go f.Run()
	figures(control, func() any { return FrontFigures{f.HealthyCount()} }, map[string]func(f any) float64{
		"balancer_healthy": func(f any) float64 { return float64(f.(FrontFigures).Healthy) },
	})
	return serve(p.Front, f.Serve, cancel)
}

// upload is a job's description as its user uploads it: what it does, and how
// long its tasks really run.
type upload struct {
	ID     string             `json:"id"`
	Spec   *workSpec          `json:"spec"`
	Run    units.Microseconds `json:"run"` // µs
	Vary   float64            `json:"vary,omitempty"`
	Broken bool               `json:"broken,omitempty"`
}

func (u upload) job() *work.Job {
	return &work.Job{ID: u.ID, Spec: u.Spec, Run: u.Run, RunVariation: u.Vary, FailsAlways: u.Broken}
}
