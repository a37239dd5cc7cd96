package peering

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// processID is the process ID of the forwarders in these tests, and processID-earlierProcesses
// that of an earlier process.
const (
	processID        = 1 << 40
	earlierProcesses = 1 << 20
)

// TestForwardedRequestEndsOnce guards against a user's request that ends twice
// or never: requests are forwarded, answered, answered again and expired in
// any order. Each ends once, and at most maxForwarded are open at a time.
func TestForwardedRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forwarder := NewForwarder(processID, guard.None)
		now := units.Microseconds(0)
		sent := uint64(0)
		ended := map[admission.RequestID]bool{}
		end := func(request admission.RequestID) {
			if ended[request] {
				t.Fatalf("request %d ends twice", request)
			}
			ended[request] = true
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if forwarder.Full() {
					t.Skip("maxForwarded requests are open")
				}
				sent++
				if id := forwarder.Send(now, "b", admission.Request{ID: admission.RequestID(sent)}).ID; id != processID+sent {
					t.Fatalf("forwarded request has ID %d, want %d", id, processID+sent)
				}
			},
			"answer": func(t *rapid.T) {
				id := processID + rapid.Uint64Range(0, sent+1).Draw(t, "id")
				if request, ok := forwarder.CompleteSent("b", ForwardedResponse{ID: id}); ok {
					end(request)
				}
			},
			"time": func(*rapid.T) {
				now += answerTimeout / 4
				for _, request := range forwarder.DrainExpired(now) {
					end(request)
				}
			},
		})
		for _, request := range forwarder.DrainExpired(now + answerTimeout) {
			end(request)
		}
		if len(ended) != int(sent) {
			t.Fatalf("%d of %d requests have ended after the timeout", len(ended), sent)
		}
	})
}

// TestAnswerBelongsToRequest guards against a user who gets another user's answer. An answer counts only if it
// has the ID of an open request, comes from the controller that the request was sent to, and names its job.
func TestAnswerBelongsToRequest(t *testing.T) {
	const job, otherJob = "wk-000001", "wk-000002"
	for name, test := range map[string]struct {
		from   string
		id     uint64 // relative to the process ID
		body   *admission.JobAnswer
		answer bool
	}{
		"the answer":                   {"b", 1, &admission.JobAnswer{ID: job}, true},
		"a refusal, which has no job":  {"b", 1, nil, true},
		"of another controller":        {"c", 1, &admission.JobAnswer{ID: job}, false},
		"a refusal of another one":     {"c", 1, nil, false},
		"about another job":            {"b", 1, &admission.JobAnswer{ID: otherJob}, false},
		"to a request never sent":      {"b", 2, &admission.JobAnswer{ID: job}, false},
		"to an earlier process's one":  {"b", ^uint64(earlierProcesses) + 1, &admission.JobAnswer{ID: job}, false},
		"a refusal of an earlier one":  {"b", ^uint64(earlierProcesses) + 1, nil, false},
		"to request 0 of this process": {"b", 0, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			forwarder := NewForwarder(processID, guard.None)
			forwarder.Send(0, "b", admission.Request{ID: 7, Job: job})
			request, ok := forwarder.CompleteSent(test.from, ForwardedResponse{ID: processID + test.id, Body: test.body})
			if ok != test.answer || ok && request != 7 {
				t.Errorf("taken for the answer to request %d: %v", request, ok)
			}
			if _, again := forwarder.CompleteSent("b", ForwardedResponse{ID: processID + 1}); again == ok {
				t.Errorf("the request is open: %v", again)
			}
		})
	}
}

// TestForwardedRequestsAreBounded guards against overload by too many forwarded requests:
// Full must report true once maxForwarded are open, and false as soon as one has ended.
func TestForwardedRequestsAreBounded(t *testing.T) {
	forwarder := NewForwarder(0, guard.None)
	for id := range uint64(maxForwarded) {
		if forwarder.Full() {
			t.Fatalf("full with %d requests", id)
		}
		forwarder.Send(0, "b", admission.Request{ID: admission.RequestID(id)})
	}
	if !forwarder.Full() {
		t.Error("not full at the bound")
	}
	if forwarder.CompleteSent("b", ForwardedResponse{ID: 1}); forwarder.Full() {
		t.Error("full although one has ended")
	}
}

// TestRemoteRequestsAreBounded guards against overload by other controllers' requests:
// one beyond maxForwarded must be refused, and accepted as soon as one has ended.
func TestRemoteRequestsAreBounded(t *testing.T) {
	forwarder := NewForwarder(0, guard.None)
	for id := range uint64(maxForwarded) {
		request, ok := forwarder.Receive(Origin{"b", id})
		if !ok || !forwarder.IsRemote(request) {
			t.Fatalf("request %d: %v", id, ok)
		}
	}
	if _, ok := forwarder.Receive(Origin{"b", maxForwarded}); ok {
		t.Error("a request beyond the bound is accepted")
	}
	if origin, remote := forwarder.FinishRemote(firstRemoteRequest + 1); !remote || origin != (Origin{"b", 0}) {
		t.Errorf("finished %+v, %v", origin, remote)
	}
	if _, ok := forwarder.Receive(Origin{"b", maxForwarded}); !ok {
		t.Error("no request is accepted although one has ended")
	}
}

// TestUpgradeSettleTime guards against use of a feature while messages of
// an older release may still arrive: after the last controller's upgrade,
// AllUpgradedFor must report false until the settle time has passed.
func TestUpgradeSettleTime(t *testing.T) {
	const settleTime = 600 * units.Second
	directory := NewDirectory(Config{Node: "a", Peers: []string{"b"}})
	directory.SetRelease("b", ReleaseArchive-1)
	directory.TrackOlderReleases(1000 * units.Second)
	if directory.OlderThan(ReleaseArchive) != "b" || directory.OlderThan(ReleaseArchive-1) != "" {
		t.Error("OlderThan does not return the controller of the older release")
	}
	directory.SetRelease("b", Release)
	for now, want := range map[units.Microseconds]bool{1599 * units.Second: false, 1600 * units.Second: true} {
		directory.TrackOlderReleases(now)
		if got := directory.AllUpgradedFor(now, ReleaseArchive, settleTime); got != want {
			t.Errorf("AllUpgradedFor at %g s: %v", now.Seconds(), got)
		}
	}
}
