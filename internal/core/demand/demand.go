// Package demand estimates what the current work needs: the run time of its tasks (Runtime), the
// time by which they should be done (TimeRemaining, Urgency, Slack), and from these the number of
// tasks that should run at once, by the machine pools that they may use (SlotsNeeded). It owns
// the run times observed so far. It makes no decisions; the scheduler and the autoscaler do.
package demand

import (
	"math"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Estimator holds the objectives of a shard's work and the observed run times.
type Estimator struct {
	objectives         []Objective
	sequentialFraction float64
	ratios             map[string]*runtimeRatio // by class of jobs
}

// New returns an estimator without observations. sequentialFraction is the fraction of a job's
// remaining time that scaling out plans to use for running its tasks one after the other.
func New(objectives []Objective, sequentialFraction float64) *Estimator {
	return &Estimator{objectives: objectives, sequentialFraction: sequentialFraction, ratios: map[string]*runtimeRatio{}}
}

// SetObjectives replaces the users' objectives.
func (e *Estimator) SetObjectives(objectives []Objective) { e.objectives = objectives }

// runtimeRatio is the mean ratio of the observed run times of a class's tasks to their owners'
// estimates ("earlier runs of the same or similar jobs", section 3.3.1 of the Tetris paper).
type runtimeRatio struct {
	mean    float64
	samples int
}

const (
	// ratioWindow is the approximate number of recent tasks that determine the mean.
	ratioWindow = 50
	// minRatioSamples is the number of tasks that must have run before the mean is used.
	minRatioSamples = 5
	// maxRatio bounds the effect of a single task that hung.
	maxRatio = 10
)

func (r *runtimeRatio) add(ratio float64) {
	r.samples++
	r.mean += (ratio - r.mean) / float64(min(r.samples, ratioWindow))
}

// ObserveRuntime records how long a task ran. Services and tasks without an estimate are ignored.
func (e *Estimator) ObserveRuntime(spec *jobs.Spec, elapsed units.Microseconds) {
	if spec.Service || spec.Estimate <= 0 || elapsed <= 0 {
		return
	}
	ratio := e.ratios[spec.Class]
	if ratio == nil {
		ratio = &runtimeRatio{}
		e.ratios[spec.Class] = ratio
	}
	ratio.add(math.Min(float64(elapsed)/float64(spec.Estimate), maxRatio))
}

// TimeToComplete returns the expected time until a task that has run for the given time completes. One that has outrun
// its expected run time is expected to run as long again as it has run beyond it. It is not meant for services.
func (e *Estimator) TimeToComplete(spec *jobs.Spec, ran units.Microseconds) units.Microseconds {
	remaining := e.Runtime(spec) - ran
	return max(remaining, -remaining)
}

// Runtime returns the expected run time of a job's task: the owner's estimate,
// corrected by the observations of its class once there are minRatioSamples of them.
func (e *Estimator) Runtime(spec *jobs.Spec) units.Microseconds {
	if ratio := e.ratios[spec.Class]; ratio != nil && ratio.samples >= minRatioSamples {
		return units.Microseconds(float64(spec.Estimate) * ratio.mean)
	}
	return spec.Estimate
}
