package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"shalestage.example/shalestage/examples"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/launch"
)

// serveWithin is how long a deployment may take until it serves.
const serveWithin = 30 * time.Second

type upCmd struct {
	Scenario string        `arg:"" optional:"" placeholder:"FILE" help:"Deployment and workload (TOML); by default the sample that comes with the program."`
	Keep     bool          `help:"Stay until interrupted, also when all jobs are over."`
	Data     string        `placeholder:"DIR" help:"Keep the state service's data there; a later \"up\" goes on with its jobs."`
	Dir      string        `placeholder:"DIR" help:"For logs and settings; by default a new temporary one."`
	Listen   string        `placeholder:"IP:PORT" help:"Address for users' requests; by default any free port on loopback."`
	Within   time.Duration `default:"10m" help:"End the run after this time, whether or not all jobs are over."`
}

// Run starts a deployment, runs the workload and prints how it went.
func (o *upCmd) Run() error {
	if o.Dir == "" {
		dir, err := os.MkdirTemp("", "shalestage-")
		if err != nil {
			return err
		}
		o.Dir = dir
	} else if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return unusable(err)
	}
	if o.Scenario == "" {
		o.Scenario = filepath.Join(o.Dir, "sample.toml")
		if err := os.WriteFile(o.Scenario, examples.Sample, 0o644); err != nil {
			return unusable(err)
		}
	}
	ctx, cancel := interruptible()
	defer cancel()
	began := time.Now()
	d, err := launch.Start(launch.Options{Scenario: o.Scenario, Dir: o.Dir, Data: o.Data, Front: o.Listen})
	if err != nil {
		return unusable(err)
	}
	defer d.Stop()
	if err := d.WaitServing(serveWithin); err != nil {
		return err
	}
	p := d.Plan
	fmt.Printf("serving after %.1f s\n", time.Since(began).Seconds())
	t := newTable(os.Stdout, "what", "listens on")
	t.AppendRow([]any{"users (load balancer)", p.Front})
	for n := range len(p.Listen) {
		name := fmt.Sprintf("node-%d", n)
		t.AppendRow([]any{"controller " + name, p.Listen[name].Real})
	}
	t.AppendRow([]any{"state service", p.State["node-0"].Real})
	t.AppendRow([]any{"cloud", p.Cloud["node-0"].Real})
	t.AppendRow([]any{"control (faults, descriptions)", p.Control})
	t.AppendRow([]any{"logs and settings", d.Dir})
	t.Render()
	if err := (cluster{Front: p.Front, Control: p.Control, Dir: d.Dir}).save(); err != nil {
		return err
	}

	jobs := d.Run()
	show := newShow(os.Stdout, len(jobs))
	over, interrupted := false, false
	for until := time.Now().Add(o.Within); !over && !interrupted && time.Now().Before(until); {
		select {
		case <-ctx.Done():
			interrupted = true
		case err := <-d.Fatal:
			show.stop()
			return unusable(err)
		case <-time.After(500 * time.Millisecond):
		}
		pr := d.Progress()
		show.update(pr)
		over = pr.Left == 0
	}
	show.stop()
	if o.Keep && !interrupted {
		fmt.Println("all jobs are over; interrupt to end (\"shalestage submit examples/batch.toml\" in another terminal goes on)")
		select {
		case <-ctx.Done():
		case err := <-d.Fatal:
			return unusable(err)
		}
	}
	broken, starts := d.Finish(over && !o.Keep)
	figures, _ := d.Figures() // of a deployment that serves
	restarts := d.Restarts()
	printRun(os.Stdout, jobs, figures, starts, restarts, broken)
	switch {
	case len(broken) > 0:
		for _, b := range broken {
			fmt.Fprintf(os.Stderr, "%v\n", b)
			for _, l := range b.History {
				fmt.Fprintln(os.Stderr, "  "+l)
			}
		}
		return exit{exitFailed, fmt.Errorf("%d rules were broken", len(broken))}
	case !over && !o.Keep:
		return exit{exitFailed, errors.New("not all jobs are over")}
	}
	return nil
}

// show tells how far a run has come: as a bar that moves on a terminal, and
// elsewhere as a line whenever a job is over or a rule is broken, and now and then.
type show struct {
	w    io.Writer
	bar  progress.Writer
	t    *progress.Tracker
	left int
	bad  int
	at   time.Time
}

