// Package user is the model of the users: they submit jobs, retry, poll and
// cancel as the protocol says they do. It is pure: time, answers and draws go in,
// calls to be made and what was told come out of Drain.
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

// Times of the protocol.
const (
	submitWait = 5 * units.Second
	pollWait   = 2 * units.Second
	submitFor  = 60 * units.Second // for which a submission is retried
	maxRetry   = 30 * units.Second // of a Retry-After that is followed
)

// Kind of a call.
type Kind int

// The three calls.
const (
	Submit Kind = iota
	Poll
	Cancel
)

func (k Kind) String() string { return [...]string{"submit", "poll", "cancel"}[k] }

// Effects.
type (
	// Call is to be made; its answer goes to Answer, or to Failed.
	Call struct {
		Number  uint64
		Kind    Kind
		ID      string
		Spec    *jobs.Spec         // of a submission; nil: it lacks a field
		Timeout units.Microseconds // for an answer
		Node    string             // the controller that is asked; "": the one that the load balancer chooses
	}
	// SubmissionStarted says that a job is submitted from now on; CancelAsked that its user
	// has asked to cancel it.
	SubmissionStarted struct{ Job *Job }
	CancelRequested   struct{ ID string }
	// CallFinished says what a user has heard. Code 0: no answer in time.
	CallFinished struct {
		Kind Kind
		ID   string
		Took units.Microseconds // since the call was made
		Reply
	}
)

// Reply is a controller's answer.
type Reply struct {
	Code       int
	Status     jobs.Status
	RetryAfter units.Microseconds
}

// Job is a job and how its user goes about it.
type Job struct {
	*work.Job
	Awaits      []*Job
	At          units.Microseconds // of the first attempt to submit
	CancelAfter units.Microseconds // from then on; 0: never

	Accepted    bool
	GaveUp      bool
	FinalStatus jobs.Status        // as told; "" so far
	FinalAt     units.Microseconds // when that was
	first       units.Microseconds
	cancels     bool
}

// Options say how users behave beyond what the protocol fixes.
type Options struct {
	PollInterval    units.Microseconds // about; 5 s by default
	LateRetries     float64            // share of accepted submissions that are sent again later
	UnknownJobPolls float64            // share of polls that are followed by one for a job that nobody submitted
	Revisits        float64            // and by a call for any earlier job
	Nodes           []string           // controllers that can be asked without the load balancer, see LookClosely
}

type step struct {
	job    *Job
	kind   Kind
	number uint64 // of the call whose wait is over; 0: a call is due
	late   bool   // a submission repeated although it was accepted
	node   string // a close look at this controller
}

type call struct {
	job  *Job
	kind Kind
	id   string
	sent units.Microseconds
	once bool
}

// Users is all users.
type Users struct {
	opt     Options
	rng     *rand.Rand
	plans   eventqueue.Queue[step]
	open    map[uint64]call
	next    uint64
	begun   []*Job // those that were submitted, as they came
	jobs    []*Job
	left    int // jobs whose users are not through
	storm   float64
	close   lookingClosely
	byID    map[string]*Job // the first jobs that were added, see Job
	indexed int             // how many these are
	out     []any
}

// New returns a crowd without jobs.
func New(opt Options, rng *rand.Rand) *Users {
	if opt.PollInterval == 0 {
		opt.PollInterval = 5 * units.Second
	}
	return &Users{opt: opt, rng: rng, open: map[uint64]call{}, storm: 1}
}

// Add plans a job.
func (c *Users) Add(j *Job) {
	if len(j.Awaits) > 0 {
		spec := *j.Spec
		for _, a := range j.Awaits {
			spec.Awaits = append(spec.Awaits, a.ID)
		}
		j.Spec = &spec
	}
	c.jobs = append(c.jobs, j)
	c.left++
	c.plans.Add(j.At, step{job: j, kind: Submit})
}

