package backup

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Service is what is needed of a state service's client.
type Service interface {
	List(ctx context.Context, prefix, after string, page int) (store.Outcome, uint64, []store.Event, bool)
	Watch(ctx context.Context, prefix string, after uint64, wait units.Microseconds) (store.Outcome, uint64, []store.Event, bool)
	Commit(ctx context.Context, t *store.Txn) (store.Outcome, uint64, []string)
}

// Prefix is that of every key that belongs to the service, packed jobs included.
const Prefix = "shalestage"

const (
	pageKeys = 500
	tries    = 60 // of one request, in turn, before giving up
)

// Options say how the state service is asked.
type Options struct {
	Rate    float64 // requests a second
	Release string
	Chunk   int // bytes of records that are written at once; 0: 1 MiB
	Now     func() time.Time
	Sleep   func(time.Duration)
	Say     func(format string, args ...any) // progress; nil: nothing
}

func (o *Options) fill() {
	if o.Chunk == 0 {
		o.Chunk = chunkSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Sleep == nil {
		o.Sleep = time.Sleep
	}
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
}

// pause keeps within the rate.
func (o *Options) pause() { o.Sleep(time.Duration(float64(time.Second) / max(o.Rate, 0.1))) }

// again asks until the service answers.
func (o *Options) again(ctx context.Context, what string, ask func() store.Outcome) error {
	for range tries {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		o.pause()
		switch ask() {
		case store.OK:
			return nil
		case store.TooLarge:
			return fmt.Errorf("%s: the state service takes nothing of that size: try fewer --ops, or its limits are below those of the backup", what)
		}
	}
	return fmt.Errorf("%s: the state service does not answer", what)
}

// list reads a page of keys; more says that others follow.
func (o *Options) list(ctx context.Context, s Service, prefix, after string, page int) (rev uint64, items []store.Event, more bool, err error) {
	err = o.again(ctx, "listing", func() (out store.Outcome) {
		out, rev, items, more = s.List(ctx, prefix, after, page)
		return out
	})
	return rev, items, more && len(items) > 0, err
}

// ErrOutrun says that more changed during a backup than the service remembers.
var ErrOutrun = errors.New("the state service no longer has all changes since the backup began: use a higher rate")

// saving is a backup under way: a listing, and the changes since it began. The
// requests go one after the other and are written as they come, so what stands last
// in the file of a key is newest, and all of it together is as of the last change.
type saving struct {
	s     Service
	o     Options
	w     *writer
	after string
	rev   uint64
	lists bool
	lines int
}

// Save writes a backup. from, if any, is where an earlier one was cut short: the
// writer stands after its last whole chunk.
func Save(ctx context.Context, s Service, w io.Writer, from *Progress, o Options) (Foot, error) {
	o.fill()
	out, err := newWriter(w, from == nil, o.Chunk)
	if err != nil {
		return Foot{}, err
	}
	b := &saving{s: s, o: o, w: out, lists: true}
	if from != nil {
		b.after, b.rev, b.lists, b.lines = from.page.After, from.page.Rev, from.page.Lists, from.lines
	} else if err := b.begin(ctx); err != nil {
		return Foot{}, err
	}
	for b.lists {
		if err := b.list(ctx); err != nil {
			return Foot{}, err
		}
		if err := b.changes(ctx); err != nil {
			return Foot{}, err
		}
		if err := b.mark(); err != nil {
			return Foot{}, err
		}
	}
	if err := b.changes(ctx); err != nil {
		return Foot{}, err
	}
	foot := Foot{Rev: b.rev, Lines: b.lines, Ended: o.Now().UTC().Format(time.RFC3339)}
	b.w.add(record{Foot: &foot})
	return foot, b.w.flush()
}

// begin notes the revision from which on changes are followed.
func (b *saving) begin(ctx context.Context) (err error) {
	b.rev, _, _, err = b.o.list(ctx, b.s, Prefix, "", 1)
	b.w.add(record{Head: &Head{Format: 1, Release: b.o.Release, Began: b.o.Now().UTC().Format(time.RFC3339), Rev: b.rev}})
	return err
}

func (b *saving) list(ctx context.Context) error {
	_, items, more, err := b.o.list(ctx, b.s, Prefix, b.after, pageKeys)
	for _, e := range items {
		b.put(e)
		b.after = e.Key
	}
	b.lists = more
	return err
}

func (b *saving) put(e store.Event) {
	b.lines++
	b.w.add(record{Key: e.Key, Value: e.Value, Gone: e.Value == nil})
}

// changes takes what has changed since the last look.
func (b *saving) changes(ctx context.Context) error {
	gone := false
	err := b.o.again(ctx, "changes", func() store.Outcome {
		o, rev, events, old := b.s.Watch(ctx, Prefix, b.rev, 0)
		if old {
			gone = true
			return store.OK
		}
		if o != store.OK {
			return o
		}
		if rev < b.rev {
			gone = true // the service went back: what was read is of another history
			return store.OK
		}
		for _, e := range events {
			b.put(e)
		}
		b.rev = rev
		return o
	})
	if gone {
		return ErrOutrun
	}
	return err
}

// mark notes how far the backup has come, where a chunk is full.
func (b *saving) mark() error {
	if !b.w.full() && b.lists {
		return nil
	}
	b.w.add(record{Page: &page{After: b.after, Rev: b.rev, Lists: b.lists}})
	b.o.Say("%d keys and changes, up to %s", b.lines, b.after)
	return b.w.flush()
}

// Progress is how far a backup has come that was cut short.
type Progress struct {
	Offset int64 // of the end of its last chunk that tells
	page   page
	lines  int
}

// Resume reads a backup that was cut short and returns how far it has come; nil:
// not far enough to go on from there.
func Resume(r io.Reader) (*Progress, error) {
	in, err := NewReader(r)
	if err != nil {
		return nil, err
	}
	var p *Progress
	lines := 0
	for {
		recs, err := in.chunk()
		if err != nil {
			return p, nil // the rest is read again
		}
		for _, rec := range recs {
			switch {
			case rec.Foot != nil:
				return nil, errors.New("that backup is whole")
			case rec.Page != nil:
				p = &Progress{Offset: in.offset, page: *rec.Page, lines: lines}
			case rec.Key != "":
				lines++
			}
		}
	}
}

// Summary is what a backup holds.
type Summary struct {
	Head
	Foot  Foot           `json:"foot"`
	Bytes int64          `json:"bytes"`
	Lines map[string]int `json:"lines"` // by folder
}

// Verify reads a backup through: every checksum, every record, and that it is whole.
func Verify(r io.Reader) (Summary, error) {
	s := Summary{Lines: map[string]int{}}
	err := Each(r, &s, func(e store.Event) error {
		s.Lines[store.Folder(e.Key)]++
		return nil
	})
	return s, err
}

// Each hands every record of a backup to f, in the order in which they were read. A
// backup that is damaged or not whole is an error, at the latest in the end: whoever
// must not act on half of one verifies it first.
func Each(r io.Reader, s *Summary, f func(store.Event) error) error {
	in, err := NewReader(r)
	if err != nil {
		return err
	}
	var foot *Foot
	lines, first := 0, true
	for {
		at := in.offset
		recs, err := in.chunk()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		for _, rec := range recs {
			switch {
			case foot != nil:
				return &Damage{at, "something follows the end"}
			case first:
				if rec.Head == nil || rec.Head.Format != 1 {
					return &Damage{at, "no head of a format that can be read here"}
				}
				s.Head, first = *rec.Head, false
			case rec.Foot != nil:
				foot = rec.Foot
			case rec.Page != nil:
			case rec.Key == "" || rec.Gone == (rec.Value != nil):
				return &Damage{at, "a record that is none"}
			default:
				lines++
				if err := f(store.Event{Key: rec.Key, Value: rec.Value}); err != nil {
					return err
				}
			}
		}
	}
	s.Bytes = in.offset
	if foot == nil {
		return &Damage{in.offset, "the file ends before the backup does"}
	}
	if foot.Lines != lines {
		return &Damage{in.offset, fmt.Sprintf("%d keys of %d", lines, foot.Lines)}
	}
	s.Foot = *foot
	return nil
}
