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
	callTimeout       = second
	readTimeout       = 700 * millis
	listTimeout       = 10 * second
	cloudTimeout      = 5 * second
	cloudRateFraction = 0.7
)

// Node is a controller's process: a core with clocks of its own.
type Node struct {
	Name string

	world           *World
	index           int
	zone            string
	incarnation     int // which start of the process this is; 0 while down
	lastIncarnation int
	startedAt       units.Microseconds
	clockRate       float64            // of its steady clock
	wallOffset      units.Microseconds // of its time of day
	core            *core.Core
	frozenUntil     units.Microseconds // stands still until then; its clocks run on
	slowUntil       units.Microseconds // computes slowly until then
	messageCost     units.Microseconds // of each message meanwhile
	busyUntil       units.Microseconds
	lastRequest     core.RequestID
	pending         map[core.RequestID]func(core.Reply)
	stateLimiter    *rate.Limiter
	cloudLimiter    *rate.Limiter
	sentTxns        int // transactions so far, in all lives
	newestJudgedTxn int // the newest of them that the state service has judged
}

// stamp turns simulated time into what rate limits are counted by.
func limiterTime(t units.Microseconds) time.Time { return time.UnixMicro(int64(t)) }

func (n *Node) start() {
	w := n.world
	w.recordNodeStart(n)
	n.lastIncarnation++
	n.incarnation, n.startedAt = n.lastIncarnation, w.now
	n.clockRate = 1 + (2*w.rng.Float64()-1)*scenario.MaxDrift
	n.drawWallOffset()
	n.pending = map[core.RequestID]func(core.Reply){}
	n.frozenUntil, n.slowUntil, n.busyUntil = 0, 0, 0
	peers := map[string]string{}
	for _, o := range w.Scenario.Nodes() {
		peers[o] = "127.0.0.1:1" // never dialled
	}
	settings := w.Scenario.Settings(n.index, scenario.Addrs{Listen: "127.0.0.1:1", Internal: "127.0.0.1:1", State: "127.0.0.1:1", Cloud: "127.0.0.1:1", Peers: peers})
	if mutate := w.options.Mutation.Settings; mutate != nil {
		mutate(settings)
	}
	if mutate := w.options.Mutation.ClockRate; mutate != nil {
		n.clockRate = mutate(n.index)
	}
	config := settings.Core(nil)
	if w.options.Log != nil {
		config = settings.Core(w.options.Log(n.Name, func() units.Microseconds { return w.now }))
	}
	if mutate := w.options.Mutation.CoreConfig; mutate != nil {
		mutate(&config)
	}
	n.core = core.New(config)
	share := w.Scenario.State.RPS / float64(len(w.Nodes))
	n.stateLimiter = rate.NewLimiter(rate.Limit(share), max(4, int(share)))
	n.cloudLimiter = rate.NewLimiter(rate.Limit(w.Scenario.Cloud.RPS*cloudRateFraction), max(1, int(w.Scenario.Cloud.RPS)))
	incarnation := n.incarnation
	w.schedule(units.Microseconds(w.rng.Int64N(int64(core.TickInterval))), func() { n.tick(incarnation) })
}

// jump lets the time of day jump within its bound.
func (n *Node) drawWallOffset() {
	n.wallOffset = units.Microseconds(n.world.Scenario.Controllers.ClockErrorMS * 1000 * (2*n.world.rng.Float64() - 1))
}

// local is the steady clock.
func (n *Node) steadyClock() units.Microseconds {
	return units.Microseconds(float64(n.world.now-n.startedAt) * n.clockRate)
}

// wall is the time of day.
func (n *Node) wallClock() units.Microseconds { return n.world.now + 1_000_000*second + n.wallOffset }

// Crash ends the process; it comes back.
func (n *Node) Crash() { n.crash(0) }

