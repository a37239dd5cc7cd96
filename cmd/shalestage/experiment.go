package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"shalestage.example/shalestage/internal/experiment"
)

type experimentCmd struct {
	File string `arg:"" help:"An experiment (TOML), see examples/experiment.toml."`
	Out  string `short:"o" placeholder:"DIR" help:"Where plays and report go; by default the file's name without its ending."`
	JSON bool   `name:"json" help:"Print the comparisons as JSON."`
}

// Help implements kong's long help.
func (*experimentCmd) Help() string {
	return "Plays every setting with every scenario and seed in simulated time, holds them against the baseline, and writes report.html, runs.csv and comparisons.json. What was played before in the same directory by the same version is not played again. Exit status: 0 done, 1 a rule was broken, 2 unusable input."
}

// Run plays and reports.
func (o *experimentCmd) Run() error {
	f, err := experiment.Read(o.File)
	if err != nil {
		return unusable(err)
	}
	dir := o.Out
	if dir == "" {
		dir = strings.TrimSuffix(o.File, filepath.Ext(o.File))
	}
	debug.SetGCPercent(400) // a play makes much that is soon garbage
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
