package admission

import "shalestage.example/shalestage/internal/core/guard"

// Query answers with a job's state. Only a final state may be answered from the watch cache
// directly. Any other state must be at least as new as the query, so a read comes first.
func (h *Handler) Query(request RequestID, id string) {
	if job := h.host.Job(id); job != nil && !job.Active() {
		h.answerJob(request, job, true)
		return
	}
	if outcome, known := h.host.Archive().CachedSummary(id); known {
		h.answerArchived(request, id, outcome, true)
		return
	}
	if h.host.ShouldForward(request) {
		h.host.Forward(Request{ID: request, Kind: Query, Job: id})
		return
	}
	h.readBeforeAnswer(func(ok bool) {
		job := h.host.Job(id)
		switch {
		case !ok:
			h.host.Forward(Request{ID: request, Kind: Query, Job: id})
		case job == nil:
			h.findArchived(request, id, true)
		default:
			h.answerJob(request, job, true)
		}
	})
}

// readBeforeAnswer calls then once a read that begins now has ended.
func (h *Handler) readBeforeAnswer(then func(ok bool)) {
	if h.cfg.SkippedGuard == guard.FreshRead {
		then(true)
		return
	}
	h.host.ReadFresh(then)
}
