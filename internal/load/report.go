package load

import (
	"cmp"
	"encoding/csv"
	"errors"
	"fmt"
	"html/template"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot/plotter"

	"shalestage.example/shalestage/internal/report"
)

// quantiles are those that tables and data have.
var quantiles = []struct {
	name string
	at   float64
}{{"p50_ms", 50}, {"p95_ms", 95}, {"p99_ms", 99}, {"p999_ms", 99.9}, {"max_ms", 100}}

// Millis returns a quantile of a cell's latencies.
func (c Cell) Millis(at float64) float64 { return float64(c.Hist.ValueAtQuantile(at)) / 1000 }

// Share is the share of what was due that was answered as it should be.
func (c Cell) Share() float64 {
	if n := c.Sent + c.Dropped; n > 0 {
		return float64(c.OK) / float64(n)
	}
	return 1
}

// head and Row are a cell's table.
var head = func() []string {
	out := []string{"phase", "kind", "sent", "a second", "as it should", "shed", "refused", "wrong", "no answer", "dropped"}
	for _, q := range quantiles {
		out = append(out, q.name)
	}
	return out
}()

// Head names the columns of Row.
func Head() []string { return head }

// Row shows a cell.
func (f *File) Row(c Cell) []string {
	per := ""
	for _, p := range f.Phases {
		if p.Name == c.Phase {
			per = fmt.Sprintf("%.1f", float64(c.Sent)/p.ForS)
		}
	}
	out := []string{c.Phase, string(c.Kind), fmt.Sprint(c.Sent), per, fmt.Sprint(c.OK), fmt.Sprint(c.Shed), fmt.Sprint(c.Refused), fmt.Sprint(c.Wrong), fmt.Sprint(c.None), fmt.Sprint(c.Dropped)}
	for _, q := range quantiles {
		out = append(out, fmt.Sprintf("%.1f", c.Millis(q.at)))
	}
	return out
}

// Save writes the report into a directory: report.html, calls.csv, seconds.csv and
// load.json.
func (f *File) Save(dir string, r Result, read []Reading) error {
	p, err := f.page(r, read)
	if err != nil {
		return err
	}
	type cellData struct {
		Cell
		Millis map[string]float64 `json:"latency"`
	}
	var cells []cellData
	for _, c := range r.Cells {
		d := cellData{c, map[string]float64{}}
		for _, q := range quantiles {
			d.Millis[q.name] = c.Millis(q.at)
		}
		cells = append(cells, d)
	}
	data := map[string]any{"name": f.Name, "seed": f.Seed, "took_s": r.TookS, "calls": cells, "reasons": r.Reasons, "readings": read}
	rows := [][]string{head}
	for _, c := range r.Cells {
		rows = append(rows, f.Row(c))
	}
	seconds := [][]string{{"second", "sent", "as_it_should", "shed", "no_answer", "p50_ms", "p99_ms"}}
	for i, s := range r.Seconds {
		seconds = append(seconds, []string{strconv.Itoa(i), strconv.Itoa(s.Sent), strconv.Itoa(s.OK), strconv.Itoa(s.Shed), strconv.Itoa(s.None), fmt.Sprintf("%.2f", s.P50), fmt.Sprintf("%.2f", s.P99)})
	}
	table := func(rows [][]string) func(io.Writer) error {
		return func(w io.Writer) error { return csv.NewWriter(w).WriteAll(rows) }
	}
	return errors.Join(report.Save(filepath.Join(dir, "report.html"), p.WriteHTML), report.Save(filepath.Join(dir, "calls.csv"), table(rows)),
		report.Save(filepath.Join(dir, "seconds.csv"), table(seconds)), report.Save(filepath.Join(dir, "load.json"), report.JSON(data)))
}

