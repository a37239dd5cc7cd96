package core

import (
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// BenchmarkHeartbeat measures the whole way of a heartbeat that finds everything as it is known:
// admission, reconciliation, a look for work, and the answer.
func BenchmarkHeartbeat(b *testing.B) {
	for _, machines := range []int{100, 925} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			f := newBusyFleet(b, machines, 10, 300)
			heartbeats := make([]fleet.Heartbeat, len(f.names))
			for i, name := range f.names {
				m := f.shard.reconciler.Machine(name)
				heartbeats[i] = fleet.Heartbeat{Machine: name, Type: "big", Zone: "z", Incarnation: 1, FencingToken: f.shard.fencingToken, Notice: units.Never}
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
				f.core.Heartbeat(f.core.now+units.Second/fleetHeartbeats, RequestID(n), hb)
				f.core.effects = f.core.effects[:0]
			}
		})
	}
}
