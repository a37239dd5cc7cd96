// Package gate shares a process's sockets out among those who connect to it. Machines and
// users come through one door, and a controller that has no socket left for its machines
// loses all that runs on them: users may hold a part of the sockets only, and when all are
// taken, connections that nobody waits on make room for new ones.
//
// Nobody is kept waiting for a socket. A connection that finds none is closed at once, and
// a user beyond the users' part is told when to come back: both then turn to another
// controller, where a connection that is not accepted would be waited for.
package gate

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
	Fresh   Kind = iota // has asked for nothing yet
	Machine             // a worker: never closed to make room
	User
	Probe // health checks and figures
	kinds
)

var names = [kinds]string{"fresh", "machine", "user", "probe"}

// usersPart is the part of the sockets that users may hold.
const usersPart = 4

// Gate is a listener that gives out at most a number of connections.
type Gate struct {
	net.Listener
	most int
	book chan func(*book) // to its owner
	done chan struct{}
	once sync.Once
}

// book is what the gate knows of its connections; one goroutine owns it.
type book struct {
	open  [kinds]int
	quiet [kinds]*list.List // connections that nobody waits on, the longest quiet first
	shed  [kinds]uint64     // closed or refused, as sockets ran out
}

// conn is a connection. What is not net.Conn's belongs to the book, but for machine, which
// is set once: nothing needs to be known of what a machine's connection does next, and
// reports are most of what a controller answers.
type conn struct {
	net.Conn
	gate    *Gate
	machine atomic.Bool
	kind    Kind
	at      *list.Element // in its kind's quiet list; nil: somebody waits on it
	gone    bool
}

// New returns a gate before a listener that gives out at most so many connections.
func New(l net.Listener, most int) *Gate {
	g := &Gate{Listener: l, most: max(most, 1), book: make(chan func(*book)), done: make(chan struct{})}
	b := &book{}
	for k := range b.quiet {
		b.quiet[k] = list.New()
	}
	go func() {
		for {
			select {
			case f := <-g.book:
				f(b)
			case <-g.done:
				return
			}
		}
	}()
	return g
}

// ask has the owner of the book do something and waits for it; once the gate is closed
// nothing happens.
func (g *Gate) ask(f func(*book)) {
	did := make(chan struct{})
	select {
	case g.book <- func(b *book) { f(b); close(did) }:
		<-did
	case <-g.done:
	}
}

// Close stops listening. Connections stay.
func (g *Gate) Close() error {
	g.once.Do(func() { close(g.done) })
	return g.Listener.Close()
}

// Accept returns the next connection for which there is a socket.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k := &conn{Conn: c, gate: g}
		in := false
		g.ask(func(b *book) {
			if b.all() >= g.most && !b.makeRoom(User, Probe, Fresh) {
				b.shed[Fresh]++
				return
			}
			in = true
			b.open[Fresh]++
			k.at = b.quiet[Fresh].PushBack(k)
		})
		if in {
			return k, nil
		}
		_ = c.Close() // whoever it is finds another controller
	}
}

func (b *book) all() (n int) {
	for _, o := range b.open {
		n += o
	}
	return n
}

// makeRoom closes the connection that has been quiet for longest of the first of some
// kinds that has any.
func (b *book) makeRoom(of ...Kind) bool {
	for _, k := range of {
		if e := b.quiet[k].Front(); e != nil {
			c := e.Value.(*conn)
			b.shed[k]++
			b.leave(c)
			_ = c.Conn.Close() // its server notices, and closes it once more
			return true
		}
	}
	return false
}

func (b *book) leave(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	b.wait(c)
	b.open[c.kind]--
}

// wait notes that somebody waits on a connection.
func (b *book) wait(c *conn) {
	if c.at != nil {
		b.quiet[c.kind].Remove(c.at)
		c.at = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.ask(func(b *book) { b.leave(c) })
	return c.Conn.Close()
}

type key struct{}

// Protect has a server tell the gate what its connections do, and answers users beyond
// their part of the sockets. kind tells of a request who asks.
func (g *Gate) Protect(s *http.Server, kind func(*http.Request) Kind) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c, ok := nc.(*conn)
		if !ok || c.machine.Load() {
			return
		}
		switch state {
		case http.StateActive:
			g.ask(func(b *book) { b.wait(c) })
		case http.StateIdle:
			g.ask(func(b *book) {
				if !c.gone && c.at == nil {
					c.at = b.quiet[c.kind].PushBack(c)
				}
			})
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(key{}).(*conn); ok && !g.enter(c, kind(r)) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// enter notes who is at the other end of a connection, and reports whether there is a
// socket for them.
func (g *Gate) enter(c *conn, kind Kind) bool {
	if c.machine.Load() {
		return true
	}
	in := true
	g.ask(func(b *book) {
		if c.gone || c.kind == kind {
			return
		}
		if kind == User && b.open[User] >= max(g.most/usersPart, 1) && !b.makeRoom(User) {
			b.shed[User]++
			in = false
			return
		}
		b.open[c.kind]--
		c.kind = kind
		b.open[kind]++
		c.machine.Store(kind == Machine)
	})
	return in
}

var (
	descOpen = prometheus.NewDesc("shalestage_connections", "Connections to the controller.", []string{"kind"}, nil)
	descShed = prometheus.NewDesc("shalestage_connections_shed_total", "Connections closed or refused as sockets ran out.", []string{"kind"}, nil)
)

// Describe implements prometheus.Collector.
func (g *Gate) Describe(ch chan<- *prometheus.Desc) { ch <- descOpen; ch <- descShed }

// Collect implements prometheus.Collector.
func (g *Gate) Collect(ch chan<- prometheus.Metric) {
	var now book
	g.ask(func(b *book) { now = *b })
	for k, name := range names {
		ch <- prometheus.MustNewConstMetric(descOpen, prometheus.GaugeValue, float64(now.open[k]), name)
		ch <- prometheus.MustNewConstMetric(descShed, prometheus.CounterValue, float64(now.shed[k]), name)
	}
}
