package zones

import (
	"log/slog"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

const (
	every = 6 * units.Second
	step  = units.Second / 20
)

// yard is machines of some zones that report to one controller, which sees what a holder
// sees of them.
type yard struct {
	p     *View
	now   units.Microseconds
	cut   map[string]bool
	peers map[string][2]int // other controllers of each zone, and those that are heard
	last  map[string][]units.Microseconds
}

func newYard(zones ...string) *yard {
	yard := &yard{cut: map[string]bool{}, peers: map[string][2]int{}, last: map[string][]units.Microseconds{}}
	yard.p = New(Config{Zones: zones, Home: zones[0], HeartbeatInterval: every, Log: slog.New(slog.DiscardHandler)})
	return yard
}

// add has n machines of a zone up, which report one after the other.
func (yard *yard) add(zone string, n int) {
	for i := range n {
		yard.last[zone] = append(yard.last[zone], yard.now-every+every*units.Microseconds(i)/units.Microseconds(n))
	}
}

// pass lets time pass.
func (yard *yard) pass(d units.Microseconds, seen func()) {
	for end := yard.now + d; yard.now < end; {
		yard.now += step
		yard.p.Tick(yard.now)
		counts := map[string]Count{}
		for z, list := range yard.last {
			c := Count{Up: len(list)}
			for i, at := range list {
				if yard.now-at >= every && !yard.cut[z] {
					list[i] = yard.now
					yard.p.HeartbeatReceived(z)
				}
				if yard.now-list[i] < 3*every/2 {
					c.Responsive++
				}
			}
			counts[z] = c
		}
		for z, n := range yard.peers {
			yard.p.SetControllers(z, n[0], n[1])
		}
		if (yard.now/step)%5 == 0 {
			yard.p.Update(counts)
		}
		if seen != nil {
			seen()
		}
	}
}

// Any history of cuts: a zone that is heard is never in doubt, one that is not is lost in
// time, nothing is rented into it, and once heard it comes back at once and is trusted
// after a time that is bounded.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		yard := newYard(names...)
		for _, z := range names {
			yard.add(z, rapid.IntRange(12, 80).Draw(t, "machines"))
		}
		yard.pass(2*every, nil)
		since := map[string]units.Microseconds{}
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			z := rapid.SampledFrom(names).Draw(t, "zone")
			whole := 0
			for _, n := range names {
				if n != z && !yard.cut[n] {
					whole++
				}
			}
			if whole == 2 || yard.cut[z] { // one at a time: with two of three gone nobody can tell
				yard.cut[z] = !yard.cut[z]
				since[z] = yard.now
			}
			yard.pass(units.Microseconds(rapid.IntRange(1, 90).Draw(t, "seconds"))*units.Second, func() {
				for _, n := range names {
					quiet, s := yard.now-since[n], yard.p.State(n)
					switch {
					case yard.cut[n] && quiet > 5*every/2+2*units.Second && s != Lost:
						t.Fatalf("%s is cut off for %v and %v", n, quiet, s)
					case yard.cut[n] && s != Serving && s != Recovering && yard.p.ScaleOutLimit(n) != 0:
						t.Fatalf("%s is %v and %d machines may be rented there", n, s, yard.p.ScaleOutLimit(n))
					case !yard.cut[n] && quiet > every+units.Second && !yard.p.Reachable(n):
						t.Fatalf("%s is heard for %v and %v", n, quiet, s)
					case !yard.cut[n] && quiet > maxTrustDelay+every+units.Second && s != Serving:
						t.Fatalf("%s is heard for %v and still %v", n, quiet, s)
					}
				}
			})
		}
	})
}

// A zone that comes and goes is trusted again more slowly each time, up to a bound.
func TestTrustIsLostQuickly(t *testing.T) {
	yard := newYard("a", "b")
	yard.add("a", 50)
	yard.add("b", 50)
	yard.pass(2*every, nil)
	var took []units.Microseconds
	for range 7 {
		yard.cut["b"] = true
		yard.pass(12*units.Second, nil)
		yard.cut["b"] = false
		at := yard.now
		for yard.p.State("b") != Serving && yard.now-at < 2*maxTrustDelay {
			yard.pass(units.Second, nil)
		}
		took = append(took, yard.now-at)
	}
	for i := 1; i < len(took); i++ {
		if took[i] < took[i-1] || took[i] > maxTrustDelay+every {
			t.Errorf("trusted after %v", took)
		}
	}
	if took[2] < 3*took[0] {
		t.Errorf("the third time it was trusted as quickly as the first: %v", took)
	}
}

