package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// block is what a controller knows and does while it holds a block: machines,
// the jobs that run on them, and a share of the teams' limits.
type block struct {
	n        int
	grant    uint64 // version of the block's record; guards every write
	token    uint64
	ready    bool // the picture is complete enough to answer reports
	free     bool // being given up: nothing is answered any more
	freeing  bool // and that is being stored
	began    unit.Micros
	attempts uint64
	requests uint64

	machines    map[string]*fleet.Machine
	groups      map[string]*group      // stored machines, by key
	changed     []*group               // to be stored
	gone        map[string]unit.Micros // machines returned lately: the list may still show them
	unaccounted map[string]bool        // machines on which earlier holders' tasks may run
	hidden      pack.Vec               // capacity of the machines that are unaccounted for
	untyped     bool                   // the capacity of some of them is not known
	hiddenStale bool
	active      map[string]*ledger.Job
	order       []*ledger.Job // active jobs by submission
	within      map[string]bool
	share       map[string]float64 // fair share of one job, by team
	orderStale  bool
	usage       map[string]pack.Vec
	total       pack.Vec         // capacity of all machines
	ranked      []candidate      // jobs with ready tasks, the first to be served first
	roomy       []*fleet.Machine // machines with free room, preferred ones first
	rankAt      unit.Micros
	rankedAt    unit.Micros
	lateAt      unit.Micros   // when late writes are next made
	dirty       []*ledger.Job // with finished tasks to be stored, the longest first

	runtimes  map[string]*ratio // by class
	leaving   []string          // about to be returned
	held      []heldReport      // reports of idle machines that wait for work
	heldAt    unit.Micros       // when held reports are next looked at
	newWork   bool              // tasks have become ready since jobs were ranked
	heldStale bool              // or since held reports were looked at
	preempted map[string]preemption
	deafZone  map[string]unit.Micros // when a zone was last silent for the most part
	scaler    *scale.Scaler
	hostsAt   unit.Micros
	planAt    unit.Micros
	sortAt    unit.Micros
	sweepAt   unit.Micros
	moveAt    unit.Micros
	logAt     unit.Micros
	cloudWait unit.Micros
	renting   int
	strays    map[string]unit.Micros // unknown machines that report, since when
}

func sortedBlocks(m map[int]*block) []int { return slices.Sorted(maps.Keys(m)) }

// hold begins to hold a block. Reports are answered once a read that began
// after the grant was stored has shown everything that earlier holders stored.
func (c *Core) hold(k int, g granted) {
	bl := &block{n: k, grant: g.stamp, token: lead.Token(g.Term, g.Number), began: c.now,
		machines: map[string]*fleet.Machine{}, groups: map[string]*group{}, gone: map[string]unit.Micros{},
		unaccounted: map[string]bool{}, active: map[string]*ledger.Job{}, usage: map[string]pack.Vec{},
		runtimes: map[string]*ratio{}, preempted: map[string]preemption{}, deafZone: map[string]unit.Micros{},
		strays: map[string]unit.Micros{}, scaler: scale.New(c.cfg.Scale)}
	c.held[k] = bl
	c.lastHeard = c.now
	c.log.Info("holding", "block", k, "token", bl.token)
	c.setRates()
	c.rebuild(bl)
}

func (c *Core) rebuild(bl *block) {
	c.wantSync(func(ok bool) {
		if c.held[bl.n] != bl {
			return
		}
		if !ok {
			c.rebuild(bl)
			return
		}
		for _, key := range sortedKeys(c.groups) {
			g := c.groups[key]
			if g.Block != bl.n {
				continue
			}
			for _, name := range g.Up {
				m := c.newMachine(bl, name, key, g.Record(true))
				// An earlier holder may have started tasks there, and its last
				// answer may have been accepted just before this grant.
				m.LeaseEnd = c.now + c.leaseBound()
				bl.unaccounted[name] = true
				bl.hiddenStale = true
			}
			for _, name := range g.Booting {
				c.newMachine(bl, name, key, g.Record(false))
			}
		}
		for _, id := range sortedKeys(c.active) {
			if j := c.active[id]; j.Record.Block == bl.n {
				j.Reset()
				bl.addJob(j)
				// Whether any of its tasks were ever started only the last holder knew.
				j.Held = len(bl.unaccounted) > 0
			}
		}
		bl.ready = true
		c.log.Info("picture read", "block", bl.n, "jobs", len(bl.active), "machines", len(bl.machines))
	})
}

