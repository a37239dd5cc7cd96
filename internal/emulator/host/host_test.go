package host

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/link"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/state"
)

var limits = kv.Limits{Rate: 1e6, WriteRate: 1e6, ValueBytes: 8 << 10, TxnOps: 12}

var discardLog = slog.New(slog.DiscardHandler)

// newState runs a state service until the test ends.
func newState(t testing.TB, disk *Disk) *State {
	t.Helper()
	s, err := NewState(limits, 0, disk, rand.New(rand.NewPCG(1, 1)), discardLog, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

// listen serves a handler and returns its address.
func listen(t testing.TB, h http.Handler) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// TestStateOverHTTP checks the emulated state service with the client that controllers use.
func TestStateOverHTTP(t *testing.T) {
	service := newState(t, nil)
	stateClient := state.New(listen(t, service.Handler("node-0")), 1000, 1000, discardLog)
	o, id := stateClient.OpenLease(t.Context(), 5*units.Second)
	if o != store.OK || id == 0 {
		t.Fatalf("lease: %v, %d", o, id)
	}
	txn := &store.Txn{Guards: []store.Guard{{Key: "p/a b"}}}
	if o, _, _ := stateClient.Commit(t.Context(), txn); o != store.TooLarge {
		t.Errorf("commit with a key that contains a space: %v", o)
	}
	txn = &store.Txn{Guards: []store.Guard{{Key: "p/a"}}, Changes: []store.Change{{Key: "p/a", Value: []byte(`{"x":1}`), Lease: id}, {Key: "p/b/c", Value: []byte("null")}}}
	o, rev, _ := stateClient.Commit(t.Context(), txn)
	if o != store.OK || rev != 1 {
		t.Fatalf("commit: %v at %d", o, rev)
	}
	if o, _, failed := stateClient.Commit(t.Context(), txn); o != store.Failed || len(failed) != 1 || failed[0] != "p/a" {
		t.Errorf("the same transaction again: %v, failed guards %v", o, failed)
	}
	if o, _, _ := stateClient.Commit(t.Context(), &store.Txn{Changes: []store.Change{{Key: "p/d", Value: []byte("1"), Lease: 99}}}); o != store.Failed {
		t.Errorf("commit with a lease that does not exist: %v", o)
	}
	watched := make(chan []store.Event)
	go func() {
		_, _, events, _ := stateClient.Watch(t.Context(), "p/", 1, 20*units.Second)
		watched <- events
	}()
	if o := stateClient.RenewLease(t.Context(), id); o != store.OK {
		t.Errorf("lease renewal: %v", o)
	}
	stateClient.CloseLease(t.Context(), id)
	if events := <-watched; len(events) != 1 || events[0].Key != "p/a" || events[0].Value != nil {
		t.Errorf("events when a lease is closed: %+v", events)
	}
	if o := stateClient.RenewLease(t.Context(), id); o != store.Failed {
		t.Errorf("renewal of a closed lease: %v", o)
	}
	if o, rev, items, more := stateClient.List(t.Context(), "p/", "", 500); o != store.OK || rev != 2 || more || len(items) != 1 || items[0].Key != "p/b/c" {
		t.Errorf("listing: %v at %d: %+v", o, rev, items)
	}
	if o, value, version, _ := stateClient.Get(t.Context(), "p/b/c"); o != store.OK || value == nil || version != 1 {
		t.Errorf("get: %v, %s at revision %d", o, value, version)
	}
	if o, value, _, rev := stateClient.Get(t.Context(), "p/none"); o != store.OK || value != nil || rev != 2 {
		t.Errorf("get of a missing key: %v, %s, revision %d", o, value, rev)
	}
	if _, _, _, gone := stateClient.Watch(t.Context(), "p/", 0, 0); gone {
		t.Error("a watch from two changes ago is refused as too old")
	}
	service.Do(func(now units.Microseconds, m *kv.Service) { m.RefuseClient("node-0", now+units.Second) })
	if o, _, _, _ := stateClient.List(t.Context(), "p/", "", 500); o != store.Refused {
		t.Errorf("listing while this client is refused: %v", o)
	}
	other := state.New(listen(t, service.Handler("node-1")), 1000, 1000, discardLog)
	if o, _, _, _ := other.List(t.Context(), "p/", "", 500); o != store.OK {
		t.Errorf("listing of another client meanwhile: %v", o)
	}
}

// TestAcknowledgedWritesSurviveCrash guards against the loss of acknowledged writes when the process is killed. It
// copies the data file after each response, as a crash at that moment would leave it; the copy must have all
// acknowledged writes.
func TestAcknowledgedWritesSurviveCrash(t *testing.T) {
	dir := t.TempDir()
	disk, err := OpenDisk(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	if _, err := OpenDisk(dir); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second open of the directory: %v", err)
	}
	s := newState(t, disk)
	c := state.New(listen(t, s.Handler("x")), 1e6, 1e6, discardLog)
	_, lease := c.OpenLease(t.Context(), 60*units.Second)
	want := map[string]string{}
	for i := range 30 {
		key, value := fmt.Sprintf("k/%d", i%7), fmt.Sprintf(`{"n":%d}`, i)
		ch := store.Change{Key: key, Value: []byte(value), Lease: lease * uint64(i%2)}
		if want[key] = value; i%5 == 4 {
			ch.Value = nil
			delete(want, key)
		}
		o, rev, _ := c.Commit(t.Context(), &store.Txn{Changes: []store.Change{ch}})
		if o != store.OK {
			t.Fatalf("commit %d: %v", i, o)
		}
		b, err := os.ReadFile(filepath.Join(dir, "state.db"))
		if err != nil {
			t.Fatal(err)
		}
		crashDir := t.TempDir()
		if err := os.WriteFile(filepath.Join(crashDir, "state.db"), b, 0o644); err != nil {
			t.Fatal(err)
		}
		crashed, err := OpenDisk(crashDir)
		if err != nil {
			t.Fatal(err)
		}
		gotRev, lastLease, items, leases, err := crashed.Read()
		if err != nil || gotRev != rev || lastLease != lease || len(leases) != 1 || leases[0].TTL != 60*units.Second {
			t.Fatalf("after commit %d: revision %d, want %d; last lease %d, leases %+v; %v", i, gotRev, rev, lastLease, leases, err)
		}
		got := map[string]string{}
		for _, it := range items {
			got[it.Key] = string(it.Value)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("after commit %d: keys %v, want %v", i, got, want)
		}
		if err := crashed.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestCloudOverHTTP checks the emulated cloud with the client that controllers use.
func TestCloudOverHTTP(t *testing.T) {
	p := cloudprovider.Pool{Type: "big", Zone: "z"}
	st := site.New(site.Config{HeartbeatInterval: units.Second, Lease: 10 * units.Second, Cloud: cloudprovider.Config{RequestRate: 1000, Capacity: map[cloudprovider.Pool]int{p: 3},
		Types: []cloudprovider.MachineType{{Name: "big", CPUs: 4, MemoryGB: 8, FetchGBs: 1, Price: 1, Boot: 3600 * units.Second, Zones: []string{"z"}}}}}, rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	emulated := NewCloud(ctx, st, nil, "127.0.0.1", 0, nil, discardLog)
	go emulated.Run()
	client := cloud.New(listen(t, emulated.Handler()), 1000, discardLog)
	yes := func() bool { return true }
	if o, types := client.Types(t.Context()); o != store.OK || len(types) != 1 || types[0].Name != "big" {
		t.Fatalf("types: %v, %+v", o, types)
	}
	r := autoscaler.Increase{Pool: autoscaler.Pool{Type: "big", Zone: "z"}, Count: 2}
	_, first := client.ScaleOut(t.Context(), "r-1", r, yes)
	_, again := client.ScaleOut(t.Context(), "r-1", r, yes)
	_, rest := client.ScaleOut(t.Context(), "r-2", r, yes)
	if len(first) != 2 || fmt.Sprint(first) != fmt.Sprint(again) || len(rest) != 1 {
		t.Errorf("first request created %v, its retry %v, the next request %v", first, again, rest)
	}
	if o, _ := client.ScaleOut(t.Context(), "r-3", r, yes); o != store.Failed {
		t.Errorf("scale-out beyond the capacity: %v", o)
	}
	if o, hosts := client.List(t.Context()); o != store.OK || len(hosts) != 3 {
		t.Errorf("machine list: %v, %+v", o, hosts)
	} else if _, err := net.ResolveTCPAddr("tcp4", hosts[0].Addr); err != nil || hosts[0].Addr == "" {
		t.Errorf("address %q", hosts[0].Addr)
	}
	if o := client.ScaleIn(t.Context(), first, yes); o != store.OK {
		t.Errorf("scale-in: %v", o)
	}
	if _, hosts := client.List(t.Context()); len(hosts) != 1 {
		t.Errorf("machines after the scale-in: %+v", hosts)
	}
	emulated.Do(func(now units.Microseconds, s *site.Site) { s.Cloud.SetDown(now + units.Second) })
	if o, _ := client.ScaleOut(t.Context(), "r-4", r, yes); o != store.Refused {
		t.Errorf("scale-out while the cloud is down: %v", o)
	}
}

// TestLinkImpairments sends a request through a link in each mode. Held bytes must arrive only when the impairment
// ends, Drop and Reset must fail the request, and the other modes must not.
func TestLinkImpairments(t *testing.T) {
	echo := listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	l := link.New(echo)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	defer l.Close()
	go func() { _ = l.Serve(listener) }() // ends with the listener
	httpClient := &http.Client{Timeout: 20 * time.Second}
	impair := func(m link.Mode, d time.Duration) time.Time {
		u := time.Now().Add(d)
		l.SetImpairment(link.Impairment{Mode: m, Until: u, Interval: time.Millisecond}, true, true)
		return u
	}
	for _, m := range []link.Mode{link.Pass, link.Hold, link.Trickle, link.Delay, link.Drop, link.Reset} {
		end := impair(m, 300*time.Millisecond)
		resp, err := httpClient.Get("http://" + listener.Addr().String())
		if err == nil {
			_ = resp.Body.Close()
		}
		lost := m == link.Drop || m == link.Reset
		if lost != (err != nil) {
			t.Errorf("request in mode %d: %v", m, err)
		}
		if m == link.Hold && time.Now().Before(end) {
			t.Error("held bytes arrived before the impairment ended")
		}
		httpClient.CloseIdleConnections()
		impair(link.Pass, 0)
	}
}

// BenchmarkStateReads measures the read throughput of the state service.
func BenchmarkStateReads(b *testing.B) {
	s := newState(b, nil)
	s.Do(func(now units.Microseconds, m *kv.Service) {
		m.SetLimits(kv.Limits{Rate: 1e9, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 12})
		m.Commit(now, "x", kv.Txn{Changes: []kv.Change{{Key: "a/b", Value: json.RawMessage(`{"x":1}`)}}})
	})
	addr := listen(b, s.Handler("x"))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := c.Get("http://" + addr + "/keys/a/b")
			if err != nil || resp.StatusCode != http.StatusOK {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body) // so that the connection is reused
			_ = resp.Body.Close()
		}
	})
}
