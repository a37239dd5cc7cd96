package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// candidacy is an attempt to become leader.
type candidacy struct {
	opening bool
	sent    unit.Micros
	after   unit.Micros // not tried before
	deafAt  unit.Micros // when this node last resigned because no worker reached it
	goneAt  unit.Micros // when the leader's record was seen to be gone

	term    uint64 // that permits are sought for
	askedAt unit.Micros
	permits map[string]bool
}

// permit takes a controller's help to lead a term.
func (s *candidacy) permit(from string, term uint64) {
	if term == s.term && s.permits != nil {
		s.permits[from] = true
	}
}

// permitFresh is how long a round of asking for permits lasts.
const permitFresh = unit.Second / 4

// extension is how long promises may carry a leader past its last renewal. A
// leader that is cut off hears of no cancellation: what it runs must still be
// gone in time, a worker's lease after its last answer.
func (c *Core) extension() unit.Micros {
	return max(c.cfg.LeaderTTL, c.cfg.CancelIn-c.leaseBound()-2*unit.Second)
}

// permitted reports whether no earlier leader can be leading still, and seeks
// the help of a majority to make it so.
func (c *Core) permitted() bool {
	s := &c.stand
	if c.term.Term == 0 || c.term.Node == c.cfg.Node {
		return true // nobody ever led, or it was this node's last process
	}
	if c.now-s.goneAt > unit.Longest(c.extension())+c.cfg.LeaderTTL {
		return true // whatever was promised to it, its time is over
	}
	term := c.term.Term + 1
	if s.term != term || c.now-s.askedAt > permitFresh {
		s.term, s.permits = term, map[string]bool{}
		s.askedAt = c.now
		for _, n := range c.peers.names {
			c.emit(SendPeer{n, PeerPermitAsk{term}})
		}
	}
	if !s.permits[c.cfg.Node] && c.voter.Permit(c.now, term) {
		s.permits[c.cfg.Node] = true
	}
	return len(s.permits) > c.cfg.Size/2
}

// leader is what a controller knows and does while it leads.
type leader struct {
	pass     uint64 // lease in the state service
	term     uint64
	stamp    uint64 // version of the leader's record; guards every write
	auth     lead.Authority
	ready    bool // the picture is complete enough to answer reports
	renewing bool
	renewAt  unit.Micros
	lastHold unit.Micros // when the renewal under way was sent

	began       unit.Micros
	attempts    uint64
	requests    uint64
	machines    map[string]*fleet.Machine
	groups      map[string]*group      // stored machines, by key
	changed     []*group               // to be stored
	gone        map[string]unit.Micros // machines returned lately: the list may still show them
	unaccounted map[string]bool        // machines on which earlier leaders' tasks may run
	active      map[string]*ledger.Job
	order       []*ledger.Job // active jobs by submission
	within      map[string]bool
	share       map[string]float64 // fair share of one job, by team
	orderStale  bool
	usage       map[string]pack.Vec
	hidden      pack.Vec // capacity of the machines that are unaccounted for
	untyped     bool     // the capacity of some of them is not known
	hiddenStale bool
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
	typesAt   unit.Micros
	hostsAt   unit.Micros
	planAt    unit.Micros
	sortAt    unit.Micros
	sweepAt   unit.Micros
	logAt     unit.Micros
	cloudWait unit.Micros
	renting   int
	lastHeard unit.Micros // last report
}

const authorityMargin = 100_000 // 0.1 s for the service's own slack and ours

// tickStand seeks the lead when nobody holds it, and keeps it once held.
func (c *Core) tickStand() {
	if l := c.leader; l != nil {
		if !l.renewing && c.now >= l.renewAt {
			l.renewing, l.lastHold = true, c.now
			c.emit(RenewLease{l.pass})
		}
		return
	}
	s := &c.stand
	free := c.leadFree()
	if !c.sync.loaded || !free || s.opening || c.now < s.after {
		return
	}
	if c.now-c.sync.lastOK > unit.Second {
		c.wantSync(nil)
		return
	}
	if !c.permitted() {
		return
	}
	s.opening, s.sent = true, c.now
	c.emit(OpenLease{c.cfg.LeaderTTL})
}

