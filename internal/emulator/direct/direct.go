// Package direct turns the types of the controllers' transactions into those of the
// model of the state service and back, for who speaks to the model without a network.
package direct

import (
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/emulator/kv"
)

// Txn returns a transaction as the model takes it.
func Txn(t *store.Txn) kv.Txn {
	var out kv.Txn
	for _, g := range t.Guards {
		out.Guards = append(out.Guards, kv.Guard{Key: g.Key, Version: g.Version})
	}
	for _, c := range t.Changes {
		out.Changes = append(out.Changes, kv.Change{Key: c.Key, Value: c.Value, Lease: c.Lease})
	}
	return out
}

// Items returns the keys of a listing as controllers take them.
func Items(items []kv.Item) []store.Event {
	var out []store.Event
	for _, it := range items {
		out = append(out, store.Event{Key: it.Key, Value: it.Value, Stamp: it.Version})
	}
	return out
}

// Events returns changes as controllers take them.
func Events(events []kv.Event) []store.Event {
	var out []store.Event
	for _, e := range events {
		out = append(out, store.Event{Key: e.Key, Value: e.Value, Stamp: e.Version})
	}
	return out
}
