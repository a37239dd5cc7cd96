package replication

import (
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// owner is an owner of a full shard that has a standby, whose records are stored at
// once.
type owner struct {
	sent    []Message
	answers map[int]bool // by number: whether it was let out
	t       *testing.T
}

func (h *owner) Candidate() string                          { return "b" }
func (h *owner) Eligible(string) bool                       { return true }
func (h *owner) Send(_ string, m Message)                   { h.sent = append(h.sent, m) }
func (h *owner) Machines() []string                         { return nil }
func (h *owner) SnapshotMachine(name string) MachinePicture { return MachinePicture{Name: name} }
func (h *owner) UnstoredTasks() []TasksDone                 { return nil }
func (h *owner) Store(_ Record, done func(ok bool))         { done(true) }
func (h *owner) Answer(a any, ok bool) {
	if _, twice := h.answers[a.(int)]; twice {
		h.t.Errorf("answer %d is given twice", a)
	}
	h.answers[a.(int)] = ok
}

// TestAnswersOfAFullShard has a start wait for each machine of a full shard, and one more: that
// one is refused at once, and the others are let out as soon as the standby knows of them.
func TestAnswersOfAFullShard(t *testing.T) {
	if maxWaiting < 4096 {
		t.Errorf("%d may wait", maxWaiting)
	}
	h := &owner{answers: map[int]bool{}, t: t}
	s, k := NewPrimary(0, 1, h), NewStandby()
	now := units.Second
	settle := func() {
		for range 100 {
			now += FlushEvery
			s.Tick(now, true)
			sent := h.sent
			h.sent = nil
			for _, m := range sent {
				s.OnAck(now, "b", k.Receive(m, func(string, int) bool { return false }))
			}
		}
	}
	settle()
	if s.Standby() != "b" {
		t.Fatal("there is no standby")
	}
	for i := range maxWaiting + 1 {
		if !s.DeferAnswer(now, string(rune('a'+i%26))+"-"+string(rune('a'+i/26)), i) {
			t.Fatalf("answer %d does not wait", i)
		}
	}
	if ok, given := h.answers[maxWaiting]; len(h.answers) != 1 || !given || ok {
		t.Fatalf("answers while the standby knows nothing: %v", h.answers)
	}
	settle()
	for i := range maxWaiting {
		if !h.answers[i] {
			t.Fatalf("answer %d of %d is not let out", i, fleet.FullShard)
		}
	}
}
