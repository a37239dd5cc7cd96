package paper

import (
	"fmt"
	"html/template"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot/plotter"

	"shalestage.example/shalestage/internal/rehearse"
	"shalestage.example/shalestage/internal/report"
)

// Options say how much is played.
type Options struct {
	Seeds    int     // draws of each workload
	Machines int     // of the trace's cluster
	Jobs     int     // of the trace
	Scale    float64 // of the deployment's suite, 1: 250 machines
}

// Row is one figure of the paper and ours.
type Row struct {
	What  string  `json:"what"`
	Paper string  `json:"paper"` // what the paper has, "" where it has none
	Ours  float64 `json:"ours"`  // mean over the seeds, %
	Half  float64 `json:"half"`  // half of its 95% interval
}

// Point is a value of a sweep.
type Point struct {
	Sweep    string  `json:"sweep"`
	Knob     float64 `json:"knob"`
	Against  string  `json:"against"`
	Done     float64 `json:"completion_gain"` // %, mean over the seeds
	Makespan float64 `json:"makespan_gain"`
	Slowed   float64 `json:"jobs_slowed"` // % of the jobs
	By       float64 `json:"slowed_by"`   // % on average, of those
	DoneHalf float64 `json:"completion_half"`
}

// Results are all tables and sweeps.
type Results struct {
	Rows   []Row   `json:"rows"`
	Points []Point `json:"points"`
}

// loads are the workloads of a seed: the trace as it arrives, the same all at once, and
// the deployment's suite.
func loads(o Options, seed uint64) [3]Load {
	rng := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	return [3]Load{Trace(rng(1), o.Machines, o.Jobs, traceLoad), Trace(rng(1), o.Machines, o.Jobs, 0), Suite(rng(2), o.Scale)}
}

// traceLoad is the moderate load that the paper names for its trace (5.3.3).
const traceLoad = 0.8

const (
	arriving = iota
	atOnce
	suite
)

// gain is by how many percent b is less than a, on average of jobs or as a whole.
func gain(a, b float64) float64 { return 100 * (a - b) / a }

func meanDone(o Outcome) float64 {
	sum := 0.0
	for _, d := range o.Done {
		sum += d.Seconds()
	}
	return sum / float64(len(o.Done))
}

// medianGain is the median of the jobs' gains.
func medianGain(a, b Outcome) float64 {
	g := make([]float64, len(a.Done))
	for i := range g {
		g[i] = gain(a.Done[i].Seconds(), b.Done[i].Seconds())
	}
	slices.Sort(g)
	return stat.Quantile(0.5, stat.Empirical, g, nil)
}

// slowed returns the share of jobs that took longer than before, by more than a percent as
// ends are never the same to the second, and by how much on average.
func slowed(a, b Outcome) (share, by float64) {
	n := 0
	for i := range a.Done {
		if g := -gain(a.Done[i].Seconds(), b.Done[i].Seconds()); g > 1 {
			n++
			by += g
		}
	}
	if n == 0 {
		return 0, 0
	}
	return 100 * float64(n) / float64(len(a.Done)), by / float64(n)
}

// interval returns a mean and half of its 95% interval.
func interval(v []float64) (mean, half float64) {
	if len(v) < 2 {
		return stat.Mean(v, nil), 0
	}
	t := distuv.StudentsT{Sigma: 1, Nu: float64(len(v) - 1)}
	return stat.Mean(v, nil), t.Quantile(0.975) * stat.StdErr(stat.StdDev(v, nil), float64(len(v)))
}

// outcomes are the plays of a seed, by workload and policy.
type outcomes map[int]map[string]Outcome

// policies are held against each other in the tables.
func policies() []Policy {
	return []Policy{Tetris(), Ours(), PackOnly(), Blind(), SlotFair(), DRF(), SRTF(), FirstFit(), Bound()}
}

// sweep is a knob that is turned.
type sweep struct {
	name, about string
	knobs       []float64
	turn        func(p Policy, l Load, knob float64, seed uint64) (Policy, Load)
	baseToo     bool // the baselines are played with every value
}

