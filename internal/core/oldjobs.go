package core

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watchcache"
)

// Jobs that are over leave memory once there are many: the leader packs their answers
// into buckets of package past, which controllers look up when they are asked.

// oldJobs is what a controller keeps for that.
type oldJobs struct {
	past   *archive.Past
	packer *archive.Packer
	markAt unit.Micros // the mark is not written before
	doubts []string    // jobs of which it is not sure that the service still has them
	asked  int         // of those, being looked up
	leads  map[string]store.Event
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
	// pastKey holds the mark that jobs are packed.
	pastKey = root + "past"
	// leadKeyPast holds the leader's claim once that is there. The key of before then
	// says, for good, that another leads: a controller of an older release that is
	// started afterwards never leads, holds nothing and learns no machine types from
	// anybody, so that it is never ready and accepts nothing. It would not find what
	// is packed.
	leadKeyPast = root + "lead"
	kindPrefix  = root + "kind/" // machine types since then
	keptOut     = "release-4"    // the name in that claim

	// markEvery is the least time between two marks, each of which fails the
	// submissions under way; they are tried again at once.
	markEvery = 30 * unit.Second
	// calmAfter is how long after a refusal for rates nothing is packed.
	calmAfter = 30 * unit.Second
	// packShare is the part of the state service's changes that packing takes at
	// most, and packShareMost that when twice as much is kept as should be.
	packShare     = 0.1
	packShareMost = 0.25
	// lookShare is the part of a controller's reads that lookups take, and as much
	// again is for filling the filter after a start.
	lookShare = 1.0 / 6
	// retryOld is when one should come back who asked for an old job while too many did.
	retryOld = 5 * unit.Second
	// doubtsAtOnce bounds the lookups under way after the state service went back.
	doubtsAtOnce = 16
)

// TermKey and PastKey are keys whose values a restore has to change.
const (
	TermKey = termKey
	PastKey = pastKey
)

// IsLeased reports whether a key and its value belong to a controller's lease: with
// that they are gone.
func IsLeased(e store.Event) bool {
	return strings.HasPrefix(e.Key, seatPrefix) || e.Key == leadKeyPast || e.Key == leadKeyFirst && !keepsOut(e.Value)
}

// keepsOut reports whether a claim is the one that keeps older releases out.
func keepsOut(claim []byte) bool {
	var c lead.Claim
	return json.Unmarshal(claim, &c) == nil && c.Node == keptOut
}

func newOldJobs() oldJobs {
	p := archive.New()
	return oldJobs{past: p, packer: archive.NewPacker(p), leads: map[string]store.Event{}}
}

// leadKey is where the leader's claim is stored.
func (c *Core) leadKey() string {
	if c.old.past.On() {
		return leadKeyPast
	}
	return leadKeyFirst
}

// typeKey is where a machine type is stored.
func (c *Core) typeKey(name string) string {
	if c.old.past.On() {
		return kindPrefix + name
	}
	return typePrefix + name
}

// learnLead takes a claim, if it is at the key that counts.
func (c *Core) learnLead(e store.Event) error {
	c.old.leads[e.Key] = e
	if e.Key != c.leadKey() {
		return nil
	}
	return c.learnClaim(e)
}

// learnMark takes the mark. From the first one on the lead is at another key.
func (c *Core) learnMark(e store.Event) error {
	was := c.old.past.On()
	if err := c.old.past.LearnMark(e.Value, e.Stamp); err != nil {
		return err
	}
	if now := c.old.past.On(); now && !was {
		c.log.Info("jobs that are over are packed from now on")
		// Also where nobody claims it: what keeps older releases out is no claim.
		return c.learnClaim(c.old.leads[leadKeyPast])
	}
	return nil
}

// tooOld reports whether a controller runs a release that cannot read what is packed, or
// does not go by the configuration that is stored.
func (c *Core) tooOld(node string) bool {
	return node != c.cfg.Node && (c.old.past.On() && c.releases[node] < releasePast || c.config.Changed() && c.releases[node] < releaseConfig)
}

// over notes that a job is over, so that it is packed some day.
func (c *Core) over(j *ledger.Job) { c.old.packer.Over(c.now, j.ID) }

