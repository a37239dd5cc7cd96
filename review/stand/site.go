package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Site is a small deployment: controllers as processes of their own, and stand-ins for all that surrounds them.
type Site struct {
	Dir     string
	Record  *Record
	Run     []string // program and arguments of the deploy file; the settings file is appended
	State   *State
	Fleet   *Fleet
	Nodes   []*Node
	Client  *http.Client
	Trouble bool

	stopped atomic.Bool // no process may be started any more
	mu      sync.Mutex
	broken  []string // what broke the rule
}

// Node is a controller.
type Node struct {
	Name, Zone       string
	Listen, Internal string
	StateAddr        string
	site             *Site
	file             string
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
}

// Team is a team of the settings.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Settings are those of the deployment that cases differ in.
type Settings struct {
	Zones                    []string // of each controller
	Teams                    []Team
	ReportS, LeaseS, CancelS float64
	State                    StateLimits
	CloudRPS, ListLagS       float64
	CPU, RAMMB               float64
	FDs                      int
	Rigs                     []Rig
	Capacity                 int
	Boot, Delay              time.Duration
	StateAddr                func(node int, real string) string // nil: the state service's own address
	PeerAddr                 func(from, to int, real string) string
}

// Quito are the settings of the first deployment in the brief.
func Quito() Settings {
	return Settings{Zones: []string{"quito-norte", "quito-norte", "quito-norte"},
		Teams:   []Team{{Name: "equipo-sierra", CPUs: 320, CPUsMax: 512}, {Name: "equipo-costa", CPUs: 320, CPUsMax: 1152}, {Name: "equipo-oriente", CPUs: 576, CPUsMax: 1280}},
		ReportS: 3, LeaseS: 18, CancelS: 43, State: StateLimits{200, 80, 8, 12}, CloudRPS: 5, ListLagS: 8, CPU: 0.18, RAMMB: 179, FDs: 1800,
		Rigs:     []Rig{{Sku: "condor-32", Cores: 32, MemoryGB: 256, CacheGB: 35, Fetch: 0.2, Price: 2.34, LowPrice: 0.53, Startup: 50, Halls: []string{"quito-norte"}}},
		Capacity: 48, Boot: 2 * time.Second, Delay: 5 * time.Millisecond}
}

