package core

import (
	"fmt"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// linkJob takes a job that was just learnt into the graph. Where it may start, it
// joins its block; where it needs a cancelled one, it is cancelled with it.
func (c *Core) linkJob(j *ledger.Job) {
	j.Aims = c.ownAims(j)
	if by := c.graph.Link(j, c.jobs, c.wall); by != "" {
		j.Cancel(by)
		c.cancelled(j)
		c.jobFinal(j)
		return
	}
	if j.Awaiting > 0 {
		c.log.Info("job waits for others", "job", j.ID, "awaits", len(j.Spec().Awaits), "not_done", j.Awaiting)
		return
	}
	c.joinBlock(j)
}

// jobFinal takes in that a job is done or cancelled, by its own record or with
// another: what awaits it may start, or is cancelled too.
func (c *Core) jobFinal(j *ledger.Job) {
	delete(c.active, j.ID)
	c.over(j)
	if len(c.parts[j.ID]) > 0 {
		c.untidy[j.ID] = true
	}
	ready, cancelled := c.graph.Over(j, c.wall)
	for _, d := range cancelled {
		delete(c.active, d.ID)
		c.over(d)
		c.cancelled(d)
	}
	for _, d := range ready {
		c.log.Info("job may start", "job", d.ID, "last", j.ID)
		c.joinBlock(d)
	}
}

// cancelled notes that a job is cancelled with another. That follows from what is
// stored, here as on every other controller; that its own record says so too is
// only cleaning up.
func (c *Core) cancelled(j *ledger.Job) {
	c.log.Info("job cancelled through another", "job", j.ID, "needs", j.Through)
	c.untidy[j.ID] = true
}

// tidy cleans up in the state service behind some jobs that are over.
func (c *Core) tidy(bl *block, room int) {
	for _, id := range sortedKeys(c.untidy) {
		if room <= 0 {
			return
		}
		delete(c.untidy, id)
		if j := c.jobs[id]; j != nil && j.Through != "" {
			room -= c.tidyRecord(bl, j)
		} else {
			room -= c.tidyParts(bl, id, room)
		}
	}
}

// tidyRecord has a job's record say that it was cancelled with another. It returns
// how many changes that takes.
func (c *Core) tidyRecord(bl *block, j *ledger.Job) int {
	key := jobPrefix + j.ID
	c.blockWrite(bl, true, func(o store.Outcome) {
		if o != store.OK && j.Through != "" {
			c.untidy[j.ID] = true
		}
	}, []string{key}, store.Change{Key: key, Value: j.Record.Encode()})
	return 1
}

// tidyParts removes parts of a description that nobody needs any more, as many as
// there is room for, and returns how many.
func (c *Core) tidyParts(bl *block, id string, room int) int {
	keys := sortedKeys(c.parts[id])
	keys = keys[:min(len(keys), room, c.cfg.TxnOps)]
	if len(keys) == 0 {
		return 0
	}
	changes := make([]store.Change, len(keys))
	for i, k := range keys {
		changes[i].Key = k
	}
	c.blockWrite(bl, true, func(o store.Outcome) {
		if o == store.OK {
			for _, k := range keys {
				c.forgetPart(id, k)
			}
		}
		if len(c.parts[id]) > 0 {
			c.untidy[id] = true
		}
	}, keys, changes...)
	return len(keys)
}

// forgetPart notes that a part is no longer stored.
func (c *Core) forgetPart(id, key string) {
	if delete(c.parts[id], key); len(c.parts[id]) == 0 {
		delete(c.parts, id)
		if j := c.jobs[id]; j != nil && j.Through == "" {
			delete(c.untidy, id)
		}
	}
}

// partKey is where one part of a job's description is stored.
func partKey(id, sum string, n int) string { return fmt.Sprintf("%s%s/%s/%d", partPrefix, id, sum, n) }

// learnPart takes in a part of a description. Its record is stored later, but may
// be listed earlier.
func (c *Core) learnPart(key string, e store.Event) error {
	id, _, _ := strings.Cut(key, "/")
	if e.Value == nil {
		c.forgetPart(id, e.Key)
		return nil
	}
	text, err := ledger.PartText(e.Value)
	if err != nil {
		return err
	}
	if c.parts[id] == nil {
		c.parts[id] = map[string]string{}
	}
	c.parts[id][e.Key] = text
	if j := c.jobs[id]; j != nil {
		c.parts[id][e.Key] = "" // nobody needs it any more
		if !j.Active() {
			c.untidy[id] = true
		}
		return nil
	}
	if head, ok := c.heads[id]; ok {
		return c.learnJob(id, head)
	}
	return nil
}

// join adds a description to a record from its parts, and reports whether they
// are all there.
func (c *Core) join(id string, r *ledger.Record) (bool, error) {
	texts := make([]string, r.Parts)
	for n := range texts {
		t, ok := c.parts[id][partKey(id, r.Sum, n)]
		if !ok {
			return false, nil
		}
		texts[n] = t
	}
	if err := r.Join(texts); err != nil {
		return false, err
	}
	for k := range c.parts[id] {
		c.parts[id][k] = ""
	}
	return true, nil
}

// ownAims is what a job's own user asks for.
func (c *Core) ownAims(j *ledger.Job) ledger.Aims {
	s := j.Spec()
	a := ledger.Aims{Priority: s.Priority, Due: unit.Never, LastDue: unit.Never}
	if s.Deadline > 0 {
		a.Due = j.Record.Submitted + s.Deadline
		a.LastDue = a.Due
		for _, o := range c.cfg.Objectives {
			if o.Class == s.Class && o.Kind == "deadline" {
				a.LastDue = max(a.LastDue, j.Record.Submitted+unit.Micros(float64(s.Deadline)*o.Times))
			}
		}
	}
	return a
}

// flowEvery is how often aims pass back along the graph.
const flowEvery = unit.Second / 2

// flow lets deadlines and priorities pass back from jobs that wait to those that
// they await.
func (c *Core) flow(bl *block) {
	if c.now < c.flowAt {
		return
	}
	c.flowAt = c.now + flowEvery
	c.graph.Flow(c.jobs, c.ownAims, func(j *ledger.Job) unit.Micros { return c.stepTime(bl, j) })
}

// stepTime is how long a job is expected to take once it may start and has room:
// an image, and its tasks one after the other where the team's limit asks for it.
func (c *Core) stepTime(bl *block, j *ledger.Job) unit.Micros {
	s := j.Spec()
	waves := int64(1)
	if t := c.teams[s.Team]; t != nil {
		for i, lim := range t.Limit {
			if lim > 0 && s.Demand[i] > 0 {
				waves = max(waves, (int64(s.Tasks)*s.Demand[i]+lim-1)/lim)
			}
		}
	}
	took := unit.Micros(waves) * bl.runtime(s)
	if rate := c.slowestFetch(s); rate > 0 {
		took += unit.Micros(s.ImageMB) * unit.Second / unit.Micros(rate)
	}
	return took
}

// slowestFetch is the rate at which the slowest machine type that a job may use
// fetches images.
func (c *Core) slowestFetch(s *ledger.Spec) int64 {
	rates := []int64{}
	for _, t := range c.types {
		if s.Demand.Fits(t.Capacity) && s.AllowsType(t.Name) && t.FetchMBs > 0 {
			rates = append(rates, t.FetchMBs)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	return slices.Min(rates)
}

// release numbers tell what a controller understands. It is stored with its seat
// and told with its status; those before it told none.
const (
	release       = 4
	releaseAwaits = 3 // understands jobs that await others
)

// older returns a controller that is known to run a release before this one. It
// would take a job that awaits others for one that may start.
func (c *Core) older() string {
	for _, n := range c.peers.names {
		if r, known := c.releases[n]; known && r < releaseAwaits {
			return n
		}
	}
	return ""
}

// heardRelease notes which release a controller runs.
func (c *Core) heardRelease(node string, r int) {
	if node == c.cfg.Node {
		return
	}
	if old, known := c.releases[node]; !known || old != r {
		c.log.Info("release of a controller", "controller", node, "release", r)
		c.releases[node] = r
	}
}

// missing says why a job cannot wait for those that it awaits, or "": one is not
// known, or never ends.
func (c *Core) missing(s *ledger.Spec, absent map[string]bool) string {
	for _, id := range s.Awaits {
		switch j := c.jobs[id]; {
		case j == nil && c.old.past.On() && !absent[id]: // packed, or to be looked up again
		case j == nil:
			return "awaits " + id + ", which was never accepted"
		case j.Active() && j.Spec().Service:
			return "awaits " + id + ", a service, which is never done"
		}
	}
	return ""
}
