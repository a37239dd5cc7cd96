package jobs

import "shalestage.example/shalestage/internal/core/units"

// Objectives are what of time and priority is asked of a job: by its own user, and by
// those of the jobs that need it.
type Objectives struct {
	Priority Priority
	Due      units.Microseconds // time of day by which it should be done; Never: none
	LastDue  units.Microseconds // and by which it is still of some use
}

// Tighten takes in what another asks for.
func (a *Objectives) Tighten(b Objectives) {
	a.Priority = max(a.Priority, b.Priority)
	a.Due, a.LastDue = min(a.Due, b.Due), min(a.LastDue, b.LastDue)
}

// Before returns the aims of what must be done some time before.
func (a Objectives) Before(t units.Microseconds) Objectives {
	for _, d := range []*units.Microseconds{&a.Due, &a.LastDue} {
		if *d != units.Never {
			*d -= t
		}
	}
	return a
}

// DependencyGraph keeps which unfinished jobs wait for which. Only what is stored passes
// along it: a job is released by the stored ends of those that it awaits, and
// cancelled by the stored cancellation of any, however far before it.
//
// A job that waits has never been started: what cancels it from afar stops
// nothing.
type DependencyGraph struct {
	after map[string][]*Job // jobs that await the named one
	named map[string]int    // unfinished jobs whose descriptions name it, done or not
}

// Link takes in an unfinished job that was just learnt. The jobs that it awaits
// may be known or, while a listing is taken in, not yet. It returns the name of
// an awaited one that is cancelled, if any is.
func (g *DependencyGraph) Link(j *Job, jobs map[string]*Job, now units.Microseconds) (cancelled string) {
	j.Since = j.Record.Submitted
	j.awaits = j.Spec().Awaits
	if g.named == nil {
		g.named = map[string]int{}
	}
	for _, id := range j.awaits {
		g.named[id]++
		switch a := jobs[id]; {
		case a == nil || a.Active():
			if g.after == nil {
				g.after = map[string][]*Job{}
			}
			j.OpenDependencies++
			g.after[id] = append(g.after[id], j)
		case a.Record.Status == Cancelled:
			cancelled = id
		default:
			j.startsAfter(a, now)
		}
	}
	return cancelled
}

func (j *Job) startsAfter(a *Job, now units.Microseconds) {
	ended := a.Record.FinishedAt
	if ended == 0 {
		ended = now // stored by a release that noted no time
	}
	j.Since = max(j.Since, ended)
}

// Cancel makes a job final that needs a cancelled one.
func (j *Job) Cancel(through string) {
	s := j.Spec()
	j.CancelledBy, j.OpenDependencies = through, 0
	j.Settle(Record{Status: Cancelled, Shard: j.Record.Shard, Tasks: j.Record.Tasks, Team: s.Team, Demand: s.Demand}, j.Version)
}

// JobOver takes in that a job is final. It returns the jobs that may start now, and
// those that are cancelled with it.
func (g *DependencyGraph) JobOver(j *Job, now units.Microseconds) (ready, cancelled []*Job) {
	for queue := []*Job{j}; len(queue) > 0; queue = queue[1:] {
		o := queue[0]
		g.unname(o)
		for _, d := range g.after[o.ID] {
			switch {
			case !d.Active():
			case o.Record.Status == Cancelled:
				d.Cancel(o.ID)
				cancelled = append(cancelled, d)
				queue = append(queue, d)
			default:
				d.OpenDependencies--
				d.startsAfter(o, now)
				if d.OpenDependencies == 0 {
					ready = append(ready, d)
				}
			}
		}
		delete(g.after, o.ID)
	}
	return ready, cancelled
}

// Propagate lets aims pass back along the graph: what a job that waits asks for, it
// asks of those that it awaits, less the time that it takes itself. own is what a
// job's user asks for. Every job is looked at after all that need it.
func (g *DependencyGraph) Propagate(jobs map[string]*Job, own func(*Job) Objectives, takes func(*Job) units.Microseconds) {
	left := make(map[*Job]int, len(g.after)) // jobs that need it and were not looked at
	var queue []*Job
	for id, after := range g.after {
		waits := after[:0]
		for _, d := range after {
			if d.Active() {
				waits = append(waits, d)
			}
		}
		clear(after[len(waits):])
		if g.after[id] = waits; len(waits) == 0 {
			delete(g.after, id)
		}
		if a := jobs[id]; a != nil && a.Active() {
			a.Objectives = own(a)
			left[a] = len(waits)
			if len(waits) == 0 {
				queue = append(queue, a)
			}
		}
		for _, d := range waits {
			if len(g.after[d.ID]) == 0 {
				if _, seen := left[d]; !seen {
					d.Objectives = own(d)
					left[d] = 0
					queue = append(queue, d)
				}
			}
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		d := queue[0]
		if d.OpenDependencies == 0 {
			continue
		}
		aims := d.Objectives.Before(takes(d))
		for _, id := range d.Spec().Awaits {
			a := jobs[id]
			if a == nil || !a.Active() {
				continue
			}
			a.Objectives.Tighten(aims)
			if left[a]--; left[a] == 0 {
				queue = append(queue, a)
			}
		}
	}
}

// Named reports whether any unfinished job's description names the job: whoever
// learns that description has to learn how the job ended.
func (g *DependencyGraph) Named(id string) bool { return g.named[id] > 0 }

// unname notes that a job is over: nobody asks any more what it awaited.
func (g *DependencyGraph) unname(j *Job) {
	for _, id := range j.awaits {
		if g.named[id]--; g.named[id] <= 0 {
			delete(g.named, id)
		}
	}
	j.awaits = nil
}

// Awaited reports whether any job waits for the named one.
func (g *DependencyGraph) Awaited(id string) bool { return len(g.after[id]) > 0 }

// Waiting returns how many jobs wait for others.
func (g *DependencyGraph) Waiting() int {
	seen := map[*Job]bool{}
	for _, after := range g.after {
		for _, d := range after {
			if d.Active() {
				seen[d] = true
			}
		}
	}
	return len(seen)
}
