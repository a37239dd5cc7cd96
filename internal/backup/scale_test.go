package backup_test

import (
	"bytes"
	"context"
	"flag"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"shalestage.example/shalestage/internal/backup"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/packed"
	"shalestage.example/shalestage/internal/state"
)

var scaleJobs = flag.Int("scale", 0, "number of archived jobs for the measurement of backup and restore; 0: skipped")

// TestScale measures backup, restore and audit of many archived jobs over HTTP:
//
//	go test ./internal/backup -run TestScale -scale 1000000 -v
func TestScale(t *testing.T) {
	if *scaleJobs == 0 {
		t.Skip("measurement, enabled by -scale N")
	}
	source, sourceService := serve(t)
	target, targetService := serve(t)
	sourceService.Do(func(now units.Microseconds, m *kv.Service) {
		for _, e := range history(*scaleJobs) {
			if r := m.Commit(now, "x", kv.Txn{Changes: []kv.Change{{Key: e.Key, Value: e.Value}}}); r.Code != http.StatusOK {
				t.Errorf("%s: %d", e.Key, r.Code)
			}
		}
	})
	keys := func(s *host.State) (n int) {
		s.Do(func(_ units.Microseconds, m *kv.Service) { n = m.Len() })
		return n
	}
	options := backup.Options{Rate: 1e9, Sleep: func(time.Duration) {}}
	var file bytes.Buffer
	base := heap()
	began := time.Now()
	footer, err := backup.Save(t.Context(), source, &file, nil, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("backup: %d jobs in %d keys, %.1f s, %d bytes, heap %d MB more", *scaleJobs, footer.Lines, time.Since(began).Seconds(), file.Len(), heap()-base)
	began = time.Now()
	done, err := backup.Restore(t.Context(), target, bytes.NewReader(file.Bytes()), backup.RestoreOptions{Options: options, TxnOps: 12})
	if err != nil || keys(targetService) != keys(sourceService)+1 { // the restore adds the term
		t.Fatalf("%d keys of %d: %v", keys(targetService), keys(sourceService), err)
	}
	t.Logf("restore: %d keys, %.1f s", done.Keys, time.Since(began).Seconds())
	began = time.Now()
	report, err := backup.AuditLive(t.Context(), target, nil, 0, options)
	if err != nil || report.ArchivedJobs != *scaleJobs {
		t.Fatalf("audit: %d jobs, %v", report.ArchivedJobs, err)
	}
	t.Logf("audit: %.1f s, %d findings", time.Since(began).Seconds(), len(report.Findings))
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse >> 20)
}

// serve runs an emulated state service until the test ends.
func serve(t *testing.T) (*state.Client, *host.State) {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	service, err := host.NewState(kv.Limits{Rate: 1e9, WriteRate: 1e9, ValueBytes: 8 << 10, TxnOps: 12}, 0, nil, rand.New(rand.NewPCG(1, 2)), quiet,
		func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go service.Run(ctx)
	srv := &http.Server{Handler: service.Handler("x")}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close(); cancel() })
	return state.New(l.Addr().String(), 1e9, 1e9, quiet), service
}

// history returns the archive buckets of count jobs.
func history(count int) []store.Event {
	return packed.Buckets(count, func(i uint64) (uint64, archive.Summary) {
		return 1_000_000 + i*7919%90_000_000_000, archive.Summary{Status: jobs.Done, Tasks: int(1 + i%300), FinishedAt: units.Microseconds(1_790_000_000+i/2) * units.Second}
	})
}

var scaleInto = flag.String("into", "", "address of an emulated state service to fill with -scale archived jobs")

// TestFill fills the state service of a running deployment with archived jobs, to observe the resources
// that its controllers then use:
//
//	go test ./internal/backup -run TestFill -scale N -into HOST:PORT
func TestFill(t *testing.T) {
	if *scaleInto == "" {
		t.Skip("measurement, enabled by -into HOST:PORT")
	}
	c := state.New(*scaleInto, 1e9, 1e9, slog.New(slog.DiscardHandler))
	for _, e := range history(*scaleJobs) {
		for {
			outcome, _, _ := c.Commit(t.Context(), &store.Txn{Changes: []store.Change{{Key: e.Key, Value: e.Value}}})
			if outcome == store.OK {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}
