package shardplan

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// loadInterval is how long measured loads are reused before they are measured again.
const loadInterval = units.Second / 4

// load is the unfinished work of a shard and the capacity of its machines.
type load struct {
	work     float64 // in thousandths of a CPU times seconds
	capacity float64 // in thousandths of a CPU
	machines int
}

// loads holds the loads of all shards as last measured, adjusted for the migrations that this controller has
// decided since.
type loads struct {
	byShard []load
	nextAt  units.Microseconds // time of the next measurement
}

// measure adds up the unfinished work and the machines of each shard, unless the last measurement is recent.
func (p *Planner) measure(now units.Microseconds) {
	shards := p.shardCount()
	if now < p.loads.nextAt && len(p.loads.byShard) == shards {
		return
	}
	p.loads.nextAt = now + loadInterval
	byShard := make([]load, shards)
	for job := range p.host.ActiveJobs() {
		if shard := job.Record.Shard; shard < shards && job.OpenDependencies == 0 {
			byShard[shard].work += remainingWork(job)
		}
	}
	for _, group := range p.host.MachineGroups() {
		machineType := p.host.Type(group.Type)
		if machineType == nil || group.Shard >= shards {
			continue
		}
		machines := len(group.Up) + len(group.Booting)
		byShard[group.Shard].machines += machines
		byShard[group.Shard].capacity += float64(machineType.Capacity[binpack.CPU]) * float64(machines)
	}
	p.loads.byShard = byShard
}

// remainingWork returns the unfinished work of a job, in thousandths of a CPU times seconds.
func remainingWork(job *jobs.Job) float64 {
	spec := job.Spec()
	return float64(job.Record.Tasks-job.Finished()) * float64(spec.Demand[binpack.CPU]) * max(spec.Estimate.Seconds(), 1)
}

// machines returns the number of machines of all shards.
func (l *loads) machines() int {
	n := 0
	for _, shard := range l.byShard {
		n += shard.machines
	}
	return n
}

// capacity returns the CPU of all shards, in thousandths. It is never 0, so that it can be a divisor.
func (l *loads) capacity() float64 {
	sum := 1.0
	for _, shard := range l.byShard {
		sum += shard.capacity
	}
	return sum
}

// relative returns the work of a load relative to its capacity. A shard counts as having at least half of an
// average shard's capacity: one that has little yet can provision machines.
func (l *loads) relative(shard load) float64 {
	least := l.capacity() / float64(2*len(l.byShard))
	return shard.work / max(shard.capacity, least)
}

// NewJobShard returns the shard that a new job is put into.
func (p *Planner) NewJobShard(now units.Microseconds) int {
	p.measure(now)
	return p.leastLoaded()
}

// leastLoaded returns the shard with the least work relative to its capacity among those that may use a part
// of the limits. If one shard can carry all the work, that is shard 0.
func (p *Planner) leastLoaded() int {
	if p.loads.machines() <= p.cfg.ShardMachines/2 {
		return 0
	}
	best := 0
	for shard, load := range p.loads.byShard {
		if p.records.Allocation(shard).Open() && p.loads.relative(load) < p.loads.relative(p.loads.byShard[best]) {
			best = shard
		}
	}
	return best
}
