package scalerun

import (
	"cmp"
	"os"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/launch"
)

// Roles of processes beyond those that a deployment names.
const roleRunner = "runner" // users, links and checkers of all regions

// RoleUse is what all processes of a role use.
type RoleUse struct {
	Processes int     `json:"processes"`
	CPU       float64 `json:"cpu"` // cores, since the sample before
	MostCPU   float64 `json:"most_cpu"`
	MemoryMB  float64 `json:"memory_mb"`
	MostMB    float64 `json:"most_mb"` // of one of them
}

// WorkerUse is what a worker with a process of its own uses.
type WorkerUse struct {
	Name        string  `json:"name"`
	CPU         float64 `json:"cpu"` // cores, since the sample before
	MemoryMB    float64 `json:"memory_mb"`
	KilobytesPS float64 `json:"kilobytes_per_s"`
	Reports     float64 `json:"reports_per_s"`
	Tasks       int     `json:"tasks"`
}

// RegionSample is a region at one time.
type RegionSample struct {
	Machines  int `json:"machines"`
	Running   int `json:"running"`
	Starts    int `json:"starts"` // since the sample before
	Left      int `json:"left"`   // jobs whose users are not through
	Broken    int `json:"broken"` // rules, so far
	Requests  int `json:"state_requests"`
	Revisions int `json:"state_revisions"`
}

// Sample is a run at one time.
type Sample struct {
	AtS       float64            `json:"at_s"`
	TookS     float64            `json:"took_s"` // since the sample before
	Phase     string             `json:"phase"`
	Regions   []RegionSample     `json:"regions"`
	Roles     map[string]RoleUse `json:"roles"`
	Workers   []WorkerUse        `json:"workers"`
	Traffic   map[string]float64 `json:"traffic"`  // kilobytes a second between controllers and others
	Busy      float64            `json:"busy"`     // cores that the whole machine spends, this run and others
	Pressure  float64            `json:"pressure"` // share of the time in which something on the machine waited for a processor
	MemoryMB  float64            `json:"memory_mb"`
	Processes int                `json:"processes"`
}

// sum adds the regions up.
func (s Sample) sum() (out RegionSample) {
	for _, r := range s.Regions {
		out.Machines += r.Machines
		out.Running += r.Running
		out.Starts += r.Starts
		out.Left += r.Left
		out.Broken += r.Broken
		out.Requests += r.Requests
		out.Revisions += r.Revisions
	}
	return out
}

// CPU is what the run spends, in cores.
func (s Sample) CPU() float64 {
	sum := 0.0
	for _, u := range s.Roles {
		sum += u.CPU
	}
	return sum
}

// sampler reads what a run uses, and remembers the readings before.
type sampler struct {
	began   time.Time
	last    time.Time
	busy    float64
	waited  float64
	cpu     map[int]float64 // by process
	starts  []int           // by region
	state   []launch.StateFigures
	traffic launch.Traffic
	workers map[string]launch.WorkerFigures
}

func newSampler(regions int) *sampler {
	return &sampler{began: time.Now(), last: time.Now(), busy: busyS(), waited: waitedS(), cpu: map[int]float64{}, starts: make([]int, regions),
		state: make([]launch.StateFigures, regions), workers: map[string]launch.WorkerFigures{}}
}

// sample reads all.
func (s *sampler) sample(phase string, regions []*region) Sample {
	now := time.Now()
	out := Sample{AtS: now.Sub(s.began).Seconds(), TookS: max(now.Sub(s.last).Seconds(), 0.001), Phase: phase, Roles: map[string]RoleUse{}, Traffic: map[string]float64{}}
	s.last = now
	busy := busyS()
	out.Busy, s.busy = (busy-s.busy)/out.TookS, busy
	waited := waitedS()
	out.Pressure, s.waited = (waited-s.waited)/out.TookS, waited
	s.process(&out, roleRunner, os.Getpid())
	var traffic launch.Traffic
	asked := ask(regions)
	for i, r := range regions {
		out.Regions = append(out.Regions, s.region(i, r, asked[i]))
		s.processes(&out, r, asked[i].workers)
		t := r.d.Traffic()
		traffic = launch.Traffic{Workers: traffic.Workers + t.Workers, Users: traffic.Users + t.Users, State: traffic.State + t.State, Cloud: traffic.Cloud + t.Cloud, Peers: traffic.Peers + t.Peers}
	}
	rate := func(name string, now, before uint64) {
		out.Traffic[name] = float64(now-before) / 1000 / out.TookS
	}
	rate("workers", traffic.Workers, s.traffic.Workers)
	rate("users", traffic.Users, s.traffic.Users)
	rate("state service", traffic.State, s.traffic.State)
	rate("cloud", traffic.Cloud, s.traffic.Cloud)
	rate("controllers", traffic.Peers, s.traffic.Peers)
	s.traffic = traffic
	return out
}

// answers are what a region's processes tell of themselves.
type answers struct {
	progress launch.Progress
	state    launch.StateFigures
	served   bool // the state service has told
	workers  map[string]launch.WorkerFigures
}

// ask asks all regions at once: on a busy machine answers take their time.
func ask(regions []*region) []answers {
	out := make([]answers, len(regions))
	var all sync.WaitGroup
	for i, r := range regions {
		a := &out[i]
		all.Go(func() { a.progress = r.d.Progress() })
		all.Go(func() { a.workers = r.d.WorkerFigures() })
		all.Go(func() {
			f, err := r.d.StateFigures()
			a.state, a.served = f, err == nil
		})
	}
	all.Wait()
	return out
}

func (s *sampler) region(i int, r *region, a answers) RegionSample {
	p := a.progress
	running, starts, _ := r.seen.state()
	out := RegionSample{Machines: p.Machines, Running: running, Starts: starts - s.starts[i], Left: p.Left, Broken: len(p.Broken)}
	s.starts[i] = starts
	if f := a.state; a.served {
		out.Requests, out.Revisions = int(f.Requests-s.state[i].Requests), int(f.Revision-s.state[i].Revision)
		s.state[i] = f
	}
	return out
}

// process adds a process to its role, and returns what it uses.
func (s *sampler) process(out *Sample, role string, pid int) (cpu, memoryMB float64) {
	use, ok := readSpent(pid)
	if !ok {
		return 0, 0
	}
	if before, known := s.cpu[pid]; known {
		cpu = (use.cpuS - before) / out.TookS
	}
	s.cpu[pid] = use.cpuS
	u := out.Roles[role]
	u.Processes++
	u.CPU, u.MostCPU = u.CPU+cpu, max(u.MostCPU, cpu)
	u.MemoryMB, u.MostMB = u.MemoryMB+use.memoryMB, max(u.MostMB, use.memoryMB)
	out.Roles[role] = u
	out.MemoryMB += use.memoryMB
	out.Processes++
	return cpu, use.memoryMB
}

func (s *sampler) processes(out *Sample, r *region, figures map[string]launch.WorkerFigures) {
	for _, p := range r.d.Processes() {
		cpu, memory := s.process(out, p.Role, p.PID)
		f, ok := figures[p.Name]
		if !ok {
			continue
		}
		name := r.name + " " + p.Name
		before, known := s.workers[name]
		s.workers[name] = f
		if known {
			out.Workers = append(out.Workers, WorkerUse{Name: name, CPU: cpu, MemoryMB: memory, Tasks: f.Running,
				KilobytesPS: float64(f.Bytes-before.Bytes) / 1000 / out.TookS, Reports: float64(f.Reports-before.Reports) / out.TookS})
		}
	}
}

func byName(a, b WorkerUse) int { return cmp.Compare(a.Name, b.Name) }
