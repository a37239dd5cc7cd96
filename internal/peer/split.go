package peer

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

// maxWeb bounds the connections that operators have at once, and those that have not said
// yet what they are.
const maxWeb = 8

// methods are how HTTP requests begin. As the length of a frame each would be far too large.
var methods = [][]byte{[]byte("GET "), []byte("PUT "), []byte("POST")}

// Split tells what arrives on the internal address apart by its first bytes: frames of other
// controllers, and operators' HTTP requests. Both listeners end with the first.
func Split(ln net.Listener) (frames, web net.Listener) {
	ln = netutil.LimitListener(ln, maxConns+maxWeb)
	f := &branch{addr: ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	w := &branch{addr: ln.Addr(), conns: make(chan net.Conn), done: f.done}
	go split(ln, f, w)
	return f, netutil.LimitListener(w, maxWeb)
}

func split(ln net.Listener, frames, web *branch) {
	var end sync.Once
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			end.Do(func() { close(frames.done) })
			return
		}
		if err != nil {
			time.Sleep(dialTimeout / 4)
			continue
		}
		go func() {
			_ = c.SetReadDeadline(time.Now().Add(readTimeout))
			r := bufio.NewReader(c)
			first, err := r.Peek(4)
			if err != nil {
				c.Close()
				return
			}
			_ = c.SetReadDeadline(time.Time{})
			to := frames
			for _, m := range methods {
				if bytes.Equal(first, m) {
					to = web
				}
			}
			to.take(begun{c, r})
		}()
	}
}

// begun is a connection of which the first bytes have been read.
type begun struct {
	net.Conn
	r *bufio.Reader
}

func (b begun) Read(p []byte) (int, error) { return b.r.Read(p) }

// branch is a listener that gets one kind of connections.
type branch struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
}

// take hands a connection to whoever accepts; one that nobody does for long is closed.
func (b *branch) take(c net.Conn) {
	select {
	case b.conns <- c:
	case <-b.done:
		c.Close()
	case <-time.After(readTimeout):
		c.Close()
	}
}

// Accept implements net.Listener.
func (b *branch) Accept() (net.Conn, error) {
	select {
	case c := <-b.conns:
		return c, nil
	case <-b.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; the connections end with the listener that was split.
func (b *branch) Close() error { return nil }

// Addr implements net.Listener.
func (b *branch) Addr() net.Addr { return b.addr }
