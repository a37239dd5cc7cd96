package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"shalestage.example/shalestage/internal/experiment"
	"shalestage.example/shalestage/internal/experiment/paper"
	"shalestage.example/shalestage/internal/report"
)

type experimentCmd struct {
	File  string  `arg:"" optional:"" help:"An experiment (TOML), see examples/experiment.toml."`
	Out   string  `short:"o" placeholder:"DIR" help:"Where plays and report go; by default the file's name without its ending."`
	JSON  bool    `name:"json" help:"Print the comparisons as JSON."`
	Paper bool    `help:"Instead of a file, repeat the tables and sweeps of the paper that the scheduler follows, against the schedulers that it names."`
	Seeds int     `default:"8" help:"Of --paper: draws of each workload."`
	Scale float64 `default:"0.2" help:"Of --paper: size of the clusters; 1: 250 and 300 machines."`
}

// Help implements kong's long help.
func (*experimentCmd) Help() string {
	return "Plays every setting with every scenario and seed in simulated time, holds them against the baseline, and writes report.html, runs.csv and comparisons.json. What was played before in the same directory by the same version is not played again. Exit status: 0 done, 1 a rule was broken, 2 unusable input."
}

// Run plays and reports.
func (o *experimentCmd) Run() error {
	if o.Paper != (o.File == "") {
		return unusable(errors.New("want a file, or --paper"))
	}
	debug.SetGCPercent(400) // a play makes much that is soon garbage
	if o.Paper {
		return o.paper()
	}
	f, err := experiment.Read(o.File)
	if err != nil {
		return unusable(err)
	}
	dir := outDir(o.Out, o.File)
	runs, err := f.Play(dir, version, func(done, all int, r experiment.Run) {
		fmt.Fprintf(os.Stderr, "%d of %d: %s, %s, seed %d (%.1f s)\n", done, all, r.Scenario, r.Setting, r.Seed, r.TookS)
	})
	if err != nil {
		return unusable(err)
	}
	list := f.Compare(runs)
	if err := f.Save(dir, runs, list); err != nil {
		return unusable(err)
	}
	if o.JSON {
		if err := printJSON(list); err != nil {
			return err
		}
	} else {
		t := newTable(os.Stdout, "scenario", "setting", "figure", "baseline", "mean", "difference", "95% interval", "verdict")
		for _, c := range list {
			t.AppendRow(table.Row{c.Scenario, c.Setting, c.Measure, fmt.Sprintf("%.4g", c.Base), fmt.Sprintf("%.4g", c.Mean), fmt.Sprintf("%+.4g", c.Diff),
				fmt.Sprintf("%+.4g to %+.4g", c.Low, c.High), c.Verdict})
		}
		t.Render()
		fmt.Println(filepath.Join(dir, "report.html"))
	}
	if n := experiment.Broken(runs); n > 0 {
		return exit{exitFailed, fmt.Errorf("a rule was broken in %d of %d plays, see the report", n, len(runs))}
	}
	return nil
}

// outDir is where a report on a file goes: where it is asked for, or beside the file.
func outDir(asked, file string) string {
	if asked != "" {
		return asked
	}
	return strings.TrimSuffix(file, filepath.Ext(file))
}

// paper repeats the paper's tables.
func (o *experimentCmd) paper() error {
	if o.Seeds < 1 || o.Seeds > 1000 || !(o.Scale >= 0.02 && o.Scale <= 4) {
		return unusable(errors.New("want --seeds from 1 to 1000 and --scale from 0.02 to 4"))
	}
	dir := outDir(o.Out, "paper")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return unusable(err)
	}
	opt := paper.Options{Seeds: o.Seeds, Machines: int(300 * o.Scale), Jobs: int(1000 * o.Scale), Scale: o.Scale}
	res := paper.Play(opt, func(done, all int) { fmt.Fprintf(os.Stderr, "%d of %d draws\n", done, all) })
	page, err := res.Page(opt)
	if err != nil {
		return err
	}
	if err := errors.Join(report.Save(filepath.Join(dir, "report.html"), page.WriteHTML), report.Save(filepath.Join(dir, "paper.json"), report.JSON(res))); err != nil {
		return unusable(err)
	}
	if o.JSON {
		return printJSON(res)
	}
	t := newTable(os.Stdout, "gain in %", "paper", "here", "95% interval")
	for _, r := range res.Rows {
		t.AppendRow(table.Row{r.What, r.Paper, fmt.Sprintf("%.1f", r.Ours), fmt.Sprintf("± %.1f", r.Half)})
	}
	t.Render()
	fmt.Println(filepath.Join(dir, "report.html"))
	return nil
}
