package peering

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// answerTimeout is shorter than the 2 s for which a polling user waits, so that there is time
	// left for an answer if the controller that received the forwarded request does not respond.
	answerTimeout = 1 * units.Second
	// maxForwarded bounds the forwarded requests that are not answered yet,
	// and separately the requests of other controllers that this one serves.
	// It protects against overload: users beyond it are told to retry later.
	maxForwarded = 256
	// firstRemoteRequest is the start of the range of IDs for other controllers'
	// requests, which keeps them apart from the IDs of this controller's own requests.
	firstRemoteRequest admission.RequestID = 1 << 62
)

// Forwarder keeps the users' requests that this controller has forwarded
// to others, and those that others have forwarded to it. Use NewForwarder.
//
// An answer carries the ID of its request alone, and may come after this process has replaced the one that
// sent the request. So the IDs of each process start from a random number of its own: an answer to a request of
// an earlier process has an ID that this one does not use. That holds for answers of all releases.
type Forwarder struct {
	sent        map[uint64]sentRequest
	lastSent    uint64
	remote      map[admission.RequestID]Origin
	lastRequest admission.RequestID
	// answerAnyOrigin disables the check of an answer's controller and job; only tests set it.
	answerAnyOrigin bool
}

// sentRequest is a request of this controller's user that was forwarded to another controller.
type sentRequest struct {
	request  admission.RequestID
	job      string
	to       string // the other controller
	deadline units.Microseconds
}

// answeredBy reports whether an answer that a controller has sent is the answer to this request.
func (r sentRequest) answeredBy(from string, answer ForwardedResponse) bool {
	return r.to == from && (answer.Body == nil || answer.Body.ID == r.job)
}

// Origin is the controller that forwarded a request, and the ID of the request there.
type Origin struct {
	Node string
	ID   uint64
}

// NewForwarder returns a forwarder without requests. processID is a random number that no other
// process of this controller has. skipped is a check to leave out; only tests leave one out.
func NewForwarder(processID uint64, skipped guard.Guard) *Forwarder {
	f := &Forwarder{sent: map[uint64]sentRequest{}, lastSent: processID, remote: map[admission.RequestID]Origin{}, lastRequest: firstRemoteRequest}
	if skipped == guard.AnswerOrigin {
		f.lastSent, f.answerAnyOrigin = 0, true
	}
	return f
}

// IsRemote reports whether a request was forwarded by
// another controller. Such a request is not forwarded again.
func (f *Forwarder) IsRemote(request admission.RequestID) bool {
	_, remote := f.remote[request]
	return remote
}

// Full reports whether the maximum number of forwarded requests is reached.
func (f *Forwarder) Full() bool { return len(f.sent) >= maxForwarded }

// Send records that a request is forwarded to another controller, and returns the message that forwards it.
func (f *Forwarder) Send(now units.Microseconds, to string, request admission.Request) ForwardedRequest {
	f.lastSent++
	f.sent[f.lastSent] = sentRequest{request: request.ID, job: request.Job, to: to, deadline: now + answerTimeout}
	return ForwardedRequest{ID: f.lastSent, Kind: request.Kind, Job: request.Job, Spec: request.Spec, Bad: request.Malformed}
}

// CompleteSent removes and returns the request that another controller's answer is for. It returns false
// if the request has expired or was answered before, or if the answer is for no request of this process.
func (f *Forwarder) CompleteSent(from string, answer ForwardedResponse) (admission.RequestID, bool) {
	sent, waits := f.sent[answer.ID]
	if !waits || !sent.answeredBy(from, answer) && !f.answerAnyOrigin {
		return 0, false
	}
	delete(f.sent, answer.ID)
	return sent.request, true
}

// DrainExpired removes and returns the forwarded requests that were not answered in time.
func (f *Forwarder) DrainExpired(now units.Microseconds) []admission.RequestID {
	var expired []admission.RequestID
	for _, id := range slices.Sorted(maps.Keys(f.sent)) {
		if sent := f.sent[id]; now >= sent.deadline {
			delete(f.sent, id)
			expired = append(expired, sent.request)
		}
	}
	return expired
}

// Receive records a request that another controller has forwarded,
// and returns its ID here. It returns false if there are too many.
func (f *Forwarder) Receive(origin Origin) (admission.RequestID, bool) {
	if len(f.remote) >= maxForwarded {
		return 0, false
	}
	f.lastRequest++
	f.remote[f.lastRequest] = origin
	return f.lastRequest, true
}

// FinishRemote removes a request and returns where its answer goes.
// It returns false if the request is of a user of this controller.
func (f *Forwarder) FinishRemote(request admission.RequestID) (Origin, bool) {
	origin, remote := f.remote[request]
	delete(f.remote, request)
	return origin, remote
}
