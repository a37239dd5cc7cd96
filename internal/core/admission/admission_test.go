package admission

import (
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeHost is a controller whose reads and writes complete when the
// test says so. Archive lookups complete at once.
type fakeHost struct {
	jobs     map[string]*jobs.Job
	versions map[string]uint64
	limits   map[string]binpack.Vec
	older    string

	typesUnknown, unplaceable, peerFull, configurationStale, unreachable, queueFull bool

	archiveOn bool
	mark      uint64
	archived  map[string]archive.Summary

	reads     []func(ok bool)
	writes    []*store.Write
	lookups   int
	answers   []JobAnswer
	accepted  []bool
	refusals  []*Refusal
	forwarded []Request
}

func newFakeHost() *fakeHost {
	return &fakeHost{jobs: map[string]*jobs.Job{}, versions: map[string]uint64{}, limits: map[string]binpack.Vec{"t": {}}, archived: map[string]archive.Summary{}}
}

func (f *fakeHost) Answer(_ RequestID, accepted bool, answer JobAnswer) {
	f.answers, f.accepted = append(f.answers, answer), append(f.accepted, accepted)
}
func (f *fakeHost) Refuse(_ RequestID, refusal *Refusal) { f.refusals = append(f.refusals, refusal) }
func (f *fakeHost) ShouldForward(RequestID) bool         { return f.unreachable }
func (f *fakeHost) Forward(r Request)                    { f.forwarded = append(f.forwarded, r) }
func (f *fakeHost) Job(id string) *jobs.Job              { return f.jobs[id] }
func (f *fakeHost) OwnsShard(int) bool                   { return true }
func (f *fakeHost) Archive() Archive                     { return f }
func (f *fakeHost) ReadFresh(done func(ok bool))         { f.reads = append(f.reads, done) }
func (f *fakeHost) Revision() uint64                     { return 100 }
func (f *fakeHost) Version(key string) uint64            { return f.versions[key] }
func (f *fakeHost) WallClock() units.Microseconds        { return 1000 * units.Second }
func (f *fakeHost) TypesKnown() bool                     { return !f.typesUnknown }
func (f *fakeHost) Placeable(*jobs.Spec) bool            { return !f.unplaceable }
func (f *fakeHost) PeerMemoryFull() bool                 { return f.peerFull }
func (f *fakeHost) ConfigurationCurrent() bool           { return !f.configurationStale }
func (f *fakeHost) LeastLoadedShard() int                { return 3 }
func (f *fakeHost) OlderPeer() string                    { return f.older }

func (f *fakeHost) Queue(w *store.Write) bool {
	if !f.queueFull {
		f.writes = append(f.writes, w)
	}
	return !f.queueFull
}

func (f *fakeHost) TeamLimit(team string) (binpack.Vec, bool) {
	limit, known := f.limits[team]
	return limit, known
}

// fakeHost is also the archive: it holds the jobs in archived.
func (f *fakeHost) Enabled() bool                { return f.archiveOn }
func (f *fakeHost) Mark() (archive.Mark, uint64) { return archive.Mark{Cutoff: f.mark}, f.mark }
func (f *fakeHost) CachedSummary(id string) (archive.Summary, bool) {
	answer, known := f.archived[id]
	return answer, known
}
func (f *fakeHost) Lookup(id string, _ bool, done func(archive.LookupResult, archive.Summary)) {
	f.lookups++
	if answer, known := f.archived[id]; known {
		done(archive.Found, answer)
		return
	}
	done(archive.Absent, archive.Summary{})
}

// completeReads completes all pending reads.
func (f *fakeHost) completeReads(ok bool) {
	reads := f.reads
	f.reads = nil
	for _, done := range reads {
		done(ok)
	}
}

// completeWrite completes the only pending write.
func (f *fakeHost) completeWrite(t *testing.T, outcome store.Outcome, revision uint64) {
	t.Helper()
	if len(f.writes) != 1 {
		t.Fatalf("%d writes are pending", len(f.writes))
	}
	w := f.writes[0]
	f.writes = nil
	w.Done(outcome, revision)
}

func (f *fakeHost) unanswered() bool { return len(f.answers)+len(f.refusals)+len(f.forwarded) == 0 }

func newHandler(host Host) *Handler {
	return New(Config{ValueMax: 2 << 10, TxnOps: 4, Log: slog.New(slog.DiscardHandler)}, host)
}

func specOf(dependencies ...string) *jobs.Spec {
	return &jobs.Spec{Team: "t", Tasks: 2, Demand: binpack.Vec{1000}, AnyType: true, Awaits: dependencies}
}

func jobOf(id string, record jobs.Record) *jobs.Job {
	job := &jobs.Job{ID: id, Version: 7, Record: record}
	job.ClearPlacements()
	return job
}

func pendingJob(id string) *jobs.Job {
	return jobOf(id, jobs.Record{Status: jobs.Pending, Tasks: 2, Spec: specOf()})
}

const newJobID = "wk-000009"

// TestRefusals checks the HTTP status, text and retry time of every reason to
// refuse a submission. A refusal that is the fault of the job itself must come only
// after a fresh read, since another controller may have accepted the job.
func TestRefusals(t *testing.T) {
	service := jobOf("wk-000002", jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, Service: true}})
	for text, test := range map[string]struct {
		set    func(f *fakeHost, r *Request)
		status int
		retry  units.Microseconds
		read   bool // a fresh read comes before the refusal
	}{
		"tasks: missing":                             {func(_ *fakeHost, r *Request) { r.Spec, r.Malformed = nil, "tasks: missing" }, http.StatusBadRequest, 0, true},
		"machine types are not known yet":            {func(f *fakeHost, _ *Request) { f.typesUnknown = true }, http.StatusServiceUnavailable, RetryAfter, true},
		"unknown team":                               {func(f *fakeHost, _ *Request) { delete(f.limits, "t") }, http.StatusUnprocessableEntity, 0, true},
		"a task fits no allowed machine type":        {func(f *fakeHost, _ *Request) { f.unplaceable = true }, http.StatusUnprocessableEntity, 0, true},
		"needs more than the team's limit":           {func(f *fakeHost, _ *Request) { f.limits["t"] = binpack.Vec{999} }, http.StatusUnprocessableEntity, 0, true},
		"awaits wk-000001, which was never accepted": {func(_ *fakeHost, r *Request) { r.Spec.Awaits = []string{"wk-000001"} }, http.StatusUnprocessableEntity, 0, true},
		"awaits wk-000002, a service, which is never done": {func(f *fakeHost, r *Request) {
			f.jobs["wk-000002"], r.Spec.Awaits = service, []string{"wk-000002"}
		}, http.StatusUnprocessableEntity, 0, true},
		"a controller's memory is nearly full":   {func(f *fakeHost, _ *Request) { f.peerFull = true }, http.StatusServiceUnavailable, LongRetryAfter, false},
		"the present configuration is not known": {func(f *fakeHost, _ *Request) { f.configurationStale = true }, http.StatusServiceUnavailable, RetryAfter, false},
		"controller b still runs an older release": {func(f *fakeHost, r *Request) {
			f.older, f.jobs["wk-000003"], r.Spec.Awaits = "b", pendingJob("wk-000003"), []string{"wk-000003"}
		}, http.StatusServiceUnavailable, RetryAfter, false},
		"too many submissions": {func(f *fakeHost, _ *Request) { f.queueFull = true }, http.StatusServiceUnavailable, RetryAfter, false},
	} {
		host := newFakeHost()
		request := Request{ID: 1, Kind: Submit, Job: newJobID, Spec: specOf()}
		test.set(host, &request)
		newHandler(host).Submit(request)
		if test.read {
			if !host.unanswered() || len(host.reads) != 1 {
				t.Errorf("%s: answered before a read", text)
			}
			host.completeReads(true)
		}
		if len(host.refusals) != 1 || len(host.answers) != 0 || len(host.writes) != 0 {
			t.Errorf("%s: %d refusals, %d answers, %d writes", text, len(host.refusals), len(host.answers), len(host.writes))
			continue
		}
		got := host.refusals[0]
		if got.Error() != text || got.Reason.HTTPStatus() != test.status || got.RetryAfter != test.retry {
			t.Errorf("%s: %d %+v, want %d, %d", text, got.Reason.HTTPStatus(), got, test.status, test.retry)
		}
	}
}