var sweeps = []sweep{
	{"fairness", "f: 0 is most efficient, near 1 most fair (Figures 8 and 9)", []float64{0, 0.25, 0.5, 0.75, 0.99}, func(p Policy, l Load, k float64, _ uint64) (Policy, Load) {
		p.Params.Fairness = k
		return p, l
	}, false},
	{"epsilon", "m: weight of remaining work, as a multiple of the mean alignment over the mean work (5.3.3)", []float64{0, 0.25, 0.5, 1, 1.5, 2, 3}, func(p Policy, l Load, k float64, _ uint64) (Policy, Load) {
		p.Params.EpsilonScale = k
		return p, l
	}, false},
	{"barrier", "b: share of a stage after which its last tasks are preferred; 1: never (Figure 10)", []float64{0.5, 0.75, 0.85, 0.9, 0.95, 1}, func(p Policy, l Load, k float64, _ uint64) (Policy, Load) {
		if p.Barrier = k; k == 1 {
			p.Barrier = 0
		}
		return p, l
	}, false},
	{"estimates", "coefficient of variation of the owners' estimates of run times (not in the paper)", []float64{0, 0.25, 0.5, 1, 2}, func(p Policy, l Load, k float64, seed uint64) (Policy, Load) {
		if k > 0 {
			l.Jobs = Misjudge(rand.New(rand.NewPCG(seed, 9)), l.Jobs, k)
		}
		return p, l
	}, false},
	{"load", "load, by fewer machines (Figure 11)", []float64{0.5, 1, 2, 4}, func(p Policy, l Load, k float64, _ uint64) (Policy, Load) {
		l.Machines = max(2, int(float64(l.Machines)/k))
		return p, l
	}, true},
}

// seedResults are what one seed gives.
type seedResults struct {
	rows   []float64
	points []Point
}

// Play plays all tables and sweeps.
func Play(o Options, say func(done, all int)) Results {
	var all []seedResults
	rehearse.ForEachOrdered(o.Seeds, func(i int) seedResults { return playSeed(o, uint64(i+1)) }, func(r seedResults) {
		all = append(all, r)
		if say != nil {
			say(len(all), o.Seeds)
		}
	})
	var res Results
	for k, row := range table {
		var v []float64
		for _, r := range all {
			v = append(v, r.rows[k])
		}
		m, h := interval(v)
		res.Rows = append(res.Rows, Row{row.what, row.paper, m, h})
	}
	for k, p := range all[0].points {
		var done, span, slow, by []float64
		for _, r := range all {
			q := r.points[k]
			done, span, slow, by = append(done, q.Done), append(span, q.Makespan), append(slow, q.Slowed), append(by, q.By)
		}
		p.Done, p.DoneHalf = interval(done)
		p.Makespan, p.Slowed, p.By = stat.Mean(span, nil), stat.Mean(slow, nil), stat.Mean(by, nil)
		res.Points = append(res.Points, p)
	}
	return res
}

func playSeed(o Options, seed uint64) seedResults {
	ls := loads(o, seed)
	got := outcomes{}
	for k, l := range ls {
		got[k] = map[string]Outcome{}
		for _, p := range policies() {
			got[k][p.Name] = Run(p, l)
		}
	}
	var r seedResults
	for _, row := range table {
		r.rows = append(r.rows, row.of(got))
	}
	for _, s := range sweeps {
		for _, knob := range s.knobs {
			var at [2]Outcome
			var base [2]map[string]Outcome
			for k := range at {
				p, l := s.turn(Tetris(), ls[k], knob, seed)
				at[k] = Run(p, l)
				base[k] = got[k]
				if s.baseToo {
					base[k] = map[string]Outcome{}
					for _, b := range []Policy{SlotFair(), DRF()} {
						base[k][b.Name] = Run(b, l)
					}
				}
			}
			for _, b := range []string{"slot fair", "DRF"} {
				p := Point{Sweep: s.name, Knob: knob, Against: b, Done: gain(meanDone(base[arriving][b]), meanDone(at[arriving])),
					Makespan: gain(base[atOnce][b].Makespan.Seconds(), at[atOnce].Makespan.Seconds())}
				p.Slowed, p.By = slowed(base[arriving][b], at[arriving])
				r.points = append(r.points, p)
			}
		}
	}
	return r
}

