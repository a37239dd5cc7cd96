package quota

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
)

// fakeHost is a shard whose allocation is half of every limit.
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

// TestUnreconciledMachinesCountAgainstLimit guards against exceeding a limit after a failover.
// The tasks on some machines are not known. The whole capacity of such a machine counts against
// every limit; if the capacity is not known either, a team with a limit may start nothing.
func TestUnreconciledMachinesCountAgainstLimit(t *testing.T) {
	known := &fleet.Machine{Type: &fleet.Type{Capacity: binpack.Vec{6000, 0, 0}}}
	for _, test := range []struct {
		name         string
		unreconciled map[string]bool
		team         string
		cpu          int64
		want         bool
	}{
		{"the shard's part of the limit", nil, "limited", 8000, true},
		{"above the shard's part of the limit", nil, "limited", 8001, false},
		{"with an unreconciled machine of known capacity", map[string]bool{"known": true}, "limited", 2000, true},
		{"above what that machine leaves", map[string]bool{"known": true}, "limited", 2001, false},
		{"an unreconciled machine of unknown type", map[string]bool{"untyped": true}, "limited", 1, false},
		{"an unreconciled machine without a record", map[string]bool{"missing": true}, "limited", 1, false},
		{"no limit", map[string]bool{"missing": true}, "free", 1_000_000, true},
		{"unknown team", nil, "other", 1, false},
	} {
		host := &fakeHost{machines: map[string]*fleet.Machine{"known": known, "untyped": {}}, unreconciled: test.unreconciled}
		tracker := New(host)
		tracker.UnreconciledChanged()
		tracker.Charge("limited", binpack.Vec{3000, 0, 0})
		tracker.Release("limited", binpack.Vec{1000, 0, 0})
		if got := tracker.Allows(test.team, binpack.Vec{test.cpu}); got != test.want {
			t.Errorf("%s: allowed %v, want %v", test.name, got, test.want)
		}
		if host.mayNotStart = true; tracker.Allows(test.team, binpack.Vec{}) {
			t.Errorf("%s: allowed although the configuration in force forbids starts", test.name)
		}
	}
}

// TestUsageBeyondAllocation guards against errors in the usage figures that the leader
// and preemption rely on, at the boundaries of the nominal quota and the allocation.
func TestUsageBeyondAllocation(t *testing.T) {
	tracker := New(&fakeHost{})
	if p := tracker.Allocation(binpack.Vec{20_000, 1, 0}); p != (binpack.Vec{10_000, 1, 0}) {
		t.Errorf("allocation %v, want half of each limit, and at least 1 where there is a limit", p)
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
			t.Errorf("usage %d: teams %v exceed their allocation", test.cpu, got)
		}
		if got := tracker.MaxUtilization(); got != test.use {
			t.Errorf("usage %d: utilization %g, want %g", test.cpu, got, test.use)
		}
		if got := tracker.ExceedsNominal("limited"); got != test.beyond {
			t.Errorf("usage %d: exceeds the nominal quota: %v", test.cpu, got)
		}
	}
}
