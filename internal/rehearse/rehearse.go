// Package rehearse runs scenarios, in simulated time or with real processes, and reports whether the rules
// and the file's expectations were met.
package rehearse

import (
	"encoding/xml"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// Verdict is the result of one run of a scenario file.
type Verdict struct {
	File         string      `json:"file"`
	Name         string      `json:"name"`
	Seed         uint64      `json:"seed"`
	Real         bool        `json:"real,omitempty"`
	Passed       bool        `json:"kept"`
	Violations   []Violation `json:"broken,omitempty"`
	Missed       []string    `json:"missed,omitempty"` // expectations of the file that were not met
	Digest       string      `json:"digest,omitempty"` // of the history; only in simulated time
	Jobs         int         `json:"jobs"`
	FinishedJobs int         `json:"over"`
	Starts       int         `json:"starts"`
	// StartsCancelled is the number of tasks that began after their job's cancellation was confirmed.
	StartsCancelled int              `json:"starts_cancelled,omitempty"`
	Wait            float64          `json:"longest_s"` // longest time from a submission to the reply that the job has finished
	Cost            float64          `json:"money"`
	DurationS       float64          `json:"took_s"` // wall-clock duration of the run
	Faults          []scenario.Fault `json:"faults,omitempty"`
	Triggered       []TriggeredFault `json:"met,omitempty"` // faults that were drawn at events
	// Account breaks down the cost, if requested.
	Account []account.Row `json:"account,omitempty"`
}

// Violation is a violated rule with the part of the history that concerns it.
type Violation struct {
	At      float64  `json:"at_s"`
	Rule    string   `json:"rule"`
	Text    string   `json:"text"`
	History []string `json:"history"`
}

// violationsOf converts the checker's violations for a verdict.
func violationsOf(list []check.Violation) []Violation {
	var out []Violation
	for _, b := range list {
		out = append(out, Violation{b.At.Seconds(), b.Rule, b.Text, b.History})
	}
	return out
}

// Simulate runs a scenario in simulated time.
func Simulate(file string, spec *scenario.Scenario, opt sim.Options) Verdict {
	startTime := time.Now()
	var triggered []TriggeredFault
	if spec.Draw.Jobs > 0 {
		spec = DrawJobs(spec, opt.Seed)
	}
	if spec.Draw.Meet > 0 {
		spec, triggered = DrawAtEvents(spec, opt)
		opt.Noise = true
	}
	if opt.Traffic != nil { // CPU time is measured per thread
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	w := sim.New(spec, opt)
	r := w.RunScenario()
	seed := opt.Seed
	if seed == 0 {
		seed = spec.Seed
	}
	v := Verdict{File: file, Name: spec.Name, Seed: seed, Passed: len(r.Violations) == 0 && len(r.MissedExpectations) == 0, Violations: violationsOf(r.Violations), Missed: r.MissedExpectations,
		Digest: r.Digest, Jobs: r.Jobs, FinishedJobs: r.FinishedJobs, Starts: r.Starts, StartsCancelled: r.StartsCancelled, Wait: r.MaxWait.Seconds(), Cost: r.Cost,
		DurationS: time.Since(startTime).Seconds(), Faults: r.Faults, Triggered: triggered}
	if opt.Account != nil {
		v.Account = opt.Account.Rows()
	}
	return v
}

// ForEachOrdered calls f for the numbers 0 to n-1 on all processors. It passes the results to got in order,
// each as soon as it and all earlier ones are available.
func ForEachOrdered[T any](n int, f func(i int) T, got func(T)) {
	out := make([]chan T, n)
	next := make(chan int)
	for i := range out {
		out[i] = make(chan T, 1)
	}
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				out[i] <- f(i)
			}
		})
	}
	go func() {
		for i := range n {
			next <- i
		}
		close(next)
	}()
	for i := range n {
		got(<-out[i])
	}
	workers.Wait()
}

// Shrink minimizes a scenario that violates a rule. It removes faults and jobs as long as a run still
// violates the same rule, with about tries runs at most, and returns the rest and the number of runs. Drawn
// faults and jobs become fixed.
func Shrink(spec *scenario.Scenario, seed uint64, v Verdict, tries int) (*scenario.Scenario, int) {
	if len(v.Violations) == 0 {
		return spec, 0
	}
	rule := v.Violations[0].Rule
	best := *DrawJobs(spec, seed)
	// Drawn faults are replaced by fixed ones, so that single faults can be removed.
	noise := spec.Draw.ToS > 0
	best.Faults, best.Draw = slices.Clone(v.Faults), scenario.Draw{}
	runs := 0
	violatesRule := func(c scenario.Scenario) bool {
		runs++
		r := Simulate(v.File, &c, sim.Options{Seed: seed, Noise: noise})
		return slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Rule == rule })
	}
	if !violatesRule(best) {
		return spec, runs
	}
	for changed := true; changed && runs < tries; {
		changed = false
		// Halves first, then smaller groups, down to single faults.
		for size := max(1, len(best.Faults)/2); size >= 1 && runs < tries; size /= 2 {
			for i := 0; i+size <= len(best.Faults) && runs < tries; {
				c := best
				c.Faults = slices.Delete(slices.Clone(best.Faults), i, i+size)
				if violatesRule(c) {
					best, changed = c, true
				} else {
					i += size
				}
			}
		}
		for i := len(best.Jobs) - 1; i >= 0 && runs < tries; i-- {
			if isDependency(best.Jobs, best.Jobs[i].Name) {
				continue
			}
			c := best
			c.Jobs = slices.Delete(slices.Clone(best.Jobs), i, i+1)
			if len(c.Jobs) > 0 && violatesRule(c) {
				best, changed = c, true
			}
		}
	}
	return &best, runs
}

func isDependency(jobs []scenario.Job, name string) bool {
	return slices.ContainsFunc(jobs, func(j scenario.Job) bool { return slices.Contains(j.Awaits, name) })
}

// suite is a test suite in JUnit's XML format.
type suite struct {
	XMLName  xml.Name   `xml:"testsuite"`
	Name     string     `xml:"name,attr"`
	Tests    int        `xml:"tests,attr"`
	Failures int        `xml:"failures,attr"`
	Time     float64    `xml:"time,attr"`
	Cases    []testCase `xml:"testcase"`
}

type testCase struct {
	Name    string   `xml:"name,attr"`
	Class   string   `xml:"classname,attr"`
	Time    float64  `xml:"time,attr"`
	Failure *failure `xml:"failure,omitempty"`
}

type failure struct {
	Message string `xml:"message,attr"`
	Text    string `xml:",chardata"`
}

// WriteJUnit writes verdicts in JUnit's XML format.
func WriteJUnit(w io.Writer, list []Verdict) error {
	report := suite{Name: "rehearsals", Tests: len(list)}
	for _, v := range list {
		c := testCase{Name: fmt.Sprintf("%s seed %d", v.Name, v.Seed), Class: v.File, Time: v.DurationS}
		report.Time += v.DurationS
		if !v.Passed {
			report.Failures++
			var text []string
			for _, b := range v.Violations {
				text = append(text, fmt.Sprintf("%.3f %s: %s", b.At, b.Rule, b.Text))
				text = append(text, b.History...)
			}
			text = append(text, v.Missed...)
			c.Failure = &failure{Message: text[0], Text: strings.Join(text, "\n")}
		}
		report.Cases = append(report.Cases, c)
	}
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	return e.Encode(report)
}
