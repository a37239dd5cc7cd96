package paper

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Load is a cluster with its workload.
type Load struct {
	Machines int
	Capacity binpack.Vec
	Jobs     []Job
}

// logNormal draws with a mean and a coefficient of variation.
func logNormal(rng *rand.Rand, mean, cov float64) float64 {
	s2 := math.Log(1 + cov*cov)
	return math.Exp(math.Log(mean) - s2/2 + math.Sqrt(s2)*rng.NormFloat64())
}

func runs(rng *rand.Rand, n int, meanS, cov float64) []units.Microseconds {
	out := make([]units.Microseconds, n)
	for i := range out {
		out[i] = units.Seconds(max(1, logNormal(rng, meanS, cov)))
	}
	return out
}

// Suite draws the workload of the paper's deployment (5.1): 250 machines of 32 cores and 96
// GB, 100 jobs of one of four kinds that arrive within an hour, stages of 8 or 2 GB and of
// much or little computation for what is read. scale makes cluster and jobs smaller by the
// same factor. What the paper does not say is ours: a stage's tasks run for 100 to 500 s on
// average, so that a run takes about the five hours that the paper names; where there is
// much computation a task takes two cores and a hundredth of disk and network, else half a
// core and half of one of the eight disks.
func Suite(rng *rand.Rand, scale float64) Load {
	kinds := []struct {
		maps  int
		ratio float64 // of output to input
	}{{2000, 0.2}, {1000, 2}, {1000, 0.5}, {300, 0.2}}
	l := Load{Machines: max(4, int(250*scale)), Capacity: binpack.Vec{32_000, 1000, 96_000}}
	for range 100 {
		k := kinds[rng.IntN(len(kinds))]
		maps := max(2, int(float64(k.maps)*scale))
		j := Job{Arrives: units.Seconds(3600 * rng.Float64()), Estimate: 1}
		for _, n := range []int{maps, max(1, int(float64(maps)*k.ratio))} {
			d := binpack.Vec{500, 62, 2000}
			if rng.IntN(2) == 0 {
				d[cpu], d[io] = 2000, 10
			}
			if rng.IntN(2) == 0 {
				d[memory] = 8000
			}
			j.Stages = append(j.Stages, Stage{d, runs(rng, n, 100+400*rng.Float64(), 0.25)})
		}
		l.Jobs = append(l.Jobs, j)
	}
	return l
}

// What the paper tells of the tasks of Facebook's trace (2.2.2, Table 2): coefficients of
// variation of the demands for processors, disk and network, and memory, and their
// correlations. Disk and network are one resource here: it varies as network does, and
// goes with the others as the mean of both.
var (
	demandCov  = [3]float64{1.42, 2.05, 1.26}
	demandCorr = mat.NewSymDense(3, []float64{
		1, 0.175, 0.41,
		0.175, 1, 0.09,
		0.41, 0.09, 1})
	// Medians, a twentieth of the largest; the least are a seventh of them (CPU from 2% of
	// a core to six, memory from 100 MB to 17 GB; of disk and network the largest is one of
	// the machine's four disks, which is ours).
	demandMedian = [3]float64{300, 12.5, 850}
)

// Trace draws a workload like Facebook's trace: machines of 12 cores and 32 GB, jobs of two
// stages with numbers of tasks over three orders of magnitude, demands as above. They
// arrive within the time that the work takes, at best, of what is scarcest, divided by the
// load; load 0: all at the beginning, for makespans. The numbers of tasks and run times are
// ours, as the paper gives none.
func Trace(rng *rand.Rand, machines, jobs int, load float64) Load {
	l := Load{Machines: machines, Capacity: binpack.Vec{12_000, 1000, 32_000}}
	var chol mat.Cholesky
	if !chol.Factorize(demandCorr) {
		panic("paper: the correlations are none")
	}
	var lower mat.TriDense
	chol.LTo(&lower)
	for range jobs {
		j := Job{Estimate: 1}
		n := int(min(1500, max(1, math.Exp(math.Log(25)+1.6*rng.NormFloat64()))))
		for _, tasks := range []int{n, max(1, n/4)} {
			j.Stages = append(j.Stages, Stage{demand(rng, &lower), runs(rng, tasks, 10+50*rng.Float64(), 0.25)})
		}
		l.Jobs = append(l.Jobs, j)
	}
	if load > 0 {
		within := l.least() / load
		for i := range l.Jobs {
			l.Jobs[i].Arrives = units.Seconds(within * rng.Float64())
		}
		slices.SortStableFunc(l.Jobs, func(a, b Job) int { return cmp.Compare(a.Arrives, b.Arrives) })
	}
	return l
}

// least is the time in seconds that the work takes at least, were what is scarcest always
// in use.
func (l Load) least() float64 {
	var need [3]float64
	for _, j := range l.Jobs {
		for _, s := range j.Stages {
			for _, r := range s.Runs {
				for k, d := range s.Demand {
					need[k] += float64(d) * r.Seconds()
				}
			}
		}
	}
	most := 0.0
	for k, c := range l.Capacity {
		most = max(most, need[k]/float64(c)/float64(l.Machines))
	}
	return most
}

// demand draws what a stage's tasks need: log-normal amounts whose logarithms are
// correlated, within the bounds that the paper gives.
func demand(rng *rand.Rand, lower *mat.TriDense) binpack.Vec {
	var z, d [3]float64
	for i := range z {
		z[i] = rng.NormFloat64()
	}
	var v binpack.Vec
	for i := range d {
		for k := range i + 1 {
			d[i] += lower.At(i, k) * z[k]
		}
		sigma := math.Sqrt(math.Log(1 + demandCov[i]*demandCov[i]))
		x := demandMedian[i] * math.Exp(sigma*d[i])
		v[i] = int64(min(max(x, demandMedian[i]/7), 20*demandMedian[i]))
	}
	return v
}

// Misjudge has owners estimate run times wrongly: by a factor that is log-normal around 1.
func Misjudge(rng *rand.Rand, jobs []Job, cov float64) []Job {
	out := slices.Clone(jobs)
	d := distuv.LogNormal{Mu: 0, Sigma: math.Sqrt(math.Log(1 + cov*cov))}
	for i := range out {
		out[i].Estimate = d.Quantile(min(max(rng.Float64(), 1e-6), 1-1e-6))
	}
	return out
}
