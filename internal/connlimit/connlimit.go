// Package connlimit limits the number of open connections of a process by kind of client. Machines and users
// connect to the same address. A controller without sockets for its machines would lose all tasks that run
// on them. Users may therefore hold only a part of the sockets, and when all are in use, idle connections
// are closed for new ones.
//
// No client waits for a socket. If there is none, a new connection is closed at once, and a user beyond the
// users' part gets a 503 with Retry-After. Both then turn to another controller. If the connection were
// left unaccepted instead, the client would wait for it.
package connlimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is the kind of client at the other end of a connection, derived from its requests.
type Kind int

// Kinds.
const (
	Unidentified Kind = iota // has not sent a request yet
	Machine                  // a worker; its connection is never closed for a new one
	User
	Probe // health checks and metrics
	numKinds
)

var kindLabels = [numKinds]string{"fresh", "machine", "user", "probe"}

// userFraction is the divisor of the users' part: users may hold limit/userFraction sockets.
const userFraction = 4

// Listener is a net.Listener that limits the number of its open connections. It is also a prometheus.Collector
// of their numbers.
type Listener struct {
	net.Listener
	limit    int
	commands chan func(*connections) // run by the goroutine that owns the connections
	done     chan struct{}
	once     sync.Once
}

// connections holds the state of a listener's accepted connections. One goroutine owns it.
type connections struct {
	open    [numKinds]int
	idle    [numKinds]*list.List // longest idle first
	refused [numKinds]uint64     // closed or refused for lack of sockets
}

// trackedConn is an accepted connection. Its fields belong to the goroutine that owns connections, except
// machine, which is set once. Connections of machines need no further tracking, and the atomic flag saves
// the round trip to the owner for heartbeats, which are most of a controller's requests.
type trackedConn struct {
	net.Conn
	listener *Listener
	machine  atomic.Bool
	kind     Kind
	idleAt   *list.Element // in its kind's idle list; nil while a request is being served
	removed  bool
}

// New returns a listener that accepts connections from inner, of which at most limit are open at a time. Close
// ends its goroutine.
func New(inner net.Listener, limit int) *Listener {
	limited := &Listener{Listener: inner, limit: max(limit, 1), commands: make(chan func(*connections)), done: make(chan struct{})}
	conns := &connections{}
	for k := range conns.idle {
		conns.idle[k] = list.New()
	}
	go func() { // owns conns until Close
		for {
			select {
			case command := <-limited.commands:
				command(conns)
			case <-limited.done:
				return
			}
		}
	}()
	return limited
}

// do runs a command in the goroutine that owns the connections and waits for it. After Close it does nothing.
func (l *Listener) do(command func(*connections)) {
	done := make(chan struct{})
	select {
	case l.commands <- func(conns *connections) { command(conns); close(done) }:
		<-done
	case <-l.done:
	}
}

// Close stops listening. Accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Accept returns the next connection. At the limit it closes an idle connection that is not a machine's, or the
// new connection if there is none.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: accepted, listener: l}
		admitted := false
		l.do(func(conns *connections) {
			if conns.total() >= l.limit && !conns.closeIdle(User, Probe, Unidentified) {
				conns.refused[Unidentified]++
				return
			}
			admitted = true
			conns.open[Unidentified]++
			tracked.idleAt = conns.idle[Unidentified].PushBack(tracked)
		})
		if admitted {
			return tracked, nil
		}
		_ = accepted.Close() // the client turns to another controller
	}
}

func (c *connections) total() int {
	sum := 0
	for _, open := range c.open {
		sum += open
	}
	return sum
}

// closeIdle closes the connection that has been idle for longest, of the first of the given kinds that has
// an idle one. It reports whether there was one.
func (c *connections) closeIdle(kinds ...Kind) bool {
	for _, k := range kinds {
		if e := c.idle[k].Front(); e != nil {
			conn := e.Value.(*trackedConn)
			c.refused[k]++
			c.remove(conn)
			_ = conn.Conn.Close() // the server notices and calls trackedConn.Close, which has no further effect
			return true
		}
	}
	return false
}

func (c *connections) remove(conn *trackedConn) {
	if conn.removed {
		return
	}
	conn.removed = true
	c.markBusy(conn)
	c.open[conn.kind]--
}

// markBusy removes a connection from its idle list, if it is in it.
func (c *connections) markBusy(conn *trackedConn) {
	if conn.idleAt != nil {
		c.idle[conn.kind].Remove(conn.idleAt)
		conn.idleAt = nil
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.do(func(conns *connections) { conns.remove(c) })
	return c.Conn.Close()
}

type connKey struct{}

// Track installs hooks in a server, which must serve this listener, to learn which connections are idle. It
// also wraps the server's handler, so that users beyond their part of the sockets get a 503. kind returns
// the kind of client that sent a request. Call Track before the server starts.
func (l *Listener) Track(server *http.Server, kind func(*http.Request) Kind) {
	next := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		conn, ok := nc.(*trackedConn)
		if !ok || conn.machine.Load() {
			return
		}
		switch state {
		case http.StateActive:
			l.do(func(conns *connections) { conns.markBusy(conn) })
		case http.StateIdle:
			l.do(func(conns *connections) {
				if !conn.removed && conn.idleAt == nil {
					conn.idleAt = conns.idle[conn.kind].PushBack(conn)
				}
			})
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*trackedConn); ok && !l.identify(conn, kind(r)) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identify records the kind of client at the other end of a connection. It returns false for a user beyond the
// users' part, unless an idle user's connection could be closed instead.
func (l *Listener) identify(conn *trackedConn, kind Kind) bool {
	if conn.machine.Load() {
		return true
	}
	admitted := true
	l.do(func(conns *connections) {
		if conn.removed || conn.kind == kind {
			return
		}
		if kind == User && conns.open[User] >= max(l.limit/userFraction, 1) && !conns.closeIdle(User) {
			conns.refused[User]++
			admitted = false
			return
		}
		conns.open[conn.kind]--
		conn.kind = kind
		conns.open[kind]++
		conn.machine.Store(kind == Machine)
	})
	return admitted
}

var (
	descOpen    = prometheus.NewDesc("shalestage_connections", "Connections to the controller.", []string{"kind"}, nil)
	descRefused = prometheus.NewDesc("shalestage_connections_shed_total", "Connections closed or refused as sockets ran out.", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (l *Listener) Describe(ch chan<- *prometheus.Desc) { ch <- descOpen; ch <- descRefused }

// Collect implements prometheus.Collector.
func (l *Listener) Collect(ch chan<- prometheus.Metric) {
	var now connections
	l.do(func(source *connections) { now = *source })
	for k, name := range kindLabels {
		ch <- prometheus.MustNewConstMetric(descOpen, prometheus.GaugeValue, float64(now.open[k]), name)
		ch <- prometheus.MustNewConstMetric(descRefused, prometheus.CounterValue, float64(now.refused[k]), name)
	}
}
