package rehearse

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// plantedMistake is a service that lacks one check.
type plantedMistake struct {
	name    string
	mistake sim.Mutation
	file    string // rehearsal that finds it
	rule    string // that is broken then
	within  uint64 // plays
}

// without leaves one check of the core out.
func without(g guard.Guard) sim.Mutation {
	return sim.Mutation{CoreConfig: func(c *core.Config) { c.SkippedGuard = g }}
}

// unguarded takes the guards off transactions that match.
func unguarded(match func(t *kv.Txn, g kv.Guard) bool) sim.Mutation {
	return sim.Mutation{Commit: func(t *kv.Txn) {
		all := *t
		t.Guards = slices.DeleteFunc(slices.Clone(t.Guards), func(g kv.Guard) bool { return match(&all, g) })
	}}
}

// change returns what a transaction puts under a key, nil if nothing.
func change(t *kv.Txn, key string) *kv.Change {
	for i := range t.Changes {
		if t.Changes[i].Key == key {
			return &t.Changes[i]
		}
	}
	return nil
}

// unguardedKey takes off the guard of the version of each changed key in a folder.
func unguardedKey(folder string) sim.Mutation {
	return unguarded(func(t *kv.Txn, g kv.Guard) bool {
		return strings.HasPrefix(g.Key, "shalestage/"+folder) && change(t, g.Key) != nil
	})
}

// unguardedJob takes off the guard of the version where a job gets a status.
func unguardedJob(s jobs.Status) sim.Mutation {
	return unguarded(func(t *kv.Txn, g kv.Guard) bool {
		c := change(t, g.Key)
		if c == nil || !strings.HasPrefix(g.Key, "shalestage/job/") || c.Value == nil {
			return false
		}
		r, err := jobs.DecodeRecord(c.Value)
		return err == nil && r.Status == s
	})
}

// unguardedRelease takes off the guard of a block's version where it is given up.
func unguardedRelease() sim.Mutation {
	return unguarded(func(t *kv.Txn, g kv.Guard) bool {
		c := change(t, g.Key)
		return c != nil && strings.HasPrefix(g.Key, "shalestage/block/") && strings.Contains(string(c.Value), `"left"`)
	})
}

// planted are services that lack one check each. The rehearsal breaks the rule within so many
// seeds, from 1 on.
var planted = []plantedMistake{
	// What machines report.
	{"older reports are taken for new", without(guard.HeartbeatOrder), "meet-all-away.toml", check.RanTwice, 5},
	{"a silent machine's tasks are gone after a third of its lease", sim.Mutation{CoreConfig: func(c *core.Config) { c.Lease /= 3 }}, "meet-deaf-machines.toml", check.RanTwice, 10},
	{"machines of earlier holders count as known", without(guard.UnreconciledMachines), "meet-returns.toml", check.RanTwice, 5},
	// What a holder does.
	{"tasks of a job start in any zone", without(guard.ZoneConstraints), "meet-one-zone.toml", check.WrongPlace, 5},
	{"a start does not wait for the follower", without(guard.StandbyAcknowledged), "meet-held-commands.toml", check.RanTwice, 5},
	{"jobs are closed only with their last task", without(guard.CompleteAfterFailover), "meet-old-reports.toml", check.Lost, 5},
	{"polls are answered from the copy as it is", without(guard.FreshRead), "meet-slow-state.toml", check.WentBack, 10},
	// Authority.
	{"a holder answers while it has not heard that its seat ended", without(guard.Authority), "meet-zone-cut.toml", check.TwoHolders, 5},
	{"a renewal counts from its answer", without(guard.RenewalSendTime), "meet-cut-leader.toml", check.TwoHolders, 20},
	{"a promise counts from its answer", without(guard.PeerLeaseSendTime), "meet-cut-leader.toml", check.TwoHolders, 5},
	{"promises are given for seats that are gone", without(guard.MemberRecord), "meet-zone-cut.toml", check.TwoHolders, 10},
	{"permits are given while a promise runs", without(guard.VoteAfterPeerLease), "gap.toml", check.TwoHolders, 10},
	{"a seat is over without a majority's permits", without(guard.TakeoverMajority), "meet-zone-cut.toml", check.TwoHolders, 5},
	// Writes that come late.
	{"a new job is stored whatever is there", unguardedJob(jobs.Pending), "meet-late-ends.toml", check.WentBack, 10},
	{"a cancellation is stored whatever is there", unguardedJob(jobs.Cancelled), "meet-late-ends.toml", check.WentBack, 10},
	{"an end is stored whatever is there", unguardedJob(jobs.Done), "meet-late-ends.toml", check.WentBack, 10},
	{"a machine group is stored whatever is there", unguardedKey("machine/"), "meet-late-writes.toml", check.RanTwice, 10},
	{"a block is released whoever holds it", unguardedRelease(), "meet-late-grants.toml", check.TwoHolders, 20},
}

// TestPlantedMistakes takes out one check after another: what brings about the fault
// combination that it is there for must notice.
func TestPlantedMistakes(t *testing.T) {
	for _, p := range planted {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(filepath.Join("../../rehearsals", p.file))
			if err != nil {
				t.Fatal(err)
			}
			for seed := uint64(1); seed <= p.within; seed++ {
				if breaks(s, sim.Options{Seed: seed, Mutation: p.mistake}, p.rule) {
					t.Logf("%s with seed %d", p.rule, seed)
					return
				}
			}
			t.Errorf("%d plays of %s do not break %s", p.within, p.file, p.rule)
		})
	}
}

// breaks plays a scenario until a rule is broken, and reports whether it is.
func breaks(s *scenario.Scenario, opt sim.Options, rule string) bool {
	w := sim.New(s, opt)
	broken := func() bool {
		return slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == rule })
	}
	for at := 10.0; at < s.DurationS; at += 10 {
		if w.Run(units.Seconds(at)); broken() {
			return true
		}
	}
	w.RunScenario()
	return broken()
}
