// Package peer sends messages between controllers over TCP, encoded with gob in frames of bounded length.
// Delivery is not guaranteed.
package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/peering"
)

const (
	dialTimeout = time.Second
	sendTimeout = time.Second
	// retryDelay is the delay after a failure to open or accept a connection.
	retryDelay = dialTimeout / 4
	// readTimeout is several times the interval at which controllers send their statuses.
	readTimeout = 10 * time.Second
	// queueLength is the capacity of the send queue of each peer, in messages. It holds the snapshot of a full
	// shard, which has at most one part per machine, and 128 more for parts with finished tasks and for other
	// messages. Further messages are dropped.
	queueLength = fleet.FullShardMachines + 128
	// maxConns is the maximum number of connections accepted from other controllers.
	maxConns = peering.MaxPeers
)

// Link connects a controller with its peers.
type Link struct {
	node          string
	log           *slog.Logger
	addrs         map[string]string
	queues        map[string]chan any
	droppedFrames atomic.Uint64
}

// New returns a link from a controller to its peers. addrs maps the names of the peers to their addresses
// (HOST:PORT). Nothing is sent until Run is called.
func New(node string, addrs map[string]string, log *slog.Logger) *Link {
	l := &Link{node: node, log: log, addrs: addrs, queues: map[string]chan any{}}
	for name := range addrs {
		l.queues[name] = make(chan any, queueLength)
	}
	return l
}

// Send queues a message for a peer without blocking. The message is dropped if the queue is full or the peer
// is unknown.
func (l *Link) Send(to string, message any) {
	select {
	case l.queues[to] <- message:
	default:
	}
}

// Run maintains a connection to every peer and sends the queued messages until the context is done.
func (l *Link) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for name, addr := range l.addrs {
		senders.Go(func() { l.sendTo(ctx, addr, l.queues[name]) })
	}
	senders.Wait()
}

// sendTo sends the messages queued for one peer and reconnects when the connection fails. Messages queued
// while there was no connection are stale and are dropped.
func (l *Link) sendTo(ctx context.Context, addr string, queue <-chan any) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", addr)
		for len(queue) > 0 {
			<-queue
		}
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		l.sendOver(ctx, conn, queue)
	}
}

// sendOver sends queued messages over one connection until it fails or the context is done, then closes the
// connection.
func (l *Link) sendOver(ctx context.Context, conn net.Conn, queue <-chan any) {
	var reader sync.WaitGroup
	defer reader.Wait()
	defer closeConn(conn)
	// The peer sends nothing on this connection, so the read returns only when the connection is closed. Without
	// the read, nothing detects that the peer has closed its end, as a peer does that was suspended past its
	// read deadline, and no further message would reach it.
	reader.Go(func() {
		_, _ = io.Copy(io.Discard, conn) // only the end of the connection matters
		closeConn(conn)
	})
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			encoded, err := Encode(l.node, message)
			if err != nil {
				l.log.Error("cannot encode a message to a peer", "err", err)
				continue
			}
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // on a closed connection the write fails
			if _, err := conn.Write(encoded); err != nil {
				return
			}
		}
	}
}

// Serve accepts connections and passes their messages to receive until the context is done or the listener is
// closed. It then closes the accepted connections and returns net.ErrClosed. receive is called concurrently,
// from one goroutine per connection.
func (l *Link) Serve(ctx context.Context, listener net.Listener, receive func(from string, message any)) error {
	ctx, cancel := context.WithCancel(ctx)
	var receivers sync.WaitGroup
	defer receivers.Wait()
	defer cancel()
	listener = netutil.LimitListener(listener, maxConns)
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // shutting down, so an error does not matter
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return net.ErrClosed
		}
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		receivers.Go(func() { l.receiveFrom(ctx, conn, receive) })
	}
}

// receiveFrom passes the messages of one connection to receive until the connection ends or the context is done.
func (l *Link) receiveFrom(ctx context.Context, conn net.Conn, receive func(from string, message any)) {
	defer closeConn(conn)
	defer context.AfterFunc(ctx, func() { closeConn(conn) })()
	for {
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout)) // on a closed connection the read fails
		from, message, err := Decode(conn)
		switch {
		case err == nil:
			receive(from, message)
		case errors.Is(err, errUnusableFrame):
			if l.droppedFrames.Add(1) == 1 {
				l.log.Error("dropped an unusable frame of a peer", "err", err) // logs the first only; all are counted
			}
		default:
			return
		}
	}
}

// closeConn closes a connection that is no longer needed. It may be closed already.
func closeConn(conn net.Conn) { _ = conn.Close() }

// sleep waits for the delay or until the context is done.
func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
