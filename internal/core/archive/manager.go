package archive

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Host is the controller whose finished jobs are archived. The keeper calls it from Tick and
// Pump and from the answers to its reads and writes. It calls back into none of the keeper's
// methods but for ArchivingStarted, which may ask the keeper's Index whether it is on.
type Host interface {
	// Emit sends a Read or a Scan.
	Emit(effect any)
	// ReadRate is how many requests a second this controller may send to the state service,
	// and WriteRate how many changes a second all controllers may make together.
	ReadRate() float64
	WriteRate() float64

	// CacheComplete reports whether the copy of the state service's keys is whole, and as the
	// service has it after it went back; CacheFresh whether it is recent as well.
	CacheComplete() bool
	CacheFresh() bool
	// Revision is the one that the copy shows, HighestRevision the highest that any answer showed.
	Revision() uint64
	HighestRevision() uint64
	// Version is the version of a key in the copy.
	Version(key string) uint64

	// Leadership is what this controller may do as the leader; nil unless it leads.
	Leadership() *election.Leadership
	// Member returns this controller's membership and the lease that it rests on.
	Member() (id, leaseID uint64)
	// ExclusionNeeded reports whether the leader record does not keep older releases out yet.
	ExclusionNeeded() bool
	// ArchivingStarted says that the leader record is elsewhere from now on.
	ArchivingStarted() error
	// OlderReleasesRetired reports whether all controllers have run a release that finds archived
	// jobs for so long that nothing of an older one's is under way.
	OlderReleasesRetired() bool
	// Types are the machine types, by name; the map is the host's own.
	Types() map[string]*fleet.Type

	// Job returns a job whose record is stored; nil: there is none.
	Job(id string) *jobs.Job
	// Retained reports whether a finished job's record must stay.
	Retained(id string) bool
	// Queue is the queue of writes that nobody waits for, used by the keeper alone.
	Queue() *store.WriteQueue
	// QueuesIdle reports whether nothing else waits to be written, and the state service has
	// refused nothing as too much for a while.
	QueuesIdle(calm units.Microseconds) bool
	// Rewrite stores a value that the state service has lost.
	Rewrite(e store.Event)
}

// Config is set when a keeper starts.
type Config struct {
	Node         string
	Release      int // the first that finds archived jobs
	KeepFinished int // finished jobs that are kept before the oldest are archived; 0: all
	// MinAge is for how long a job must be over: by then its machines have long reported what
	// they ran of it, or lost their leases.
	MinAge        units.Microseconds
	MaxValueBytes int // bytes of a stored value
	TxnOps        int // changes of a transaction
	Layout        jobs.ProgressLayout
	Log           *slog.Logger
}

const (
	// markInterval is the least time between two marks, each of which fails the submissions
	// under way; they are tried again at once.
	markInterval = 30 * units.Second
	// firstMarkRetry and nextMarkRetry are when it is looked again whether a mark is due.
	firstMarkRetry = units.Second
	nextMarkRetry  = units.Second / 2
	// calmFor is for how long the state service must not have refused anything as too much.
	calmFor = 30 * units.Second
	// WriteShare is the part of the state service's changes that archiving takes at most, and
	// writeShareMost that when twice as much is kept as should be.
	WriteShare     = 0.1
	writeShareMost = 0.25
	// readShare is the part of a controller's reads that lookups take, and as much again is
	// for filling the filter after a start.
	readShare = 1.0 / 6
	// verifiedAtOnce bounds the lookups under way after the state service went back.
	verifiedAtOnce = 16
)

// Manager does for finished jobs what a controller has to: it keeps the index of those that are
// archived, and the list of those that may be; as the leader it archives the oldest, and
// before the first it has controllers of older releases kept out, which would not find them.
type Manager struct {
	cfg        Config
	host       Host
	index      *Index
	archiver   *Archiver
	nextMarkAt units.Microseconds
	unverified []string // archived jobs of which the state service may have lost the answers
	verifying  int      // of those, being looked up
}

