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

// removedGuard is a service without one of its safety checks.
type removedGuard struct {
	name     string
	mutation sim.Mutation
	file     string // rehearsal that detects it
	rule     string // rule that is violated then
	within   uint64 // maximum number of runs
}

// without removes one check of the core.
func without(g guard.Guard) sim.Mutation {
	return sim.Mutation{CoreConfig: func(c *core.Config) { c.SkippedGuard = g }}
}

// unguarded removes the matching guards from transactions.
func unguarded(match func(t *kv.Txn, g kv.Guard) bool) sim.Mutation {
	return sim.Mutation{Commit: func(t *kv.Txn) {
		all := *t
		t.Guards = slices.DeleteFunc(slices.Clone(t.Guards), func(g kv.Guard) bool { return match(&all, g) })
	}}
}

// change returns the change of a key in a transaction, or nil.
func change(t *kv.Txn, key string) *kv.Change {
	for i := range t.Changes {
		if t.Changes[i].Key == key {
			return &t.Changes[i]
		}
	}
	return nil
}

// unguardedKey removes the version guard of each changed key in a folder.
func unguardedKey(folder string) sim.Mutation {
	return unguarded(func(t *kv.Txn, g kv.Guard) bool {
		return strings.HasPrefix(g.Key, "shalestage/"+folder) && change(t, g.Key) != nil
	})
}

// unguardedJob removes the version guard of a job's record where the job gets the given status.
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

// unguardedRelease removes the version guard of a shard's assignment where the shard is released.
func unguardedRelease() sim.Mutation {
	return unguarded(func(t *kv.Txn, g kv.Guard) bool {
		c := change(t, g.Key)
		return c != nil && strings.HasPrefix(g.Key, "shalestage/block/") && strings.Contains(string(c.Value), `"left"`)
	})
}

// removedGuards lists services that lack one check each. The rehearsal violates the rule within the given
// number of seeds, counted from 1.
var removedGuards = []removedGuard{
	// Heartbeats of machines.
	{"older heartbeats are accepted as new", without(guard.HeartbeatOrder), "meet-all-away.toml", check.RanTwice, 5},
	{"tasks of a silent machine count as lost after a third of its lease", sim.Mutation{CoreConfig: func(c *core.Config) { c.Lease /= 3 }}, "meet-deaf-machines.toml", check.RanTwice, 10},
	{"machines of earlier owners count as reconciled", without(guard.UnreconciledMachines), "meet-returns.toml", check.RanTwice, 5},
	{"only confirmed heartbeats stop tasks of finished jobs", without(guard.InactiveTasks), "meet-cancelled-silent.toml", check.RanCancelled, 5},
	// Shard owner.
	{"tasks of a job start in any zone", without(guard.ZoneConstraints), "meet-one-zone.toml", check.WrongPlace, 5},
	{"a start does not wait for the standby", without(guard.StandbyAcknowledged), "meet-held-commands.toml", check.RanTwice, 5},
	{"jobs are finalized only with their last task", without(guard.CompleteAfterFailover), "meet-old-reports.toml", check.Lost, 5},
	{"polls are answered from a stale watch cache", without(guard.FreshRead), "meet-slow-state.toml", check.WentBack, 10},
	// Authority.
	{"an owner answers until it learns that its membership ended", without(guard.Authority), "meet-zone-cut.toml", check.TwoHolders, 5},
	{"a renewal counts from its response", without(guard.RenewalSendTime), "meet-cut-leader.toml", check.TwoHolders, 20},
	{"a peer lease counts from its response", without(guard.PeerLeaseSendTime), "meet-cut-leader.toml", check.TwoHolders, 5},
	{"peer leases are granted to deleted memberships", without(guard.MemberRecord), "meet-zone-cut.toml", check.TwoHolders, 10},
	{"takeover votes are given during a peer lease", without(guard.VoteAfterPeerLease), "gap.toml", check.TwoHolders, 10},
	{"a membership ends without a majority's votes", without(guard.TakeoverMajority), "meet-zone-cut.toml", check.TwoHolders, 5},
	{"an answer to a forwarded request is told by its number alone", without(guard.AnswerOrigin), "meet-forwarder-restarts.toml", check.Forgotten, 10},
	// Late writes.
	{"a new job is stored without a guard", unguardedJob(jobs.Pending), "meet-late-ends.toml", check.WentBack, 10},
	{"a cancellation is stored without a guard", unguardedJob(jobs.Cancelled), "meet-late-ends.toml", check.WentBack, 10},
	{"the end of a job is stored without a guard", unguardedJob(jobs.Done), "meet-late-ends.toml", check.WentBack, 10},
	{"a machine group is stored without a guard", unguardedKey("machine/"), "meet-late-writes.toml", check.RanTwice, 10},
	{"a shard is released without a guard", unguardedRelease(), "meet-late-grants.toml", check.TwoHolders, 20},
}

// TestRemovedGuardsDetected removes one safety check at a time. The rehearsal with the combination of faults
// that the check protects against must violate its rule.
func TestRemovedGuardsDetected(t *testing.T) {
	for _, removed := range removedGuards {
		t.Run(removed.name, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(filepath.Join("../../rehearsals", removed.file))
			if err != nil {
				t.Fatal(err)
			}
			for seed := uint64(1); seed <= removed.within; seed++ {
				if violates(s, sim.Options{Seed: seed, Mutation: removed.mutation}, removed.rule) {
					t.Logf("%s with seed %d", removed.rule, seed)
					return
				}
			}
			t.Errorf("%d runs of %s do not violate %s", removed.within, removed.file, removed.rule)
		})
	}
}

// violates runs a scenario until a rule is violated, and reports whether it was.
func violates(s *scenario.Scenario, opt sim.Options, rule string) bool {
	w := sim.New(s, opt)
	violated := func() bool {
		return slices.ContainsFunc(w.Check.Violations(), func(b check.Violation) bool { return b.Rule == rule })
	}
	for at := 10.0; at < s.DurationS; at += 10 {
		if w.Run(units.Seconds(at)); violated() {
			return true
		}
	}
	w.RunScenario()
	return violated()
}
