package registry

import (
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// propagateEvery is how often objectives pass along the dependencies.
const propagateEvery = units.Second / 2

// PropagationDue reports whether it is time for PropagateObjectives.
func (r *Registry) PropagationDue() bool { return r.host.Now() >= r.propagateAt }

// PropagateObjectives lets deadlines and priorities pass back from jobs that wait to those that they
// depend on. stepTime is how long a job is expected to take once it may start.
func (r *Registry) PropagateObjectives(stepTime func(*jobs.Job) units.Microseconds) {
	r.propagateAt = r.host.Now() + propagateEvery
	r.dependencies.Propagate(r.all, r.ownObjectives, stepTime)
}

// ownObjectives is what a job's own user asks for.
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
