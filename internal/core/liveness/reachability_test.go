package liveness

import (
	"testing"

	"shalestage.example/shalestage/internal/core/units"
)

// TestUnreachable has a controller go without heartbeats. Of many machines a short while without
// tells; of few, or before any heartbeat came, it takes two intervals. A controller that has released
// its shards for that does so again only where another is known to be reachable, or much later.
func TestUnreachable(t *testing.T) {
	const interval, lease = 4 * units.Second, 10 * units.Second
	for _, test := range []struct {
		name       string
		quietFor   units.Microseconds
		heartbeat  bool
		up         int
		releasedAt units.Microseconds // before
		peer       bool
		want       bool
	}{
		{"a heartbeat's time", 2 * units.Second, true, manyMachines, 0, true, false},
		{"many machines, at the bound", 3 * units.Second, true, manyMachines, 0, true, false},
		{"many machines, past it", 3*units.Second + TickInterval, true, manyMachines, 0, true, true},
		{"few machines", 3*units.Second + TickInterval, true, manyMachines - 1, 0, true, false},
		{"no heartbeat yet", 3*units.Second + TickInterval, false, manyMachines, 0, true, false},
		{"few machines, for long", 9*units.Second + TickInterval, true, 1, 0, true, true},
		{"no machine", 100 * units.Second, true, 0, 0, true, false},
		{"released lately, nobody better off", 100 * units.Second, true, 1, 50 * units.Second, false, false},
		{"released lately, another reachable", 100 * units.Second, true, 1, 50 * units.Second, true, true},
		{"released not quite long ago", 100 * units.Second, true, 1, 20*units.Second + 1, false, false},
		{"released long ago", 100 * units.Second, true, 1, 20 * units.Second, false, true},
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
		for ; now < test.quietFor; now += TickInterval {
			reachability.Tick(now + TickInterval)
		}
		if test.releasedAt > 0 {
			now = 100 * units.Second
		}
		if got := reachability.ShouldReleaseShards(now, test.up, func() bool { return test.peer }); got != test.want {
			t.Errorf("%s: unreachable %v", test.name, got)
		}
	}
}

// TestTimeThatANodeStoodStill says nothing of the workers: a single late tick does not count whole.
func TestTimeThatANodeStoodStill(t *testing.T) {
	reachability := NewReachability(4*units.Second, 10*units.Second)
	reachability.Tick(units.Second)
	reachability.Tick(100 * units.Second)
	if reachability.ShouldReleaseShards(100*units.Second, 1, func() bool { return true }) {
		t.Error("one late tick made this node unreachable")
	}
}

// TestUnreachableNow ends with the first heartbeat, or after a while.
func TestUnreachableNow(t *testing.T) {
	reachability := NewReachability(4*units.Second, 10*units.Second)
	reachability.ShardsReleased(units.Second)
	if !reachability.Unreachable(2*units.Second) || reachability.Unreachable(units.Second+unreachableFor) {
		t.Error("unreachable for another time than unreachableFor")
	}
	reachability.HeartbeatReceived()
	if reachability.Unreachable(2 * units.Second) {
		t.Error("unreachable in spite of a heartbeat")
	}
}
