// Package membership keeps a controller's membership, and what is known of the others'. A
// membership is a record that is attached to a lease in the state service; its version tells one
// process of a controller from the next. Shards and leadership are owned by a membership and end
// with it. What it owned passes to others once its record is gone and a majority of the controllers
// has voted for the takeover; peer leases and votes are those of package authority, and
// docs/design.md, "Authority", says why that is safe.
//
// The package is pure: answers and the time go in by method calls, effects come out by its host.
package membership

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Prefix is where memberships are stored, by the controllers' names.
const Prefix = keys.MemberPrefix

// Effects.
type (
	// OpenLease asks for a lease (OnLease).
	OpenLease struct{ TTL units.Microseconds }
	// RenewLease extends a lease (OnRenew).
	RenewLease struct{ ID uint64 }
	// CloseLease ends a lease; no answer is needed.
	CloseLease struct{ ID uint64 }
)

// Host is the controller whose membership it is.
type Host interface {
	// Emit sends an effect.
	Emit(e any)
	// Store queues a write ahead of what users ask for.
	Store(w *store.Write)
	// Version is the version of a key in the copy of the state service's keys.
	Version(key string) uint64
	// CacheAge tells since when there is a copy (ok: there is one now), and how long ago the
	// state service last answered.
	CacheAge() (since, age units.Microseconds, ok bool)
	// Refresh asks for a fresh read.
	Refresh()
	// RequestVotes asks all other controllers to vote for taking over what a membership owned.
	RequestVotes(node string, memberID uint64)
	// Joined is called once the membership is stored.
	Joined()
	// Lost is called once it has ended, with all that it owned.
	Lost()
	// PeerRelease tells which release a controller runs.
	PeerRelease(node string, release int)
}

// Config is what stays the same for a registry's life.
type Config struct {
	Node    string
	Size    int // controllers, this one included
	Release int
	TTL     units.Microseconds
	// MajorityExtension is how long the peer leases of a majority may carry a membership past its last renewal.
	// UnvotedExpiry is the time after which a membership that is older or newer than what is known here
	// counts as expired without the others' votes: at least as long as MajorityExtension.
	UnvotedExpiry, MajorityExtension units.Microseconds
	Log                              *slog.Logger
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard
}

// Registry is a controller's own membership and its view of the others. Use New.
type Registry struct {
	cfg  Config
	host Host
	now  units.Microseconds

	id               uint64 // version of the record; 0: no membership
	leaseID          uint64 // lease in the state service
	authority        authority.Authority
	opening          bool
	leaseRequestedAt units.Microseconds // when the lease was asked for
	nextTryAt        units.Microseconds // not tried before
	renewing         bool
	nextRenewalAt    units.Microseconds
	renewalSentAt    units.Microseconds // when the renewal under way was sent

	views  map[string]*view
	voters map[string]*authority.Voter // what is granted with regard to each controller
	polls  map[string]*takeoverPoll
}

// view is what this controller knows of another's membership.
type view struct {
	id         uint64             // 0: none
	since      units.Microseconds // when that was learnt
	expiredAt  units.Microseconds // when the record was seen to be gone
	previousID uint64             // the record that was there before, as this process has seen it; 0: none
}

// takeoverPoll collects the votes for taking over what a membership owned.
type takeoverPoll struct {
	memberID uint64
	askedAt  units.Microseconds
	votes    map[string]bool
}

const (
	// authorityMargin allows for the state service's slack and this controller's own.
	authorityMargin = units.Second / 10
	// pollLasts is how long a round of votes lasts.
	pollLasts = units.Second / 4
	// unservedAfter is how long the state service must not have answered this controller.
	unservedAfter = units.Second
	// retryAfter is the time before the next try to join, retryLeaseAfter that after a lease
	// was refused.
	retryAfter      = units.Second / 5
	retryLeaseAfter = units.Second / 2
)