// packed takes in that the record of a job is not there any more.
func (c *Core) packed(j *ledger.Job) {
	if j.Active() || j.Through != "" {
		return // not packed: nobody removes these
	}
	c.old.past.Packed(j.ID)
	c.old.past.Remember(j.ID, answerOf(j))
	c.old.packer.Gone(j.ID)
	if j.Placed() > 0 {
		j.Packed = true // its tasks count until their machines report them gone
		return
	}
	delete(c.jobs, j.ID)
}

// unplaced drops a packed job once nothing of it may be running any more.
func (c *Core) unplaced(j *ledger.Job) {
	if j.Packed && j.Placed() == 0 {
		delete(c.jobs, j.ID)
	}
}

func answerOf(j *ledger.Job) archive.Answer {
	return archive.Answer{Status: j.Record.Status, Tasks: j.Record.Tasks, Ended: j.Record.Ended / unit.Second * unit.Second}
}

// Packable says what is to be packed of a job that is over. One that an unfinished
// job awaits stays, as whoever learns of that one has to learn how it ended; so does
// one of which something is left to clean up.
func (c *Core) Packable(id string, cut uint64) (archive.Job, bool) {
	j := c.jobs[id]
	if j == nil {
		return archive.Job{}, false
	}
	out := archive.Job{Answer: answerOf(j), Key: jobPrefix + id, Stamp: j.Stamp}
	if j.Active() || j.Through != "" || j.Stamp >= cut || j.Placed() > 0 || c.graph.Named(id) || c.parts.Any(id) || c.untidy[id] {
		return out, false
	}
	// A cancelled job's finished tasks are still stored.
	for _, name := range c.layout.Names(j.Record.Tasks) {
		if k := progressKey(id, name); c.mirror.Stamp(k) != 0 {
			out.Clear = append(out.Clear, k)
		}
	}
	return out, true
}

// packAge is how long a job must be over: by then its machines have long reported
// what they ran of it, or lost their leases.
func (c *Core) packAge() unit.Micros { return 2*c.leaseBound() + c.cfg.CancelIn }

// tickOld does what is due for jobs that are over.
func (c *Core) tickOld() {
	o := &c.old
	c.noteMixed()
	c.settleDoubts()
	if !c.mirror.Loaded() || c.stateAge() > watchcache.Heartbeat+unit.Second/2 || c.mirror.Recovering() {
		return
	}
	rate := c.mirror.Rate() / float64(c.cfg.Size) * lookShare
	if s := o.past.NextScan(c.now, unit.Seconds(1/rate)); s != nil {
		c.emit(ScanKeys{*s})
	}
	l := c.leader
	if l == nil || c.cfg.KeepDone == 0 || c.mirror.Refused(c.now, calmAfter) || c.lanes[LeaderLane].Len() > 0 || c.lanes[UserLane].Len() > 0 {
		return // packing takes only what nobody else needs
	}
	if l.writing || c.now >= o.markAt && c.keepOut(l) {
		return
	}
	_, stamp := o.past.Mark()
	if stamp == 0 || c.mirror.Rev < stamp || o.packer.Len() <= c.cfg.KeepDone-c.cfg.KeepDone/4 || c.lanes[PackLane].Len() > 0 {
		return
	}
	share := packShare
	if o.packer.Len() > 2*c.cfg.KeepDone {
		share = packShareMost
	}
	c.lanes[PackLane].Rate = c.cfg.WriteRate * share
	lim := archive.Limits{Value: archive.Limit(c.cfg.ValueMax), Ops: c.cfg.TxnOps, Size: c.lanes[PackLane].MaxBytes}
	o.packer.Step(c.now, c.packAge(), c, lim, func(w *store.Write) bool {
		if c.leader != l {
			return false
		}
		w.Guards = append(w.Guards, store.Guard{Key: c.leadKey(), Stamp: l.stamp})
		return c.lanes[PackLane].Add(w)
	})
}

