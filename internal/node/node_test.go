package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/state"
)

// TestInboxPriority guards against a controller that loses its authority under load. With all queues filled, the
// control queue must be handled before heartbeats, and heartbeats before requests of users.
func TestInboxPriority(t *testing.T) {
	n := New(nil, nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	var got []string
	put := func(queue chan message, name string) {
		queue <- func(*core.Core, units.Microseconds) { got = append(got, name) }
	}
	for range 3 {
		put(n.users, "user")
		put(n.heartbeats, "worker")
	}
	n.Receive("peer", core.PeerStatus{})
	n.enqueue(t.Context(), func(*core.Core, units.Microseconds) { got = append(got, "state") })
	<-n.control // drops the peer's message, which needs a core
	for m := n.queuedMessage(); m != nil; m = n.queuedMessage() {
		m(nil, 0)
	}
	want := []string{"state", "worker", "worker", "worker", "user", "user", "user"}
	if len(got) != len(want) {
		t.Fatalf("handled %v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("handled %v", got)
		}
	}
}

// TestCancelledRequestsAreSkipped checks that queries whose users have given up are skipped without calling the
// core and leave no pending replies, and that a request to a full inbox is rejected at once.
func TestCancelledRequestsAreSkipped(t *testing.T) {
	n := New(nil, nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range userQueueLength {
		n.Query(cancelled, "wk-000001")
	}
	if r := n.Query(context.Background(), "wk-000001"); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("reply of a full inbox: %+v", r)
	}
	handled := 0
	for m := n.queuedMessage(); m != nil; m = n.queuedMessage() {
		m(nil, 0) // would panic without a core
		handled++
	}
	if handled != userQueueLength || len(n.pendingReplies) != 0 {
		t.Fatalf("%d requests handled, %d replies pending", handled, len(n.pendingReplies))
	}
}

// TestAbandonedCommit abandons a transaction that the state service does not answer. The request must end long
// before its timeout to free the connection, and the core must receive exactly one outcome.
func TestAbandonedCommit(t *testing.T) {
	reached := make(chan bool, 1)
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reached <- true
		<-release
	}))
	defer unresponsive.Close()
	defer close(release)
	log := slog.New(slog.DiscardHandler)
	n := New(nil, state.New(strings.TrimPrefix(unresponsive.URL, "http://"), 100, 100, log), nil, nil, nil, log)
	txn := &store.Txn{Changes: []store.Change{{Key: "k", Value: []byte("1")}}}
	n.execute(t.Context(), core.Commit{Queue: core.UserQueue, Txn: txn})
	<-reached
	began := time.Now()
	n.execute(t.Context(), core.Abandon{Txn: txn})
	n.execute(t.Context(), core.Abandon{Txn: txn})
	m := <-n.control
	if took := time.Since(began); took > time.Second/2 {
		t.Errorf("the abandoned request took %v to end", took)
	}
	m(core.New(core.Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50}), 0)
	n.execute(t.Context(), core.Abandon{Txn: txn}) // has no effect after the outcome
	if len(n.pendingCommits) != 0 || len(n.control) != 0 {
		t.Errorf("%d transactions and %d messages left", len(n.pendingCommits), len(n.control))
	}
}
