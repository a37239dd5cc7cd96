package zones

import (
	"log/slog"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

const (
	interval = 6 * units.Second
	tick     = units.Second / 20
)

// fakeCluster simulates machines in several zones that send heartbeats to one controller, which owns
// their shards.
type fakeCluster struct {
	view          *View
	now           units.Microseconds
	partitioned   map[string]bool
	controllers   map[string][2]int // by zone: other controllers, and how many of them are alive
	lastHeartbeat map[string][]units.Microseconds
}

func newCluster(zones ...string) *fakeCluster {
	cluster := &fakeCluster{partitioned: map[string]bool{}, controllers: map[string][2]int{}, lastHeartbeat: map[string][]units.Microseconds{}}
	cluster.view = New(Config{Zones: zones, Home: zones[0], HeartbeatInterval: interval, Log: slog.New(slog.DiscardHandler)})
	return cluster
}

// add adds n machines to a zone whose heartbeats are spread evenly over the interval.
func (cluster *fakeCluster) add(zone string, n int) {
	for i := range n {
		cluster.lastHeartbeat[zone] = append(cluster.lastHeartbeat[zone], cluster.now-interval+interval*units.Microseconds(i)/units.Microseconds(n))
	}
}

// advance advances the time tick by tick, and calls check, unless nil, after each tick.
func (cluster *fakeCluster) advance(d units.Microseconds, check func()) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.now += tick
		cluster.view.Tick(cluster.now)
		counts := map[string]Count{}
		for z, list := range cluster.lastHeartbeat {
			c := Count{Up: len(list)}
			for i, at := range list {
				if cluster.now-at >= interval && !cluster.partitioned[z] {
					list[i] = cluster.now
					cluster.view.HeartbeatReceived(z)
				}
				if cluster.now-list[i] < 3*interval/2 {
					c.Responsive++
				}
			}
			counts[z] = c
		}
		for z, n := range cluster.controllers {
			cluster.view.SetControllers(z, n[0], n[1])
		}
		if (cluster.now/tick)%5 == 0 {
			cluster.view.Update(counts)
		}
		if check != nil {
			check()
		}
	}
}

// TestRandomPartitions applies random partitions of zones. A zone that sends heartbeats must never be
// suspect, and one that is cut off must be lost in bounded time with no machine scaled out into it. Once
// it responds again it must recover at once, and be trusted after a bounded time.
func TestRandomPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		cluster := newCluster(names...)
		for _, z := range names {
			cluster.add(z, rapid.IntRange(12, 80).Draw(t, "machines"))
		}
		cluster.advance(2*interval, nil)
		since := map[string]units.Microseconds{}
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			z := rapid.SampledFrom(names).Draw(t, "zone")
			connected := 0
			for _, n := range names {
				if n != z && !cluster.partitioned[n] {
					connected++
				}
			}
			// One at a time: with two of three zones cut off the evidence is ambiguous.
			if connected == 2 || cluster.partitioned[z] {
				cluster.partitioned[z] = !cluster.partitioned[z]
				since[z] = cluster.now
			}
			cluster.advance(units.Microseconds(rapid.IntRange(1, 90).Draw(t, "seconds"))*units.Second, func() {
				for _, n := range names {
					elapsed, s := cluster.now-since[n], cluster.view.State(n)
					switch {
					case cluster.partitioned[n] && elapsed > 5*interval/2+2*units.Second && s != Lost:
						t.Fatalf("%s has been cut off for %v and is %v", n, elapsed, s)
					case cluster.partitioned[n] && s != Serving && s != Recovering && cluster.view.ScaleOutLimit(n) != 0:
						t.Fatalf("%s is %v and %d machines may be scaled out into it", n, s, cluster.view.ScaleOutLimit(n))
					case !cluster.partitioned[n] && elapsed > interval+units.Second && !cluster.view.Reachable(n):
						t.Fatalf("%s has been reachable for %v and is %v", n, elapsed, s)
					case !cluster.partitioned[n] && elapsed > maxTrustDelay+interval+units.Second && s != Serving:
						t.Fatalf("%s has been reachable for %v and is still %v", n, elapsed, s)
					}
				}
			})
		}
	})
}

