// Package archive holds the answers of jobs that are over and have left the
// controllers' memory. They are archived into buckets, by a hash of the job's id, under
// keys of their own in the state service: looked up when somebody asks, never listed
// nor watched. The package decides what to read, what an id's absence proves, and
// what to pack; it does no input or output itself.
//
// A job is archived by one transaction that writes its bucket and removes its record.
// So whoever has seen that the record is not there, and then finds no answer in the
// bucket, knows that the job had not been accepted when it saw that.
//
// Who accepts a job guards the version of the mark. Every job that is archived was over
// at a revision below the mark's cut, and the mark was written after that: a late
// acceptance of a archived job's id fails, as the mark has changed since it was sent.
package archive

import (
	"cmp"
	"encoding/json"
	"math/bits"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Mark is the record that says that jobs are archived, and which may be. Only
// controllers that can read buckets serve once it is there.
type Mark struct {
	Release int    `json:"release"` // the least that controllers must run
	Cutoff  uint64 `json:"cut"`     // jobs whose end was stored at a lower revision may be archived
	Jobs    int    `json:"jobs"`    // archived so far, about
}

// LookupResult is what is known of an id.
type LookupResult int

// Verdicts.
const (
	Unknown LookupResult = iota // could not be read, or there is too much to read: ask again
	Found
	Absent // not archived, as of the read
)

const (
	cachedAnswers = 1 << 13
	filterBytes   = 8 << 20
	maxDepths     = 1 << 18
	// Reads wait no longer than those who asked do: so many seconds' worth of them are
	// queued, for submissions and for all else, and others are refused at once.
	urgentWait, backgroundWait = 3, 1.2
	minQueued                  = 4
	maxPerRead                 = 1024 // who wait for the same read
	// maxSteps bounds the buckets that are read for one answer. One read is the
	// rule, and a hint that is out of date costs another.
	maxSteps = 2*MaxDepth + 2
)

// Effects of lookups. Each is answered by the method named in its comment, exactly once.
type (
	// Read reads one key (OnRead).
	Read struct {
		Key           string
		KnownRevision uint64 // the highest revision that was known when it was sent
	}
	// Scan reads some buckets, those after a key (OnScan).
	Scan struct {
		After string
		Page  int
		round uint64
	}
)

// scanPage is how many buckets are read at once.
const scanPage = 64

// Index is what a controller knows of archived jobs. It is owned by one goroutine.
type Index struct {
	mark        Mark
	markVersion uint64 // version of the mark; 0: it is not stored
	enabled     bool   // there has been one: a mark that is lost takes no archived job with it
	cache       *simplelru.LRU[string, Summary]
	depths      []uint8 // depths of buckets as last seen, by number
	maxDepth    int     // the largest of them

	filter      *filter
	complete    bool // the filter holds every archived id
	scanning    bool
	lastScanned string // the last key of the scan
	scanRound   uint64 // tells scans apart
	nextScanAt  units.Microseconds

	reads      map[string]*read
	urgent     []string // keys to be read: for submissions, and for all else
	background []string
	inFlight   int     // reads under way
	rate       float64 // at which reads are sent
	credit     float64
	creditedAt units.Microseconds
	heldUntil  units.Microseconds // nothing is read before
	Refused    uint64             // lookups that were refused
	Reads      uint64             // buckets that were read for somebody
}

// read is a bucket that is being read, or is to be.
type read struct {
	sent    bool
	waiting []*lookup
	late    []*lookup // asked after it was sent: to those it proves nothing but what it shows
}

// lookup is one who waits for an answer.
type lookup struct {
	id       string
	urgent   bool
	reads    int
	onAnswer func(LookupResult, Summary)
	onBucket func(b *Bucket, stamp uint64) // instead: wants the whole bucket; nil: unknown
}

// New returns what a controller knows when it starts.
func New() *Index {
	cache, err := simplelru.NewLRU[string, Summary](cachedAnswers, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Index{cache: cache, filter: newFilter(filterBytes), reads: map[string]*read{}}
}

// ApplyMark takes the mark as it is stored; nil: there is none.
func (p *Index) ApplyMark(value json.RawMessage, stamp uint64) error {
	if value == nil {
		p.markVersion = 0
		return nil
	}
	var m Mark
	if err := json.Unmarshal(value, &m); err != nil {
		return err
	}
	if !p.enabled {
		p.enabled = true
		p.Invalidate() // whatever was archived before this node knew of it is to be read
	}
	p.mark, p.markVersion = m, stamp
	return nil
}

// Mark returns the mark and its version, which is 0 where there is none.
func (p *Index) Mark() (Mark, uint64) { return p.mark, p.markVersion }

// Enabled reports whether anything may be archived.
func (p *Index) Enabled() bool { return p.enabled }

// Invalidate notes that archived jobs may have been missed: the copy was taken anew.
func (p *Index) Invalidate() {
	p.complete, p.scanning, p.lastScanned = false, false, ""
	p.scanRound++
	p.filter = newFilter(filterBytes)
}

// NoteArchived notes that a job's record has been removed.
func (p *Index) NoteArchived(id string) { p.filter.add(id) }

// CacheSummary keeps an answer at hand.
func (p *Index) CacheSummary(id string, a Summary) { p.cache.Add(id, a) }

// CachedIDs returns the jobs whose answers are at hand, those of one bucket together.
func (p *Index) CachedIDs() []string {
	ids := p.cache.Keys()
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(bits.Reverse64(hash(a)), bits.Reverse64(hash(b))) })
	return ids
}

