//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/emulator/work"
)

// deployment is what differs between the deployments of the cases.
type deployment struct {
	controllers              int
	zones                    []string
	teams                    []map[string]any
	objectives               []map[string]any
	reportS, leaseS, cancelS float64
	rps, writeRPS            float64
	txnOps                   int
	types                    []cloudprovider.MachineType
	capacity                 map[cloudprovider.Pool]int
	tuning                   map[string]any
	cloudRPS, listLagS       float64
}

// start is where a task began, and when.
type start struct {
	task    string
	machine string
	at      time.Duration
}

// stand is a running deployment.
type stand struct {
	rec    *record
	dir    string
	ctx    context.Context
	cancel context.CancelFunc
	state  *host.State
	cloud  *host.Cloud
	nodes  []*controller
	users  *users
	starts chan func() // run by the thread that starts processes

	mu      sync.Mutex
	begun   []start
	running map[string]string // machine by task
}

// controller is a process of the program under review.
type controller struct {
	name, listen, internal, stateAddr string
	settings                          string
	cmd                               *exec.Cmd
}

func newStand(rec *record) (*stand, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stand{rec: rec, dir: dir, running: map[string]string{}, starts: make(chan func())}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// onMain runs f on the thread that starts processes.
func (s *stand) onMain(f func()) {
	done := make(chan struct{})
	s.starts <- func() { f(); close(done) }
	<-done
}

// stop ends all processes and removes the folder.
func (s *stand) stop() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.cancel()
	_ = os.RemoveAll(s.dir) // what is left is in the system's temporary folder
}

func (n *controller) kill() {
	if n.cmd != nil {
		_ = n.cmd.Process.Kill() // it may have ended
		_ = n.cmd.Wait()
		n.cmd = nil
	}
}

// listen opens a free port on loopback.
func listen() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// reserve returns an address that is free.
func reserve() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }() // to be opened by a controller
	return l.Addr().String(), nil
}

// serve serves on a new port and returns its address.
func serve(f func(net.Listener) error) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = f(l) }() // until the process ends
	return l.Addr().String(), nil
}

// launch starts the stand-ins and the controllers, and waits until all controllers are ready.
func (s *stand) launch(d *deployment) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var err error
	s.state, err = host.NewState(kv.Limits{Rate: d.rps, WriteRate: d.writeRPS, ValueBytes: 8 << 10, TxnOps: d.txnOps}, 2*time.Millisecond, nil,
		rand.New(rand.NewPCG(1, 11)), log, func(error) {})
	if err != nil {
		return err
	}
	go s.state.Run(s.ctx)
	var names []string
	byName := map[string]string{}
	for i := range d.controllers {
		n := &controller{name: fmt.Sprintf("stagehand-%d", i)}
		if n.listen, err = reserve(); err != nil {
			return err
		}
		if n.internal, err = reserve(); err != nil {
			return err
		}
		if n.stateAddr, err = serve(func(l net.Listener) error { return s.state.Serve(l, n.name) }); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		names, byName[n.name] = append(names, n.name), n.listen
	}
	cfg := site.Config{Cloud: cloudprovider.Config{Types: d.types, Capacity: d.capacity, RequestRate: d.cloudRPS, ListLag: units.Seconds(d.listLagS)},
		HeartbeatInterval: units.Seconds(d.reportS), Lease: units.Seconds(d.leaseS), Nodes: names, MaxDrift: 0.0005}
	byZone := map[string]map[string]string{}
	for _, z := range d.zones {
		byZone[z] = byName
	}
	s.cloud = host.NewCloud(s.ctx, site.New(cfg, rand.New(rand.NewPCG(1, 12))), byZone, "127.0.0.1", 20*time.Millisecond, s, log)
	go s.cloud.Run()
	cloudAddr, err := serve(s.cloud.Serve)
	if err != nil {
		return err
	}
	s.users = newUsers(s)
	for i, n := range s.nodes {
		if err := s.writeSettings(d, i, n, cloudAddr); err != nil {
			return err
		}
		s.startController(n)
	}
	return s.await(30*time.Second, "controllers are ready", func() bool {
		for _, n := range s.nodes {
			if !n.ready() {
				return false
			}
		}
		return true
	})
}