// TestTrustDelayGrowsWithLosses checks that a zone which is lost repeatedly is trusted again more slowly
// each time, up to a limit.
func TestTrustDelayGrowsWithLosses(t *testing.T) {
	cluster := newCluster("a", "b")
	cluster.add("a", 50)
	cluster.add("b", 50)
	cluster.advance(2*interval, nil)
	var took []units.Microseconds
	for range 7 {
		cluster.partitioned["b"] = true
		cluster.advance(12*units.Second, nil)
		cluster.partitioned["b"] = false
		at := cluster.now
		for cluster.view.State("b") != Serving && cluster.now-at < 2*maxTrustDelay {
			cluster.advance(units.Second, nil)
		}
		took = append(took, cluster.now-at)
	}
	for i := 1; i < len(took); i++ {
		if took[i] < took[i-1] || took[i] > maxTrustDelay+interval {
			t.Errorf("trusted after %v", took)
		}
	}
	if took[2] < 3*took[0] {
		t.Errorf("trust delay after the third loss is less than 3 times that after the first: %v", took)
	}
}

// TestZoneLossVersusUnreachableController guards against taking an unreachable controller for a lost
// zone. If no machine at all sends heartbeats, it is the controller that cannot be reached, unless the
// other controllers of the machines' zone are silent too. A process that was paused has received nothing,
// which is no evidence.
func TestZoneLossVersusUnreachableController(t *testing.T) {
	for _, test := range []struct {
		what  string
		setUp func(cluster *fakeCluster)
		lost  bool
	}{
		{"one zone's machines", func(cluster *fakeCluster) { cluster.add("a", 30); cluster.partitioned["b"] = true }, true},
		{"all machines, in all zones", func(cluster *fakeCluster) {
			cluster.add("a", 30)
			cluster.partitioned["a"], cluster.partitioned["b"] = true, true
		}, false},
		{"all machines, which are in one zone, whose controllers are alive", func(cluster *fakeCluster) { cluster.partitioned["b"] = true; cluster.controllers["b"] = [2]int{1, 1} }, false},
		{"all machines, which are in one zone, and its controllers", func(cluster *fakeCluster) {
			cluster.partitioned["b"] = true
			cluster.controllers["b"], cluster.controllers["a"] = [2]int{1, 0}, [2]int{1, 1}
		}, true},
		{"no machine (the process was paused)", func(cluster *fakeCluster) { cluster.add("a", 30); cluster.now += 40 * units.Second }, false},
	} {
		cluster := newCluster("a", "b")
		cluster.add("b", 30)
		cluster.advance(2*interval, nil)
		test.setUp(cluster)
		everLost := false
		cluster.advance(2*interval, func() { everLost = everLost || cluster.view.State("b") == Lost })
		if everLost != test.lost {
			t.Errorf("%s silent: lost %v", test.what, everLost)
		}
		if test.lost && test.what != "one zone's machines" && !cluster.view.AllZonesUnreachable() {
			t.Errorf("%s silent: taken for an unreachable controller", test.what)
		}
	}
}

// newClusterWithoutB returns a cluster of two zones of which the second has been cut off for 30 s.
func newClusterWithoutB() *fakeCluster {
	cluster := newCluster("a", "b")
	cluster.add("a", 30)
	cluster.add("b", 30)
	cluster.advance(2*interval, nil)
	cluster.partitioned["b"] = true
	cluster.advance(30*units.Second, nil)
	return cluster
}

