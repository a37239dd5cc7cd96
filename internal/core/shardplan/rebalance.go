package shardplan

import (
	"cmp"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

const (
	// transferInterval is the minimum time between two transfers of shards between live owners, as no task
	// starts in a shard for a few seconds after each.
	transferInterval = 10 * units.Second
	// minMemberTime is how long a controller must have been a member before another controller is asked to
	// release a shard for it.
	minMemberTime = 3 * units.Second
)

// rebalance asks a controller that owns several shards to release the one with the least work if another
// controller owns none. The released shard is assigned like any shard without an owner.
func (p *Planner) rebalance(now units.Microseconds) {
	if !p.sharded || now < p.nextTransferAt {
		return
	}
	idle, from, owned := p.imbalance(now)
	if idle == "" || from == "" {
		return
	}
	p.nextTransferAt = now + transferInterval
	shard := slices.MinFunc(owned, func(a, b int) int {
		return cmp.Compare(p.loads.byShard[a].work, p.loads.byShard[b].work)
	})
	p.cfg.Log.Info("shard release requested", "shard", shard, "from", from, "for", idle)
	p.host.RequestRelease(shard, from)
}

// imbalance returns a controller that owns no shard and could own one, a controller that owns several shards,
// and the latter's shards. A name is "" if there is no such controller.
func (p *Planner) imbalance(now units.Microseconds) (idle, from string, owned []int) {
	byOwner := map[string][]int{}
	for _, shard := range p.records.Shards() {
		if node := p.records.Assignment(shard).Node; node != "" {
			byOwner[node] = append(byOwner[node], shard)
		}
	}
	for _, node := range p.host.Controllers() {
		switch {
		case p.host.CurrentMember(node) == 0:
		case len(byOwner[node]) == 0:
			if now-p.host.MemberSince(node) > minMemberTime && p.host.Responsive(node) && !p.host.UnreachableByWorkers(node) {
				idle = node
			}
		case len(byOwner[node]) > 1:
			from = node
		}
	}
	return idle, from, byOwner[from]
}