// crash ends the process; it comes back after a time, 0: as long as that usually takes.
func (n *Node) crash(down units.Microseconds) {
	if n.incarnation == 0 {
		return
	}
	n.world.recordNodeExit(n)
	n.incarnation = 0
	if down == 0 {
		down = units.Seconds(n.world.Scenario.Controllers.RestartS * (0.7 + 0.6*n.world.rng.Float64()))
	}
	n.world.schedule(down, n.start)
}

// Retire tells the process to end: it hands on what it holds before.
func (n *Node) Retire() {
	incarnation := n.incarnation
	if incarnation == 0 {
		return
	}
	var step func()
	step = func() {
		n.whenRunning(func() {
			if n.incarnation != incarnation {
				return
			}
			n.core.Retire(n.steadyClock())
			done := n.core.Retired(n.steadyClock())
			if done {
				n.core.Leave(n.steadyClock())
			}
			n.executeEffects()
			if done {
				n.Crash()
				return
			}
			n.world.schedule(core.TickInterval, step)
		})
	}
	step()
}

// Freeze lets the process stand still until a time.
func (n *Node) Freeze(until units.Microseconds) { n.frozenUntil = max(n.frozenUntil, until) }

// awake does something in the process once it does not stand still, and, where it
// computes slowly, once it has come to it.
func (n *Node) whenRunning(fn func()) {
	w, incarnation := n.world, n.incarnation
	at := max(n.frozenUntil, 0)
	if w.now < n.slowUntil {
		n.busyUntil = max(n.busyUntil, w.now) + n.messageCost
		at = max(at, n.busyUntil)
	}
	if w.now >= at {
		fn()
		return
	}
	w.schedule(at-w.now, func() {
		if n.incarnation == incarnation {
			if w.now < n.frozenUntil {
				n.whenRunning(fn)
				return
			}
			fn()
		}
	})
}

// sent does something that the process has asked for, unless it stands still and
// had not come to that yet: then it happens when it wakes.
func (n *Node) transmit(fn func()) {
	if n.world.now < n.frozenUntil && n.world.chance(0.5) {
		n.whenRunning(fn)
		return
	}
	fn()
}

func (n *Node) tick(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	if n.world.now < n.frozenUntil {
		n.world.schedule(n.frozenUntil-n.world.now, func() { n.tick(incarnation) })
		return
	}
	n.world.options.Traffic.Start(n.world.now, n.Name, "do tick")
	n.core.Tick(n.steadyClock(), n.wallClock())
	n.executeEffects()
	n.world.checkSingleOwner()
	n.world.schedule(max(core.TickInterval, n.busyUntil-n.world.now), func() { n.tick(incarnation) })
}

// ask brings a request into the core; done gets the answer, or a 503 when there is
// none within a time (0: any), unless the process ends.
func (n *Node) request(fn func(id core.RequestID), within units.Microseconds, done func(core.Reply)) {
	if n.incarnation == 0 {
		return
	}
	incarnation := n.incarnation
	n.whenRunning(func() {
		n.lastRequest++
		id := n.lastRequest
		n.pending[id] = done
		n.world.options.Traffic.Start(n.world.now, n.Name, "do user")
		fn(id)
		n.executeEffects()
		if within > 0 && n.pending[id] != nil {
			n.world.schedule(within, func() {
				if n.incarnation == incarnation && n.pending[id] != nil {
					delete(n.pending, id)
					done(core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: second})
				}
			})
		}
	})
}

func (n *Node) executeEffects() {
	effects := n.core.Drain()
	n.world.options.Traffic.Stop()
	for _, e := range effects {
		n.execute(e)
	}
}

// back brings an outside service's answer to the process that asked.
func (n *Node) deliver(incarnation int, fn func()) {
	if n.incarnation != incarnation {
		return
	}
	n.whenRunning(func() {
		if n.incarnation == incarnation {
			n.world.options.Traffic.Start(n.world.now, n.Name, "do answer")
			fn()
			n.executeEffects()
		}
	})
}
