package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/emulator/traffic"
	"shalestage.example/shalestage/internal/rehearse"
	"shalestage.example/shalestage/internal/scenario"
)

type rehearseCmd struct {
	Files   []string `arg:"" name:"file" help:"Scenarios (TOML), see rehearsals/."`
	Seed    uint64   `help:"Seed of the first play; by default the file's own."`
	Plays   int      `default:"1" help:"Plays of each file, with one seed after another."`
	Real    bool     `help:"Play with real processes over loopback, in real time."`
	Shrink  bool     `help:"Of a play that breaks a rule, print the scenario with all faults and jobs left out that it does not need."`
	JSON    bool     `name:"json" help:"Print JSON."`
	JUnit   string   `name:"junit" placeholder:"FILE" help:"Write the verdicts there as JUnit's XML."`
	Census  string   `placeholder:"FILE" help:"Of one play, write there as CSV how many keys and jobs there are, again and again."`
	Every   float64  `default:"3600" help:"Simulated seconds between two such counts."`
	Traffic string   `placeholder:"FILE" help:"Of one play, write there as CSV what each controller is asked, asks and takes of a processor in a second."`
	From    float64  `default:"0" help:"Simulated seconds that --traffic leaves out at the start."`
	Account bool     `help:"Say where the money for machines went, by pool and use."`
	Log     string   `enum:",error,warn,info,debug" default:"" help:"Print the controllers' logs of this level, in simulated time."`
}

// Help implements kong's long help.
func (*rehearseCmd) Help() string {
	return "Exit status: 0 rules and expectations are kept, 1 some are not, 2 unusable input."
}

// plannedPlay is one play of a file with one seed.
type plannedPlay struct {
	file string
	s    *scenario.Scenario
	seed uint64
}

// Run plays every file.
func (o *rehearseCmd) Run() error {
	plays, err := o.plan()
	if err != nil {
		return unusable(err)
	}
	if (o.Census != "" || o.Traffic != "") && (len(plays) != 1 || o.Real) {
		return unusable(errors.New("--census and --traffic are for one play in simulated time"))
	}
	opt, finish, err := o.options()
	if err != nil {
		return unusable(err)
	}
	defer finish()
	// A play makes much that is soon garbage, and little that stays.
	debug.SetGCPercent(400)
	list, err := o.playAll(plays, opt)
	if err != nil {
		return unusable(err)
	}
	if err := o.tell(list); err != nil {
		return err
	}
	return o.judge(plays, list)
}

// plan reads all files.
func (o *rehearseCmd) plan() ([]plannedPlay, error) {
	var plays []plannedPlay
	for _, f := range o.Files {
		s, err := scenario.Load(f)
		if err != nil {
			return nil, err
		}
		for i := range max(o.Plays, 1) {
			seed := s.Seed
			if o.Seed != 0 {
				seed = o.Seed
			}
			plays = append(plays, plannedPlay{f, s, seed + uint64(i)})
		}
	}
	return plays, nil
}

// options opens the files that plays write to; finish completes and closes them.
func (o *rehearseCmd) options() (opt sim.Options, finish func(), err error) {
	var files []*os.File
	finish = func() {
		if opt.Traffic != nil {
			if err := opt.Traffic.Write(files[len(files)-1]); err != nil {
				fmt.Fprintf(os.Stderr, "shalestage: %v\n", err)
			}
		}
		for _, f := range files {
			f.Close()
		}
	}
	if o.Log != "" {
		opt.Log = logInto(o.Log)
	}
	if o.Census != "" {
		f, err := os.Create(o.Census)
		if err != nil {
			return opt, finish, err
		}
		files = append(files, f)
		opt.OnCensus, opt.CensusInterval = rehearse.WriteCensus(f), units.Seconds(o.Every)
	}
	if o.Traffic != "" {
		f, err := os.Create(o.Traffic)
		if err != nil {
			return opt, finish, err
		}
		files = append(files, f)
		opt.Traffic = traffic.New(units.Seconds(o.From))
	}
	return opt, finish, nil
}

// playAll plays and tells each verdict as it comes, unless all are printed as JSON.
func (o *rehearseCmd) playAll(plays []plannedPlay, opt sim.Options) ([]rehearse.Verdict, error) {
	var list []rehearse.Verdict
	got := func(v rehearse.Verdict) {
		list = append(list, v)
		if !o.JSON {
			o.print(v)
		}
	}
	if !o.Real {
		rehearse.ForEachOrdered(len(plays), func(i int) rehearse.Verdict {
			op := opt
			op.Seed = plays[i].seed
			if o.Account {
				op.Account = account.New()
			}
			return rehearse.Simulate(plays[i].file, plays[i].s, op)
		}, got)
		return list, nil
	}
	for _, p := range plays {
		v, err := rehearse.RunProcesses(p.file, p.s)
		if err != nil {
			return list, err
		}
		got(v)
	}
	return list, nil
}

