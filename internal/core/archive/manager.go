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

// Host is the controller whose finished jobs are archived. The manager calls it from Tick, Pump and ApplyMark
// and when its reads and writes complete. The host must not call back into the manager, except that
// ArchivingStarted may call Index().Enabled.
type Host interface {
	// Emit sends a Read or a Scan.
	Emit(effect any)
	// ReadRate returns how many requests per second this controller may send to the state service. WriteRate
	// returns how many changes per second all controllers may make together.
	ReadRate() float64
	WriteRate() float64

	// CacheComplete reports whether the watch cache is complete and no recovery from a rollback of the state
	// service is in progress. CacheFresh reports whether it is also recent.
	CacheComplete() bool
	CacheFresh() bool
	// Revision returns the revision of the watch cache, HighestRevision the highest revision in any response.
	Revision() uint64
	HighestRevision() uint64
	// Version returns the version of a key in the watch cache.
	Version(key string) uint64

	// Leadership returns this controller's leadership, or nil if it is not the leader.
	Leadership() *election.Leadership
	// Member returns the id of this controller's membership and the id of its lease.
	Member() (id, leaseID uint64)
	// ExclusionNeeded reports whether the record that keeps older releases out still has to be written.
	ExclusionNeeded() bool
	// ArchivingStarted reports that archiving is enabled. From now on the leader record is at another key.
	ArchivingStarted() error
	// OlderReleasesRetired reports whether all controllers have run a release that finds archived jobs for
	// long enough that no request of an older release is still in flight.
	OlderReleasesRetired() bool
	// Types returns the machine types by name. The manager must not modify the map.
	Types() map[string]*fleet.Type

	// Job returns the job whose record is stored, or nil if there is none.
	Job(id string) *jobs.Job
	// Retained reports whether the record of a finished job must not be archived.
	Retained(id string) bool
	// Queue returns the queue for background writes, which only the manager uses.
	Queue() *store.WriteQueue
	// QueuesIdle reports whether no other writes are queued and the state service has not rate-limited
	// a request for at least the duration calm.
	QueuesIdle(calm units.Microseconds) bool
	// Rewrite stores a value again that the state service has lost.
	Rewrite(e store.Event)
}

// Config is the fixed configuration of a Manager.
type Config struct {
	Node         string
	Release      int // first release that finds archived jobs
	KeepFinished int // number of finished jobs above which the oldest are archived; 0: archive none
	// MinAge is the time for which a job must have been final. By then its worker machines have reported
	// their tasks of the job or have lost their leases.
	MinAge        units.Microseconds
	MaxValueBytes int // limit of a stored value in bytes
	TxnOps        int // limit of changes in a transaction
	Layout        jobs.ProgressLayout
	Log           *slog.Logger
}

const (
	// markInterval is the minimum time between two writes of the mark. Each makes the submissions in flight
	// fail, which are retried immediately.
	markInterval = 30 * units.Second
	// firstMarkRetryDelay and markRetryDelay are the delays until the next check whether the mark has to be
	// written: after the first mark was written, and otherwise.
	firstMarkRetryDelay = units.Second
	markRetryDelay      = units.Second / 2
	// quietPeriod is the time without a rate-limited request before jobs are archived.
	quietPeriod = 30 * units.Second
	// WriteShare is the largest fraction of the state service's rate of changes that archiving uses, and
	// maxWriteShare the fraction when more than twice KeepFinished jobs are kept.
	WriteShare    = 0.1
	maxWriteShare = 0.25
	// readShare is the fraction of a controller's rate of reads for lookups. The scan that fills the filter
	// after a start uses the same fraction again.
	readShare = 1.0 / 6
	// maxVerifying limits the concurrent lookups after a rollback of the state service.
	maxVerifying = 16
)

// Manager manages the finished jobs of a controller: the index of archived jobs and the list of jobs that may
// be archived. On the leader it archives the oldest jobs. Before it archives the first one, it keeps
// controllers of older releases out, because they would not find archived jobs.
type Manager struct {
	cfg        Config
	host       Host
	index      *Index
	archiver   *Archiver
	nextMarkAt units.Microseconds
	unverified []string // archived jobs whose summaries the state service may have lost
	verifying  int      // number of these jobs that are being looked up
}

