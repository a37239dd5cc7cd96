package configuration

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// keptTimes bounds for how many versions it is kept since when they are in force here.
const keptTimes = 64

type adoption struct {
	version uint64
	at      units.Microseconds
}

// confirmation keeps which version each controller goes by.
type confirmation struct {
	peers     map[string]*peerVersions
	names     []string
	adoptions []adoption // here, by version
	confirmed uint64
}

// peerVersions is what another controller has last sent.
type peerVersions struct {
	inForce, known uint64
}

func newConfirmation(names []string) confirmation {
	c := confirmation{peers: map[string]*peerVersions{}, names: slices.Sorted(slices.Values(names))}
	for _, n := range names {
		c.peers[n] = &peerVersions{}
	}
	return c
}

func (c *confirmation) adopted(now units.Microseconds, version uint64) {
	c.adoptions = append(c.adoptions, adoption{version, now})
	if len(c.adoptions) > keptTimes {
		c.adoptions = c.adoptions[1:]
	}
}

// since is when this controller surely knew of a version: when it first had that or a later
// one in force.
func (c *confirmation) since(version uint64) (units.Microseconds, bool) {
	for _, a := range c.adoptions {
		if a.version >= version {
			return a.at, true
		}
	}
	return 0, false
}

// ControllerStatus tells by which version a controller goes.
type ControllerStatus struct {
	Node    string
	Version uint64
	KnownVersion   uint64 // the latest that it knows of: while that is later it starts nothing
	Unresponsive  bool   // it sends this controller no status
	// Confirmed says that it starts nothing by an older version than the one asked for. An unresponsive
	// one does so once Bound has passed: either it knows, or it may start nothing.
	Confirmed bool
}

// Status tells how far a version has come.
type Status struct {
	Version   uint64 // asked for
	Current   uint64 // in force at the controller that was asked
	Confirmed bool
	// LatestConfirmed is the latest version that is known to be confirmed.
	LatestConfirmed uint64
	Waiting      int // changes that wait to be stored
	Controllers  []ControllerStatus
}

// ApplyPeerStatus takes another controller's status: the version that it goes by, and the latest that
// it knows of.
func (b *Manager) ApplyPeerStatus(now units.Microseconds, from string, inForce, known uint64) {
	b.now = max(b.now, now)
	if p := b.confirm.peers[from]; p != nil {
		p.inForce, p.known = inForce, known
	}
}

// Status tells how far a version has come, 0: the one in force here. silent reports whether
// another controller sends no status at present.
func (b *Manager) Status(now units.Microseconds, version uint64, unresponsive func(node string) bool) Status {
	b.now = max(b.now, now)
	if version == 0 {
		version = b.version
	}
	confirm := &b.confirm
	status := Status{Version: version, Current: b.version, Waiting: len(b.queue.waiting)}
	if b.queue.current != nil {
		status.Waiting += len(b.queue.current.changes)
	}
	since, here := confirm.since(version)
	late := here && b.now-since >= units.MaxWithDrift(b.cfg.IsolatedStartLimit)
	all := b.version >= version && !b.Behind()
	status.Controllers = append(status.Controllers, ControllerStatus{Node: b.cfg.Node, Version: b.version, KnownVersion: max(b.version, b.latestKnown), Confirmed: all})
	for _, n := range confirm.names {
		p := confirm.peers[n]
		x := ControllerStatus{Node: n, Version: p.inForce, KnownVersion: p.known, Unresponsive: unresponsive(n)}
		x.Confirmed = p.inForce >= version || x.Unresponsive && late
		all = all && x.Confirmed
		status.Controllers = append(status.Controllers, x)
	}
	// Nobody goes back to an older version, so what was confirmed stays so.
	if all {
		confirm.confirmed = max(confirm.confirmed, version)
	}
	status.LatestConfirmed = confirm.confirmed
	status.Confirmed = version <= confirm.confirmed
	return status
}

// clearance holds back what must not start after a limit fell. Limits are divided among
// shards by allocations. After one fell, a shard may use more of it than its allocation, with tasks
// that go on; another shard must start nothing of that team as long as this is so, or the
// team would start tasks while it is above its limit.
type clearance struct {
	fallen map[string]uint64      // teams, and the version in which their limit last fell
	shards map[int]shardClearance // as last stated
	all    []int                  // shards that there are
}

// shardClearance is what a shard's owner has last stated.
type shardClearance struct {
	version uint64 // that it goes by
	over    map[string]bool
}

func newClearance() clearance {
	return clearance{fallen: map[string]uint64{}, shards: map[int]shardClearance{}}
}

func (c *clearance) fell(version uint64, teams []string) {
	for _, t := range teams {
		c.fallen[t] = version
	}
}

// SetOverQuota takes an owner's statement, by a version that it goes by, which teams use more of their
// quotas in a shard than its allocation. It is to be taken only from the shard's owner as stored,
// from a copy that is complete up to the version in force here, and only once all machines of
// the shard are reconciled.
func (b *Manager) SetOverQuota(shard int, version uint64, teams []string) {
	if len(b.fall.fallen) == 0 || version > b.version {
		return
	}
	clearance := shardClearance{version: version, over: map[string]bool{}}
	for _, t := range teams {
		clearance.over[t] = true
	}
	b.fall.shards[shard] = clearance
}

// LimitsReduced reports whether quotas fell of which not all shards are known to keep within their
// allocations.
func (b *Manager) LimitsReduced() bool { return len(b.fall.fallen) > 0 }

// MayStart reports whether a team's tasks may start in a shard, apart from its quota there:
// not while this controller is behind, nor after the quota fell until all other shards keep
// within their allocations of it.
func (b *Manager) MayStart(team string, shard int) bool {
	if b.Behind() {
		return false
	}
	version, fell := b.fall.fallen[team]
	if !fell {
		return true
	}
	for _, k := range b.fall.all {
		if k != shard && !b.fall.within(k, team, version) {
			return false
		}
	}
	return true
}

// within reports whether a shard is known to keep within its allocation of a team's limit.
func (c *clearance) within(block int, team string, version uint64) bool {
	told, ok := c.shards[block]
	return ok && told.version >= version && !told.over[team]
}

// SetShards says which shards there are, and forgets that a team's limit fell once all of them
// keep within their allocations: none starts anything beyond its share, so that it stays so.
func (b *Manager) SetShards(all []int) {
	c := &b.fall
	c.all = all
	for team, version := range c.fallen {
		if !slices.ContainsFunc(all, func(k int) bool { return !c.within(k, team, version) }) {
			delete(c.fallen, team)
		}
	}
}
