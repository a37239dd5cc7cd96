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

// Operators say what they know of a zone by a record, so that every controller knows it and
// the next owner too.

const overridePrefix = keys.OverridePrefix

// OverridePrefixes are the prefixes of the keys that OperatorOverrides and OverrideWrite read.
var OverridePrefixes = []string{typePrefix, keys.TypePrefixWithArchive, overridePrefix}

// OperatorOverride is what an operator has said of a zone.
type OperatorOverride struct {
	Zone     string         `json:"-"`
	Override zones.Override `json:"word"`
}

// learnOverride takes an operator's word.
func (c *Core) learnOverride(e store.Event) error {
	var w OperatorOverride
	if e.Value != nil {
		if err := json.Unmarshal(e.Value, &w); err != nil {
			return err
		}
	}
	return c.zones.SetOverride(e.Key[len(overridePrefix):], w.Override)
}

// OperatorOverrides returns the words among the keys of the state service, by zone.
func OperatorOverrides(items map[string]store.Event) (out []OperatorOverride) {
	for _, k := range slices.Sorted(maps.Keys(items)) {
		if zone, ok := strings.CutPrefix(k, overridePrefix); ok {
			w := OperatorOverride{Zone: zone}
			if json.Unmarshal(items[k].Value, &w) == nil {
				out = append(out, w)
			}
		}
	}
	return out
}

// OverrideWrite returns the write that stores an operator's word of a zone, given the keys of the
// state service. A zone in which no type of machine is offered is an error that names those
// in which one is.
func OverrideWrite(items map[string]store.Event, zone string, word zones.Override) (*store.Write, error) {
	known := map[string]bool{}
	for k, e := range items {
		var t fleet.Type
		if (strings.HasPrefix(k, typePrefix) || strings.HasPrefix(k, keys.TypePrefixWithArchive)) && json.Unmarshal(e.Value, &t) == nil {
			for _, z := range t.Zones {
				known[z] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(known))
	if err := zones.ValidateOverride(names, zone, word); err != nil {
		return nil, err
	}
	key := overridePrefix + zone
	ch := store.Change{Key: key}
	if word != zones.NoOverride {
		ch.Value = store.Value(OperatorOverride{Override: word})
	}
	return &store.Write{Guards: []store.Guard{{Key: key, Version: items[key].Stamp}}, Changes: []store.Change{ch}}, nil
}