// release gives a block up while this node's seat stands, so that the leader
// can lease it to another. Nothing is answered from now on, whether or not the
// release gets stored soon.
func (c *Core) release(bl *block, why string) {
	if bl.free {
		return
	}
	c.log.Warn("releasing a block", "block", bl.n, "why", why)
	bl.free = true
	c.refuseHeld(bl)
	c.storeRelease(bl)
}

func (c *Core) storeRelease(bl *block) {
	g := c.blocks[bl.n]
	if bl.freeing || g.stamp != bl.grant {
		return
	}
	bl.freeing = true
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  []store.Guard{{Key: blockKey(bl.n), Stamp: bl.grant}},
		Changes: []store.Change{{Key: blockKey(bl.n), Value: mustJSON(lead.Block{Term: g.Term, Number: g.Number})}},
		Done:    func(store.Outcome, uint64) { bl.freeing = false }, // tried again until it is known to be so
	})
}

// leaseBound is the time after which tasks of a machine that gets no answer
// are surely gone.
func (c *Core) leaseBound() unit.Micros { return unit.Longest(c.cfg.Lease) + unit.Second/5 }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// newMachine takes in a machine that is, or is about to be, stored with a group.
func (c *Core) newMachine(bl *block, name, key string, r fleet.Record) *fleet.Machine {
	m := fleet.New(name, r, c.types[r.Type], c.now)
	m.Group = key
	bl.machines[name] = m
	g := bl.groups[key]
	if g == nil {
		g = &group{key: key, kind: fleet.Group{Block: bl.n, Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
		bl.groups[key] = g
	}
	g.members = append(g.members, name)
	return m
}

// strayAfter is how long a machine must be unknown to all before it is adopted:
// whoever has rented it needs a moment to store that.
const strayAfter = 10 * unit.Second

// strayKey is where a machine is stored that no request is known to have rented.
func strayKey(name string) string { return machPrefix + strayMark + name }

const strayMark = "x-"

func isStray(key string) bool { return strings.HasPrefix(key, machPrefix+strayMark) }

// Holds reports whether this node may answer workers of a block at present.
func (c *Core) Holds(now unit.Micros, k int) bool {
	bl := c.held[k]
	return bl != nil && bl.ready && !bl.free && c.valid(now)
}

func (bl *block) addJob(j *ledger.Job) {
	if bl.active[j.ID] == j {
		return
	}
	bl.active[j.ID] = j
	bl.orderStale, bl.newWork = true, true
}

// jobOver forgets a job that is done or cancelled. Its tasks on machines keep
// counting against the team until the machines report them gone.
func (bl *block) jobOver(c *Core, j *ledger.Job, s ledger.Status) {
	delete(bl.active, j.ID)
	bl.orderStale = true
	spec := j.Spec()
	c.log.Info("job over", "job", j.ID, "status", s, "class", spec.Class, "tasks", spec.Tasks,
		"took_s", (c.wall - j.Record.Submitted).Seconds(), "deadline_s", spec.Deadline.Seconds())
}

func sortBySubmission(js []*ledger.Job) {
	slices.SortFunc(js, func(x, y *ledger.Job) int {
		return cmp.Or(cmp.Compare(x.Record.Submitted, y.Record.Submitted), strings.Compare(x.ID, y.ID))
	})
}

// sortJobs keeps the active jobs in the order of submission, and notes which
// fit their team's guarantee together with the team's earlier jobs.
func (c *Core) sortJobs(bl *block) {
	if bl.orderStale {
		bl.orderStale = false
		bl.order = bl.order[:0]
		for _, j := range bl.active {
			bl.order = append(bl.order, j)
		}
		sortBySubmission(bl.order)
	}
	bl.within = map[string]bool{}
	bl.share = map[string]float64{}
	jobs := map[string]int{}
	for _, j := range bl.order {
		team := j.Spec().Team
		jobs[team]++
		bl.share[team] = c.teamShare(team) / float64(jobs[team])
	}
	// A guarantee covers the earliest of a team's jobs in all blocks.
	all := bl.order
	if len(c.active) > len(bl.active) {
		all = slices.Collect(maps.Values(c.active))
		sortBySubmission(all)
	}
	sum := map[string]pack.Vec{}
	for _, j := range all {
		s := j.Spec()
		t := c.teams[s.Team]
		if t == nil || t.Guarantee == (pack.Vec{}) {
			continue
		}
		v := sum[s.Team].Add(s.Demand.Times(int64(s.Tasks - j.Finished())))
		sum[s.Team] = v
		ok := true
		for i, g := range t.Guarantee {
			ok = ok && (v[i] <= g || g == 0 && i != pack.CPU)
		}
		bl.within[j.ID] = ok
	}
	bl.total = pack.Vec{}
	for _, m := range bl.machines {
		if m.Type != nil && !m.Leaving {
			bl.total = bl.total.Add(m.Type.Capacity)
		}
	}
}

// tickBlock does what a holder does as time passes.
func (c *Core) tickBlock(bl *block) {
	if bl.free {
		c.storeRelease(bl)
		return
	}
	if !c.Holds(c.now, bl.n) {
		return
	}
	if c.deaf(bl) {
		c.deafAt = c.now
		for _, k := range sortedBlocks(c.held) {
			c.release(c.held[k], "no worker can reach this node")
		}
		return
	}
	if c.now >= bl.sortAt {
		bl.sortAt = c.now + unit.Second
		c.sortJobs(bl)
		for _, j := range bl.order {
			if j.AllFinished() {
				// Not only when its last task ends: an earlier holder may have
				// stored that and ended before it could store the job's end.
				c.closeJob(bl, j)
			}
		}
	}
	if c.now >= bl.sweepAt {
		bl.sweepAt = c.now + unit.Second/4
		c.sweep(bl)
	}
	if c.now >= bl.moveAt {
		bl.moveAt = c.now + unit.Second/2
		c.moveJobs(bl)
	}
	c.tickCloud(bl)
}

// deaf reports whether this node should let another controller try, as no
// worker has reached it for a while. It must not do so again and again: where
// the machines are really gone, their leases have to run out under one holder.
func (c *Core) deaf(bl *block) bool {
	if c.cfg.Size == 1 || c.now-c.lastHeard <= 2*c.cfg.ReportEvery+unit.Second ||
		c.deafAt != 0 && c.now-c.deafAt < 60*unit.Second+2*c.leaseBound() {
		return false
	}
	for _, m := range bl.machines {
		if m.LastSeen != 0 || m.LeaseEnd != 0 {
			return true
		}
	}
	return false
}

// deafFor is how long a controller that no worker could reach gets no block.
const deafFor = 10 * unit.Second

func (c *Core) deafNow() bool { return c.deafAt != 0 && c.now-c.deafAt < deafFor }

const (
	// movesAtOnce bounds the jobs that are moved to other blocks in a round.
	movesAtOnce = 8
	// unevenBy is how much more work for its room a block must have than another
	// before jobs move.
	unevenBy = 1.3
)

// moveJobs gives jobs of which nothing is placed to a block that has less work
// for its room. Such a job runs on none of this block's machines, and on no
// other's: so another holder may start it, once that is stored.
func (c *Core) moveJobs(bl *block) {
	if len(bl.unaccounted) > 0 {
		return
	}
	c.loads()
	to := c.lightest()
	if to == bl.n || to >= len(c.load) || bl.n >= len(c.load) {
		return
	}
	closed := c.shares[bl.n].share < 1e-9
	moved := 0
	for i := len(bl.order) - 1; i >= 0 && moved < movesAtOnce; i-- {
		j := bl.order[i]
		if !j.Active() || j.Moving || !j.Movable() {
			continue
		}
		w := workOf(j)
		from, into := c.load[bl.n], c.load[to]
		into.work += w
		if !closed && c.weight(from) < unevenBy*c.weight(into) {
			continue
		}
		moved++
		c.load[bl.n].work -= w
		c.load[to].work += w
		c.moveJob(bl, j, to)
	}
}

// moveJob stores that a job belongs to another block. Until the outcome is
// certain the job is neither started here nor is the try given up: a
// transaction that comes late would move a job that runs.
func (c *Core) moveJob(bl *block, j *ledger.Job, to int) {
	j.Moving = true
	key := jobPrefix + j.ID
	rec := j.Record
	rec.Block = to
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  []store.Guard{{Key: key, Stamp: j.Stamp}, {Key: blockKey(bl.n), Stamp: bl.grant}},
		Changes: []store.Change{{Key: key, Value: mustJSON(rec)}},
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || c.held[bl.n] != bl || !j.Active() || j.Record.Block != bl.n {
				return // whoever holds the job's block now starts anew
			}
			c.wantSync(func(bool) {
				switch {
				case c.held[bl.n] != bl || !j.Active() || j.Record.Block != bl.n:
				case o == store.Failed && j.Stamp == c.replica.Stamp(key):
					j.Moving = false // a guard failed: that transaction can never be carried out
				default:
					c.moveJob(bl, j, to)
				}
			})
		},
	})
}

