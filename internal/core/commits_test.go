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
	rev           uint64
	events        []store.Event
	dropAnswers   bool // transactions are not answered
	applyTxns     bool // they are carried out all the same
	answerWatches bool // watches are answered, else only reads
	commits       []Commit
	reads         int
	abandoned     []*store.Txn
	replies       map[RequestID]Reply
}

func newLossyState(c *Core) *lossyState {
	return &lossyState{rev: c.cache.Revision + 1000, applyTxns: true, answerWatches: true, replies: map[RequestID]Reply{}}
}

// run lets time pass.
func (s *lossyState) run(core *Core, d units.Microseconds) {
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
				if e.Fresh || s.answerWatches {
					core.OnChanges(core.now, e, store.OK, s.rev, s.eventsAfter(e.After), false)
				}
			}
		}
	}
}

func (s *lossyState) commit(c *Core, e Commit) {
	s.commits = append(s.commits, e)
	if s.dropAnswers && !s.applyTxns {
		return
	}
	s.rev++
	for _, ch := range e.Txn.Changes {
		s.events = append(s.events, store.Event{Key: ch.Key, Value: ch.Value, Stamp: s.rev})
	}
	if !s.dropAnswers {
		c.OnCommit(c.now, e.Queue, e.Txn, store.OK, s.rev, nil)
	}
}

func (s *lossyState) eventsAfter(rev uint64) (out []store.Event) {
	for _, e := range s.events {
		if e.Stamp > rev {
			out = append(out, e)
		}
	}
	return out
}

// commitOf returns the transaction that changes a key, or nil.
func (s *lossyState) commitOf(key string) *Commit {
	for i := range s.commits {
		for _, ch := range s.commits[i].Txn.Changes {
			if ch.Key == key {
				return &s.commits[i]
			}
		}
	}
	return nil
}

func smallSpec() *jobs.Spec {
	return &jobs.Spec{Team: "t", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true}
}

