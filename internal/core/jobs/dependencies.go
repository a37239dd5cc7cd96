package jobs

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Objectives are the priority and the due times of a job. They combine what
// its own user asked for with what the jobs that depend on it need.
type Objectives struct {
	Priority Priority
	Due      units.Microseconds // time of day by which the job should be done; units.MaxTime: none
	LastDue  units.Microseconds // time of day after which its result is of no use; units.MaxTime: none
}

// Tighten merges other into o: the higher priority and the earlier times.
func (o *Objectives) Tighten(other Objectives) {
	o.Priority = max(o.Priority, other.Priority)
	o.Due, o.LastDue = min(o.Due, other.Due), min(o.LastDue, other.LastDue)
}

// Before returns the objectives with their times moved earlier by t.
func (o Objectives) Before(t units.Microseconds) Objectives {
	for _, d := range []*units.Microseconds{&o.Due, &o.LastDue} {
		if *d != units.MaxTime {
			*d -= t
		}
	}
	return o
}

// DependencyGraph tracks which unfinished jobs wait for which others. Only stored states
// propagate along it: a job becomes ready once all its dependencies are stored as done, and is
// cancelled once the cancellation of any direct or indirect dependency is stored.
//
// A job that waits has never been started, so its cancellation through a dependency stops no tasks.
type DependencyGraph struct {
	dependents map[string][]*Job // jobs that wait for the job with this ID
	references map[string]int    // by ID of a job, final or not: number of unfinished jobs whose spec names it
}

// Link adds a newly observed unfinished job. Its dependencies may not be known yet while the watch cache is
// being listed. Link returns the ID of a cancelled dependency, or "" if there is none.
func (g *DependencyGraph) Link(job *Job, jobs map[string]*Job, now units.Microseconds) (cancelled string) {
	job.Since = job.Record.Submitted
	job.dependencies = job.Spec().Awaits
	if g.references == nil {
		g.references = map[string]int{}
	}
	for _, id := range job.dependencies {
		g.references[id]++
		switch dependency := jobs[id]; {
		case dependency == nil || dependency.Active():
			if g.dependents == nil {
				g.dependents = map[string][]*Job{}
			}
			job.OpenDependencies++
			g.dependents[id] = append(g.dependents[id], job)
		case dependency.Record.Status == Cancelled:
			cancelled = id
		default:
			job.advanceSince(dependency, now)
		}
	}
	return cancelled
}

// advanceSince lets the job's waiting and turnaround times count from the end of a dependency, if that is later.
func (j *Job) advanceSince(dependency *Job, now units.Microseconds) {
	finishedAt := dependency.Record.FinishedAt
	if finishedAt == 0 {
		finishedAt = now // stored by a release that did not record the time
	}
	j.Since = max(j.Since, finishedAt)
}

// JobFinalized updates the graph for a job that has become final. It returns the
// jobs that may start now, and those that are cancelled because of it.
func (g *DependencyGraph) JobFinalized(job *Job, now units.Microseconds) (ready, cancelled []*Job) {
	for queue := []*Job{job}; len(queue) > 0; queue = queue[1:] {
		final := queue[0]
		g.dropReferences(final)
		for _, dependent := range g.dependents[final.ID] {
			switch {
			case !dependent.Active():
			case final.Record.Status == Cancelled:
				dependent.Cancel(final.ID)
				cancelled = append(cancelled, dependent)
				queue = append(queue, dependent)
			default:
				dependent.OpenDependencies--
				dependent.advanceSince(final, now)
				if dependent.OpenDependencies == 0 {
					ready = append(ready, dependent)
				}
			}
		}
		delete(g.dependents, final.ID)
	}
	return ready, cancelled
}

// Propagate passes objectives backwards along the graph: what a waiting job needs is also needed of its
// dependencies, earlier by the time that the job itself takes. own returns the objectives that a job's user
// asked for, duration the expected duration of a job. A job is visited after all jobs that depend on it.
func (g *DependencyGraph) Propagate(jobs map[string]*Job, own func(*Job) Objectives, duration func(*Job) units.Microseconds) {
	g.dropFinal()
	pending, queue := g.beginPropagation(jobs, own)
	for ; len(queue) > 0; queue = queue[1:] {
		job := queue[0]
		if job.OpenDependencies == 0 {
			continue
		}
		needed := job.Objectives.Before(duration(job))
		for _, id := range job.Spec().Awaits {
			dependency := jobs[id]
			if dependency == nil || !dependency.Active() {
				continue
			}
			dependency.Objectives.Tighten(needed)
			if pending[dependency]--; pending[dependency] == 0 {
				queue = append(queue, dependency)
			}
		}
	}
}

// dropFinal removes dependents that are final.
func (g *DependencyGraph) dropFinal() {
	for id, dependents := range g.dependents {
		g.dependents[id] = slices.DeleteFunc(dependents, func(job *Job) bool { return !job.Active() })
	}
}

// beginPropagation resets the objectives of all jobs that wait or have dependents to their own. It returns
// how many dependents have to be visited before each job, and the jobs that have none.
func (g *DependencyGraph) beginPropagation(jobs map[string]*Job, own func(*Job) Objectives) (pending map[*Job]int, queue []*Job) {
	pending = make(map[*Job]int, len(g.dependents))
	begin := func(job *Job) {
		if _, seen := pending[job]; seen {
			return
		}
		job.Objectives = own(job)
		pending[job] = len(g.dependents[job.ID])
		if pending[job] == 0 {
			queue = append(queue, job)
		}
	}
	for id, dependents := range g.dependents {
		if dependency := jobs[id]; dependency != nil && dependency.Active() {
			begin(dependency)
		}
		for _, job := range dependents {
			begin(job)
		}
		if len(dependents) == 0 { // its last dependent is final, so their objectives no longer count
			delete(g.dependents, id)
		}
	}
	return pending, queue
}

// Referenced reports whether the spec of any unfinished job names the job. Whoever reads that
// spec from the state service must also be able to read how the named job ended.
func (g *DependencyGraph) Referenced(id string) bool { return g.references[id] > 0 }

// dropReferences removes a final job's references: how its dependencies ended is no longer needed.
func (g *DependencyGraph) dropReferences(j *Job) {
	for _, id := range j.dependencies {
		if g.references[id]--; g.references[id] <= 0 {
			delete(g.references, id)
		}
	}
	j.dependencies = nil
}

// HasDependents reports whether any job waits for the job with this ID.
func (g *DependencyGraph) HasDependents(id string) bool { return len(g.dependents[id]) > 0 }

// BlockedLen returns the number of jobs that wait for dependencies.
func (g *DependencyGraph) BlockedLen() int {
	seen := map[*Job]bool{}
	for _, dependents := range g.dependents {
		for _, dependent := range dependents {
			if dependent.Active() {
				seen[dependent] = true
			}
		}
	}
	return len(seen)
}
