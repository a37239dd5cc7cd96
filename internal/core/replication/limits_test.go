package replication

import (
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeOwner is the owner of a full shard with standby "b". Its records are stored at once.
type fakeOwner struct {
	sent    []Message
	answers map[int]bool // by number: whether it was sent (false: refused)
	t       *testing.T
}

func (h *fakeOwner) Candidate() string                           { return "b" }
func (h *fakeOwner) Eligible(string) bool                        { return true }
func (h *fakeOwner) Send(_ string, m Message)                    { h.sent = append(h.sent, m) }
func (h *fakeOwner) Machines() []string                          { return nil }
func (h *fakeOwner) SnapshotMachine(name string) MachineSnapshot { return MachineSnapshot{Name: name} }
func (h *fakeOwner) UnstoredTasks() []FinishedTasks              { return nil }
func (h *fakeOwner) Store(_ Record, done func(ok bool))          { done(true) }
func (h *fakeOwner) Answer(a any, ok bool) {
	if _, twice := h.answers[a.(int)]; twice {
		h.t.Errorf("answer %d is sent or refused twice", a)
	}
	h.answers[a.(int)] = ok
}

// TestDeferredAnswersAreBounded defers one answer for each machine of a full shard, and one
// more. A lower bound would refuse starts of a full shard. The answer beyond the bound must be
// refused at once, and the others must be sent as soon as the standby has acknowledged them.
func TestDeferredAnswersAreBounded(t *testing.T) {
	if maxDeferredAnswers < 4096 {
		t.Errorf("at most %d answers are deferred, want 4096 or more", maxDeferredAnswers)
	}
	host := &fakeOwner{answers: map[int]bool{}, t: t}
	primary, standby := NewPrimary(0, 1, host), NewStandby(1)
	now := units.Second
	settle := func() {
		for range 100 {
			now += FlushInterval
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
		t.Fatal("no standby is stored")
	}
	for i := range maxDeferredAnswers + 1 {
		if !primary.DeferAnswer(now, string(rune('a'+i%26))+"-"+string(rune('a'+i/26)), i) {
			t.Fatalf("answer %d is not deferred", i)
		}
	}
	if ok, given := host.answers[maxDeferredAnswers]; len(host.answers) != 1 || !given || ok {
		t.Fatalf("answers before the standby has acknowledged any: %v", host.answers)
	}
	settle()
	for i := range maxDeferredAnswers {
		if !host.answers[i] {
			t.Fatalf("answer %d of %d is not sent", i, fleet.FullShardMachines)
		}
	}
}