// leadFree reports whether nobody leads, as far as this node knows. A claim of
// this node's own was left by its last process, which has surely ended.
func (c *Core) leadFree() bool { return c.claim.Node == "" || c.claim.Node == c.cfg.Node }

// OnLease takes a new lease's outcome and claims the lead with it.
func (c *Core) OnLease(now unit.Micros, o store.Outcome, id uint64) {
	c.at(now)
	c.heard(o)
	s := &c.stand
	if o != store.OK {
		s.opening, s.after = false, now+unit.Second/2
		return
	}
	if !c.leadFree() || !c.permitted() {
		// Another node was first. Its claim may be in the copy already, so that
		// a guard on the version we know would not keep us from replacing it.
		s.opening = false
		c.emit(CloseLease{id})
		return
	}
	term := c.term.Term + 1
	claim := lead.Claim{Term: term, Node: c.cfg.Node}
	// One block holds every machine and the whole of every limit: see docs/design.md.
	block := lead.Block{Term: term, Controller: c.cfg.Node, Machines: []string{"*"}, Jobs: []string{"*"}, LimitShare: 1}
	sent := s.sent
	c.lanes[LeaderLane].Add(&store.Write{
		Guards: []store.Guard{{Key: leadKey, Stamp: c.replica.Stamp(leadKey)}, {Key: termKey, Stamp: c.replica.Stamp(termKey)}},
		Changes: []store.Change{
			{Key: leadKey, Value: mustJSON(claim), Lease: id},
			{Key: termKey, Value: mustJSON(lead.Term{Term: term, Node: c.cfg.Node})},
			{Key: blockKey, Value: mustJSON(block)},
		},
		Done: func(o store.Outcome, rev uint64) {
			s.opening = false
			if o != store.OK {
				// Ending the lease also keeps a late claim from being carried out.
				s.after = c.now + unit.Second/5
				c.emit(CloseLease{id})
				c.wantSync(nil)
				return
			}
			c.lead(id, term, rev, sent)
		},
	})
}

// lead begins a term. Reports are answered once a read that began after the
// claim was stored has shown everything that earlier leaders stored.
func (c *Core) lead(pass, term, stamp uint64, sent unit.Micros) {
	l := &leader{pass: pass, term: term, stamp: stamp, began: c.now, lastHeard: c.now,
		auth: lead.Authority{TTL: c.cfg.LeaderTTL, Margin: authorityMargin, Extend: c.extension(), Peers: c.cfg.Size / 2}, renewAt: sent + c.cfg.LeaderTTL/5}
	l.auth.Renewed(sent)
	c.leader = l
	c.log.Info("leading", "term", term)
	c.rebuild(l)
}

func (c *Core) rebuild(l *leader) {
	c.wantSync(func(ok bool) {
		if c.leader != l {
			return
		}
		if !ok {
			c.rebuild(l)
			return
		}
		l.machines = map[string]*fleet.Machine{}
		l.unaccounted = map[string]bool{}
		l.groups, l.gone = map[string]*group{}, map[string]unit.Micros{}
		l.active = map[string]*ledger.Job{}
		l.usage = map[string]pack.Vec{}
		l.scaler = scale.New(c.cfg.Scale)
		l.runtimes = map[string]*ratio{}
		l.preempted = map[string]preemption{}
		l.deafZone = map[string]unit.Micros{}
		for _, key := range sortedKeys(c.groups) {
			g := c.groups[key]
			for _, name := range g.Up {
				m := c.newMachine(l, name, key, g.Record(true))
				// An earlier leader may have started tasks there, and its last
				// answer may have been accepted just before this term began.
				m.LeaseEnd = c.now + c.leaseBound()
				l.unaccounted[name] = true
				l.hiddenStale = true
			}
			for _, name := range g.Booting {
				c.newMachine(l, name, key, g.Record(false))
			}
		}
		for _, id := range sortedKeys(c.jobs) {
			if j := c.jobs[id]; j.Active() {
				j.Reset()
				l.addJob(j)
				j.Held = len(l.unaccounted) > 0
			}
		}
		l.ready = true
		c.log.Info("picture read", "term", l.term, "jobs", len(l.active), "machines", len(l.machines))
	})
}

