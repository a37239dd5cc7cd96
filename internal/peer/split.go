package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

// maxHTTPConns bounds the connections that operators have at once, and those that have not
// sent yet what tells what they are.
const maxHTTPConns = 8

// httpMethods are how HTTP requests begin. As the length of a frame each would be far too
// large.
var httpMethods = [][]byte{[]byte("GET "), []byte("PUT "), []byte("POST")}

// Split tells what arrives on the internal address apart by its first bytes: frames of other
// controllers, and operators' HTTP requests. Both listeners end when the one that was split is
// closed; once either of them is closed, connections of its kind are closed as they come.
func Split(listener net.Listener) (frames, requests net.Listener) {
	listener = netutil.LimitListener(listener, maxConns+maxHTTPConns)
	frameConns, httpConns := newPartListener(listener.Addr()), newPartListener(listener.Addr())
	go split(listener, frameConns, httpConns)
	return frameConns, netutil.LimitListener(httpConns, maxHTTPConns)
}

// split accepts until the listener is closed, then ends the two it feeds and waits for the
// connections that have not been handed on.
func split(listener net.Listener, frames, requests *partListener) {
	var undecided sync.WaitGroup
	defer undecided.Wait()
	defer func() { frames.end(); requests.end() }()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sleep(context.Background(), retryPause) // ends soon by itself
			continue
		}
		undecided.Go(func() { handOn(conn, frames, requests) })
	}
}

// handOn reads the first bytes of a connection and passes it to the listener of its kind. One
// that sends nothing within readTimeout is closed.
func handOn(conn net.Conn, frames, requests *partListener) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // on a closed connection the read fails
	reader := bufio.NewReader(conn)
	first, err := reader.Peek(lengthSize)
	if err != nil {
		closeConn(conn)
		return
	}
	_ = conn.SetReadDeadline(time.Time{}) // on a closed connection the next read fails
	target := frames
	if slices.ContainsFunc(httpMethods, func(method []byte) bool { return bytes.Equal(first, method) }) {
		target = requests
	}
	target.deliver(peekedConn{conn, reader})
}

// peekedConn is a connection of which the first bytes have been read into a buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c peekedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// partListener is a listener that gets the connections of one kind.
type partListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once // closes done
}

func newPartListener(addr net.Addr) *partListener {
	return &partListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *partListener) end() { l.once.Do(func() { close(l.done) }) }

// deliver passes a connection to whoever accepts; one that nobody accepts within readTimeout
// is closed.
func (l *partListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		closeConn(conn)
	case <-time.After(readTimeout):
		closeConn(conn)
	}
}

// Accept implements net.Listener.
func (l *partListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *partListener) Close() error {
	l.end()
	return nil
}

// Addr implements net.Listener.
func (l *partListener) Addr() net.Addr { return l.addr }
