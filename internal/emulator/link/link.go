// Package link is a TCP proxy that emulates network faults. In one direction or both, it holds bytes back and
// delivers them later, drops them, resets connections, trickles bytes one at a time, or delays them. It needs no
// privileges, because it is the endpoint of all connections that it impairs.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is the way in which a link treats bytes.
type Mode int

// Modes. Held bytes are delivered when the impairment ends, even if the sender has closed the connection by then.
// Dropped bytes are never delivered; their connections are reset when the impairment ends.
const (
	Pass Mode = iota
	Hold
	Drop
	Reset
	Trickle // delivers one byte at a time
	Delay
)

// Impairment is a mode that applies until a time. The zero value is no impairment.
type Impairment struct {
	Mode     Mode
	Until    time.Time
	Interval time.Duration // Trickle: pause before each byte; Delay: delay of each piece read
}

func (i Impairment) mode() Mode {
	if time.Now().After(i.Until) {
		return Pass
	}
	return i.Mode
}

// Link forwards connections to one target address.
type Link struct {
	target string

	sent, received atomic.Uint64 // bytes delivered to the target, and to its clients

	mu               sync.Mutex
	forward, reverse Impairment // to the target, and from it
	conns            map[*proxiedConn]bool
	closed           bool
}

type proxiedConn struct{ client, server net.Conn }

// New returns a link to a target address, without impairments.
func New(target string) *Link { return &Link{target: target, conns: map[*proxiedConn]bool{}} }

// SetImpairment replaces the impairment of one direction or both. Mode Reset resets all open connections.
func (l *Link) SetImpairment(impairment Impairment, forward, reverse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if forward {
		l.forward = impairment
	}
	if reverse {
		l.reverse = impairment
	}
	if impairment.Mode == Reset {
		for p := range l.conns {
			ResetConn(p.client)
			ResetConn(p.server)
		}
	}
}

// Bytes returns the number of bytes that the link has delivered to its target, and to the clients.
func (l *Link) Bytes() (sent, received uint64) { return l.sent.Load(), l.received.Load() }

func (l *Link) impairment(forward bool) Impairment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if forward {
		return l.forward
	}
	return l.reverse
}

// Serve forwards the connections of a listener until accepting one fails, usually because the listener
// was closed.
func (l *Link) Serve(listener net.Listener) error {
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go l.proxy(c)
	}
}

// Close resets all open connections. A connection that is being set up is closed as well.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for p := range l.conns {
		ResetConn(p.client)
		ResetConn(p.server)
	}
}

func (l *Link) proxy(client net.Conn) {
	defer client.Close()
	// While the forward direction holds or drops bytes, a new connection isn't forwarded. When Hold ends, the
	// target gets what the client has written meanwhile; when Drop ends, the connection is reset.
	if l.wait(true) != nil {
		ResetConn(client)
		return
	}
	server, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		ResetConn(client)
		return
	}
	defer server.Close()
	conn := &proxiedConn{client, server}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.conns[conn] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { l.copy(server, client, true, conn); done <- struct{}{} }()
	go func() { l.copy(client, server, false, conn); done <- struct{}{} }()
	<-done
	// The other direction may still have bytes that were sent before the connection was closed.
	_ = client.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_ = server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	<-done
}

var errDropped = errors.New("dropped")

// wait blocks while the link holds or drops bytes. It returns an error if the bytes are lost.
func (l *Link) wait(forward bool) error {
	dropped := false
	for {
		t := l.impairment(forward)
		switch t.mode() {
		case Drop:
			dropped = true
		case Hold:
		case Reset:
			return errDropped
		default:
			if dropped {
				return errDropped
			}
			return nil
		}
		time.Sleep(min(time.Until(t.Until), 20*time.Millisecond) + time.Millisecond)
	}
}

func (l *Link) copy(dst, src net.Conn, forward bool, conn *proxiedConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if l.wait(forward) != nil {
				ResetConn(conn.client)
				ResetConn(conn.server)
				return
			}
			if l.write(dst, buf[:n], forward) != nil {
				return
			}
		}
		if err != nil {
			if c, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = c.CloseWrite() // if it fails, the other side gets the error on its next read
			}
			return
		}
	}
}

func (l *Link) write(dst net.Conn, b []byte, forward bool) error {
	for len(b) > 0 {
		n := len(b)
		switch t := l.impairment(forward); t.mode() {
		case Trickle:
			n = 1
			time.Sleep(t.Interval)
		case Delay:
			time.Sleep(t.Interval)
		}
		if _, err := dst.Write(b[:n]); err != nil {
			return err
		}
		if forward {
			l.sent.Add(uint64(n))
		} else {
			l.received.Add(uint64(n))
		}
		b = b[n:]
	}
	return nil
}

// ResetConn closes a connection with a TCP reset, so that the other side gets an error.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // best effort
	}
	_ = c.Close()
}
