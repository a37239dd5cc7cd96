package autoscaler

import (
	"shalestage.example/shalestage/internal/core/binpack"
)

// rooms knows which capacity of each machine will become free by itself. Only that may be planned with: tasks
// complete, but replicas of services stay where they are, and so do tasks with a long run time for a long time.
type rooms struct {
	market         Market
	machines       []Machine
	besideReplicas []binpack.Vec  // capacity without what the replicas of services use, by index in machines
	besideStaying  []*binpack.Vec // capacity without what all staying tasks use; nil: not computed yet
}

func newRooms(machines []Machine, market Market) rooms {
	r := rooms{market: market, machines: machines, besideReplicas: make([]binpack.Vec, len(machines)), besideStaying: make([]*binpack.Vec, len(machines))}
	for i, machine := range machines {
		machineType := market.Types[machine.Pool.Type]
		if machineType == nil {
			continue
		}
		r.besideReplicas[i] = machineType.Capacity
		if machine.ZoneLost {
			continue
		}
		for _, replicas := range machine.Replicas {
			r.besideReplicas[i] = r.besideReplicas[i].Sub(replicas.Demand)
		}
	}
	return r
}

// holds reports whether a machine with replicas of services has room for a whole average task beside them. Machines
// without replicas may hold a task that is smaller than the average.
func (r *rooms) holds(machine int, average [3]float64) bool {
	if r.machines[machine].ZoneLost || len(r.machines[machine].Replicas) == 0 {
		return true
	}
	for resource, each := range average {
		if each > float64(r.besideReplicas[machine][resource])+roundingTolerance*each {
			return false
		}
	}
	return true
}

// comes reports whether a machine will have room for a task of the given demand before long.
func (r *rooms) comes(machine int, demand binpack.Vec) bool {
	if !demand.Fits(r.besideReplicas[machine]) {
		return false
	}
	if r.market.Staying == nil {
		return true
	}
	if r.besideStaying[machine] == nil {
		room := binpack.Vec{}
		if machineType := r.market.Types[r.machines[machine].Pool.Type]; machineType != nil {
			room = machineType.Capacity.Sub(r.market.Staying(r.machines[machine].Name))
		}
		r.besideStaying[machine] = &room
	}
	return demand.Fits(*r.besideStaying[machine])
}

// demandsWithoutRoom returns how many demands of a group's ready tasks find no machine that will have room for one
// of them. The machines that it finds for the others count as needed. Averages do not show this: tasks of other sizes
// may have room. One slot for each is enough, as the next tasks find room on it later. Idle-time work uses only what
// others leave.
func (p *planning) demandsWithoutRoom(group Group, average *groupAverage, need Need) float64 {
	if group.IdleTime {
		return 0
	}
	without := 0.0
	for _, demand := range need.Demands {
		if i := p.machineWithRoom(group, average, demand); i >= 0 {
			p.machines[i].Needed = true
		} else {
			without++
		}
	}
	return without
}

// machineWithRoom returns the index of the cheapest machine that will have room for a task of a group; -1 if there is
// none.
func (p *planning) machineWithRoom(group Group, average *groupAverage, demand binpack.Vec) int {
	for _, i := range p.cheapestFirst {
		if machine := p.machines[i]; !machine.ZoneLost && group.usable(average.types, machine.Pool) && p.rooms.comes(i, demand) {
			return i
		}
	}
	return -1
}
