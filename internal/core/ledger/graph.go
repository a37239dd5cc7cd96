package ledger

import "shalestage.example/shalestage/internal/core/unit"

// Aims are what of time and priority is asked of a job: by its own user, and by
// those of the jobs that need it.
type Aims struct {
	Priority Priority
	Due      unit.Micros // time of day by which it should be done; Never: none
	LastDue  unit.Micros // and by which it is still of some use
}

// Tighten takes in what another asks for.
func (a *Aims) Tighten(b Aims) {
	a.Priority = max(a.Priority, b.Priority)
	a.Due, a.LastDue = min(a.Due, b.Due), min(a.LastDue, b.LastDue)
}

// Before returns the aims of what must be done some time before.
func (a Aims) Before(t unit.Micros) Aims {
	for _, d := range []*unit.Micros{&a.Due, &a.LastDue} {
		if *d != unit.Never {
			*d -= t
		}
	}
	return a
}

// Graph keeps which unfinished jobs wait for which. Only what is stored passes
// along it: a job is released by the stored ends of those that it awaits, and
// cancelled by the stored cancellation of any, however far before it.
//
// A job that waits has never been started: what cancels it from afar stops
// nothing.
type Graph struct {
	after map[string][]*Job // jobs that await the named one
	named map[string]int    // unfinished jobs whose descriptions name it, done or not
}

// Link takes in an unfinished job that was just learnt. The jobs that it awaits
// may be known or, while a listing is taken in, not yet. It returns the name of
// an awaited one that is cancelled, if any is.
func (g *Graph) Link(j *Job, jobs map[string]*Job, now unit.Micros) (cancelled string) {
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
			j.Awaiting++
			g.after[id] = append(g.after[id], j)
		case a.Record.Status == Cancelled:
			cancelled = id
		default:
			j.startsAfter(a, now)
		}
	}
	return cancelled
}

func (j *Job) startsAfter(a *Job, now unit.Micros) {
	ended := a.Record.Ended
	if ended == 0 {
		ended = now // stored by a release that noted no time
	}
	j.Since = max(j.Since, ended)
}

// Cancel makes a job final that needs a cancelled one.
func (j *Job) Cancel(through string) {
	s := j.Spec()
	j.Through, j.Awaiting = through, 0
	j.Settle(Record{Status: Cancelled, Block: j.Record.Block, Tasks: j.Record.Tasks, Team: s.Team, Demand: s.Demand}, j.Stamp)
}

// Over takes in that a job is final. It returns the jobs that may start now, and
// those that are cancelled with it.
func (g *Graph) Over(j *Job, now unit.Micros) (ready, cancelled []*Job) {
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
				d.Awaiting--
				d.startsAfter(o, now)
				if d.Awaiting == 0 {
					ready = append(ready, d)
				}
			}
		}
		delete(g.after, o.ID)
	}
	return ready, cancelled
}

// Flow lets aims pass back along the graph: what a job that waits asks for, it
// asks of those that it awaits, less the time that it takes itself. own is what a
// job's user asks for. Every job is looked at after all that need it.
func (g *Graph) Flow(jobs map[string]*Job, own func(*Job) Aims, takes func(*Job) unit.Micros) {
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
			a.Aims = own(a)
			left[a] = len(waits)
			if len(waits) == 0 {
				queue = append(queue, a)
			}
		}
		for _, d := range waits {
			if len(g.after[d.ID]) == 0 {
				if _, seen := left[d]; !seen {
					d.Aims = own(d)
					left[d] = 0
					queue = append(queue, d)
				}
			}
		}
	}
	for ; len(queue) > 0; queue = queue[1:] {
		d := queue[0]
		if d.Awaiting == 0 {
			continue
		}
		aims := d.Aims.Before(takes(d))
		for _, id := range d.Spec().Awaits {
			a := jobs[id]
			if a == nil || !a.Active() {
				continue
			}
			a.Aims.Tighten(aims)
			if left[a]--; left[a] == 0 {
				queue = append(queue, a)
			}
		}
	}
}

// Named reports whether any unfinished job's description names the job: whoever
// learns that description has to learn how the job ended.
func (g *Graph) Named(id string) bool { return g.named[id] > 0 }

// unname notes that a job is over: nobody asks any more what it awaited.
func (g *Graph) unname(j *Job) {
	for _, id := range j.awaits {
		if g.named[id]--; g.named[id] <= 0 {
			delete(g.named, id)
		}
	}
	j.awaits = nil
}

// Awaited reports whether any job waits for the named one.
func (g *Graph) Awaited(id string) bool { return len(g.after[id]) > 0 }

// Waiting returns how many jobs wait for others.
func (g *Graph) Waiting() int {
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
