package introspect

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

func pending(awaits ...string) jobs.Record {
	return jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Team: "t", Tasks: 1, Awaits: awaits}}
}

// healthy returns the contents of a state service without findings.
func healthy() map[string]any {
	return map[string]any{
		keys.Leader:                     authority.LeaderRecord{Node: "a"},
		keys.Term:                       authority.Term{Term: 3},
		keys.MemberPrefix + "a":         authority.Member{},
		keys.Assignment(0):              authority.Assignment{Term: 3, Node: "a", MemberID: 7},
		keys.Job("wk-000001"):           pending(),
		keys.Job("wk-000002"):           pending("wk-000001"),
		keys.Progress("wk-000001", "0"): jobs.Progress{Tasks: "0"},
		keys.MachinePrefix + "r-1":      fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}, Booting: []string{"n-2"}},
		keys.TypePrefix + "big":         fleet.Type{Name: "big"},
	}
}

// findingTest is what a test stores in addition to healthy, or in place of it, and the expected finding.
type findingTest struct {
	stored map[string]any
	kind   string // "": no finding
	key    string
	guard  string // key that guards the write which clears it; "": no such write
}

func findingTests() map[string]findingTest {
	over := jobs.Record{Status: jobs.Done, Tasks: 1}
	chunked := jobs.Record{Status: jobs.Pending, Tasks: 1, Chunks: 2, Checksum: "s"}
	text := map[string]string{"text": "x"}
	return map[string]findingTest{
		"nothing": {},
		"foreign key": {
			stored: map[string]any{keys.Root + "what": 1}, kind: "foreign", key: keys.Root + "what"},
		"unreadable job": {
			stored: map[string]any{keys.Job("wk-000003"): "?"}, kind: "unreadable", key: keys.Job("wk-000003")},
		"unreadable shard number": {
			stored: map[string]any{keys.AssignmentPrefix + "x": authority.Assignment{}}, kind: "unreadable", key: keys.AssignmentPrefix + "x"},
		"unreadable assignment": {
			stored: map[string]any{keys.Assignment(1): "?"}, kind: "unreadable", key: keys.Assignment(1)},
		"unreadable machines": {
			stored: map[string]any{keys.MachinePrefix + "r-2": "?"}, kind: "unreadable", key: keys.MachinePrefix + "r-2"},
		"dependency without a record": {
			stored: map[string]any{keys.Job("wk-000003"): pending("wk-000009")}, kind: "awaits_nothing", key: keys.Job("wk-000003")},
		"chunks without a record": {
			stored: map[string]any{chunks.Key("wk-000003", "s", 0): text}, kind: "headless", key: chunks.Key("wk-000003", "s", 0)},
		"chunks of a job that is over": {
			stored: map[string]any{keys.Job("wk-000003"): over, chunks.Key("wk-000003", "s", 0): text},
			kind:   "leftover", key: chunks.Key("wk-000003", "s", 0), guard: keys.Job("wk-000003")},
		"chunk missing": {
			stored: map[string]any{keys.Job("wk-000003"): chunked, chunks.Key("wk-000003", "s", 0): text, chunks.Key("wk-000003", "other", 1): text},
			kind:   "incomplete", key: keys.Job("wk-000003")},
		"all chunks there": {
			stored: map[string]any{keys.Job("wk-000003"): chunked, chunks.Key("wk-000003", "s", 0): text, chunks.Key("wk-000003", "s", 1): text}},
		"progress of a job that is over": {
			stored: map[string]any{keys.Job("wk-000001"): over}, kind: "leftover", key: keys.Progress("wk-000001", "0"), guard: keys.Job("wk-000001")},
		"progress without a job": {
			stored: map[string]any{keys.Progress("wk-000003", "0"): jobs.Progress{}}, kind: "leftover", key: keys.Progress("wk-000003", "0"), guard: keys.Job("wk-000003")},
		"group without machines": {
			stored: map[string]any{keys.MachinePrefix + "r-2": fleet.Group{Type: "big", Zone: "z"}},
			kind:   "no_machines", key: keys.MachinePrefix + "r-2", guard: keys.MachinePrefix + "r-2"},
		"machines of no shard": {
			stored: map[string]any{keys.MachinePrefix + "r-2": fleet.Group{Shard: 4, Type: "big", Zone: "z", Up: []string{"n-3"}}},
			kind:   "no_block", key: keys.MachinePrefix + "r-2"},
		"owner without a membership": {
			stored: map[string]any{keys.Assignment(1): authority.Assignment{Term: 3, Node: "a", MemberID: 6}}, kind: "no_seat", key: keys.Assignment(1)},
		"type where older releases look": {
			stored: map[string]any{keys.ArchiveMark: struct{}{}}, kind: "leftover", key: keys.TypePrefix + "big"},
	}
}

