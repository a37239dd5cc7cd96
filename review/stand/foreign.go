package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// balancer stands in for the load balancer: for each new connection it chooses the healthy node with the fewest open
// user connections. A node that refuses is passed over. Each node is probed about once a second; it is unhealthy after
// two failures one after another, or three among the last six, and healthy again after two successes, once 3 s have
// passed.
type balancer struct {
	mu     sync.Mutex
	site   *Site
	open   map[*Node]int
	health map[*Node]*health
}

type health struct {
	bad   bool
	since time.Time
	last  []bool // outcomes of the last six probes
}

func newBalancer(s *Site) *balancer {
	b := &balancer{site: s, open: map[*Node]int{}, health: map[*Node]*health{}}
	for _, n := range s.Nodes {
		b.health[n] = &health{}
		go func() {
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			for range time.Tick(time.Second) {
				b.probed(n, s.Ready(n))
			}
		}()
	}
	return b
}

func (b *balancer) probed(n *Node, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[n]
	h.last = append(h.last, ok)
	h.last = h.last[max(0, len(h.last)-6):]
	failed := 0
	for _, o := range h.last {
		if !o {
			failed++
		}
	}
	end := h.last[max(0, len(h.last)-2):]
	switch {
	case !h.bad && (failed >= 3 || len(end) == 2 && !end[0] && !end[1]):
		h.bad, h.since = true, time.Now()
		b.site.Record.Printf("balancer %s is unhealthy", n.Name)
	case h.bad && len(end) == 2 && end[0] && end[1] && time.Since(h.since) > 3*time.Second:
		h.bad, h.last = false, nil
		b.site.Record.Printf("balancer %s is healthy again", n.Name)
	}
}

// connect returns the node that a new connection goes to.
func (b *balancer) connect() *Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	tried := map[*Node]bool{}
	for range b.site.Nodes {
		var best *Node
		for _, n := range b.site.Nodes {
			if !tried[n] && !b.health[n].bad && (best == nil || b.open[n] < b.open[best]) {
				best = n
			}
		}
		if best == nil {
			return nil
		}
		tried[best] = true
		if conn, err := net.DialTimeout("tcp4", best.Listen, 500*time.Millisecond); err == nil {
			_ = conn.Close()
			b.open[best]++
			return best
		}
	}
	return nil
}

func (b *balancer) disconnect(n *Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[n]--
}

// client is a user with a connection of its own, which lasts until it fails.
type client struct {
	site *Site
	lb   *balancer
	node *Node
	http *http.Client
}

func (c *client) ask(method, path string, body any, limit time.Duration) Answer {
	if c.node == nil {
		if c.node = c.lb.connect(); c.node == nil {
			return Answer{}
		}
		c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	}
	a := c.site.askBy(c.http, c.node, method, path, body, limit)
	if a.Code == 0 {
		c.http.CloseIdleConnections()
		c.lb.disconnect(c.node)
		c.node = nil
	}
	return a
}

// foreignAnswer submits many jobs at once while the state service refuses one controller alone, which then crashes.
func foreignAnswer(s *Site) error {
	const count = 549 // three times the 183 jobs that the site has at the start
	lb := newBalancer(s)
	refused := s.Nodes[len(s.Nodes)-1]
	if s.Trouble {
		s.Record.Printf("trouble  the state service refuses %s", refused.Name)
		s.State.Refuse(refused.Name, true)
	}
	time.Sleep(1500 * time.Millisecond)
	var users sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	end := time.Now().Add(40 * time.Second)
	for i := range count {
		job := &Job{ID: fmt.Sprintf("wk-%06d", i+1), Tasks: 1, Cores: 4, MemoryGB: 16, Image: "img-1", ImageGB: 0.1, Run: 2 * time.Second, Team: "equipo-costa"}
		s.Fleet.Upload(job)
		users.Go(func() {
			c := &client{site: s, lb: lb}
			for time.Now().Before(end) {
				a := c.ask("POST", "/work", Submission(job, "standard"), 5*time.Second)
				if a.Code == 200 || a.Code == 201 {
					mu.Lock()
					accepted++
					mu.Unlock()
					s.checkAccepted(job, a, c.node)
					return
				}
				time.Sleep(time.Second) // or more
			}
		})
		time.Sleep(time.Millisecond)
	}
	if s.Trouble {
		time.Sleep(600 * time.Millisecond)
		refused.Kill()
		time.Sleep(200 * time.Millisecond)
		if err := refused.Start(); err != nil {
			return err
		}
	}
	users.Wait()
	s.Record.Printf("checker  %d of %d submissions were answered as accepted", accepted, count)
	if accepted == 0 {
		return fmt.Errorf("no job was accepted")
	}
	return nil
}

// checkAccepted asks every other node for a job right after its user was told that it is accepted.
func (s *Site) checkAccepted(job *Job, a Answer, by *Node) {
	if a.ID != job.ID {
		s.Record.Printf("checker  the submission of %s at %s was answered %d for %s", job.ID, by.Name, a.Code, a.ID)
	}
	for _, n := range s.Nodes {
		if n == by {
			continue
		}
		if q := s.Ask(n, "GET", "/work/"+job.ID, nil, 2*time.Second); q.Code == 404 {
			s.Broken("forgotten: %s answered the submission of %s with %d (name_id %s), and %s then answers 404 for it", by.Name, job.ID, a.Code, a.ID, n.Name)
		}
	}
}
