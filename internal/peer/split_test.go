package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/core"
)

// TestSplitFramesAndRequests checks that frames and HTTP requests that arrive at the same address reach the
// right listener while other connections stall after two bytes or send slowly, and that both listeners end with
// the listener that was split.
func TestSplitFramesAndRequests(t *testing.T) {
	listener := listen(t)
	addr := listener.Addr().String()
	frames, requests := Split(listener)
	received := make(chan any, 1)
	served := make(chan error, 1)
	go func() {
		served <- (&Link{}).Serve(t.Context(), frames, func(_ string, m any) { received <- m })
	}()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)                                        // the client checks the response
		_, _ = w.Write(append([]byte(r.Method+" "+r.URL.Path+" "), b...)) // same here
	})}
	go func() { _ = server.Serve(requests) }()
	defer func() { _ = server.Close() }()
	for range 3 {
		stalled, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeConn(stalled)
		if _, err := stalled.Write([]byte("PO")); err != nil {
			t.Fatal(err)
		}
	}
	for _, method := range []string{"GET", "PUT", "POST"} {
		if responseBody := exchange(t, method, "http://"+addr+"/config", "body"); responseBody != method+" /config body" {
			t.Errorf("%s: %q", method, responseBody)
		}
	}
	sendSlowly(t, addr, core.PeerStatus{Config: 7})
	select {
	case m := <-received:
		if s, ok := m.(core.PeerStatus); !ok || s.Config != 7 {
			t.Errorf("%+v", m)
		}
	case <-time.After(10 * time.Second):
		t.Error("the frame was not received")
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if _, err := frames.Accept(); err == nil {
		t.Error("Accept succeeds after the split listener was closed")
	}
	select {
	case err := <-served:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("Serve returned %v, want net.ErrClosed", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("Serve did not return after the split listener was closed")
	}
}

// exchange sends an HTTP request and returns the body of the response.
func exchange(t *testing.T, method, url, body string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	responseBody, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		t.Fatal(err)
	}
	return string(responseBody)
}

// sendSlowly sends a frame in three writes over a connection that stays open until the test ends.
func sendSlowly(t *testing.T, addr string, message any) {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	encoded, err := Encode("me", message)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range [][]byte{encoded[:2], encoded[2:9], encoded[9:]} {
		if _, err := conn.Write(part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
