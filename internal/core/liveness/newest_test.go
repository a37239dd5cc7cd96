package liveness

import (
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
)

// TestNewestHeartbeats guards against late copies of heartbeats that count as new ones: they kept a shard of
// deleted machines passing from owner to owner.
func TestNewestHeartbeats(t *testing.T) {
	newest := NewestHeartbeats{}
	for i, test := range []struct {
		machine          string
		incarnation, seq uint64
		want             bool
	}{{"n-1", 1, 5, true}, {"n-1", 1, 5, false}, {"n-1", 1, 4, false}, {"n-2", 1, 4, true}, {"n-1", 1, 6, true}, {"n-1", 2, 1, true}, {"n-1", 1, 7, false}, {"n-1", 2, 2, true}} {
		if got := newest.Record(&fleet.Heartbeat{Machine: test.machine, Incarnation: test.incarnation, Seq: test.seq}); got != test.want {
			t.Errorf("heartbeat %d: newer %v", i, got)
		}
	}
	newest.Forget("n-1")
	newest.Forget("n-2")
	if len(newest) != 0 {
		t.Errorf("%v is left", newest)
	}
}