// NewManager returns one that knows of no job.
func NewManager(cfg Config, host Host) *Manager {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	index := New()
	return &Manager{cfg: cfg, host: host, index: index, archiver: NewArchiver(index)}
}

// Index returns what is known of archived jobs.
func (k *Manager) Index() *Index { return k.index }

// Stats are figures for operators.
type Stats struct {
	Finished    int    // jobs that are over and not archived
	ArchivedIDs int    // archived jobs that the filter holds
	Reads       uint64 // buckets read since the start
	Refused     uint64 // lookups refused since the start
}

// Stats returns the present figures.
func (k *Manager) Stats() Stats {
	_, archived := k.index.Complete()
	return Stats{Finished: k.archiver.Len(), ArchivedIDs: archived, Reads: k.index.Reads, Refused: k.index.Refused}
}

// ApplyMark takes the mark as it is stored. From the first one on the leader record is at
// another key.
func (k *Manager) ApplyMark(e store.Event) error {
	before := k.index.Enabled()
	if err := k.index.ApplyMark(e.Value, e.Stamp); err != nil {
		return err
	}
	if before || !k.index.Enabled() {
		return nil
	}
	k.cfg.Log.Info("finished jobs are archived from now on")
	return k.host.ArchivingStarted()
}

// JobFinalized notes that a job is over, so that it is archived some day.
func (k *Manager) JobFinalized(now units.Microseconds, id string) { k.archiver.JobFinalized(now, id) }

// JobArchived notes that the record of a finished job has been removed.
func (k *Manager) JobArchived(job *jobs.Job) {
	k.index.NoteArchived(job.ID)
	k.index.CacheSummary(job.ID, answerOf(job))
	k.archiver.RecordRemoved(job.ID)
}

// RecordRemoved notes that a job's record is not there, also of one that was never known.
func (k *Manager) RecordRemoved(id string) { k.index.NoteArchived(id) }

// EventsMissed says that removals may have been missed.
func (k *Manager) EventsMissed() { k.index.Invalidate() }

func answerOf(job *jobs.Job) Summary {
	return Summary{Status: job.Record.Status, Tasks: job.Record.Tasks, FinishedAt: job.Record.FinishedAt / units.Second * units.Second}
}

// record is what is stored of a job in place of its answer.
func (a Summary) record() []byte {
	return jobs.Record{Status: a.Status, Tasks: a.Tasks, FinishedAt: a.FinishedAt}.Encode()
}

// Candidate implements Jobs. A job that an unfinished one awaits stays, as whoever learns of
// that one has to learn how it ended; so does one of which something is left to delete.
func (k *Manager) Candidate(id string, cut uint64) (Candidate, bool) {
	job := k.host.Job(id)
	if job == nil {
		return Candidate{}, false
	}
	out := Candidate{Summary: answerOf(job), Key: keys.Job(id), Version: job.Version}
	if job.Active() || job.CancelledBy != "" || job.Version >= cut || job.Placed() > 0 || k.host.Retained(id) {
		return out, false
	}
	// A cancelled job's finished tasks are still stored.
	for _, name := range k.cfg.Layout.Names(job.Record.Tasks) {
		if key := keys.Progress(id, name); k.host.Version(key) != 0 {
			out.Progress = append(out.Progress, key)
		}
	}
	return out, true
}

// Tick does what is due for finished jobs.
func (k *Manager) Tick(now units.Microseconds) {
	k.verify()
	if !k.host.CacheFresh() {
		return
	}
	if scan := k.index.NextScan(now, units.Seconds(1/k.readRate())); scan != nil {
		k.host.Emit(*scan)
	}
	leadership := k.host.Leadership()
	// Archiving takes only what nobody else needs.
	if leadership == nil || k.cfg.KeepFinished == 0 || !k.host.QueuesIdle(calmFor) {
		return
	}
	if leadership.Writing() || now >= k.nextMarkAt && k.mark(now, leadership) {
		return
	}
	if k.due() {
		k.step(now, leadership)
	}
}

