package archive

import (
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Prefix is the key prefix of all buckets. It is outside the prefix that the watch cache lists and watches.
const Prefix = keys.ArchivePrefix

// MaxDepth is the maximum depth of a bucket: 2^28 buckets hold more summaries than the state service can
// store.
const MaxDepth = 28

// maxBucketBytes limits the value of a bucket even if the state service allows more, because a
// lookup of one job reads a whole bucket. A small bucket can also still be split into a few if the
// limit of the service is reduced.
const maxBucketBytes = 4 << 10

// Summary is the part of a finished job that its users can still query.
type Summary struct {
	Status     jobs.Status // final
	Tasks      int
	FinishedAt units.Microseconds // time of day, in whole seconds; 0: unknown
}

// Bucket holds the summaries of all archived jobs whose id hashes have the same lowest Depth bits.
type Bucket struct {
	Number uint32             // value of these bits
	Depth  int                // number of these bits
	Jobs   map[uint64]Summary // by job number
}

// hash maps a job id to a bucket. Stored buckets depend on it, so it must never change.
func hash(id string) uint64 { return xxhash.Sum64String(id) }

// Key returns the key of a bucket. A bucket that is split off another one sorts after it.
func Key(n uint32) string { return fmt.Sprintf("%s%08x", Prefix, n) }

// ParseKey returns the number of the bucket stored at a key.
func ParseKey(key string) (uint32, error) {
	hex, ok := strings.CutPrefix(key, Prefix)
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || Key(uint32(n)) != key || n >= 1<<MaxDepth {
		return 0, fmt.Errorf("invalid bucket key %q", key)
	}
	return uint32(n), nil
}

// bucketAt returns the number of the bucket for a hash at a depth.
func bucketAt(h uint64, depth int) uint32 { return uint32(h & (1<<depth - 1)) }

// BucketOf returns the number of the bucket for a job id at a depth.
func BucketOf(id string, depth int) uint32 { return bucketAt(hash(id), depth) }

// Covers reports whether the bucket is the one for a job id.
func (b *Bucket) Covers(id string) bool { return bucketAt(hash(id), b.Depth) == b.Number }

// jobNumber returns the number in a job id, which identifies the job.
func jobNumber(id string) (uint64, error) {
	if !jobs.ValidID(id) {
		return 0, fmt.Errorf("invalid job id %q", id)
	}
	return strconv.ParseUint(id[len("wk-"):], 10, 64)
}

func jobID(n uint64) string { return fmt.Sprintf("wk-%06d", n) }

// encodedBucket is the stored value of a bucket. Jobs has an entry for each job, in the order of the job
// numbers: the difference to the previous number, "+" for done or "-" for cancelled, the number of tasks, and
// "@" with the time in seconds at which the job finished if it is known. All numbers are in base 36.
type encodedBucket struct {
	Bits int    `json:"bits"`
	Jobs string `json:"jobs"`
}

const base = 36

// Encode returns the stored value of the bucket.
func (b *Bucket) Encode() json.RawMessage {
	out := make([]byte, 0, 16*len(b.Jobs)+32)
	last := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(b.Jobs)) {
		summary := b.Jobs[n]
		if len(out) > 0 {
			out = append(out, ' ')
		}
		out = strconv.AppendUint(out, n-last, base)
		if summary.Status == jobs.Done {
			out = append(out, '+')
		} else {
			out = append(out, '-')
		}
		out = strconv.AppendInt(out, int64(summary.Tasks), base)
		if summary.FinishedAt > 0 {
			out = append(out, '@')
			out = strconv.AppendInt(out, int64(summary.FinishedAt/units.Second), base)
		}
		last = n
	}
	return store.Value(encodedBucket{b.Depth, string(out)})
}

