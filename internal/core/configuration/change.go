package configuration

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// minChangeInterval is the minimum time between two versions stored by one controller. Changes
	// that arrive in between are stored together as one version.
	minChangeInterval = units.Second / 4
	// maxPendingChanges limits the queue of changes; further requests are refused.
	maxPendingChanges = 128
	// maxAttempts is the maximum number of attempts to store one batch.
	maxAttempts = 4
	// repairInterval is the minimum time between two attempts to restore records that the state
	// service has lost.
	repairInterval = units.Second
	// collectDelay is the time for which chunks must have been unused before they are removed.
	collectDelay = 30 * units.Second
	// maxChunkBytesPerTxn limits the bytes of chunks in one transaction, so that the head also fits.
	maxChunkBytesPerTxn = store.MaxTxnBytes / 2
	maxIDBytes          = 64
	maxSummaryBytes     = 160 // of the authors, and of the summary, of a history entry
)

// Request asks for a change of some teams, or for a replacement of the whole content.
type Request struct {
	By string // the author
	// Base, if given, is the version that the change was made for. If another version is in force
	// when the change is processed, it fails with a *Conflict.
	Base        *uint64
	Teams       []TeamChange
	Replacement *Content // requires Base
}

// Result is the outcome of a request.
type Result struct {
	Version uint64 // that includes the change
	Err     error  // nil, *Invalid, *Conflict or *Unavailable
}

// Conflict is the error of a change whose base is not the current version.
type Conflict struct{ Base, Current uint64 }

func (e *Conflict) Error() string {
	return fmt.Sprintf("was made for version %d, and the present one is %d", e.Base, e.Current)
}

// Unavailable is the error of a change that could not be stored now. If Unknown is set, the write is
// in doubt: the change may have been stored, or may still be as long as no later version is stored.
type Unavailable struct {
	Reason  string
	Unknown bool
}

func (e *Unavailable) Error() string { return e.Reason }

// pendingChange is a queued request, with the number under which its result is reported.
type pendingChange struct {
	number  uint64
	request Request
}

// changeQueue holds the changes that wait, and the batch that is being stored.
type changeQueue struct {
	pending     []pendingChange
	current     *batch
	nextAt      units.Microseconds
	started     uint64 // batches so far; makes their ids unique
	repairAt    units.Microseconds
	unusedSince units.Microseconds // since when there are unused chunks; 0: there are none
	collecting  bool
}

// batch is a group of changes that become one version.
type batch struct {
	id             string
	changes        []pendingChange // without a response yet
	attempts       int
	outcomeUnknown bool // for at least one write: the batch may have been stored
	repair         bool // stores the version in force once more
	encoded        encoded
	head           head
	headVersion    uint64 // version of the head's key that guards the write
	entry          HistoryEntry
	missing        []string // chunks that still have to be stored
	withHead       int      // how many of these, from the end, are stored in the head's transaction
}

// Change queues a change. The result is passed to Host.Respond under the given request number.
// now is the controller's monotonic time, wall is the time of day.
func (m *Manager) Change(now, wall units.Microseconds, number uint64, r Request) {
	m.now, m.wall = max(m.now, now), wall
	if err := m.checkRequest(r); err != nil {
		m.host.Respond(number, Result{Err: err})
		return
	}
	if len(m.queue.pending) >= maxPendingChanges {
		m.host.Respond(number, Result{Err: &Unavailable{Reason: "too many changes wait"}})
		return
	}
	m.queue.pending = append(m.queue.pending, pendingChange{number, r})
	m.startBatch()
}

// checkRequest returns an *Invalid for a request that is invalid regardless of the current version.
func (m *Manager) checkRequest(r Request) error {
	if len(r.By) > MaxNameBytes {
		return invalid("by", "want at most %d bytes", MaxNameBytes)
	}
	if r.Replacement != nil && r.Base == nil {
		return invalid("base", "missing: the version for which the whole was made")
	}
	if r.Replacement == nil && len(r.Teams) == 0 {
		return invalid("teams", "nothing is changed")
	}
	if len(r.Teams) > MaxTeams {
		return invalid("teams", "want at most %d", MaxTeams)
	}
	return nil
}

// Tick does the periodic work: it starts the next batch, restores lost records and, if this controller
// is the leader (leads), removes unused chunks.
func (m *Manager) Tick(now, wall units.Microseconds, leads bool) {
	m.now, m.wall = max(m.now, now), wall
	if len(m.queue.pending) > 0 {
		m.startBatch()
	}
	if m.latestKnown == 0 {
		return
	}
	m.repair()
	m.collectGarbage(leads)
}

