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

// Report is what an audit found.
type Report struct {
	Keys     map[string]int       `json:"keys"` // by folder
	Packed   int                  `json:"packed_jobs"`
	Findings []introspect.Finding `json:"findings"`
}

// Hosts lists the cloud's machines.
type Hosts interface {
	List(ctx context.Context) (store.Outcome, []wire.Host)
}

// AuditLive looks at a state service twice, as what one look shows of keys that change
// meanwhile does not belong together: only what both have found counts. Machines are held
// against the cloud's list, if there is one; as that lags, the second look waits for the
// given time.
func AuditLive(ctx context.Context, s Service, cloud Hosts, lag time.Duration, o Options) (Report, error) {
	o.fill()
	first, err := look(ctx, s, cloud, o)
	if err != nil || len(first.Findings) == 0 {
		return first, err
	}
	if cloud != nil {
		o.Sleep(lag)
	}
	second, err := look(ctx, s, cloud, o)
	if err != nil {
		return second, err
	}
	second.Findings = slices.DeleteFunc(second.Findings, func(f introspect.Finding) bool {
		return !slices.ContainsFunc(first.Findings, func(g introspect.Finding) bool { return f.Kind == g.Kind && f.Key == g.Key })
	})
	return second, nil
}

func look(ctx context.Context, s Service, cloud Hosts, o Options) (Report, error) {
	in := introspect.NewInspector()
	for _, part := range []struct {
		prefix string
		page   int
		f      func(store.Event)
	}{{core.Root, pageKeys, in.Inspect}, {archive.Prefix, 64, in.InspectBucket}} {
		for after, more := "", true; more; {
			var items []store.Event
			var err error
			if _, items, more, err = o.list(ctx, s, part.prefix, after, part.page); err != nil {
				return Report{}, err
			}
			for _, e := range items {
				part.f(e)
				after = e.Key
			}
		}
	}
	rep := report(in)
	if cloud == nil {
		return rep, nil
	}
	var hosts []wire.Host
	err := o.again(ctx, "the machine list", func() (out store.Outcome) {
		out, hosts = cloud.List(ctx)
		return out
	})
	rep.Findings = append(rep.Findings, machines(in.Machines(), hosts)...)
	return rep, err
}

func report(in *introspect.Inspector) Report {
	keys, packed := in.Keys()
	return Report{keys, packed, in.Findings()}
}

// machines holds the machines of records against the cloud's list. What is found is the
// controllers' to mend: they return what nobody needs, and adopt what reports.
func machines(recorded map[string]string, hosts []wire.Host) (out []introspect.Finding) {
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

// AuditFile looks at a backup, which is read twice, so that its size does not
// matter. Only the last that it shows of a key counts.
func AuditFile(open func() (io.ReadCloser, error)) (Report, error) {
	pass := func(f func(n int, e store.Event)) error {
		r, err := open()
		if err != nil {
			return err
		}
		n := 0
		var s Summary
		err = Each(r, &s, func(e store.Event) error {
			n++
			f(n, e)
			return nil
		})
		return errors.Join(err, r.Close())
	}
	last := map[string]int{} // where the last of each bucket stands
	live := map[string]store.Event{}
	in := introspect.NewInspector()
	err := pass(func(n int, e store.Event) {
		switch {
		case strings.HasPrefix(e.Key, archive.Prefix):
			last[e.Key] = n
		case !strings.HasPrefix(e.Key, core.Root):
		case e.Value == nil:
			delete(live, e.Key)
		default:
			e.Stamp = uint64(n)
			live[e.Key] = e
		}
	})
	if err != nil {
		return Report{}, err
	}
	for _, k := range slices.Sorted(maps.Keys(live)) {
		in.Inspect(live[k])
	}
	err = pass(func(n int, e store.Event) {
		if last[e.Key] == n && e.Value != nil {
			in.InspectBucket(e)
		}
	})
	rep := report(in)
	// Seats have no versions in a file, and their blocks are granted anew after a restore.
	rep.Findings = slices.DeleteFunc(rep.Findings, func(f introspect.Finding) bool { return f.Kind == "no_seat" })
	for i := range rep.Findings {
		rep.Findings[i].Clear, rep.Findings[i].Fix = nil, false
	}
	return rep, err
}

// Fix clears what is safe to clear, and returns how many findings that were. Each is
// guarded by the versions that were seen: what has changed since is left alone.
func Fix(ctx context.Context, s Service, list []introspect.Finding, ops int, o Options) (int, error) {
	o.fill()
	cleared := 0
	for _, f := range list {
		if f.Clear == nil {
			continue
		}
		failed := false
		for left := f.Clear.Changes; len(left) > 0 && !failed; {
			n := min(len(left), ops)
			err := o.again(ctx, "clearing", func() store.Outcome {
				o, _, _ := s.Commit(ctx, &store.Txn{Guards: f.Clear.Guards, Changes: left[:n]})
				if failed = o == store.Failed; failed {
					return store.OK // no longer so
				}
				return o
			})
			if err != nil {
				return cleared, err
			}
			left = left[n:]
		}
		if !failed {
			cleared++
		}
	}
	return cleared, nil
}
