package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"reflect"

	"shalestage.example/shalestage/internal/core"
)

const (
	// format is incremented when messages change in a way that older controllers would misinterpret. Frames of
	// any other format are dropped.
	format = 3
	// maxFrame is the maximum size of a frame in bytes, without its length prefix.
	maxFrame = 64 << 10
	// lengthSize is the size of the length prefix in bytes. The prefix is big-endian and does not count itself.
	lengthSize = 4
)

// frame is the content of one frame. Message has one of the types in messageTypes.
type frame struct {
	Format  int
	From    string
	Message any
}

// messageTypes lists the types of all messages between controllers with the names under which gob sends them.
// A name never changes, even if the Go type is renamed, because controllers of older releases expect it.
var messageTypes = []struct {
	name  string
	value any
}{
	{"shalestage.example/shalestage/internal/core.PeerStatus", core.PeerStatus{}},
	{"shalestage.example/shalestage/internal/core.PeerPromise", core.PeerLeaseGrant{}},
	{"shalestage.example/shalestage/internal/core.PeerPermitAsk", core.TakeoverVoteRequest{}},
	{"shalestage.example/shalestage/internal/core.PeerPermit", core.TakeoverVote{}},
	{"shalestage.example/shalestage/internal/core.PeerRelease", core.ReleaseRequest{}},
	{"shalestage.example/shalestage/internal/core.PeerAsk", core.ForwardedRequest{}},
	{"shalestage.example/shalestage/internal/core.PeerAnswer", core.ForwardedResponse{}},
	{"shalestage.example/shalestage/internal/core.PeerPicture", core.SnapshotMessage{}},
	{"shalestage.example/shalestage/internal/core/follow.Message", core.ReplicationMessage{}},
	{"shalestage.example/shalestage/internal/core/follow.Ack", core.ReplicationAck{}},
}

func init() {
	for _, m := range messageTypes {
		gob.RegisterName(m.name, m.value)
	}
}

// errUnusableFrame is wrapped by errors that affect a single frame; the following frames can still be read.
var errUnusableFrame = errors.New("peer: unusable frame")

// errTooLong is wrapped by errors about frames of more than maxFrame bytes.
var errTooLong = errors.New("peer: frame too long")

// Encode encodes a message from a controller as one frame, including the length prefix.
func Encode(from string, message any) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, lengthSize))
	if err := gob.NewEncoder(&buffer).Encode(frame{Format: format, From: from, Message: message}); err != nil {
		return nil, fmt.Errorf("peer: encoding %T: %w", message, err)
	}
	size := buffer.Len() - lengthSize
	if size > maxFrame {
		return nil, fmt.Errorf("%w: %T of %d bytes", errTooLong, message, size)
	}
	binary.BigEndian.PutUint32(buffer.Bytes(), uint32(size))
	return buffer.Bytes(), nil
}

// Decode reads one frame and returns the name of the sender and the message. After an error that wraps
// errUnusableFrame the next frame can be read; after any other error the connection is unusable. The error is
// io.EOF at the end of the connection.
func Decode(r io.Reader) (from string, message any, err error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return "", nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrame {
		return "", nil, fmt.Errorf("%w: %d bytes", errTooLong, size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return "", nil, fmt.Errorf("peer: reading a frame of %d bytes: %w", size, err)
	}
	var received frame
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&received); err != nil {
		return "", nil, fmt.Errorf("%w: %w", errUnusableFrame, err)
	}
	if received.Format != format {
		return "", nil, fmt.Errorf("%w: format %d", errUnusableFrame, received.Format)
	}
	messageType := reflect.TypeOf(received.Message)
	for _, m := range messageTypes {
		if reflect.TypeOf(m.value) == messageType {
			return received.From, received.Message, nil
		}
	}
	return "", nil, fmt.Errorf("%w: message %T", errUnusableFrame, received.Message) // gob also decodes basic types
}
