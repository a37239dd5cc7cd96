// Package user models the users, who submit, poll and cancel jobs and retry failed calls as the
// protocol defines. It is deterministic and does no I/O: time, replies and random numbers are inputs,
// and Drain returns the effects: calls to be made and events for the checker.
package user

import (
	"fmt"
	"math/rand/v2"
	"net/http"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
	"shalestage.example/shalestage/internal/emulator/work"
)

// Durations of the protocol.
const (
	submitTimeout   = 5 * units.Second
	pollTimeout     = 2 * units.Second
	submitRetryTime = 60 * units.Second // how long a submission is retried
	maxRetryAfter   = 30 * units.Second // longer Retry-After delays are capped at this
)

// Kind is the kind of a call.
type Kind int

// The kinds of calls.
const (
	Submit Kind = iota
	Poll
	Cancel
)

func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Effects.
type (
	// Call is an effect: a call to be made. Pass its reply to HandleReply, or report a failure with CallFailed.
	Call struct {
		Number  uint64
		Kind    Kind
		ID      string
		Spec    *jobs.Spec         // of a submission; nil: the submission lacks a required field
		Timeout units.Microseconds // for the reply
		Node    string             // the controller to call; "": the load balancer chooses one
	}
	// SubmissionStarted is an effect: a user starts to submit a job.
	SubmissionStarted struct{ Job *Job }
	// CancelRequested is an effect: a user requests the cancellation of a job.
	CancelRequested struct{ ID string }
	// CallFinished is an effect: a call has got its reply. Code 0 means that there was none before the
	// timeout.
	CallFinished struct {
		Kind Kind
		ID   string
		Took units.Microseconds // time since the call was made
		Reply
	}
)

// Reply is a controller's reply to a call.
type Reply struct {
	Code       int
	Status     jobs.Status
	RetryAfter units.Microseconds
}

// Job is a job and the state of its user.
type Job struct {
	*work.Job
	Awaits      []*Job
	At          units.Microseconds // scheduled time of the first submission
	CancelAfter units.Microseconds // after the first submission; 0: never

	Accepted        bool
	GaveUp          bool
	FinalStatus     jobs.Status        // first final status in a reply; "": none yet
	FinalAt         units.Microseconds // time of that reply
	submittedAt     units.Microseconds
	cancelRequested bool
}

// Options holds the parts of the users' behaviour that the protocol leaves open.
type Options struct {
	PollInterval    units.Microseconds // mean interval; 5 s by default
	LateRetries     float64            // share of accepted submissions that are repeated later
	UnknownJobPolls float64            // probability of an extra poll for a job that nobody submitted
	Revisits        float64            // probability that a call for a random earlier job follows a poll
	Nodes           []string           // controllers that ProbeReadsUntil calls directly
}

// step is an entry of the queue.
type step struct {
	job      *Job
	kind     Kind
	number   uint64 // the call that times out; 0: the step is a call to be made
	resubmit bool   // repeat the submission of an accepted job
	node     string // a read probe of this controller; "": none
}

// call is a call in flight.
type call struct {
	job  *Job
	kind Kind
	id   string
	sent units.Microseconds
	once bool
}

// Users models all users.
type Users struct {
	options    Options
	rng        *rand.Rand
	queue      eventqueue.Queue[step]
	inFlight   map[uint64]call // calls without a reply, by number
	lastNumber uint64          // number of the last call
	submitted  []*Job          // in the order of their first submissions
	jobs       []*Job
	unfinished int     // see Unfinished
	pollFactor float64 // see SetPollFactor
	probes     readProbes
	byID       map[string]*Job // index of the first jobs that were added, see Job
	indexed    int             // number of jobs in the index
	effects    []any
}

// New returns users without jobs.
func New(options Options, rng *rand.Rand) *Users {
	if options.PollInterval == 0 {
		options.PollInterval = 5 * units.Second
	}
	return &Users{options: options, rng: rng, inFlight: map[uint64]call{}, pollFactor: 1}
}

// Add schedules a job for submission at its time At.
func (u *Users) Add(j *Job) {
	if len(j.Awaits) > 0 {
		spec := *j.Spec
		for _, a := range j.Awaits {
			spec.Awaits = append(spec.Awaits, a.ID)
		}
		j.Spec = &spec
	}
	u.jobs = append(u.jobs, j)
	u.unfinished++
	u.queue.Add(j.At, step{job: j, kind: Submit})
}

