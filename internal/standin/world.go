// Package standin plays the outside world in simulated time against the pure
// core: state service, cloud, workers and users, as the protocol says they
// behave, with lost, late and repeated messages, outages, cuts, crashes and
// drifting clocks. It checks the protocol's rules against what really runs.
package standin

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

const (
	second     = unit.Second
	millis     = unit.Second / 1000
	lease      = 12 * second
	cancelIn   = 40 * second
	report     = 3 * second
	callBound  = 3 * second / 2
	workerWait = 4 * second
)

// Options say what kind of world it is.
type Options struct {
	Seed      uint64
	Nodes     int
	Trouble   bool
	TroubleTo unit.Micros // no new trouble after that
	// BlockMachines is the number of machines that one block carries; 0: any.
	BlockMachines int
	// LimitsFall is when the state service's limits fall to those that the
	// controllers were told of; 0: never.
	LimitsFall unit.Micros
	// Tamper, if set, changes reports on their way to a controller: it stands
	// for a controller that does not see what it should.
	Tamper func(*fleet.Report)
}

// World is the whole simulation.
type World struct {
	opt   Options
	rng   *rand.Rand
	now   unit.Micros
	queue events
	seq   int

	nodes   []*node
	state   *stateService
	cloud   *cloudService
	workers map[string]*worker
	order   []string // of workers
	users   *users

	Violations []string
	Starts     int
}

type event struct {
	at  unit.Micros
	seq int
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// New builds a world with its controllers started.
func New(opt Options) *World {
	w := &World{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), workers: map[string]*worker{}}
	w.state = &stateService{w: w, keys: map[string]item{}, leases: map[uint64]*stateLease{}, limits: limits{12, 8 << 10, 100}}
	if opt.LimitsFall > 0 {
		w.after(opt.LimitsFall, func() { w.state.limits = limits{4, 2 << 10, 70} })
	}
	w.cloud = &cloudService{w: w, answers: map[string][]string{}}
	w.users = newUsers(w)
	for i := range opt.Nodes {
		n := &node{w: w, name: fmt.Sprintf("node-%d", i)}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	if opt.Trouble {
		w.after(w.span(5, 15), w.trouble)
	}
	return w
}

func (w *World) after(d unit.Micros, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, f})
}

// span draws a time between a and b seconds.
func (w *World) span(a, b float64) unit.Micros { return unit.Seconds(a + (b-a)*w.rng.Float64()) }

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// Run plays until the given time.
func (w *World) Run(until unit.Micros) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = until
}

