package sim

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// How long the clients of a controller wait, and how they keep to their budgets,
// as internal/state and internal/cloud do.
const (
	callWait    = second
	readWait    = 700 * millis
	listWait    = 10 * second
	cloudWait   = 5 * second
	cloudMargin = 0.7
)

// Node is a controller's process: a core with clocks of its own.
type Node struct {
	Name string

	w      *World
	index  int
	zone   string
	life   int // which start of the process this is; 0 while down
	lives  int
	born   units.Microseconds
	rate   float64            // of its steady clock
	off    units.Microseconds // of its time of day
	core   *core.Core
	frozen units.Microseconds // stands still until then; its clocks run on
	slow   units.Microseconds // computes slowly until then
	cost   units.Microseconds // of each message meanwhile
	busy   units.Microseconds
	next   core.RequestID
	asked  map[core.RequestID]func(core.Reply)
	state  *rate.Limiter
	cloud  *rate.Limiter
	txns   int // transactions so far, in all lives
	newest int // the newest of them that the state service has judged
}

// stamp turns simulated time into what rate limits are counted by.
func stamp(t units.Microseconds) time.Time { return time.UnixMicro(int64(t)) }

func (n *Node) start() {
	w := n.w
	w.nodeStarts(n)
	n.lives++
	n.life, n.born = n.lives, w.now
	n.rate = 1 + (2*w.rng.Float64()-1)*scenario.MaxDrift
	n.jump()
	n.asked = map[core.RequestID]func(core.Reply){}
	n.frozen, n.slow, n.busy = 0, 0, 0
	peers := map[string]string{}
	for _, o := range w.S.Nodes() {
		peers[o] = "127.0.0.1:1" // never dialled
	}
	set := w.S.Settings(n.index, scenario.Addrs{Listen: "127.0.0.1:1", Internal: "127.0.0.1:1", State: "127.0.0.1:1", Cloud: "127.0.0.1:1", Peers: peers})
	if f := w.opt.Break.Settings; f != nil {
		f(set)
	}
	if f := w.opt.Break.Clock; f != nil {
		n.rate = f(n.index)
	}
	cfg := set.CoreConfig(nil)
	if w.opt.Log != nil {
		cfg = set.CoreConfig(w.opt.Log(n.Name, func() units.Microseconds { return w.now }))
	}
	if f := w.opt.Break.Core; f != nil {
		f(&cfg)
	}
	n.core = core.New(cfg)
	share := w.S.State.RPS / float64(len(w.Nodes))
	n.state = rate.NewLimiter(rate.Limit(share), max(4, int(share)))
	n.cloud = rate.NewLimiter(rate.Limit(w.S.Cloud.RPS*cloudMargin), max(1, int(w.S.Cloud.RPS)))
	life := n.life
	w.after(units.Microseconds(w.rng.Int64N(int64(core.TickInterval))), func() { n.tick(life) })
}

// jump lets the time of day jump within its bound.
func (n *Node) jump() {
	n.off = units.Microseconds(n.w.S.Controllers.ClockErrorMS * 1000 * (2*n.w.rng.Float64() - 1))
}

// local is the steady clock.
func (n *Node) local() units.Microseconds {
	return units.Microseconds(float64(n.w.now-n.born) * n.rate)
}

// wall is the time of day.
func (n *Node) wall() units.Microseconds { return n.w.now + 1_000_000*second + n.off }

// Crash ends the process; it comes back.
func (n *Node) Crash() { n.crash(0) }

// crash ends the process; it comes back after a time, 0: as long as that usually takes.
func (n *Node) crash(down units.Microseconds) {
	if n.life == 0 {
		return
	}
	n.w.nodeEnds(n)
	n.life = 0
	if down == 0 {
		down = units.Seconds(n.w.S.Controllers.RestartS * (0.7 + 0.6*n.w.rng.Float64()))
	}
	n.w.after(down, n.start)
}

// Retire tells the process to end: it hands on what it holds before.
func (n *Node) Retire() {
	life := n.life
	if life == 0 {
		return
	}
	var look func()
	look = func() {
		n.awake(func() {
			if n.life != life {
				return
			}
			n.core.Retire(n.local())
			done := n.core.Retired(n.local())
			if done {
				n.core.Leave(n.local())
			}
			n.carryOut()
			if done {
				n.Crash()
				return
			}
			n.w.after(core.TickInterval, look)
		})
	}
	look()
}

// Freeze lets the process stand still until a time.
func (n *Node) Freeze(until units.Microseconds) { n.frozen = max(n.frozen, until) }

// awake does something in the process once it does not stand still, and, where it
// computes slowly, once it has come to it.
func (n *Node) awake(f func()) {
	w, life := n.w, n.life
	at := max(n.frozen, 0)
	if w.now < n.slow {
		n.busy = max(n.busy, w.now) + n.cost
		at = max(at, n.busy)
	}
	if w.now >= at {
		f()
		return
	}
	w.after(at-w.now, func() {
		if n.life == life {
			if w.now < n.frozen {
				n.awake(f)
				return
			}
			f()
		}
	})
}

// sent does something that the process has asked for, unless it stands still and
// had not come to that yet: then it happens when it wakes.
func (n *Node) sent(f func()) {
	if n.w.now < n.frozen && n.w.chance(0.5) {
		n.awake(f)
		return
	}
	f()
}

func (n *Node) tick(life int) {
	if n.life != life {
		return
	}
	if n.w.now < n.frozen {
		n.w.after(n.frozen-n.w.now, func() { n.tick(life) })
		return
	}
	n.w.opt.Traffic.Start(n.w.now, n.Name, "do tick")
	n.core.Tick(n.local(), n.wall())
	n.carryOut()
	n.w.oneHolder()
	n.w.after(max(core.TickInterval, n.busy-n.w.now), func() { n.tick(life) })
}

// ask brings a request into the core; done gets the answer, or a 503 when there is
// none within a time (0: any), unless the process ends.
func (n *Node) ask(f func(req core.RequestID), within units.Microseconds, done func(core.Reply)) {
	if n.life == 0 {
		return
	}
	life := n.life
	n.awake(func() {
		n.next++
		req := n.next
		n.asked[req] = done
		n.w.opt.Traffic.Start(n.w.now, n.Name, "do user")
		f(req)
		n.carryOut()
		if within > 0 && n.asked[req] != nil {
			n.w.after(within, func() {
				if n.life == life && n.asked[req] != nil {
					delete(n.asked, req)
					done(core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: second})
				}
			})
		}
	})
}

func (n *Node) carryOut() {
	effects := n.core.Drain()
	n.w.opt.Traffic.Stop()
	for _, e := range effects {
		n.effect(e)
	}
}

// back brings an outside service's answer to the process that asked.
func (n *Node) back(life int, f func()) {
	if n.life != life {
		return
	}
	n.awake(func() {
		if n.life == life {
			n.w.opt.Traffic.Start(n.w.now, n.Name, "do answer")
			f()
			n.carryOut()
		}
	})
}