// New returns the registry of a controller that has not joined yet.
func New(cfg Config, host Host) *Registry {
	return &Registry{cfg: cfg, host: host, views: map[string]*view{}, voters: map[string]*authority.Voter{}, polls: map[string]*takeoverPoll{}}
}

// ID is the version of this controller's record; 0 while it has no membership.
func (r *Registry) ID() uint64 { return r.id }

// LeaseID is the lease to which that is attached.
func (r *Registry) LeaseID() uint64 { return r.leaseID }

// Valid reports whether this controller's membership surely stands.
func (r *Registry) Valid(now units.Microseconds) bool { return now < r.Until() }

// Until is when the authority of this controller's membership ends, as known at present.
func (r *Registry) Until() units.Microseconds {
	if r.id == 0 {
		return 0
	}
	if r.cfg.SkippedGuard == guard.Authority {
		return units.MaxTime
	}
	return r.authority.Until()
}

// Tick joins, and renews the lease.
func (r *Registry) Tick(now units.Microseconds) {
	r.now = now
	if r.id != 0 {
		if !r.renewing && now >= r.nextRenewalAt {
			r.renewing, r.renewalSentAt = true, now
			r.host.Emit(RenewLease{r.leaseID})
		}
		return
	}
	_, age, ok := r.host.CacheAge()
	if !ok || r.opening || now < r.nextTryAt {
		return
	}
	if age > units.Second {
		r.host.Refresh()
		return
	}
	r.opening, r.leaseRequestedAt = true, now
	r.host.Emit(OpenLease{r.cfg.TTL})
}

// OnLease takes a new lease's outcome and joins with it. A record of this controller's that is
// there already was left by its last process, which has surely ended.
func (r *Registry) OnLease(now units.Microseconds, outcome store.Outcome, id uint64) {
	r.now = now
	if outcome != store.OK {
		r.opening, r.nextTryAt = false, now+retryLeaseAfter
		return
	}
	key := Prefix + r.cfg.Node
	sent := r.leaseRequestedAt
	r.host.Store(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: r.host.Version(key)}},
		Changes: []store.Change{{Key: key, Value: store.Value(authority.Member{Node: r.cfg.Node, Release: r.cfg.Release}), Lease: id}},
		Done: func(outcome store.Outcome, rev uint64) {
			r.opening = false
			if outcome != store.OK {
				// Ending the lease also keeps a late write from being carried out.
				r.nextTryAt = r.now + retryAfter
				r.host.Emit(CloseLease{id})
				r.host.Refresh()
				return
			}
			r.id, r.leaseID, r.renewing, r.nextRenewalAt = rev, id, false, sent+r.cfg.TTL/5
			r.authority = authority.Authority{TTL: r.cfg.TTL, Margin: authorityMargin, MajorityExtension: r.cfg.MajorityExtension, MajorityPeers: r.cfg.Size / 2, AllPeers: r.cfg.Size - 1}
			r.authority.Renewed(sent)
			r.cfg.Log.Info("joined", "member", rev)
			r.host.Joined()
		},
	})
}

// OnRenew takes a renewal's outcome.
func (r *Registry) OnRenew(now units.Microseconds, id uint64, outcome store.Outcome) {
	r.now = now
	if r.id == 0 || r.leaseID != id {
		return
	}
	r.renewing = false
	switch outcome {
	case store.OK:
		if r.cfg.SkippedGuard == guard.RenewalSendTime {
			r.renewalSentAt = now
		}
		r.authority.Renewed(r.renewalSentAt)
		r.nextRenewalAt = r.renewalSentAt + r.cfg.TTL/5
	case store.Failed:
		r.lose("the lease has ended")
	default:
		r.nextRenewalAt = now + r.cfg.TTL/10
	}
}

