package admission

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// JobAnswer is a job's state as reported to a user. Done and Running are valid only if Counts is
// set, which it is in answers to queries only. JobAnswer is sent between controllers.
type JobAnswer struct {
	ID            string
	Status        jobs.Status
	Counts        bool
	Done, Running int
}

// Reason classifies why a request is refused.
type Reason int

// Reasons of refusals.
const (
	Malformed   Reason = iota // the request's body is malformed
	NoSuchJob                 // proven by a read that began after the request
	Infeasible                // the job could never run
	Unavailable               // the request cannot be served at present
)

// HTTPStatus returns the HTTP status of a refusal.
func (r Reason) HTTPStatus() int {
	switch r {
	case Malformed:
		return http.StatusBadRequest
	case NoSuchJob:
		return http.StatusNotFound
	case Infeasible:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// AnswerStatus returns the HTTP status of an answer that is not a
// refusal. accepted means that the request has just stored the job.
func AnswerStatus(accepted bool) int {
	if accepted {
		return http.StatusCreated
	}
	return http.StatusOK
}

// Refusal is the error that a refused request returns.
type Refusal struct {
	Reason     Reason
	Text       string             // shown to the user
	RetryAfter units.Microseconds // how long the client should wait before a retry; 0: a retry is of no use
}

// Error implements error.
func (r *Refusal) Error() string { return r.Text }

const (
	// RetryAfter is how long a client should wait before it retries a request that was refused temporarily.
	RetryAfter = 1 * units.Second
	// LongRetryAfter is used where the cause takes longer to clear:
	// memory, reads of the archive, the upgrade of a controller.
	LongRetryAfter = 5 * units.Second
)

// TemporaryRefusal returns the refusal of a request that cannot be served at present.
func TemporaryRefusal(why string) *Refusal {
	return &Refusal{Reason: Unavailable, Text: why, RetryAfter: RetryAfter}
}

// answerJob answers with a known job's state. If this controller does not own the job's shard it does
// not know which tasks run; a job with finished tasks is then reported as running.
func (h *Handler) answerJob(request RequestID, job *jobs.Job, counts bool) {
	answer := JobAnswer{ID: job.ID, Status: job.Record.Status, Counts: counts, Done: job.Finished()}
	if job.Active() {
		answer.Running = job.Live()
		if answer.Running > 0 || answer.Done > 0 && !h.host.OwnsShard(job.Record.Shard) {
			answer.Status = jobs.Running
		}
	}
	h.host.Answer(request, false, answer)
}

// answerArchived answers with how an archived job ended.
func (h *Handler) answerArchived(request RequestID, id string, outcome archive.Summary, counts bool) {
	answer := JobAnswer{ID: id, Status: outcome.Status, Counts: counts}
	if outcome.Status == jobs.Done {
		answer.Done = outcome.Tasks
	}
	h.host.Answer(request, false, answer)
}

// findArchived answers a query or a cancellation of a job that has no record. The
// caller has found that by a read that began after the request arrived.
func (h *Handler) findArchived(request RequestID, id string, counts bool) {
	h.host.Archive().Lookup(id, false, func(verdict archive.LookupResult, outcome archive.Summary) {
		switch verdict {
		case archive.Found:
			h.answerArchived(request, id, outcome, counts)
		case archive.Absent:
			h.host.Refuse(request, &Refusal{Reason: NoSuchJob, Text: "no such job"})
		default:
			h.host.Refuse(request, &Refusal{Reason: Unavailable, Text: "too many requests for old jobs", RetryAfter: LongRetryAfter})
		}
	})
}
