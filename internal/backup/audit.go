package backup

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/introspect"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/wire"
)

// AuditResult is the result of an audit.
type AuditResult struct {
	Keys         map[string]int       `json:"keys"` // number of keys, by store.KeyGroup
	ArchivedJobs int                  `json:"packed_jobs"`
	Findings     []introspect.Finding `json:"findings"`
}

// HostLister lists the machines of the cloud.
type HostLister interface {
	List(ctx context.Context) (store.Outcome, []wire.Host)
}

// AuditLive audits a running state service. It reads all keys twice and returns only the findings of both passes,
// because keys that change during one pass can look inconsistent. If cloud is not nil, machines are compared with
// the cloud's machine list. As that list may be out of date, the second pass starts after lag.
func AuditLive(ctx context.Context, s StateService, cloud HostLister, lag time.Duration, options Options) (AuditResult, error) {
	options.setDefaults()
	first, err := inspect(ctx, s, cloud, options)
	if err != nil || len(first.Findings) == 0 {
		return first, err
	}
	if cloud != nil {
		options.sleep(ctx, lag)
	}
	second, err := inspect(ctx, s, cloud, options)
	if err != nil {
		return second, err
	}
	second.Findings = slices.DeleteFunc(second.Findings, func(f introspect.Finding) bool {
		return !slices.ContainsFunc(first.Findings, func(g introspect.Finding) bool { return f.Kind == g.Kind && f.Key == g.Key })
	})
	return second, nil
}

// inspect reads every key once and checks the keys for consistency.
func inspect(ctx context.Context, s StateService, cloud HostLister, options Options) (AuditResult, error) {
	inspector := introspect.NewInspector()
	for _, part := range []struct {
		prefix string
		page   int
		f      func(store.Event)
	}{{core.Root, pageSize, inspector.Inspect}, {archive.Prefix, 64, inspector.InspectBucket}} {
		for after, more := "", true; more; {
			var items []store.Event
			var err error
			if _, items, more, err = options.list(ctx, s, part.prefix, after, part.page); err != nil {
				return AuditResult{}, err
			}
			for _, e := range items {
				part.f(e)
				after = e.Key
			}
		}
	}
	result := newResult(inspector)
	if cloud == nil {
		return result, nil
	}
	var hosts []wire.Host
	err := options.retry(ctx, "the machine list", func() (outcome store.Outcome) {
		outcome, hosts = cloud.List(ctx)
		return outcome
	})
	result.Findings = append(result.Findings, compareMachines(inspector.Machines(), hosts)...)
	return result, err
}

func newResult(in *introspect.Inspector) AuditResult {
	keys, archivedJobs := in.Keys()
	return AuditResult{keys, archivedJobs, in.Findings()}
}

// compareMachines compares the recorded machines with the cloud's machine list. Controllers repair the differences
// themselves: they return machines that are not needed and adopt machines that send heartbeats.
func compareMachines(recorded map[string]string, hosts []wire.Host) (out []introspect.Finding) {
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.ID] = true
		key, known := recorded[h.ID]
		switch {
		case !known:
			out = append(out, introspect.Finding{Kind: "stray", Key: h.ID, Text: fmt.Sprintf("a machine of type %s in zone %s that no record names, listed as %s; a controller adopts or returns it", h.Type, h.Zone, h.State)})
		case h.State == wire.HostFailed:
			out = append(out, introspect.Finding{Kind: "failed", Key: h.ID, Text: "a machine of " + key + " that has stopped of its own accord and was not returned"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(recorded)) {
		if !listed[name] {
			out = append(out, introspect.Finding{Kind: "gone", Key: name, Text: "a machine of " + recorded[name] + " that is not in the cloud's list"})
		}
	}
	return out
}

// AuditFile audits a backup. It reads the file twice, so that archived jobs are never all in memory and the size of
// the archive does not matter. Only the last record of each key counts.
func AuditFile(open func() (io.ReadCloser, error)) (AuditResult, error) {
	scan := func(f func(n int, e store.Event)) error {
		r, err := open()
		if err != nil {
			return fmt.Errorf("open the backup: %w", err)
		}
		n := 0
		var s Summary
		err = ForEachRecord(r, &s, func(e store.Event) error {
			n++
			f(n, e)
			return nil
		})
		return errors.Join(err, r.Close())
	}
	lastOfKey := map[string]int{} // position of the last record of each archive bucket
	records := map[string]store.Event{}
	inspector := introspect.NewInspector()
	err := scan(func(n int, e store.Event) {
		switch {
		case strings.HasPrefix(e.Key, archive.Prefix):
			lastOfKey[e.Key] = n
		case !strings.HasPrefix(e.Key, core.Root):
		case e.Value == nil:
			delete(records, e.Key)
		default:
			e.Stamp = uint64(n)
			records[e.Key] = e
		}
	})
	if err != nil {
		return AuditResult{}, err
	}
	for _, k := range slices.Sorted(maps.Keys(records)) {
		inspector.Inspect(records[k])
	}
	err = scan(func(n int, e store.Event) {
		if lastOfKey[e.Key] == n && e.Value != nil {
			inspector.InspectBucket(e)
		}
	})
	result := newResult(inspector)
	// A backup does not contain the versions of memberships, and shards are reassigned after a restore.
	result.Findings = slices.DeleteFunc(result.Findings, func(f introspect.Finding) bool { return f.Kind == "no_seat" })
	for i := range result.Findings {
		result.Findings[i].Clear, result.Findings[i].Fix = nil, false
	}
	return result, err
}

// Fix clears the findings that are safe to clear and returns their number. ops is the maximum number of changes per
// transaction. Each transaction is guarded by the versions that the audit read, so that keys that have changed since
// are not modified.
func Fix(ctx context.Context, s StateService, list []introspect.Finding, ops int, options Options) (int, error) {
	options.setDefaults()
	cleared := 0
	for _, f := range list {
		if f.Clear == nil {
			continue
		}
		failed := false
		for remaining := f.Clear.Changes; len(remaining) > 0 && !failed; {
			n := min(len(remaining), ops)
			err := options.retry(ctx, "clearing", func() store.Outcome {
				outcome, _, _ := s.Commit(ctx, &store.Txn{Guards: f.Clear.Guards, Changes: remaining[:n]})
				if failed = outcome == store.Failed; failed {
					return store.OK // the finding no longer applies
				}
				return outcome
			})
			if err != nil {
				return cleared, err
			}
			remaining = remaining[n:]
		}
		if !failed {
			cleared++
		}
	}
	return cleared, nil
}
