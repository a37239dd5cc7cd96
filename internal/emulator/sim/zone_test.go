package sim

import (
	"bytes"
	"log/slog"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

// runZones runs rehearsals/zones.toml with the given faults and returns the controllers' logs.
func runZones(t *testing.T, seed uint64, faults ...scenario.Fault) (*World, string) {
	t.Helper()
	return runMutatedZones(t, seed, Mutation{}, faults...)
}

// runMutatedZones does the same with mutated controllers.
func runMutatedZones(t *testing.T, seed uint64, broken Mutation, faults ...scenario.Fault) (*World, string) {
	t.Helper()
	s, err := scenario.Load("../../../rehearsals/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.DurationS, s.Expect = 240, scenario.Expect{}
	s.Faults = faults
	var logs bytes.Buffer
	w := New(s, Options{Seed: seed, Mutation: broken, Log: func(node string, now func() units.Microseconds) *slog.Logger {
		at := func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Float64("t", now().Seconds())
			}
			return a
		}
		return slog.New(slog.NewTextHandler(&logs, &slog.HandlerOptions{ReplaceAttr: at, Level: slog.LevelDebug})).With("controller", node)
	}})
	w.RunScenario()
	if b := w.Check.Violations(); len(b) > 0 {
		t.Errorf("seed %d: %v", seed, b)
	}
	return w, logs.String()
}

// TestDrainedZone guards against machines that stay in a zone that an operator drains. The operator declares
// a working zone as gone: no task may start there, and the zone's machines must be returned once their tasks
// have ended.
func TestDrainedZone(t *testing.T) {
	s, err := scenario.Load("../../../rehearsals/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.DurationS, s.Expect = 200, scenario.Expect{}
	w := New(s, Options{Seed: 1})
	machinesInZone := func() (n int) {
		for _, m := range w.Site.Cloud.Alive() {
			if m.Zone == "b" {
				n++
			}
		}
		return n
	}
	w.Run(80 * second)
	before := machinesInZone()
	r := w.State.Commit(w.now, "operator", kv.Txn{Changes: []kv.Change{{Key: "shalestage/zone/b", Value: []byte(`{"word":"gone"}`)}}})
	w.deliverWatchResponses()
	w.Run(170 * second)
	services := 1 // one replica of a service with spread tasks stays: a declaration stops no running task
	if after := machinesInZone(); r.Code != 200 || before < 10 || after > services {
		t.Errorf("stored %v: %d machines before, %d are left", r, before, after)
	}
	if b := w.Check.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// TestOwnerCutOffFromMachineZone guards against taking an unreachable shard owner for a lost zone. The zone
// with all machines is cut off from the owner's zone, while the state service serves both. A controller in
// the zone of the machines must own the shard soon.
func TestOwnerCutOffFromMachineZone(t *testing.T) {
	s, err := scenario.Load("../../../rehearsals/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.DurationS, s.Expect = 200, scenario.Expect{}
	s.Capacity = []scenario.Capacity{{Type: "mid", Zone: "b", Count: 40, Spot: 60}}
	w := New(s, Options{Seed: 1})
	w.Run(60 * second)
	for w.ShardOwner(0) == nil || w.ShardOwner(0).zone == "b" {
		if w.now > 150*second {
			t.Fatal("no controller in another zone owns the shard")
		}
		if n := w.ShardOwner(0); n != nil {
			n.Crash()
		}
		w.Run(w.now + 10*second)
	}
	w.InjectFault(scenario.Fault{Kind: scenario.ZoneApart, Zone: "b", ForS: 60})
	w.Run(w.now + 20*second)
	if n := w.ShardOwner(0); n == nil || n.zone != "b" {
		t.Errorf("shard owned by %v", n)
	}
	w.Run(w.now + 60*second)
	if b := w.Check.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// TestHeartbeatsDelayedPastLease guards against stopping tasks at their new machine because of a delayed
// heartbeat from the old one (docs/incidents/2026-12-01-held-back.md). A zone is reachable again just after
// the leases of its machines have expired. The attempts that their delayed last heartbeats list have been
// started elsewhere by then, and must not be assigned back.
func TestHeartbeatsDelayedPastLease(t *testing.T) {
	t.Parallel()
	late := 0
	for seed := uint64(1); seed <= 4; seed++ {
		_, logs := runZones(t, seed, scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "b", ForS: 20.5})
		late += strings.Count(logs, "heartbeat shows attempts whose lease expired")
		if n := strings.Count(logs, "task is on two machines"); n > 0 {
			t.Errorf("seed %d: %d tasks were assigned back to machines that no longer run them", seed, n)
		}
	}
	if late < 10 {
		t.Errorf("only %d heartbeats were late", late)
	}
}

// TestDelayedHeartbeatsWithoutExpiryGuard shows that TestHeartbeatsDelayedPastLease depends on the check that
// attempts from before the expiry of a lease are void: without it, tasks are assigned back. No rule is
// violated even then, as a task that is known to run elsewhere is stopped where the heartbeat lists it, too.
func TestDelayedHeartbeatsWithoutExpiryGuard(t *testing.T) {
	b := Mutation{CoreConfig: func(c *core.Config) { c.SkippedGuard = guard.ExpiredAttempts }}
	for seed := uint64(1); seed <= 2; seed++ {
		_, logs := runMutatedZones(t, seed, b, scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "b", ForS: 20.5})
		if strings.Contains(logs, "task is on two machines") {
			return
		}
	}
	t.Error("no task was assigned back to a machine that no longer runs it")
}

var provisionedLog = regexp.MustCompile(`t=([0-9.]+) level=INFO msg="machines provisioned" .* zone=(\w+) .* provisioned=(\d+)`)

// TestNoProvisioningIntoLostZone guards against provisioning machines in a lost zone, with each mode of the
// cut. While the zone is lost, machines may be provisioned only in other zones.
func TestNoProvisioningIntoLostZone(t *testing.T) {
	t.Parallel()
	for i, mode := range []string{"hold", "drop", "reset"} {
		_, logs := runZones(t, uint64(i+1), scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "a", ForS: 70, Mode: mode})
		if !strings.Contains(logs, "state=lost") || !strings.Contains(logs, "state=back") {
			t.Errorf("%s: the zone was never lost, or did not recover", mode)
		}
		inLostZone, elsewhere := 0, 0
		for _, m := range provisionedLog.FindAllStringSubmatch(logs, -1) {
			at, _ := strconv.ParseFloat(m[1], 64)
			count, _ := strconv.Atoi(m[3])
			switch {
			case at < 108 || at > 169:
			case m[2] == "a":
				inLostZone += count
			default:
				elsewhere += count
			}
		}
		if inLostZone > 0 || elsewhere == 0 {
			t.Errorf("%s: %d machines were provisioned in the lost zone, %d in others", mode, inLostZone, elsewhere)
		}
	}
}
