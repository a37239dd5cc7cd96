package backup_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/backup"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/direct"
	"shalestage.example/shalestage/internal/emulator/kv"
	_ "shalestage.example/shalestage/internal/fixedseed"
	"shalestage.example/shalestage/internal/wire"
)

// fakeService runs the emulator's model of the state service. It can change keys before each request and lose
// responses.
type fakeService struct {
	model  *kv.Service
	now    units.Microseconds
	before func()      // called before each request; may be nil
	lost   func() bool // reports whether the response to an executed request is lost; may be nil
}

func newService() *fakeService {
	return &fakeService{model: kv.New(kv.Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 8 << 10, TxnOps: 12}, rand.New(rand.NewPCG(1, 2)))}
}

func (s *fakeService) startRequest() {
	s.now += units.Second
	if s.before != nil {
		s.before()
	}
}

func (s *fakeService) outcome(code int) store.Outcome {
	switch {
	case s.lost != nil && s.lost():
		return store.Unknown
	case code == 200:
		return store.OK
	case code == 409:
		return store.Failed
	case code == 400:
		return store.TooLarge
	}
	return store.Refused
}

func (s *fakeService) List(_ context.Context, prefix, after string, page int) (store.Outcome, uint64, []store.Event, bool) {
	s.startRequest()
	l := s.model.List(s.now, "x", prefix, after, min(page, 3))
	return s.outcome(l.Code), l.Rev, direct.Items(l.Items), l.More
}

func (s *fakeService) Watch(_ context.Context, prefix string, after uint64, _ units.Microseconds) (store.Outcome, uint64, []store.Event, bool) {
	s.startRequest()
	s.model.Watch(s.now, 1, "x", prefix, after, 0)
	c := s.model.Drain()[0]
	return s.outcome(c.Code), c.Rev, direct.Events(c.Events), c.Code == 410
}

func (s *fakeService) Commit(_ context.Context, t *store.Txn) (store.Outcome, uint64, []string) {
	s.startRequest()
	r := s.commit(t)
	return s.outcome(r.Code), r.Rev, r.Failed
}

func (s *fakeService) commit(t *store.Txn) kv.Result {
	return s.model.Commit(s.now, "x", direct.Txn(t))
}

func (s *fakeService) all() map[string]string {
	out := map[string]string{}
	after := ""
	for {
		l := s.model.List(s.now, "x", "", after, 0)
		for _, it := range l.Items {
			out[it.Key], after = string(it.Value), it.Key
		}
		if !l.More {
			return out
		}
	}
}

func options() backup.Options {
	return backup.Options{Rate: 1e9, ChunkBytes: 300, Sleep: func(time.Duration) {}, Now: func() time.Time { return time.Unix(1_700_000_000, 0) }}
}

// truncatedFile is a file that accepts a limited number of bytes and then fails.
type truncatedFile struct {
	bytes.Buffer
	left int
}

func (c *truncatedFile) Write(b []byte) (int, error) {
	n := min(len(b), c.left)
	c.left -= n
	c.Buffer.Write(b[:n])
	if n < len(b) {
		return n, errors.New("cut short")
	}
	return n, nil
}

