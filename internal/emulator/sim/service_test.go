package sim

import (
	"testing"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// service returns the spec of a service with replicas of the given CPU.
func service(replicas int, cpu float64, change func(*jobs.Spec)) *jobs.Spec {
	spec := &jobs.Spec{Class: "web", Team: "green", Service: true, Priority: jobs.Normal, Tasks: replicas,
		Demand: binpack.Vec{int64(cpu * 1000), 0, 4000}, AnyType: true, Image: "i"}
	if change != nil {
		change(spec)
	}
	return spec
}

// replicasPlaced returns the number of a job's tasks that are on machines.
func (w *World) replicasPlaced(job string) int {
	placed := 0
	for _, machine := range w.availableMachines() {
		for _, task := range machine.Tasks {
			if task.Job == job {
				placed++
			}
		}
	}
	return placed
}

// TestServiceReplicasAreProvisioned guards against replicas that wait for good without a machine. They have no
// run time, so no waiting work paid for a machine of theirs, unless other work waited or an owner remembered
// them. Every replica must get a place, whatever else runs.
func TestServiceReplicasAreProvisioned(t *testing.T) {
	t.Parallel()
	const patience = 150 * second // more than boots, a lease and strandedAfter
	big := func(s *jobs.Spec) { s.AnyType, s.Types = false, []string{"big"} }
	for name, test := range map[string]struct {
		services []*jobs.Spec
		crash    bool // all controllers crash and all machines stop
	}{
		"six replicas alone":                {services: []*jobs.Spec{service(6, 12, nil)}},
		"one service after the other":       {services: []*jobs.Spec{service(1, 12, nil), service(1, 12, nil), service(2, 12, nil)}},
		"a machine holds almost two":        {services: []*jobs.Spec{service(6, 8.4, big)}},
		"a machine holds exactly one":       {services: []*jobs.Spec{service(5, 16, nil)}},
		"of different sizes":                {services: []*jobs.Spec{service(3, 4, big), service(3, 13, big), service(2, 3, big)}},
		"of different sizes, the other way": {services: []*jobs.Spec{service(2, 3, big), service(3, 13, big), service(3, 4, big)}},
		"in one zone":                       {services: []*jobs.Spec{service(3, 12, func(s *jobs.Spec) { s.OneZone = true })}},
		"spread over zones":                 {services: []*jobs.Spec{service(4, 12, func(s *jobs.Spec) { s.Spread = true })}},
		"after a crash":                     {services: []*jobs.Spec{service(1, 12, nil), service(1, 12, nil), service(2, 12, nil)}, crash: true},
		"on spot machines, after a crash":   {services: []*jobs.Spec{service(6, 12, func(s *jobs.Spec) { s.Spot = true })}, crash: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newWorld(seed+1, 3, 0)
				var ids []string
				for i, spec := range test.services {
					ids = append(ids, w.submitJob(units.Microseconds(5+10*i)*units.Second, spec, 0, 0).ID)
				}
				deadline := 25*second + patience
				if test.crash {
					w.Run(deadline)
					for _, node := range w.Nodes {
						node.Crash()
					}
					for _, machine := range w.aliveMachines() {
						w.Site.Kill(w.now, machine)
					}
					deadline += patience
				}
				w.Run(deadline)
				for i, spec := range test.services {
					if got := w.replicasPlaced(ids[i]); got != spec.Tasks {
						t.Errorf("seed %d: %d of %d replicas of service %d are on machines (%d machines)", seed+1, got, spec.Tasks, i, len(w.aliveMachines()))
					}
				}
			}
		})
	}
}

// TestArrayGetsMachineBesideStayingWork guards against an array that waits for good, or for hours, for room on machines
// that other work does not leave: the plan counted on moving it.
func TestArrayGetsMachineBesideStayingWork(t *testing.T) {
	t.Parallel()
	const began, patience = 150 * second, 60 * second // by then no idle machine is left
	array := func(tasks int, cpu float64, change func(*jobs.Spec)) *jobs.Spec {
		return service(tasks, cpu, func(s *jobs.Spec) {
			s.Service, s.Class, s.Estimate = false, "batch", 5*second
			if change != nil {
				change(s)
			}
		})
	}
	long := func(tasks int, cpu float64) *jobs.Spec {
		return array(tasks, cpu, func(s *jobs.Spec) { s.Class, s.Estimate = "long", 3600*second })
	}
	for name, test := range map[string]struct {
		stays, waits *jobs.Spec
		cancelled    *jobs.Spec // shares the machines with stays until it is cancelled
	}{
		"beside replicas":                  {stays: service(4, 6, nil), waits: array(2, 12, nil), cancelled: service(4, 10, nil)},
		"beside long tasks":                {stays: long(4, 6), waits: array(2, 12, nil), cancelled: service(4, 10, nil)},
		"in the only zone that it allows":  {stays: service(3, 12, func(s *jobs.Spec) { s.Zone = "a" }), waits: array(2, 3, func(s *jobs.Spec) { s.Zone = "b" })},
		"beside spot work on its machines": {stays: service(4, 6, func(s *jobs.Spec) { s.Spot = true }), waits: array(2, 12, nil), cancelled: service(4, 10, nil)},
		"smaller tasks of its class fit":   {stays: service(4, 6, nil), waits: array(2, 12, nil), cancelled: array(4, 10, func(s *jobs.Spec) { s.Estimate = 20 * second })},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				w := newWorld(seed+1, 3, 0)
				if test.cancelled != nil {
					w.submitJob(second, test.cancelled, 40*second, 35*second)
				}
				w.submitJob(20*second, test.stays, 3600*second, 0)
				waits := w.submitJob(began, test.waits, 5*second, 0).ID
				w.Run(began + patience)
				if at := w.Check.FirstStart(waits); at == 0 {
					t.Errorf("seed %d: the array has not begun after %.0f s (%d machines)", seed+1, patience.Seconds(), len(w.aliveMachines()))
				}
			}
		})
	}
}
