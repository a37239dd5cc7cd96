package peer

import (
	"bytes"
	"fmt"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/zones"
)

// TestFullShardSnapshotIsNotDropped guards against a send queue that is too short for the snapshot of a full
// shard. The snapshot is sent at once, with one part per machine as when each runs hundreds of tasks. A queue of
// 128 messages lost all later parts when the link was slower than the sender.
func TestFullShardSnapshotIsNotDropped(t *testing.T) {
	listener := listen(t)
	received := make(chan any, 2*fleet.FullShardMachines)
	l := New("me", map[string]string{"other": listener.Addr().String()}, slog.New(slog.DiscardHandler))
	go func() { _ = l.Serve(t.Context(), listener, func(_ string, m any) { received <- m }) }()
	go l.Run(t.Context())
	for connected := false; !connected; {
		l.Send("other", core.PeerStatus{})
		select {
		case <-received:
			connected = true
		case <-time.After(time.Millisecond):
		}
	}
	for i := range fleet.FullShardMachines {
		l.Send("other", core.SnapshotMessage{Token: 1, Machines: []core.MachineSnapshot{{Name: fmt.Sprintf("n-%05d", i)}}})
	}
	for i := 0; i < fleet.FullShardMachines; {
		select {
		case m := <-received:
			if p, ok := m.(core.SnapshotMessage); ok {
				if want := fmt.Sprintf("n-%05d", i); p.Machines[0].Name != want {
					t.Fatalf("received %s, want %s", p.Machines[0].Name, want)
				}
				i++
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("received %d of %d parts", i, fleet.FullShardMachines)
		}
	}
}

// TestFullQueueDropsMessages checks that Send drops messages without blocking when the queue of a peer is full,
// and that queued messages are dropped while the peer cannot be reached.
func TestFullQueueDropsMessages(t *testing.T) {
	l := &Link{node: "me", log: slog.New(slog.DiscardHandler), queues: map[string]chan any{"other": make(chan any, queueLength)}}
	for range queueLength + 1 {
		l.Send("other", core.PeerStatus{})
	}
	if n := len(l.queues["other"]); n != queueLength || queueLength < fleet.FullShardMachines {
		t.Errorf("%d messages are queued", n)
	}
	listener := listen(t)
	_ = listener.Close() // connections to this address now fail
	go l.sendTo(t.Context(), listener.Addr().String(), l.queues["other"])
	for began := time.Now(); len(l.queues["other"]) > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d messages are still queued without a connection", len(l.queues["other"]))
		}
	}
}

// TestLargestMessagesFitFrame guards against messages beyond maxFrame, which could not be sent. It builds the
// largest messages that a full shard or teams with the longest names can produce and checks that each is decoded
// as it was sent.
func TestLargestMessagesFitFrame(t *testing.T) {
	machine := func(name string, tasks int) core.MachineSnapshot {
		m := core.MachineSnapshot{Name: "n-" + strings.Repeat("9", 20) + name, Addr: "100.100.100.100:10000", Session: 1<<64 - 1, Seq: 1<<64 - 1}
		for k := range tasks {
			m.Tasks = append(m.Tasks, fleet.Task{ID: jobs.TaskID{Job: "wk-" + strings.Repeat("9", 18), Task: jobs.MaxTasks - 1 - k}, Attempt: 1<<64 - 1, State: fleet.Saving})
		}
		return m
	}
	// A message is closed only once it is full, so a machine with the maximum number of tasks can still be added
	// to a message that is almost full.
	starts := core.ReplicationMessage{Block: 1, Token: 1<<64 - 1, Run: 1<<64 - 1, N: 1<<64 - 1, Whole: true}
	for i := range replication.MessageSize / 5 { // with one task each
		starts.Machines = append(starts.Machines, machine(fmt.Sprint(i), 1))
	}
	starts.Machines[0] = machine("0", 0) // leaves the message one item short of full
	starts.Machines = append(starts.Machines, machine("all", fleet.MaxReportedTasks))
	snapshot := core.SnapshotMessage{Token: 1<<64 - 1, Machines: []core.MachineSnapshot{machine("all", fleet.MaxReportedTasks)}}
	status := core.PeerStatus{StateAge: 1 << 62, Seat: 1<<64 - 1, Sent: 1 << 62, Release: 8, Back: 1 << 62, Known: 1<<64 - 1, Config: 1<<64 - 1, ConfigKnown: 1<<64 - 1}
	for i := range 30 {
		status.Zones = append(status.Zones, zones.Status{Zone: fmt.Sprintf("%064d", i), State: 3, For: 1 << 62, Times: 100})
	}
	// As many shards as there can be controllers, one of them with the longest list of teams above their share.
	for k := range peering.MaxPeers + 1 {
		status.Blocks = append(status.Blocks, core.ShardStatus{Block: k, Share: 1<<64 - 1, Use: 1.0 / 3})
	}
	for k := range peering.MaxPeers + 1 {
		status.Redirected = append(status.Redirected, peering.ShardRedirect{Block: k, Ago: 1 << 62})
	}
	for remaining := core.MaxOverQuotaBytes; remaining >= configuration.MaxNameBytes+4; remaining -= configuration.MaxNameBytes + 4 {
		status.Blocks[0].Over = append(status.Blocks[0].Over, fmt.Sprintf("%0*d", configuration.MaxNameBytes, remaining))
	}
	if n := len(status.Blocks[0].Over); n < 340 {
		t.Errorf("a status lists %d teams, want at least 340", n)
	}
	for _, m := range []any{starts, snapshot, status} {
		b, err := Encode("me", m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		t.Logf("%T: %d of %d bytes", m, len(b), maxFrame)
		if _, got, err := Decode(bytes.NewReader(b)); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%T is not decoded as it was sent, error %v", m, err)
		}
	}
}
