package core

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/zones"
)

// Operators can override the state of a zone. The override is a record in the state service, so that every
// controller and every later owner of a shard knows it.

const overridePrefix = keys.OverridePrefix

// OverridePrefixes are the prefixes of the keys that OperatorOverrides and OverrideWrite read.
var OverridePrefixes = []string{typePrefix, keys.TypePrefixWithArchive, overridePrefix}

// OperatorOverride is an operator's override of a zone's state.
type OperatorOverride struct {
	Zone     string         `json:"-"`
	Override zones.Override `json:"word"`
}

// applyOverride applies a stored operator's override. A deleted record clears it.
func (c *Core) applyOverride(event store.Event) error {
	var stored OperatorOverride
	if event.Value != nil {
		if err := json.Unmarshal(event.Value, &stored); err != nil {
			return err
		}
	}
	return c.zones.SetOverride(event.Key[len(overridePrefix):], stored.Override)
}

// OperatorOverrides returns the overrides among the keys of the state service, sorted
// by zone. Records that cannot be decoded are left out.
func OperatorOverrides(items map[string]store.Event) (out []OperatorOverride) {
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if zone, ok := strings.CutPrefix(key, overridePrefix); ok {
			stored := OperatorOverride{Zone: zone}
			if json.Unmarshal(items[key].Value, &stored) == nil && stored.Override != zones.NoOverride {
				out = append(out, stored)
			}
		}
	}
	return out
}

// OverrideWrite returns the write that stores an operator's override of a zone, given the keys of the state
// service. A cleared override is stored too: if its record were deleted, a late copy of the write that stored the
// first override would be carried out again, since its guard is that there is none. OverrideWrite returns an error that
// names the known zones if no machine type is offered in the zone.
func OverrideWrite(items map[string]store.Event, zone string, override zones.Override) (*store.Write, error) {
	known := map[string]bool{}
	for itemKey, event := range items {
		var machineType fleet.Type
		if (strings.HasPrefix(itemKey, typePrefix) || strings.HasPrefix(itemKey, keys.TypePrefixWithArchive)) && json.Unmarshal(event.Value, &machineType) == nil {
			for _, zoneName := range machineType.Zones {
				known[zoneName] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(known))
	if err := zones.ValidateOverride(names, zone, override); err != nil {
		return nil, err
	}
	key := overridePrefix + zone
	change := store.Change{Key: key, Value: store.Value(OperatorOverride{Override: override})}
	return &store.Write{Guards: []store.Guard{{Key: key, Version: items[key].Stamp}}, Changes: []store.Change{change}}, nil
}