// Adopt takes up a job that was accepted in an earlier time of the same service: its
// user polls until it is over.
func (c *Users) Adopt(now units.Microseconds, j *Job) {
	j.Accepted, j.At, j.first = true, now, max(now, 1)
	c.jobs = append(c.jobs, j)
	if !j.Spec.Service {
		c.left++
	}
	c.plans.Add(now+units.Microseconds(c.rng.Int64N(int64(c.opt.PollInterval))), step{job: j, kind: Poll})
}

// Jobs returns all jobs in the order in which they were added.
func (c *Users) Jobs() []*Job { return c.jobs }

// Unfinished returns how many jobs are neither over, as far as their users were told,
// nor given up. Services that nobody cancels do not count.
func (c *Users) Unfinished() int { return c.left }

// SetPollFactor makes users ask n times as often from now on.
func (c *Users) SetPollFactor(n float64) { c.storm = max(n, 1) }

// Next returns when Advance is next of use.
func (c *Users) Next() units.Microseconds { return c.plans.Next() }

// Advance lets time pass.
func (c *Users) Advance(now units.Microseconds) {
	for {
		at, s, ok := c.plans.Due(now)
		if !ok {
			return
		}
		if s.number != 0 {
			if _, waits := c.open[s.number]; waits {
				c.CallFailed(at, s.number)
			}
			continue
		}
		c.due(at, s)
	}
}

func (c *Users) due(now units.Microseconds, s step) {
	j := s.job
	if s.node != "" {
		c.look(now, s)
		return
	}
	switch s.kind {
	case Submit:
		if j.first == 0 {
			for _, a := range j.Awaits {
				if a.GaveUp {
					c.giveUp(j)
					return
				}
				if !a.Accepted {
					c.plans.Add(now+units.Second/50, s)
					return
				}
			}
			c.begin(now, j)
		}
		if !s.late && j.Accepted {
			return
		}
	case Cancel:
		if j.GaveUp || j.FinalStatus != "" && j.cancels {
			return
		}
		if !j.cancels {
			j.cancels = true
			c.out = append(c.out, CancelRequested{j.ID})
		}
	case Poll:
		if c.rng.Float64() < c.opt.UnknownJobPolls {
			c.call(now, nil, Poll, fmt.Sprintf("wk-9%05d%04d", c.rng.IntN(100_000), c.rng.IntN(10_000)))
		}
	}
	c.call(now, j, s.kind, j.ID)
	if s.kind == Poll && c.opt.Revisits > 0 && c.rng.Float64() < c.opt.Revisits {
		c.revisit(now)
	}
}

// revisit asks for any job that was submitted before, as one who comes back to it long
// after does: what became of it, the same submission, or that it be cancelled.
func (c *Users) revisit(now units.Microseconds) {
	j := c.begun[c.rng.IntN(len(c.begun))]
	switch n := c.rng.IntN(10); {
	case !j.Accepted || j.GaveUp:
	case n < 7:
		c.once(now, j, Poll)
	case n < 9:
		c.once(now, j, Submit)
	case j.FinalStatus != "" && !j.cancels:
		j.cancels = true
		c.out = append(c.out, CancelRequested{j.ID})
		c.once(now, j, Cancel)
	}
}

// once makes a call whose answer leads to nothing further.
func (c *Users) once(now units.Microseconds, j *Job, k Kind) { c.onceAt(now, j, k, "") }

// onceAt does so at one controller, or at any where node is "".
func (c *Users) onceAt(now units.Microseconds, j *Job, k Kind, node string) {
	c.callAt(now, j, k, j.ID, node)
	o := c.open[c.next]
	o.once = true
	c.open[c.next] = o
}

// begin is a job's first attempt. What it awaits is known by now.
func (c *Users) begin(now units.Microseconds, j *Job) {
	j.first = max(now, 1)
	c.begun = append(c.begun, j)
	c.out = append(c.out, SubmissionStarted{j})
	if j.CancelAfter > 0 {
		c.plans.Add(now+j.CancelAfter, step{job: j, kind: Cancel})
	}
	if j.Spec.Service && j.CancelAfter == 0 {
		c.left--
	}
}

func (c *Users) call(now units.Microseconds, j *Job, k Kind, id string) { c.callAt(now, j, k, id, "") }

