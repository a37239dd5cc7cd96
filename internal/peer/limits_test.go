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

// TestSnapshotOfAFullShardArrives sends a snapshot of a full shard at one go, a part for each
// machine, as it is where each runs hundreds of tasks. It used to lose all but the first 128
// parts where the link did not keep up.
func TestSnapshotOfAFullShardArrives(t *testing.T) {
	listener := listen(t)
	heard := make(chan any, 2*fleet.FullShardMachines)
	l := New("me", map[string]string{"other": listener.Addr().String()}, slog.New(slog.DiscardHandler))
	go func() { _ = l.Serve(t.Context(), listener, func(_ string, m any) { heard <- m }) }()
	go l.Run(t.Context())
	for connected := false; !connected; {
		l.Send("other", core.PeerStatus{})
		select {
		case <-heard:
			connected = true
		case <-time.After(time.Millisecond):
		}
	}
	for i := range fleet.FullShardMachines {
		l.Send("other", core.SnapshotMessage{Token: 1, Machines: []core.MachineSnapshot{{Name: fmt.Sprintf("n-%05d", i)}}})
	}
	for i := 0; i < fleet.FullShardMachines; {
		select {
		case m := <-heard:
			if p, ok := m.(core.SnapshotMessage); ok {
				if want := fmt.Sprintf("n-%05d", i); p.Machines[0].Name != want {
					t.Fatalf("%s comes where %s should", p.Machines[0].Name, want)
				}
				i++
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%d parts of %d have come", i, fleet.FullShardMachines)
		}
	}
}

// TestFullQueue fills the queue of a peer that takes nothing. One message beyond is dropped, and
// nobody waits; while there is no connection nothing is kept for later.
func TestFullQueue(t *testing.T) {
	l := &Link{node: "me", log: slog.New(slog.DiscardHandler), queues: map[string]chan any{"other": make(chan any, queueLength)}}
	for range queueLength + 1 {
		l.Send("other", core.PeerStatus{})
	}
	if n := len(l.queues["other"]); n != queueLength || queueLength < fleet.FullShardMachines {
		t.Errorf("%d messages wait", n)
	}
	listener := listen(t)
	_ = listener.Close() // nobody listens there
	go l.sendTo(t.Context(), listener.Addr().String(), l.queues["other"])
	for began := time.Now(); len(l.queues["other"]) > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d messages are kept without a connection", len(l.queues["other"]))
		}
	}
}

// TestLargestMessagesFitAFrame has the largest messages that a full shard, or teams with the
// longest names, can lead to. Each fits into a frame and comes as it was sent.
func TestLargestMessagesFitAFrame(t *testing.T) {
	machine := func(name string, tasks int) core.MachineSnapshot {
		m := core.MachineSnapshot{Name: "n-" + strings.Repeat("9", 20) + name, Addr: "100.100.100.100:10000", Session: 1<<64 - 1, Seq: 1<<64 - 1}
		for k := range tasks {
			m.Tasks = append(m.Tasks, fleet.Task{ID: jobs.TaskID{Job: "wk-" + strings.Repeat("9", 18), Task: jobs.MaxTasks - 1 - k}, Attempt: 1<<64 - 1, State: fleet.Saving})
		}
		return m
	}
	// A message is closed once it is full, so that one machine with all the tasks that a machine
	// lists may come on top of one that is nearly so.
	starts := core.ReplicationMessage{Block: 1, Token: 1<<64 - 1, Run: 1<<64 - 1, N: 1<<64 - 1, Whole: true}
	for i := range replication.MessageSize / 5 { // with a task each
		starts.Machines = append(starts.Machines, machine(fmt.Sprint(i), 1))
	}
	starts.Machines[0] = machine("0", 0) // one short of full
	starts.Machines = append(starts.Machines, machine("all", fleet.MaxReportedTasks))
	picture := core.SnapshotMessage{Token: 1<<64 - 1, Machines: []core.MachineSnapshot{machine("all", fleet.MaxReportedTasks)}}
	status := core.PeerStatus{StateAge: 1 << 62, Seat: 1<<64 - 1, Sent: 1 << 62, Release: 8, Back: 1 << 62, Known: 1<<64 - 1, Config: 1<<64 - 1, ConfigKnown: 1<<64 - 1}
	for i := range 30 {
		status.Zones = append(status.Zones, zones.Status{Zone: fmt.Sprintf("%064d", i), State: 3, For: 1 << 62, Times: 100})
	}
	// As many blocks as there can be controllers, one of which has the teams above their share.
	for k := range peering.MaxPeers + 1 {
		status.Blocks = append(status.Blocks, core.ShardStatus{Block: k, Share: 1<<64 - 1, Use: 1.0 / 3})
	}
	for room := core.MaxOverQuotaBytes; room >= configuration.MaxNameBytes+4; room -= configuration.MaxNameBytes + 4 {
		status.Blocks[0].Over = append(status.Blocks[0].Over, fmt.Sprintf("%0*d", configuration.MaxNameBytes, room))
	}
	if n := len(status.Blocks[0].Over); n < 340 {
		t.Errorf("a status names %d teams", n)
	}
	for _, m := range []any{starts, picture, status} {
		b, err := Encode("me", m)
		if err != nil {
			t.Fatalf("%T: %v", m, err)
		}
		t.Logf("%T: %d of %d bytes", m, len(b), maxFrame)
		if _, got, err := Decode(bytes.NewReader(b)); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%T comes otherwise, %v", m, err)
		}
	}
}
