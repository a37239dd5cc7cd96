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
)

// syncState drives the copy of the state service's keys. One listing fills
// it, a watch keeps it fresh, and a read without waiting proves it fresh: a
// request that must not get an old answer waits for a read that began after
// the request arrived. Requests that arrive together share one read.
type syncState struct {
	loaded    bool
	loadedAt  unit.Micros
	listing   bool
	listKnown uint64        // the highest revision that was known when the listing began
	page      string        // the last key that it has shown; "": it has not begun
	pageRev   uint64        // revision at which it began
	pages     []store.Event // what it has shown, where the service went back
	limitedAt unit.Micros   // the state service last refused something as too much; 0: never
	watching  bool
	reading   bool
	retryAt   unit.Micros
	nextRead  unit.Micros
	nextWatch unit.Micros
	current   []func(ok bool) // told when the read under way ends
	waiting   []func(ok bool) // wait for the next read
	want      bool
	lastOK    unit.Micros // the state service last answered
	everOK    bool
}

const (
	watchWait = 5 * unit.Second
	// ListPage is how many keys are listed at once.
	ListPage  = 500
	maxWaiter = 2000
)

// wantSync asks for a fresh read; f, if any, is told whether it worked.
func (c *Core) wantSync(f func(ok bool)) {
	if f != nil && len(c.sync.waiting) >= maxWaiter {
		f(false)
		return
	}
	c.sync.want = true
	if f != nil {
		c.sync.waiting = append(c.sync.waiting, f)
	}
}

// heartbeat is how often the state service is asked at least, so that every
// controller knows, and can tell its peers, whether it is served.
const heartbeat = 400 * unit.Second / 1000

// heard notes whether the state service serves this node, and at what rate. It
// returns the outcome for those whom the reason of a refusal does not concern.
func (c *Core) heard(o store.Outcome) store.Outcome {
	switch o {
	case store.OK, store.Failed, store.TooLarge:
		c.sync.lastOK, c.sync.everOK = c.now, true
	case store.Limited:
		c.sync.limitedAt = c.now
		c.useNextRates()
		return store.Refused
	}
	return o
}

// useNextRates goes by the rates that the state service was to have later.
func (c *Core) useNextRates() {
	if next := c.cfg.NextStateRate; next > 0 {
		c.cfg.StateRate = min(c.cfg.StateRate, next)
	}
	if next := c.cfg.NextWriteRate; 0 < next && next < c.cfg.WriteRate {
		c.log.Info("state service takes fewer changes", "a_second", next)
		c.cfg.WriteRate = next
		c.setRates()
	}
}

func (c *Core) tickSync() {
	s := &c.sync
	if s.loaded && c.now-s.lastOK > heartbeat {
		s.want = true
	}
	if !s.loaded && !s.listing && c.now >= s.retryAt {
		if s.page == "" {
			s.listKnown, s.pages = c.recovery.seen, nil
		}
		s.listing = true
		c.emit(List{After: s.page})
	}
	// Changes are followed while the listing goes on: the service keeps only some,
	// and one that is longer than that would never end.
	if (s.loaded || s.page != "" && !c.recovery.due) && !s.watching && c.now >= s.retryAt && c.now >= s.nextWatch {
		s.watching = true
		// A watch ends with every change, so a third of the budget bounds them.
		s.nextWatch = c.now + unit.Seconds(3*float64(c.cfg.Size)/c.cfg.StateRate)
		c.emit(Watch{After: c.replica.Rev, Known: c.recovery.seen, Wait: watchWait})
	}
}

func (c *Core) pumpSync() {
	s := &c.sync
	if !s.want || s.reading || !s.loaded || c.now < s.nextRead {
		return
	}
	s.want, s.reading = false, true
	s.current, s.waiting = s.waiting, nil
	// Half of the request budget is for reads, shared by all controllers.
	s.nextRead = c.now + unit.Seconds(2*float64(c.cfg.Size)/c.cfg.StateRate)
	c.emit(Watch{After: c.replica.Rev, Known: c.recovery.seen, Fresh: true})
}

