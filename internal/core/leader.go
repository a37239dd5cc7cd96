package core

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// leaderState is what a controller knows while it leads: it leases blocks to
// controllers and divides the teams' limits among them. It needs no authority
// in time, as all it does is to write, and every write is guarded by its claim.
type leaderState struct {
	lead           *election.Leadership
	nextCheckAt    units.Microseconds
	sharded        bool
	unshardedSince units.Microseconds // since when one block would do
	quotaUses      map[int]quotaUse
	nextTransferAt units.Microseconds // blocks are not moved between living controllers before
	targets        []float64          // shares that the blocks should have
	nextTargetsAt  units.Microseconds // targets do not change before
}

// quotaUse is the largest part of a limit that a block may be using, as its
// holder reported it under a version of its share.
type quotaUse struct {
	version uint64 // version
	use     float64
}

type shardAssignment struct {
	authority.Assignment
	version uint64
}

type quotaAllocation struct {
	fraction float64
	version  uint64
}

const (
	governEvery = units.Second / 10
	// spreadFor is for how long one block must have been enough before the
	// others are closed.
	spreadFor = 10 * units.Second
	// moveEvery is the least time between two blocks that change hands among
	// living controllers, as each time nothing starts in it for a few seconds.
	moveEvery = 10 * units.Second
)

// electionHost is what this controller does as a candidate for leadership.
type electionHost struct{ *Core }

// Now implements election.Host.
func (c electionHost) Now() units.Microseconds { return c.now }

// Store implements election.Host.
func (c electionHost) Store(w *store.Write) { c.queues[ControlQueue].Add(w) }

// Version implements election.Host.
func (c electionHost) Version(key string) uint64 { return c.cache.Version(key) }

// CacheAge implements election.Host.
func (c electionHost) CacheAge() units.Microseconds { return c.stateAge() }

// Member implements election.Host.
func (c electionHost) Member() (id, leaseID uint64) {
	return c.membership.ID(), c.membership.LeaseID()
}

// Archiving implements election.Host.
func (c electionHost) Archiving() bool { return c.archived.history.On() }

// Elected implements election.Host.
func (c electionHost) Elected(lead *election.Leadership) {
	c.plans = leaderState{lead: lead, quotaUses: map[int]quotaUse{}, nextTransferAt: c.now + moveEvery}
}

// tickLead plans where this controller leads, and else campaigns where nobody does.
func (c *Core) tickLead() {
	if !c.election.Leads() {
		c.election.Tick()
		return
	}
	// While the copy is taken anew it shows assignments as of another time than memberships:
	// a shard that was just assigned would seem to be an expired member's.
	l := &c.plans
	if c.now >= l.nextCheckAt && l.lead.MayPlan(c.now) && c.cache.Loaded() && c.stateAge() < units.Second {
		l.nextCheckAt = c.now + governEvery
		c.plan(l)
	}
}

// maxShards bounds the numbers of shards.
const maxShards = keys.MaxShards

func shardNumber(key, prefix string) (int, error) { return keys.Shard(key, prefix) }

// shardCount is the number of blocks there may be: one for each controller, and
// those of a time when there were more controllers.
func (c *Core) shardCount() int {
	n := c.cfg.Size
	for k := range c.assignments {
		n = max(n, k+1)
	}
	return n
}

func (c *Core) learnAssignment(e store.Event) error {
	k, err := shardNumber(e.Key, assignmentPrefix)
	if err != nil {
		return err
	}
	if e.Value == nil {
		delete(c.assignments, k)
	} else if b, err := authority.DecodeAssignment(e.Value); err != nil {
		return err
	} else {
		c.assignments[k] = shardAssignment{b, e.Stamp}
		c.config.SetShards(slices.Collect(maps.Keys(c.assignments)))
		if b.Node != "" && b.Node != c.cfg.Node {
			delete(c.snapshots, k) // it is another's to use
		}
	}
	if shard := c.owned[k]; shard != nil && shard.assignment != c.assignments[k].version {
		if g := c.assignments[k]; g.Node == c.cfg.Node && g.MemberID == c.membership.ID() && authority.FencingToken(g.Term, g.Number) == shard.fencingToken && !shard.releasing {
			shard.assignment = g.version // the same grant, written again as it was lost
		} else {
			c.drop(shard)
		}
	}
	c.take(k)
	return nil
}