// CachedSummary returns an answer that is at hand.
func (p *Index) CachedSummary(id string) (Summary, bool) { return p.cache.Get(id) }

// ProvenAbsent reports whether an id is surely not that of a archived job, as of the copy that
// the rest of the controller goes by.
func (p *Index) ProvenAbsent(id string) bool { return !p.enabled || p.complete && !p.filter.has(id) }

// Complete reports whether the filter is complete, and how many ids it holds.
func (p *Index) Complete() (bool, int) { return p.complete, p.filter.count }

// Lookup looks a job's answer up. done may be called before Find returns where that is
// known, or where too much waits. Submissions are urgent.
func (p *Index) Lookup(id string, urgent bool, done func(LookupResult, Summary)) {
	if a, ok := p.cache.Get(id); ok {
		done(Found, a)
		return
	}
	if p.ProvenAbsent(id) {
		done(Absent, Summary{})
		return
	}
	p.lookUp(&lookup{id: id, urgent: urgent, onAnswer: done})
}

// ReadBucket reads the bucket for an id: nil where that is not known, and a stamp of 0
// where it is not stored yet.
func (p *Index) ReadBucket(id string, got func(b *Bucket, stamp uint64)) {
	p.lookUp(&lookup{id: id, onBucket: got})
}

func (l *lookup) fail() {
	if l.onBucket != nil {
		l.onBucket(nil, 0)
		return
	}
	l.onAnswer(Unknown, Summary{})
}

// lookUp has the bucket read in which an id most likely is.
func (p *Index) lookUp(l *lookup) { p.lookUpIn(l, p.likelyBucket(hash(l.id))) }

// likelyBucket returns the bucket, by the depths seen last, for a hash.
func (p *Index) likelyBucket(h uint64) uint32 {
	for depth := p.maxDepth; depth > 0; depth-- {
		n := bucketAt(h, depth)
		if int(n) >= len(p.depths) { // deeper than what depths are kept for
			continue
		}
		if d := int(p.depths[n]); d > 0 && bucketAt(h, d) == n {
			return n
		}
	}
	return 0
}

// noteDepth notes a bucket's depth.
func (p *Index) noteDepth(n uint32, depth int) {
	p.maxDepth = max(p.maxDepth, depth)
	if n >= maxDepths || depth == 0 {
		return
	}
	for int(n) >= len(p.depths) {
		p.depths = append(p.depths, make([]uint8, max(64, len(p.depths)))...)
	}
	p.depths[n] = uint8(depth)
}

func (p *Index) lookUpIn(asked *lookup, n uint32) {
	asked.reads++
	key := Key(n)
	r := p.reads[key]
	queue, room := &p.background, max(minQueued, int(p.rate*backgroundWait))
	if asked.urgent {
		queue, room = &p.urgent, max(minQueued, int(p.rate*urgentWait))
	}
	switch {
	case asked.reads > maxSteps || r == nil && len(*queue) >= room || r != nil && len(r.waiting)+len(r.late) >= maxPerRead:
		p.Refused++
		asked.fail()
	case r == nil:
		p.reads[key] = &read{waiting: []*lookup{asked}}
		*queue = append(*queue, key)
	case r.sent:
		r.late = append(r.late, asked)
	default:
		r.waiting = append(r.waiting, asked)
		if asked.urgent && !slices.Contains(p.urgent, key) {
			p.background = slices.DeleteFunc(p.background, func(k string) bool { return k == key })
			p.urgent = append(p.urgent, key)
		}
	}
}

