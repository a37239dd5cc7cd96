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
	// changeEvery is the least time between two versions that one controller stores:
	// changes that come meanwhile are stored together.
	changeEvery = units.Second / 4
	// maxWaiting bounds the changes that wait.
	maxWaiting = 128
	// maxTries bounds how often a change is tried again whose outcome was not OK.
	maxTries = 4
	// repairEvery is the least time between two tries to store again what the service lost.
	repairEvery = units.Second
	// collectAfter is for how long chunks must have been of no use before they are removed.
	collectAfter = 30 * units.Second
	// partBytes bounds what goes into one transaction beside the head.
	partBytes = store.MaxTxnBytes / 2
	maxID     = 64
	maxText   = 160 // bytes of who and what in the history
)

// Request asks for a change: of some teams, or of the whole.
type Request struct {
	By string // who asks
	// Base, if given, is the version that the change was made for: where another is in
	// force by then, nothing is changed.
	Base  *uint64
	Teams []TeamChange
	Whole *Content // needs Base
}

// Answer is the outcome of a request.
type Answer struct {
	Version uint64 // that holds the change
	Err     error  // nil, *Invalid, *Missed or *Unavailable
}

// Missed says that a change was made for another version than the present one.
type Missed struct{ Base, Current uint64 }

func (e *Missed) Error() string {
	return fmt.Sprintf("was made for version %d, and the present one is %d", e.Base, e.Current)
}

// Unavailable says that a change could not be stored now. Unknown: it may have been, or may
// yet be as long as no later version is stored.
type Unavailable struct {
	Reason  string
	Unknown bool
}

func (e *Unavailable) Error() string { return e.Reason }

type waitingChange struct {
	number  uint64
	request Request
}

// changeQueue holds the changes that wait, and the one that is being stored.
type changeQueue struct {
	waiting  []waitingChange
	current  *batch
	nextAt   units.Microseconds
	made     uint64 // batches
	repairAt units.Microseconds
	unusedAt units.Microseconds // since when there are chunks of no use; 0: there are none
	cleaning bool
}

// batch is a group of changes that become one version.
type batch struct {
	id      string
	changes []waitingChange // not answered yet
	tries   int
	unknown bool // an outcome was not known
	repair  bool // stores the version in force again
	encoded encoded
	head    head
	headAt  uint64 // version of the head's key that is guarded
	entry   Entry
	missing []string // chunks that are still to be stored
	inHead  int      // of these, the last ones, which go with the head
}

// Change asks for a change; the host is told the answer.
func (b *Versions) Change(now, wall units.Microseconds, number uint64, r Request) {
	b.now, b.wall = max(b.now, now), wall
	if err := b.checkRequest(r); err != nil {
		b.host.Answered(number, Answer{Err: err})
		return
	}
	if len(b.queue.waiting) >= maxWaiting {
		b.host.Answered(number, Answer{Err: &Unavailable{Reason: "too many changes wait"}})
		return
	}
	b.queue.waiting = append(b.queue.waiting, waitingChange{number, r})
	b.pump()
}

func (b *Versions) checkRequest(r Request) error {
	if len(r.By) > MaxName {
		return invalid("by", "want at most %d bytes", MaxName)
	}
	if r.Whole != nil && r.Base == nil {
		return invalid("base", "missing: the version for which the whole was made")
	}
	if r.Whole == nil && len(r.Teams) == 0 {
		return invalid("teams", "nothing is changed")
	}
	if len(r.Teams) > MaxTeams {
		return invalid("teams", "want at most %d", MaxTeams)
	}
	return nil
}

// Tick does what time asks for. leads says that this controller leads: it cleans up.
func (b *Versions) Tick(now, wall units.Microseconds, leads bool) {
	b.now, b.wall = max(b.now, now), wall
	if len(b.queue.waiting) > 0 {
		b.pump()
	}
	if b.latestKnown == 0 {
		return
	}
	b.repair()
	b.collectGarbage(leads)
}