func done(load int, base, p string) func(outcomes) float64 {
	return func(g outcomes) float64 { return gain(meanDone(g[load][base]), meanDone(g[load][p])) }
}

func span(load int, base, p string) func(outcomes) float64 {
	return func(g outcomes) float64 {
		return gain(g[load][base].Makespan.Seconds(), g[load][p].Makespan.Seconds())
	}
}

// table are the paper's figures, each with how ours is made.
var table = []struct {
	what, paper string
	of          func(outcomes) float64
}{
	{"Trace, mean completion time: Tetris against slot fair", "40", done(arriving, "slot fair", "Tetris")},
	{"the same against DRF", "35", done(arriving, "DRF", "Tetris")},
	{"the simple bound against slot fair", "46", done(arriving, "slot fair", "simple bound")},
	{"the simple bound against DRF", "41", done(arriving, "DRF", "simple bound")},
	{"Tetris' part of the bound's gain over slot fair", "81", func(g outcomes) float64 {
		return 100 * done(arriving, "slot fair", "Tetris")(g) / done(arriving, "slot fair", "simple bound")(g)
	}},
	{"SRTF alone against slot fair", "27", done(arriving, "slot fair", "SRTF")},
	{"SRTF alone against DRF", "26", done(arriving, "DRF", "SRTF")},
	{"packing alone against slot fair", "31", done(arriving, "slot fair", "packing only")},
	{"packing alone against DRF", "28", done(arriving, "DRF", "packing only")},
	{"Tetris that sees CPU and memory only, against slot fair", "15", done(arriving, "slot fair", "Tetris, CPU and memory")},
	{"the same against DRF", "13", done(arriving, "DRF", "Tetris, CPU and memory")},
	{"first fit against DRF", "", done(arriving, "DRF", "first fit")},
	{"this service's defaults (epsilon taken three times, no barrier knob) against the paper's Tetris", "", done(arriving, "Tetris", "ours")},
	{"Trace all at once, makespan: Tetris against slot fair", "33", span(atOnce, "slot fair", "Tetris")},
	{"the same against DRF", "24", span(atOnce, "DRF", "Tetris")},
	{"packing alone against slot fair", "41", span(atOnce, "slot fair", "packing only")},
	{"packing alone against DRF", "29", span(atOnce, "DRF", "packing only")},
	{"the simple bound against slot fair", "49", span(atOnce, "slot fair", "simple bound")},
	{"the simple bound against DRF", "38", span(atOnce, "DRF", "simple bound")},
	{"Suite of the deployment, makespan: Tetris against slot fair", "29", span(suite, "slot fair", "Tetris")},
	{"the same against DRF", "27.5", span(suite, "DRF", "Tetris")},
	{"completion time, median of the jobs' gains: Tetris against slot fair", "30", func(g outcomes) float64 { return medianGain(g[suite]["slot fair"], g[suite]["Tetris"]) }},
	{"the same against DRF", "30", func(g outcomes) float64 { return medianGain(g[suite]["DRF"], g[suite]["Tetris"]) }},
	{"Trace: jobs that are slower than under slot fair, %", "under 6", func(g outcomes) float64 { s, _ := slowed(g[arriving]["slot fair"], g[arriving]["Tetris"]); return s }},
	{"by how much on average", "under 10", func(g outcomes) float64 { _, b := slowed(g[arriving]["slot fair"], g[arriving]["Tetris"]); return b }},
	{"jobs that are slower than under DRF, %", "under 6", func(g outcomes) float64 { s, _ := slowed(g[arriving]["DRF"], g[arriving]["Tetris"]); return s }},
	{"by how much on average", "under 10", func(g outcomes) float64 { _, b := slowed(g[arriving]["DRF"], g[arriving]["Tetris"]); return b }},
}

