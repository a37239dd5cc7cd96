package host

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/balance"
	"shalestage.example/shalestage/internal/emulator/link"
	"shalestage.example/shalestage/internal/wire"
)

// LoadBalancer is the users' load balancer: it passes whole connections on.
type LoadBalancer struct {
	ctx    context.Context
	loop   *loop
	b      *balance.Balancer
	nodes  []string // addresses
	probes *http.Client
	log    *slog.Logger

	mu    sync.Mutex
	conns map[int]map[net.Conn]bool // open ones, by node
}

// NewLoadBalancer returns a balancer for controllers at the given addresses.
func NewLoadBalancer(ctx context.Context, nodes []string, rng *rand.Rand, log *slog.Logger) *LoadBalancer {
	f := &LoadBalancer{ctx: ctx, b: balance.New(len(nodes), 0, rng), nodes: nodes, log: log, conns: map[int]map[net.Conn]bool{},
		probes: &http.Client{Timeout: time.Duration(balance.ProbeWithin) * time.Microsecond,
			Transport: &http.Transport{DisableKeepAlives: true}}}
	f.loop = newLoop(f.b, f.settle, func(error) {})
	return f
}

// Run probes until the context ends.
func (f *LoadBalancer) Run() { f.loop.run(f.ctx) }

func (f *LoadBalancer) settle(units.Microseconds) error {
	for _, e := range f.b.Drain() {
		switch e := e.(type) {
		case balance.Probe:
			go f.probe(e.Node)
		case balance.Reset:
			f.mu.Lock()
			for c := range f.conns[e.Node] {
				link.ResetConn(c)
			}
			f.mu.Unlock()
		}
	}
	return nil
}

func (f *LoadBalancer) probe(i int) {
	resp, err := f.probes.Get("http://" + f.nodes[i] + wire.ReadyPath)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close() // of no interest
	}
	f.loop.tell(f.ctx, func(now units.Microseconds) { f.b.Probed(now, i, ok) })
}

// HealthyCount returns how many controllers count as healthy.
func (f *LoadBalancer) HealthyCount() int {
	n := 0
	f.loop.do(f.ctx, func(units.Microseconds) {
		for i := range f.nodes {
			if f.b.Healthy(i) {
				n++
			}
		}
	})
	return n
}

// Serve passes the connections of a listener on.
func (f *LoadBalancer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go f.pass(c)
	}
}

// pass connects a user's connection to a controller, or resets it.
func (f *LoadBalancer) pass(user net.Conn) {
	defer user.Close()
	var tried []int
	for {
		i := -1
		f.loop.do(f.ctx, func(now units.Microseconds) { i = f.b.Choose(now, tried) })
		if i < 0 {
			link.ResetConn(user)
			return
		}
		tried = append(tried, i)
		c, err := net.DialTimeout("tcp4", f.nodes[i], time.Duration(balance.AcceptWithin)*time.Microsecond)
		if err != nil {
			f.loop.do(f.ctx, func(now units.Microseconds) { f.b.Failed(now, i) })
			continue
		}
		f.note(i, user, true)
		f.loop.do(f.ctx, func(units.Microseconds) { f.b.Opened(i) })
		splice(user, c)
		f.loop.do(f.ctx, func(units.Microseconds) { f.b.Closed(i) })
		f.note(i, user, false)
		return
	}
}

func (f *LoadBalancer) note(i int, c net.Conn, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[i] == nil {
		f.conns[i] = map[net.Conn]bool{}
	}
	if open {
		f.conns[i][c] = true
	} else {
		delete(f.conns[i], c)
	}
}

// splice copies both ways until one side ends, then closes both.
func splice(a, b net.Conn) {
	done := make(chan struct{}, 2)
	for _, p := range [][2]net.Conn{{a, b}, {b, a}} {
		go func() {
			_, _ = io.Copy(p[0], p[1]) // an end like any other
			done <- struct{}{}
		}()
	}
	<-done
	_ = a.Close()
	_ = b.Close()
	<-done
}
