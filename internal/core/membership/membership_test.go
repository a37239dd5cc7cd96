package membership

import (
	"encoding/json"
	"log/slog"
	"testing"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// noopHost is a host whose methods do nothing.
type noopHost struct{}

func (noopHost) Emit(any)                                           {}
func (noopHost) Store(*store.Write)                                 {}
func (noopHost) Version(string) uint64                              { return 0 }
func (noopHost) CacheAge() (since, age units.Microseconds, ok bool) { return 0, 0, true }
func (noopHost) Refresh()                                           {}
func (noopHost) RequestVotes(string, uint64)                        {}
func (noopHost) Joined()                                            {}
func (noopHost) Lost()                                              {}
func (noopHost) PeerRelease(string, int)                            {}

// TestMembershipNewerThanView asks for a membership that is newer than the one known of its controller, as
// the view may be older than an assignment. The membership may exist. It must count as expired only after
// everything that could extend it is over, or once a later membership of the controller is known.
func TestMembershipNewerThanView(t *testing.T) {
	registry := New(Config{Node: "a", Size: 3, TTL: 2 * units.Second, UnvotedExpiry: 20 * units.Second, Log: slog.New(slog.DiscardHandler)}, noopHost{})
	now := 100 * units.Second
	apply := func(memberID uint64) {
		t.Helper()
		if err := registry.ApplyRecord(now, "b", store.Event{Key: Prefix + "b", Value: json.RawMessage(`{"node":"b"}`), Stamp: memberID}); err != nil {
			t.Fatal(err)
		}
	}
	apply(5)
	if registry.Expired(now, "b", 5) || !registry.Expired(now, "b", 4) || registry.Expired(now, "b", 9) {
		t.Error("with membership 5 known, only 4 of 4, 5 and 9 must count as expired")
	}
	if now += 21 * units.Second; registry.Expired(now, "b", 9) {
		t.Error("a newer membership counts as expired while peer leases may extend it")
	}
	if now += 2 * units.Second; !registry.Expired(now, "b", 9) {
		t.Error("a newer membership never expires")
	}
	if apply(12); !registry.Expired(now, "b", 9) || registry.Expired(now, "b", 12) {
		t.Error("with membership 12 known, only 9 of 9 and 12 must count as expired")
	}
}

// fakeHost is a host with a given age of the state service's last answer.
type fakeHost struct {
	noopHost
	age units.Microseconds
}

func (o *fakeHost) CacheAge() (since, age units.Microseconds, ok bool) { return 0, o.age, true }

// TestPeerLeaseInOutage guards against shards without an owner when a membership expires just before an
// outage of the state service. All peers used to refuse it further peer leases, although no other
// controller can own its shards until the outage is over. A peer must still refuse if the state service
// serves it, if it has voted for the takeover or seen a later membership, or if it has started since
// and may have lost the memory of either.
func TestPeerLeaseInOutage(t *testing.T) {
	now := 100 * units.Second
	host := &fakeHost{}
	newRegistry := func(seen ...uint64) *Registry {
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
	if newRegistry(5, 0).GrantPeerLease(now, "b", 5) {
		t.Error("granted a peer lease to a deleted membership although the state service serves this controller")
	}
	host.age = 2 * units.Second
	for name, c := range map[string]struct {
		registry *Registry
		want     bool
	}{
		"seen to be deleted":       {newRegistry(5, 0), true},
		"seen to be deleted twice": {newRegistry(5, 0, 0), true},
		"a later one was deleted":  {newRegistry(5, 7, 0), false},
		"a later one exists":       {newRegistry(5, 0, 7), false},
		"started since":            {newRegistry(), false},
		"started since, listed":    {newRegistry(0), false},
	} {
		if got := c.registry.GrantPeerLease(now, "b", 5); got != c.want {
			t.Errorf("%s: peer lease granted: %v", name, got)
		}
	}
	registry := newRegistry(5, 0)
	if !registry.VoteRequested(now, "b", 5) || registry.GrantPeerLease(now, "b", 5) {
		t.Error("granted a peer lease to a membership for whose takeover this controller has voted")
	}
	if registry = newRegistry(5, 0); !registry.GrantPeerLease(now, "b", 5) || registry.VoteRequested(now, "b", 5) || registry.Expired(now+units.Second, "b", 5) {
		t.Error("voted for the takeover of a membership while its peer lease runs")
	}
	if now += 3 * units.Second; !registry.VoteRequested(now, "b", 5) {
		t.Error("a peer lease never ends")
	}
}
