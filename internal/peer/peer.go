// Package peer carries messages between controllers: gob, in frames of bounded
// length, over TCP. Messages may be lost.
package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"shalestage.example/shalestage/internal/core"
)

const (
	// format is raised whenever messages change in a way that an older
	// controller would misread; frames of another format are dropped.
	format   = 3
	maxFrame = 64 << 10

	dialTimeout = time.Second
	sendTimeout = time.Second
	// readTimeout is several times the interval between statuses.
	readTimeout = 10 * time.Second
	queue       = 128 // a picture of some thousand machines
	maxConns    = 32
)

// frame is what one frame holds. Message is one of the registered types.
type frame struct {
	Format  int
	From    string
	Message any
}

// messages are all that controllers tell each other, with the names under which gob sends
// their types. A name never changes, whatever the type is called here: controllers of older
// releases know it.
var messages = []struct {
	name  string
	value any
}{
	{"shalestage.example/shalestage/internal/core.PeerStatus", core.PeerStatus{}},
	{"shalestage.example/shalestage/internal/core.PeerPromise", core.PeerPromise{}},
	{"shalestage.example/shalestage/internal/core.PeerPermitAsk", core.PeerPermitAsk{}},
	{"shalestage.example/shalestage/internal/core.PeerPermit", core.PeerPermit{}},
	{"shalestage.example/shalestage/internal/core.PeerRelease", core.PeerRelease{}},
	{"shalestage.example/shalestage/internal/core.PeerAsk", core.PeerAsk{}},
	{"shalestage.example/shalestage/internal/core.PeerAnswer", core.PeerAnswer{}},
	{"shalestage.example/shalestage/internal/core.PeerPicture", core.PeerPicture{}},
	{"shalestage.example/shalestage/internal/core/follow.Message", core.PeerStarts{}},
	{"shalestage.example/shalestage/internal/core/follow.Ack", core.PeerKnown{}},
}

func init() {
	for _, m := range messages {
		gob.RegisterName(m.name, m.value)
	}
}

// Encode writes a message as one frame, length first.
func Encode(from string, m any) ([]byte, error) {
	f := frame{Format: format, From: from, Message: m}
	var b bytes.Buffer
	b.Write(make([]byte, 4))
	if err := gob.NewEncoder(&b).Encode(f); err != nil {
		return nil, err
	}
	if b.Len()-4 > maxFrame {
		return nil, errors.New("peer: message too long")
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(b.Len()-4))
	return b.Bytes(), nil
}

// Decode reads one frame. An error that is errFrame concerns that frame alone;
// after any other the connection is of no more use.
func Decode(r io.Reader) (from string, m any, err error) {
	var n [4]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return "", nil, err
	}
	size := binary.BigEndian.Uint32(n[:])
	if size > maxFrame {
		return "", nil, fmt.Errorf("peer: frame of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return "", nil, err
	}
	var f frame
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&f); err != nil {
		return "", nil, fmt.Errorf("%w: %v", errFrame, err)
	}
	if f.Format != format {
		return "", nil, fmt.Errorf("%w: format %d", errFrame, f.Format)
	}
	known := reflect.TypeOf(f.Message)
	for _, m := range messages {
		if reflect.TypeOf(m.value) == known {
			return f.From, f.Message, nil
		}
	}
	return "", nil, fmt.Errorf("%w: message %T", errFrame, f.Message) // gob knows plain types too
}

var errFrame = errors.New("peer: unusable frame")

// Link connects a controller with its peers.
type Link struct {
	node    string
	log     *slog.Logger
	out     map[string]chan any
	dropped atomic.Uint64 // frames that could not be used
}

// New returns a link that keeps a connection to every peer.
func New(node string, addrs map[string]string, log *slog.Logger) *Link {
	l := &Link{node: node, log: log, out: map[string]chan any{}}
	for name, addr := range addrs {
		ch := make(chan any, queue)
		l.out[name] = ch
		go l.feed(addr, ch)
	}
	return l
}

// Send queues a message; it is dropped when the peer does not keep up.
func (l *Link) Send(to string, m any) {
	select {
	case l.out[to] <- m:
	default:
	}
}

// feed sends what is queued for one peer, over one connection after another.
// What waited while there was no connection is old news and is dropped.
func (l *Link) feed(addr string, ch chan any) {
	for {
		c, err := net.DialTimeout("tcp4", addr, dialTimeout)
		if err != nil {
			time.Sleep(dialTimeout / 4)
			continue
		}
		for len(ch) > 0 {
			<-ch
		}
		// The peer sends nothing on this connection, so a read ends only with it.
		// Without it a peer that has closed its end, as one does that stood still
		// past its read deadline, would go unheard of and no message reach it again.
		go func() {
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}()
		for m := range ch {
			b, err := Encode(l.node, m)
			if err != nil {
				l.log.Error("peer", "err", err)
				continue
			}
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			if _, err := c.Write(b); err != nil {
				break
			}
		}
		c.Close()
	}
}

// Serve hands the messages that arrive on a listener to hear.
func (l *Link) Serve(ln net.Listener, hear func(from string, m any)) {
	ln = netutil.LimitListener(ln, maxConns)
	for {
		c, err := ln.Accept()
		if err != nil {
			time.Sleep(dialTimeout / 4)
			continue
		}
		go func() {
			defer c.Close()
			for {
				_ = c.SetReadDeadline(time.Now().Add(readTimeout))
				from, m, err := Decode(c)
				switch {
				case err == nil:
					hear(from, m)
				case errors.Is(err, errFrame):
					if l.dropped.Add(1) == 1 {
						l.log.Error("peer", "err", err) // the first only: the rest are counted
					}
				default:
					return
				}
			}
		}()
	}
}
