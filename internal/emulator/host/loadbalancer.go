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

// LoadBalancer is the users' load balancer: it forwards TCP connections to controllers.
type LoadBalancer struct {
	ctx         context.Context
	loop        *loop
	balancer    *balance.Balancer
	nodeAddrs   []string // addresses of the controllers, by index
	probeClient *http.Client
	log         *slog.Logger

	mu    sync.Mutex
	conns map[int]map[net.Conn]bool // open connections of users, by index of the controller
}

// NewLoadBalancer returns a load balancer for controllers at the given addresses.
func NewLoadBalancer(ctx context.Context, nodeAddrs []string, rng *rand.Rand, log *slog.Logger) *LoadBalancer {
	l := &LoadBalancer{ctx: ctx, balancer: balance.New(len(nodeAddrs), 0, rng), nodeAddrs: nodeAddrs, log: log, conns: map[int]map[net.Conn]bool{},
		probeClient: &http.Client{Timeout: time.Duration(balance.ProbeWithin) * time.Microsecond,
			Transport: &http.Transport{DisableKeepAlives: true}}}
	l.loop = newLoop(l.balancer, l.flush, func(error) {})
	return l
}

// Run probes the controllers until the context ends.
func (l *LoadBalancer) Run() { l.loop.run(l.ctx) }

func (l *LoadBalancer) flush(units.Microseconds) error {
	for _, e := range l.balancer.Drain() {
		switch e := e.(type) {
		case balance.Probe:
			go l.probe(e.Node)
		case balance.Reset:
			l.mu.Lock()
			for c := range l.conns[e.Node] {
				link.ResetConn(c)
			}
			l.mu.Unlock()
		}
	}
	return nil
}

func (l *LoadBalancer) probe(i int) {
	resp, err := l.probeClient.Get("http://" + l.nodeAddrs[i] + wire.ReadyPath)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close() // the status is all that matters
	}
	l.loop.enqueue(l.ctx, func(now units.Microseconds) { l.balancer.HandleProbe(now, i, ok) })
}

// HealthyCount returns the number of controllers that are considered healthy.
func (l *LoadBalancer) HealthyCount() int {
	n := 0
	l.loop.do(l.ctx, func(units.Microseconds) {
		for i := range l.nodeAddrs {
			if l.balancer.Healthy(i) {
				n++
			}
		}
	})
	return n
}

// Serve forwards the connections of a listener.
func (l *LoadBalancer) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go l.proxy(c)
	}
}

// proxy forwards a user's connection to a controller that accepts it, or resets it if there is none.
func (l *LoadBalancer) proxy(user net.Conn) {
	defer user.Close()
	var tried []int
	for {
		i := -1
		l.loop.do(l.ctx, func(now units.Microseconds) { i = l.balancer.Choose(now, tried) })
		if i < 0 {
			link.ResetConn(user)
			return
		}
		tried = append(tried, i)
		c, err := net.DialTimeout("tcp4", l.nodeAddrs[i], time.Duration(balance.AcceptWithin)*time.Microsecond)
		if err != nil {
			l.loop.do(l.ctx, func(now units.Microseconds) { l.balancer.ConnectionFailed(now, i) })
			continue
		}
		l.trackConn(i, user, true)
		l.loop.do(l.ctx, func(units.Microseconds) { l.balancer.ConnectionOpened(i) })
		splice(user, c)
		l.loop.do(l.ctx, func(units.Microseconds) { l.balancer.ConnectionClosed(i) })
		l.trackConn(i, user, false)
		return
	}
}

func (l *LoadBalancer) trackConn(i int, c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[i] == nil {
		l.conns[i] = map[net.Conn]bool{}
	}
	if open {
		l.conns[i][c] = true
	} else {
		delete(l.conns[i], c)
	}
}

// splice copies in both directions until one side closes its connection, then closes both.
func splice(a, b net.Conn) {
	done := make(chan struct{}, 2)
	for _, p := range [][2]net.Conn{{a, b}, {b, a}} {
		go func() {
			_, _ = io.Copy(p[0], p[1]) // an error ends the connection like EOF
			done <- struct{}{}
		}()
	}
	<-done
	_ = a.Close()
	_ = b.Close()
	<-done
}
