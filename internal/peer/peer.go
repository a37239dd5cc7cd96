// Package peer carries messages between controllers: gob, in frames of bounded
// length, over TCP. Messages may be lost.
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
	// retryPause follows a connection that could not be opened or accepted.
	retryPause = dialTimeout / 4
	// readTimeout is several times the interval between statuses.
	readTimeout = 10 * time.Second
	// queueLength bounds the messages that wait to be sent to one controller. It has room for the
	// snapshot of a full shard, which has one part for each machine at most, and for 128 parts
	// of finished tasks and other messages; what comes beyond is dropped.
	queueLength = fleet.FullShardMachines + 128
	// maxConns bounds the connections of other controllers.
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

// New returns a link of a node to its peers, whose addresses (HOST:PORT) are given by name.
// Nothing is sent until Run.
func New(node string, addrs map[string]string, log *slog.Logger) *Link {
	l := &Link{node: node, log: log, addrs: addrs, queues: map[string]chan any{}}
	for name := range addrs {
		l.queues[name] = make(chan any, queueLength)
	}
	return l
}

// Send queues a message; it is dropped when the peer does not keep up, or is none.
func (l *Link) Send(to string, message any) {
	select {
	case l.queues[to] <- message:
	default:
	}
}

// Run keeps a connection to every peer and sends what is queued, until the context ends.
func (l *Link) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for name, addr := range l.addrs {
		senders.Go(func() { l.sendTo(ctx, addr, l.queues[name]) })
	}
	senders.Wait()
}

// sendTo sends what is queued for one peer, over one connection after another.
// What waited while there was no connection is old news and is dropped.
func (l *Link) sendTo(ctx context.Context, addr string, queue <-chan any) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", addr)
		for len(queue) > 0 {
			<-queue
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		l.sendOver(ctx, conn, queue)
	}
}

// sendOver sends what is queued over one connection until that fails or the context ends, and
// closes it.
func (l *Link) sendOver(ctx context.Context, conn net.Conn, queue <-chan any) {
	var reader sync.WaitGroup
	defer reader.Wait()
	defer closeConn(conn)
	// The peer sends nothing on this connection, so a read ends only with it.
	// Without it a peer that has closed its end, as one does that stood still
	// past its read deadline, would go unnoticed and no message reach it again.
	reader.Go(func() {
		_, _ = io.Copy(io.Discard, conn) // the end is all that it tells
		closeConn(conn)
	})
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			encoded, err := Encode(l.node, message)
			if err != nil {
				l.log.Error("peer", "err", err)
				continue
			}
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // on a closed connection the write fails
			if _, err := conn.Write(encoded); err != nil {
				return
			}
		}
	}
}

// Serve passes the messages that arrive on a listener to receive, from one goroutine for each
// connection, until the context ends or the listener is closed. Then it closes what it has
// accepted and returns net.ErrClosed.
func (l *Link) Serve(ctx context.Context, listener net.Listener, receive func(from string, message any)) error {
	ctx, cancel := context.WithCancel(ctx)
	var receivers sync.WaitGroup
	defer receivers.Wait()
	defer cancel()
	listener = netutil.LimitListener(listener, maxConns)
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // nobody is left to tell of an error
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return net.ErrClosed
		}
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		receivers.Go(func() { l.receiveFrom(ctx, conn, receive) })
	}
}

// receiveFrom passes on the messages of one connection until that or the context ends.
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
				l.log.Error("peer", "err", err) // the first only: the rest are counted
			}
		default:
			return
		}
	}
}

// closeConn closes a connection that is of no more use; it may be closed already.
func closeConn(conn net.Conn) { _ = conn.Close() }

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
