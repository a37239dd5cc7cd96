package shardplan

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// loadInterval is for how long measured loads are taken as they are.
const loadInterval = units.Second / 4

// load is a shard's unfinished work and what it has for that.
type load struct {
	work     float64 // thousandths of a CPU times seconds
	capacity float64 // thousandths of a CPU of its machines
	machines int
}

// loads are those of all shards, as they were last measured, with the migrations that
// this controller has decided since.
type loads struct {
	byShard []load
	nextAt  units.Microseconds // they are measured again then
}

// measure adds up the unfinished work and the machines of each shard.
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

// remainingWork is the work that a job has left.
func remainingWork(job *jobs.Job) float64 {
	spec := job.Spec()
	return float64(job.Record.Tasks-job.Finished()) * float64(spec.Demand[binpack.CPU]) * max(spec.Estimate.Seconds(), 1)
}

// machines counts the machines of all shards.
func (l *loads) machines() int {
	n := 0
	for _, shard := range l.byShard {
		n += shard.machines
	}
	return n
}

// capacity adds up the CPU of all shards. It is never 0, so that it can divide.
func (l *loads) capacity() float64 {
	sum := 1.0
	for _, shard := range l.byShard {
		sum += shard.capacity
	}
	return sum
}

// relative is a load's work for its capacity. A shard that has little capacity yet can
// provision some.
func (l *loads) relative(shard load) float64 {
	least := l.capacity() / float64(2*len(l.byShard))
	return shard.work / max(shard.capacity, least)
}

// NewJobShard returns the shard to which a new job goes.
func (p *Planner) NewJobShard(now units.Microseconds) int {
	p.measure(now)
	return p.leastLoaded()
}

// leastLoaded returns the shard with the least work for its capacity among those that may
// use a part of the limits. Where one shard can carry all, that is the first.
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
