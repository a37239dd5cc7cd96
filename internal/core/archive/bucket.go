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

// Prefix is that of all buckets. It lies outside of what controllers list and watch.
const Prefix = keys.ArchivePrefix

// MaxDepth bounds the depth of a bucket: 2^28 of them hold more answers than the
// state service could ever be given.
const MaxDepth = 28

// maxBucketBytes bounds a bucket's value, however much the state service takes: one is
// read for one answer. It also leaves room to cut one into a few should the
// service's limit fall.
const maxBucketBytes = 4 << 10

// Summary is what a user learns of a job that is over.
type Summary struct {
	Status     jobs.Status // final
	Tasks      int
	FinishedAt units.Microseconds // time of day, in whole seconds; 0: not known
}

// Bucket holds the answers of all archived jobs whose ids' hashes end in the same
// bits.
type Bucket struct {
	Number uint32 // those bits
	Depth  int    // how many they are
	Jobs   map[uint64]Summary
}

// hash places a job's id among the buckets. What is stored rests on it: it never
// changes.
func hash(id string) uint64 { return xxhash.Sum64String(id) }

// Key is where a bucket is stored. In the order of the keys, what is split off a
// bucket comes after it.
func Key(n uint32) string { return fmt.Sprintf("%s%08x", Prefix, n) }

// ParseKey returns the bucket that is stored at a key.
func ParseKey(key string) (uint32, error) {
	hex, ok := strings.CutPrefix(key, Prefix)
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || Key(uint32(n)) != key || n >= 1<<MaxDepth {
		return 0, fmt.Errorf("%q is no bucket's key", key)
	}
	return uint32(n), nil
}

// bucketAt returns the bucket for a hash among those of a depth.
func bucketAt(h uint64, depth int) uint32 { return uint32(h & (1<<depth - 1)) }

// BucketOf returns the number of the bucket for an id among those of a depth.
func BucketOf(id string, depth int) uint32 { return bucketAt(hash(id), depth) }

// Covers reports whether a bucket is the one for an id.
func (b *Bucket) Covers(id string) bool { return bucketAt(hash(id), b.Depth) == b.Number }

// jobNumber is an id's own number, which tells the id.
func jobNumber(id string) (uint64, error) {
	if !jobs.ValidID(id) {
		return 0, fmt.Errorf("job id %q", id)
	}
	return strconv.ParseUint(id[len("wk-"):], 10, 64)
}

func jobID(n uint64) string { return fmt.Sprintf("wk-%06d", n) }

// stored is a bucket's value: for each job, in the order of their numbers, the
// difference from the number before, a letter, the tasks and the second in which the
// job ended, all to the base 36.
type stored struct {
	Bits int    `json:"bits"`
	Jobs string `json:"jobs"`
}

const base = 36

// Encode returns a bucket's value.
func (b *Bucket) Encode() json.RawMessage {
	out := make([]byte, 0, 16*len(b.Jobs)+32)
	last := uint64(0)
	for _, n := range slices.Sorted(maps.Keys(b.Jobs)) {
		answer := b.Jobs[n]
		if len(out) > 0 {
			out = append(out, ' ')
		}
		out = strconv.AppendUint(out, n-last, base)
		if answer.Status == jobs.Done {
			out = append(out, '+')
		} else {
			out = append(out, '-')
		}
		out = strconv.AppendInt(out, int64(answer.Tasks), base)
		if answer.FinishedAt > 0 {
			out = append(out, '@')
			out = strconv.AppendInt(out, int64(answer.FinishedAt/units.Second), base)
		}
		last = n
	}
	return store.Value(stored{b.Depth, string(out)})
}

// Decode reads the value of a key. Whatever it holds, the outcome is a bucket as
// Encode could have written it, or an error.
func Decode(key string, value []byte) (*Bucket, error) {
	n, err := ParseKey(key)
	if err != nil {
		return nil, err
	}
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, err
	}
	if s.Bits < 0 || s.Bits > MaxDepth || n >= 1<<s.Bits {
		return nil, errors.New("unusable depth")
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
	bad := func() (uint64, error) { return 0, fmt.Errorf("answer %q", text) }
	i := strings.IndexAny(text, "+-")
	if i < 0 {
		return bad()
	}
	answer := Summary{Status: jobs.Done}
	if text[i] == '-' {
		answer.Status = jobs.Cancelled
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
		answer.FinishedAt = units.Microseconds(s) * units.Second
	}
	n := last + diff
	id := jobID(n)
	if !jobs.ValidID(id) || !b.Covers(id) {
		return bad()
	}
	answer.Tasks = int(count)
	b.Jobs[n] = answer
	return n, nil
}

// Find returns a job's answer.
func (b *Bucket) Find(id string) (Summary, bool) {
	n, err := jobNumber(id)
	if err != nil {
		return Summary{}, false
	}
	a, ok := b.Jobs[n]
	return a, ok
}

// ValueLimit is the size of a bucket's value where the state service takes values of max
// bytes.
func ValueLimit(max int) int { return min(max, maxBucketBytes) }

// split cuts a bucket in two, by one more bit. The first keeps its number.
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

// pieces cuts a bucket until each value keeps within a limit. It returns nil where
// that takes more than most of them.
func (b *Bucket) pieces(limit, most int) []*Bucket {
	if most < 1 {
		return nil
	}
	if len(b.Encode()) <= limit {
		return []*Bucket{b}
	}
	if b.Depth == MaxDepth || most < 2 {
		return nil
	}
	x, y := b.split()
	first := x.pieces(limit, most-1)
	if first == nil {
		return nil
	}
	rest := y.pieces(limit, most-len(first))
	if rest == nil {
		return nil
	}
	return append(first, rest...)
}

func (b *Bucket) with(jobs map[uint64]Summary) *Bucket {
	c := &Bucket{Number: b.Number, Depth: b.Depth, Jobs: maps.Clone(b.Jobs)}
	maps.Copy(c.Jobs, jobs)
	return c
}

// IDs returns the ids of the jobs in a bucket.
func (b *Bucket) IDs() iter.Seq[string] {
	return func(yield func(string) bool) {
		for n := range b.Jobs {
			if !yield(jobID(n)) {
				return
			}
		}
	}
}

// CheckPlacement says what is wrong with a bucket's place among the others, given the
// depth of each, or "": every job must belong to exactly one of them.
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
