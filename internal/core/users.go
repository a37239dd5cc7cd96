package core

import (
	"encoding/json"
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/quota"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// retryAfter is when a user who could not be served should come back.
const retryAfter = 1 * units.Second

// maxTries bounds how often a submission is judged again by itself.
const maxTries = 4

func (c *Core) reply(req RequestID, code int, body any) {
	c.send(Reply{Request: req, Code: code, Body: body})
}

// unavailable tells a user at once that the request could not be taken.
func (c *Core) unavailable(req RequestID, why string) {
	c.send(Reply{Request: req, Code: http.StatusServiceUnavailable, Body: Problem{why}, RetryAfter: retryAfter})
}

// answer tells a job's state; code is 200 except for a job accepted just now.
func (c *Core) answer(req RequestID, code int, j *jobs.Job, counts bool) {
	a := JobAnswer{ID: j.ID, Status: j.Record.Status, Counts: counts, Done: j.Finished()}
	if j.Active() {
		a.Running = j.Live()
		if a.Running > 0 || c.owned[j.Record.Shard] == nil && a.Done > 0 {
			a.Status = jobs.Running
		}
	}
	c.reply(req, code, a)
}

// Submit takes a submission. bad, if any, says why its body is malformed: that
// matters only if the id is not known, as a known job is always answered with
// its state.
func (c *Core) Submit(now units.Microseconds, req RequestID, id string, spec *jobs.Spec, bad string) {
	c.advance(now)
	if j := c.jobs.Get(id); j != nil {
		c.Query(now, req, id)
		return
	}
	if c.shouldForward(req) {
		c.forward(req, AskSubmit, id, spec, bad)
		return
	}
	c.admit(submission{req: req, id: id, spec: spec, bad: bad}, false)
}

// admit judges a submission whose id this node does not know. fresh says that the
// copy is newer than the submission.
func (c *Core) admit(n submission, fresh bool) {
	c.resolveArchived(n, func(n submission, ok bool) {
		j := c.jobs.Get(n.id)
		old, packed := c.archived.history.Known(n.id)
		why := ""
		switch {
		case j != nil && (fresh || !j.Active()):
			c.answer(n.req, http.StatusOK, j, false)
			return
		case j != nil:
			c.Query(c.now, n.req, n.id)
			return
		case packed:
			c.answerArchived(n.req, n.id, old, false)
			return
		case !ok:
			c.forward(n.req, AskSubmit, n.id, n.spec, n.bad)
			return
		case n.spec != nil && len(c.types) > 0:
			if why = c.infeasible(n.spec, n.absent); why == "" {
				c.accept(n)
				return
			}
		}
		switch {
		case !fresh:
			// Before a refusal for good, make sure that no other node has accepted
			// it, nor a job that it awaits.
			c.readFresh(func(ok bool) {
				if !ok {
					c.forward(n.req, AskSubmit, n.id, n.spec, n.bad)
					return
				}
				c.admit(n, true)
			})
		case n.spec == nil:
			c.reply(n.req, http.StatusBadRequest, Problem{n.bad})
		case len(c.types) == 0:
			c.unavailable(n.req, "machine types are not known yet")
		default:
			c.reply(n.req, http.StatusUnprocessableEntity, Problem{why})
		}
	})
}

// infeasible says why a job can never run, or "". absent are ids that are surely not
// those of packed jobs.
func (c *Core) infeasible(s *jobs.Spec, absent map[string]bool) string {
	t := c.teams[s.Team]
	if t == nil || t.Removed != 0 {
		return "unknown team"
	}
	if len(c.compatibleTypes(s)) == 0 {
		return "a task fits no allowed machine type"
	}
	d := s.Demand
	if s.Service {
		d = d.Times(int64(s.Tasks))
	}
	if !quota.WithinLimit(t.Limit, d) {
		return "needs more than the team's limit"
	}
	return c.unmetDependency(s, absent)
}

// compatibleTypes returns the names of the machine types on which a job's tasks can run.
func (c *Core) compatibleTypes(s *jobs.Spec) []string {
	var out []string
	for _, t := range c.types {
		if s.Demand.Fits(t.Capacity) && s.AllowsType(t.Name) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone)) {
			out = append(out, t.Name)
		}
	}
	slices.Sort(out)
	return out
}

// crowdedRetry is when users should come back who were refused for want of memory.
const crowdedRetry = 5 * units.Second

