package sim

import (
	"encoding/json"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// waitTimes are the times that users waited: for acceptance, for a cancellation, and from the last completed
// task to the stored end of the job.
type waitTimes struct{ accepted, cancelled, finished []units.Microseconds }

// jobsStoredDone returns the ids of jobs whose stored record has the status done.
func (w *World) jobsStoredDone() map[string]bool {
	done := map[string]bool{}
	w.State.ForEach(func(it kv.Item) {
		var r struct{ Status jobs.Status }
		const prefix = "shalestage/job/"
		if len(it.Key) > len(prefix) && it.Key[:len(prefix)] == prefix && json.Unmarshal(it.Value, &r) == nil && r.Status == jobs.Done {
			done[it.Key[len(prefix):]] = true
		}
	})
	return done
}

// measureWaits runs until the given time and checks the jobs every 10 ms. The wait for a cancellation starts
// CancelAfter after the job was seen accepted. The wait for an end is from the completion of the last task to
// the job's record.
func (w *World) measureWaits(until units.Microseconds, submitted []*user.Job) waitTimes {
	const step = 10 * millis
	var out waitTimes
	accepted, over, complete := map[string]units.Microseconds{}, map[string]bool{}, map[string]units.Microseconds{}
	var done map[string]bool
	var rev uint64
	for t := step; t <= until; t += step {
		w.Run(t)
		if now := w.State.Rev(); now != rev {
			rev, done = now, w.jobsStoredDone()
		}
		for _, job := range submitted {
			if accepted[job.ID] == 0 && job.Accepted {
				accepted[job.ID] = t
				out.accepted = append(out.accepted, t-job.At)
			}
			if complete[job.ID] == 0 && job.DoneTasks() == job.Spec.Tasks {
				complete[job.ID] = t
			}
			switch {
			case over[job.ID]:
			case job.CancelAfter > 0 && job.FinalStatus == jobs.Cancelled:
				over[job.ID] = true
				out.cancelled = append(out.cancelled, job.FinalAt-accepted[job.ID]-job.CancelAfter)
			case job.CancelAfter == 0 && done[job.ID]:
				over[job.ID] = true
				out.finished = append(out.finished, t-complete[job.ID])
			}
		}
	}
	return out
}

// runWithLostResponses submits four jobs a second, and cancels a third of them within seconds, while a share
// of the transactions is committed but gets no response.
func runWithLostResponses(t *testing.T, share float64) waitTimes {
	var all waitTimes
	for seed := uint64(1); seed <= 2; seed++ {
		s := deployment(3, 0)
		if share > 0 {
			s.Faults = []scenario.Fault{{Kind: scenario.StateUnanswered, AtS: 20, ForS: 90, Share: share}}
		}
		w := New(s, Options{Seed: seed})
		var submitted []*user.Job
		for i := range 200 {
			cancel := units.Microseconds(0)
			if i%3 == 0 {
				cancel = 2*second + units.Microseconds(i)*17*millis
			}
			submitted = append(submitted, w.submitJob(30*second+units.Microseconds(i)*second/4, &jobs.Spec{Class: "x", Team: "green", Tasks: 1, Demand: binpack.Vec{500, 0, 500},
				AnyType: true, Spot: true, Image: "i", Estimate: 2 * second}, 2*second+cancel*2, cancel))
		}
		x := w.measureWaits(110*second, submitted)
		for _, b := range w.Check.Violations() {
			t.Errorf("seed %d: %v", seed, b)
		}
		all.accepted, all.cancelled, all.finished = append(all.accepted, x.accepted...), append(all.cancelled, x.cancelled...), append(all.finished, x.finished...)
	}
	if len(all.accepted) < 400 || len(all.cancelled) < 100 || len(all.finished) < 200 {
		t.Fatalf("too few samples: %d accepted, %d cancelled, %d ended", len(all.accepted), len(all.cancelled), len(all.finished))
	}
	return all
}

// TestLostTransactionResponses guards against waiting for the request timeout of 1 s whenever the response to
// a transaction is lost, which also delayed the transactions queued behind it. Three in ten transactions are
// committed and their responses lost. The 95th percentile of submissions and cancellations must stay within
// 200 ms, and that of job ends within 200 ms of the run without losses, because the heartbeat that reports an
// end takes time anyway.
func TestLostTransactionResponses(t *testing.T) {
	t.Parallel()
	const late = 200 * millis
	baseline, lost := runWithLostResponses(t, 0), runWithLostResponses(t, 0.3)
	p95 := func(times []units.Microseconds) units.Microseconds {
		slices.Sort(times)
		return times[len(times)*95/100]
	}
	t.Logf("95%% with and without the loss: accepted %d and %d us, cancelled %d and %d us, ended %d and %d us",
		p95(lost.accepted), p95(baseline.accepted), p95(lost.cancelled), p95(baseline.cancelled), p95(lost.finished), p95(baseline.finished))
	if got := p95(lost.accepted); got > late {
		t.Errorf("95th percentile of submissions is %d us", got)
	}
	if got := p95(lost.cancelled); got > late {
		t.Errorf("95th percentile of cancellations is %d us", got)
	}
	if got := p95(lost.finished) - p95(baseline.finished); got > late {
		t.Errorf("95th percentile of job ends is %d us longer than without the loss", got)
	}
}
