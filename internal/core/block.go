package core

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/follow"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/renting"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watch"
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

	machines    map[string]*fleet.Machine
	groups      map[string]*group // stored machines, by key
	changed     []*group          // to be stored
	unaccounted map[string]bool   // machines on which earlier holders' tasks may run
	asking      []string          // those that are to be asked directly
	askAt       unit.Micros
	contacting  int      // requests under way
	hidden      pack.Vec // capacity of the machines that are unaccounted for
	untyped     bool     // the capacity of some of them is not known
	hiddenStale bool
	active      map[string]*ledger.Job
	queue       ranking.Queue       // active jobs, and the order in which they are served
	rights      ranking.Rights      // of theirs, by their teams' guarantees
	owed        map[string]int64    // CPU of teams that have waited for long for their part of the guarantees
	promised    map[string]pack.Vec // demand of the first task of a job that is overdue, by team
	orderStale  bool
	usage       map[string]pack.Vec
	total       pack.Vec         // capacity of all machines
	waiting     int              // ready tasks of the ranked jobs
	ends        float64          // tasks of all jobs that end in a second, by their run times
	roomy       []*fleet.Machine // machines with free room, preferred ones first
	rankedAt    unit.Micros
	viewed      []*ledger.Job // for one machine, kept for their memory
	views       []pack.Job
	lateAt      unit.Micros   // when late writes are next made
	dirty       []*ledger.Job // with finished tasks to be stored, the longest first

	demand    *demand.Book
	renter    *renting.Renter
	watch     *watch.Watch
	follow    *follow.Source
	held      []heldReport // reports of idle machines that wait for work
	heldAt    unit.Micros  // when held reports are next looked at
	newWork   bool         // tasks have become ready since jobs were ranked
	heldStale bool         // or since held reports were looked at
	preempted map[string]preemption
	sortAt    unit.Micros
	sweepAt   unit.Micros
	moveAt    unit.Micros
	logAt     unit.Micros
	lone      string                 // job whose parts are being cleared, as it has no record
	loneAt    unit.Micros            // when that goes on
	strays    map[string]unit.Micros // unknown machines that report, since when
}

func sortedBlocks(m map[int]*block) []int { return slices.Sorted(maps.Keys(m)) }

// hold begins to hold a block. Reports are answered once a read that began
// after the grant was stored has shown everything that earlier holders stored.
func (c *Core) hold(k int, g granted) {
	bl := &block{n: k, grant: g.stamp, token: lead.Token(g.Term, g.Number), began: c.now,
		machines: map[string]*fleet.Machine{}, groups: map[string]*group{},
		unaccounted: map[string]bool{}, active: map[string]*ledger.Job{}, usage: map[string]pack.Vec{},
		demand: demand.New(c.cfg.Objectives, c.cfg.RoundShare), preempted: map[string]preemption{}, strays: map[string]unit.Micros{}}
	host := tenancy{c, bl}
	bl.renter = renting.New(renting.Config{Block: k, Token: bl.token, Began: c.now, ListLag: c.cfg.ListLag, StrayAfter: strayAfter, Lease: c.leaseBound(), ReportEvery: c.cfg.ReportEvery, Scale: c.cfg.Scale, Log: c.log}, host, c.zones)
	bl.watch = watch.New(watch.Config{ReportEvery: c.cfg.ReportEvery, Began: c.now, Zones: c.cfg.Zones, Log: c.log}, host, bl.renter, c.zones)
	bl.follow = follow.NewSource(k, bl.token, followed{c, bl})
	c.held[k] = bl
	c.reach.Taken()
	c.zones.Taken()
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
		picture := c.takePicture(bl)
		for _, key := range sortedKeys(c.groups) {
			g := c.groups[key]
			if g.Block != bl.n {
				continue
			}
			// A holder that took them for new would keep idle ones for their
			// least charge once more.
			age := unit.Micros(0)
			if g.Rented > 0 {
				age = max(0, c.wall-g.Rented)
			}
			for _, name := range g.Up {
				m := c.newMachine(bl, name, key, g.Record(true), age)
				// An earlier holder may have started tasks there, and its last
				// answer may have been accepted just before this grant.
				m.LeaseEnd = c.now + c.leaseBound()
				if _, handed := picture.machines[name]; !handed && !picture.covers(key) && c.keeps(guard.Unaccounted) {
					bl.unaccounted[name] = true
					bl.hiddenStale = true
				}
			}
			for _, name := range g.Booting {
				c.newMachine(bl, name, key, g.Record(false), age)
			}
		}
		for _, id := range sortedKeys(c.active) {
			if j := c.active[id]; j.Record.Block == bl.n && j.Awaiting == 0 {
				j.Reset()
				bl.addJob(j)
				// Whether any of its tasks were ever started only the last holder knew.
				j.Held = len(bl.unaccounted) > 0
			}
		}
		handed := c.believe(bl, picture)
		bl.ready = true
		c.log.Info("picture read", "block", bl.n, "jobs", len(bl.active), "machines", len(bl.machines), "handed_on", handed, "followed", picture.whole)
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
	bl.follow.Close(c.now)
	c.handOn(bl)
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
		Changes: []store.Change{{Key: blockKey(bl.n), Value: store.Value(lead.Block{Term: g.Term, Number: g.Number, Left: c.cfg.Node})}},
		Done:    func(store.Outcome, uint64) { bl.freeing = false }, // tried again until it is known to be so
	})
}

