// Package site combines the models of the cloud provider and of its machines: a created machine boots
// and runs a worker, and a machine that is deleted, reclaimed or fails ends with all tasks on it. Like
// these models it is deterministic and does no I/O.
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

// Config holds the parameters of a site.
type Config struct {
	Cloud             cloudprovider.Config
	HeartbeatInterval units.Microseconds
	Lease             units.Microseconds
	Nodes             []string // controllers
	MaxDrift          float64  // maximum rate error of the workers' clocks, as a share
	ExternalWorkers   int      // maximum number of machines at a time whose worker runs in a process of its own
}

// Effects.
type (
	// MachineUp is an effect: a machine's worker starts.
	MachineUp struct{ *cloudprovider.Machine }
	// MachineEnded is an effect: a machine was deleted or reclaimed or has failed.
	MachineEnded struct{ *cloudprovider.Machine }
	// ExternalWorkerStarted is an effect: a machine's worker is to be started in a process of its own
	// with this configuration. That process must stop it at the machine's MachineEnded.
	ExternalWorkerStarted struct {
		*cloudprovider.Machine
		Config machine.Config
		Fault  machine.Fault
	}
	// HeartbeatSent is an effect: a heartbeat to be sent to a controller.
	HeartbeatSent struct {
		Machine string
		machine.Heartbeat
	}
	// TaskStarted is an effect: a task runs on a machine, with its image fetched.
	TaskStarted struct {
		*cloudprovider.Machine
		Task jobs.TaskID
	}
	// TaskEnded is an effect: a task no longer runs on a machine.
	TaskEnded struct {
		*cloudprovider.Machine
		Task      jobs.TaskID
		Completed bool
	}
)

// Site models a cloud with its machines.
type Site struct {
	Cloud   *cloudprovider.Provider
	Uploads work.Uploads

	config   Config
	rng      *rand.Rand
	types    map[string]cloudprovider.MachineType
	workers  map[string]*worker
	external map[string]bool // machines whose worker runs in a process of its own
	schedule eventqueue.Queue[*worker]
	effects  []any
}

// worker is the worker of a machine that runs in this process.
type worker struct {
	*machine.Worker
	machine     *cloudprovider.Machine
	scheduledAt units.Microseconds // time of its next Advance
}

// New returns a site without machines.
func New(config Config, rng *rand.Rand) *Site {
	s := &Site{Cloud: cloudprovider.New(config.Cloud, rand.New(rand.NewPCG(rng.Uint64(), 1))), Uploads: work.Uploads{}, config: config, rng: rng,
		types: map[string]cloudprovider.MachineType{}, workers: map[string]*worker{}, external: map[string]bool{}}
	for _, t := range config.Cloud.Types {
		s.types[t.Name] = t
	}
	return s
}

// Next returns the time at which Advance is due next.
func (s *Site) Next() units.Microseconds { return min(s.Cloud.Next(), s.schedule.Next()) }

// Advance advances the cloud and its machines to now.
func (s *Site) Advance(now units.Microseconds) {
	s.Cloud.Advance(now)
	s.processCloudEffects(now)
	for {
		at, w, ok := s.schedule.Due(now)
		if !ok {
			return
		}
		if s.workers[w.machine.Name] == w && w.scheduledAt == at {
			w.Advance(now)
			s.reschedule(now, w)
		}
	}
}

// processCloudEffects applies the effects of the cloud model to the workers.
func (s *Site) processCloudEffects(now units.Microseconds) {
	for _, e := range s.Cloud.Drain() {
		switch e := e.(type) {
		case cloudprovider.MachineStarted:
			s.startWorker(now, e.Machine)
		case cloudprovider.MachineEnded:
			if w := s.workers[e.Machine.Name]; w != nil {
				w.Stop(now)
				s.collectEffects(w)
				delete(s.workers, e.Machine.Name)
			}
			delete(s.external, e.Machine.Name)
			s.effects = append(s.effects, MachineEnded{e.Machine})
		case cloudprovider.ReclaimNotice:
			if w := s.workers[e.Machine.Name]; w != nil {
				w.NoticeReclaim(now, e.In)
				s.reschedule(now, w)
			}
		}
	}
}

// startWorker starts the worker of a machine that is up, here or in a process of its own.
func (s *Site) startWorker(now units.Microseconds, m *cloudprovider.Machine) {
	t := s.types[m.Type]
	config := machine.Config{Name: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Capacity: Capacity(t), CacheMB: units.MilliDown(t.CacheGB), FetchMBs: max(1, int64(float64(units.MilliDown(t.FetchGBs))*m.FetchSpeed)),
		HeartbeatEvery: s.config.HeartbeatInterval, Lease: s.config.Lease, Nodes: s.config.Nodes, ClockRate: 1 + s.config.MaxDrift*(2*s.rng.Float64()-1)}
	fault := machine.Fault{Speed: m.Speed, FailsTasks: m.FailsTasks}
	if len(s.external) < s.config.ExternalWorkers {
		s.external[m.Name] = true
		s.effects = append(s.effects, MachineUp{m}, ExternalWorkerStarted{m, config, fault})
		return
	}
	w := &worker{machine: m, Worker: machine.New(config, fault, s.Uploads, now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))}
	s.workers[m.Name] = w
	s.effects = append(s.effects, MachineUp{m})
	w.Advance(now)
	s.reschedule(now, w)
}

// Capacity returns the capacity of a machine type, in thousandths.
func Capacity(t cloudprovider.MachineType) binpack.Vec {
	return binpack.Vec{units.MilliDown(t.CPUs), units.MilliDown(t.GPUs), units.MilliDown(t.MemoryGB)}
}

