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

// maxHTTPConns is the maximum number of concurrent HTTP connections from operators. The shared listener accepts
// maxConns+maxHTTPConns connections in total, including those that have not sent enough bytes to be classified.
const maxHTTPConns = 8

// httpMethods are the first bytes of HTTP requests. Read as the length prefix of a frame, each would exceed
// maxFrame by far, so the two cannot be confused.
var httpMethods = [][]byte{[]byte("GET "), []byte("PUT "), []byte("POST")}

// Split separates the connections of the internal address by their first bytes: frames of other controllers and
// HTTP requests of operators. Both returned listeners end when the given listener is closed. When only one of
// them is closed, new connections of its kind are closed on arrival.
func Split(listener net.Listener) (frames, requests net.Listener) {
	listener = netutil.LimitListener(listener, maxConns+maxHTTPConns)
	frameConns, httpConns := newSubListener(listener.Addr()), newSubListener(listener.Addr())
	go split(listener, frameConns, httpConns)
	return frameConns, netutil.LimitListener(httpConns, maxHTTPConns)
}

// split accepts connections until the listener is closed. It then shuts down both sublisteners and waits for
// the connections that have not been dispatched.
func split(listener net.Listener, frames, requests *subListener) {
	var unclassified sync.WaitGroup
	defer unclassified.Wait()
	defer func() { frames.shutDown(); requests.shutDown() }()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			sleep(context.Background(), retryDelay) // short enough to need no cancellation
			continue
		}
		unclassified.Go(func() { dispatch(conn, frames, requests) })
	}
}

// dispatch reads the first bytes of a connection and passes it to the listener of its kind. A connection that
// does not send them within readTimeout is closed.
func dispatch(conn net.Conn, frames, requests *subListener) {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // on a closed connection the read fails
	reader := bufio.NewReader(conn)
	prefix, err := reader.Peek(lengthSize)
	if err != nil {
		closeConn(conn)
		return
	}
	_ = conn.SetReadDeadline(time.Time{}) // on a closed connection the next read fails
	target := frames
	if slices.ContainsFunc(httpMethods, func(method []byte) bool { return bytes.Equal(prefix, method) }) {
		target = requests
	}
	target.deliver(peekedConn{conn, reader})
}

// peekedConn is a connection whose first bytes have been read into a buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c peekedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// subListener is a net.Listener for the connections of one kind.
type subListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once // closes done
}

func newSubListener(addr net.Addr) *subListener {
	return &subListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *subListener) shutDown() { l.once.Do(func() { close(l.done) }) }

// deliver passes a connection to Accept. The connection is closed if it is not accepted within readTimeout or
// the listener has been shut down.
func (l *subListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.done:
		closeConn(conn)
	case <-time.After(readTimeout):
		closeConn(conn)
	}
}

// Accept implements net.Listener.
func (l *subListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *subListener) Close() error {
	l.shutDown()
	return nil
}

// Addr implements net.Listener.
func (l *subListener) Addr() net.Addr { return l.addr }