// SetFull says whether this process's memory is nearly full.
func (c *Core) SetFull(full bool) {
	if full != c.memoryFull {
		c.memoryFull = full
		c.log.Warn("memory", "nearly_full", full, "jobs", c.jobs.Len())
	}
}

// crowded reports whether a controller that lives has no memory for more jobs. Every
// controller keeps every job's record, and the block's holder more than that: a job that
// one accepts fills the memory of all.
func (c *Core) crowded() bool {
	for _, v := range c.peers.views {
		if c.alive(v) && v.status.Full {
			return true
		}
	}
	return c.memoryFull
}

// accept stores a new job and then answers 201. Where it is not sure that the
// job is stored the user is told to ask again; asking again does no harm.
func (c *Core) accept(n submission) {
	if c.crowded() {
		c.send(Reply{Request: n.req, Code: http.StatusServiceUnavailable, Body: Problem{"a controller's memory is nearly full"}, RetryAfter: crowdedRetry})
		return
	}
	if !c.mayAccept() {
		c.unavailable(n.req, "the present configuration is not known")
		return
	}
	c.measureLoads()
	spec, cancelled, ok := c.dropFinishedDependencies(n.spec)
	// Nothing is accepted without a proof that it is not packed.
	if !ok || c.archived.history.On() && !n.absent[n.id] {
		c.unavailable(n.req, "try again")
		return
	}
	n.record = jobs.Record{Status: jobs.Pending, Shard: c.leastLoaded(), Tasks: spec.Tasks, Submitted: c.wall, Spec: spec}
	if cancelled {
		n.record = jobs.Record{Status: jobs.Cancelled, Tasks: spec.Tasks, Team: spec.Team, Demand: spec.Demand}
	}
	n.parts, n.stored, n.first, n.there = nil, 0, 0, false
	if n.value = n.record.Encode(); len(n.value) > c.cfg.ValueMax {
		n.record, n.parts = n.record.Split(c.cfg.ValueMax)
		n.value = n.record.Encode()
	}
	if old := c.olderPeer(); old != "" && (len(n.parts) > 0 || len(spec.Awaits) > 0) {
		// It would start the job at once, or could not read it.
		c.unavailable(n.req, "controller "+old+" still runs an older release")
		return
	}
	c.store(n)
}

// submission is a job that is being accepted.
type submission struct {
	req    RequestID
	id     string
	spec   *jobs.Spec // nil: malformed, as bad says
	bad    string
	mark   uint64          // version of the mark when it was looked up
	absent map[string]bool // ids that are then surely not those of packed jobs
	tries  int
	record jobs.Record
	value  json.RawMessage   // its stored form
	parts  []json.RawMessage // of its description, where that is stored in parts
	stored int               // parts
	first  uint64            // version of the first of them
	there  bool              // it was there before: another controller stores, or has stored, the same
}

// store stores what is next of a new job: parts of its description, if there are
// any, and then the record, which makes the job visible.
func (c *Core) store(n submission) {
	key := jobPrefix + n.id
	// The first guard also keeps late parts from an accepted job, and the second a late
	// record from one that was over and packed meanwhile.
	w := &store.Write{Guards: []store.Guard{{Key: key}, {Key: archiveKey, Version: n.mark}}}
	last := n.stored == len(n.parts)
	first := chunks.Key(n.id, n.record.Sum, 0)
	if last {
		w.Changes = []store.Change{{Key: key, Value: n.value}}
		if n.first != 0 { // who clears parts without a record begins with that one
			w.Guards = append(w.Guards, store.Guard{Key: first, Version: n.first})
		}
	}
	// Another controller may be storing the same: written once more, the first part's
	// version would change, and the two would keep each other from storing the record.
	// Others are passed over only where the first was there: else they may be about to be
	// cleared.
	begins := n.stored == 0 && !last
	if begins {
		n.first = c.cache.Version(first)
		n.there = n.first != 0
	}
	for ; len(w.Changes) < c.cfg.TxnOps && n.stored < len(n.parts); n.stored++ {
		k := chunks.Key(n.id, n.record.Sum, n.stored)
		if !n.there || c.cache.Version(k) == 0 {
			w.Changes = append(w.Changes, store.Change{Key: k, Value: n.parts[n.stored]})
		}
	}
	if !last && len(w.Changes) == 0 {
		c.store(n) // all are there
		return
	}
	w.Done = func(o store.Outcome, rev uint64) {
		switch {
		case o == store.OK && !last:
			if begins && !n.there {
				n.first = rev
			}
			c.store(n)
		case o == store.OK:
			status := n.record.Status
			if j := c.jobs.Get(n.id); j != nil && !j.Active() {
				status = j.Record.Status // it awaits a cancelled one
			}
			c.reply(n.req, http.StatusCreated, JobAnswer{ID: n.id, Status: status})
		case o == store.Failed: // another node, or an earlier try, was first; or the mark is a new one
			c.again(n)
		case o == store.TooLarge:
			c.unavailable(n.req, "the state service takes no value of that size")
		default:
			c.forward(n.req, AskSubmit, n.id, n.spec, "")
		}
	}
	if !c.queues[UserQueue].Add(w) {
		c.unavailable(n.req, "too many submissions")
	}
}

