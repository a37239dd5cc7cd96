package core

import (
	"fmt"
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
func (s *lossyState) serve(core *Core, d units.Microseconds) {
	for end := core.now + d; core.now < end; {
		core.Tick(core.now+units.Second/100, core.wall+units.Second/100)
		for _, e := range core.Drain() {
			switch e := e.(type) {
			case Reply:
				s.replies[e.Request] = e
			case Abandon:
				s.abandoned = append(s.abandoned, e.Txn)
			case Commit:
				s.commit(core, e)
			case Watch:
				if e.Fresh {
					s.reads++
				}
				if e.Fresh || s.watches {
					core.OnChanges(core.now, e, store.OK, s.rev, s.after(e.After), false)
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
	for name, ask := range map[string]func(core *Core) (key string, code int){
		"submission": func(core *Core) (string, int) {
			core.Submit(core.now, 1, "wk-000009", smallJob(), "")
			return jobPrefix + "wk-000009", http.StatusCreated
		},
		"cancellation": func(core *Core) (string, int) {
			core.Cancel(core.now, 1, knownJob)
			return jobPrefix + knownJob, http.StatusOK
		},
		"end": func(core *Core) (string, int) {
			core.Heartbeat(core.now, 2, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: core.owned[0].fencingToken, ReclaimIn: units.MaxTime,
				Tasks: []fleet.Task{{ID: jobs.TaskID{Job: knownJob}, Attempt: 1, State: fleet.Exited, Cause: fleet.Completed}}})
			return jobPrefix + knownJob, 0
		},
	} {
		for _, watches := range []bool{true, false} {
			for _, late := range []store.Outcome{store.OK, store.Failed, store.Unknown, store.Refused, store.TooLarge} {
				t.Run(fmt.Sprintf("%s, watch answers %v, late %v", name, watches, late), func(t *testing.T) {
					loseAnswer(t, name, ask, watches, late)
				})
			}
		}
	}
}

// Jobs of loseAnswer: one that is asked about, and one whose cancellation goes behind that.
const (
	knownJob = "wk-000001"
	otherJob = "wk-000002"
)

// loseAnswer loses the answer to the transaction that a request makes.
func loseAnswer(t *testing.T, name string, ask func(core *Core) (key string, code int), watches bool, late store.Outcome) {
	t.Helper()
	record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: smallJob()}
	core := holding(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + knownJob: record, jobPrefix + otherJob: record})
	state := newLossyState(core)
	state.serve(core, units.Second/10)
	state.loses, state.watches = true, watches
	key, code := ask(core)
	state.serve(core, units.Second/100)
	sent := state.of(key)
	if sent == nil {
		t.Fatal("not sent")
	}
	core.Cancel(core.now, 3, otherJob) // it goes behind a user's, and beside the end
	state.serve(core, 14*units.Second/100)
	if got := state.replies[1].Code; got != code {
		t.Errorf("answered %d", got)
	}
	job := core.jobs.Get(key[len(jobPrefix):])
	if job == nil || name != "submission" && job.Active() {
		t.Fatalf("job %+v", job)
	}
	if !slices.Contains(state.abandoned, sent.Txn) || core.queues[sent.Queue].InFlight(sent.Txn) {
		t.Error("the transaction is still waited for")
	}
	if got := state.replies[3].Code; got != http.StatusOK {
		t.Errorf("what waited behind it was answered %d", got)
	}
	state.carryOut = false
	core.Submit(core.now, 4, "wk-000010", smallJob(), "")
	state.serve(core, units.Second/100)
	next, status := state.of(jobPrefix+"wk-000010"), job.Record.Status
	delete(state.replies, 1)
	core.OnCommit(core.now, sent.Queue, sent.Txn, late, state.rev, []string{key})
	state.serve(core, units.Second/100)
	if len(state.replies) > 0 && (state.replies[1].Code != 0 || state.replies[4].Code != 0) || job.Record.Status != status || !core.queues[UserQueue].InFlight(next.Txn) {
		t.Error("an answer that came late changed something")
	}
}

// TestNothingIsKnownEarly has a submission's transaction lost, or held up to come late:
// nothing may be told before the request has timed out, and few reads are made for it.
func TestNothingIsKnownEarly(t *testing.T) {
	core := holding(t, nil)
	state := newLossyState(core)
	state.serve(core, units.Second)
	state.loses, state.carryOut, state.reads = true, false, 0
	core.Submit(core.now, 1, "wk-000009", smallJob(), "")
	state.serve(core, 950*units.Second/1000)
	if r, ok := state.replies[1]; ok || len(state.abandoned) > 0 {
		t.Fatalf("answered %d, abandoned %d", r.Code, len(state.abandoned))
	}
	// One every Heartbeat is made anyway.
	if state.reads > 3+3 {
		t.Errorf("%d reads", state.reads)
	}
	sent := state.of(jobPrefix + "wk-000009")
	core.OnCommit(core.now, sent.Queue, sent.Txn, store.Unknown, 0, nil)
	state.serve(core, units.Second/10)
	if r := state.replies[1]; r.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", r.Code)
	}
}

// TestNothingIsProvenAcrossALoss has the state service lose what it had stored while a
// submission's transaction has no answer. The revisions are given out once more: that one of
// them holds the same value tells nothing, and neither does an answer that the copy could
// not take.
func TestNothingIsProvenAcrossALoss(t *testing.T) {
	for _, lost := range []bool{false, true} {
		core := holding(t, nil)
		state := newLossyState(core)
		state.serve(core, units.Second)
		state.loses, state.carryOut, state.watches = true, false, false
		core.Submit(core.now, 1, "wk-000009", smallJob(), "")
		state.serve(core, units.Second/20)
		sent := state.of(jobPrefix + "wk-000009")
		stored := []store.Event{{Key: jobPrefix + "wk-000009", Value: sent.Txn.Changes[0].Value, Stamp: state.rev + 5}}
		if lost {
			core.cache.StartRecovery(core.now)
			core.OnList(core.now, List{}, store.OK, state.rev-3, nil, false)
			core.OnChanges(core.now, Watch{After: state.rev - 3}, store.OK, state.rev+5, stored, false)
		} else { // changes between the copy and this answer are not known
			core.OnChanges(core.now, Watch{After: core.cache.Revision + 2}, store.OK, state.rev+5, stored, false)
		}
		state.rev += 5
		state.serve(core, units.Second/2)
		if r, ok := state.replies[1]; ok || !core.queues[UserQueue].InFlight(sent.Txn) {
			t.Errorf("lost %v: answered %d", lost, r.Code)
		}
	}
}
