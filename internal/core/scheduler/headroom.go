package scheduler

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// maxPreferred bounds the machines whose headroom is looked at for one machine.
const maxPreferred = 48

// headroom is the free capacity of machines that are preferred to the one at hand and about to ask
// for work themselves. Work that fits there waits for them, so that the others run empty and can
// be returned to the cloud.
type headroom struct {
	machines  []*fleet.Machine
	free      []binpack.Vec
	exhausted map[int]bool // by equivalence class: no task of theirs fits any more, as free only shrinks
}

// collect finds the headroom on the machines that are preferred to one; ranked are machines with
// free capacity, the most preferred first.
func (h *headroom) collect(ranked []*fleet.Machine, machine *fleet.Machine) {
	h.machines, h.free = h.machines[:0], h.free[:0]
	clear(h.exhausted)
	for _, other := range ranked {
		if !Preferred(other, machine) || len(h.machines) == maxPreferred {
			break
		}
		if other == machine || !other.Schedulable() || other.Notice != units.MaxTime {
			continue
		}
		if free := other.Free(); free[binpack.CPU] > 0 {
			h.machines = append(h.machines, other)
			h.free = append(h.free, free)
		}
	}
}

// take sets headroom aside for a job's ready tasks, and returns for how many. class is the number of
// the job's equivalence class: the same machines can take the tasks of all its jobs.
func (h *headroom) take(job *jobs.Job, class int) int {
	if h.exhausted[class] {
		return 0
	}
	spec := job.Spec()
	waiting := job.Ready()
	for i, machine := range h.machines {
		if !spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot) {
			continue
		}
		for waiting > 0 && spec.Demand.Fits(h.free[i]) {
			h.free[i] = h.free[i].Sub(spec.Demand)
			waiting--
		}
	}
	if waiting > 0 {
		if h.exhausted == nil {
			h.exhausted = map[int]bool{}
		}
		h.exhausted[class] = true
	}
	return job.Ready() - waiting
}

// Preferred reports whether work should rather go to one machine than to another: to the one of
// the lower cost, else to the smaller one, which runs empty sooner, else to the older one, so that
// free capacity gathers on the youngest.
func Preferred(one, other *fleet.Machine) bool {
	if a, b := costClass(one), costClass(other); a != b {
		return a < b
	}
	if a, b := one.Type.Capacity[binpack.CPU], other.Type.Capacity[binpack.CPU]; a != b {
		return a < b
	}
	return one.Name < other.Name
}

// costClass is what a machine costs by CPU, in steps of about a tenth.
func costClass(machine *fleet.Machine) int {
	if machine.Type == nil || machine.Type.Capacity[binpack.CPU] == 0 {
		return 0
	}
	return int(math.Round(10 * math.Log(machine.Type.Rate(machine.Record.Spot)/float64(machine.Type.Capacity[binpack.CPU]))))
}
