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

// Reasons of a refusal are told apart: a transaction that is too large must not be
// sent again as it is, one whose lease has ended is an ordinary failure, and a 429
// brings the rates of later.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		code int
		body string
		want store.Outcome
		rate rate.Limit
	}{
		{http.StatusOK, `{"ledger_rev":3}`, store.OK, 100},
		{http.StatusConflict, `{"failed":["a"],"ledger_rev":3}`, store.Failed, 100},
		{http.StatusBadRequest, `{"error":"no such lease"}`, store.Failed, 100},
		{http.StatusBadRequest, `{"error":"value too large"}`, store.TooLarge, 100},
		{http.StatusBadRequest, `{}`, store.TooLarge, 100},
		{http.StatusRequestEntityTooLarge, `{}`, store.TooLarge, 100},
		{http.StatusServiceUnavailable, `{"error":"trouble"}`, store.Refused, 100},
		{http.StatusTooManyRequests, `{}`, store.Limited, 40},
		{http.StatusInternalServerError, `nothing`, store.Unknown, 100},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.code)
			_, _ = w.Write([]byte(c.body))
		}))
		cl := New(strings.TrimPrefix(srv.URL, "http://"), 100, 40, slog.New(slog.DiscardHandler))
		if o, _, _ := cl.Commit(&store.Txn{}); o != c.want || cl.limit.Limit() != c.rate {
			t.Errorf("%d %s: %v at %v a second, want %v at %v", c.code, c.body, o, cl.limit.Limit(), c.want, c.rate)
		}
		srv.Close()
	}
}
