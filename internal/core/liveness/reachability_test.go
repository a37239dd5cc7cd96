package liveness

import (
	"testing"

	"shalestage.example/shalestage/internal/core/units"
)

const testInterval = 4 * units.Second // between heartbeats of a machine

// ownerFor returns the Reachability of a controller that has owned a shard for the given time. If heartbeat is
// set, a worker reached it at the beginning.
func ownerFor(owned units.Microseconds, heartbeat bool) Reachability {
	reachability := NewReachability(testInterval)
	reachability.ShardAcquired()
	if heartbeat {
		reachability.HeartbeatReceived()
		reachability.HeartbeatAccepted()
	}
	for now := units.Microseconds(0); now < owned; now += TickInterval {
		reachability.Tick(now + TickInterval)
	}
	return reachability
}

// TestShouldReleaseShards has a controller receive no heartbeats. With many machines a short time is
// evidence enough that it is unreachable; with few, or before the first heartbeat, it takes two intervals. It
// must not release its shards where no other controller can be better off.
func TestShouldReleaseShards(t *testing.T) {
	responsive := []PeerReach{{RedirectedFor: units.MaxTime}}
	for _, test := range []struct {
		name           string
		noHeartbeatFor units.Microseconds
		heartbeat      bool
		up             int
		peers          []PeerReach
		want           bool
	}{
		{"a heartbeat's time", 2 * units.Second, true, manyMachines, responsive, false},
		{"many machines, at the bound", 3 * units.Second, true, manyMachines, responsive, false},
		{"many machines, past it", 3*units.Second + TickInterval, true, manyMachines, responsive, true},
		{"few machines", 3*units.Second + TickInterval, true, manyMachines - 1, responsive, false},
		{"no heartbeat yet", 3*units.Second + TickInterval, false, manyMachines, []PeerReach{{RedirectedFor: units.Second}}, false},
		{"few machines, at the bound", 9 * units.Second, true, 1, responsive, false},
		{"few machines, for long", 9*units.Second + TickInterval, true, 1, responsive, true},
		{"no machine", 100 * units.Second, true, 0, responsive, false},
		{"no other controller", 100 * units.Second, true, 1, nil, false},
		{"only an unreachable one", 100 * units.Second, true, 1, []PeerReach{{RedirectedFor: units.MaxTime, Unreachable: true}}, false},
		{"a silent one that has tried before the last heartbeat", 100 * units.Second, true, 1, []PeerReach{{Silent: true, Tried: true}}, true},
	} {
		reachability := ownerFor(test.noHeartbeatFor, test.heartbeat)
		if got := reachability.ShouldReleaseShards(test.up, test.peers); got != test.want {
			t.Errorf("%s: should release shards: %v", test.name, got)
		}
	}
}

// TestUnreachedOwnerNeedsEvidence guards against shards that are passed on for ever, so that the leases of
// deleted machines never expire: an owner that no worker has reached releases its shards only to a controller
// that a worker has reached meanwhile, or to one that says nothing and has not tried. Waiting alone changes
// nothing.
func TestUnreachedOwnerNeedsEvidence(t *testing.T) {
	for _, owned := range []units.Microseconds{10 * units.Second, 200 * units.Second, 4000 * units.Second} {
		for _, test := range []struct {
			name string
			peer PeerReach
			want bool
		}{
			{"no worker has reached it", PeerReach{RedirectedFor: units.MaxTime}, false},
			{"a worker has, before this controller acquired the shard", PeerReach{RedirectedFor: owned}, false},
			{"a worker has", PeerReach{RedirectedFor: owned - units.Second}, true},
			{"a worker has, long after it released the shard itself", PeerReach{RedirectedFor: owned - units.Second, Tried: true}, true},
			{"silent, has not tried", PeerReach{Silent: true, RedirectedFor: units.MaxTime}, true},
			{"silent, has tried", PeerReach{Silent: true, RedirectedFor: units.MaxTime, Tried: true}, false},
			{"silent, its last status is no evidence", PeerReach{Silent: true, RedirectedFor: units.Second, Tried: true}, false},
		} {
			reachability := ownerFor(owned, false)
			if got := reachability.ShouldReleaseShards(manyMachines, []PeerReach{test.peer}); got != test.want {
				t.Errorf("%s, owner for %.0f s: should release shards: %v", test.name, owned.Seconds(), got)
			}
		}
	}
}

// TestPausedProcessStaysReachable guards against counting the time for which the process was paused: a
// single late tick must not make the controller release its shards.
func TestPausedProcessStaysReachable(t *testing.T) {
	reachability := NewReachability(testInterval)
	reachability.HeartbeatAccepted()
	reachability.Tick(units.Second)
	reachability.Tick(100 * units.Second)
	if reachability.ShouldReleaseShards(1, []PeerReach{{RedirectedFor: units.MaxTime}}) {
		t.Error("one late tick made the controller release its shards")
	}
}

// TestUnreachableAfterRelease checks that a controller which released its shards counts as unreachable
// until the first heartbeat, or until unreachableFor has passed.
func TestUnreachableAfterRelease(t *testing.T) {
	reachability := NewReachability(testInterval)
	reachability.ShardsReleased(units.Second)
	if !reachability.Unreachable(2*units.Second) || reachability.Unreachable(units.Second+unreachableFor) {
		t.Error("does not count as unreachable for exactly unreachableFor")
	}
	reachability.HeartbeatReceived()
	if reachability.Unreachable(2 * units.Second) {
		t.Error("still unreachable after a heartbeat")
	}
}