func (w *World) violate(rule, format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.3f %s: %s", w.now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// trouble does one bad thing, and plans the next.
func (w *World) trouble() {
	if w.now > w.opt.TroubleTo {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	d := w.span(1, 25)
	end := w.now + d
	switch w.rng.IntN(13) {
	case 0:
		n.crash()
	case 1:
		for _, n := range w.nodes {
			n.crash()
		}
	case 2:
		w.state.outageUntil = w.now + w.span(1, 45)
	case 3:
		n.stateCut = end
	case 4:
		n.refusedUntil = end
	case 5:
		n.workerCut = end
	case 9:
		n.peerCut = end
	case 10: // the whole network
		n.peerCut, n.stateCut, n.workerCut = end, end, end
	case 11:
		n.frozenUntil = end
	case 12: // stands still again and again, for less than a lease
		for i := range 4 {
			w.after(unit.Micros(i)*3*second, func() { n.frozenUntil = w.now + w.span(0.1, 2.5) })
		}
	case 6:
		w.cloud.downUntil = end
	case 7:
		if k := w.someWorker(); k != nil {
			k.hang(end)
		}
	case 8:
		if k := w.someWorker(); k != nil {
			if w.chance(0.5) {
				k.notice = w.now + 8*second
				w.after(8*second, k.die)
			} else {
				k.die()
			}
		}
	}
	w.after(w.span(2, 20), w.trouble)
}

func (w *World) someWorker() *worker {
	if len(w.order) == 0 {
		return nil
	}
	k := w.workers[w.order[w.rng.IntN(len(w.order))]]
	if k.gone || !k.up {
		return nil
	}
	return k
}

// node is a controller process: a core with a steady clock of its own.
type node struct {
	w    *World
	name string
	life int // which start of the process this is; 0 while down
	born unit.Micros
	rate float64
	core *core.Core

	lives        int
	stateCut     unit.Micros // cut from the state service until then
	workerCut    unit.Micros
	peerCut      unit.Micros
	refusedUntil unit.Micros
	frozenUntil  unit.Micros // stands still until then; its clocks run on
	next         core.ReqID
	asked        map[core.ReqID]func(core.Reply)
}

// teams of every world: one bounded, one with a guarantee, a guest with neither.
var teams = []core.Team{
	{Name: "red", Limit: pack.Vec{24_000}},
	{Name: "blue", Guarantee: pack.Vec{16_000}, Limit: pack.Vec{40_000}},
	{Name: "green"},
}

func (n *node) start() {
	n.lives++
	n.life, n.born = n.lives, n.w.now
	n.rate = 1 + (n.w.rng.Float64()-0.5)*0.001
	n.asked = map[core.ReqID]func(core.Reply){}
	var peers []string
	for i := range n.w.opt.Nodes {
		if name := fmt.Sprintf("node-%d", i); name != n.name {
			peers = append(peers, name)
		}
	}
	n.core = core.New(core.Config{
		Node: n.name, Peers: peers, Size: n.w.opt.Nodes, Zones: []string{"a", "b"}, Teams: teams,
		Lease: lease, ReportEvery: report, LeaderTTL: 4 * second, CancelIn: cancelIn, ListLag: 3 * second,
		TxnOps: 4, ValueKB: 8, ValueMax: 2 << 10, StateRate: 200, CloudRate: 5, WriteRate: 100, NextWriteRate: 70,
		BlockMachines: cmp.Or(n.w.opt.BlockMachines, 1000),
		Pack:          pack.Params{Fairness: 0.25, EpsilonScale: 1, ImagePenalty: 0.1},
		Scale:         scale.Params{Spare: 0.2, Memory: 30 * second, Worth: 10 * second, IdleReturn: 10 * second},
	})
	n.tick(n.life)
}

func (n *node) local() unit.Micros { return unit.Micros(float64(n.w.now-n.born) * n.rate) }

// wallTime is the time of day as a controller sees it: it jumps to and fro within
// its bound.
func (w *World) wallTime() unit.Micros { return w.now + 1000*second + w.span(-0.1, 0.1) }

// awake does something in the process, once it does not stand still.
func (n *node) awake(f func()) {
	if n.w.now < n.frozenUntil {
		life := n.life
		n.w.after(n.frozenUntil-n.w.now, func() {
			if n.life == life {
				n.awake(f)
			}
		})
		return
	}
	f()
}

// sent does something that the process has asked for, unless it stands still
// and had not come to that yet: then it happens when it wakes.
func (n *node) sent(f func()) {
	if n.w.now < n.frozenUntil && n.w.chance(0.5) {
		n.awake(f)
		return
	}
	f()
}

func (n *node) tick(life int) {
	if n.life != life {
		return
	}
	if n.w.now < n.frozenUntil {
		n.awake(func() { n.tick(life) })
		return
	}
	n.core.Tick(n.local(), n.w.wallTime())
	n.carryOut()
	n.w.oneHolder()
	n.w.after(core.TickEvery, func() { n.tick(life) })
}

// oneHolder checks that no two controllers think that they may answer the
// workers of the same block.
func (w *World) oneHolder() {
	for k := range w.nodes {
		var who []string
		for _, n := range w.nodes {
			if n.life != 0 && n.core != nil && n.core.Holds(n.local(), k) {
				who = append(who, n.name)
			}
		}
		if len(who) > 1 {
			w.violate("two_holders", "block %d: %v", k, who)
		}
	}
}

// holder returns the controller that holds a block, if any does.
func (w *World) holder(k int) *node {
	for _, n := range w.nodes {
		if n.life != 0 && n.core.Holds(n.local(), k) {
			return n
		}
	}
	return nil
}

func (n *node) crash() {
	if n.life == 0 {
		return
	}
	n.life = 0
	n.w.after(n.w.span(1, 5), n.start)
}

// ask sends a request into the core; done gets the answer unless the process ends.
func (n *node) ask(f func(req core.ReqID), done func(core.Reply)) {
	if n.life == 0 {
		return
	}
	n.awake(func() {
		n.next++
		n.asked[n.next] = done
		f(n.next)
		n.carryOut()
	})
}

func (n *node) carryOut() {
	for _, e := range n.core.Drain() {
		n.effect(e)
	}
}

func (n *node) effect(e core.Effect) {
	life := n.life
	// back brings an outside service's answer to the process that asked.
	back := func(f func()) {
		n.awake(func() {
			if n.life == life {
				f()
				n.carryOut()
			}
		})
	}
	st, cl := n.w.state, n.w.cloud
	switch e := e.(type) {
	case core.Reply:
		if f := n.asked[e.Req]; f != nil {
			delete(n.asked, e.Req)
			n.w.after(millis, func() { n.sent(func() { f(e) }) })
		}
	case core.SendPeer:
		n.w.after(n.w.span(0.001, 0.003), func() {
			n.sent(func() { n.deliver(e) })
		})
	case core.List:
		var rev uint64
		var items []store.Event
		n.call(func() store.Outcome { rev, items = st.list(); return store.OK },
			func(o store.Outcome) { back(func() { n.core.OnList(n.local(), o, rev, items) }) })
	case core.Watch:
		if e.Fresh {
			var rev uint64
			var ev []store.Event
			n.call(func() store.Outcome { rev, ev = st.changes(e.After); return store.OK },
				func(o store.Outcome) { back(func() { n.core.OnChanges(n.local(), e, o, rev, ev, false) }) })
			return
		}
		n.watch(e, back, n.w.now+e.Wait)
	case core.Commit:
		var rev uint64
		var failed []string
		n.call(func() (o store.Outcome) { o, rev, failed = st.commit(e.Txn); return o },
			func(o store.Outcome) { back(func() { n.core.OnCommit(n.local(), e.Lane, e.Txn, o, rev, failed) }) })
	case core.OpenLease:
		var id uint64
		n.call(func() store.Outcome { id = st.open(e.TTL); return store.OK },
			func(o store.Outcome) { back(func() { n.core.OnLease(n.local(), o, id) }) })
	case core.RenewLease:
		n.call(func() store.Outcome { return st.renew(e.ID) },
			func(o store.Outcome) { back(func() { n.core.OnRenew(n.local(), e.ID, o) }) })
	case core.CloseLease:
		n.call(func() store.Outcome { st.end(e.ID); return store.OK }, func(store.Outcome) {})
	case core.FetchTypes:
		n.w.after(80*millis, func() {
			back(func() { n.core.OnTypes(n.local(), cl.outcome(), cl.types()) })
		})
	case core.RentHosts:
		var o store.Outcome
		var names []string
		late := n.w.chance(0.02)
		run := func() { o, names = cl.rent(e.Request, e.Rent) }
		if late {
			n.w.after(n.w.span(1, 60), run)
			n.w.after(2*second, func() { back(func() { n.core.OnRent(n.local(), e, store.Unknown, nil) }) })
			return
		}
		n.w.after(80*millis, func() { run(); back(func() { n.core.OnRent(n.local(), e, o, names) }) })
	case core.ReturnHosts:
		n.w.after(80*millis, func() {
			o := cl.giveBack(e.Names)
			back(func() { n.core.OnReturn(n.local(), e, o) })
		})
	case core.ListHosts:
		n.w.after(80*millis, func() { back(func() { n.core.OnHosts(n.local(), cl.outcome(), cl.list()) }) })
	case core.Contact:
		k := n.w.workers[e.Machine]
		var o store.Outcome
		var r *fleet.Report
		n.w.after(n.w.span(0.001, 0.004), func() {
			n.sent(func() {
				o, r = k.showToken(n, e)
				n.w.after(n.w.span(0.001, 0.004), func() { back(func() { n.core.OnContact(n.local(), e, o, r) }) })
			})
		})
	case core.CloudShare:
	default:
		panic(fmt.Sprintf("effect %T", e))
	}
}

// deliver brings a message to another controller.
func (n *node) deliver(e core.SendPeer) {
	for _, o := range n.w.nodes {
		if o.name == e.Node && o.life != 0 && n.w.now >= n.peerCut && n.w.now >= o.peerCut {
			o.awake(func() {
				o.core.OnPeer(o.local(), n.name, e.Message)
				o.carryOut()
			})
		}
	}
}

// call does one request of the state service, on which any of the protocol's
// misfortunes may fall.
func (n *node) call(apply func() store.Outcome, done func(store.Outcome)) {
	w := n.w
	unknown := func() { w.after(callBound, func() { done(store.Unknown) }) }
	switch {
	case w.now < n.stateCut: // held back, and then perhaps delivered late
		if w.chance(0.5) {
			w.after(n.stateCut-w.now+w.span(0, 1), func() { apply() })
		}
		unknown()
	case w.opt.Trouble && w.chance(0.003): // lost
		unknown()
	case w.opt.Trouble && w.chance(0.003): // carried out, the answer lost
		w.after(5*millis, func() { apply() })
		unknown()
	case w.opt.Trouble && w.chance(0.002): // carried out late
		w.after(w.span(1, 60), func() { apply() })
		unknown()
	default:
		w.after(w.span(0.001, 0.004), func() {
			n.sent(func() {
				o := store.Refused
				if w.now >= w.state.outageUntil && w.now >= n.refusedUntil && !w.chance(0.001) {
					o = apply()
				}
				w.after(w.span(0.001, 0.004), func() { done(o) })
			})
		})
	}
}

func (n *node) watch(e core.Watch, back func(func()), until unit.Micros) {
	w := n.w
	reachable := w.now >= n.stateCut && w.now >= w.state.outageUntil && w.now >= n.refusedUntil
	if reachable {
		if rev, ev := w.state.changes(e.After); len(ev) > 0 || w.now >= until {
			w.after(2*millis, func() { back(func() { n.core.OnChanges(n.local(), e, store.OK, rev, ev, false) }) })
			return
		}
	}
	if w.now >= until+2*second {
		back(func() { n.core.OnChanges(n.local(), e, store.Unknown, 0, nil, false) })
		return
	}
	w.after(20*millis, func() { n.watch(e, back, until) })
}

// ready reports whether the load balancer would send users here.
func (n *node) ready() bool {
	if n.w.now < n.frozenUntil {
		return n.w.chance(0.3) // it may not have noticed yet
	}
	return n.life != 0 && n.core.Ready(n.local())
}

// retriable reports whether a user asks again after a status.
func retriable(code int) bool {
	return code != http.StatusOK && code != http.StatusCreated && code != http.StatusBadRequest && code != http.StatusUnprocessableEntity
}
