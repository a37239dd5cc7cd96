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

// BenchmarkHeartbeat measures the whole way of a heartbeat that finds everything as it is known:
// admission, reconciliation, a look for work, and the answer.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{100, 925} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			busy := newBusyFleet(b, machines, 10, 300)
			heartbeats := make([]fleet.Heartbeat, len(busy.names))
			for i, name := range busy.names {
				m := busy.shard.reconciler.Machine(name)
				heartbeats[i] = fleet.Heartbeat{Machine: name, Type: "big", Zone: "z", Incarnation: 1, FencingToken: busy.shard.fencingToken, ReclaimIn: units.MaxTime}
				for _, id := range m.TaskIDs() {
					heartbeats[i].Tasks = append(heartbeats[i].Tasks, fleet.Task{ID: id, Attempt: m.Tasks[id].Number, State: fleet.Running})
				}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				hb := &heartbeats[n%len(heartbeats)]
				n++
				hb.Seq++
				busy.core.Heartbeat(busy.core.now+units.Second/fleetHeartbeats, RequestID(n), hb)
				busy.core.effects = busy.core.effects[:0]
			}
		})
	}
}

// TestDelayedHeartbeatOfDeprovisionedMachine brings a heartbeat that a network partition has held back after
// its machine was deleted. It was taken for one of a living machine, and the tasks that it showed
// waited for it instead of starting elsewhere.
func TestDelayedHeartbeatOfDeprovisionedMachine(t *testing.T) {
	c, code := heartbeatOfDeprovisioned(t, guard.None)
	if code != 421 {
		t.Fatalf("answered %d", code)
	}
	if j, m := c.jobs.Get("wk-000001"), c.owned[0].reconciler.Machine("n-1"); m != nil || j.Placed() != 0 {
		t.Fatalf("machine %v, %d tasks placed", m, j.Placed())
	}
	// Without the check the task would wait for the lease of a machine that is deleted.
	c, code = heartbeatOfDeprovisioned(t, guard.DeprovisionedMachine)
	if j := c.jobs.Get("wk-000001"); code != 200 || j.Placed() != 1 {
		t.Errorf("with the check left out: answered %d, %d tasks placed", code, j.Placed())
	}
}

// heartbeatOfDeprovisioned gives an owner a heartbeat of a machine that the cloud has deleted.
func heartbeatOfDeprovisioned(t *testing.T, leftOut guard.Guard) (*Core, int) {
	t.Helper()
	core := holding(t, map[string]any{
		machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
		jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, AnyType: true}},
	})
	core.cfg.SkippedGuard = leftOut
	shard := core.owned[0]
	core.OnScaleIn(core.now, ScaleIn{Names: []string{"n-1"}, Assignment: shard.assignment}, store.OK)
	core.Drain()
	core.Heartbeat(core.now, 9, &fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 7, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime,
		Tasks: []fleet.Task{{ID: jobs.TaskID{Job: "wk-000001"}, Attempt: 1, State: fleet.Running}}})
	return core, replyTo(t, core, 9).Code
}

// TestProbeAnswerBesideStart has a machine answer a probe after it was given a start that its answer
// does not show yet. Taken for true, it would free the task for another machine.
func TestProbeAnswerBesideStart(t *testing.T) {
	for leftOut, want := range map[guard.Guard]int{guard.None: 1, guard.ProbeAnswer: 0} {
		core := holding(t, map[string]any{
			machinePrefix + "r-1":   fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}},
			jobPrefix + "wk-000001": jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Team: "t", Tasks: 1, AnyType: true}},
		})
		core.cfg.SkippedGuard = leftOut
		shard := core.owned[0]
		r := fleet.Heartbeat{Machine: "n-1", Type: "big", Zone: "z", Incarnation: 1, Seq: 1, FencingToken: shard.fencingToken, ReclaimIn: units.MaxTime}
		core.Heartbeat(core.now, 9, &r)
		j := core.jobs.Get("wk-000001")
		if j.Placed() != 1 {
			t.Fatalf("%d tasks are started", j.Placed())
		}
		r.Seq = 2
		core.OnProbe(core.now, Probe{Shard: 0, Assignment: shard.assignment, Machine: "n-1"}, store.OK, &r)
		if j.Placed() != want {
			t.Errorf("left out %d: %d tasks count as started, want %d", leftOut, j.Placed(), want)
		}
	}
}
