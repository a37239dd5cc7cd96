package user

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

const (
	// lookRounds is how often each controller is asked in a close look, and lookWithin
	// the time between two rounds at most.
	lookRounds = 4
	lookWithin = 8 * units.Second / 1000
	// cancelsAtOnce is the share of accepted jobs that are cancelled in a close look.
	cancelsAtOnce = 0.1
	// cancelWithin is the time in which CancelNow's users cancel.
	cancelWithin = units.Second / 5
	// atEndWithin is how close to the end a job is cancelled at its end: a part of the users
	// within atEndClosely, the others by then, so that they meet the report of the end and the
	// write of the job's record as well.
	atEndClosely = 20 * units.Second / 1000
	atEndWithin  = units.Second
	// oddEvery is the time between two odd requests, half of it at least.
	oddEvery = units.Second / 2
)

// lookingClosely says until when users look closely.
type lookingClosely struct {
	until units.Microseconds
}

// InvalidSubmission says that a user submits a job that no controller may accept; Spec is nil where it
// lacks a field.
type InvalidSubmission struct {
	ID   string
	Spec *jobs.Spec
}

// ReadProbe says that a user asks one controller in a close look.
type ReadProbe struct{ ID, Node string }

// ProbeReadsUntil makes users ask all controllers within milliseconds, again and again, whenever
// a job was accepted, has ended or was confirmed as cancelled, until a time.
func (c *Users) ProbeReadsUntil(until units.Microseconds) { c.close.until = max(c.close.until, until) }

// ProbingReads reports whether users look closely at a time.
func (c *Users) ProbingReads(now units.Microseconds) bool { return now < c.close.until }

// Job returns a job by its id, or nil.
func (c *Users) Job(id string) *Job {
	if c.byID == nil {
		c.byID = map[string]*Job{}
	}
	for ; c.indexed < len(c.jobs); c.indexed++ {
		c.byID[c.jobs[c.indexed].ID] = c.jobs[c.indexed]
	}
	return c.byID[id]
}

// LastTaskEnded says that a job's last task has ended, which no controller may know yet.
func (c *Users) LastTaskEnded(now units.Microseconds, j *Job) { c.lookAfter(now, j, false) }

// lookAfter plans a close look at a job, if users look closely at present; accepted says that
// the job was accepted just now.
func (c *Users) lookAfter(now units.Microseconds, j *Job, accepted bool) {
	if now >= c.close.until || !j.Accepted {
		return
	}
	at := now
	for round := range lookRounds {
		for _, node := range c.opt.Nodes {
			kind := Poll
			if round%2 == 1 {
				kind = Submit
			}
			c.plans.Add(at+units.Microseconds(c.rng.Int64N(int64(lookWithin))), step{job: j, kind: kind, node: node})
		}
		at += units.Microseconds(c.rng.Int64N(int64(lookWithin)))
	}
	if accepted && j.CancelAfter == 0 && !j.Spec.Service && c.rng.Float64() < cancelsAtOnce {
		c.CancelAt(now+units.Microseconds(c.rng.Int64N(int64(lookWithin))), j)
	}
}

// look asks one controller for a job in a close look.
func (c *Users) look(now units.Microseconds, s step) {
	if s.kind == Submit && s.job.GaveUp {
		return
	}
	c.out = append(c.out, ReadProbe{s.job.ID, s.node})
	c.onceAt(now, s.job, s.kind, s.node)
}

// CancelAt lets a job's user cancel it at a time.
func (c *Users) CancelAt(at units.Microseconds, j *Job) { c.plans.Add(at, step{job: j, kind: Cancel}) }

// CancelSoon lets the users of jobs cancel them within a fifth of a second.
func (c *Users) CancelSoon(now units.Microseconds, submitted []*Job) {
	for _, j := range submitted {
		c.CancelAt(now+units.Microseconds(c.rng.Int64N(int64(cancelWithin))), j)
	}
}

// CancelAtEnd lets a job's user cancel it as its last task ends: at that moment, or, for half
// of them, up to a second later.
func (c *Users) CancelAtEnd(now units.Microseconds, j *Job) {
	within := atEndClosely
	if c.rng.IntN(2) == 0 {
		within = atEndWithin
	}
	c.CancelAt(now+units.Microseconds(c.rng.Int64N(int64(within))), j)
}

// DrawInvalidRequestDelay draws the time until the next odd request.
func (c *Users) DrawInvalidRequestDelay() units.Microseconds {
	return oddEvery/2 + units.Microseconds(c.rng.Int64N(int64(oddEvery)))
}

// SendInvalidRequest makes one request that makes no sense, or none any more: it repeats the
// submission of an unfinished job, cancels one that is done, or submits one that fits no
// machine or lacks a field. It reports whether it did so.
func (c *Users) SendInvalidRequest(now units.Microseconds) bool {
	if len(c.begun) == 0 {
		return false
	}
	j := c.begun[c.rng.IntN(len(c.begun))]
	if c.rng.IntN(2) == 0 {
		c.submitOdd(now, j)
		return true
	}
	switch {
	case !j.Accepted || j.GaveUp || j.FinalStatus == jobs.Cancelled:
		return false
	case j.FinalStatus == "":
		c.once(now, j, Submit)
	default:
		c.out = append(c.out, CancelRequested{j.ID})
		c.once(now, j, Cancel)
	}
	return true
}

// submitOdd submits a job that no controller may accept, like another but for one thing.
func (c *Users) submitOdd(now units.Microseconds, like *Job) {
	const tooMuch = 1 << 40 // thousandths, more than any machine has
	spec := *like.Spec
	spec.Awaits = nil
	odd := &spec
	switch c.rng.IntN(6) {
	case 0:
		spec.Demand[binpack.CPU] = tooMuch
	case 1:
		spec.Demand[binpack.Memory] = tooMuch
	case 2:
		spec.Team = "nobody"
	case 3:
		spec.AnyType, spec.Types = false, []string{"no-such-type"}
	case 4:
		spec.Zone = "no-such-zone"
	default:
		odd = nil
	}
	id := fmt.Sprintf("wk-8%05d%04d", c.rng.IntN(100_000), c.rng.IntN(10_000))
	c.out = append(c.out, InvalidSubmission{id, odd})
	c.onceAt(now, &Job{Job: &work.Job{ID: id, Spec: odd}}, Submit, "")
}