// freeAddr returns a free address below the ports that the system gives to outgoing connections.
func freeAddr() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// NewSite starts the stand-ins and writes the settings files. No controller runs yet.
func NewSite(dir string, run []string, record *Record, set Settings) (*Site, error) {
	s := &Site{Dir: dir, Record: record, Run: run, Client: &http.Client{Timeout: 5 * time.Second}}
	s.State = NewState(set.State)
	s.Fleet = &Fleet{Rigs: set.Rigs, Record: record, Address: map[string]string{}, ReportS: set.ReportS, LeaseS: set.LeaseS, ListLagS: set.ListLagS,
		Capacity: set.Capacity, Delay: set.Delay, Boot: set.Boot, RPS: set.CloudRPS}
	cloud, err := s.Fleet.Start()
	if err != nil {
		return nil, err
	}
	for i, zone := range set.Zones {
		n := &Node{Name: fmt.Sprintf("stagehand-%d", i), Zone: zone, site: s}
		if n.Listen, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.Internal, err = freeAddr(); err != nil {
			return nil, err
		}
		if n.StateAddr, err = s.State.Serve(n.Name); err != nil {
			return nil, err
		}
		s.Nodes = append(s.Nodes, n)
		s.Fleet.Nodes = append(s.Fleet.Nodes, n.Name)
		s.Fleet.Address[n.Name] = n.Listen
	}
	var zones []string
	for _, z := range set.Zones {
		if !strings.Contains(" "+strings.Join(zones, " ")+" ", " "+z+" ") {
			zones = append(zones, z)
		}
	}
	for i, n := range s.Nodes {
		peers := []map[string]string{}
		for j, p := range s.Nodes {
			if j != i {
				peers = append(peers, map[string]string{"node_name": p.Name, "site": p.Zone, "endpoint": p.Internal})
			}
		}
		file := map[string]any{
			"node_name": n.Name, "site": n.Zone, "listen": n.Listen, "internal_addr": n.Internal, "peers": peers,
			"services": map[string]string{"cloud": cloud, "state": n.StateAddr},
			"deployment": map[string]any{"size": len(s.Nodes), "zones": zones, "teams": set.Teams, "objectives": []any{},
				"workers": map[string]float64{"report_s": set.ReportS, "lease_s": set.LeaseS, "gang_wait_s": 35, "gang_peer_s": 5, "cancel_s": set.CancelS},
				"state":   map[string]any{"rps": set.State.RPS, "write_rps": set.State.WriteRPS, "value_kb": set.State.ValueKB, "txn_ops": set.State.TxnOps},
				"cloud":   map[string]float64{"rps": set.CloudRPS, "list_lag_s": set.ListLagS},
				"quota":   map[string]any{"cpu": set.CPU, "ram_mb": set.RAMMB, "fd_limit": set.FDs}, "clock_error_ms": 100},
		}
		encoded, err := json.MarshalIndent(file, "", "  ")
		if err != nil {
			return nil, err
		}
		n.file = filepath.Join(dir, n.Name+".json")
		if err := os.WriteFile(n.file, encoded, 0o644); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Start starts the controller's process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.site.stopped.Load() {
		return errors.New("the case is over")
	}
	log, err := os.OpenFile(filepath.Join(n.site.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(append([]string{}, n.site.Run[1:]...), n.file)
	cmd := exec.Command(n.site.Run[0], args...)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	n.site.Record.Printf("process  %s started, pid %d", n.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the controller's process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.site.Record.Printf("trouble  signal %v to %s", sig, n.Name)
		_ = n.cmd.Process.Signal(sig)
	}
}

// Kill ends the controller's process and waits until it has ended.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// Stop ends all controllers.
func (s *Site) Stop() {
	s.stopped.Store(true)
	for _, n := range s.Nodes {
		n.mu.Lock()
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		n.mu.Unlock()
	}
}

// StartAll starts all controllers and waits until they are ready.
func (s *Site) StartAll() error {
	for _, n := range s.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range s.Nodes {
		if !s.Until(20*time.Second, func() bool { return s.Ready(n) }) {
			return fmt.Errorf("%s does not become ready", n.Name)
		}
		if !n.Alive() { // somebody else has its port
			return fmt.Errorf("%s has ended", n.Name)
		}
	}
	return nil
}

// Ready asks a controller whether it is ready.
func (s *Site) Ready(n *Node) bool {
	res, err := s.Client.Get("http://" + n.Listen + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == 200
}

// Until waits for a condition and reports whether it came about in time.
func (s *Site) Until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Broken notes that the rule was broken.
func (s *Site) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Record.Printf("BROKEN   %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, text)
}

// BrokenCount returns how often the rule was broken.
func (s *Site) BrokenCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.broken)
}

// Answer is what a controller answers a user.
type Answer struct {
	Code   int    // 0: no answer
	ID     string `json:"name_id"`
	Status string `json:"status"`
	Done   int    `json:"done"`
	Error  string `json:"error"`
}

// Ask sends a user's request to a controller.
func (s *Site) Ask(n *Node, method, path string, body any, limit time.Duration) Answer {
	return s.askBy(s.Client, n, method, path, body, limit)
}

func (s *Site) askBy(by *http.Client, n *Node, method, path string, body any, limit time.Duration) Answer {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Listen+path, reader)
	if err != nil {
		panic(err)
	}
	s.Record.Printf("user     %s %s of %s to %s", method, path, jobOf(body), n.Name)
	var a Answer
	res, err := by.Do(req)
	if err == nil {
		defer res.Body.Close()
		text, err := io.ReadAll(res.Body)
		if err == nil && json.Unmarshal(text, &a) == nil {
			a.Code = res.StatusCode
		}
	}
	s.Record.Printf("user     %s %s of %s at %s: %d %s %s %s", method, path, jobOf(body), n.Name, a.Code, a.ID, a.Status, a.Error)
	return a
}

