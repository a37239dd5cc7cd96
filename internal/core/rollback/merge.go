package rollback

import (
	"encoding/json"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// merge reports whether a value that is known here says more than the listed one (nil:
// none), and returns what should be stored. A known value that cannot be read says nothing;
// one that can says more than a listed one that cannot.
func merge(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	if listed == nil {
		return known.Value, true
	}
	switch {
	case strings.HasPrefix(known.Key, keys.JobPrefix):
		return known.Value, says(known.Value, listed, jobs.DecodeRecord, laterRecord)
	case strings.HasPrefix(known.Key, keys.MachinePrefix):
		return joinGroups(known, listed)
	case strings.HasPrefix(known.Key, keys.AssignmentPrefix):
		return known.Value, says(known.Value, listed, authority.DecodeAssignment, laterAssignment)
	case known.Key == keys.ArchiveMark:
		return known.Value, says(known.Value, listed, decode[archive.Mark], func(a, b archive.Mark) bool { return a.Cutoff > b.Cutoff })
	case known.Key == keys.Term:
		return known.Value, says(known.Value, listed, decode[authority.Term], func(a, b authority.Term) bool { return a.Term > b.Term })
	}
	return nil, false
}

// says reports whether the known value says more than the listed one.
func says[T any](known, listed json.RawMessage, decode func([]byte) (T, error), more func(known, listed T) bool) bool {
	a, err := decode(known)
	if err != nil {
		return false
	}
	b, err := decode(listed)
	return err != nil || more(a, b)
}

func decode[T any](value []byte) (T, error) {
	var out T
	err := json.Unmarshal(value, &out)
	return out, err
}

// laterRecord: an end says more than whatever else was stored meanwhile. So does a migration
// to another shard: nobody who knew of it has moved the job since.
func laterRecord(known, listed jobs.Record) bool {
	return !listed.Status.Final() && (known.Status.Final() || known.Shard != listed.Shard)
}

// laterAssignment reports whether a shard's record is of a later assignment than another, or
// of the same after the shard was released.
func laterAssignment(known, listed authority.Assignment) bool {
	a, b := authority.FencingToken(known.Term, known.Number), authority.FencingToken(listed.Term, listed.Number)
	return a > b || a == b && known.ReleasedBy != "" && listed.ReleasedBy == ""
}

// joinGroups joins two records of machines: on all that either calls up, tasks may run.
func joinGroups(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	request := known.Key[len(keys.MachinePrefix):]
	group, err := fleet.DecodeGroup(request, known.Value)
	if err != nil {
		return known.Value, false
	}
	joined, err := fleet.DecodeGroup(request, listed)
	if err != nil {
		return known.Value, true
	}
	more := false
	for _, name := range group.Up {
		if slices.Contains(joined.Up, name) {
			continue
		}
		more = true
		joined.Up = append(joined.Up, name)
		joined.Booting = slices.DeleteFunc(joined.Booting, func(booting string) bool { return booting == name })
	}
	return store.Value(joined), more
}
