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

// Host gives a Manager access to its controller.
type Host interface {
	// Store queues a write. It returns false if the queue is full.
	Store(w *store.Write) bool
	// KeyVersion returns the version of a key in the watch cache.
	KeyVersion(key string) uint64
	// ReadFresh brings the watch cache up to date and then calls f; ok says whether it succeeded.
	ReadFresh(f func(ok bool))
	// CacheCurrent reports whether the watch cache is complete and no rollback of the state service is
	// being recovered from.
	CacheCurrent() bool
	// HasUnfinishedJobs reports whether a team has jobs that are not final.
	HasUnfinishedJobs(team string) bool
	// Adopted is called when another content has come into force.
	Adopted(c Content)
	// Respond passes on the result of a change, once for each request.
	Respond(request uint64, a Result)
}

// Config holds the constant parameters of a Manager.
type Config struct {
	Node          string
	Initial       Content // of the settings file, which is version 0
	Peers         []string
	MaxValueBytes int // largest value that the state service accepts
	TxnOps        int // largest number of changes in a transaction
	// IsolatedStartLimit is the longest time for which a controller that is cut off from the others may still
	// start tasks by its last known state.
	IsolatedStartLimit units.Microseconds
	Log                *slog.Logger
}

// Manager tracks the configuration in force on a controller, the stored one, and requested changes.
type Manager struct {
	cfg  Config
	host Host
	now  units.Microseconds
	wall units.Microseconds

	// The version in force here.
	version uint64
	id      string
	content Content

	latestKnown uint64 // the latest version known to exist; its records may not have arrived yet

	// Records as stored, from the watch cache.
	head       head
	headStored bool
	chunks     map[string]json.RawMessage // by name
	history    map[string]HistoryEntry    // by key

	queue      changeQueue
	confirm    confirmation
	reductions limitReductions
}

// New returns a Manager with the settings file's content in force.
func New(cfg Config, host Host) *Manager {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	m := &Manager{cfg: cfg, host: host, content: cfg.Initial.sorted(), chunks: map[string]json.RawMessage{}, history: map[string]HistoryEntry{}}
	m.confirm = newConfirmation(cfg.Peers)
	m.reductions = newLimitReductions()
	return m
}

// Version returns the version in force here.
func (m *Manager) Version() uint64 { return m.version }

// Content returns the content of the version in force here. It must not be changed.
func (m *Manager) Content() Content { return m.content }

// KnownVersion returns the latest version that is in force here or named by the stored head.
func (m *Manager) KnownVersion() uint64 {
	if m.headStored {
		return max(m.version, m.head.Version)
	}
	return m.version
}

// Behind reports whether a later version than the one in force here is known to exist. A controller that is
// behind starts no tasks and accepts no jobs.
func (m *Manager) Behind() bool { return m.latestKnown > m.version }

// HasStoredVersion reports whether any version other than the settings file's is known to exist.
func (m *Manager) HasStoredVersion() bool { return m.latestKnown > 0 }

// Apply applies a change of a stored record under Prefix. It returns an error if the record cannot be decoded.
func (m *Manager) Apply(now units.Microseconds, event store.Event) error {
	m.now = max(m.now, now)
	switch {
	case event.Key == HeadKey:
		return m.applyHead(event)
	case strings.HasPrefix(event.Key, chunkPrefix):
		name := event.Key[len(chunkPrefix):]
		if event.Value == nil {
			delete(m.chunks, name)
			return nil
		}
		m.chunks[name] = event.Value
		return m.adopt()
	case strings.HasPrefix(event.Key, historyPrefix):
		return m.applyHistory(event)
	}
	return nil // a record of a later release
}

func (m *Manager) applyHead(e store.Event) error {
	m.head, m.headStored = head{}, false
	if e.Value == nil {
		return nil
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return err
	}
	m.head, m.headStored = h, true
	m.latestKnown = max(m.latestKnown, h.Version)
	return m.adopt()
}

func (m *Manager) applyHistory(e store.Event) error {
	if e.Value == nil {
		delete(m.history, e.Key)
		return nil
	}
	var entry HistoryEntry
	if err := json.Unmarshal(e.Value, &entry); err != nil {
		return err
	}
	m.history[e.Key] = entry
	return nil
}

// adopt puts the stored version into force once all of its chunks have arrived, unless a later one is in
// force already.
func (m *Manager) adopt() error {
	if !m.headStored || m.head.Version < m.version || m.head.Version == m.version && m.head.ID == m.id {
		return nil
	}
	c, err := decode(m.head, func(name string) json.RawMessage { return m.chunks[name] })
	if errors.Is(err, errIncomplete) {
		return nil // more chunks will arrive
	}
	if err != nil {
		return err
	}
	consecutive := m.version > 0 && m.head.Version == m.version+1
	m.reductions.record(m.head.Version, reducedTeams(m.content, c, consecutive))
	m.version, m.id, m.content = m.head.Version, m.head.ID, c
	m.confirm.recordAdoption(m.now, m.version)
	m.cfg.Log.Info("configuration in force", "version", m.version, "teams", len(c.Teams), "objectives", len(c.Objectives))
	m.host.Adopted(c)
	return nil
}

// ObserveVersion records that a version exists, as another controller reports, and reports whether this
// controller is now behind.
func (m *Manager) ObserveVersion(version uint64) bool {
	m.latestKnown = max(m.latestKnown, version)
	return m.Behind()
}

// CacheRebuilt must be called when the watch cache was rebuilt after a rollback of the state service. A version
// that is known to exist but is neither in force here nor stored may be lost for good, so it no longer counts.
func (m *Manager) CacheRebuilt() { m.latestKnown = m.KnownVersion() }

// History returns the entries of the last versions, the latest first.
func (m *Manager) History() []HistoryEntry {
	list := slices.Collect(maps.Values(m.history))
	slices.SortFunc(list, func(x, y HistoryEntry) int {
		if x.Version > y.Version {
			return -1
		}
		return 1
	})
	return list
}

// storedAs returns the version that was stored for the batch with the given id, or false if there is none.
func (m *Manager) storedAs(id string) (uint64, bool) {
	if m.headStored && m.head.ID == id {
		return m.head.Version, true
	}
	for _, e := range m.history {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}
