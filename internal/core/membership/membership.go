// Package membership maintains a controller's own membership and its view of the other controllers'
// memberships. A membership is a record that is attached to a lease in the state service; the version of the
// record distinguishes one process of a controller from the next. Shards and leadership are owned by a
// membership and end with it. Others can take over what it owned once its record is deleted and a majority of
// the controllers has voted for the takeover. Package authority implements peer leases and votes;
// docs/design.md, "Authority", explains why takeovers are safe.
//
// The package performs no I/O: answers and the time are passed to its methods, and effects leave through its
// Host.
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

// Prefix is the key prefix of the membership records. The rest of the key is the controller's name.
const Prefix = keys.MemberPrefix

// Effects that a Registry emits.
type (
	// OpenLease requests a new lease. OnLease takes the outcome.
	OpenLease struct{ TTL units.Microseconds }
	// RenewLease renews a lease. OnRenew takes the outcome.
	RenewLease struct{ ID uint64 }
	// CloseLease ends a lease; no answer is needed.
	CloseLease struct{ ID uint64 }
)

// Host is the controller that the membership belongs to.
type Host interface {
	// Emit sends an effect to be carried out.
	Emit(e any)
	// Store queues a write ahead of the writes of user requests.
	Store(w *store.Write)
	// Version returns the version of a key in the watch cache.
	Version(key string) uint64
	// CacheAge returns since when the watch cache has been loaded, and how long ago the state service last
	// answered; ok reports whether the cache is loaded now.
	CacheAge() (since, age units.Microseconds, ok bool)
	// Refresh requests a fresh read of the state service.
	Refresh()
	// RequestVotes asks all other controllers to vote for a takeover of what a membership owned.
	RequestVotes(node string, memberID uint64)
	// Joined is called once the membership is stored.
	Joined()
	// Lost is called once the membership has ended, and with it the ownership of everything it owned.
	Lost()
	// PeerRelease reports the release that a controller runs.
	PeerRelease(node string, release int)
}

// Config holds the settings of a Registry. They do not change.
type Config struct {
	Node    string
	Size    int // number of controllers, this one included
	Release int
	TTL     units.Microseconds
	// UnvotedExpiry is the time after which a membership that is older or newer than the one known here
	// counts as expired without the other controllers' votes. It is at least as long as MajorityExtension,
	// which is how long the peer leases of a majority may extend a membership past its last renewal.
	UnvotedExpiry, MajorityExtension units.Microseconds
	Log                              *slog.Logger
	// SkippedGuard is a check to leave out; only tests set it.
	SkippedGuard guard.Guard
}

// Registry holds a controller's own membership and its view of the others. Create it with New.
type Registry struct {
	cfg  Config
	host Host
	now  units.Microseconds

	id               uint64 // version of the record; 0: no membership
	leaseID          uint64 // lease in the state service
	authority        authority.Authority
	opening          bool
	leaseRequestedAt units.Microseconds
	nextTryAt        units.Microseconds // no attempt to join before this time
	renewing         bool
	nextRenewalAt    units.Microseconds
	renewalSentAt    units.Microseconds // when the renewal in flight was sent

	views  map[string]*view
	voters map[string]*authority.Voter // peer leases and votes granted, by the controller that they concern
	polls  map[string]*takeoverPoll    // takeover polls by controller
}

// view is what this controller knows of another controller's membership.
type view struct {
	id         uint64             // version of its record; 0: none
	since      units.Microseconds // when this controller learned that
	expiredAt  units.Microseconds // when this controller saw that the record is deleted
	previousID uint64             // version of the previous record, as seen by this process; 0: none
}

// takeoverPoll collects the votes for a takeover of what a membership owned.
type takeoverPoll struct {
	memberID uint64
	askedAt  units.Microseconds
	votes    map[string]bool
}

const (
	// authorityMargin allows for timing inaccuracies of the state service and of this controller.
	authorityMargin = units.Second / 10
	// pollDuration is the length of a round of votes.
	pollDuration = units.Second / 4
	// unservedAfter is the time without an answer from the state service after which it counts as not serving
	// this controller.
	unservedAfter = units.Second
	// joinRetryDelay is the delay before the next attempt to join, leaseRetryDelay that after a refused
	// lease.
	joinRetryDelay  = units.Second / 5
	leaseRetryDelay = units.Second / 2
)

// New returns the registry of a controller that has not joined yet.
func New(cfg Config, host Host) *Registry {
	return &Registry{cfg: cfg, host: host, views: map[string]*view{}, voters: map[string]*authority.Voter{}, polls: map[string]*takeoverPoll{}}
}

