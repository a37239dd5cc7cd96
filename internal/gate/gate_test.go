package gate

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

// server answers behind a gate; requests for /slow wait until they are let go.
func server(t *testing.T, most int) (*Gate, chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g, letGo := New(l, most), make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-letGo
		}
	})}
	g.Protect(s, func(r *http.Request) Kind {
		if strings.HasPrefix(r.URL.Path, "/machine") {
			return Machine
		}
		return User
	})
	go func() { _ = s.Serve(g) }()
	t.Cleanup(func() { _ = s.Close() })
	return g, letGo
}

// client is one connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, g *Gate) *client {
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
	_ = r.Body.Close()
	return r.StatusCode
}

// until waits for what the server's goroutines are about to tell the gate.
func until(g *Gate, ok func(*book) bool) {
	for done := false; !done; runtime.Gosched() {
		g.ask(func(b *book) { done = ok(b) })
	}
}

// TestMachinesKeepTheirSockets has users take all sockets that they can, quiet and busy
// ones and some that never ask for anything. Every machine still gets in and stays, users
// beyond their part are told at once to come back, and nothing is counted that is gone.
func TestMachinesKeepTheirSockets(t *testing.T) {
	const most = 12
	g, letGo := server(t, most)
	for range most { // they connect and say nothing
		dial(t, g)
	}
	until(g, func(b *book) bool { return b.open[Fresh] == most })
	for range 5 { // the first takes a silent one's place, each other that of the last, which is quiet by then
		if code := dial(t, g).get("/user"); code != 200 {
			t.Fatalf("a user beside silent connections: %d", code)
		}
		until(g, func(b *book) bool { return b.open[User] == 1 && b.quiet[User].Len() == 1 })
	}
	var busy []*client
	for range most / usersPart {
		c := dial(t, g)
		c.send("/slow")
		busy = append(busy, c)
	}
	until(g, func(b *book) bool { return b.open[User] == most/usersPart && b.quiet[User].Len() == 0 })
	if code := dial(t, g).get("/user"); code != http.StatusServiceUnavailable {
		t.Fatalf("a user beyond the users' part: %d", code)
	}
	var machines []*client
	for range most - most/usersPart {
		c := dial(t, g)
		if code := c.get("/machine"); code != 200 {
			t.Fatalf("machine %d: %d", len(machines), code)
		}
		machines = append(machines, c)
	}
	if code := dial(t, g).get("/machine"); code != 0 {
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
	until(g, func(b *book) bool { return b.all() == 0 })
	r := prometheus.NewRegistry()
	r.MustRegister(g)
	if all, err := r.Gather(); err != nil || len(all) != 2 || len(all[0].Metric) != int(kinds) || all[1].Metric[kinds-1].Counter.GetValue() == 0 { // users are the last by name
		t.Fatalf("figures %v, %v", all, err)
	}
}
