// Package election decides whether this controller leads. It owns the leader record as it
// is stored, the highest term that was ever taken, and the campaign for the next one.
//
// A controller campaigns while it is a member, its copy of the state service's keys is
// fresh and no leader record stands. The record is attached to the lease of its
// membership and goes with it; the term is stored beside it and stays. One transaction
// writes both, guarded by the versions of both, so at most one candidate takes a term.
//
// Leading needs no authority in time: all that a leader does is to write, and every write
// is guarded by the version of its record (Leadership.Write).
//
// It is pure: events and the time go in by method calls, writes come out by its Host.
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
	// freshFor is how old the copy of the state service's keys may be for a campaign: an
	// older one may not show the record of the present leader, and the campaign's guards
	// would only fail.
	freshFor = units.Second
	// tooLargeRetry is the pause after a write that the state service found too large: the
	// same would come again.
	tooLargeRetry = 5 * units.Second
)

// Host is the controller that takes part.
//
// Store and Elected are called from Tick and from a write's Done, with the election's state
// already written; Elected may read it and must not call Tick.
type Host interface {
	// Now is the present time.
	Now() units.Microseconds
	// Store queues a write with those that decide who may act.
	Store(w *store.Write)
	// Version is the version of a key in the copy of the state service's keys; 0: it does
	// not exist.
	Version(key string) uint64
	// CacheAge is how long ago the state service last answered.
	CacheAge() units.Microseconds
	// Member returns this controller's membership and the lease that it rests on; 0: none.
	Member() (id, leaseID uint64)
	// Archiving reports whether the leader record is at keys.LeaderSinceArchive.
	Archiving() bool
	// Elected says that this controller leads from now on.
	Elected(l *Leadership)
}

// Config names this controller.
type Config struct {
	Node string
	Log  *slog.Logger
}

// Election is what a controller knows of who leads.
type Election struct {
	cfg         Config
	host        Host
	stored      map[string]store.Event // what is stored at keys.Leader and at keys.LeaderSinceArchive
	record      authority.LeaderRecord // of the present leader; Node "" if none
	highestTerm authority.Term
	campaigning bool        // the record of a candidacy is being written
	leadership  *Leadership // nil unless this controller leads
}

// New returns the election as a controller sees it that has read nothing yet.
func New(cfg Config, host Host) *Election {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Election{cfg: cfg, host: host, stored: map[string]store.Event{}}
}

// Key is where the leader record is stored at present.
func (e *Election) Key() string {
	if e.host.Archiving() {
		return keys.LeaderSinceArchive
	}
	return keys.Leader
}

// Record returns the present leader's record; its Node is "" where nobody leads.
func (e *Election) Record() authority.LeaderRecord { return e.record }

// HighestTerm returns the highest term that is known to have been taken.
func (e *Election) HighestTerm() authority.Term { return e.highestTerm }

// Leads reports whether this controller leads.
func (e *Election) Leads() bool { return e.leadership != nil }

// Leadership returns what this controller may do as the leader; nil unless it leads.
func (e *Election) Leadership() *Leadership { return e.leadership }

// Tick campaigns where nobody leads.
func (e *Election) Tick() {
	id, leaseID := e.host.Member()
	if e.leadership != nil || id == 0 || e.campaigning || !e.leaderless() || e.host.CacheAge() > freshFor {
		return
	}
	e.campaign(id, leaseID)
}

// leaderless reports whether nobody leads, as far as this controller knows. A record of
// its own was left by its last process, which has surely ended.
func (e *Election) leaderless() bool {
	return e.record.Node == "" || e.record.Node == e.cfg.Node
}

// campaign writes a leader record for the term after the highest one.
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
			// The membership may have ended meanwhile, and the record with its lease.
			if member, _ := e.host.Member(); o != store.OK || member == 0 || key != e.Key() {
				return
			}
			e.leadership = &Leadership{election: e, term: term, version: rev}
			e.host.Elected(e.leadership)
			e.cfg.Log.Info("elected leader", "term", term)
		},
	})
}

// ApplyRecord takes what is stored at keys.Leader or at keys.LeaderSinceArchive. Only the key that holds the
// leader record at present counts.
func (e *Election) ApplyRecord(event store.Event) error {
	e.stored[event.Key] = event
	if event.Key != e.Key() {
		return nil
	}
	return e.learnRecord(event)
}

// ArchivingStarted says that the leader record is at keys.LeaderSinceArchive from now on, also where
// there is none yet: what is at keys.Leader then names no leader.
func (e *Election) ArchivingStarted() error { return e.learnRecord(e.stored[keys.LeaderSinceArchive]) }

func (e *Election) learnRecord(event store.Event) error {
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

// ApplyTerm takes the highest term as it is stored. It never falls, whatever is stored:
// fencing tokens that workers have seen must not be given out again.
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

// MembershipLost says that this controller's membership has ended, and its leader record
// with it.
func (e *Election) MembershipLost() {
	e.leadership = nil
	if e.record.Node == e.cfg.Node {
		e.record = authority.LeaderRecord{}
	}
}

// ExclusionNeeded reports whether keys.Leader does not keep older releases out yet.
func (e *Election) ExclusionNeeded() bool { return !IsExclusionRecord(e.stored[keys.Leader].Value) }
