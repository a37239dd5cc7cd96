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
	y := &yard{cut: map[string]bool{}, peers: map[string][2]int{}, last: map[string][]units.Microseconds{}}
	y.p = New(Config{Zones: zones, Home: zones[0], HeartbeatInterval: every, Log: slog.New(slog.DiscardHandler)})
	return y
}

// add has n machines of a zone up, which report one after the other.
func (y *yard) add(zone string, n int) {
	for i := range n {
		y.last[zone] = append(y.last[zone], y.now-every+every*units.Microseconds(i)/units.Microseconds(n))
	}
}

// pass lets time pass.
func (y *yard) pass(d units.Microseconds, seen func()) {
	for end := y.now + d; y.now < end; {
		y.now += step
		y.p.Tick(y.now)
		counts := map[string]Count{}
		for z, list := range y.last {
			c := Count{Up: len(list)}
			for i, at := range list {
				if y.now-at >= every && !y.cut[z] {
					list[i] = y.now
					y.p.HeartbeatReceived(z)
				}
				if y.now-list[i] < 3*every/2 {
					c.Heard++
				}
			}
			counts[z] = c
		}
		for z, n := range y.peers {
			y.p.Controllers(z, n[0], n[1])
		}
		if (y.now/step)%5 == 0 {
			y.p.Update(counts)
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
		y := newYard(names...)
		for _, z := range names {
			y.add(z, rapid.IntRange(12, 80).Draw(t, "machines"))
		}
		y.pass(2*every, nil)
		since := map[string]units.Microseconds{}
		for range rapid.IntRange(1, 6).Draw(t, "cuts") {
			z := rapid.SampledFrom(names).Draw(t, "zone")
			whole := 0
			for _, n := range names {
				if n != z && !y.cut[n] {
					whole++
				}
			}
			if whole == 2 || y.cut[z] { // one at a time: with two of three gone nobody can tell
				y.cut[z] = !y.cut[z]
				since[z] = y.now
			}
			y.pass(units.Microseconds(rapid.IntRange(1, 90).Draw(t, "seconds"))*units.Second, func() {
				for _, n := range names {
					quiet, s := y.now-since[n], y.p.State(n)
					switch {
					case y.cut[n] && quiet > 5*every/2+2*units.Second && s != Lost:
						t.Fatalf("%s is cut off for %v and %v", n, quiet, s)
					case y.cut[n] && s != Serving && s != Back && y.p.Rents(n) != 0:
						t.Fatalf("%s is %v and %d machines may be rented there", n, s, y.p.Rents(n))
					case !y.cut[n] && quiet > every+units.Second && !y.p.Reachable(n):
						t.Fatalf("%s is heard for %v and %v", n, quiet, s)
					case !y.cut[n] && quiet > longestCalm+every+units.Second && s != Serving:
						t.Fatalf("%s is heard for %v and still %v", n, quiet, s)
					}
				}
			})
		}
	})
}

// A zone that comes and goes is trusted again more slowly each time, up to a bound.
func TestTrustIsLostQuickly(t *testing.T) {
	y := newYard("a", "b")
	y.add("a", 50)
	y.add("b", 50)
	y.pass(2*every, nil)
	var took []units.Microseconds
	for range 7 {
		y.cut["b"] = true
		y.pass(12*units.Second, nil)
		y.cut["b"] = false
		at := y.now
		for y.p.State("b") != Serving && y.now-at < 2*longestCalm {
			y.pass(units.Second, nil)
		}
		took = append(took, y.now-at)
	}
	for i := 1; i < len(took); i++ {
		if took[i] < took[i-1] || took[i] > longestCalm+every {
			t.Errorf("trusted after %v", took)
		}
	}
	if took[2] < 3*took[0] {
		t.Errorf("the third time it was trusted as quickly as the first: %v", took)
	}
}