// keepOut writes the mark when it is due, and what keeps older releases out. It
// reports whether there was anything to write.
func (c *Core) keepOut(l *leader) bool {
	o := &c.old
	mark, stamp := o.past.Mark()
	nobodys := store.Change{Key: leadKeyFirst, Value: store.Value(lead.Claim{Term: l.term, Node: keptOut})}
	if !o.past.On() {
		if o.packer.Len() <= c.cfg.KeepDone || !c.settled(releasePast) {
			return false
		}
		for _, name := range sortedKeys(c.types) {
			if key := kindPrefix + name; c.mirror.Stamp(key) == 0 {
				l.write(c, []store.Guard{{Key: key}}, store.Change{Key: key, Value: store.Value(c.types[name])})
				return true
			}
		}
		mark = archive.Mark{Release: releasePast, Cut: c.mirror.Rev + 1}
		l.write(c, []store.Guard{{Key: pastKey}, {Key: leadKeyPast, Stamp: c.mirror.Stamp(leadKeyPast)}, {Key: seatPrefix + c.cfg.Node, Stamp: c.seats.ID()}},
			store.Change{Key: leadKeyPast, Value: store.Value(lead.Claim{Term: l.term, Node: c.cfg.Node, Seat: c.seats.ID()}), Lease: c.seats.Pass()},
			nobodys,
			store.Change{Key: pastKey, Value: store.Value(mark)})
		o.markAt = c.now + unit.Second
		return true
	}
	o.markAt = c.now + unit.Second/2
	if e := o.leads[leadKeyFirst]; !keepsOut(e.Value) {
		l.write(c, []store.Guard{{Key: leadKeyFirst, Stamp: c.mirror.Stamp(leadKeyFirst)}},
			nobodys)
		o.markAt = c.now
		return true
	}
	for _, name := range sortedKeys(c.types) {
		if key := typePrefix + name; c.mirror.Stamp(key) != 0 {
			l.write(c, []store.Guard{{Key: key, Stamp: c.mirror.Stamp(key)}}, store.Change{Key: key})
			o.markAt = c.now
			return true
		}
	}
	if stamp != 0 && o.packer.Len() <= c.cfg.KeepDone {
		return false
	}
	// A new cut lets further jobs be packed.
	mark.Release, mark.Cut, mark.Jobs = releasePast, max(mark.Cut, c.mirror.Rev+1), mark.Jobs+o.packer.Done
	o.packer.Done = 0
	o.markAt = c.now + markEvery
	l.write(c, []store.Guard{{Key: pastKey, Stamp: stamp}}, store.Change{Key: pastKey, Value: store.Value(mark)})
	return true
}

// pumpOld sends the reads that are due.
func (c *Core) pumpOld() {
	for _, r := range c.old.past.Next(c.now, c.mirror.Rate()/float64(c.cfg.Size)*lookShare) {
		c.emit(ReadKey{r, c.mirror.Seen()})
	}
}

// OnKey takes a bucket that was read; a nil value: it is not stored. rev is the
// service's revision where it told one, else 0.
func (c *Core) OnKey(now unit.Micros, r ReadKey, o store.Outcome, value []byte, stamp, rev uint64) {
	c.at(now)
	o = c.heard(o)
	if rev > 0 && c.mirror.Behind(rev, r.Known) {
		o = store.Unknown
	}
	if err := c.old.past.OnRead(now, r.Read, o, value, stamp); err != nil {
		c.log.Error("unusable record", "key", r.Key, "err", err)
	}
}

// OnScan takes some buckets.
func (c *Core) OnScan(now unit.Micros, s ScanKeys, o store.Outcome, items []store.Event, more bool) {
	c.at(now)
	o = c.heard(o)
	for _, key := range c.old.past.OnScan(now, s.Scan, o, items, more) {
		c.log.Error("unusable record", "key", key)
	}
	if whole, n := c.old.past.Whole(); whole && !more && o == store.OK {
		c.log.Info("packed jobs are known", "jobs", n)
	}
}

// answerOld tells how a packed job ended.
func (c *Core) answerOld(req ReqID, id string, a archive.Answer, counts bool) {
	out := JobAnswer{ID: id, Status: a.Status, Counts: counts}
	if a.Status == ledger.Done {
		out.Done = a.Tasks
	}
	c.reply(req, http.StatusOK, out)
}

// findOld answers a poll or a cancellation of a job whose record is not there, as of
// a read that began after the request came.
func (c *Core) findOld(req ReqID, id string, counts bool) {
	c.old.past.Find(id, false, func(v archive.Verdict, a archive.Answer) {
		switch v {
		case archive.Found:
			c.answerOld(req, id, a, counts)
		case archive.Absent:
			c.reply(req, http.StatusNotFound, Problem{"no such job"})
		default:
			c.send(Reply{Req: req, Code: http.StatusServiceUnavailable, Body: Problem{"too many requests for old jobs"}, RetryAfter: retryOld})
		}
	})
}

