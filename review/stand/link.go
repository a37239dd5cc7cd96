package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// Path is the network between one machine and all controllers. Every connection that the machine opens passes
// it; Worker applies it to the requests that controllers send to the machine. Packets take Delay one way. While the path is
// cut, packets are held back and delivered in order afterwards, and connections are not established.
type Path struct {
	Delay time.Duration

	mu      sync.Mutex
	cut     bool
	changed chan struct{}
}

// NewPath returns a path with a latency.
func NewPath(delay time.Duration) *Path { return &Path{Delay: delay, changed: make(chan struct{})} }

// Cut interrupts the path, or ends the interruption.
func (p *Path) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	close(p.changed)
	p.changed = make(chan struct{})
}

// wait waits while the path is cut. It returns false if done is closed first.
func (p *Path) wait(done <-chan struct{}) bool {
	for {
		p.mu.Lock()
		cut, changed := p.cut, p.changed
		p.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Dial opens a connection over the path. Establishing it takes a round trip.
func (p *Path) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !p.wait(ctx.Done()) {
		return nil, ctx.Err()
	}
	select {
	case <-time.After(2 * p.Delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return p.wrap(conn), nil
}

// wrap returns the machine's end of a connection that passes the path.
func (p *Path) wrap(conn net.Conn) net.Conn {
	c := &pathConn{Conn: conn, path: p, done: make(chan struct{})}
	c.out, c.in = newPipe(), newPipe()
	go c.pump(c.out, func(b []byte) error { _, err := conn.Write(b); return err }, func() { _ = conn.Close() })
	go c.receive()
	return c
}

// pathConn delays and holds what passes in either direction.
type pathConn struct {
	net.Conn
	path    *Path
	out, in *pipe
	once    sync.Once
	done    chan struct{}
}

// pipe holds pieces with the times at which they arrive at the other end.
type pipe struct {
	mu     sync.Mutex
	more   chan struct{}
	pieces []piece
}

type piece struct {
	data []byte
	at   time.Time
	last bool // the end of the connection
}

func newPipe() *pipe { return &pipe{more: make(chan struct{}, 1)} }

func (q *pipe) push(p piece) {
	q.mu.Lock()
	q.pieces = append(q.pieces, p)
	q.mu.Unlock()
	select {
	case q.more <- struct{}{}:
	default:
	}
}

func (q *pipe) pop() (piece, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pieces) == 0 {
		return piece{}, false
	}
	p := q.pieces[0]
	q.pieces = q.pieces[1:]
	return p, true
}

// pump delivers the pieces of a direction in order. What was sent before the sender closed is still delivered.
func (c *pathConn) pump(q *pipe, deliver func([]byte) error, end func()) {
	defer end()
	for {
		p, ok := q.pop()
		if !ok {
			<-q.more
			continue
		}
		time.Sleep(time.Until(p.at))
		c.path.wait(nil)
		if p.last || deliver(p.data) != nil {
			return
		}
	}
}

// receive reads from the controller's end.
func (c *pathConn) receive() {
	for {
		b := make([]byte, 32<<10)
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.in.push(piece{data: b[:n], at: time.Now().Add(c.path.Delay)})
		}
		if err != nil {
			c.in.push(piece{at: time.Now().Add(c.path.Delay), last: true})
			return
		}
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	c.out.push(piece{data: append([]byte(nil), b...), at: time.Now().Add(c.path.Delay)})
	return len(b), nil
}

func (c *pathConn) Read(b []byte) (int, error) {
	for {
		select {
		case <-c.done:
			return 0, net.ErrClosed
		default:
		}
		c.in.mu.Lock()
		if len(c.in.pieces) > 0 {
			p := &c.in.pieces[0]
			wait := time.Until(p.at)
			if wait <= 0 && c.path.isOpen() {
				if p.last {
					c.in.mu.Unlock()
					return 0, net.ErrClosed
				}
				n := copy(b, p.data)
				if p.data = p.data[n:]; len(p.data) == 0 {
					c.in.pieces = c.in.pieces[1:]
				}
				c.in.mu.Unlock()
				return n, nil
			}
			c.in.mu.Unlock()
			if wait > 0 {
				select {
				case <-time.After(wait):
				case <-c.done:
				}
			} else {
				c.path.wait(c.done)
			}
			continue
		}
		c.in.mu.Unlock()
		select {
		case <-c.in.more:
		case <-c.done:
		}
	}
}

func (p *Path) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut
}

func (c *pathConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.out.push(piece{at: time.Now().Add(c.path.Delay), last: true})
	})
	return nil
}

// SetDeadline and the others do nothing: HTTP clients that use contexts do not need them.
func (c *pathConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *pathConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *pathConn) SetWriteDeadline(time.Time) error { return nil }
