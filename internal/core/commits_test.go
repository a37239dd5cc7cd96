package core

import (
	"net/http"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// lossyState answers a core's reads with the changes there are, and carries out its
// transactions, of which it loses the answers from a time on.
type lossyState struct {
	rev       uint64
	events    []store.Event
	loses     bool // transactions are not answered
	carryOut  bool // they are carried out all the same
	watches   bool // watches are answered, else only reads
	commits   []Commit
	reads     int
	abandoned []*store.Txn
	replies   map[RequestID]Reply
}

func newLossyState(c *Core) *lossyState {
	return &lossyState{rev: c.cache.Revision + 1000, carryOut: true, watches: true, replies: map[RequestID]Reply{}}
}

// serve lets time pass.
func (s *lossyState) serve(c *Core, d units.Microseconds) {
	for end := c.now + d; c.now < end; {
		c.Tick(c.now+units.Second/100, c.wall+units.Second/100)
		for _, e := range c.Drain() {
			switch e := e.(type) {
			case Reply:
				s.replies[e.Request] = e
			case Abandon:
				s.abandoned = append(s.abandoned, e.Txn)
			case Commit:
				s.commit(c, e)
			case Watch:
				if e.Fresh {
					s.reads++
				}
				if e.Fresh || s.watches {
					c.OnChanges(c.now, e, store.OK, s.rev, s.after(e.After), false)
				}
			}
		}
	}
}

func (s *lossyState) commit(c *Core, e Commit) {
	s.commits = append(s.commits, e)
	if s.loses && !s.carryOut {
		return
	}
	s.rev++
	for _, ch := range e.Txn.Changes {
		s.events = append(s.events, store.Event{Key: ch.Key, Value: ch.Value, Stamp: s.rev})
	}
	if !s.loses {
		c.OnCommit(c.now, e.Queue, e.Txn, store.OK, s.rev, nil)
	}
}

func (s *lossyState) after(rev uint64) (out []store.Event) {
	for _, e := range s.events {
		if e.Stamp > rev {
			out = append(out, e)
		}
	}
	return out
}

// of returns the transaction that changes a key, or nil.
func (s *lossyState) of(key string) *Commit {
	for i := range s.commits {
		for _, ch := range s.commits[i].Txn.Changes {
			if ch.Key == key {
				return &s.commits[i]
			}
		}
	}
	return nil
}

func smallJob() *jobs.Spec {
	return &jobs.Spec{Team: "t", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true}
}

// TestAnswerLost has the answers to transactions lost that were carried out: of a submission,
// a cancellation and a job's end. Each is known as soon as the watch, or where that hangs a
// read, shows it: within 150 ms the user is answered, and what waits in the lane goes. It
// took until the request had timed out. Whatever answer still comes then changes nothing.
func TestAnswerLost(t *testing.T) {
	const known, other = "wk-000001", "wk-000002"
	for name, ask := range map[string]func(c *Core) (key string, code int){
		"submission": func(c *Core) (string, int) {
			c.Submit(c.now, 1, "wk-000009", smallJob(), "")
			return jobPrefix + "wk-000009", http.StatusCreated
		},
		"cancellation": func(c *Core) (string, int) {
			c.Cancel(c.now, 1, known)
			return jobPrefix + known, http.StatusOK
		},
		"end": func(c *Core) (string, int) {
			c.Heartbeat(c.now, 2, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: c.owned[0].fencingToken, Notice: units.Never,
				Tasks: []fleet.Task{{ID: jobs.TaskID{Job: known}, Attempt: 1, State: fleet.Exited, Cause: fleet.Completed}}})
			return jobPrefix + known, 0
		},
	} {
		for _, watches := range []bool{true, false} {
			for _, late := range []store.Outcome{store.OK, store.Failed, store.Unknown, store.Refused, store.TooLarge} {
				record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: smallJob()}
				c := holding(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
					jobPrefix + known: record, jobPrefix + other: record})
				s := newLossyState(c)
				s.serve(c, units.Second/10)
				s.loses, s.watches = true, watches
				key, code := ask(c)
				s.serve(c, units.Second/100)
				sent := s.of(key)
				if sent == nil {
					t.Fatalf("%s: not sent", name)
				}
				c.Cancel(c.now, 3, other) // it goes behind a user's, and beside the end
				s.serve(c, 14*units.Second/100)
				if got := s.replies[1].Code; got != code {
					t.Errorf("%s, watch answers %v: answered %d", name, watches, got)
				}
				j := c.jobs.Get(key[len(jobPrefix):])
				if j == nil || name != "submission" && j.Active() {
					t.Fatalf("%s, watch answers %v: job %+v", name, watches, j)
				}
				if !slices.Contains(s.abandoned, sent.Txn) || c.queues[sent.Queue].UnderWay(sent.Txn) {
					t.Errorf("%s, watch answers %v: the transaction is still waited for", name, watches)
				}
				if got := s.replies[3].Code; got != http.StatusOK {
					t.Errorf("%s, watch answers %v: what waited behind it was answered %d", name, watches, got)
				}
				s.carryOut = false
				c.Submit(c.now, 4, "wk-000010", smallJob(), "")
				s.serve(c, units.Second/100)
				next, status := s.of(jobPrefix+"wk-000010"), j.Record.Status
				delete(s.replies, 1)
				c.OnCommit(c.now, sent.Queue, sent.Txn, late, s.rev, []string{key})
				s.serve(c, units.Second/100)
				if len(s.replies) > 0 && (s.replies[1].Code != 0 || s.replies[4].Code != 0) || j.Record.Status != status || !c.queues[UserQueue].UnderWay(next.Txn) {
					t.Errorf("%s: an answer that came late changed something", name)
				}
			}
		}
	}
}

