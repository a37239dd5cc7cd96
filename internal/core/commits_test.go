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

// lossyState is a state service that answers a core's reads and commits its transactions. It can be made to
// lose the answers to transactions, and the transactions themselves.
type lossyState struct {
	rev           uint64
	events        []store.Event
	dropAnswers   bool // transactions are not answered
	applyTxns     bool // unanswered transactions are committed nevertheless
	answerWatches bool // watches are answered; otherwise only fresh reads are
	commits       []Commit
	reads         int
	abandoned     []*store.Txn
	replies       map[RequestID]Reply
}

func newLossyState(core *Core) *lossyState {
	return &lossyState{rev: core.cache.Revision + 1000, applyTxns: true, answerWatches: true, replies: map[RequestID]Reply{}}
}

// run ticks the core every 10 ms for a duration, and serves its effects.
func (s *lossyState) run(core *Core, duration units.Microseconds) {
	for end := core.now + duration; core.now < end; {
		core.Tick(core.now+units.Second/100, core.wall+units.Second/100)
		for _, effect := range core.Drain() {
			switch effect := effect.(type) {
			case Reply:
				s.replies[effect.Request] = effect
			case Abandon:
				s.abandoned = append(s.abandoned, effect.Txn)
			case Commit:
				s.commit(core, effect)
			case Watch:
				if effect.Fresh {
					s.reads++
				}
				if effect.Fresh || s.answerWatches {
					core.OnChanges(core.now, effect, store.OK, s.rev, s.eventsAfter(effect.After), false)
				}
			}
		}
	}
}

func (s *lossyState) commit(core *Core, sent Commit) {
	s.commits = append(s.commits, sent)
	if s.dropAnswers && !s.applyTxns {
		return
	}
	s.rev++
	for _, change := range sent.Txn.Changes {
		s.events = append(s.events, store.Event{Key: change.Key, Value: change.Value, Stamp: s.rev})
	}
	if !s.dropAnswers {
		core.OnCommit(core.now, sent.Queue, sent.Txn, store.OK, s.rev, nil)
	}
}

func (s *lossyState) eventsAfter(revision uint64) (out []store.Event) {
	for _, event := range s.events {
		if event.Stamp > revision {
			out = append(out, event)
		}
	}
	return out
}

// commitOf returns the transaction that changes a key, or nil.
func (s *lossyState) commitOf(key string) *Commit {
	for i := range s.commits {
		for _, change := range s.commits[i].Txn.Changes {
			if change.Key == key {
				return &s.commits[i]
			}
		}
	}
	return nil
}

func smallSpec() *jobs.Spec {
	return &jobs.Spec{Team: "t", Tasks: 1, Demand: binpack.Vec{1000, 0, 1000}, AnyType: true}
}

// TestLostCommitAnswer guards against waiting for the request timeout when the answer to a
// committed transaction is lost: of a submission, a cancellation or a job's end. The
// transaction is resolved as soon as the watch shows it, or a fresh read if the watch hangs.
// Within 150 ms the user is answered and the queue moves on. A late answer then has no effect.
func TestLostCommitAnswer(t *testing.T) {
	for name, request := range map[string]func(core *Core) (key string, code int){
		"submission": func(core *Core) (string, int) {
			core.Submit(core.now, 1, "wk-000009", smallSpec(), "")
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
		for _, answerWatches := range []bool{true, false} {
			for _, late := range []store.Outcome{store.OK, store.Failed, store.Unknown, store.Refused, store.TooLarge} {
				t.Run(fmt.Sprintf("%s, watch answers %v, late %v", name, answerWatches, late), func(t *testing.T) {
					testLostAnswer(t, name, request, answerWatches, late)
				})
			}
		}
	}
}

// Jobs of testLostAnswer. knownJob is the job of the request; otherJob is cancelled
// while that request is in doubt.
const (
	knownJob = "wk-000001"
	otherJob = "wk-000002"
)

// testLostAnswer loses the answer to the transaction that a request causes.
func testLostAnswer(t *testing.T, name string, request func(core *Core) (key string, code int), answerWatches bool, late store.Outcome) {
	t.Helper()
	record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: smallSpec()}
	core := newOwner(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + knownJob: record, jobPrefix + otherJob: record})
	state := newLossyState(core)
	state.run(core, units.Second/10)
	state.dropAnswers, state.answerWatches = true, answerWatches
	key, code := request(core)
	state.run(core, units.Second/100)
	sent := state.commitOf(key)
	if sent == nil {
		t.Fatal("no transaction was sent")
	}
	core.Cancel(core.now, 3, otherJob) // queued behind a user's request, and sent in parallel with a job's end
	state.run(core, 14*units.Second/100)
	if got := state.replies[1].Code; got != code {
		t.Errorf("the request was answered %d", got)
	}
	job := core.jobs.Get(key[len(jobPrefix):])
	if job == nil || name != "submission" && job.Active() {
		t.Fatalf("job %+v", job)
	}
	if !slices.Contains(state.abandoned, sent.Txn) || core.queues[sent.Queue].InFlight(sent.Txn) {
		t.Error("the transaction is still in flight")
	}
	if got := state.replies[3].Code; got != http.StatusOK {
		t.Errorf("the request queued behind it was answered %d", got)
	}
	state.applyTxns = false
	core.Submit(core.now, 4, "wk-000010", smallSpec(), "")
	state.run(core, units.Second/100)
	next, status := state.commitOf(jobPrefix+"wk-000010"), job.Record.Status
	delete(state.replies, 1)
	core.OnCommit(core.now, sent.Queue, sent.Txn, late, state.rev, []string{key})
	state.run(core, units.Second/100)
	if len(state.replies) > 0 && (state.replies[1].Code != 0 || state.replies[4].Code != 0) || job.Record.Status != status || !core.queues[UserQueue].InFlight(next.Txn) {
		t.Error("a late answer changed something")
	}
}

// TestLostCommitStaysInDoubt guards against answering an in-doubt write too early. A
// submission's transaction is lost, or delayed so that it may still be committed. The
// user is not answered before the request has timed out, and few reads are made for it.
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
	// One read per watchcache.Heartbeat is made in any case.
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

// TestRollbackConfirmsNoCommit guards against taking an in-doubt transaction for committed after a rollback
// of the state service. The service assigns its revisions again, so that a record with the same value at one
// of them proves nothing. Neither does a watch answer with a gap that the watch cache cannot apply.
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
			core.cache.StartRecovery(core.now)
			core.OnList(core.now, List{}, store.OK, state.rev-3, nil, false)
			core.OnChanges(core.now, Watch{After: state.rev - 3}, store.OK, state.rev+5, stored, false)
		} else { // the changes between the cache's revision and this answer are missing
			core.OnChanges(core.now, Watch{After: core.cache.Revision + 2}, store.OK, state.rev+5, stored, false)
		}
		state.rev += 5
		state.run(core, units.Second/2)
		if r, ok := state.replies[1]; ok || !core.queues[UserQueue].InFlight(sent.Txn) {
			t.Errorf("state service rolled back %v: answered %d", lost, r.Code)
		}
	}
}
