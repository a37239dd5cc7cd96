package scalerun

import (
	"errors"
	"fmt"
	"html/template"
	"maps"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot/plotter"

	"shalestage.example/shalestage/internal/report"
)

var quantiles = []float64{50, 90, 95, 99, 99.9, 100}

// Latency is a histogram's percentiles in milliseconds, for the data of a report.
type Latency struct {
	What   string             `json:"what"`
	Phase  string             `json:"phase"`
	Count  int64              `json:"count"`
	Millis map[string]float64 `json:"millis"`
}

type histogramOf struct {
	name string
	of   func(*Counts) *hdrhistogram.Histogram
}

var histograms = []histogramOf{
	{"urgent start", func(c *Counts) *hdrhistogram.Histogram { return c.urgent }},
	{"submission, one call", func(c *Counts) *hdrhistogram.Histogram { return c.submission }},
	{"submission until accepted", func(c *Counts) *hdrhistogram.Histogram { return c.acceptance }},
}

// Latencies returns the percentiles of each phase, and of all phases together.
func (r *Result) Latencies() (out []Latency) {
	for _, h := range histograms {
		for i := range len(r.Phases) + 1 {
			phase := ""
			if i < len(r.Phases) {
				phase = r.Phases[i].Name
			}
			v := r.histogram(phase, h.of)
			if v.TotalCount() == 0 {
				continue
			}
			l := Latency{What: h.name, Phase: phase, Count: v.TotalCount(), Millis: map[string]float64{}}
			if phase == "" {
				l.Phase = "all"
			}
			for _, q := range quantiles {
				l.Millis[fmt.Sprintf("p%g", q)] = float64(v.ValueAtQuantile(q)) / 1000
			}
			out = append(out, l)
		}
	}
	return out
}

// Save writes report.html and scale.json into a directory.
func (r *Result) Save(dir string) error {
	p, err := r.page()
	if err != nil {
		return err
	}
	data := struct {
		*Result
		Goals     []Goal             `json:"goals"`
		Latencies []Latency          `json:"latencies"`
		Roles     map[string]RoleUse `json:"roles_hold"`
		Workers   []WorkerUse        `json:"workers_hold"`
	}{r, r.Goals(), r.Latencies(), r.roleUses(), r.WorkerUses()}
	return errors.Join(report.Save(filepath.Join(dir, "report.html"), p.WriteHTML), report.Save(filepath.Join(dir, "scale.json"), report.JSON(data)))
}

// roleUses returns what each role used over the hold phase: mean processor, most memory.
func (r *Result) roleUses() map[string]RoleUse {
	out := map[string]RoleUse{}
	hold := r.in(PhaseHold)
	took := 0.0
	for _, s := range hold {
		took += s.TookS
	}
	for _, s := range hold {
		for role, u := range s.Roles {
			o := out[role]
			o.Processes = max(o.Processes, u.Processes)
			o.CPU += u.CPU * s.TookS / took
			o.MostCPU, o.MemoryMB, o.MostMB = max(o.MostCPU, u.MostCPU), max(o.MemoryMB, u.MemoryMB), max(o.MostMB, u.MostMB)
			out[role] = o
		}
	}
	return out
}

func (r *Result) page() (report.Page, error) {
	p := report.Page{Title: fmt.Sprintf("%s, size %g", r.Name, r.Size), About: r.About, Notes: r.notes()}
	parts := []func() (report.Section, error){r.reachedPart, r.phasesPart, r.latencyPart, r.spentPart, r.workersPart, r.rulesPart}
	for _, f := range parts {
		s, err := f()
		if err != nil {
			return p, err
		}
		p.Parts = append(p.Parts, s)
	}
	return p, nil
}

func (r *Result) notes() []string {
	run, busy := mean(r.in(PhaseHold), Sample.CPU), mean(r.in(PhaseHold), func(s Sample) float64 { return s.Busy })
	out := []string{
		fmt.Sprintf("Began %s on %d cores and %.0f MB. While the target was held the run spent %.2f cores, and all else on the machine %.2f; something waited for a processor for %.0f%% of the time.", r.Began.Format("2006-01-02 15:04:05"), r.Host.Cores, r.Host.MemoryMB, run, max(0, busy-run), 100*mean(r.in(PhaseHold), func(s Sample) float64 { return s.Pressure })),
		"All processes are on one machine and all traffic is on loopback; hollow workers speak the whole protocol and run nothing.",
	}
	if r.Stopped != "" {
		out = append(out, "The run did not come to its end: "+r.Stopped)
	}
	for _, f := range r.FaultsFailed {
		out = append(out, "A fault was not done: "+f)
	}
	return out
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }

func (r *Result) reachedPart() (report.Section, error) {
	t := report.Table{Caption: "Over the phase hold", Head: []string{"what", "wanted", "reached", ""}}
	for _, g := range r.Goals() {
		word, class := "reached", ""
		if !g.Reached {
			word, class = "missed", "worse"
		}
		want := number(g.Want)
		if g.AtMost {
			want = "up to " + want
		}
		t.Rows = append(t.Rows, report.Row{Class: class, Cells: []string{g.What, want, number(g.Got), word}})
	}
	s := report.Section{Title: "Target", Tables: []report.Table{t}}
	err := r.plot(&s, "Starts", "a second", map[string]func(Sample) float64{
		"starts": func(x Sample) float64 { return float64(x.sum().Starts) / x.TookS }})
	err2 := r.plot(&s, "Workers and tasks", "", map[string]func(Sample) float64{
		"workers up": func(x Sample) float64 { return float64(x.sum().Machines) }, "tasks on machines": func(x Sample) float64 { return float64(x.sum().Running) }})
	return s, errors.Join(err, err2)
}

// plot draws figures of the samples over time.
func (r *Result) plot(s *report.Section, title, y string, figures map[string]func(Sample) float64) error {
	var lines []report.Line
	for i, name := range slices.Sorted(maps.Keys(figures)) {
		l := report.Line{Name: name, Colour: i}
		for _, x := range r.Samples {
			l.Points = append(l.Points, plotter.XY{X: x.AtS, Y: figures[name](x)})
		}
		lines = append(lines, l)
	}
	return addPlot(s, lines, func(lines []report.Line) (template.HTML, error) {
		return report.LinePlot(title, "seconds", y, lines, false)
	})
}

func addPlot(s *report.Section, lines []report.Line, draw func([]report.Line) (template.HTML, error)) error {
	if len(lines) == 0 || len(lines[0].Points) == 0 {
		return nil
	}
	g, err := draw(lines)
	if err == nil {
		s.Plots = append(s.Plots, g)
	}
	return err
}

func (r *Result) phasesPart() (report.Section, error) {
	t := report.Table{Caption: "Calls at home are those of users in the region that they ask, calls abroad those of users in another. What crossed is all that passed between regions.",
		Head: []string{"phase", "s", "region", "starts", "a second", "completed", "jobs submitted", "accepted", "cancelled", "home: ok", "shed", "no answer", "abroad: ok", "shed", "no answer", "crossed, kB"}}
	row := func(i int, name, crossed string, c *Counts) {
		p := r.Phases[i]
		took := r.phaseTook(p)
		t.Rows = append(t.Rows, report.Row{Cells: []string{p.Name, fmt.Sprintf("%.0f", took), name, fmt.Sprint(c.Starts), fmt.Sprintf("%.1f", float64(c.Starts)/max(took, 1)), fmt.Sprint(c.Completed),
			fmt.Sprint(c.Submitted), fmt.Sprint(c.Accepted), fmt.Sprint(c.Cancelled), fmt.Sprint(c.Home.OK), fmt.Sprint(c.Home.Shed), fmt.Sprint(c.Home.None),
			fmt.Sprint(c.Abroad.OK), fmt.Sprint(c.Abroad.Shed), fmt.Sprint(c.Abroad.None), crossed}})
	}
	for i, c := range r.All {
		crossed := ""
		if i < len(r.CrossedBytes) {
			crossed = fmt.Sprintf("%.1f", float64(r.CrossedBytes[i])/1000)
		}
		row(i, "all", crossed, c)
		for _, reg := range r.Regions {
			row(i, reg.Name, "", reg.Phases[i])
		}
	}
	conns := report.Table{Caption: "Open connections of all regions' processes at the end of a phase, and those of them to an address of another region", Head: []string{"phase", "connections", "between regions"}}
	for _, c := range r.Connections {
		conns.Rows = append(conns.Rows, report.Row{Cells: []string{c.Phase, fmt.Sprint(c.Looked), fmt.Sprint(c.Between)}})
	}
	return report.Section{Title: "Phases", Tables: []report.Table{t, conns}}, nil
}

// phaseTook is how long a phase really took: the last one ends when all is over.
func (r *Result) phaseTook(p Phase) float64 {
	sum := 0.0
	for _, s := range r.in(p.Name) {
		sum += s.TookS
	}
	return sum
}

func (r *Result) latencyPart() (report.Section, error) {
	head := []string{"what", "phase", "count"}
	for _, q := range quantiles {
		head = append(head, fmt.Sprintf("p%g ms", q))
	}
	t := report.Table{Head: head}
	for _, l := range r.Latencies() {
		cells := []string{l.What, l.Phase, fmt.Sprint(l.Count)}
		for _, q := range quantiles {
			cells = append(cells, fmt.Sprintf("%.1f", l.Millis[fmt.Sprintf("p%g", q)]))
		}
		t.Rows = append(t.Rows, report.Row{Cells: cells})
	}
	s := report.Section{Title: "Latency", Tables: []report.Table{t}}
	var lines []report.Line
	for i, h := range histograms {
		v := r.histogram(PhaseHold, h.of)
		if v.TotalCount() == 0 {
			continue
		}
		l := report.Line{Name: h.name, Colour: i}
		for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9} {
			l.Points = append(l.Points, plotter.XY{X: q, Y: max(float64(v.ValueAtQuantile(q))/1000, 0.01)})
		}
		lines = append(lines, l)
	}
	err := addPlot(&s, lines, func(lines []report.Line) (template.HTML, error) {
		return report.LinePlot("While the target was held", "% of jobs", "milliseconds", lines, true)
	})
	return s, err
}