// lookUp finds out of a submission's own id, and of the jobs that it awaits, which
// are those of packed jobs. From then on the answers are at hand, or their absence
// is proven for whoever guards the mark of that time.
func (c *Core) lookUp(n newJob, then func(n newJob, ok bool)) {
	_, n.mark = c.old.past.Mark()
	if !c.old.past.On() {
		then(n, true)
		return
	}
	if c.mirror.Rev < n.mark { // the copy may lack what was accepted before the mark
		c.wantSync(func(ok bool) {
			if !ok {
				then(n, false)
				return
			}
			c.lookUp(n, then)
		})
		return
	}
	ids := []string{n.id}
	if n.spec != nil {
		ids = append(ids, n.spec.Awaits...)
	}
	n.absent = map[string]bool{}
	left, all := 1, true
	ended := func() {
		if left--; left == 0 {
			then(n, all)
		}
	}
	for _, id := range ids {
		if c.jobs[id] != nil {
			continue
		}
		left++
		c.old.past.Find(id, true, func(v archive.Verdict, _ archive.Answer) {
			all = all && v != archive.Unknown
			if v == archive.Absent {
				n.absent[id] = true
			}
			ended()
		})
	}
	ended()
}

// settleAwaits takes out of a description the awaited jobs that are over for so long
// that they may be packed at any moment: those that are done need not be waited for.
// cancelled reports that one was cancelled, and the job with it.
func (c *Core) settleAwaits(s *ledger.Spec) (spec *ledger.Spec, cancelled, ok bool) {
	mark, _ := c.old.past.Mark()
	if len(s.Awaits) == 0 || !c.old.past.On() {
		return s, false, true
	}
	out := *s
	out.Awaits = nil
	for _, id := range s.Awaits {
		var a archive.Answer
		j := c.jobs[id]
		switch {
		case j == nil:
			if a, ok = c.old.past.Known(id); !ok {
				return nil, false, false
			}
		case !j.Active() && j.Through == "" && j.Stamp < mark.Cut:
			a = answerOf(j)
		default:
			out.Awaits = append(out.Awaits, id)
			continue
		}
		cancelled = cancelled || a.Status == ledger.Cancelled
	}
	return &out, cancelled, true
}

// endAgain puts right what a service that went back lists as unfinished although it is
// known here that it was over and packed: it must not start again. It returns what is
// to be written.
func (c *Core) endAgain(items []store.Event) []store.Event {
	var again []store.Event
	for i, e := range items {
		id, isJob := strings.CutPrefix(e.Key, jobPrefix)
		if !isJob || c.jobs[id] != nil {
			continue
		}
		a, known := c.old.past.Known(id)
		if r, err := ledger.DecodeRecord(e.Value); !known || err != nil || r.Status.Final() {
			continue
		}
		items[i].Value = ledger.Record{Status: a.Status, Tasks: a.Tasks, Ended: a.Ended}.Encode()
		again = append(again, items[i])
	}
	return again
}

// doubt looks at what is remembered of packed jobs after the state service went back:
// what it has lost of them is written again.
func (c *Core) doubt() {
	c.old.past.Lost()
	c.old.doubts = c.old.past.Remembered()
}

func (c *Core) settleDoubts() {
	o := &c.old
	for len(o.doubts) > 0 && o.asked < doubtsAtOnce && c.mirror.Loaded() && !c.mirror.Recovering() {
		id := o.doubts[0]
		o.doubts = o.doubts[1:]
		a, known := o.past.Known(id)
		if c.jobs[id] != nil || !known {
			continue
		}
		o.asked++
		o.past.Bucket(id, func(b *archive.Bucket, _ uint64) {
			o.asked--
			if b == nil {
				o.doubts = append(o.doubts, id)
				return
			}
			if _, stored := b.Find(id); stored || c.jobs[id] != nil || slices.Contains(o.doubts, id) {
				return
			}
			c.log.Warn("written again", "job", id)
			rec := ledger.Record{Status: a.Status, Tasks: a.Tasks, Ended: a.Ended}
			c.writeAgain(store.Event{Key: jobPrefix + id, Value: rec.Encode()})
		})
	}
}