// take begins to hold a block that is granted to this node's seat.
func (c *Core) take(k int) {
	if g := c.assignments[k]; g.Node == c.cfg.Node && g.MemberID == c.membership.ID() && c.membership.ID() != 0 && c.owned[k] == nil {
		c.own(k, g)
	}
}

func (c *Core) learnAllocation(e store.Event) error {
	k, err := shardNumber(e.Key, allocationPrefix)
	if err != nil {
		return err
	}
	var s authority.QuotaAllocation
	if e.Value == nil {
		delete(c.allocations, k)
		return nil
	}
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return err
	}
	c.allocations[k] = quotaAllocation{s.Fraction, e.Stamp}
	c.setRates()
	return nil
}

func assignmentKey(k int) string { return keys.Assignment(k) }
func allocationKey(k int) string { return keys.Allocation(k) }

// plan does one thing that is due: blocks whose holder is gone go to another,
// then shares follow the mode, then blocks are moved.
func (c *Core) plan(l *leaderState) {
	c.measureLoads()
	l.sharded = c.wantSharding(l)
	open := 1
	if l.sharded {
		open = c.cfg.Size
	}
	var guards []store.Guard
	var changes []store.Change
	extra := map[string]int{}
	for k := range c.shardCount() {
		g, known := c.assignments[k]
		if !known && k >= open || known && g.Node != "" && !c.membership.Expired(c.now, g.Node, g.MemberID) {
			continue
		}
		to := c.chooseOwner(k, g, extra)
		if to == "" || len(changes)+2 > c.cfg.TxnOps {
			continue
		}
		extra[to]++
		b := authority.Assignment{Term: l.lead.Term(), Number: l.lead.NextAssignment(), Node: to, MemberID: c.membership.Current(to)}
		if known {
			b.PreviousToken = authority.FencingToken(g.Term, g.Number)
			if g.Node == "" && g.ReleasedBy != "" {
				b.TransferredFrom = b.PreviousToken // nobody has held it since
			}
		}
		guards = append(guards, store.Guard{Key: assignmentKey(k), Version: g.version}, store.Guard{Key: memberPrefix + to, Version: b.MemberID})
		changes = append(changes, store.Change{Key: assignmentKey(k), Value: store.Value(b)})
		if _, ok := c.allocations[k]; !ok {
			share := 0.0
			if k == 0 {
				share = 1
			}
			guards = append(guards, store.Guard{Key: allocationKey(k)})
			changes = append(changes, store.Change{Key: allocationKey(k), Value: store.Value(authority.QuotaAllocation{Fraction: share})})
		}
		c.log.Info("block granted", "block", k, "to", to, "term", b.Term, "number", b.Number)
	}
	if len(changes) > 0 {
		l.lead.Write(guards, changes...)
		return
	}
	if !c.allocateQuota(l, open) {
		c.rebalance(l)
	}
}

// wantSharding reports whether there are more machines than one controller can
// answer; they are rented as work asks for them. Where a task needs more of a
// limit than a part of it, the limit stays whole.
func (c *Core) wantSharding(l *leaderState) bool {
	if c.cfg.Size == 1 {
		return false
	}
	machines, elsewhere := c.machines(), false
	for j := range c.jobs.Active() {
		s := j.Spec()
		if t := c.teams[s.Team]; t != nil {
			d := s.Demand
			if s.Service {
				d = d.Times(int64(s.Tasks))
			}
			if !quota.WithinLimit(t.Limit, d.Times(int64(c.cfg.Size))) {
				return false
			}
		}
		elsewhere = elsewhere || j.Record.Shard != 0
	}
	if machines > c.cfg.ShardMachines {
		l.unshardedSince = c.now
		return true
	}
	open := l.sharded || c.allocations[1].fraction > 0 // an earlier leader's choice stands
	if machines > c.cfg.ShardMachines/2 || elsewhere {
		l.unshardedSince = c.now
	}
	return open && c.now-l.unshardedSince < spreadFor
}

