// Package connlimit limits the connections of a process, by who is at the other end. Machines
// and users connect to one address, and a controller that has no socket left for its machines
// loses all that runs on them: users may hold a part of the sockets only, and when all are
// taken, idle connections are closed for new ones.
//
// Nobody is kept waiting for a socket. A connection that finds none is closed at once, and
// a user beyond the users' part is told when to come back: both then turn to another
// controller, where a connection that is not accepted would be waited for.
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

// Kind is who is at the other end of a connection, as its requests tell.
type Kind int

// Kinds.
const (
	Unidentified Kind = iota // has asked for nothing yet
	Machine                  // a worker: never closed to make room
	User
	Probe // health checks and figures
	kinds
)

var kindLabels = [kinds]string{"fresh", "machine", "user", "probe"}

// userFraction divides the sockets: users may hold one part of so many.
const userFraction = 4

// Listener is a net.Listener that limits the connections that it has accepted. It is also a
// prometheus.Collector of their numbers.
type Listener struct {
	net.Listener
	limit    int
	commands chan func(*connections) // to its owner
	done     chan struct{}
	once     sync.Once
}

// connections is what a listener knows of those it has accepted; one goroutine owns it.
type connections struct {
	open    [kinds]int
	idle    [kinds]*list.List // the longest idle first
	refused [kinds]uint64     // closed or refused, as sockets ran out
}

// trackedConn is an accepted connection. The owner of connections owns its fields too, but for
// machine, which is set once: nothing needs to be known of what a machine's connection does
// next, and heartbeats are most of what a controller answers.
type trackedConn struct {
	net.Conn
	listener *Listener
	machine  atomic.Bool
	kind     Kind
	idleAt   *list.Element // in its kind's idle list; nil: a request is under way
	removed  bool
}

// New returns a listener that accepts from inner, with at most limit connections open.
func New(inner net.Listener, limit int) *Listener {
	limited := &Listener{Listener: inner, limit: max(limit, 1), commands: make(chan func(*connections)), done: make(chan struct{})}
	conns := &connections{}
	for k := range conns.idle {
		conns.idle[k] = list.New()
	}
	go func() { // the owner of conns, until Close
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

// do has the owner of the connections run a command and waits for it; once the listener is
// closed nothing happens.
func (l *Listener) do(command func(*connections)) {
	done := make(chan struct{})
	select {
	case l.commands <- func(conns *connections) { command(conns); close(done) }:
		<-done
	case <-l.done:
	}
}

// Close stops listening. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Accept returns the next connection for which there is a socket.
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
		_ = accepted.Close() // whoever it is finds another controller
	}
}

func (s *connections) total() int {
	sum := 0
	for _, open := range s.open {
		sum += open
	}
	return sum
}

// closeIdle closes the connection that has been idle for longest, of the first of some
// kinds that has any, and reports whether there was one.
func (s *connections) closeIdle(of ...Kind) bool {
	for _, k := range of {
		if e := s.idle[k].Front(); e != nil {
			c := e.Value.(*trackedConn)
			s.refused[k]++
			s.remove(c)
			_ = c.Conn.Close() // its server notices, and closes it once more
			return true
		}
	}
	return false
}

func (s *connections) remove(c *trackedConn) {
	if c.removed {
		return
	}
	c.removed = true
	s.markBusy(c)
	s.open[c.kind]--
}

// markBusy takes a connection off the idle ones, if it is there.
func (s *connections) markBusy(c *trackedConn) {
	if c.idleAt != nil {
		s.idle[c.kind].Remove(c.idleAt)
		c.idleAt = nil
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.do(func(conns *connections) { conns.remove(c) })
	return c.Conn.Close()
}

type connKey struct{}

// Track learns from a server, which must serve this listener, which connections are idle, and
// answers users beyond their part of the sockets with 503. kind says who sends a request.
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

// identify notes who is at the other end of a connection, and reports whether there is a
// socket for them.
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
