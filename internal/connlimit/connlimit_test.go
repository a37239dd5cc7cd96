package connlimit

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// server starts an HTTP server behind a limited listener. Requests for /slow wait until the channel is closed.
func server(t *testing.T, limit int) (*Listener, chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited, release := New(l, limit), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	})}
	limited.Track(s, func(r *http.Request) Kind {
		if strings.HasPrefix(r.URL.Path, "/machine") {
			return Machine
		}
		return User
	})
	go func() { _ = s.Serve(limited) }()
	t.Cleanup(func() { _ = s.Close() })
	return limited, release
}

// client is a connection to the server.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, listener *Listener) *client {
	t.Helper()
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(path string) { _, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// get returns the response's status, 0 if the connection was closed.
func (c *client) get(path string) int {
	c.send(path)
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close() // only the status is needed
	return r.StatusCode
}

// waitUntil waits until a condition holds for the listener's connections: the server's goroutines report their
// state with a delay.
func waitUntil(listener *Listener, ok func(*connections) bool) {
	for done := false; !done; runtime.Gosched() {
		listener.do(func(conns *connections) { done = ok(conns) })
	}
}

// TestUsersLeaveSocketsToMachines lets users open as many connections as they can: idle ones, busy ones, and some
// that never send a request. Every machine must still be able to connect and stay connected. Users beyond
// their part must get a 503 at once, and closed connections must not be counted.
func TestUsersLeaveSocketsToMachines(t *testing.T) {
	const limit = 12
	listener, release := server(t, limit)
	for range limit { // connections without a request
		dial(t, listener)
	}
	waitUntil(listener, func(conns *connections) bool { return conns.open[Unidentified] == limit })
	for range 5 { // the first replaces a connection without a request, each other one the previous, which is idle by then
		if code := dial(t, listener).get("/user"); code != 200 {
			t.Fatalf("user while there are idle connections: status %d", code)
		}
		waitUntil(listener, func(conns *connections) bool { return conns.open[User] == 1 && conns.idle[User].Len() == 1 })
	}
	var busy []*client
	for range limit / userFraction {
		c := dial(t, listener)
		c.send("/slow")
		busy = append(busy, c)
	}
	waitUntil(listener, func(conns *connections) bool {
		return conns.open[User] == limit/userFraction && conns.idle[User].Len() == 0
	})
	if code := dial(t, listener).get("/user"); code != http.StatusServiceUnavailable {
		t.Fatalf("user beyond the users' part: status %d", code)
	}
	var machines []*client
	for range limit - limit/userFraction {
		c := dial(t, listener)
		if code := c.get("/machine"); code != 200 {
			t.Fatalf("machine %d: status %d", len(machines), code)
		}
		machines = append(machines, c)
	}
	if code := dial(t, listener).get("/machine"); code != 0 {
		t.Fatalf("machine beyond the last socket: status %d", code)
	}
	for i, c := range machines {
		if code := c.get("/machine"); code != 200 {
			t.Fatalf("machine %d, second request: status %d", i, code)
		}
	}
	close(release)
	for i, c := range busy {
		if r, err := http.ReadResponse(c.in, nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("busy user %d: %v", i, err)
		}
	}
	for _, c := range append(machines, busy...) {
		_ = c.Close()
	}
	waitUntil(listener, func(conns *connections) bool { return conns.total() == 0 })
	r := prometheus.NewRegistry()
	r.MustRegister(listener)
	if all, err := r.Gather(); err != nil || len(all) != 2 || len(all[0].Metric) != int(numKinds) || all[1].Metric[numKinds-1].Counter.GetValue() == 0 { // the kinds are sorted by name, so users are last
		t.Fatalf("metrics %v, %v", all, err)
	}
}
