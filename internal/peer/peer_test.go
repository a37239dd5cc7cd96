package peer

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"reflect"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// TestRoundTrip checks that messages with random fields are decoded as they were sent, and that frames can be
// read one after another from the same connection.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ask := core.ForwardedRequest{ID: rapid.Uint64().Draw(t, "id"), Kind: core.RequestSubmit, Job: "wk-000001",
			Spec: &jobs.Spec{Class: rapid.String().Draw(t, "class"), Tasks: rapid.Int().Draw(t, "tasks")}}
		status := core.PeerStatus{StateAge: units.Microseconds(rapid.Int64().Draw(t, "age")), Seat: rapid.Uint64().Draw(t, "seat"),
			Blocks: []core.ShardStatus{{Block: 1, Share: 2, Use: rapid.Float64().Draw(t, "use")}}}
		var b bytes.Buffer
		for _, m := range []any{ask, status} {
			f, err := Encode("me", m)
			if err != nil {
				t.Fatal(err)
			}
			b.Write(f)
		}
		from, m, err := Decode(&b)
		got, ok := m.(core.ForwardedRequest)
		if err != nil || from != "me" || !ok || got.ID != ask.ID || got.Spec.Class != ask.Spec.Class || got.Spec.Tasks != ask.Spec.Tasks {
			t.Fatalf("%q %+v %v", from, m, err)
		}
		if _, m, err = Decode(&b); err != nil || !reflect.DeepEqual(m, status) {
			t.Fatalf("%+v %v", m, err)
		}
	})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// TestEveryMessageTypeRoundTrips checks that every registered message type is decoded as it was sent, and that
// the largest part of a snapshot fits into a frame.
func TestEveryMessageTypeRoundTrips(t *testing.T) {
	snapshot := core.SnapshotMessage{Block: 1, Token: 1 << 60}
	for n := 0; len(snapshot.Machines) < core.SnapshotMessageSize/8; n++ {
		m := core.MachineSnapshot{Name: fmt.Sprintf("n-%020d", n), Addr: "100.100.100.100:10000", Session: 1 << 60, Seq: 1 << 60}
		for k := range 8 {
			m.Tasks = append(m.Tasks, fleet.Task{ID: jobs.TaskID{Job: fmt.Sprintf("wk-%040d", n), Task: 90_000 + k}, Attempt: 1 << 62, State: fleet.Running})
		}
		snapshot.Machines = append(snapshot.Machines, m)
	}
	done := core.SnapshotMessage{Done: []core.FinishedTasks{{Job: "wk-1", Tasks: []int{0, 99_999}}}}
	all := []any{snapshot, done}
	for _, m := range messageTypes {
		all = append(all, m.value)
	}
	for _, m := range all {
		b, err := Encode("me", m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		if from, got, err := Decode(bytes.NewReader(b)); err != nil || from != "me" || !reflect.DeepEqual(got, m) {
			t.Errorf("%T decoded as %+v, error %v", m, got, err)
		}
	}
}

// FuzzDecode checks that arbitrary bytes yield either a message or an error, without a panic. A length prefix
// beyond maxFrame must be rejected before memory is allocated for it.
func FuzzDecode(f *testing.F) {
	good, err := Encode("n", core.PeerStatus{StateAge: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)-3])
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, m, err := Decode(bytes.NewReader(b))
		if (m == nil) == (err == nil) {
			t.Fatalf("got message %v and error %v, want exactly one", m, err)
		}
	})
}

// TestReconnectAfterPeerCloses guards against a link that keeps writing to a connection whose other end is
// closed, as happens after the peer was suspended past its read deadline. The peer would receive nothing more:
// takeover votes would be lost, and the shards of a suspended controller would not fail over until it resumes.
func TestReconnectAfterPeerCloses(t *testing.T) {
	listener := listen(t)
	link := New("me", map[string]string{"other": listener.Addr().String()}, slog.New(slog.DiscardHandler))
	go link.Run(t.Context())
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(first)
	if err := first.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, first) }() // keeps accepting what the link writes
	received := make(chan any, 1)
	go func() { _ = link.Serve(t.Context(), listener, func(_ string, m any) { received <- m }) }()
	for {
		link.Send("other", core.PeerStatus{Seat: 7})
		select {
		case m := <-received:
			if s, ok := m.(core.PeerStatus); !ok || s.Seat != 7 {
				t.Fatalf("received %+v", m)
			}
			return
		default:
			runtime.Gosched()
		}
	}
}
