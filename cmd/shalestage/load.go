package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/load"
)

type loadCmd struct {
	target
	File  string   `arg:"" help:"A load (TOML), see examples/load.toml."`
	Out   string   `short:"o" placeholder:"DIR" help:"Where the report goes; by default the file's name without its ending."`
	Watch []string `placeholder:"NAME=IP:PORT" help:"Read figures from /metrics there; by default of all processes that \"up\" has started."`
	Find  string   `enum:",submit,poll,stranger,cancel" default:"" help:"Instead of the file's phases, seek the rate at which this kind of call gives, with the file's jobs."`
	From  float64  `default:"10" help:"Of --find: the first rate, calls a second."`
	Most  float64  `default:"5000" help:"Of --find: the last rate that is tried."`
	For   float64  `default:"5" help:"Of --find: seconds of each try."`
	P99   float64  `name:"p99" default:"300" help:"Of --find: milliseconds within which 99% must be answered."`
	Share float64  `default:"0.99" help:"Of --find: the share that must be answered as it should be."`
}

// Help implements kong's long help.
func (*loadCmd) Help() string {
	return "Asks at rates that do not depend on the answers, counts latencies from when calls were due, and writes report.html, calls.csv, seconds.csv and load.json. Exit status: 0 done, 1 answers were wrong (an accepted job was not known, or one that nobody submitted was), 2 unusable input."
}

// Run makes the load.
func (o *loadCmd) Run() error {
	f, err := load.Read(o.File)
	if err != nil {
		return unusable(err)
	}
	cl, err := o.resolve()
	if err != nil {
		return err
	}
	watched, err := o.watched(cl)
	if err != nil {
		return unusable(err)
	}
	ctx, cancel := interruptible()
	defer cancel()
	base := time.Now().UnixMicro()
	run := func(ctx context.Context, f *load.File) (load.Result, []load.Reading, error) {
		ids := func(n int) string { return fmt.Sprintf("wk-%d", base+int64(n)) }
		planned := f.Planned(ids)
		defer func() { base += int64(len(planned)) }()
		if cl.Control != "" {
			if err := uploadAll(cl.Control, f, planned); err != nil {
				return load.Result{}, nil, err
			}
		}
		return f.Watch(ctx, client.New(cl.Front), ids, watched)
	}
	if o.Find != "" {
		return o.find(ctx, f, run)
	}
	r, read, err := run(ctx, f)
	if err != nil {
		return err
	}
	dir := outDir(o.Out, o.File)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return unusable(err)
	}
	if err := f.Save(dir, r, read); err != nil {
		return unusable(err)
	}
	var head []any
	for _, h := range load.Head() {
		head = append(head, h)
	}
	t := newTable(os.Stdout, head...)
	wrong := 0
	for _, c := range r.Cells {
		var row []any
		for _, v := range f.Row(c) {
			row = append(row, v)
		}
		t.AppendRow(row)
		wrong += c.Wrong
	}
	t.Render()
	fmt.Println(filepath.Join(dir, "report.html"))
	if wrong > 0 {
		return exit{exitFailed, fmt.Errorf("%d answers were wrong", wrong)}
	}
	return nil
}

// find seeks the rate at which a kind of call gives.
func (o *loadCmd) find(ctx context.Context, f *load.File, run func(context.Context, *load.File) (load.Result, []load.Reading, error)) error {
	if !(o.From >= 0.1 && o.From <= o.Most && o.Most <= 100_000 && o.For >= 1 && o.For <= 600 && o.Share > 0 && o.Share <= 1) {
		return unusable(errors.New("want --from 0.1 or more, --most up to 100000 and not below it, --for 1 to 600, --share up to 1"))
	}
	s := load.Search{Kind: load.Kind(o.Find), From: o.From, To: o.Most, ForS: o.For, PauseS: 2, P99MS: o.P99, Share: o.Share, Steps: 3}
	if len(f.Jobs) == 0 && s.Kind != load.Stranger {
		return unusable(errors.New(o.File + ": no [[job]] in it to submit"))
	}
	tries, err := s.Find(ctx, f.Jobs, run, func(t load.Try) {
		word := "borne"
		if !t.Borne {
			word = "not borne"
		}
		fmt.Fprintf(os.Stderr, "%.0f a second: %s (%.1f%% as they should be, 99%% within %.1f ms) %s\n", t.Rate, word, 100*t.Share, t.P99MS, t.Reason)
	})
	if err != nil {
		return err
	}
	fmt.Println(s.Verdict(tries))
	return nil
}

// watched returns the processes whose figures are read.
func (o *loadCmd) watched(cl cluster) (out []load.Watched, err error) {
	for _, w := range o.Watch {
		name, addr, ok := strings.Cut(w, "=")
		if !ok {
			return nil, fmt.Errorf("--watch: want NAME=IP:PORT, got %q", w)
		}
		out = append(out, load.Watched{Name: name, Addr: addr})
	}
	if len(out) > 0 || cl.Dir == "" {
		return out, nil
	}
	p, err := launch.ReadPlan(filepath.Join(cl.Dir, "plan.json"))
	if err != nil {
		return nil, err
	}
	for name, at := range p.Listen {
		out = append(out, load.Watched{Name: name, Addr: at.Real})
	}
	for name, at := range p.Roles {
		out = append(out, load.Watched{Name: name, Addr: at})
	}
	slices.SortFunc(out, func(a, b load.Watched) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// uploadAll has the emulated workers know the descriptions of all jobs to come, as users
// upload them.
func uploadAll(control string, f *load.File, planned []load.Planned) error {
	const atOnce = 16
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	next := make(chan load.Planned)
	for range atOnce {
		wg.Go(func() {
			for p := range next {
				j := f.Jobs[p.Class]
				if err := launch.Upload(control, &user.Job{Job: j.Work(p.ID, j.Spec())}); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	for _, p := range planned {
		next <- p
	}
	close(next)
	wg.Wait()
	return failed
}
