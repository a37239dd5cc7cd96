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

// waits are the times that users waited, by what for.
type waits struct{ accepted, cancelled, ended []units.Microseconds }

// storedDone returns the jobs whose records say that they are done.
func (w *World) storedDone() map[string]bool {
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

// waitsFor plays until a time and looks every 10 ms at what became of the jobs. A cancelled
// job's user asks some time after the job was accepted; an end counts from the last task's
// completion to its record.
func (w *World) waitsFor(until units.Microseconds, submitted []*user.Job) waits {
	const step = 10 * millis
	var out waits
	accepted, over, complete := map[string]units.Microseconds{}, map[string]bool{}, map[string]units.Microseconds{}
	var done map[string]bool
	var rev uint64
	for t := step; t <= until; t += step {
		w.Run(t)
		if now := w.State.Rev(); now != rev {
			rev, done = now, w.storedDone()
		}
		for _, j := range submitted {
			if accepted[j.ID] == 0 && j.Accepted {
				accepted[j.ID] = t
				out.accepted = append(out.accepted, t-j.At)
			}
			if complete[j.ID] == 0 && j.DoneTasks() == j.Spec.Tasks {
				complete[j.ID] = t
			}
			switch {
			case over[j.ID]:
			case j.CancelAfter > 0 && j.Final == jobs.Cancelled:
				over[j.ID] = true
				out.cancelled = append(out.cancelled, j.Over-accepted[j.ID]-j.CancelAfter)
			case j.CancelAfter == 0 && done[j.ID]:
				over[j.ID] = true
				out.ended = append(out.ended, t-complete[j.ID])
			}
		}
	}
	return out
}

// lostAnswers plays jobs that come four a second, a third of them cancelled within
// seconds, while a share of the transactions is carried out and gets no answer.
func lostAnswers(t *testing.T, share float64) waits {
	var all waits
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
			submitted = append(submitted, w.submit(30*second+units.Microseconds(i)*second/4, &jobs.Spec{Class: "x", Team: "green", Tasks: 1, Demand: binpack.Vec{500, 0, 500},
				AnyType: true, Spot: true, Image: "i", Estimate: 2 * second}, 2*second+cancel*2, cancel))
		}
		x := w.waitsFor(110*second, submitted)
		for _, b := range w.Check.Violations() {
			t.Errorf("seed %d: %v", seed, b)
		}
		all.accepted, all.cancelled, all.ended = append(all.accepted, x.accepted...), append(all.cancelled, x.cancelled...), append(all.ended, x.ended...)
	}
	if len(all.accepted) < 400 || len(all.cancelled) < 100 || len(all.ended) < 200 {
		t.Fatalf("%d accepted, %d cancelled, %d ended", len(all.accepted), len(all.cancelled), len(all.ended))
	}
	return all
}

// TestAnswersLost has three in ten transactions carried out and their answers lost. No more
// than one in twenty submissions, and cancellations, may need longer than 200 ms, and the
// ends as much longer than without the loss: the report of an end takes its time anyway.
// These needed the request's timeout of 1 s, and so did what waited behind them.
func TestAnswersLost(t *testing.T) {
	const late = 200 * millis
	usual, lost := lostAnswers(t, 0), lostAnswers(t, 0.3)
	p95 := func(times []units.Microseconds) units.Microseconds {
		slices.Sort(times)
		return times[len(times)*95/100]
	}
	t.Logf("95%% with and without the loss: accepted %d and %d us, cancelled %d and %d us, ended %d and %d us",
		p95(lost.accepted), p95(usual.accepted), p95(lost.cancelled), p95(usual.cancelled), p95(lost.ended), p95(usual.ended))
	if got := p95(lost.accepted); got > late {
		t.Errorf("submissions: %d us", got)
	}
	if got := p95(lost.cancelled); got > late {
		t.Errorf("cancellations: %d us", got)
	}
	if got := p95(lost.ended) - p95(usual.ended); got > late {
		t.Errorf("ends: %d us more", got)
	}
}
