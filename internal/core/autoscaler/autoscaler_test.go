package autoscaler

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

const second = units.Second

var types = map[string]*fleet.Type{
	"big":   {Name: "big", Capacity: binpack.Vec{16_000, 0, 64_000}, Boot: 30 * second, Zones: []string{"a", "b"}, Price: 1.6, SpotPrice: 0.5},
	"small": {Name: "small", Capacity: binpack.Vec{4_000, 0, 16_000}, Boot: 10 * second, Zones: []string{"b"}, Price: 0.4, SpotPrice: 0.1},
}

var knobs = Params{Memory: 30 * second, Worth: 20 * second, IdleReturn: 10 * second}

func need(tasks int, run units.Microseconds) Need {
	return Need{Tasks: tasks, Ready: tasks, Total: binpack.Vec{4_000, 0, 8_000}.Times(int64(tasks)), Waiting: run * units.Microseconds(tasks), Types: []string{"big", "small"}}
}

// Work that may not use spot machines never gets one, spot work does as it is
// cheaper, and a pool that refused is left alone for a while.
func TestKindAndRefusal(t *testing.T) {
	s := New(knobs)
	rents, _ := s.Plan(second, map[Group]Need{{Class: "x"}: need(3, 60*second)}, nil, types, anywhere)
	if len(rents) != 1 || rents[0].Pool.Spot {
		t.Fatalf("ordinary work: %+v", rents)
	}
	g := Group{Class: "x", Spot: true}
	s = New(knobs)
	rents, _ = s.Plan(second, map[Group]Need{g: need(3, 60*second)}, nil, types, anywhere)
	if len(rents) != 1 || !rents[0].Pool.Spot {
		t.Fatalf("spot work: %+v", rents)
	}
	refused := rents[0].Pool
	s.Refused(2*second, refused)
	rents, _ = s.Plan(3*second, map[Group]Need{g: need(3, 60*second)}, nil, types, anywhere)
	if len(rents) != 1 || rents[0].Pool == refused {
		t.Fatalf("after a refusal: %+v", rents)
	}
}

// Work too small to be worth a machine still gets one where there is none at
// all: left alone it would wait for ever.
func TestStrandedWork(t *testing.T) {
	s := New(knobs)
	rents, _ := s.Plan(second, map[Group]Need{{Class: "x"}: need(1, second/10)}, nil, types, anywhere)
	if len(rents) != 1 || rents[0].Count > 2 {
		t.Fatalf("%+v", rents)
	}
}

// No machine is rented for work that will have begun before it is up: what runs
// ends all the while and makes room.
func TestWorkSoonBegun(t *testing.T) {
	have := []Machine{{Name: "m", Pool: Pool{"big", "a", false}, Booted: true, Age: 100 * second}}
	for _, c := range []struct {
		run  units.Microseconds
		rent bool
	}{{5 * second, false}, {200 * second, true}} {
		n := need(12, c.run)
		n.Running, n.Ready, n.Rate = 4, 8, 4/c.run.Seconds()
		s := New(knobs)
		if rents, _ := s.Plan(second, map[Group]Need{{Class: "x"}: n}, have, types, anywhere); (len(rents) > 0) != c.rent {
			t.Fatalf("run time %v: %+v", c.run.Seconds(), rents)
		}
	}
}