// lose ends the membership, and with it all that this controller owns.
func (r *Registry) lose(why string) {
	r.cfg.Log.Warn("membership lost", "member", r.id, "why", why)
	r.host.Emit(CloseLease{r.leaseID})
	r.id, r.nextTryAt = 0, r.now+retryAfter
	r.host.Lost()
	r.host.Refresh()
}

// ApplyRecord takes the stored record of a controller's membership.
func (r *Registry) ApplyRecord(now units.Microseconds, node string, event store.Event) error {
	r.now = now
	known := &view{since: now}
	if event.Value == nil {
		known.expiredAt = now
		if before := r.views[node]; before != nil {
			known.previousID = max(before.id, before.previousID)
		}
	} else {
		var member authority.Member
		if err := json.Unmarshal(event.Value, &member); err != nil {
			return err
		}
		known.id = event.Stamp
		r.host.PeerRelease(node, member.Release)
	}
	r.views[node] = known
	if node == r.cfg.Node && r.id != 0 && known.id != r.id {
		r.lose("the record is another process's or gone")
	}
	return nil
}

// CurrentID returns the membership that a controller has, as far as is known here; 0: none.
func (r *Registry) CurrentID(node string) uint64 {
	if v := r.views[node]; v != nil {
		return v.id
	}
	return 0
}

// KnownSince is when it was learnt that a controller has the membership that it has.
func (r *Registry) KnownSince(node string) units.Microseconds {
	if v := r.views[node]; v != nil {
		return v.since
	}
	return 0
}

func (r *Registry) voter(node string) *authority.Voter {
	voter := r.voters[node]
	if voter == nil {
		voter = &authority.Voter{SkippedGuard: r.cfg.SkippedGuard}
		r.voters[node] = voter
	}
	return voter
}

// GrantPeerLease is asked by a controller for its membership. Where the record is gone and the state
// service serves this controller, another may soon own what the membership owned. In an outage none
// can: the membership, which ended just before, may be carried on. Whoever has voted for its takeover
// never grants it a lease again, nor does a process that has begun since and has forgotten whether it
// had.
func (r *Registry) GrantPeerLease(now units.Microseconds, node string, memberID uint64) bool {
	current := r.CurrentID(node)
	if r.cfg.SkippedGuard == guard.MemberRecord {
		current = memberID
	}
	if known := r.views[node]; known != nil && known.id == 0 && known.previousID == memberID {
		if _, age, _ := r.host.CacheAge(); age > unservedAfter {
			current = memberID
		}
	}
	return memberID != 0 && r.voter(node).GrantPeerLease(now, memberID, current)
}

// PeerLeaseGranted takes a controller's peer lease for a membership of this one's, which asked for it
// at a time.
func (r *Registry) PeerLeaseGranted(now units.Microseconds, from string, memberID uint64, asked units.Microseconds) {
	if r.id != 0 && r.id == memberID && asked <= now {
		if r.cfg.SkippedGuard == guard.PeerLeaseSendTime {
			asked = now
		}
		r.authority.PeerLeaseGranted(from, asked)
	}
}

// Expired reports whether a membership surely owns nothing any more, and seeks the votes of a
// majority to make that sure.
func (r *Registry) Expired(now units.Microseconds, node string, id uint64) bool {
	r.now = now
	if node == r.cfg.Node {
		return id != r.id // it was this controller's last process, or was given up
	}
	known := r.viewOf(node)
	switch {
	case known.id == id && id != 0:
		return false
	case known.id > id:
		return true // the controller has given it up, or its process has ended
	case known.id != 0:
		// The view is older than the shard's assignment, as while a listing goes on whose pages
		// with memberships are still to come: the membership may stand. Where versions went back,
		// it is over in time.
		return now-known.since > units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL && r.voter(node).Vote(now, id)
	case id == 0: // owned by a controller of a release that knows no memberships
		return now-known.expiredAt > units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL
	}
	// A majority may carry it no longer, and all do not: this controller has granted it no peer
	// lease that still runs, and never will again. (As UnvotedExpiry is at least as long as MajorityExtension, that is
	// also the last that a membership of another controller's is waited for.)
	if now-known.expiredAt > units.MaxWithDrift(r.cfg.MajorityExtension) && r.voter(node).Vote(now, id) {
		return true
	}
	return r.majorityVotes(now, node, id)
}