// TestSubmissionAnsweredAfterWrite guards against a 201 before the record is stored. The write must be
// guarded, so that it fails if another controller has stored the job or the archive's mark has moved.
func TestSubmissionAnsweredAfterWrite(t *testing.T) {
	host := newFakeHost()
	host.archiveOn, host.mark = true, 60
	newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf()})
	if !host.unanswered() || len(host.writes) != 1 {
		t.Fatalf("%+v", host)
	}
	w := host.writes[0]
	if want := []store.Guard{{Key: keys.Job(newJobID)}, {Key: keys.ArchiveMark, Version: 60}}; !slices.Equal(w.Guards, want) {
		t.Errorf("guards %+v", w.Guards)
	}
	record, err := jobs.DecodeRecord(w.Changes[0].Value)
	if err != nil || record.Status != jobs.Pending || record.Shard != 3 || record.Submitted != 1000*units.Second {
		t.Errorf("%+v, %v", record, err)
	}
	host.completeWrite(t, store.OK, 101)
	if len(host.answers) != 1 || !host.accepted[0] || AnswerStatus(host.accepted[0]) != http.StatusCreated || host.answers[0] != (JobAnswer{ID: newJobID, Status: jobs.Pending}) {
		t.Errorf("%+v", host.answers)
	}
}

