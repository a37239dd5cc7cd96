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

// TestNothingSentWithoutAuthority guards against scaling by a controller that has lost its authority. Authority
// ends before the requests are sent, as when the process is suspended between the decision and the request.
func TestNothingSentWithoutAuthority(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_, _ = w.Write([]byte(`{}`)) // a client that disconnected fails the check of its outcome
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
