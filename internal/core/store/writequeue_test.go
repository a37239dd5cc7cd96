package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// TestWriteQueueOutcomes guards against a write that completes twice or never, and against transactions that
// exceed the limits or overlap. Transactions end with every outcome.
func TestWriteQueueOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := &WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 50}
		doneCalls := map[int]int{}
		added := 0
		var now = int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := added
				w := &Write{Deferred: rapid.Bool().Draw(t, "late"), First: rapid.Bool().Draw(t, "first"), Done: func(Outcome, uint64) { doneCalls[id]++ }}
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					k := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))
					w.Changes = append(w.Changes, Change{Key: k, Value: json.RawMessage("1")})
					w.Guards = append(w.Guards, Guard{Key: k})
				}
				if queue.Add(w) {
					added++
				}
			},
			"go": func(t *rapid.T) {
				now += int64(rapid.IntRange(0, 400_000).Draw(t, "dt"))
				txn := queue.Next(micros(now))
				if txn == nil {
					t.Skip()
				}
				if len(txn.writes) > 1 && len(txn.Changes) > queue.MaxOps || len(txn.Guards) > 4*max(queue.MaxOps, 3) {
					t.Fatalf("%d changes, %d guards", len(txn.Changes), len(txn.Guards))
				}
				if queue.Next(micros(now)) != nil {
					t.Fatal("two transactions in flight")
				}
				var failed []string
				o := Outcome(rapid.IntRange(int(OK), int(TooLarge)).Draw(t, "outcome"))
				if o == Failed {
					failed = []string{txn.Guards[0].Key}
				}
				queue.Finish(micros(now), o, 1, failed)
			},
			"": func(t *rapid.T) {
				n := 0
				for id, k := range doneCalls {
					if k != 1 {
						t.Fatalf("Done of write %d was called %d times", id, k)
					}
					n++
				}
				if n+queue.Len() != added {
					t.Fatalf("%d completed and %d queued of %d", n, queue.Len(), added)
				}
			},
		})
	})
}

func micros(v int64) units.Microseconds { return units.Microseconds(v) }
