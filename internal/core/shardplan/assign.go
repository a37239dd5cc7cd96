package shardplan

import (
	"math"
	"slices"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// changesPerAssignment is the number of changes that the assignment of one shard may need: the assignment
// itself and the shard's first allocation.
const changesPerAssignment = 2

// transaction collects the guards and changes of a write of the leader.
type transaction struct {
	guards  []store.Guard
	changes []store.Change
}

func (t *transaction) put(key string, value any) {
	t.changes = append(t.changes, store.Change{Key: key, Value: store.Value(value)})
}

func (t *transaction) guard(key string, version uint64) {
	t.guards = append(t.guards, store.Guard{Key: key, Version: version})
}

// assignShards assigns shards without an owner to controllers, and reports whether it assigned any.
func (p *Planner) assignShards() bool {
	var t transaction
	assigned := map[string]int{}
	for shard := range p.shardCount() {
		if !p.needsOwner(shard) {
			continue
		}
		last := p.records.Assignment(shard)
		owner := p.ChooseOwner(shard, last, assigned)
		if owner == "" || len(t.changes)+changesPerAssignment > p.cfg.TxnOps {
			continue
		}
		assigned[owner]++
		p.assign(&t, shard, last, owner)
	}
	if len(t.changes) == 0 {
		return false
	}
	p.leadership.Write(t.guards, t.changes...)
	return true
}

// needsOwner reports whether a shard is to be assigned: it is in use and was never assigned, its owner has
// released it, or the owner's membership has expired.
func (p *Planner) needsOwner(shard int) bool {
	last := p.records.Assignment(shard)
	switch {
	case last.Version == 0:
		return shard < p.shardsInUse()
	case last.Node == "":
		return true
	}
	return p.host.MemberExpired(last.Node, last.MemberID)
}

// assign adds the assignment of a shard to a controller to a transaction. The guard on the new owner's
// membership prevents an assignment to a member that has just ended.
func (p *Planner) assign(t *transaction, shard int, last Assignment, owner string) {
	next := authority.Assignment{Term: p.leadership.Term(), Number: p.leadership.NextAssignment(), Node: owner, MemberID: p.host.CurrentMember(owner)}
	if last.Version != 0 {
		next.PreviousToken = last.Token()
		if last.Node == "" && last.ReleasedBy != "" {
			next.TransferredFrom = next.PreviousToken // no other controller has owned it since
			next.Unreached = last.Unreached
		}
	}
	t.guard(keys.Assignment(shard), last.Version)
	t.guard(keys.MemberPrefix+owner, next.MemberID)
	t.put(keys.Assignment(shard), next)
	if p.records.Allocation(shard).Version == 0 {
		fraction := 0.0
		if shard == 0 {
			fraction = 1
		}
		t.guard(keys.Allocation(shard), 0)
		t.put(keys.Allocation(shard), authority.QuotaAllocation{Fraction: fraction})
	}
	p.cfg.Log.Info("shard assigned", "shard", shard, "to", owner, "term", next.Term, "number", next.Number)
}

// Costs of choosing a controller as the next owner of a shard. The lowest sum wins.
const (
	costPerShard     = 2  // for each shard that it owns
	costNotLastOwner = 1  // the last owner knows the shard's machines and jobs
	costStandby      = -2 // the standby knows all that runs in the shard
	// costUnresponsive applies if the shard was released because no worker could reach its owner. Whether a
	// worker can reach an unresponsive controller is not known, and its zone and the leader's may be
	// partitioned from each other.
	costUnresponsive = 3
	costToBeUpgraded = 100 // its shards would be transferred once more
	// costNotReached applies if the shard was released because no worker could reach its owner, to a controller
	// that no worker of the shard is known to have reached either.
	costNotReached = 50
	// costUnreachable applies to a controller that workers cannot reach, or that has released the shard for lack
	// of heartbeats or just now: it gets the shard only if there is no other controller.
	costUnreachable = 1000
)

// ChooseOwner returns the controller that should own a shard; "" if none can. It prefers the controller with
// the fewest shards, and among those the last owner. A controller that workers cannot reach, or that has just
// released the shard, gets it only if there is no other: its own report that no worker reaches it may arrive
// after the release. assigned counts the shards that each controller is about to get.
func (p *Planner) ChooseOwner(shard int, last Assignment, assigned map[string]int) string {
	owned := p.shardsOwned()
	for node, n := range assigned {
		owned[node] += n
	}
	best, bestCost := "", math.MaxInt
	names := p.host.Controllers()
	for i := range names {
		node := names[(i+shard)%len(names)]
		if p.host.CurrentMember(node) == 0 || p.host.Outdated(node) {
			continue
		}
		cost := costPerShard*owned[node] + p.ownerCost(node, shard, last)
		if cost < bestCost {
			best, bestCost = node, cost
		}
	}
	return best
}

// shardsOwned counts the shards that each controller owns under its present membership.
func (p *Planner) shardsOwned() map[string]int {
	owned := map[string]int{}
	for _, shard := range p.records.Shards() {
		if a := p.records.Assignment(shard); a.Node != "" && a.MemberID == p.host.CurrentMember(a.Node) {
			owned[a.Node]++
		}
	}
	return owned
}

// ownerCost returns the cost of a controller as the owner of a shard, apart from the cost of the shards that
// it already owns.
func (p *Planner) ownerCost(node string, shard int, last Assignment) int {
	cost := 0
	if node != last.Node {
		cost += costNotLastOwner
	}
	if node == p.host.Standby(shard) {
		cost += costStandby
	}
	if last.ReleasedBy != "" && !p.host.Responsive(node) {
		cost += costUnresponsive
	}
	if len(last.Unreached) > 0 && !p.host.ReachedByWorkers(node, shard) {
		cost += costNotReached
	}
	if node == last.ReleasedBy || slices.Contains(last.Unreached, node) || p.host.UnreachableByWorkers(node) {
		cost += costUnreachable
	}
	if p.host.ToBeUpgraded(node) {
		cost += costToBeUpgraded
	}
	return cost
}