// leaseBound is the time after which tasks of a machine that gets no answer
// are surely gone.
func (c *Core) leaseBound() unit.Micros { return unit.Longest(c.cfg.Lease) + unit.Second/5 }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// newMachine takes in a machine that is, or is about to be, stored with a group.
func (c *Core) newMachine(l *leader, name, key string, r fleet.Record) *fleet.Machine {
	m := fleet.New(name, r, c.types[r.Type], c.now)
	m.Group = key
	l.machines[name] = m
	g := l.groups[key]
	if g == nil {
		g = &group{key: key, kind: fleet.Group{Type: r.Type, Zone: r.Zone, Spot: r.Spot}}
		l.groups[key] = g
	}
	g.members = append(g.members, name)
	return m
}

// strayKey is where a machine is stored that no request is known to have rented.
func strayKey(name string) string { return machPrefix + "x-" + name }

// resign gives the lead up, so that another controller can take it at once.
func (c *Core) resign(why string, pause unit.Micros) {
	l := c.leader
	c.log.Warn("resigning", "term", l.term, "why", why)
	c.leader = nil
	for _, h := range l.held {
		c.reply(h.req, http.StatusServiceUnavailable, Problem{"no authority at present"})
	}
	c.stand.after = c.now + pause
	c.lanes[LeaderLane].Clear()
	c.emit(CloseLease{l.pass})
	if c.claim.Node == c.cfg.Node {
		c.claim = lead.Claim{} // the record goes with the lease
	}
	for _, j := range c.jobs {
		if j.Active() {
			j.Clear()
		}
	}
	c.wantSync(nil)
}

// OnRenew takes a renewal's outcome.
func (c *Core) OnRenew(now unit.Micros, id uint64, o store.Outcome) {
	c.at(now)
	c.heard(o)
	l := c.leader
	if l == nil || l.pass != id {
		return
	}
	l.renewing = false
	switch o {
	case store.OK:
		l.auth.Renewed(l.lastHold)
		l.renewAt = l.lastHold + c.cfg.LeaderTTL/5
	case store.Failed:
		c.resign("the lease has ended", unit.Second/5)
	default:
		l.renewAt = now + c.cfg.LeaderTTL/10
	}
}

// Leading reports whether this node may answer workers at present.
func (c *Core) Leading(now unit.Micros) bool {
	return c.leader != nil && c.leader.ready && c.leader.auth.Valid(now)
}

func (l *leader) addJob(j *ledger.Job) {
	if l.active == nil || l.active[j.ID] == j {
		return // not built yet, or known
	}
	l.active[j.ID] = j
	l.orderStale, l.newWork = true, true
}

// jobOver forgets a job that is done or cancelled. Its tasks on machines keep
// counting against the team until the machines report them gone.
func (l *leader) jobOver(c *Core, j *ledger.Job, s ledger.Status) {
	delete(l.active, j.ID)
	l.orderStale = true
	c.log.Info("job over", "job", j.ID, "status", s)
}

// sortJobs keeps the active jobs in the order of submission, and notes which
// fit their team's guarantee together with the team's earlier jobs.
func (c *Core) sortJobs(l *leader) {
	if l.orderStale {
		l.orderStale = false
		l.order = l.order[:0]
		for _, j := range l.active {
			l.order = append(l.order, j)
		}
		sort.Slice(l.order, func(a, b int) bool {
			x, y := l.order[a], l.order[b]
			if x.Record.Submitted != y.Record.Submitted {
				return x.Record.Submitted < y.Record.Submitted
			}
			return x.ID < y.ID
		})
	}
	l.within = map[string]bool{}
	l.share = map[string]float64{}
	jobs := map[string]int{}
	for _, j := range l.order {
		team := j.Spec().Team
		jobs[team]++
		l.share[team] = c.teamShare(team) / float64(jobs[team])
	}
	sum := map[string]pack.Vec{}
	for _, j := range l.order {
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
		l.within[j.ID] = ok
	}
	l.total = pack.Vec{}
	for _, m := range l.machines {
		if m.Type != nil && !m.Leaving {
			l.total = l.total.Add(m.Type.Capacity)
		}
	}
}

