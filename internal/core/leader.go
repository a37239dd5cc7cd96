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

// electionHost is what this controller does as a candidate for leadership.
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

// tickLead plans where this controller leads, and else campaigns where nobody does.
func (c *Core) tickLead() {
	if c.election.Leads() {
		c.planner.Tick(c.now)
		return
	}
	c.election.Tick()
}

// plannerHost is what this controller does for the division into shards, and what that
// depends on.
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
	if t := c.teams[team]; t != nil {
		return t.Limit
	}
	return binpack.Vec{}
}

// Controllers implements shardplan.Members.
func (c plannerHost) Controllers() []string { return c.everyone() }

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
		c.release(shard, "another controller has none")
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

// migratingShard is a shard that this controller owns, as a source of migrations.
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

// everyone returns the names of all controllers, in the same order on each.
func (c *Core) everyone() []string {
	names := append([]string{c.cfg.Node}, c.peers.Names()...)
	slices.Sort(names)
	return names
}

func shardNumber(key, prefix string) (int, error) { return keys.Shard(key, prefix) }

// learnAssignment takes the stored assignment of a shard, and begins or ends to own the
// shard accordingly.
func (c *Core) learnAssignment(e store.Event) error {
	number, err := shardNumber(e.Key, assignmentPrefix)
	if err != nil {
		return err
	}
	if err := c.shardRecords.ApplyAssignment(number, e); err != nil {
		return err
	}
	assignment := c.shardRecords.Assignment(number)
	if e.Value != nil {
		c.config.SetShards(c.shardRecords.Shards())
		if assignment.Node != "" && assignment.Node != c.cfg.Node {
			c.transfers.Discard(number) // it is another's to use
		}
	}
	if shard := c.owned[number]; shard != nil && shard.assignment != assignment.Version {
		if c.assignedHere(assignment) && assignment.Token() == shard.fencingToken && !shard.releasing {
			shard.assignment = assignment.Version // the same assignment, written again as it was lost
		} else {
			c.drop(shard)
		}
	}
	c.take(number)
	return nil
}

// assignedHere reports whether a shard is assigned to this controller's membership. The
// assignment of a membership that has ended is that of an earlier process.
func (c *Core) assignedHere(a shardplan.Assignment) bool {
	return a.Node == c.cfg.Node && a.MemberID == c.membership.ID()
}

// take begins to own a shard that is assigned to this controller's membership.
func (c *Core) take(number int) {
	if a := c.shardRecords.Assignment(number); c.assignedHere(a) && c.membership.ID() != 0 && c.owned[number] == nil {
		c.own(number, a)
	}
}

func (c *Core) learnAllocation(e store.Event) error {
	number, err := shardNumber(e.Key, allocationPrefix)
	if err != nil {
		return err
	}
	if err := c.shardRecords.ApplyAllocation(number, e); err != nil || e.Value == nil {
		return err
	}
	c.setRates()
	return nil
}

func assignmentKey(k int) string { return keys.Assignment(k) }
