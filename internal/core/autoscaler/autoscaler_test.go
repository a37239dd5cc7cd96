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

// TestSpotEligibilityAndBackoff checks that only work that may use spot machines gets them, that it does
// because they are cheaper, and that a pool without capacity is not tried again at once.
func TestSpotEligibilityAndBackoff(t *testing.T) {
	scaler := New(params)
	increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: need(3, 60*second)}, nil, market)
	if len(increases) != 1 || increases[0].Pool.Spot {
		t.Fatalf("on-demand work: %+v", increases)
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

// TestSmallWorkGetsFirstMachine guards against starvation: work too small to be worth a machine must
// still get one if there is none at all.
func TestSmallWorkGetsFirstMachine(t *testing.T) {
	scaler := New(params)
	increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: need(1, second/10)}, nil, market)
	if len(increases) != 1 || increases[0].Count > 2 {
		t.Fatalf("%+v", increases)
	}
}

// TestNoScaleOutForWorkStartedBeforeBoot guards against provisioning a machine for work that will have
// started by the time the machine is up, because running tasks complete and free their slots meanwhile.
func TestNoScaleOutForWorkStartedBeforeBoot(t *testing.T) {
	machines := []Machine{{Name: "m", Pool: Pool{"big", "a", false}, Booted: true, Age: 100 * second}}
	for _, c := range []struct {
		run      units.Microseconds
		scaleOut bool
	}{{5 * second, false}, {200 * second, true}} {
		n := need(12, c.run)
		n.Running, n.Ready, n.Rate = 4, 8, 4/c.run.Seconds()
		scaler := New(params)
		if increases, _ := scaler.Plan(second, map[Group]Need{{Class: "x"}: n}, machines, market); (len(increases) > 0) != c.scaleOut {
			t.Fatalf("run time %v: %+v", c.run.Seconds(), increases)
		}
	}
}

// TestExpensiveOnlyForMissedDeadlines checks that no expensive machine is provisioned for work that
// existing slots do in time, and that one is for work that would be late or cannot use those slots.
func TestExpensiveOnlyForMissedDeadlines(t *testing.T) {
	var machines []Machine
	for range 40 {
		machines = append(machines, Machine{Name: "m", Pool: Pool{"small", "b", true}, Booted: true, Age: 100 * second, Idle: second})
	}
	for _, test := range []struct {
		name     string
		group    Group
		slack    units.Microseconds
		scaleOut bool
	}{
		{"done in 100 s, in time", Group{Class: "x", Spot: true}, 150 * second, false},
		{"done in 100 s, too late", Group{Class: "x", Spot: true}, 10 * second, true},
		{"none of the slots is for it", Group{Class: "x", Zones: "a", Spot: true}, 10 * second, true},
	} {
		other := need(0, second)
		n := need(200, 20*second)
		n.Slack = test.slack * 200
		scaler := New(params)
		scaler.Refused(second, Pool{"big", "a", true})
		scaler.Refused(second, Pool{"big", "b", true})
		scaler.Refused(second, Pool{"small", "b", true})
		if increases, _ := scaler.Plan(second, map[Group]Need{{Class: "w", Spot: true}: other, test.group: n}, machines, market); (len(increases) > 0 && increases[0].Count > 1) != test.scaleOut {
			t.Errorf("%s: %+v", test.name, increases)
		}
	}
}

