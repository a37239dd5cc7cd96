package core

import (
	"encoding/json"
	"testing"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

func cancelled(id string, stamp uint64) store.Event {
	return store.Event{Key: jobPrefix + id, Value: ledger.Record{Status: ledger.Cancelled, Tasks: 1}.Encode(), Stamp: stamp}
}

// TestToldCancellations tells a holder of cancellations in every shape: what is true stops the
// task with the next report, also of a job that the holder does not know yet, whose acceptance
// comes later; what is malformed or of a job that is done changes nothing.
func TestToldCancellations(t *testing.T) {
	record := ledger.Record{Status: ledger.Pending, Tasks: 1, Spec: &ledger.Spec{Tasks: 1, AnyType: true}}
	c := holding(t, map[string]any{
		machPrefix + "r-1":      fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": record,
		jobPrefix + "wk-000002": record,
		jobPrefix + "wk-000003": ledger.Record{Status: ledger.Done, Tasks: 1},
	})
	bl := c.held[0]
	seat := c.seats.ID()
	tell := func(list ...store.Event) {
		c.toldCancels("b", PeerPromise{Seat: seat, Sent: c.now, Told: cancellations.Told{Since: c.mirror.Rev, Upto: 190, Whole: true, List: list}})
	}
	for _, e := range []store.Event{{}, {Key: jobPrefix + "wk-000001", Value: json.RawMessage(`{"status"`), Stamp: 150}, cancelled("../x", 150),
		cancelled("wk-000001", 0), {Key: machPrefix + "r-1", Value: cancelled("wk-000001", 150).Value, Stamp: 150}} {
		tell(e)
		if !c.jobs["wk-000001"].Active() || c.cancels.Known(c.mirror.Rev) != c.mirror.Rev || len(c.groups) != 1 {
			t.Fatalf("%+v is taken for a cancellation", e)
		}
	}
	// A word that was held up, for this controller's process before: its time is that one's.
	for _, seat = range []uint64{0, seat + 1} {
		if tell(); c.cancels.Known(c.mirror.Rev) != c.mirror.Rev {
			t.Fatal("what another process has asked for counts")
		}
	}
	seat = c.seats.ID()
	tell(cancelled("wk-000003", 150), cancelled("wk-000002", 160), cancelled("wk-000004", 170))
	if c.jobs["wk-000003"].Record.Status != ledger.Done || c.jobs["wk-000002"].Active() || c.cancels.Known(c.mirror.Rev) != 190 {
		t.Fatal("the done job is not done, or the other not cancelled")
	}
	c.Drain()
	c.Report(c.now, 9, &fleet.Report{Machine: "n-1", Type: "big", Zone: "z", Session: 1, Seq: 7, Token: bl.token, Notice: unit.Never,
		Tasks: []fleet.Task{{ID: ledger.TaskID{Job: "wk-000002"}, Attempt: 1, State: fleet.Running}}})
	o, _ := replyTo(t, c, 9).Body.(Orders)
	if len(o.Commands) != 1 || o.Commands[0].Op != fleet.Stop {
		t.Fatalf("orders %+v", o)
	}
	// The acceptance of one that was cancelled before comes with a watch that was held up.
	rev := c.mirror.Rev
	c.OnChanges(c.now, Watch{After: rev}, store.OK, 165, []store.Event{{Key: jobPrefix + "wk-000004", Value: record.Encode(), Stamp: 165}}, false)
	if j := c.jobs["wk-000004"]; j == nil || j.Active() || len(bl.active) != 1 {
		t.Fatalf("%+v may start", j)
	}
}

// TestOldCopyAnswersNobody lets renewals succeed while nothing is read any more: authority
// used to be renewed over a copy that grew old without end. And after an outage the first
// renewal used to make a holder valid at once, over a copy from before it.
func TestOldCopyAnswersNobody(t *testing.T) {
	c := holding(t, map[string]any{machPrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}})
	c.cfg.CancelIn, c.cfg.Lease, c.cfg.LeaderTTL = 60*unit.Second, 20*unit.Second, unit.Second
	c.cancels = cancellations.New(cancellations.Config{Peers: 2})
	from, seq := c.now, uint64(0)
	answered := func() bool {
		seq++
		c.Report(c.now, ReqID(seq), &fleet.Report{Machine: "n-1", Type: "big", Zone: "z", Session: 1, Seq: seq, Token: c.held[0].token, Notice: unit.Never,
			Tasks: []fleet.Task{{ID: ledger.TaskID{Job: "wk-000001"}, Attempt: 1, State: fleet.Running}}})
		return replyTo(t, c, ReqID(seq)).Code == 200
	}
	for c.now < from+c.extension()-unit.Second {
		c.Tick(c.now+unit.Second, c.wall)
		c.Drain()
		if !answered() {
			t.Fatalf("after %d s nothing is answered", (c.now-from)/unit.Second)
		}
	}
	c.Tick(c.now+2*unit.Second, c.wall)
	c.Drain()
	if answered() {
		t.Fatal("a copy that may lack what was cancelled is answered by")
	}
	c.OnChanges(c.now, Watch{After: c.mirror.Rev, Fresh: true, Sent: c.now}, store.OK, c.mirror.Rev, nil, false)
	c.Drain()
	if !answered() {
		t.Fatal("nothing is answered after a read")
	}
}

// TestManyExitedTasks has nothing stored for long: a machine's list, which may not grow beyond
// a report's 64 KiB, gets no further tasks.
func TestManyExitedTasks(t *testing.T) {
	for listed, want := range map[int]int{MaxListed: 0, MaxListed - 10: 10} {
		c := holding(t, map[string]any{
			machPrefix + "r-1":      fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
			jobPrefix + "wk-000001": ledger.Record{Status: ledger.Pending, Tasks: 2000, Spec: &ledger.Spec{Team: "t", Tasks: 2000, AnyType: true, Demand: pack.Vec{1, 0, 1}}},
		})
		r := &fleet.Report{Machine: "n-1", Type: "big", Zone: "z", Session: 1, Seq: 1, Token: c.held[0].token, Notice: unit.Never}
		for i := range listed {
			r.Tasks = append(r.Tasks, fleet.Task{ID: ledger.TaskID{Job: "wk-000001", Task: 1000 + i}, Attempt: uint64(i + 1), State: fleet.Exited, Cause: fleet.Completed})
		}
		c.Report(c.now, 9, r)
		starts := 0
		for _, x := range replyTo(t, c, 9).Body.(Orders).Commands {
			if x.Op == fleet.Start {
				starts++
			}
		}
		if starts != want {
			t.Errorf("%d are listed, and %d more started, want %d", listed, starts, want)
		}
	}
}
