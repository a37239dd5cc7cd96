package check

import (
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxPollFailure is how long every poll for a job may fail while most polls for other jobs succeed.
	maxPollFailure = 90 * units.Second
	// maxPollFailureAfterFaults is how long every poll for a job may fail once all faults are over,
	// whether or not polls for other jobs succeed.
	maxPollFailureAfterFaults = 75 * units.Second
)

// Submitting records that a user starts to submit a job.
func (c *Checker) Submitting(at units.Microseconds, id string, spec *jobs.Spec) {
	c.Advance(at)
	job := &jobRecord{id: id, spec: spec}
	for _, n := range spec.Awaits {
		if a := c.jobs[n]; a != nil {
			job.dependencies = append(job.dependencies, a)
			a.dependents = append(a.dependents, job)
		}
	}
	c.jobs[id] = job
	c.note(at, job, "", false, "%s: submitted, %d tasks of team %s, awaits %v", id, spec.Tasks, spec.Team, spec.Awaits)
}

// SubmittingMalformed records that a user submits a job that lacks a required field.
func (c *Checker) SubmittingMalformed(at units.Microseconds, id string) {
	c.Submitting(at, id, &jobs.Spec{})
	c.jobs[id].malformed = true
}

// FailsAlways records that a job was submitted with an error: its tasks fail on every machine, so
// the service need not retry them.
func (c *Checker) FailsAlways(id string) { c.jobs[id].failsAlways = true }

// AcceptedEarlier records that a job was accepted before this checker started, and which of its
// tasks had completed. It is unknown whether the job was cancelled since, so the checker assumes
// that its cancellation may have been requested.
func (c *Checker) AcceptedEarlier(at units.Microseconds, id string, spec *jobs.Spec, finished func(task int) bool) {
	c.Submitting(at, id, spec)
	job := c.jobs[id]
	job.accepted, job.cancelRequested = true, true
	c.openJobs = append(c.openJobs, job)
	for t := range spec.Tasks {
		if finished(t) {
			job.completed.Add(t)
		}
	}
}

// CancelRequested records that a user has requested the cancellation of a job.
func (c *Checker) CancelRequested(at units.Microseconds, id string) {
	c.Advance(at)
	if job := c.jobs[id]; job != nil {
		job.cancelRequested = true
		c.note(at, job, "", false, "%s: its user asks to cancel it", id)
	}
}

// SubmitAnswered records the reply to a submission and how long the call took. Code 0 means that
// there was no reply before the timeout.
func (c *Checker) SubmitAnswered(at, took units.Microseconds, id string, code int, status jobs.Status) {
	c.Advance(at)
	job := c.jobs[id]
	if job == nil {
		return
	}
	c.note(at, job, "", false, "%s: submission answered %d %s", id, code, status)
	switch {
	case code == http.StatusOK || code == http.StatusCreated:
		if code == http.StatusCreated && job.knownTo(at-took) {
			c.violated(at, WentBack, job, "", "%s was accepted, and submitted again it is answered as a new job", id)
		}
		if code == http.StatusCreated && !job.accepted {
			c.checkTeamNotRemoved(at, at-took, job)
		}
		c.checkStatus(at, at-took, job, status)
	case job.knownTo(at-took) && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
		c.violated(at, Forgotten, job, "", "%s was accepted, and submitted again it is refused with %d", id, code)
	}
}

// PollAnswered records the reply to a poll and how long the call took. Code 0 means a timeout.
func (c *Checker) PollAnswered(at, took units.Microseconds, id string, code int, status jobs.Status) {
	c.Advance(at)
	c.polls++
	if code == http.StatusOK || code == http.StatusNotFound {
		c.answeredPolls++
	}
	job := c.jobs[id]
	switch {
	case job == nil && code == http.StatusOK:
		c.violated(at, Invented, nil, "", "%s, which nobody submitted, is called %s", id, status)
	case job == nil:
	case code == http.StatusOK:
		c.note(at, job, "", false, "%s: polled, %s", id, status)
		job.failedPolls = 0
		c.checkStatus(at, at-took, job, status)
	case code == http.StatusNotFound:
		if job.knownTo(at - took) {
			c.violated(at, Forgotten, job, "", "%s was accepted, and a poll for it is answered 404", id)
		}
	case job.accepted:
		c.pollFailed(at, job, code)
	}
}