// TestSubmissionWriteOutcomes checks the answer to a submission for every outcome of its write.
func TestSubmissionWriteOutcomes(t *testing.T) {
	for _, outcome := range []store.Outcome{store.Refused, store.Unknown} {
		host := newFakeHost()
		newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf()})
		host.completeWrite(t, outcome, 0)
		if len(host.forwarded) != 1 || len(host.answers)+len(host.refusals) != 0 {
			t.Errorf("outcome %v: %+v", outcome, host)
		}
	}
	host := newFakeHost()
	newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf()})
	host.completeWrite(t, store.TooLarge, 0)
	if len(host.refusals) != 1 || host.refusals[0].Reason != Unavailable {
		t.Errorf("too large: %+v", host.refusals)
	}

	// Another write conflicts each time: the submission is retried up to
	// maxAttempts times, after a fresh read each.
	host = newFakeHost()
	newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf()})
	for range maxAttempts {
		host.completeWrite(t, store.Failed, 0)
		if !host.unanswered() {
			t.Fatalf("given up early: %+v", host)
		}
		host.completeReads(true)
	}
	host.completeWrite(t, store.Failed, 0)
	if len(host.refusals) != 1 || host.refusals[0].Text != "try again" {
		t.Errorf("%+v", host.refusals)
	}

	// Another controller has accepted the same job: the answer is its state, not 201.
	host = newFakeHost()
	newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf()})
	host.completeWrite(t, store.Failed, 0)
	host.jobs[newJobID] = pendingJob(newJobID)
	host.completeReads(true)
	if len(host.answers) != 1 || host.accepted[0] || AnswerStatus(host.accepted[0]) != http.StatusOK {
		t.Errorf("%+v", host.answers)
	}
}

// TestChunkedSpecStoredBeforeRecord guards against a record that becomes visible before all chunks of its
// job spec are stored. The record must also be guarded by the version of the first chunk.
func TestChunkedSpecStoredBeforeRecord(t *testing.T) {
	host := newFakeHost()
	spec := specOf()
	spec.Image = strings.Repeat("i", 9<<10)
	newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: spec})
	stored, revision := 0, uint64(100)
	for len(host.writes) == 1 && strings.HasPrefix(host.writes[0].Changes[0].Key, keys.ChunkPrefix) {
		if stored += len(host.writes[0].Changes); len(host.writes[0].Changes) > 4 || !host.unanswered() {
			t.Fatalf("%d changes, unanswered %v", len(host.writes[0].Changes), host.unanswered())
		}
		revision++
		host.completeWrite(t, store.OK, revision)
	}
	if len(host.writes) != 1 {
		t.Fatalf("%d writes", len(host.writes))
	}
	w := host.writes[0]
	record, err := jobs.DecodeRecord(w.Changes[0].Value)
	if err != nil || record.Chunks != stored || stored < 5 || w.Guards[len(w.Guards)-1].Version != 101 {
		t.Errorf("%d chunks stored, %+v, %v, guards %+v", stored, record, err, w.Guards)
	}
	host.completeWrite(t, store.OK, revision+1)
	if len(host.answers) != 1 || !host.accepted[0] {
		t.Errorf("%+v", host.answers)
	}
}

// TestArchivedDependenciesDropped guards against a stored record that names dependencies whose own records
// may be archived and no longer be found. Done ones are left out, and a cancelled one cancels the job.
func TestArchivedDependenciesDropped(t *testing.T) {
	for _, test := range []struct {
		first, second jobs.Status
		status        jobs.Status
		left          int
	}{{jobs.Done, jobs.Pending, jobs.Pending, 1}, {jobs.Done, jobs.Done, jobs.Pending, 0}, {jobs.Cancelled, jobs.Done, jobs.Cancelled, 0}} {
		host := newFakeHost()
		host.archiveOn, host.mark = true, 60
		host.archived["wk-000001"] = archive.Summary{Status: test.first}
		host.jobs["wk-000002"] = jobOf("wk-000002", jobs.Record{Status: test.second, Tasks: 1, Spec: specOf()})
		newHandler(host).Submit(Request{ID: 1, Job: newJobID, Spec: specOf("wk-000001", "wk-000002")})
		if len(host.writes) != 1 {
			t.Fatalf("%+v", host)
		}
		record, err := jobs.DecodeRecord(host.writes[0].Changes[0].Value)
		if err != nil || record.Status != test.status || record.Spec != nil && len(record.Spec.Awaits) != test.left {
			t.Errorf("%+v: %+v, %v", test, record, err)
		}
	}
}