func (r *Result) spentPart() (report.Section, error) {
	uses := r.roleUses()
	t := report.Table{Caption: "Over the phase hold: processor as a mean, memory at its most", Head: []string{"role", "processes", "cores, all", "cores, one at most", "MB, all", "MB, one at most"}}
	cpu, memory := map[string]func(Sample) float64{}, map[string]func(Sample) float64{}
	for _, role := range slices.Sorted(maps.Keys(uses)) {
		u := uses[role]
		t.Rows = append(t.Rows, report.Row{Cells: []string{role, fmt.Sprint(u.Processes), fmt.Sprintf("%.2f", u.CPU), fmt.Sprintf("%.2f", u.MostCPU), fmt.Sprintf("%.0f", u.MemoryMB), fmt.Sprintf("%.0f", u.MostMB)}})
		cpu[role] = func(s Sample) float64 { return s.Roles[role].CPU }
		memory[role] = func(s Sample) float64 { return s.Roles[role].MemoryMB }
	}
	hold := r.in(PhaseHold)
	traffic := report.Table{Caption: "Between the controllers and others, both ways, over the phase hold", Head: []string{"with", "kB a second", "a worker, kB a second"}}
	bytes := map[string]func(Sample) float64{}
	for _, with := range []string{"workers", "users", "state service", "cloud", "controllers"} {
		v := mean(hold, func(s Sample) float64 { return s.Traffic[with] })
		each := ""
		if machines := mean(hold, func(s Sample) float64 { return float64(s.sum().Machines) }); with == "workers" && machines > 0 {
			each = fmt.Sprintf("%.2f", v/machines)
		}
		traffic.Rows = append(traffic.Rows, report.Row{Cells: []string{with, fmt.Sprintf("%.1f", v), each}})
		bytes[with] = func(s Sample) float64 { return s.Traffic[with] }
	}
	state := report.Table{Caption: "State services, over the phase hold", Head: []string{"region", "requests a second", "revisions a second"}}
	for i := range r.Want.Regions {
		state.Rows = append(state.Rows, report.Row{Cells: []string{fmt.Sprintf("region-%d", i),
			fmt.Sprintf("%.1f", r.rate(hold, func(s Sample) float64 { return float64(s.Regions[i].Requests) })),
			fmt.Sprintf("%.1f", r.rate(hold, func(s Sample) float64 { return float64(s.Regions[i].Revisions) }))}})
	}
	s := report.Section{Title: "Processor, memory, bytes", Tables: []report.Table{t, traffic, state}}
	return s, errors.Join(r.plot(&s, "Processors by role", "cores", cpu), r.plot(&s, "Memory by role", "MB", memory), r.plot(&s, "Bytes by other party of the controllers", "kB a second", bytes))
}

func (r *Result) workersPart() (report.Section, error) {
	t := report.Table{Caption: fmt.Sprintf("Workers with a process each, over the phase hold; the budget is %g cores, %g MB and %g kB a second", r.Budget.CPU, r.Budget.MemoryMB, r.Budget.KilobytesPS),
		Head: []string{"worker", "cores, mean", "MB, most", "kB a second, mean", "reports a second", "tasks, most"}}
	for _, u := range r.WorkerUses() {
		t.Rows = append(t.Rows, report.Row{Cells: []string{u.Name, fmt.Sprintf("%.4f", u.CPU), fmt.Sprintf("%.1f", u.MemoryMB), fmt.Sprintf("%.2f", u.KilobytesPS), fmt.Sprintf("%.2f", u.Reports), fmt.Sprint(u.Tasks)}})
	}
	return report.Section{Title: "A worker's budget", Tables: []report.Table{t}}, nil
}

func (r *Result) rulesPart() (report.Section, error) {
	t := report.Table{Head: []string{"region", "tasks started", "controllers restarted", "rules broken"}}
	s := report.Section{Title: "Rules"}
	for _, reg := range r.Regions {
		class := ""
		if len(reg.Broken) > 0 {
			class = "worse"
		}
		t.Rows = append(t.Rows, report.Row{Class: class, Cells: []string{reg.Name, fmt.Sprint(reg.Starts), fmt.Sprint(reg.Restarts), fmt.Sprint(len(reg.Broken))}})
		for _, b := range reg.Broken {
			s.Text = append(s.Text, reg.Name+" "+b.Rule+": "+b.Text)
		}
	}
	s.Tables = append(s.Tables, t)
	return s, nil
}
