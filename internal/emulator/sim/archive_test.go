package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/backup"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/direct"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/packed"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// earlyArchiving returns a deployment that archives finished jobs early.
func earlyArchiving() *scenario.Scenario {
	s := deployment(3, 0)
	s.Controllers.KeepDone, s.Controllers.PackSettleS = 4, 5
	return s
}

// TestOlderReleasesAreExcluded guards against an older release working beside archived jobs, which it cannot
// read. Jobs are archived, and the stored records are then read as releases before this one do. They must see
// a leader that stays for good: then they never claim the leadership, own no shard and do not read the price
// list. As they know no machine types, they are never ready and accept no jobs. An older release that runs
// all the same is assigned no shard.
func TestOlderReleasesAreExcluded(t *testing.T) {
	w := New(earlyArchiving(), Options{Seed: 1})
	for i := range 12 {
		w.submitJob(units.Microseconds(i)*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	}
	w.Run(200 * second)
	listing := w.State.List(w.now, "x", "", "", 0)
	packed, kinds := 0, 0
	for _, item := range listing.Items {
		switch {
		case strings.HasPrefix(item.Key, archive.Prefix):
			b, err := archive.Decode(item.Key, item.Value)
			if err != nil {
				t.Fatal(err)
			}
			packed += len(b.Jobs)
		case strings.HasPrefix(item.Key, "shalestage/kind/"):
			kinds++
		case strings.HasPrefix(item.Key, "shalestage/type/"):
			t.Errorf("%s is stored: an older release would be ready", item.Key)
		case item.Key == "shalestage/leader":
			var claim struct { // as releases before 0.5 read it
				Term uint64 `json:"term"`
				Node string `json:"node"`
				Seat uint64 `json:"seat"`
			}
			if err := json.Unmarshal(item.Value, &claim); err != nil || claim.Node == "" || strings.HasPrefix(claim.Node, "node-") || item.Lease != 0 {
				t.Errorf("an older release may lead: %s with lease %d, %v", item.Value, item.Lease, err)
			}
		}
	}
	// The record that excludes older releases is no claim: after a crash of all controllers, when nobody
	// leads, one of them must become leader.
	w.Scenario.Controllers.RestartS = 10 // longer than a leader's lease
	for _, n := range w.Nodes {
		n.Crash()
	}
	w.Run(230 * second)
	if w.ShardOwner(0) == nil {
		t.Error("no shard owner after all controllers have crashed")
	}
	if packed == 0 || kinds != 2 {
		t.Errorf("%d jobs archived, %d machine types", packed, kinds)
	}
}

// TestNoArchivingBesideOlderRelease guards against archiving jobs while a controller of an older release
// runs, which could not read them. One controller reports an older release: nothing may be archived, however
// many jobs have finished.
func TestNoArchivingBesideOlderRelease(t *testing.T) {
	w := New(earlyArchiving(), Options{Seed: 1})
	for i := range 30 {
		w.submitJob(units.Microseconds(i)*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	}
	for at := second / 10; at < 200*second; at += second / 10 {
		w.Run(at)
		for _, n := range w.Nodes[:2] { // as if the third controller ran release 0.3
			n.core.OnPeer(n.steadyClock(), "node-2", core.PeerStatus{Release: 3})
		}
	}
	if l := w.State.List(w.now, "x", "shalestage-past/", "", 0); len(l.Items) > 0 {
		t.Errorf("%d archive buckets are stored", len(l.Items))
	}
	if it, _, code := w.State.Get(w.now, "x", "shalestage/past"); code == 200 {
		t.Errorf("the archive mark is set: %s", it.Value)
	}
}

// TestArchivedJobQueriesUnderOverload guards against queries for archived jobs that starve other work. Users
// query far more archived jobs than the read limit allows. Each query must get the right answer or be refused
// at once with a retry time, no controller may lose its authority, and new jobs must still be accepted and
// started.
func TestArchivedJobQueriesUnderOverload(t *testing.T) {
	t.Parallel()
	s := earlyArchiving()
	w := New(s, Options{Seed: 1})
	storeArchivedJobs(w, 20_000)
	w.Run(30 * second)
	asked, answered, refused := 0, 0, 0
	var latencies []units.Microseconds
	for i := range 3000 {
		w.schedule(units.Microseconds(i)*second/100, func() {
			n := w.Nodes[i%3]
			id := fmt.Sprintf("wk-%06d", 1_000_000+i*6)
			asked++
			sent := w.now
			n.request(func(req core.RequestID) { n.core.Query(n.steadyClock(), req, id) }, 2*second, func(r core.Reply) {
				a, isAnswer := r.Body.(core.JobAnswer)
				switch {
				case isAnswer && a.Status == jobs.Done && a.Done == 2:
					answered++
					latencies = append(latencies, w.now-sent)
				case r.Code == 503 && r.RetryAfter > 0:
					refused++
				default:
					t.Errorf("%s: %+v", id, r)
				}
			})
		})
	}
	var fresh []*user.Job
	for i := range 10 {
		fresh = append(fresh, w.submitJob(w.now+units.Microseconds(i)*3*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true,
			Image: "i", Estimate: second}, second, 0))
	}
	w.Run(100 * second)
	if answered+refused != asked || answered < 300 {
		t.Errorf("of %d queries: %d answered, %d refused", asked, answered, refused)
	}
	slices.Sort(latencies)
	t.Logf("of %d queries in 30 s: %d answered, %d refused; p50 %.3f s, p95 %.3f s, p99 %.3f s", asked, answered, refused,
		latencies[len(latencies)/2].Seconds(), latencies[len(latencies)*95/100].Seconds(), latencies[len(latencies)*99/100].Seconds())
	for _, j := range fresh {
		if j.FinalStatus != jobs.Done || j.FinalAt-j.At > 30*second {
			t.Errorf("%s: status %q after %.1f s", j.ID, j.FinalStatus, (j.FinalAt - j.At).Seconds())
		}
	}
	if b := w.Check.Violations(); len(b) > 0 {
		t.Errorf("rules violated: %v", b)
	}
}

// storeArchivedJobs stores archived jobs wk-1000000, wk-1000001 and so on, with two tasks each.
func storeArchivedJobs(w *World, submitted int) {
	var items []kv.Item
	rev := uint64(0)
	for _, e := range packed.Buckets(submitted, func(i uint64) (uint64, archive.Summary) {
		return 1_000_000 + i, archive.Summary{Status: jobs.Done, Tasks: 2, FinishedAt: second}
	}) {
		rev++
		items = append(items, kv.Item{Key: e.Key, Value: e.Value, Version: rev})
	}
	for _, k := range []struct{ key, value string }{{"shalestage/past", `{"release":4,"cut":1,"jobs":1}`}, {"shalestage/leader", `{"term":1,"node":"release-4"}`},
		{"shalestage/term", `{"term":1,"node":"x"}`}} {
		rev++
		items = append(items, kv.Item{Key: k.key, Value: json.RawMessage(k.value), Version: rev})
	}
	w.State.Restore(0, rev, 1, items, nil)
}

var historySize = flag.Int("history", 0, "number of archived jobs with which to measure a start; 0: not measured")

// TestStartupWithHistory measures how the startup time of controllers depends on the number of archived jobs:
// go test ./internal/emulator/sim -run TestStartupWithHistory -history 1000 -v, and with 10000000.
func TestStartupWithHistory(t *testing.T) {
	if *historySize == 0 {
		t.Skip("a measurement: -history N")
	}
	w := New(earlyArchiving(), Options{Seed: 1})
	storeArchivedJobs(w, *historySize)
	job := w.submitJob(second/100, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	began := time.Now()
	memberAt, filterCompleteAt := units.Microseconds(0), units.Microseconds(0)
	for at := second / 20; at < 600*second && (filterCompleteAt == 0 || job.FinalStatus == ""); at += second / 20 {
		w.Run(at)
		all := true
		for _, n := range w.census().Nodes {
			if n.Member && memberAt == 0 {
				memberAt = at
			}
			all = all && n.ArchivedIDs >= *historySize*9/10 // false positives: the filter takes some ids for others
		}
		if all && filterCompleteAt == 0 {
			filterCompleteAt = at
		}
	}
	t.Logf("%d archived jobs: first membership after %.2f s, a job done after %.2f s, filter complete after %.1f s (simulated); %.1f s of real time",
		*historySize, memberAt.Seconds(), (job.FinalAt - job.At).Seconds(), filterCompleteAt.Seconds(), time.Since(began).Seconds())
}

// stateService gives the backup commands access to the simulated state service, without network delays.
type stateService struct{ w *World }

func (d stateService) List(_ context.Context, prefix, after string, page int) (store.Outcome, uint64, []store.Event, bool) {
	l := d.w.State.List(d.w.now, "backup", prefix, after, page)
	return outcomeOf(l.Code), l.Rev, direct.Items(l.Items), l.More
}

func (d stateService) Watch(_ context.Context, _ string, after uint64, _ units.Microseconds) (store.Outcome, uint64, []store.Event, bool) {
	return store.OK, after, nil, false // there are no changes while the backup runs
}

func (d stateService) Commit(_ context.Context, t *store.Txn) (store.Outcome, uint64, []string) {
	r := d.w.State.Commit(d.w.now, "backup", direct.Txn(t))
	return outcomeOf(r.Code), r.Rev, r.Failed
}

// TestRestoredBackup guards against rule violations after a restore. After a backup the deployment continues,
// then the state service loses all data and the backup is restored. Workers still run tasks that were started
// after the backup, and have seen fencing tokens of later terms. Jobs accepted before the backup must finish,
// no task may run twice at a time or above a limit, and jobs accepted after it must be stopped.
func TestRestoredBackup(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(earlyArchiving(), Options{Seed: seed})
		job := func(team string) *jobs.Spec {
			return &jobs.Spec{Team: team, Tasks: 4, Demand: [3]int64{2000, 0, 1000}, AnyType: true, Image: "i", Estimate: 15 * second}
		}
		var before, after []*user.Job
		for i := range 20 {
			before = append(before, w.submitJob(units.Microseconds(i)*8*second, job("red"), 15*second, 0))
		}
		w.Run(165 * second)
		var file bytes.Buffer
		opt := backup.Options{Rate: 1e9, Sleep: func(time.Duration) {}, Now: func() time.Time { return time.UnixMicro(int64(w.now)) }}
		if _, err := backup.Save(t.Context(), stateService{w}, &file, nil, opt); err != nil {
			t.Fatal(err)
		}
		for i := range 6 {
			after = append(after, w.submitJob(w.now+units.Microseconds(i)*3*second, job("blue"), 60*second, 0))
		}
		w.Nodes[0].Crash() // terms increase after the backup
		w.Run(185 * second)
		for _, n := range w.Nodes {
			n.Crash()
		}
		w.State = kv.New(w.Scenario.State.KV(), rand.New(rand.NewPCG(seed, 3)))
		done, err := backup.Restore(t.Context(), stateService{w}, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: opt, TxnOps: 4})
		if err != nil {
			t.Fatal(err)
		}
		w.Run(420 * second)
		for _, b := range w.Check.Violations() {
			// A restore loses jobs that were accepted later, and job ends that were reported since.
			lost := slices.ContainsFunc(after, func(j *user.Job) bool { return strings.Contains(b.Text, j.ID) })
			if b.Rule != check.Forgotten && b.Rule != check.WentBack && b.Rule != check.Lost && (b.Rule != check.Unprovisioned || !lost) {
				t.Errorf("seed %d: %s", seed, b)
			}
		}
		for _, j := range before {
			if j.Job.DoneTasks() != 4 || j.FinalStatus != jobs.Done {
				t.Errorf("seed %d: %s has status %q, %d tasks done", seed, j.ID, j.FinalStatus, j.Job.DoneTasks())
			}
		}
		if k := w.ShardOwner(0); k == nil || done.Term < 1000 {
			t.Errorf("seed %d: shard owned by %v, terms above %d", seed, k, done.Term)
		}
		// Tasks of jobs that were accepted after the backup must have been stopped.
		for _, j := range after {
			if n := w.Check.Running(j.ID); n > 0 {
				t.Errorf("seed %d: %d tasks of %s still run", seed, n, j.ID)
			}
		}
	}
}

