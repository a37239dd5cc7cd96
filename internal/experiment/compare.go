package experiment

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"shalestage.example/shalestage/internal/emulator/meter"
)

// Verdict says whether a difference is more than noise.
type Verdict string

// Verdicts.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	Noise  Verdict = "noise"   // the interval holds no difference, or chance would make as large a one too often
	Same   Verdict = "same"    // no seed differs
	TooFew Verdict = "too few" // seeds, to tell
)

// level is the chance at which any verdict of a whole experiment may be wrong.
const level = 0.05

// fewest is the least number of pairs of which a spread says anything.
const fewest = 4

// Comparison is one measure of one setting in one scenario, held against the baseline by
// pairs of plays with the same seed.
type Comparison struct {
	Scenario string  `json:"scenario"`
	Setting  string  `json:"setting"`
	Measure  string  `json:"measure"`
	Pairs    int     `json:"pairs"`
	Base     float64 `json:"baseline_mean"`
	Mean     float64 `json:"mean"`
	Diff     float64 `json:"difference"` // mean of the pairs' differences
	Low      float64 `json:"low"`        // 95% interval of that
	High     float64 `json:"high"`
	P        float64 `json:"p"`      // chance of as large a difference without any (paired t test, two sides)
	PHolm    float64 `json:"p_holm"` // the same, with all comparisons of the experiment taken into account
	Verdict  Verdict `json:"verdict"`
	more     bool
}

// Compare holds every setting against the baseline.
func (f *File) Compare(runs []Run) []Comparison {
	type cell struct{ scenario, setting string }
	bySeed := map[cell]map[uint64]Run{}
	var scenarios []string
	for _, r := range runs {
		c := cell{r.Scenario, r.Setting}
		if bySeed[c] == nil {
			bySeed[c] = map[uint64]Run{}
		}
		bySeed[c][r.Seed] = r
		if !slices.Contains(scenarios, r.Scenario) {
			scenarios = append(scenarios, r.Scenario)
		}
	}
	var out []Comparison
	for _, sc := range scenarios {
		for _, set := range f.Settings {
			if set.Name == f.Baseline {
				continue
			}
			for _, m := range f.Measures {
				var a, b []float64
				for i := range uint64(f.Seeds) {
					x, ok1 := bySeed[cell{sc, f.Baseline}][f.FirstSeed+i].Figures[m]
					y, ok2 := bySeed[cell{sc, set.Name}][f.FirstSeed+i].Figures[m]
					if ok1 && ok2 {
						a, b = append(a, x), append(b, y)
					}
				}
				if len(a) == 0 {
					continue // of no such job
				}
				c := pairs(a, b)
				c.Scenario, c.Setting, c.Measure = sc, set.Name, m
				c.more = meter.Measures[slices.IndexFunc(meter.Measures, func(k meter.Measure) bool { return k.Name == m })].More
				out = append(out, c)
			}
		}
	}
	holm(out)
	for i := range out {
		out[i].judge()
	}
	return out
}

// pairs compares b with a, value by value.
func pairs(a, b []float64) Comparison {
	c := Comparison{Pairs: len(a), Base: stat.Mean(a, nil), Mean: stat.Mean(b, nil), P: 1, PHolm: 1}
	d := make([]float64, len(a))
	for i := range a {
		d[i] = b[i] - a[i]
	}
	c.Diff = stat.Mean(d, nil)
	c.Low, c.High = c.Diff, c.Diff
	if len(d) < 2 {
		return c
	}
	err := stat.StdErr(stat.StdDev(d, nil), float64(len(d)))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(d) - 1)}
	half := t.Quantile(0.975) * err
	c.Low, c.High = c.Diff-half, c.Diff+half
	switch {
	case err > 0:
		c.P = 2 * t.Survival(math.Abs(c.Diff)/err)
	case c.Diff != 0:
		c.P = 0 // every pair differs by the same
	}
	return c
}

// holm corrects the chances for the number of comparisons: the smallest is held against
// all, the next against one fewer, and so on.
func holm(list []Comparison) {
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(list[x].P, list[y].P) })
	least := 0.0
	for rank, i := range order {
		least = max(least, min(1, list[i].P*float64(len(list)-rank)))
		list[i].PHolm = least
	}
}

func (c *Comparison) judge() {
	switch {
	case c.Pairs < fewest:
		c.Verdict = TooFew
	case c.Diff == 0 && c.Low == c.High:
		c.Verdict = Same
	case c.PHolm >= level:
		c.Verdict = Noise
	case (c.Diff > 0) == c.more:
		c.Verdict = Better
	default:
		c.Verdict = Worse
	}
}