// Adopt adds a job that was accepted before this model was started, such as by an earlier run of the
// same service. Its user polls until it has a final status.
func (u *Users) Adopt(now units.Microseconds, j *Job) {
	j.Accepted, j.At, j.submittedAt = true, now, max(now, 1)
	u.jobs = append(u.jobs, j)
	if !j.Spec.Service {
		u.unfinished++
	}
	u.queue.Add(now+units.Microseconds(u.rng.Int64N(int64(u.options.PollInterval))), step{job: j, kind: Poll})
}

// Jobs returns all jobs in the order in which they were added.
func (u *Users) Jobs() []*Job { return u.jobs }

// Unfinished returns the number of jobs that have neither got a final status in a reply nor been given
// up. Services that nobody cancels do not count.
func (u *Users) Unfinished() int { return u.unfinished }

// SetPollFactor makes users poll n times as often from now on; n below 1 counts as 1.
func (u *Users) SetPollFactor(n float64) { u.pollFactor = max(n, 1) }

// Next returns the time at which Advance is due next.
func (u *Users) Next() units.Microseconds { return u.queue.Next() }

// Advance executes all steps that are due by now.
func (u *Users) Advance(now units.Microseconds) {
	for {
		at, s, ok := u.queue.Due(now)
		if !ok {
			return
		}
		if s.number != 0 {
			if _, pending := u.inFlight[s.number]; pending {
				u.CallFailed(at, s.number)
			}
			continue
		}
		u.execute(at, s)
	}
}

// execute makes the call of a step, unless it has become unnecessary.
func (u *Users) execute(now units.Microseconds, s step) {
	j := s.job
	if s.node != "" {
		u.sendProbe(now, s)
		return
	}
	switch s.kind {
	case Submit:
		if j.submittedAt == 0 {
			for _, a := range j.Awaits {
				if a.GaveUp {
					u.giveUp(j)
					return
				}
				if !a.Accepted {
					u.queue.Add(now+units.Second/50, s)
					return
				}
			}
			u.startSubmission(now, j)
		}
		if !s.resubmit && j.Accepted {
			return
		}
	case Cancel:
		if j.GaveUp || j.FinalStatus != "" && j.cancelRequested {
			return
		}
		if !j.cancelRequested {
			j.cancelRequested = true
			u.effects = append(u.effects, CancelRequested{j.ID})
		}
	case Poll:
		if u.rng.Float64() < u.options.UnknownJobPolls {
			u.call(now, nil, Poll, fmt.Sprintf("wk-9%05d%04d", u.rng.IntN(100_000), u.rng.IntN(10_000)))
		}
	}
	u.call(now, j, s.kind, j.ID)
	if s.kind == Poll && u.options.Revisits > 0 && u.rng.Float64() < u.options.Revisits {
		u.revisit(now)
	}
}

// revisit makes one call for a random job that was submitted before: a poll, a repeated submission or
// a cancellation. It covers late calls for jobs that finished long ago.
func (u *Users) revisit(now units.Microseconds) {
	j := u.submitted[u.rng.IntN(len(u.submitted))]
	switch n := u.rng.IntN(10); {
	case !j.Accepted || j.GaveUp:
	case n < 7:
		u.callOnce(now, j, Poll)
	case n < 9:
		u.callOnce(now, j, Submit)
	case j.FinalStatus != "" && !j.cancelRequested:
		j.cancelRequested = true
		u.effects = append(u.effects, CancelRequested{j.ID})
		u.callOnce(now, j, Cancel)
	}
}

// callOnce makes a call whose reply does not affect the user's further behaviour.
func (u *Users) callOnce(now units.Microseconds, j *Job, k Kind) { u.callOnceAt(now, j, k, "") }

// callOnceAt does the same at one controller; with node "" the load balancer chooses.
func (u *Users) callOnceAt(now units.Microseconds, j *Job, k Kind, node string) {
	u.callAt(now, j, k, j.ID, node)
	c := u.inFlight[u.lastNumber]
	c.once = true
	u.inFlight[u.lastNumber] = c
}

// startSubmission starts the first submission of a job, after the jobs that it awaits were accepted.
func (u *Users) startSubmission(now units.Microseconds, j *Job) {
	j.submittedAt = max(now, 1)
	u.submitted = append(u.submitted, j)
	u.effects = append(u.effects, SubmissionStarted{j})
	if j.CancelAfter > 0 {
		u.queue.Add(now+j.CancelAfter, step{job: j, kind: Cancel})
	}
	if j.Spec.Service && j.CancelAfter == 0 {
		u.unfinished--
	}
}

func (u *Users) call(now units.Microseconds, j *Job, k Kind, id string) { u.callAt(now, j, k, id, "") }

