package admission

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// JobAnswer tells a job's state. Counts are given to queries only. It is sent between controllers.
type JobAnswer struct {
	ID            string
	Status        jobs.Status
	Counts        bool
	Done, Running int
}

// Reason is why a request is refused.
type Reason int

// Reasons of refusals.
const (
	Malformed   Reason = iota // the request's body
	NoSuchJob                 // proven by a read that began after the request
	Infeasible                // the job could never run
	Unavailable               // at present
)

// HTTPStatus is the one with which a refusal is answered.
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

// AnswerStatus is the HTTP status of an answer that is no refusal: accepted says that a job has
// just been stored.
func AnswerStatus(accepted bool) int {
	if accepted {
		return http.StatusCreated
	}
	return http.StatusOK
}

// Refusal says why a request is not served.
type Refusal struct {
	Reason     Reason
	Text       string             // as the user reads it
	RetryAfter units.Microseconds // when to come back; 0: it would be of no use
}

// Error implements error.
func (r *Refusal) Error() string { return r.Text }

const (
	// RetryAfter is when a user who could not be served should come back.
	RetryAfter = 1 * units.Second
	// LongRetryAfter is when, where what is missing will take a while: memory, reads of the
	// archive, the upgrade of a controller.
	LongRetryAfter = 5 * units.Second
)

// TemporaryRefusal returns the refusal of a request that could not be served in time.
func TemporaryRefusal(why string) *Refusal {
	return &Refusal{Reason: Unavailable, Text: why, RetryAfter: RetryAfter}
}

// answerJob tells a known job's state. Of a shard that is not owned here it is not known what
// runs: a job of which tasks are done counts as running.
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

// answerArchived tells how an archived job ended.
func (h *Handler) answerArchived(request RequestID, id string, outcome archive.Answer, counts bool) {
	answer := JobAnswer{ID: id, Status: outcome.Status, Counts: counts}
	if outcome.Status == jobs.Done {
		answer.Done = outcome.Tasks
	}
	h.host.Answer(request, false, answer)
}

// findArchived answers a query or a cancellation of a job whose record is not there, as of
// a read that began after the request came.
func (h *Handler) findArchived(request RequestID, id string, counts bool) {
	h.host.Archive().Find(id, false, func(verdict archive.Verdict, outcome archive.Answer) {
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
