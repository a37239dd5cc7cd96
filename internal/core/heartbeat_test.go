package core

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// BenchmarkHeartbeat measures the processing of a heartbeat that reports no change:
// admission, reconciliation, scheduling and the response.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{100, 925} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			busy := newBusyFleet(b, machines, 10, 300)
			heartbeats := make([]fleet.Heartbeat, len(busy.names))
			for i, name := range busy.names {
				machine := busy.shard.reconciler.Machine(name)
				heartbeats[i] = fleet.Heartbeat{Machine: name, Type: "big", Zone: "z", Incarnation: 1, FencingToken: busy.shard.fencingToken, ReclaimIn: units.MaxTime}
				for _, id := range machine.TaskIDs() {
					heartbeats[i].Tasks = append(heartbeats[i].Tasks, fleet.Task{ID: id, Attempt: machine.Tasks[id].Number, State: fleet.Running})
				}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				heartbeat := &heartbeats[n%len(heartbeats)]
				n++
				heartbeat.Seq++
				busy.core.Heartbeat(busy.core.now+units.Second/fleetHeartbeats, RequestID(n), heartbeat)
				busy.core.effects = busy.core.effects[:0]
			}
		})
	}
}

// TestDelayedHeartbeatOfDeprovisionedMachine guards against a heartbeat that a network partition delayed
// until its machine was deleted. The heartbeat used to count as that of a live machine, and the tasks that it
// listed waited for the machine's lease instead of starting elsewhere.
func TestDelayedHeartbeatOfDeprovisionedMachine(t *testing.T) {
	core, code := heartbeatOfDeprovisioned(t, guard.None)
	if code != 421 {
		t.Fatalf("answered %d", code)
	}
	if job, machine := core.jobs.Get("wk-000001"), core.owned[0].reconciler.Machine("n-1"); machine != nil || job.Placed() != 0 {
		t.Fatalf("machine %v, %d tasks placed", machine, job.Placed())
	}
	// Without the check the task waits for the lease of the deleted machine.
	core, code = heartbeatOfDeprovisioned(t, guard.DeprovisionedMachine)
	if job := core.jobs.Get("wk-000001"); code != 200 || job.Placed() != 1 {
		t.Errorf("with the check skipped: answered %d, %d tasks placed", code, job.Placed())
	}
}

// heartbeatOfDeprovisioned sends an owner a heartbeat of a machine that the cloud has deleted, with one check
// skipped. It returns the status code of the response.
func heartbeatOfDeprovisioned(t *testing.T, skipped guard.Guard) (*Core, int) {
	t.Helper()
	core := newOwner(t, map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, AnyType: true}},
	})
	core.cfg.SkippedGuard = skipped
	shard := core.owned[0]
	core.OnScaleIn(core.now, ScaleIn{Names: []string{"n-1"}, Assignment: shard.assignment}, store.OK)
	core.Drain()
	core.Heartbeat(core.now, 9, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime,
		Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000001"}, Attempt: 1, State: fleet.Running}}})
	return core, replyTo(t, core, 9).Code
}

// TestStaleHeartbeatRefused guards against a renewed lease that its owner does not account for: a heartbeat
// that is older than another one of its machine gets no answer that renews a lease.
func TestStaleHeartbeatRefused(t *testing.T) {
	core := newOwner(t, map[string]any{machinePrefix + "r-1": fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}})
	for _, test := range []struct {
		seq  uint64
		want int
	}{{7, 200}, {6, 503}, {7, 503}, {8, 200}} {
		core.Heartbeat(core.now, 9, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: test.seq, ReclaimIn: units.MaxTime})
		if code := replyTo(t, core, 9).Code; code != test.want {
			t.Errorf("heartbeat %d: answered %d, want %d", test.seq, code, test.want)
		}
	}
}

// TestStaleProbeAnswerKeepsStart guards against starting a task twice. A machine
// answers a probe after it was told to start a task that the answer does not list yet.
// If the answer counted, the task would start on another machine too.
func TestStaleProbeAnswerKeepsStart(t *testing.T) {
	for skipped, want := range map[guard.Guard]int{guard.None: 1, guard.ProbeAnswer: 0} {
		core := newOwner(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
			jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Team: "t", Tasks: 1, AnyType: true}},
		})
		core.cfg.SkippedGuard = skipped
		shard := core.owned[0]
		heartbeat := fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime}
		core.Heartbeat(core.now, 9, &heartbeat)
		job := core.jobs.Get("wk-000001")
		if job.Placed() != 1 {
			t.Fatalf("%d tasks were started", job.Placed())
		}
		heartbeat.Seq = 2
		core.OnProbe(core.now, Probe{Shard: 0, Assignment: shard.assignment, Machine: "n-1"}, store.OK, &heartbeat)
		if job.Placed() != want {
			t.Errorf("skipped check %d: %d tasks count as started, want %d", skipped, job.Placed(), want)
		}
	}
}
