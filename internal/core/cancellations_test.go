package core

import (
	"encoding/json"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

func cancelled(id string, stamp uint64) store.Event {
	return store.Event{Key: jobPrefix + id, Value: jobs.Record{Status: jobs.Cancelled, Tasks: 1}.Encode(), Stamp: stamp}
}

// TestCancellationsFromPeers tells a holder of cancellations in every shape: what is true stops the
// task with the next report, also of a job that the holder does not know yet, whose acceptance
// comes later; what is malformed or of a job that is done changes nothing.
func TestCancellationsFromPeers(t *testing.T) {
	record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, AnyType: true}}
	core := holding(t, map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": record,
		jobPrefix + "wk-000002": record,
		jobPrefix + "wk-000003": jobs.Record{Status: jobs.Done, Tasks: 1},
	})
	shard := core.owned[0]
	seat := core.membership.ID()
	receive := func(list ...store.Event) {
		core.receiveCancellations("b", PeerLeaseGrant{Seat: seat, Sent: core.now, Told: cancellations.Update{Since: core.cache.Revision, Upto: 190, Whole: true, List: list}})
	}
	for _, e := range []store.Event{{}, {Key: jobPrefix + "wk-000001", Value: json.RawMessage(`{"status"`), Stamp: 150}, cancelled("../x", 150),
		cancelled("wk-000001", 0), {Key: machinePrefix + "r-1", Value: cancelled("wk-000001", 150).Value, Stamp: 150}} {
		receive(e)
		if !core.jobs.Get("wk-000001").Active() || core.cancellations.KnownRevision(core.cache.Revision) != core.cache.Revision || len(core.machineGroups) != 1 {
			t.Fatalf("%+v is taken for a cancellation", e)
		}
	}
	// A word that was held up, for this controller's process before: its time is that one's.
	for _, seat = range []uint64{0, seat + 1} {
		if receive(); core.cancellations.KnownRevision(core.cache.Revision) != core.cache.Revision {
			t.Fatal("what another process has asked for counts")
		}
	}
	seat = core.membership.ID()
	receive(cancelled("wk-000003", 150), cancelled("wk-000002", 160), cancelled("wk-000004", 170))
	if core.jobs.Get("wk-000003").Record.Status != jobs.Done || core.jobs.Get("wk-000002").Active() || core.cancellations.KnownRevision(core.cache.Revision) != 190 {
		t.Fatal("the done job is not done, or the other not cancelled")
	}
	core.Drain()
	core.Heartbeat(core.now, 9, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime,
		Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000002"}, Attempt: 1, State: fleet.Running}}})
	o, _ := replyTo(t, core, 9).Body.(HeartbeatResponse)
	if len(o.Commands) != 1 || o.Commands[0].Op != fleet.Stop {
		t.Fatalf("orders %+v", o)
	}
	// The acceptance of one that was cancelled before comes with a watch that was held up.
	rev := core.cache.Revision
	core.OnChanges(core.now, Watch{After: rev}, store.OK, 165, []store.Event{{Key: jobPrefix + "wk-000004", Value: record.Encode(), Stamp: 165}}, false)
	if j := core.jobs.Get("wk-000004"); j == nil || j.Active() || len(shard.active) != 1 {
		t.Fatalf("%+v may start", j)
	}
}

// TestOutdatedCacheAnswersNobody lets renewals succeed while nothing is read any more: authority
// used to be renewed over a copy that grew old without end. And after an outage the first
// renewal used to make a holder valid at once, over a copy from before it.
func TestOutdatedCacheAnswersNobody(t *testing.T) {
	core := holding(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}})
	core.cfg.CancelWithin, core.cfg.Lease, core.cfg.LeaderTTL = 60*units.Second, 20*units.Second, units.Second
	core.cancellations = cancellations.New(cancellations.Config{Peers: 2})
	from, seq := core.now, uint64(0)
	answered := func() bool {
		seq++
		core.Heartbeat(core.now, RequestID(seq), &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: core.owned[0].fencingToken, ReclaimIn: units.MaxTime,
			Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000001"}, Attempt: 1, State: fleet.Running}}})
		return replyTo(t, core, RequestID(seq)).Code == 200
	}
	for core.now < from+core.extension()-units.Second {
		core.Tick(core.now+units.Second, core.wall)
		core.Drain()
		if !answered() {
			t.Fatalf("after %d s nothing is answered", (core.now-from)/units.Second)
		}
	}
	core.Tick(core.now+2*units.Second, core.wall)
	core.Drain()
	if answered() {
		t.Fatal("a copy that may lack what was cancelled is answered by")
	}
	core.OnChanges(core.now, Watch{After: core.cache.Revision, Fresh: true, Sent: core.now}, store.OK, core.cache.Revision, nil, false)
	core.Drain()
	if !answered() {
		t.Fatal("nothing is answered after a read")
	}
}

// TestManyExitedTasks has nothing stored for long: a machine's list, which may not grow beyond
// a report's 64 KiB, gets no further tasks.
func TestManyExitedTasks(t *testing.T) {
	for listed, want := range map[int]int{fleet.MaxReportedTasks: 0, fleet.MaxReportedTasks - 10: 10} {
		c := holding(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
			jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 2000, Spec: &jobs.Spec{Team: "t", Tasks: 2000, AnyType: true, Demand: binpack.Vec{1, 0, 1}}},
		})
		r := &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: c.owned[0].fencingToken, ReclaimIn: units.MaxTime}
		for i := range listed {
			r.Tasks = append(r.Tasks, fleet.Task{ID: jobs.TaskID{Job: "wk-000001", Task: 1000 + i}, Attempt: uint64(i + 1), State: fleet.Exited, Cause: fleet.Completed})
		}
		c.Heartbeat(c.now, 9, r)
		starts := 0
		for _, x := range replyTo(t, c, 9).Body.(HeartbeatResponse).Commands {
			if x.Op == fleet.Start {
				starts++
			}
		}
		if starts != want {
			t.Errorf("%d are listed, and %d more started, want %d", listed, starts, want)
		}
	}
}