// startBatch begins to store the pending changes once the previous batch is done. Each batch begins with
// a fresh read, so that a conflict reports the version that is really the current one.
func (m *Manager) startBatch() {
	q := &m.queue
	if q.current != nil || len(q.pending) == 0 || m.now < q.nextAt {
		return
	}
	q.started++
	q.nextAt = m.now + minChangeInterval
	q.current = &batch{id: m.newID(), changes: q.pending}
	q.pending = nil
	m.readAndBuild(q.current)
}

// newID returns an id for a batch, made unique by the controller's name, the time of day and the number of
// batches. An id longer than maxIDBytes is replaced by its hash.
func (m *Manager) newID() string {
	id := fmt.Sprintf("%s.%x.%d", m.cfg.Node, int64(m.wall), m.queue.started)
	if len(id) > maxIDBytes {
		sum := sha256.Sum256([]byte(id))
		id = base64.RawURLEncoding.EncodeToString(sum[:])
	}
	return id
}

// readAndBuild waits for a fresh read of the state service and then builds a batch. If the read shows that an
// earlier attempt of unknown outcome has stored the batch, the batch is complete.
func (m *Manager) readAndBuild(x *batch) {
	m.host.ReadFresh(func(ok bool) {
		if !ok || !m.host.CacheCurrent() {
			m.failBatch(x, "the state service does not answer")
			return
		}
		if v, stored := m.storedAs(x.id); stored && !x.repair {
			m.completeBatch(x, v)
			return
		}
		m.build(x)
	})
}

// failBatch responds to all changes of a batch that they could not be stored.
func (m *Manager) failBatch(x *batch, reason string) {
	m.queue.current = nil
	for _, ch := range x.changes {
		m.host.Respond(ch.number, Result{Err: &Unavailable{reason, x.outcomeUnknown}})
	}
}

// completeBatch responds to all changes of a batch that they are stored as a version.
func (m *Manager) completeBatch(x *batch, version uint64) {
	m.queue.current = nil
	for _, ch := range x.changes {
		m.host.Respond(ch.number, Result{Version: version})
	}
}

// build makes the version that a batch asks for and begins to store it. Changes that cannot be
// applied are refused and left out.
func (m *Manager) build(batch *batch) {
	content := m.content
	if !batch.repair {
		content = m.merge(batch)
		if len(batch.changes) == 0 {
			m.queue.current = nil
			return
		}
		if content.equal(m.content) && !m.Behind() {
			m.completeBatch(batch, m.version) // the changes make no difference
			return
		}
	}
	var err error
	if batch.encoded, err = encode(content, m.cfg.MaxValueBytes); err != nil {
		m.rejectBatch(batch, err)
		return
	}
	batch.head = head{Version: max(m.latestKnown, m.version) + 1, ID: batch.id, Chunks: batch.encoded.names}
	batch.entry = HistoryEntry{Version: batch.head.Version, ID: batch.id, By: m.authors(batch), At: m.wall, Summary: summarize(m.content, content)}
	if batch.repair {
		batch.head.Version, batch.head.ID = m.version, m.id
		batch.entry = m.history[historyKey(m.version)]
		if batch.entry.Version != m.version {
			batch.entry = HistoryEntry{Version: m.version, ID: m.id, At: m.wall, Summary: "stored again, as the state service had lost it"}
		}
	}
	batch.headVersion = m.host.KeyVersion(HeadKey)
	batch.missing = m.missingChunks(batch.encoded)
	batch.withHead = m.chunksWithHead(batch)
	m.storeChunks(batch)
}

// rejectBatch refuses all changes of a batch with an error.
func (m *Manager) rejectBatch(batch *batch, err error) {
	m.queue.current = nil
	for _, ch := range batch.changes {
		m.host.Respond(ch.number, Result{Err: err})
	}
}

// merge applies the changes of a batch in order and returns the resulting content. Changes that cannot be
// applied are refused and removed from the batch.
func (m *Manager) merge(batch *batch) Content {
	content := m.content.pruned(m.wall, m.host.HasUnfinishedJobs)
	current := max(m.latestKnown, m.version)
	var accepted []pendingChange
	for _, ch := range batch.changes {
		next, err := m.applyRequest(content, ch.request, current, len(accepted) > 0)
		if err == nil && len(next.Teams) > len(content.Teams) {
			_, err = encode(next, m.cfg.MaxValueBytes)
		}
		if err != nil {
			m.host.Respond(ch.number, Result{Err: err})
			continue
		}
		content = next
		accepted = append(accepted, ch)
	}
	batch.changes = accepted
	return content
}

