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
	pageSize    = 500
	maxAttempts = 60 // of one request, in turn, before giving up
)

// Options say how the state service is asked. The zero values of Now, Sleep, Progressf and
// Chunk stand for defaults.
type Options struct {
	Rate      float64 // requests a second
	Release   string
	Chunk     int // bytes of records that are written at once; 0: 1 MiB
	Now       func() time.Time
	Sleep     func(time.Duration)              // nil: by the clock, or until the context ends
	Progressf func(format string, args ...any) // is called with how far it has come; nil: nothing
}

func (o *Options) setDefaults() {
	if o.Chunk == 0 {
		o.Chunk = chunkSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Progressf == nil {
		o.Progressf = func(string, ...any) {}
	}
}

// sleep waits, for a shorter time when the context ends.
func (o *Options) sleep(ctx context.Context, pause time.Duration) {
	if o.Sleep != nil {
		o.Sleep(pause)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

var (
	// ErrNoAnswer is wrapped when the state service or the cloud has not carried out a request
	// in maxAttempts.
	ErrNoAnswer = errors.New("the state service does not answer")
	// ErrTooLarge is wrapped when the state service takes nothing of a request's size.
	ErrTooLarge = errors.New("the state service takes nothing of that size: try fewer --ops, or its limits are below those of the backup")
)

// retry asks, within the rate, until the service answers. The error says what was asked for
// and wraps ErrNoAnswer, ErrTooLarge or the context's.
func (o *Options) retry(ctx context.Context, what string, ask func() store.Outcome) error {
	for range maxAttempts {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
		o.sleep(ctx, time.Duration(float64(time.Second)/max(o.Rate, 0.1)))
		switch ask() {
		case store.OK:
			return nil
		case store.TooLarge:
			return fmt.Errorf("%s: %w", what, ErrTooLarge)
		}
	}
	return fmt.Errorf("%s: %w", what, ErrNoAnswer)
}

// list reads a page of keys; more says that others follow.
func (o *Options) list(ctx context.Context, s Service, prefix, after string, page int) (revision uint64, items []store.Event, more bool, err error) {
	err = o.retry(ctx, "listing", func() (out store.Outcome) {
		out, revision, items, more = s.List(ctx, prefix, after, page)
		return out
	})
	return revision, items, more && len(items) > 0, err
}

// ErrCompacted is returned when more changed during a backup than the service remembers.
var ErrCompacted = errors.New("the state service no longer has all changes since the backup began: use a higher rate")

// saver is a backup under way: a listing, and the changes since it began. The
// requests go one after the other and are written as they come, so what stands last
// in the file of a key is newest, and all of it together is as of the last change.
type saver struct {
	service  Service
	options  Options
	writer   *writer
	after    string
	revision uint64
	listing  bool
	lines    int
}

// Save writes a backup. resumed, if any, is where an earlier one was cut short: the
// writer stands after its last whole chunk.
func Save(ctx context.Context, s Service, w io.Writer, resumed *Progress, options Options) (Foot, error) {
	options.setDefaults()
	out, err := newWriter(w, resumed == nil, options.Chunk)
	if err != nil {
		return Foot{}, err
	}
	saving := &saver{service: s, options: options, writer: out, listing: true}
	if resumed != nil {
		saving.after, saving.revision, saving.listing, saving.lines = resumed.page.After, resumed.page.Revision, resumed.page.Listing, resumed.lines
	} else if err := saving.begin(ctx); err != nil {
		return Foot{}, err
	}
	for saving.listing {
		if err := saving.listPage(ctx); err != nil {
			return Foot{}, err
		}
		if err := saving.followChanges(ctx); err != nil {
			return Foot{}, err
		}
		if err := saving.checkpoint(); err != nil {
			return Foot{}, err
		}
	}
	if err := saving.followChanges(ctx); err != nil {
		return Foot{}, err
	}
	foot := Foot{Revision: saving.revision, Lines: saving.lines, EndedAt: options.Now().UTC().Format(time.RFC3339)}
	saving.writer.add(record{Foot: &foot})
	return foot, saving.writer.flush()
}

// begin notes the revision from which on changes are followed.
func (s *saver) begin(ctx context.Context) (err error) {
	s.revision, _, _, err = s.options.list(ctx, s.service, Prefix, "", 1)
	s.writer.add(record{Head: &Head{Format: 1, Release: s.options.Release, StartedAt: s.options.Now().UTC().Format(time.RFC3339), Revision: s.revision}})
	return err
}

func (s *saver) listPage(ctx context.Context) error {
	_, items, more, err := s.options.list(ctx, s.service, Prefix, s.after, pageSize)
	for _, e := range items {
		s.put(e)
		s.after = e.Key
	}
	s.listing = more
	return err
}

func (s *saver) put(e store.Event) {
	s.lines++
	s.writer.add(record{Key: e.Key, Value: e.Value, Deleted: e.Value == nil})
}

// followChanges writes what has changed since the last time.
func (s *saver) followChanges(ctx context.Context) error {
	compacted := false
	err := s.options.retry(ctx, "changes", func() store.Outcome {
		outcome, revision, events, expired := s.service.Watch(ctx, Prefix, s.revision, 0)
		if expired {
			compacted = true
			return store.OK
		}
		if outcome != store.OK {
			return outcome
		}
		if revision < s.revision {
			compacted = true // the service went back: what was read is of another history
			return store.OK
		}
		for _, e := range events {
			s.put(e)
		}
		s.revision = revision
		return outcome
	})
	if compacted {
		return ErrCompacted
	}
	return err
}

// checkpoint notes how far the backup has come, where a chunk is full.
func (s *saver) checkpoint() error {
	if !s.writer.full() && s.listing {
		return nil
	}
	s.writer.add(record{Page: &page{After: s.after, Revision: s.revision, Listing: s.listing}})
	s.options.Progressf("%d keys and changes, up to %s", s.lines, s.after)
	return s.writer.flush()
}

// Progress is how far a backup has come that was cut short.
type Progress struct {
	Offset int64 // of the end of its last chunk that tells
	page   page
	lines  int
}

// ErrComplete is returned for a backup that was not cut short.
var ErrComplete = errors.New("that backup is whole")

// Resume reads a backup that was cut short and returns how far it has come; nil:
// not far enough to go on from there.
func Resume(r io.Reader) (*Progress, error) {
	reader, err := NewReader(r)
	if err != nil {
		return nil, err
	}
	var progress *Progress
	lines := 0
	for {
		records, err := reader.chunk()
		if err != nil {
			return progress, nil // the rest is read again
		}
		for _, rec := range records {
			switch {
			case rec.Foot != nil:
				return nil, ErrComplete
			case rec.Page != nil:
				progress = &Progress{Offset: reader.offset, page: *rec.Page, lines: lines}
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
	summary := Summary{Lines: map[string]int{}}
	err := Each(r, &summary, func(e store.Event) error {
		summary.Lines[store.KeyGroup(e.Key)]++
		return nil
	})
	return summary, err
}

// Each passes every record of a backup to receive, in the order in which they were read. A
// backup that is damaged or not whole is a *DamageError, at the latest in the end: whoever
// must not act on half of one verifies it first.
func Each(r io.Reader, summary *Summary, receive func(store.Event) error) error {
	reader, err := NewReader(r)
	if err != nil {
		return err
	}
	var foot *Foot
	lines, first := 0, true
	for {
		start := reader.offset
		records, err := reader.chunk()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		for _, rec := range records {
			switch {
			case foot != nil:
				return &DamageError{start, "something follows the end"}
			case first:
				if rec.Head == nil || rec.Head.Format != 1 {
					return &DamageError{start, "no head of a format that can be read here"}
				}
				summary.Head, first = *rec.Head, false
			case rec.Foot != nil:
				foot = rec.Foot
			case rec.Page != nil:
			case rec.Key == "" || rec.Deleted == (rec.Value != nil):
				return &DamageError{start, "a record that is none"}
			default:
				lines++
				if err := receive(store.Event{Key: rec.Key, Value: rec.Value}); err != nil {
					return err
				}
			}
		}
	}
	summary.Bytes = reader.offset
	if foot == nil {
		return &DamageError{reader.offset, "the file ends before the backup does"}
	}
	if foot.Lines != lines {
		return &DamageError{reader.offset, fmt.Sprintf("%d keys of %d", lines, foot.Lines)}
	}
	summary.Foot = *foot
	return nil
}
