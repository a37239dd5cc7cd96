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

// StateService is the part of the state service's client that backups use.
type StateService interface {
	List(ctx context.Context, prefix, after string, page int) (store.Outcome, uint64, []store.Event, bool)
	Watch(ctx context.Context, prefix string, after uint64, wait units.Microseconds) (store.Outcome, uint64, []store.Event, bool)
	Commit(ctx context.Context, t *store.Txn) (store.Outcome, uint64, []string)
}

// Prefix is the common prefix of all keys of this scheduler, including the keys of the archive.
const Prefix = "shalestage"

const (
	pageSize    = 500
	maxAttempts = 60 // per request, after which it fails
)

// Options configure requests to the state service. The zero values of Now, Sleep, Progressf and ChunkBytes select
// defaults.
type Options struct {
	Rate       float64 // requests per second
	Release    string
	ChunkBytes int // bytes of records per chunk before compression; 0: 1 MiB
	Now        func() time.Time
	Sleep      func(time.Duration)              // nil: waits, or until the context is done
	Progressf  func(format string, args ...any) // reports progress; nil: progress is not reported
}

func (o *Options) setDefaults() {
	if o.ChunkBytes == 0 {
		o.ChunkBytes = chunkSize
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Progressf == nil {
		o.Progressf = func(string, ...any) {}
	}
}

// sleep waits for the delay or until the context is done.
func (o *Options) sleep(ctx context.Context, delay time.Duration) {
	if o.Sleep != nil {
		o.Sleep(delay)
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

var (
	// ErrNoAnswer is wrapped by the error of a request that the state service or the cloud has not executed after
	// maxAttempts attempts.
	ErrNoAnswer = errors.New("the state service does not answer")
	// ErrTooLarge is wrapped by the error of a request that the state service rejects because of its size.
	ErrTooLarge = errors.New("the state service rejects a request of this size: use a lower --ops, or its limits are lower than those of the service that was backed up")
)

// retry repeats a request within the rate limit until it succeeds. The error names the operation and wraps
// ErrNoAnswer, ErrTooLarge or the error of the context.
func (o *Options) retry(ctx context.Context, operation string, request func() store.Outcome) error {
	for range maxAttempts {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s: %w", operation, err)
		}
		o.sleep(ctx, time.Duration(float64(time.Second)/max(o.Rate, 0.1)))
		switch request() {
		case store.OK:
			return nil
		case store.TooLarge:
			return fmt.Errorf("%s: %w", operation, ErrTooLarge)
		}
	}
	return fmt.Errorf("%s: %w", operation, ErrNoAnswer)
}

// list reads a page of keys. more reports whether further keys follow.
func (o *Options) list(ctx context.Context, s StateService, prefix, after string, page int) (revision uint64, items []store.Event, more bool, err error) {
	err = o.retry(ctx, "listing", func() (outcome store.Outcome) {
		outcome, revision, items, more = s.List(ctx, prefix, after, page)
		return outcome
	})
	return revision, items, more && len(items) > 0, err
}

// ErrCompacted is returned if the state service has discarded changes that were made during the backup.
var ErrCompacted = errors.New("the state service no longer has all changes since the backup began: use a higher rate")

// saver is the state of a running backup. A backup lists all keys and follows the changes since the listing
// started. Requests are sequential and their responses are written in order. The last record of each key in the
// file is therefore the newest one, and the file as a whole is consistent at the revision of the last change.
type saver struct {
	service  StateService
	options  Options
	writer   *writer
	after    string
	revision uint64
	listing  bool
	lines    int
}

// Save writes a backup. If resumed is not nil, Save continues an interrupted backup, and w must be positioned at
// resumed.Offset, after the last complete chunk.
func Save(ctx context.Context, s StateService, w io.Writer, resumed *Progress, options Options) (Footer, error) {
	options.setDefaults()
	out, err := newWriter(w, resumed == nil, options.ChunkBytes)
	if err != nil {
		return Footer{}, err
	}
	saving := &saver{service: s, options: options, writer: out, listing: true}
	if resumed != nil {
		saving.after, saving.revision, saving.listing, saving.lines = resumed.checkpoint.After, resumed.checkpoint.Revision, resumed.checkpoint.Listing, resumed.lines
	} else if err := saving.begin(ctx); err != nil {
		return Footer{}, err
	}
	for saving.listing {
		if err := saving.listPage(ctx); err != nil {
			return Footer{}, err
		}
		if err := saving.followChanges(ctx); err != nil {
			return Footer{}, err
		}
		if err := saving.checkpoint(); err != nil {
			return Footer{}, err
		}
	}
	if err := saving.followChanges(ctx); err != nil {
		return Footer{}, err
	}
	footer := Footer{Revision: saving.revision, Lines: saving.lines, EndedAt: options.Now().UTC().Format(time.RFC3339)}
	saving.writer.add(record{Footer: &footer})
	return footer, saving.writer.flush()
}

// begin determines the revision after which changes are followed, and adds the header.
func (s *saver) begin(ctx context.Context) (err error) {
	s.revision, _, _, err = s.options.list(ctx, s.service, Prefix, "", 1)
	s.writer.add(record{Header: &Header{Format: 1, Release: s.options.Release, StartedAt: s.options.Now().UTC().Format(time.RFC3339), Revision: s.revision}})
	return err
}

func (s *saver) listPage(ctx context.Context) error {
	_, items, more, err := s.options.list(ctx, s.service, Prefix, s.after, pageSize)
	for _, e := range items {
		s.addEvent(e)
		s.after = e.Key
	}
	s.listing = more
	return err
}

func (s *saver) addEvent(e store.Event) {
	s.lines++
	s.writer.add(record{Key: e.Key, Value: e.Value, Deleted: e.Value == nil})
}

// followChanges writes the changes since the last call.
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
			compacted = true // the service was rolled back, so the keys read so far belong to another history
			return store.OK
		}
		for _, e := range events {
			s.addEvent(e)
		}
		s.revision = revision
		return outcome
	})
	if compacted {
		return ErrCompacted
	}
	return err
}