// OnList takes a page of the listing, read at a revision; more says that there are
// others. A page that was not served is asked for again.
func (c *Core) OnList(now unit.Micros, l List, o store.Outcome, rev uint64, items []store.Event, more bool) {
	c.at(now)
	o = c.heard(o)
	s := &c.sync
	s.listing = false
	if o != store.OK {
		s.retryAt = now + unit.Second/2
		return
	}
	if l.After != s.page { // the listing has begun anew meanwhile
		c.tickSync()
		return
	}
	if c.recovery.stale { // it may show what was there before the service went back
		c.recovery.stale = false
		s.page = ""
		c.tickSync()
		return
	}
	if s.page == "" {
		s.pageRev = rev
		if rev < s.listKnown && !c.recovery.due {
			c.wentBack(s.listKnown, rev)
		}
		if !c.recovery.due {
			c.replica.Begin(rev)
			c.recovery.seen = max(c.recovery.seen, rev)
			if s.loadedAt > 0 {
				c.old.past.Lost()
			}
		}
	}
	if c.recovery.due {
		s.pages = append(s.pages, items...)
	} else {
		c.replica.Page(items)
	}
	if more && len(items) > 0 {
		s.page = items[len(items)-1].Key
		// As fast as half of this node's part of the budget allows.
		s.retryAt = now + unit.Seconds(2*float64(c.cfg.Size)/c.cfg.StateRate)
		c.tickSync()
		return
	}
	if c.recovery.due {
		c.reload(s.pageRev, s.pages)
	} else {
		c.replica.End()
	}
	s.page, s.pages = "", nil
	s.loaded, s.loadedAt = true, now
	c.log.Info("state loaded", "keys", c.replica.Keys(), "revision", s.pageRev)
	c.wantSync(nil)
	c.tickSync()
}

// OnChanges takes a watch's answer. gone means that the service no longer has
// all changes since then, so the copy is taken anew.
func (c *Core) OnChanges(now unit.Micros, w Watch, o store.Outcome, rev uint64, events []store.Event, gone bool) {
	c.at(now)
	o = c.heard(o)
	s := &c.sync
	var told []func(bool)
	if w.Fresh {
		s.reading = false
		told, s.current = s.current, nil
	} else {
		s.watching = false
	}
	// One that was sent before the copy was last taken anew tells nothing of it.
	if o == store.OK && rev < w.Known && w.Known <= c.recovery.seen {
		c.wentBack(w.Known, rev)
		o = store.Unknown
	}
	if o == store.OK {
		c.recovery.seen = max(c.recovery.seen, rev)
		for _, e := range events {
			if id, ok := strings.CutPrefix(e.Key, jobPrefix); ok && e.Value == nil {
				c.old.past.Packed(id) // also where the copy has never had it
			}
		}
		c.replica.Advance(w.After, rev, events)
	} else if gone {
		s.loaded, s.page = false, ""
	} else if c.recovery.due {
		s.retryAt = now // the copy is taken anew at once
	} else if !w.Fresh {
		s.retryAt = now + unit.Second/2
	} else {
		s.nextRead = max(s.nextRead, now+unit.Second/4)
	}
	c.tickSync()
	for _, f := range told {
		f(o == store.OK)
	}
}

// learn takes one change of the copy. Records that cannot be read are logged
// and skipped: they end no process.
func (c *Core) learn(e store.Event) {
	if !isAuthority(e.Key) {
		c.recovery.memory.Note(e)
	}
	var err error
	switch {
	case e.Key == leadKeyFirst || e.Key == leadKeyPast:
		err = c.learnLead(e)
	case e.Key == pastKey:
		err = c.learnMark(e)
	case strings.HasPrefix(e.Key, seatPrefix):
		err = c.learnSeat(e.Key[len(seatPrefix):], e)
	case strings.HasPrefix(e.Key, blockPrefix):
		err = c.learnBlock(e)
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
			delete(bl.active, id)
			bl.orderStale = true
		}
		j.Record.Block = r.Block
		j.Clear()
		c.joinBlock(j)
	}
	return nil
}

// joinBlock gives a job to its block, if this node holds that.
func (c *Core) joinBlock(j *ledger.Job) {
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
