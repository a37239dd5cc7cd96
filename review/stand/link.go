package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// Path is the network between one machine and all controllers. Packets take Delay one way. Every connection that
// the machine opens passes it; Worker applies it to the requests that controllers send to the machine.
type Path struct{ Delay time.Duration }

// Dial opens a connection over the path. Establishing it takes a round trip.
func (p *Path) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
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
	c := &pathConn{Conn: conn, path: p, out: make(chan piece, 64), in: make(chan piece, 64), done: make(chan struct{})}
	go c.send()
	go c.receive()
	return c, nil
}

// pathConn is the machine's end of a connection that passes a path. It delays what passes in either direction.
type pathConn struct {
	net.Conn
	path    *Path
	out, in chan piece
	rest    []byte // of the piece that is being read
	once    sync.Once
	done    chan struct{}
}

// piece is some data with the time at which it arrives at the other end.
type piece struct {
	data []byte
	at   time.Time
}

// send delivers what the machine has sent.
func (c *pathConn) send() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case p := <-c.out:
			time.Sleep(time.Until(p.at))
			if _, err := c.Conn.Write(p.data); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

// receive takes what the controller has sent.
func (c *pathConn) receive() {
	defer close(c.in)
	for {
		b := make([]byte, 32<<10)
		n, err := c.Conn.Read(b)
		if n > 0 {
			select {
			case c.in <- piece{b[:n], time.Now().Add(c.path.Delay)}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	select {
	case c.out <- piece{append([]byte(nil), b...), time.Now().Add(c.path.Delay)}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case p, ok := <-c.in:
			if !ok {
				return 0, net.ErrClosed
			}
			time.Sleep(time.Until(p.at))
			c.rest = p.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// SetDeadline does nothing, as SetReadDeadline and SetWriteDeadline: HTTP clients with contexts do not need them.
func (c *pathConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *pathConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *pathConn) SetWriteDeadline(time.Time) error { return nil }