// No dear machine is rented for work that the slots there are do in time; for work that
// would be late, or that cannot use those slots, it is.
func TestDearOnlyForLateWork(t *testing.T) {
	var have []Machine
	for range 40 {
		have = append(have, Machine{Name: "m", Pool: Pool{"small", "b", true}, Booted: true, Age: 100 * second, Idle: second})
	}
	for _, c := range []struct {
		name  string
		group Group
		slack units.Microseconds
		rent  bool
	}{
		{"done in 100 s, in time", Group{Class: "x", Spot: true}, 150 * second, false},
		{"done in 100 s, too late", Group{Class: "x", Spot: true}, 10 * second, true},
		{"none of the slots is for it", Group{Class: "x", Zone: "a", Spot: true}, 10 * second, true},
	} {
		other := need(0, second)
		n := need(200, 20*second)
		n.Slack = c.slack * 200
		s := New(knobs)
		s.Refused(second, Pool{"big", "a", true})
		s.Refused(second, Pool{"big", "b", true})
		s.Refused(second, Pool{"small", "b", true})
		if rents, _ := s.Plan(second, map[Group]Need{{Class: "w", Spot: true}: other, c.group: n}, have, types, anywhere); (len(rents) > 0 && rents[0].Count > 1) != c.rent {
			t.Errorf("%s: %+v", c.name, rents)
		}
	}
}

// A machine that has not been paid for in full, that is booting, busy or
// needed is never returned; nor is any rented of a pool that cannot serve.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(knobs)
		var ms []Machine
		for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
			m := Machine{Name: string(rune('a' + i)), Pool: Pool{"small", "b", rapid.Bool().Draw(t, "spot")}, Booted: rapid.Bool().Draw(t, "booted"),
				Idle: units.Seconds(rapid.Float64Range(0, 100).Draw(t, "idle")), Age: units.Seconds(rapid.Float64Range(0, 200).Draw(t, "age"))}
			ms = append(ms, m)
		}
		g := Group{Class: "x", Zone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "may_spot")}
		n := rapid.IntRange(0, 200).Draw(t, "tasks")
		rents, back := s.Plan(second, map[Group]Need{g: need(n, 30*second)}, ms, types, anywhere)
		for _, r := range rents {
			if r.Count < 1 || r.Count > 2*n || r.Pool.Spot && !g.Spot || g.Zone != "" && r.Pool.Zone != g.Zone {
				t.Fatalf("%+v for %+v", r, g)
			}
		}
		for _, name := range back {
			m := ms[name[0]-'a']
			if !m.Booted || m.Idle < knobs.IdleReturn || m.Age < leastCharge-2*second {
				t.Fatalf("returned %+v", m)
			}
		}
	})
}

// Work that uses what others leave is rented for at the cheapest prices only,
// and keeps no dear machine; where there is no other, it still gets one.
func TestIdleTimeWork(t *testing.T) {
	g := Group{Class: "x", Spot: true, Idle: true}
	needs := map[Group]Need{g: need(40, 300*second)}
	have := []Machine{
		{Name: "dear", Pool: Pool{"big", "a", false}, Booted: true, Age: 300 * second, Idle: 60 * second},
		{Name: "cheap", Pool: Pool{"small", "b", true}, Booted: true, Age: 300 * second},
	}
	s := New(knobs)
	rents, back := s.Plan(second, needs, have, types, anywhere)
	if len(back) != 1 || back[0] != "dear" || have[0].Wanted || !have[1].Wanted {
		t.Fatalf("back %v, machines %+v", back, have)
	}
	for now := 2 * second; len(rents) > 0; now += second / 10 {
		if !rents[0].Pool.Spot {
			t.Fatalf("rents %+v beside a cheap machine", rents)
		}
		s.Refused(now, rents[0].Pool)
		rents, _ = s.Plan(now, needs, have, types, anywhere)
	}
	if rents, _ = s.Plan(3*second, needs, nil, types, anywhere); len(rents) != 1 || rents[0].Pool.Spot {
		t.Fatalf("with no machine and no spot: %+v", rents)
	}
	// That one must be kept and used: it was once taken for spare as soon as it
	// was up, and another rented in its place.
	alone := []Machine{have[0]}
	if rents, back = s.Plan(4*second, needs, alone, types, anywhere); len(rents) > 0 && !rents[0].Pool.Spot || len(back) > 0 || !alone[0].Wanted {
		t.Fatalf("one dear machine alone: rents %+v, back %v", rents, back)
	}
}

// anywhere is a cloud all of whose zones serve.
func anywhere(string) int { return -1 }
