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