// tickLeader does what a leader does as time passes.
func (c *Core) tickLeader() {
	l := c.leader
	if !c.Leading(c.now) {
		return
	}
	if c.deaf(l) {
		c.stand.deafAt = c.now
		c.resign("no worker can reach this node", 10*unit.Second)
		return
	}
	if c.now >= l.sortAt {
		l.sortAt = c.now + unit.Second
		c.sortJobs(l)
		for _, j := range l.order {
			if j.AllFinished() {
				// Not only when its last task ends: an earlier leader may have
				// stored that and ended before it could store the job's end.
				c.closeJob(l, j)
			}
		}
	}
	if c.now >= l.sweepAt {
		l.sweepAt = c.now + unit.Second/4
		c.sweep(l)
	}
	c.tickCloud(l)
}

// deaf reports whether this leader should let another controller try, as no
// worker has reached it for a while. It must not do so again and again: where
// the machines are really gone, their leases have to run out under one leader.
func (c *Core) deaf(l *leader) bool {
	if c.cfg.Size == 1 || c.now-l.lastHeard <= 2*c.cfg.ReportEvery+unit.Second ||
		c.stand.deafAt != 0 && c.now-c.stand.deafAt < 60*unit.Second+2*c.leaseBound() {
		return false
	}
	for _, m := range l.machines {
		if m.LastSeen != 0 || m.LeaseEnd != 0 {
			return true
		}
	}
	return false
}

// sweep looks at all machines, a few times a second.
func (c *Core) sweep(l *leader) {
	var expired, silent []*fleet.Machine
	heard := map[string]int{}
	patience := 2*c.cfg.ReportEvery + 2*unit.Second
	for _, m := range l.machines {
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
		case c.now-max(m.LastSeen, l.began) > patience:
			silent = append(silent, m)
		}
	}
	byName := func(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(expired, byName)
	slices.SortFunc(silent, byName)
	for _, m := range expired {
		c.lost(l, m)
	}
	if c.now >= l.cloudWait {
		c.dropSilent(l, silent, heard)
	}
}

// dropSilent returns machines that have gone silent: once the cloud has said
// that they are gone their tasks may start elsewhere, long before their lease
// would have run out. A machine whose notice has run out is expected to be
// gone. Any other is given up only while most machines of its zone are heard:
// otherwise it is more likely this node that cannot be reached.
func (c *Core) dropSilent(l *leader, silent []*fleet.Machine, heard map[string]int) {
	patience := 2*c.cfg.ReportEvery + 2*unit.Second
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
			l.deafZone[z] = c.now
		}
	}
	for _, m := range silent {
		z := m.Record.Zone
		if m.Notice != unit.Never || heard[z] > count[z] && c.now-l.deafZone[z] > patience {
			c.log.Warn("machine silent", "machine", m.Name, "tasks", len(m.Tasks), "notice", m.Notice != unit.Never)
			m.Leaving = true
			l.leaving = append(l.leaving, m.Name)
		}
	}
	if n := min(len(l.leaving), 100); n > 0 {
		c.emit(ReturnHosts{l.leaving[:n:n]})
		l.leaving = l.leaving[n:]
	}
}

// nextReport is the time within which a machine that is heard reports again.
func (c *Core) nextReport() unit.Micros { return 3 * c.cfg.ReportEvery / 2 }

// lost notes that a machine's lease has run out: nothing runs there any more.
func (c *Core) lost(l *leader, m *fleet.Machine) {
	c.log.Info("machine lost", "machine", m.Name, "tasks", len(m.Tasks))
	m.LeaseEnd = 0
	m.LastSeen = 0
	m.Lost = true // until it reports again
	m.IdleSince = c.now
	for _, id := range sortedTasks(m.Tasks) {
		c.taskGone(l, m, id)
	}
	l.accounted(c, m)
}

// accounted notes that all that runs on a machine is known.
func (l *leader) accounted(c *Core, m *fleet.Machine) {
	m.Accounted = true
	if !l.unaccounted[m.Name] {
		return
	}
	delete(l.unaccounted, m.Name)
	l.hiddenStale = true
	if len(l.unaccounted) == 0 {
		c.log.Info("all machines accounted for", "term", l.term, "after_s", (c.now - l.began).Seconds())
		for _, j := range l.active {
			j.Held = false
		}
		l.newWork = true
	}
}