// leaseBound is the time after which tasks of a machine that gets no answer
// are surely gone.
func (c *Core) leaseBound() unit.Micros { return unit.Longest(c.cfg.Lease) + unit.Second/5 }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Holds reports whether this node may answer workers of a block at present.
func (c *Core) Holds(now unit.Micros, k int) bool {
	bl := c.held[k]
	return bl != nil && bl.ready && !bl.free && now < c.ValidUntil()
}

func (bl *block) addJob(j *ledger.Job) {
	if bl.active[j.ID] == j {
		return
	}
	if old := bl.active[j.ID]; old != nil {
		bl.queue.Remove(old)
	}
	bl.active[j.ID] = j
	bl.queue.Add(j)
	bl.orderStale, bl.newWork = true, true
}

// jobOver forgets a job that is done or cancelled. Its tasks on machines keep
// counting against the team until the machines report them gone.
func (bl *block) jobOver(c *Core, j *ledger.Job, s ledger.Status) {
	bl.dropJob(j)
	spec := j.Spec()
	c.log.Info("job over", "job", j.ID, "status", s, "class", spec.Class, "tasks", spec.Tasks,
		"took_s", (c.wall - j.Since).Seconds(), "waited_s", (j.Since - j.Record.Submitted).Seconds(), "deadline_s", spec.Deadline.Seconds())
}

// dropJob forgets a job that is over or another block's now.
func (bl *block) dropJob(j *ledger.Job) {
	if old := bl.active[j.ID]; old != nil {
		bl.queue.Remove(old)
		delete(bl.active, j.ID)
	}
	bl.orderStale = true
}

// sortJobs keeps the active jobs in the order in which they could first start, and
// notes which fit their team's guarantee together with the team's earlier jobs. Jobs
// that wait for others count nowhere.
func (c *Core) sortJobs(bl *block) {
	c.flow(bl)
	bl.orderStale = false
	bl.queue.Settle()
	// A guarantee covers the earliest of a team's jobs in all blocks.
	all := &bl.queue.Order
	if len(c.active) > len(bl.active) {
		all = &c.begun
		all.Settle()
	}
	bl.rights = ranking.Weigh(bl.queue.Jobs(), all.Jobs(), guarantees{c})
	bl.total = pack.Vec{}
	for _, m := range bl.machines {
		if m.Type != nil && !m.Leaving {
			bl.total = bl.total.Add(m.Type.Capacity)
		}
	}
	c.owe(bl)
}

// guarantees tells package ranking of the teams.
type guarantees struct{ c *Core }

// Guarantee implements ranking.Guarantees.
func (g guarantees) Guarantee(team string) (pack.Vec, bool) {
	if t := g.c.teams[team]; t != nil {
		return t.Guarantee, true
	}
	return pack.Vec{}, false
}

// Total implements ranking.Guarantees.
func (g guarantees) Total() (cpu int64, teams int) {
	for _, t := range g.c.cfg.Teams {
		cpu += t.Guarantee[pack.CPU]
	}
	return cpu, len(g.c.cfg.Teams)
}

// tickBlock does what a holder does as time passes.
func (c *Core) tickBlock(bl *block) {
	if bl.free {
		if len(bl.held) > 0 && c.now >= bl.held[0].until {
			c.sendOn(bl) // it takes longer than it should
		}
		c.storeRelease(bl)
		return
	}
	if c.retiring != 0 {
		c.release(bl, "this controller is about to end")
		return
	}
	if !c.Holds(c.now, bl.n) {
		return
	}
	if c.deaf(bl) {
		c.reach.GaveUp(c.now)
		for _, k := range sortedBlocks(c.held) {
			c.release(c.held[k], "no worker can reach this node")
		}
		return
	}
	if c.now >= bl.sortAt {
		bl.sortAt = c.now + unit.Second
		c.sortJobs(bl)
		for _, j := range bl.queue.Jobs() {
			if j.AllFinished() && c.keeps(guard.CloseAgain) {
				// Not only when its last task ends: an earlier holder may have
				// stored that and ended before it could store the job's end.
				c.closeJob(bl, j)
			}
		}
	}
	if c.now >= bl.sweepAt {
		bl.sweepAt = c.now + unit.Second/4
		bl.watch.Sweep(c.now)
	}
	if c.now >= bl.moveAt {
		bl.moveAt = c.now + unit.Second/2
		c.moveJobs(bl)
	}
	c.contact(bl)
	c.tickCloud(bl)
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
	c.lanes[UserLane].Rate = c.cfg.WriteRate / float64(2*c.cfg.Size)
	c.lanes[LeaderLane].Rate = c.cfg.WriteRate * 0.8 * part
	c.lanes[PackLane].Rate = c.cfg.WriteRate * packShare
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
