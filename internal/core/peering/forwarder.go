package peering

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// answerWithin leaves a user who polls, and waits 2 s, time for an answer, also
	// where the controller that was asked stands still.
	answerWithin = 1 * units.Second
	// maxForwarded bounds the requests that are forwarded and not answered yet, and those of others
	// that this controller serves. It is a guard against overload: users beyond are told to come back.
	maxForwarded = 256
	// firstRemoteRequest keeps the numbers of others' requests apart from those of this controller's.
	firstRemoteRequest admission.RequestID = 1 << 62
)

// Forwarder keeps the users' requests that this controller has forwarded, and those that others have
// forwarded to it. Use NewForwarder.
type Forwarder struct {
	sent        map[uint64]sentRequest
	lastSent    uint64
	remote      map[admission.RequestID]Origin
	lastRequest admission.RequestID
}

// sentRequest is a request of a user of this controller that another is to answer.
type sentRequest struct {
	request admission.RequestID
	until   units.Microseconds
}

// Origin is where a remote request came from, and its number there.
type Origin struct {
	Node string
	ID   uint64
}

// NewForwarder returns a forwarder without requests.
func NewForwarder() *Forwarder {
	return &Forwarder{sent: map[uint64]sentRequest{}, remote: map[admission.RequestID]Origin{}, lastRequest: firstRemoteRequest}
}

// IsRemote reports whether a request was forwarded by another controller. It is not forwarded once
// more.
func (f *Forwarder) IsRemote(request admission.RequestID) bool {
	_, remote := f.remote[request]
	return remote
}

// Full reports whether no more requests may be forwarded at present.
func (f *Forwarder) Full() bool { return len(f.sent) >= maxForwarded }

// Send notes that a request is forwarded, and returns the number that its answer will have.
func (f *Forwarder) Send(now units.Microseconds, request admission.RequestID) uint64 {
	f.lastSent++
	f.sent[f.lastSent] = sentRequest{request, now + answerWithin}
	return f.lastSent
}

// CompleteSent returns the request that an answer is for; false: it has been given up, or is answered.
func (f *Forwarder) CompleteSent(id uint64) (admission.RequestID, bool) {
	sent, waits := f.sent[id]
	delete(f.sent, id)
	return sent.request, waits
}

// DrainExpired gives up the requests that no answer has come for in time, and returns them.
func (f *Forwarder) DrainExpired(now units.Microseconds) []admission.RequestID {
	var expired []admission.RequestID
	for _, id := range slices.Sorted(maps.Keys(f.sent)) {
		if sent := f.sent[id]; now >= sent.until {
			delete(f.sent, id)
			expired = append(expired, sent.request)
		}
	}
	return expired
}

// Receive takes a request that another controller has forwarded, and returns its number here; false:
// there are too many.
func (f *Forwarder) Receive(origin Origin) (admission.RequestID, bool) {
	if len(f.remote) >= maxForwarded {
		return 0, false
	}
	f.lastRequest++
	f.remote[f.lastRequest] = origin
	return f.lastRequest, true
}

// FinishRemote returns where the answer to a request goes; false: to a user of this controller.
func (f *Forwarder) FinishRemote(request admission.RequestID) (Origin, bool) {
	origin, remote := f.remote[request]
	delete(f.remote, request)
	return origin, remote
}