// lightest returns the block to which a new job should go: the one with the
// least work for its room among those that may use a part of the limits. Where
// one block can carry all, that is the first.
func (c *Core) lightest() int {
	if c.machines() <= c.cfg.BlockMachines/2 {
		return 0
	}
	best := 0
	for k := range c.load {
		if c.shares[k].share > 1e-9 && c.weight(c.load[k]) < c.weight(c.load[best]) {
			best = k
		}
	}
	return best
}

// weight is a block's work for its room. A block that has little room yet can
// rent some.
func (c *Core) weight(ld load) float64 {
	room := 1.0
	for _, x := range c.load {
		room += x.room
	}
	return ld.work / max(ld.room, room/float64(2*len(c.load)))
}

// setRates divides the budgets of the outside services by the open blocks that
// this node holds.
func (c *Core) setRates() {
	open, mine := 0, 0
	for k, s := range c.shares {
		if s.share > 1e-9 {
			open++
			if c.held[k] != nil {
				mine++
			}
		}
	}
	part := 1.0
	if open > 0 {
		part = max(float64(mine), 0.5) / float64(max(open, mine))
	}
	// Submissions come in bursts that seldom meet the holders' changes: together
	// the lanes may ask for more than the budget.
	c.lanes[LeaderLane].Rate = c.cfg.WriteRate * 0.8 * part
	if part != c.cloudPart {
		c.cloudPart = part
		c.emit(CloudShare{part})
	}
}

