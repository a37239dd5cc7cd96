package scalerun

import (
	"fmt"
	"slices"
)

// wrongField is a field that a run cannot work with.
type wrongField struct{ at, text string }

// bound is the range of a field.
type bound struct {
	at        string
	v, lo, hi float64
}

// mistake returns the first field that a run cannot work with.
func (f *File) mistake() (wrongField, bool) {
	if f.Name == "" {
		return wrongField{"name", "missing"}, true
	}
	if len(f.Controllers.Zones) > 0 {
		return wrongField{"controllers.zones", "they follow from target.zones"}, true
	}
	for _, b := range f.bounds() {
		if !inside(b.v, b.lo, b.hi) {
			return wrongField{b.at, fmt.Sprintf("want %g to %g, got %g", b.lo, b.hi, b.v)}, true
		}
	}
	if f.Target.Zones < f.Target.Regions {
		return wrongField{"target.zones", fmt.Sprintf("want one for each of %d regions at least, got %d", f.Target.Regions, f.Target.Zones)}, true
	}
	if w, bad := f.faultMistake(); bad {
		return w, true
	}
	if f.totalS() > maxTotalS {
		return wrongField{"time", fmt.Sprintf("all phases take up to %g s, %d are the most", f.totalS(), maxTotalS)}, true
	}
	if f.batchRunS() < 1 {
		return wrongField{"target.tasks", "too few for the starts a second: batch tasks would run for less than a second"}, true
	}
	return wrongField{}, false
}

func (f *File) bounds() []bound {
	t, l, b := f.Target, f.Load, f.Budget
	return []bound{
		{"worker_processes", float64(f.WorkerProcesses), 0, 16},
		{"boot_s", f.BootS, 0, 600},
		{"target.workers", float64(t.Workers), 1, maxWorkers},
		{"target.tasks", float64(t.Tasks), 1, maxTasks},
		{"target.starts_per_s", t.StartsPerS, 0.1, maxStarts},
		{"target.teams", float64(t.Teams), 1, maxTeams},
		{"target.regions", float64(t.Regions), 1, maxRegions},
		{"target.zones", float64(t.Zones), 1, maxZones},
		{"load.batch_tasks", float64(l.BatchTasks), 1, 10_000},
		{"load.urgent_tasks", float64(l.UrgentTasks), 1, 1000},
		{"load.urgent_share", l.UrgentShare, 0, 0.9},
		{"load.urgent_run_s", l.UrgentRunS, 0.1, 600},
		{"load.urgent_within", l.UrgentWithin, 0.1, 600},
		{"load.batch_within", l.BatchWithin, 0.1, 600},
		{"load.service_share", l.ServiceShare, 0, 0.9},
		{"load.cancel_share", l.CancelShare, 0, 1},
		{"load.abroad_share", l.AbroadShare, 0, 1},
		{"worker_budget.cpu", b.CPU, 0.001, 100},
		{"worker_budget.memory_mb", b.MemoryMB, 1, 100_000},
		{"worker_budget.kilobytes_per_s", b.KilobytesPS, 0.1, 1e6},
		{"time.fill_s", f.Time.FillS, 1, maxTotalS},
		{"time.hold_s", f.Time.HoldS, 1, maxTotalS},
		{"time.drain_s", f.Time.DrainS, 1, maxTotalS},
	}
}

func (f *File) faultMistake() (wrongField, bool) {
	if len(f.Faults) > maxFaults {
		return wrongField{"fault", fmt.Sprintf("%d are more than %d", len(f.Faults), maxFaults)}, true
	}
	kinds := []string{FaultController, FaultRack, FaultZone, FaultRegions}
	for i, x := range f.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		switch {
		case !slices.Contains(kinds, x.Kind):
			return wrongField{at + "kind", fmt.Sprintf("want one of %v, got %q", kinds, x.Kind)}, true
		case x.Region < 0 || x.Region >= f.Target.Regions:
			return wrongField{at + "region", fmt.Sprintf("want 0 to %d, got %d", f.Target.Regions-1, x.Region)}, true
		case x.Kind == FaultRegions && f.Target.Regions < 2:
			return wrongField{at + "kind", "one region has none to be parted from"}, true
		case x.Kind == FaultRack && (x.Machines < 1 || x.Machines > maxWorkers):
			return wrongField{at + "machines", fmt.Sprintf("want 1 to %d, got %d", maxWorkers, x.Machines)}, true
		case !inside(x.ForS, 0.5, 600):
			return wrongField{at + "for_s", fmt.Sprintf("want 0.5 to 600, got %g", x.ForS)}, true
		case !inside(x.SettleS, 0, 600):
			return wrongField{at + "settle_s", fmt.Sprintf("want 0 to 600, got %g", x.SettleS)}, true
		}
	}
	return wrongField{}, false
}
