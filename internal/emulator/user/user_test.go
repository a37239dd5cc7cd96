package user

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/balance"
	"shalestage.example/shalestage/internal/emulator/work"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// TestUsersFollowProtocol guards against users who deviate from the protocol when calls fail. Replies
// are random or missing. Users must retry after a second or more, or after a Retry-After of up to 30 s,
// for at most a minute; submit a job only after the jobs that it awaits were accepted; and time out
// after 5 s, or 2 s for a poll.
func TestUsersFollowProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Options{}, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		var submitted []*Job
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			j := &Job{Job: &work.Job{ID: []string{"wk-000000", "wk-000001", "wk-000002", "wk-000003"}[i], Spec: &jobs.Spec{Tasks: 1}}}
			if i > 0 && rapid.Bool().Draw(t, "awaits") {
				j.Awaits = submitted[:1]
			}
			if rapid.Bool().Draw(t, "cancels") {
				j.CancelAfter = 20 * units.Second
			}
			c.Add(j)
			submitted = append(submitted, j)
		}
		tried := map[string]units.Microseconds{} // time of the last reply to a submission
		pause := map[string]units.Microseconds{} // Retry-After in that reply
		began := map[string]units.Microseconds{} // time of the first submission
		accepted := map[string]bool{}
		known := map[string]bool{} // accepted according to the reply to a cancellation
		for now := units.Microseconds(0); now < 200*units.Second; now = max(now+1, min(c.Next(), 200*units.Second)) {
			c.Advance(now)
			for _, e := range c.Drain() {
				call, ok := e.(Call)
				if !ok {
					continue
				}
				if want := map[Kind]units.Microseconds{Submit: 5 * units.Second, Cancel: 5 * units.Second, Poll: 2 * units.Second}[call.Kind]; call.Timeout != want {
					t.Fatalf("%v has a timeout of %d", call.Kind, call.Timeout)
				}
				a := Reply{Code: rapid.SampledFrom([]int{0, 503, 429, 500, 201}).Draw(t, "code"), Status: jobs.Pending,
					RetryAfter: units.Microseconds(rapid.IntRange(0, 40).Draw(t, "after")) * units.Second}
				if call.Kind == Submit {
					if at, again := tried[call.ID]; again && (accepted[call.ID] || now-at < max(units.Second, min(pause[call.ID], 30*units.Second))) {
						t.Fatalf("%s is submitted again %d after a reply; accepted: %v", call.ID, now-at, accepted[call.ID])
					}
					if _, again := began[call.ID]; !again {
						began[call.ID] = now
					}
					if now-began[call.ID] > 60*units.Second {
						t.Fatalf("%s is still submitted after %d", call.ID, now-began[call.ID])
					}
					for _, n := range call.Spec.Awaits {
						if !accepted[n] && !known[n] {
							t.Fatalf("%s is submitted before %s is accepted", call.ID, n)
						}
					}
					tried[call.ID], pause[call.ID] = now, a.RetryAfter
					accepted[call.ID] = a.Code == http.StatusCreated
				} else if a.Code == http.StatusCreated {
					a.Code = http.StatusOK
					if call.Kind == Cancel {
						a.Status, known[call.ID] = jobs.Cancelled, true
					}
				}
				c.HandleReply(now, call.Number, a)
				c.HandleReply(now, call.Number, Reply{Code: 422}) // a second reply must be ignored
			}
		}
		for _, j := range submitted {
			if j.Accepted == j.GaveUp {
				t.Fatalf("%s: accepted %v, given up %v", j.ID, j.Accepted, j.GaveUp)
			}
		}
	})
}

// TestBalancer guards against a load balancer that uses an unhealthy controller or drops a healthy one.
// A node that was never healthy needs one successful probe; two consecutive failures, or three of six,
// remove it; it returns after two successes and a pause, which doubles with each removal.
func TestBalancer(t *testing.T) {
	b := balance.New(2, 0, rand.New(rand.NewPCG(1, 1)))
	probe := func(at float64, ok ...bool) {
		for i, o := range ok {
			b.HandleProbe(units.Seconds(at+float64(i)), 0, o)
		}
	}
	healthy := func(want bool, when string) {
		t.Helper()
		if b.Healthy(0) != want {
			t.Errorf("%s: healthy %v", when, !want)
		}
	}
	healthy(false, "at first")
	probe(1, true)
	healthy(true, "after one success")
	probe(2, false)
	healthy(true, "after one failure")
	probe(3, false)
	healthy(false, "after two")
	probe(3.5, true, true)
	healthy(false, "before the pause is over")
	probe(6.1, true)
	healthy(true, "after two successes and the pause")
	probe(8, false, true, false, true, false)
	healthy(false, "after three failures of six")
	probe(13, true, true, true, true, true)
	healthy(false, "the second pause is twice as long")
	probe(18.1, true)
	healthy(true, "after it")
	b.HandleProbe(units.Seconds(1), 1, true)
	if got := b.Choose(units.Seconds(19), []int{0}); got != 1 {
		t.Errorf("chosen: %d, although 0 was already tried", got)
	}
	for range 3 {
		b.ConnectionFailed(units.Seconds(20), 1)
	}
	if got := b.Choose(units.Seconds(21), []int{0}); got != -1 {
		t.Errorf("chosen: %d, although it has failed three times", got)
	}
	if got := b.Choose(units.Seconds(23.1), []int{0}); got != 1 {
		t.Errorf("chosen: %d after the pause", got)
	}
}

// TestServiceLevelOfLargestJobs guards against a wrong service level of a class's largest jobs: only
// those that started within four minutes of their submission count as good.
func TestServiceLevelOfLargestJobs(t *testing.T) {
	var submitted []*Job
	for i := range 10 {
		submitted = append(submitted, &Job{Job: &work.Job{ID: fmt.Sprint("j", i), Run: units.Second, Spec: &jobs.Spec{Class: "c", Team: "t", Tasks: i + 1, Demand: binpack.Vec{1000, 0, 0}}}, At: units.Second, Accepted: true, FinalStatus: jobs.Done})
	}
	began := map[string]units.Microseconds{"j9": 242 * units.Second, "j8": 200 * units.Second, "j0": 2 * units.Second}
	for _, s := range ServiceLevels(submitted, Options{}, func(id string) units.Microseconds { return began[id] }) {
		if s.What == "class c largest begun" {
			if s.Good != 1 || s.Of != 2 {
				t.Errorf("%d of %d largest jobs started in time, want 1 of 2", s.Good, s.Of)
			}
			return
		}
	}
	t.Error("there is no service level of the largest jobs")
}