// pollFailed records a poll for an accepted job that got neither 200 nor 404. The rule is about how
// long all polls for the job have failed rather than how many, because some jobs are polled rarely.
func (c *Checker) pollFailed(at units.Microseconds, job *jobRecord, code int) {
	if job.failedPolls++; job.failedPolls == 1 {
		job.failingSince, job.answeredBefore, job.pollsBefore = at, c.answeredPolls, c.polls
	}
	c.note(at, job, "", false, "%s: poll fails with %d", job.id, code)
	all, ok := c.polls-job.pollsBefore, c.answeredPolls-job.answeredBefore
	if at-job.failingSince > maxPollFailure && job.failedPolls > 2 && 2*ok > all {
		c.violated(at, Forgotten, job, "", "every poll for %s has failed since %.1f", job.id, job.failingSince.Seconds())
	}
	if since := max(job.failingSince, c.faultsOverAt); at-since > maxPollFailureAfterFaults {
		c.violated(at, Forgotten, job, "", "no question about %s was answered since %.1f, and all troubles are over", job.id, since.Seconds())
	}
}

// CancelAnswered records the reply to a cancellation request and how long the call took.
func (c *Checker) CancelAnswered(at, took units.Microseconds, id string, code int, status jobs.Status) {
	c.Advance(at)
	job := c.jobs[id]
	if job == nil {
		return
	}
	c.note(at, job, "", false, "%s: request to cancel answered %d %s", id, code, status)
	switch {
	case code == http.StatusOK:
		if status != jobs.Cancelled && status != jobs.Done {
			c.violated(at, WentBack, job, "", "the request to cancel %s is answered %s", id, status)
		}
		c.checkStatus(at, at-took, job, status)
	case code == http.StatusNotFound && job.knownTo(at-took):
		c.violated(at, Forgotten, job, "", "%s was accepted, and the request to cancel it is answered 404", id)
	}
}

// knownTo reports whether a call made at a time must find the job. A call that was in flight when
// the user learned of the acceptance may have been answered before the job was accepted.
func (job *jobRecord) knownTo(made units.Microseconds) bool {
	return job.accepted && made >= job.acceptedAt
}

// checkStatus checks the status in a reply against earlier replies and against what the machines
// did. Replies to concurrent calls may arrive in any order: only a call made after an earlier reply
// must not return an older status than that reply.
func (c *Checker) checkStatus(at, made units.Microseconds, job *jobRecord, status jobs.Status) {
	c.accept(at, job)
	if job.finalStatus != "" && status != job.finalStatus && (status.Final() || made >= job.finalAt) {
		c.violated(at, WentBack, job, "", "%s was called %s, and now %s", job.id, job.finalStatus, status)
	}
	off, asked := c.cancellation(job, nil)
	switch status {
	case jobs.Pending, jobs.Running:
		if off > 0 && made > off+c.config.CancelIn {
			c.violated(at, Orphaned, job, "", "%s is called %s, and what it needs was cancelled at %.1f", job.id, status, off.Seconds())
		}
	case jobs.Done:
		if job.finalStatus == "" {
			job.finalStatus, job.finalAt = status, at
		}
		if job.spec.Service || job.completed.Len() < job.spec.Tasks {
			c.violated(at, NotDone, job, "", "%s is called done with %d of %d tasks", job.id, job.completed.Len(), job.spec.Tasks)
		}
	case jobs.Cancelled:
		if !asked {
			c.violated(at, WentBack, job, "", "%s is called cancelled, and nobody has asked for it", job.id)
		}
		if job.finalStatus == "" {
			job.finalStatus, job.finalAt, job.cancelledAt = status, at, at
			c.scheduleCancelCheck(at, job, map[*jobRecord]bool{})
		}
	}
}

// accept records that a job is accepted, at the first reply that says so.
func (c *Checker) accept(at units.Microseconds, job *jobRecord) {
	if job.accepted {
		return
	}
	job.accepted, job.acceptedAt = true, at
	c.openJobs = append(c.openJobs, job)
	if why := c.whyImpossible(job); why != "" {
		c.violated(at, Impossible, job, "", "%s is accepted: %s", job.id, why)
	}
}

// whyImpossible returns why no controller may accept a job, or "" if it is acceptable.
func (c *Checker) whyImpossible(job *jobRecord) string {
	spec := job.spec
	limit, known := c.highestLimit(spec.Team, c.now), c.knownTeam(spec.Team)
	need := spec.Demand
	if spec.Service {
		need = need.Times(int64(spec.Tasks))
	}
	fits := func(t Type) bool {
		return spec.AllowsType(t.Name) && spec.Demand.Fits(t.Capacity) && (spec.Zone == "" || slices.Contains(t.Zones, spec.Zone))
	}
	switch {
	case job.malformed:
		return "its submission lacks a field"
	case !known:
		return "there is no such team"
	case len(c.config.Types) > 0 && !slices.ContainsFunc(c.config.Types, fits):
		return "a task fits no allowed machine type"
	case !withinLimit(need, limit):
		return "it needs more than the team's limit"
	}
	return ""
}

// withinLimit reports whether usage is within a limit; a limit of 0 means unlimited.
func withinLimit(usage, limit binpack.Vec) bool {
	for r, highest := range limit {
		if highest > 0 && usage[r] > highest {
			return false
		}
	}
	return true
}
