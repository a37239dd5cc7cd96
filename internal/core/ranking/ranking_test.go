package ranking

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestQueueMatchesFullSort guards against errors in the incremental order
// and the ranking by equivalence class. It adds and removes random jobs, and
// compares the order with a full sort and the offered jobs with a full scan.
func TestQueueMatchesFullSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var queue Queue
	there := map[*jobs.Job]bool{}
	var known []*jobs.Job
	for round := range 2000 {
		for range rng.IntN(4) {
			j := &jobs.Job{ID: fmt.Sprintf("wk-%06d", rng.IntN(1_000_000)), Since: units.Microseconds(round + rng.IntN(50)),
				Record: jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, Spot: rng.IntN(2) == 0, Types: []string{"a", "b"}[:rng.IntN(3)], Demand: binpack.Vec{int64(rng.IntN(5))}}}}
			j.Reset()
			known = append(known, j)
		}
		for range rng.IntN(12) {
			if len(known) == 0 {
				break
			}
			j := known[rng.IntN(len(known))]
			if rng.IntN(3) == 0 {
				queue.Remove(j)
				delete(there, j)
			} else {
				queue.Add(j)
				there[j] = true
			}
		}
		known = known[max(0, len(known)-100):]
		if rng.IntN(3) > 0 {
			continue
		}
		queue.ApplyChanges()
		var want []*jobs.Job
		for j := range there {
			want = append(want, j)
		}
		slices.SortFunc(want, byStart)
		if !slices.Equal(queue.Jobs(), want) || queue.Len() != len(want) {
			t.Fatalf("round %d: %d jobs, want %d in order", round, len(queue.Jobs()), len(want))
		}
		compareOffers(t, &queue, want, rng)
	}
}

// compareOffers compares the jobs that Each offers with those found by a full sort and scan.
func compareOffers(t *testing.T, queue *Queue, ranked []*jobs.Job, rng *rand.Rand) {
	t.Helper()
	type offer struct {
		job           *jobs.Job
		tier, deficit int
	}
	var all []offer
	queue.BeginRanking()
	for _, j := range ranked {
		o := offer{j, rng.IntN(3), rng.IntN(3)}
		all = append(all, o)
		queue.AddCandidate(Candidate{Job: j, Tier: o.tier, Deficit: float64(o.deficit)})
	}
	queue.FinishRanking()
	slices.SortStableFunc(all, func(a, b offer) int { return (b.tier-a.tier)*10 + b.deficit - a.deficit })
	free := binpack.Vec{int64(rng.IntN(6))}
	feasible := func(s *jobs.Spec) bool { return s.Demand.Fits(free) && s.Allows("a", "z", true) }
	var want, got []*jobs.Job
	for _, o := range all {
		if feasible(o.job.Spec()) {
			want = append(want, o.job)
		}
	}
	most := 1 + rng.IntN(20)
	want = want[:min(most, len(want))]
	queue.Each(feasible, func(c Candidate, _ int) bool {
		got = append(got, c.Job)
		return len(got) < most
	})
	if !slices.Equal(got, want) {
		t.Fatalf("%d jobs are offered, want %d, in ranking order", len(got), len(want))
	}
}

// TestExhaustedJobsNotRescanned guards against quadratic cost. Jobs start
// their last ready task one after the other. In a large queue they must not
// be examined again for each later job, and the next job must still be found.
func TestExhaustedJobsNotRescanned(t *testing.T) {
	var queue Queue
	for i := range 2 * smallQueue {
		j := &jobs.Job{ID: fmt.Sprintf("wk-%06d", i), Record: jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1}}}
		j.Reset()
		queue.Add(j)
	}
	queue.ApplyChanges()
	queue.BeginRanking()
	for _, j := range queue.Jobs() {
		queue.AddCandidate(Candidate{Job: j})
	}
	queue.FinishRanking()
	any := func(*jobs.Spec) bool { return true }
	from := queue.Steps()
	for i := range smallQueue {
		queue.Each(any, func(c Candidate, _ int) bool {
			if c.Job != queue.Jobs()[i] {
				t.Fatalf("offered %s at position %d", c.Job.ID, i)
			}
			c.Job.PlaceNext(jobs.Place{})
			return false
		})
	}
	if steps := queue.Steps() - from; steps > 4*smallQueue {
		t.Errorf("%d steps for %d tasks, want at most 4 per task", steps, smallQueue)
	}
}
