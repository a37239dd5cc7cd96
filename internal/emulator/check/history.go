package check

import (
	"encoding/hex"
	"fmt"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// line is a line of the history.
type line struct {
	at        units.Microseconds
	machine   string
	text      string
	important bool
}

// maxHistoryLines bounds the history that is kept to explain a broken rule.
const maxHistoryLines = 400_000

// note adds a line to the history: it goes into the digest, and explains what breaks later.
func (c *Checker) note(at units.Microseconds, job *jobRecord, machine string, important bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(c.digest, "%d %s\n", at, text)
	if len(c.history) >= maxHistoryLines {
		return
	}
	if job != nil {
		job.lines = append(job.lines, len(c.history))
	}
	c.history = append(c.history, line{at, machine, text, important})
}

// Note adds an event that concerns no job, such as a fault, to the history.
func (c *Checker) Note(at units.Microseconds, format string, args ...any) {
	c.note(at, nil, "", true, format, args...)
}

// Digest names the history: equal histories have equal digests.
func (c *Checker) Digest() string { return hex.EncodeToString(c.digest.Sum(nil))[:16] }

// Violations returns the broken rules so far.
func (c *Checker) Violations() []Violation { return c.violations }

// RecordViolation records a broken rule that somebody else has found.
func (c *Checker) RecordViolation(at units.Microseconds, rule, format string, args ...any) {
	c.violated(at, rule, nil, "", format, args...)
}

// violated records a broken rule, with the job and the machine that it concerns, if any.
func (c *Checker) violated(at units.Microseconds, rule string, job *jobRecord, machine, format string, args ...any) {
	violation := Violation{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)}
	key := rule + violation.Text
	if job != nil {
		key = rule + job.id // the same rule broken by the same job again adds nothing
	}
	if c.recorded[key] {
		return
	}
	c.recorded[key] = true
	c.note(at, job, machine, true, "BROKEN %s: %s", rule, violation.Text)
	violation.History = c.explain(job, machine)
	c.violations = append(c.violations, violation)
}

// explain returns the shortest useful part of the history: what concerns the job and its
// dependencies, the machine's last events, and faults.
func (c *Checker) explain(job *jobRecord, machine string) []string {
	const most = 40
	pick := map[int]bool{}
	if job != nil {
		for _, o := range append([]*jobRecord{job}, job.dependencies...) {
			lines := o.lines
			for _, i := range lines[max(0, len(lines)-most/2):] {
				pick[i] = true
			}
			if len(lines) > 0 {
				pick[lines[0]] = true
			}
		}
	}
	seen := 0
	for i := len(c.history) - 1; i >= 0 && seen < most/2; i-- {
		if l := c.history[i]; l.important || machine != "" && l.machine == machine {
			pick[i] = true
			seen++
		}
	}
	var idx []int
	for i := range pick {
		idx = append(idx, i)
	}
	slices.Sort(idx)
	idx = idx[max(0, len(idx)-most):]
	var out []string
	for _, i := range idx {
		out = append(out, fmt.Sprintf("%10.3f  %s", c.history[i].at.Seconds(), c.history[i].text))
	}
	return out
}
