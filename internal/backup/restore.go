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

// restoreKey exists while a restore is running. Each transaction of the restore guards and rewrites it, so that a
// delayed transaction cannot overwrite the changes of later ones.
const restoreKey = "shalestage-restore"

// ErrNotEmpty is returned if the state service already contains keys.
var ErrNotEmpty = errors.New("the state service is not empty")

// RestoreOptions configure a restore.
type RestoreOptions struct {
	Options
	Force  bool // delete existing keys first
	TxnOps int  // maximum number of changes per transaction
	// MinTerm is the lowest value for the restored term. If it is 0, the term depends on the backup's term and
	// age alone.
	MinTerm uint64
}

// termMargin is added to the term of a backup, together with one term per second of its age. Terms never increase
// faster than one per second, because the loss of a leader is detected only after its lease has expired.
const termMargin = 1000

// RestoreResult describes a completed restore.
type RestoreResult struct {
	Keys    int    `json:"keys"` // number of written records; a key may be written more than once
	Skipped int    `json:"skipped"`
	Term    uint64 `json:"term"` // every later term is higher
}

// restorer is the state of a running restore.
type restorer struct {
	service StateService
	options RestoreOptions
	version uint64 // of restoreKey; 0: it does not exist
	batch   []store.Change
	size    int
	result  RestoreResult
}

// Restore restores a backup, which the caller must have verified. All fencing tokens issued after the restore are
// higher than any that workers can have seen, including tokens issued after the backup was made.
func Restore(ctx context.Context, s StateService, source io.Reader, options RestoreOptions) (RestoreResult, error) {
	options.setDefaults()
	restoring := &restorer{service: s, options: options}
	if err := restoring.prepare(ctx); err != nil {
		return restoring.result, err
	}
	var summary Summary
	var term authority.Term
	err := ForEachRecord(source, &summary, func(event store.Event) error {
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
		return restoring.result, err
	}
	if term.Term, err = options.nextTerm(term.Term, summary.StartedAt); err != nil {
		return restoring.result, err
	}
	restoring.result.Term = term.Term
	if err := restoring.add(ctx, store.Change{Key: core.TermKey, Value: store.Value(term)}); err != nil {
		return restoring.result, err
	}
	if err := restoring.flush(ctx); err != nil {
		return restoring.result, err
	}
	return restoring.result, restoring.finish(ctx)
}

// nextTerm returns a term higher than any that can have been used since a backup with the given term was started.
// startedAt is the start time from the header.
func (o *RestoreOptions) nextTerm(term uint64, startedAt string) (uint64, error) {
	start, err := time.Parse(time.RFC3339, startedAt)
	if err != nil {
		return 0, fmt.Errorf("start time of the backup: %w", err)
	}
	age := max(0, o.Now().Sub(start).Seconds())
	term = max(term+termMargin+uint64(age), o.MinTerm)
	if term > authority.MaxTerm {
		return 0, fmt.Errorf("term %d exceeds the maximum of %d", term, uint64(authority.MaxTerm))
	}
	return term, nil
}

// restore restores one key other than the key of the term.
func (r *restorer) restore(ctx context.Context, event store.Event) error {
	if core.IsLeased(event) {
		r.result.Skipped++ // the key belonged to a controller's lease, which has expired
		return nil
	}
	if event.Key == core.ArchiveKey && event.Value != nil {
		var mark archive.Mark
		if err := json.Unmarshal(event.Value, &mark); err != nil {
			return fmt.Errorf("%s: %w", event.Key, err)
		}
		mark.Cutoff = 0 // the revisions of the restored service start over
		event.Value = store.Value(mark)
	}
	return r.add(ctx, store.Change{Key: event.Key, Value: event.Value})
}

// prepare checks that the service is empty or, with Force, deletes all existing keys except restoreKey.
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
		if e.Key == restoreKey { // of a restore that did not complete
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
	r.result = RestoreResult{}
	return nil
}

func (r *restorer) add(ctx context.Context, c store.Change) error {
	if len(r.batch)+2 > r.options.TxnOps || r.size+c.Size() > store.MaxTxnBytes {
		if err := r.flush(ctx); err != nil {
			return err
		}
	}
	r.batch = append(r.batch, c)
	r.size += c.Size()
	return nil
}

// flush commits the current batch.
func (r *restorer) flush(ctx context.Context) error {
	if len(r.batch) == 0 {
		return nil
	}
	inDoubt := false
	err := r.options.retry(ctx, "writing", func() store.Outcome {
		txn := &store.Txn{Guards: []store.Guard{{Key: restoreKey, Version: r.version}},
			Changes: append([]store.Change{{Key: restoreKey, Value: store.Value(r.result)}}, r.batch...)}
		outcome, revision, _ := r.service.Commit(ctx, txn)
		if outcome == store.OK {
			r.version = revision
		}
		if outcome == store.Failed && inDoubt || outcome == store.Unknown {
			// The transaction may have been committed. In that case restoreKey has a new version, and the same
			// changes are written again with that version as the guard.
			inDoubt = true
			if listed, _, items, _ := r.service.List(ctx, restoreKey, "", 1); listed == store.OK && len(items) == 1 {
				r.version = items[0].Stamp
			}
		}
		return outcome
	})
	r.result.Keys += len(r.batch)
	r.batch, r.size = r.batch[:0], 0
	if r.result.Keys%10_000 < r.options.TxnOps {
		r.options.Progressf("%d keys", r.result.Keys)
	}
	return err
}

// finish deletes restoreKey, whose presence marks a restore as running.
func (r *restorer) finish(ctx context.Context) error {
	return r.options.retry(ctx, "writing", func() store.Outcome {
		outcome, _, _ := r.service.Commit(ctx, &store.Txn{Changes: []store.Change{{Key: restoreKey}}}) // without guards, so it cannot fail with a conflict
		return outcome
	})
}