// chooseOwner returns the controller that should have a block: the one with
// the fewest, and among those rather the block's last one. One that workers
// cannot reach, or that has just given the block up, gets it only where there
// is no other: its own word that it is deaf may come later than the release.
// extra are blocks that are about to be given.
func (c *Core) chooseOwner(k int, last shardAssignment, extra map[string]int) string {
	count := map[string]int{}
	for n, e := range extra {
		count[n] = e
	}
	for _, g := range c.assignments {
		if g.Node != "" && g.MemberID == c.membership.Current(g.Node) {
			count[g.Node]++
		}
	}
	best, bestCost := "", 1<<30
	names := c.everyone()
	for i := range names {
		n := names[(i+k)%len(names)]
		if c.membership.Current(n) == 0 || c.tooOld(n) {
			continue
		}
		cost := 2 * count[n]
		if n != last.Node {
			cost++
		}
		if n == c.standbyOf(k) {
			cost -= 2 // it knows all that runs
		}
		if last.ReleasedBy != "" && n != c.cfg.Node && !c.alive(c.peers.views[n]) {
			// Given up as no worker reached its holder: whether one reaches this controller is
			// not known, and its zone and ours may not reach each other.
			cost += 3
		}
		if n == last.ReleasedBy || c.peerUnreachable(n) {
			cost += 1000
		}
		if n != c.cfg.Node && c.releases[n] < release {
			cost += 100 // it is to be replaced, and its blocks would change hands once more
		}
		if cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// everyone returns the names of all controllers, in the same order on each.
func (c *Core) everyone() []string {
	names := append([]string{c.cfg.Node}, c.peers.names...)
	slices.Sort(names)
	return names
}

// allocateQuota brings the blocks' shares of the limits in line with the mode, and
// reports whether it had to. What is taken from a block counts as its own until
// its holder has reported that it uses no more than what is left to it, so that
// all shares and all that is used never add up to more than the limits.
func (c *Core) allocateQuota(l *leaderState, open int) bool {
	for k, shard := range c.owned {
		if shard.ready && len(shard.unreconciled) == 0 {
			l.noteUse(c, k, c.allocations[k].version, shard.quota.LargestUse())
		}
	}
	targets := l.targetFractions(c, open)
	var lower, raise []store.Change
	var guards []store.Guard
	sum, certain := 0.0, true
	for k := range c.shardCount() {
		s, ok := c.allocations[k]
		if !ok {
			if k < open {
				return false // not granted yet
			}
			continue
		}
		guards = append(guards, store.Guard{Key: allocationKey(k), Version: s.version})
		target := targets[k]
		use, known := l.quotaUses[k]
		certain = certain && known && use.version == s.version
		sum += max(target, use.use)
		if s.fraction > target+1e-9 {
			lower = append(lower, store.Change{Key: allocationKey(k), Value: store.Value(authority.QuotaAllocation{Fraction: target})})
		} else if s.fraction < target-1e-9 {
			raise = append(raise, store.Change{Key: allocationKey(k), Value: store.Value(authority.QuotaAllocation{Fraction: target})})
		}
	}
	switch {
	case len(lower) > 0: // each by itself is safe
		l.lead.Write(guards, lower[:min(len(lower), c.cfg.TxnOps)]...)
		return true
	case len(raise) > 0 && certain && sum <= 1+1e-6:
		c.log.Info("limits divided", "blocks", open)
		l.lead.Write(guards, raise[:min(len(raise), c.cfg.TxnOps)]...)
		return true
	}
	return len(raise) > 0
}

const (
	// aimEvery is the least time between two divisions of the limits, and
	// aimMoves the part of a limit that must be at stake.
	aimEvery = 10 * units.Second
	aimMoves = 0.04
)

// targetFractions returns the shares that the blocks should have: by the room of their
// machines, as that is what they can use of the limits, but never next to
// nothing, so that a small block can grow.
func (l *leaderState) targetFractions(c *Core, open int) []float64 {
	targets := make([]float64, c.shardCount())
	if open == 1 {
		targets[0] = 1
	} else {
		room := 1.0
		for k := range open {
			room += c.shardLoads[k].capacity
		}
		least := room / float64(4*open)
		sum := 0.0
		for k := range open {
			targets[k] = max(c.shardLoads[k].capacity, least)
			sum += targets[k]
		}
		for k := range open {
			targets[k] /= sum
		}
	}
	moved, closed := 0.0, len(l.targets) != len(targets)
	for k := 0; k < len(l.targets) && !closed; k++ {
		moved = max(moved, math.Abs(targets[k]-l.targets[k]))
		closed = (targets[k] == 0) != (l.targets[k] == 0)
	}
	if closed || moved > aimMoves && c.now >= l.nextTargetsAt {
		l.targets, l.nextTargetsAt = targets, c.now+aimEvery
	}
	return l.targets
}

// noteUse takes a holder's report of what its block uses.
func (l *leaderState) noteUse(c *Core, k int, share uint64, use float64) {
	old, ok := l.quotaUses[k]
	if ok && old.version == share {
		use = min(use, old.use) // it can only have become less than what is more than the share
	}
	if share == c.allocations[k].version {
		l.quotaUses[k] = quotaUse{share, use}
	}
}

// rebalance asks a controller that holds two busy blocks to give one up while
// another holds none.
func (c *Core) rebalance(l *leaderState) {
	if !l.sharded || c.now < l.nextTransferAt {
		return
	}
	held := map[string][]int{}
	for k := range c.shardCount() {
		if g, ok := c.assignments[k]; ok && g.Node != "" {
			held[g.Node] = append(held[g.Node], k)
		}
	}
	idle, from := "", ""
	for _, n := range c.everyone() {
		switch {
		case c.membership.Current(n) == 0:
		case len(held[n]) == 0 && c.now-c.membership.Since(n) > 3*units.Second && (n == c.cfg.Node || c.alive(c.peers.views[n])) && !c.peerUnreachable(n):
			idle = n
		case len(held[n]) > 1:
			from = n
		}
	}
	if idle == "" || from == "" {
		return
	}
	l.nextTransferAt = c.now + moveEvery
	k := slices.MinFunc(held[from], func(a, b int) int { return cmp.Compare(c.shardLoads[a].work, c.shardLoads[b].work) })
	c.log.Info("moving a block", "block", k, "from", from)
	if shard := c.owned[k]; shard != nil {
		c.release(shard, "another controller has none")
	} else {
		c.emit(SendPeer{from, PeerRelease{k, c.assignments[k].version}})
	}
}

// measureLoads adds up the unfinished work of each block.
func (c *Core) measureLoads() {
	if c.now < c.shardLoadsAt && len(c.shardLoads) == c.shardCount() {
		return
	}
	c.shardLoadsAt = c.now + units.Second/4
	c.shardLoads = make([]shardLoad, c.shardCount())
	for j := range c.jobs.Active() {
		if k := j.Record.Shard; k < len(c.shardLoads) && j.OpenDependencies == 0 {
			c.shardLoads[k].work += workOf(j)
		}
	}
	for _, g := range c.machineGroups {
		if t := c.types[g.Type]; t != nil && g.Shard < len(c.shardLoads) {
			n := len(g.Up) + len(g.Booting)
			c.shardLoads[g.Shard].machines += n
			c.shardLoads[g.Shard].capacity += float64(t.Capacity[binpack.CPU]) * float64(n)
		}
	}
}

// shardLoad is a block's unfinished work.
type shardLoad struct {
	work     float64 // thousandths of a CPU times seconds
	capacity float64 // thousandths of a CPU of its machines
	machines int
}

// machines counts the stored machines of all blocks.
func (c *Core) machines() int {
	n := 0
	for _, ld := range c.shardLoads {
		n += ld.machines
	}
	return n
}

// workOf is the work that a job has left.
func workOf(j *jobs.Job) float64 {
	s := j.Spec()
	return float64(j.Record.Tasks-j.Finished()) * float64(s.Demand[binpack.CPU]) * max(s.Estimate.Seconds(), 1)
}
