package liveness

import (
	"testing"

	"shalestage.example/shalestage/internal/core/units"
)

// TestShouldReleaseShards has a controller receive no heartbeats. With many machines a short time is
// evidence enough that it is unreachable; with few, or before the first heartbeat, it takes two
// intervals. A controller that has released its shards for this reason must do so again only if another
// is known to be reachable, or much later: otherwise the leases of deleted machines would not
// expire under one owner.
func TestShouldReleaseShards(t *testing.T) {
	const interval, lease = 4 * units.Second, 10 * units.Second
	for _, test := range []struct {
		name           string
		noHeartbeatFor units.Microseconds
		heartbeat      bool
		up             int
		releasedAt     units.Microseconds // time of an earlier release; 0 for none
		peer           bool
		want           bool
	}{
		{"a heartbeat's time", 2 * units.Second, true, manyMachines, 0, true, false},
		{"many machines, at the bound", 3 * units.Second, true, manyMachines, 0, true, false},
		{"many machines, past it", 3*units.Second + TickInterval, true, manyMachines, 0, true, true},
		{"few machines", 3*units.Second + TickInterval, true, manyMachines - 1, 0, true, false},
		{"no heartbeat yet", 3*units.Second + TickInterval, false, manyMachines, 0, true, false},
		{"few machines, for long", 9*units.Second + TickInterval, true, 1, 0, true, true},
		{"no machine", 100 * units.Second, true, 0, 0, true, false},
		{"released recently, no reachable peer", 100 * units.Second, true, 1, 50 * units.Second, false, false},
		{"released recently, reachable peer", 100 * units.Second, true, 1, 50 * units.Second, true, true},
		{"just before shards may be released again", 100 * units.Second, true, 1, 20*units.Second + 1, false, false},
		{"shards may be released again", 100 * units.Second, true, 1, 20 * units.Second, false, true},
	} {
		reachability := NewReachability(interval, lease)
		if test.releasedAt > 0 {
			reachability.ShardsReleased(test.releasedAt)
		}
		reachability.ShardAcquired()
		if test.heartbeat {
			reachability.HeartbeatReceived()
			reachability.HeartbeatAccepted()
		}
		now := units.Microseconds(0)
		for ; now < test.noHeartbeatFor; now += TickInterval {
			reachability.Tick(now + TickInterval)
		}
		if test.releasedAt > 0 {
			now = 100 * units.Second
		}
		if got := reachability.ShouldReleaseShards(now, test.up, func() bool { return test.peer }); got != test.want {
			t.Errorf("%s: should release shards: %v", test.name, got)
		}
	}
}

// TestPausedProcessStaysReachable guards against counting the time for which the process was paused: a
// single late tick must not make the controller release its shards.
func TestPausedProcessStaysReachable(t *testing.T) {
	reachability := NewReachability(4*units.Second, 10*units.Second)
	reachability.Tick(units.Second)
	reachability.Tick(100 * units.Second)
	if reachability.ShouldReleaseShards(100*units.Second, 1, func() bool { return true }) {
		t.Error("one late tick made the controller release its shards")
	}
}

// TestUnreachableAfterRelease checks that a controller which released its shards counts as unreachable
// until the first heartbeat, or until unreachableFor has passed.
func TestUnreachableAfterRelease(t *testing.T) {
	reachability := NewReachability(4*units.Second, 10*units.Second)
	reachability.ShardsReleased(units.Second)
	if !reachability.Unreachable(2*units.Second) || reachability.Unreachable(units.Second+unreachableFor) {
		t.Error("does not count as unreachable for exactly unreachableFor")
	}
	reachability.HeartbeatReceived()
	if reachability.Unreachable(2 * units.Second) {
		t.Error("still unreachable after a heartbeat")
	}
}