// CPUs returns the number of CPUs of a machine.
func (s *Site) CPUs(m *cloudprovider.Machine) float64 { return s.types[m.Type].CPUs }

// reschedule collects a worker's effects and schedules its next Advance.
func (s *Site) reschedule(now units.Microseconds, w *worker) {
	s.collectEffects(w)
	if next := max(w.Next(), now+1); next != w.scheduledAt {
		w.scheduledAt = next
		s.schedule.Add(next, w)
	}
}

// collectEffects passes on the effects of a worker.
func (s *Site) collectEffects(w *worker) {
	for _, e := range w.Drain() {
		switch e := e.(type) {
		case machine.Heartbeat:
			s.effects = append(s.effects, HeartbeatSent{w.machine.Name, e})
		case machine.TaskStarted:
			s.effects = append(s.effects, TaskStarted{w.machine, e.Task})
		case machine.TaskEnded:
			s.effects = append(s.effects, TaskEnded{w.machine, e.Task, e.Completed})
		}
	}
}

// HandleResponse passes the response to a heartbeat to a machine. Code 0 means that the heartbeat
// failed.
func (s *Site) HandleResponse(now units.Microseconds, name string, number int, a machine.Response) {
	s.Advance(now)
	w := s.workers[name]
	if w == nil {
		return
	}
	if a.Code == 0 {
		w.HeartbeatFailed(now, number)
	} else {
		w.HandleResponse(now, number, a)
	}
	s.reschedule(now, w)
}

// HandleDirect executes commands that a controller sent directly to a machine, and returns the body of
// a heartbeat. accepted is as for machine.Worker.HandleDirect. found is false if the machine does not
// exist or does not respond.
func (s *Site) HandleDirect(now units.Microseconds, name string, token, incarnation uint64, commands []fleet.Command) (r *fleet.Heartbeat, saved map[jobs.TaskID]bool, accepted, found bool) {
	s.Advance(now)
	w := s.workers[name]
	if w == nil || w.Hung(now) || w.InboundCut(now) {
		return nil, nil, false, false
	}
	accepted = w.HandleDirect(now, token, incarnation, commands)
	r, saved = w.Status()
	s.reschedule(now, w)
	return r, saved, accepted, true
}

// Status returns the body of a machine's heartbeat. found is false if the machine does not exist or is
// hung.
func (s *Site) Status(now units.Microseconds, name string) (r *fleet.Heartbeat, saved map[jobs.TaskID]bool, found bool) {
	s.Advance(now)
	w := s.workers[name]
	if w == nil || w.Hung(now) {
		return nil, nil, false
	}
	r, saved = w.Status()
	return r, saved, true
}

// Worker returns a machine's worker, or nil if none runs in this process.
func (s *Site) Worker(name string) *machine.Worker {
	if w := s.workers[name]; w != nil {
		return w.Worker
	}
	return nil
}

// WorkerCount returns the number of machines that are up.
func (s *Site) WorkerCount() int { return len(s.workers) + len(s.external) }

// Running returns the number of tasks that are on machines with their image, without the machines
// whose worker runs in a process of its own.
func (s *Site) Running() int {
	n := 0
	for _, w := range s.workers {
		n += w.Running()
	}
	return n
}

// PickMachines draws up to n of the machines that are up and match, in random order. A nil match
// matches all.
func (s *Site) PickMachines(n int, match func(*cloudprovider.Machine) bool) []*cloudprovider.Machine {
	alive := slices.DeleteFunc(s.Cloud.Alive(), func(m *cloudprovider.Machine) bool { return match != nil && !match(m) })
	s.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(n, len(alive))]
}

// Kill makes a machine fail, with all tasks on it.
func (s *Site) Kill(now units.Microseconds, m *cloudprovider.Machine) {
	s.Advance(now)
	s.Cloud.Kill(now, m)
	s.processCloudEffects(now)
}

// Reclaim makes the cloud reclaim a spot machine, see cloudprovider.Provider.Reclaim.
func (s *Site) Reclaim(now units.Microseconds, m *cloudprovider.Machine, notice units.Microseconds, noNoticeShare float64) {
	s.Advance(now)
	s.Cloud.Reclaim(now, m, notice, noNoticeShare)
	s.processCloudEffects(now)
}

// Hang suspends a machine until a time.
func (s *Site) Hang(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if w := s.workers[m.Name]; w != nil {
		w.Hang(now, until)
		s.reschedule(now, w)
	}
}

// CutInbound drops all responses and commands to a machine until a time.
func (s *Site) CutInbound(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if w := s.workers[m.Name]; w != nil {
		w.CutInbound(until)
	}
}

// CutOutbound drops a machine's heartbeats until a time. Direct commands still reach it.
func (s *Site) CutOutbound(now units.Microseconds, m *cloudprovider.Machine, until units.Microseconds) {
	s.Advance(now)
	if w := s.workers[m.Name]; w != nil {
		w.CutOutbound(until)
	}
}

// SetFault replaces a machine's faults.
func (s *Site) SetFault(now units.Microseconds, m *cloudprovider.Machine, f machine.Fault) {
	s.Advance(now)
	m.Speed, m.FailsTasks = f.Speed, f.FailsTasks
	if w := s.workers[m.Name]; w != nil {
		w.SetFault(now, f)
		s.reschedule(now, w)
	}
}

// Drain returns and clears the effects since the last call.
func (s *Site) Drain() []any {
	effects := s.effects
	s.effects = nil
	return effects
}