// checkpoint adds a checkpoint and writes the chunk if the chunk is full or the listing is complete.
func (s *saver) checkpoint() error {
	if !s.writer.full() && s.listing {
		return nil
	}
	s.writer.add(record{Checkpoint: &checkpoint{After: s.after, Revision: s.revision, Listing: s.listing}})
	s.options.Progressf("%d keys and changes, up to %s", s.lines, s.after)
	return s.writer.flush()
}

// Progress is the position at which an interrupted backup can resume.
type Progress struct {
	Offset     int64 // end of the last chunk with a checkpoint, in bytes
	checkpoint checkpoint
	lines      int
}

// ErrComplete is returned by Resume for a backup that is already complete.
var ErrComplete = errors.New("the backup is already complete")

// Resume reads an interrupted backup and returns the position at which it can resume. Progress is nil if the file
// contains no checkpoint, so that the backup must start again.
func Resume(r io.Reader) (*Progress, error) {
	reader, err := NewReader(r)
	if err != nil {
		return nil, err
	}
	var progress *Progress
	lines := 0
	for {
		records, err := reader.nextChunk()
		if err != nil {
			return progress, nil // everything after the last checkpoint is saved again
		}
		for _, rec := range records {
			switch {
			case rec.Footer != nil:
				return nil, ErrComplete
			case rec.Checkpoint != nil:
				progress = &Progress{Offset: reader.offset, checkpoint: *rec.Checkpoint, lines: lines}
			case rec.Key != "":
				lines++
			}
		}
	}
}

// Summary describes the contents of a backup.
type Summary struct {
	Header
	Footer Footer         `json:"foot"`
	Bytes  int64          `json:"bytes"`
	Lines  map[string]int `json:"lines"` // number of key records, by store.KeyGroup
}

// Verify reads a whole backup. It checks every checksum and every record, and that the backup is complete.
func Verify(r io.Reader) (Summary, error) {
	summary := Summary{Lines: map[string]int{}}
	err := ForEachRecord(r, &summary, func(e store.Event) error {
		summary.Lines[store.KeyGroup(e.Key)]++
		return nil
	})
	return summary, err
}

// ForEachRecord passes every key record of a backup to receive, in the order in which the keys were saved. It
// returns a *DamageError if the backup is corrupt or incomplete. As that may be detected only at the end, callers
// that must not act on part of a backup call Verify first.
func ForEachRecord(r io.Reader, summary *Summary, receive func(store.Event) error) error {
	reader, err := NewReader(r)
	if err != nil {
		return err
	}
	var footer *Footer
	lines, first := 0, true
	for {
		start := reader.offset
		records, err := reader.nextChunk()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		for _, rec := range records {
			switch {
			case footer != nil:
				return &DamageError{start, "data follows the footer"}
			case first:
				if rec.Header == nil || rec.Header.Format != 1 {
					return &DamageError{start, "the header is missing or has an unsupported format"}
				}
				summary.Header, first = *rec.Header, false
			case rec.Footer != nil:
				footer = rec.Footer
			case rec.Checkpoint != nil:
			case rec.Key == "" || rec.Deleted == (rec.Value != nil):
				return &DamageError{start, "invalid record"}
			default:
				lines++
				if err := receive(store.Event{Key: rec.Key, Value: rec.Value}); err != nil {
					return err
				}
			}
		}
	}
	summary.Bytes = reader.offset
	if footer == nil {
		return &DamageError{reader.offset, "the footer is missing: the backup is incomplete"}
	}
	if footer.Lines != lines {
		return &DamageError{reader.offset, fmt.Sprintf("%d of %d records found", lines, footer.Lines)}
	}
	summary.Footer = *footer
	return nil
}
