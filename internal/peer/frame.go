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
	// format is raised whenever messages change in a way that an older
	// controller would misread; frames of another format are dropped.
	format = 3
	// maxFrame bounds a frame, in bytes without its length.
	maxFrame = 64 << 10
	// lengthSize is the size of a frame's length: big-endian, without itself.
	lengthSize = 4
)

// frame is what one frame holds. Message is of one of the registered types.
type frame struct {
	Format  int
	From    string
	Message any
}

// messages are all that controllers send each other, with the names under which gob sends
// their types. A name never changes, whatever the type is called here: controllers of older
// releases know it.
var messages = []struct {
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
	for _, m := range messages {
		gob.RegisterName(m.name, m.value)
	}
}

// errUnusableFrame is wrapped by errors that concern one frame alone.
var errUnusableFrame = errors.New("peer: unusable frame")

// errTooLong is wrapped by errors about a frame of more than maxFrame bytes.
var errTooLong = errors.New("peer: frame too long")

// Encode returns a message of a node as one frame.
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

// Decode reads one frame. After an error that wraps errUnusableFrame the next frame can be
// read; after any other the connection is of no more use. At the end of the connection the
// error is io.EOF.
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
	for _, m := range messages {
		if reflect.TypeOf(m.value) == messageType {
			return received.From, received.Message, nil
		}
	}
	return "", nil, fmt.Errorf("%w: message %T", errUnusableFrame, received.Message) // gob knows plain types too
}
