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

// allocate stores a quota allocation for a shard.
func allocate(t *testing.T, core *Core, shard int, fraction float64) {
	t.Helper()
	event := store.Event{Key: keys.Allocation(shard), Value: store.Value(authority.QuotaAllocation{Fraction: fraction}), Stamp: 1}
	if err := core.shardRecords.ApplyAllocation(shard, event); err != nil {
		t.Fatal(err)
	}
}

// configRecords returns the records of a configuration version as this release stores them.
func configRecords(version int, limit int64) map[string]any {
	name := fmt.Sprint("c", version)
	return map[string]any{
		configPrefix + "head":          map[string]any{"version": version, "id": name, "chunks": []string{name}},
		configPrefix + "chunk/" + name: map[string]any{"teams": []map[string]any{{"name": "t", "cpu_max": limit}}},
	}
}

// TestOwnerWithStaleConfiguration guards against an owner that schedules by an outdated
// configuration. The status or the peer lease grant of another controller mentions a
// later version. The owner starts and accepts nothing until it has read that version.
func TestOwnerWithStaleConfiguration(t *testing.T) {
	spec := &jobs.Spec{Team: "t", Tasks: 1, Demand: binpack.Vec{1000}}
	for name, message := range map[string]any{"status": PeerStatus{ConfigKnown: 3}, "promise": PeerLeaseGrant{ConfigKnown: 3}} {
		core := newOwner(t, nil)
		core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
		shard := core.owned[0]
		allocate(t, core, 0, 1)
		if !shard.quota.Allows(spec.Team, spec.Demand) || !core.mayAcceptJobs() {
			t.Fatalf("%s: a team of the settings file may not start", name)
		}
		core.OnPeer(core.now, "b", message)
		if shard.quota.Allows(spec.Team, spec.Demand) || core.mayAcceptJobs() {
			t.Errorf("%s: starts or accepts jobs although a later version is known", name)
		}
		revision := uint64(200)
		for key, value := range configRecords(3, 2000) {
			core.applyEvent(store.Event{Key: key, Value: store.Value(value), Stamp: revision})
		}
		if !shard.quota.Allows(spec.Team, spec.Demand) || !core.mayAcceptJobs() || core.teams["t"].Limit[binpack.CPU] != 2000 {
			t.Errorf("%s: starts or accepts nothing although it has the latest version", name)
		}
	}
}

// TestRestartAppliesStoredConfiguration guards against a restarted process that uses its settings file although
// a configuration version is stored. It applies the stored version as soon as it owns a shard, and keeps the
// limits of removed teams for their remaining jobs.
func TestRestartAppliesStoredConfiguration(t *testing.T) {
	core := newOwner(t, configRecords(4, 5000))
	if core.config.Version() != 4 || core.config.Behind() || core.teams["t"].Limit[binpack.CPU] != 5000 {
		t.Errorf("version %d in force: %+v", core.config.Version(), core.teams["t"])
	}
	allocate(t, core, 0, 1)
	core.reconfigure(configuration.Content{Teams: []Team{{Name: "t"}, {Name: "u", Limit: binpack.Vec{3000}, Removed: 1}}, Objectives: []Objective{{Kind: "wait"}}})
	spec := &jobs.Spec{Team: "u", Tasks: 1, Demand: binpack.Vec{3000}, AnyType: true}
	if core.admission.Infeasible(spec) != "unknown team" || !core.owned[0].quota.Allows(spec.Team, spec.Demand) || len(core.cfg.Teams) != 1 || len(core.cfg.Objectives) != 1 {
		t.Errorf("%q, %+v", core.admission.Infeasible(spec), core.cfg.Teams)
	}
	spec.Demand[binpack.CPU]++
	if core.owned[0].quota.Allows(spec.Team, spec.Demand) {
		t.Error("the limit of a removed team is not enforced")
	}
}

// TestAllocationFollowsLoweredLimit guards against a shard that keeps its old quota
// after a team's limit is lowered. The shard's allocation becomes the same fraction of
// the new limit, the team is reported as over its quota, and it starts nothing more.
func TestAllocationFollowsLoweredLimit(t *testing.T) {
	core := newOwner(t, configRecords(1, 40_000))
	shard := core.owned[0]
	allocate(t, core, 0, 0.25)
	shard.quota.Charge("t", binpack.Vec{8000})
	if allocation := shard.quota.Allocation(core.teams["t"].Limit); allocation[binpack.CPU] != 10_000 || len(shard.quota.TeamsOverAllocation()) != 0 || shard.quota.MaxUtilization() != 0.2 {
		t.Errorf("allocation %v, use %g, teams over it %v", allocation, shard.quota.MaxUtilization(), shard.quota.TeamsOverAllocation())
	}
	for key, value := range configRecords(2, 20_000) {
		core.applyEvent(store.Event{Key: key, Value: store.Value(value), Stamp: 200})
	}
	if allocation := shard.quota.Allocation(core.teams["t"].Limit); allocation[binpack.CPU] != 5000 || !slices.Equal(shard.quota.TeamsOverAllocation(), []string{"t"}) || shard.quota.MaxUtilization() != 0.4 {
		t.Errorf("allocation %v, use %g, teams over it %v", allocation, shard.quota.MaxUtilization(), shard.quota.TeamsOverAllocation())
	}
	if shard.quota.Allows("t", binpack.Vec{1}) {
		t.Error("a task may start above the allocation")
	}
}

