package quota

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
)

// fakeHost is a shard with half of every limit.
type fakeHost struct {
	machines     map[string]*fleet.Machine
	unreconciled map[string]bool
	mayNotStart  bool
}

func (*fakeHost) Teams() map[string]*configuration.Team {
	return map[string]*configuration.Team{
		"limited": {Name: "limited", Guarantee: binpack.Vec{4000, 0, 0}, Limit: binpack.Vec{20_000, 1, 0}},
		"free":    {Name: "free"},
	}
}
func (*fakeHost) Allocation() float64                   { return 0.5 }
func (h *fakeHost) MayStart(string) bool                { return !h.mayNotStart }
func (h *fakeHost) Machines() map[string]*fleet.Machine { return h.machines }
func (h *fakeHost) Unreconciled() map[string]bool       { return h.unreconciled }

// TestUnreconciledMachinesCount has a machine whose tasks are not known: its whole capacity counts
// against every limit, and while that is not known either, nothing of a limited team starts.
func TestUnreconciledMachinesCount(t *testing.T) {
	known := &fleet.Machine{Type: &fleet.Type{Capacity: binpack.Vec{6000, 0, 0}}}
	for _, test := range []struct {
		name         string
		unreconciled map[string]bool
		team         string
		cpu          int64
		want         bool
	}{
		{"the shard's part of the limit", nil, "limited", 8000, true},
		{"one more than that", nil, "limited", 8001, false},
		{"beside a machine of known capacity", map[string]bool{"known": true}, "limited", 2000, true},
		{"one more than is sure to be free", map[string]bool{"known": true}, "limited", 2001, false},
		{"a machine whose type is not known", map[string]bool{"untyped": true}, "limited", 1, false},
		{"a machine that is not known at all", map[string]bool{"missing": true}, "limited", 1, false},
		{"no limit", map[string]bool{"missing": true}, "free", 1_000_000, true},
		{"a team that is not known", nil, "other", 1, false},
	} {
		host := &fakeHost{machines: map[string]*fleet.Machine{"known": known, "untyped": {}}, unreconciled: test.unreconciled}
		tracker := New(host)
		tracker.UnreconciledChanged()
		tracker.Charge("limited", binpack.Vec{3000, 0, 0})
		tracker.Release("limited", binpack.Vec{1000, 0, 0})
		if got := tracker.Allows(test.team, binpack.Vec{test.cpu}); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
		if host.mayNotStart = true; tracker.Allows(test.team, binpack.Vec{}) {
			t.Errorf("%s: starts though the configuration in force does not let it", test.name)
		}
	}
}

// TestUseBeyondTheAllocation reads the figures that the leader and preemption go by.
func TestUseBeyondTheAllocation(t *testing.T) {
	tracker := New(&fakeHost{})
	if p := tracker.Allocation(binpack.Vec{20_000, 1, 0}); p != (binpack.Vec{10_000, 1, 0}) {
		t.Errorf("allocation %v, want the half, and never 0 of what is limited", p)
	}
	for _, test := range []struct {
		cpu      int64
		exceeded []string
		use      float64
		beyond   bool
	}{{2000, nil, 0.1, false}, {4000, nil, 0.2, true}, {10_000, nil, 0.5, true}, {10_001, []string{"limited"}, 10_001. / 20_000, true}} {
		tracker.Release("limited", tracker.Usage("limited"))
		tracker.Charge("limited", binpack.Vec{test.cpu})
		if got := tracker.TeamsOverAllocation(); !slices.Equal(got, test.exceeded) {
			t.Errorf("%d: %v exceed their allocation", test.cpu, got)
		}
		if got := tracker.MaxUtilization(); got != test.use {
			t.Errorf("%d: use %g, want %g", test.cpu, got, test.use)
		}
		if got := tracker.ExceedsNominal("limited"); got != test.beyond {
			t.Errorf("%d: beyond the nominal quota: %v", test.cpu, got)
		}
	}
}