// NewManager returns a manager without jobs.
func NewManager(cfg Config, host Host) *Manager {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	index := New()
	return &Manager{cfg: cfg, host: host, index: index, archiver: NewArchiver(index)}
}

// Index returns the index of archived jobs.
func (m *Manager) Index() *Index { return m.index }

// Stats are statistics for operators.
type Stats struct {
	Finished    int    // finished jobs that are not archived
	ArchivedIDs int    // archived jobs in the filter
	Reads       uint64 // buckets read for lookups since the start
	Refused     uint64 // lookups refused since the start
}

// Stats returns the current statistics.
func (m *Manager) Stats() Stats {
	_, archived := m.index.Complete()
	return Stats{Finished: m.archiver.Len(), ArchivedIDs: archived, Reads: m.index.Reads, Refused: m.index.Refused}
}

// ApplyMark applies the stored archive mark. The first mark enables archiving and moves the leader record to
// another key, of which ApplyMark notifies the host.
func (m *Manager) ApplyMark(e store.Event) error {
	before := m.index.Enabled()
	if err := m.index.ApplyMark(e.Value, e.Stamp); err != nil {
		return err
	}
	if before || !m.index.Enabled() {
		return nil
	}
	m.cfg.Log.Info("archiving of finished jobs is enabled")
	return m.host.ArchivingStarted()
}

// JobFinalized adds a job that has become final to the jobs to be archived.
func (m *Manager) JobFinalized(now units.Microseconds, id string) { m.archiver.JobFinalized(now, id) }

// JobArchived records that the record of a finished job has been deleted because the job was archived.
func (m *Manager) JobArchived(job *jobs.Job) {
	m.index.NoteArchived(job.ID)
	m.index.CacheSummary(job.ID, summaryOf(job))
	m.archiver.RecordRemoved(job.ID)
}

// RecordRemoved records that the record of a job has been deleted. The job need not have been known.
func (m *Manager) RecordRemoved(id string) { m.index.NoteArchived(id) }

// EventsMissed records that deletions of job records may have been missed.
func (m *Manager) EventsMissed() { m.index.Invalidate() }

func summaryOf(job *jobs.Job) Summary {
	return Summary{Status: job.Record.Status, Tasks: job.Record.Tasks, FinishedAt: job.Record.FinishedAt / units.Second * units.Second}
}

// encodeRecord returns the encoded job record that is stored when the summary has been lost.
func (a Summary) encodeRecord() []byte {
	return jobs.Record{Status: a.Status, Tasks: a.Tasks, FinishedAt: a.FinishedAt}.Encode()
}

// Candidate implements Source. A job on which an unfinished job depends is not archived, because the
// dependent job needs its result. Neither is a job whose other records still have to be deleted.
func (m *Manager) Candidate(id string, cutoff uint64) (Candidate, bool) {
	job := m.host.Job(id)
	if job == nil {
		return Candidate{}, false
	}
	out := Candidate{Summary: summaryOf(job), Key: keys.Job(id), Version: job.Version}
	if job.Active() || job.CancelledBy != "" || job.Version >= cutoff || job.Placed() > 0 || m.host.Retained(id) {
		return out, false
	}
	// The progress records of a cancelled job are still stored.
	for _, name := range m.cfg.Layout.Names(job.Record.Tasks) {
		if key := keys.Progress(id, name); m.host.Version(key) != 0 {
			out.Progress = append(out.Progress, key)
		}
	}
	return out, true
}

// Tick sends the lookups, scans and writes that are due.
func (m *Manager) Tick(now units.Microseconds) {
	m.verify()
	if !m.host.CacheFresh() {
		return
	}
	if scan := m.index.NextScan(now, units.Seconds(1/m.lookupRate())); scan != nil {
		m.host.Emit(*scan)
	}
	leadership := m.host.Leadership()
	// Archiving only uses capacity that nothing else needs.
	if leadership == nil || m.cfg.KeepFinished == 0 || !m.host.QueuesIdle(quietPeriod) {
		return
	}
	if leadership.Writing() || now >= m.nextMarkAt && m.writeMark(now, leadership) {
		return
	}
	if m.archivingDue() {
		m.step(now, leadership)
	}
}