// TestOlderReleaseBlocksConfigurationChange guards against controllers with different
// configurations. While a controller is known that only reads its settings file, changes
// are refused. Once a version is stored, such a controller is assigned no shard.
func TestOlderReleaseBlocksConfigurationChange(t *testing.T) {
	core := newOwner(t, nil)
	core.peers = peering.NewDirectory(peering.Config{Node: core.cfg.Node, Peers: []string{"b"}})
	core.peers.SetRelease("b", peering.ReleaseConfig-1)
	limit := int64(1000)
	core.Configure(core.now, 7, configuration.Request{Teams: []configuration.TeamChange{{Name: "t", LimitCPU: &limit}}})
	if r := replyTo(t, core, 7); r.Code != 503 || r.RetryAfter == 0 {
		t.Errorf("%+v", r)
	}
	if core.incompatible("b") {
		t.Error("counts as incompatible although no version is stored")
	}
	core.config.ObserveVersion(1)
	if !core.incompatible("b") {
		t.Error("may own a shard although it ignores the stored version")
	}
}

// TestManyTeamsOverAllocation guards against a status that exceeds the frame size. With more teams above their
// allocation than a status can name, it names none and reports the shard's quota use as unknown.
func TestManyTeamsOverAllocation(t *testing.T) {
	core := newOwner(t, configRecords(1, 40_000))
	shard := core.owned[0]
	var content configuration.Content
	for i := range 1000 {
		name := fmt.Sprintf("a-team-whose-name-is-about-as-long-as-names-may-be-at-all-%04d", i)
		content.Teams = append(content.Teams, Team{Name: name, Limit: binpack.Vec{1000}})
		shard.quota.Charge(name, binpack.Vec{2000})
	}
	core.reconfigure(content)
	status := PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
	if core.addConfigStatus(&status); status.Blocks[0].Use != -1 || len(status.Blocks[0].Over) > 0 {
		t.Errorf("use %g, %d teams", status.Blocks[0].Use, len(status.Blocks[0].Over))
	}
	content.Teams = content.Teams[:100]
	core.reconfigure(content)
	status = PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
	if core.addConfigStatus(&status); status.Blocks[0].Use != 2 || len(status.Blocks[0].Over) != 100 {
		t.Errorf("use %g, %d teams", status.Blocks[0].Use, len(status.Blocks[0].Over))
	}
}

// TestTeamsOverAllocationAtTheLimit checks the limit of MaxOverQuotaBytes with teams that have names of the
// maximum length. As many as fit are all named. With one more, none is named and the quota use is unknown.
func TestTeamsOverAllocationAtTheLimit(t *testing.T) {
	const maxTeams = MaxOverQuotaBytes / (configuration.MaxNameBytes + 4) // 4 bytes of framing per name
	if maxTeams < 340 {
		t.Errorf("only %d teams fit", maxTeams)
	}
	for _, teams := range []int{340, maxTeams, maxTeams + 1} {
		core := newOwner(t, configRecords(1, 40_000))
		shard := core.owned[0]
		var content configuration.Content
		for i := range teams {
			name := fmt.Sprintf("%0*d", configuration.MaxNameBytes, i)
			content.Teams = append(content.Teams, Team{Name: name, Limit: binpack.Vec{1000}})
			shard.quota.Charge(name, binpack.Vec{2000})
		}
		core.reconfigure(content)
		status := PeerStatus{Blocks: []ShardStatus{{Block: 0, Use: 2}}}
		core.addConfigStatus(&status)
		if shardStatus := status.Blocks[0]; teams <= maxTeams && (shardStatus.Use != 2 || len(shardStatus.Over) != teams) || teams > maxTeams && (shardStatus.Use != -1 || len(shardStatus.Over) != 0) {
			t.Errorf("%d teams: use %g, %d named", teams, shardStatus.Use, len(shardStatus.Over))
		}
	}
}
