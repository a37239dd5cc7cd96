package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
)

// TestHeartbeatsOfAFullShard has each machine of a full shard report before the core handles
// anything, with as many cancellations beside as users' requests may wait. All have room, one
// beyond is refused at once with a time to come back, and every one that waits is answered.
func TestHeartbeatsOfAFullShard(t *testing.T) {
	if fleet.FullShardMachines < 4096 {
		t.Errorf("a full shard has %d machines", fleet.FullShardMachines)
	}
	n := New(core.New(core.Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50}), nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	ctx := context.Background()
	users, leave := context.WithCancel(ctx)
	defer leave()
	codes := map[int]int{}
	var lock sync.Mutex
	var all sync.WaitGroup
	ask := func(f func() core.Reply) {
		all.Go(func() {
			r := f()
			lock.Lock()
			defer lock.Unlock()
			codes[r.Code]++
		})
	}
	for i := range fleet.FullShardMachines {
		ask(func() core.Reply {
			return n.Heartbeat(ctx, &fleet.Heartbeat{Machine: fmt.Sprintf("n-%05d", i), Incarnation: 1, Seq: 1})
		})
	}
	for i := range userQueueLength {
		ask(func() core.Reply { return n.Cancel(users, fmt.Sprintf("wk-%06d", i)) })
	}
	for began := time.Now(); len(n.heartbeats) < heartbeatQueueLength; time.Sleep(time.Millisecond) {
		if time.Since(began) > answerWithin/2 {
			t.Fatalf("%d of %d wait", len(n.heartbeats), heartbeatQueueLength)
		}
	}
	if r := n.Heartbeat(ctx, &fleet.Heartbeat{Machine: "one-more"}); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("one beyond is answered %+v", r)
	}
	for m := n.waitingMessage(); m != nil; m = n.waitingMessage() {
		m(n.core, n.now())
		for _, e := range n.core.Drain() {
			if r, ok := e.(core.Reply); ok {
				n.execute(ctx, r)
			}
		}
	}
	leave() // the cancellations wait for a read that never comes
	all.Wait()
	// This controller holds nothing: it sends every machine on.
	if codes[http.StatusMisdirectedRequest] != fleet.FullShardMachines || codes[http.StatusServiceUnavailable] != userQueueLength {
		t.Errorf("answers by code: %v", codes)
	}
}

// TestSnapshotOfAFullShardIsReceived has a snapshot of a full shard arrive, a part for each machine,
// while the core handles nothing: every part has room, with messages of others beside. What comes
// once the inbox is full is dropped at once, and nobody waits.
func TestSnapshotOfAFullShardIsReceived(t *testing.T) {
	n := New(nil, nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	for range fleet.FullShardMachines {
		n.Receive("peer", core.SnapshotMessage{Machines: make([]core.MachineSnapshot, 1)})
	}
	if len(n.control) != fleet.FullShardMachines {
		t.Fatalf("%d parts of %d wait", len(n.control), fleet.FullShardMachines)
	}
	for len(n.control) < controlQueueLength {
		n.Receive("peer", core.PeerStatus{})
	}
	n.Receive("peer", core.PeerStatus{}) // would wait for ever
	if len(n.control) != controlQueueLength || controlQueueLength <= fleet.FullShardMachines {
		t.Errorf("%d messages wait", len(n.control))
	}
}
