// Package site joins the models of the cloud and of its machines: what is rented
// boots and works, and what is taken or dies ends with all that is on it. It is
// pure like they are.
package site

import (
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/work"
)

// Config says what the site is like.
type Config struct {
	Cloud             cloudprovider.Config
	HeartbeatInterval units.Microseconds
	Lease             units.Microseconds
	Nodes             []string // controllers
	MaxDrift          float64  // of workers' clocks, as a share
	ExternalWorkers   int      // machines at a time whose worker runs in a process of its own
}

// Effects.
type (
	// MachineUp says that a machine's worker begins, Gone that the machine has ended.
	MachineUp    struct{ *cloudprovider.Machine }
	MachineEnded struct{ *cloudprovider.Machine }
	// ExternalWorkerStarted says that a machine's worker begins in a process of its own, as it is
	// described; its Gone tells that process to end it.
	ExternalWorkerStarted struct {
		*cloudprovider.Machine
		Config machine.Config
		Fault  machine.Fault
	}
	// HeartbeatSent is a report to be sent to a controller.
	HeartbeatSent struct {
		Machine string
		machine.Heartbeat
	}
	// TaskStarted and Ended say what is on a machine with its image.
	TaskStarted struct {
		*cloudprovider.Machine
		Task jobs.TaskID
	}
	TaskEnded struct {
		*cloudprovider.Machine
		Task      jobs.TaskID
		Completed bool
	}
)

// Site is the cloud with its machines.
type Site struct {
	Cloud   *cloudprovider.Provider
	Uploads work.Uploads

	cfg     Config
	rng     *rand.Rand
	types   map[string]cloudprovider.MachineType
	workers map[string]*member
	apart   map[string]bool // machines whose worker runs in a process of its own
	due     eventqueue.Queue[*member]
	out     []any
}

type member struct {
	*machine.Worker
	m    *cloudprovider.Machine
	plan units.Microseconds // when it is next looked at
}

// New returns a site with nothing rented.
func New(cfg Config, rng *rand.Rand) *Site {
	s := &Site{Cloud: cloudprovider.New(cfg.Cloud, rand.New(rand.NewPCG(rng.Uint64(), 1))), Uploads: work.Uploads{}, cfg: cfg, rng: rng,
		types: map[string]cloudprovider.MachineType{}, workers: map[string]*member{}, apart: map[string]bool{}}
	for _, t := range cfg.Cloud.Types {
		s.types[t.Name] = t
	}
	return s
}

// Next returns when Advance is next of use.
func (s *Site) Next() units.Microseconds { return min(s.Cloud.Next(), s.due.Next()) }

// Advance lets time pass.
func (s *Site) Advance(now units.Microseconds) {
	s.Cloud.Advance(now)
	s.sync(now)
	for {
		at, k, ok := s.due.Due(now)
		if !ok {
			return
		}
		if s.workers[k.m.Name] == k && k.plan == at {
			k.Advance(now)
			s.settle(now, k)
		}
	}
}

// sync takes up what the cloud did.
func (s *Site) sync(now units.Microseconds) {
	for _, e := range s.Cloud.Drain() {
		switch e := e.(type) {
		case cloudprovider.MachineStarted:
			s.begin(now, e.Machine)
		case cloudprovider.MachineEnded:
			if k := s.workers[e.Machine.Name]; k != nil {
				k.Stop(now)
				s.collect(k)
				delete(s.workers, e.Machine.Name)
			}
			delete(s.apart, e.Machine.Name)
			s.out = append(s.out, MachineEnded{e.Machine})
		case cloudprovider.ReclaimNotice:
			if k := s.workers[e.Machine.Name]; k != nil {
				k.NoticeReclaim(now, e.In)
				s.settle(now, k)
			}
		}
	}
}

func (s *Site) begin(now units.Microseconds, m *cloudprovider.Machine) {
	t := s.types[m.Type]
	cfg := machine.Config{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Capacity: Capacity(t), CacheMB: units.MilliDown(t.CacheGB), FetchMBs: max(1, int64(float64(units.MilliDown(t.FetchGBs))*m.FetchSpeed)),
		HeartbeatEvery: s.cfg.HeartbeatInterval, Lease: s.cfg.Lease, Nodes: s.cfg.Nodes, ClockRate: 1 + s.cfg.MaxDrift*(2*s.rng.Float64()-1)}
	fault := machine.Fault{Speed: m.Speed, FailsTasks: m.FailsTasks}
	if len(s.apart) < s.cfg.ExternalWorkers {
		s.apart[m.Name] = true
		s.out = append(s.out, MachineUp{m}, ExternalWorkerStarted{m, cfg, fault})
		return
	}
	k := &member{m: m, Worker: machine.New(cfg, fault, s.Uploads, now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))}
	s.workers[m.Name] = k
	s.out = append(s.out, MachineUp{m})
	k.Advance(now)
	s.settle(now, k)
}

