package jobs

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
)

// productionRead reads a record of finished tasks as the releases before 0.3 do:
// by its number and the old value limit alone.
func productionRead(s *Set, name, ranges string, tasks int, formerKB float64) error {
	n, err := strconv.Atoi(name)
	if err != nil {
		return err
	}
	lo := n * TasksPerRecord(formerKB)
	return s.AddRanges(ranges, lo, min(lo+TasksPerRecord(formerKB), tasks))
}

// storeRound has a job finish some tasks and stores them as one release or the other does.
func storeRound(t *rapid.T, job *Job, writer ProgressLayout, limit int, stored map[string]string) {
	tasks := job.Record.Tasks
	step := rapid.IntRange(1, 4).Draw(t, "step")
	for i := rapid.IntRange(0, tasks-1).Draw(t, "from"); i < tasks && rapid.IntRange(0, 300).Draw(t, "stop") > 0; i += step {
		job.Finish(i, writer)
	}
	if job.AllFinished() {
		job.finished = Set{}
	}
	for _, first := range job.TakeDirty() {
		part := writer.PartFor(first, tasks)
		stored[part.Name] = job.FinishedRanges(part)
		if len(stored[part.Name])+40 > limit {
			t.Fatalf("%d bytes in %q for a limit of %d", len(stored[part.Name]), part.Name, limit)
		}
	}
}

// TestProgressOfBothReleases: finished tasks that either release stores read back the same in both,
// under the old value limit and the smaller one, and whichever of them writes next.
func TestProgressOfBothReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		formerKB := float64(rapid.SampledFrom([]int{2, 4, 8, 32}).Draw(t, "old_kb"))
		newKB := min(formerKB, float64(rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "new_kb")))
		tasks := rapid.IntRange(1, 9000).Draw(t, "tasks")
		former := ProgressLayout{TasksPerRecord: TasksPerRecord(formerKB)}
		layout := ProgressLayout{TasksPerRecord: former.TasksPerRecord, Pieces: TasksPerRecord(newKB) < former.TasksPerRecord}
		job := &Job{Record: Record{Status: Pending, Tasks: tasks, Spec: &Spec{Tasks: tasks}}}
		job.ClearPlacements()
		stored := map[string]string{}
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "old_writes") {
				storeRound(t, job, former, int(formerKB*1024), stored)
			} else {
				storeRound(t, job, layout, int(newKB*1024), stored)
			}
		}
		var production Set
		next := &Job{Record: job.Record}
		names := layout.Names(tasks)
		for name, text := range stored {
			if err := productionRead(&production, name, text, tasks, formerKB); err != nil {
				t.Fatalf("%q as production reads it: %v", name, err)
			}
			n, _ := strconv.Atoi(name)
			if err := next.LoadProgress(n, layout, Progress{Tasks: text}); err != nil {
				t.Fatalf("%q: %v", name, err)
			}
			if !slices.Contains(names, name) {
				t.Fatalf("%q would not be deleted", name)
			}
		}
		if want := job.finished.Ranges(0, tasks); production.Ranges(0, tasks) != want || next.finished.Ranges(0, tasks) != want {
			t.Fatalf("finished %s\nproduction reads %s\nthis release %s", want, production.Ranges(0, tasks), next.finished.Ranges(0, tasks))
		}
	})
}

// A description of any size fits values of any size in parts, and no other text
// is taken for it.
func TestChunksOfDescription(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &Spec{Class: rapid.String().Draw(t, "class"), Team: strings.Repeat("\"<é\\", rapid.IntRange(0, 400).Draw(t, "team")), Tasks: 1}
		for range rapid.IntRange(0, 5000).Draw(t, "awaits") {
			spec.Awaits = append(spec.Awaits, "wk-000001")
		}
		limit := rapid.IntRange(200, 9000).Draw(t, "limit")
		r, parts := Record{Status: Pending, Tasks: 1, Submitted: 5, Shard: 1, Spec: spec}.Split(limit)
		var texts []string
		for _, p := range parts {
			if len(p) > limit {
				t.Fatalf("a part of %d bytes for a limit of %d", len(p), limit)
			}
			text, err := ChunkText(p)
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, text)
		}
		if len(parts) > MaxChunks {
			t.Skip()
		}
		back, err := DecodeRecord(r.Encode())
		if err != nil || len(r.Encode()) > 200 || back.Spec != nil {
			t.Fatalf("%s: %v", r.Encode(), err)
		}
		if err := back.Join(texts); err != nil {
			t.Fatal(err)
		}
		if string(store.Value(back.Spec)) != string(store.Value(spec)) {
			t.Fatal("another description")
		}
		texts[0] = "x" + texts[0]
		if err := back.Join(texts); err == nil {
			t.Fatal("other parts are taken")
		}
	})
}
