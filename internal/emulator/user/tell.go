package user

import (
	"cmp"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
)

// RecordEffect passes an effect other than Call to a checker.
func RecordEffect(c *check.Checker, at units.Microseconds, e any) {
	switch e := e.(type) {
	case SubmissionStarted:
		c.Submitting(at, e.Job.ID, e.Job.Spec)
		if e.Job.FailsAlways {
			c.FailsAlways(e.Job.ID)
		}
	case InvalidSubmission:
		if e.Spec == nil {
			c.SubmittingMalformed(at, e.ID)
		} else {
			c.Submitting(at, e.ID, e.Spec)
		}
	case CancelRequested:
		c.CancelRequested(at, e.ID)
	case CallFinished:
		switch e.Kind {
		case Submit:
			c.SubmitAnswered(at, e.Took, e.ID, e.Code, e.Status)
		case Poll:
			c.PollAnswered(at, e.Took, e.ID, e.Code, e.Status)
		case Cancel:
			c.CancelAnswered(at, e.Took, e.ID, e.Code, e.Status)
		}
	}
}

// Summary returns the number of jobs with a final status in a reply, and the longest time from a
// submission to that reply. An accepted job without one, unless it is a service, counts up to end.
func Summary(submitted []*Job, end units.Microseconds) (over int, longest units.Microseconds) {
	for _, j := range submitted {
		if j.FinalStatus != "" {
			over++
			longest = max(longest, j.FinalAt-j.At)
		} else if j.Accepted && !j.Spec.Service {
			longest = max(longest, end-j.At)
		}
	}
	return over, longest
}

// ServiceLevel counts the jobs of a class or team that met a goal.
type ServiceLevel struct {
	What string // "class C done", "team T done", the same "in time", or "class C largest begun"
	Good int    // jobs that met it
	Of   int    // all jobs counted
}

// Share returns the share of the jobs that met the goal.
func (s ServiceLevel) Share() float64 { return float64(s.Good) / float64(max(s.Of, 1)) }

const (
	// largestFraction is the divisor for the largest jobs of a class: with 5, the largest fifth of them.
	largestFraction = 5
	// startWithin is the time within which a largest job should start.
	startWithin = 240 * units.Second
)

// totalWork returns the work of a job: tasks times CPU demand (thousandths) times run time in seconds.
func totalWork(j *Job) float64 {
	return float64(j.Spec.Tasks) * float64(j.Spec.Demand[binpack.CPU]) * j.Run.Seconds()
}

// ServiceLevels counts, by class and by team, the accepted jobs that nobody cancelled and, of them,
// those that are done; services and jobs that always fail are left out. Of the jobs with a deadline it
// counts those whose users learned by then, or at the first poll after it, that they are done. Of the
// largest fifth of each class it counts the jobs that started within startWithin. began returns when a
// job's first task started on a machine, 0 if none did.
func ServiceLevels(submitted []*Job, opt Options, began func(id string) units.Microseconds) []ServiceLevel {
	all := map[string]*ServiceLevel{}
	count := func(what string, good bool) {
		s := all[what]
		if s == nil {
			s = &ServiceLevel{What: what}
			all[what] = s
		}
		s.Of++
		if good {
			s.Good++
		}
	}
	classes := map[string][]*Job{}
	for _, j := range submitted {
		if !j.Accepted || j.Spec.Service || j.CancelAfter > 0 || j.FinalStatus == jobs.Cancelled || j.FailsAlways {
			continue
		}
		done := j.FinalStatus == jobs.Done
		classes[j.Spec.Class] = append(classes[j.Spec.Class], j)
		for _, who := range []string{"class " + j.Spec.Class, "team " + j.Spec.Team} {
			count(who+" done", done)
			if j.Spec.Deadline > 0 {
				count(who+" in time", done && j.FinalAt-j.At <= j.Spec.Deadline+max(opt.PollInterval, 5*units.Second))
			}
		}
	}
	for class, of := range classes {
		slices.SortStableFunc(of, func(a, b *Job) int { return cmp.Compare(totalWork(b), totalWork(a)) })
		for _, j := range of[:len(of)/largestFraction] {
			at := began(j.ID)
			count("class "+class+" largest begun", at > 0 && at-j.At <= startWithin)
		}
	}
	var out []ServiceLevel
	for _, what := range slices.Sorted(maps.Keys(all)) {
		out = append(out, *all[what])
	}
	return out
}
