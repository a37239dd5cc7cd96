package core

import (
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/watchcache"
)

// Jobs that are over leave memory once there are many: the leader packs their answers
// into buckets of package past, which controllers look up when they are asked.

// archivedJobs is what a controller keeps for that.
type archivedJobs struct {
	history *archive.Index
	packer  *archive.Archiver
	markAt  units.Microseconds // the mark is not written before
	doubts  []string           // jobs of which it is not sure that the service still has them
	asked   int                // of those, being looked up
}

// Effects of lookups.
type (
	// ReadKey reads one bucket (OnKey).
	ReadKey struct {
		archive.Read
		Known uint64 // the highest revision that was known when it was sent
	}
	// ScanKeys reads some buckets (OnScan).
	ScanKeys struct{ archive.Scan }
)

const (
	// archiveKey holds the mark that jobs are packed.
	archiveKey = keys.ArchiveMark
	// leaderKeyArchived holds the leader's claim once that is there. The key of before then
	// says, for good, that another leads: a controller of an older release that is
	// started afterwards never leads, holds nothing and learns no machine types from
	// anybody, so that it is never ready and accepts nothing. It would not find what
	// is packed.
	leaderKeyArchived = keys.LeaderSinceArchive
	kindPrefix        = keys.TypePrefixWithArchive // machine types since then

	// markEvery is the least time between two marks, each of which fails the
	// submissions under way; they are tried again at once.
	markEvery = 30 * units.Second
	// calmAfter is how long after a refusal for rates nothing is packed.
	calmAfter = 30 * units.Second
	// packShare is the part of the state service's changes that packing takes at
	// most, and packShareMost that when twice as much is kept as should be.
	packShare     = 0.1
	packShareMost = 0.25
	// lookShare is the part of a controller's reads that lookups take, and as much
	// again is for filling the filter after a start.
	lookShare = 1.0 / 6
	// doubtsAtOnce bounds the lookups under way after the state service went back.
	doubtsAtOnce = 16
)

// TermKey and PastKey are keys whose values a restore has to change.
const (
	TermKey    = termKey
	ArchiveKey = archiveKey
)

// IsLeased reports whether a key and its value belong to a controller's lease: with
// that they are gone.
func IsLeased(e store.Event) bool {
	return strings.HasPrefix(e.Key, memberPrefix) || e.Key == leaderKeyArchived || e.Key == leaderKeyFirst && !election.Excludes(e.Value)
}

func newArchivedJobs() archivedJobs {
	p := archive.New()
	return archivedJobs{history: p, packer: archive.NewArchiver(p)}
}

// typeKey is where a machine type is stored.
func (c *Core) typeKey(name string) string {
	if c.archived.history.On() {
		return kindPrefix + name
	}
	return typePrefix + name
}

// learnMark takes the mark. From the first one on the lead is at another key.
func (c *Core) learnMark(e store.Event) error {
	was := c.archived.history.On()
	if err := c.archived.history.LearnMark(e.Value, e.Stamp); err != nil {
		return err
	}
	if now := c.archived.history.On(); now && !was {
		c.log.Info("jobs that are over are packed from now on")
		return c.election.ArchivingStarted()
	}
	return nil
}

// tooOld reports whether a controller runs a release that cannot read what is packed, or
// does not go by the configuration that is stored.
func (c *Core) tooOld(node string) bool {
	return node != c.cfg.Node && (c.archived.history.On() && c.peers.Release(node) < peering.ReleaseArchive || c.config.Changed() && c.peers.Release(node) < peering.ReleaseConfig)
}

func answerOf(j *jobs.Job) archive.Answer {
	return archive.Answer{Status: j.Record.Status, Tasks: j.Record.Tasks, FinishedAt: j.Record.FinishedAt / units.Second * units.Second}
}

// Packable says what is to be packed of a job that is over. One that an unfinished
// job awaits stays, as whoever learns of that one has to learn how it ended; so does
// one of which something is left to clean up.
func (c *Core) Packable(id string, cut uint64) (archive.Job, bool) {
	j := c.jobs.Get(id)
	if j == nil {
		return archive.Job{}, false
	}
	out := archive.Job{Answer: answerOf(j), Key: jobPrefix + id, Stamp: j.Version}
	if j.Active() || j.CancelledBy != "" || j.Version >= cut || j.Placed() > 0 || c.jobs.Retained(id) {
		return out, false
	}
	// A cancelled job's finished tasks are still stored.
	for _, name := range c.jobs.Layout().Names(j.Record.Tasks) {
		if k := keys.Progress(id, name); c.cache.Version(k) != 0 {
			out.Clear = append(out.Clear, k)
		}
	}
	return out, true
}

