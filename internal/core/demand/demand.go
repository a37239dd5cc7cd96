// Package demand estimates what the work at hand needs: how long its tasks run (Runtime), by when
// they should be done (TimeAllowed, Urgency, Slack), and so how many of them should run at once, by
// the pools of machines that they may use (SlotsNeeded). It owns what was learnt of run times, and
// decides nothing: the scheduler and the autoscaler do.
package demand

import (
	"math"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Estimator is what is known of a shard's work: its users' objectives and how long it really runs.
type Estimator struct {
	objectives         []Objective
	sequentialFraction float64
	runtimes           map[string]*runtimeRatio // by class
}

// New returns an estimator that has learnt nothing. sequentialFraction is the fraction of a job's
// time that scaling out counts on for tasks one after the other.
func New(objectives []Objective, sequentialFraction float64) *Estimator {
	return &Estimator{objectives: objectives, sequentialFraction: sequentialFraction, runtimes: map[string]*runtimeRatio{}}
}

// SetObjectives replaces the users' objectives.
func (e *Estimator) SetObjectives(objectives []Objective) { e.objectives = objectives }

// runtimeRatio learns how long tasks of a class really run, as a ratio to what their owners estimate
// ("earlier runs of the same or similar jobs", the paper's 3.3.1).
type runtimeRatio struct {
	mean  float64
	tasks int
}

const (
	// ratioMemory is how many tasks the mean looks back on.
	ratioMemory = 50
	// ratioMinTasks is how many tasks must have run before the mean is gone by.
	ratioMinTasks = 5
	// maxRatio bounds what a single task that hung adds.
	maxRatio = 10
)

func (r *runtimeRatio) add(ratio float64) {
	r.tasks++
	r.mean += (ratio - r.mean) / float64(min(r.tasks, ratioMemory))
}

// ObserveRuntime takes in how long a task ran.
func (e *Estimator) ObserveRuntime(spec *jobs.Spec, took units.Microseconds) {
	if spec.Service || spec.Estimate <= 0 || took <= 0 {
		return
	}
	ratio := e.runtimes[spec.Class]
	if ratio == nil {
		ratio = &runtimeRatio{}
		e.runtimes[spec.Class] = ratio
	}
	ratio.add(math.Min(float64(took)/float64(spec.Estimate), maxRatio))
}

// Runtime is how long a task of a job is expected to run: the owner's estimate, corrected by what the
// class has shown once a few tasks are through.
func (e *Estimator) Runtime(spec *jobs.Spec) units.Microseconds {
	if ratio := e.runtimes[spec.Class]; ratio != nil && ratio.tasks >= ratioMinTasks {
		return units.Microseconds(float64(spec.Estimate) * ratio.mean)
	}
	return spec.Estimate
}
