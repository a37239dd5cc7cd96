package core

import (
	"net/http"
	"testing"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/units"
)

// unservedCore is a controller that the state service does not serve, and that forwards requests to controller b.
type unservedCore struct {
	*Core
	t       *testing.T
	replies map[RequestID]Reply
}

// newUnservedCore starts a process of the controller.
func newUnservedCore(t *testing.T, processID uint64) *unservedCore {
	core := &unservedCore{Core: New(Config{Node: "a", ProcessID: processID, Size: 3, Peers: []string{"b", "c"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50}),
		t: t, replies: map[RequestID]Reply{}}
	core.Tick(2*peering.ServedTimeout, 1000*units.Second)
	core.receive("b", PeerStatus{Release: peering.Release})
	return core
}

// receive passes a controller's message to the core, and collects the replies to users.
func (c *unservedCore) receive(from string, message any) {
	c.OnPeer(c.now, from, message)
	for _, effect := range c.Drain() {
		if reply, ok := effect.(Reply); ok {
			c.replies[reply.Request] = reply
		}
	}
}

// submit submits a job and returns the message that forwards the submission.
func (c *unservedCore) submit(request RequestID, job string) ForwardedRequest {
	c.t.Helper()
	c.Submit(c.now, request, job, testSpec(), "")
	for _, effect := range c.Drain() {
		if sent, ok := effect.(SendPeer); ok && sent.Node == "b" {
			if forwarded, ok := sent.Message.(ForwardedRequest); ok {
				return forwarded
			}
		}
	}
	c.t.Fatalf("the submission of %s is not forwarded", job)
	return ForwardedRequest{}
}

// accepted is the answer to a forwarded submission as every release sends it: only the number tells the request.
func accepted(request ForwardedRequest) ForwardedResponse {
	return ForwardedResponse{ID: request.ID, Code: http.StatusCreated, Body: &admission.JobAnswer{ID: request.Job, Status: jobs.Pending}}
}

// TestRestartedControllerIgnoresLateAnswers guards against the loss of an accepted job: a user was told that the
// job is accepted by the answer to another job, or the same one, that an earlier process had forwarded.
func TestRestartedControllerIgnoresLateAnswers(t *testing.T) {
	const user RequestID = 7
	earlier := newUnservedCore(t, 1<<40)
	late := []ForwardedResponse{
		accepted(earlier.submit(1, "wk-000001")), accepted(earlier.submit(2, "wk-000002")),
		{ID: earlier.submit(3, "wk-000003").ID, Code: http.StatusNotFound, Text: "no such job"},
	}
	restarted := newUnservedCore(t, 1<<50)
	var own ForwardedRequest
	for i, job := range []string{"wk-000002", "wk-000004", "wk-000005"} {
		own = restarted.submit(user+RequestID(i), job)
	}
	for _, answer := range late {
		restarted.receive("b", answer)
	}
	if len(restarted.replies) != 0 {
		t.Errorf("users got the answers to an earlier process's requests: %+v", restarted.replies)
	}
	restarted.receive("c", accepted(own))
	other := own
	other.Job = "wk-000009"
	restarted.receive("b", accepted(other))
	if len(restarted.replies) != 0 {
		t.Errorf("users got answers of another controller, or about another job: %+v", restarted.replies)
	}
	restarted.receive("b", accepted(own))
	answer, _ := restarted.replies[user+2].Body.(JobAnswer)
	if len(restarted.replies) != 1 || restarted.replies[user+2].Code != http.StatusCreated || answer.ID != own.Job {
		t.Errorf("the answer to its own request: %+v", restarted.replies)
	}
}