// tell writes what was asked for of all verdicts together.
func (o *rehearseCmd) tell(list []rehearse.Verdict) error {
	if o.JSON {
		if err := printJSON(list); err != nil {
			return err
		}
	}
	if o.JUnit != "" {
		if err := o.writeJUnit(list); err != nil {
			return unusable(err)
		}
	}
	if !o.JSON {
		printMet(list)
	}
	return nil
}

// judge reports plays that broke a rule or missed an expectation as an error; of the first one
// it prints the shrunk scenario where that was asked for.
func (o *rehearseCmd) judge(plays []plannedPlay, list []rehearse.Verdict) error {
	broken := 0
	for i, v := range list {
		if v.Passed {
			continue
		}
		broken++
		if o.Shrink && !o.Real && broken == 1 {
			if err := printShrunk(plays[i].s, v); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return exit{exitFailed, fmt.Errorf("%d of %d plays broke a rule or missed an expectation", broken, len(list))}
	}
	return nil
}

// printShrunk prints the smallest scenario found that breaks the rule that a play broke.
func printShrunk(s *scenario.Scenario, v rehearse.Verdict) error {
	small, used := rehearse.Shrink(s, v.Seed, v, 400)
	small.Seed = v.Seed
	b, err := toml.Marshal(small)
	if err != nil {
		return err
	}
	fmt.Printf("# shrunk in %d plays: %d faults, %d jobs\n%s", used, len(small.Faults), len(small.Jobs), b)
	return nil
}

// printMet tells which kinds of trouble began at which events, and which never did.
func printMet(list []rehearse.Verdict) {
	count, of := map[string]map[string]int{}, 0
	for _, v := range list {
		for _, m := range v.Triggered {
			if count[m.Kind] == nil {
				count[m.Kind] = map[string]int{}
			}
			count[m.Kind][m.Event]++
			of++
		}
	}
	if of == 0 {
		return
	}
	t := table.NewWriter()
	head := table.Row{"begins at"}
	for _, e := range scenario.Events {
		head = append(head, strings.ReplaceAll(e, "_", " "))
	}
	t.AppendHeader(head)
	never := 0
	for _, k := range slices.Sorted(maps.Keys(count)) {
		row := table.Row{k}
		for _, e := range scenario.Events {
			row = append(row, count[k][e])
			if count[k][e] == 0 {
				never++
			}
		}
		t.AppendRow(row)
	}
	fmt.Println(t.Render())
	fmt.Printf("%d meetings; %d of these pairs never met\n", of, never)
}

// print tells a verdict in a line, and what was broken in more.
func (o *rehearseCmd) print(v rehearse.Verdict) {
	word := "kept  "
	if !v.Passed {
		word = "BROKEN"
	}
	fmt.Printf("%s %-32s seed %-6d %s  %d of %d jobs over, %d tasks started, longest %.1f s, money %.3f, %d faults (%.1f s)\n",
		word, v.Name, v.Seed, v.Digest, v.FinishedJobs, v.Jobs, v.Starts, v.Wait, v.Cost, len(v.Faults), v.DurationS)
	for _, b := range v.Violations {
		fmt.Printf("  %.3f %s: %s\n", b.At, b.Rule, b.Text)
		for _, l := range b.History {
			fmt.Printf("    %s\n", l)
		}
	}
	if len(v.Account) > 0 {
		printAccount(v.Account)
	}
	for _, m := range v.Missed {
		fmt.Printf("  %s\n", m)
	}
	if !v.Passed && !v.Real {
		fmt.Printf("  again: shalestage rehearse %s --seed %d\n", v.File, v.Seed)
	}
}

// printAccount tells in hundredths of all money what each pool's machines cost, by use.
func printAccount(rows []account.Row) {
	head := []any{"pool", "machines", "money", "%"}
	for _, name := range account.Names {
		head = append(head, name)
	}
	t := newTable(os.Stdout, head...)
	sum := account.Sum(rows)
	all := sum.Total()
	line := func(name string, r account.Row) {
		l := table.Row{name, r.Machines, fmt.Sprintf("%.1f", r.Total()), fmt.Sprintf("%.1f", 100*r.Total()/all)}
		for _, v := range r.Spent {
			l = append(l, fmt.Sprintf("%.1f", 100*v/all))
		}
		t.AppendRow(l)
	}
	for _, r := range rows {
		kind := "ordinary"
		if r.Pool.Spot {
			kind = "spot"
		}
		line(strings.Join([]string{r.Pool.Type, r.Pool.Zone, kind}, " "), r)
	}
	line("all", sum)
	t.Render()
}

func (o *rehearseCmd) writeJUnit(list []rehearse.Verdict) error {
	f, err := os.Create(o.JUnit)
	if err != nil {
		return err
	}
	return errors.Join(rehearse.WriteJUnit(f, list), f.Close())
}

// logInto returns logs that tell simulated time.
func logInto(level string) func(string, func() units.Microseconds) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(strings.ToUpper(level))) // one of three words
	return func(node string, now func() units.Microseconds) *slog.Logger {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Float64("t", now().Seconds())
			}
			return a
		}})).With("controller", node)
	}
}
