package core

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watchcache"
)

// copied is what the copy of the state service's keys tells this controller.
type copied struct{ *Core }

// Emit implements watchcache.Host.
func (c copied) Emit(e any) { c.emit(e) }

// Learn implements watchcache.Host.
func (c copied) Learn(e store.Event) { c.learn(e) }

// Removed implements watchcache.Host.
func (c copied) Removed(key string) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		c.old.past.Packed(id)
	}
}

// Gap implements watchcache.Host.
func (c copied) Gap() { c.old.past.Lost() }

// Limited implements watchcache.Host: from now on the rates count that the state service was
// to have later.
func (c copied) Limited() {
	if next := c.cfg.NextWriteRate; 0 < next && next < c.cfg.WriteRate {
		c.log.Info("state service takes fewer changes", "a_second", next)
		c.cfg.WriteRate = next
		c.setRates()
	}
}

// Reload implements watchcache.Host.
func (c copied) Reload(rev uint64, items []store.Event) { c.reload(rev, items) }

// ListPage is how many keys are listed at once.
const ListPage = watchcache.Page

// wantSync asks for a fresh read; f, if any, is told whether it worked.
func (c *Core) wantSync(f func(ok bool)) { c.mirror.Want(f) }

// heard notes whether the state service serves this node, and at what rate. It
// returns the outcome for those whom the reason of a refusal does not concern.
func (c *Core) heard(o store.Outcome) store.Outcome { return c.mirror.Heard(c.now, o) }

// OnList takes a page of the listing, read at a revision; more says that there are
// others.
func (c *Core) OnList(now unit.Micros, l List, o store.Outcome, rev uint64, items []store.Event, more bool) {
	c.at(now)
	c.mirror.OnList(c.now, l, o, rev, items, more)
}

// OnChanges takes a watch's answer. gone means that the service no longer has all
// changes since then.
func (c *Core) OnChanges(now unit.Micros, w Watch, o store.Outcome, rev uint64, events []store.Event, gone bool) {
	c.at(now)
	taken := o == store.OK && w.After <= c.mirror.Rev
	c.mirror.OnChanges(c.now, w, o, rev, events, gone)
	if taken {
		c.observeCommits(events)
	}
}

// learn takes one change of the copy. Records that cannot be read are logged
// and skipped: they end no process.
func (c *Core) learn(e store.Event) {
	if !isAuthority(e.Key) {
		c.memory.Note(e)
	}
	var err error
	switch {
	case e.Key == leadKeyFirst || e.Key == leadKeyPast:
		err = c.learnLead(e)
	case e.Key == pastKey:
		err = c.learnMark(e)
	case strings.HasPrefix(e.Key, seatPrefix):
		err = c.seats.Learn(c.now, e.Key[len(seatPrefix):], e)
	case strings.HasPrefix(e.Key, blockPrefix):
		err = c.learnBlock(e)
	case strings.HasPrefix(e.Key, configPrefix):
		err = c.config.Learn(c.now, e)
	case strings.HasPrefix(e.Key, wordPrefix):
		err = c.learnWord(e)
	case strings.HasPrefix(e.Key, followPrefix):
		err = c.learnFollow(e)
	case strings.HasPrefix(e.Key, sharePrefix):
		err = c.learnShare(e)
	case e.Key == termKey:
		err = c.learnTerm(e)
	case strings.HasPrefix(e.Key, jobPrefix):
		err = c.learnJob(e.Key[len(jobPrefix):], e)
	case strings.HasPrefix(e.Key, partPrefix):
		err = c.learnPart(e)
	case strings.HasPrefix(e.Key, donePrefix):
		err = c.learnFinished(e.Key[len(donePrefix):], e)
	case strings.HasPrefix(e.Key, machPrefix):
		err = c.learnMachines(e.Key, e)
	case strings.HasPrefix(e.Key, typePrefix), strings.HasPrefix(e.Key, kindPrefix):
		err = c.learnType(e)
	}
	if err != nil {
		c.log.Error("unusable record", "key", e.Key, "err", err)
	}
}

