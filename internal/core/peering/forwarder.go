package peering

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
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
type Forwarder struct {
	sent        map[uint64]sentRequest
	lastSent    uint64
	remote      map[admission.RequestID]Origin
	lastRequest admission.RequestID
}

// sentRequest is a request of this controller's user that was forwarded to another controller.
type sentRequest struct {
	request  admission.RequestID
	deadline units.Microseconds
}

// Origin is the controller that forwarded a request, and the ID of the request there.
type Origin struct {
	Node string
	ID   uint64
}

// NewForwarder returns a forwarder without requests.
func NewForwarder() *Forwarder {
	return &Forwarder{sent: map[uint64]sentRequest{}, remote: map[admission.RequestID]Origin{}, lastRequest: firstRemoteRequest}
}

// IsRemote reports whether a request was forwarded by
// another controller. Such a request is not forwarded again.
func (f *Forwarder) IsRemote(request admission.RequestID) bool {
	_, remote := f.remote[request]
	return remote
}

// Full reports whether the maximum number of forwarded requests is reached.
func (f *Forwarder) Full() bool { return len(f.sent) >= maxForwarded }

// Send records that a request is forwarded, and returns the ID that its answer will have.
func (f *Forwarder) Send(now units.Microseconds, request admission.RequestID) uint64 {
	f.lastSent++
	f.sent[f.lastSent] = sentRequest{request, now + answerTimeout}
	return f.lastSent
}

// CompleteSent removes and returns the request that an answer is for.
// It returns false if the request has expired or was answered before.
func (f *Forwarder) CompleteSent(id uint64) (admission.RequestID, bool) {
	sent, waits := f.sent[id]
	delete(f.sent, id)
	return sent.request, waits
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
