package admission

import (
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
)

// maxAttempts bounds how often a submission is judged again by itself.
const maxAttempts = 4

// submission is one on its way through the steps of this file and of storing.go.
type submission struct {
	Request
	attempts    int
	fresh       bool            // the copy of the state service's keys is newer than the request
	markVersion uint64          // version of the archive's mark when the archive was asked
	notArchived map[string]bool // jobs that are proven not to be archived, as long as that is its version
	encoded     encodedJob
}

// Submit takes a submission. A known job is answered with its state, whatever the body is.
func (h *Handler) Submit(r Request) {
	if h.host.Job(r.Job) != nil {
		h.Query(r.ID, r.Job)
		return
	}
	if h.host.ShouldForward(r.ID) {
		h.host.Forward(r)
		return
	}
	h.resolve(&submission{Request: r})
}

// resolve finds out which of the job and its dependencies are archived. From then on the
// answers are at hand, or their absence is proven for whoever guards the mark of that time.
func (h *Handler) resolve(sub *submission) {
	index := h.host.Archive()
	_, sub.markVersion = index.Mark()
	if !index.On() {
		h.answerOrAdmit(sub, true)
		return
	}
	if h.host.Revision() < sub.markVersion { // the copy may lack what was accepted before the mark
		h.host.ReadFresh(func(ok bool) {
			if ok {
				h.resolve(sub)
			} else {
				h.answerOrAdmit(sub, false)
			}
		})
		return
	}
	names := []string{sub.Job}
	if sub.Spec != nil {
		names = append(names, sub.Spec.Awaits...)
	}
	sub.notArchived = map[string]bool{}
	pending, resolved := 1, true // the one more is this function's own
	finish := func() {
		if pending--; pending == 0 {
			h.answerOrAdmit(sub, resolved)
		}
	}
	for _, id := range names {
		if h.host.Job(id) != nil {
			continue
		}
		pending++
		index.Find(id, true, func(verdict archive.Verdict, _ archive.Answer) {
			resolved = resolved && verdict != archive.Unknown
			if verdict == archive.Absent {
				sub.notArchived[id] = true
			}
			finish()
		})
	}
	finish()
}

// answerOrAdmit answers a submission of a job that is known by now, and accepts or refuses a new one.
func (h *Handler) answerOrAdmit(sub *submission, resolved bool) {
	job := h.host.Job(sub.Job)
	outcome, archived := h.host.Archive().Known(sub.Job)
	switch {
	case job != nil && (sub.fresh || !job.Active()):
		h.answerJob(sub.ID, job, false)
	case job != nil:
		h.Query(sub.ID, sub.Job)
	case archived:
		h.answerArchived(sub.ID, sub.Job, outcome, false)
	case !resolved:
		h.host.Forward(sub.Request)
	default:
		h.admitOrRefuse(sub)
	}
}

// admitOrRefuse accepts or refuses a job that is not known. Before a refusal a read makes sure that
// no other controller has accepted it, nor a job that it depends on.
func (h *Handler) admitOrRefuse(sub *submission) {
	refusal := h.validate(sub)
	switch {
	case refusal == nil:
		h.accept(sub)
	case sub.fresh:
		h.host.Refuse(sub.ID, refusal)
	default:
		h.resolveFresh(sub)
	}
}

// resolveFresh begins again after a read.
func (h *Handler) resolveFresh(sub *submission) {
	h.host.ReadFresh(func(ok bool) {
		if !ok {
			h.host.Forward(sub.Request)
			return
		}
		sub.fresh = true
		h.resolve(sub)
	})
}

// retry begins again with a submission that was not stored for what others stored.
func (h *Handler) retry(sub *submission) {
	if sub.attempts++; sub.attempts > maxAttempts {
		h.host.Refuse(sub.ID, TemporaryRefusal("try again"))
		return
	}
	h.resolveFresh(sub)
}

// validate says why a job cannot be accepted, for what it is; nil: it can.
func (h *Handler) validate(sub *submission) *Refusal {
	if sub.Spec == nil {
		return &Refusal{Reason: Malformed, Text: sub.Malformed}
	}
	if !h.host.TypesKnown() {
		return TemporaryRefusal("machine types are not known yet")
	}
	if why := h.infeasibleWithDependencies(sub.Spec, sub.notArchived); why != "" {
		return &Refusal{Reason: Infeasible, Text: why}
	}
	return nil
}