// TestBackupIsConsistentSnapshot guards against backups that mix revisions when keys change during the
// backup. The backup must show all keys as of its revision, also after it was interrupted and resumed, and
// any corrupt byte must be detected. A restored service must have the same keys, except that leased keys
// are missing and the term is higher than any that was issued.
func TestBackupIsConsistentSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newService()
		seen := map[uint64]map[string]string{}
		change := func() {
			source.changeJobs(t)
			seen[source.model.Rev()] = source.all()
		}
		source.commit(&store.Txn{Changes: []store.Change{
			{Key: core.TermKey, Value: store.Value(authority.Term{Term: 7, Node: "a"})},
			{Key: "shalestage/leader", Value: store.Value(authority.LeaderRecord{Term: 7, Node: "a"})},
			{Key: "shalestage/seat/a", Value: store.Value(authority.Member{Node: "a"})}}})
		for range 10 {
			change()
		}
		source.before = change
		file := &truncatedFile{left: rapid.IntRange(0, 4000).Draw(t, "cut")}
		footer := saveWithResume(t, source, file)
		if _, err := backup.Verify(bytes.NewReader(file.Bytes())); err != nil {
			t.Fatal(err)
		}
		// A change of any single byte is detected before anything is restored.
		corrupt := bytes.Clone(file.Bytes())
		corrupt[rapid.IntRange(0, len(corrupt)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		var damage *backup.DamageError
		if _, err := backup.Verify(bytes.NewReader(corrupt)); !errors.As(err, &damage) {
			t.Fatalf("with one byte changed, Verify returned %v, want a DamageError", err)
		}
		target := newService()
		target.lost = func() bool { return rapid.IntRange(0, 9).Draw(t, "answer lost") == 0 }
		done, err := backup.Restore(t.Context(), target, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: options(), TxnOps: rapid.IntRange(3, 12).Draw(t, "ops")})
		if err != nil {
			t.Fatal(err)
		}
		want := maps.Clone(seen[footer.Revision])
		if want == nil {
			t.Fatalf("the source never had revision %d", footer.Revision)
		}
		delete(want, "shalestage/leader")
		delete(want, "shalestage/seat/a")
		want[core.TermKey] = string(store.Value(authority.Term{Term: done.Term, Node: "a"}))
		if got := target.all(); !maps.Equal(got, want) || done.Term < 1007 {
			t.Fatalf("term %d; restored\n%v\nwant\n%v", done.Term, got, want)
		}
		target.lost = nil
		if _, err := backup.Restore(t.Context(), target, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: options(), TxnOps: 3}); !errors.Is(err, backup.ErrNotEmpty) {
			t.Fatalf("restore into a service that is not empty: %v", err)
		}
		if _, err := backup.Restore(t.Context(), target, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: options(), TxnOps: 3, Force: true}); err != nil || !maps.Equal(target.all(), want) {
			t.Fatalf("forced restore: %v", err)
		}
	})
}

// changeJobs puts or deletes the records of up to three jobs.
func (s *fakeService) changeJobs(t *rapid.T) {
	t.Helper()
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		key := fmt.Sprintf("shalestage/job/wk-%06d", rapid.IntRange(0, 30).Draw(t, "key"))
		change := store.Change{Key: key}
		if rapid.IntRange(0, 3).Draw(t, "removes") > 0 {
			change.Value = json.RawMessage(fmt.Sprintf(`{"status":"done","tasks":%d}`, rapid.IntRange(1, 9).Draw(t, "tasks")))
		}
		s.commit(&store.Txn{Changes: []store.Change{change}})
	}
}

// saveWithResume saves into a file. If the file fails, it removes the limit and resumes the backup.
func saveWithResume(t *rapid.T, source *fakeService, file *truncatedFile) backup.Footer {
	t.Helper()
	footer, err := backup.Save(t.Context(), source, file, nil, options())
	if err == nil {
		return footer
	}
	progress, err := backup.Resume(bytes.NewReader(file.Bytes()))
	end := int64(0)
	if progress != nil && err == nil {
		end = progress.Offset
	}
	file.Truncate(int(end))
	file.left = 1 << 30
	if footer, err = backup.Save(t.Context(), source, file, progress, options()); err != nil {
		t.Fatal(err)
	}
	return footer
}

// fakeCloud is a cloud that returns a different machine list for each request.
type fakeCloud [][]wire.Host

func (l *fakeCloud) List(context.Context) (store.Outcome, []wire.Host) {
	h := (*l)[0]
	*l = (*l)[1:]
	return store.OK, h
}

