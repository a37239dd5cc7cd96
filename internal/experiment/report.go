package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot/plotter"

	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/report"
)

// Save writes the report into a directory: report.html, runs.csv with every figure of
// every play, and comparisons.json.
func (f *File) Save(dir string, runs []Run, list []Comparison) error {
	p, err := f.page(runs, list)
	if err != nil {
		return err
	}
	return errors.Join(
		report.Save(filepath.Join(dir, "report.html"), p.WriteHTML),
		report.Save(filepath.Join(dir, "runs.csv"), func(w io.Writer) error { return writeCSV(w, runs) }),
		report.Save(filepath.Join(dir, "comparisons.json"), report.JSON(list)))
}

func writeCSV(w io.Writer, runs []Run) error {
	c := csv.NewWriter(w)
	head := []string{"scenario", "setting", "seed", "broken", "took_s"}
	for _, m := range meter.Measures {
		head = append(head, m.Name)
	}
	_ = c.Write(head) // what went wrong is told by Error
	for _, r := range runs {
		row := []string{r.Scenario, r.Setting, strconv.FormatUint(r.Seed, 10), strconv.Itoa(len(r.Broken)), report.Number(r.TookS)}
		for _, m := range meter.Measures {
			cell := ""
			if v, ok := r.Figures[m.Name]; ok {
				cell = strconv.FormatFloat(v, 'g', 8, 64)
			}
			row = append(row, cell)
		}
		_ = c.Write(row)
	}
	c.Flush()
	return c.Error()
}

// Broken counts the plays in which a rule was broken.
func Broken(runs []Run) int {
	n := 0
	for _, r := range runs {
		if len(r.Broken) > 0 {
			n++
		}
	}
	return n
}

func (f *File) page(runs []Run, list []Comparison) (report.Page, error) {
	p := report.Page{Title: f.Name, About: f.About, Notes: []string{
		fmt.Sprintf("%d plays in simulated time: each setting with each scenario and the seeds %d to %d. The machines are simulated, and processors are not charged.", len(runs), f.FirstSeed, f.FirstSeed+uint64(f.Seeds)-1),
		fmt.Sprintf("Held against %q by pairs of plays with the same seed: jobs, their times and the draws of all neighbours are the same in both. A verdict other than noise is wrong with a chance of at most %g over all %d comparisons (paired t tests, Holm's correction).", f.Baseline, level, len(list)),
	}}
	if n := Broken(runs); n > 0 {
		p.Notes = append(p.Notes, fmt.Sprintf("A RULE WAS BROKEN in %d plays, see below: nothing else on this page counts before that is mended.", n))
		var rows []report.Row
		for _, r := range runs {
			for _, b := range r.Broken {
				rows = append(rows, report.Row{Class: "worse", Cells: []string{r.Scenario, r.Setting, fmt.Sprint(r.Seed), b}})
			}
		}
		p.Parts = append(p.Parts, report.Section{Title: "Broken rules", Tables: []report.Table{{Head: []string{"scenario", "setting", "seed", "rule"}, Rows: rows}}})
	}
	var names []string
	for _, r := range runs {
		if !slices.Contains(names, r.Scenario) {
			names = append(names, r.Scenario)
		}
	}
	for _, name := range names {
		s, err := f.section(name, slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Scenario != name }),
			slices.DeleteFunc(slices.Clone(list), func(c Comparison) bool { return c.Scenario != name }))
		if err != nil {
			return p, err
		}
		p.Parts = append(p.Parts, s)
	}
	var rows []report.Row
	for _, m := range meter.Measures {
		rows = append(rows, report.Row{Cells: []string{m.Name, m.About}})
	}
	p.Parts = append(p.Parts, report.Section{Title: "What the figures say", Tables: []report.Table{{Head: []string{"figure", "meaning"}, Rows: rows}}})
	return p, nil
}

// section tells of one scenario.
func (f *File) section(name string, runs []Run, list []Comparison) (report.Section, error) {
	s := report.Section{Title: name}
	means := make([]meter.Figures, len(f.Settings))
	var rows []report.Row
	for i, set := range f.Settings {
		means[i] = meanOf(runs, set.Name)
		row := []string{set.Name}
		for _, m := range f.Measures {
			cell := ""
			if v, ok := means[i][m]; ok {
				cell = report.Number(v)
			}
			row = append(row, cell)
		}
		rows = append(rows, report.Row{Cells: row})
	}
	s.Tables = append(s.Tables, report.Table{Caption: "Means over all seeds", Head: append([]string{"setting"}, f.Measures...), Rows: rows})
	if len(list) > 0 {
		rows = nil
		for _, c := range list {
			rows = append(rows, report.Row{Class: string(c.Verdict), Cells: []string{c.Setting, c.Measure, report.Number(c.Base), report.Number(c.Mean), report.Number(c.Diff),
				report.Number(c.Low) + " to " + report.Number(c.High), report.Number(c.PHolm), string(c.Verdict)}})
		}
		s.Tables = append(s.Tables, report.Table{Caption: fmt.Sprintf("Against %q", f.Baseline),
			Head: []string{"setting", "figure", "baseline", "mean", "difference", "95% interval", "p (Holm)", "verdict"}, Rows: rows})
		g, err := forest(list)
		if err != nil {
			return s, err
		}
		if g != "" {
			s.Plots = append(s.Plots, g)
		}
	}
	plots, err := f.plots(runs, means)
	s.Plots = append(s.Plots, plots...)
	return s, err
}