// Infeasible says why a job can never run, whatever it depends on, or "".
func (h *Handler) Infeasible(spec *jobs.Spec) string {
	limit, known := h.host.TeamLimit(spec.Team)
	if !known {
		return "unknown team"
	}
	if !h.host.Placeable(spec) {
		return "a task fits no allowed machine type"
	}
	demand := spec.Demand
	if spec.Service {
		demand = demand.Times(int64(spec.Tasks))
	}
	if !quota.WithinLimit(limit, demand) {
		return "needs more than the team's limit"
	}
	return ""
}

// infeasibleWithDependencies says why a job can never run, or "". Dependencies that are not proven absent may be
// archived, or are to be looked up again.
func (h *Handler) infeasibleWithDependencies(spec *jobs.Spec, absent map[string]bool) string {
	if why := h.Infeasible(spec); why != "" {
		return why
	}
	for _, id := range spec.Awaits {
		switch job := h.host.Job(id); {
		case job == nil && h.host.Archive().On() && !absent[id]:
		case job == nil:
			return "awaits " + id + ", which was never accepted"
		case job.Active() && job.Spec().Service:
			return "awaits " + id + ", a service, which is never done"
		}
	}
	return ""
}

// accept stores a new job unless this controller cannot take one at present. Where it is not sure
// that the job is stored the user is to ask again; asking again does no harm.
func (h *Handler) accept(sub *submission) {
	if refusal := h.notReadyRefusal(); refusal != nil {
		h.host.Refuse(sub.ID, refusal)
		return
	}
	shard := h.host.LeastLoadedShard()
	spec, cancelled, ok := h.dropFinishedDependencies(sub.Spec)
	// Nothing is accepted without a proof that it is not archived.
	if !ok || h.host.Archive().On() && !sub.notArchived[sub.Job] {
		h.host.Refuse(sub.ID, TemporaryRefusal("try again"))
		return
	}
	record := jobs.Record{Status: jobs.Pending, Shard: shard, Tasks: spec.Tasks, Submitted: h.host.WallClock(), Spec: spec}
	if cancelled {
		record = jobs.Record{Status: jobs.Cancelled, Tasks: spec.Tasks, Team: spec.Team, Demand: spec.Demand}
	}
	sub.encoded = encodeJob(record, h.cfg.ValueMax)
	if older := h.host.OlderPeer(); older != "" && (len(sub.encoded.chunks) > 0 || len(spec.Awaits) > 0) {
		// It would start the job at once, or could not read it.
		h.host.Refuse(sub.ID, TemporaryRefusal("controller "+older+" still runs an older release"))
		return
	}
	h.store(sub)
}

// notReadyRefusal says why no job can be accepted at present; nil: one can.
func (h *Handler) notReadyRefusal() *Refusal {
	if h.AnyMemoryFull() {
		return &Refusal{Reason: Unavailable, Text: "a controller's memory is nearly full", RetryAfter: LongRetryAfter}
	}
	if !h.host.ConfigurationCurrent() {
		return TemporaryRefusal("the present configuration is not known")
	}
	return nil
}

// dropFinishedDependencies takes out of a description the dependencies that are over for so long
// that they may be archived at any moment: those that are done need not be waited for.
// cancelled reports that one was cancelled, and the job with it; ok is false where it is not known
// how one ended.
func (h *Handler) dropFinishedDependencies(described *jobs.Spec) (spec *jobs.Spec, cancelled, ok bool) {
	index := h.host.Archive()
	if len(described.Awaits) == 0 || !index.On() {
		return described, false, true
	}
	mark, _ := index.Mark()
	remaining := *described
	remaining.Awaits = nil
	for _, id := range described.Awaits {
		var status jobs.Status
		job := h.host.Job(id)
		switch {
		case job == nil:
			outcome, known := index.Known(id)
			if !known {
				return nil, false, false
			}
			status = outcome.Status
		case !job.Active() && job.CancelledBy == "" && job.Version < mark.Cut:
			status = job.Record.Status
		default:
			remaining.Awaits = append(remaining.Awaits, id)
		}
		cancelled = cancelled || status == jobs.Cancelled
	}
	return &remaining, cancelled, true
}
