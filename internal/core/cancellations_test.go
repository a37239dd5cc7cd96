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

// cancelledRecord returns the stored record of a cancelled job, at a revision.
func cancelledRecord(id string, stamp uint64) store.Event {
	return store.Event{Key: jobPrefix + id, Value: jobs.Record{Status: jobs.Cancelled, Tasks: 1}.Encode(), Stamp: stamp}
}

// TestCancellationsFromPeers guards against an owner that ignores a cancellation reported
// by another controller, or that applies a false one. A valid cancellation stops the
// job's task with the next heartbeat, also if the owner receives the job's submission
// only later. Malformed cancellations, and those of finished jobs, change nothing.
func TestCancellationsFromPeers(t *testing.T) {
	record := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, AnyType: true}}
	core := newOwner(t, map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": record,
		jobPrefix + "wk-000002": record,
		jobPrefix + "wk-000003": jobs.Record{Status: jobs.Done, Tasks: 1},
	})
	shard := core.owned[0]
	memberID := core.membership.ID()
	receive := func(list ...store.Event) {
		core.receiveCancellations("b", PeerLeaseGrant{Seat: memberID, Sent: core.now, Told: cancellations.Update{Since: core.cache.Revision, Upto: 190, Whole: true, List: list}})
	}
	for _, event := range []store.Event{{}, {Key: jobPrefix + "wk-000001", Value: json.RawMessage(`{"status"`), Stamp: 150}, cancelledRecord("../x", 150),
		cancelledRecord("wk-000001", 0), {Key: machinePrefix + "r-1", Value: cancelledRecord("wk-000001", 150).Value, Stamp: 150}} {
		receive(event)
		if !core.jobs.Get("wk-000001").Active() || core.cancellations.KnownRevision(core.cache.Revision) != core.cache.Revision || len(core.machineGroups) != 1 {
			t.Fatalf("%+v was accepted as a cancellation", event)
		}
	}
	// A delayed grant for an earlier process of this controller: its request time is on that process's clock.
	for _, memberID = range []uint64{0, memberID + 1} {
		if receive(); core.cancellations.KnownRevision(core.cache.Revision) != core.cache.Revision {
			t.Fatal("a grant that another process requested was counted")
		}
	}
	memberID = core.membership.ID()
	receive(cancelledRecord("wk-000003", 150), cancelledRecord("wk-000002", 160), cancelledRecord("wk-000004", 170))
	if core.jobs.Get("wk-000003").Record.Status != jobs.Done || core.jobs.Get("wk-000002").Active() || core.cancellations.KnownRevision(core.cache.Revision) != 190 {
		t.Fatal("the done job is no longer done, or the other job is not cancelled")
	}
	core.Drain()
	core.Heartbeat(core.now, 9, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime,
		Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000002"}, Attempt: 1, State: fleet.Running}}})
	response, _ := replyTo(t, core, 9).Body.(HeartbeatResponse)
	if len(response.Commands) != 1 || response.Commands[0].Op != fleet.Stop {
		t.Fatalf("response %+v", response)
	}
	// The submission of a job whose cancellation is already known arrives with a delayed watch answer.
	revision := core.cache.Revision
	core.OnChanges(core.now, Watch{After: revision}, store.OK, 165, []store.Event{{Key: jobPrefix + "wk-000004", Value: record.Encode(), Stamp: 165}}, false)
	if job := core.jobs.Get("wk-000004"); job == nil || job.Active() || len(shard.active) != 1 {
		t.Fatalf("%+v may start although it was cancelled", job)
	}
}

// TestStaleCacheStopsHeartbeatAnswers guards against an owner that answers heartbeats with
// a stale watch cache, which may lack cancellations. Lease renewals succeed while all reads
// fail. Authority used to be renewed no matter how old the cache was, and the first renewal
// after an outage made the owner valid at once with a cache from before the outage.
func TestStaleCacheStopsHeartbeatAnswers(t *testing.T) {
	core := newOwner(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}})
	core.cfg.CancelWithin, core.cfg.Lease, core.cfg.LeaderTTL = 60*units.Second, 20*units.Second, units.Second
	core.cancellations = cancellations.New(cancellations.Config{Peers: 2})
	from, seq := core.now, uint64(0)
	answered := func() bool {
		seq++
		core.Heartbeat(core.now, RequestID(seq), &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: seq, FencingToken: core.owned[0].fencingToken, ReclaimIn: units.MaxTime,
			Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000001"}, Attempt: 1, State: fleet.Running}}})
		return replyTo(t, core, RequestID(seq)).Code == 200
	}
	for core.now < from+core.cancellationGrace()-units.Second {
		core.Tick(core.now+units.Second, core.wall)
		core.Drain()
		if !answered() {
			t.Fatalf("after %d s heartbeats are no longer answered", (core.now-from)/units.Second)
		}
	}
	core.Tick(core.now+2*units.Second, core.wall)
	core.Drain()
	if answered() {
		t.Fatal("a heartbeat is answered although the cache may lack cancellations")
	}
	core.OnChanges(core.now, Watch{After: core.cache.Revision, Fresh: true, Sent: core.now}, store.OK, core.cache.Revision, nil, false)
	core.Drain()
	if !answered() {
		t.Fatal("heartbeats are not answered after a fresh read")
	}
}

// TestFullTaskListGetsNoStarts guards against heartbeats of more than 64 KiB. While
// the state service stores nothing, a machine keeps listing its exited tasks. Once the
// list is full, the machine is given no further tasks.
func TestFullTaskListGetsNoStarts(t *testing.T) {
	for listed, want := range map[int]int{fleet.MaxReportedTasks: 0, fleet.MaxReportedTasks - 10: 10} {
		core := newOwner(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
			jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 2000, Spec: &jobs.Spec{Team: "t", Tasks: 2000, AnyType: true, Demand: binpack.Vec{1, 0, 1}}},
		})
		heartbeat := &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: core.owned[0].fencingToken, ReclaimIn: units.MaxTime}
		for i := range listed {
			heartbeat.Tasks = append(heartbeat.Tasks, fleet.Task{ID: jobs.TaskID{Job: "wk-000001", Task: 1000 + i}, Attempt: uint64(i + 1), State: fleet.Exited, Cause: fleet.Completed})
		}
		core.Heartbeat(core.now, 9, heartbeat)
		starts := 0
		for _, command := range replyTo(t, core, 9).Body.(HeartbeatResponse).Commands {
			if command.Op == fleet.Start {
				starts++
			}
		}
		if starts != want {
			t.Errorf("%d tasks listed: %d more started, want %d", listed, starts, want)
		}
	}
}
