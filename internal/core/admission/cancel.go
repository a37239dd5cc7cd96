package admission

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// Cancel cancels a job. It answers once the cancellation is stored,
// or with the job's final state if it had already ended.
func (h *Handler) Cancel(request RequestID, id string) {
	job := h.host.Job(id)
	switch {
	case (job == nil || job.Active()) && h.host.ShouldForward(request):
		h.host.Forward(Request{ID: request, Kind: Cancel, Job: id})
	case job == nil:
		h.cancelUnknown(request, id)
	case !job.Active():
		h.answerJob(request, job, false)
	default:
		h.storeCancellation(request, job)
	}
}

// cancelUnknown cancels a job that is not known here. It first reads from the
// state service, since another controller may have accepted the job.
func (h *Handler) cancelUnknown(request RequestID, id string) {
	h.host.ReadFresh(func(ok bool) {
		switch {
		case !ok:
			h.host.Forward(Request{ID: request, Kind: Cancel, Job: id})
		case h.host.Job(id) == nil:
			h.findArchived(request, id, false)
		default:
			h.Cancel(request, id)
		}
	})
}

func (h *Handler) storeCancellation(request RequestID, job *jobs.Job) {
	key := keys.Job(job.ID)
	spec := job.Spec()
	record := jobs.Record{Status: jobs.Cancelled, Tasks: job.Record.Tasks, Team: spec.Team, Demand: spec.Demand}
	queued := h.host.Queue(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: job.Version}},
		Changes: []store.Change{{Key: key, Value: record.Encode()}},
		Done: func(outcome store.Outcome, revision uint64) {
			switch outcome {
			case store.OK:
				h.cfg.Log.Debug("cancellation stored", "job", job.ID, "revision", revision)
				h.host.Answer(request, false, JobAnswer{ID: job.ID, Status: jobs.Cancelled})
			case store.Failed: // done, or cancelled by another controller, in the meantime
				h.answerAfterConflict(request, job)
			default:
				h.host.Forward(Request{ID: request, Kind: Cancel, Job: job.ID})
			}
		},
	})
	if !queued {
		h.host.Refuse(request, TemporaryRefusal("too many requests"))
	}
}

// answerAfterConflict answers a cancellation whose transaction failed because the job's record had changed.
// If the job has not ended, it was moved to another shard, and the user is told to retry.
func (h *Handler) answerAfterConflict(request RequestID, job *jobs.Job) {
	h.host.ReadFresh(func(ok bool) {
		if !ok || job.Active() {
			h.host.Refuse(request, TemporaryRefusal("try again"))
			return
		}
		h.answerJob(request, job, false)
	})
}