// Submission is the body that submits a job.
func Submission(j *Job, urgency string) map[string]any {
	shape := "sweep"
	if j.Service {
		shape = "daemon"
	}
	var curtain any
	if j.Curtain > 0 {
		curtain = j.Curtain.Seconds()
	}
	return map[string]any{"name_id": j.ID, "jobline": "narration-render", "crew": j.Team, "shape": shape, "urgency": urgency, "cues": j.Tasks,
		"cores": j.Cores, "cards": 0.0, "memory_gb": j.MemoryGB, "reel": j.Image, "image_gb": j.ImageGB, "rigs": nil, "hall": nil,
		"same_place": false, "apart": false, "standby": false, "runtime_s": max(j.Run, j.Estimate).Seconds(), "bookmark_s": j.Bookmark.Seconds(), "stow_s": j.Stow.Seconds(), "curtain_s": curtain}
}

var errNotAccepted = errors.New("a job is not accepted")

// Submit uploads a job and submits it until it is accepted, at one node after the other.
func (s *Site) Submit(j *Job, urgency string) error {
	s.Fleet.Upload(j)
	for i := range 20 {
		if a := s.Ask(s.Nodes[i%len(s.Nodes)], "POST", "/work", Submission(j, urgency), 5*time.Second); a.Code == 200 || a.Code == 201 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errNotAccepted
}

// Places tracks which task is on which machines, and notes each start of a task that is on another machine.
type Places struct {
	mu sync.Mutex
	on map[string]map[string]float64 // by task and machine: since when
	s  *Site
	// Starts counts the starts of each task.
	starts map[string]int
}

// Watch makes the fleet tell p.
func (s *Site) Watch() *Places {
	p := &Places{on: map[string]map[string]float64{}, starts: map[string]int{}, s: s}
	s.Fleet.OnStart = func(w *Worker, cue string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.on[cue] == nil {
			p.on[cue] = map[string]float64{}
		}
		for other, since := range p.on[cue] {
			s.Broken("ran_twice: %s starts on %s while it is on %s, where it has been since %.3f", cue, w.Name, other, since)
		}
		p.on[cue][w.Name] = s.Record.Now()
		p.starts[cue]++
	}
	s.Fleet.OnEnd = func(w *Worker, cue string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if since, ok := p.on[cue][w.Name]; ok && len(p.on[cue]) > 1 {
			s.Record.Printf("checker  %s was on %s from %.3f on, and on %d machines at once", cue, w.Name, since, len(p.on[cue]))
		}
		delete(p.on[cue], w.Name)
	}
	return p
}

// Of returns the machines that a task is on.
func (p *Places) Of(cue string) (machines []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for m := range p.on[cue] {
		machines = append(machines, m)
	}
	return machines
}

// Count returns how many tasks of a job are on machines.
func (p *Places) Count(job string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for cue, machines := range p.on {
		if strings.HasPrefix(cue, job+"/") && len(machines) > 0 {
			n++
		}
	}
	return n
}

// jobOf returns the id in the body of a submission; "-" if there is none.
func jobOf(body any) string {
	if b, ok := body.(map[string]any); ok {
		return fmt.Sprint(b["name_id"])
	}
	return "-"
}

// QuitoFleet are the settings of audioruta-quito-fleet.
func QuitoFleet() Settings {
	set := Quito()
	set.Zones = []string{"quito-norte", "quito-norte", "quito-norte", "quito-norte", "quito-norte"}
	set.Teams = []Team{{Name: "equipo-sierra", CPUs: 9000, CPUsMax: 15000}, {Name: "equipo-costa", CPUs: 9000, CPUsMax: 35000}, {Name: "equipo-oriente", CPUs: 18000, CPUsMax: 35000}}
	set.ReportS, set.LeaseS, set.CancelS = 6, 31, 56
	set.State = StateLimits{350, 150, 8, 12}
	set.CloudRPS, set.CPU, set.RAMMB, set.FDs = 7, 0.30, 322, 3059
	return set
}
