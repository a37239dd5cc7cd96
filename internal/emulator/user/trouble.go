package user

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

const (
	// probeRounds is the number of calls to each controller after an event, and probeInterval the
	// maximum time between two rounds.
	probeRounds   = 4
	probeInterval = 8 * units.Second / 1000
	// probeCancelShare is the share of accepted jobs that are cancelled while they are probed.
	probeCancelShare = 0.1
	// cancelSoonWithin is the time within which the users of CancelSoon cancel.
	cancelSoonWithin = units.Second / 5
	// CancelAtEnd cancels within cancelAtEndShort of the end of a job for half of the users and within
	// cancelAtEndLong for the others, so that cancellations also race with the heartbeat that reports
	// the end and with the write of the job's record.
	cancelAtEndShort = 20 * units.Second / 1000
	cancelAtEndLong  = units.Second
	// invalidRequestInterval is the mean time between two invalid requests; the minimum is half of it.
	invalidRequestInterval = units.Second / 2
)

// readProbes holds the time until which read probes are turned on.
type readProbes struct {
	until units.Microseconds
}

// InvalidSubmission is an effect: a user submits a job that no controller may accept. Spec is nil if
// the submission lacks a required field.
type InvalidSubmission struct {
	ID   string
	Spec *jobs.Spec
}

// ReadProbe is an effect: a user calls one controller as a read probe, see ProbeReadsUntil.
type ReadProbe struct{ ID, Node string }

// ProbeReadsUntil turns on read probes until a time: whenever a job is accepted, ends or is confirmed
// as cancelled, users call every controller several times within milliseconds.
func (u *Users) ProbeReadsUntil(until units.Microseconds) {
	u.probes.until = max(u.probes.until, until)
}

// ProbingReads reports whether read probes are turned on.
func (u *Users) ProbingReads(now units.Microseconds) bool { return now < u.probes.until }

// Job returns a job by its id, or nil if there is none.
func (u *Users) Job(id string) *Job {
	if u.byID == nil {
		u.byID = map[string]*Job{}
	}
	for ; u.indexed < len(u.jobs); u.indexed++ {
		u.byID[u.jobs[u.indexed].ID] = u.jobs[u.indexed]
	}
	return u.byID[id]
}

// LastTaskEnded reports that a job's last task has ended, which the controllers may not know yet.
func (u *Users) LastTaskEnded(now units.Microseconds, j *Job) { u.scheduleProbes(now, j, false) }

// scheduleProbes schedules the read probes of a job, if they are turned on. accepted is set if the job
// was accepted just now.
func (u *Users) scheduleProbes(now units.Microseconds, j *Job, accepted bool) {
	if now >= u.probes.until || !j.Accepted {
		return
	}
	at := now
	for round := range probeRounds {
		for _, node := range u.options.Nodes {
			kind := Poll
			if round%2 == 1 {
				kind = Submit
			}
			u.queue.Add(at+units.Microseconds(u.rng.Int64N(int64(probeInterval))), step{job: j, kind: kind, node: node})
		}
		at += units.Microseconds(u.rng.Int64N(int64(probeInterval)))
	}
	if accepted && j.CancelAfter == 0 && !j.Spec.Service && u.rng.Float64() < probeCancelShare {
		u.CancelAt(now+units.Microseconds(u.rng.Int64N(int64(probeInterval))), j)
	}
}

// sendProbe sends one read probe: a poll or a repeated submission.
func (u *Users) sendProbe(now units.Microseconds, s step) {
	if s.kind == Submit && s.job.GaveUp {
		return
	}
	u.effects = append(u.effects, ReadProbe{s.job.ID, s.node})
	u.callOnceAt(now, s.job, s.kind, s.node)
}

// CancelAt schedules the cancellation of a job by its user at a time.
func (u *Users) CancelAt(at units.Microseconds, j *Job) { u.queue.Add(at, step{job: j, kind: Cancel}) }

// CancelSoon schedules the cancellation of jobs by their users within a fifth of a second.
func (u *Users) CancelSoon(now units.Microseconds, submitted []*Job) {
	for _, j := range submitted {
		u.CancelAt(now+units.Microseconds(u.rng.Int64N(int64(cancelSoonWithin))), j)
	}
}

// CancelAtEnd schedules the cancellation of a job as its last task ends: within 20 ms, or, for half of
// the jobs, within a second.
func (u *Users) CancelAtEnd(now units.Microseconds, j *Job) {
	within := cancelAtEndShort
	if u.rng.IntN(2) == 0 {
		within = cancelAtEndLong
	}
	u.CancelAt(now+units.Microseconds(u.rng.Int64N(int64(within))), j)
}

// DrawInvalidRequestDelay draws the time until the next call of SendInvalidRequest.
func (u *Users) DrawInvalidRequestDelay() units.Microseconds {
	return invalidRequestInterval/2 + units.Microseconds(u.rng.Int64N(int64(invalidRequestInterval)))
}

// SendInvalidRequest sends one request that is invalid or redundant: it repeats the submission of an
// unfinished job, cancels a finished one, or submits a job that fits no machine, names an unknown team,
// type or zone, or lacks a required field. It reports whether it sent one.
func (u *Users) SendInvalidRequest(now units.Microseconds) bool {
	if len(u.submitted) == 0 {
		return false
	}
	j := u.submitted[u.rng.IntN(len(u.submitted))]
	if u.rng.IntN(2) == 0 {
		u.submitInvalid(now, j)
		return true
	}
	switch {
	case !j.Accepted || j.GaveUp || j.FinalStatus == jobs.Cancelled:
		return false
	case j.FinalStatus == "":
		u.callOnce(now, j, Submit)
	default:
		u.effects = append(u.effects, CancelRequested{j.ID})
		u.callOnce(now, j, Cancel)
	}
	return true
}

// submitInvalid submits a copy of a job with one change for which no controller may accept it.
func (u *Users) submitInvalid(now units.Microseconds, template *Job) {
	const tooMuch = 1 << 40 // thousandths; more than any machine has
	spec := *template.Spec
	spec.Awaits = nil
	invalid := &spec
	switch u.rng.IntN(6) {
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
		invalid = nil
	}
	id := fmt.Sprintf("wk-8%05d%04d", u.rng.IntN(100_000), u.rng.IntN(10_000))
	u.effects = append(u.effects, InvalidSubmission{id, invalid})
	u.callOnceAt(now, &Job{Job: &work.Job{ID: id, Spec: invalid}}, Submit, "")
}