// TestFindings guards against an audit that misses a fault or clears something that is still in use. Each
// case stores one fault. Only findings with a write that is guarded by what was inspected may be cleared.
func TestFindings(t *testing.T) {
	for name, test := range findingTests() {
		t.Run(name, func(t *testing.T) {
			stored := healthy()
			for key, value := range test.stored {
				stored[key] = value
			}
			inspector := NewInspector()
			for _, key := range sortedKeys(stored) {
				inspector.Inspect(store.Event{Key: key, Value: store.Value(stored[key]), Stamp: 7})
			}
			found := inspector.Findings()
			if test.kind == "" {
				if len(found) != 0 {
					t.Errorf("found %+v", found)
				}
				return
			}
			if len(found) != 1 || found[0].Kind != test.kind || found[0].Key != test.key {
				t.Fatalf("found %+v", found)
			}
			clear := found[0].Clear
			if found[0].Fix != (test.guard != "") || found[0].Fix != (clear != nil) {
				t.Fatalf("can be cleared: %v", found[0].Fix)
			}
			if clear != nil && (len(clear.Guards) != 1 || clear.Guards[0].Key != test.guard || clear.Changes[0].Key != test.key || clear.Changes[0].Value != nil) {
				t.Errorf("cleared by %+v", clear)
			}
		})
	}
}

// TestKeysAndMachines guards against wrong counts of keys and machines in the audit's result.
func TestKeysAndMachines(t *testing.T) {
	inspector := NewInspector()
	for key, value := range healthy() {
		inspector.Inspect(store.Event{Key: key, Value: store.Value(value), Stamp: 7})
	}
	counts, archived := inspector.Keys()
	if counts[keys.Root+"job"] != 2 || counts[keys.Root+"machine"] != 1 || archived != 0 {
		t.Errorf("%v, %d archived", counts, archived)
	}
	machines := inspector.Machines()
	if len(machines) != 2 || machines["n-2"] != keys.MachinePrefix+"r-1" {
		t.Errorf("%v", machines)
	}
}

func machine(name string, spot, up bool, tasks int) *fleet.Machine {
	m := fleet.New(name, fleet.Record{Type: "big", Zone: "z", Spot: spot, Up: up}, &fleet.Type{Name: "big", Capacity: binpack.Vec{4000, 0, 8}}, 0)
	if up {
		m.LastSeen = units.Second
	}
	for task := range tasks {
		m.SetAttempt(jobs.TaskID{Job: "wk-000001", Task: task}, fleet.Attempt{Number: 1, Demand: binpack.Vec{1000, 0, 1}})
	}
	return m
}

// TestShardStats guards against machines counted for the
// wrong kind, and against figures that are not logged.
func TestShardStats(t *testing.T) {
	stats := ShardStats{Shard: 1}
	stats.AddMachines(map[string]*fleet.Machine{
		"n-1": machine("n-1", false, true, 3), "n-2": machine("n-2", false, true, 0),
		"n-3": machine("n-3", true, false, 0), "n-4": machine("n-4", true, true, 1),
	})
	job := &jobs.Job{ID: "wk-000001", Record: jobs.Record{Status: jobs.Pending, Tasks: 5, Spec: &jobs.Spec{Tasks: 5}}}
	job.ClearPlacements()
	job.Reset()
	stats.AddJobs([]*jobs.Job{job})
	if want := (PoolStats{Machines: 2, Idle: 1, UsedCPUs: 3, CPUs: 8}); stats.Ordinary != want {
		t.Errorf("ordinary %+v", stats.Ordinary)
	}
	if want := (PoolStats{Machines: 2, Booting: 1, UsedCPUs: 1, CPUs: 8}); stats.Spot != want {
		t.Errorf("spot %+v", stats.Spot)
	}
	if stats.Jobs != 1 || stats.Waiting != 5 || stats.Placed != 0 {
		t.Errorf("%+v", stats)
	}
	var out bytes.Buffer
	stats.Log(slog.New(slog.NewJSONHandler(&out, nil)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	messages := make([]string, len(lines))
	for i, line := range lines {
		var entry struct{ Msg, Kind string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		messages[i] = entry.Msg + " " + entry.Kind
	}
	if want := []string{"fleet ordinary", "fleet spot", "work "}; !slices.Equal(messages, want) {
		t.Errorf("logged %q", messages)
	}
}

// TestExplainPendingJob checks that the text names what a job waits for:
// dependencies, the shard's other owner, or its own shard's machines.
func TestExplainPendingJob(t *testing.T) {
	job := &jobs.Job{ID: "wk-000002", OpenDependencies: 1, CancelledBy: "wk-000001", Record: pending("wk-000001")}
	job.ClearPlacements()
	for name, test := range map[string]struct {
		state JobState
		want  []string
	}{
		"elsewhere": {JobState{Job: job, Other: &RemoteShard{Assignment: 5, Leader: "b", Membership: "member", Cache: "loaded", Writes: 3}},
			[]string{"wk-000002: pending", "waits for 1 of [wk-000001]", "cancelled with wk-000001", "assigned as 5", `leader "b"; member; loaded; 3 writes wait`}},
		"here": {JobState{Job: job, Shard: &OwnedShard{Number: 2, Unreconciled: 4, Machines: map[string]*fleet.Machine{"n-1": machine("n-1", true, true, 1)}}},
			[]string{"team t uses", "shard 2", "unreconciled 4", "\n  n-1 big/z spot true: up true, tasks 1, schedulable false (reconciled false"}},
	} {
		got := Explain(test.state)
		for _, want := range test.want {
			if !strings.Contains(got, want) {
				t.Errorf("%s: no %q in %s", name, want, got)
			}
		}
	}
}
