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

// TestOrder fills all queues of the inbox. What keeps a controller's authority is handled
// before workers, and workers before users, however many wait.
func TestOrder(t *testing.T) {
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
	<-n.control // the peer's message needs a core; that it comes first is enough
	for m := n.waitingMessage(); m != nil; m = n.waitingMessage() {
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

// TestCancelledRequests shows that a poll whose user has given up by the time its turn comes
// costs nothing and leaves nothing behind, and that a full inbox answers at once.
func TestCancelledRequests(t *testing.T) {
	n := New(nil, nil, nil, nil, nil, slog.New(slog.DiscardHandler))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range userQueueLength {
		n.Query(cancelled, "wk-000001")
	}
	if r := n.Query(context.Background(), "wk-000001"); r.Code != http.StatusServiceUnavailable || r.RetryAfter == 0 {
		t.Fatalf("a full inbox answers %+v", r)
	}
	handled := 0
	for m := n.waitingMessage(); m != nil; m = n.waitingMessage() {
		m(nil, 0) // would panic without a core
		handled++
	}
	if handled != userQueueLength || len(n.waiting) != 0 {
		t.Fatalf("%d handled, %d wait", handled, len(n.waiting))
	}
}

// TestAbandonedCommit gives up waiting for a transaction's answer: its connection is free
// long before the request's timeout, the core is told once, and nothing is left behind.
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
		t.Errorf("waited for %v", took)
	}
	m(core.New(core.Config{Node: "a", Size: 1, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50}), 0)
	n.execute(t.Context(), core.Abandon{Txn: txn}) // too late: nobody waits any more
	if len(n.commits) != 0 || len(n.control) != 0 {
		t.Errorf("%d transactions wait, %d messages", len(n.commits), len(n.control))
	}
}
