package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// linkJob takes a job that was just learnt into the graph. Where it may start, it
// joins its block; where it needs a cancelled one, it is cancelled with it.
func (c *Core) linkJob(j *jobs.Job) {
	j.Objectives = c.ownObjectives(j)
	if by := c.dependencies.Link(j, c.jobs, c.wall); by != "" {
		j.Cancel(by)
		c.cancelled(j)
		c.jobFinal(j)
		return
	}
	if j.OpenDependencies > 0 {
		c.log.Info("job waits for others", "job", j.ID, "awaits", len(j.Spec().Awaits), "not_done", j.OpenDependencies)
		return
	}
	c.joinShard(j)
}

// jobFinal takes in that a job is done or cancelled, by its own record or with
// another: what awaits it may start, or is cancelled too.
func (c *Core) jobFinal(j *jobs.Job) {
	delete(c.active, j.ID)
	c.runnable.Remove(j)
	c.jobOver(j)
	if c.chunkStore.Any(j.ID) {
		c.pendingDeletion[j.ID] = true
	}
	ready, cancelled := c.dependencies.JobOver(j, c.wall)
	for _, d := range cancelled {
		delete(c.active, d.ID)
		c.runnable.Remove(d)
		c.jobOver(d)
		c.cancelled(d)
	}
	for _, d := range ready {
		c.log.Info("job may start", "job", d.ID, "last", j.ID)
		c.joinShard(d)
	}
}

// cancelled notes that a job is cancelled with another. That follows from what is
// stored, here as on every other controller; that its own record says so too is
// only cleaning up.
func (c *Core) cancelled(j *jobs.Job) {
	c.log.Info("job cancelled through another", "job", j.ID, "needs", j.CancelledBy)
	c.pendingDeletion[j.ID] = true
}

// collectGarbage cleans up in the state service behind some jobs that are over.
func (c *Core) collectGarbage(shard *ownedShard, room int) {
	for _, id := range sortedKeys(c.pendingDeletion) {
		if room <= 0 {
			return
		}
		delete(c.pendingDeletion, id)
		if j := c.jobs[id]; j != nil && j.CancelledBy != "" {
			room -= c.tidyRecord(shard, j)
		} else {
			room -= c.tidyParts(shard, id, room)
		}
	}
}

// tidyRecord has a job's record say that it was cancelled with another. It returns
// how many changes that takes.
func (c *Core) tidyRecord(shard *ownedShard, j *jobs.Job) int {
	key := jobPrefix + j.ID
	c.shardWrite(shard, true, func(o store.Outcome) {
		if o != store.OK && j.CancelledBy != "" {
			c.pendingDeletion[j.ID] = true
		}
	}, []string{key}, store.Change{Key: key, Value: j.Record.Encode()})
	return 1
}

// tidyParts removes parts of a description that nobody needs any more, as many as
// there is room for, and returns how many.
func (c *Core) tidyParts(shard *ownedShard, id string, room int) int {
	keys := c.chunkStore.Keys(id)
	keys = keys[:min(len(keys), room, c.cfg.TxnOps)]
	if len(keys) == 0 {
		return 0
	}
	c.shardWrite(shard, true, func(o store.Outcome) {
		if o == store.OK {
			for _, k := range keys {
				c.forgetPart(k)
			}
		}
		if c.chunkStore.Any(id) {
			c.pendingDeletion[id] = true
		}
	}, keys, removals(keys)...)
	return len(keys)
}

// loneEvery is the least time between two transactions that clear parts without a
// record; the copy has followed the one before by then.
const loneEvery = units.Second

// collectOrphanedChunks removes parts of a description whose submission was given up half-way. The
// record may still be on its way, sent by a controller that stands still, or late: it
// guards the version of the first part, which goes before the others, and these go only
// while it stays away. So a record is stored with all of its parts or not at all.
// Releases before 0.6 guard nothing, so that nothing is cleared beside one of them.
func (c *Core) collectOrphanedChunks(shard *ownedShard) {
	if shard.number != 0 || c.now < shard.nextOrphanAt || c.queues[ControlQueue].Len() > 0 || !c.allRunSince(releaseChunks) {
		return
	}
	shard.nextOrphanAt = c.now + loneEvery
	id := shard.orphanedJob
	if id == "" {
		id, _ = c.chunkStore.Orphaned(c.now, c.cfg.ArchiveSettleTime)
	}
	keys := c.chunkStore.Keys(id)
	if shard.orphanedJob = id; c.jobs[id] != nil || len(keys) == 0 {
		shard.orphanedJob = ""
		return
	}
	first := chunks.First(keys[0])
	n := 1
	for n < min(len(keys), c.cfg.TxnOps) && chunks.First(keys[n]) == first {
		n++
	}
	keys = keys[:n]
	c.shardWrite(shard, true, func(o store.Outcome) {
		if o != store.OK {
			shard.orphanedJob = ""
			c.chunkStore.Defer(c.now, id) // the submission has gone on, or nobody knows
			return
		}
		// They are forgotten when the copy shows that they are gone, and not now: the first
		// may have been stored once more by then, and the others would be taken for ones
		// without it.
		c.log.Info("parts of a submission that was given up are cleared", "job", id, "parts", n)
	}, []string{jobPrefix + id, first}, removals(keys)...)
}

