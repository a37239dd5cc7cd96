package configuration

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the controller that a book is kept for.
type Host interface {
	// Store queues a write; false: too many wait.
	Store(w *store.Write) bool
	// Stamp is the version of a key in the copy of the state service's keys.
	Stamp(key string) uint64
	// Read asks for a fresh read; f is told whether it worked.
	Read(f func(ok bool))
	// Current reports whether the copy is complete and of a service that did not go back.
	Current() bool
	// Busy reports whether a team has jobs that are not over.
	Busy(team string) bool
	// Adopted tells that another content is in force from now on.
	Adopted(c Content)
	// Answered answers a request for a change.
	Answered(request uint64, a Answer)
}

// Config says whose book it is.
type Config struct {
	Node     string
	Initial  Content // of the settings file: version 0
	Peers    []string
	ValueMax int // bytes of a value, at most
	TxnOps   int // changes of a transaction, at most
	// Bound is for how long a controller that nobody hears may at most start tasks by
	// what it knew before.
	Bound units.Microseconds
	Log   *slog.Logger
}

// Versions is what a controller knows of the configuration.
type Versions struct {
	cfg  Config
	host Host
	now  units.Microseconds
	wall units.Microseconds

	// In force here.
	version uint64
	id      string
	content Content

	heard uint64 // the latest version that this controller knows to exist

	// As stored.
	head      head
	headThere bool
	chunks    map[string]json.RawMessage
	past      map[string]Entry // by key

	queue   changeQueue
	confirm confirmation
	fall    clearance
}

// New returns a book that knows the settings file's content alone.
func New(cfg Config, host Host) *Versions {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	b := &Versions{cfg: cfg, host: host, content: cfg.Initial.sorted(), chunks: map[string]json.RawMessage{}, past: map[string]Entry{}}
	b.confirm = newConfirmation(cfg.Peers)
	b.fall = newClearance()
	return b
}

// Version is the version in force here, and Content what it says.
func (b *Versions) Version() uint64  { return b.version }
func (b *Versions) Content() Content { return b.content }

// Known is the latest version that this controller has in force or knows to be stored.
func (b *Versions) Known() uint64 {
	if b.headThere {
		return max(b.version, b.head.Version)
	}
	return b.version
}

// Behind reports whether a version is known to exist that is later than the one in force
// here. Whoever is behind starts no tasks and accepts no jobs.
func (b *Versions) Behind() bool { return b.heard > b.version }

// Changed reports whether any version but the settings file's is known to exist.
func (b *Versions) Changed() bool { return b.heard > 0 }

// Learn takes a change of a record under Prefix.
func (b *Versions) Learn(now units.Microseconds, e store.Event) error {
	b.now = max(b.now, now)
	switch {
	case e.Key == HeadKey:
		return b.learnHead(e)
	case strings.HasPrefix(e.Key, chunkPrefix):
		name := e.Key[len(chunkPrefix):]
		if e.Value == nil {
			delete(b.chunks, name)
			return nil
		}
		b.chunks[name] = e.Value
		return b.adopt()
	case strings.HasPrefix(e.Key, pastPrefix):
		return b.learnPast(e)
	}
	return nil // of a later release
}

func (b *Versions) learnHead(e store.Event) error {
	b.head, b.headThere = head{}, false
	if e.Value == nil {
		return nil
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return err
	}
	b.head, b.headThere = h, true
	b.heard = max(b.heard, h.Version)
	return b.adopt()
}

func (b *Versions) learnPast(e store.Event) error {
	if e.Value == nil {
		delete(b.past, e.Key)
		return nil
	}
	var entry Entry
	if err := json.Unmarshal(e.Value, &entry); err != nil {
		return err
	}
	b.past[e.Key] = entry
	return nil
}

// adopt puts the stored version in force once all its records are there, unless a later one
// is in force already.
func (b *Versions) adopt() error {
	if !b.headThere || b.head.Version < b.version || b.head.Version == b.version && b.head.ID == b.id {
		return nil
	}
	c, err := decode(b.head, func(name string) json.RawMessage { return b.chunks[name] })
	if err == errIncomplete {
		return nil // the rest is on its way
	}
	if err != nil {
		return err
	}
	known := b.version > 0 && b.head.Version == b.version+1
	b.fall.fell(b.head.Version, fallen(b.content, c, known))
	b.version, b.id, b.content = b.head.Version, b.head.ID, c
	b.confirm.adopted(b.now, b.version)
	b.cfg.Log.Info("configuration in force", "version", b.version, "teams", len(c.Teams), "objectives", len(c.Objectives))
	b.host.Adopted(c)
	return nil
}

// PeerKnows takes another controller's word that a version exists, and reports whether this
// controller lacks it.
func (b *Versions) PeerKnows(version uint64) bool {
	b.heard = max(b.heard, version)
	return b.Behind()
}

// Reloaded says that the copy was taken anew as the state service went back behind its
// answers: a version that nobody has in force may be gone for good.
func (b *Versions) Reloaded() { b.heard = b.Known() }

// History returns the last versions, the latest first.
func (b *Versions) History() []Entry {
	list := slices.Collect(maps.Values(b.past))
	slices.SortFunc(list, func(x, y Entry) int {
		if x.Version > y.Version {
			return -1
		}
		return 1
	})
	return list
}

// storedAs returns the version that a change was stored as.
func (b *Versions) storedAs(id string) (uint64, bool) {
	if b.headThere && b.head.ID == id {
		return b.head.Version, true
	}
	for _, e := range b.past {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}
