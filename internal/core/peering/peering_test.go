package peering

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/units"
)

// TestForwardedRequestEndsOnce guards against a user's request that ends twice
// or never: requests are forwarded, answered, answered again and expired in
// any order. Each ends once, and at most maxForwarded are open at a time.
func TestForwardedRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forwarder := NewForwarder()
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
				if id := forwarder.Send(now, admission.RequestID(sent)); id != sent {
					t.Fatalf("forwarded request has ID %d, want %d", id, sent)
				}
			},
			"answer": func(t *rapid.T) {
				if request, ok := forwarder.CompleteSent(rapid.Uint64Range(0, sent+1).Draw(t, "id")); ok {
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

// TestForwardedRequestsAreBounded guards against overload by too many forwarded requests:
// Full must report true once maxForwarded are open, and false as soon as one has ended.
func TestForwardedRequestsAreBounded(t *testing.T) {
	forwarder := NewForwarder()
	for id := range uint64(maxForwarded) {
		if forwarder.Full() {
			t.Fatalf("full with %d requests", id)
		}
		forwarder.Send(0, admission.RequestID(id))
	}
	if !forwarder.Full() {
		t.Error("not full at the bound")
	}
	if forwarder.CompleteSent(1); forwarder.Full() {
		t.Error("full although one has ended")
	}
}

// TestRemoteRequestsAreBounded guards against overload by other controllers' requests:
// one beyond maxForwarded must be refused, and accepted as soon as one has ended.
func TestRemoteRequestsAreBounded(t *testing.T) {
	forwarder := NewForwarder()
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