func (f *File) page(r Result, read []Reading) (report.Page, error) {
	p := report.Page{Title: f.Name, About: f.About, Notes: []string{
		"Open loop: calls are made when they are due, whatever was answered before, and latencies count from then. They are of calls that were answered as they should be.",
	}}
	calls := report.Section{Title: "Calls"}
	t := report.Table{Head: head}
	for _, c := range r.Cells {
		class := ""
		if c.Wrong > 0 {
			class = "worse"
		}
		t.Rows = append(t.Rows, report.Row{Class: class, Cells: f.Row(c)})
	}
	calls.Tables = append(calls.Tables, t)
	if len(r.Reasons) > 0 {
		t := report.Table{Caption: "What refusals said", Head: []string{"text", "times"}}
		for _, text := range slices.SortedFunc(maps.Keys(r.Reasons), func(a, b string) int { return cmp.Compare(r.Reasons[b], r.Reasons[a]) }) {
			t.Rows = append(t.Rows, report.Row{Cells: []string{text, fmt.Sprint(r.Reasons[text])}})
		}
		calls.Tables = append(calls.Tables, t)
	}
	add := func(s *report.Section, g template.HTML, err error) error {
		if err == nil {
			s.Plots = append(s.Plots, g)
		}
		return err
	}
	var curves []report.Line
	for i, k := range []Kind{Submit, Poll, Stranger, Follow, Cancel, Accepted} {
		h := newHist()
		for _, c := range r.Cells {
			if c.Kind == k {
				h.Merge(c.Hist)
			}
		}
		if h.TotalCount() == 0 {
			continue
		}
		l := report.Line{Name: string(k), Colour: i}
		for _, q := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9} {
			l.Points = append(l.Points, plotter.XY{X: q, Y: max(float64(h.ValueAtQuantile(q))/1000, 0.01)})
		}
		curves = append(curves, l)
	}
	g, err := report.LinePlot("Latency", "% of calls", "milliseconds", curves, true)
	if err := add(&calls, g, err); err != nil {
		return p, err
	}
	var p50, p99, ok, shed, none plotter.XYs
	for i, s := range r.Seconds {
		x := float64(i)
		p50, p99 = append(p50, plotter.XY{X: x, Y: s.P50}), append(p99, plotter.XY{X: x, Y: s.P99})
		ok, shed, none = append(ok, plotter.XY{X: x, Y: float64(s.OK)}), append(shed, plotter.XY{X: x, Y: float64(s.Shed)}), append(none, plotter.XY{X: x, Y: float64(s.None)})
	}
	g, err = report.LinePlot("Latency by second", "seconds", "milliseconds", []report.Line{{Name: "50%", Points: p50}, {Name: "99%", Points: p99, Colour: 1}}, false)
	if err := add(&calls, g, err); err != nil {
		return p, err
	}
	g, err = report.LinePlot("Answers by second", "seconds", "answers", []report.Line{{Name: "as they should be", Points: ok, Colour: 1}, {Name: "shed", Points: shed, Colour: 3}, {Name: "none", Points: none}}, false)
	if err := add(&calls, g, err); err != nil {
		return p, err
	}
	p.Parts = append(p.Parts, calls)
	if len(read) == 0 {
		return p, nil
	}
	s := report.Section{Title: "Processes"}
	t = report.Table{Head: []string{"process", "CPU, mean", "CPU, most", "memory, MB", "state requests a second, most", "changes waiting, most"}}
	var cpus []report.Line
	for i, u := range Uses(read) {
		t.Rows = append(t.Rows, report.Row{Cells: []string{u.Name, report.Number(u.CPU), report.Number(u.MostCPU), fmt.Sprintf("%.0f", u.MemoryMB), fmt.Sprintf("%.0f", u.Requests), fmt.Sprintf("%.0f", u.Writes)}})
		l := report.Line{Name: u.Name, Colour: i}
		for _, v := range read {
			if v.Name == u.Name {
				l.Points = append(l.Points, plotter.XY{X: v.AtS, Y: v.CPU})
			}
		}
		cpus = append(cpus, l)
	}
	s.Tables = append(s.Tables, t)
	g, err = report.LinePlot("Processors", "seconds", "cores", cpus, false)
	if err := add(&s, g, err); err != nil {
		return p, err
	}
	p.Parts = append(p.Parts, s)
	return p, nil
}

// Use is what a process used during a load.
type Use struct {
	Name                       string
	CPU, MostCPU               float64 // cores
	MemoryMB, Requests, Writes float64 // the most that was read
}

// Uses sums readings up, by process.
func Uses(read []Reading) []Use {
	var out []Use
	n := map[string]float64{}
	for _, r := range read {
		i := slices.IndexFunc(out, func(u Use) bool { return u.Name == r.Name })
		if i < 0 {
			i = len(out)
			out = append(out, Use{Name: r.Name})
		}
		u := &out[i]
		n[r.Name]++
		u.CPU += (r.CPU - u.CPU) / n[r.Name]
		u.MostCPU, u.MemoryMB = max(u.MostCPU, r.CPU), max(u.MemoryMB, r.MemoryMB)
		u.Requests, u.Writes = max(u.Requests, r.Requests), max(u.Writes, r.Writes)
	}
	slices.SortFunc(out, func(a, b Use) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
