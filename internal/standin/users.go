package standin

import (
	"fmt"
	"net/http"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
)

// users submit, poll and cancel jobs, and remember what they were told.
type users struct {
	w    *World
	jobs map[string]*job
	ids  []string
}

type job struct {
	id        string
	spec      *ledger.Spec
	length    unit.Micros
	broken    bool         // submitted with a mistake: fails on every machine
	done      map[int]bool // truth: completed on some machine
	needs     []*job       // that it awaits
	accepted  bool
	final     ledger.Status // as told
	wantsOff  bool
	toldOffAt unit.Micros
}

func newUsers(w *World) *users {
	u := &users{w: w, jobs: map[string]*job{}}
	w.after(100*millis, u.check)
	return u
}

// Submit plans a job's submission and all that follows.
func (w *World) Submit(at unit.Micros, spec *ledger.Spec, length, cancelAfter unit.Micros, needs ...*job) *job {
	u := w.users
	j := &job{id: fmt.Sprintf("wk-%06d", len(u.ids)), spec: spec, length: length, done: map[int]bool{}}
	u.ids = append(u.ids, j.id)
	j.needs = needs
	w.after(at-w.now, func() {
		u.jobs[j.id] = j
		u.submitAfter(j)
		if cancelAfter > 0 {
			w.after(cancelAfter, func() { j.wantsOff = true; u.abort(j) })
		}
	})
	return j
}

// submitAfter submits a job as soon as those that it awaits are accepted.
func (u *users) submitAfter(j *job) {
	for _, a := range j.needs {
		if !a.accepted {
			u.w.after(20*millis, func() { u.submitAfter(j) })
			return
		}
	}
	j.spec.Awaits = nil
	for _, a := range j.needs {
		j.spec.Awaits = append(j.spec.Awaits, a.id)
	}
	u.submit(j)
}

// isDone reports whether all tasks of a job have completed.
func (j *job) isDone() bool { return len(j.done) == j.spec.Tasks }

