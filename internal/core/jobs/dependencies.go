package jobs

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Objectives are what of time and priority is asked of a job: by its own user, and by
// those of the jobs that depend on it.
type Objectives struct {
	Priority Priority
	Due      units.Microseconds // time of day by which it should be done; MaxTime: none
	LastDue  units.Microseconds // and by which it is still of some use
}

// Tighten takes in what another asks for.
func (o *Objectives) Tighten(other Objectives) {
	o.Priority = max(o.Priority, other.Priority)
	o.Due, o.LastDue = min(o.Due, other.Due), min(o.LastDue, other.LastDue)
}

// Before returns the objectives of what must be done some time before.
func (o Objectives) Before(t units.Microseconds) Objectives {
	for _, d := range []*units.Microseconds{&o.Due, &o.LastDue} {
		if *d != units.MaxTime {
			*d -= t
		}
	}
	return o
}

// DependencyGraph keeps which unfinished jobs wait for which. Only what is stored passes
// along it: a job is released by the stored ends of those that it depends on, and
// cancelled by the stored cancellation of any, however far before it.
//
// A job that waits has never been started: what cancels it from afar stops
// nothing.
type DependencyGraph struct {
	dependents map[string][]*Job // jobs that wait for the named one
	references map[string]int    // unfinished jobs whose descriptions name it, done or not
}

// Link takes in an unfinished job that was just learnt. The jobs that it depends on
// may be known or, while a listing is taken in, not yet. It returns the name of
// a cancelled one among them, if there is any.
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
			job.startAfter(dependency, now)
		}
	}
	return cancelled
}

// startAfter lets the job's times count from the end of one that it depends on.
func (j *Job) startAfter(dependency *Job, now units.Microseconds) {
	finishedAt := dependency.Record.FinishedAt
	if finishedAt == 0 {
		finishedAt = now // stored by a release that noted no time
	}
	j.Since = max(j.Since, finishedAt)
}

// JobOver takes in that a job is final. It returns the jobs that may start now, and
// those that are cancelled with it.
func (g *DependencyGraph) JobOver(job *Job, now units.Microseconds) (ready, cancelled []*Job) {
	for queue := []*Job{job}; len(queue) > 0; queue = queue[1:] {
		over := queue[0]
		g.dropReferences(over)
		for _, dependent := range g.dependents[over.ID] {
			switch {
			case !dependent.Active():
			case over.Record.Status == Cancelled:
				dependent.Cancel(over.ID)
				cancelled = append(cancelled, dependent)
				queue = append(queue, dependent)
			default:
				dependent.OpenDependencies--
				dependent.startAfter(over, now)
				if dependent.OpenDependencies == 0 {
					ready = append(ready, dependent)
				}
			}
		}
		delete(g.dependents, over.ID)
	}
	return ready, cancelled
}

// Propagate lets objectives pass back along the graph: what a job that waits asks for, it
// asks of those that it depends on, less the time that it takes itself. own is what a
// job's user asks for. Every job comes after all that depend on it.
func (g *DependencyGraph) Propagate(jobs map[string]*Job, own func(*Job) Objectives, takes func(*Job) units.Microseconds) {
	g.dropFinal()
	pending, queue := g.beginPropagation(jobs, own)
	for ; len(queue) > 0; queue = queue[1:] {
		job := queue[0]
		if job.OpenDependencies == 0 {
			continue
		}
		asked := job.Objectives.Before(takes(job))
		for _, id := range job.Spec().Awaits {
			dependency := jobs[id]
			if dependency == nil || !dependency.Active() {
				continue
			}
			dependency.Objectives.Tighten(asked)
			if pending[dependency]--; pending[dependency] == 0 {
				queue = append(queue, dependency)
			}
		}
	}
}

// dropFinal drops dependents that are over.
func (g *DependencyGraph) dropFinal() {
	for id, dependents := range g.dependents {
		g.dependents[id] = slices.DeleteFunc(dependents, func(job *Job) bool { return !job.Active() })
	}
}

// beginPropagation sets the objectives of all jobs that wait or are waited for to their own. It
// returns how many dependents are to come before each, and those that none does.
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
		if len(dependents) == 0 { // the last is over, and what it asked for counts no more
			delete(g.dependents, id)
		}
	}
	return pending, queue
}

// Referenced reports whether any unfinished job's description names the job: whoever
// learns that description has to learn how the job ended.
func (g *DependencyGraph) Referenced(id string) bool { return g.references[id] > 0 }

// dropReferences notes that a job is over: how its dependencies ended is of no more use.
func (g *DependencyGraph) dropReferences(j *Job) {
	for _, id := range j.dependencies {
		if g.references[id]--; g.references[id] <= 0 {
			delete(g.references, id)
		}
	}
	j.dependencies = nil
}

// HasDependents reports whether any job waits for the named one.
func (g *DependencyGraph) HasDependents(id string) bool { return len(g.dependents[id]) > 0 }

// BlockedLen returns how many jobs wait for others.
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