// forest draws the differences.
func forest(list []Comparison) (template.HTML, error) {
	var marks []report.Mark
	for _, c := range list {
		if k := 100 / c.Base; c.Base != 0 {
			marks = append(marks, report.Mark{Name: c.Setting + ": " + c.Measure, Value: c.Diff * k, Low: c.Low * k, High: c.High * k, Group: string(c.Verdict)})
		}
	}
	return report.Forest("difference to the baseline, % of its mean, with 95% intervals", marks,
		[]string{string(Better), string(Worse), string(Noise), string(Same), string(TooFew)},
		map[string]color.Color{string(Better): color.RGBA{0x1b, 0x7f, 0x3b, 255}, string(Worse): color.RGBA{0xb0, 0x2a, 0x2a, 255}})
}

// plots draws latencies, the use of machines over time, and where the rented time went.
func (f *File) plots(runs []Run, means []meter.Figures) (out []template.HTML, err error) {
	var waits, dones, use []report.Line
	for i, set := range f.Settings {
		waits = append(waits, report.Line{Name: set.Name, Points: curveOf(runs, set.Name, func(r Run) []float64 { return r.Waits }), Colour: i})
		dones = append(dones, report.Line{Name: set.Name, Points: curveOf(runs, set.Name, func(r Run) []float64 { return r.Dones }), Colour: i})
		for _, r := range runs {
			if r.Setting != set.Name || len(r.Series) == 0 {
				continue
			}
			var rented, running plotter.XYs
			for _, k := range r.Series {
				rented = append(rented, plotter.XY{X: k.AtS, Y: k.Rented})
				running = append(running, plotter.XY{X: k.AtS, Y: k.Running})
			}
			use = append(use, report.Line{Name: set.Name + ": in use", Points: running, Colour: i}, report.Line{Name: set.Name + ": rented", Points: rented, Colour: i, Dashed: true})
		}
	}
	add := func(g template.HTML, e error) {
		if err = errors.Join(err, e); e == nil && g != "" {
			out = append(out, g)
		}
	}
	add(report.LinePlot("Until the first task", "% of jobs", "seconds", waits, false))
	add(report.LinePlot("Until the end", "% of jobs", "seconds", dones, false))
	add(report.LinePlot(fmt.Sprintf("Machines, seed %d", f.FirstSeed), "seconds", "CPUs", use, false))
	if len(f.Settings) <= 12 {
		parts := []report.Part{{Name: "useful", Colour: color.RGBA{0x2e, 0x7d, 0x32, 255}}, {Name: "not completed", Colour: color.RGBA{0xb0, 0x2a, 0x2a, 255}},
			{Name: "images", Colour: color.RGBA{0xe0, 0xa0, 0x30, 255}}, {Name: "boots", Colour: color.RGBA{0x55, 0x77, 0xaa, 255}}, {Name: "idle", Colour: color.Gray{0xbb}}}
		var names []string
		for i, set := range f.Settings {
			names = append(names, set.Name)
			for k, m := range []string{"useful", "wasted_share", "fetch_share", "boot_share", "idle_share"} {
				parts[k].Values = append(parts[k].Values, max(0, means[i][m]))
			}
		}
		add(report.Bars("Where the rented CPU time went", "share", names, parts))
	}
	return out, err
}

// meanOf returns the means of a setting's figures.
func meanOf(runs []Run, setting string) meter.Figures {
	out, n := meter.Figures{}, map[string]float64{}
	for _, r := range runs {
		if r.Setting == setting {
			for k, v := range r.Figures {
				n[k]++
				out[k] += (v - out[k]) / n[k]
			}
		}
	}
	return out
}

// curveOf returns the means of a setting's quantiles.
func curveOf(runs []Run, setting string, of func(Run) []float64) plotter.XYs {
	var out plotter.XYs
	n := 0.0
	for _, r := range runs {
		c := of(r)
		if r.Setting != setting || len(c) != len(curveAt) {
			continue
		}
		if out == nil {
			out = make(plotter.XYs, len(c))
		}
		n++
		for i, v := range c {
			out[i].X = 100 * curveAt[i]
			out[i].Y += (v - out[i].Y) / n
		}
	}
	return out
}