// packAge is how long a job must be over: by then its machines have long reported
// what they ran of it, or lost their leases.
func (c *Core) packAge() units.Microseconds { return 2*c.leaseBound() + c.cfg.CancelWithin }

// tickArchive does what is due for jobs that are over.
func (c *Core) tickArchive() {
	o := &c.archived
	c.peers.NoteOlderReleases(c.now)
	c.verifyNextArchived()
	if !c.cache.Loaded() || c.stateAge() > watchcache.Heartbeat+units.Second/2 || c.cache.Recovering() {
		return
	}
	rate := c.cache.Rate() / float64(c.cfg.Size) * lookShare
	if s := o.history.NextScan(c.now, units.Seconds(1/rate)); s != nil {
		c.emit(ScanKeys{*s})
	}
	l := c.election.Leadership()
	if l == nil || c.cfg.KeepFinished == 0 || c.cache.Refused(c.now, calmAfter) || c.queues[ControlQueue].Len() > 0 || c.queues[UserQueue].Len() > 0 {
		return // packing takes only what nobody else needs
	}
	if l.Writing() || c.now >= o.markAt && c.excludeOlderReleases(l) {
		return
	}
	_, stamp := o.history.Mark()
	if stamp == 0 || c.cache.Revision < stamp || o.packer.Len() <= c.cfg.KeepFinished-c.cfg.KeepFinished/4 || c.queues[ArchiveQueue].Len() > 0 {
		return
	}
	share := packShare
	if o.packer.Len() > 2*c.cfg.KeepFinished {
		share = packShareMost
	}
	c.queues[ArchiveQueue].Rate = c.cfg.WriteRate * share
	lim := archive.Limits{Value: archive.Limit(c.cfg.ValueMax), Ops: c.cfg.TxnOps, Size: c.queues[ArchiveQueue].MaxBytes}
	o.packer.Step(c.now, c.packAge(), c, lim, func(w *store.Write) bool {
		if c.election.Leadership() != l {
			return false
		}
		w.Guards = append(w.Guards, l.Guard())
		return c.queues[ArchiveQueue].Add(w)
	})
}

// excludeOlderReleases writes the mark when it is due, and what keeps older releases out. It
// reports whether there was anything to write.
func (c *Core) excludeOlderReleases(l *election.Leadership) bool {
	o := &c.archived
	mark, stamp := o.history.Mark()
	nobodys := store.Change{Key: leaderKeyFirst, Value: store.Value(l.ExclusionRecord())}
	if !o.history.On() {
		if o.packer.Len() <= c.cfg.KeepFinished || !c.peers.AllRunFor(c.now, peering.ReleaseArchive, c.cfg.ArchiveSettleTime) {
			return false
		}
		for _, name := range sortedKeys(c.types) {
			if key := kindPrefix + name; c.cache.Version(key) == 0 {
				l.Write([]store.Guard{{Key: key}}, store.Change{Key: key, Value: store.Value(c.types[name])})
				return true
			}
		}
		mark = archive.Mark{Release: peering.ReleaseArchive, Cut: c.cache.Revision + 1}
		l.Write([]store.Guard{{Key: archiveKey}, {Key: leaderKeyArchived, Version: c.cache.Version(leaderKeyArchived)}, {Key: memberPrefix + c.cfg.Node, Version: c.membership.ID()}},
			store.Change{Key: leaderKeyArchived, Value: store.Value(l.Record(c.membership.ID())), Lease: c.membership.LeaseID()},
			nobodys,
			store.Change{Key: archiveKey, Value: store.Value(mark)})
		o.markAt = c.now + units.Second
		return true
	}
	o.markAt = c.now + units.Second/2
	if c.election.ExclusionNeeded() {
		l.Write([]store.Guard{{Key: leaderKeyFirst, Version: c.cache.Version(leaderKeyFirst)}},
			nobodys)
		o.markAt = c.now
		return true
	}
	for _, name := range sortedKeys(c.types) {
		if key := typePrefix + name; c.cache.Version(key) != 0 {
			l.Write([]store.Guard{{Key: key, Version: c.cache.Version(key)}}, store.Change{Key: key})
			o.markAt = c.now
			return true
		}
	}
	if stamp != 0 && o.packer.Len() <= c.cfg.KeepFinished {
		return false
	}
	// A new cut lets further jobs be packed.
	mark.Release, mark.Cut, mark.Jobs = peering.ReleaseArchive, max(mark.Cut, c.cache.Revision+1), mark.Jobs+o.packer.Done
	o.packer.Done = 0
	o.markAt = c.now + markEvery
	l.Write([]store.Guard{{Key: archiveKey, Version: stamp}}, store.Change{Key: archiveKey, Value: store.Value(mark)})
	return true
}