// TestQuery guards against stale answers: only a final state may be
// answered at once, any other needs a fresh read.
func TestQuery(t *testing.T) {
	host := newFakeHost()
	handler := newHandler(host)
	host.jobs["wk-000001"] = jobOf("wk-000001", jobs.Record{Status: jobs.Done, Tasks: 2})
	host.archived["wk-000002"] = archive.Summary{Status: jobs.Done, Tasks: 5}
	host.jobs["wk-000003"] = pendingJob("wk-000003")
	handler.Query(1, "wk-000001")
	handler.Query(2, "wk-000002")
	if len(host.answers) != 2 || host.answers[0].Done != 2 || host.answers[1].Done != 5 {
		t.Fatalf("%+v", host.answers)
	}
	handler.Query(3, "wk-000003")
	handler.Query(4, "wk-000004")
	if len(host.answers) != 2 || len(host.reads) != 2 {
		t.Fatalf("%d answers, %d reads", len(host.answers), len(host.reads))
	}
	host.completeReads(true)
	if len(host.answers) != 3 || host.answers[2].Status != jobs.Pending || len(host.refusals) != 1 || host.refusals[0].Reason.HTTPStatus() != http.StatusNotFound {
		t.Errorf("%+v, %+v", host.answers, host.refusals)
	}
	handler.Query(5, "wk-000003")
	host.completeReads(false)
	if len(host.forwarded) != 1 || host.forwarded[0].Kind != Query || host.forwarded[0].Job != "wk-000003" {
		t.Errorf("read failed: %+v", host.forwarded)
	}
}

// TestCancel checks that a cancellation is confirmed only once it is stored, and
// that the answer is the final state if the job has ended before.
func TestCancel(t *testing.T) {
	host := newFakeHost()
	handler := newHandler(host)
	job := pendingJob("wk-000001")
	host.jobs["wk-000001"] = job
	handler.Cancel(1, "wk-000001")
	if !host.unanswered() || len(host.writes) != 1 || host.writes[0].Guards[0] != (store.Guard{Key: keys.Job("wk-000001"), Version: 7}) {
		t.Fatalf("%+v", host)
	}
	host.completeWrite(t, store.OK, 101)
	if len(host.answers) != 1 || host.answers[0].Status != jobs.Cancelled {
		t.Fatalf("%+v", host.answers)
	}

	handler.Cancel(2, "wk-000001")
	host.completeWrite(t, store.Failed, 0) // the job has ended in the meantime, as the read shows
	if len(host.answers) != 1 || len(host.reads) != 1 {
		t.Fatalf("%+v", host)
	}
	job.Finalize(jobs.Record{Status: jobs.Done, Tasks: 2}, 8)
	host.completeReads(true)
	if len(host.answers) != 2 || host.answers[1].Status != jobs.Done {
		t.Errorf("%+v", host.answers)
	}

	handler.Cancel(3, newJobID) // another controller has accepted the job
	host.jobs[newJobID] = pendingJob(newJobID)
	host.completeReads(true)
	host.completeWrite(t, store.Unknown, 0)
	if len(host.forwarded) != 1 || host.forwarded[0].Kind != Cancel {
		t.Errorf("%+v", host.forwarded)
	}

	host.queueFull = true
	handler.Cancel(4, newJobID)
	if len(host.refusals) != 1 || host.refusals[0].Text != "too many requests" {
		t.Errorf("%+v", host.refusals)
	}
}

// TestUnreachableStateServiceForwards checks a controller without answers from the state service: it
// answers final states itself and forwards everything else to a controller that can reach the service.
func TestUnreachableStateServiceForwards(t *testing.T) {
	host := newFakeHost()
	host.unreachable = true
	handler := newHandler(host)
	host.jobs["wk-000001"] = jobOf("wk-000001", jobs.Record{Status: jobs.Done, Tasks: 2})
	handler.Submit(Request{ID: 1, Kind: Submit, Job: "wk-000001"})
	handler.Query(2, "wk-000001")
	handler.Cancel(3, "wk-000001")
	if len(host.answers) != 3 || len(host.forwarded) != 0 {
		t.Fatalf("%+v", host)
	}
	handler.Submit(Request{ID: 4, Kind: Submit, Job: newJobID, Spec: specOf(), Malformed: "x"})
	handler.Query(5, newJobID)
	handler.Cancel(6, newJobID)
	if len(host.forwarded) != 3 || host.forwarded[0].Spec == nil || host.forwarded[0].Malformed != "x" || host.forwarded[1].Kind != Query || host.forwarded[2].Kind != Cancel || len(host.reads)+len(host.writes) != 0 {
		t.Errorf("%+v", host.forwarded)
	}
}
