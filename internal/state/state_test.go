package state

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core/store"
)

// TestCommitOutcomes checks the outcome for each kind of response. A transaction that is too large must not be
// retried unchanged, an expired lease is an ordinary failure, and a 429 response switches the client to its
// reduced rate.
func TestCommitOutcomes(t *testing.T) {
	for _, test := range []struct {
		name string
		code int
		body string
		want store.Outcome
		rate rate.Limit
	}{
		{"committed", http.StatusOK, `{"ledger_rev":3}`, store.OK, 100},
		{"a guard does not hold", http.StatusConflict, `{"failed":["a"],"ledger_rev":3}`, store.Failed, 100},
		{"lease expired", http.StatusBadRequest, `{"error":"no such lease"}`, store.Failed, 100},
		{"value too large", http.StatusBadRequest, `{"error":"value too large"}`, store.TooLarge, 100},
		{"bad request without a reason", http.StatusBadRequest, `{}`, store.TooLarge, 100},
		{"body too large", http.StatusRequestEntityTooLarge, `{}`, store.TooLarge, 100},
		{"out of order", http.StatusServiceUnavailable, `{"error":"trouble"}`, store.Refused, 100},
		{"too many requests", http.StatusTooManyRequests, `{}`, store.RateLimited, 40},
		{"not the service's own answer", http.StatusInternalServerError, `nothing`, store.Unknown, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.code)
				_, _ = w.Write([]byte(test.body)) // a client that disconnected fails the check of its outcome
			}))
			defer server.Close()
			client := New(strings.TrimPrefix(server.URL, "http://"), 100, 40, slog.New(slog.DiscardHandler))
			if outcome, _, _ := client.Commit(t.Context(), &store.Txn{}); outcome != test.want || client.limiter.Limit() != test.rate {
				t.Errorf("outcome %v at %v requests per second, want %v at %v", outcome, client.limiter.Limit(), test.want, test.rate)
			}
		})
	}
}