// Capacity is what a machine of a type has, in thousandths.
func Capacity(t cloudprovider.MachineType) binpack.Vec {
	return binpack.Vec{units.MilliDown(t.CPUs), units.MilliDown(t.GPUs), units.MilliDown(t.MemoryGB)}
}

// CPUs is how many a machine has.
func (s *Site) CPUs(m *cloudprovider.Machine) float64 { return s.types[m.Type].CPUs }

// settle takes up what a worker did and plans its next look.
func (s *Site) settle(now units.Microseconds, k *member) {
	s.collect(k)
	if next := max(k.Next(), now+1); next != k.plan {
		k.plan = next
		s.due.Add(next, k)
	}
}

func (s *Site) collect(k *member) {
	for _, e := range k.Drain() {
		switch e := e.(type) {
		case machine.Heartbeat:
			s.out = append(s.out, HeartbeatSent{k.m.Name, e})
		case machine.TaskStarted:
			s.out = append(s.out, TaskStarted{k.m, e.Task})
		case machine.TaskEnded:
			s.out = append(s.out, TaskEnded{k.m, e.Task, e.Completed})
		}
	}
}

// HandleResponse takes the answer to a report; Code 0: it failed.
func (s *Site) HandleResponse(now units.Microseconds, name string, number int, a machine.Response) {
	s.Advance(now)
	k := s.workers[name]
	if k == nil {
		return
	}
	if a.Code == 0 {
		k.HeartbeatFailed(now, number)
	} else {
		k.HandleResponse(now, number, a)
	}
	s.settle(now, k)
}

// HandleDirect carries commands out that came straight to a machine, and returns its
// report; found is false where there is no such machine, or it does not speak.
func (s *Site) HandleDirect(now units.Microseconds, name string, token, session uint64, commands []fleet.Command) (r *fleet.Heartbeat, saved map[jobs.TaskID]bool, taken, found bool) {
	s.Advance(now)
	k := s.workers[name]
	if k == nil || k.Hung(now) || k.InboundCut(now) {
		return nil, nil, false, false
	}
	taken = k.HandleDirect(now, token, session, commands)
	r, saved = k.Status()
	s.settle(now, k)
	return r, saved, taken, true
}

// Status returns a machine's report.
func (s *Site) Status(now units.Microseconds, name string) (r *fleet.Heartbeat, saved map[jobs.TaskID]bool, found bool) {
	s.Advance(now)
	k := s.workers[name]
	if k == nil || k.Hung(now) {
		return nil, nil, false
	}
	r, saved = k.Status()
	return r, saved, true
}

// Worker returns a machine's worker, or nil.
func (s *Site) Worker(name string) *machine.Worker {
	if k := s.workers[name]; k != nil {
		return k.Worker
	}
	return nil
}

// WorkerCount returns how many machines are up.
func (s *Site) WorkerCount() int { return len(s.workers) + len(s.apart) }

// Running returns how many tasks are on machines with their image, but for machines whose
// worker runs in a process of its own.
func (s *Site) Running() int {
	n := 0
	for _, k := range s.workers {
		n += k.Running()
	}
	return n
}

// PickMachines draws n of the machines that are up and match; an empty type or zone
// matches any. The order is that of the draw.
func (s *Site) PickMachines(n int, match func(*cloudprovider.Machine) bool) []*cloudprovider.Machine {
	alive := slices.DeleteFunc(s.Cloud.Alive(), func(m *cloudprovider.Machine) bool { return match != nil && !match(m) })
	s.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// Kill stops a machine with all that is on it.
func (s *Site) Kill(now units.Microseconds, m *cloudprovider.Machine) {
	s.Advance(now)
	s.Cloud.Kill(now, m)
	s.sync(now)
}

// Reclaim lets the cloud take a spot machine back.
func (s *Site) Reclaim(now units.Microseconds, m *cloudprovider.Machine, notice units.Microseconds, silent float64) {
	s.Advance(now)
	s.Cloud.Reclaim(now, m, notice, silent)
	s.sync(now)
}

// Hang lets a machine stand still until a time.
func (s *Site) Hang(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if k := s.workers[m.Name]; k != nil {
		k.Hang(now, until)
		s.settle(now, k)
	}
}

// CutInbound lets no answer and no command reach a machine until a time.
func (s *Site) CutInbound(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if k := s.workers[m.Name]; k != nil {
		k.CutInbound(until)
	}
}

// CutOutbound lets no report of a machine reach a controller until a time; direct commands reach it.
func (s *Site) CutOutbound(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if k := s.workers[m.Name]; k != nil {
		k.CutOutbound(until)
	}
}

// SetFault changes what is wrong with a machine.
func (s *Site) SetFault(now units.Microseconds, m *cloudprovider.Machine, f machine.Fault) {
	s.Advance(now)
	m.Speed, m.FailsTasks = f.Speed, f.FailsTasks
	if k := s.workers[m.Name]; k != nil {
		k.SetFault(now, f)
		s.settle(now, k)
	}
}

// Drain returns the effects since the last call.
func (s *Site) Drain() []any {
	out := s.out
	s.out = nil
	return out
}