// ID returns the version of this controller's membership record; 0 while it has no membership.
func (r *Registry) ID() uint64 { return r.id }

// LeaseID returns the lease that the membership record is attached to.
func (r *Registry) LeaseID() uint64 { return r.leaseID }

// Valid reports whether this controller's membership certainly exists at the given time.
func (r *Registry) Valid(now units.Microseconds) bool { return now < r.Until() }

// Until returns the time until which the authority of this controller's membership is certain, as far as is
// known now; 0 without a membership.
func (r *Registry) Until() units.Microseconds {
	if r.id == 0 {
		return 0
	}
	if r.cfg.SkippedGuard == guard.Authority {
		return units.MaxTime
	}
	return r.authority.Until()
}

// Tick joins if this controller has no membership, and renews the lease otherwise. It is called often.
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

// OnLease takes the outcome of OpenLease and stores the membership record under the new lease. If a record of
// this controller already exists, its previous process left it, which has certainly ended.
func (r *Registry) OnLease(now units.Microseconds, outcome store.Outcome, id uint64) {
	r.now = now
	if outcome != store.OK {
		r.opening, r.nextTryAt = false, now+leaseRetryDelay
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
				// Closing the lease also prevents a delayed write from being carried out.
				r.nextTryAt = r.now + joinRetryDelay
				r.host.Emit(CloseLease{id})
				r.host.Refresh()
				return
			}
			r.id, r.leaseID, r.renewing, r.nextRenewalAt = rev, id, false, sent+r.cfg.TTL/5
			r.authority = authority.Authority{TTL: r.cfg.TTL, Margin: authorityMargin, MajorityExtension: r.cfg.MajorityExtension, MajorityPeers: r.cfg.Size / 2, AllPeers: r.cfg.Size - 1}
			r.authority.Renewed(sent)
			r.cfg.Log.Info("joined the cluster", "member", rev)
			r.host.Joined()
		},
	})
}

// OnRenew takes the outcome of RenewLease.
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
		r.endMembership("lease expired")
	default:
		r.nextRenewalAt = now + r.cfg.TTL/10
	}
}

// endMembership ends the membership, and with it the ownership of everything that this controller owns.
func (r *Registry) endMembership(why string) {
	r.cfg.Log.Warn("membership lost", "member", r.id, "why", why)
	r.host.Emit(CloseLease{r.leaseID})
	r.id, r.nextTryAt = 0, r.now+joinRetryDelay
	r.host.Lost()
	r.host.Refresh()
}

// ApplyRecord applies the stored membership record of a controller as the watch cache reports it. The error
// is that of decoding the record.
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
		r.endMembership("member record deleted or replaced by another process")
	}
	return nil
}

// CurrentID returns the id of a controller's membership as far as is known here; 0: none.
func (r *Registry) CurrentID(node string) uint64 {
	if v := r.views[node]; v != nil {
		return v.id
	}
	return 0
}

// KnownSince returns when this controller learned of the current membership of a controller.
func (r *Registry) KnownSince(node string) units.Microseconds {
	if v := r.views[node]; v != nil {
		return v.since
	}
	return 0
}

// voter returns the voter concerning a controller, and creates it on first use.
func (r *Registry) voter(node string) *authority.Voter {
	voter := r.voters[node]
	if voter == nil {
		voter = &authority.Voter{SkippedGuard: r.cfg.SkippedGuard}
		r.voters[node] = voter
	}
	return voter
}

// GrantPeerLease reports whether a controller gets the peer lease that it requests for its membership. If the
// record is deleted and the state service serves this controller, the lease is refused: another controller
// may soon own what the membership owned. During an outage of the state service no controller can take over,
// so a membership that expired just before the outage may be extended. A process that has voted for the
// takeover of a membership never grants it a lease again. Neither does a process that started after the
// record was deleted, as it does not know whether its predecessor has voted.
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

// PeerLeaseGranted records a peer lease that another controller granted for a membership of this one; asked
// is when this controller requested it.
func (r *Registry) PeerLeaseGranted(now units.Microseconds, from string, memberID uint64, asked units.Microseconds) {
	if r.id != 0 && r.id == memberID && asked <= now {
		if r.cfg.SkippedGuard == guard.PeerLeaseSendTime {
			asked = now
		}
		r.authority.PeerLeaseGranted(from, asked)
	}
}

