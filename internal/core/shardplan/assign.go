package shardplan

import (
	"math"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// changesPerAssignment is how many changes the assignment of one shard may take: its own
// and that of its first allocation.
const changesPerAssignment = 2

// transaction is a write of the leader in the making.
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

// assignShards gives shards that nobody owns to controllers, and reports whether there were
// any that it could give.
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

// needsOwner reports whether a shard is to be assigned: it is in use and never was, its
// owner has released it, or the owner's membership has expired.
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

// assign adds to a transaction what gives a shard to a controller. The guard on the new
// owner's membership keeps a shard from being assigned to one that has just ended.
func (p *Planner) assign(t *transaction, shard int, last Assignment, owner string) {
	next := authority.Assignment{Term: p.leadership.Term(), Number: p.leadership.NextAssignment(), Node: owner, MemberID: p.host.CurrentMember(owner)}
	if last.Version != 0 {
		next.PreviousToken = last.Token()
		if last.Node == "" && last.ReleasedBy != "" {
			next.TransferredFrom = next.PreviousToken // nobody has owned it since
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

// Costs of a controller as a shard's next owner.
const (
	costPerShard     = 2  // that it owns
	costNotLastOwner = 1  // the last one knows the shard's machines and jobs
	costStandby      = -2 // it knows all that runs
	// costUnresponsive is for a shard that was released as no worker reached its owner:
	// whether one reaches this controller is not known, and its zone and the leader's may
	// not reach each other.
	costUnresponsive = 3
	costToBeUpgraded = 100 // its shards would change hands once more
	// costOutOfReach is for one that workers do not reach, or that has just released the
	// shard: it gets that only where there is no other.
	costOutOfReach = 1000
)

// ChooseOwner returns the controller that should own a shard: the one with the fewest, and
// among those rather the shard's last owner. One that workers cannot reach, or that has just
// released the shard, gets it only where there is no other: its own word that no worker
// reaches it may come later than the release. assigned counts the shards that each is about
// to get.
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

// shardsOwned counts the shards of each controller under its present membership.
func (p *Planner) shardsOwned() map[string]int {
	owned := map[string]int{}
	for _, shard := range p.records.Shards() {
		if a := p.records.Assignment(shard); a.Node != "" && a.MemberID == p.host.CurrentMember(a.Node) {
			owned[a.Node]++
		}
	}
	return owned
}

// ownerCost is what speaks against a controller as the owner of a shard, but for what it
// owns already.
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
	if node == last.ReleasedBy || p.host.UnreachableByWorkers(node) {
		cost += costOutOfReach
	}
	if p.host.ToBeUpgraded(node) {
		cost += costToBeUpgraded
	}
	return cost
}