// offAt is when a user was told that a job is cancelled, or one that it needs,
// directly or through others; wanted is whether any of their users asked for it.
func (j *job) offAt() (at unit.Micros, wanted bool) {
	at, wanted = j.toldOffAt, j.wantsOff
	for _, a := range j.needs {
		t, off := a.offAt()
		wanted = wanted || off
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at, wanted
}

// pick is the load balancer.
func (u *users) pick() *node {
	n := u.w.nodes[u.w.rng.IntN(len(u.w.nodes))]
	if !n.ready() {
		return nil
	}
	return n
}

// call sends a request to some node. Exactly one of done and failed is called:
// failed when no node is ready or no answer comes in time.
func (u *users) call(wait unit.Micros, send func(n *node, req core.ReqID), done func(n *node, r core.Reply), failed func()) {
	n := u.pick()
	if n == nil {
		failed()
		return
	}
	answered := false
	u.w.after(wait, func() {
		if !answered {
			answered = true
			failed()
		}
	})
	n.ask(func(req core.ReqID) { send(n, req) }, func(r core.Reply) {
		if !answered {
			answered = true
			done(n, r)
		}
	})
}

func (u *users) submit(j *job) {
	again := func() { u.w.after(u.w.span(1, 2), func() { u.submit(j) }) }
	u.call(5*second, func(n *node, req core.ReqID) { n.core.Submit(n.local(), req, j.id, j.spec, "") }, func(_ *node, r core.Reply) {
		switch {
		case retriable(r.Code):
			again()
		case r.Code == http.StatusCreated || r.Code == http.StatusOK:
			first := !j.accepted
			j.accepted = true
			u.heard(j, r)
			if first {
				u.w.after(u.w.span(2, 5), func() { u.poll(j) })
			}
			if u.w.chance(0.3) { // a retry that comes late, with any body
				u.w.after(u.w.span(1, 80), func() { u.submit(j) })
			}
		default:
			u.w.violate("forgotten", "%s refused with %d", j.id, r.Code)
		}
	}, again)
}

func (u *users) poll(j *job) {
	next := func() { u.w.after(u.w.span(3, 6), func() { u.poll(j) }) }
	u.call(2*second, func(n *node, req core.ReqID) { n.core.Query(n.local(), req, j.id) }, func(n *node, r core.Reply) {
		switch r.Code {
		case http.StatusOK:
			u.heard(j, r)
		case http.StatusNotFound:
			u.w.violate("forgotten", "%s is unknown to %s", j.id, n.name)
		}
		next()
	}, next)
}

func (u *users) abort(j *job) {
	again := func() { u.w.after(u.w.span(1, 2), func() { u.abort(j) }) }
	u.call(5*second, func(n *node, req core.ReqID) { n.core.Abort(n.local(), req, j.id) }, func(_ *node, r core.Reply) {
		if r.Code != http.StatusOK {
			again() // not accepted yet, or not served
			return
		}
		u.heard(j, r)
	}, again)
}

// heard checks an answer against what was told before and against the truth.
func (u *users) heard(j *job, r core.Reply) {
	a := r.Body.(core.JobAnswer)
	if j.final != "" && a.Status != j.final {
		u.w.violate("went_back", "%s was told %s, now %s", j.id, j.final, a.Status)
	}
	off, wanted := j.offAt()
	switch a.Status {
	case ledger.Pending, ledger.Running:
		if off > 0 && u.w.now > off+cancelIn {
			u.w.violate("orphaned", "%s is called %s, and what it needs was cancelled at %.1f", j.id, a.Status, off.Seconds())
		}
	case ledger.Done:
		j.final = a.Status
		if !j.isDone() {
			u.w.violate("not_done", "%s with %d of %d tasks", j.id, len(j.done), j.spec.Tasks)
		}
	case ledger.Cancelled:
		if !wanted {
			u.w.violate("went_back", "%s cancelled by nobody", j.id)
		}
		if j.final == "" && j.wantsOff {
			j.toldOffAt = u.w.now
		}
		j.final = a.Status
	}
}

// onMachine checks the rules when a task is on its machine with its image.
func (u *users) onMachine(k *worker, id ledger.TaskID) {
	w := u.w
	w.Starts++
	j := u.jobs[id.Job]
	s := j.spec
	for _, a := range j.needs {
		if !a.isDone() {
			w.violate("too_early", "%s before %s is done", id, a.id)
		}
	}
	if !s.Allows(k.pool.Type, k.pool.Zone, k.pool.Spot) {
		w.violate("wrong_place", "%s on %+v", id, k.pool)
	}
	use := map[string]pack.Vec{}
	zones := map[string]int{}
	for _, name := range w.order {
		o := w.workers[name]
		for oid, t := range o.tasks {
			if t.state != fleet.Running {
				continue
			}
			if oid == id && o != k {
				w.violate("ran_twice", "%s on %s and %s", id, o.name, k.name)
			}
			oj := u.jobs[oid.Job]
			use[oj.spec.Team] = use[oj.spec.Team].Add(oj.spec.Demand)
			if oid.Job == id.Job {
				zones[o.pool.Zone]++
			}
		}
	}
	for _, t := range teams {
		for r, lim := range t.Limit {
			if lim > 0 && use[t.Name][r] > lim {
				w.violate("quota", "team %s uses %v of %v", t.Name, use[t.Name], t.Limit)
			}
		}
	}
	if s.OneZone && len(zones) > 1 || s.Spread && zones[k.pool.Zone] > (s.Tasks+1)/2 {
		w.violate("wrong_place", "%s: zones %v", id, zones)
	}
}

// check looks for work of cancelled jobs.
func (u *users) check() {
	w := u.w
	for _, name := range w.order {
		for id, t := range w.workers[name].tasks {
			j := u.jobs[id.Job]
			if t.state == fleet.Running && j != nil && j.toldOffAt > 0 && w.now > j.toldOffAt+cancelIn {
				w.violate("ran_cancelled", "%s on %s", id, name)
				j.toldOffAt = 0
			}
		}
	}
	w.after(500*millis, u.check)
}

// Unfinished returns the jobs that should be over by now and are not.
func (w *World) Unfinished() []string {
	var out []string
	for _, id := range w.users.ids {
		if j := w.users.jobs[id]; j == nil || j.final == "" {
			out = append(out, id)
		}
	}
	return out
}

// Explain says what every controller knows of a job.
func (w *World) Explain(id string) string {
	out := ""
	for _, n := range w.nodes {
		out += fmt.Sprintf("%s (alive %v): %s\n", n.name, n.life != 0, n.core.Explain(id))
	}
	if j := w.users.jobs[id]; j != nil {
		out += fmt.Sprintf("truth: done %d of %d, accepted %v, told %q, spec %+v\n", len(j.done), j.spec.Tasks, j.accepted, j.final, *j.spec)
	}
	return out
}
