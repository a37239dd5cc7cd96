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

// TestNothingSentWithoutAuthority has authority end before a rental and a return
// are sent, as when a process stood still between deciding and sending.
func TestNothingSentWithoutAuthority(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_, _ = w.Write([]byte(`{}`))
	}))
	defer s.Close()
	c := New(strings.TrimPrefix(s.URL, "http://"), 100, slog.New(slog.DiscardHandler))
	never := func() bool { return false }
	if o, _ := c.Rent("r-1", autoscaler.Rent{Count: 1}, never); o != store.Refused {
		t.Errorf("rental: outcome %v", o)
	}
	if o := c.Return([]string{"n-1"}, never); o != store.Refused || calls != 0 {
		t.Errorf("return: outcome %v, %d calls", o, calls)
	}
	if o := c.Return([]string{"n-1"}, always); o != store.OK || calls != 1 {
		t.Errorf("with authority: outcome %v, %d calls", o, calls)
	}
}
