// Package balance models the users' load balancer: it chooses a healthy controller for each new
// connection, as the protocol defines. It is deterministic and does no I/O: time, random numbers and
// probe results are inputs, and Drain returns the effects: probes and connection resets.
package balance

import (
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Durations and limits of the protocol.
const (
	ProbeWithin         = units.Second
	AcceptWithin        = units.Second / 2
	MaxTries            = 3 // nodes tried for one connection
	probeInterval       = units.Second
	minPause            = 3 * units.Second // minimum time before a removed node is used again
	maxPause            = 60 * units.Second
	pauseDoublingWindow = 120 * units.Second // a removal within this time of the previous one doubles the pause
	slowStartTime       = 10 * units.Second  // a node's share of connections grows to its full value in this time
	resetAfter          = 5 * units.Second   // connections of a node are reset after it was unhealthy for this long
	skipTime            = 3 * units.Second   // how long a node is not chosen after three consecutive failed connections
)

// Effects.
type (
	// Probe is an effect: a health probe to be sent to a node. Pass its result to HandleProbe.
	Probe struct{ Node int }
	// Reset is an effect: all open connections of a node are to be closed.
	Reset struct{ Node int }
)

// node is the state of a controller as the balancer sees it.
type node struct {
	healthy             bool
	everHealthy         bool
	healthySince        units.Microseconds
	removedAt           units.Microseconds // when it last became unhealthy
	pause               units.Microseconds // minimum time from its removal until it is used again
	successes, failures int                // consecutive probes
	recentFailed        []bool             // of the last six probes, whether each failed
	connections         int                // open ones
	failedConnections   int                // consecutive ones
	skipUntil           units.Microseconds // it is not chosen before
}

// step is a scheduled probe, or the reset of a node that has been unhealthy since a time.
type step struct {
	node  int
	reset bool
	since units.Microseconds
}

// Balancer models the load balancer.
type Balancer struct {
	rng     *rand.Rand
	nodes   []*node
	queue   eventqueue.Queue[step]
	effects []any
}

// New returns a balancer for n nodes, which all count as unhealthy until a probe succeeds.
func New(n int, now units.Microseconds, rng *rand.Rand) *Balancer {
	b := &Balancer{rng: rng}
	for i := range n {
		b.nodes = append(b.nodes, &node{pause: minPause})
		b.queue.Add(now+units.Microseconds(i)*probeInterval/units.Microseconds(n), step{node: i})
	}
	return b
}

// Next returns the time at which Advance is due next.
func (b *Balancer) Next() units.Microseconds { return b.queue.Next() }

// Advance executes all steps that are due by now.
func (b *Balancer) Advance(now units.Microseconds) {
	for {
		at, s, ok := b.queue.Due(now)
		if !ok {
			return
		}
		if s.reset {
			if n := b.nodes[s.node]; !n.healthy && n.removedAt == s.since {
				b.effects = append(b.effects, Reset{s.node})
			}
			continue
		}
		b.effects = append(b.effects, Probe{s.node})
		b.queue.Add(at+units.Microseconds(float64(probeInterval)*(0.9+0.2*b.rng.Float64())), step{node: s.node})
	}
}

// HandleProbe processes the result of a probe of node i. A timeout is a failure.
func (b *Balancer) HandleProbe(now units.Microseconds, i int, ok bool) {
	n := b.nodes[i]
	n.recentFailed = append(n.recentFailed, !ok)
	if len(n.recentFailed) > 6 {
		n.recentFailed = n.recentFailed[1:]
	}
	if !ok {
		n.successes = 0
		n.failures++
		failed := 0
		for _, probeFailed := range n.recentFailed {
			if probeFailed {
				failed++
			}
		}
		if n.healthy && (n.failures >= 2 || failed >= 3) {
			b.remove(now, i)
		}
		return
	}
	n.failures = 0
	n.successes++
	if n.healthy || n.everHealthy && (n.successes < 2 || now < n.removedAt+n.pause) {
		return
	}
	n.healthy, n.everHealthy, n.healthySince = true, true, now
	n.recentFailed = nil
}

// remove marks a node as unhealthy and schedules the reset of its connections.
func (b *Balancer) remove(now units.Microseconds, i int) {
	n := b.nodes[i]
	if n.removedAt > 0 && now-n.removedAt < pauseDoublingWindow {
		n.pause = min(2*n.pause, maxPause)
	} else {
		n.pause = minPause
	}
	n.healthy, n.removedAt, n.successes = false, now, 0
	b.queue.Add(now+resetAfter, step{node: i, reset: true, since: now})
}

// Healthy reports whether a node counts as healthy.
func (b *Balancer) Healthy(i int) bool { return b.nodes[i].healthy }

// Choose returns a node for a new connection other than those already tried, or -1 if there is none.
func (b *Balancer) Choose(now units.Microseconds, tried []int) int {
	if len(tried) >= MaxTries {
		return -1
	}
	best, lowest := -1, 0.0
	for i, n := range b.nodes {
		if !n.healthy || now < n.skipUntil || slices.Contains(tried, i) {
			continue
		}
		share := min(1, max(0.05, float64(now-n.healthySince)/float64(slowStartTime)))
		// Choose the node with the fewest connections relative to its share; ties are broken at random.
		load := (float64(n.connections) + 1 + 0.1*b.rng.Float64()) / share
		if best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best
}

// ConnectionOpened records that a node has accepted a connection.
func (b *Balancer) ConnectionOpened(i int) {
	b.nodes[i].connections++
	b.nodes[i].failedConnections = 0
}

// ConnectionClosed records that a connection to a node was closed.
func (b *Balancer) ConnectionClosed(i int) { b.nodes[i].connections-- }

// ConnectionFailed records that a node has refused a connection or not accepted it in time.
func (b *Balancer) ConnectionFailed(now units.Microseconds, i int) {
	n := b.nodes[i]
	if n.failedConnections++; n.failedConnections >= 3 {
		n.failedConnections, n.skipUntil = 0, now+skipTime
	}
}

// Drain returns and clears the effects since the last call.
func (b *Balancer) Drain() []any {
	effects := b.effects
	b.effects = nil
	return effects
}