// useOf is the largest part of a team's limit that is in use in a block.
func (c *Core) useOf(bl *block) float64 {
	most := 0.0
	for name, t := range c.teams {
		for i, lim := range t.Limit {
			if lim > 0 {
				most = max(most, float64(bl.usage[name][i])/float64(lim))
			}
		}
	}
	return most
}

// sweep looks at all machines, a few times a second.
func (c *Core) sweep(bl *block) {
	var expired, silent []*fleet.Machine
	heard := map[string]int{}
	patience := c.patience()
	for _, m := range bl.machines {
		switch {
		case m.LeaseEnd == 0:
		case c.now >= m.LeaseEnd:
			expired = append(expired, m)
		case m.Leaving:
		case m.Notice != unit.Never:
			if c.now > m.Notice+unit.Second/2 {
				silent = append(silent, m)
			}
		case m.LastSeen != 0 && c.now-m.LastSeen < c.nextReport():
			heard[m.Record.Zone]++
		case c.now-max(m.LastSeen, bl.began) > patience:
			silent = append(silent, m)
		}
	}
	byName := func(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(expired, byName)
	slices.SortFunc(silent, byName)
	for _, m := range expired {
		c.lost(bl, m)
	}
	if n := len(bl.unaccounted); n > 0 && n <= fewOf(len(bl.machines)) && c.now-bl.began > c.nextReport()+unit.Second {
		// All work accepted earlier waits for these few. Most likely they are
		// gone: what they may hold is worth less than what waits.
		for _, name := range sortedKeys(bl.unaccounted) {
			if m := bl.machines[name]; m != nil && !m.Leaving && m.LastSeen == 0 {
				c.log.Warn("machine silent since the block was taken over", "machine", name)
				bl.giveBack(m)
			}
		}
	}
	if c.now >= bl.cloudWait {
		c.dropSilent(bl, silent, heard)
	}
}

// patience is how long a machine may be silent.
func (c *Core) patience() unit.Micros { return 2*c.cfg.ReportEvery + 2*unit.Second }

// giveBack has a machine returned with the next request.
func (bl *block) giveBack(m *fleet.Machine) {
	m.Leaving = true
	bl.leaving = append(bl.leaving, m.Name)
}

// fewOf is how many machines may be given up early, as a part of all.
func fewOf(n int) int { return max(1, n/20) }

// dropSilent returns machines that have gone silent: once the cloud has said
// that they are gone their tasks may start elsewhere, long before their lease
// would have run out. A machine whose notice has run out is expected to be
// gone. Any other is given up only while most machines of its zone are heard:
// otherwise it is more likely this node that cannot be reached.
func (c *Core) dropSilent(bl *block, silent []*fleet.Machine, heard map[string]int) {
	patience := c.patience()
	count := map[string]int{}
	for _, m := range silent {
		if m.Notice == unit.Never {
			count[m.Record.Zone]++
		}
	}
	for _, z := range c.cfg.Zones {
		// After a cut the first machines heard again do not speak against those
		// that are about to be: the zone must have been heard for a while.
		if heard[z] <= count[z] {
			bl.deafZone[z] = c.now
		}
	}
	for _, m := range silent {
		z := m.Record.Zone
		if m.Notice != unit.Never || heard[z] > count[z] && c.now-bl.deafZone[z] > patience {
			c.log.Warn("machine silent", "machine", m.Name, "tasks", len(m.Tasks), "notice", m.Notice != unit.Never)
			bl.giveBack(m)
		}
	}
	if n := min(len(bl.leaving), 100); n > 0 {
		c.emit(ReturnHosts{bl.n, bl.grant, bl.leaving[:n:n]})
		bl.leaving = bl.leaving[n:]
	}
}

// nextReport is the time within which a machine that is heard reports again.
func (c *Core) nextReport() unit.Micros { return 3 * c.cfg.ReportEvery / 2 }

// lost notes that a machine's lease has run out: nothing runs there any more.
func (c *Core) lost(bl *block, m *fleet.Machine) {
	c.log.Info("machine lost", "machine", m.Name, "tasks", len(m.Tasks))
	m.LeaseEnd = 0
	m.LastSeen = 0
	m.Lost = true // until it reports again
	m.IdleSince = c.now
	for _, id := range sortedTasks(m.Tasks) {
		c.taskGone(bl, m, id)
	}
	bl.accounted(c, m)
	if k, known := c.where[m.Name]; known && k != bl.n {
		delete(bl.machines, m.Name) // adopted before another block's record of it was known
		c.storeGroup(bl, m.Group, false)
	}
}

// accounted notes that all that runs on a machine is known.
func (bl *block) accounted(c *Core, m *fleet.Machine) {
	m.Accounted = true
	if !bl.unaccounted[m.Name] {
		return
	}
	delete(bl.unaccounted, m.Name)
	bl.hiddenStale = true
	if len(bl.unaccounted) == 0 {
		c.log.Info("all machines accounted for", "block", bl.n, "after_s", (c.now - bl.began).Seconds())
		for _, j := range bl.active {
			j.Held = false
		}
		bl.newWork = true
	}
}

// taskGone notes that an attempt is on its machine no more.
func (c *Core) taskGone(bl *block, m *fleet.Machine, id ledger.TaskID) {
	a, ok := m.Tasks[id]
	if !ok {
		return
	}
	m.Drop(id)
	bl.usage[a.Team] = bl.usage[a.Team].Sub(a.Demand)
	if j := c.jobs[id.Job]; j != nil {
		if p, ok := j.Place(id.Task); ok && p.Machine == m.Name && p.Attempt == a.Number {
			before := j.Ready()
			j.Release(id.Task)
			bl.newWork = bl.newWork || j.Ready() > before
		}
	}
	if len(m.Tasks) == 0 {
		m.IdleSince = c.now
	}
}

// taskOn notes that an attempt may be on a machine.
func (c *Core) taskOn(bl *block, m *fleet.Machine, id ledger.TaskID, a fleet.Attempt) {
	if old, ok := m.Tasks[id]; ok {
		bl.usage[old.Team] = bl.usage[old.Team].Sub(old.Demand)
	}
	m.Put(id, a)
	bl.usage[a.Team] = bl.usage[a.Team].Add(a.Demand)
}

// blockWrite queues a change that only the holder under this grant may make.
func (c *Core) blockWrite(bl *block, late bool, done func(store.Outcome), guarded []string, changes ...store.Change) {
	guards := []store.Guard{{Key: blockKey(bl.n), Stamp: bl.grant}}
	for _, k := range guarded {
		guards = append(guards, store.Guard{Key: k, Stamp: c.replica.Stamp(k)})
	}
	c.lanes[LeaderLane].Add(&store.Write{
		Late:    late,
		Guards:  guards,
		Changes: changes,
		Done:    func(o store.Outcome, _ uint64) { done(o) },
	})
}

// group is how machines that were rented together are stored.
type group struct {
	key     string
	kind    fleet.Group
	members []string // gone ones are left out when the group is next stored
	queued  bool     // is among those to be stored
	urgent  bool     // a machine that is up waits for it
}

// storeGroup has a group stored soon: tasks may start only on machines that a
// new holder would know of.
func (c *Core) storeGroup(bl *block, key string, urgent bool) {
	g := bl.groups[key]
	if g == nil {
		return
	}
	g.urgent = g.urgent || urgent
	if !g.queued {
		g.queued = true
		bl.changed = append(bl.changed, g)
	}
}

// writeGroup stores a group as it is now.
func (c *Core) writeGroup(bl *block, g *group) {
	g.queued, g.urgent = false, false
	rec := g.kind
	g.members = slices.DeleteFunc(g.members, func(name string) bool {
		m := bl.machines[name]
		return m == nil || m.Group != g.key
	})
	for _, name := range g.members {
		if m := bl.machines[name]; m.LastSeen != 0 || m.Record.Up {
			rec.Up = append(rec.Up, name)
		} else {
			rec.Booting = append(rec.Booting, name)
		}
	}
	ch := store.Change{Key: g.key}
	if len(g.members) > 0 {
		ch.Value = mustJSON(rec)
	} else if c.replica.Stamp(g.key) == 0 {
		delete(bl.groups, g.key)
		return
	}
	c.blockWrite(bl, true, func(o store.Outcome) {
		switch {
		case o != store.OK:
			c.storeGroup(bl, g.key, len(rec.Up) > 0)
		case ch.Value == nil:
			delete(c.groups, g.key) // the copy follows with the next read
			if len(g.members) == 0 {
				delete(bl.groups, g.key)
			}
		default:
			for _, name := range rec.Up {
				if m := bl.machines[name]; m != nil {
					m.Record.Up = true
				}
			}
		}
	}, []string{g.key}, ch)
}

// progressAge is how long finished tasks wait to be stored: their machines
// remember them until then, so that nothing is lost if this holder ends.
const progressAge = 2 * unit.Second

// lateEvery keeps transactions few, so that each carries several changes.
const lateEvery = unit.Second / 8

// lateWrites hands the lane what else is to be stored, as much as goes with
// its next transaction: machines that are up, then finished tasks, the longest
// first, and what is only cleaned up.
func (c *Core) lateWrites(bl *block) {
	if c.now < bl.lateAt || len(bl.changed) == 0 && len(bl.dirty) == 0 {
		return
	}
	room := c.lanes[LeaderLane].Room(c.now)
	if room == 0 {
		return
	}
	bl.lateAt = c.now + lateEvery
	var rest []*group
	for _, g := range bl.changed {
		if g.urgent && room > 0 {
			room--
			c.writeGroup(bl, g)
		} else {
			rest = append(rest, g)
		}
	}
	bl.changed = rest
	for room > 0 && len(bl.dirty) > 0 && c.now-bl.dirty[0].DirtySince >= progressAge {
		j := bl.dirty[0]
		bl.dirty = bl.dirty[1:]
		if !j.Active() || j.AllFinished() {
			continue
		}
		for _, n := range j.DirtyChunks() {
			room--
			c.writeChunk(bl, j, n)
		}
	}
	for room > 0 && len(bl.changed) > 0 {
		room--
		g := bl.changed[0]
		bl.changed = bl.changed[1:]
		c.writeGroup(bl, g)
	}
}

// finished notes that a task is done.
func (c *Core) finished(bl *block, j *ledger.Job, task int) {
	j.Finish(task, c.chunk)
	if j.AllFinished() {
		c.closeJob(bl, j) // users wait for it
		return
	}
	c.markDirty(bl, j)
}

// markDirty has a job's finished tasks stored, unless that is planned already.
func (c *Core) markDirty(bl *block, j *ledger.Job) {
	if j.DirtySince == 0 {
		j.DirtySince = c.now
		bl.dirty = append(bl.dirty, j)
	}
}

// writeChunk stores the finished tasks of a chunk. The record covers all that
// is finished now; what is added before it is sent goes into the next one.
func (c *Core) writeChunk(bl *block, j *ledger.Job, n int) {
	k := progressKey(j.ID, n)
	// The job's record is guarded as well: once that is final, its chunks are gone.
	guarded := []string{k, jobPrefix + j.ID}
	c.blockWrite(bl, true, func(o store.Outcome) {
		if o != store.OK && j.Active() {
			j.MarkDirty(n)
			c.markDirty(bl, j)
		}
	}, guarded, store.Change{Key: k, Value: mustJSON(finishedRecord{j.ChunkRanges(n, c.chunk)})})
}

// closeJob stores that a job is done, and drops its records of finished tasks.
func (c *Core) closeJob(bl *block, j *ledger.Job) {
	if !j.Active() || j.Closing {
		return
	}
	key := jobPrefix + j.ID
	rec := ledger.Record{Status: ledger.Done, Tasks: j.Record.Tasks}
	changes := []store.Change{{Key: key, Value: mustJSON(rec)}}
	for n := 0; n <= (j.Record.Tasks-1)/c.chunk && len(changes) < c.cfg.TxnOps; n++ {
		if k := progressKey(j.ID, n); c.replica.Stamp(k) != 0 {
			changes = append(changes, store.Change{Key: k})
		}
	}
	j.Closing = true
	c.blockWrite(bl, false, func(store.Outcome) { j.Closing = false }, []string{key}, changes...)
}

func progressKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", donePrefix, id, chunk) }

// tickTypes reads the price list, on every controller that needs it.
func (c *Core) tickTypes() {
	if (c.leader != nil || len(c.held) > 0) && c.now >= c.typesAt {
		c.typesAt = c.now + 20*unit.Second
		c.emit(FetchTypes{})
	}
}

// tickCloud talks to the cloud: the machine list, renting and returning.
func (c *Core) tickCloud(bl *block) {
	if c.now < bl.cloudWait || len(c.types) == 0 {
		return
	}
	if c.now >= bl.hostsAt && bl.n == 0 {
		bl.hostsAt = c.now + max(5*unit.Second, c.cfg.ListLag)
		c.emit(ListHosts{})
	}
	if c.now >= bl.planAt {
		bl.planAt = c.now + unit.Second
		c.plan(bl)
	}
	if c.now >= bl.logAt {
		bl.logAt = c.now + 10*unit.Second
		c.logFleet(bl)
	}
}

// plan rents and returns machines.
func (c *Core) plan(bl *block) {
	if len(bl.unaccounted) > fewOf(len(bl.machines)) && c.now < bl.began+c.leaseBound() {
		return // what runs, and so what is needed, is not known yet
	}
	needs := c.needs(bl)
	var ms []scale.Machine
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		if m.Leaving || m.Lost || m.Sick || m.Notice != unit.Never {
			continue
		}
		sm := scale.Machine{Name: name, Pool: poolOf(m), Booted: m.LastSeen != 0, Age: c.now - m.Rented}
		if len(m.Tasks) == 0 {
			sm.Idle = c.now - m.IdleSince + 1
		}
		ms = append(ms, sm)
	}
	rents, back := bl.scaler.Plan(c.now, needs, ms, c.types)
	if bl.renting == 0 {
		c.rent(bl, rents)
	}
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		boot := 30 * unit.Second
		if m.Type != nil {
			boot = 6*m.Type.Boot + 10*unit.Second
		}
		switch {
		case m.Leaving:
		case m.Sick && m.Accounted && len(m.Tasks) == 0,
			m.Lost && c.now-m.IdleSince > 10*unit.Second,
			m.LastSeen == 0 && m.LeaseEnd == 0 && c.now-m.Rented > boot:
			back = append(back, name)
		}
	}
	for _, name := range back {
		bl.giveBack(bl.machines[name])
	}
}

