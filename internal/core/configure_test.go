package core

import (
	"fmt"
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
)

// allocate gives a shard a part of the quotas.
func allocate(t *testing.T, c *Core, shard int, fraction float64) {
	t.Helper()
	event := store.Event{Key: keys.Allocation(shard), Value: store.Value(authority.QuotaAllocation{Fraction: fraction}), Stamp: 1}
	if err := c.shardRecords.ApplyAllocation(shard, event); err != nil {
		t.Fatal(err)
	}
}

// configRecords returns the records of a version, as a controller of this release stores them.
func configRecords(version int, limit int64) map[string]any {
	name := fmt.Sprint("c", version)
	return map[string]any{
		configPrefix + "head":          map[string]any{"version": version, "id": name, "chunks": []string{name}},
		configPrefix + "chunk/" + name: map[string]any{"teams": []map[string]any{{"name": "t", "cpu_max": limit}}},
	}
}

// TestOwnerWithOlderConfiguration tells a holder, by another's status or promise, of a version that it
// lacks: it starts and accepts nothing until it has it.
func TestOwnerWithOlderConfiguration(t *testing.T) {
	spec := &jobs.Spec{Team: "t", Tasks: 1, Demand: binpack.Vec{1000}}
	for name, m := range map[string]any{"status": PeerStatus{ConfigKnown: 3}, "promise": PeerLeaseGrant{ConfigKnown: 3}} {
		core := holding(t, nil)
		core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
		shard := core.owned[0]
		allocate(t, core, 0, 1)
		if !shard.quota.Allows(spec.Team, spec.Demand) || !core.mayAccept() {
			t.Fatalf("%s: the settings file's team may not start", name)
		}
		core.OnPeer(core.now, "b", m)
		if shard.quota.Allows(spec.Team, spec.Demand) || core.mayAccept() {
			t.Errorf("%s: starts or accepts by an older version than it knows of", name)
		}
		rev := uint64(200)
		for k, v := range configRecords(3, 2000) {
			core.learn(store.Event{Key: k, Value: store.Value(v), Stamp: rev})
		}
		if !shard.quota.Allows(spec.Team, spec.Demand) || !core.mayAccept() || core.teams["t"].Limit[binpack.CPU] != 2000 {
			t.Errorf("%s: starts nothing once it has it", name)
		}
	}
}

// TestRestartReadsTheConfiguration has a process begin where a version is stored: it goes by
// that as soon as it holds anything, with the removed teams' limits for their jobs.
func TestRestartReadsTheConfiguration(t *testing.T) {
	c := holding(t, configRecords(4, 5000))
	if c.config.Version() != 4 || c.config.Behind() || c.teams["t"].Limit[binpack.CPU] != 5000 {
		t.Errorf("goes by %d: %+v", c.config.Version(), c.teams["t"])
	}
	allocate(t, c, 0, 1)
	c.reconfigure(configuration.Content{Teams: []Team{{Name: "t"}, {Name: "u", Limit: binpack.Vec{3000}, Removed: 1}}, Objectives: []Objective{{Kind: "wait"}}})
	spec := &jobs.Spec{Team: "u", Tasks: 1, Demand: binpack.Vec{3000}, AnyType: true}
	if c.admission.Infeasible(spec) != "unknown team" || !c.owned[0].quota.Allows(spec.Team, spec.Demand) || len(c.cfg.Teams) != 1 || len(c.cfg.Objectives) != 1 {
		t.Errorf("%q, %+v", c.admission.Infeasible(spec), c.cfg.Teams)
	}
	spec.Demand[binpack.CPU]++
	if c.owned[0].quota.Allows(spec.Team, spec.Demand) {
		t.Error("a removed team has no limit")
	}
}

