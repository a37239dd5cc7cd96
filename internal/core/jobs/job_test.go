package jobs

import (
	"testing"

	"pgregory.net/rapid"

	_ "shalestage.example/shalestage/internal/fixedseed"
)

// TestRangesRoundTrip checks that finished tasks encoded as ranges decode to the same tasks, and
// that the text stays below the value limit of the state service for any pattern.
func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kb := rapid.IntRange(2, 64).Draw(t, "value_kb")
		tasksPerRecord := TasksPerRecord(float64(kb))
		first := tasksPerRecord * rapid.IntRange(0, 3).Draw(t, "chunk")
		var set Set
		step := rapid.IntRange(1, 5).Draw(t, "step")
		for i := first; i < first+tasksPerRecord; i += step {
			if step < 3 || rapid.IntRange(0, 9).Draw(t, "skip") > 0 {
				set.Add(i)
			}
		}
		text := set.Ranges(first, first+tasksPerRecord)
		if len(text)+32 > kb*1024 {
			t.Fatalf("%d bytes for a limit of %d KiB", len(text), kb)
		}
		var decoded Set
		if err := decoded.AddRanges(text, first, first+tasksPerRecord); err != nil {
			t.Fatal(err)
		}
		if decoded.Len() != set.Len() || decoded.Ranges(first, first+tasksPerRecord) != text {
			t.Fatalf("%q reads back as %q", text, decoded.Ranges(first, first+tasksPerRecord))
		}
	})
}

func FuzzRanges(f *testing.F) {
	f.Add("0-4,7")
	f.Add("-1")
	f.Add("3-2,")
	f.Fuzz(func(t *testing.T, text string) {
		var s Set
		err := s.AddRanges(text, 0, 2048)
		if err != nil && s.Len() > 0 {
			t.Fatalf("%q is malformed, but added %d tasks", text, s.Len())
		}
		for i := 2048; i < 4096; i++ {
			if s.Has(i) {
				t.Fatalf("%q reaches beyond its record", text)
			}
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"status":"done","tasks":3}`))
	f.Add([]byte(`{"status":"pending","tasks":1,"spec":{"tasks":1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err == nil && !r.Status.Final() && (r.Spec == nil || !r.Spec.Valid() || r.Tasks > MaxTasks) {
			t.Fatalf("%s read as %+v", b, r)
		}
	})
}

// TestTaskAccounting checks that each task of a job is in exactly one
// state, ready, placed or finished, after any sequence of changes.
func TestTaskAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "tasks")
		job := &Job{ID: "wk-000001", Record: Record{Status: Pending, Tasks: n, Spec: &Spec{Tasks: n}}}
		job.Reset()
		placed, finished := map[int]bool{}, map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				if job.Ready() == 0 {
					t.Skip()
				}
				k := job.PlaceNext(Place{Machine: "m"})
				if placed[k] || finished[k] {
					t.Fatalf("task %d is placed again though it is placed or finished", k)
				}
				placed[k] = true
			},
			"adopt": func(t *rapid.T) {
				k := rapid.IntRange(0, n-1).Draw(t, "task")
				if placed[k] || finished[k] {
					t.Skip()
				}
				job.Adopt(k, Place{Machine: "m"})
				placed[k] = true
			},
			"finish": func(t *rapid.T) {
				k := rapid.IntRange(0, n-1).Draw(t, "task")
				job.Finish(k, ProgressLayout{TasksPerRecord: 256})
				finished[k] = true
			},
			"release": func(t *rapid.T) {
				k := rapid.IntRange(0, n-1).Draw(t, "task")
				job.Release(k)
				delete(placed, k)
			},
			"": func(t *rapid.T) {
				ready := 0
				for k := range n {
					if !placed[k] && !finished[k] {
						ready++
					}
				}
				if job.Ready() != ready || job.Placed() != len(placed) || job.Finished() != len(finished) {
					t.Fatalf("ready %d placed %d finished %d, want %d %d %d", job.Ready(), job.Placed(), job.Finished(), ready, len(placed), len(finished))
				}
				if job.AllFinished() != (len(finished) == n) {
					t.Fatalf("all finished: %v with %d of %d", job.AllFinished(), len(finished), n)
				}
			},
		})
	})
}

func TestIDFormats(t *testing.T) {
	for id, want := range map[string]bool{"wk-000412": true, "wk-1234567": true, "wk-412": false, "wk-0001234": false,
		"job-000412": false, "wk-00041x": false, "": false, "wk-000412/3": false} {
		if ValidID(id) != want {
			t.Errorf("%q: %v", id, !want)
		}
	}
	for s, want := range map[string]bool{"wk-000412/3": true, "wk-000412/03": false, "wk-000412": false, "wk-000412/-1": false, "wk-000412/100000": false} {
		if _, err := ParseTaskID(s); (err == nil) != want {
			t.Errorf("%q: %v", s, err)
		}
	}
}