// TestNothingIsKnownEarly has a submission's transaction lost, or held up to come late:
// nothing may be told before the request has timed out, and few reads are made for it.
func TestNothingIsKnownEarly(t *testing.T) {
	c := holding(t, nil)
	s := newLossyState(c)
	s.serve(c, units.Second)
	s.loses, s.carryOut, s.reads = true, false, 0
	c.Submit(c.now, 1, "wk-000009", smallJob(), "")
	s.serve(c, 950*units.Second/1000)
	if r, ok := s.replies[1]; ok || len(s.abandoned) > 0 {
		t.Fatalf("answered %d, abandoned %d", r.Code, len(s.abandoned))
	}
	// One every Heartbeat is made anyway.
	if s.reads > 3+3 {
		t.Errorf("%d reads", s.reads)
	}
	sent := s.of(jobPrefix + "wk-000009")
	c.OnCommit(c.now, sent.Queue, sent.Txn, store.Unknown, 0, nil)
	s.serve(c, units.Second/10)
	if r := s.replies[1]; r.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", r.Code)
	}
}

// TestNothingIsProvenAcrossALoss has the state service lose what it had stored while a
// submission's transaction has no answer. The revisions are given out once more: that one of
// them holds the same value tells nothing, and neither does an answer that the copy could
// not take.
func TestNothingIsProvenAcrossALoss(t *testing.T) {
	for _, lost := range []bool{false, true} {
		c := holding(t, nil)
		s := newLossyState(c)
		s.serve(c, units.Second)
		s.loses, s.carryOut, s.watches = true, false, false
		c.Submit(c.now, 1, "wk-000009", smallJob(), "")
		s.serve(c, units.Second/20)
		sent := s.of(jobPrefix + "wk-000009")
		stored := []store.Event{{Key: jobPrefix + "wk-000009", Value: sent.Txn.Changes[0].Value, Stamp: s.rev + 5}}
		if lost {
			c.cache.Reload(c.now)
			c.OnList(c.now, List{}, store.OK, s.rev-3, nil, false)
			c.OnChanges(c.now, Watch{After: s.rev - 3}, store.OK, s.rev+5, stored, false)
		} else { // changes between the copy and this answer are not known
			c.OnChanges(c.now, Watch{After: c.cache.Revision + 2}, store.OK, s.rev+5, stored, false)
		}
		s.rev += 5
		s.serve(c, units.Second/2)
		if r, ok := s.replies[1]; ok || !c.queues[UserQueue].UnderWay(sent.Txn) {
			t.Errorf("lost %v: answered %d", lost, r.Code)
		}
	}
}
