package backup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/store"
)

// restoreKey is there while a restore is under way. Each of its transactions guards
// and rewrites it, so that none that comes late changes what later ones have written.
const restoreKey = "shalestage-restore"

// ErrNotEmpty is returned when the state service holds something already.
var ErrNotEmpty = errors.New("the state service is not empty")

// RestoreOptions say how a backup is put back.
type RestoreOptions struct {
	Options
	Force bool // what is there is removed first
	Ops   int  // changes of one transaction
	// Above is the least that the next term must be above; 0: by the age of the backup.
	Above uint64
}

// termMargin is added to a backup's term beside one for each second of its age: a
// leader's end is noticed after a lease, so terms never rise faster.
const termMargin = 1000

// Restored is what a restore has done.
type Restored struct {
	Keys    int    `json:"keys"` // written, some more than once
	Skipped int    `json:"skipped"`
	Term    uint64 `json:"term"` // that every later term is above
}

// restorer is a restore under way.
type restorer struct {
	service Service
	options RestoreOptions
	version uint64 // of restoreKey; 0: it does not exist
	batch   []store.Change
	size    int
	done    Restored
}

// Restore puts a backup back that was verified before. Every fencing token that is given out
// afterwards is above all that workers can have seen, also after the backup.
func Restore(ctx context.Context, s Service, source io.Reader, options RestoreOptions) (Restored, error) {
	options.setDefaults()
	restoring := &restorer{service: s, options: options}
	if err := restoring.prepare(ctx); err != nil {
		return restoring.done, err
	}
	var summary Summary
	var term authority.Term
	err := Each(source, &summary, func(event store.Event) error {
		if event.Key != core.TermKey {
			return restoring.restore(ctx, event)
		}
		if event.Value == nil {
			return nil
		}
		if err := json.Unmarshal(event.Value, &term); err != nil {
			return fmt.Errorf("%s: %w", event.Key, err)
		}
		return nil
	})
	if err != nil {
		return restoring.done, err
	}
	if term.Term, err = options.nextTerm(term.Term, summary.StartedAt); err != nil {
		return restoring.done, err
	}
	restoring.done.Term = term.Term
	if err := restoring.add(ctx, store.Change{Key: core.TermKey, Value: store.Value(term)}); err != nil {
		return restoring.done, err
	}
	if err := restoring.flush(ctx); err != nil {
		return restoring.done, err
	}
	return restoring.done, restoring.finish(ctx)
}

// nextTerm returns a term above any that was given out since a backup of that term was
// started, at a time as in its head.
func (o *RestoreOptions) nextTerm(term uint64, startedAt string) (uint64, error) {
	start, err := time.Parse(time.RFC3339, startedAt)
	if err != nil {
		return 0, fmt.Errorf("the backup's time: %w", err)
	}
	age := max(0, o.Now().Sub(start).Seconds())
	term = max(term+termMargin+uint64(age), o.Above)
	if term > authority.MaxTerm {
		return 0, fmt.Errorf("term %d: there are no more than %d", term, uint64(authority.MaxTerm))
	}
	return term, nil
}

// restore puts back one key other than the term's.
func (r *restorer) restore(ctx context.Context, event store.Event) error {
	if core.IsLeased(event) {
		r.done.Skipped++ // it ended with its controller's lease
		return nil
	}
	if event.Key == core.ArchiveKey && event.Value != nil {
		var mark archive.Mark
		if err := json.Unmarshal(event.Value, &mark); err != nil {
			return fmt.Errorf("%s: %w", event.Key, err)
		}
		mark.Cutoff = 0 // revisions begin anew
		event.Value = store.Value(mark)
	}
	return r.add(ctx, store.Change{Key: event.Key, Value: event.Value})
}

// prepare begins: into an empty service only, unless forced.
func (r *restorer) prepare(ctx context.Context) error {
	var items []store.Event
	more := true
	list := func() (err error) {
		_, items, more, err = r.options.list(ctx, r.service, Prefix, "", pageSize)
		return err
	}
	if err := list(); err != nil {
		return err
	}
	if len(items) > 0 && !r.options.Force {
		return ErrNotEmpty
	}
	for _, e := range items {
		if e.Key == restoreKey { // of a restore that did not end
			r.version = e.Stamp
		}
	}
	for len(items) > 0 {
		for _, e := range items {
			if e.Key == restoreKey {
				continue
			}
			if err := r.add(ctx, store.Change{Key: e.Key}); err != nil {
				return err
			}
		}
		if err := r.flush(ctx); err != nil {
			return err
		}
		if !more {
			break
		}
		if err := list(); err != nil {
			return err
		}
	}
	r.done = Restored{}
	return nil
}

func (r *restorer) add(ctx context.Context, c store.Change) error {
	if len(r.batch)+2 > r.options.Ops || r.size+c.Size() > store.MaxTxnBytes {
		if err := r.flush(ctx); err != nil {
			return err
		}
	}
	r.batch = append(r.batch, c)
	r.size += c.Size()
	return nil
}

// flush writes what waits.
func (r *restorer) flush(ctx context.Context) error {
	if len(r.batch) == 0 {
		return nil
	}
	inDoubt := false
	err := r.options.retry(ctx, "writing", func() store.Outcome {
		txn := &store.Txn{Guards: []store.Guard{{Key: restoreKey, Version: r.version}},
			Changes: append([]store.Change{{Key: restoreKey, Value: store.Value(r.done)}}, r.batch...)}
		outcome, revision, _ := r.service.Commit(ctx, txn)
		if outcome == store.OK {
			r.version = revision
		}
		if outcome == store.Failed && inDoubt || outcome == store.Unknown {
			// It may have been carried out: then the key has a new version, under which
			// the same is written once more.
			inDoubt = true
			if listed, _, items, _ := r.service.List(ctx, restoreKey, "", 1); listed == store.OK && len(items) == 1 {
				r.version = items[0].Stamp
			}
		}
		return outcome
	})
	r.done.Keys += len(r.batch)
	r.batch, r.size = r.batch[:0], 0
	if r.done.Keys%10_000 < r.options.Ops {
		r.options.Progressf("%d keys", r.done.Keys)
	}
	return err
}

// finish removes the key that says that the restore is under way.
func (r *restorer) finish(ctx context.Context) error {
	return r.options.retry(ctx, "writing", func() store.Outcome {
		outcome, _, _ := r.service.Commit(ctx, &store.Txn{Changes: []store.Change{{Key: restoreKey}}}) // no guard that could fail
		return outcome
	})
}
