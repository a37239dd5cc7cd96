// Package rehearse plays scenarios, in simulated time or with real processes, and
// tells whether the rules and the file's expectations were kept.
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

// Verdict is how one play of a file went.
type Verdict struct {
	File         string      `json:"file"`
	Name         string      `json:"name"`
	Seed         uint64      `json:"seed"`
	Real         bool        `json:"real,omitempty"`
	Passed       bool        `json:"kept"`
	Violations   []Violation `json:"broken,omitempty"`
	Missed       []string    `json:"missed,omitempty"` // expectations that are no rules
	Digest       string      `json:"digest,omitempty"` // of the history, in simulated time
	Jobs         int         `json:"jobs"`
	FinishedJobs int         `json:"over"`
	Starts       int         `json:"starts"`
	// StartsCancelled counts the tasks that began after their job's cancellation was told.
	StartsCancelled int              `json:"starts_cancelled,omitempty"`
	Wait            float64          `json:"longest_s"` // from a submission to the answer that the job is over
	Cost            float64          `json:"money"`
	DurationS       float64          `json:"took_s"` // of real time
	Faults          []scenario.Fault `json:"faults,omitempty"`
	Triggered       []TriggeredFault `json:"met,omitempty"` // of troubles that are drawn by their meeting
	// Account says where the money went, if that was asked for.
	Account []account.Row `json:"account,omitempty"`
}

// Violation is a broken rule with the part of the history that concerns it.
type Violation struct {
	At      float64  `json:"at_s"`
	Rule    string   `json:"rule"`
	Text    string   `json:"text"`
	History []string `json:"history"`
}

// violationsOf turns a checker's findings into a verdict's.
func violationsOf(list []check.Violation) []Violation {
	var out []Violation
	for _, b := range list {
		out = append(out, Violation{b.At.Seconds(), b.Rule, b.Text, b.History})
	}
	return out
}

// Simulate plays a scenario in simulated time.
func Simulate(file string, s *scenario.Scenario, opt sim.Options) Verdict {
	began := time.Now()
	var met []TriggeredFault
	if s.Draw.Meet > 0 {
		s, met = DrawAtEvents(s, opt)
		opt.Noise = true
	}
	if opt.Traffic != nil { // processor time is counted by the thread
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
	}
	w := sim.New(s, opt)
	r := w.Play()
	seed := opt.Seed
	if seed == 0 {
		seed = s.Seed
	}
	v := Verdict{File: file, Name: s.Name, Seed: seed, Passed: len(r.Broken) == 0 && len(r.Missed) == 0, Violations: violationsOf(r.Broken), Missed: r.Missed,
		Digest: r.Digest, Jobs: r.Jobs, FinishedJobs: r.Over, Starts: r.Starts, StartsCancelled: r.StartsCancelled, Wait: r.MaxWait.Seconds(), Cost: r.Money,
		DurationS: time.Since(began).Seconds(), Faults: r.Faults, Triggered: met}
	if opt.Account != nil {
		v.Account = opt.Account.Rows()
	}
	return v
}

// ForEachOrdered calls f for the numbers below n on all processors; the results come in
// order, as soon as they are there.
func ForEachOrdered[T any](n int, f func(i int) T, got func(T)) {
	out := make([]chan T, n)
	next := make(chan int)
	for i := range out {
		out[i] = make(chan T, 1)
	}
	var wg sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
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
	wg.Wait()
}

// Shrink drops faults and jobs of a scenario that breaks a rule while it still
// breaks the same rule, and returns what is left. Drawn faults become fixed ones.
func Shrink(s *scenario.Scenario, seed uint64, v Verdict, tries int) (*scenario.Scenario, int) {
	if len(v.Violations) == 0 {
		return s, 0
	}
	rule := v.Violations[0].Rule
	best := *s
	// What was drawn is written down, so that single faults can be left out.
	noise := s.Draw.ToS > 0
	best.Faults, best.Draw = slices.Clone(v.Faults), scenario.Draw{}
	used := 0
	breaks := func(c scenario.Scenario) bool {
		used++
		r := Simulate(v.File, &c, sim.Options{Seed: seed, Noise: noise})
		return slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Rule == rule })
	}
	if !breaks(best) {
		return s, used
	}
	for changed := true; changed && used < tries; {
		changed = false
		// Halves first, then smaller pieces, down to single ones.
		for size := max(1, len(best.Faults)/2); size >= 1 && used < tries; size /= 2 {
			for i := 0; i+size <= len(best.Faults) && used < tries; {
				c := best
				c.Faults = slices.Delete(slices.Clone(best.Faults), i, i+size)
				if breaks(c) {
					best, changed = c, true
				} else {
					i += size
				}
			}
		}
		for i := len(best.Jobs) - 1; i >= 0 && used < tries; i-- {
			if needed(best.Jobs, best.Jobs[i].Name) {
				continue
			}
			c := best
			c.Jobs = slices.Delete(slices.Clone(best.Jobs), i, i+1)
			if len(c.Jobs) > 0 && breaks(c) {
				best, changed = c, true
			}
		}
	}
	return &best, used
}

func needed(jobs []scenario.Job, name string) bool {
	return slices.ContainsFunc(jobs, func(j scenario.Job) bool { return slices.Contains(j.Awaits, name) })
}

// suite and its parts are what other tools read of test runs (JUnit's XML form).
type suite struct {
	XMLName  xml.Name `xml:"testsuite"`
	Name     string   `xml:"name,attr"`
	Tests    int      `xml:"tests,attr"`
	Failures int      `xml:"failures,attr"`
	Time     float64  `xml:"time,attr"`
	Cases    []tcase  `xml:"testcase"`
}

type tcase struct {
	Name    string   `xml:"name,attr"`
	Class   string   `xml:"classname,attr"`
	Time    float64  `xml:"time,attr"`
	Failure *failure `xml:"failure,omitempty"`
}

type failure struct {
	Message string `xml:"message,attr"`
	Text    string `xml:",chardata"`
}

// WriteJUnit writes verdicts in the form that other tools read.
func WriteJUnit(w io.Writer, list []Verdict) error {
	s := suite{Name: "rehearsals", Tests: len(list)}
	for _, v := range list {
		c := tcase{Name: fmt.Sprintf("%s seed %d", v.Name, v.Seed), Class: v.File, Time: v.DurationS}
		s.Time += v.DurationS
		if !v.Passed {
			s.Failures++
			var text []string
			for _, b := range v.Violations {
				text = append(text, fmt.Sprintf("%.3f %s: %s", b.At, b.Rule, b.Text))
				text = append(text, b.History...)
			}
			text = append(text, v.Missed...)
			c.Failure = &failure{Message: text[0], Text: strings.Join(text, "\n")}
		}
		s.Cases = append(s.Cases, c)
	}
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	return e.Encode(s)
}
