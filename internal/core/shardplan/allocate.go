package shardplan

import (
	"math"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// targetInterval is the minimum time between two changes of the targets, and minTargetChange the part of
	// a limit by which a target must change. Neither applies when the set of shards in use changes.
	targetInterval  = 10 * units.Second
	minTargetChange = 0.04
	// roundingTolerance is by how much the fractions of a limit may exceed the whole of it when added up.
	roundingTolerance = 1e-6
	// minShareDivisor limits how small a target gets, so that a small shard can grow: the capacity of a shard
	// in use counts as at least the average capacity divided by minShareDivisor.
	minShareDivisor = 4
)

// quotaUse is the largest fraction of a limit that a shard may be using, as its owner reported it under a
// version of the shard's allocation.
type quotaUse struct {
	version uint64
	used    float64
}

// ObserveQuotaUse records a controller's report of the quota use of a shard under a version of its
// allocation. It ignores reports of controllers other than the shard's owner. Only the leader calls it.
func (p *Planner) ObserveQuotaUse(from string, shard int, version uint64, used float64) {
	if owner := p.records.Assignment(shard); owner.Version != 0 && owner.Node == from && used >= 0 {
		p.recordQuotaUse(shard, version, used)
	}
}

// recordQuotaUse records the quota use of a shard, unless the report is about an earlier allocation. Under
// one version of the allocation the recorded use only decreases.
func (p *Planner) recordQuotaUse(shard int, version uint64, used float64) {
	last, known := p.uses[shard]
	if known && last.version == version {
		used = min(used, last.used) // use beyond the allocation can only have decreased
	}
	if version == p.records.Allocation(shard).Version {
		p.uses[shard] = quotaUse{version, used}
	}
}

// allocateQuotas writes allocations that follow the targets, and reports whether it had to. What is taken
// from a shard counts as used by it until its owner has reported that it uses no more than its new
// allocation. So all allocations, with what is still used beyond them, never add up to more than the limits
// (docs/design.md).
func (p *Planner) allocateQuotas(now units.Microseconds) bool {
	for shard, used := range p.host.OwnQuotaUses() {
		p.recordQuotaUse(shard, p.records.Allocation(shard).Version, used)
	}
	inUse := p.shardsInUse()
	targets := p.targetFractions(now, inUse)
	var lower, raise transaction // both with guards on all allocations
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
		if allocation.Fraction > target+negligibleFraction {
			lower.put(key, authority.QuotaAllocation{Fraction: target})
		} else if allocation.Fraction < target-negligibleFraction {
			raise.put(key, authority.QuotaAllocation{Fraction: target})
		}
	}
	switch {
	case len(lower.changes) > 0: // each is safe by itself
		p.leadership.Write(lower.guards, lower.changes[:min(len(lower.changes), p.cfg.TxnOps)]...)
		return true
	case len(raise.changes) > 0 && certain && sum <= 1+roundingTolerance:
		p.cfg.Log.Info("quotas allocated", "shards", inUse)
		p.leadership.Write(raise.guards, raise.changes[:min(len(raise.changes), p.cfg.TxnOps)]...)
		return true
	}
	return len(raise.changes) > 0
}

// targetFractions returns the fractions of the limits that the shards should have. They change rarely: each
// change of a target costs writes, and a shard whose fraction is lowered has to wait.
func (p *Planner) targetFractions(now units.Microseconds, inUse int) []float64 {
	targets := p.fractionsByCapacity(inUse)
	moved, shardsChanged := 0.0, len(p.targets) != len(targets)
	for shard := 0; shard < len(p.targets) && !shardsChanged; shard++ {
		moved = max(moved, math.Abs(targets[shard]-p.targets[shard]))
		shardsChanged = (targets[shard] == 0) != (p.targets[shard] == 0)
	}
	if shardsChanged || moved > minTargetChange && now >= p.nextTargetsAt {
		p.targets, p.nextTargetsAt = targets, now+targetInterval
	}
	return p.targets
}

// fractionsByCapacity divides the limits in proportion to the capacity of the shards' machines, as that is
// how much of the limits they can use.
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
	least := capacity / float64(minShareDivisor*inUse)
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
