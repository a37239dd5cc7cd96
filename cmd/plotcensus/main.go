// Command plotcensus draws what "shalestage rehearse --census" counted. It is a program
// of its own, so that controllers do not carry what it takes to draw.
package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/alecthomas/kong"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

type arguments struct {
	Census  *os.File `arg:"" help:"The census (CSV)."`
	Out     string   `short:"o" required:"" placeholder:"FILE" help:"Where to draw it; the name says how (SVG, PNG)."`
	Title   string   `default:"What is kept, by day" help:"The title."`
	Columns []string `default:"shalestage/job,shalestage/machine,shalestage/progress,shalestage-past,jobs_in_memory" help:"The columns that are drawn."`
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("plotcensus"), kong.Description("Draws a census of a long rehearsal."))
	if err := draw(a.Census, a.Title, a.Columns, a.Out); err != nil {
		fmt.Fprintf(os.Stderr, "plotcensus: %v\n", err)
		os.Exit(1)
	}
}

// draw draws columns of a census over days, as SVG, PNG or whatever the file's
// name asks for.
func draw(census io.Reader, title string, columns []string, file string) error {
	rows, err := csv.NewReader(census).ReadAll()
	if err != nil {
		return err
	}
	if len(rows) < 2 {
		return errors.New("the census has no line")
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "simulated days"
	p.Y.Label.Text = "number"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, name := range columns {
		col := slices.Index(rows[0], name)
		if col < 0 {
			return fmt.Errorf("the census has no column %q", name)
		}
		var pts plotter.XYs
		for _, r := range rows[1:] {
			at, err1 := strconv.ParseFloat(r[0], 64)
			v, err2 := strconv.ParseFloat(r[col], 64)
			if err := errors.Join(err1, err2); err != nil {
				return err
			}
			pts = append(pts, plotter.XY{X: at / 86_400, Y: v})
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		l.Dashes = plotutil.Dashes(i / 4)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	p.Y.Max *= 1.5 // room for the legend
	return p.Save(8*vg.Inch, 4*vg.Inch, file)
}
