// Package archive archives finished jobs: it moves their summaries from the controllers' memory into buckets
// in the state service. A hash of the job's id selects the bucket. Buckets are read when a job is looked up,
// and by a scan that fills a filter of the archived ids; the watch cache does not hold them. The package
// decides what to read, what the absence of an id proves, and which jobs to archive. It does no input or
// output itself.
//
// A job is archived by one transaction that writes its bucket and deletes its record. So a reader that has
// seen that the record does not exist, and then finds no summary in the bucket, knows that the job had not
// been accepted at the time when it saw that.
//
// A transaction that accepts a job has a guard on the version of the archive mark. Every archived
// job became final at a revision below the cutoff of the mark, and the mark was written after that.
// So a late transaction that would accept the id of an archived job again fails, because the mark
// has changed since it was sent.
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

// Mark is the archive mark, the record that enables archiving and limits which jobs may be archived. Once it
// is stored, only controllers that can read buckets may serve.
type Mark struct {
	Release int    `json:"release"` // lowest release that controllers must run
	Cutoff  uint64 `json:"cut"`     // jobs whose final record has a lower revision may be archived
	Jobs    int    `json:"jobs"`    // approximate number of archived jobs
}

// LookupResult is the result of the lookup of a job id.
type LookupResult int

// Results of a lookup.
const (
	Unknown LookupResult = iota // the read failed or was refused because of overload: retry
	Found
	Absent // not archived at the time of the read
)

const (
	cachedSummaries   = 1 << 13
	maxFilterBytes    = 8 << 20
	maxTrackedBuckets = 1 << 18 // buckets whose depths are recorded
	// urgentWaitSeconds and backgroundWaitSeconds limit the queued reads, for submissions and for all other
	// lookups, to as many as can be sent in that time, so that no read waits longer than its requester.
	// Further lookups are refused immediately. minQueueLimit reads may always be queued.
	urgentWaitSeconds, backgroundWaitSeconds = 3, 1.2
	minQueueLimit                            = 4
	maxWaitersPerRead                        = 1024 // lookups that wait for the same read
	// maxReadsPerLookup limits the reads for one lookup. Usually one read is enough; an outdated
	// bucket depth costs another one.
	maxReadsPerLookup = 2*MaxDepth + 2
)

// Requests to the state service. Each is completed by exactly one call of the method named in its comment.
type (
	// Read reads one key (OnRead).
	Read struct {
		Key           string
		KnownRevision uint64 // highest revision known when it was sent
	}
	// Scan reads up to Page buckets, starting after the key After (OnScan).
	Scan struct {
		After string
		Page  int
		round uint64
	}
)

// scanPage is the number of buckets in one page of a scan.
const scanPage = 64

// Index holds what a controller knows about archived jobs. It must be used by one goroutine only.
type Index struct {
	mark        Mark
	markVersion uint64 // version of the mark; 0: not stored
	enabled     bool   // a mark has been seen; stays true if the mark is lost, because archived jobs remain
	cache       *simplelru.LRU[string, Summary]
	depths      []uint8 // last known depth of each bucket, by number
	maxDepth    int     // largest known depth

	filter      *filter
	complete    bool // the filter contains every archived id
	scanning    bool
	lastScanned string // last key read by the scan
	scanRound   uint64 // identifies the scan; responses to earlier scans are ignored
	nextScanAt  units.Microseconds

	reads       map[string]*read
	urgent      []string // keys of queued reads for submissions
	background  []string // keys of all other queued reads
	inFlight    int      // reads sent and not yet answered
	rate        float64  // reads per second
	credit      float64
	creditAt    units.Microseconds
	pausedUntil units.Microseconds // no read is sent before
	Refused     uint64             // number of refused lookups
	Reads       uint64             // number of buckets read for lookups
}

// read is the queued or sent read of a bucket.
type read struct {
	sent       bool
	waiting    []*lookup
	joinedLate []*lookup // started after the read was sent: the jobs that it finds count, their absence does not
}

// lookup is a request for the summary of a job, or for its whole bucket.
type lookup struct {
	id       string
	urgent   bool
	reads    int
	onResult func(LookupResult, Summary)
	onBucket func(b *Bucket, stamp uint64) // set instead of onResult to get the whole bucket; b is nil if unknown
}

