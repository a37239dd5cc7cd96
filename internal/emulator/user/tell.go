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

// RecordEffect hands what a user did or was told to a checker; e is an effect other than Call.
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

// Summary says how many jobs are over, as their users were told, and the longest
// time from a submission to that answer; one that was accepted and is not over
// counts up to the end.
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

// ServiceLevel says how many of some jobs got what they asked for.
type ServiceLevel struct {
	What string // "class C done", "team T done", and the same "in time"
	Good int
	Of   int
}

// Share is the part of the jobs that got it.
func (s ServiceLevel) Share() float64 { return float64(s.Good) / float64(max(s.Of, 1)) }

const (
	// One in so many of a class's jobs is among its largest.
	largest = 5
	// beginWithin is how soon one of these should begin.
	beginWithin = 240 * units.Second
)

// amount is how much work a job is.
func amount(j *Job) float64 {
	return float64(j.Spec.Tasks) * float64(j.Spec.Demand[binpack.CPU]) * j.Run.Seconds()
}

// ServiceLevels counts, by class and by team, the accepted arrays that nobody cancelled, and of
// them those that are done; and of those with a deadline, those whose users were told so by
// then, or at their first poll after it. Of each class's largest jobs, a fifth of them, it
// counts those that began soon enough; began tells when a job's first task was on a machine,
// 0 if none was.
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
		slices.SortStableFunc(of, func(a, b *Job) int { return cmp.Compare(amount(b), amount(a)) })
		for _, j := range of[:len(of)/largest] {
			at := began(j.ID)
			count("class "+class+" largest begun", at > 0 && at-j.At <= beginWithin)
		}
	}
	var out []ServiceLevel
	for _, what := range slices.Sorted(maps.Keys(all)) {
		out = append(out, *all[what])
	}
	return out
}