// applyRequest returns the content after one request. follows says that an earlier request of the same batch
// was accepted, so that a request made for the current version conflicts with it.
func (m *Manager) applyRequest(content Content, r Request, current uint64, follows bool) (Content, error) {
	if r.Base != nil && *r.Base != current {
		return content, &Conflict{*r.Base, current}
	}
	if r.Base != nil && follows {
		return content, &Conflict{*r.Base, current + 1}
	}
	if r.Replacement != nil {
		content = content.replacedBy(*r.Replacement, m.wall)
		return content, content.Check()
	}
	if m.Behind() {
		return content, &Unavailable{Reason: "records of the present version are missing here: give the whole"}
	}
	for _, ch := range r.Teams {
		var err error
		if content, err = content.withTeamChange(ch, m.wall); err != nil {
			return content, err
		}
	}
	return content, content.Check()
}

// authors returns the distinct authors of the changes of a batch, separated by commas.
func (m *Manager) authors(x *batch) string {
	var names []string
	for _, ch := range x.changes {
		if by := ch.request.By; by != "" && !slices.Contains(names, by) {
			names = append(names, by)
		}
	}
	return truncate(strings.Join(names, ", "))
}

func truncate(text string) string {
	if len(text) <= maxSummaryBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxSummaryBytes-3], "") + "..."
}

// missingChunks returns the chunks of a version that must be stored before its head. A chunk need not be
// stored if the present head names it: such chunks are never removed while the head stays the same.
func (m *Manager) missingChunks(e encoded) []string {
	var out []string
	for _, name := range e.names {
		present := m.headStored && slices.Contains(m.head.Chunks, name) && m.chunks[name] != nil
		if !present && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// chunksWithHead returns how many of the missing chunks fit into the head's transaction.
func (m *Manager) chunksWithHead(batch *batch) int {
	free, bytes := m.cfg.TxnOps-2, 0 // the head and its history entry
	n := 0
	for i := len(batch.missing) - 1; i >= 0 && n < free; i-- {
		bytes += len(batch.encoded.values[batch.missing[i]])
		if n > 0 && bytes > maxChunkBytesPerTxn {
			break
		}
		n++
	}
	return n
}

// storeChunks stores the chunks that do not fit into the head's transaction, then the head. Chunks are named
// by a hash of their content, so that storing one late or twice does no harm. None of them can be removed
// before the head is stored: a removal writes the head too (collectGarbage), and the head's write is
// guarded by the head's version.
func (m *Manager) storeChunks(batch *batch) {
	early := batch.missing[:len(batch.missing)-batch.withHead]
	if len(early) == 0 {
		m.storeHead(batch)
		return
	}
	w := &store.Write{First: true}
	bytes := 0
	for len(early) > 0 && len(w.Changes) < m.cfg.TxnOps {
		value := batch.encoded.values[early[0]]
		if bytes += len(value); len(w.Changes) > 0 && bytes > maxChunkBytesPerTxn {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(early[0]), Value: value})
		early = early[1:]
	}
	stored := len(w.Changes)
	w.Done = func(o store.Outcome, _ uint64) {
		if o != store.OK {
			m.retry(batch, o)
			return
		}
		batch.missing = batch.missing[stored:]
		m.storeChunks(batch)
	}
	m.queueWrite(batch, w)
}

// queueWrite queues a write of a batch. If the queue is full, the batch fails.
func (m *Manager) queueWrite(x *batch, w *store.Write) {
	if !m.host.Store(w) {
		m.failBatch(x, "too many changes wait for the state service")
	}
}

// storeHead stores the head with the remaining chunks, guarded by the head's version: of two concurrent
// writes one fails, and so does a delayed one. Unused chunks are removed as far as the transaction has
// space for them.
func (m *Manager) storeHead(batch *batch) {
	w := &store.Write{First: true, Guards: []store.Guard{{Key: HeadKey, Version: batch.headVersion}}}
	for _, name := range batch.missing {
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name), Value: batch.encoded.values[name]})
	}
	w.Changes = append(w.Changes, store.Change{Key: HeadKey, Value: store.Value(batch.head)}, store.Change{Key: historyKey(batch.entry.Version), Value: store.Value(batch.entry)})
	for _, name := range m.unusedChunks(batch.head.Chunks) {
		if len(w.Changes) >= m.cfg.TxnOps {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name)})
	}
	w.Done = func(o store.Outcome, _ uint64) {
		if o != store.OK {
			m.retry(batch, o)
			return
		}
		m.completeBatch(batch, batch.head.Version)
	}
	m.queueWrite(batch, w)
}