// pump begins to store the changes that wait, once those before are stored. Each batch
// begins with a fresh read, so that whoever missed a version is told the right one.
func (b *Versions) pump() {
	q := &b.queue
	if q.current != nil || len(q.waiting) == 0 || b.now < q.nextAt {
		return
	}
	q.made++
	q.nextAt = b.now + changeEvery
	q.current = &batch{id: b.newID(), changes: q.waiting}
	q.waiting = nil
	b.read(q.current)
}

func (b *Versions) newID() string {
	id := fmt.Sprintf("%s.%x.%d", b.cfg.Node, int64(b.wall), b.queue.made)
	if len(id) > maxID {
		sum := sha256.Sum256([]byte(id))
		id = base64.RawURLEncoding.EncodeToString(sum[:])
	}
	return id
}

// read reads afresh and goes on with a batch.
func (b *Versions) read(x *batch) {
	b.host.Read(func(ok bool) {
		if !ok || !b.host.Current() {
			b.giveUp(x, "the state service does not answer")
			return
		}
		if v, stored := b.storedAs(x.id); stored && !x.repair {
			b.done(x, v)
			return
		}
		b.build(x)
	})
}

// giveUp answers all changes of a batch that they could not be stored.
func (b *Versions) giveUp(x *batch, why string) {
	b.queue.current = nil
	for _, ch := range x.changes {
		b.host.Answered(ch.number, Answer{Err: &Unavailable{why, x.unknown}})
	}
}

// done answers all changes of a batch that are stored.
func (b *Versions) done(x *batch, version uint64) {
	b.queue.current = nil
	for _, ch := range x.changes {
		b.host.Answered(ch.number, Answer{Version: version})
	}
}

// build makes the version that a batch asks for and begins to store it. What cannot be done
// is answered and left out.
func (b *Versions) build(batch *batch) {
	content := b.content
	if !batch.repair {
		content = b.merge(batch)
		if len(batch.changes) == 0 {
			b.queue.current = nil
			return
		}
		if content.equal(b.content) && !b.Behind() {
			b.done(batch, b.version) // nothing is to be stored
			return
		}
	}
	var err error
	if batch.encoded, err = encode(content, b.cfg.ValueMax); err != nil {
		b.refuse(batch, err)
		return
	}
	batch.head = head{Version: max(b.latestKnown, b.version) + 1, ID: batch.id, Chunks: batch.encoded.names}
	batch.entry = Entry{Version: batch.head.Version, ID: batch.id, By: b.authors(batch), At: b.wall, What: summary(b.content, content)}
	if batch.repair {
		batch.head.Version, batch.head.ID = b.version, b.id
		batch.entry = b.history[historyKey(b.version)]
		if batch.entry.Version != b.version {
			batch.entry = Entry{Version: b.version, ID: b.id, At: b.wall, What: "stored again, as the state service had lost it"}
		}
	}
	batch.headAt = b.host.Stamp(HeadKey)
	batch.missing = b.lacking(batch.encoded)
	batch.inHead = b.chunksWithHead(batch)
	b.storeChunks(batch)
}

func (b *Versions) refuse(batch *batch, err error) {
	b.queue.current = nil
	for _, ch := range batch.changes {
		b.host.Answered(ch.number, Answer{Err: err})
	}
}

// merge returns the content with all changes of a batch that can be made, one after the
// other; the others are answered.
func (b *Versions) merge(batch *batch) Content {
	content := b.content.tidied(b.wall, b.host.Busy)
	current := max(b.latestKnown, b.version)
	var accepted []waitingChange
	for _, ch := range batch.changes {
		next, err := b.apply(content, ch.request, current, len(accepted) > 0)
		if err == nil && len(next.Teams) > len(content.Teams) {
			_, err = encode(next, b.cfg.ValueMax)
		}
		if err != nil {
			b.host.Answered(ch.number, Answer{Err: err})
			continue
		}
		content = next
		accepted = append(accepted, ch)
	}
	batch.changes = accepted
	return content
}