// Decode decodes the value stored at key. For any input it returns either a bucket that Encode
// could have written or an error.
func Decode(key string, value []byte) (*Bucket, error) {
	n, err := ParseKey(key)
	if err != nil {
		return nil, err
	}
	var s encodedBucket
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	if s.Bits < 0 || s.Bits > MaxDepth || n >= 1<<s.Bits {
		return nil, errors.New("invalid bucket depth")
	}
	b := &Bucket{Number: n, Depth: s.Bits, Jobs: map[uint64]Summary{}}
	last := uint64(0)
	for text := s.Jobs; text != ""; {
		var one string
		one, text, _ = strings.Cut(text, " ")
		if last, err = b.decodeJob(one, last); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func (b *Bucket) decodeJob(text string, last uint64) (uint64, error) {
	bad := func() (uint64, error) { return 0, fmt.Errorf("invalid job entry %q", text) }
	i := strings.IndexAny(text, "+-")
	if i < 0 {
		return bad()
	}
	summary := Summary{Status: jobs.Done}
	if text[i] == '-' {
		summary.Status = jobs.Cancelled
	}
	tasks, ended, timed := strings.Cut(text[i+1:], "@")
	diff, err1 := strconv.ParseUint(text[:i], base, 64)
	count, err2 := strconv.ParseInt(tasks, base, 32)
	if err1 != nil || err2 != nil || count < 0 || count > jobs.MaxTasks || last+diff < last || diff == 0 && last > 0 {
		return bad()
	}
	if timed {
		s, err := strconv.ParseInt(ended, base, 64)
		if err != nil || s <= 0 || s > int64(units.MaxTime/units.Second) {
			return bad()
		}
		summary.FinishedAt = units.Microseconds(s) * units.Second
	}
	n := last + diff
	id := jobID(n)
	if !jobs.ValidID(id) || !b.Covers(id) {
		return bad()
	}
	summary.Tasks = int(count)
	b.Jobs[n] = summary
	return n, nil
}

// Find returns the summary of a job.
func (b *Bucket) Find(id string) (Summary, bool) {
	n, err := jobNumber(id)
	if err != nil {
		return Summary{}, false
	}
	a, ok := b.Jobs[n]
	return a, ok
}

// ValueLimit returns the maximum size in bytes of a bucket's value if the state service
// accepts values of max bytes.
func ValueLimit(max int) int { return min(max, maxBucketBytes) }

// split splits the bucket into two by one more bit of the hash. The first keeps the number.
func (b *Bucket) split() (x, y *Bucket) {
	x = &Bucket{Number: b.Number, Depth: b.Depth + 1, Jobs: map[uint64]Summary{}}
	y = &Bucket{Number: b.Number | 1<<b.Depth, Depth: b.Depth + 1, Jobs: map[uint64]Summary{}}
	for n, a := range b.Jobs {
		if x.Covers(jobID(n)) {
			x.Jobs[n] = a
		} else {
			y.Jobs[n] = a
		}
	}
	return x, y
}

// splitToFit splits the bucket until each value has at most maxBytes. It returns nil if that needs more than
// maxBuckets buckets.
func (b *Bucket) splitToFit(maxBytes, maxBuckets int) []*Bucket {
	if maxBuckets < 1 {
		return nil
	}
	if len(b.Encode()) <= maxBytes {
		return []*Bucket{b}
	}
	if b.Depth == MaxDepth || maxBuckets < 2 {
		return nil
	}
	x, y := b.split()
	first := x.splitToFit(maxBytes, maxBuckets-1)
	if first == nil {
		return nil
	}
	rest := y.splitToFit(maxBytes, maxBuckets-len(first))
	if rest == nil {
		return nil
	}
	return append(first, rest...)
}

// withJobs returns a copy of the bucket with further jobs.
func (b *Bucket) withJobs(jobs map[uint64]Summary) *Bucket {
	c := &Bucket{Number: b.Number, Depth: b.Depth, Jobs: maps.Clone(b.Jobs)}
	maps.Copy(c.Jobs, jobs)
	return c
}

// IDs returns the ids of the jobs in the bucket, in no particular order.
func (b *Bucket) IDs() iter.Seq[string] {
	return func(yield func(string) bool) {
		for n := range b.Jobs {
			if !yield(jobID(n)) {
				return
			}
		}
	}
}

// CheckPlacement checks the place of bucket n: every job must belong to exactly one bucket, so the bucket that n
// was split off must exist and be deep enough to exclude the jobs of n. depths holds the depths of all buckets.
// It returns the key of bucket n, and why its place is invalid or "".
func CheckPlacement(n uint32, depths map[uint32]int) (key, why string) {
	if n == 0 {
		return Key(n), ""
	}
	p := parent(n)
	d, ok := depths[p]
	switch {
	case !ok:
		return Key(n), "the bucket that it was split off is missing"
	case d <= bits.Len32(n)-1:
		return Key(n), "the bucket that it was split off knows nothing of it"
	}
	return Key(n), ""
}
