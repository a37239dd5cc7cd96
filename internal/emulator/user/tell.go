package user

import (
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/emulator/check"
)

// Tell hands what a user did or was told to a checker; e is an effect other than Call.
func Tell(c *check.Checker, at unit.Micros, e any) {
	switch e := e.(type) {
	case Planned:
		c.Planned(at, e.Job.ID, e.Job.Spec)
	case CancelAsked:
		c.CancelAsked(at, e.ID)
	case Told:
		switch e.Kind {
		case Submit:
			c.Submitted(at, e.Took, e.ID, e.Code, e.Status)
		case Poll:
			c.Polled(at, e.Took, e.ID, e.Code, e.Status)
		case Cancel:
			c.Cancelled(at, e.Took, e.ID, e.Code, e.Status)
		}
	}
}

// Summary says how many jobs are over, as their users were told, and the longest
// time from a submission to that answer; one that was accepted and is not over
// counts up to the end.
func Summary(jobs []*Job, end unit.Micros) (over int, longest unit.Micros) {
	for _, j := range jobs {
		if j.Final != "" {
			over++
			longest = max(longest, j.Over-j.At)
		} else if j.Accepted && !j.Spec.Service {
			longest = max(longest, end-j.At)
		}
	}
	return over, longest
}