// apply returns the content after one request. others says that requests of the same batch
// come before it.
func (b *Versions) apply(content Content, r Request, current uint64, others bool) (Content, error) {
	if r.Base != nil && *r.Base != current {
		return content, &Missed{*r.Base, current}
	}
	if r.Base != nil && others {
		return content, &Missed{*r.Base, current + 1}
	}
	if r.Whole != nil {
		content = content.replaced(*r.Whole, b.wall)
		return content, content.Check()
	}
	if b.Behind() {
		return content, &Unavailable{Reason: "records of the present version are missing here: give the whole"}
	}
	for _, ch := range r.Teams {
		var err error
		if content, err = content.with(ch, b.wall); err != nil {
			return content, err
		}
	}
	return content, content.Check()
}

// authors names who asked for the changes of a batch.
func (b *Versions) authors(x *batch) string {
	var names []string
	for _, ch := range x.changes {
		if by := ch.request.By; by != "" && !slices.Contains(names, by) {
			names = append(names, by)
		}
	}
	return shortened(strings.Join(names, ", "))
}

func shortened(service string) string {
	if len(service) <= maxText {
		return service
	}
	return strings.ToValidUTF8(service[:maxText-3], "") + "..."
}

// lacking returns the chunks of a version that the service does not surely have as long as
// the head stays as it is: only chunks that a head names are never removed.
func (b *Versions) lacking(e encoded) []string {
	var out []string
	for _, name := range e.names {
		kept := b.headThere && slices.Contains(b.head.Chunks, name) && b.chunks[name] != nil
		if !kept && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// chunksWithHead returns how many of the missing chunks go into the head's own transaction.
func (b *Versions) chunksWithHead(batch *batch) int {
	free, bytes := b.cfg.TxnOps-2, 0 // the head and its entry of the history
	n := 0
	for i := len(batch.missing) - 1; i >= 0 && n < free; i-- {
		bytes += len(batch.encoded.values[batch.missing[i]])
		if n > 0 && bytes > partBytes {
			break
		}
		n++
	}
	return n
}

// storeChunks stores the chunks that do not go with the head, then the head. They are under
// names of their content: to store one late or twice does no harm. None of them can be
// removed before the head is stored, as that changes the head's key (clean), which is guarded.
func (b *Versions) storeChunks(batch *batch) {
	early := batch.missing[:len(batch.missing)-batch.inHead]
	if len(early) == 0 {
		b.storeHead(batch)
		return
	}
	w := &store.Write{First: true}
	bytes := 0
	for len(early) > 0 && len(w.Changes) < b.cfg.TxnOps {
		value := batch.encoded.values[early[0]]
		if bytes += len(value); len(w.Changes) > 0 && bytes > partBytes {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(early[0]), Value: value})
		early = early[1:]
	}
	stored := len(w.Changes)
	w.Done = func(o store.Outcome, _ uint64) {
		if o != store.OK {
			b.again(batch, o)
			return
		}
		batch.missing = batch.missing[stored:]
		b.storeChunks(batch)
	}
	b.queueWrite(batch, w)
}

func (b *Versions) queueWrite(x *batch, w *store.Write) {
	if !b.host.Store(w) {
		b.giveUp(x, "too many changes wait for the state service")
	}
}

// storeHead stores the head with the last chunks, guarded by the head's version: of two that
// store at once one fails, and so does one that comes late.
func (b *Versions) storeHead(batch *batch) {
	w := &store.Write{First: true, Guards: []store.Guard{{Key: HeadKey, Version: batch.headAt}}}
	for _, name := range batch.missing {
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name), Value: batch.encoded.values[name]})
	}
	w.Changes = append(w.Changes, store.Change{Key: HeadKey, Value: store.Value(batch.head)}, store.Change{Key: historyKey(batch.entry.Version), Value: store.Value(batch.entry)})
	for _, name := range b.unused(batch.head.Chunks) {
		if len(w.Changes) >= b.cfg.TxnOps {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name)})
	}
	w.Done = func(o store.Outcome, _ uint64) {
		if o != store.OK {
			b.again(batch, o)
			return
		}
		b.done(batch, batch.head.Version)
	}
	b.queueWrite(batch, w)
}

