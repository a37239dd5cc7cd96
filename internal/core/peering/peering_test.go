package peering

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/units"
)

// TestForwardedRequestEndsOnce has requests forwarded, answered, answered again and given up in any
// order: each ends once, and never more than maxForwarded wait.
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
					t.Skip("as many wait as may")
				}
				sent++
				if id := forwarder.Send(now, admission.RequestID(sent)); id != sent {
					t.Fatalf("number %d, want %d", id, sent)
				}
			},
			"answer": func(t *rapid.T) {
				if request, ok := forwarder.CompleteSent(rapid.Uint64Range(0, sent+1).Draw(t, "id")); ok {
					end(request)
				}
			},
			"time": func(*rapid.T) {
				now += answerWithin / 4
				for _, request := range forwarder.DrainExpired(now) {
					end(request)
				}
			},
		})
		for _, request := range forwarder.DrainExpired(now + answerWithin) {
			end(request)
		}
		if len(ended) != int(sent) {
			t.Fatalf("%d of %d requests have ended", len(ended), sent)
		}
	})
}

// TestForwardedRequestsAreBounded has a controller forward as many requests as may wait.
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
		t.Error("full though one has ended")
	}
}

// TestRemoteRequestsAreBounded has more requests come from other controllers than are served at once.
func TestRemoteRequestsAreBounded(t *testing.T) {
	forwarder := NewForwarder()
	for id := range uint64(maxForwarded) {
		request, ok := forwarder.Receive(Origin{"b", id})
		if !ok || !forwarder.IsRemote(request) {
			t.Fatalf("request %d: %v", id, ok)
		}
	}
	if _, ok := forwarder.Receive(Origin{"b", maxForwarded}); ok {
		t.Error("one more than the bound is taken")
	}
	if origin, remote := forwarder.FinishRemote(firstRemoteRequest + 1); !remote || origin != (Origin{"b", 0}) {
		t.Errorf("finished %+v, %v", origin, remote)
	}
	if _, ok := forwarder.Receive(Origin{"b", maxForwarded}); !ok {
		t.Error("none is taken though one has ended")
	}
}

// TestReleasesSettle has a controller of an older release go: only after the settling time does it
// count that all have run the later one.
func TestReleasesSettle(t *testing.T) {
	const settleTime = 600 * units.Second
	directory := NewDirectory(Config{Node: "a", Peers: []string{"b"}})
	directory.SetRelease("b", ReleaseArchive-1)
	directory.TrackOlderReleases(1000 * units.Second)
	if directory.OlderThan(ReleaseArchive) != "b" || directory.OlderThan(ReleaseArchive-1) != "" {
		t.Error("the older controller is not named")
	}
	directory.SetRelease("b", Release)
	for now, want := range map[units.Microseconds]bool{1599 * units.Second: false, 1600 * units.Second: true} {
		directory.TrackOlderReleases(now)
		if got := directory.AllUpgradedFor(now, ReleaseArchive, settleTime); got != want {
			t.Errorf("at %g s: %v", now.Seconds(), got)
		}
	}
}