// archivingDue reports whether finished jobs should be archived. Archiving goes on until a quarter fewer jobs
// than KeepFinished are left, so that it does not have to start again immediately.
func (m *Manager) archivingDue() bool {
	_, version := m.index.Mark()
	target := m.cfg.KeepFinished - m.cfg.KeepFinished/4
	return version != 0 && m.host.Revision() >= version && m.archiver.Len() > target && m.host.Queue().Len() == 0
}

// step runs one step of the archiver.
func (m *Manager) step(now units.Microseconds, leadership *election.Leadership) {
	share := WriteShare
	if m.archiver.Len() > 2*m.cfg.KeepFinished {
		share = maxWriteShare
	}
	queue := m.host.Queue()
	queue.Rate = m.host.WriteRate() * share
	limits := Limits{ValueBytes: ValueLimit(m.cfg.MaxValueBytes), TxnOps: m.cfg.TxnOps, TxnBytes: queue.MaxBytes}
	m.archiver.Step(now, m.cfg.MinAge, m, limits, func(w *store.Write) bool {
		if m.host.Leadership() != leadership {
			return false
		}
		w.Guards = append(w.Guards, leadership.Guard())
		return queue.Add(w)
	})
}

// writeMark writes the archive mark and the records that keep older releases out, if due. It reports
// whether there was anything to write.
func (m *Manager) writeMark(now units.Microseconds, leadership *election.Leadership) bool {
	if !m.index.Enabled() {
		return m.enableArchiving(now, leadership)
	}
	m.nextMarkAt = now + markRetryDelay
	if m.excludeOlderReleases(leadership) {
		m.nextMarkAt = now
		return true
	}
	return m.raiseCutoff(now, leadership)
}

// enableArchiving writes the first mark, after it has stored all machine types under the keys that are used
// once archiving is enabled. The same transaction moves the leader record.
func (m *Manager) enableArchiving(now units.Microseconds, leadership *election.Leadership) bool {
	if m.archiver.Len() <= m.cfg.KeepFinished || !m.host.OlderReleasesRetired() {
		return false
	}
	types := m.host.Types()
	for _, name := range slices.Sorted(maps.Keys(types)) {
		if key := keys.TypePrefixWithArchive + name; m.host.Version(key) == 0 {
			leadership.Write([]store.Guard{{Key: key}}, store.Change{Key: key, Value: store.Value(types[name])})
			return true
		}
	}
	member, leaseID := m.host.Member()
	first := Mark{Release: m.cfg.Release, Cutoff: m.host.Revision() + 1}
	leadership.Write(
		[]store.Guard{
			{Key: keys.ArchiveMark},
			{Key: keys.LeaderSinceArchive, Version: m.host.Version(keys.LeaderSinceArchive)},
			{Key: keys.MemberPrefix + m.cfg.Node, Version: member},
		},
		store.Change{Key: keys.LeaderSinceArchive, Value: store.Value(leadership.Record(member)), Lease: leaseID},
		store.Change{Key: keys.Leader, Value: store.Value(leadership.ExclusionRecord())},
		store.Change{Key: keys.ArchiveMark, Value: store.Value(first)})
	m.nextMarkAt = now + firstMarkRetryDelay
	return true
}

// excludeOlderReleases writes the record that keeps controllers of older releases out if it is missing, and
// deletes the machine types that they would load. It reports whether there was anything to write.
func (m *Manager) excludeOlderReleases(leadership *election.Leadership) bool {
	if m.host.ExclusionNeeded() {
		leadership.Write([]store.Guard{{Key: keys.Leader, Version: m.host.Version(keys.Leader)}},
			store.Change{Key: keys.Leader, Value: store.Value(leadership.ExclusionRecord())})
		return true
	}
	for _, name := range slices.Sorted(maps.Keys(m.host.Types())) {
		if key := keys.TypePrefix + name; m.host.Version(key) != 0 {
			leadership.Write([]store.Guard{{Key: key, Version: m.host.Version(key)}}, store.Change{Key: key})
			return true
		}
	}
	return false
}