// unused returns the stored chunks that a head with some chunks does not name.
func (b *Versions) unused(named []string) []string {
	var out []string
	for name := range b.chunks {
		if !slices.Contains(named, name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// again tries a batch once more after an outcome that was not OK: what counts is what is
// stored then.
func (b *Versions) again(x *batch, o store.Outcome) {
	x.unknown = x.unknown || o == store.Unknown
	if o == store.TooLarge {
		b.giveUp(x, "the state service takes no records of that size")
		return
	}
	if x.tries++; x.tries >= maxTries || x.repair {
		b.giveUp(x, "the state service did not store it")
		return
	}
	b.read(x)
}

// repair stores the version in force again where the service lost it or a part of it.
func (b *Versions) repair() {
	queue := &b.queue
	if b.version == 0 || queue.current != nil || b.now < queue.repairAt || !b.host.Current() {
		return
	}
	queue.repairAt = b.now + repairEvery
	older := !b.headThere || b.head.Version < b.version
	holed := b.headThere && b.head.ID == b.id && b.head.Version == b.version &&
		slices.ContainsFunc(b.head.Chunks, func(name string) bool { return b.chunks[name] == nil })
	if !older && !holed {
		return
	}
	b.cfg.Log.Warn("configuration is stored again", "version", b.version, "stored", b.head.Version)
	queue.current = &batch{id: b.id, repair: true}
	b.build(queue.current)
}

// collectGarbage removes chunks of no use. The head is written again as it is, so that nothing that
// was made for the head as it was before can still be stored.
func (b *Versions) collectGarbage(leads bool) {
	queue := &b.queue
	if !leads || queue.current != nil || queue.cleaning || !b.headThere || !b.host.Current() || len(b.chunks) <= len(b.head.Chunks) {
		queue.unusedAt = 0
		return
	}
	if queue.unusedAt == 0 {
		queue.unusedAt = b.now
	}
	if b.now-queue.unusedAt < collectAfter {
		return
	}
	queue.unusedAt = 0
	w := &store.Write{Guards: []store.Guard{{Key: HeadKey, Version: b.host.Stamp(HeadKey)}},
		Changes: []store.Change{{Key: HeadKey, Value: store.Value(b.head)}}}
	for _, name := range b.unused(b.head.Chunks) {
		if len(w.Changes) >= b.cfg.TxnOps {
			break
		}
		w.Changes = append(w.Changes, store.Change{Key: chunkKey(name)})
	}
	w.Done = func(store.Outcome, uint64) { queue.cleaning = false }
	queue.cleaning = b.host.Store(w)
}

// summary says in a few words what differs between two contents.
func summary(before, after Content) string {
	var parts []string
	for _, t := range after.Teams {
		i, there := before.Find(t.Name)
		switch {
		case !there:
			parts = append(parts, t.Name+": new")
		case t != before.Teams[i] && t.Removed != 0 && before.Teams[i].Removed == 0:
			parts = append(parts, t.Name+": removed")
		case t != before.Teams[i]:
			parts = append(parts, t.Name+": "+amounts(before.Teams[i])+" -> "+amounts(t))
		}
	}
	if !slices.Equal(before.Objectives, after.Objectives) {
		parts = append(parts, "objectives")
	}
	return shortened(strings.Join(parts, "; "))
}

// amounts writes a team's guarantee and limit as CPUs and GPUs.
func amounts(t Team) string {
	return fmt.Sprintf("%g/%g to %g/%g", float64(t.Guarantee[0])/1000, float64(t.Guarantee[1])/1000, float64(t.Limit[0])/1000, float64(t.Limit[1])/1000)
}