// TestPlanInvariants checks that a machine is never scaled in while it is booting or busy, or before its
// minimum charge is used up, and that no machine is provisioned from a pool that the work may not use.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		scaler := New(params)
		var machines []Machine
		for i := range rapid.IntRange(0, 12).Draw(t, "machines") {
			m := Machine{Name: string(rune('a' + i)), Pool: Pool{"small", "b", rapid.Bool().Draw(t, "spot")}, Booted: rapid.Bool().Draw(t, "booted"),
				Idle: units.Seconds(rapid.Float64Range(0, 100).Draw(t, "idle")), Age: units.Seconds(rapid.Float64Range(0, 200).Draw(t, "age"))}
			machines = append(machines, m)
		}
		g := Group{Class: "x", Zones: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "may_spot")}
		n := rapid.IntRange(0, 200).Draw(t, "tasks")
		increases, scaleIn := scaler.Plan(second, map[Group]Need{g: need(n, 30*second)}, machines, market)
		for _, r := range increases {
			if r.Count < 1 || r.Count > 2*n || r.Pool.Spot && !g.Spot || g.Zones != "" && r.Pool.Zone != g.Zones {
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

// TestIdleTimeWork checks that idle-time work scales out by the cheapest pools only and keeps no
// expensive machine, but still gets one if there is no other.
func TestIdleTimeWork(t *testing.T) {
	g := Group{Class: "x", Spot: true, IdleTime: true}
	work := map[Group]Need{g: need(40, 300*second)}
	machines := []Machine{
		{Name: "dear", Pool: Pool{"big", "a", false}, Booted: true, Age: 300 * second, Idle: 60 * second},
		{Name: "cheap", Pool: Pool{"small", "b", true}, Booted: true, Age: 300 * second},
	}
	scaler := New(params)
	increases, scaleIn := scaler.Plan(second, work, machines, market)
	if len(scaleIn) != 1 || scaleIn[0] != "dear" || machines[0].Needed || !machines[1].Needed {
		t.Fatalf("scaleIn %v, machines %+v", scaleIn, machines)
	}
	for now := 2 * second; len(increases) > 0; now += second / 10 {
		if !increases[0].Pool.Spot {
			t.Fatalf("increases %+v although there is a cheap machine", increases)
		}
		scaler.Refused(now, increases[0].Pool)
		increases, _ = scaler.Plan(now, work, machines, market)
	}
	if increases, _ = scaler.Plan(3*second, work, nil, market); len(increases) != 1 || increases[0].Pool.Spot {
		t.Fatalf("without machines and spot capacity: %+v", increases)
	}
	// The expensive machine must be kept and used. A fault once took it for spare as soon as it was up,
	// and provisioned another one in its place.
	alone := []Machine{machines[0]}
	if increases, scaleIn = scaler.Plan(4*second, work, alone, market); len(increases) > 0 && !increases[0].Pool.Spot || len(scaleIn) > 0 || !alone[0].Needed {
		t.Fatalf("only an expensive machine: increases %+v, scaleIn %v", increases, scaleIn)
	}
}

// replicas returns the need of a service whose placed replicas run, and whose others wait for a machine.
func replicas(all, placed int, cpu int64) Need {
	return Need{Tasks: all, Running: placed, Ready: all - placed, Replicas: all - placed,
		Total: binpack.Vec{cpu, 0, 8_000}.Times(int64(all)), Types: []string{"big"}}
}

// busy returns machines of the large type that run tasks.
func busy(count int) []Machine {
	var machines []Machine
	for i := range count {
		machines = append(machines, Machine{Name: string(rune('a' + i)), Pool: Pool{"big", "a", false}, Booted: true, Age: 300 * second})
	}
	return machines
}

// TestReplicasGetMachines guards against replicas that wait for good. They have no run time, so no waiting work
// was worth a machine of theirs, and the part of a slot that is left on a machine counted as if they could
// share it one after the other.
func TestReplicasGetMachines(t *testing.T) {
	group := Group{Class: "web", Types: "big", Service: true}
	for _, test := range []struct {
		name     string
		need     Need
		machines int
		want     int
	}{
		{"none has a machine", replicas(6, 0, 12_000), 0, 6},
		{"one has a machine", replicas(6, 1, 12_000), 1, 5},
		{"all have machines", replicas(6, 6, 12_000), 6, 0},
		{"a machine holds almost two", replicas(6, 1, 8_400), 1, 5},
		{"a machine holds exactly one", replicas(6, 5, 16_000), 5, 1},
		{"a machine holds three", replicas(6, 1, 5_000), 1, 1},
		{"room for two on a machine that is up", replicas(4, 2, 4_000), 1, 0},
	} {
		increases, scaleIn := New(params).Plan(second, map[Group]Need{group: test.need}, busy(test.machines), market)
		count := 0
		for _, increase := range increases {
			count += increase.Count
		}
		if count != test.want || len(scaleIn) > 0 {
			t.Errorf("%s: %d machines are requested, want %d; scaled in: %v", test.name, count, test.want, scaleIn)
		}
	}
}

// TestStrandedReplicasGetMachines guards against replicas that wait for good although there is enough free
// capacity on paper: other replicas are spread over the machines so that none has room for one more. Once they
// have waited for strandedAfter they get a machine, unless one is empty or booting.
func TestStrandedReplicasGetMachines(t *testing.T) {
	large, small := Group{Class: "large", Types: "big", Service: true}, Group{Class: "small", Types: "big", Service: true}
	work := map[Group]Need{large: replicas(2, 1, 13_000), small: replicas(2, 2, 4_000)}
	for _, test := range []struct {
		name   string
		waits  units.Microseconds
		change func(machines []Machine) []Machine
		want   bool
	}{
		{"heartbeats may still bring a place", strandedAfter - second, nil, false},
		{"stranded", strandedAfter, nil, true},
		{"a machine is empty", strandedAfter, func(machines []Machine) []Machine {
			machines[0].Idle = second
			return machines
		}, false},
		{"a machine boots", strandedAfter, func(machines []Machine) []Machine {
			return append(machines, Machine{Name: "new", Pool: Pool{"big", "b", false}, Idle: second})
		}, false},
	} {
		scaler := New(params)
		scaler.Plan(second, work, busy(3), market)
		machines := busy(3)
		if test.change != nil {
			machines = test.change(machines)
		}
		increases, _ := scaler.Plan(second+test.waits, work, machines, market)
		if got := len(increases) == 1 && increases[0].Count == 1; got != test.want || len(increases) > 1 {
			t.Errorf("%s: increases %+v, want one machine: %v", test.name, increases, test.want)
		}
	}
}

// market has capacity in every zone.
var market = Market{Types: types, ZoneLimit: func(string) int { return -1 }}