// raiseCutoff raises the cutoff of the mark so that more jobs can be archived. It also writes the mark again
// if the state service has lost it. It reports whether there was anything to write.
func (m *Manager) raiseCutoff(now units.Microseconds, leadership *election.Leadership) bool {
	mark, version := m.index.Mark()
	if version != 0 && m.archiver.Len() <= m.cfg.KeepFinished {
		return false
	}
	mark.Release, mark.Cutoff, mark.Jobs = m.cfg.Release, max(mark.Cutoff, m.host.Revision()+1), mark.Jobs+m.archiver.takeArchived()
	m.nextMarkAt = now + markInterval
	leadership.Write([]store.Guard{{Key: keys.ArchiveMark, Version: version}}, store.Change{Key: keys.ArchiveMark, Value: store.Value(mark)})
	return true
}

func (m *Manager) lookupRate() float64 { return m.host.ReadRate() * readShare }

// Pump sends the reads of buckets that are due.
func (m *Manager) Pump(now units.Microseconds) {
	for _, read := range m.index.Next(now, m.lookupRate()) {
		read.KnownRevision = m.host.HighestRevision()
		m.host.Emit(read)
	}
}

// OnRead handles the response to a Read. value is nil if the bucket is not stored.
func (m *Manager) OnRead(now units.Microseconds, r Read, o store.Outcome, value []byte, version uint64) {
	if err := m.index.OnRead(now, r, o, value, version); err != nil {
		m.cfg.Log.Error("unusable record", "key", r.Key, "err", err)
	}
}

// OnScan handles the response to a Scan. more reports whether further buckets follow.
func (m *Manager) OnScan(now units.Microseconds, s Scan, o store.Outcome, items []store.Event, more bool) {
	for _, key := range m.index.OnScan(now, s, o, items, more) {
		m.cfg.Log.Error("unusable record", "key", key)
	}
	if complete, archived := m.index.Complete(); complete && !more && o == store.OK {
		m.cfg.Log.Info("scan of archived jobs is complete", "jobs", archived)
	}
}

// Restore corrects items, the listing of a state service after a rollback. It replaces the records of jobs
// that are listed as unfinished but cached here as archived, because these jobs must not start again. It
// returns the replaced records, which have to be stored again.
func (m *Manager) Restore(items []store.Event) []store.Event {
	var replaced []store.Event
	for i, e := range items {
		id, isJob := strings.CutPrefix(e.Key, keys.JobPrefix)
		if !isJob || m.host.Job(id) != nil {
			continue
		}
		summary, known := m.index.CachedSummary(id)
		if r, err := jobs.DecodeRecord(e.Value); !known || err != nil || r.Status.Final() {
			continue
		}
		items[i].Value = summary.encodeRecord()
		replaced = append(replaced, items[i])
	}
	return replaced
}

// RolledBack reports a rollback of the state service. Archived jobs whose summaries are cached here are
// looked up, and stored again if the service has lost them.
func (m *Manager) RolledBack() {
	m.index.Invalidate()
	m.unverified = m.index.CachedIDs()
}

// verify looks up archived jobs that the state service may have lost, up to maxVerifying at a time.
func (m *Manager) verify() {
	for len(m.unverified) > 0 && m.verifying < maxVerifying && m.host.CacheComplete() {
		id := m.unverified[0]
		m.unverified = m.unverified[1:]
		summary, known := m.index.CachedSummary(id)
		if m.host.Job(id) != nil || !known {
			continue
		}
		m.verifying++
		refused := m.index.Refused
		m.index.ReadBucket(id, func(b *Bucket, _ uint64) {
			m.verifying--
			m.verified(id, summary, b)
		})
		if m.index.Refused != refused {
			return // too many lookups are queued: verify this job and the remaining ones at a later tick
		}
	}
}

// verified checks that the bucket contains a job, and otherwise stores its record again. b is nil
// if the bucket could not be read.
func (m *Manager) verified(id string, summary Summary, b *Bucket) {
	if b == nil {
		m.unverified = append(m.unverified, id)
		return
	}
	// After another rollback the job is in unverified again, and will be looked up again.
	if _, stored := b.Find(id); stored || m.host.Job(id) != nil || slices.Contains(m.unverified, id) {
		return
	}
	m.cfg.Log.Warn("restoring the lost record of an archived job", "job", id)
	m.host.Rewrite(store.Event{Key: keys.Job(id), Value: summary.encodeRecord()})
}