// TestOverrides checks that the machines of a lost zone are kept while that is cheaper than to provision
// them anew, that an operator's override takes precedence, and that invalid overrides are rejected. The
// error for a zone that does not exist must list those that do.
func TestOverrides(t *testing.T) {
	cluster := newClusterWithoutB()
	if !cluster.view.KeepMachines("b", 60*units.Second) || cluster.view.KeepMachines("b", 20*units.Second) {
		t.Error("keeping machines does not depend on how long the partition lasts")
	}
	for _, w := range Overrides {
		if err := cluster.view.SetOverride("b", w); err != nil {
			t.Fatal(err)
		}
		if keep := cluster.view.KeepMachines("b", 20*units.Second); keep != (w == OverrideReturning) || cluster.view.KeepMachines("b", 60*units.Second) != keep {
			t.Errorf("%s: kept %v", w, keep)
		}
	}
	if err := cluster.view.SetOverride("x", OverrideLost); err == nil || !strings.Contains(err.Error(), "a, b") {
		t.Errorf("override of a zone that does not exist: %v", err)
	}
	if err := cluster.view.SetOverride("a", "soon"); err == nil {
		t.Error("an unknown override is accepted")
	}
}

// TestScaleOutIntoLostZone checks that one machine is scaled out into a lost zone after probeMachineAfter
// if nothing is left there that could respond again, and that scale-out into a recovering zone is limited
// until it is trusted.
func TestScaleOutIntoLostZone(t *testing.T) {
	cluster := newClusterWithoutB()
	cluster.lastHeartbeat["b"] = nil // all were deprovisioned
	cluster.advance(units.Second, nil)
	if n := cluster.view.ScaleOutLimit("b"); n != 0 {
		t.Errorf("%d machines may be scaled out into a zone that was just lost", n)
	}
	cluster.advance(probeMachineAfter, nil)
	if n := cluster.view.ScaleOutLimit("b"); n != 1 {
		t.Errorf("%d machines may be scaled out to probe the zone", n)
	}
	cluster.partitioned["b"] = false
	cluster.add("b", 1)
	cluster.advance(units.Second, nil)
	if n := cluster.view.ScaleOutLimit("b"); cluster.view.State("b") != Recovering || n != recoveringScaleOutLimit {
		t.Errorf("zone is %v: %d machines may be scaled out", cluster.view.State("b"), n)
	}
	cluster.advance(maxTrustDelay, nil)
	if n := cluster.view.ScaleOutLimit("b"); n >= 0 {
		t.Errorf("zone is %v: %d machines may be scaled out", cluster.view.State("b"), n)
	}
}

// TestSuspectZoneWithoutMachines guards against a zone that stays suspect forever. All machines are
// deprovisioned while the zone is suspect, so that no heartbeat can tell more, and its controllers were
// alive all the time, so that none of them comes back. One machine must be scaled out to find out.
func TestSuspectZoneWithoutMachines(t *testing.T) {
	for _, controllers := range [][2]int{{0, 0}, {1, 1}} {
		cluster := newCluster("a", "b")
		cluster.controllers["b"] = controllers
		cluster.add("a", 3)
		cluster.add("b", 3)
		cluster.advance(2*interval, nil)
		cluster.partitioned["b"] = true
		cluster.advance(interval+units.Second+units.Second/2, nil)
		if s := cluster.view.State("b"); s != Suspect {
			t.Fatalf("the zone is %v", s)
		}
		cluster.lastHeartbeat["a"], cluster.lastHeartbeat["b"] = nil, nil
		cluster.advance(units.Second, nil)
		if n := cluster.view.ScaleOutLimit("b"); n != 0 {
			t.Errorf("controllers %v: %d machines may be scaled out at once", controllers, n)
		}
		cluster.advance(probeMachineAfter, nil)
		if n := cluster.view.ScaleOutLimit("b"); n != 1 {
			t.Errorf("controllers %v, zone is %v: %d machines may be scaled out to probe it", controllers, cluster.view.State("b"), n)
		}
		cluster.partitioned["b"] = false
		cluster.add("b", 1)
		cluster.advance(units.Second, nil)
		if s := cluster.view.State("b"); s != Recovering {
			t.Errorf("controllers %v: a machine sends heartbeats and the zone is %v", controllers, s)
		}
	}
}
