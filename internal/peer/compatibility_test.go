package peer

import (
	"bytes"
	"encoding/gob"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// TestDecodeFramesOfOlderRelease checks that frames recorded from the release before job dependencies can still
// be decoded. Otherwise controllers could not communicate during a rolling upgrade.
func TestDecodeFramesOfOlderRelease(t *testing.T) {
	b, err := os.ReadFile("testdata/production-frames.json")
	if err != nil {
		t.Fatal(err)
	}
	var frames map[string]string
	if err := json.Unmarshal(b, &frames); err != nil {
		t.Fatal(err)
	}
	spec := &jobs.Spec{Class: "train", Team: "vision", Priority: jobs.High, Tasks: 1500, Demand: binpack.Vec{4000, 0, 16000}, Types: []string{"g8"},
		Zone: "a", OneZone: true, Spot: true, Image: "img-07", ImageMB: 6200, Estimate: 240e6, Checkpoint: 30e6, Save: 4e6, Deadline: 900e6}
	for name, want := range map[string]any{
		"status":     core.PeerStatus{StateAge: 7, Seat: 41, Sent: 12345678, Blocks: []core.ShardStatus{{Block: 1, Share: 9, Use: 0.25}, {Block: 0, Share: 3, Use: -1}}},
		"deaf":       core.PeerStatus{StateAge: 7, Deaf: true},
		"promise":    core.PeerLeaseGrant{Seat: 41, Sent: 12345678},
		"permit_ask": core.TakeoverVoteRequest{Node: "stagehand-2", Seat: 17},
		"permit":     core.TakeoverVote{Node: "stagehand-2", Seat: 17},
		"release":    core.ReleaseRequest{Block: 2, Grant: 77},
		"ask":        core.ForwardedRequest{ID: 5, Kind: core.RequestSubmit, Job: "wk-000412", Spec: spec},
		"answer":     core.ForwardedResponse{ID: 5, Code: 201, Body: &core.JobAnswer{ID: "wk-000412", Status: jobs.Pending, Counts: true, Done: 3, Running: 2}},
		"refusal":    core.ForwardedResponse{ID: 6, Code: 503, Text: "try again", RetryAfter: 1e6},
	} {
		raw, err := hex.DecodeString(frames[name])
		if err != nil {
			t.Fatal(err)
		}
		from, m, err := Decode(bytes.NewReader(raw))
		if err != nil || from != "stagehand-1" || !reflect.DeepEqual(m, want) {
			t.Errorf("%s: %q %+v %v", name, from, m, err)
		}
		delete(frames, name)
	}
	if len(frames) > 0 {
		t.Errorf("recorded frames without a test case: %v", frames)
	}
}

// Message types of the older release, for messages that have gained fields since.
type (
	oldStatus struct {
		StateAge units.Microseconds
		Seat     uint64
		Sent     units.Microseconds
		Deaf     bool
		Blocks   []core.ShardStatus
	}
	oldSpec struct {
		Class    string
		Tasks    int
		Demand   binpack.Vec
		Deadline units.Microseconds
	}
	oldAck struct {
		Block         int
		Token, Run, N uint64
	}
	oldAsk struct {
		ID   uint64
		Kind core.RequestKind
		Job  string
		Spec *oldSpec
	}
)

// TestOlderReleaseDecodesMessages checks that the types of the older release can decode current messages. gob
// skips fields that the receiver's type does not have.
func TestOlderReleaseDecodesMessages(t *testing.T) {
	var b bytes.Buffer
	enc, dec := gob.NewEncoder(&b), gob.NewDecoder(&b)
	if err := enc.Encode(core.PeerStatus{Seat: 4, Sent: 5, Release: 3, Config: 7, ConfigKnown: 8, Blocks: []core.ShardStatus{{Block: 1, Use: 0.5, Over: []string{"red"}}}}); err != nil {
		t.Fatal(err)
	}
	var s oldStatus
	if err := dec.Decode(&s); err != nil || s.Seat != 4 || s.Sent != 5 || len(s.Blocks) != 1 || s.Blocks[0].Use != 0.5 {
		t.Fatalf("%+v %v", s, err)
	}
	if err := enc.Encode(core.ReplicationAck{Block: 1, Token: 2, Run: 3, N: 4, Process: 5}); err != nil {
		t.Fatal(err)
	}
	var ack oldAck
	if err := dec.Decode(&ack); err != nil || ack != (oldAck{1, 2, 3, 4}) {
		t.Fatalf("%+v %v", ack, err)
	}
	if err := enc.Encode(core.ForwardedRequest{ID: 6, Job: "wk-000001", Spec: &jobs.Spec{Class: "x", Tasks: 3, Awaits: []string{"wk-000002"}}}); err != nil {
		t.Fatal(err)
	}
	var a oldAsk
	if err := dec.Decode(&a); err != nil || a.ID != 6 || a.Job != "wk-000001" || a.Spec == nil || a.Spec.Tasks != 3 {
		t.Fatalf("%+v %v", a, err)
	}
}
