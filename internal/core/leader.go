package core

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// leader is what a controller knows while it leads: it leases blocks to
// controllers and divides the teams' limits among them. It needs no authority
// in time, as all it does is to write, and every write is guarded by its claim.
type leader struct {
	term    uint64
	stamp   uint64 // version of the leader's record; guards every write
	number  uint64 // lease numbers given in this term
	writing bool
	lookAt  unit.Micros
	spread  bool
	calmAt  unit.Micros // since when one block would do
	claims  map[int]claimed
	moveAt  unit.Micros // blocks are not moved between living controllers before
	targets []float64   // shares that the blocks should have
	aimAt   unit.Micros // targets do not change before
}

// claimed is the largest part of a limit that a block may be using, as its
// holder reported it under a version of its share.
type claimed struct {
	share uint64 // version
	use   float64
}

type granted struct {
	lead.Block
	stamp uint64
}

type shared struct {
	share float64
	stamp uint64
}

const (
	governEvery = unit.Second / 10
	// spreadFor is for how long one block must have been enough before the
	// others are closed.
	spreadFor = 10 * unit.Second
	// moveEvery is the least time between two blocks that change hands among
	// living controllers, as each time nothing starts in it for a few seconds.
	moveEvery = 10 * unit.Second
)

// leadFree reports whether nobody leads, as far as this node knows. A claim of
// this node's own was left by its last process, which has surely ended.
func (c *Core) leadFree() bool { return c.claim.Node == "" || c.claim.Node == c.cfg.Node }

// tickLead claims the lead where nobody has it.
func (c *Core) tickLead() {
	if l := c.leader; l != nil {
		// While the copy is taken anew it shows blocks as of another time than seats: one
		// that was just granted would seem to be a dead seat's.
		if c.now >= l.lookAt && !l.writing && c.mirror.Loaded() && c.stateAge() < unit.Second {
			l.lookAt = c.now + governEvery
			c.govern(l)
		}
		return
	}
	if c.seats.ID() == 0 || c.claiming || !c.leadFree() || c.stateAge() > unit.Second {
		return
	}
	c.claiming = true
	term := c.term.Term + 1
	me, key := c.cfg.Node, c.leadKey()
	c.lanes[LeaderLane].Add(&store.Write{
		Guards: []store.Guard{{Key: key, Stamp: c.mirror.Stamp(key)}, {Key: termKey, Stamp: c.mirror.Stamp(termKey)},
			{Key: seatPrefix + me, Stamp: c.seats.ID()}},
		Changes: []store.Change{
			{Key: key, Value: store.Value(lead.Claim{Term: term, Node: me, Seat: c.seats.ID()}), Lease: c.seats.Pass()},
			{Key: termKey, Value: store.Value(lead.Term{Term: term, Node: me})},
		},
		Done: func(o store.Outcome, rev uint64) {
			c.claiming = false
			if o == store.OK && c.seats.ID() != 0 && key == c.leadKey() {
				c.leader = &leader{term: term, stamp: rev, claims: map[int]claimed{}, moveAt: c.now + moveEvery}
				c.log.Info("leading", "term", term)
			}
		},
	})
}

func (c *Core) learnClaim(e store.Event) error {
	c.claim = lead.Claim{}
	var err error
	if e.Value != nil {
		err = json.Unmarshal(e.Value, &c.claim)
	}
	if l := c.leader; l != nil && c.claim.Term != l.term {
		c.log.Warn("no longer leading", "term", l.term)
		c.leader = nil
	} else if l != nil {
		l.stamp = e.Stamp
	}
	return err
}

// maxBlocks bounds the numbers of blocks, far above any number of controllers.
const maxBlocks = 1024

func blockNumber(key, prefix string) (int, error) {
	n, err := strconv.Atoi(key[len(prefix):])
	if err == nil && (n < 0 || n >= maxBlocks) {
		err = errors.New("no such block")
	}
	return n, err
}

// blockCount is the number of blocks there may be: one for each controller, and
// those of a time when there were more controllers.
func (c *Core) blockCount() int {
	n := c.cfg.Size
	for k := range c.blocks {
		n = max(n, k+1)
	}
	return n
}

