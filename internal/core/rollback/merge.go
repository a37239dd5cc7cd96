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

// merge reports whether the known value of a key is newer than the listed one, and returns
// the value to be stored. listed is nil if the key is not listed. A known value that cannot
// be decoded is never newer; one that can be decoded is newer than a listed one that cannot.
func merge(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
	if listed == nil {
		return known.Value, true
	}
	switch {
	case strings.HasPrefix(known.Key, keys.JobPrefix):
		return known.Value, isNewer(known.Value, listed, jobs.DecodeRecord, isLaterRecord)
	case strings.HasPrefix(known.Key, keys.MachinePrefix):
		return mergeGroups(known, listed)
	case strings.HasPrefix(known.Key, keys.AssignmentPrefix):
		return known.Value, isNewer(known.Value, listed, authority.DecodeAssignment, isLaterAssignment)
	case known.Key == keys.ArchiveMark:
		return known.Value, isNewer(known.Value, listed, decode[archive.Mark], func(a, b archive.Mark) bool { return a.Cutoff > b.Cutoff })
	case known.Key == keys.Term:
		return known.Value, isNewer(known.Value, listed, decode[authority.Term], func(a, b authority.Term) bool { return a.Term > b.Term })
	}
	return nil, false
}

// isNewer reports whether the known value is newer than the listed one.
func isNewer[T any](known, listed json.RawMessage, decode func([]byte) (T, error), more func(known, listed T) bool) bool {
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

// isLaterRecord reports whether the known record of a job is later than the
// listed one. A final status is later than anything else. So is a migration
// to another shard: no controller that knew of it has moved the job since.
func isLaterRecord(known, listed jobs.Record) bool {
	return !listed.Status.Final() && (known.Status.Final() || known.Shard != listed.Shard)
}

// isLaterAssignment reports whether a shard's known record is of a later assignment
// than the listed one, or of the same assignment after the shard was released.
func isLaterAssignment(known, listed authority.Assignment) bool {
	a, b := authority.FencingToken(known.Term, known.Number), authority.FencingToken(listed.Term, listed.Number)
	return a > b || a == b && known.ReleasedBy != "" && listed.ReleasedBy == ""
}

// mergeGroups merges two records of a group of machines. A machine that
// is up in either is up in the result, because tasks may run on it.
func mergeGroups(known store.Event, listed json.RawMessage) (json.RawMessage, bool) {
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
