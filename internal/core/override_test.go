package core

import (
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/zones"
)

// An operator's word reaches the picture of the zones by its record and is taken back by its
// removal; one about a zone in which nothing is offered is refused with those that there are.
func TestOperatorOverride(t *testing.T) {
	items := map[string]store.Event{typePrefix + "big": {Key: typePrefix + "big", Value: store.Value(fleet.Type{Name: "big", Zones: []string{"a", "b"}}), Stamp: 3}}
	core := New(Config{Node: "c", Size: 1, Zones: []string{"a", "b"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50})
	say := func(zone string, w zones.Override) error {
		x, err := OverrideWrite(items, zone, w)
		if err != nil {
			return err
		}
		ch := x.Changes[0]
		if x.Guards[0].Version != items[ch.Key].Stamp {
			t.Errorf("%s: guarded by %d", zone, x.Guards[0].Version)
		}
		e := store.Event{Key: ch.Key, Value: ch.Value, Stamp: items[ch.Key].Stamp + 1}
		items[ch.Key] = e
		core.learn(e)
		return nil
	}
	if err := say("x", zones.OverrideLost); err == nil || !strings.Contains(err.Error(), "a, b") {
		t.Errorf("a zone that does not exist: %v", err)
	}
	for _, w := range []zones.Override{zones.OverrideLost, zones.OverrideReturning, zones.NoOverride} {
		if err := say("b", w); err != nil {
			t.Fatal(err)
		}
		if core.zones.Lost("b") != (w == zones.OverrideLost) || core.zones.DeclaredReturning("b") != (w == zones.OverrideReturning) {
			t.Errorf("after %q: lost %v, returning %v", w, core.zones.Lost("b"), core.zones.DeclaredReturning("b"))
		}
	}
	if err := say("b", "soon"); err == nil {
		t.Error("a word that says nothing is stored")
	}
}
