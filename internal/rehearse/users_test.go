package rehearse

import (
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// withoutGuards removes the guards of transactions that change a job's record, so that the last write wins.
func withoutGuards(t *kv.Txn) {
	if slices.ContainsFunc(t.Changes, func(c kv.Change) bool { return strings.HasPrefix(c.Key, "shalestage/job/") }) {
		t.Guards = nil
	}
}

// withoutStops removes all commands to stop tasks.
func withoutStops(_ string, o *core.HeartbeatResponse) {
	o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool { return c.Op == fleet.Stop })
}

// onlyOwnStops lets each controller stop only the tasks that it started itself, not those of an earlier owner
// of the shard.
func onlyOwnStops() func(node string, o *core.HeartbeatResponse) {
	started := map[string]map[jobs.TaskID]bool{}
	return func(node string, o *core.HeartbeatResponse) {
		if started[node] == nil {
			started[node] = map[jobs.TaskID]bool{}
		}
		o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool {
			if c.Op == fleet.Start {
				started[node][c.ID] = true
			}
			return c.Op == fleet.Stop && !started[node][c.ID]
		})
	}
}

// withoutPeerCancellations removes the cancellations from peer lease grants.
func withoutPeerCancellations(m any) any {
	if p, ok := m.(core.PeerLeaseGrant); ok {
		p.Told = cancellations.Update{}
		return p
	}
	return m
}

// shortLease configures controllers with a sixth of the real worker lease, so that tasks of a silent machine
// count for too short a time.
func shortLease(s *config.Settings) { s.Deployment.Workers.LeaseS /= 6 }

// longCancel lets a shard owner answer its workers ten times as long after it last knew every cancellation.
func longCancel(s *config.Settings) { s.Deployment.Workers.CancelS *= 10 }

// withoutGuard is a rehearsal of unusual user requests, and a service without the guard that protects against
// them.
type withoutGuard struct {
	file, guard string
	seeds       uint64
	rules       []string // one of them is violated; nil: another guard still protects
	mutation    func() sim.Mutation
}

var withoutGuardCases = []withoutGuard{
	{"meet-close-looks", "a poll waits for a read that began after it", 2, []string{check.Forgotten},
		func() sim.Mutation { return sim.Mutation{StaleReads: true} }},
	{"meet-close-looks", "a job's record is written with a guard on its known version", 2, []string{check.WentBack},
		func() sim.Mutation { return sim.Mutation{Commit: withoutGuards} }},
	{"meet-limit-cancels", "possibly running tasks count until the lease must have expired", 2, []string{check.Quota},
		func() sim.Mutation { return sim.Mutation{Settings: shortLease} }},
	{"meet-handover-cancels", "an owner stops tasks that an earlier one started", 2, []string{check.RanCancelled},
		func() sim.Mutation { return sim.Mutation{Commands: onlyOwnStops()} }},
	{"meet-quick-jobs", "tasks of cancelled jobs are stopped", 2, []string{check.RanCancelled},
		func() sim.Mutation { return sim.Mutation{Commands: withoutStops} }},
	{"meet-quick-jobs", "a job's record is written with a guard on its known version", 6, []string{check.WentBack},
		func() sim.Mutation { return sim.Mutation{Commit: withoutGuards} }},
	{"meet-last-end", "a job's record is written with a guard on its known version", 2, []string{check.WentBack},
		func() sim.Mutation { return sim.Mutation{Commit: withoutGuards} }},
	{"meet-last-end", "a poll waits for a read that began after it", 2, []string{check.WentBack},
		func() sim.Mutation { return sim.Mutation{StaleReads: true} }},
	{"meet-refused-cancels", "peers report cancellations, and the bound on not knowing them", 2, []string{check.RanCancelled},
		func() sim.Mutation { return sim.Mutation{PeerMessage: withoutPeerCancellations, Settings: longCancel} }},
	{"meet-refused-cancels", "peers report cancellations", 2, nil, func() sim.Mutation { return sim.Mutation{PeerMessage: withoutPeerCancellations} }},
	{"meet-refused-cancels", "the bound on not knowing cancellations", 2, nil, func() sim.Mutation { return sim.Mutation{Settings: longCancel} }},
}

// TestUserRequestGuardsDetected removes the guard that protects against each kind of unusual user requests.
// One of the first runs must violate one of its rules, unless another guard still protects against it.
func TestUserRequestGuardsDetected(t *testing.T) {
	for _, c := range withoutGuardCases {
		t.Run(c.file+": "+c.guard, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c withoutGuard) run(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/" + c.file + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= c.seeds; seed++ {
		v := Simulate(c.file, s, sim.Options{Seed: seed, Mutation: c.mutation()})
		if slices.ContainsFunc(v.Violations, func(b Violation) bool { return slices.Contains(c.rules, b.Rule) }) {
			return
		}
		if c.rules == nil && len(v.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, v.Violations)
		}
	}
	if c.rules != nil {
		t.Errorf("%d runs violate none of %v", c.seeds, c.rules)
	}
}