// TestLostCommitAnswer has the answers to transactions lost that were carried out: of a submission,
// a cancellation and a job's end. Each is known as soon as the watch, or where that hangs a
// read, shows it: within 150 ms the user is answered, and what waits in the lane goes. It
// took until the request had timed out. Whatever answer still comes then changes nothing.
func TestLostCommitAnswer(t *testing.T) {
	for name, ask := range map[string]func(core *Core) (key string, code int){
		"submission": func(core *Core) (string, int) {
			core.Submit(core.now, 1, "wk-000009", smallSpec(), "")
			return jobPrefix + "wk-000009", http.StatusCreated
		},
		"cancellation": func(core *Core) (string, int) {
			core.Cancel(core.now, 1, knownJob)
			return jobPrefix + knownJob, http.StatusOK
		},
		"end": func(core *Core) (string, int) {
			core.Heartbeat(core.now, 2, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: core.owned[0].fencingToken, Notice: units.MaxTime,
				Tasks: []fleet.Task{{ID: jobs.TaskID{Job: knownJob}, Attempt: 1, State: fleet.Exited, Cause: fleet.Completed}}})
			return jobPrefix + knownJob, 0
		},
	} {
		for _, watches := range []bool{true, false} {
			for _, late := range []store.Outcome{store.OK, store.Failed, store.Unknown, store.Refused, store.TooLarge} {
				t.Run(fmt.Sprintf("%s, watch answers %v, late %v", name, watches, late), func(t *testing.T) {
					testLostAnswer(t, name, ask, watches, late)
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

// testLostAnswer loses the answer to the transaction that a request makes.
func testLostAnswer(t *testing.T, name string, ask func(core *Core) (key string, code int), watches bool, late store.Outcome) {
	t.Helper()
	record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: smallSpec()}
	core := newOwner(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + knownJob: record, jobPrefix + otherJob: record})
	state := newLossyState(core)
	state.run(core, units.Second/10)
	state.dropAnswers, state.answerWatches = true, watches
	key, code := ask(core)
	state.run(core, units.Second/100)
	sent := state.commitOf(key)
	if sent == nil {
		t.Fatal("not sent")
	}
	core.Cancel(core.now, 3, otherJob) // it goes behind a user's, and beside the end
	state.run(core, 14*units.Second/100)
	if got := state.replies[1].Code; got != code {
		t.Errorf("answered %d", got)
	}
	job := core.jobs.Get(key[len(jobPrefix):])
	if job == nil || name != "submission" && job.Active() {
		t.Fatalf("job %+v", job)
	}
	if !slices.Contains(state.abandoned, sent.Txn) || core.queues[sent.Queue].UnderWay(sent.Txn) {
		t.Error("the transaction is still waited for")
	}
	if got := state.replies[3].Code; got != http.StatusOK {
		t.Errorf("what waited behind it was answered %d", got)
	}
	state.applyTxns = false
	core.Submit(core.now, 4, "wk-000010", smallSpec(), "")
	state.run(core, units.Second/100)
	next, status := state.commitOf(jobPrefix+"wk-000010"), job.Record.Status
	delete(state.replies, 1)
	core.OnCommit(core.now, sent.Queue, sent.Txn, late, state.rev, []string{key})
	state.run(core, units.Second/100)
	if len(state.replies) > 0 && (state.replies[1].Code != 0 || state.replies[4].Code != 0) || job.Record.Status != status || !core.queues[UserQueue].UnderWay(next.Txn) {
		t.Error("an answer that came late changed something")
	}
}

// TestLostCommitStaysInDoubt has a submission's transaction lost, or held up to come late:
// nothing may be told before the request has timed out, and few reads are made for it.
func TestLostCommitStaysInDoubt(t *testing.T) {
	core := newOwner(t, nil)
	state := newLossyState(core)
	state.run(core, units.Second)
	state.dropAnswers, state.applyTxns, state.reads = true, false, 0
	core.Submit(core.now, 1, "wk-000009", smallSpec(), "")
	state.run(core, 950*units.Second/1000)
	if r, ok := state.replies[1]; ok || len(state.abandoned) > 0 {
		t.Fatalf("answered %d, abandoned %d", r.Code, len(state.abandoned))
	}
	// One every Heartbeat is made anyway.
	if state.reads > 3+3 {
		t.Errorf("%d reads", state.reads)
	}
	sent := state.commitOf(jobPrefix + "wk-000009")
	core.OnCommit(core.now, sent.Queue, sent.Txn, store.Unknown, 0, nil)
	state.run(core, units.Second/10)
	if r := state.replies[1]; r.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d", r.Code)
	}
}

// TestRollbackConfirmsNoCommit has the state service lose what it had stored while a
// submission's transaction has no answer. The revisions are given out once more: that one of
// them holds the same value tells nothing, and neither does an answer that the copy could
// not take.
func TestRollbackConfirmsNoCommit(t *testing.T) {
	for _, lost := range []bool{false, true} {
		core := newOwner(t, nil)
		state := newLossyState(core)
		state.run(core, units.Second)
		state.dropAnswers, state.applyTxns, state.answerWatches = true, false, false
		core.Submit(core.now, 1, "wk-000009", smallSpec(), "")
		state.run(core, units.Second/20)
		sent := state.commitOf(jobPrefix + "wk-000009")
		stored := []store.Event{{Key: jobPrefix + "wk-000009", Value: sent.Txn.Changes[0].Value, Stamp: state.rev + 5}}
		if lost {
			core.cache.Reload(core.now)
			core.OnList(core.now, List{}, store.OK, state.rev-3, nil, false)
			core.OnChanges(core.now, Watch{After: state.rev - 3}, store.OK, state.rev+5, stored, false)
		} else { // changes between the copy and this answer are not known
			core.OnChanges(core.now, Watch{After: core.cache.Revision + 2}, store.OK, state.rev+5, stored, false)
		}
		state.rev += 5
		state.run(core, units.Second/2)
		if r, ok := state.replies[1]; ok || !core.queues[UserQueue].UnderWay(sent.Txn) {
			t.Errorf("lost %v: answered %d", lost, r.Code)
		}
	}
}
