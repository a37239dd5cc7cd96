// Package election decides whether this controller leads. It tracks the stored leader record and the highest
// term ever taken, and campaigns for the next term.
//
// A controller campaigns while it has a membership, its watch cache is fresh and there is no leader record.
// The leader record is attached to the lease of the leader's membership and is deleted with it; the term is
// stored under a key of its own, without a lease, and is kept. One transaction writes both, guarded by the
// versions of both, so at most one candidate takes a term.
//
// A leader needs no time-based authority: all it does is write to the state service, and every write is
// guarded by the version of its leader record (Leadership.Write).
//
// The package performs no I/O: events and the time are passed to its methods, and writes leave through its
// Host.
package election

import (
	"encoding/json"
	"log/slog"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// maxCacheAge is how old the watch cache may be for a campaign. An older one may miss the record of the
	// present leader, and the guards of the campaign would only fail.
	maxCacheAge = units.Second
	// tooLargeRetryDelay is the delay after a write that the state service rejected as too large: an
	// immediate retry would be just as large.
	tooLargeRetryDelay = 5 * units.Second
)

// Host is the controller that takes part in the election.
//
// Store and Elected are called from Tick and from a write's Done, after the election has updated its state.
// Elected may read the election's state and must not call Tick.
type Host interface {
	// Now returns the present time.
	Now() units.Microseconds
	// Store queues a write among those that decide which controller may act.
	Store(w *store.Write)
	// Version returns the version of a key in the watch cache; 0: the key does not exist.
	Version(key string) uint64
	// CacheAge returns how long ago the state service last answered.
	CacheAge() units.Microseconds
	// Member returns the id of this controller's membership and the lease that it is attached to; 0: none.
	Member() (id, leaseID uint64)
	// Archiving reports whether the leader record is stored at keys.LeaderSinceArchive.
	Archiving() bool
	// Elected is called when this controller becomes the leader.
	Elected(l *Leadership)
}

// Config identifies this controller.
type Config struct {
	Node string
	Log  *slog.Logger
}

// Election is a controller's view of who leads, and its own leadership. Create it with New.
type Election struct {
	cfg         Config
	host        Host
	stored      map[string]store.Event // last events of keys.Leader and keys.LeaderSinceArchive
	record      authority.LeaderRecord // leader record in force; Node "" if there is no leader
	highestTerm authority.Term
	campaigning bool        // the leader record of a candidacy is being written
	leadership  *Leadership // nil unless this controller leads
}

// New returns the election of a controller that has not read anything yet.
func New(cfg Config, host Host) *Election {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Election{cfg: cfg, host: host, stored: map[string]store.Event{}}
}

// Key returns the key at which the leader record is stored at present.
func (e *Election) Key() string {
	if e.host.Archiving() {
		return keys.LeaderSinceArchive
	}
	return keys.Leader
}

// Record returns the present leader's record; its Node is "" if there is no leader.
func (e *Election) Record() authority.LeaderRecord { return e.record }

// HighestTerm returns the highest term that is known to have been taken.
func (e *Election) HighestTerm() authority.Term { return e.highestTerm }

// Leads reports whether this controller leads.
func (e *Election) Leads() bool { return e.leadership != nil }

// Leadership returns this controller's leadership; nil unless it leads.
func (e *Election) Leadership() *Leadership { return e.leadership }

// Tick campaigns if there is no leader.
func (e *Election) Tick() {
	id, leaseID := e.host.Member()
	if e.leadership != nil || id == 0 || e.campaigning || !e.leaderless() || e.host.CacheAge() > maxCacheAge {
		return
	}
	e.campaign(id, leaseID)
}

// leaderless reports whether there is no leader as far as this controller knows. A record that names this
// controller was left by its previous process, which has certainly ended.
func (e *Election) leaderless() bool {
	return e.record.Node == "" || e.record.Node == e.cfg.Node
}

// campaign writes a leader record for the term after the highest known one.
func (e *Election) campaign(id, leaseID uint64) {
	e.campaigning = true
	node, key, term := e.cfg.Node, e.Key(), e.highestTerm.Term+1
	record := authority.LeaderRecord{Term: term, Node: node, MemberID: id}
	e.host.Store(&store.Write{
		Guards: []store.Guard{
			{Key: key, Version: e.host.Version(key)},
			{Key: keys.Term, Version: e.host.Version(keys.Term)},
			{Key: keys.MemberPrefix + node, Version: id},
		},
		Changes: []store.Change{
			{Key: key, Value: store.Value(record), Lease: leaseID},
			{Key: keys.Term, Value: store.Value(authority.Term{Term: term, Node: node})},
		},
		Done: func(o store.Outcome, rev uint64) {
			e.campaigning = false
			// The membership may have ended meanwhile, and with its lease the record.
			if member, _ := e.host.Member(); o != store.OK || member == 0 || key != e.Key() {
				return
			}
			e.leadership = &Leadership{election: e, term: term, version: rev}
			e.host.Elected(e.leadership)
			e.cfg.Log.Info("elected leader", "term", term)
		},
	})
}

// ApplyRecord applies the event of keys.Leader or of keys.LeaderSinceArchive that the watch cache reports.
// Only the key that holds the leader record at present decides who leads. The error is that of decoding the
// record.
func (e *Election) ApplyRecord(event store.Event) error {
	e.stored[event.Key] = event
	if event.Key != e.Key() {
		return nil
	}
	return e.setRecord(event)
}

// ArchivingStarted makes the record at keys.LeaderSinceArchive the leader record, even if none is stored
// there yet: what is stored at keys.Leader then names no leader.
func (e *Election) ArchivingStarted() error { return e.setRecord(e.stored[keys.LeaderSinceArchive]) }

// setRecord replaces the leader record. It ends this controller's leadership if the record was deleted or is
// of another term.
func (e *Election) setRecord(event store.Event) error {
	e.record = authority.LeaderRecord{}
	var err error
	if event.Value != nil {
		err = json.Unmarshal(event.Value, &e.record)
	}
	l := e.leadership
	switch {
	case l == nil:
	case e.record.Term != l.term:
		e.cfg.Log.Warn("no longer leader", "term", l.term)
		e.leadership = nil
	default:
		l.version = event.Stamp
	}
	return err
}

// ApplyTerm applies the stored highest term. The known term never decreases, whatever is stored: fencing
// tokens that workers have seen must not be issued again. The error is that of decoding the term.
func (e *Election) ApplyTerm(event store.Event) error {
	if event.Value == nil {
		return nil
	}
	var stored authority.Term
	if err := json.Unmarshal(event.Value, &stored); err != nil {
		return err
	}
	if stored.Term >= e.highestTerm.Term {
		e.highestTerm = stored
	}
	return nil
}

// MembershipLost ends the leadership with this controller's membership, whose lease the leader record is
// attached to.
func (e *Election) MembershipLost() {
	e.leadership = nil
	if e.record.Node == e.cfg.Node {
		e.record = authority.LeaderRecord{}
	}
}

// ExclusionNeeded reports whether the record at keys.Leader does not exclude older releases yet.
func (e *Election) ExclusionNeeded() bool { return !IsExclusionRecord(e.stored[keys.Leader].Value) }