// due reports whether finished jobs should be archived: some more than needed, so that it
// does not begin again at once.
func (k *Manager) due() bool {
	_, version := k.index.Mark()
	keep := k.cfg.KeepFinished - k.cfg.KeepFinished/4
	return version != 0 && k.host.Revision() >= version && k.archiver.Len() > keep && k.host.Queue().Len() == 0
}

// step archives some jobs.
func (k *Manager) step(now units.Microseconds, leadership *election.Leadership) {
	share := WriteShare
	if k.archiver.Len() > 2*k.cfg.KeepFinished {
		share = writeShareMost
	}
	queue := k.host.Queue()
	queue.Rate = k.host.WriteRate() * share
	limits := Limits{ValueBytes: ValueLimit(k.cfg.MaxValueBytes), TxnOps: k.cfg.TxnOps, TxnBytes: queue.MaxBytes}
	k.archiver.Step(now, k.cfg.MinAge, k, limits, func(w *store.Write) bool {
		if k.host.Leadership() != leadership {
			return false
		}
		w.Guards = append(w.Guards, leadership.Guard())
		return queue.Add(w)
	})
}

// mark writes the mark when it is due, and what keeps older releases out. It reports whether
// there was anything to write.
func (k *Manager) mark(now units.Microseconds, leadership *election.Leadership) bool {
	if !k.index.Enabled() {
		return k.begin(now, leadership)
	}
	k.nextMarkAt = now + nextMarkRetry
	if k.excludeOlderReleases(leadership) {
		k.nextMarkAt = now
		return true
	}
	return k.raiseCut(now, leadership)
}

// begin writes the first mark, once all machine types are stored where they are looked for
// from then on. The leader record moves with it.
func (k *Manager) begin(now units.Microseconds, leadership *election.Leadership) bool {
	if k.archiver.Len() <= k.cfg.KeepFinished || !k.host.OlderReleasesRetired() {
		return false
	}
	types := k.host.Types()
	for _, name := range slices.Sorted(maps.Keys(types)) {
		if key := keys.TypePrefixWithArchive + name; k.host.Version(key) == 0 {
			leadership.Write([]store.Guard{{Key: key}}, store.Change{Key: key, Value: store.Value(types[name])})
			return true
		}
	}
	member, leaseID := k.host.Member()
	first := Mark{Release: k.cfg.Release, Cutoff: k.host.Revision() + 1}
	leadership.Write(
		[]store.Guard{
			{Key: keys.ArchiveMark},
			{Key: keys.LeaderSinceArchive, Version: k.host.Version(keys.LeaderSinceArchive)},
			{Key: keys.MemberPrefix + k.cfg.Node, Version: member},
		},
		store.Change{Key: keys.LeaderSinceArchive, Value: store.Value(leadership.Record(member)), Lease: leaseID},
		store.Change{Key: keys.Leader, Value: store.Value(leadership.ExclusionRecord())},
		store.Change{Key: keys.ArchiveMark, Value: store.Value(first)})
	k.nextMarkAt = now + firstMarkRetry
	return true
}

// excludeOlderReleases writes what keeps controllers of older releases out, where it is not
// there, and removes the machine types that they would learn. It reports whether there was
// anything to write.
func (k *Manager) excludeOlderReleases(leadership *election.Leadership) bool {
	if k.host.ExclusionNeeded() {
		leadership.Write([]store.Guard{{Key: keys.Leader, Version: k.host.Version(keys.Leader)}},
			store.Change{Key: keys.Leader, Value: store.Value(leadership.ExclusionRecord())})
		return true
	}
	for _, name := range slices.Sorted(maps.Keys(k.host.Types())) {
		if key := keys.TypePrefix + name; k.host.Version(key) != 0 {
			leadership.Write([]store.Guard{{Key: key, Version: k.host.Version(key)}}, store.Change{Key: key})
			return true
		}
	}
	return false
}

