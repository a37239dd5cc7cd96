package check

import (
	"encoding/hex"
	"fmt"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// line is one line of the history.
type line struct {
	at        units.Microseconds
	machine   string
	text      string
	important bool // may explain any violation: a fault, a configuration change or another violation
}

// maxHistoryLines bounds the lines that are kept to explain violations.
const maxHistoryLines = 400_000

// note adds a line to the digest and, up to maxHistoryLines, to the history that explains later
// violations.
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

// Note adds an event without a job, such as a fault, to the history.
func (c *Checker) Note(at units.Microseconds, format string, args ...any) {
	c.note(at, nil, "", true, format, args...)
}

// Digest returns a hash of all lines, also of those beyond maxHistoryLines: equal histories have equal digests.
func (c *Checker) Digest() string { return hex.EncodeToString(c.digest.Sum(nil))[:16] }

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation { return c.violations }

// RecordViolation records a violation that the caller has detected.
func (c *Checker) RecordViolation(at units.Microseconds, rule, format string, args ...any) {
	c.violated(at, rule, nil, "", format, args...)
}

// violated records a violation, with the job and the machine that it concerns, if any.
func (c *Checker) violated(at units.Microseconds, rule string, job *jobRecord, machine, format string, args ...any) {
	violation := Violation{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)}
	key := rule + violation.Text
	if job != nil {
		key = rule + job.id // a rule is reported once per job
	}
	if c.recorded[key] {
		return
	}
	c.recorded[key] = true
	c.note(at, job, machine, true, "BROKEN %s: %s", rule, violation.Text)
	violation.History = c.explain(job, machine)
	c.violations = append(c.violations, violation)
}

// explain returns an excerpt of the history for a violation: the first and the latest events of the
// job and its dependencies, the latest events of the machine, and the latest important events.
func (c *Checker) explain(job *jobRecord, machine string) []string {
	const maxLines = 40
	selected := map[int]bool{}
	if job != nil {
		for _, related := range append([]*jobRecord{job}, job.dependencies...) {
			lines := related.lines
			for _, i := range lines[max(0, len(lines)-maxLines/2):] {
				selected[i] = true
			}
			if len(lines) > 0 {
				selected[lines[0]] = true
			}
		}
	}
	recent := 0
	for i := len(c.history) - 1; i >= 0 && recent < maxLines/2; i-- {
		if l := c.history[i]; l.important || machine != "" && l.machine == machine {
			selected[i] = true
			recent++
		}
	}
	var indexes []int
	for i := range selected {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	indexes = indexes[max(0, len(indexes)-maxLines):]
	var out []string
	for _, i := range indexes {
		out = append(out, fmt.Sprintf("%10.3f  %s", c.history[i].at.Seconds(), c.history[i].text))
	}
	return out
}