func (c *Core) learnBlock(e store.Event) error {
	k, err := blockNumber(e.Key, blockPrefix)
	if err != nil {
		return err
	}
	if e.Value == nil {
		delete(c.blocks, k)
	} else if b, err := lead.DecodeBlock(e.Value); err != nil {
		return err
	} else {
		c.blocks[k] = granted{b, e.Stamp}
		c.config.Blocks(slices.Collect(maps.Keys(c.blocks)))
		if b.Node != "" && b.Node != c.cfg.Node {
			delete(c.pictures, k) // it is another's to use
		}
	}
	if bl := c.held[k]; bl != nil && bl.grant != c.blocks[k].stamp {
		if g := c.blocks[k]; g.Node == c.cfg.Node && g.Seat == c.seats.ID() && lead.Token(g.Term, g.Number) == bl.token && !bl.free {
			bl.grant = g.stamp // the same grant, written again as it was lost
		} else {
			c.drop(bl)
		}
	}
	c.take(k)
	return nil
}

// take begins to hold a block that is granted to this node's seat.
func (c *Core) take(k int) {
	if g := c.blocks[k]; g.Node == c.cfg.Node && g.Seat == c.seats.ID() && c.seats.ID() != 0 && c.held[k] == nil {
		c.hold(k, g)
	}
}

func (c *Core) learnShare(e store.Event) error {
	k, err := blockNumber(e.Key, sharePrefix)
	if err != nil {
		return err
	}
	var s lead.Share
	if e.Value == nil {
		delete(c.shares, k)
		return nil
	}
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return err
	}
	c.shares[k] = shared{s.Share, e.Stamp}
	c.setRates()
	return nil
}

// write queues a change that only the leader of this term may make.
func (l *leader) write(c *Core, guards []store.Guard, changes ...store.Change) {
	l.writing = true
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  append(guards, store.Guard{Key: c.leadKey(), Stamp: l.stamp}),
		Changes: changes,
		Done: func(o store.Outcome, _ uint64) {
			l.writing = false
			if o == store.TooLarge {
				l.lookAt = c.now + 5*unit.Second // the same would come again
			}
		},
	})
}

func blockKey(k int) string { return blockPrefix + strconv.Itoa(k) }
func shareKey(k int) string { return sharePrefix + strconv.Itoa(k) }

// govern does one thing that is due: blocks whose holder is gone go to another,
// then shares follow the mode, then blocks are moved.
func (c *Core) govern(l *leader) {
	c.loads()
	l.spread = c.wantSpread(l)
	open := 1
	if l.spread {
		open = c.cfg.Size
	}
	var guards []store.Guard
	var changes []store.Change
	extra := map[string]int{}
	for k := range c.blockCount() {
		g, known := c.blocks[k]
		if !known && k >= open || known && g.Node != "" && !c.seats.Ended(c.now, g.Node, g.Seat) {
			continue
		}
		to := c.chooseHolder(k, g, extra)
		if to == "" || len(changes)+2 > c.cfg.TxnOps {
			continue
		}
		extra[to]++
		l.number++
		b := lead.Block{Term: l.term, Number: l.number, Node: to, Seat: c.seats.Of(to)}
		if known {
			b.After = lead.Token(g.Term, g.Number)
			if g.Node == "" && g.Left != "" {
				b.From = b.After // nobody has held it since
			}
		}
		guards = append(guards, store.Guard{Key: blockKey(k), Stamp: g.stamp}, store.Guard{Key: seatPrefix + to, Stamp: b.Seat})
		changes = append(changes, store.Change{Key: blockKey(k), Value: store.Value(b)})
		if _, ok := c.shares[k]; !ok {
			share := 0.0
			if k == 0 {
				share = 1
			}
			guards = append(guards, store.Guard{Key: shareKey(k)})
			changes = append(changes, store.Change{Key: shareKey(k), Value: store.Value(lead.Share{Share: share})})
		}
		c.log.Info("block granted", "block", k, "to", to, "term", l.term, "number", l.number)
	}
	if len(changes) > 0 {
		l.write(c, guards, changes...)
		return
	}
	if !c.divide(l, open) {
		c.rebalance(l)
	}
}

