package autoscaler

import (
	"slices"
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// web is the group of the replicas of these tests.
var web = Group{Class: "web", Types: "big", Service: true}

// array returns the need of an array whose tasks of 5 s have the given demands.
func array(tasks int, demands ...int64) Need {
	work := Need{Tasks: tasks, Ready: tasks, Waiting: 5 * second * units.Microseconds(tasks), Types: []string{"big"}}
	for _, cpu := range demands {
		demand := binpack.Vec{cpu, 0, 8_000}
		work.AddDemand(demand)
		work.Total = work.Total.Add(demand.Times(int64(tasks / len(demands))))
	}
	return work
}

// besideReplicas returns machines that run a replica of the given CPU each.
func besideReplicas(cpus ...int64) []Machine {
	machines := busy(len(cpus))
	for i, cpu := range cpus {
		machines[i].Replicas = []Replicas{{Group: web, Count: 1, Demand: binpack.Vec{cpu, 0, 8_000}}}
	}
	return machines
}

// running returns the need of the replicas that run on machines.
func running(machines []Machine) Need {
	need := Need{Types: []string{"big"}}
	for _, machine := range machines {
		for _, replicas := range machine.Replicas {
			need.Tasks += replicas.Count
			need.Running += replicas.Count
			need.Total = need.Total.Add(replicas.Demand)
		}
	}
	return need
}

// TestPlanCountsOnRoomThatComes guards against work that waits for good beside replicas of services, or for hours
// beside long tasks. The plan put all work anew onto empty machines, as if what runs could move, and averages hid that
// the room that is left on each machine is too small for some task. Four machines of 16 CPUs run replicas of 6 or 9.
func TestPlanCountsOnRoomThatComes(t *testing.T) {
	empty := func(pool Pool, booted bool) Machine {
		return Machine{Name: "new", Pool: pool, Booted: booted, Idle: 90 * second, Age: 90 * second}
	}
	onDemand := Pool{"big", "b", false}
	for _, test := range []struct {
		name     string
		group    Group
		need     Need
		machines []Machine
		staying  int64 // CPU that long tasks use on each machine, in addition to the replicas
		want     bool  // machines are requested
		needed   bool  // the last machine, which is empty, must be kept
	}{
		{"no room beside any replica", Group{Class: "x", Types: "big"}, array(2, 12_000), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, true, false},
		{"a bit too little room", Group{Class: "x", Types: "big"}, array(2, 10_100), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, true, false},
		{"room beside each", Group{Class: "x", Types: "big"}, array(2, 10_000), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, false, false},
		{"room beside one", Group{Class: "x", Types: "big"}, array(1, 10_000), besideReplicas(9_000, 9_000, 6_000, 9_000), 0, false, false},
		{"room for the smaller tasks only", Group{Class: "x", Types: "big"}, array(20, 1_000, 12_000), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, true, false},
		{"a machine without replicas", Group{Class: "x", Types: "big"}, array(1, 12_000), append(besideReplicas(6_000, 6_000), busy(3)[2:]...), 0, false, false},
		{"it runs long tasks", Group{Class: "x", Types: "big"}, array(1, 12_000), append(besideReplicas(6_000, 6_000), busy(3)[2:]...), 5_000, true, false},
		{"they leave room", Group{Class: "x", Types: "big"}, array(1, 12_000), append(besideReplicas(6_000, 6_000), busy(3)[2:]...), 4_000, false, false},
		{"an empty machine", Group{Class: "x", Types: "big"}, array(1, 12_000), append(besideReplicas(6_000, 6_000), empty(onDemand, true)), 0, false, true},
		{"a booting machine", Group{Class: "x", Types: "big"}, array(1, 12_000), append(besideReplicas(6_000, 6_000), empty(onDemand, false)), 0, false, true},
		{"an empty spot machine, for on-demand work", Group{Class: "x", Types: "big"}, array(2, 12_000),
			append(besideReplicas(6_000, 6_000), empty(Pool{"big", "b", true}, false)), 0, true, false},
		{"an empty machine in another zone", Group{Class: "x", Types: "big", Zones: "a"}, array(2, 12_000), append(besideReplicas(6_000, 6_000), empty(onDemand, false)), 0, true, false},
		{"a replica beside replicas", Group{Class: "y", Types: "big", Service: true}, replicas(1, 0, 12_000), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, true, false},
		{"a replica that has room", Group{Class: "y", Types: "big", Service: true}, replicas(1, 0, 10_000), besideReplicas(6_000, 6_000, 6_000, 6_000), 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			offers := market
			offers.Staying = func(name string) binpack.Vec {
				staying := binpack.Vec{test.staying}
				for _, machine := range test.machines {
					if machine.Name == name && len(machine.Replicas) > 0 {
						staying = staying.Add(machine.Replicas[0].Demand)
					}
				}
				return staying
			}
			increases, scaleIn := New(params).Plan(second, map[Group]Need{test.group: test.need, web: running(test.machines)}, test.machines, offers)
			if len(increases) > 0 != test.want || len(scaleIn) > 0 && test.needed {
				t.Errorf("requested: %+v, want any: %v; scaled in: %v", increases, test.want, scaleIn)
			}
			if last := test.machines[len(test.machines)-1]; test.needed && !last.Needed {
				t.Error("the empty machine counts as spare")
			}
		})
	}
}

// TestPlacedReplicasKeepTheirPlaces checks that no machine is requested for replicas that run, and that their machines
// count as needed.
func TestPlacedReplicasKeepTheirPlaces(t *testing.T) {
	group := Group{Class: "web", Types: "big", Service: true}
	machines := busy(6)
	for i := range machines {
		machines[i].Replicas = []Replicas{{Group: group, Count: 2, Demand: binpack.Vec{16_000, 0, 16_000}}}
	}
	increases, scaleIn := New(params).Plan(second, map[Group]Need{group: replicas(12, 12, 8_000)}, machines, market)
	if len(increases) > 0 || len(scaleIn) > 0 {
		t.Errorf("increases %+v, scaled in %v", increases, scaleIn)
	}
	for _, machine := range machines {
		if !machine.Needed {
			t.Errorf("%s counts as spare", machine.Name)
		}
	}
}

// TestRoomBesideReplicasCountsOnce guards against slots that exist on paper only: what replicas use is no slot, and what
// they leave is none for a task that does not fit beside them.
func TestRoomBesideReplicasCountsOnce(t *testing.T) {
	group := Group{Class: "x", Types: "big"}
	for name, test := range map[string]struct {
		replica, task int64
		tasks         int
	}{
		"too little room for a task":      {6_000, 12_000, 6},
		"room for one task, not for four": {10_000, 4_000, 30},
	} {
		machines := append(besideReplicas(slices.Repeat([]int64{test.replica}, 8)...), busy(9)[8:]...)
		work := map[Group]Need{web: running(machines),
			group: {Tasks: test.tasks, Ready: test.tasks, Waiting: 200 * second * units.Microseconds(test.tasks), Total: binpack.Vec{test.task, 0, 8_000}.Times(int64(test.tasks)), Types: []string{"big"}}}
		increases, _ := New(params).Plan(second, work, machines, market)
		if len(increases) != 1 || increases[0].Count < 4 {
			t.Errorf("%s: increases %+v", name, increases)
		}
	}
}