// What looks alike: the silence of all machines is this controller's own deafness, unless
// the controllers of their zone are silent too; a process that stood still has heard nobody.
func TestWhoseSilence(t *testing.T) {
	for _, c := range []struct {
		what string
		set  func(y *yard)
		lost bool
	}{
		{"one zone's machines", func(y *yard) { y.add("a", 30); y.cut["b"] = true }, true},
		{"all machines, in all zones", func(y *yard) { y.add("a", 30); y.cut["a"], y.cut["b"] = true, true }, false},
		{"all machines, which are in one zone, whose controllers are heard", func(y *yard) { y.cut["b"] = true; y.peers["b"] = [2]int{1, 1} }, false},
		{"all machines, which are in one zone, and its controllers", func(y *yard) { y.cut["b"] = true; y.peers["b"], y.peers["a"] = [2]int{1, 0}, [2]int{1, 1} }, true},
		{"nobody: it stood still", func(y *yard) { y.add("a", 30); y.now += 40 * units.Second }, false},
	} {
		y := newYard("a", "b")
		y.add("b", 30)
		y.pass(2*every, nil)
		c.set(y)
		ever := false
		y.pass(2*every, func() { ever = ever || y.p.State("b") == Lost })
		if ever != c.lost {
			t.Errorf("%s silent: lost %v", c.what, ever)
		}
		if c.lost && c.what != "one zone's machines" && !y.p.Explains() {
			t.Errorf("%s silent: taken for deafness", c.what)
		}
	}
}

// withoutB is a yard of two zones of which the second has been cut off for 30 s.
func withoutB() *yard {
	y := newYard("a", "b")
	y.add("a", 30)
	y.add("b", 30)
	y.pass(2*every, nil)
	y.cut["b"] = true
	y.pass(30*units.Second, nil)
	return y
}

// Machines are kept for as long as that is cheaper than to rent them anew, at most; a word
// decides otherwise, and one about a zone that does not exist names those that do.
func TestWords(t *testing.T) {
	y := withoutB()
	if !y.p.Keep("b", 60*units.Second) || y.p.Keep("b", 20*units.Second) {
		t.Error("not kept by how long the cut lasts")
	}
	for _, w := range Overrides {
		if err := y.p.SetOverride("b", w); err != nil {
			t.Fatal(err)
		}
		if keep := y.p.Keep("b", 20*units.Second); keep != (w == OverrideReturning) || y.p.Keep("b", 60*units.Second) != keep {
			t.Errorf("%s: kept %v", w, keep)
		}
	}
	if err := y.p.SetOverride("x", OverrideLost); err == nil || !strings.Contains(err.Error(), "a, b") {
		t.Errorf("a zone that does not exist: %v", err)
	}
	if err := y.p.SetOverride("a", "soon"); err == nil {
		t.Error("a word that says nothing is taken")
	}
}

// With nothing left there that could be heard, one machine is rented to find out; what comes
// back is rented in steps.
func TestProbes(t *testing.T) {
	y := withoutB()
	y.last["b"] = nil // all were returned
	y.pass(units.Second, nil)
	if n := y.p.Rents("b"); n != 0 {
		t.Errorf("%d are rented into a zone that was just lost", n)
	}
	y.pass(probeAfter, nil)
	if n := y.p.Rents("b"); n != 1 {
		t.Errorf("%d are rented to find out", n)
	}
	y.cut["b"] = false
	y.add("b", 1)
	y.pass(units.Second, nil)
	if n := y.p.Rents("b"); y.p.State("b") != Back || n != probe {
		t.Errorf("%v: %d", y.p.State("b"), n)
	}
	y.pass(longestCalm, nil)
	if n := y.p.Rents("b"); n >= 0 {
		t.Errorf("%v: %d", y.p.State("b"), n)
	}
}

// TestDoubtWithNothingLeft has a zone in doubt whose machines are then all returned, and no
// machine anywhere whose reports would tell more; its controllers are heard all the time, so
// that nothing is heard again. One machine is rented to find out.
func TestDoubtWithNothingLeft(t *testing.T) {
	for _, peers := range [][2]int{{0, 0}, {1, 1}} {
		y := newYard("a", "b")
		y.peers["b"] = peers
		y.add("a", 3)
		y.add("b", 3)
		y.pass(2*every, nil)
		y.cut["b"] = true
		y.pass(every+units.Second+units.Second/2, nil)
		if s := y.p.State("b"); s != Doubt {
			t.Fatalf("the zone is %v", s)
		}
		y.last["a"], y.last["b"] = nil, nil
		y.pass(units.Second, nil)
		if n := y.p.Rents("b"); n != 0 {
			t.Errorf("controllers %v: %d are rented at once", peers, n)
		}
		y.pass(probeAfter, nil)
		if n := y.p.Rents("b"); n != 1 {
			t.Errorf("controllers %v, %v: %d are rented to find out", peers, y.p.State("b"), n)
		}
		y.cut["b"] = false
		y.add("b", 1)
		y.pass(units.Second, nil)
		if s := y.p.State("b"); s != Back {
			t.Errorf("controllers %v: a machine reports, and the zone is %v", peers, s)
		}
	}
}