// TestAllocationOfALowerLimit lowers a limit while a block has a share of it: the block's part is
// the same share of the new one, and what it uses beyond is told.
func TestAllocationOfALowerLimit(t *testing.T) {
	c := holding(t, configRecords(1, 40_000))
	shard := c.owned[0]
	allocate(t, c, 0, 0.25)
	shard.quota.Charge("t", binpack.Vec{8000})
	if p := shard.quota.Allocation(c.teams["t"].Limit); p[binpack.CPU] != 10_000 || len(shard.quota.TeamsOverAllocation()) != 0 || shard.quota.MaxUtilization() != 0.2 {
		t.Errorf("part %v, use %g, over %v", p, shard.quota.MaxUtilization(), shard.quota.TeamsOverAllocation())
	}
	for k, v := range configRecords(2, 20_000) {
		c.learn(store.Event{Key: k, Value: store.Value(v), Stamp: 200})
	}
	if p := shard.quota.Allocation(c.teams["t"].Limit); p[binpack.CPU] != 5000 || !slices.Equal(shard.quota.TeamsOverAllocation(), []string{"t"}) || shard.quota.MaxUtilization() != 0.4 {
		t.Errorf("part %v, use %g, over %v", p, shard.quota.MaxUtilization(), shard.quota.TeamsOverAllocation())
	}
	if shard.quota.Allows("t", binpack.Vec{1}) {
		t.Error("starts above its share")
	}
}

// TestOlderReleases makes no change while a controller that goes by its settings file alone is
// known, and gives it no block once there is a stored version.
func TestOlderReleases(t *testing.T) {
	c := holding(t, nil)
	c.peers = peering.NewDirectory(peering.Config{Node: c.cfg.Node, Peers: []string{"b"}})
	c.peers.NoteRelease("b", peering.ReleaseConfig-1)
	limit := int64(1000)
	c.Configure(c.now, 7, configuration.Request{Teams: []configuration.TeamChange{{Name: "t", LimitCPU: &limit}}})
	if r := replyTo(t, c, 7); r.Code != 503 || r.RetryAfter == 0 {
		t.Errorf("%+v", r)
	}
	if c.incompatible("b") {
		t.Error("too old, and nothing is stored")
	}
	c.config.ObserveVersion(1)
	if !c.incompatible("b") {
		t.Error("may hold a block though it does not go by the stored version")
	}
}

// TestManyTeamsOverAllocation has more teams above their share than a status can name: it
// stays small, and says that the block's use is not known.
func TestManyTeamsOverAllocation(t *testing.T) {
	core := holding(t, configRecords(1, 40_000))
	shard := core.owned[0]
	var content configuration.Content
	for i := range 1000 {
		name := fmt.Sprintf("a-team-whose-name-is-about-as-long-as-names-may-be-at-all-%04d", i)
		content.Teams = append(content.Teams, Team{Name: name, Limit: binpack.Vec{1000}})
		shard.quota.Charge(name, binpack.Vec{2000})
	}
	core.reconfigure(content)
	s := PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
	if core.addConfigStatus(&s); s.Blocks[0].Use != -1 || len(s.Blocks[0].Over) > 0 {
		t.Errorf("use %g, %d teams", s.Blocks[0].Use, len(s.Blocks[0].Over))
	}
	content.Teams = content.Teams[:100]
	core.reconfigure(content)
	s = PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
	if core.addConfigStatus(&s); s.Blocks[0].Use != 2 || len(s.Blocks[0].Over) != 100 {
		t.Errorf("use %g, %d teams", s.Blocks[0].Use, len(s.Blocks[0].Over))
	}
}

// TestTeamsOverAllocationAtTheLimit has as many teams with the longest names above their share
// as a status has room for, and one more: then none is named, and the use is not known.
func TestTeamsOverAllocationAtTheLimit(t *testing.T) {
	const room = MaxOverQuotaBytes / (configuration.MaxNameBytes + 4) // 4 bytes round each name
	if room < 340 {
		t.Errorf("room for %d teams", room)
	}
	for _, teams := range []int{340, room, room + 1} {
		c := holding(t, configRecords(1, 40_000))
		shard := c.owned[0]
		var content configuration.Content
		for i := range teams {
			name := fmt.Sprintf("%0*d", configuration.MaxNameBytes, i)
			content.Teams = append(content.Teams, Team{Name: name, Limit: binpack.Vec{1000}})
			shard.quota.Charge(name, binpack.Vec{2000})
		}
		c.reconfigure(content)
		s := PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
		c.addConfigStatus(&s)
		if b := s.Blocks[0]; teams <= room && (b.Use != 2 || len(b.Over) != teams) || teams > room && (b.Use != -1 || len(b.Over) != 0) {
			t.Errorf("%d teams: use %g, %d named", teams, b.Use, len(b.Over))
		}
	}
}
