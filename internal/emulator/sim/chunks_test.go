package sim

import (
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/introspect"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// TestChunksOfAbandonedSubmissions guards against leaked or missing chunks of job specs. Submissions have
// specs that are stored in several chunks, while controllers crash, one by one and all at once, and
// transactions are applied late or get no response, so that users abandon some submissions half-way. Their
// chunks must be deleted in the end, although a late transaction may still store the job's record, and no
// record may ever exist without all of its chunks.
func TestChunksOfAbandonedSubmissions(t *testing.T) {
	t.Parallel()
	seen := 0
	for seed := range uint64(2) {
		s := earlyArchiving()
		s.Controllers.KeepDone, s.Controllers.PackSettleS, s.Controllers.RestartS = 8192, 0.5, 20
		s.Users.LateRetries = 0.3
		w := New(s, Options{Seed: seed + 1})
		var first []*user.Job
		spec := &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{500, 0, 500}, AnyType: true, Image: "i", Estimate: second}
		for i := range 700 {
			first = append(first, w.submitJob(units.Microseconds(i)*second/20, spec, second, 0))
		}
		for i := range 40 {
			w.submitJob(80*second+units.Microseconds(i)*second, spec, second, 0, first...)
		}
		for at := 80.0; at < 130; at += 1 + w.rng.Float64() {
			w.schedule(units.Seconds(at+w.rng.Float64()), func() { w.Nodes[w.rng.IntN(3)].Crash() })
			w.schedule(units.Seconds(at), func() { w.InjectFault(scenario.Fault{Kind: scenario.StateLate, ForS: 0.3}) })
		}
		for at := 80 * second; at < 300*second; at += second {
			w.Run(at)
			for _, f := range storedFindings(w) {
				switch f.Kind {
				case "headless":
					seen++
				case "incomplete":
					t.Fatalf("seed %d at %.1f s: %s: %s", seed+1, at.Seconds(), f.Key, f.Text)
				}
			}
		}
		w.Run(500 * second)
		for _, f := range storedFindings(w) {
			if f.Kind == "headless" {
				t.Errorf("seed %d: orphaned chunk %s is left: %s", seed+1, f.Key, f.Text)
			}
		}
		w.Check.Finish(w.now, true)
		if b := w.Check.Violations(); len(b) > 0 {
			t.Errorf("seed %d: %v", seed+1, b)
		}
	}
	if seen == 0 {
		t.Error("no submission was abandoned half-way")
	}
}

// storedFindings returns the inconsistencies of the stored records.
func storedFindings(w *World) []introspect.Finding {
	in := introspect.NewInspector()
	w.State.ForEach(func(it kv.Item) {
		if strings.HasPrefix(it.Key, core.Root) {
			in.Inspect(store.Event{Key: it.Key, Value: it.Value, Stamp: it.Version})
		}
	})
	return in.Findings()
}