// rent asks for machines in as many requests as the cloud takes in a second, a
// part of them for each of the offers.
func (c *Core) rent(bl *block, rents []scale.Rent) {
	if len(rents) == 0 {
		return
	}
	each := max(1, int(c.cfg.CloudRate*c.cloudPart/2)/len(rents))
	for _, r := range rents {
		left := r.Count
		for range each {
			if left <= 0 {
				break
			}
			r.Count = min(left, fleet.MaxGroup)
			left -= r.Count
			bl.requests++
			bl.renting++
			// A name that no other grant uses: names must never come again.
			c.emit(RentHosts{Block: bl.n, Grant: bl.grant, Request: fmt.Sprintf("r-%d-%d", bl.token, bl.requests), Rent: r})
		}
	}
}

func poolOf(m *fleet.Machine) scale.Pool {
	return scale.Pool{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// OnTypes takes the price list. A type that is new is stored by the leader, so
// that every node knows it.
func (c *Core) OnTypes(now unit.Micros, o store.Outcome, types []fleet.Type) {
	c.at(now)
	if o != store.OK {
		c.typesAt = now + 2*unit.Second
		return
	}
	for _, t := range types {
		key := typePrefix + t.Name
		old := c.types[t.Name]
		c.setType(t)
		if l := c.leader; l != nil && (old == nil || c.replica.Stamp(key) == 0) {
			l.write(c, []store.Guard{{Key: key, Stamp: c.replica.Stamp(key)}}, store.Change{Key: key, Value: mustJSON(t)})
		}
	}
	for _, bl := range c.held {
		for _, m := range bl.machines {
			if m.Type == nil {
				m.Type = c.types[m.Record.Type]
				bl.hiddenStale = true
			}
		}
	}
}

// under returns the block that an answer of the cloud is for, if it is still
// held under the same grant.
func (c *Core) under(k int, grant uint64) *block {
	if bl := c.held[k]; bl != nil && bl.grant == grant && bl.ready {
		return bl
	}
	return nil
}

// OnRent takes a rental's outcome.
func (c *Core) OnRent(now unit.Micros, r RentHosts, o store.Outcome, names []string) {
	c.at(now)
	bl := c.under(r.Block, r.Grant)
	if bl == nil {
		return // the machines are found by their reports and in the list
	}
	bl.renting = max(0, bl.renting-1)
	switch o {
	case store.OK:
		bl.scaler.Granted(r.Rent.Pool)
		if len(names) < r.Rent.Count {
			bl.scaler.Refused(now, r.Rent.Pool)
		}
		key := machPrefix + r.Request
		for _, n := range names {
			if bl.machines[n] == nil {
				c.newMachine(bl, n, key, fleet.Record{Type: r.Rent.Pool.Type, Zone: r.Rent.Pool.Zone, Spot: r.Rent.Pool.Spot})
			}
		}
		c.storeGroup(bl, key, true)
		c.log.Info("rented", "type", r.Rent.Pool.Type, "zone", r.Rent.Pool.Zone, "spot", r.Rent.Pool.Spot, "asked", r.Rent.Count, "got", len(names))
	case store.Failed: // no capacity
		bl.scaler.Refused(now, r.Rent.Pool)
	default:
		bl.cloudWait = now + 2*unit.Second
	}
}

// OnReturn takes a return's outcome: after OK the machines and all that ran on
// them are gone.
func (c *Core) OnReturn(now unit.Micros, r ReturnHosts, o store.Outcome) {
	c.at(now)
	bl := c.under(r.Block, r.Grant)
	if bl == nil {
		return
	}
	for _, n := range r.Names {
		m := bl.machines[n]
		if m == nil {
			continue
		}
		if o != store.OK {
			m.Leaving = false // the next plan tries again
			continue
		}
		for _, id := range sortedTasks(m.Tasks) {
			c.taskGone(bl, m, id)
		}
		bl.accounted(c, m)
		delete(bl.machines, n)
		c.storeGroup(bl, m.Group, false)
		bl.gone[n] = c.now
		c.log.Info("returned", "machine", n)
	}
	if o != store.OK {
		bl.cloudWait = now + 2*unit.Second
	}
}

// Host is a machine on the cloud's list.
type Host struct {
	Name   string
	Record fleet.Record
	Failed bool
	Age    unit.Micros
}

// OnHosts takes the machine list. It may be old: it proves only that a machine
// exists or has failed, never that one is absent.
func (c *Core) OnHosts(now unit.Micros, o store.Outcome, hosts []Host) {
	c.at(now)
	bl := c.held[0] // machines that nobody knows belong to the first block
	if o != store.OK || bl == nil || !bl.ready {
		return
	}
	for n, at := range bl.gone {
		if now-at > 4*c.cfg.ListLag+60*unit.Second {
			delete(bl.gone, n)
		}
	}
	for _, h := range hosts {
		m := bl.machines[h.Name]
		if _, gone := bl.gone[h.Name]; gone {
			continue
		}
		if k, known := c.where[h.Name]; known && k != bl.n {
			continue // its holder finds out by itself when it fails
		}
		switch {
		case h.Failed:
			if m == nil || !m.Leaving {
				bl.leaving = append(bl.leaving, h.Name)
			}
			if m != nil {
				m.Leaving = true
			}
		case m == nil && h.Age > 2*c.cfg.ListLag+strayAfter && now-bl.began > 2*c.cfg.ListLag:
			// Rented by a request that was carried out late, or whose answer was
			// lost. Adopted: the next plan uses it or gives it back.
			m = c.newMachine(bl, h.Name, strayKey(h.Name), h.Record)
			m.Rented = now - h.Age
			c.storeGroup(bl, m.Group, false)
			c.log.Info("adopted", "machine", h.Name)
		}
	}
}
