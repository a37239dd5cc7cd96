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

// withoutGuards sends transactions that change a job's record without their guards: whoever
// writes last wins.
func withoutGuards(t *kv.Txn) {
	if slices.ContainsFunc(t.Changes, func(c kv.Change) bool { return strings.HasPrefix(c.Key, "shalestage/job/") }) {
		t.Guards = nil
	}
}

// withoutStops drops all commands to stop tasks.
func withoutStops(_ string, o *core.HeartbeatResponse) {
	o.Commands = slices.DeleteFunc(slices.Clone(o.Commands), func(c fleet.Command) bool { return c.Op == fleet.Stop })
}

// onlyOwnStops lets each controller stop only the tasks that it has started itself, not those
// that an earlier holder of the block has.
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

// untold tells no other controller of cancellations.
func untold(m any) any {
	if p, ok := m.(core.PeerLeaseGrant); ok {
		p.Told = cancellations.Update{}
		return p
	}
	return m
}

// shortLease tells controllers that machines' leases are a sixth of what they are: what a
// machine may run that is not heard counts for too short.
func shortLease(s *config.Settings) { s.Deployment.Workers.LeaseS /= 6 }

// longCancel lets a holder answer its workers for far longer after it last knew every
// cancellation.
func longCancel(s *config.Settings) { s.Deployment.Workers.CancelS *= 10 }

// withoutGuard is a meeting of users' troubles, and a program without what guards it.
type withoutGuard struct {
	file, guard string
	seeds       uint64
	rules       []string // of which one is broken; none: another guard stands behind it
	program     func() sim.Broken
}

var withoutGuardCases = []withoutGuard{
	{"meet-close-looks", "a question waits for a read that began after it", 2, []string{check.Forgotten},
		func() sim.Broken { return sim.Broken{Stale: true} }},
	{"meet-close-looks", "a job's record is written over the version that is known", 2, []string{check.WentBack},
		func() sim.Broken { return sim.Broken{Commit: withoutGuards} }},
	{"meet-limit-cancels", "what may run counts until the lease must have run out", 2, []string{check.Quota},
		func() sim.Broken { return sim.Broken{Settings: shortLease} }},
	{"meet-handover-cancels", "a holder stops what an earlier one has started", 2, []string{check.RanCancelled},
		func() sim.Broken { return sim.Broken{Orders: onlyOwnStops()} }},
	{"meet-quick-jobs", "tasks of cancelled jobs are stopped", 2, []string{check.RanCancelled},
		func() sim.Broken { return sim.Broken{Orders: withoutStops} }},
	{"meet-quick-jobs", "a job's record is written over the version that is known", 6, []string{check.WentBack},
		func() sim.Broken { return sim.Broken{Commit: withoutGuards} }},
	{"meet-last-end", "a job's record is written over the version that is known", 2, []string{check.WentBack},
		func() sim.Broken { return sim.Broken{Commit: withoutGuards} }},
	{"meet-last-end", "a question waits for a read that began after it", 2, []string{check.WentBack},
		func() sim.Broken { return sim.Broken{Stale: true} }},
	{"meet-refused-cancels", "others tell of cancellations, and the bound on not knowing them", 2, []string{check.RanCancelled},
		func() sim.Broken { return sim.Broken{Told: untold, Settings: longCancel} }},
	{"meet-refused-cancels", "others tell of cancellations", 2, nil, func() sim.Broken { return sim.Broken{Told: untold} }},
	{"meet-refused-cancels", "the bound on not knowing cancellations", 2, nil, func() sim.Broken { return sim.Broken{Settings: longCancel} }},
}

// TestMeetingsWithoutGuards takes out what guards each meeting of the users' troubles: one of
// the first plays must break a rule that it keeps, unless another guard stands behind it.
func TestMeetingsWithoutGuards(t *testing.T) {
	for _, c := range withoutGuardCases {
		t.Run(c.file+": "+c.guard, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

func (c withoutGuard) play(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/" + c.file + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= c.seeds; seed++ {
		v := Simulate(c.file, s, sim.Options{Seed: seed, Break: c.program()})
		if slices.ContainsFunc(v.Violations, func(b Violation) bool { return slices.Contains(c.rules, b.Rule) }) {
			return
		}
		if c.rules == nil && len(v.Violations) > 0 {
			t.Errorf("seed %d: %v", seed, v.Violations)
		}
	}
	if c.rules != nil {
		t.Errorf("%d plays break none of %v", c.seeds, c.rules)
	}
}