// What looks alike: the silence of all machines is this controller's own deafness, unless
// the controllers of their zone are silent too; a process that stood still has heard nobody.
func TestSilenceOfZoneOrController(t *testing.T) {
	for _, test := range []struct {
		what string
		set  func(yard *yard)
		lost bool
	}{
		{"one zone's machines", func(yard *yard) { yard.add("a", 30); yard.cut["b"] = true }, true},
		{"all machines, in all zones", func(yard *yard) { yard.add("a", 30); yard.cut["a"], yard.cut["b"] = true, true }, false},
		{"all machines, which are in one zone, whose controllers are heard", func(yard *yard) { yard.cut["b"] = true; yard.peers["b"] = [2]int{1, 1} }, false},
		{"all machines, which are in one zone, and its controllers", func(yard *yard) { yard.cut["b"] = true; yard.peers["b"], yard.peers["a"] = [2]int{1, 0}, [2]int{1, 1} }, true},
		{"nobody: it stood still", func(yard *yard) { yard.add("a", 30); yard.now += 40 * units.Second }, false},
	} {
		yard := newYard("a", "b")
		yard.add("b", 30)
		yard.pass(2*every, nil)
		test.set(yard)
		ever := false
		yard.pass(2*every, func() { ever = ever || yard.p.State("b") == Lost })
		if ever != test.lost {
			t.Errorf("%s silent: lost %v", test.what, ever)
		}
		if test.lost && test.what != "one zone's machines" && !yard.p.AllZonesUnreachable() {
			t.Errorf("%s silent: taken for deafness", test.what)
		}
	}
}

// withoutB is a yard of two zones of which the second has been cut off for 30 s.
func withoutB() *yard {
	yard := newYard("a", "b")
	yard.add("a", 30)
	yard.add("b", 30)
	yard.pass(2*every, nil)
	yard.cut["b"] = true
	yard.pass(30*units.Second, nil)
	return yard
}

// Machines are kept for as long as that is cheaper than to rent them anew, at most; a word
// decides otherwise, and one about a zone that does not exist names those that do.
func TestOverrides(t *testing.T) {
	yard := withoutB()
	if !yard.p.KeepMachines("b", 60*units.Second) || yard.p.KeepMachines("b", 20*units.Second) {
		t.Error("not kept by how long the cut lasts")
	}
	for _, w := range Overrides {
		if err := yard.p.SetOverride("b", w); err != nil {
			t.Fatal(err)
		}
		if keep := yard.p.KeepMachines("b", 20*units.Second); keep != (w == OverrideReturning) || yard.p.KeepMachines("b", 60*units.Second) != keep {
			t.Errorf("%s: kept %v", w, keep)
		}
	}
	if err := yard.p.SetOverride("x", OverrideLost); err == nil || !strings.Contains(err.Error(), "a, b") {
		t.Errorf("a zone that does not exist: %v", err)
	}
	if err := yard.p.SetOverride("a", "soon"); err == nil {
		t.Error("a word that says nothing is taken")
	}
}

// With nothing left there that could be heard, one machine is rented to find out; what comes
// back is rented in steps.
func TestProbes(t *testing.T) {
	yard := withoutB()
	yard.last["b"] = nil // all were returned
	yard.pass(units.Second, nil)
	if n := yard.p.ScaleOutLimit("b"); n != 0 {
		t.Errorf("%d are rented into a zone that was just lost", n)
	}
	yard.pass(probeMachineAfter, nil)
	if n := yard.p.ScaleOutLimit("b"); n != 1 {
		t.Errorf("%d are rented to find out", n)
	}
	yard.cut["b"] = false
	yard.add("b", 1)
	yard.pass(units.Second, nil)
	if n := yard.p.ScaleOutLimit("b"); yard.p.State("b") != Recovering || n != recoveringScaleOutLimit {
		t.Errorf("%v: %d", yard.p.State("b"), n)
	}
	yard.pass(maxTrustDelay, nil)
	if n := yard.p.ScaleOutLimit("b"); n >= 0 {
		t.Errorf("%v: %d", yard.p.State("b"), n)
	}
}

// TestDoubtWithoutMachines has a zone in doubt whose machines are then all returned, and no
// machine anywhere whose reports would tell more; its controllers are heard all the time, so
// that nothing is heard again. One machine is rented to find out.
func TestDoubtWithoutMachines(t *testing.T) {
	for _, peers := range [][2]int{{0, 0}, {1, 1}} {
		yard := newYard("a", "b")
		yard.peers["b"] = peers
		yard.add("a", 3)
		yard.add("b", 3)
		yard.pass(2*every, nil)
		yard.cut["b"] = true
		yard.pass(every+units.Second+units.Second/2, nil)
		if s := yard.p.State("b"); s != Suspect {
			t.Fatalf("the zone is %v", s)
		}
		yard.last["a"], yard.last["b"] = nil, nil
		yard.pass(units.Second, nil)
		if n := yard.p.ScaleOutLimit("b"); n != 0 {
			t.Errorf("controllers %v: %d are rented at once", peers, n)
		}
		yard.pass(probeMachineAfter, nil)
		if n := yard.p.ScaleOutLimit("b"); n != 1 {
			t.Errorf("controllers %v, %v: %d are rented to find out", peers, yard.p.State("b"), n)
		}
		yard.cut["b"] = false
		yard.add("b", 1)
		yard.pass(units.Second, nil)
		if s := yard.p.State("b"); s != Recovering {
			t.Errorf("controllers %v: a machine reports, and the zone is %v", peers, s)
		}
	}
}
