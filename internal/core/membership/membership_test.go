package membership

import (
	"encoding/json"
	"log/slog"
	"testing"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// nobody is a host that needs nothing.
type nobody struct{}

func (nobody) Emit(any)                                           {}
func (nobody) Store(*store.Write)                                 {}
func (nobody) Version(string) uint64                              { return 0 }
func (nobody) CacheAge() (since, age units.Microseconds, ok bool) { return 0, 0, true }
func (nobody) Refresh()                                           {}
func (nobody) RequestVotes(string, uint64)                        {}
func (nobody) Joined()                                            {}
func (nobody) Lost()                                              {}
func (nobody) PeerRelease(string, int)                            {}

// TestOlderView asks for a membership that is newer than what is known of its controller: it may
// stand, and counts as ended only when whatever could carry it is over, or a later one is
// there.
func TestOlderView(t *testing.T) {
	registry := New(Config{Node: "a", Size: 3, TTL: 2 * units.Second, UnvotedExpiry: 20 * units.Second, Log: slog.New(slog.DiscardHandler)}, nobody{})
	now := 100 * units.Second
	learn := func(memberID uint64) {
		t.Helper()
		if err := registry.ApplyRecord(now, "b", store.Event{Key: Prefix + "b", Value: json.RawMessage(`{"node":"b"}`), Stamp: memberID}); err != nil {
			t.Fatal(err)
		}
	}
	learn(5)
	if registry.Expired(now, "b", 5) || !registry.Expired(now, "b", 4) || registry.Expired(now, "b", 9) {
		t.Error("of seats 4, 5 and 9, with 5 known, only 4 has ended")
	}
	if now += 21 * units.Second; registry.Expired(now, "b", 9) {
		t.Error("a newer membership counts as expired while peer leases may carry it")
	}
	if now += 2 * units.Second; !registry.Expired(now, "b", 9) {
		t.Error("a newer membership never expires")
	}
	if learn(12); !registry.Expired(now, "b", 9) || registry.Expired(now, "b", 12) {
		t.Error("of seats 9 and 12, with 12 known, only 9 has ended")
	}
}

// outage is a host that the state service serves or not.
type outage struct {
	nobody
	age units.Microseconds
}

func (o *outage) CacheAge() (since, age units.Microseconds, ok bool) { return 0, o.age, true }

// TestPeerLeaseInOutage has a seat end just before an outage of the state service. Its holder was
// given up by all, and all leases ran out, though nobody could hold what it held until the
// outage was over. Whom the service serves does not promise; nor whoever has helped to end the
// seat, has seen another in its place, or has begun since and may have forgotten either.
func TestPeerLeaseInOutage(t *testing.T) {
	now := 100 * units.Second
	host := &outage{}
	begin := func(seen ...uint64) *Registry {
		registry := New(Config{Node: "a", Size: 3, TTL: 2 * units.Second, UnvotedExpiry: 20 * units.Second, MajorityExtension: 6 * units.Second, Log: slog.New(slog.DiscardHandler)}, host)
		for _, id := range seen {
			e := store.Event{Key: Prefix + "b", Stamp: id}
			if id != 0 {
				e.Value = json.RawMessage(`{"node":"b"}`)
			}
			if err := registry.ApplyRecord(now, "b", e); err != nil {
				t.Fatal(err)
			}
		}
		return registry
	}
	host.age = 0
	if begin(5, 0).GrantPeerLease(now, "b", 5) {
		t.Error("leased to a membership that is gone, though the service serves this controller")
	}
	host.age = 2 * units.Second
	for name, c := range map[string]struct {
		s    *Registry
		want bool
	}{
		"seen to go":          {begin(5, 0), true},
		"seen to go, twice":   {begin(5, 0, 0), true},
		"a later one is gone": {begin(5, 7, 0), false},
		"a later one":         {begin(5, 0, 7), false},
		"begun since":         {begin(), false},
		"begun since, listed": {begin(0), false},
	} {
		if got := c.s.GrantPeerLease(now, "b", 5); got != c.want {
			t.Errorf("%s: leased %v", name, got)
		}
	}
	registry := begin(5, 0)
	if !registry.VoteRequested(now, "b", 5) || registry.GrantPeerLease(now, "b", 5) {
		t.Error("leased to a membership for whose takeover this controller has voted")
	}
	if registry = begin(5, 0); !registry.GrantPeerLease(now, "b", 5) || registry.VoteRequested(now, "b", 5) || registry.Expired(now+units.Second, "b", 5) {
		t.Error("voted for the takeover of a membership that a peer lease runs for")
	}
	if now += 3 * units.Second; !registry.VoteRequested(now, "b", 5) {
		t.Error("a peer lease never ends")
	}
}
