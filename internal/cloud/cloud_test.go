package cloud

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/store"
)

// TestNothingSentWithoutAuthority has authority end before a request for machines and a
// return are sent, as when a process stood still between deciding and sending.
func TestNothingSentWithoutAuthority(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_, _ = w.Write([]byte(`{}`)) // a client that ended shows in its outcome
	}))
	defer server.Close()
	client := New(strings.TrimPrefix(server.URL, "http://"), 100, slog.New(slog.DiscardHandler))
	never := func() bool { return false }
	if outcome, _ := client.ScaleOut(t.Context(), "r-1", autoscaler.Increase{Count: 1}, never); outcome != store.Refused {
		t.Errorf("scale out: outcome %v", outcome)
	}
	if outcome := client.ScaleIn(t.Context(), []string{"n-1"}, never); outcome != store.Refused || calls != 0 {
		t.Errorf("scale in: outcome %v, %d calls", outcome, calls)
	}
	if outcome := client.ScaleIn(t.Context(), []string{"n-1"}, always); outcome != store.OK || calls != 1 {
		t.Errorf("with authority: outcome %v, %d calls", outcome, calls)
	}
}
