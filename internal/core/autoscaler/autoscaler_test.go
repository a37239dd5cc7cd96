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

var params = Params{AverageOver: 30 * second, WorkPerSlot: 20 * second, ScaleInAfter: 10 * second}

func need(tasks int, run units.Microseconds) Need {
	return Need{Tasks: tasks, Ready: tasks, Total: binpack.Vec{4_000, 0, 8_000}.Times(int64(tasks)), Waiting: run * units.Microseconds(tasks), Types: []string{"big", "small"}}
}

// Work that may not use spot machines never gets one, spot work does as it is
// cheaper, and a pool that refused is left alone for a while.
func TestKindAndRefusal(t *testing.T) {
	scaler := New(params)
	increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: need(3, 60*second)}, nil, market)
	if len(increases) != 1 || increases[0].Pool.Spot {
		t.Fatalf("ordinary work: %+v", increases)
	}
	g := Group{Class: "x", Spot: true}
	scaler = New(params)
	increases, _ = scaler.Plan(second, map[Group]Need{g: need(3, 60*second)}, nil, market)
	if len(increases) != 1 || !increases[0].Pool.Spot {
		t.Fatalf("spot work: %+v", increases)
	}
	refused := increases[0].Pool
	scaler.Refused(2*second, refused)
	increases, _ = scaler.Plan(3*second, map[Group]Need{g: need(3, 60*second)}, nil, market)
	if len(increases) != 1 || increases[0].Pool == refused {
		t.Fatalf("after a refusal: %+v", increases)
	}
}

// Work too small to be worth a machine still gets one where there is none at
// all: left alone it would wait for ever.
func TestStrandedWork(t *testing.T) {
	scaler := New(params)
	increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: need(1, second/10)}, nil, market)
	if len(increases) != 1 || increases[0].Count > 2 {
		t.Fatalf("%+v", increases)
	}
}

// No machine is provisioned for work that will run before it is up: what runs
// ends all the while and makes room.
func TestNoMachineForWorkStartedBeforeItsBoot(t *testing.T) {
	have := []Machine{{Name: "m", Pool: Pool{"big", "a", false}, Booted: true, Age: 100 * second}}
	for _, c := range []struct {
		run      units.Microseconds
		scaleOut bool
	}{{5 * second, false}, {200 * second, true}} {
		n := need(12, c.run)
		n.Running, n.Ready, n.Rate = 4, 8, 4/c.run.Seconds()
		scaler := New(params)
		if increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: n}, have, market); (len(increases) > 0) != c.scaleOut {
			t.Fatalf("run time %v: %+v", c.run.Seconds(), increases)
		}
	}
}

// No expensive machine is provisioned for work that the slots there are do in time; for work that
// would be late, or that cannot use those slots, it is.
func TestExpensiveOnlyForMissedDeadlines(t *testing.T) {
	var have []Machine
	for range 40 {
		have = append(have, Machine{Name: "m", Pool: Pool{"small", "b", true}, Booted: true, Age: 100 * second, Idle: second})
	}
	for _, test := range []struct {
		name     string
		group    Group
		slack    units.Microseconds
		scaleOut bool
	}{
		{"done in 100 s, in time", Group{Class: "x", Spot: true}, 150 * second, false},
		{"done in 100 s, too late", Group{Class: "x", Spot: true}, 10 * second, true},
		{"none of the slots is for it", Group{Class: "x", Zone: "a", Spot: true}, 10 * second, true},
	} {
		other := need(0, second)
		n := need(200, 20*second)
		n.Slack = test.slack * 200
		scaler := New(params)
		scaler.Refused(second, Pool{"big", "a", true})
		scaler.Refused(second, Pool{"big", "b", true})
		scaler.Refused(second, Pool{"small", "b", true})
		if increases, _ := scaler.Plan(second, map[Group]Need{{Class: "w", Spot: true}: other, test.group: n}, have, market); (len(increases) > 0 && increases[0].Count > 1) != test.scaleOut {
			t.Errorf("%s: %+v", test.name, increases)
		}
	}
}

// A machine that has not been paid for in full, that is booting, busy or
// needed is never scaled in; nor is any provisioned of a pool that cannot serve.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaler := New(params)
		var machines []Machine
		for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
			m := Machine{Name: string(rune('a' + i)), Pool: Pool{"small", "b", rapid.Bool().Draw(t, "spot")}, Booted: rapid.Bool().Draw(t, "booted"),
				Idle: units.Seconds(rapid.Float64Range(0, 100).Draw(t, "idle")), Age: units.Seconds(rapid.Float64Range(0, 200).Draw(t, "age"))}
			machines = append(machines, m)
		}
		g := Group{Class: "x", Zone: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "may_spot")}
		n := rapid.IntRange(0, 200).Draw(t, "tasks")
		increases, scaleIn := scaler.Plan(second, map[Group]Need{g: need(n, 30*second)}, machines, market)
		for _, r := range increases {
			if r.Count < 1 || r.Count > 2*n || r.Pool.Spot && !g.Spot || g.Zone != "" && r.Pool.Zone != g.Zone {
				t.Fatalf("%+v for %+v", r, g)
			}
		}
		for _, name := range scaleIn {
			m := machines[name[0]-'a']
			if !m.Booted || m.Idle < params.ScaleInAfter || m.Age < minCharge-2*second {
				t.Fatalf("scaled in %+v", m)
			}
		}
	})
}

// Work that uses what others leave scales out by the cheapest pools only,
// and keeps no dear machine; where there is no other, it still gets one.
func TestIdleTimeWork(t *testing.T) {
	g := Group{Class: "x", Spot: true, IdleTime: true}
	work := map[Group]Need{g: need(40, 300*second)}
	have := []Machine{
		{Name: "dear", Pool: Pool{"big", "a", false}, Booted: true, Age: 300 * second, Idle: 60 * second},
		{Name: "cheap", Pool: Pool{"small", "b", true}, Booted: true, Age: 300 * second},
	}
	scaler := New(params)
	increases, scaleIn := scaler.Plan(second, work, have, market)
	if len(scaleIn) != 1 || scaleIn[0] != "dear" || have[0].Needed || !have[1].Needed {
		t.Fatalf("scaleIn %v, machines %+v", scaleIn, have)
	}
	for now := 2 * second; len(increases) > 0; now += second / 10 {
		if !increases[0].Pool.Spot {
			t.Fatalf("increases %+v beside a cheap machine", increases)
		}
		scaler.Refused(now, increases[0].Pool)
		increases, _ = scaler.Plan(now, work, have, market)
	}
	if increases, _ = scaler.Plan(3*second, work, nil, market); len(increases) != 1 || increases[0].Pool.Spot {
		t.Fatalf("with no machine and no spot: %+v", increases)
	}
	// That one must be kept and used: it was once taken for spare as soon as it
	// was up, and another provisioned in its place.
	alone := []Machine{have[0]}
	if increases, scaleIn = scaler.Plan(4*second, work, alone, market); len(increases) > 0 && !increases[0].Pool.Spot || len(scaleIn) > 0 || !alone[0].Needed {
		t.Fatalf("one dear machine alone: increases %+v, scaleIn %v", increases, scaleIn)
	}
}

// market is a cloud all of whose zones serve.
var market = Market{Types: types, ZoneLimit: func(string) int { return -1 }}