// Expired reports whether a membership certainly owns nothing any more. While that is not certain, it
// collects the votes of a majority.
func (r *Registry) Expired(now units.Microseconds, node string, id uint64) bool {
	r.now = now
	if node == r.cfg.Node {
		return id != r.id // the id of this controller's previous process, or of a membership that it has given up
	}
	known := r.viewOf(node)
	switch {
	case known.id == id && id != 0:
		return false
	case known.id > id:
		return true // the controller has given it up, or its process has ended
	case known.id != 0:
		// This view is older than the shard's assignment. That happens while a listing is in progress whose
		// pages with memberships are still to come, so the membership may exist. If versions in the state
		// service went back, the membership expires after this time.
		return now-known.since > units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL && r.voter(node).Vote(now, id)
	case id == 0: // the owner runs a release without memberships
		return now-known.expiredAt > units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL
	}
	// The peer leases of a majority can no longer extend the membership, and those of all peers do not, as
	// this controller has granted it no peer lease that still runs and will never grant one again. As
	// UnvotedExpiry is at least as long as MajorityExtension, this is also the longest wait for another
	// controller's deleted membership.
	if now-known.expiredAt > units.MaxWithDrift(r.cfg.MajorityExtension) && r.voter(node).Vote(now, id) {
		return true
	}
	return r.majorityVotes(now, node, id)
}

// viewOf returns what is known of a controller's membership. If its record did not exist when the watch cache
// was first loaded, the record counts as deleted since then.
func (r *Registry) viewOf(node string) *view {
	known := r.views[node]
	if known == nil {
		since, _, _ := r.host.CacheAge()
		known = &view{since: since, expiredAt: since}
		r.views[node] = known
	}
	return known
}

// majorityVotes reports whether a majority has voted, in the current round, for a takeover of what a
// membership owned. It starts the next round when the current one is over.
func (r *Registry) majorityVotes(now units.Microseconds, node string, id uint64) bool {
	poll := r.polls[node]
	if poll == nil || poll.memberID != id || now-poll.askedAt > pollDuration {
		poll = &takeoverPoll{memberID: id, askedAt: now, votes: map[string]bool{}}
		r.polls[node] = poll
		r.host.RequestVotes(node, id)
	}
	if !poll.votes[r.cfg.Node] && r.voter(node).Vote(now, id) {
		poll.votes[r.cfg.Node] = true
	}
	return len(poll.votes) > r.cfg.Size/2 || r.cfg.SkippedGuard == guard.TakeoverMajority
}

// VoteRequested reports whether this controller votes for a takeover of what a membership owned, as another
// controller requests. The node is one of the controllers.
func (r *Registry) VoteRequested(now units.Microseconds, node string, memberID uint64) bool {
	r.now = now
	if node == r.cfg.Node && memberID == r.id {
		if r.id == 0 || r.Valid(now) {
			return false
		}
		r.endMembership("authority expired and another controller requested a takeover")
	}
	return r.voter(node).Vote(now, memberID)
}

// VoteReceived counts a controller's vote for a takeover.
func (r *Registry) VoteReceived(from, node string, memberID uint64) {
	if poll := r.polls[node]; poll != nil && poll.memberID == memberID {
		poll.votes[from] = true
	}
}

// Describe returns the whole state of a controller's membership, with times relative to now. Logs show it,
// and model checking relies on it: registries with equal descriptions behave the same from then on.
func (r *Registry) Describe(now units.Microseconds) string {
	var b []byte
	number := func(label string, value uint64) { b = strconv.AppendUint(append(b, label...), value, 10) }
	remaining := func(label string, t units.Microseconds) { number(label, uint64(max(0, t-now))) }
	number("member ", r.id)
	number(" lease ", r.leaseID)
	remaining(" after ", r.nextTryAt)
	remaining(" renews ", r.nextRenewalAt)
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
		if known.id == 0 { // what matters is when the record will have been deleted for long enough
			remaining(" gone ", known.expiredAt+units.MaxWithDrift(r.cfg.UnvotedExpiry)+r.cfg.TTL)
			remaining(" short ", known.expiredAt+units.MaxWithDrift(r.cfg.MajorityExtension))
			number(" after ", known.previousID)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(r.voters)) {
		b = r.voters[node].AppendTrace(append(b, "; voter for "+node+" "...), now)
	}
	for _, node := range slices.Sorted(maps.Keys(r.polls)) {
		poll := r.polls[node]
		number("; polls "+node+" ", poll.memberID)
		remaining(" for ", poll.askedAt+pollDuration+1)
		for _, from := range slices.Sorted(maps.Keys(poll.votes)) {
			b = append(append(b, ' '), from...)
		}
	}
	return string(b)
}
