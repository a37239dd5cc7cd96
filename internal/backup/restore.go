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

// ErrNotEmpty says that the state service holds something already.
var ErrNotEmpty = errors.New("the state service is not empty")

// RestoreOptions say how a backup is put back.
type RestoreOptions struct {
	Options
	Force bool // what is there is removed first
	Ops   int  // changes of one transaction
	// Above is the least that the next term must be above; 0: by the age of the backup.
	Above uint64
}

// termsAtLeast is added to a backup's term beside one for each second of its age: a
// leader's end is noticed after a lease, so terms never rise faster.
const termsAtLeast = 1000

// Restored is what a restore has done.
type Restored struct {
	Keys    int    `json:"keys"` // written, some more than once
	Skipped int    `json:"skipped"`
	Term    uint64 `json:"term"` // that every later term is above
}

type restoring struct {
	s     Service
	o     RestoreOptions
	stamp uint64
	batch []store.Change
	size  int
	out   Restored
}

// Restore puts a backup back that was verified before. Every token that is given out
// afterwards is above all that workers can have seen, also after the backup.
func Restore(ctx context.Context, s Service, r io.Reader, o RestoreOptions) (Restored, error) {
	o.fill()
	w := &restoring{s: s, o: o}
	if err := w.clear(ctx); err != nil {
		return w.out, err
	}
	var sum Summary
	term := authority.Term{}
	err := Each(r, &sum, func(e store.Event) error {
		if e.Key == core.TermKey {
			if e.Value != nil {
				if err := json.Unmarshal(e.Value, &term); err != nil {
					return fmt.Errorf("%s: %w", e.Key, err)
				}
			}
			return nil
		}
		if core.IsLeased(e) {
			w.out.Skipped++ // it ended with its controller's lease
			return nil
		}
		if e.Key == core.ArchiveKey && e.Value != nil {
			var m archive.Mark
			if err := json.Unmarshal(e.Value, &m); err != nil {
				return fmt.Errorf("%s: %w", e.Key, err)
			}
			m.Cut = 0 // revisions begin anew
			e.Value = store.Value(m)
		}
		return w.add(ctx, store.Change{Key: e.Key, Value: e.Value})
	})
	if err != nil {
		return w.out, err
	}
	began, err := time.Parse(time.RFC3339, sum.Began)
	if err != nil {
		return w.out, fmt.Errorf("the backup's time: %w", err)
	}
	age := max(0, o.Now().Sub(began).Seconds())
	term.Term = max(term.Term+termsAtLeast+uint64(age), o.Above)
	if term.Term > authority.MaxTerm {
		return w.out, fmt.Errorf("term %d: there are no more than %d", term.Term, uint64(authority.MaxTerm))
	}
	w.out.Term = term.Term
	if err := w.add(ctx, store.Change{Key: core.TermKey, Value: store.Value(term)}); err != nil {
		return w.out, err
	}
	if err := w.flush(ctx); err != nil {
		return w.out, err
	}
	return w.out, w.end(ctx)
}

// clear begins: into an empty service only, unless forced.
func (w *restoring) clear(ctx context.Context) error {
	var items []store.Event
	more := true
	list := func() (err error) {
		_, items, more, err = w.o.list(ctx, w.s, Prefix, "", pageKeys)
		return err
	}
	if err := list(); err != nil {
		return err
	}
	if len(items) > 0 && !w.o.Force {
		return ErrNotEmpty
	}
	for _, e := range items {
		if e.Key == restoreKey { // of a restore that did not end
			w.stamp = e.Stamp
		}
	}
	for len(items) > 0 {
		for _, e := range items {
			if e.Key == restoreKey {
				continue
			}
			if err := w.add(ctx, store.Change{Key: e.Key}); err != nil {
				return err
			}
		}
		if err := w.flush(ctx); err != nil {
			return err
		}
		if !more {
			break
		}
		if err := list(); err != nil {
			return err
		}
	}
	w.out = Restored{}
	return nil
}

func (w *restoring) add(ctx context.Context, c store.Change) error {
	if len(w.batch)+2 > w.o.Ops || w.size+c.Size() > store.TxnBytes {
		if err := w.flush(ctx); err != nil {
			return err
		}
	}
	w.batch = append(w.batch, c)
	w.size += c.Size()
	return nil
}

// flush writes what waits.
func (w *restoring) flush(ctx context.Context) error {
	if len(w.batch) == 0 {
		return nil
	}
	unsure := false
	err := w.o.again(ctx, "writing", func() store.Outcome {
		t := &store.Txn{Guards: []store.Guard{{Key: restoreKey, Version: w.stamp}},
			Changes: append([]store.Change{{Key: restoreKey, Value: store.Value(w.out)}}, w.batch...)}
		o, rev, _ := w.s.Commit(ctx, t)
		if o == store.OK {
			w.stamp = rev
		}
		if o == store.Failed && unsure || o == store.Unknown {
			// It may have been carried out: then the key has a new version, under which
			// the same is written once more.
			unsure = true
			if lo, _, items, _ := w.s.List(ctx, restoreKey, "", 1); lo == store.OK && len(items) == 1 {
				w.stamp = items[0].Stamp
			}
		}
		return o
	})
	w.out.Keys += len(w.batch)
	w.batch, w.size = w.batch[:0], 0
	if w.out.Keys%10_000 < w.o.Ops {
		w.o.Say("%d keys", w.out.Keys)
	}
	return err
}

// end removes what said that the restore was under way.
func (w *restoring) end(ctx context.Context) error {
	return w.o.again(ctx, "writing", func() store.Outcome {
		o, _, _ := w.s.Commit(ctx, &store.Txn{Changes: []store.Change{{Key: restoreKey}}})
		return o
	})
}
