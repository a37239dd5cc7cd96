package rollback

import (
	"encoding/json"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// TestMergeKeepsNewerValue guards against a rewrite of an older value over a newer one: a known value
// may replace a listed one only if it is newer, and only for kinds of keys whose values can be compared.
func TestMergeKeepsNewerValue(t *testing.T) {
	spec := &jobs.Spec{Tasks: 1}
	pending := jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: spec}.Encode()
	migrated := jobs.Record{Status: jobs.Pending, Shard: 1, Tasks: 1, Spec: spec}.Encode()
	done := jobs.Record{Status: jobs.Done, Tasks: 1}.Encode()
	assignment := func(number uint64, releasedBy string) json.RawMessage {
		return store.Value(authority.Assignment{Term: 1, Number: number, ReleasedBy: releasedBy})
	}
	garbage := json.RawMessage(`"?"`)
	for name, test := range map[string]struct {
		key           string
		known, listed json.RawMessage
		want          bool
	}{
		"not listed":                     {keys.OverridePrefix + "z", garbage, nil, true},
		"a key that cannot be compared":  {keys.OverridePrefix + "z", pending, garbage, false},
		"a job's final record":           {keys.Job("wk-000001"), done, pending, true},
		"a final record is listed":       {keys.Job("wk-000001"), pending, done, false},
		"a migration":                    {keys.Job("wk-000001"), migrated, pending, true},
		"the same job":                   {keys.Job("wk-000001"), pending, pending, false},
		"listed record is unreadable":    {keys.Job("wk-000001"), pending, garbage, true},
		"known record is unreadable":     {keys.Job("wk-000001"), garbage, pending, false},
		"a later assignment":             {keys.Assignment(0), assignment(2, ""), assignment(1, ""), true},
		"an earlier assignment":          {keys.Assignment(0), assignment(1, "a"), assignment(2, ""), false},
		"a release":                      {keys.Assignment(0), assignment(1, "a"), assignment(1, ""), true},
		"a release is listed":            {keys.Assignment(0), assignment(1, ""), assignment(1, "a"), false},
		"a higher term":                  {keys.Term, store.Value(authority.Term{Term: 3}), store.Value(authority.Term{Term: 2}), true},
		"a lower term":                   {keys.Term, store.Value(authority.Term{Term: 2}), store.Value(authority.Term{Term: 3}), false},
		"a higher cut of the archive":    {keys.ArchiveMark, store.Value(archive.Mark{Cutoff: 3}), store.Value(archive.Mark{Cutoff: 2}), true},
		"a lower cut of the archive":     {keys.ArchiveMark, store.Value(archive.Mark{Cutoff: 2}), store.Value(archive.Mark{Cutoff: 3}), false},
		"listed machines cannot be read": {keys.MachinePrefix + "r-1", store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}), garbage, true},
		"known machines cannot be read":  {keys.MachinePrefix + "r-1", garbage, store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}), false},
		"a machine that is listed as up": {keys.MachinePrefix + "r-1", store.Value(fleet.Group{Type: "big", Zone: "z", Booting: []string{"n-1"}}), store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1"}}), false},
		"a quota allocation":             {keys.Allocation(0), store.Value(authority.QuotaAllocation{Fraction: 1}), store.Value(authority.QuotaAllocation{}), false},
	} {
		value, got := merge(store.Event{Key: test.key, Value: test.known}, test.listed)
		if got != test.want || got && string(value) != string(test.known) {
			t.Errorf("%s: newer %v, merged value %s", name, got, value)
		}
	}
}

// TestMergedMachinesAreUp guards against the loss of machines on which tasks may run:
// a machine that is up in the known or the listed record must be up in the merged one.
func TestMergedMachinesAreUp(t *testing.T) {
	key := keys.MachinePrefix + "r-1"
	known := store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-1", "n-2"}, Booting: []string{"n-3"}})
	listed := store.Value(fleet.Group{Type: "big", Zone: "z", Up: []string{"n-3"}, Booting: []string{"n-1"}})
	value, more := merge(store.Event{Key: key, Value: known}, listed)
	group, err := fleet.DecodeGroup("r-1", value)
	if err != nil || !more {
		t.Fatalf("newer %v, %v", more, err)
	}
	slices.Sort(group.Up)
	if !slices.Equal(group.Up, []string{"n-1", "n-2", "n-3"}) || len(group.Booting) != 0 {
		t.Fatalf("%+v", group)
	}
}

// rewriter is a state service whose writes end with the outcome that a test chooses.
type rewriter struct {
	Host
	version uint64
	writes  []*store.Write
	reads   []func(ok bool)
}

func (r *rewriter) Store(w *store.Write)          { r.writes = append(r.writes, w) }
func (r *rewriter) ReadFresh(ended func(ok bool)) { r.reads = append(r.reads, ended) }
func (r *rewriter) Version(string) uint64         { return r.version }

// TestRewriteRetriesUntilStored guards against a lost value that is not restored, and against one written
// over another controller's change: the write is retried until the value is stored or the key was changed.
func TestRewriteRetriesUntilStored(t *testing.T) {
	for name, test := range map[string]struct {
		outcome store.Outcome
		read    bool
		version uint64 // version that the read shows
		again   bool
	}{
		"stored":                      {store.OK, true, 7, false},
		"too large to be stored":      {store.TooLarge, true, 7, false},
		"refused, key unchanged":      {store.Refused, true, 7, true},
		"in doubt, key changed":       {store.Unknown, true, 8, false},
		"in doubt, read failed":       {store.Unknown, false, 8, true},
		"conflict, key changed":       {store.Failed, true, 8, false},
		"conflict, read failed":       {store.Failed, false, 7, true},
		"conflict, key deleted since": {store.Failed, true, 7, false},
	} {
		host := &rewriter{version: 7}
		r := New(host, nil)
		r.Rewrite(store.Event{Key: "k", Stamp: 7})
		if w := host.writes[0]; !w.First || w.Guards[0].Version != 7 {
			t.Errorf("%s: %+v", name, w)
		}
		host.writes[0].Done(test.outcome, 0)
		host.version = test.version
		for _, ended := range host.reads {
			ended(test.read)
		}
		if again := len(host.writes) == 2; again != test.again {
			t.Errorf("%s: written again %v", name, again)
		}
	}
}

// TestAuthorityKeysAreNotRewritten guards against the restoration of an expired authority: the log
// must leave out memberships, leader records and standby records, which only their owners write.
func TestAuthorityKeysAreNotRewritten(t *testing.T) {
	r := New(nil, nil)
	for _, key := range []string{keys.Leader, keys.LeaderSinceArchive, keys.MemberPrefix + "a", keys.Standby(0)} {
		r.RecordChange(store.Event{Key: key, Value: json.RawMessage("{}"), Stamp: 1})
	}
	if lost := r.changes.Lost(nil); len(lost) != 0 {
		t.Fatalf("%+v", lost)
	}
	r.RecordChange(store.Event{Key: keys.Assignment(0), Value: json.RawMessage("{}"), Stamp: 1})
	if lost := r.changes.Lost(nil); len(lost) != 1 {
		t.Fatalf("%+v", lost)
	}
}
