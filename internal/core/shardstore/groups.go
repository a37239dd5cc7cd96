package shardstore

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
)

// machineGroup is a group of machines that were provisioned together. They are stored in one record.
type machineGroup struct {
	key      string
	template fleet.Group // record of the group without its machines
	members  []string    // machine names; those that left the shard are dropped when the group is next stored
	queued   bool        // the group is in changedGroups
	urgent   bool        // a machine that is up waits for the group to be stored
}

// AddMachine adds a machine to a group, and creates the group from the template if it is new. That alone
// stores nothing.
func (w *Writer) AddMachine(key, name string, template fleet.Group) {
	group := w.groups[key]
	if group == nil {
		group = &machineGroup{key: key, template: template}
		w.groups[key] = group
	}
	group.members = append(group.members, name)
}

// StoreGroup schedules a group to be stored in the state that it has when it is written. Tasks may start only
// on machines that the shard's next owner would know of, so a write is urgent if a machine that is up waits
// for it.
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

// StoreAllGroups schedules every group to be stored again, as the state service may have lost it.
func (w *Writer) StoreAllGroups() {
	for _, key := range slices.Sorted(maps.Keys(w.groups)) {
		w.StoreGroup(key, true)
	}
}

// flushUrgentGroups writes the urgent groups and returns the remaining capacity.
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

// flushGroups writes the other groups and returns the remaining capacity.
func (w *Writer) flushGroups(capacity int) int {
	for capacity > 0 && len(w.changedGroups) > 0 {
		capacity--
		group := w.changedGroups[0]
		w.changedGroups = w.changedGroups[1:]
		w.writeGroup(group)
	}
	return capacity
}

// writeGroup stores the present state of a group. A group without machines is deleted.
func (w *Writer) writeGroup(group *machineGroup) {
	group.queued, group.urgent = false, false
	record := w.groupRecord(group)
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

// groupRecord returns the record of a group that is to be stored. A machine counts as up from its first
// heartbeat on: from then on tasks may start on it.
func (w *Writer) groupRecord(group *machineGroup) fleet.Group {
	record := group.template
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

// groupWritten handles the outcome of storing a group. up holds the machines that were stored as up.
func (w *Writer) groupWritten(group *machineGroup, change store.Change, up []string, outcome store.Outcome) {
	switch {
	case outcome == store.TooLarge: // a retry would be just as large
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
