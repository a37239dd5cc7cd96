package introspect

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// Stats are the figures of a controller that an operator may want to monitor.
type Stats struct {
	Member       bool
	Leading      bool
	Full         bool               // memory is nearly full
	KnownJobs    int                // in memory, final ones included
	Keys         int                // in the watch cache
	FinishedJobs int                // final jobs that are not archived
	ArchivedIDs  int                // archived jobs whose IDs the filter holds
	ArchiveReads uint64             // buckets read since the controller started
	ArchiveShed  uint64             // look-ups refused since the controller started
	ActiveJobs   int                // of all shards
	BlockedJobs  int                // active jobs that wait for other jobs
	Writes       int                // queued for the state service
	Term         uint64             // of the stored leader; 0: none is stored
	Revision     uint64             // of the state service, up to which this controller has read
	StateAge     units.Microseconds // time since the request of the last successful read was sent
	Heartbeats   reconcile.Counters
	Zones        []zones.ZoneStats
	Shards       []ShardStats
}

// ShardStats are the figures of a shard that the controller owns.
type ShardStats struct {
	Shard          int
	FencingToken   uint64
	OwnedFor       units.Microseconds
	Jobs           int
	Waiting        int    // tasks
	Placed         int    // tasks
	Started        uint64 // tasks started since this controller has owned the shard
	Unreconciled   int    // machines
	Standby        string // stored standby, which knows of every start in the shard; "": none
	Ordinary, Spot PoolStats
}

// PoolStats are the figures of one kind of machine, ordinary or spot.
type PoolStats struct {
	Machines, Booting, Idle int
	UsedCPUs, CPUs          int64
}

const milliCPU = 1000 // thousandths of a CPU

// AddMachines adds machines to the figures.
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

// AddJobs adds active jobs to the figures.
func (s *ShardStats) AddJobs(active []*jobs.Job) {
	s.Jobs += len(active)
	for _, job := range active {
		s.Waiting += job.Ready()
		s.Placed += job.Placed()
	}
}

// Log logs the figures of the shard's machines and jobs.
func (s *ShardStats) Log(log *slog.Logger) {
	s.Ordinary.log(log, "ordinary")
	s.Spot.log(log, "spot")
	log.Info("work", "jobs", s.Jobs, "tasks_waiting", s.Waiting, "tasks_placed", s.Placed)
}

func (p *PoolStats) log(log *slog.Logger, kind string) {
	log.Info("fleet", "kind", kind, "machines", p.Machines, "booting", p.Booting, "idle", p.Idle, "cpus_used", p.UsedCPUs, "cpus", p.CPUs)
}
