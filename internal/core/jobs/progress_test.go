package jobs

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/store"
)

// readAsOlderRelease reads a record of finished tasks as the releases
// before 0.3 do: by its number and the former value limit alone.
func readAsOlderRelease(s *Set, name, ranges string, tasks int, formerKB float64) error {
	n, err := strconv.Atoi(name)
	if err != nil {
		return err
	}
	lo := n * TasksPerRecord(formerKB)
	return s.AddRanges(ranges, lo, min(lo+TasksPerRecord(formerKB), tasks))
}

// storeRound finishes some tasks of a job and stores them in the layout of one release.
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

// TestProgressReadableAcrossReleases checks that finished tasks stored by the older or the newer release, in
// any order and under the former value limit or a smaller one, read back the same in both releases.
func TestProgressReadableAcrossReleases(t *testing.T) {
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
		var older Set
		next := &Job{Record: job.Record}
		names := layout.Names(tasks)
		for name, text := range stored {
			if err := readAsOlderRelease(&older, name, text, tasks, formerKB); err != nil {
				t.Fatalf("%q as the older release reads it: %v", name, err)
			}
			n, _ := strconv.Atoi(name)
			if err := next.LoadProgress(n, layout, Progress{Tasks: text}); err != nil {
				t.Fatalf("%q: %v", name, err)
			}
			if !slices.Contains(names, name) {
				t.Fatalf("%q is not in Names and would not be deleted", name)
			}
		}
		if want := job.finished.Ranges(0, tasks); older.Ranges(0, tasks) != want || next.finished.Ranges(0, tasks) != want {
			t.Fatalf("finished %s\nthe older release reads %s\nthis release %s", want, older.Ranges(0, tasks), next.finished.Ranges(0, tasks))
		}
	})
}

// TestSpecChunksRoundTrip checks that a job spec of any size is stored in chunks within the value
// limit and joins to the same spec, and that chunks of another text are rejected.
func TestSpecChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &Spec{Class: rapid.String().Draw(t, "class"), Team: strings.Repeat("\"<é\\", rapid.IntRange(0, 400).Draw(t, "team")), Tasks: 1}
		for range rapid.IntRange(0, 5000).Draw(t, "awaits") {
			spec.Awaits = append(spec.Awaits, "wk-000001")
		}
		limit := rapid.IntRange(200, 9000).Draw(t, "limit")
		r, chunks := Record{Status: Pending, Tasks: 1, Submitted: 5, Shard: 1, Spec: spec}.Split(limit)
		var texts []string
		for _, chunk := range chunks {
			if len(chunk) > limit {
				t.Fatalf("a chunk of %d bytes for a limit of %d", len(chunk), limit)
			}
			text, err := ChunkText(chunk)
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, text)
		}
		if len(chunks) > MaxChunks {
			t.Skip()
		}
		decoded, err := DecodeRecord(r.Encode())
		if err != nil || len(r.Encode()) > 200 || decoded.Spec != nil {
			t.Fatalf("%s: %v", r.Encode(), err)
		}
		if err := decoded.Join(texts); err != nil {
			t.Fatal(err)
		}
		if string(store.Value(decoded.Spec)) != string(store.Value(spec)) {
			t.Fatal("the joined job spec differs from the original")
		}
		texts[0] = "x" + texts[0]
		if err := decoded.Join(texts); err == nil {
			t.Fatal("chunks of another text are accepted")
		}
	})
}
