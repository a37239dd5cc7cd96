package scheduler

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// maxPreferred bounds the preferred machines whose headroom is considered when filling one machine.
const maxPreferred = 48

// headroom is the free capacity of machines that are preferred to the one being
// filled and will ask for work themselves soon. Work that fits there waits for them,
// so that the less preferred machines become empty and can be returned to the cloud.
type headroom struct {
	machines  []*fleet.Machine
	free      []binpack.Vec
	exhausted map[int]bool // by equivalence class: no further task fits; free only shrinks, so this stays true
}

// collect gathers the headroom of the machines that are preferred to the given
// machine. ranked lists the machines with free capacity, the most preferred first.
func (h *headroom) collect(ranked []*fleet.Machine, machine *fleet.Machine) {
	h.machines, h.free = h.machines[:0], h.free[:0]
	clear(h.exhausted)
	for _, other := range ranked {
		if !Preferred(other, machine) || len(h.machines) == maxPreferred {
			break
		}
		if other == machine || !other.Schedulable() || other.ReclaimAt != units.MaxTime {
			continue
		}
		if free := other.Free(); free[binpack.CPU] > 0 {
			h.machines = append(h.machines, other)
			h.free = append(h.free, free)
		}
	}
}

// claim reserves headroom for a job's ready tasks and returns the number of tasks that it covers.
// class is the job's equivalence class: all jobs of a class can run on the same machines.
func (h *headroom) claim(job *jobs.Job, class int) int {
	if h.exhausted[class] {
		return 0
	}
	spec := job.Spec()
	unplaced := job.Ready()
	wrongZone := false
	for i, machine := range h.machines {
		if !spec.Allows(machine.Record.Type, machine.Record.Zone, machine.Record.Spot) {
			continue
		}
		if !job.ZoneAllows(machine.Record.Zone) {
			wrongZone = true // its tasks must not wait for a machine that cannot take them
			continue
		}
		for unplaced > 0 && spec.Demand.Fits(h.free[i]) {
			h.free[i] = h.free[i].Sub(spec.Demand)
			unplaced--
		}
	}
	if unplaced > 0 && !wrongZone {
		if h.exhausted == nil {
			h.exhausted = map[int]bool{}
		}
		h.exhausted[class] = true
	}
	return job.Ready() - unplaced
}

// Preferred reports whether work should go to one machine rather than to other. Lower
// cost wins. At equal cost the smaller machine wins because it becomes empty sooner,
// then the older one, so that free capacity accumulates on the youngest machines.
func Preferred(one, other *fleet.Machine) bool {
	if a, b := costClass(one), costClass(other); a != b {
		return a < b
	}
	if a, b := one.Type.Capacity[binpack.CPU], other.Type.Capacity[binpack.CPU]; a != b {
		return a < b
	}
	return one.Name < other.Name
}

// costClass returns the price of a machine per CPU on a logarithmic scale, in steps of about a tenth.
func costClass(machine *fleet.Machine) int {
	if machine.Type == nil || machine.Type.Capacity[binpack.CPU] == 0 {
		return 0
	}
	return int(math.Round(10 * math.Log(machine.Type.PriceFor(machine.Record.Spot)/float64(machine.Type.Capacity[binpack.CPU]))))
}
