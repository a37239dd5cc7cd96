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

// lostZone plays rehearsals/zones.toml with some faults and returns the controllers' logs.
func runZones(t *testing.T, seed uint64, faults ...scenario.Fault) (*World, string) {
	t.Helper()
	return runMutatedZones(t, seed, Mutation{}, faults...)
}

// lostZoneWith does so with broken programs.
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

// TestZoneIsEmptied has an operator say that a zone that serves will be gone: nothing starts
// there any more, and once its tasks have ended its machines are returned.
func TestDrainedZone(t *testing.T) {
	s, err := scenario.Load("../../../rehearsals/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.DurationS, s.Expect = 200, scenario.Expect{}
	w := New(s, Options{Seed: 1})
	there := func() (n int) {
		for _, m := range w.Site.Cloud.Alive() {
			if m.Zone == "b" {
				n++
			}
		}
		return n
	}
	w.Run(80 * second)
	before := there()
	r := w.State.Commit(w.now, "operator", kv.Txn{Changes: []kv.Change{{Key: "shalestage/zone/b", Value: []byte(`{"word":"gone"}`)}}})
	w.deliverWatchResponses()
	w.Run(170 * second)
	services := 1 // of a service that is kept apart one replica stays: nothing is stopped for a word
	if after := there(); r.Code != 200 || before < 10 || after > services {
		t.Errorf("stored %v: %d machines before, and %d are left", r, before, after)
	}
	if b := w.Check.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// TestApartFromItsMachines cuts the holder's zone off from that in which all machines stand,
// while the state service serves both: it is the holder that is deaf, and not the zone that
// is lost. A controller beside the machines has the block before long.
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
			t.Fatal("no controller elsewhere holds the block")
		}
		if n := w.ShardOwner(0); n != nil {
			n.Crash()
		}
		w.Run(w.now + 10*second)
	}
	w.InjectFault(scenario.Fault{Kind: scenario.ZoneApart, Zone: "b", ForS: 60})
	w.Run(w.now + 20*second)
	if n := w.ShardOwner(0); n == nil || n.zone != "b" {
		t.Errorf("held by %v", n)
	}
	w.Run(w.now + 60*second)
	if b := w.Check.Violations(); len(b) > 0 {
		t.Error(b)
	}
}

// TestReportsThatWereHeldBack has a zone come back just after the leases of its machines
// have run out: what their last reports showed, which the cut has held back until then, has
// been started elsewhere, and is not called back (docs/incidents/2026-12-01-held-back.md).
func TestHeartbeatsDelayedPastLease(t *testing.T) {
	late := 0
	for seed := uint64(1); seed <= 4; seed++ {
		_, logs := runZones(t, seed, scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "b", ForS: 20.5})
		late += strings.Count(logs, "heartbeat shows attempts whose lease expired")
		if n := strings.Count(logs, "task is on two machines"); n > 0 {
			t.Errorf("seed %d: %d tasks were called back to where they are not", seed, n)
		}
	}
	if late < 10 {
		t.Errorf("%d reports came late", late)
	}
}

// TestHeldBackReportsTakenForTrue leaves out that attempts of before a lease's end are void:
// then tasks are called back. No rule breaks all the same, as a task that is known to be
// somewhere else is stopped where it shows as well.
func TestDelayedHeartbeatsWithoutExpiryGuard(t *testing.T) {
	b := Mutation{CoreConfig: func(c *core.Config) { c.SkippedGuard = guard.ExpiredAttempts }}
	for seed := uint64(1); seed <= 2; seed++ {
		_, logs := runMutatedZones(t, seed, b, scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "b", ForS: 20.5})
		if strings.Contains(logs, "task is on two machines") {
			return
		}
	}
	t.Error("no task was called back to where it is not")
}

var provisionedLog = regexp.MustCompile(`t=([0-9.]+) level=INFO msg="machines provisioned" .* zone=(\w+) .* provisioned=(\d+)`)

// TestNothingIntoALostZone counts what is provisioned while a zone is lost, with its controller
// and without, in whatever way it is cut off: from when it is lost on nothing there.
func TestNoProvisioningIntoLostZone(t *testing.T) {
	for i, mode := range []string{"hold", "drop", "reset"} {
		_, logs := runZones(t, uint64(i+1), scenario.Fault{Kind: scenario.ZoneLost, AtS: 100, Zone: "a", ForS: 70, Mode: mode})
		if !strings.Contains(logs, "state=lost") || !strings.Contains(logs, "state=back") {
			t.Errorf("%s: the zone was never lost, or never came back", mode)
		}
		into, elsewhere := 0, 0
		for _, m := range provisionedLog.FindAllStringSubmatch(logs, -1) {
			at, _ := strconv.ParseFloat(m[1], 64)
			got, _ := strconv.Atoi(m[3])
			switch {
			case at < 108 || at > 169:
			case m[2] == "a":
				into += got
			default:
				elsewhere += got
			}
		}
		if into > 0 || elsewhere == 0 {
			t.Errorf("%s: %d machines were provisioned into the lost zone, and %d elsewhere", mode, into, elsewhere)
		}
	}
}