// again judges a submission once more that was not stored for what others stored.
func (c *Core) again(n submission) {
	if n.tries++; n.tries > maxTries {
		c.unavailable(n.req, "try again")
		return
	}
	c.readFresh(func(ok bool) {
		if !ok {
			c.forward(n.req, AskSubmit, n.id, n.spec, n.bad)
			return
		}
		c.admit(n, true)
	})
}

// Query answers a poll. Only a final state may come from the copy as it is:
// any other must be at least as new as the poll.
func (c *Core) Query(now units.Microseconds, req RequestID, id string) {
	c.advance(now)
	if j := c.jobs.Get(id); j != nil && !j.Active() {
		c.answer(req, http.StatusOK, j, true)
		return
	}
	if a, ok := c.archived.history.Known(id); ok {
		c.answerArchived(req, id, a, true)
		return
	}
	if c.shouldForward(req) {
		c.forward(req, AskQuery, id, nil, "")
		return
	}
	c.readBeforeAnswer(func(ok bool) {
		j := c.jobs.Get(id)
		switch {
		case !ok:
			c.forward(req, AskQuery, id, nil, "")
		case j == nil:
			c.findArchived(req, id, true)
		default:
			c.answer(req, http.StatusOK, j, true)
		}
	})
}

// readBeforeAnswer answers a poll once a read that begins now has ended.
func (c *Core) readBeforeAnswer(answer func(ok bool)) {
	if !c.guarded(guard.FreshRead) {
		answer(true)
		return
	}
	c.readFresh(answer)
}

// Abort cancels a job and answers once that is stored.
func (c *Core) Abort(now units.Microseconds, req RequestID, id string) {
	c.advance(now)
	j := c.jobs.Get(id)
	if (j == nil || j.Active()) && c.shouldForward(req) {
		c.forward(req, AskAbort, id, nil, "")
		return
	}
	if j == nil {
		c.readFresh(func(ok bool) {
			switch {
			case !ok:
				c.forward(req, AskAbort, id, nil, "")
			case c.jobs.Get(id) == nil:
				c.findArchived(req, id, false)
			default:
				c.Abort(c.now, req, id)
			}
		})
		return
	}
	if !j.Active() {
		c.answer(req, http.StatusOK, j, false)
		return
	}
	key := jobPrefix + id
	rec := jobs.Record{Status: jobs.Cancelled, Tasks: j.Record.Tasks, Team: j.Spec().Team, Demand: j.Spec().Demand}
	ok := c.queues[UserQueue].Add(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: j.Version}},
		Changes: []store.Change{{Key: key, Value: rec.Encode()}},
		Done: func(o store.Outcome, _ uint64) {
			switch o {
			case store.OK:
				c.reply(req, http.StatusOK, JobAnswer{ID: id, Status: jobs.Cancelled})
			case store.Failed: // done, or cancelled by another node, meanwhile
				c.readFresh(func(ok bool) {
					if !ok || j.Active() {
						c.unavailable(req, "try again")
						return
					}
					c.answer(req, http.StatusOK, j, false)
				})
			default:
				c.forward(req, AskAbort, id, nil, "")
			}
		},
	})
	if !ok {
		c.unavailable(req, "too many requests")
	}
}

// unmetDependency says why a job cannot wait for those that it awaits, or "": one is not
// known, or never ends.
func (c *Core) unmetDependency(s *jobs.Spec, absent map[string]bool) string {
	for _, id := range s.Awaits {
		switch j := c.jobs.Get(id); {
		case j == nil && c.archived.history.On() && !absent[id]: // packed, or to be looked up again
		case j == nil:
			return "awaits " + id + ", which was never accepted"
		case j.Active() && j.Spec().Service:
			return "awaits " + id + ", a service, which is never done"
		}
	}
	return ""
}
