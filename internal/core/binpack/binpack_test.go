package binpack

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "shalestage.example/shalestage/internal/fixedseed"
)

var params = Params{Fairness: 0.25, EpsilonScale: 1, ImagePenalty: 0.1}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestAlignmentWorkedExample guards against errors in the formulas. The values are
// computed by hand for a machine of 16 CPUs and 64 GB, of which 8 CPUs and 48 GB are free.
func TestAlignmentWorkedExample(t *testing.T) {
	capacity, free := Vec{16_000, 0, 64_000}, Vec{8_000, 0, 48_000}
	// 4 CPUs, 16 GB: 8/16*4/16 + 48/64*16/64 = 0.125 + 0.1875
	if a := Alignment(capacity, free, Vec{4_000, 0, 16_000}); !near(a, 0.3125) {
		t.Errorf("alignment %v, want 0.3125", a)
	}
	// 4/16 + 16/64
	if s := Size(capacity, Vec{4_000, 0, 16_000}); !near(s, 0.5) {
		t.Errorf("size %v, want 0.5", s)
	}
	if d := DominantShare(capacity, Vec{4_000, 0, 32_000}); !near(d, 0.5) {
		t.Errorf("dominant share %v, want 0.5", d)
	}
}

// TestEpsilonWorkedExample guards against errors in the weight
// of remaining work, and against division by zero without work.
func TestEpsilonWorkedExample(t *testing.T) {
	// Averages 0.3 and 60 over two tasks: 0.3/60.
	if e := Epsilon(0.6, 120); !near(e, 0.005) {
		t.Errorf("epsilon %v, want 0.005", e)
	}
	if e := Epsilon(0.6, 0); e != 0 {
		t.Errorf("epsilon %v without work, want 0", e)
	}
}

// order runs Fill on an empty machine of 16 CPUs and returns the chosen jobs in order.
func order(p Params, jobs ...Job) []int {
	var out []int
	capacity := Vec{16_000, 0, 64_000}
	Fill(capacity, capacity, jobs, p, func(i int) bool { out = append(out, i); return true })
	return out
}

// TestFillFirstChoice guards against a wrong precedence of tier, deferral, fair share,
// alignment, image cache and remaining work: each case decides between two jobs by one of them.
func TestFillFirstChoice(t *testing.T) {
	big := Job{Demand: Vec{8_000, 0, 32_000}, Pending: 1, Work: 10, Cached: true}
	small := Job{Demand: Vec{4_000, 0, 16_000}, Pending: 1, Work: 10, Cached: true}
	long := small
	long.Work = 1000
	remote := big
	remote.Cached = false
	fair := small
	fair.Deficit = 1
	high := small
	high.Tier = 1
	deferred := big
	deferred.Deferred = true
	noEps, strict := params, params
	noEps.EpsilonScale = 0
	strict.Fairness = 0.9
	for _, test := range []struct {
		name string
		p    Params
		jobs []Job
		want int
	}{
		{"larger alignment", noEps, []Job{small, big}, 1},
		{"less remaining work", params, []Job{long, small}, 1},
		{"remaining work is ignored without epsilon", noEps, []Job{long, small}, 0},
		{"cached image", noEps, []Job{remote, big}, 1},
		{"job furthest below fair share", strict, []Job{big, fair}, 1},
		{"tier before score", noEps, []Job{big, high}, 1},
		{"deferred job last", noEps, []Job{deferred, small}, 1},
	} {
		if got := order(test.p, test.jobs...); got[0] != test.want {
			t.Errorf("%s: chose %v, want job %d first", test.name, got, test.want)
		}
	}
}

// TestFairnessCut guards against jobs near their fair share taking capacity
// from jobs further below it. Only the first ceil((1-f)*J) of J jobs are
// considered; the others get the capacity only if none of those fits.
func TestFairnessCut(t *testing.T) {
	p := Params{Fairness: 0.5}
	jobs := []Job{
		{Demand: Vec{1_000}, Pending: 1, Deficit: 4},
		{Demand: Vec{2_000}, Pending: 1, Deficit: 3},
		{Demand: Vec{8_000}, Pending: 1, Deficit: 2},
		{Demand: Vec{6_000}, Pending: 1, Deficit: 1},
	}
	got := order(p, jobs...)
	if got[0] != 1 {
		t.Errorf("first of %v is outside the cut of two, or not the best in it", got)
	}
	jobs[0].Demand, jobs[1].Demand = Vec{20_000}, Vec{20_000}
	if got := order(p, jobs...); len(got) != 2 || got[0] != 2 {
		t.Errorf("chose %v, want the jobs outside the cut to use the capacity", got)
	}
}

// TestFillInvariants checks for random jobs that Fill stays within the free capacity, the pending
// tasks and what accept allows, and that no capacity stays free that a permitted task fits into.
func TestFillInvariants(t *testing.T) {
	vec := rapid.Custom(func(t *rapid.T) Vec {
		return Vec{int64(rapid.IntRange(1, 20_000).Draw(t, "cpu")), int64(rapid.IntRange(0, 2_000).Draw(t, "gpu")),
			int64(rapid.IntRange(0, 80_000).Draw(t, "memory"))}
	})
	rapid.Check(t, func(t *rapid.T) {
		capacity := Vec{16_000, int64(rapid.IntRange(0, 4).Draw(t, "gpus")) * 1000, 64_000}
		free := capacity
		var jobs []Job
		allowed := map[int]int{}
		for i := range rapid.IntRange(0, 8).Draw(t, "jobs") {
			jobs = append(jobs, Job{Demand: vec.Draw(t, "demand"), Pending: rapid.IntRange(0, 6).Draw(t, "pending"),
				Work: rapid.Float64Range(0, 1e6).Draw(t, "work"), Deficit: rapid.Float64Range(-1, 1).Draw(t, "deficit"),
				Tier: rapid.IntRange(0, 2).Draw(t, "tier"), Cached: rapid.Bool().Draw(t, "cached"), Deferred: rapid.Bool().Draw(t, "deferred")})
			allowed[i] = rapid.IntRange(0, 6).Draw(t, "allowed")
		}
		p := Params{rapid.Float64Range(0, 0.99).Draw(t, "f"), rapid.Float64Range(0, 10).Draw(t, "eps"), rapid.Float64Range(0, 1).Draw(t, "penalty")}
		taken := map[int]int{}
		Fill(capacity, free, jobs, p, func(i int) bool {
			if taken[i] >= allowed[i] {
				return false
			}
			taken[i]++
			free = free.Sub(jobs[i].Demand)
			return true
		})
		for r, v := range free {
			if v < 0 {
				t.Fatalf("resource %d exceeds the capacity by %d", r, -v)
			}
		}
		for i, j := range jobs {
			if taken[i] > j.Pending {
				t.Fatalf("job %d: %d of %d pending tasks taken", i, taken[i], j.Pending)
			}
			if taken[i] < min(j.Pending, allowed[i]) && j.Demand.Fits(free) {
				t.Fatalf("job %d still has a permitted task that fits the remaining capacity", i)
			}
		}
	})
}
