package admission

import (
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
)

// maxAttempts limits how often one submission is attempted again after a conflicting write.
const maxAttempts = 4

// submission is the state of a submission while it passes through the steps in this file and in storing.go.
type submission struct {
	Request
	attempts    int
	fresh       bool            // the watch cache is newer than the request
	markVersion uint64          // version of the archive's mark when the archive was searched
	notArchived map[string]bool // jobs proven not to be archived as long as the mark has this version
	encoded     encodedJob
}

// Submit serves a submission. If the job is already known, the answer is its state, whatever the body is.
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

// resolve looks up the job and its dependencies in the archive. Each is then either known to be archived,
// or proven not to be for a write that is guarded by the version of the archive's mark.
func (h *Handler) resolve(sub *submission) {
	index := h.host.Archive()
	_, sub.markVersion = index.Mark()
	if !index.Enabled() {
		h.answerOrAdmit(sub, true)
		return
	}
	if h.host.Revision() < sub.markVersion { // the watch cache may lack jobs that were accepted before the mark
		h.host.ReadFresh(func(ok bool) {
			if ok {
				h.resolve(sub)
			} else {
				h.answerOrAdmit(sub, false)
			}
		})
		return
	}
	ids := []string{sub.Job}
	if sub.Spec != nil {
		ids = append(ids, sub.Spec.Awaits...)
	}
	sub.notArchived = map[string]bool{}
	pending, resolved := 1, true // starts at 1, so that finish cannot end before all lookups have begun
	finish := func() {
		if pending--; pending == 0 {
			h.answerOrAdmit(sub, resolved)
		}
	}
	for _, id := range ids {
		if h.host.Job(id) != nil {
			continue
		}
		pending++
		index.Lookup(id, true, func(verdict archive.LookupResult, _ archive.Summary) {
			resolved = resolved && verdict != archive.Unknown
			if verdict == archive.Absent {
				sub.notArchived[id] = true
			}
			finish()
		})
	}
	finish()
}

// answerOrAdmit answers the submission if its job turns out to be
// known; otherwise it accepts or refuses the job.
func (h *Handler) answerOrAdmit(sub *submission, resolved bool) {
	job := h.host.Job(sub.Job)
	outcome, archived := h.host.Archive().CachedSummary(sub.Job)
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

// admitOrRefuse accepts or refuses a job that is not known. Before it refuses, it makes a fresh
// read, since another controller may have accepted the job or one that it depends on.
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

// resolveFresh makes a fresh read and starts again at resolve.
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

// retry starts again with a submission whose write conflicted with another one.
func (h *Handler) retry(sub *submission) {
	if sub.attempts++; sub.attempts > maxAttempts {
		h.host.Refuse(sub.ID, TemporaryRefusal("try again"))
		return
	}
	h.resolveFresh(sub)
}

// validate returns why the submitted job cannot be accepted, or nil if it can.
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

// Infeasible returns why a job can never run, apart from its dependencies, or "" if it can.
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

// infeasibleWithDependencies returns why a job can never run, including because of its
// dependencies, or "" if it can. A dependency that is neither known nor proven absent from the
// archive may be archived, or has to be looked up again, and is not held against the job.
func (h *Handler) infeasibleWithDependencies(spec *jobs.Spec, notArchived map[string]bool) string {
	if why := h.Infeasible(spec); why != "" {
		return why
	}
	for _, id := range spec.Awaits {
		switch job := h.host.Job(id); {
		case job == nil && h.host.Archive().Enabled() && !notArchived[id]:
		case job == nil:
			return "awaits " + id + ", which was never accepted"
		case job.Active() && job.Spec().Service:
			return "awaits " + id + ", a service, which is never done"
		}
	}
	return ""
}

// accept stores a new job unless this controller cannot accept one at present. Where it is uncertain
// whether the job was stored, the user is told to retry; a submission is idempotent.
func (h *Handler) accept(sub *submission) {
	if refusal := h.notReadyRefusal(); refusal != nil {
		h.host.Refuse(sub.ID, refusal)
		return
	}
	shard := h.host.LeastLoadedShard()
	spec, cancelled, ok := h.dropFinishedDependencies(sub.Spec)
	// A job is accepted only with a proof that it is not archived.
	if !ok || h.host.Archive().Enabled() && !sub.notArchived[sub.Job] {
		h.host.Refuse(sub.ID, TemporaryRefusal("try again"))
		return
	}
	record := jobs.Record{Status: jobs.Pending, Shard: shard, Tasks: spec.Tasks, Submitted: h.host.WallClock(), Spec: spec}
	if cancelled {
		record = jobs.Record{Status: jobs.Cancelled, Tasks: spec.Tasks, Team: spec.Team, Demand: spec.Demand}
	}
	sub.encoded = encodeJob(record, h.cfg.ValueMax)
	if older := h.host.OlderPeer(); older != "" && (len(sub.encoded.chunks) > 0 || len(spec.Awaits) > 0) {
		// The older release would start the job before its dependencies are
		// done, or could not read its record.
		h.host.Refuse(sub.ID, TemporaryRefusal("controller "+older+" still runs an older release"))
		return
	}
	h.store(sub)
}

// notReadyRefusal returns why no job can be accepted at present, or nil if jobs can be accepted.
func (h *Handler) notReadyRefusal() *Refusal {
	if h.AnyMemoryFull() {
		return &Refusal{Reason: Unavailable, Text: "a controller's memory is nearly full", RetryAfter: LongRetryAfter}
	}
	if !h.host.ConfigurationCurrent() {
		return TemporaryRefusal("the present configuration is not known")
	}
	return nil
}

// dropFinishedDependencies returns the job spec without the dependencies that are
// archived, or ended so long ago that they may be archived at any moment. Those that are
// done need not be waited for. cancelled reports that one of them was cancelled, so that
// the job is cancelled too. ok is false if it is not known how one of them ended.
func (h *Handler) dropFinishedDependencies(submitted *jobs.Spec) (spec *jobs.Spec, cancelled, ok bool) {
	index := h.host.Archive()
	if len(submitted.Awaits) == 0 || !index.Enabled() {
		return submitted, false, true
	}
	mark, _ := index.Mark()
	remaining := *submitted
	remaining.Awaits = nil
	for _, id := range submitted.Awaits {
		var status jobs.Status
		job := h.host.Job(id)
		switch {
		case job == nil:
			outcome, known := index.CachedSummary(id)
			if !known {
				return nil, false, false
			}
			status = outcome.Status
		case !job.Active() && job.CancelledBy == "" && job.Version < mark.Cutoff:
			status = job.Record.Status
		default:
			remaining.Awaits = append(remaining.Awaits, id)
		}
		cancelled = cancelled || status == jobs.Cancelled
	}
	return &remaining, cancelled, true
}
