package introspect

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/zones"
)

// Stats is what an operator may want to watch of a controller.
type Stats struct {
	Member       bool
	Leading      bool
	Full         bool   // memory is nearly full
	KnownJobs    int    // in memory, final ones included
	Keys         int    // in the copy of the state service's keys
	FinishedJobs int    // jobs that are over and not archived
	ArchivedIDs  int    // archived jobs that the filter knows
	ArchiveReads uint64 // buckets read since the start
	ArchiveShed  uint64 // look-ups refused since the start
	ActiveJobs   int    // of all shards
	BlockedJobs  int    // of those, the ones that wait for others to be done
	Writes       int    // that wait for the state service
	Zones        []zones.ZoneStats
	Shards       []ShardStats
}

// ShardStats tells of a shard that the controller owns.
type ShardStats struct {
	Shard          int
	Jobs           int
	Waiting        int    // tasks
	Placed         int    // tasks
	Started        uint64 // tasks, since this controller has owned it
	Unreconciled   int    // machines
	Standby        string // who knows all that is started here; "": nobody
	Ordinary, Spot PoolStats
}

// PoolStats tells of the machines of one kind.
type PoolStats struct {
	Machines, Booting, Idle int
	UsedCPUs, CPUs          int64
}

const milliCPU = 1000 // thousandths of a CPU

// AddMachines counts a shard's machines.
func (s *ShardStats) AddMachines(machines map[string]*fleet.Machine) {
	for _, machine := range machines {
		if machine.Record.Spot {
			s.Spot.add(machine)
		} else {
			s.Ordinary.add(machine)
		}
	}
}

func (p *PoolStats) add(machine *fleet.Machine) {
	p.Machines++
	if machine.LastSeen == 0 {
		p.Booting++
	} else if len(machine.Tasks) == 0 {
		p.Idle++
	}
	if machine.Type != nil {
		p.CPUs += machine.Type.Capacity[binpack.CPU] / milliCPU
		p.UsedCPUs += machine.Used()[binpack.CPU] / milliCPU
	}
}

// AddJobs counts a shard's jobs.
func (s *ShardStats) AddJobs(active []*jobs.Job) {
	s.Jobs += len(active)
	for _, job := range active {
		s.Waiting += job.Ready()
		s.Placed += job.Placed()
	}
}

// Log tells an operator what there is in a shard and what it does.
func (s *ShardStats) Log(log *slog.Logger) {
	s.Ordinary.log(log, "ordinary")
	s.Spot.log(log, "spot")
	log.Info("work", "jobs", s.Jobs, "tasks_waiting", s.Waiting, "tasks_placed", s.Placed)
}

func (p *PoolStats) log(log *slog.Logger, kind string) {
	log.Info("fleet", "kind", kind, "machines", p.Machines, "booting", p.Booting, "idle", p.Idle, "cpus_used", p.UsedCPUs, "cpus", p.CPUs)
}