// TestAuditFindsInconsistencies checks that the audit finds one planted inconsistency of each kind, in
// a live service and in a backup, and that Fix clears only those that are safe to clear and have not
// changed since.
func TestAuditFindsInconsistencies(t *testing.T) {
	source := newService()
	spec := `{"class":"c","team":"t","tasks":1,"demand":[1,0,1],"image":"","image_mb":0,"estimate":1,"awaits":["wk-000099","wk-000050"]}`
	for _, planted := range []struct{ key, value string }{
		{"shalestage/job/wk-000001", `{"status":"pending","tasks":1,"spec":` + spec + `}`},
		{"shalestage/job/wk-000002", `{"status":"done","tasks":1}`},
		{"shalestage/job/wk-000003", `{"status":"pending","tasks":1,"parts":2,"sum":"00"}`},
		{"shalestage/job/wk-000004", `"what"`},
		{"shalestage/part/wk-000002/00/0", `{"text":"x"}`},
		{"shalestage/part/wk-000003/00/0", `{"text":"x"}`},
		{"shalestage/part/wk-000077/00/0", `{"text":"x"}`},
		{"shalestage/progress/wk-000002/0", `{"tasks":"0"}`},
		{"shalestage/progress/wk-000078/0", `{"tasks":"0"}`},
		{"shalestage/progress/wk-000001/0", `{"tasks":"0"}`},
		{"shalestage/machine/r-1", `{"type":"a","zone":"b","block":3}`},
		{"shalestage/machine/r-2", `{"type":"a","zone":"b","block":0,"up":["n-1"],"booting":["n-2","n-3"]}`},
		{"shalestage/block/0", `{"term":1,"number":1,"node":"a","seat":5}`},
		{"shalestage/other", `1`},
		{"shalestage-past/00000000", `{"bits":0,"jobs":"1e+1"}`}, // wk-000050
		{"shalestage-past/00000004", `{"bits":3,"jobs":""}`},
		{"shalestage-past/00000005", `{"bits":0,"jobs":""}`},
	} {
		source.commit(&store.Txn{Changes: []store.Change{{Key: planted.key, Value: json.RawMessage(planted.value)}}})
	}
	listings := fakeCloud{{{ID: "n-1"}, {ID: "n-2", State: wire.HostFailed}, {ID: "n-8"}, {ID: "n-9"}}, {{ID: "n-1"}, {ID: "n-2", State: wire.HostFailed}, {ID: "n-9"}}}
	report, err := backup.AuditLive(t.Context(), source, &listings, 30*time.Second, options())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range report.Findings {
		got = append(got, f.Kind+" "+f.Key)
	}
	slices.Sort(got)
	want := []string{"awaits_nothing shalestage/job/wk-000001", "failed n-2", "foreign shalestage/other", "gone n-3", "headless shalestage/part/wk-000077/00/0",
		"incomplete shalestage/job/wk-000003", "leftover shalestage/part/wk-000002/00/0", "leftover shalestage/progress/wk-000002/0",
		"leftover shalestage/progress/wk-000078/0", "misplaced shalestage-past/00000004", "no_block shalestage/machine/r-1",
		"no_machines shalestage/machine/r-1", "no_seat shalestage/block/0", "stray n-9", "unreadable shalestage-past/00000005", "unreadable shalestage/job/wk-000004"}
	if !slices.Equal(got, want) {
		t.Errorf("findings\n%q\nwant\n%q", got, want)
	}
	// The audit of a backup has the same findings except no_seat and those that need the cloud's machine list.
	var file bytes.Buffer
	if _, err := backup.Save(t.Context(), source, &file, nil, options()); err != nil {
		t.Fatal(err)
	}
	saved, err := backup.AuditFile(func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(file.Bytes())), nil })
	if err != nil || len(saved.Findings) != len(want)-4 || saved.ArchivedJobs != 1 {
		t.Errorf("audit of the backup: %v, %+v", err, saved)
	}
	// wk-000078 gets a job record after the audit, so its progress record must not be cleared.
	source.commit(&store.Txn{Changes: []store.Change{{Key: "shalestage/job/wk-000078", Value: json.RawMessage(`{"status":"pending","tasks":1}`)}}})
	if n, err := backup.Fix(t.Context(), source, report.Findings, 3, options()); err != nil || n != 3 {
		t.Errorf("%d findings cleared, want 3; error %v", n, err)
	}
	left := source.all()
	for key, there := range map[string]bool{"shalestage/part/wk-000002/00/0": false, "shalestage/progress/wk-000002/0": false,
		"shalestage/progress/wk-000078/0": true, "shalestage/machine/r-1": false, "shalestage/part/wk-000077/00/0": true} {
		if _, ok := left[key]; ok != there {
			t.Errorf("%s exists: %v", key, ok)
		}
	}
}