// removals are changes that remove keys.
func removals(keys []string) []store.Change {
	out := make([]store.Change, len(keys))
	for i, k := range keys {
		out[i].Key = k
	}
	return out
}

// forgetPart notes that a part is no longer stored.
func (c *Core) forgetPart(key string) {
	if c.chunkStore.Drop(key) {
		id := chunks.Owner(key)
		if j := c.jobs[id]; j != nil && j.CancelledBy == "" {
			delete(c.pendingDeletion, id)
		}
	}
}

// learnPart takes in a part of a description. Its record is stored later, but may
// be listed earlier.
func (c *Core) learnPart(e store.Event) error {
	if e.Value == nil {
		c.forgetPart(e.Key)
		return nil
	}
	id := chunks.Owner(e.Key)
	j := c.jobs[id]
	head, waits, err := c.chunkStore.Put(c.now, e, j != nil)
	switch {
	case err != nil:
		return err
	case j != nil && !j.Active():
		c.pendingDeletion[id] = true
	case waits:
		return c.learnJob(id, head)
	}
	return nil
}

// ownObjectives is what a job's own user asks for.
func (c *Core) ownObjectives(j *jobs.Job) jobs.Objectives {
	s := j.Spec()
	a := jobs.Objectives{Priority: s.Priority, Due: units.Never, LastDue: units.Never}
	if s.Deadline > 0 {
		a.Due = j.Record.Submitted + s.Deadline
		a.LastDue = a.Due
		for _, o := range c.cfg.Objectives {
			if o.Class == s.Class && o.Kind == "deadline" {
				a.LastDue = max(a.LastDue, j.Record.Submitted+units.Microseconds(float64(s.Deadline)*o.Times))
			}
		}
	}
	return a
}

// flowEvery is how often aims pass back along the graph.
const flowEvery = units.Second / 2

// propagateObjectives lets deadlines and priorities pass back from jobs that wait to those that
// they await.
func (c *Core) propagateObjectives(shard *ownedShard) {
	if c.now < c.flowAt {
		return
	}
	c.flowAt = c.now + flowEvery
	c.dependencies.Propagate(c.jobs, c.ownObjectives, func(j *jobs.Job) units.Microseconds { return c.stepTime(shard, j) })
}

// stepTime is how long a job is expected to take once it may start and has room:
// an image, and its tasks one after the other where the team's limit asks for it.
func (c *Core) stepTime(shard *ownedShard, j *jobs.Job) units.Microseconds {
	s := j.Spec()
	waves := int64(1)
	if t := c.teams[s.Team]; t != nil {
		for i, lim := range t.Limit {
			if lim > 0 && s.Demand[i] > 0 {
				waves = max(waves, (int64(s.Tasks)*s.Demand[i]+lim-1)/lim)
			}
		}
	}
	took := units.Microseconds(waves) * shard.demand.Runtime(s)
	if rate := c.slowestFetch(s); rate > 0 {
		took += units.Microseconds(s.ImageMB) * units.Second / units.Microseconds(rate)
	}
	return took
}

// slowestFetch is the rate at which the slowest machine type that a job may use
// fetches images.
func (c *Core) slowestFetch(s *jobs.Spec) int64 {
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
	release             = 8
	releaseDependencies = 3 // understands jobs that await others
	releaseArchive      = 4 // finds packed jobs
	releaseChunks       = 5 // guards the first part of a description
	releaseTransfers    = 5 // takes pictures of blocks that are handed on

	releaseReplicates    = 6 // follows holders
	releaseCancellations = 7 // takes cancellations from others
	releaseConfig        = 8 // goes by the stored configuration
)

// noteOlderReleases keeps for how long all controllers have run certain releases.
func (c *Core) noteOlderReleases() {
	for _, r := range []int{releaseArchive, releaseChunks} {
		for _, n := range c.peers.names {
			if c.releases[n] < r {
				c.olderReleaseAt[r] = c.now
			}
		}
	}
}

// allRunSince reports whether every controller has run a release or a later one for so
// long that nothing that an older one sent is expected any more.
func (c *Core) allRunSince(release int) bool {
	return c.now-c.olderReleaseAt[release] >= c.cfg.ArchiveSettleTime
}

// olderPeer returns a controller that is known to run a release before this one. It
// would take a job that awaits others for one that may start.
func (c *Core) olderPeer() string {
	for _, n := range c.peers.names {
		if r, known := c.releases[n]; known && r < releaseDependencies {
			return n
		}
	}
	return ""
}

// noteRelease notes which release a controller runs.
func (c *Core) noteRelease(node string, r int) {
	if node == c.cfg.Node {
		return
	}
	if old, known := c.releases[node]; !known || old != r {
		c.log.Info("release of a controller", "controller", node, "release", r)
		c.releases[node] = r
	}
}

// unmetDependency says why a job cannot wait for those that it awaits, or "": one is not
// known, or never ends.
func (c *Core) unmetDependency(s *jobs.Spec, absent map[string]bool) string {
	for _, id := range s.Awaits {
		switch j := c.jobs[id]; {
		case j == nil && c.archived.history.On() && !absent[id]: // packed, or to be looked up again
		case j == nil:
			return "awaits " + id + ", which was never accepted"
		case j.Active() && j.Spec().Service:
			return "awaits " + id + ", a service, which is never done"
		}
	}
	return ""
}