// taskGone notes that an attempt is on its machine no more.
func (c *Core) taskGone(l *leader, m *fleet.Machine, id ledger.TaskID) {
	a, ok := m.Tasks[id]
	if !ok {
		return
	}
	m.Drop(id)
	l.usage[a.Team] = l.usage[a.Team].Sub(a.Demand)
	if j := c.jobs[id.Job]; j != nil {
		if p, ok := j.Place(id.Task); ok && p.Machine == m.Name && p.Attempt == a.Number {
			before := j.Ready()
			j.Release(id.Task)
			l.newWork = l.newWork || j.Ready() > before
		}
	}
	if len(m.Tasks) == 0 {
		m.IdleSince = c.now
	}
}

// taskOn notes that an attempt may be on a machine.
func (c *Core) taskOn(l *leader, m *fleet.Machine, id ledger.TaskID, a fleet.Attempt) {
	if old, ok := m.Tasks[id]; ok {
		l.usage[old.Team] = l.usage[old.Team].Sub(old.Demand)
	}
	m.Put(id, a)
	l.usage[a.Team] = l.usage[a.Team].Add(a.Demand)
}

// leaderWrite queues a change that only the leader of this term may make.
func (c *Core) leaderWrite(l *leader, late bool, done func(store.Outcome), guardKey string, changes ...store.Change) {
	c.lanes[LeaderLane].Add(&store.Write{
		Late:    late,
		Guards:  []store.Guard{{Key: leadKey, Stamp: l.stamp}, {Key: guardKey, Stamp: c.replica.Stamp(guardKey)}},
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
// new leader would know of.
func (c *Core) storeGroup(l *leader, key string, urgent bool) {
	g := l.groups[key]
	if g == nil {
		return
	}
	g.urgent = g.urgent || urgent
	if !g.queued {
		g.queued = true
		l.changed = append(l.changed, g)
	}
}

// writeGroup stores a group as it is now.
func (c *Core) writeGroup(l *leader, g *group) {
	g.queued, g.urgent = false, false
	rec := g.kind
	g.members = slices.DeleteFunc(g.members, func(name string) bool {
		m := l.machines[name]
		return m == nil || m.Group != g.key
	})
	for _, name := range g.members {
		if m := l.machines[name]; m.LastSeen != 0 || m.Record.Up {
			rec.Up = append(rec.Up, name)
		} else {
			rec.Booting = append(rec.Booting, name)
		}
	}
	ch := store.Change{Key: g.key}
	if len(g.members) > 0 {
		ch.Value = mustJSON(rec)
	} else if c.replica.Stamp(g.key) == 0 {
		delete(l.groups, g.key)
		return
	}
	c.leaderWrite(l, true, func(o store.Outcome) {
		switch {
		case o != store.OK:
			c.storeGroup(l, g.key, len(rec.Up) > 0)
		case ch.Value == nil:
			delete(c.groups, g.key) // the copy follows with the next read
			if len(g.members) == 0 {
				delete(l.groups, g.key)
			}
		default:
			for _, name := range rec.Up {
				if m := l.machines[name]; m != nil {
					m.Record.Up = true
				}
			}
		}
	}, g.key, ch)
}

// progressAge is how long finished tasks wait to be stored: their machines
// remember them until then, so that nothing is lost if this leader ends.
const progressAge = 2 * unit.Second

// lateEvery keeps transactions few, so that each carries several changes.
const lateEvery = unit.Second / 8

// lateWrites hands the lane what else is to be stored, as much as goes with
// its next transaction: machines that are up, then finished tasks, the longest
// first, and what is only cleaned up.
func (c *Core) lateWrites(l *leader) {
	if c.now < l.lateAt || len(l.changed) == 0 && len(l.dirty) == 0 {
		return
	}
	room := c.lanes[LeaderLane].Room(c.now)
	if room == 0 {
		return
	}
	l.lateAt = c.now + lateEvery
	var rest []*group
	for _, g := range l.changed {
		if g.urgent && room > 0 {
			room--
			c.writeGroup(l, g)
		} else {
			rest = append(rest, g)
		}
	}
	l.changed = rest
	for room > 0 && len(l.dirty) > 0 && c.now-l.dirty[0].DirtySince >= progressAge {
		j := l.dirty[0]
		l.dirty = l.dirty[1:]
		if !j.Active() || j.AllFinished() {
			continue
		}
		for _, n := range j.DirtyChunks() {
			room--
			c.writeChunk(l, j, n)
		}
	}
	for room > 0 && len(l.changed) > 0 {
		room--
		g := l.changed[0]
		l.changed = l.changed[1:]
		c.writeGroup(l, g)
	}
}

// finished notes that a task is done.
func (c *Core) finished(l *leader, j *ledger.Job, task int) {
	j.Finish(task, c.chunk)
	if j.AllFinished() {
		c.closeJob(l, j) // users wait for it
		return
	}
	c.markDirty(l, j)
}

// markDirty has a job's finished tasks stored, unless that is planned already.
func (c *Core) markDirty(l *leader, j *ledger.Job) {
	if j.DirtySince == 0 {
		j.DirtySince = c.now
		l.dirty = append(l.dirty, j)
	}
}

// writeChunk stores the finished tasks of a chunk. The record covers all that
// is finished now; what is added before it is sent goes into the next one.
func (c *Core) writeChunk(l *leader, j *ledger.Job, n int) {
	k := progressKey(j.ID, n)
	c.lanes[LeaderLane].Add(&store.Write{
		Late: true,
		// The job's record as well: once that is final, its chunks are gone.
		Guards:  []store.Guard{{Key: leadKey, Stamp: l.stamp}, {Key: k, Stamp: c.replica.Stamp(k)}, {Key: jobPrefix + j.ID, Stamp: j.Stamp}},
		Changes: []store.Change{{Key: k, Value: mustJSON(finishedRecord{j.ChunkRanges(n, c.chunk)})}},
		Done: func(o store.Outcome, _ uint64) {
			if o != store.OK && j.Active() {
				j.MarkDirty(n)
				c.markDirty(l, j)
			}
		},
	})
}

// closeJob stores that a job is done, and drops its records of finished tasks.
func (c *Core) closeJob(l *leader, j *ledger.Job) {
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
	c.leaderWrite(l, false, func(store.Outcome) { j.Closing = false }, key, changes...)
}

func progressKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", donePrefix, id, chunk) }

// tickCloud talks to the cloud: prices, the machine list, renting and returning.
func (c *Core) tickCloud(l *leader) {
	if c.now < l.cloudWait {
		return
	}
	if c.now >= l.typesAt {
		l.typesAt = c.now + 20*unit.Second
		c.emit(FetchTypes{})
	}
	if len(c.types) == 0 {
		return
	}
	if c.now >= l.hostsAt {
		l.hostsAt = c.now + max(5*unit.Second, c.cfg.ListLag)
		c.emit(ListHosts{})
	}
	if c.now >= l.planAt {
		l.planAt = c.now + unit.Second
		c.plan(l)
	}
	if c.now >= l.logAt {
		l.logAt = c.now + 10*unit.Second
		c.logFleet(l)
	}
}

// plan rents and returns machines.
func (c *Core) plan(l *leader) {
	if len(l.unaccounted) > 0 && c.now < l.began+c.leaseBound() {
		return // what runs, and so what is needed, is not known yet
	}
	needs := c.needs(l)
	var ms []scale.Machine
	for _, name := range sortedKeys(l.machines) {
		m := l.machines[name]
		if m.Leaving || m.Lost || m.Sick || m.Notice != unit.Never {
			continue
		}
		sm := scale.Machine{Name: name, Pool: poolOf(m), Booted: m.LastSeen != 0, Age: c.now - m.Rented}
		if len(m.Tasks) == 0 {
			sm.Idle = c.now - m.IdleSince + 1
		}
		ms = append(ms, sm)
	}
	rents, back := l.scaler.Plan(c.now, needs, ms, c.types)
	if l.renting == 0 {
		for _, r := range rents {
			l.requests++
			l.renting++
			// A name that no other term uses: names must never come again.
			c.emit(RentHosts{Request: fmt.Sprintf("r-%d-%d", l.term, l.requests), Rent: r})
		}
	}
	for _, name := range sortedKeys(l.machines) {
		m := l.machines[name]
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
		l.machines[name].Leaving = true
	}
	l.leaving = append(l.leaving, back...)
}

func poolOf(m *fleet.Machine) scale.Pool {
	return scale.Pool{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// OnTypes takes the price list. A type that is new is stored, so that
// every node knows it.
func (c *Core) OnTypes(now unit.Micros, o store.Outcome, types []fleet.Type) {
	c.at(now)
	l := c.leader
	if o != store.OK {
		if l != nil {
			l.typesAt = now + 2*unit.Second
		}
		return
	}
	for _, t := range types {
		key := typePrefix + t.Name
		old := c.types[t.Name]
		c.setType(t)
		if l != nil && l.ready && (old == nil || c.replica.Stamp(key) == 0) {
			c.leaderWrite(l, false, func(store.Outcome) {}, key, store.Change{Key: key, Value: mustJSON(t)})
		}
	}
	if l != nil {
		for _, m := range l.machines {
			if m.Type == nil {
				m.Type = c.types[m.Record.Type]
				l.hiddenStale = true
			}
		}
	}
}

// OnRent takes a rental's outcome.
func (c *Core) OnRent(now unit.Micros, r RentHosts, o store.Outcome, names []string) {
	c.at(now)
	l := c.leader
	if l == nil || !l.ready {
		return // whoever leads now finds the machines in reports and in the list
	}
	l.renting = max(0, l.renting-1)
	switch o {
	case store.OK:
		l.scaler.Granted(r.Rent.Pool)
		if len(names) < r.Rent.Count {
			l.scaler.Refused(now, r.Rent.Pool)
		}
		key := machPrefix + r.Request
		for _, n := range names {
			if l.machines[n] == nil {
				c.newMachine(l, n, key, fleet.Record{Type: r.Rent.Pool.Type, Zone: r.Rent.Pool.Zone, Spot: r.Rent.Pool.Spot})
			}
		}
		c.storeGroup(l, key, true)
		c.log.Info("rented", "type", r.Rent.Pool.Type, "zone", r.Rent.Pool.Zone, "spot", r.Rent.Pool.Spot, "asked", r.Rent.Count, "got", len(names))
	case store.Failed: // no capacity
		l.scaler.Refused(now, r.Rent.Pool)
	default:
		l.cloudWait = now + 2*unit.Second
	}
}

// OnReturn takes a return's outcome: after OK the machines and all that ran on
// them are gone.
func (c *Core) OnReturn(now unit.Micros, names []string, o store.Outcome) {
	c.at(now)
	l := c.leader
	if l == nil || !l.ready {
		return
	}
	for _, n := range names {
		m := l.machines[n]
		if m == nil {
			continue
		}
		if o != store.OK {
			m.Leaving = false // the next plan tries again
			continue
		}
		for _, id := range sortedTasks(m.Tasks) {
			c.taskGone(l, m, id)
		}
		l.accounted(c, m)
		delete(l.machines, n)
		c.storeGroup(l, m.Group, false)
		l.gone[n] = c.now
		c.log.Info("returned", "machine", n)
	}
	if o != store.OK {
		l.cloudWait = now + 2*unit.Second
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
	l := c.leader
	if o != store.OK || l == nil || !l.ready {
		return
	}
	for n, at := range l.gone {
		if now-at > 4*c.cfg.ListLag+60*unit.Second {
			delete(l.gone, n)
		}
	}
	for _, h := range hosts {
		m := l.machines[h.Name]
		if _, gone := l.gone[h.Name]; gone {
			continue
		}
		switch {
		case h.Failed:
			if m == nil || !m.Leaving {
				l.leaving = append(l.leaving, h.Name)
			}
			if m != nil {
				m.Leaving = true
			}
		case m == nil && h.Age > 2*c.cfg.ListLag+2*unit.Second && now-l.began > 2*c.cfg.ListLag:
			// Rented by a request that was carried out late, or whose answer was
			// lost. Adopted: the next plan uses it or gives it back.
			m = c.newMachine(l, h.Name, strayKey(h.Name), h.Record)
			m.Rented = now - h.Age
			c.storeGroup(l, m.Group, false)
			c.log.Info("adopted", "machine", h.Name)
		}
	}
}
