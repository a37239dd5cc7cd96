package registry

import (
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// propagateInterval is the minimum time between two propagations of objectives along the dependencies.
const propagateInterval = units.Second / 2

// PropagationDue reports whether it is time to call PropagateObjectives.
func (r *Registry) PropagationDue() bool { return r.host.Now() >= r.nextPropagationAt }

// PropagateObjectives propagates deadlines and priorities from waiting jobs to their
// dependencies. stepTime returns how long a job is expected to take once it may start.
func (r *Registry) PropagateObjectives(stepTime func(*jobs.Job) units.Microseconds) {
	r.nextPropagationAt = r.host.Now() + propagateInterval
	r.dependencies.Propagate(r.all, r.ownObjectives, stepTime)
}

// ownObjectives returns what a job's own user asked for.
func (r *Registry) ownObjectives(job *jobs.Job) jobs.Objectives {
	spec := job.Spec()
	own := jobs.Objectives{Priority: spec.Priority, Due: units.MaxTime, LastDue: units.MaxTime}
	if spec.Deadline <= 0 {
		return own
	}
	own.Due = job.Record.Submitted + spec.Deadline
	own.LastDue = own.Due
	for _, o := range r.host.Objectives() {
		if o.Class == spec.Class && o.Kind == demand.KeepDeadline {
			own.LastDue = max(own.LastDue, job.Record.Submitted+units.Microseconds(float64(spec.Deadline)*o.Times))
		}
	}
	return own
}
