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

// TestFullShardHeartbeatsAreQueued guards against a heartbeat queue that is too short. Every machine of a full
// shard sends a heartbeat, and users send as many cancellations as their queue can hold, before the core handles
// anything. All must fit and be answered, and one more must be rejected at once with a retry time.
func TestFullShardHeartbeatsAreQueued(t *testing.T) {
	if fleet.FullShardMachines < 4096 {
		t.Errorf("a full shard has %d machines", fleet.FullShardMachines)
	}
	n := New(core.New(core.Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50}), nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	ctx := context.Background()
	users, cancelUsers := context.WithCancel(ctx)
	defer cancelUsers()
	codes := map[int]int{}
	var lock sync.Mutex
	var all sync.WaitGroup
	request := func(f func() core.Reply) {
		all.Go(func() {
			r := f()
			lock.Lock()
			defer lock.Unlock()
			codes[r.Code]++
		})
	}
	for i := range fleet.FullShardMachines {
		request(func() core.Reply {
			return n.Heartbeat(ctx, &fleet.Heartbeat{Machine: fmt.Sprintf("n-%05d", i), Incarnation: 1, Seq: 1})
		})
	}
	for i := range userQueueLength {
		request(func() core.Reply { return n.Cancel(users, fmt.Sprintf("wk-%06d", i)) })
	}
	for began := time.Now(); len(n.heartbeats) < heartbeatQueueLength; time.Sleep(time.Millisecond) {
		if time.Since(began) > requestTimeout/2 {
			t.Fatalf("%d of %d requests are queued", len(n.heartbeats), heartbeatQueueLength)
		}
	}
	if r := n.Heartbeat(ctx, &fleet.Heartbeat{Machine: "one-more"}); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Errorf("reply to a request beyond the queue: %+v", r)
	}
	for m := n.queuedMessage(); m != nil; m = n.queuedMessage() {
		m(n.core, n.now())
		for _, e := range n.core.Drain() {
			if r, ok := e.(core.Reply); ok {
				n.execute(ctx, r)
			}
		}
	}
	cancelUsers() // the cancellations wait for a read of the state service, which this test does not answer
	all.Wait()
	// This controller owns no shard, so it redirects every machine.
	if codes[http.StatusMisdirectedRequest] != fleet.FullShardMachines || codes[http.StatusServiceUnavailable] != userQueueLength {
		t.Errorf("replies by status code: %v", codes)
	}
}

// TestFullShardSnapshotIsQueued guards against a control queue that is too short. The snapshot of a full shard
// arrives, one part per machine, while the core handles nothing. Every part must fit together with other messages,
// and further messages must be dropped without blocking.
func TestFullShardSnapshotIsQueued(t *testing.T) {
	n := New(nil, nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	for range fleet.FullShardMachines {
		n.Receive("peer", core.SnapshotMessage{Machines: make([]core.MachineSnapshot, 1)})
	}
	if len(n.control) != fleet.FullShardMachines {
		t.Fatalf("%d of %d parts are queued", len(n.control), fleet.FullShardMachines)
	}
	for len(n.control) < controlQueueLength {
		n.Receive("peer", core.PeerStatus{})
	}
	n.Receive("peer", core.PeerStatus{}) // would block forever if it were not dropped
	if len(n.control) != controlQueueLength || controlQueueLength <= fleet.FullShardMachines {
		t.Errorf("%d messages are queued", len(n.control))
	}
}
