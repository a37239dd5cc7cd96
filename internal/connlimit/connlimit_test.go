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

// server answers behind a limited listener; requests for /slow wait until they are let go.
func server(t *testing.T, limit int) (*Listener, chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited, letGo := New(l, limit), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-letGo
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
	return limited, letGo
}

// client is one connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, g *Listener) *client {
	t.Helper()
	c, err := net.Dial("tcp4", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(path string) { _, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// get returns the answer's status, 0 where the connection is closed.
func (c *client) get(path string) int {
	c.send(path)
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_ = r.Body.Close() // the status is all that counts
	return r.StatusCode
}

// until waits for what the server's goroutines are about to tell the listener.
func until(g *Listener, ok func(*connections) bool) {
	for done := false; !done; runtime.Gosched() {
		g.do(func(conns *connections) { done = ok(conns) })
	}
}

// TestMachinesKeepTheirSockets has users take all sockets that they can, idle and busy
// ones and some that never ask for anything. Every machine still gets in and stays, users
// beyond their part are told at once to come back, and nothing is counted that is gone.
func TestMachinesKeepTheirSockets(t *testing.T) {
	const limit = 12
	listener, letGo := server(t, limit)
	for range limit { // they connect and say nothing
		dial(t, listener)
	}
	until(listener, func(conns *connections) bool { return conns.open[Unidentified] == limit })
	for range 5 { // the first takes the place of one that has asked for nothing, each other that of the last, which is idle by then
		if code := dial(t, listener).get("/user"); code != 200 {
			t.Fatalf("a user beside idle connections: %d", code)
		}
		until(listener, func(conns *connections) bool { return conns.open[User] == 1 && conns.idle[User].Len() == 1 })
	}
	var busy []*client
	for range limit / userFraction {
		c := dial(t, listener)
		c.send("/slow")
		busy = append(busy, c)
	}
	until(listener, func(conns *connections) bool {
		return conns.open[User] == limit/userFraction && conns.idle[User].Len() == 0
	})
	if code := dial(t, listener).get("/user"); code != http.StatusServiceUnavailable {
		t.Fatalf("a user beyond the users' part: %d", code)
	}
	var machines []*client
	for range limit - limit/userFraction {
		c := dial(t, listener)
		if code := c.get("/machine"); code != 200 {
			t.Fatalf("machine %d: %d", len(machines), code)
		}
		machines = append(machines, c)
	}
	if code := dial(t, listener).get("/machine"); code != 0 {
		t.Fatalf("beyond the last socket: %d", code)
	}
	for i, c := range machines {
		if code := c.get("/machine"); code != 200 {
			t.Fatalf("machine %d later: %d", i, code)
		}
	}
	close(letGo)
	for i, c := range busy {
		if r, err := http.ReadResponse(c.in, nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("busy user %d: %v", i, err)
		}
	}
	for _, c := range append(machines, busy...) {
		_ = c.Close()
	}
	until(listener, func(conns *connections) bool { return conns.total() == 0 })
	r := prometheus.NewRegistry()
	r.MustRegister(listener)
	if all, err := r.Gather(); err != nil || len(all) != 2 || len(all[0].Metric) != int(kinds) || all[1].Metric[kinds-1].Counter.GetValue() == 0 { // users are the last by name
		t.Fatalf("figures %v, %v", all, err)
	}
}
