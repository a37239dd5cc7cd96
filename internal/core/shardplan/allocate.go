package shardplan

import (
	"math"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// targetInterval is the least time between two divisions of the limits, and targetStep
	// the part of a limit that must be at stake.
	targetInterval = 10 * units.Second
	targetStep     = 0.04
	// rounding is by how much fractions of a limit may add up to more than all of it.
	rounding = 1e-6
	// leastShare divides an even part of the limits: less than that no shard in use has, so
	// that a small one can grow.
	leastShare = 4
)

// quotaUse is the largest part of a limit that a shard may be using, as its owner reported
// it under a version of its allocation.
type quotaUse struct {
	version uint64
	used    float64
}

// ObserveQuotaUse takes a controller's report of what a shard uses under a version of its
// allocation. Only the owner's counts, and only while this controller leads.
func (p *Planner) ObserveQuotaUse(from string, shard int, version uint64, used float64) {
	if owner := p.records.Assignment(shard); owner.Version != 0 && owner.Node == from && used >= 0 {
		p.noteQuotaUse(shard, version, used)
	}
}

func (p *Planner) noteQuotaUse(shard int, version uint64, used float64) {
	last, known := p.uses[shard]
	if known && last.version == version {
		used = min(used, last.used) // it can only have become less than what is more than the allocation
	}
	if version == p.records.Allocation(shard).Version {
		p.uses[shard] = quotaUse{version, used}
	}
}

// allocateQuotas brings the shards' parts of the limits in line with the targets, and
// reports whether it had to. What is taken from a shard counts as its own until its owner
// has reported that it uses no more than what is left to it, so that all allocations and all
// that is used never add up to more than the limits (docs/design.md).
func (p *Planner) allocateQuotas(now units.Microseconds) bool {
	for shard, used := range p.host.OwnQuotaUses() {
		p.noteQuotaUse(shard, p.records.Allocation(shard).Version, used)
	}
	inUse := p.shardsInUse()
	targets := p.targetFractions(now, inUse)
	var lower, raise transaction // both with the guards of all allocations
	sum, certain := 0.0, true
	for shard := range p.shardCount() {
		allocation := p.records.Allocation(shard)
		if allocation.Version == 0 {
			if shard < inUse {
				return false // not assigned yet
			}
			continue
		}
		key, target := keys.Allocation(shard), targets[shard]
		use, known := p.uses[shard]
		certain = certain && known && use.version == allocation.Version
		sum += max(target, use.used)
		lower.guard(key, allocation.Version)
		raise.guard(key, allocation.Version)
		if allocation.Fraction > target+nothing {
			lower.put(key, authority.QuotaAllocation{Fraction: target})
		} else if allocation.Fraction < target-nothing {
			raise.put(key, authority.QuotaAllocation{Fraction: target})
		}
	}
	switch {
	case len(lower.changes) > 0: // each by itself is safe
		p.leadership.Write(lower.guards, lower.changes[:min(len(lower.changes), p.cfg.TxnOps)]...)
		return true
	case len(raise.changes) > 0 && certain && sum <= 1+rounding:
		p.cfg.Log.Info("quotas allocated", "shards", inUse)
		p.leadership.Write(raise.guards, raise.changes[:min(len(raise.changes), p.cfg.TxnOps)]...)
		return true
	}
	return len(raise.changes) > 0
}

// targetFractions returns the parts of the limits that the shards should have. They change
// seldom: each change of a target costs writes, and a shard whose part is lowered waits.
func (p *Planner) targetFractions(now units.Microseconds, inUse int) []float64 {
	targets := p.fractionsByCapacity(inUse)
	moved, shardsChanged := 0.0, len(p.targets) != len(targets)
	for shard := 0; shard < len(p.targets) && !shardsChanged; shard++ {
		moved = max(moved, math.Abs(targets[shard]-p.targets[shard]))
		shardsChanged = (targets[shard] == 0) != (p.targets[shard] == 0)
	}
	if shardsChanged || moved > targetStep && now >= p.nextTargetsAt {
		p.targets, p.nextTargetsAt = targets, now+targetInterval
	}
	return p.targets
}

// fractionsByCapacity divides the limits by the capacity of the shards' machines, as that is
// what they can use of them.
func (p *Planner) fractionsByCapacity(inUse int) []float64 {
	fractions := make([]float64, p.shardCount())
	if inUse == 1 {
		fractions[0] = 1
		return fractions
	}
	capacity := 1.0
	for shard := range inUse {
		capacity += p.loads.byShard[shard].capacity
	}
	least := capacity / float64(leastShare*inUse)
	sum := 0.0
	for shard := range inUse {
		fractions[shard] = max(p.loads.byShard[shard].capacity, least)
		sum += fractions[shard]
	}
	for shard := range inUse {
		fractions[shard] /= sum
	}
	return fractions
}