// raiseCut lets further jobs be archived. A mark that the state service has lost is written
// again in any case.
func (k *Manager) raiseCut(now units.Microseconds, leadership *election.Leadership) bool {
	mark, version := k.index.Mark()
	if version != 0 && k.archiver.Len() <= k.cfg.KeepFinished {
		return false
	}
	mark.Release, mark.Cutoff, mark.Jobs = k.cfg.Release, max(mark.Cutoff, k.host.Revision()+1), mark.Jobs+k.archiver.takeArchived()
	k.nextMarkAt = now + markInterval
	leadership.Write([]store.Guard{{Key: keys.ArchiveMark, Version: version}}, store.Change{Key: keys.ArchiveMark, Value: store.Value(mark)})
	return true
}

func (k *Manager) readRate() float64 { return k.host.ReadRate() * readShare }

// Pump sends the reads that are due.
func (k *Manager) Pump(now units.Microseconds) {
	for _, read := range k.index.Next(now, k.readRate()) {
		read.KnownRevision = k.host.HighestRevision()
		k.host.Emit(read)
	}
}

// OnRead takes a bucket that was read; a nil value: it is not stored.
func (k *Manager) OnRead(now units.Microseconds, r Read, o store.Outcome, value []byte, version uint64) {
	if err := k.index.OnRead(now, r, o, value, version); err != nil {
		k.cfg.Log.Error("unusable record", "key", r.Key, "err", err)
	}
}

// OnScan takes some buckets; more says that there are others.
func (k *Manager) OnScan(now units.Microseconds, s Scan, o store.Outcome, items []store.Event, more bool) {
	for _, key := range k.index.OnScan(now, s, o, items, more) {
		k.cfg.Log.Error("unusable record", "key", key)
	}
	if whole, archived := k.index.Complete(); whole && !more && o == store.OK {
		k.cfg.Log.Info("archived jobs are known", "jobs", archived)
	}
}

// Restore puts right what a state service that went back lists as unfinished although it is
// known here that it was over and archived: it must not start again. It returns what is to
// be written.
func (k *Manager) Restore(items []store.Event) []store.Event {
	var again []store.Event
	for i, e := range items {
		id, isJob := strings.CutPrefix(e.Key, keys.JobPrefix)
		if !isJob || k.host.Job(id) != nil {
			continue
		}
		answer, known := k.index.CachedSummary(id)
		if r, err := jobs.DecodeRecord(e.Value); !known || err != nil || r.Status.Final() {
			continue
		}
		items[i].Value = answer.record()
		again = append(again, items[i])
	}
	return again
}

// RolledBack says that the state service went back: what it has lost of the archived jobs
// that are remembered here is written again.
func (k *Manager) RolledBack() {
	k.index.Invalidate()
	k.unverified = k.index.CachedIDs()
}

// verify looks up some of the archived jobs that the state service may have lost.
func (k *Manager) verify() {
	for len(k.unverified) > 0 && k.verifying < verifiedAtOnce && k.host.CacheComplete() {
		id := k.unverified[0]
		k.unverified = k.unverified[1:]
		answer, known := k.index.CachedSummary(id)
		if k.host.Job(id) != nil || !known {
			continue
		}
		k.verifying++
		refused := k.index.Refused
		k.index.ReadBucket(id, func(b *Bucket, _ uint64) {
			k.verifying--
			k.verified(id, answer, b)
		})
		if k.index.Refused != refused {
			return // too many wait: this one and the others are looked up at a later tick
		}
	}
}

// verified takes the bucket in which a job's answer should be; nil: it could not be read.
func (k *Manager) verified(id string, answer Summary, b *Bucket) {
	if b == nil {
		k.unverified = append(k.unverified, id)
		return
	}
	// It may be suspected once more meanwhile, and is looked up again then.
	if _, stored := b.Find(id); stored || k.host.Job(id) != nil || slices.Contains(k.unverified, id) {
		return
	}
	k.cfg.Log.Warn("written again", "job", id)
	k.host.Rewrite(store.Event{Key: keys.Job(id), Value: answer.record()})
}
