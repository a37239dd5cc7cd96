package httpjson

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestDo checks that a response that is not JSON is an error, except with a status of 500 or higher, when it may
// come from a proxy, and that no response is an error with status 0.
func TestDo(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   string
		err    error
	}{
		{"success", http.StatusOK, `{"Text":"yes"}`, "yes", nil},
		{"conflict", http.StatusConflict, `{"Text":"no"}`, "no", nil},
		{"empty body", http.StatusOK, ``, "", nil},
		{"not JSON", http.StatusOK, `nothing`, "", ErrInvalidResponse},
		{"not JSON, from a proxy", http.StatusBadGateway, `<html>`, "", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Content-Type") != "application/json" {
					t.Errorf("Content-Type %q", r.Header.Get("Content-Type"))
				}
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body)) // the client notices if this fails
			}))
			defer server.Close()
			var response struct{ Text string }
			status, err := Do(t.Context(), NewClient(1), http.MethodPost, server.URL, struct{}{}, &response)
			if status != test.status || response.Text != test.want || !errors.Is(err, test.err) {
				t.Errorf("%d %q, %v", status, response.Text, err)
			}
		})
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	if status, err := Do(t.Context(), NewOneShotClient(), http.MethodGet, closed.URL, nil, nil); status != 0 || err == nil {
		t.Errorf("no response: %d, %v", status, err)
	}
}
