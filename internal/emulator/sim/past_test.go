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

// packing returns a deployment that packs early.
func packing() *scenario.Scenario {
	s := deployment(3, 0)
	s.Controllers.KeepDone, s.Controllers.PackSettleS = 4, 5
	return s
}

// TestOlderReleasesAreKeptOut has jobs packed, and reads what is stored as releases
// before this one do: another leads for good, so that they never claim the lead, and
// so hold nothing, ask for no price list and, knowing no machine types, are never
// ready and accept nothing. One that is there all the same gets no block.
func TestOlderReleasesAreKeptOut(t *testing.T) {
	w := New(packing(), Options{Seed: 1})
	for i := range 12 {
		w.submit(units.Microseconds(i)*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	}
	w.Run(200 * second)
	l := w.State.List(w.now, "x", "", "", 0)
	packed, kinds := 0, 0
	for _, it := range l.Items {
		switch {
		case strings.HasPrefix(it.Key, archive.Prefix):
			b, err := archive.Decode(it.Key, it.Value)
			if err != nil {
				t.Fatal(err)
			}
			packed += len(b.Jobs)
		case strings.HasPrefix(it.Key, "shalestage/kind/"):
			kinds++
		case strings.HasPrefix(it.Key, "shalestage/type/"):
			t.Errorf("%s: an older release would be ready", it.Key)
		case it.Key == "shalestage/leader":
			var claim struct { // as releases before 0.5 read it
				Term uint64 `json:"term"`
				Node string `json:"node"`
				Seat uint64 `json:"seat"`
			}
			if err := json.Unmarshal(it.Value, &claim); err != nil || claim.Node == "" || strings.HasPrefix(claim.Node, "node-") || it.Lease != 0 {
				t.Errorf("an older release may lead: %s with lease %d, %v", it.Value, it.Lease, err)
			}
		}
	}
	// What keeps the others out is no claim: after an end of all controllers, when the
	// lead is nobody's, one of them takes it.
	w.S.Controllers.RestartS = 10 // longer than a lease
	for _, n := range w.Nodes {
		n.Crash()
	}
	w.Run(230 * second)
	if w.Holder(0) == nil {
		t.Error("nobody leads after all controllers have ended")
	}
	if packed == 0 || kinds != 2 {
		t.Errorf("%d jobs packed, %d machine types", packed, kinds)
	}
}

// TestNothingIsPackedBesideOlder has one controller say that it runs an older release:
// nothing is packed, however many jobs are over.
func TestNothingIsPackedBesideOlder(t *testing.T) {
	w := New(packing(), Options{Seed: 1})
	for i := range 30 {
		w.submit(units.Microseconds(i)*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	}
	for at := second / 10; at < 200*second; at += second / 10 {
		w.Run(at)
		for _, n := range w.Nodes[:2] { // as if the third's process ran 0.3
			n.core.OnPeer(n.local(), "node-2", core.PeerStatus{Release: 3})
		}
	}
	if l := w.State.List(w.now, "x", "shalestage-past/", "", 0); len(l.Items) > 0 {
		t.Errorf("%d buckets", len(l.Items))
	}
	if it, _, code := w.State.Get(w.now, "x", "shalestage/past"); code == 200 {
		t.Errorf("the mark is set: %s", it.Value)
	}
}

// TestOldAnswersUnderAStorm has users ask for far more old jobs than may be read:
// each gets the right answer or is sent away at once, nobody loses authority, and new
// jobs are accepted and started meanwhile.
func TestOldAnswersUnderAStorm(t *testing.T) {
	s := packing()
	w := New(s, Options{Seed: 1})
	preload(w, 20_000)
	w.Run(30 * second)
	asked, ok, shed := 0, 0, 0
	var took []units.Microseconds
	for i := range 3000 {
		w.after(units.Microseconds(i)*second/100, func() {
			n := w.Nodes[i%3]
			id := fmt.Sprintf("wk-%06d", 1_000_000+i*6)
			asked++
			sent := w.now
			n.ask(func(req core.RequestID) { n.core.Query(n.local(), req, id) }, 2*second, func(r core.Reply) {
				a, told := r.Body.(core.JobAnswer)
				switch {
				case told && a.Status == jobs.Done && a.Done == 2:
					ok++
					took = append(took, w.now-sent)
				case r.Code == 503 && r.RetryAfter > 0:
					shed++
				default:
					t.Errorf("%s: %+v", id, r)
				}
			})
		})
	}
	var fresh []*user.Job
	for i := range 10 {
		fresh = append(fresh, w.submit(w.now+units.Microseconds(i)*3*second, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true,
			Image: "i", Estimate: second}, second, 0))
	}
	w.Run(100 * second)
	if ok+shed != asked || ok < 300 {
		t.Errorf("of %d: %d right, %d sent away", asked, ok, shed)
	}
	slices.Sort(took)
	t.Logf("of %d in 30 s: %d right, %d sent away; half within %.3f s, 95%% within %.3f s, 99%% within %.3f s", asked, ok, shed,
		took[len(took)/2].Seconds(), took[len(took)*95/100].Seconds(), took[len(took)*99/100].Seconds())
	for _, j := range fresh {
		if j.Final != jobs.Done || j.Over-j.At > 30*second {
			t.Errorf("%s: %q after %.1f s", j.ID, j.Final, (j.Over - j.At).Seconds())
		}
	}
	if b := w.Check.Violations(); len(b) > 0 {
		t.Errorf("broken: %v", b)
	}
}

// preload stores packed jobs wk-1000000, wk-1000001 and so on, with two tasks each.
func preload(w *World, submitted int) {
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

var history = flag.Int("history", 0, "packed jobs with which to measure a start; 0: not measured")

// TestStart measures how a start depends on history:
// go test ./internal/emulator/sim -run TestStart -history 1000 -v, and with 10000000.
func TestStart(t *testing.T) {
	if *history == 0 {
		t.Skip("a measurement: -history N")
	}
	w := New(packing(), Options{Seed: 1})
	preload(w, *history)
	j := w.submit(second/100, &jobs.Spec{Team: "green", Tasks: 1, Demand: [3]int64{1000, 0, 1000}, AnyType: true, Image: "i", Estimate: second}, second, 0)
	began := time.Now()
	seated, whole := units.Microseconds(0), units.Microseconds(0)
	for at := second / 20; at < 600*second && (whole == 0 || j.Final == ""); at += second / 20 {
		w.Run(at)
		all := true
		for _, n := range w.census().Nodes {
			if n.Member && seated == 0 {
				seated = at
			}
			all = all && n.ArchivedIDs >= *history*9/10 // some are taken for others
		}
		if all && whole == 0 {
			whole = at
		}
	}
	t.Logf("%d packed jobs: seated after %.2f s, a job done after %.2f s, filter whole after %.1f s (simulated); %.1f s of real time",
		*history, seated.Seconds(), (j.Over - j.At).Seconds(), whole.Seconds(), time.Since(began).Seconds())
}

// service is the state service as backup's commands see it, without a network.
type service struct{ w *World }

func (d service) List(_ context.Context, prefix, after string, page int) (store.Outcome, uint64, []store.Event, bool) {
	l := d.w.State.List(d.w.now, "backup", prefix, after, page)
	return outcomeOf(l.Code), l.Rev, direct.Items(l.Items), l.More
}

func (d service) Watch(_ context.Context, _ string, after uint64, _ units.Microseconds) (store.Outcome, uint64, []store.Event, bool) {
	return store.OK, after, nil, false // nothing happens meanwhile
}

func (d service) Commit(_ context.Context, t *store.Txn) (store.Outcome, uint64, []string) {
	r := d.w.State.Commit(d.w.now, "backup", direct.Txn(t))
	return outcomeOf(r.Code), r.Rev, r.Failed
}

// TestRestoredBackup takes a backup, goes on, loses the state service with all that it
// holds, and puts the backup back. Workers still run what was started after it, and
// have seen its tokens: what was accepted before is done in the end, nothing runs
// twice at a time or beyond a limit, and what was accepted after is stopped.
func TestRestoredBackup(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w := New(packing(), Options{Seed: seed})
		job := func(team string) *jobs.Spec {
			return &jobs.Spec{Team: team, Tasks: 4, Demand: [3]int64{2000, 0, 1000}, AnyType: true, Image: "i", Estimate: 15 * second}
		}
		var before, after []*user.Job
		for i := range 20 {
			before = append(before, w.submit(units.Microseconds(i)*8*second, job("red"), 15*second, 0))
		}
		w.Run(165 * second)
		var file bytes.Buffer
		opt := backup.Options{Rate: 1e9, Sleep: func(time.Duration) {}, Now: func() time.Time { return time.UnixMicro(int64(w.now)) }}
		if _, err := backup.Save(t.Context(), service{w}, &file, nil, opt); err != nil {
			t.Fatal(err)
		}
		for i := range 6 {
			after = append(after, w.submit(w.now+units.Microseconds(i)*3*second, job("blue"), 60*second, 0))
		}
		w.Nodes[0].Crash() // so that terms rise after the backup
		w.Run(185 * second)
		for _, n := range w.Nodes {
			n.Crash()
		}
		w.State = kv.New(w.S.State.KV(), rand.New(rand.NewPCG(seed, 3)))
		done, err := backup.Restore(t.Context(), service{w}, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: opt, TxnOps: 4})
		if err != nil {
			t.Fatal(err)
		}
		w.Run(420 * second)
		for _, b := range w.Check.Violations() {
			// What a restore loses is lost: later jobs, and ends that were told since.
			if b.Rule != check.Forgotten && b.Rule != check.WentBack && b.Rule != check.Lost {
				t.Errorf("seed %d: %s", seed, b)
			}
		}
		for _, j := range before {
			if j.Job.DoneTasks() != 4 || j.Final != jobs.Done {
				t.Errorf("seed %d: %s is %q, %d tasks done", seed, j.ID, j.Final, j.Job.DoneTasks())
			}
		}
		if k := w.Holder(0); k == nil || done.Term < 1000 {
			t.Errorf("seed %d: held by %v, terms above %d", seed, k, done.Term)
		}
		// Of the later jobs nothing goes on: what ran has been stopped.
		for _, j := range after {
			if n := w.Check.Running(j.ID); n > 0 {
				t.Errorf("seed %d: %d tasks of %s still run", seed, n, j.ID)
			}
		}
	}
}