func (c *Users) callAt(now units.Microseconds, j *Job, k Kind, id, node string) {
	c.next++
	c.open[c.next] = call{job: j, kind: k, id: id, sent: now}
	e := Call{Number: c.next, Kind: k, ID: id, Timeout: submitWait, Node: node}
	if k == Poll {
		e.Timeout = pollWait
	}
	if k == Submit {
		e.Spec = j.Spec
	}
	c.plans.Add(now+e.Timeout, step{number: c.next})
	c.out = append(c.out, e)
}

// CallFailed says that a call got no answer.
func (c *Users) CallFailed(now units.Microseconds, number uint64) {
	c.HandleReply(now, number, Reply{})
}

// HandleReply takes the answer to a call; one that comes too late is nobody's.
func (c *Users) HandleReply(now units.Microseconds, number uint64, a Reply) {
	o, ok := c.open[number]
	if !ok {
		return
	}
	delete(c.open, number)
	c.out = append(c.out, CallFinished{o.kind, o.id, now - o.sent, a})
	if o.job == nil || o.once {
		return
	}
	switch o.kind {
	case Submit:
		c.submitted(now, o.job, a)
	case Cancel:
		if a.Code == http.StatusOK {
			// It was accepted, though no answer to its submission has come.
			if !o.job.Accepted && !o.job.GaveUp {
				o.job.Accepted = true
			}
			c.heard(now, o.job, a.Status)
			return
		}
		c.plans.Add(now+c.pause(a), step{job: o.job, kind: Cancel})
	case Poll:
		if a.Code == http.StatusOK {
			c.heard(now, o.job, a.Status)
		}
		c.pollLater(now, o.job)
	}
}

func (c *Users) submitted(now units.Microseconds, j *Job, a Reply) {
	switch a.Code {
	case http.StatusOK, http.StatusCreated:
		if !j.Accepted {
			j.Accepted = true
			c.lookAfter(now, j, true)
			c.pollLater(now, j)
			if c.rng.Float64() < c.opt.LateRetries {
				c.plans.Add(now+units.Microseconds(c.rng.Int64N(int64(80*units.Second))), step{job: j, kind: Submit, late: true})
			}
		}
		c.heard(now, j, a.Status)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if !j.Accepted {
			c.giveUp(j)
		}
	default:
		if p := c.pause(a); j.Accepted || now+p-j.first > submitFor {
			if !j.Accepted {
				c.giveUp(j)
			}
		} else {
			c.plans.Add(now+p, step{job: j, kind: Submit})
		}
	}
}

func (c *Users) giveUp(j *Job) {
	if j.GaveUp || j.FinalStatus != "" {
		return
	}
	j.GaveUp = true
	if !j.Spec.Service || j.CancelAfter > 0 || j.first == 0 {
		c.left--
	}
}

// pause is how long a user waits before the next try.
func (c *Users) pause(a Reply) units.Microseconds {
	return max(units.Second+units.Microseconds(c.rng.Int64N(int64(units.Second))), min(a.RetryAfter, maxRetry))
}

// pollLater polls again after some seconds, and now and then once all is over.
func (c *Users) pollLater(now units.Microseconds, j *Job) {
	every := float64(c.opt.PollInterval) * (0.6 + 0.8*c.rng.Float64()) / c.storm
	if j.FinalStatus != "" {
		if c.rng.Float64() > 0.2 && c.storm == 1 {
			return
		}
		every *= 3
	}
	c.plans.Add(now+units.Microseconds(every), step{job: j, kind: Poll})
}

func (c *Users) heard(now units.Microseconds, j *Job, s jobs.Status) {
	if s.Final() && j.FinalStatus == "" {
		j.FinalStatus, j.FinalAt = s, now
		c.lookAfter(now, j, false)
		if !j.GaveUp && (!j.Spec.Service || j.CancelAfter > 0) {
			c.left--
		}
	}
}

// Drain returns the effects since the last call.
func (c *Users) Drain() []any {
	out := c.out
	c.out = nil
	return out
}