// New returns the index of a controller that has just started.
func New() *Index {
	cache, err := simplelru.NewLRU[string, Summary](cachedSummaries, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Index{cache: cache, filter: newFilter(maxFilterBytes), reads: map[string]*read{}}
}

// ApplyMark applies the stored archive mark. value is nil if there is none.
func (x *Index) ApplyMark(value json.RawMessage, stamp uint64) error {
	if value == nil {
		x.markVersion = 0
		return nil
	}
	var m Mark
	if err := json.Unmarshal(value, &m); err != nil {
		return err
	}
	if !x.enabled {
		x.enabled = true
		x.Invalidate() // jobs archived before this controller saw the mark must be read
	}
	x.mark, x.markVersion = m, stamp
	return nil
}

// Mark returns the last mark and its version, which is 0 if no mark is stored.
func (x *Index) Mark() (Mark, uint64) { return x.mark, x.markVersion }

// Enabled reports whether archiving has been enabled, so that jobs may be archived.
func (x *Index) Enabled() bool { return x.enabled }

// Invalidate clears the filter and restarts the scan. It is called when archived jobs may have been missed, for
// example because the watch cache was listed again.
func (x *Index) Invalidate() {
	x.complete, x.scanning, x.lastScanned = false, false, ""
	x.scanRound++
	x.filter = newFilter(maxFilterBytes)
}

// NoteArchived adds a job whose record has been deleted to the filter.
func (x *Index) NoteArchived(id string) { x.filter.add(id) }

// CacheSummary adds the summary of an archived job to the cache.
func (x *Index) CacheSummary(id string, a Summary) { x.cache.Add(id, a) }

// CachedIDs returns the ids of the jobs whose summaries are cached. Jobs of one bucket are adjacent.
func (x *Index) CachedIDs() []string {
	ids := x.cache.Keys()
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(bits.Reverse64(hash(a)), bits.Reverse64(hash(b))) })
	return ids
}

// CachedSummary returns the summary of an archived job if it is cached.
func (x *Index) CachedSummary(id string) (Summary, bool) { return x.cache.Get(id) }

// ProvenAbsent reports whether a job id is certainly not archived, as of the state that the watch cache
// shows.
func (x *Index) ProvenAbsent(id string) bool { return !x.enabled || x.complete && !x.filter.has(id) }

// Complete reports whether the filter is complete, and the number of ids in it.
func (x *Index) Complete() (bool, int) { return x.complete, x.filter.count }

// Lookup looks up the summary of a job. It may call done before it returns: if the result is known, or if the
// lookup is refused because too many are queued. Lookups for submissions are urgent.
func (x *Index) Lookup(id string, urgent bool, done func(LookupResult, Summary)) {
	if a, ok := x.cache.Get(id); ok {
		done(Found, a)
		return
	}
	if x.ProvenAbsent(id) {
		done(Absent, Summary{})
		return
	}
	x.startLookup(&lookup{id: id, urgent: urgent, onResult: done})
}

// ReadBucket reads the bucket for a job id and calls done with it. b is nil if the read failed or was
// refused. stamp is the version of the bucket's key, or 0 if the bucket is not stored yet.
func (x *Index) ReadBucket(id string, done func(b *Bucket, stamp uint64)) {
	x.startLookup(&lookup{id: id, onBucket: done})
}

func (l *lookup) fail() {
	if l.onBucket != nil {
		l.onBucket(nil, 0)
		return
	}
	l.onResult(Unknown, Summary{})
}

// startLookup queues a read of the bucket that most likely covers the id.
func (x *Index) startLookup(l *lookup) { x.readFor(l, x.likelyBucket(hash(l.id))) }

// likelyBucket returns the number of the bucket for a hash by the last known depths.
func (x *Index) likelyBucket(h uint64) uint32 {
	for depth := x.maxDepth; depth > 0; depth-- {
		n := bucketAt(h, depth)
		if int(n) >= len(x.depths) { // depths are only recorded up to maxTrackedBuckets
			continue
		}
		if d := int(x.depths[n]); d > 0 && bucketAt(h, d) == n {
			return n
		}
	}
	return 0
}

// recordDepth records the depth of a bucket.
func (x *Index) recordDepth(n uint32, depth int) {
	x.maxDepth = max(x.maxDepth, depth)
	if n >= maxTrackedBuckets || depth == 0 {
		return
	}
	for int(n) >= len(x.depths) {
		x.depths = append(x.depths, make([]uint8, max(64, len(x.depths)))...)
	}
	x.depths[n] = uint8(depth)
}

// readFor joins a lookup to the queued or sent read of bucket n, queues a new read, or refuses the lookup.
func (x *Index) readFor(request *lookup, n uint32) {
	request.reads++
	key := Key(n)
	r := x.reads[key]
	queue, maxQueued := &x.background, max(minQueueLimit, int(x.rate*backgroundWaitSeconds))
	if request.urgent {
		queue, maxQueued = &x.urgent, max(minQueueLimit, int(x.rate*urgentWaitSeconds))
	}
	switch {
	case request.reads > maxReadsPerLookup || r == nil && len(*queue) >= maxQueued || r != nil && len(r.waiting)+len(r.joinedLate) >= maxWaitersPerRead:
		x.Refused++
		request.fail()
	case r == nil:
		x.reads[key] = &read{waiting: []*lookup{request}}
		*queue = append(*queue, key)
	case r.sent:
		r.joinedLate = append(r.joinedLate, request)
	default:
		r.waiting = append(r.waiting, request)
		if request.urgent && !slices.Contains(x.urgent, key) {
			x.background = slices.DeleteFunc(x.background, func(k string) bool { return k == key })
			x.urgent = append(x.urgent, key)
		}
	}
}

