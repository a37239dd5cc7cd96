package wire

import (
	"encoding/json"
	"fmt"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// BenchmarkDecodeHeartbeat measures decoding a heartbeat by the number of tasks on the machine.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	for _, tasks := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			heartbeat := fleet.Heartbeat{Machine: "n-00001", Addr: "10.0.0.1:80", Type: "mid-16", Zone: "z0", Incarnation: 1, Seq: 1, FencingToken: 1, ReclaimIn: units.MaxTime}
			for i := range tasks {
				heartbeat.Tasks = append(heartbeat.Tasks, fleet.Task{ID: jobs.TaskID{Job: "wk-000001", Task: i}, Attempt: 1 << 40, State: fleet.Running})
			}
			body, err := json.Marshal(EncodeHeartbeat(&heartbeat, nil))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := DecodeHeartbeat(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}