// Next returns the reads that are due, at most rate a second.
func (p *Index) Next(now units.Microseconds, rate float64) []Read {
	p.rate = rate
	p.credit = min(p.credit+rate*(now-p.creditedAt).Seconds(), max(2, rate/2))
	p.creditedAt = now
	if now < p.heldUntil {
		return nil
	}
	var out []Read
	for p.credit >= 1 && p.inFlight < 8 && len(p.urgent)+len(p.background) > 0 {
		queue := &p.urgent
		if len(*queue) == 0 {
			queue = &p.background
		}
		key := (*queue)[0]
		*queue = (*queue)[1:]
		p.reads[key].sent = true
		p.credit--
		p.inFlight++
		p.Reads++
		out = append(out, Read{Key: key})
	}
	return out
}

// OnRead takes the answer to a read: the value, nil where the key does not exist.
func (p *Index) OnRead(now units.Microseconds, r Read, o store.Outcome, value json.RawMessage, stamp uint64) error {
	w := p.reads[r.Key]
	if w == nil || !w.sent {
		return nil
	}
	delete(p.reads, r.Key)
	p.inFlight--
	if o != store.OK && o != store.Failed {
		p.heldUntil = now + units.Second/4
		for _, asked := range slices.Concat(w.waiting, w.late) {
			asked.fail()
		}
		return nil
	}
	n, err := ParseKey(r.Key)
	var b *Bucket
	if err == nil && value != nil {
		if b, err = Decode(r.Key, value); err == nil {
			p.noteDepth(n, b.Depth)
		}
	}
	for _, asked := range w.waiting {
		switch {
		case err != nil:
			asked.fail()
		case b == nil && n == 0:
			p.deliver(asked, &Bucket{Jobs: map[uint64]Summary{}}, 0)
		case b == nil: // not split off yet: it is in the one that this is split off
			if int(n) < len(p.depths) {
				p.depths[n] = 0
			}
			p.lookUpIn(asked, parent(n))
		case !b.Covers(asked.id): // split since
			p.lookUpIn(asked, bucketAt(hash(asked.id), b.Depth))
		default:
			p.deliver(asked, b, stamp)
		}
	}
	for _, asked := range w.late {
		if b != nil && asked.onAnswer != nil {
			if _, ok := b.Find(asked.id); ok {
				p.deliver(asked, b, stamp)
				continue
			}
		}
		p.lookUpIn(asked, n)
	}
	return err
}

// parent returns the bucket that another was split off.
func parent(n uint32) uint32 {
	return n &^ (1 << bits.Len32(n) >> 1)
}

func (p *Index) deliver(l *lookup, b *Bucket, stamp uint64) {
	if l.onBucket != nil {
		l.onBucket(b, stamp)
		return
	}
	a, ok := b.Find(l.id)
	if !ok {
		l.onAnswer(Absent, Summary{})
		return
	}
	p.CacheSummary(l.id, a)
	l.onAnswer(Found, a)
}

// NextScan returns the read of buckets that is due, if any: until every archived id is
// in the filter. every is the time between two such reads.
func (p *Index) NextScan(now units.Microseconds, every units.Microseconds) *Scan {
	if !p.enabled || p.complete || p.scanning || now < p.nextScanAt {
		return nil
	}
	p.scanning, p.nextScanAt = true, now+every
	return &Scan{After: p.lastScanned, Page: scanPage, round: p.scanRound}
}

// OnScan takes the answer to a scan. What is split off a bucket meanwhile comes
// after it in the order of the keys, and what is archived meanwhile is passed to NoteArchived:
// nothing is missed. It returns the keys that cannot be read, of which nothing is
// known: the filter proves nothing while there are any.
func (p *Index) OnScan(now units.Microseconds, s Scan, o store.Outcome, items []store.Event, more bool) (bad []string) {
	if s.round != p.scanRound {
		return nil
	}
	p.scanning = false
	if o != store.OK {
		p.nextScanAt = now + units.Second/2
		return nil
	}
	for _, it := range items {
		b, err := Decode(it.Key, it.Value)
		if err != nil {
			bad = append(bad, it.Key)
			continue
		}
		p.noteDepth(b.Number, b.Depth)
		for n := range b.Jobs {
			p.filter.add(jobID(n))
		}
		p.lastScanned = it.Key
	}
	switch {
	case len(bad) > 0:
		p.Invalidate()
		p.nextScanAt = now + 60*units.Second
	case !more || len(items) == 0:
		p.complete = true
	}
	return bad
}