// why says where our figures come from others than the paper's.
var why = []string{
	"On the trace, gains over slot fair are the paper's, and gains over DRF less than half of them: DRF sees processors and memory as exactly as Tetris does, and what it over-allocates here is one resource, disk and network together, shared out without loss; in the paper contention adds seeks, incast and stragglers. Tetris that does not see it either is no better than DRF, so that all of that gain comes from not over-allocating; in the paper a third comes from packing.",
	"The simple bound is hardly ahead of Tetris: tasks are far smaller than machines, so that there is little fragmentation to lose. For the same reason SRTF alone comes close: jobs differ by three orders of magnitude here, and serving small ones first is most of the gain.",
	"Makespans of the suite gain less than the paper's: its jobs come within an hour and the last large ones decide when all is over.",
}

// Page returns the results as a page.
func (r Results) Page(o Options) (report.Page, error) {
	p := report.Page{Title: "Against the paper", About: "The tables and sweeps of \"Multi-Resource Packing for Cluster Schedulers\" again, in simulation.",
		Notes: []string{
			fmt.Sprintf("%d draws of each workload; the trace's cluster has %d machines and %d jobs, the deployment's %d machines and 100 jobs. All machines are simulated.", o.Seeds, o.Machines, o.Jobs, max(4, int(250*o.Scale))),
			"Gains are in percent: by how much less time than the baseline takes. The workloads are drawn from what the paper tells of its own (demands, their spread and correlations, stages, arrivals); numbers of tasks and run times of the trace are not in it, and there is one resource for disk and network together.",
		}}
	var rows []report.Row
	for _, w := range r.Rows {
		rows = append(rows, report.Row{Cells: []string{w.What, w.Paper, fmt.Sprintf("%.1f", w.Ours), fmt.Sprintf("± %.1f", w.Half)}})
	}
	p.Parts = append(p.Parts, report.Section{Title: "Tables", Text: why, Tables: []report.Table{{Head: []string{"gain in %", "paper", "here", "95% interval"}, Rows: rows}}})
	for _, s := range sweeps {
		sec := report.Section{Title: s.name, Text: []string{s.about + "."}}
		var plots []template.HTML
		var done, slow []report.Line
		var rows []report.Row
		for i, b := range []string{"slot fair", "DRF"} {
			var a, m, f plotter.XYs
			for _, q := range r.Points {
				if q.Sweep == s.name && q.Against == b {
					a, m, f = append(a, plotter.XY{X: q.Knob, Y: q.Done}), append(m, plotter.XY{X: q.Knob, Y: q.Makespan}), append(f, plotter.XY{X: q.Knob, Y: q.Slowed})
					rows = append(rows, report.Row{Cells: []string{b, fmt.Sprint(q.Knob), fmt.Sprintf("%.1f ± %.1f", q.Done, q.DoneHalf), fmt.Sprintf("%.1f", q.Makespan), fmt.Sprintf("%.1f", q.Slowed), fmt.Sprintf("%.1f", q.By)}})
				}
			}
			done = append(done, report.Line{Name: "completion, against " + b, Points: a, Colour: i}, report.Line{Name: "makespan, against " + b, Points: m, Colour: i, Dashed: true})
			slow = append(slow, report.Line{Name: "jobs slower than under " + b, Points: f, Colour: i})
		}
		for _, l := range [][]report.Line{done, slow} {
			g, err := report.LinePlot("", s.name, "%", l, false)
			if err != nil {
				return p, err
			}
			plots = append(plots, g)
		}
		sec.Plots = plots
		sec.Tables = []report.Table{{Head: []string{"against", "knob", "completion gain, %", "makespan gain, %", "jobs slowed, %", "by, %"}, Rows: rows}}
		p.Parts = append(p.Parts, sec)
	}
	return p, nil
}