// callAt makes a call to a controller and schedules its timeout; with node "" the load balancer
// chooses.
func (u *Users) callAt(now units.Microseconds, j *Job, k Kind, id, node string) {
	u.lastNumber++
	u.inFlight[u.lastNumber] = call{job: j, kind: k, id: id, sent: now}
	e := Call{Number: u.lastNumber, Kind: k, ID: id, Timeout: submitTimeout, Node: node}
	if k == Poll {
		e.Timeout = pollTimeout
	}
	if k == Submit {
		e.Spec = j.Spec
	}
	u.queue.Add(now+e.Timeout, step{number: u.lastNumber})
	u.effects = append(u.effects, e)
}

// CallFailed reports that a call failed without a reply.
func (u *Users) CallFailed(now units.Microseconds, number uint64) {
	u.HandleReply(now, number, Reply{})
}

// HandleReply processes the reply to a call. A reply after the call's timeout is ignored.
func (u *Users) HandleReply(now units.Microseconds, number uint64, reply Reply) {
	c, ok := u.inFlight[number]
	if !ok {
		return
	}
	delete(u.inFlight, number)
	u.effects = append(u.effects, CallFinished{c.kind, c.id, now - c.sent, reply})
	if c.job == nil || c.once {
		return
	}
	switch c.kind {
	case Submit:
		u.handleSubmitReply(now, c.job, reply)
	case Cancel:
		if reply.Code == http.StatusOK {
			// The job was accepted, although no reply to its submission arrived.
			if !c.job.Accepted && !c.job.GaveUp {
				c.job.Accepted = true
			}
			u.observeStatus(now, c.job, reply.Status)
			return
		}
		u.queue.Add(now+u.retryDelay(reply), step{job: c.job, kind: Cancel})
	case Poll:
		if reply.Code == http.StatusOK {
			u.observeStatus(now, c.job, reply.Status)
		}
		u.schedulePoll(now, c.job)
	}
}

// handleSubmitReply processes the reply to a submission: the user polls, gives up or retries.
func (u *Users) handleSubmitReply(now units.Microseconds, j *Job, reply Reply) {
	switch reply.Code {
	case http.StatusOK, http.StatusCreated:
		if !j.Accepted {
			j.Accepted = true
			u.scheduleProbes(now, j, true)
			u.schedulePoll(now, j)
			if u.rng.Float64() < u.options.LateRetries {
				u.queue.Add(now+units.Microseconds(u.rng.Int64N(int64(80*units.Second))), step{job: j, kind: Submit, resubmit: true})
			}
		}
		u.observeStatus(now, j, reply.Status)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if !j.Accepted {
			u.giveUp(j)
		}
	default:
		if p := u.retryDelay(reply); j.Accepted || now+p-j.submittedAt > submitRetryTime {
			if !j.Accepted {
				u.giveUp(j)
			}
		} else {
			u.queue.Add(now+p, step{job: j, kind: Submit})
		}
	}
}

// giveUp records that a user stops submitting a job.
func (u *Users) giveUp(j *Job) {
	if j.GaveUp || j.FinalStatus != "" {
		return
	}
	j.GaveUp = true
	if !j.Spec.Service || j.CancelAfter > 0 || j.submittedAt == 0 {
		u.unfinished--
	}
}

// retryDelay returns how long a user waits before a retry: one to two seconds, or a longer Retry-After.
func (u *Users) retryDelay(reply Reply) units.Microseconds {
	return max(units.Second+units.Microseconds(u.rng.Int64N(int64(units.Second))), min(reply.RetryAfter, maxRetryAfter))
}

// schedulePoll schedules the next poll. A job with a final status is polled again with probability 0.2,
// or always if the poll factor is above 1, at three times the interval.
func (u *Users) schedulePoll(now units.Microseconds, j *Job) {
	interval := float64(u.options.PollInterval) * (0.6 + 0.8*u.rng.Float64()) / u.pollFactor
	if j.FinalStatus != "" {
		if u.rng.Float64() > 0.2 && u.pollFactor == 1 {
			return
		}
		interval *= 3
	}
	u.queue.Add(now+units.Microseconds(interval), step{job: j, kind: Poll})
}

// observeStatus records the status in a reply. The first final one ends the job for its user.
func (u *Users) observeStatus(now units.Microseconds, j *Job, s jobs.Status) {
	if s.Final() && j.FinalStatus == "" {
		j.FinalStatus, j.FinalAt = s, now
		u.scheduleProbes(now, j, false)
		if !j.GaveUp && (!j.Spec.Service || j.CancelAfter > 0) {
			u.unfinished--
		}
	}
}

// Drain returns and clears the effects since the last call.
func (u *Users) Drain() []any {
	effects := u.effects
	u.effects = nil
	return effects
}
