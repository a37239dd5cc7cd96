package report

import (
	"bytes"
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

// Part is one part of stacked bars: a value for each bar.
type Part struct {
	Name   string
	Values plotter.Values
	Colour color.Color
}

// Bars draws stacked bars.
func Bars(title, y string, names []string, parts []Part) (template.HTML, error) {
	p := newPlot(title, "", y)
	p.Legend.Left = false
	var below *plotter.BarChart
	for _, part := range parts {
		b, err := plotter.NewBarChart(part.Values, vg.Points(28))
		if err != nil {
			return "", err
		}
		b.Color, b.LineStyle.Width = part.Colour, 0
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(part.Name, b)
	}
	p.Y.Min, p.Y.Max = 0, 1.45 // room for the legend
	p.NominalX(names...)
	return svg(p, 7.2*vg.Inch, 3.3*vg.Inch)
}

// Mark is a value with its interval, in a group that has a colour.
type Mark struct {
	Name             string
	Value, Low, High float64
	Group            string
}

// Forest draws values with their intervals, one below the other; colours are by group, and
// grey where there is none.
func Forest(x string, list []Mark, groups []string, colours map[string]color.Color) (template.HTML, error) {
	p := newPlot("", x, "")
	p.Legend.Top = false
	type points struct {
		plotter.XYs
		plotter.XErrors
	}
	all := map[string]*points{}
	var names []string
	for i := len(list) - 1; i >= 0; i-- {
		m := list[i]
		if all[m.Group] == nil {
			all[m.Group] = &points{}
		}
		g := all[m.Group]
		g.XYs = append(g.XYs, plotter.XY{X: m.Value, Y: float64(len(names))})
		g.XErrors = append(g.XErrors, struct{ Low, High float64 }{m.Value - m.Low, m.High - m.Value})
		names = append(names, m.Name)
	}
	if len(names) == 0 {
		return "", nil
	}
	for _, name := range groups {
		g := all[name]
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
		c := colours[name]
		if c == nil {
			c = color.Gray{0x80}
		}
		e.Color, s.Color = c, c
		s.Shape, s.Radius = draw.CircleGlyph{}, vg.Points(2.5)
		p.Add(e, s)
		p.Legend.Add(name, s)
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return "", err
	}
	p.Add(zero)
	p.NominalY(names...)
	return svg(p, 7.2*vg.Inch, vg.Length(1.1+0.22*float64(len(names)))*vg.Inch)
}