// quietFor is how long plain output may say nothing.
const quietFor = 5 * time.Second

func newShow(f *os.File, jobs int) *show {
	s := &show{w: f}
	if !isTerminal(f) {
		return s
	}
	s.bar = progress.NewWriter()
	s.bar.SetOutputWriter(f)
	s.bar.SetUpdateFrequency(200 * time.Millisecond)
	s.bar.SetMessageLength(60)
	s.bar.SetTrackerLength(30)
	s.bar.Style().Visibility.ETA = false
	s.bar.Style().Options.PercentFormat = "%3.0f%%"
	s.bar.Style().Options.TimeInProgressPrecision = time.Second
	s.bar.Style().Options.TimeDonePrecision = time.Second
	s.t = &progress.Tracker{Message: "starting", Total: int64(jobs)}
	s.bar.AppendTracker(s.t)
	go s.bar.Render()
	return s
}

func (s *show) update(p launch.Progress) {
	msg := fmt.Sprintf("%d of %d jobs over, %d tasks on %d machines, %d rules broken", p.Jobs-p.Left, p.Jobs, p.Running, p.Machines, len(p.Broken))
	switch {
	case s.bar != nil:
		s.t.UpdateMessage(msg)
		s.t.SetValue(int64(p.Jobs - p.Left))
	case p.Left != s.left || len(p.Broken) != s.bad || time.Since(s.at) > quietFor:
		fmt.Fprintln(s.w, msg)
		s.left, s.bad, s.at = p.Left, len(p.Broken), time.Now()
	}
}

func (s *show) stop() {
	if s.bar != nil {
		s.bar.Stop()
		time.Sleep(250 * time.Millisecond) // its last picture
		fmt.Fprintln(s.w)
	}
}

// printRun prints the table at the end of a run.
func printRun(w io.Writer, jobs []*user.Job, f launch.Figures, starts, restarts int, broken []check.Violation) {
	type group struct {
		name                    string
		jobs, done, off, gaveUp int
		late                    int
		over, longest           units.Microseconds
	}
	var order []string
	groups := map[string]*group{}
	for _, j := range jobs {
		g := groups[j.Spec.Class]
		if g == nil {
			g = &group{name: j.Spec.Class}
			groups[j.Spec.Class] = g
			order = append(order, j.Spec.Class)
		}
		g.jobs++
		switch {
		case j.GaveUp:
			g.gaveUp++
		case j.FinalStatus == "done":
			g.done++
		case j.FinalStatus == "cancelled":
			g.off++
		}
		if j.FinalStatus != "" {
			took := j.FinalAt - j.At
			g.over += took
			g.longest = max(g.longest, took)
			if j.Spec.Deadline > 0 && took > j.Spec.Deadline {
				g.late++
			}
		}
	}
	fmt.Fprintln(w)
	t := newTable(w, "class", "jobs", "done", "cancelled", "not over", "late", "mean s", "longest s")
	for _, n := range order {
		g := groups[n]
		mean := "-"
		if k := g.done + g.off; k > 0 {
			mean = fmt.Sprintf("%.1f", (g.over / units.Microseconds(k)).Seconds())
		}
		t.AppendRow([]any{g.name, g.jobs, g.done, g.off, g.jobs - g.done - g.off, g.late, mean, fmt.Sprintf("%.1f", g.longest.Seconds())})
	}
	t.Render()
	fmt.Fprintf(w, "\n%d tasks started, %d machines rented, money spent %.3f, controllers restarted %d\n", starts, f.Rented, f.Money, restarts)
	if len(broken) == 0 {
		fmt.Fprintf(w, "rules: all %d kept\n", len(check.Rules))
	} else {
		fmt.Fprintf(w, "rules: %d broken\n", len(broken))
	}
}

// wrapped breaks a column's long lines between words.
func wrapped(column, width int) []table.ColumnConfig {
	return []table.ColumnConfig{{Number: column, WidthMax: width, WidthMaxEnforcer: text.WrapSoft}}
}

type emulateCmd struct {
	Role string `arg:"" help:"state, cloud or balancer."`
	Plan string `required:"" help:"File with the deployment's addresses."`
}

// Run runs one of the emulator's processes.
func (o *emulateCmd) Run() error {
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return unusable(err)
	}
	slog.SetDefault(log)
	if err := launch.Role(o.Role, o.Plan, log); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return unusable(err)
	}
	return nil
}