// wantSpread reports whether there are more machines than one controller can
// answer; they are rented as work asks for them. Where a task needs more of a
// limit than a part of it, the limit stays whole.
func (c *Core) wantSpread(l *leader) bool {
	if c.cfg.Size == 1 {
		return false
	}
	machines, elsewhere := c.machines(), false
	for _, j := range c.active {
		s := j.Spec()
		if t := c.teams[s.Team]; t != nil {
			d := s.Demand
			if s.Service {
				d = d.Times(int64(s.Tasks))
			}
			if !withinLimit(t.Limit, d.Times(int64(c.cfg.Size))) {
				return false
			}
		}
		elsewhere = elsewhere || j.Record.Block != 0
	}
	if machines > c.cfg.BlockMachines {
		l.calmAt = c.now
		return true
	}
	open := l.spread || c.shares[1].share > 0 // an earlier leader's choice stands
	if machines > c.cfg.BlockMachines/2 || elsewhere {
		l.calmAt = c.now
	}
	return open && c.now-l.calmAt < spreadFor
}

// chooseHolder returns the controller that should have a block: the one with
// the fewest, and among those rather the block's last one. One that workers
// cannot reach, or that has just given the block up, gets it only where there
// is no other: its own word that it is deaf may come later than the release.
// extra are blocks that are about to be given.
func (c *Core) chooseHolder(k int, last granted, extra map[string]int) string {
	count := map[string]int{}
	for n, e := range extra {
		count[n] = e
	}
	for _, g := range c.blocks {
		if g.Node != "" && g.Seat == c.seats.Of(g.Node) {
			count[g.Node]++
		}
	}
	best, bestCost := "", 1<<30
	names := c.everyone()
	for i := range names {
		n := names[(i+k)%len(names)]
		if c.seats.Of(n) == 0 || c.tooOld(n) {
			continue
		}
		cost := 2 * count[n]
		if n != last.Node {
			cost++
		}
		if n == c.followerOf(k) {
			cost -= 2 // it knows all that runs
		}
		if last.Left != "" && n != c.cfg.Node && !c.alive(c.peers.views[n]) {
			// Given up as no worker reached its holder: whether one reaches this controller is
			// not known, and its zone and ours may not reach each other.
			cost += 3
		}
		if n == last.Left || c.isDeaf(n) {
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

// divide brings the blocks' shares of the limits in line with the mode, and
// reports whether it had to. What is taken from a block counts as its own until
// its holder has reported that it uses no more than what is left to it, so that
// all shares and all that is used never add up to more than the limits.
func (c *Core) divide(l *leader, open int) bool {
	for k, bl := range c.held {
		if bl.ready && len(bl.unaccounted) == 0 {
			l.claim(c, k, c.shares[k].stamp, c.useOf(bl))
		}
	}
	targets := l.aim(c, open)
	var lower, raise []store.Change
	var guards []store.Guard
	sum, certain := 0.0, true
	for k := range c.blockCount() {
		s, ok := c.shares[k]
		if !ok {
			if k < open {
				return false // not granted yet
			}
			continue
		}
		guards = append(guards, store.Guard{Key: shareKey(k), Stamp: s.stamp})
		target := targets[k]
		use, known := l.claims[k]
		certain = certain && known && use.share == s.stamp
		sum += max(target, use.use)
		if s.share > target+1e-9 {
			lower = append(lower, store.Change{Key: shareKey(k), Value: store.Value(lead.Share{Share: target})})
		} else if s.share < target-1e-9 {
			raise = append(raise, store.Change{Key: shareKey(k), Value: store.Value(lead.Share{Share: target})})
		}
	}
	switch {
	case len(lower) > 0: // each by itself is safe
		l.write(c, guards, lower[:min(len(lower), c.cfg.TxnOps)]...)
		return true
	case len(raise) > 0 && certain && sum <= 1+1e-6:
		c.log.Info("limits divided", "blocks", open)
		l.write(c, guards, raise[:min(len(raise), c.cfg.TxnOps)]...)
		return true
	}
	return len(raise) > 0
}

const (
	// aimEvery is the least time between two divisions of the limits, and
	// aimMoves the part of a limit that must be at stake.
	aimEvery = 10 * unit.Second
	aimMoves = 0.04
)

// aim returns the shares that the blocks should have: by the room of their
// machines, as that is what they can use of the limits, but never next to
// nothing, so that a small block can grow.
func (l *leader) aim(c *Core, open int) []float64 {
	targets := make([]float64, c.blockCount())
	if open == 1 {
		targets[0] = 1
	} else {
		room := 1.0
		for k := range open {
			room += c.load[k].room
		}
		least := room / float64(4*open)
		sum := 0.0
		for k := range open {
			targets[k] = max(c.load[k].room, least)
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
	if closed || moved > aimMoves && c.now >= l.aimAt {
		l.targets, l.aimAt = targets, c.now+aimEvery
	}
	return l.targets
}

// claim takes a holder's report of what its block uses.
func (l *leader) claim(c *Core, k int, share uint64, use float64) {
	old, ok := l.claims[k]
	if ok && old.share == share {
		use = min(use, old.use) // it can only have become less than what is more than the share
	}
	if share == c.shares[k].stamp {
		l.claims[k] = claimed{share, use}
	}
}

// rebalance asks a controller that holds two busy blocks to give one up while
// another holds none.
func (c *Core) rebalance(l *leader) {
	if !l.spread || c.now < l.moveAt {
		return
	}
	held := map[string][]int{}
	for k := range c.blockCount() {
		if g, ok := c.blocks[k]; ok && g.Node != "" {
			held[g.Node] = append(held[g.Node], k)
		}
	}
	idle, from := "", ""
	for _, n := range c.everyone() {
		switch {
		case c.seats.Of(n) == 0:
		case len(held[n]) == 0 && c.now-c.seats.Since(n) > 3*unit.Second && (n == c.cfg.Node || c.alive(c.peers.views[n])) && !c.isDeaf(n):
			idle = n
		case len(held[n]) > 1:
			from = n
		}
	}
	if idle == "" || from == "" {
		return
	}
	l.moveAt = c.now + moveEvery
	k := slices.MinFunc(held[from], func(a, b int) int { return cmp.Compare(c.load[a].work, c.load[b].work) })
	c.log.Info("moving a block", "block", k, "from", from)
	if bl := c.held[k]; bl != nil {
		c.release(bl, "another controller has none")
	} else {
		c.emit(SendPeer{from, PeerRelease{k, c.blocks[k].stamp}})
	}
}

// loads adds up the unfinished work of each block.
func (c *Core) loads() {
	if c.now < c.loadAt && len(c.load) == c.blockCount() {
		return
	}
	c.loadAt = c.now + unit.Second/4
	c.load = make([]load, c.blockCount())
	for _, j := range c.active {
		if k := j.Record.Block; k < len(c.load) && j.Awaiting == 0 {
			c.load[k].work += workOf(j)
		}
	}
	for _, g := range c.groups {
		if t := c.types[g.Type]; t != nil && g.Block < len(c.load) {
			n := len(g.Up) + len(g.Booting)
			c.load[g.Block].machines += n
			c.load[g.Block].room += float64(t.Capacity[pack.CPU]) * float64(n)
		}
	}
}

// load is a block's unfinished work.
type load struct {
	work     float64 // thousandths of a CPU times seconds
	room     float64 // thousandths of a CPU of its machines
	machines int
}

// machines counts the stored machines of all blocks.
func (c *Core) machines() int {
	n := 0
	for _, ld := range c.load {
		n += ld.machines
	}
	return n
}

// workOf is the work that a job has left.
func workOf(j *ledger.Job) float64 {
	s := j.Spec()
	return float64(j.Record.Tasks-j.Finished()) * float64(s.Demand[pack.CPU]) * max(s.Estimate.Seconds(), 1)
}
