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
	host := &owner{answers: map[int]bool{}, t: t}
	primary, standby := NewPrimary(0, 1, host), NewStandby()
	now := units.Second
	settle := func() {
		for range 100 {
			now += FlushEvery
			primary.Tick(now, true)
			sent := host.sent
			host.sent = nil
			for _, m := range sent {
				primary.OnAck(now, "b", standby.Receive(m, func(string, int) bool { return false }))
			}
		}
	}
	settle()
	if primary.Standby() != "b" {
		t.Fatal("there is no standby")
	}
	for i := range maxWaiting + 1 {
		if !primary.DeferAnswer(now, string(rune('a'+i%26))+"-"+string(rune('a'+i/26)), i) {
			t.Fatalf("answer %d does not wait", i)
		}
	}
	if ok, given := host.answers[maxWaiting]; len(host.answers) != 1 || !given || ok {
		t.Fatalf("answers while the standby knows nothing: %v", host.answers)
	}
	settle()
	for i := range maxWaiting {
		if !host.answers[i] {
			t.Fatalf("answer %d of %d is not let out", i, fleet.FullShardMachines)
		}
	}
}
