// Package link stands between two parties that talk over TCP and does to their
// connections what networks do: it holds bytes back and delivers them later,
// drops them, resets connections, trickles bytes, or delays them, in one direction
// or both. It needs no privileges, as every connection passes through it.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what happens to bytes on their way.
type Mode int

// Modes. Held bytes are delivered when the trouble is over, also those of
// connections that the sender has given up; dropped ones never, and their
// connections are reset then.
const (
	Pass Mode = iota
	Hold
	Drop
	Reset
	Trickle // a byte at a time
	Delay
)

// Impairment is a mode with its time.
type Impairment struct {
	Mode     Mode
	Until    time.Time
	Interval time.Duration // between bytes that trickle, or the delay of a piece
}

func (t Impairment) now() Mode {
	if time.Now().After(t.Until) {
		return Pass
	}
	return t.Mode
}

// Link passes connections on to one address.
type Link struct {
	to string

	sent, received atomic.Uint64 // bytes that were delivered to the address, and from it

	mu          sync.Mutex
	there, back Impairment // on the way to the address, and from it
	conns       map[*pair]bool
	closed      bool
}

type pair struct{ a, b net.Conn }

// New returns a link to an address.
func New(to string) *Link { return &Link{to: to, conns: map[*pair]bool{}} }

// SetImpairment puts the link into trouble, in one direction or both.
func (l *Link) SetImpairment(t Impairment, there, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if there {
		l.there = t
	}
	if back {
		l.back = t
	}
	if t.Mode == Reset {
		for p := range l.conns {
			ResetConn(p.a)
			ResetConn(p.b)
		}
	}
}

// Bytes returns how many bytes the link has delivered to its address, and from it.
func (l *Link) Bytes() (there, back uint64) { return l.sent.Load(), l.received.Load() }

func (l *Link) trouble(there bool) Impairment {
	l.mu.Lock()
	defer l.mu.Unlock()
	if there {
		return l.there
	}
	return l.back
}

// Serve passes the connections of a listener on until it closes.
func (l *Link) Serve(in net.Listener) error {
	for {
		c, err := in.Accept()
		if err != nil {
			return err
		}
		go l.pass(c)
	}
}

// Close resets what is open.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for p := range l.conns {
		ResetConn(p.a)
		ResetConn(p.b)
	}
}

func (l *Link) pass(a net.Conn) {
	defer a.Close()
	// A connection that is made while the way there is out of order says nothing,
	// until the trouble is over: what its sender wrote comes through then.
	if l.wait(true) != nil {
		ResetConn(a)
		return
	}
	b, err := net.DialTimeout("tcp4", l.to, time.Second)
	if err != nil {
		ResetConn(a)
		return
	}
	defer b.Close()
	p := &pair{a, b}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.conns[p] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, p)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { l.copy(b, a, true, p); done <- struct{}{} }()
	go func() { l.copy(a, b, false, p); done <- struct{}{} }()
	<-done
	// The other direction may still carry what was sent before the end.
	_ = a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_ = b.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	<-done
}

var errDropped = errors.New("dropped")

// wait holds a piece back while the link does; it fails where the piece is lost.
func (l *Link) wait(there bool) error {
	dropped := false
	for {
		t := l.trouble(there)
		switch t.now() {
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

func (l *Link) copy(to, from net.Conn, there bool, p *pair) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if l.wait(there) != nil {
				ResetConn(p.a)
				ResetConn(p.b)
				return
			}
			if l.write(to, buf[:n], there) != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = c.CloseWrite() // the other side learns it by the next read
			}
			return
		}
	}
}

func (l *Link) write(to net.Conn, b []byte, there bool) error {
	for len(b) > 0 {
		n := len(b)
		switch t := l.trouble(there); t.now() {
		case Trickle:
			n = 1
			time.Sleep(t.Interval)
		case Delay:
			time.Sleep(t.Interval)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
		if there {
			l.sent.Add(uint64(n))
		} else {
			l.received.Add(uint64(n))
		}
		b = b[n:]
	}
	return nil
}

// ResetConn closes a connection so that the other side gets an error.
func ResetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // best effort
	}
	_ = c.Close()
}
