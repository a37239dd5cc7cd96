package core

import (
	"iter"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/shardplan"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// electionHost implements election.Host: it gives the leader election access to this controller.
type electionHost struct{ *Core }

// Now implements election.Host.
func (c electionHost) Now() units.Microseconds { return c.now }

// Store implements election.Host.
func (c electionHost) Store(w *store.Write) { c.queues[ControlQueue].Add(w) }

// Version implements election.Host.
func (c electionHost) Version(key string) uint64 { return c.cache.Version(key) }

// CacheAge implements election.Host.
func (c electionHost) CacheAge() units.Microseconds { return c.stateAge() }

// Member implements election.Host.
func (c electionHost) Member() (id, leaseID uint64) {
	return c.membership.ID(), c.membership.LeaseID()
}

// Archiving implements election.Host.
func (c electionHost) Archiving() bool { return c.archive.Index().Enabled() }

// Elected implements election.Host.
func (c electionHost) Elected(lead *election.Leadership) {
	c.planner.StartTerm(c.now, lead)
}

// tickLeadership runs the planner on the leader. On the other controllers it runs the
// election, in which they campaign if there is no leader.
func (c *Core) tickLeadership() {
	if c.election.Leads() {
		c.planner.Tick(c.now)
		return
	}
	c.election.Tick()
}

// plannerHost implements shardplan.Host and shardplan.Members: it gives the planner,
// which assigns shards to controllers, access to this controller.
type plannerHost struct{ *Core }

// CacheAge implements shardplan.Host.
func (c plannerHost) CacheAge() (age units.Microseconds, complete bool) {
	return c.stateAge(), c.cache.Loaded()
}

// ActiveJobs implements shardplan.Host.
func (c plannerHost) ActiveJobs() iter.Seq[*jobs.Job] { return c.jobs.Active() }

// MachineGroups implements shardplan.Host.
func (c plannerHost) MachineGroups() map[string]fleet.Group { return c.machineGroups }

// Type implements shardplan.Host.
func (c plannerHost) Type(name string) *fleet.Type { return c.types[name] }

// Limit implements shardplan.Host.
func (c plannerHost) Limit(team string) binpack.Vec {
	if settings := c.teams[team]; settings != nil {
		return settings.Limit
	}
	return binpack.Vec{}
}

// Controllers implements shardplan.Members.
func (c plannerHost) Controllers() []string { return c.controllerNames() }

// CurrentMember implements shardplan.Members.
func (c plannerHost) CurrentMember(node string) uint64 { return c.membership.CurrentID(node) }

// MemberSince implements shardplan.Members.
func (c plannerHost) MemberSince(node string) units.Microseconds {
	return c.membership.KnownSince(node)
}

// MemberExpired implements shardplan.Members.
func (c plannerHost) MemberExpired(node string, id uint64) bool {
	return c.membership.Expired(c.now, node, id)
}

// Responsive implements shardplan.Members.
func (c plannerHost) Responsive(node string) bool {
	return node == c.cfg.Node || c.peers.Alive(c.now, node)
}

// UnreachableByWorkers implements shardplan.Members.
func (c plannerHost) UnreachableByWorkers(node string) bool { return c.peerUnreachable(node) }

// ReachedByWorkers implements shardplan.Members.
func (c plannerHost) ReachedByWorkers(node string, shard int) bool {
	return c.workerReached(node, shard)
}

// Outdated implements shardplan.Members.
func (c plannerHost) Outdated(node string) bool { return c.incompatible(node) }

// ToBeUpgraded implements shardplan.Members.
func (c plannerHost) ToBeUpgraded(node string) bool {
	return node != c.cfg.Node && c.peers.Release(node) < peering.Release
}

// Standby implements shardplan.Members.
func (c plannerHost) Standby(shard int) string { return c.standbyOf(shard) }

// OwnQuotaUses implements shardplan.Host.
func (c plannerHost) OwnQuotaUses() iter.Seq2[int, float64] {
	return func(yield func(int, float64) bool) {
		for number, shard := range c.owned {
			if shard.ready && len(shard.reconciler.Unreconciled()) == 0 && !yield(number, shard.quota.MaxUtilization()) {
				return
			}
		}
	}
}

// RequestRelease implements shardplan.Host.
func (c plannerHost) RequestRelease(number int, owner string) {
	if shard := c.owned[number]; shard != nil {
		c.releaseShard(shard, "another controller owns no shard")
		return
	}
	c.emit(SendPeer{owner, ReleaseRequest{Block: number, Grant: c.shardRecords.Assignment(number).Version}})
}

// Store implements shardplan.Host.
func (c plannerHost) Store(w *store.Write) { c.queues[ControlQueue].Add(w) }

// Version implements shardplan.Host.
func (c plannerHost) Version(key string) uint64 { return c.cache.Version(key) }

// ReadFresh implements shardplan.Host.
func (c plannerHost) ReadFresh(ended func(ok bool)) { c.readFresh(ended) }

// migratingShard implements shardplan.OwnedShard: an owned shard from which jobs may be migrated.
type migratingShard struct {
	core  *Core
	shard *ownedShard
}

// Number implements shardplan.OwnedShard.
func (m migratingShard) Number() int { return m.shard.number }

// Guard implements shardplan.OwnedShard.
func (m migratingShard) Guard() store.Guard {
	return store.Guard{Key: keys.Assignment(m.shard.number), Version: m.shard.assignment}
}

// Owned implements shardplan.OwnedShard.
func (m migratingShard) Owned() bool { return m.core.owned[m.shard.number] == m.shard }

// controllerNames returns the names of all controllers, this one included, in the same order on each of them.
func (c *Core) controllerNames() []string {
	names := append([]string{c.cfg.Node}, c.peers.Names()...)
	slices.Sort(names)
	return names
}

func shardNumber(key, prefix string) (int, error) { return keys.Shard(key, prefix) }

// applyAssignment applies the stored assignment of a shard, and acquires or drops the shard accordingly.
func (c *Core) applyAssignment(event store.Event) error {
	number, err := shardNumber(event.Key, assignmentPrefix)
	if err != nil {
		return err
	}
	if err := c.shardRecords.ApplyAssignment(number, event); err != nil {
		return err
	}
	assignment := c.shardRecords.Assignment(number)
	if event.Value != nil {
		c.config.SetShards(c.shardRecords.Shards())
		if assignment.Node != "" && assignment.Node != c.cfg.Node {
			c.transfers.Discard(number) // another controller owns the shard now and uses the snapshot
		}
	}
	if shard := c.owned[number]; shard != nil && shard.assignment != assignment.Version {
		if c.assignedHere(assignment) && assignment.Token() == shard.fencingToken && !shard.releasing {
			shard.assignment = assignment.Version // the same assignment, written again after a rollback of the state service
		} else {
			c.dropShard(shard)
		}
	}
	c.acquireIfAssigned(number)
	return nil
}

// assignedHere reports whether a shard is assigned to this controller's current membership. An assignment to an
// earlier membership belongs to an earlier process of this controller.
func (c *Core) assignedHere(assignment shardplan.Assignment) bool {
	return assignment.Node == c.cfg.Node && assignment.MemberID == c.membership.ID()
}

// acquireIfAssigned acquires a shard if it is assigned to this controller's membership and not owned yet.
func (c *Core) acquireIfAssigned(number int) {
	if assignment := c.shardRecords.Assignment(number); c.assignedHere(assignment) && c.membership.ID() != 0 && c.owned[number] == nil {
		c.acquireShard(number, assignment)
	}
}

// applyAllocation applies the stored quota allocation of a shard.
func (c *Core) applyAllocation(event store.Event) error {
	number, err := shardNumber(event.Key, allocationPrefix)
	if err != nil {
		return err
	}
	if err := c.shardRecords.ApplyAllocation(number, event); err != nil || event.Value == nil {
		return err
	}
	c.setRates()
	return nil
}

func assignmentKey(number int) string { return keys.Assignment(number) }
