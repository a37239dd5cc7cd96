package shardstore

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
)

// machineGroup is how machines that were provisioned together are stored.
type machineGroup struct {
	key     string
	kind    fleet.Group // without its machines
	members []string    // those that the shard has no more are dropped when the group is next stored
	queued  bool        // is among those to be stored
	urgent  bool        // a machine that is up waits for it
}

// AddMachine notes that a machine belongs to a group, which is of this kind where it is new.
// Nothing is stored for that alone.
func (w *Writer) AddMachine(key, name string, kind fleet.Group) {
	group := w.groups[key]
	if group == nil {
		group = &machineGroup{key: key, kind: kind}
		w.groups[key] = group
	}
	group.members = append(group.members, name)
}

// StoreGroup has a group stored soon as it is by then. Tasks may start only on machines that a
// next owner would know of: where one that is up waits for that, it is urgent.
func (w *Writer) StoreGroup(key string, urgent bool) {
	group := w.groups[key]
	if group == nil {
		return
	}
	group.urgent = group.urgent || urgent
	if !group.queued {
		group.queued = true
		w.changedGroups = append(w.changedGroups, group)
	}
}

// StoreAllGroups has every group stored again, as the state service may have lost it.
func (w *Writer) StoreAllGroups() {
	for _, key := range slices.Sorted(maps.Keys(w.groups)) {
		w.StoreGroup(key, true)
	}
}

// flushUrgentGroups writes the groups that machines wait for and returns the capacity left.
func (w *Writer) flushUrgentGroups(capacity int) int {
	var rest []*machineGroup
	for _, group := range w.changedGroups {
		if group.urgent && capacity > 0 {
			capacity--
			w.writeGroup(group)
		} else {
			rest = append(rest, group)
		}
	}
	w.changedGroups = rest
	return capacity
}

// flushGroups writes the other groups and returns the capacity left.
func (w *Writer) flushGroups(capacity int) int {
	for capacity > 0 && len(w.changedGroups) > 0 {
		capacity--
		group := w.changedGroups[0]
		w.changedGroups = w.changedGroups[1:]
		w.writeGroup(group)
	}
	return capacity
}

// writeGroup stores a group as it is now; without machines it is deleted.
func (w *Writer) writeGroup(group *machineGroup) {
	group.queued, group.urgent = false, false
	record := w.record(group)
	change := store.Change{Key: group.key}
	if len(group.members) > 0 {
		change.Value = store.Value(record)
	} else if w.host.Version(group.key) == 0 {
		delete(w.groups, group.key) // it was never stored
		return
	}
	done := func(outcome store.Outcome) { w.groupWritten(group, change, record.Up, outcome) }
	w.Write(done, []string{group.key}, change)
}

// record is a group as it is to be stored. A machine counts as up from its first heartbeat on:
// from then on tasks may start there.
func (w *Writer) record(group *machineGroup) fleet.Group {
	record := group.kind
	group.members = slices.DeleteFunc(group.members, func(name string) bool {
		machine := w.host.Machine(name)
		return machine == nil || machine.Group != group.key
	})
	for _, name := range group.members {
		if machine := w.host.Machine(name); machine.LastSeen != 0 || machine.Record.Up {
			record.Up = append(record.Up, name)
		} else {
			record.Booting = append(record.Booting, name)
		}
	}
	return record
}

// groupWritten takes the outcome of storing a group with some machines as up.
func (w *Writer) groupWritten(group *machineGroup, change store.Change, up []string, outcome store.Outcome) {
	switch {
	case outcome == store.TooLarge: // not again as it is
	case outcome != store.OK:
		w.StoreGroup(group.key, len(up) > 0)
	case change.Value == nil:
		w.host.GroupDeleted(group.key)
		if len(group.members) == 0 {
			delete(w.groups, group.key)
		}
	default:
		for _, name := range up {
			if machine := w.host.Machine(name); machine != nil {
				machine.Record.Up = true
			}
		}
	}
}