// viewOf returns what is known of a controller's membership. One that was not there when the copy of
// the state service's keys was first read counts as gone since then.
func (r *Registry) viewOf(node string) *view {
	known := r.views[node]
	if known == nil {
		since, _, _ := r.host.CacheAge()
		known = &view{since: since, expiredAt: since}
		r.views[node] = known
	}
	return known
}

// majorityVotes reports whether a majority has voted for taking over what a membership owned, in the
// present round of votes, and begins the next round once that is over.
func (r *Registry) majorityVotes(now units.Microseconds, node string, id uint64) bool {
	poll := r.polls[node]
	if poll == nil || poll.memberID != id || now-poll.askedAt > pollLasts {
		poll = &takeoverPoll{memberID: id, askedAt: now, votes: map[string]bool{}}
		r.polls[node] = poll
		r.host.RequestVotes(node, id)
	}
	if !poll.votes[r.cfg.Node] && r.voter(node).Vote(now, id) {
		poll.votes[r.cfg.Node] = true
	}
	return len(poll.votes) > r.cfg.Size/2 || r.cfg.SkippedGuard == guard.TakeoverMajority
}

// VoteRequested answers a controller that wants to take over what a membership owned. The node is
// one of the controllers.
func (r *Registry) VoteRequested(now units.Microseconds, node string, memberID uint64) bool {
	r.now = now
	if node == r.cfg.Node && memberID == r.id {
		if r.id == 0 || r.Valid(now) {
			return false
		}
		r.lose("another takes over and authority has run out")
	}
	return r.voter(node).Vote(now, memberID)
}

// VoteReceived takes a controller's vote.
func (r *Registry) VoteReceived(from, node string, memberID uint64) {
	if poll := r.polls[node]; poll != nil && poll.memberID == memberID {
		poll.votes[from] = true
	}
}

// Describe tells all that counts of a controller's membership, in times from now: for logs, and for
// model checking, as equal descriptions act the same from then on.
func (r *Registry) Describe(now units.Microseconds) string {
	var b []byte
	number := func(what string, node uint64) { b = strconv.AppendUint(append(b, what...), node, 10) }
	ahead := func(what string, t units.Microseconds) { number(what, uint64(max(0, t-now))) }
	number("member ", r.id)
	number(" lease ", r.leaseID)
	ahead(" after ", r.nextTryAt)
	ahead(" renews ", r.nextRenewalAt)
	b = strconv.AppendBool(append(b, " opening "...), r.opening)
	if r.renewing {
		number(" renewing for ", uint64(now-r.renewalSentAt))
	}
	if r.id != 0 {
		b = r.authority.AppendTrace(append(b, "; "...), now)
	}
	for _, node := range slices.Sorted(maps.Keys(r.views)) {
		known := r.views[node]
		number("; "+node+" has ", known.id)
		if known.id == 0 { // what counts is when it will have been gone for long enough
			ahead(" gone ", known.expiredAt+units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL)
			ahead(" short ", known.expiredAt+units.MaxWithDrift(r.cfg.MajorityExtension))
			number(" after ", known.previousID)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(r.voters)) {
		b = r.voters[node].AppendTrace(append(b, "; voter for "+node+" "...), now)
	}
	for _, node := range slices.Sorted(maps.Keys(r.polls)) {
		poll := r.polls[node]
		number("; polls "+node+" ", poll.memberID)
		ahead(" for ", poll.askedAt+pollLasts+1)
		for _, from := range slices.Sorted(maps.Keys(poll.votes)) {
			b = append(append(b, ' '), from...)
		}
	}
	return string(b)
}
