package configuration

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// maxAdoptions is the number of versions whose time of adoption is kept.
const maxAdoptions = 64

// adoption is the time at which this controller first had a version in force.
type adoption struct {
	version uint64
	at      units.Microseconds
}

// confirmation tracks which version each controller has in force.
type confirmation struct {
	peers     map[string]*peerVersions
	names     []string
	adoptions []adoption // by this controller, by version
	confirmed uint64     // the latest confirmed version
}

// peerVersions holds the versions of another controller's last status.
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

// recordAdoption records that a version has come into force here.
func (c *confirmation) recordAdoption(now units.Microseconds, version uint64) {
	c.adoptions = append(c.adoptions, adoption{version, now})
	if len(c.adoptions) > maxAdoptions {
		c.adoptions = c.adoptions[1:]
	}
}

// knownSince returns the time since when this controller has certainly known of a version: when it first had
// that or a later one in force.
func (c *confirmation) knownSince(version uint64) (units.Microseconds, bool) {
	for _, a := range c.adoptions {
		if a.version >= version {
			return a.at, true
		}
	}
	return 0, false
}

// ControllerStatus says which version a controller has in force.
type ControllerStatus struct {
	Node         string
	Version      uint64
	KnownVersion uint64 // the latest that it knows of; it starts no tasks while that is later than Version
	Unresponsive bool   // no current status from it has arrived
	// Confirmed says that it no longer starts tasks under an older version than the requested one. For an
	// unresponsive controller this holds once IsolatedStartLimit has passed: by then it either knows
	// the version or may not start tasks.
	Confirmed bool
}

// Status is the progress of a version's rollout to the controllers.
type Status struct {
	Version   uint64 // the requested one
	Current   uint64 // in force at the controller that responds
	Confirmed bool   // for all controllers
	// LatestConfirmed is the latest version that is known to be confirmed.
	LatestConfirmed uint64
	Waiting         int // changes that wait to be stored
	Controllers     []ControllerStatus
}

// ApplyPeerStatus records another controller's status: the version that it has in force, and the latest one
// that it knows of. Controllers that are not peers are ignored.
func (m *Manager) ApplyPeerStatus(now units.Microseconds, from string, inForce, known uint64) {
	m.now = max(m.now, now)
	if p := m.confirm.peers[from]; p != nil {
		p.inForce, p.known = inForce, known
	}
}

// Status returns the rollout status of a version; 0 stands for the one in force here. unresponsive reports
// whether no current status of another controller has arrived.
func (m *Manager) Status(now units.Microseconds, version uint64, unresponsive func(node string) bool) Status {
	m.now = max(m.now, now)
	if version == 0 {
		version = m.version
	}
	confirm := &m.confirm
	status := Status{Version: version, Current: m.version, Waiting: len(m.queue.pending)}
	if m.queue.current != nil {
		status.Waiting += len(m.queue.current.changes)
	}
	since, adopted := confirm.knownSince(version)
	expired := adopted && m.now-since >= units.MaxWithDrift(m.cfg.IsolatedStartLimit)
	allConfirmed := m.version >= version && !m.Behind()
	status.Controllers = append(status.Controllers, ControllerStatus{Node: m.cfg.Node, Version: m.version, KnownVersion: max(m.version, m.latestKnown), Confirmed: allConfirmed})
	for _, n := range confirm.names {
		p := confirm.peers[n]
		x := ControllerStatus{Node: n, Version: p.inForce, KnownVersion: p.known, Unresponsive: unresponsive(n)}
		x.Confirmed = p.inForce >= version || x.Unresponsive && expired
		allConfirmed = allConfirmed && x.Confirmed
		status.Controllers = append(status.Controllers, x)
	}
	// No controller goes back to an older version, so a confirmed version stays confirmed.
	if allConfirmed {
		confirm.confirmed = max(confirm.confirmed, version)
	}
	status.LatestConfirmed = confirm.confirmed
	status.Confirmed = version <= confirm.confirmed
	return status
}

// limitReductions tracks teams whose limit was reduced and holds back their tasks. Limits are divided among
// shards by allocations. After a reduction, a shard's running tasks may use more than its new allocation.
// As long as they do, other shards must not start tasks of that team. Otherwise the team would start
// tasks while it is above its limit.
type limitReductions struct {
	reducedIn map[string]uint64  // by team: the version that last reduced its limit
	shards    map[int]shardUsage // as last reported by the owners
	allShards []int              // all shards that exist
}

// shardUsage is the last report of a shard's owner.
type shardUsage struct {
	version        uint64          // in force at the owner when it reported
	overAllocation map[string]bool // teams above the shard's allocation
}

func newLimitReductions() limitReductions {
	return limitReductions{reducedIn: map[string]uint64{}, shards: map[int]shardUsage{}}
}

// record notes the version that may have reduced the limits of teams.
func (r *limitReductions) record(version uint64, teams []string) {
	for _, t := range teams {
		r.reducedIn[t] = version
	}
}

// SetOverQuota records an owner's report of the teams that use more in a shard than its allocation of their
// quotas, and the version that the owner had in force. The caller must make sure of three things: the report
// is from the shard's owner as stored, the watch cache is complete up to the version in force here, and
// all machines of the shard are reconciled.
func (m *Manager) SetOverQuota(shard int, version uint64, teams []string) {
	if len(m.reductions.reducedIn) == 0 || version > m.version {
		return
	}
	usage := shardUsage{version: version, overAllocation: map[string]bool{}}
	for _, t := range teams {
		usage.overAllocation[t] = true
	}
	m.reductions.shards[shard] = usage
}

// LimitsReduced reports whether there is a reduced limit for which not all shards are known to be within
// their allocations yet.
func (m *Manager) LimitsReduced() bool { return len(m.reductions.reducedIn) > 0 }

// MayStart reports whether the configuration in force allows a team's tasks to start in a shard; the team's
// quota there is checked elsewhere. Tasks may not start while this controller is behind, nor after the
// team's limit was reduced until all other shards are within their allocations of it.
func (m *Manager) MayStart(team string, shard int) bool {
	if m.Behind() {
		return false
	}
	version, reduced := m.reductions.reducedIn[team]
	if !reduced {
		return true
	}
	for _, k := range m.reductions.allShards {
		if k != shard && !m.reductions.withinAllocation(k, team, version) {
			return false
		}
	}
	return true
}

// withinAllocation reports whether a shard is known to be within its allocation of a team's limit. The limit is
// the one that the given version set.
func (r *limitReductions) withinAllocation(shard int, team string, version uint64) bool {
	usage, ok := r.shards[shard]
	return ok && usage.version >= version && !usage.overAllocation[team]
}

// SetShards sets the list of all shards, and ends the reduction of a team's limit once all of them are within
// their allocations. They stay within them, as no shard starts tasks beyond its allocation.
func (m *Manager) SetShards(all []int) {
	r := &m.reductions
	r.allShards = all
	for team, version := range r.reducedIn {
		if !slices.ContainsFunc(all, func(k int) bool { return !r.withinAllocation(k, team, version) }) {
			delete(r.reducedIn, team)
		}
	}
}
