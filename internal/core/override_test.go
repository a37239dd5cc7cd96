package core

import (
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/zones"
)

// TestClearedOverrideStaysCleared guards against a zone whose machines are given up again although the operator has
// taken the override back: late copies of the writes that stored it are carried out once more.
func TestClearedOverrideStaysCleared(t *testing.T) {
	items := map[string]store.Event{typePrefix + "big": {Key: typePrefix + "big", Value: store.Value(fleet.Type{Name: "big", Zones: []string{"a"}}), Stamp: 3}}
	revision := uint64(3)
	commit := func(write *store.Write) bool { // as the state service does
		change := write.Changes[0]
		if items[change.Key].Stamp != write.Guards[0].Version {
			return false
		}
		revision++
		if delete(items, change.Key); change.Value != nil {
			items[change.Key] = store.Event{Key: change.Key, Value: change.Value, Stamp: revision}
		}
		return true
	}
	var writes []*store.Write
	for _, override := range []zones.Override{zones.OverrideLost, zones.OverrideReturning, zones.NoOverride} {
		write, err := OverrideWrite(items, "a", override)
		if err != nil || !commit(write) {
			t.Fatalf("%q is not stored: %v", override, err)
		}
		writes = append(writes, write)
	}
	for _, write := range writes {
		if commit(write) {
			t.Errorf("a copy of the write of %s is carried out again", write.Changes[0].Value)
		}
	}
	if standing := OperatorOverrides(items); len(standing) > 0 {
		t.Errorf("overrides %v stand after they were cleared", standing)
	}
}

// TestOperatorOverride checks that an operator's override changes the state of its zone
// when its record is applied, and that one that takes it back clears it. An override for a
// zone without any machine type is refused with an error that names the known zones.
func TestOperatorOverride(t *testing.T) {
	items := map[string]store.Event{typePrefix + "big": {Key: typePrefix + "big", Value: store.Value(fleet.Type{Name: "big", Zones: []string{"a", "b"}}), Stamp: 3}}
	core := New(Config{Node: "c", Size: 1, Zones: []string{"a", "b"}, TxnOps: 4, ValueKB: 8, StateRate: 100, WriteRate: 50})
	setOverride := func(zone string, override zones.Override) error {
		write, err := OverrideWrite(items, zone, override)
		if err != nil {
			return err
		}
		change := write.Changes[0]
		if write.Guards[0].Version != items[change.Key].Stamp {
			t.Errorf("%s: guarded by version %d", zone, write.Guards[0].Version)
		}
		event := store.Event{Key: change.Key, Value: change.Value, Stamp: items[change.Key].Stamp + 1}
		items[change.Key] = event
		core.applyEvent(event)
		return nil
	}
	if err := setOverride("x", zones.OverrideLost); err == nil || !strings.Contains(err.Error(), "a, b") {
		t.Errorf("override for an unknown zone: %v", err)
	}
	for _, override := range []zones.Override{zones.OverrideLost, zones.OverrideReturning, zones.NoOverride} {
		if err := setOverride("b", override); err != nil {
			t.Fatal(err)
		}
		if core.zones.Lost("b") != (override == zones.OverrideLost) || core.zones.DeclaredReturning("b") != (override == zones.OverrideReturning) {
			t.Errorf("after %q: lost %v, returning %v", override, core.zones.Lost("b"), core.zones.DeclaredReturning("b"))
		}
	}
	if err := setOverride("b", "soon"); err == nil {
		t.Error("an unknown override was accepted")
	}
}