// unusedChunks returns the stored chunks that are not in a head's list of chunks, sorted.
func (m *Manager) unusedChunks(named []string) []string {
	var out []string
	for name := range m.chunks {
		if !slices.Contains(named, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// retry attempts a batch again after an outcome that was not OK. It starts over with a fresh read, which
// shows whether the failed attempt was stored after all. After maxAttempts the batch fails.
func (m *Manager) retry(x *batch, o store.Outcome) {
	x.outcomeUnknown = x.outcomeUnknown || o == store.Unknown
	if o == store.TooLarge {
		m.failBatch(x, "the state service takes no records of that size")
		return
	}
	if x.attempts++; x.attempts >= maxAttempts || x.repair {
		m.failBatch(x, "the state service did not store it")
		return
	}
	m.readAndBuild(x)
}

// repair stores the version in force again if the state service has lost it or some of its chunks.
func (m *Manager) repair() {
	queue := &m.queue
	if m.version == 0 || queue.current != nil || m.now < queue.repairAt || !m.host.CacheCurrent() {
		return
	}
	queue.repairAt = m.now + repairInterval
	older := !m.headStored || m.head.Version < m.version
	incomplete := m.headStored && m.head.ID == m.id && m.head.Version == m.version &&
		slices.ContainsFunc(m.head.Chunks, func(name string) bool { return m.chunks[name] == nil })
	if !older && !incomplete {
		return
	}
	m.cfg.Log.Warn("state service lost the configuration in force, storing it again", "version", m.version, "stored", m.head.Version)
	queue.current = &batch{id: m.id, repair: true}
	m.build(queue.current)
}

// collectGarbage removes unused chunks. The head is written again unchanged: its key gets a new version, so
// that a delayed write that is guarded by the earlier one can no longer be stored.
func (m *Manager) collectGarbage(leads bool) {
	queue := &m.queue
	if !leads || queue.current != nil || queue.collecting || !m.headStored || !m.host.CacheCurrent() || len(m.chunks) <= len(m.head.Chunks) {
		queue.unusedSince = 0
		return
	}
	if queue.unusedSince == 0 {
		queue.unusedSince = m.now
	}
	if m.now-queue.unusedSince < collectDelay {
		return
	}
	queue.unusedSince = 0
	w := &store.Write{Guards: []store.Guard{{Key: HeadKey, Version: m.host.KeyVersion(HeadKey)}},
		Changes: []store.Change{{Key: HeadKey, Value: store.Value(m.head)}}}
	for _, name := range m.unusedChunks(m.head.Chunks) {
		if len(w.Changes) >= m.cfg.TxnOps {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name)})
	}
	w.Done = func(store.Outcome, uint64) { queue.collecting = false }
	queue.collecting = m.host.Store(w)
}

// summarize describes the differences between two contents for the history.
func summarize(before, after Content) string {
	var parts []string
	for _, t := range after.Teams {
		i, exists := before.Find(t.Name)
		switch {
		case !exists:
			parts = append(parts, t.Name+": new")
		case t != before.Teams[i] && t.Removed != 0 && before.Teams[i].Removed == 0:
			parts = append(parts, t.Name+": removed")
		case t != before.Teams[i]:
			parts = append(parts, t.Name+": "+formatAmounts(before.Teams[i])+" -> "+formatAmounts(t))
		}
	}
	if !slices.Equal(before.Objectives, after.Objectives) {
		parts = append(parts, "objectives")
	}
	return truncate(strings.Join(parts, "; "))
}

// formatAmounts formats a team's guarantee and limit in CPUs/GPUs.
func formatAmounts(t Team) string {
	return fmt.Sprintf("%g/%g to %g/%g", float64(t.Guarantee[0])/1000, float64(t.Guarantee[1])/1000, float64(t.Limit[0])/1000, float64(t.Limit[1])/1000)
}
