package configuration

import (
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the controller whose configuration it is.
type Host interface {
	// Store queues a write; false: too many wait.
	Store(w *store.Write) bool
	// KeyVersion is the version of a key in the copy of the state service's keys.
	KeyVersion(key string) uint64
	// ReadFresh asks for a fresh read; f is told whether it worked.
	ReadFresh(f func(ok bool))
	// CacheCurrent reports whether the copy is complete and of a service that did not go back.
	CacheCurrent() bool
	// HasUnfinishedJobs reports whether a team has jobs that are not over.
	HasUnfinishedJobs(team string) bool
	// Adopted tells that another content is in force from now on.
	Adopted(c Content)
	// Respond answers a request for a change.
	Respond(request uint64, a Result)
}

// Config is what stays the same for the life of versions.
type Config struct {
	Node     string
	Initial  Content // of the settings file: version 0
	Peers    []string
	MaxValueBytes int // bytes of a value, at most
	TxnOps   int // changes of a transaction, at most
	// IsolatedStartLimit is for how long a controller that nobody hears may at most start tasks by
	// what it knew before.
	IsolatedStartLimit units.Microseconds
	Log   *slog.Logger
}

// Manager is what a controller knows of the configuration.
type Manager struct {
	cfg  Config
	host Host
	now  units.Microseconds
	wall units.Microseconds

	// In force here.
	version uint64
	id      string
	content Content

	latestKnown uint64 // the latest version that this controller knows to exist

	// As stored.
	head      head
	headThere bool
	chunks    map[string]json.RawMessage
	history   map[string]HistoryEntry // by key

	queue   changeQueue
	confirm confirmation
	fall    clearance
}

// New returns the versions of a controller that knows the settings file's content alone.
func New(cfg Config, host Host) *Manager {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	b := &Manager{cfg: cfg, host: host, content: cfg.Initial.sorted(), chunks: map[string]json.RawMessage{}, history: map[string]HistoryEntry{}}
	b.confirm = newConfirmation(cfg.Peers)
	b.fall = newClearance()
	return b
}

// Version is the version in force here.
func (b *Manager) Version() uint64 { return b.version }

// Content is what the version in force here says.
func (b *Manager) Content() Content { return b.content }

// KnownVersion is the latest version that this controller has in force or knows to be stored.
func (b *Manager) KnownVersion() uint64 {
	if b.headThere {
		return max(b.version, b.head.Version)
	}
	return b.version
}

// Behind reports whether a version is known to exist that is later than the one in force
// here. Whoever is behind starts no tasks and accepts no jobs.
func (b *Manager) Behind() bool { return b.latestKnown > b.version }

// HasStoredVersion reports whether any version but the settings file's is known to exist.
func (b *Manager) HasStoredVersion() bool { return b.latestKnown > 0 }

// Apply takes a change of a record under Prefix.
func (b *Manager) Apply(now units.Microseconds, event store.Event) error {
	b.now = max(b.now, now)
	switch {
	case event.Key == HeadKey:
		return b.learnHead(event)
	case strings.HasPrefix(event.Key, chunkPrefix):
		name := event.Key[len(chunkPrefix):]
		if event.Value == nil {
			delete(b.chunks, name)
			return nil
		}
		b.chunks[name] = event.Value
		return b.adopt()
	case strings.HasPrefix(event.Key, historyPrefix):
		return b.learnHistory(event)
	}
	return nil // of a later release
}

func (b *Manager) learnHead(e store.Event) error {
	b.head, b.headThere = head{}, false
	if e.Value == nil {
		return nil
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return err
	}
	b.head, b.headThere = h, true
	b.latestKnown = max(b.latestKnown, h.Version)
	return b.adopt()
}

func (b *Manager) learnHistory(e store.Event) error {
	if e.Value == nil {
		delete(b.history, e.Key)
		return nil
	}
	var entry HistoryEntry
	if err := json.Unmarshal(e.Value, &entry); err != nil {
		return err
	}
	b.history[e.Key] = entry
	return nil
}

// adopt puts the stored version in force once all its records are there, unless a later one
// is in force already.
func (b *Manager) adopt() error {
	if !b.headThere || b.head.Version < b.version || b.head.Version == b.version && b.head.ID == b.id {
		return nil
	}
	c, err := decode(b.head, func(name string) json.RawMessage { return b.chunks[name] })
	if errors.Is(err, errIncomplete) {
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

// ObserveVersion takes from another controller that a version exists, and reports whether this
// controller lacks it.
func (b *Manager) ObserveVersion(version uint64) bool {
	b.latestKnown = max(b.latestKnown, version)
	return b.Behind()
}

// CacheRebuilt says that the copy was taken anew as the state service went back behind its
// answers: a version that nobody has in force may be gone for good.
func (b *Manager) CacheRebuilt() { b.latestKnown = b.KnownVersion() }

// History returns the last versions, the latest first.
func (b *Manager) History() []HistoryEntry {
	list := slices.Collect(maps.Values(b.history))
	slices.SortFunc(list, func(x, y HistoryEntry) int {
		if x.Version > y.Version {
			return -1
		}
		return 1
	})
	return list
}

// storedAs returns the version that a change was stored as.
func (b *Manager) storedAs(id string) (uint64, bool) {
	if b.headThere && b.head.ID == id {
		return b.head.Version, true
	}
	for _, e := range b.history {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}