// pumpArchive sends the reads that are due.
func (c *Core) pumpArchive() {
	for _, r := range c.archived.history.Next(c.now, c.cache.Rate()/float64(c.cfg.Size)*lookShare) {
		c.emit(ReadKey{r, c.cache.HighestRevision()})
	}
}

// OnKey takes a bucket that was read; a nil value: it is not stored. rev is the
// service's revision where it told one, else 0.
func (c *Core) OnKey(now units.Microseconds, r ReadKey, o store.Outcome, value []byte, stamp, rev uint64) {
	c.advance(now)
	o = c.noteOutcome(o)
	if rev > 0 && c.cache.RolledBack(rev, r.Known) {
		o = store.Unknown
	}
	if err := c.archived.history.OnRead(now, r.Read, o, value, stamp); err != nil {
		c.log.Error("unusable record", "key", r.Key, "err", err)
	}
}

// OnScan takes some buckets.
func (c *Core) OnScan(now units.Microseconds, s ScanKeys, o store.Outcome, items []store.Event, more bool) {
	c.advance(now)
	o = c.noteOutcome(o)
	for _, key := range c.archived.history.OnScan(now, s.Scan, o, items, more) {
		c.log.Error("unusable record", "key", key)
	}
	if whole, n := c.archived.history.Whole(); whole && !more && o == store.OK {
		c.log.Info("packed jobs are known", "jobs", n)
	}
}

// restoreFinished puts right what a service that went back lists as unfinished although it is
// known here that it was over and packed: it must not start again. It returns what is
// to be written.
func (c *Core) restoreFinished(items []store.Event) []store.Event {
	var again []store.Event
	for i, e := range items {
		id, isJob := strings.CutPrefix(e.Key, jobPrefix)
		if !isJob || c.jobs.Get(id) != nil {
			continue
		}
		a, known := c.archived.history.Known(id)
		if r, err := jobs.DecodeRecord(e.Value); !known || err != nil || r.Status.Final() {
			continue
		}
		items[i].Value = jobs.Record{Status: a.Status, Tasks: a.Tasks, FinishedAt: a.FinishedAt}.Encode()
		again = append(again, items[i])
	}
	return again
}

// verifyArchived looks at what is remembered of packed jobs after the state service went back:
// what it has lost of them is written again.
func (c *Core) verifyArchived() {
	c.archived.history.Suspect()
	c.archived.doubts = c.archived.history.Remembered()
}

func (c *Core) verifyNextArchived() {
	o := &c.archived
	for len(o.doubts) > 0 && o.asked < doubtsAtOnce && c.cache.Loaded() && !c.cache.Recovering() {
		id := o.doubts[0]
		o.doubts = o.doubts[1:]
		a, known := o.history.Known(id)
		if c.jobs.Get(id) != nil || !known {
			continue
		}
		o.asked++
		o.history.Bucket(id, func(b *archive.Bucket, _ uint64) {
			o.asked--
			if b == nil {
				o.doubts = append(o.doubts, id)
				return
			}
			if _, stored := b.Find(id); stored || c.jobs.Get(id) != nil || slices.Contains(o.doubts, id) {
				return
			}
			c.log.Warn("written again", "job", id)
			rec := jobs.Record{Status: a.Status, Tasks: a.Tasks, FinishedAt: a.FinishedAt}
			c.writeAgain(store.Event{Key: jobPrefix + id, Value: rec.Encode()})
		})
	}
}
