package httpjson

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestDo tells an answer that is not JSON from one that another program on the way has given,
// and from none.
func TestDo(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   string
		err    error
	}{
		{"an answer", http.StatusOK, `{"Text":"yes"}`, "yes", nil},
		{"a refusal", http.StatusConflict, `{"Text":"no"}`, "no", nil},
		{"an empty answer", http.StatusOK, ``, "", nil},
		{"not JSON", http.StatusOK, `nothing`, "", ErrInvalidResponse},
		{"not JSON, from something on the way", http.StatusBadGateway, `<html>`, "", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Content-Type") != "application/json" {
					t.Errorf("Content-Type %q", r.Header.Get("Content-Type"))
				}
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body)) // the client checks what it gets
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
		t.Errorf("no answer: %d, %v", status, err)
	}
}
