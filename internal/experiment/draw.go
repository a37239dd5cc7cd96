package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Line is a named line of a plot.
type Line struct {
	Name   string
	Points plotter.XYs
	Dashed bool
	Colour int
}

// LinePlot draws lines into one picture for a page.
func LinePlot(title, x, y string, lines []Line, logY bool) (template.HTML, error) {
	p := newPlot(title, x, y)
	if logY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	for _, l := range lines {
		if len(l.Points) == 0 {
			continue
		}
		g, err := plotter.NewLine(l.Points)
		if err != nil {
			return "", err
		}
		g.Color, g.Width = plotutil.Color(l.Colour), vg.Points(1.4)
		if l.Dashed {
			g.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			g.Width = vg.Points(0.9)
		}
		p.Add(g)
		p.Legend.Add(l.Name, g)
	}
	if !logY {
		p.Y.Max *= 1 + 0.09*float64(len(lines)) // room for the legend
	}
	return svg(p, 7.2*vg.Inch, 3.3*vg.Inch)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

// svg returns a plot as a part of a page.
func svg(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	s := b.Bytes()
	if i := bytes.Index(s, []byte("<svg")); i >= 0 {
		s = s[i:] // the page has a head of its own
	}
	return template.HTML(s), nil //nolint:gosec // drawn here, and what it names is escaped by the drawer
}

// part is one part of stacked bars: a value for each bar.
type part struct {
	name   string
	values plotter.Values
	colour color.Color
}

// bars draws stacked bars.
func bars(title, y string, names []string, parts []part) (template.HTML, error) {
	p := newPlot(title, "", y)
	p.Legend.Left = false
	var below *plotter.BarChart
	for _, part := range parts {
		b, err := plotter.NewBarChart(part.values, vg.Points(28))
		if err != nil {
			return "", err
		}
		b.Color, b.LineStyle.Width = part.colour, 0
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(part.name, b)
	}
	p.Y.Min, p.Y.Max = 0, 1.45 // room for the legend
	p.NominalX(names...)
	return svg(p, 7.2*vg.Inch, 3.3*vg.Inch)
}

// forest draws differences with their intervals, one below the other.
func forest(title string, list []Comparison) (template.HTML, error) {
	p := newPlot(title, "difference to the baseline, % of its mean, with 95% intervals", "")
	p.Legend.Top = false
	type points struct {
		plotter.XYs
		plotter.XErrors
	}
	all := map[Verdict]*points{}
	var names []string
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.Base == 0 {
			continue
		}
		if all[c.Verdict] == nil {
			all[c.Verdict] = &points{}
		}
		k := 100 / c.Base
		g := all[c.Verdict]
		g.XYs = append(g.XYs, plotter.XY{X: c.Diff * k, Y: float64(len(names))})
		g.XErrors = append(g.XErrors, struct{ Low, High float64 }{(c.Diff - c.Low) * k, (c.High - c.Diff) * k})
		names = append(names, fmt.Sprintf("%s: %s", c.Setting, c.Measure))
	}
	if len(names) == 0 {
		return "", nil
	}
	colours := map[Verdict]color.Color{Better: color.RGBA{0x1b, 0x7f, 0x3b, 255}, Worse: color.RGBA{0xb0, 0x2a, 0x2a, 255}}
	for _, v := range []Verdict{Better, Worse, Noise, Same, TooFew} {
		g := all[v]
		if g == nil {
			continue
		}
		e, err := plotter.NewXErrorBars(g)
		if err != nil {
			return "", err
		}
		s, err := plotter.NewScatter(g)
		if err != nil {
			return "", err
		}
		c := colours[v]
		if c == nil {
			c = color.Gray{0x80}
		}
		e.Color, s.Color = c, c
		s.Shape, s.Radius = draw.CircleGlyph{}, vg.Points(2.5)
		p.Add(e, s)
		p.Legend.Add(string(v), s)
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return "", err
	}
	p.Add(zero)
	p.NominalY(names...)
	return svg(p, 7.2*vg.Inch, vg.Length(1.1+0.22*float64(len(names)))*vg.Inch)
}
