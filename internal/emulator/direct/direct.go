// Package direct converts between the types of the state service's client in controllers and those of the service's
// model. Simulations and tests use it to call the model without a network.
package direct

import (
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/emulator/kv"
)

// Txn converts a transaction of a controller to one of the model.
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

// Items converts the items of a listing to the events that controllers process.
func Items(items []kv.Item) []store.Event {
	var out []store.Event
	for _, it := range items {
		out = append(out, store.Event{Key: it.Key, Value: it.Value, Stamp: it.Version})
	}
	return out
}

// Events converts the model's changes to the events that controllers process.
func Events(events []kv.Event) []store.Event {
	var out []store.Event
	for _, e := range events {
		out = append(out, store.Event{Key: e.Key, Value: e.Value, Stamp: e.Version})
	}
	return out
}
