package sim

import (
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// Timeouts and rate limits of a controller's clients, as in internal/state and internal/cloud.
const (
	callTimeout       = second
	readTimeout       = 700 * millis
	listTimeout       = 10 * second
	cloudTimeout      = 5 * second
	cloudRateFraction = 0.7 // part of the provider's request rate that controllers use
)

// Node is a controller process: a core with its own clocks.
type Node struct {
	Name string

	world           *World
	index           int
	zone            string
	incarnation     int // number of this start of the process; 0 while it is down
	lastIncarnation int
	startedAt       units.Microseconds
	clockRate       float64            // of the monotonic clock; 1 is exact
	wallOffset      units.Microseconds // error of the wall clock
	core            *core.Core
	frozenUntil     units.Microseconds // the process is frozen until then, but its clocks run
	slowUntil       units.Microseconds // each message takes messageCost of computing time until then
	messageCost     units.Microseconds
	busyUntil       units.Microseconds // end of the computing time of the messages so far
	lastRequest     core.RequestID
	pending         map[core.RequestID]func(core.Reply)
	stateLimiter    *rate.Limiter
	cloudLimiter    *rate.Limiter
	sentTxns        int // number of transactions sent so far, by all incarnations
	newestJudgedTxn int // number of the newest transaction that the state service has applied or rejected
}

// limiterTime converts simulated time for the rate limiters.
func limiterTime(t units.Microseconds) time.Time { return time.UnixMicro(int64(t)) }

// start starts the process with a new core and new clock errors.
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
		peers[o] = "127.0.0.1:1" // not dialled in the simulation
	}
	settings := w.Scenario.Settings(n.index, scenario.Addrs{Listen: "127.0.0.1:1", Internal: "127.0.0.1:1", State: "127.0.0.1:1", Cloud: "127.0.0.1:1", Peers: peers})
	if mutate := w.options.Mutation.Settings; mutate != nil {
		mutate(settings)
	}
	if mutate := w.options.Mutation.ClockRate; mutate != nil {
		n.clockRate = mutate(n.index)
	}
	config := settings.CoreConfig(nil)
	if w.options.Log != nil {
		config = settings.CoreConfig(w.options.Log(n.Name, func() units.Microseconds { return w.now }))
	}
	config.ProcessID = n.processID()
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

// processID returns a random-looking number that differs between all incarnations of all nodes. It is not
// drawn from the world's generator, so that it does not change what else is drawn.
func (n *Node) processID() uint64 {
	return rand.NewPCG(uint64(n.index), uint64(n.incarnation)).Uint64()
}

// drawWallOffset draws a new error of the wall clock within its bound.
func (n *Node) drawWallOffset() {
	n.wallOffset = units.Microseconds(n.world.Scenario.Controllers.ClockErrorMS * 1000 * (2*n.world.rng.Float64() - 1))
}

// steadyClock returns the time of the monotonic clock, which starts with the process and drifts.
func (n *Node) steadyClock() units.Microseconds {
	return units.Microseconds(float64(n.world.now-n.startedAt) * n.clockRate)
}

// wallClock returns the time of day.
func (n *Node) wallClock() units.Microseconds { return n.world.now + 1_000_000*second + n.wallOffset }

// Crash ends the process, which restarts after about RestartS seconds.
func (n *Node) Crash() { n.crash(0) }

// crash ends the process, which restarts after down. If down is 0, it restarts after 0.7 to 1.3 times
// RestartS.
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

// Retire shuts the process down gracefully: it releases its shards first.
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

// Freeze stops the process until the given time, as a stopped virtual machine does.
func (n *Node) Freeze(until units.Microseconds) { n.frozenUntil = max(n.frozenUntil, until) }

// whenRunning calls fn once the process is not frozen and, if it is slow, has processed all earlier messages.
// fn is not called if the process ends before.
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

// transmit calls fn, which sends a request of the process. If the process is frozen, with probability 0.5 the
// freeze came before the sending: then fn is called after the freeze.
func (n *Node) transmit(fn func()) {
	if n.world.now < n.frozenUntil && n.world.chance(0.5) {
		n.whenRunning(fn)
		return
	}
	fn()
}

// tick runs the core's periodic work and schedules the next tick, unless the process has ended.
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

// request passes a request to the core. done gets the reply, or a 503 if there is none within the given time;
// 0 means no timeout. done is not called if the process ends.
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

// executeEffects executes the effects that the core has produced.
func (n *Node) executeEffects() {
	effects := n.core.Drain()
	n.world.options.Traffic.Stop()
	for _, e := range effects {
		n.execute(e)
	}
}

// deliver calls fn, which passes a service's response to the core, if the incarnation that sent the request
// still runs.
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