// Next returns the reads that are due. rate limits the reads per second.
func (x *Index) Next(now units.Microseconds, rate float64) []Read {
	x.rate = rate
	x.credit = min(x.credit+rate*(now-x.creditAt).Seconds(), max(2, rate/2))
	x.creditAt = now
	if now < x.pausedUntil {
		return nil
	}
	var out []Read
	for x.credit >= 1 && x.inFlight < 8 && len(x.urgent)+len(x.background) > 0 {
		queue := &x.urgent
		if len(*queue) == 0 {
			queue = &x.background
		}
		key := (*queue)[0]
		*queue = (*queue)[1:]
		x.reads[key].sent = true
		x.credit--
		x.inFlight++
		x.Reads++
		out = append(out, Read{Key: key})
	}
	return out
}

// OnRead handles the response to a Read. value is nil if the key does not exist. It returns an
// error if the value is invalid.
func (x *Index) OnRead(now units.Microseconds, r Read, o store.Outcome, value json.RawMessage, stamp uint64) error {
	pending := x.reads[r.Key]
	if pending == nil || !pending.sent {
		return nil
	}
	delete(x.reads, r.Key)
	x.inFlight--
	if o != store.OK && o != store.Failed {
		x.pausedUntil = now + units.Second/4
		for _, request := range slices.Concat(pending.waiting, pending.joinedLate) {
			request.fail()
		}
		return nil
	}
	n, err := ParseKey(r.Key)
	var b *Bucket
	if err == nil && value != nil {
		if b, err = Decode(r.Key, value); err == nil {
			x.recordDepth(n, b.Depth)
		}
	}
	for _, request := range pending.waiting {
		switch {
		case err != nil:
			request.fail()
		case b == nil && n == 0:
			x.deliver(request, &Bucket{Jobs: map[uint64]Summary{}}, 0)
		case b == nil: // not split off yet: the parent covers the id
			if int(n) < len(x.depths) {
				x.depths[n] = 0
			}
			x.readFor(request, parent(n))
		case !b.Covers(request.id): // the bucket has been split since its depth was recorded
			x.readFor(request, bucketAt(hash(request.id), b.Depth))
		default:
			x.deliver(request, b, stamp)
		}
	}
	for _, request := range pending.joinedLate {
		if b != nil && request.onResult != nil {
			if _, ok := b.Find(request.id); ok {
				x.deliver(request, b, stamp)
				continue
			}
		}
		x.readFor(request, n)
	}
	return err
}

// parent returns the number of the bucket from which bucket n is split off.
func parent(n uint32) uint32 {
	return n &^ (1 << bits.Len32(n) >> 1)
}

func (x *Index) deliver(l *lookup, b *Bucket, stamp uint64) {
	if l.onBucket != nil {
		l.onBucket(b, stamp)
		return
	}
	a, ok := b.Find(l.id)
	if !ok {
		l.onResult(Absent, Summary{})
		return
	}
	x.CacheSummary(l.id, a)
	l.onResult(Found, a)
}

// NextScan returns the next page of the scan that fills the filter, or nil if none is due or the filter is
// complete. interval is the time between two pages.
func (x *Index) NextScan(now units.Microseconds, interval units.Microseconds) *Scan {
	if !x.enabled || x.complete || x.scanning || now < x.nextScanAt {
		return nil
	}
	x.scanning, x.nextScanAt = true, now+interval
	return &Scan{After: x.lastScanned, Page: scanPage, round: x.scanRound}
}

// OnScan handles the response to a Scan. more reports whether further buckets follow. The scan misses no job:
// a bucket that is split off during the scan sorts after its parent, and jobs archived during the scan are
// passed to NoteArchived. OnScan returns the keys with invalid values. Their jobs are unknown, so the filter
// stays incomplete and the scan restarts a minute later.
func (x *Index) OnScan(now units.Microseconds, s Scan, o store.Outcome, items []store.Event, more bool) (bad []string) {
	if s.round != x.scanRound {
		return nil
	}
	x.scanning = false
	if o != store.OK {
		x.nextScanAt = now + units.Second/2
		return nil
	}
	for _, it := range items {
		b, err := Decode(it.Key, it.Value)
		if err != nil {
			bad = append(bad, it.Key)
			continue
		}
		x.recordDepth(b.Number, b.Depth)
		for n := range b.Jobs {
			x.filter.add(jobID(n))
		}
		x.lastScanned = it.Key
	}
	switch {
	case len(bad) > 0:
		x.Invalidate()
		x.nextScanAt = now + 60*units.Second
	case !more || len(items) == 0:
		x.complete = true
	}
	return bad
}