func (s *stand) writeSettings(d *deployment, i int, n *controller, cloudAddr string) error {
	var peers []map[string]any
	for k, other := range s.nodes {
		if k != i {
			peers = append(peers, map[string]any{"node_name": other.name, "site": d.zones[k%len(d.zones)], "endpoint": other.internal})
		}
	}
	settings := map[string]any{
		"node_name": n.name, "site": d.zones[i%len(d.zones)], "listen": n.listen, "internal_addr": n.internal, "peers": peers,
		"services": map[string]any{"cloud": cloudAddr, "state": n.stateAddr},
		"deployment": map[string]any{
			"size": d.controllers, "zones": d.zones, "teams": d.teams, "objectives": d.objectives,
			"workers":        map[string]any{"report_s": d.reportS, "lease_s": d.leaseS, "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": d.cancelS},
			"state":          map[string]any{"rps": d.rps, "write_rps": d.writeRPS, "value_kb": 8.0, "txn_ops": d.txnOps},
			"cloud":          map[string]any{"rps": d.cloudRPS, "list_lag_s": d.listLagS},
			"quota":          map[string]any{"cpu": 0.18, "ram_mb": 179.0, "fd_limit": 1800},
			"clock_error_ms": 100.0,
		},
	}
	if d.tuning != nil {
		settings["tuning"] = d.tuning
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(s.dir, n.name+".json")
	return os.WriteFile(n.settings, text, 0o644)
}

// startController starts a controller by the deploy file's command.
func (s *stand) startController(n *controller) {
	s.onMain(func() {
		logs, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("%s.%d.log", n.name, time.Now().UnixNano())))
		if err != nil {
			s.rec.add("no log for %s: %v", n.name, err)
		}
		n.cmd = exec.Command(programOfUnit, "--config", n.settings)
		n.cmd.Stderr = logs
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			if f, err := os.OpenFile(keep+"-"+n.name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
				n.cmd.Stderr = f
			}
		}
		n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := n.cmd.Start(); err != nil {
			s.rec.add("%s cannot be started: %v", n.name, err)
			n.cmd = nil
			return
		}
		s.rec.add("%s started", n.name)
	})
}

var probeClient = &http.Client{Timeout: time.Second}

func (n *controller) ready() bool {
	resp, err := probeClient.Get("http://" + n.listen + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // it is empty
	return resp.StatusCode == http.StatusOK
}

// await waits until something is so.
func (s *stand) await(within time.Duration, what string, so func() bool) error {
	for until := time.Now().Add(within); !so(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	s.rec.add("seen: %s", what)
	return nil
}

// since returns the time since the case began.
func (s *stand) since() time.Duration { return time.Since(s.rec.begin) }

// TaskStarted implements host.TaskObserver.
func (s *stand) TaskStarted(m *cloudprovider.Machine, id jobs.TaskID) {
	s.rec.add("%s begins on %s (%s, %s, spot %v)", id, m.Name, m.Type, m.Zone, m.Spot)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = append(s.begun, start{id.String(), m.Name, s.since()})
	s.running[id.String()] = m.Name
}

// TaskEnded implements host.TaskObserver.
func (s *stand) TaskEnded(m *cloudprovider.Machine, id jobs.TaskID, completed bool) {
	s.rec.add("%s ends on %s, completed %v", id, m.Name, completed)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, id.String())
}

// begunOf returns how often tasks of a job have begun, and how many of them are on machines.
func (s *stand) begunOf(job string) (begun, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.begun {
		if jobOf(b.task) == job {
			begun++
		}
	}
	for task := range s.running {
		if jobOf(task) == job {
			running++
		}
	}
	return begun, running
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

// upload makes a job's description known to the workers.
func (s *stand) upload(id string, spec *jobs.Spec, run time.Duration) {
	s.cloud.Upload(&work.Job{ID: id, Spec: spec, Run: units.Microseconds(run.Microseconds())})
}