// TestListingOutlivesChanges starts a controller that has to read so much, at so low a
// rate, that the state service forgets the changes since it began, while its limits
// fall. Changes are followed from the first page on: it is loaded all the same, and
// knows what was removed meanwhile.
func TestListingOutlivesChanges(t *testing.T) {
	s := packing()
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
		w.after(units.Microseconds(i)*second/1500, func() {
			c := kv.Change{Key: "shalestage/type/x", Value: json.RawMessage(`{}`)}
			if i%3 == 0 { // also removes what was listed, or is going to be
				c = kv.Change{Key: fmt.Sprintf("shalestage/job/wk-%06d", i)}
			}
			if r := w.State.Commit(w.now, "other", kv.Txn{Changes: []kv.Change{c}}); r.Code == 200 {
				changes++
			}
		})
	}
	// The others' changes are no part of what the controller was told of the limits.
	l := s.State.KV()
	limit := func(at units.Microseconds, rate float64) { w.after(at, func() { l.Rate = rate; w.State.SetLimits(l) }) }
	limit(0, 1e6)
	limit(4*second, 1)
	limit(7*second, 1e6)
	loaded := units.Microseconds(0)
	for at := second / 2; at < 60*second && loaded == 0; at += second / 2 {
		w.Run(at)
		if w.census().Nodes[0].Member {
			loaded = at
		}
	}
	if loaded == 0 || loaded > 19*second { // only once the others were through
		t.Fatalf("seated after %.1f s and %d changes", loaded.Seconds(), changes)
	}
	w.Run(70 * second)
	if c := w.census(); c.Nodes[0].KnownJobs != c.Keys["shalestage/job"] || changes < 12_000 {
		t.Errorf("%d jobs known of %d after %d changes", c.Nodes[0].KnownJobs, c.Keys["shalestage/job"], changes)
	}
	t.Logf("seated after %.1f s and %d changes", loaded.Seconds(), changes)
}