// TestListingLongerThanWatchHistory guards against a controller that never finishes its initial listing. The
// listing is so large and the rate so low that the state service discards the changes since the start of the
// listing, while its limits decrease. As the controller watches changes from the first page on, it must
// complete the listing, and must know which keys were deleted meanwhile.
func TestListingLongerThanWatchHistory(t *testing.T) {
	s := earlyArchiving()
	s.Controllers.Count, s.Controllers.KeepDone = 1, 0
	s.State.RPS, s.State.WriteRPS, s.State.Next = 30, 1e6, scenario.Limits{RPS: 20, ValueKB: 2, TxnOps: 4}
	w := New(s, Options{Seed: 1})
	var items []kv.Item
	for i := range uint64(30_000) {
		items = append(items, kv.Item{Key: fmt.Sprintf("shalestage/job/wk-%06d", i), Value: json.RawMessage(`{"status":"done","tasks":1}`), Version: i + 1})
	}
	w.State.Restore(0, 30_000, 1, items, nil)
	changes := 0
	for i := range 30_000 { // 1,500 a second
		w.schedule(units.Microseconds(i)*second/1500, func() {
			c := kv.Change{Key: "shalestage/type/x", Value: json.RawMessage(`{}`)}
			if i%3 == 0 { // also deletes keys that have been listed, or will be
				c = kv.Change{Key: fmt.Sprintf("shalestage/job/wk-%06d", i)}
			}
			if r := w.State.Commit(w.now, "other", kv.Txn{Changes: []kv.Change{c}}); r.Code == 200 {
				changes++
			}
		})
	}
	// The service's limits differ from the controller's settings, to admit the changes of others.
	limits := s.State.KV()
	limit := func(at units.Microseconds, rate float64) {
		w.schedule(at, func() { limits.Rate = rate; w.State.SetLimits(limits) })
	}
	limit(0, 1e6)
	limit(4*second, 1)
	limit(7*second, 1e6)
	memberAt := units.Microseconds(0)
	for at := second / 2; at < 60*second && memberAt == 0; at += second / 2 {
		w.Run(at)
		if w.census().Nodes[0].Member {
			memberAt = at
		}
	}
	if memberAt == 0 || memberAt > 19*second { // only after the changes of others had ended
		t.Fatalf("membership after %.1f s and %d changes", memberAt.Seconds(), changes)
	}
	w.Run(70 * second)
	if c := w.census(); c.Nodes[0].KnownJobs != c.Keys["shalestage/job"] || changes < 12_000 {
		t.Errorf("%d jobs known of %d after %d changes", c.Nodes[0].KnownJobs, c.Keys["shalestage/job"], changes)
	}
	t.Logf("membership after %.1f s and %d changes", memberAt.Seconds(), changes)
}
