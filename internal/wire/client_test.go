package wire

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestEncodeDecodeRoundTrip guards against encoders and decoders that disagree: random submissions, heartbeats
// and commands must decode to what was encoded.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string) int64 { return rapid.Int64Range(0, 1e6).Draw(t, name) }
		microseconds := func(name string) units.Microseconds { return units.Microseconds(amount(name)) }
		spec := &jobs.Spec{Class: "c", Team: "t", Image: "i", Service: rapid.Bool().Draw(t, "service"), Priority: jobs.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
			Tasks: rapid.IntRange(1, jobs.MaxTasks).Draw(t, "tasks"), Demand: binpack.Vec{amount("cpus"), amount("gpus"), amount("memory")}, ImageMB: amount("image"),
			AnyType: true, OneZone: rapid.Bool().Draw(t, "one"), Spread: rapid.Bool().Draw(t, "spread"), Spot: rapid.Bool().Draw(t, "spot"),
			Estimate: microseconds("estimate"), Checkpoint: microseconds("checkpoint"), Save: microseconds("save"), Deadline: microseconds("deadline")}
		if rapid.Bool().Draw(t, "bound") {
			spec.AnyType, spec.Types, spec.Zone, spec.Awaits = false, []string{"a", "b"}, "z", []string{"wk-000001", "wk-000002"}
		}
		b, err := EncodeSubmission("wk-000009", spec)
		if err != nil {
			t.Fatal(err)
		}
		id, got, err := DecodeSubmission(b)
		if err != nil || id != "wk-000009" || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", spec) {
			t.Fatalf("%s: %+v, want %+v; %v", b, got, spec, err)
		}

		task := rapid.Custom(func(t *rapid.T) fleet.Task {
			x := fleet.Task{ID: jobs.TaskID{Job: "wk-000003", Task: rapid.IntRange(0, 9).Draw(t, "n")}, Attempt: rapid.Uint64().Draw(t, "attempt"),
				State: fleet.State(rapid.IntRange(0, 3).Draw(t, "state"))}
			if x.State == fleet.Exited {
				x.Cause = fleet.Cause(rapid.IntRange(1, 6).Draw(t, "cause"))
			}
			return x
		})
		heartbeat := &fleet.Heartbeat{Machine: "n-1", Addr: "127.0.0.1:1", Type: "a", Zone: "z", Incarnation: rapid.Uint64().Draw(t, "session"), Seq: 3, FencingToken: rapid.Uint64().Draw(t, "token"),
			ReclaimIn: rapid.SampledFrom([]units.Microseconds{0, 5, units.MaxTime}).Draw(t, "notice"), Tasks: rapid.SliceOfN(task, 1, 5).Draw(t, "list")}
		if b, err = json.Marshal(EncodeHeartbeat(heartbeat, nil)); err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeHeartbeat(b)
		if err != nil || fmt.Sprintf("%+v", decoded) != fmt.Sprintf("%+v", heartbeat) {
			t.Fatalf("%s: %+v, want %+v; %v", b, decoded, heartbeat, err)
		}

		var want []fleet.Command
		commands := CommandList{FencingToken: heartbeat.FencingToken, Incarnation: &heartbeat.Incarnation}
		for _, x := range heartbeat.Tasks {
			c := fleet.Command{Op: rapid.SampledFrom([]fleet.Op{fleet.Start, fleet.Stop, fleet.Forget}).Draw(t, "op"), ID: x.ID, Attempt: x.Attempt}
			if c.Op == fleet.Stop {
				c.Grace = microseconds("grace")
			}
			want = append(want, c)
			commands.Commands = append(commands.Commands, EncodeCommand(c))
		}
		if b, err = json.Marshal(commands); err != nil {
			t.Fatal(err)
		}
		decodedCommands, err := DecodeCommandList(b)
		if err != nil || *decodedCommands.FencingToken != heartbeat.FencingToken || *decodedCommands.Incarnation != heartbeat.Incarnation || fmt.Sprint(decodedCommands.Commands) != fmt.Sprint(want) {
			t.Fatalf("%s: %+v, want %v; %v", b, decodedCommands, want, err)
		}
	})
}

// FuzzDecodeResponses checks that arbitrary bytes, decoded as responses to workers and users, are either
// rejected or yield valid values.
func FuzzDecodeResponses(f *testing.F) {
	f.Add([]byte(`{"baton":41,"calls":[{"call_kind":"run","cue":"wk-000412/4","take":2},{"call_kind":"stop","cue":"wk-000377/1","take":1,"bow_s":10}]}`))
	f.Add([]byte(`{"stage_manager":"n"}`))
	f.Add([]byte(`{"name_id":"wk-000412","status":"aborted","done":1,"running":0}`))
	f.Add([]byte(`{"error":"busy"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if o, err := DecodeCommandList(b); err == nil {
			for _, c := range o.Commands {
				if !jobs.ValidID(c.ID.Job) || c.Grace < 0 {
					t.Errorf("accepted the invalid command %+v", c)
				}
			}
		}
		if _, s, err := DecodeJobStatus(b); err == nil && s == "" {
			t.Error("accepted a job without a status")
		}
		ProblemText(b)
	})
}
