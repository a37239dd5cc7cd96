// Package balance is the model of the users' load balancer: it chooses a healthy
// controller for each new connection, as the protocol describes it. It is pure:
// time, draws and the results of probes go in, probes and resets come out of Drain.
package balance

import (
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Times of the protocol.
const (
	ProbeWithin  = units.Second
	AcceptWithin = units.Second / 2
	MaxTries     = 3 // nodes that one connection is offered to
	probeEvery   = units.Second
	firstPause   = 3 * units.Second // before a node that was removed is taken back
	maxPause     = 60 * units.Second
	recent       = 120 * units.Second // removals within this time double the pause
	slowStart    = 10 * units.Second
	resetAfter   = 5 * units.Second // unhealthy for this long: its connections are reset
	skipFor      = 3 * units.Second // after three connections failed one after another
)

// Effects.
type (
	// Probe is to be sent to a node; its result goes to Probed.
	Probe struct{ Node int }
	// Reset closes all open connections of a node.
	Reset struct{ Node int }
)

type node struct {
	healthy   bool
	ever      bool               // has been healthy
	since     units.Microseconds // healthy since
	removed   units.Microseconds // unhealthy since
	pause     units.Microseconds // before it is taken back
	good, bad int                // probes one after another
	last      []bool             // of the last six probes, whether each failed
	open      int                // connections
	failed    int                // connections one after another
	skip      units.Microseconds // not chosen before this
}

type step struct {
	node  int
	reset bool
	since units.Microseconds
}

// Balancer chooses nodes.
type Balancer struct {
	rng   *rand.Rand
	nodes []*node
	plans eventqueue.Queue[step]
	out   []any
}

// New returns a balancer for n nodes, of which none is known to be healthy.
func New(n int, now units.Microseconds, rng *rand.Rand) *Balancer {
	b := &Balancer{rng: rng}
	for i := range n {
		b.nodes = append(b.nodes, &node{pause: firstPause})
		b.plans.Add(now+units.Microseconds(i)*probeEvery/units.Microseconds(n), step{node: i})
	}
	return b
}

// Next returns when Advance is next of use.
func (b *Balancer) Next() units.Microseconds { return b.plans.Next() }

// Advance lets time pass.
func (b *Balancer) Advance(now units.Microseconds) {
	for {
		at, s, ok := b.plans.Due(now)
		if !ok {
			return
		}
		if s.reset {
			if n := b.nodes[s.node]; !n.healthy && n.removed == s.since {
				b.out = append(b.out, Reset{s.node})
			}
			continue
		}
		b.out = append(b.out, Probe{s.node})
		b.plans.Add(at+units.Microseconds(float64(probeEvery)*(0.9+0.2*b.rng.Float64())), step{node: s.node})
	}
}

// HandleProbe takes a probe's result. A timeout is a failure.
func (b *Balancer) HandleProbe(now units.Microseconds, i int, ok bool) {
	n := b.nodes[i]
	n.last = append(n.last, !ok)
	if len(n.last) > 6 {
		n.last = n.last[1:]
	}
	if !ok {
		n.good = 0
		n.bad++
		lost := 0
		for _, failed := range n.last {
			if failed {
				lost++
			}
		}
		if n.healthy && (n.bad >= 2 || lost >= 3) {
			b.remove(now, i)
		}
		return
	}
	n.bad = 0
	n.good++
	if n.healthy || n.ever && (n.good < 2 || now < n.removed+n.pause) {
		return
	}
	n.healthy, n.ever, n.since = true, true, now
	n.last = nil
}

func (b *Balancer) remove(now units.Microseconds, i int) {
	n := b.nodes[i]
	if n.removed > 0 && now-n.removed < recent {
		n.pause = min(2*n.pause, maxPause)
	} else {
		n.pause = firstPause
	}
	n.healthy, n.removed, n.good = false, now, 0
	b.plans.Add(now+resetAfter, step{node: i, reset: true, since: now})
}

// Healthy reports whether a node counts as healthy.
func (b *Balancer) Healthy(i int) bool { return b.nodes[i].healthy }

// Choose returns a node for a new connection, not one of those tried before; -1:
// there is none.
func (b *Balancer) Choose(now units.Microseconds, tried []int) int {
	if len(tried) >= MaxTries {
		return -1
	}
	best, least := -1, 0.0
	for i, n := range b.nodes {
		if !n.healthy || now < n.skip || slices.Contains(tried, i) {
			continue
		}
		share := min(1, max(0.05, float64(now-n.since)/float64(slowStart)))
		// Fewer open connections for its share, with a draw among equals.
		load := (float64(n.open) + 1 + 0.1*b.rng.Float64()) / share
		if best < 0 || load < least {
			best, least = i, load
		}
	}
	return best
}

// ConnectionOpened says that a node has taken a connection.
func (b *Balancer) ConnectionOpened(i int) {
	b.nodes[i].open++
	b.nodes[i].failed = 0
}

// ConnectionClosed says that a connection is over.
func (b *Balancer) ConnectionClosed(i int) { b.nodes[i].open-- }

// ConnectionFailed says that a node has refused a connection, or not taken it in time.
func (b *Balancer) ConnectionFailed(now units.Microseconds, i int) {
	n := b.nodes[i]
	if n.failed++; n.failed >= 3 {
		n.failed, n.skip = 0, now+skipFor
	}
}

// Drain returns the effects since the last call.
func (b *Balancer) Drain() []any {
	out := b.out
	b.out = nil
	return out
}