// learnTerm takes the highest term. It never falls, whatever is stored: tokens that
// workers have seen must not be given out again.
func (c *Core) learnTerm(e store.Event) error {
	var t lead.Term
	if e.Value == nil {
		return nil
	}
	if err := json.Unmarshal(e.Value, &t); err != nil {
		return err
	}
	if t.Term >= c.term.Term {
		c.term = t
	}
	return nil
}

func (c *Core) learnJob(id string, e store.Event) error {
	if e.Value == nil {
		if j := c.jobs[id]; j != nil {
			c.packed(j)
		}
		return nil
	}
	r, err := ledger.DecodeRecord(e.Value)
	if err != nil {
		return err
	}
	j := c.jobs[id]
	if r.Parts > 0 && j == nil {
		if complete, err := c.parts.Join(id, &r, e); err != nil || !complete {
			return err
		}
	}
	c.parts.Read(id)
	if j == nil {
		j = &ledger.Job{ID: id, Stamp: e.Stamp, Record: r}
		c.jobs[id] = j
		j.Clear()
		if !r.Status.Final() {
			c.active[id] = j
			c.linkJob(j)
		}
	}
	if r.Status == ledger.Cancelled && e.Stamp > c.mirror.Rev {
		c.cancels.Note(e)
	}
	if r.Status.Final() {
		if bl := c.held[j.Record.Block]; bl != nil && j.Active() {
			bl.jobOver(c, j, r.Status)
		}
		j.Settle(r, e.Stamp)
		j.Through = "" // its own record says so now, whoever has cleaned up
		delete(c.untidy, id)
		c.jobFinal(j)
		return nil
	}
	j.Stamp = e.Stamp
	if !j.Active() {
		return nil // cancelled through another: whatever its record says
	}
	if r.Block != j.Record.Block {
		if bl := c.held[j.Record.Block]; bl != nil {
			bl.dropJob(j)
		}
		j.Record.Block = r.Block
		j.Clear()
		c.joinBlock(j)
	}
	return nil
}

// joinBlock gives a job to its block, if this node holds that.
func (c *Core) joinBlock(j *ledger.Job) {
	if j.Awaiting == 0 {
		c.begun.Add(j)
	}
	if bl := c.held[j.Record.Block]; bl != nil && bl.ready && j.Awaiting == 0 {
		j.Reset()
		bl.addJob(j)
	}
}

// finishedRecord is the stored form of one chunk of finished tasks.
type finishedRecord struct {
	Tasks   string `json:"tasks"`
	Failing bool   `json:"failing,omitempty"` // of the first chunk: nothing has worked, on several machines
}

func (c *Core) learnFinished(key string, e store.Event) error {
	id, num, ok := strings.Cut(key, "/")
	j := c.jobs[id]
	n, err := strconv.Atoi(num)
	if e.Value == nil || j == nil || !j.Active() || !ok {
		return nil
	}
	if err != nil || n < 0 || n > ledger.MaxTasks {
		return err
	}
	var f finishedRecord
	if err := json.Unmarshal(e.Value, &f); err != nil {
		return err
	}
	if n == 0 {
		j.Failing = f.Failing
	}
	return j.LoadFinished(n, c.layout, f.Tasks)
}

func (c *Core) learnMachines(key string, e store.Event) error {
	if old, ok := c.groups[key]; ok {
		delete(c.groups, key)
		for _, n := range slices.Concat(old.Up, old.Booting) {
			if c.where[n] == old.Block {
				delete(c.where, n)
			}
		}
	}
	if e.Value == nil {
		return nil
	}
	g, err := fleet.DecodeGroup(key[len(machPrefix):], e.Value)
	if err != nil {
		return err
	}
	c.groups[key] = g
	for _, n := range slices.Concat(g.Up, g.Booting) {
		if _, known := c.where[n]; !known || !isStray(key) {
			c.where[n] = g.Block
		}
	}
	return nil
}

func (c *Core) learnType(e store.Event) error {
	if e.Value == nil {
		return nil
	}
	var t fleet.Type
	if err := json.Unmarshal(e.Value, &t); err != nil {
		return err
	}
	c.setType(t)
	return nil
}

// setType keeps the type's identity, as machines point to it.
func (c *Core) setType(t fleet.Type) {
	if old := c.types[t.Name]; old != nil {
		*old = t
		return
	}
	c.types[t.Name] = &t
}
